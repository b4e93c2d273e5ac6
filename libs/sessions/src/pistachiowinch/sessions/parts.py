"""What the sessions of one host share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from returns.result import Result

from pistachiowinch.base.codes import Refusal
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.sessions.connections import ConnectionPools
from pistachiowinch.sessions.freshness import FreshnessLog
from pistachiowinch.sessions.health import TargetHealth
from pistachiowinch.sessions.primary_work import PrimaryWork
from pistachiowinch.sessions.site import SiteView

__all__ = ["PrimaryView", "RateLimiter", "SessionParts"]


class PrimaryView(Protocol):
    """The primary of each service."""

    def epoch(self, service: str) -> int:
        """Return the number of the newest switch."""

    def primary(self, service: str) -> str:
        """Return the primary's name; empty while none is known."""


class RateLimiter(Protocol):
    """Holds customers to their rates over all hosts."""

    def try_acquire(self, customer: str) -> bool:
        """Take one token that is there at once."""

    async def acquire(self, customer: str, deadline_s: float) -> Result[None, Refusal]:
        """Take one token, waiting for a borrow round at most."""

    def refund(self, customer: str) -> None:
        """Give back a token that was taken and not spent."""


@dataclass
class SessionParts:
    """Everything that a session uses besides its own state.

    :param is_proved: whether this host's knowledge of the primaries is proved to be current.
    :param is_stopping: whether the host takes no new operations.
    """

    view: SiteView
    primaries: PrimaryView
    is_proved: Callable[[], bool]
    health: TargetHealth
    connections: ConnectionPools
    rates: RateLimiter
    work: PrimaryWork
    metrics: Metrics
    log: DecisionLog
    availability_zone: str
    is_stopping: bool = False
    freshness: dict[str, FreshnessLog] = field(default_factory=dict)

    def freshness_of(self, service: str) -> FreshnessLog:
        """Return the positions that a service's primary has reported."""
        found = self.freshness.get(service)
        if found is None:
            found = self.freshness[service] = FreshnessLog()
        return found

    def may_acknowledge(self, service: str, sent_epoch: int) -> bool:
        """Whether a commit may be reported as kept.

        While a switch is only begun, its promotion waits for this host's exchanges or for the end
        of its proof, so the commit came before.

        :param sent_epoch: number of the newest switch when the commit was sent.
        """
        if not self.is_proved():
            return False
        is_same = self.primaries.epoch(service) == sent_epoch
        return is_same or not self.primaries.primary(service)

    def proved_primary(self, service: str) -> str:
        """Return the primary's name if this host may use it now, else an empty text."""
        primary = self.primaries.primary(service)
        if not primary or not self.view.may_use(primary) or not self.is_proved():
            return ""
        return primary if primary in self.view.targets(service) else ""
