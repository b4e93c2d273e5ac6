"""Slots and connections for statements, with their safe return."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from prometheus_client import Counter
from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import DEADLINE_PASSED, NO_PRIMARY, Refusal
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.configuration.document import Configuration
from pistachiowinch.gateway.admission import Admission
from pistachiowinch.gateway.exchange import Exchanges
from pistachiowinch.gateway.interfaces import (
    ConfigurationView,
    RetryLimiter,
    ServiceParts,
    Services,
    TargetPool,
)
from pistachiowinch.gateway.settings import GatewaySettings
from pistachiowinch.limits.scheduler import SlotGrant, SlotRequest
from pistachiowinch.links.targets import TargetConnection
from pistachiowinch.routing.session import Session

__all__ = ["Borrowed", "RunContext", "TargetUse"]


class Borrowed(NamedTuple):
    """A slot and a connection of one target, held by one statement or transaction.

    :param term: the group's term when the connection was taken.
    """

    parts: ServiceParts
    grant: SlotGrant
    pool: TargetPool
    connection: TargetConnection
    term: int

    def release(self, is_clean: bool) -> None:
        """Return both; the connection is closed unless it is clean and still usable."""
        # The pool itself keeps only usable connections.
        self.pool.release(self.connection, is_clean)
        self.parts.scheduler.release(self.grant)


class TargetUse:
    """Which targets may take new work under the configuration in force.

    :param grace_s: how long a leaving target still takes writes while it is the primary.
    """

    def __init__(self, grace_s: float) -> None:
        """Start without any leaving target."""
        self._grace_s = grace_s
        self._left_at_s: dict[tuple[str, str], float] = {}
        self._in_use: dict[str, frozenset[str]] = {}
        self._version = 0

    def update(self, configuration: Configuration) -> None:
        """Take over a new configuration.

        :param configuration: the version in force from now on.
        """
        self._version = configuration.version
        document = configuration.document
        zones = document["availability_zones"]
        out = {name for name, entry in zones.items() if entry["state"] == "out"}
        left: dict[tuple[str, str], float] = {}
        for service, entry in document["services"].items():
            usable = set()
            for target, target_entry in entry["targets"].items():
                is_out = target_entry["availability_zone"] in out
                if is_out or target_entry["state"] == "leaving":
                    left[service, target] = self._left_at_s.get((service, target), now_s())
                else:
                    usable.add(target)
            self._in_use[service] = frozenset(usable)
        for service in set(self._in_use) - set(document["services"]):
            del self._in_use[service]
        self._left_at_s = left

    @property
    def version(self) -> int:
        """Version of the configuration in use."""
        return self._version

    @property
    def has_leaving(self) -> bool:
        """Whether some target is leaving or in a zone that is out."""
        return bool(self._left_at_s)

    def in_use(self, service: str) -> frozenset[str]:
        """Targets that may take any new work.

        :param service: the service's name.
        """
        return self._in_use.get(service, frozenset())

    def may_write(self, service: str, primary: str) -> bool:
        """Tell whether the primary may take a new write.

        :param service: the service's name.
        :param primary: the current primary.
        """
        if primary in self.in_use(service):
            return True
        left_at_s = self._left_at_s.get((service, primary))
        return left_at_s is not None and now_s() - left_at_s < self._grace_s


class RunContext:
    """What all paths of the gateway share."""

    def __init__(
        self,
        services: Services,
        configuration: ConfigurationView,
        use: TargetUse,
        retries: RetryLimiter,
        metrics: Metrics,
        settings: GatewaySettings,
        admission: Admission,
    ) -> None:
        """Keep the parts."""
        self._admission = admission
        self.services = services
        self.use = use
        self.retries = retries
        self.metrics = metrics
        self.settings = settings
        self.exchanges = Exchanges()
        self._configuration = configuration
        self._routes: dict[str, Counter] = {}

    def count_statement(self, route: str) -> None:
        """Count a statement by its route.

        :param route: label of the counter.
        """
        counter = self._routes.get(route)
        if counter is None:
            counter = self._routes[route] = self.metrics.statements.labels(route=route)
        counter.inc()

    def weight(self, customer: str) -> float:
        """Return a customer's weight in fair queues."""
        entry = self._configuration.current.document["customers"].get(customer)
        return entry["weight"] if entry else 1.0

    def may_retry(self, customer: str, reason: str) -> bool:
        """Spend one retry of a customer's budget and count it.

        :param customer: whose budget pays.
        :param reason: label of the counter.
        """
        if not self.retries.try_spend(customer):
            self.metrics.retries.labels(reason="budget_exhausted").inc()
            return False
        self.metrics.retries.labels(reason=reason).inc()
        return True

    def primary_filter(self, session: Session, parts: ServiceParts) -> Callable[[str], bool]:
        """Build the check for statements that need the primary.

        :param session: the caller's session.
        :param parts: the service's parts.
        """
        service = session.service

        def may_use(target: str) -> bool:
            if parts.group.gate.is_held or target != parts.tracker.primary:
                return False
            if session.token is not None and session.token.term > parts.tracker.term:
                # This host has not heard of the promotion that the session has seen.
                return False
            return self.use.may_write(service, target)

        return may_use

    async def borrow(
        self,
        session: Session,
        parts: ServiceParts,
        may_use: Callable[[str], bool],
        deadline_s: float,
        wake_s: float | None = None,
    ) -> Result[Borrowed, Refusal]:
        """Wait for a slot and a connection on a target that may be used.

        A target that refuses connections has received nothing, so another attempt needs no
        retry budget; it only waits for a back-off.

        :param session: the caller's session.
        :param parts: the service's parts.
        :param may_use: check of a target at the moment at which its slot is free.
        :param deadline_s: loop time at which the request is given up as not run.
        :param wake_s: loop time at which ``may_use`` may allow more targets, or None.
        """
        request = SlotRequest(session.customer, self.weight(session.customer), deadline_s, may_use)
        while True:
            grant = parts.scheduler.try_acquire(request)
            if grant is None:
                waited = await self.wait_for_slot(session, parts, request, wake_s)
                if not isinstance(waited, Success):
                    return waited
                grant = waited.unwrap()
            held = await self._connect(parts, grant, deadline_s)
            if isinstance(held, Success):
                return self._checked(session, held)
            parts.tracker.report_lost_connection(grant.target)
            self.metrics.retries.labels(reason="connect_failed").inc()
            if now_s() + self.settings.connect_backoff_s >= deadline_s:
                return self._too_late("no target accepted a connection in time")
            await sleep_s(self.settings.connect_backoff_s)

    def _checked(self, session: Session, held: Success[Borrowed]) -> Result[Borrowed, Refusal]:
        """Return what was borrowed, unless the session's key was withdrawn in the meantime."""
        checked = self._admission.check_running_work(session)
        if isinstance(checked, Success):
            return held
        held.unwrap().release(is_clean=True)
        return checked

    async def wait_for_slot(
        self,
        session: Session,
        parts: ServiceParts,
        request: SlotRequest,
        wake_s: float | None = None,
    ) -> Result[SlotGrant, Refusal]:
        """Wait in fair order, then check that the session may still run.

        The wait may last several seconds, in which its key may have been withdrawn.

        :param session: the caller's session.
        :param parts: the service's parts.
        :param request: what waits.
        :param wake_s: loop time at which the request may fit more targets, or None.
        """
        waited = await self._wait_in_queue(parts, request, wake_s)
        if not isinstance(waited, Success):
            return waited
        checked = self._admission.check_running_work(session)
        if not isinstance(checked, Success):
            parts.scheduler.release(waited.unwrap())
            return checked
        return waited

    async def _wait_in_queue(
        self, parts: ServiceParts, request: SlotRequest, wake_s: float | None
    ) -> Result[SlotGrant, Refusal]:
        if wake_s is None:
            return await parts.scheduler.acquire(request)
        loop = asyncio.get_running_loop()
        timer = loop.call_at(wake_s, parts.scheduler.recheck_waiting)
        try:
            return await parts.scheduler.acquire(request)
        finally:
            timer.cancel()

    async def borrow_primary(
        self, session: Session, parts: ServiceParts, deadline_s: float
    ) -> Result[Borrowed, Refusal]:
        """Borrow from the primary and enter its gate; the holder has to leave the gate.

        :param session: the caller's session.
        :param parts: the service's parts.
        :param deadline_s: loop time at which the request is given up as not run.
        """
        if parts.group.is_outvoted:
            detail = "this host cannot reach the primary and other hosts can"
            return Failure(Refusal(NO_PRIMARY, detail))
        may_use = self.primary_filter(session, parts)
        match await self.borrow(session, parts, may_use, deadline_s):
            case Success(held):
                pass
            case refused:
                return refused
        is_entered = False
        try:
            is_entered = await parts.group.gate.enter(deadline_s)
        finally:
            if not is_entered:
                held.release(is_clean=True)
        if not is_entered:
            return self._too_late("a planned switch held the request back")
        return Success(held)

    def _too_late(self, detail: str) -> Failure[Refusal]:
        self.metrics.refusals.labels(reason=DEADLINE_PASSED.label).inc()
        return Failure(Refusal(DEADLINE_PASSED, detail))

    async def _connect(
        self, parts: ServiceParts, grant: SlotGrant, deadline_s: float
    ) -> Result[Borrowed, Refusal]:
        term = parts.tracker.term
        connection = None
        try:
            pool = parts.pools[grant.target]
            # An idle connection is the usual case and needs neither a coroutine nor a result.
            connection = pool.try_acquire(deadline_s)
            if connection is None:
                acquired = await pool.acquire(deadline_s)
                if not isinstance(acquired, Success):
                    return acquired
                connection = acquired.unwrap()
        finally:
            if connection is None:
                parts.scheduler.release(grant)
        return Success(Borrowed(parts, grant, pool, connection, term))
