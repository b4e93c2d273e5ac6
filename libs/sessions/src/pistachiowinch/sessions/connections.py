"""Connections of this host to targets, shared by all sessions.

Load pattern: more sessions than connections, and connections belong to one customer. Waiting
requests are served by route priority and arrival; a connection that the customer already has
goes before a new one, and the connection that was idle longest makes room for another customer.

A transaction holds its connection while its caller pauses. Where a host's part is so small that one
transaction blocks its other requests, it opens a few more than its part: other hosts rarely use all
of theirs at the same time, and the target itself refuses what is too much.
"""

import asyncio
import itertools
from collections.abc import Callable, Sequence
from typing import NamedTuple

from pistachiowinch.base.clock import now_s, remaining_s
from pistachiowinch.base.codes import QUEUE_FULL, Refusal
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.links.statements import (
    RefusalReason,
    StatementConnection,
    StatementLink,
    TargetRefused,
)
from pistachiowinch.sessions.health import REFUSED_PAUSE_S, TargetHealth
from pistachiowinch.sessions.replies import come_back
from pistachiowinch.sessions.site import Target

__all__ = ["ConnectionPools", "PooledConnection", "Wanted"]

# A new connection takes 12 ms and a round trip, and up to the queue of a busy target.
OPEN_TIMEOUT_S = 0.6
# Waiting requests of one service: 15 slots serve about as many in the 0.2 s of the shortest aim.
MAX_WAITING = 64
# Part of a host's connections to a target that may stay open without use, so that those of a run
# that lost power and of its next run fit together.
KEPT_PART = 0.4
# Connections above that part are closed after this time without use, some operations of a session.
IDLE_KEPT_S = 0.6
# Connections that a host may open to a target even if its part is smaller, for requests that would
# wait otherwise; a host meets two transactions on one target at the same time.
USEFUL_CONNECTIONS = 3
# Tiers of targets that are expected to serve: fresh replicas and the primary.
SURE_TIERS = 2
# A target that refused one above the part is full; transactions end within a second or two.
EXTRA_PAUSE_S = 1.0


class Wanted(NamedTuple):
    """What a request needs.

    :param tiers: targets in order of preference; within a tier the first free one is taken.
    """

    customer: str
    tiers: Callable[[], Sequence[Sequence[Target]]]
    priority: int
    deadline_s: float


class PooledConnection:
    """A connection with the session state that it carries at its target.

    :param prepared: names that exist there.
    """

    __slots__ = ("connection", "customer", "idle_since_s", "prepared", "target", "values")

    def __init__(self, connection: StatementConnection, target: Target, customer: str) -> None:
        """Wrap a new connection."""
        self.connection = connection
        self.target = target
        self.customer = customer
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.idle_since_s = 0.0


class _Pool:
    """Connections to one target."""

    __slots__ = ("idle", "no_extra_until_s", "opened", "target")

    def __init__(self, target: Target) -> None:
        self.target = target
        self.idle: list[PooledConnection] = []
        self.opened = 0
        self.no_extra_until_s = 0.0


class _Waiter(NamedTuple):
    priority: int
    number: int
    wanted: Wanted
    future: "asyncio.Future[PooledConnection | Target]"


