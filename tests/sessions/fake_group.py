"""An in-memory database group, and one host's sessions over it."""

import asyncio
import math
from dataclasses import dataclass, field

from returns.result import Failure, Success

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.codes import RATE_EXCEEDED, Refusal
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.limits.bucket import RateLimit
from pistachiowinch.links.statements import (
    Begin,
    Commit,
    Completed,
    Execute,
    Interrupted,
    Position,
    Prepare,
    Read,
    ReasonRefused,
    Refused,
    Rollback,
    SetValue,
    TargetRefused,
    TargetState,
    Write,
)
from pistachiowinch.sessions.connections import ConnectionPools
from pistachiowinch.sessions.context import SessionContext
from pistachiowinch.sessions.health import TargetHealth
from pistachiowinch.sessions.primary_work import PrimaryWork
from pistachiowinch.sessions.site import (
    Consistency,
    Route,
    ServiceLimits,
    SiteConfiguration,
    SiteView,
    Target,
)

SERVICE = "ledger"
WORK_S = 0.01


@dataclass
class FakeTarget:
    """A target in memory.

    :param applied: number of log entries that it has applied.
    :param is_silent: whether it answers nothing.
    :param lose_answers: number of answers still to be lost.
    :param refuse: reasons for which the next statements are refused.
    :param opened: number of connections opened so far.
    :param reports_position: whether its answers state the end of its log.
    :param runs: statements that it ran: kind, request id and state of the connection.
    """

    name: str
    is_primary: bool
    term: int = 1
    applied: int = 0
    is_silent: bool = False
    lose_answers: int = 0
    refuse: list[ReasonRefused] = field(default_factory=list)
    work_s: float = WORK_S
    max_connections: int = 100
    connections: int = 0
    opened: int = 0
    reports_position: bool = True
    runs: list[tuple] = field(default_factory=list)

    @property
    def position(self) -> Position:
        """End of its log."""
        return Position(self.term, self.applied)


class FakeConnection:
    """Connection to a fake target with its own variables, prepared statements and transaction."""

    def __init__(self, target: FakeTarget, customer: str) -> None:
        """Open a connection."""
        self.target = target
        self.customer = customer
        self.values: dict[str, str] = {}
        self.prepared: dict[str, Prepare] = {}
        self.is_open = True
        self.in_transaction = False
        self.writes: list[str] = []
        target.connections += 1
        target.opened += 1

    @property
    def is_usable(self) -> bool:
        """Whether it is open."""
        return self.is_open

    async def run(self, request_id, statement, after, timeout_s):
        """Run one statement."""
        target = self.target
        if target.is_silent:
            await asyncio.sleep(timeout_s)
            self.close()
            return Interrupted(True, "silent")
        if not isinstance(statement, SetValue | Prepare | Rollback):
            await asyncio.sleep(target.work_s)
        if not self.is_open:
            return Interrupted(True, "closed")
        if target.refuse and isinstance(statement, Read | Write | Execute | Commit):
            return self._refuse(target.refuse.pop(0))
        if after is not None and target.position < after:
            return self._refuse(ReasonRefused.LAGGING)
        outcome = self._apply(request_id, statement)
        if target.lose_answers and isinstance(statement, Read | Write | Execute | Commit):
            target.lose_answers -= 1
            await asyncio.sleep(timeout_s)
            self.close()
            return Interrupted(True, "answer lost")
        return outcome

    def _refuse(self, reason):
        return Refused(reason, reason.name, False, self.target.position)

    def _apply(self, request_id, statement):
        target = self.target
        match statement:
            case SetValue(name, value):
                self.values[name] = value
            case Prepare(name):
                self.prepared[name] = statement
            case Begin(is_read_only):
                if not is_read_only and not target.is_primary:
                    return self._refuse(ReasonRefused.READ_ONLY)
                self.in_transaction = True
                self.writes = []
            case Rollback():
                self.in_transaction = False
            case Commit():
                self.in_transaction = False
                if self.writes:
                    target.applied += 1
                target.runs.append(("commit", request_id, tuple(self.writes), self.customer))
            case Execute(name) if name not in self.prepared:
                return self._refuse(ReasonRefused.NO_STATEMENT)
            case Read() | Write() | Execute():
                is_write = isinstance(statement, Write) or (
                    isinstance(statement, Execute) and self.prepared[statement.name].is_write
                )
                if is_write and not target.is_primary:
                    return self._refuse(ReasonRefused.READ_ONLY)
                template = (
                    self.prepared[statement.name].template
                    if isinstance(statement, Execute)
                    else None
                )
                kind = "write" if is_write else "read"
                target.runs.append((kind, request_id, dict(self.values), self.customer, template))
                if is_write and self.in_transaction:
                    self.writes.append(request_id)
                elif is_write:
                    target.applied += 1
        position = target.position if target.reports_position else None
        return Completed((), f"receipt-{request_id}", position)

    async def reset(self, timeout_s):
        """Drop variables and prepared statements."""
        self.values = {}
        self.prepared = {}
        return Completed((), "", self.target.position)

    async def state(self, timeout_s):
        """Return the target's state."""
        if self.target.is_silent:
            return None
        return TargetState(self.target.is_primary, self.target.term, self.target.position)

    async def demote(self, term, timeout_s):
        """Stop being primary."""
        self.target.is_primary = False
        return await self.state(timeout_s)

    def close(self) -> None:
        """Close the connection; an open transaction is rolled back."""
        if self.is_open:
            self.is_open = False
            self.in_transaction = False
            self.target.connections -= 1


