"""TCP server for callers with graceful shutdown."""

import asyncio
from collections import Counter

from mysql_mimic.control import LocalControl
from reactivex.abc import DisposableBase

from pistachiowinch.base.caller_limits import (
    DEFAULT_MACHINE,
    CallerLimits,
    CallerMemory,
    CallerUsage,
    CloseReason,
)
from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import HOST_STOPPING, TOO_MANY_CONNECTIONS, Refusal
from pistachiowinch.base.logs import part_logger
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.base.sockets import ACCEPT_BURST, listen
from pistachiowinch.proxy.connection import LOGIN_TIMEOUT_S, CallerConnection
from pistachiowinch.proxy.interfaces import Gateway
from pistachiowinch.proxy.stream import MAX_STATEMENT_BYTES, PacketStream
from pistachiowinch.proxy.wire import error_packet
from pistachiowinch.routing.session import Session

__all__ = ["MAX_CONNECTIONS", "CallerServer"]

MAX_CONNECTIONS = 10_000

_BACKLOG_CONNECTIONS = 1024
# Longer than CLOSE_TIMEOUT_S of a connection, so that running statements can send their results.
_STOP_TIMEOUT_S = 5.0
_CHECK_INTERVAL_S = 0.1
# Command byte, query attributes and parameters beside a statement.
_PACKET_OVERHEAD_BYTES = 65_536

_log = part_logger("callers")