class ConnectionPools:
    """All connections of this host.

    :param link: opens connections.
    :param health: learns which targets do not answer.
    :param share: returns how many connections this host may open to a target of a service.
    :param metrics: counts refusals and closed connections.
    :param log: decisions of this part.
    """

    def __init__(
        self,
        link: StatementLink,
        health: TargetHealth,
        share: Callable[[str], int],
        metrics: Metrics,
        log: DecisionLog,
    ) -> None:
        """Create empty pools."""
        self._link = link
        self._health = health
        self._share = share
        self._metrics = metrics
        self._log = log
        self._pools: dict[str, _Pool] = {}
        self._waiters: dict[str, list[_Waiter]] = {}
        self._numbers = itertools.count()
        self._is_waking = False

    async def acquire(self, service: str, wanted: Wanted) -> PooledConnection | Refusal:
        """Take a connection to one of the wanted targets, waiting until the deadline.

        :returns: a connection without an exchange, or why there is none.
        """
        while True:
            found = self._try_take(wanted)
            if found is None:
                found = await self._wait(service, wanted)
            match found:
                case Refusal() | PooledConnection():
                    return found
                case Target():
                    opened = await self._open(service, found, wanted)
                    if opened is not None:
                        return opened
            if now_s() >= wanted.deadline_s:
                return self._refuse("no target could be reached in time")

    def release(self, held: PooledConnection) -> None:
        """Give a connection back; one that is no longer usable is closed."""
        pool = self._pools.get(held.target.name)
        is_known = pool is not None and pool.target.started_ms == held.target.started_ms
        if not is_known or not held.connection.is_usable:
            self.discard(held, "unusable")
            return
        held.idle_since_s = now_s()
        pool.idle.append(held)
        self._wake(held.target.service)
        if held in pool.idle and pool.opened > self._share(held.target.service):
            pool.idle.remove(held)
            self.discard(held, "extra")

    def discard(self, held: PooledConnection, cause: str) -> None:
        """Close a connection that was taken."""
        held.connection.close()
        self._metrics.connections_closed.labels(cause).inc()
        pool = self._pools.get(held.target.name)
        if pool is not None and pool.target.started_ms == held.target.started_ms:
            pool.opened -= 1
        self._wake(held.target.service)

    def close_idle(self, target: str, cause: str) -> None:
        """Close the idle connections to a target; what silenced one may have silenced all."""
        pool = self._pools.get(target)
        while pool is not None and pool.idle:
            self.discard(pool.idle.pop(), cause)

    def trim_idle(self) -> None:
        """Close connections that were idle for long, above this host's kept part.

        Targets count the connections of a host that lost power for seconds. Its next run, and all
        other hosts after a common loss, must still find room for theirs.
        """
        oldest_s = now_s() - IDLE_KEPT_S
        for pool in self._pools.values():
            kept = int(self._share(pool.target.service) * KEPT_PART)
            idle = sorted(pool.idle, key=lambda held: held.idle_since_s)
            for held in idle[: max(pool.opened - kept, 0)]:
                if held.idle_since_s < oldest_s:
                    pool.idle.remove(held)
                    self.discard(held, "idle")

    def set_targets(self, targets: dict[str, Target]) -> None:
        """Drop the pools of targets that are gone or restarted."""
        for name, pool in tuple(self._pools.items()):
            known = targets.get(name)
            if known is None or known.started_ms != pool.target.started_ms:
                self.close_idle(name, "target_gone")
                del self._pools[name]
            else:
                pool.target = known
        for service in tuple(self._waiters):
            self._wake(service)

    def wake_all(self) -> None:
        """Let waiting requests look again, because targets or shares changed."""
        for service in tuple(self._waiters):
            self._wake(service)

    def pause(self, target: Target, pause_s: float) -> None:
        """Use a target for no request for a while, because it refused one."""
        self._health.note_refused(target.name, pause_s)
        asyncio.get_running_loop().call_later(pause_s, self._wake, target.service)

    def waiting(self, service: str) -> int:
        """Number of requests that wait for a connection of a service."""
        return len(self._waiters.get(service, ()))

    def _try_take(self, wanted: Wanted) -> "PooledConnection | Target | None":
        tiers = [
            [target for target in tier if not self._health.is_paused(target.name)]
            for tier in wanted.tiers()
        ]
        # Targets that are sure to serve come first, even by an extra connection.
        for group in (tiers[:SURE_TIERS], tiers[SURE_TIERS:]):
            for tier in group:
                found = self._take_part(tier, wanted.customer)
                if found is not None:
                    return found
            for tier in group:
                extra = self._reserve_extra(tier)
                if extra is not None:
                    return extra
        return None

    def _take_part(self, usable: list[Target], customer: str) -> "PooledConnection | Target | None":
        return (
            self._take_own(usable, customer)
            or self._reserve_new(usable)
            or self._replace_idle(usable)
        )

    def _take_own(self, targets: list[Target], customer: str) -> PooledConnection | None:
        for target in targets:
            pool = self._pools.get(target.name)
            if pool is None:
                continue
            for index in range(len(pool.idle) - 1, -1, -1):
                held = pool.idle[index]
                if held.customer == customer:
                    del pool.idle[index]
                    if held.connection.is_usable:
                        return held
                    self.discard(held, "closed_by_target")
                    return self._take_own(targets, customer)
        return None

    def _reserve_new(self, targets: list[Target]) -> Target | None:
        for target in targets:
            pool = self._pools.get(target.name)
            if pool is None:
                pool = self._pools[target.name] = _Pool(target)
            if pool.opened < self._share(target.service):
                pool.opened += 1
                return target
        return None

    def _reserve_extra(self, targets: list[Target]) -> Target | None:
        for target in targets:
            pool = self._pools[target.name]
            if pool.opened < USEFUL_CONNECTIONS and now_s() >= pool.no_extra_until_s:
                pool.opened += 1
                return target
        return None

    def _replace_idle(self, targets: list[Target]) -> Target | None:
        for target in targets:
            pool = self._pools[target.name]
            if pool.idle:
                oldest = min(pool.idle, key=lambda held: held.idle_since_s)
                pool.idle.remove(oldest)
                oldest.connection.close()
                self._metrics.connections_closed.labels("other_customer").inc()
                return target
        return None

    async def _open(self, service: str, target: Target, wanted: Wanted) -> PooledConnection | None:
        timeout_s = min(OPEN_TIMEOUT_S, remaining_s(wanted.deadline_s))
        asked_s = now_s()
        is_open = False
        try:
            connection = await self._link.connect(
                service, target.name, target.address, wanted.customer, timeout_s
            )
            is_open = True
            self._health.note_alive(target.name)
            self._health.note_opened(target.name, now_s() - asked_s)
            return PooledConnection(connection, target, wanted.customer)
        except TargetRefused as error:
            self._note_refused(target, error)
            return None
        finally:
            if not is_open:
                self._unreserve(target)

    def _note_refused(self, target: Target, error: TargetRefused) -> None:
        self._metrics.retries.labels("connection_refused").inc()
        match error.reason:
            case None | RefusalReason.WRONG_TARGET:
                self._health.note_failure(target.name, str(error))
            case _:
                self._health.note_alive(target.name)
        self._log.write("connection_refused", target=target.name, cause=str(error)[:80])
        pool = self._pools.get(target.name)
        if pool is not None and pool.opened > self._share(target.service):
            # Only the extra ones are too many; those of this host's part still serve.
            pool.no_extra_until_s = now_s() + EXTRA_PAUSE_S
            return
        self.pause(target, REFUSED_PAUSE_S)

    def _unreserve(self, target: Target) -> None:
        pool = self._pools.get(target.name)
        if pool is not None and pool.target.started_ms == target.started_ms:
            pool.opened -= 1
        self._wake(target.service)

    async def _wait(self, service: str, wanted: Wanted) -> "PooledConnection | Target | Refusal":
        waiters = self._waiters.setdefault(service, [])
        if len(waiters) >= MAX_WAITING:
            return self._refuse("too many requests wait for a connection")
        waiter = _Waiter(
            wanted.priority,
            next(self._numbers),
            wanted,
            asyncio.get_running_loop().create_future(),
        )
        waiters.append(waiter)
        waiters.sort(key=lambda entry: entry[:2])
        try:
            async with asyncio.timeout_at(wanted.deadline_s):
                return await waiter.future
        except TimeoutError:
            if waiter.future.done() and not waiter.future.cancelled():
                return waiter.future.result()
            return self._refuse("no connection became free in time")
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                self._return_unused(waiter.future.result())
            raise
        finally:
            if waiter in waiters:
                waiters.remove(waiter)

    def _return_unused(self, found: "PooledConnection | Target") -> None:
        if isinstance(found, PooledConnection):
            self.release(found)
        else:
            self._unreserve(found)

    def _wake(self, service: str) -> None:
        waiters = self._waiters.get(service)
        if not waiters or self._is_waking:
            return
        # Taking a connection may close another one, which would wake the waiters again.
        self._is_waking = True
        try:
            for waiter in tuple(waiters):
                self._serve(waiters, waiter)
        finally:
            self._is_waking = False

    def _serve(self, waiters: list[_Waiter], waiter: _Waiter) -> None:
        if waiter.future.done():
            return
        found = self._try_take(waiter.wanted)
        if found is not None:
            waiters.remove(waiter)
            waiter.future.set_result(found)

    def _refuse(self, detail: str) -> Refusal:
        self._metrics.refusals.labels(QUEUE_FULL.label).inc()
        return Refusal(QUEUE_FULL, come_back(detail))