class FakeLink:
    """Opens connections to fake targets."""

    def __init__(self, targets: dict[str, FakeTarget]) -> None:
        """Create a link."""
        self.targets = targets

    async def connect(self, service, target, address, customer, timeout_s):
        """Open a connection."""
        found = self.targets[target]
        if found.is_silent:
            await asyncio.sleep(timeout_s)
            raise TargetRefused("silent")
        await asyncio.sleep(0.012)
        if found.connections >= found.max_connections:
            raise TargetRefused("too many", ReasonRefused.TOO_MANY_CONNECTIONS)
        return FakeConnection(found, customer)


class FakePrimaries:
    """Primary view that a test controls."""

    def __init__(self, primary: str) -> None:
        """Set the first primary."""
        self.name = primary
        self.number = 0
        self.ended_until_s: dict[int, float] = {}

    def epoch(self, service):
        """Return the number of switches."""
        return self.number

    def begin_switch(self, lease_left_s):
        """Learn of a switch while this host's lease lasts for some more seconds."""
        self.ended_until_s[self.number] = now_s() + lease_left_s
        self.number += 1
        self.name = ""

    def acknowledge_until_s(self, service, epoch):
        """Return until when work of an epoch may be acknowledged."""
        if epoch == self.number:
            return math.inf
        return self.ended_until_s.get(epoch, -math.inf)

    def primary(self, service):
        """Return the primary's name."""
        return self.name


class FakeRates:
    """Rate limiter that allows a set number of operations."""

    def __init__(self) -> None:
        """Allow everything."""
        self.remaining = 10**9

    def try_acquire(self, customer):
        """Take a token."""
        self.remaining -= 1
        return self.remaining >= 0

    def refund(self, customer):
        """Return a token."""
        self.remaining += 1

    async def acquire(self, customer, deadline_s):
        """Take a token."""
        if self.remaining >= 0:
            return Success(None)
        return Failure(Refusal(RATE_EXCEEDED, "no token"))


class World:
    """One host's sessions over a fake group of a primary and two replicas."""

    def __init__(self, share: int = 4) -> None:
        """Create targets, of which all answer."""
        self.primary = FakeTarget("a", True)
        self.replicas = [FakeTarget("b", False), FakeTarget("c", False)]
        self.targets = {t.name: t for t in (self.primary, *self.replicas)}
        self.link = FakeLink(self.targets)
        self.share = share
        self.has_lease = True
        log = DecisionLog("test")
        self.view = SiteView(log)
        self.health = TargetHealth(log)
        self.metrics = Metrics()
        self.connections = ConnectionPools(
            self.link, self.health, lambda service: self.share, self.metrics, log
        )
        self.primaries = FakePrimaries("a")
        self.rates = FakeRates()
        self.work = PrimaryWork()
        self.context = SessionContext(
            view=self.view,
            primaries=self.primaries,
            has_lease=lambda: self.has_lease,
            health=self.health,
            connections=self.connections,
            rates=self.rates,
            work=self.work,
            metrics=self.metrics,
            log=log,
            availability_zone="z1",
        )
        self.register()
        self.configure(1)

    def register(self, leaving: frozenset[str] = frozenset()) -> None:
        """Replace the targets of the view."""
        self.view.set_targets(
            Target(t.name, SERVICE, f"{t.name}:1", "z1", 5, t.name in leaving, t.is_primary, 1)
            for t in self.targets.values()
        )

    def configure(self, version: int, keys: tuple[str, ...] = ("key", "key2")) -> None:
        """Apply a configuration."""
        routes = {
            kind.value: Route(kind.value, SERVICE, kind, 1.0, 0.4, 1, 2.0, False)
            for kind in Consistency
        }
        customers = {"key": "carp", "key2": "weld", "key3": "yard"}
        self.view.set_configuration(
            SiteConfiguration(
                version,
                routes,
                {key: customers[key] for key in keys},
                {"carp": RateLimit(10, 10)},
                {SERVICE: ServiceLimits(SERVICE, 33)},
                3.0,
                1000,
            ),
            "test",
        )

    async def observe(self) -> None:
        """Record the primary's position, as answers to other statements do."""
        log = self.context.freshness_of(SERVICE)
        log.record(self.primaries.number, now_s(), self.primary.position)