class CallerServer:
    """Accepts connections of callers.

    :param gateway: runs the statements.
    :param metrics: receives the number of open connections; None for no metrics.
    :param max_connections: maximum of open connections; further callers are refused.
    :param login_timeout_s: timeout of a login.
    :param statement_timeout_s: time in which the gateway answers each statement.
    :param statement_bytes: longest statement.
    :param memory_bytes: memory of the machine, of which callers may use half.
    """

    def __init__(
        self,
        gateway: Gateway,
        metrics: Metrics | None = None,
        max_connections: int = MAX_CONNECTIONS,
        login_timeout_s: float = LOGIN_TIMEOUT_S,
        statement_timeout_s: float = 0.0,
        statement_bytes: int = MAX_STATEMENT_BYTES,
        memory_bytes: int = DEFAULT_MACHINE.memory_bytes,
    ) -> None:
        """Create a server that is not listening yet."""
        self._statement_timeout_s = statement_timeout_s
        self._gateway = gateway
        self._metrics = metrics
        self._max_connections = max_connections
        self._login_timeout_s = login_timeout_s
        self._control = LocalControl()
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], CallerConnection] = {}
        # When a zone leaves, all its sessions end at once, so each needs a lookup by number.
        self._by_session: dict[int, CallerConnection] = {}
        limits = CallerLimits.of_memory(memory_bytes, max_connections, max_connections)
        self._receive_buffer_bytes = limits.receive_buffer_bytes
        self._memory = CallerMemory(limits, self._close_by_limit)
        self._max_packet_bytes = min(statement_bytes + _PACKET_OVERHEAD_BYTES, MAX_STATEMENT_BYTES)
        self._by_usage: dict[CallerUsage, CallerConnection] = {}
        # In order of arrival; those that have logged in since are removed when they are met.
        self._logging_in: dict[CallerConnection, None] = {}
        self._closed_by_limit: Counter[CloseReason] = Counter()
        self._checking: asyncio.Task[None] | None = None
        self._subscription: DisposableBase | None = None
        self._is_stopping = False

    @property
    def connection_count(self) -> int:
        """Number of open connections, including those that are logging in."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """Port of the first listening socket.

        :raises RuntimeError: if the server is not listening.
        """
        if self._server is None or not self._server.sockets:
            raise RuntimeError("the server is not listening")
        return self._server.sockets[0].getsockname()[1]

    async def start(self, host: str, port: int) -> None:
        """Start listening.

        :param host: address to listen on.
        :param port: port; 0 selects a free one.
        :raises OSError: if the address is in use.
        """
        self._subscription = self._gateway.sessions_ended.subscribe(on_next=self._on_session_ended)
        loop = asyncio.get_running_loop()
        listener = listen(f"{host}:{port}", _BACKLOG_CONNECTIONS, self._receive_buffer_bytes)
        self._server = await loop.create_server(
            lambda: PacketStream(self.accept, self._memory), sock=listener, backlog=ACCEPT_BURST
        )
        self._checking = loop.create_task(self._check_memory())

    def accept(self, stream: PacketStream) -> None:
        """Serve a connected caller in its own task.

        :param stream: packet stream of the caller.
        """
        refusal = self._refusal_at_accept()
        if refusal is not None:
            stream.write_many((error_packet(refusal),))
            stream.close()
            return
        connection = CallerConnection(
            stream,
            self._control,
            self._gateway,
            self._by_session,
            self._login_timeout_s,
            self._max_packet_bytes,
        )
        self._by_usage[stream.usage] = connection
        self._logging_in[connection] = None
        task = asyncio.get_running_loop().create_task(connection.start())
        self._connections[task] = connection
        task.add_done_callback(self._on_connection_done)
        self._update_sessions_metric()

    def _refusal_at_accept(self) -> Refusal | None:
        if self._is_stopping:
            return Refusal(HOST_STOPPING, "this host accepts no new connections")
        if len(self._connections) >= self._max_connections and not self._close_oldest_login():
            return Refusal(TOO_MANY_CONNECTIONS, f"{self._max_connections} connections are open")
        return None

    def _close_oldest_login(self) -> bool:
        """Close the connection that has been logging in for longest, if there is one."""
        while self._logging_in:
            connection = next(iter(self._logging_in))
            del self._logging_in[connection]
            if not connection.is_logged_in:
                self._close_by_limit(connection.stream.usage, CloseReason.CONNECTIONS)
                return True
        return False

    def _close_by_limit(self, usage: CallerUsage, reason: CloseReason) -> None:
        if self._metrics is not None:
            self._metrics.callers_closed.labels(reason.value).inc()
        self._closed_by_limit[reason] += 1
        connection = self._by_usage.get(usage)
        if connection is not None:
            connection.stream.abort()

    async def _check_memory(self) -> None:
        while True:
            await sleep_s(_CHECK_INTERVAL_S)
            self._memory.check(_CHECK_INTERVAL_S)
            if self._metrics is not None:
                self._metrics.caller_memory.set(self._memory.used_bytes)
            for reason, count in self._closed_by_limit.items():
                _log.warning("Closed {} callers by a limit: {}.", count, reason.value)
            self._closed_by_limit.clear()

    def _on_connection_done(self, task: asyncio.Task[None]) -> None:
        connection = self._connections.pop(task)
        self._logging_in.pop(connection, None)
        self._by_usage.pop(connection.stream.usage, None)
        self._update_sessions_metric()
        if not task.cancelled() and task.exception() is not None:
            _log.error("A connection's task failed: {}.", type(task.exception()).__name__)

    def _update_sessions_metric(self) -> None:
        if self._metrics is not None:
            self._metrics.sessions.set(len(self._connections))

    def _on_session_ended(self, session: Session) -> None:
        connection = self._by_session.get(session.number)
        if connection is not None:
            default = Refusal(HOST_STOPPING, "the session was ended")
            connection.end(session.end_reason or default)

    async def stop(self, grace_s: float) -> None:
        """Stop accepting, wait for open transactions and running statements, then close.

        :param grace_s: time that transactions have to finish before they are rolled back.
        """
        self._is_stopping = True
        if self._server is not None:
            self._server.close()
        refusal = Refusal(HOST_STOPPING, "this host stops")
        for connection in list(self._connections.values()):
            connection.end(refusal, waits_for_transaction=True)
        await self._wait_for_connections(now_s() + grace_s)
        for connection in list(self._connections.values()):
            connection.end(refusal)
        # A statement that was cut off could have taken effect without an answer.
        await self._wait_for_connections(now_s() + self._statement_timeout_s + _STOP_TIMEOUT_S)
        for task in list(self._connections):
            task.cancel()
        await self._wait_for_connections(now_s() + _STOP_TIMEOUT_S)
        if self._checking is not None:
            self._checking.cancel()
        if self._subscription is not None:
            self._subscription.dispose()

    async def _wait_for_connections(self, deadline_s: float) -> None:
        if self._connections:
            await asyncio.wait(set(self._connections), timeout=max(deadline_s - now_s(), 0.0))
