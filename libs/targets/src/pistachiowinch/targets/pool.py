"""Pool of connections to one target.

Only connections whose last exchange ended cleanly are reused. All others are closed, because a
late answer on a reused connection would be taken for the answer to another statement.
"""

import asyncio
import collections
import enum

from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.codes import DEADLINE_PASSED, TARGET_UNREACHABLE, Refusal
from pistachiowinch.base.logs import part_logger
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.links.targets import (
    Failed,
    Succeeded,
    TargetConnection,
    TargetLink,
    TargetUnreachable,
)

__all__ = ["IDLE_LIMIT_S", "CloseReason", "ConnectionPool", "ProbeOutcome"]

# Shorter than the idle limits that firewalls and targets commonly apply.
IDLE_LIMIT_S = 30.0
PROBE_STATEMENT = "SELECT 1"

_log = part_logger("pool")


class CloseReason(enum.Enum):
    """Why a connection was closed; values are labels of the counter."""

    UNCLEAN = "unclean"
    BROKEN = "broken"
    CLOSED_BY_TARGET = "closed_by_target"
    IDLE = "idle"
    OVER_LIMIT = "over_limit"
    DRAINED = "drained"
    PROBE = "probe"


class ProbeOutcome(enum.Enum):
    """Result of a probe over a new connection after a statement got no answer."""

    SILENT_CONNECTION = "silent_connection"
    SLOW_TARGET = "slow_target"
    UNREACHABLE = "unreachable"


