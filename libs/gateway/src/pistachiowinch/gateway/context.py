"""Acquires and releases the slots and connections that statements run on."""

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

__all__ = ["AcquiredTarget", "RunContext", "TargetEligibility"]


class AcquiredTarget(NamedTuple):
    """A slot and a connection of one target, held by one statement or transaction.

    :param term: the group's term when the connection was taken.
    """

    parts: ServiceParts
    grant: SlotGrant
    pool: TargetPool
    connection: TargetConnection
    term: int

    def release(self, is_clean: bool) -> None:
        """Release both; the connection is closed unless it is clean and still usable."""
        # The pool itself keeps only usable connections.
        self.pool.release(self.connection, is_clean)
        self.parts.scheduler.release(self.grant)


class TargetEligibility:
    """Which targets may take new work under the configuration in force.

    :param grace_s: how long a leaving target still takes writes while it is the primary.
    """

    def __init__(self, grace_s: float) -> None:
        """Start without any leaving target."""
        self._grace_s = grace_s
        self._leaving_since_s: dict[tuple[str, str], float] = {}
        self._in_use: dict[str, frozenset[str]] = {}
        self._version = 0

    def update(self, configuration: Configuration) -> None:
        """Apply a new configuration.

        :param configuration: the version in force from now on.
        """
        self._version = configuration.version
        document = configuration.document
        zones = document["availability_zones"]
        zones_out = {name for name, entry in zones.items() if entry["state"] == "out"}
        leaving_since_s: dict[tuple[str, str], float] = {}
        for service, entry in document["services"].items():
            usable = set()
            for target, target_entry in entry["targets"].items():
                is_out = target_entry["availability_zone"] in zones_out
                if is_out or target_entry["state"] == "leaving":
                    leaving_since_s[service, target] = self._leaving_since_s.get(
                        (service, target), now_s()
                    )
                else:
                    usable.add(target)
            self._in_use[service] = frozenset(usable)
        for service in set(self._in_use) - set(document["services"]):
            del self._in_use[service]
        self._leaving_since_s = leaving_since_s

    @property
    def version(self) -> int:
        """Version of the configuration in use."""
        return self._version

    @property
    def has_leaving(self) -> bool:
        """Whether some target is leaving or in a zone that is out."""
        return bool(self._leaving_since_s)

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
        leaving_since_s = self._leaving_since_s.get((service, primary))
        return leaving_since_s is not None and now_s() - leaving_since_s < self._grace_s


