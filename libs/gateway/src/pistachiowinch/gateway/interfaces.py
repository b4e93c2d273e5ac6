"""What the gateway uses of the other libraries.

The gateway depends on these protocols only, so that scenarios can replace any of them.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol

from returns.result import Result

from pistachiowinch.base.codes import Refusal
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.configuration.document import Configuration
from pistachiowinch.groups.confirmation import Confirmation
from pistachiowinch.groups.ledger import Decision, LedgerEntry
from pistachiowinch.limits.scheduler import SlotGrant, SlotRequest
from pistachiowinch.links.targets import QueryResult, TargetConnection
from pistachiowinch.routing.choice import GroupView

__all__ = [
    "ConfigurationView",
    "Confirmer",
    "GroupState",
    "OutcomeLedger",
    "PrimaryGate",
    "RateLimiter",
    "RetryLimiter",
    "RosterView",
    "ServiceParts",
    "Services",
    "SlotScheduler",
    "StandingView",
    "TargetPool",
    "TargetTracker",
]


class ConfigurationView(Protocol):
    """The configuration in force at this host."""

    @property
    def current(self) -> Configuration:
        """Newest version that this host knows."""


class RosterView(Protocol):
    """The members of this host's site."""

    @property
    def members(self) -> tuple[HostIdentity, ...]:
        """Members of the newest known roster."""

    @property
    def stable_since_s(self) -> float:
        """Loop time since which no member has left as far as this host knows."""


class StandingView(Protocol):
    """Whether this host's roster and configuration are proved to be current."""

    def has_standing(self) -> bool:
        """Return False while new work must be refused."""


class RateLimiter(Protocol):
    """Holds customers to their rates over all hosts."""

    def try_acquire(self, customer: str) -> bool:
        """Take one token that is there at once."""

    async def acquire(self, customer: str, deadline_s: float) -> Result[None, Refusal]:
        """Take one token, waiting for a borrow round at most."""


class RetryLimiter(Protocol):
    """Bounds retries by a share of the successes."""

    def try_spend(self, customer: str) -> bool:
        """Take one retry from the customer's budget."""

    def record_success(self, customer: str) -> None:
        """Earn a part of a retry."""


class SlotScheduler(Protocol):
    """Grants the right to run a statement on a target now."""

    def try_acquire(self, request: SlotRequest) -> SlotGrant | None:
        """Take a free slot at once if nothing waits."""

    async def acquire(self, request: SlotRequest) -> Result[SlotGrant, Refusal]:
        """Wait in fair order for a slot on a target that the request may use."""

    def release(self, grant: SlotGrant) -> None:
        """Return a slot."""

    def recheck_waiting(self) -> None:
        """Check the waiting requests again."""


class TargetTracker(GroupView, Protocol):
    """Tracker of one database group."""

    @property
    def revision(self) -> int:
        """Number that grows with every change of what is known."""

    async def refresh(self, targets: Iterable[str]) -> None:
        """Read the state of targets once."""

    def report_lost_connection(self, target: str) -> None:
        """Report a broken exchange, so that the target is probed at once."""


class Confirmer(Protocol):
    """Proves that a write is held by a majority under its own term."""

    async def confirm(self, target: str, term: int, deadline_s: float) -> Confirmation:
        """Run or share a status round that starts now."""


class OutcomeLedger(Protocol):
    """SQL of the ledger and decisions about interrupted writes."""

    def insert_statement(self, entry: LedgerEntry, answer: QueryResult) -> str:
        """SQL that records a write in its own transaction."""

    async def ensure_table(self) -> bool:
        """Create the ledger table at the primary if it is missing."""

    async def decide(
        self, entry: LedgerEntry, target: str, term: int, deadline_s: float
    ) -> Decision:
        """Find out whether a write ran, or make sure that it never can."""


class TargetPool(Protocol):
    """Connections of this host to one target."""

    def try_acquire(self, deadline_s: float) -> TargetConnection | None:
        """Take an idle connection at once, if there is one."""

    async def acquire(self, deadline_s: float) -> Result[TargetConnection, Refusal]:
        """Take a connection that carries no exchange and no state."""

    def release(self, connection: TargetConnection, is_clean: bool) -> None:
        """Return a connection; one that is not clean is closed."""

    def close_idle(self) -> None:
        """Close all idle connections."""


class PrimaryGate(Protocol):
    """Holds new transactions back during a planned change of the primary."""

    @property
    def is_held(self) -> bool:
        """Whether new transactions have to wait."""

    async def enter(self, deadline_s: float) -> bool:
        """Wait for the end of a hold, then count one transaction."""

    def leave(self) -> None:
        """Count one transaction less."""


class GroupState(Protocol):
    """State of a service's group that concerns new work."""

    @property
    def gate(self) -> PrimaryGate:
        """Gate of this host's transactions on the primary."""

    @property
    def is_outvoted(self) -> bool:
        """Whether only this host cannot reach the primary."""


class ServiceParts(NamedTuple):
    """Everything that runs statements of one service."""

    tracker: TargetTracker
    confirmer: Confirmer
    ledger: OutcomeLedger
    scheduler: SlotScheduler
    pools: Mapping[str, TargetPool]
    group: GroupState


class Services(Protocol):
    """The services that this host serves now."""

    def parts(self, service: str) -> ServiceParts | None:
        """Return a service's parts, or None if the configuration does not name it."""
