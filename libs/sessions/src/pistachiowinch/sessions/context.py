"""Dependencies that all sessions of one host share."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from returns.result import Result

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.codes import Refusal
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.sessions.connections import ConnectionPools
from pistachiowinch.sessions.freshness import FreshnessLog
from pistachiowinch.sessions.health import TargetHealth
from pistachiowinch.sessions.outages import ServiceOutages
from pistachiowinch.sessions.pool_gateway import SharedPools
from pistachiowinch.sessions.primary_work import PrimaryWork
from pistachiowinch.sessions.request_counting import NoRequestCounts, RequestCounts
from pistachiowinch.sessions.shutdown import NO_SHUTDOWN, Shutdown
from pistachiowinch.sessions.site import SiteView
from pistachiowinch.sessions.start_gate import OPEN_GATE, StartGate

__all__ = ["PrimaryView", "RateLimiter", "SessionContext"]


class PrimaryView(Protocol):
    """Read access to the primary of each service."""

    def epoch(self, service: str) -> int:
        """Return the number of the latest switch."""

    def primary(self, service: str) -> str:
        """Return the primary's name; empty while none is known."""

    def acknowledge_until_s(self, service: str, epoch: int) -> float:
        """Return the loop time until which work that was sent in an epoch may be acknowledged."""


class RateLimiter(Protocol):
    """Enforces the customers' rate limits over all hosts."""

    def try_acquire(self, customer: str) -> bool:
        """Take one token if it is available without waiting."""

    async def acquire(self, customer: str, deadline_s: float) -> Result[None, Refusal]:
        """Take one token, waiting for at most one round of borrowing from other hosts."""

    def refund(self, customer: str) -> None:
        """Return a token that was taken and not spent."""


@dataclass
class SessionContext:
    """Dependencies of a session besides its own state.

    :param has_lease: returns whether this host holds a valid lease on its view of the primaries.
    :param is_stopping: whether the host refuses new operations.
    :param shutdown: limits of statements after a stop signal.
    :param request_counts: counts the requests that began to run, for the usage reports.
    :param is_outdated: returns whether a newer configuration is in force that this host lacks.
    :param shared_pools: hands statements to pool hosts; None if this host never does.
    :param start_gate: holds statements until the host has its first lease.
    """

    view: SiteView
    primaries: PrimaryView
    has_lease: Callable[[], bool]
    health: TargetHealth
    connections: ConnectionPools
    rates: RateLimiter
    work: PrimaryWork
    metrics: Metrics
    log: DecisionLog
    availability_zone: str
    is_stopping: bool = False
    shutdown: Shutdown = NO_SHUTDOWN
    is_outdated: Callable[[], bool] = lambda: False
    shared_pools: SharedPools | None = None
    request_counts: RequestCounts = field(default_factory=NoRequestCounts)
    start_gate: StartGate = OPEN_GATE
    outages: ServiceOutages = field(default_factory=ServiceOutages)
    freshness: dict[str, FreshnessLog] = field(default_factory=dict)

    def freshness_of(self, service: str) -> FreshnessLog:
        """Return the log of positions that a service's primary has reported."""
        found = self.freshness.get(service)
        if found is None:
            found = self.freshness[service] = FreshnessLog()
        return found

    def update_outages(self) -> None:
        """Check which services this host can serve now."""
        has_primary: dict[str, bool] = {}
        has_target: dict[str, bool] = {}
        for service in self.view.services:
            primary = self.leased_primary(service)
            has_primary[service] = bool(primary) and not self.health.is_suspected(primary)
            has_target[service] = has_primary[service] or any(
                self.view.may_use(name) and not self.health.is_suspected(name)
                for name in self.view.targets(service)
            )
        self.outages.update(has_primary, has_target)

    def may_acknowledge(self, service: str, sent_epoch: int) -> bool:
        """Whether a commit may be acknowledged to the caller, now that its answer is there.

        A promoter orders no target before this host's exchanges have ended, or the lease that it
        held when it learned of the switch has expired. A commit that is known to be there by then
        preceded the promotion.

        :param sent_epoch: number of the latest switch when the commit was sent.
        """
        has_lease = self.has_lease()
        epoch = self.primaries.epoch(service)
        left_s = self.primaries.acknowledge_until_s(service, sent_epoch) - now_s()
        is_replaced = epoch != sent_epoch and bool(self.primaries.primary(service))
        may_acknowledge = has_lease and left_s > 0.0 and not is_replaced
        if epoch != sent_epoch or not has_lease:
            self.log.write(
                "write_ended_in_switch",
                service=service,
                sent_epoch=sent_epoch,
                epoch=epoch,
                is_replaced=is_replaced,
                has_lease=has_lease,
                lease_left_s=round(left_s, 3) if math.isfinite(left_s) else None,
                is_acknowledged=may_acknowledge,
            )
        return may_acknowledge

    def leased_primary(self, service: str) -> str:
        """Return the primary's name if this host may use it now, else an empty string."""
        primary = self.primaries.primary(service)
        if not primary or not self.view.may_use(primary) or not self.has_lease():
            return ""
        return primary if primary in self.view.targets(service) else ""