class RunContext:
    """Components and settings that all statement paths of the gateway share."""

    def __init__(
        self,
        services: Services,
        configuration: ConfigurationView,
        eligibility: TargetEligibility,
        retries: RetryLimiter,
        metrics: Metrics,
        settings: GatewaySettings,
        admission: Admission,
    ) -> None:
        """Store the components."""
        self._admission = admission
        self.services = services
        self.eligibility = eligibility
        self.retries = retries
        self.metrics = metrics
        self.settings = settings
        self.exchanges = Exchanges()
        self._configuration = configuration
        self._route_counters: dict[str, Counter] = {}

    def count_statement(self, route: str) -> None:
        """Count a statement by its route.

        :param route: label of the counter.
        """
        counter = self._route_counters.get(route)
        if counter is None:
            counter = self._route_counters[route] = self.metrics.statements.labels(route=route)
        counter.inc()

    def weight(self, customer: str) -> float:
        """Return a customer's weight in fair queues."""
        entry = self._configuration.current.document["customers"].get(customer)
        return entry["weight"] if entry else 1.0

    def may_retry(self, customer: str, reason: str) -> bool:
        """Spend one retry of a customer's budget and count it.

        :param customer: customer whose budget is charged.
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
                # The session has seen a promotion that this host does not know yet.
                return False
            return self.eligibility.may_write(service, target)

        return may_use

    async def acquire(
        self,
        session: Session,
        parts: ServiceParts,
        may_use: Callable[[str], bool],
        deadline_s: float,
        recheck_at_s: float | None = None,
    ) -> Result[AcquiredTarget, Refusal]:
        """Wait for a slot and a connection on a target that may be used.

        A target that refuses connections has received nothing, so another attempt costs no
        retry budget; it only waits for a backoff.

        :param session: the caller's session.
        :param parts: the service's parts.
        :param may_use: tells whether a target may be used; called when a slot on it is free.
        :param deadline_s: loop time at which the request is refused as not run.
        :param wake_s: loop time at which ``may_use`` may allow more targets, or None.
        """
        request = SlotRequest(session.customer, self.weight(session.customer), deadline_s, may_use)
        while True:
            grant = parts.scheduler.try_acquire(request)
            if grant is None:
                waited = await self.wait_for_slot(session, parts, request, recheck_at_s)
                if not isinstance(waited, Success):
                    return waited
                grant = waited.unwrap()
            held = await self._connect(parts, grant, deadline_s)
            if isinstance(held, Success):
                return self._recheck_session(session, held)
            parts.tracker.report_lost_connection(grant.target)
            self.metrics.retries.labels(reason="connect_failed").inc()
            if now_s() + self.settings.connect_backoff_s >= deadline_s:
                return self._deadline_passed("no target accepted a connection in time")
            await sleep_s(self.settings.connect_backoff_s)

    def _recheck_session(
        self, session: Session, held: Success[AcquiredTarget]
    ) -> Result[AcquiredTarget, Refusal]:
        """Return what was acquired, or release it if the session may no longer run."""
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
        recheck_at_s: float | None = None,
    ) -> Result[SlotGrant, Refusal]:
        """Wait for a slot in the fair queue, then check that the session may still run.

        The session's key may have been withdrawn during the wait, which can last several seconds.

        :param session: the caller's session.
        :param parts: the service's parts.
        :param request: the request to queue.
        :param wake_s: loop time at which the request may fit more targets, or None.
        """
        waited = await self._wait_in_queue(parts, request, recheck_at_s)
        if not isinstance(waited, Success):
            return waited
        checked = self._admission.check_running_work(session)
        if not isinstance(checked, Success):
            parts.scheduler.release(waited.unwrap())
            return checked
        return waited

    async def _wait_in_queue(
        self, parts: ServiceParts, request: SlotRequest, recheck_at_s: float | None
    ) -> Result[SlotGrant, Refusal]:
        if recheck_at_s is None:
            return await parts.scheduler.acquire(request)
        loop = asyncio.get_running_loop()
        timer = loop.call_at(recheck_at_s, parts.scheduler.recheck_waiting)
        try:
            return await parts.scheduler.acquire(request)
        finally:
            timer.cancel()

    async def acquire_primary(
        self, session: Session, parts: ServiceParts, deadline_s: float
    ) -> Result[AcquiredTarget, Refusal]:
        """Acquire the primary and enter its gate; the caller has to leave the gate.

        :param session: the caller's session.
        :param parts: the service's parts.
        :param deadline_s: loop time at which the request is refused as not run.
        """
        if parts.group.is_outvoted:
            detail = "this host cannot reach the primary and other hosts can"
            return Failure(Refusal(NO_PRIMARY, detail))
        may_use = self.primary_filter(session, parts)
        match await self.acquire(session, parts, may_use, deadline_s):
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
            return self._deadline_passed("a planned switch held the request back")
        return Success(held)

    def _deadline_passed(self, detail: str) -> Failure[Refusal]:
        self.metrics.refusals.labels(reason=DEADLINE_PASSED.label).inc()
        return Failure(Refusal(DEADLINE_PASSED, detail))

    async def _connect(
        self, parts: ServiceParts, grant: SlotGrant, deadline_s: float
    ) -> Result[AcquiredTarget, Refusal]:
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
        return Success(AcquiredTarget(parts, grant, pool, connection, term))
