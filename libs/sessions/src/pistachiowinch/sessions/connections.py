"""Connection pools of this host, one for each target, shared by all sessions.

Load pattern: there are more sessions than connections, and each connection belongs to one customer.
Waiting requests are served by route priority and then by arrival. An idle connection of the same
customer is preferred to a new one; when the pool is full, the connection that was idle longest is
closed and replaced by one for another customer.

A transaction keeps its connection while its caller pauses. A host whose share is so small that one
transaction would block its other requests opens a few connections above its share: other hosts
rarely use all of theirs at the same time, and the target refuses connections above its limit.
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
    ReasonRefused,
    StatementConnection,
    StatementLink,
    TargetRefused,
)
from pistachiowinch.sessions.health import REFUSED_PAUSE_S, SLOW_EXCHANGE_S, TargetHealth
from pistachiowinch.sessions.replies import with_retry_after
from pistachiowinch.sessions.site import Target

__all__ = ["ConnectionPools", "ConnectionRequest", "PooledConnection"]

# Opening a connection takes 12 ms and a round trip, plus the queueing delay of a busy target.
OPEN_TIMEOUT_S = 0.6
# Per service: 15 slots serve about this many requests in 0.2 s, the shortest target latency.
MAX_WAITING_REQUESTS = 64
# Part of a host's share of connections that may stay idle. After a power loss the target still
# counts the connections of the lost process, and the next process needs room for its own.
IDLE_KEPT_FRACTION = 0.4
# Idle time, the length of a few operations, after which connections above that part are closed.
MAX_IDLE_S = 0.6
# Connections that a host may open to a target even if its share is smaller, for requests that would
# otherwise wait; two transactions of a host often run on one target at the same time.
MIN_CONNECTION_LIMIT = 3
# Tiers whose targets are expected to serve: replicas without known lag, and the primary.
PREFERRED_TIERS = 2
# After a target refused a connection above the share, none is tried for this time; transactions
# end within a second or two.
EXTRA_PAUSE_S = 1.0


class ConnectionRequest(NamedTuple):
    """A request for a connection.

    :param tiers: returns the targets in order of preference; the first free target of a tier is
        taken.
    """

    customer: str
    tiers: Callable[[], Sequence[Sequence[Target]]]
    priority: int
    deadline_s: float


class PooledConnection:
    """A connection with the session state that its target keeps for it.

    :ivar is_shared: whether a pool host holds it, so that it belongs to none of this host's pools.
    :ivar values: variables that are set.
    :ivar prepared: names of the prepared statements.
    """

    __slots__ = (
        "connection",
        "customer",
        "idle_since_s",
        "is_shared",
        "prepared",
        "target",
        "values",
    )

    def __init__(
        self,
        connection: StatementConnection,
        target: Target,
        customer: str,
        is_shared: bool = False,
    ) -> None:
        """Wrap a new connection."""
        self.connection = connection
        self.target = target
        self.customer = customer
        self.is_shared = is_shared
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.idle_since_s = 0.0


class _Pool:
    """Connections to one target."""

    __slots__ = ("idle", "no_extra_until_s", "open_count", "target")

    def __init__(self, target: Target) -> None:
        self.target = target
        self.idle: list[PooledConnection] = []
        self.open_count = 0
        self.no_extra_until_s = 0.0


class _Waiter(NamedTuple):
    priority: int
    sequence: int
    request: ConnectionRequest
    future: "asyncio.Future[PooledConnection | Target]"


class ConnectionPools:
    """All connections of this host to targets.

    :param link: opens connections.
    :param health: records which targets respond.
    :param limit: returns how many connections this host may open to a target.
    :param metrics: counts refusals and closed connections.
    :param log: decision log of this component.
    """

    def __init__(
        self,
        link: StatementLink,
        health: TargetHealth,
        limit: Callable[[Target], int],
        metrics: Metrics,
        log: DecisionLog,
    ) -> None:
        """Create empty pools."""
        self._link = link
        self._health = health
        self._limit = limit
        self._metrics = metrics
        self._log = log
        self._pools: dict[str, _Pool] = {}
        self._waiters: dict[str, list[_Waiter]] = {}
        self._sequence = itertools.count()
        self._is_waking = False

    async def acquire(self, service: str, request: ConnectionRequest) -> PooledConnection | Refusal:
        """Take a connection to one of the requested targets, waiting until the deadline.

        :returns: a connection that runs no statement, or the reason why there is none.
        """
        while True:
            found = self._try_take(request)
            if found is None:
                found = await self._wait(service, request)
            match found:
                case Refusal() | PooledConnection():
                    return found
                case Target():
                    opened = await self._open(service, found, request)
                    if opened is not None:
                        return opened
            if now_s() >= request.deadline_s:
                return self._refuse("no target could be reached in time")

    def release(self, pooled: PooledConnection) -> None:
        """Return a connection to its pool; an unusable one is closed."""
        if pooled.is_shared:
            return
        pool = self._pools.get(pooled.target.name)
        is_known = pool is not None and pool.target.started_ms == pooled.target.started_ms
        if not is_known or not pooled.connection.is_usable:
            self.discard(pooled, "unusable")
            return
        pooled.idle_since_s = now_s()
        pool.idle.append(pooled)
        self._wake(pooled.target.service)
        if pooled in pool.idle and pool.open_count > self._limit(pooled.target):
            pool.idle.remove(pooled)
            self.discard(pooled, "extra")

    def discard(self, pooled: PooledConnection, cause: str) -> None:
        """Close a connection that was taken from a pool."""
        pooled.connection.close()
        self._metrics.connections_closed.labels(cause).inc()
        pool = self._pools.get(pooled.target.name)
        if pool is not None and pool.target.started_ms == pooled.target.started_ms:
            pool.open_count -= 1
        self._wake(pooled.target.service)

    def close_idle(self, target: str, cause: str) -> None:
        """Close the idle connections to a target, since a fault of one may affect all of them."""
        pool = self._pools.get(target)
        while pool is not None and pool.idle:
            self.discard(pool.idle.pop(), cause)

    def trim_idle(self) -> None:
        """Close connections that were idle too long and exceed the kept part of the share.

        A target counts the connections of a host that lost power for some seconds more. The next
        process of that host, and of every host after a common power loss, needs room for its own.
        """
        oldest_s = now_s() - MAX_IDLE_S
        for pool in self._pools.values():
            kept = int(self._limit(pool.target) * IDLE_KEPT_FRACTION)
            idle = sorted(pool.idle, key=lambda pooled: pooled.idle_since_s)
            for pooled in idle[: max(pool.open_count - kept, 0)]:
                if pooled.idle_since_s < oldest_s:
                    pool.idle.remove(pooled)
                    self.discard(pooled, "idle")

    def set_targets(self, targets: dict[str, Target]) -> None:
        """Drop the pools of targets that were removed or restarted."""
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
        """Retry all waiting requests, because targets or shares changed."""
        for service in tuple(self._waiters):
            self._wake(service)

    def pause(self, target: Target, pause_s: float) -> None:
        """Stop using a target for a while, because it refused a connection or a statement."""
        self._health.note_refused(target.name, pause_s)
        asyncio.get_running_loop().call_later(pause_s, self._wake, target.service)

    def waiting_count(self, service: str) -> int:
        """Return the number of requests that wait for a connection of a service."""
        return len(self._waiters.get(service, ()))

    def _try_take(self, request: ConnectionRequest) -> "PooledConnection | Target | None":
        tiers = [
            [target for target in tier if not self._health.is_paused(target.name)]
            for tier in request.tiers()
        ]
        # Preferred tiers go first, even if that takes a connection above the share.
        for group in (tiers[:PREFERRED_TIERS], tiers[PREFERRED_TIERS:]):
            for tier in group:
                found = self._take_within_share(tier, request.customer)
                if found is not None:
                    return found
            for tier in group:
                extra = self._reserve_extra(tier)
                if extra is not None:
                    return extra
        return None

    def _take_within_share(
        self, usable: list[Target], customer: str
    ) -> "PooledConnection | Target | None":
        return (
            self._take_idle(usable, customer)
            or self._reserve_new(usable)
            or self._replace_idle(usable)
        )

    def _take_idle(self, targets: list[Target], customer: str) -> PooledConnection | None:
        for target in targets:
            pool = self._pools.get(target.name)
            if pool is None:
                continue
            for index in range(len(pool.idle) - 1, -1, -1):
                pooled = pool.idle[index]
                if pooled.customer == customer:
                    del pool.idle[index]
                    if pooled.connection.is_usable:
                        return pooled
                    self.discard(pooled, "closed_by_target")
                    return self._take_idle(targets, customer)
        return None

    def _reserve_new(self, targets: list[Target]) -> Target | None:
        for target in targets:
            pool = self._pools.get(target.name)
            if pool is None:
                pool = self._pools[target.name] = _Pool(target)
            if pool.open_count < self._limit(target):
                pool.open_count += 1
                return target
        return None

    def _reserve_extra(self, targets: list[Target]) -> Target | None:
        for target in targets:
            pool = self._pools[target.name]
            if pool.open_count < MIN_CONNECTION_LIMIT and now_s() >= pool.no_extra_until_s:
                pool.open_count += 1
                return target
        return None

    def _replace_idle(self, targets: list[Target]) -> Target | None:
        for target in targets:
            pool = self._pools[target.name]
            if pool.idle:
                oldest = min(pool.idle, key=lambda pooled: pooled.idle_since_s)
                pool.idle.remove(oldest)
                oldest.connection.close()
                self._metrics.connections_closed.labels("other_customer").inc()
                return target
        return None

    async def _open(
        self, service: str, target: Target, request: ConnectionRequest
    ) -> PooledConnection | None:
        timeout_s = min(OPEN_TIMEOUT_S, remaining_s(request.deadline_s))
        started_s = now_s()
        is_open = False
        try:
            connection = await self._link.connect(
                service, target.name, target.address, request.customer, timeout_s
            )
            is_open = True
            self._health.note_alive(target.name)
            self._health.note_connected(target.name, now_s() - started_s)
            return PooledConnection(connection, target, request.customer)
        except TargetRefused as error:
            is_judged = error.reason is not None or now_s() - started_s >= SLOW_EXCHANGE_S
            if is_judged or now_s() < started_s + timeout_s:
                self._note_refused(target, error)
            return None
        finally:
            if not is_open:
                self._cancel_reservation(target)

    def _note_refused(self, target: Target, error: TargetRefused) -> None:
        self._metrics.retries.labels("connection_refused").inc()
        match error.reason:
            case None | ReasonRefused.WRONG_TARGET:
                self._health.note_failure(target.name, str(error))
            case _:
                self._health.note_alive(target.name)
        self._log.write("connection_refused", target=target.name, cause=str(error)[:80])
        pool = self._pools.get(target.name)
        if pool is not None and pool.open_count > self._limit(target):
            # Only connections above the share are refused; those within it remain usable.
            pool.no_extra_until_s = now_s() + EXTRA_PAUSE_S
            return
        self.pause(target, REFUSED_PAUSE_S)

    def _cancel_reservation(self, target: Target) -> None:
        pool = self._pools.get(target.name)
        if pool is not None and pool.target.started_ms == target.started_ms:
            pool.open_count -= 1
        self._wake(target.service)

    async def _wait(
        self, service: str, request: ConnectionRequest
    ) -> "PooledConnection | Target | Refusal":
        waiters = self._waiters.setdefault(service, [])
        if len(waiters) >= MAX_WAITING_REQUESTS:
            return self._refuse("too many requests wait for a connection")
        waiter = _Waiter(
            request.priority,
            next(self._sequence),
            request,
            asyncio.get_running_loop().create_future(),
        )
        waiters.append(waiter)
        waiters.sort(key=lambda entry: entry[:2])
        try:
            async with asyncio.timeout_at(request.deadline_s):
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
            self._cancel_reservation(found)

    def _wake(self, service: str) -> None:
        waiters = self._waiters.get(service)
        if not waiters or self._is_waking:
            return
        # Taking a connection may close another one, which would call this method again.
        self._is_waking = True
        try:
            for waiter in tuple(waiters):
                self._offer(waiters, waiter)
        finally:
            self._is_waking = False

    def _offer(self, waiters: list[_Waiter], waiter: _Waiter) -> None:
        if waiter.future.done():
            return
        found = self._try_take(waiter.request)
        if found is not None:
            waiters.remove(waiter)
            waiter.future.set_result(found)

    def _refuse(self, detail: str) -> Refusal:
        self._metrics.refusals.labels(QUEUE_FULL.label).inc()
        return Refusal(QUEUE_FULL, with_retry_after(detail))
