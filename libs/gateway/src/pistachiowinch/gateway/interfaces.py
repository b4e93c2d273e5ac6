"""Protocols of the components that the gateway calls.

The gateway calls them only through these protocols, so that tests can replace any of them.
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
    """Tells whether this host has recent proof that its roster and configuration are current."""

    def has_standing(self) -> bool:
        """Return False while new work must be refused."""


class RateLimiter(Protocol):
    """Enforces the rate of each customer over all hosts of the site."""

    def try_acquire(self, customer: str) -> bool:
        """Take one token if one is available now."""

    async def acquire(self, customer: str, deadline_s: float) -> Result[None, Refusal]:
        """Take one token; wait for at most one round of borrowing from other hosts."""


class RetryLimiter(Protocol):
    """Limits retries to a fraction of the successful statements."""

    def try_spend(self, customer: str) -> bool:
        """Take one retry from the customer's budget."""

    def record_success(self, customer: str) -> None:
        """Add a fraction of a retry to the customer's budget."""


class SlotScheduler(Protocol):
    """Grants slots; a slot is the right to run one statement on a target."""

    def try_acquire(self, request: SlotRequest) -> SlotGrant | None:
        """Take a free slot now if no other request waits."""

    async def acquire(self, request: SlotRequest) -> Result[SlotGrant, Refusal]:
        """Wait in the fair queue for a slot on a target that the request may use."""

    def release(self, grant: SlotGrant) -> None:
        """Return a slot."""

    def recheck_waiting(self) -> None:
        """Check the waiting requests again."""


class TargetTracker(GroupView, Protocol):
    """Tracks the state of the targets of one database group."""

    @property
    def revision(self) -> int:
        """Counter that increases with each change of the known state."""

    async def refresh(self, targets: Iterable[str]) -> None:
        """Read the state of targets once."""

    def report_lost_connection(self, target: str) -> None:
        """Report a broken exchange, so that the target is probed at once."""


class Confirmer(Protocol):
    """Confirms that a majority of the targets holds a write in its own term."""

    async def confirm(self, target: str, term: int, deadline_s: float) -> Confirmation:
        """Run a round of status queries that starts now, or share one with other writes."""


class OutcomeLedger(Protocol):
    """Provides the SQL of the ledger and decides the outcome of interrupted writes."""

    def insert_statement(self, entry: LedgerEntry, answer: QueryResult) -> str:
        """Return the SQL that records a write in the transaction of the write."""

    async def ensure_table(self) -> bool:
        """Create the ledger table at the primary if it is missing."""

    async def decide(
        self, entry: LedgerEntry, target: str, term: int, deadline_s: float
    ) -> Decision:
        """Find out whether a write ran; cancel it for good if it did not."""


class TargetPool(Protocol):
    """Pool of this host's connections to one target."""

    def try_acquire(self, deadline_s: float) -> TargetConnection | None:
        """Take an idle connection now if there is one."""

    async def acquire(self, deadline_s: float) -> Result[TargetConnection, Refusal]:
        """Take a connection without a pending exchange or session state."""

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
        """Remove one transaction from the count."""


class GroupState(Protocol):
    """State of a service's group that concerns new work."""

    @property
    def gate(self) -> PrimaryGate:
        """Gate of this host's transactions on the primary."""

    @property
    def is_outvoted(self) -> bool:
        """Whether only this host cannot reach the primary."""


class ServiceParts(NamedTuple):
    """Components that run the statements of one service."""

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