class ConnectionPool:
    """Connections to one target, at most a given number.

    :param link: opens connections.
    :param target: the target's name.
    :param connections: limit of open connections.
    :param metrics: counts closed connections by reason; None counts only in the pool.
    :param idle_limit_s: a connection unused for longer is closed instead of reused.
    """

    def __init__(
        self,
        link: TargetLink,
        target: str,
        connections: int,
        metrics: Metrics | None = None,
        idle_limit_s: float = IDLE_LIMIT_S,
    ) -> None:
        """Start without connections."""
        self._link = link
        self.target = target
        self._limit = connections
        self._metrics = metrics
        self._idle_limit_s = idle_limit_s
        self._idle: collections.deque[tuple[TargetConnection, float]] = collections.deque()
        self._in_use: set[TargetConnection] = set()
        self._opening = 0
        self._waiters: collections.deque[asyncio.Future[None]] = collections.deque()
        self._closing: set[asyncio.Task[None]] = set()
        self._is_draining = False
        self._emptied = asyncio.Event()
        self.closed: collections.Counter[CloseReason] = collections.Counter()

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._idle) + len(self._in_use) + self._opening

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    @property
    def has_idle_connection(self) -> bool:
        """Whether an idle connection is usable, so that a statement needs no new one."""
        return any(connection.is_usable for connection, _ in self._idle)

    def try_acquire(self, deadline_s: float) -> TargetConnection | None:
        """Take an idle connection at once, without a coroutine.

        :param deadline_s: loop time after which the statement must not be sent.
        :returns: the connection, or None; then :meth:`acquire` waits, opens one or refuses.
        """
        at_s = now_s()
        if self._is_draining or deadline_s <= at_s:
            return None
        return self._take_idle(at_s)

    async def acquire(self, deadline_s: float) -> Result[TargetConnection, Refusal]:
        """Take a connection, opening one if none is idle and the limit allows.

        :param deadline_s: loop time after which the statement must not be sent.
        :returns: the connection, :data:`DEADLINE_PASSED` or :data:`TARGET_UNREACHABLE`.
        """
        detail = f"no connection to target {self.target} became free in time"
        # The timeout below would not interrupt a path without any wait.
        if deadline_s <= now_s():
            return Failure(Refusal(DEADLINE_PASSED, detail))
        # The usual case avoids the timeout, which costs as much as the rest of this method.
        connection = self.try_acquire(deadline_s)
        if connection is not None:
            return Success(connection)
        try:
            async with asyncio.timeout_at(deadline_s):
                return await self._acquire()
        except TimeoutError:
            return Failure(Refusal(DEADLINE_PASSED, detail))

    async def _acquire(self) -> Result[TargetConnection, Refusal]:
        while not self._is_draining:
            connection = self._take_idle(now_s())
            if connection is not None:
                return Success(connection)
            if self.open_count < self._limit:
                return await self._open()
            await self._wait_for_turn()
        return self._draining_refusal()

    def _draining_refusal(self) -> Result[TargetConnection, Refusal]:
        detail = f"target {self.target} is being taken out of use"
        return Failure(Refusal(TARGET_UNREACHABLE, detail))

    def _take_idle(self, at_s: float) -> TargetConnection | None:
        self._close_idle_since(at_s - self._idle_limit_s)
        while self._idle:
            connection, _ = self._idle.pop()
            if connection.is_usable:
                self._in_use.add(connection)
                return connection
            self._close(connection, CloseReason.CLOSED_BY_TARGET)
        return None

    async def _open(self) -> Result[TargetConnection, Refusal]:
        self._opening += 1
        try:
            connection = await self._link.connect(self.target)
        except TargetUnreachable as error:
            self._abort_opening()
            return Failure(Refusal(TARGET_UNREACHABLE, str(error)))
        except BaseException:
            self._abort_opening()
            raise
        self._opening -= 1
        self._in_use.add(connection)
        if self._is_draining:
            self.release(connection, is_clean=True)
            return self._draining_refusal()
        return Success(connection)

    def _abort_opening(self) -> None:
        self._opening -= 1
        self._wake_waiter()
        self._notify_if_emptied()

    async def _wait_for_turn(self) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            # This waiter may have been woken just before the cancellation; wake the next one.
            if waiter.done() and not waiter.cancelled():
                self._wake_waiter()
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _wake_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def release(self, connection: TargetConnection, is_clean: bool) -> None:
        """Return a connection to the pool.

        :param connection: the connection that :meth:`acquire` returned.
        :param is_clean: whether the last exchange was complete and left no state behind.
        :raises ValueError: if the connection is not in use.
        """
        if connection not in self._in_use:
            raise ValueError("the connection is not in use")
        self._in_use.remove(connection)
        reason = self._close_reason(connection, is_clean)
        if reason is None:
            self._idle.append((connection, now_s()))
        else:
            self._close(connection, reason)
        self._wake_waiter()
        self._notify_if_emptied()

    def _close_reason(self, connection: TargetConnection, is_clean: bool) -> CloseReason | None:
        if not connection.is_usable:
            return CloseReason.BROKEN
        if not is_clean:
            return CloseReason.UNCLEAN
        if self._is_draining:
            return CloseReason.DRAINED
        if self.open_count >= self._limit:
            return CloseReason.OVER_LIMIT
        return None

    def _close(self, connection: TargetConnection, reason: CloseReason) -> None:
        self.closed[reason] += 1
        if self._metrics is not None:
            self._metrics.connections_closed.labels(reason.value).inc()
        task = asyncio.get_running_loop().create_task(self._close_quietly(connection))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def _close_quietly(self, connection: TargetConnection) -> None:
        try:
            await connection.close()
        except OSError as error:
            _log.debug("Closing a connection to {} failed: {}.", self.target, error)

    def close_expired(self) -> None:
        """Close connections that were idle for too long. Called at each acquire as well."""
        self._close_idle_since(now_s() - self._idle_limit_s)

    def _close_idle_since(self, oldest_allowed_s: float) -> None:
        while self._idle and self._idle[0][1] < oldest_allowed_s:
            connection, _ = self._idle.popleft()
            self._close(connection, CloseReason.IDLE)

    def set_limit(self, connections: int) -> None:
        """Change the limit. Connections in use above it are closed when they are released.

        :param connections: limit of open connections.
        """
        self._limit = connections
        while self._idle and self.open_count > self._limit:
            connection, _ = self._idle.popleft()
            self._close(connection, CloseReason.OVER_LIMIT)
        for _ in range(max(self._limit - self.open_count, 0)):
            self._wake_waiter()

    async def probe(self, timeout_s: float) -> ProbeOutcome:
        """Distinguish a silent connection from a slow target, over a connection outside the pool.

        The connection does not count towards the limit, because the pool may be full of silent
        connections.

        :param timeout_s: limit for connecting and one short statement.
        """
        connection: TargetConnection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._link.connect(self.target)
                outcome = await connection.execute(PROBE_STATEMENT)
        except TargetUnreachable:
            return ProbeOutcome.UNREACHABLE
        except TimeoutError:
            return ProbeOutcome.UNREACHABLE if connection is None else ProbeOutcome.SLOW_TARGET
        finally:
            if connection is not None:
                self._close(connection, CloseReason.PROBE)
        if isinstance(outcome, Succeeded | Failed):
            return ProbeOutcome.SILENT_CONNECTION
        return ProbeOutcome.UNREACHABLE

    def close_idle(self) -> None:
        """Close all idle connections, for example after one of them did not answer."""
        while self._idle:
            connection, _ = self._idle.popleft()
            self._close(connection, CloseReason.UNCLEAN)

    async def drain(self) -> None:
        """Refuse new requests and wait until all connections are released and closed."""
        self._is_draining = True
        while self._idle:
            connection, _ = self._idle.popleft()
            self._close(connection, CloseReason.DRAINED)
        while self._waiters:
            self._wake_waiter()
        while self._in_use or self._opening:
            self._emptied.clear()
            await self._emptied.wait()
        if self._closing:
            await asyncio.wait(set(self._closing))

    def _notify_if_emptied(self) -> None:
        if not self._in_use and not self._opening:
            self._emptied.set()
