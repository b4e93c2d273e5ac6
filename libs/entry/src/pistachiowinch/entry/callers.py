"""Serve callers over any line protocol, with one task for each connection."""

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from pistachiowinch.base.caller_limits import (
    DEFAULT_MACHINE,
    CallerLimits,
    CallerMemory,
    CallerUsage,
    CloseReason,
    MachineLimits,
)
from pistachiowinch.base.codes import (
    CALLER_TOO_SLOW,
    HOST_MEMORY_FULL,
    MALFORMED_PACKET,
    OUTCOME_UNKNOWN,
    STATEMENT_TOO_LARGE,
    TOO_MANY_CONNECTIONS,
    Refusal,
    ResultCode,
)
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.sockets import ACCEPT_BURST, listen
from pistachiowinch.entry.caller_stream import CallerStream, MessageTooLarge
from pistachiowinch.links.statements import Prepare, SetValue, Statement
from pistachiowinch.sessions.context import SessionContext
from pistachiowinch.sessions.replies import Reply
from pistachiowinch.sessions.session import ENTRY_BYTES, Session

__all__ = [
    "CallerCodec",
    "CallerQuery",
    "CallerQuit",
    "CallerServer",
    "CallerStart",
    "MalformedLine",
]

# Timeout of a caller's first message, equal to the users' own header timeout.
FIRST_LINE_TIMEOUT_S = 3.0
# A host that starts reads the configuration within 0.1 s, unless it is cut off from the store.
CONFIGURATION_WAIT_S = 0.3
# Connections that wait to be accepted: several times the number that move to a host at once.
BACKLOG_CONNECTIONS = 512


class CallerStart(NamedTuple):
    """A caller's first message.

    :param database: database name of a route.
    :param key: the caller's key; empty if none was sent.
    """

    database: str
    key: str


@dataclass(frozen=True, slots=True)
class CallerQuery:
    """One statement with its request id.

    :param size_bytes: length of the statement's text.
    """

    request_id: str
    statement: Statement
    size_bytes: int


@dataclass(frozen=True, slots=True)
class CallerQuit:
    """Request of the caller to end its session."""


@dataclass(frozen=True, slots=True)
class MalformedLine:
    """A line that is not a valid message."""


class CallerCodec(Protocol):
    """Codec of a line protocol.

    :ivar line_end: terminator of a message.
    :ivar max_line_bytes: maximum length of a message.
    """

    line_end: bytes
    max_line_bytes: int

    def decode_start(self, line: bytes) -> CallerStart | None:
        """Decode the first message, without its terminator; None if it is malformed."""

    def decode(self, line: bytes) -> CallerQuery | CallerQuit | MalformedLine:
        """Decode a later message, without its terminator."""

    def encode_opened(self) -> bytes:
        """Encode the message that the session is open."""

    def encode_closing(self, refusal: Refusal) -> bytes:
        """Encode the reason why the connection is closed."""

    def encode_reply(self, reply: Reply, state: str) -> bytes | bytearray:
        """Encode the reply to a statement and the state of the transaction."""


class _Caller:
    """One connection of a caller."""

    __slots__ = ("is_waiting", "session", "stream")

    def __init__(self, stream: CallerStream) -> None:
        self.stream = stream
        self.session: Session | None = None
        self.is_waiting = False

    @property
    def can_close(self) -> bool:
        """Whether the connection can be closed without interrupting a statement or transaction."""
        is_idle = self.session is not None and self.session.is_idle
        return self.is_waiting and is_idle and not self.stream.has_unread


class CallerServer:
    """Accepts callers and runs one task for each.

    :param context: shared dependencies of the sessions.
    :param codec: codec of the line protocol.
    :param log: decision log of this component.
    :param machine: limits of the process, which bound what callers may use.
    """

    def __init__(
        self,
        context: SessionContext,
        codec: CallerCodec,
        log: DecisionLog,
        machine: MachineLimits = DEFAULT_MACHINE,
    ) -> None:
        """Create a server; :meth:`start` makes it listen."""
        self._context = context
        self._codec = codec
        self._log = log
        self._limits = CallerLimits.of_machine(machine)
        self._memory = CallerMemory(self._limits, self._close_by_limit)
        self._callers: dict[CallerUsage, _Caller] = {}
        # Connections without a session, in order of arrival.
        self._unopened: dict[_Caller, None] = {}
        self._tasks: set[asyncio.Task] = set()
        # All connections, also those that are closing.
        self._streams: dict[CallerUsage, CallerStream] = {}
        self._closed_by_limit: Counter[CloseReason] = Counter()
        self._server: asyncio.Server | None = None

    @property
    def count(self) -> int:
        """Number of open connections."""
        return len(self._callers)

    async def start(self, address: str) -> int:
        """Listen for callers.

        :param address: ``IP:PORT``; port 0 selects a free port.
        :returns: the port.
        """
        loop = asyncio.get_running_loop()
        listener = listen(address, BACKLOG_CONNECTIONS, self._limits.receive_buffer_bytes)
        self._server = await loop.create_server(
            self._create_stream, sock=listener, backlog=ACCEPT_BURST
        )
        return self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Stop accepting callers."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the sessions that have no statement and no transaction in progress."""
        for caller in tuple(self._callers.values()):
            if caller.can_close:
                caller.stream.close()

    def end_hopeless_transactions(self) -> None:
        """Abort the transactions of idle callers that the host's stop leaves no time for."""
        for caller in self._callers.values():
            if caller.is_waiting and caller.session is not None:
                caller.session.end_hopeless_transaction()

    def close_waiting(self) -> None:
        """Close the sessions without a statement in progress; open transactions are rolled back."""
        for caller in tuple(self._callers.values()):
            if caller.is_waiting and not caller.stream.has_unread:
                if caller.session is not None:
                    caller.session.close()
                caller.stream.close()

    def close_all(self) -> None:
        """Close every session."""
        for caller in tuple(self._callers.values()):
            caller.stream.close()

    def end_idle_transactions(self) -> None:
        """Abort transactions whose callers have been idle for too long."""
        idle_s = self._context.view.configuration.transaction_idle_s
        for caller in self._callers.values():
            if caller.is_waiting and caller.session is not None:
                caller.session.end_idle_transaction(idle_s)

    def close_slow(self, step_s: float) -> None:
        """Close the connections that hold memory for too long, and log those that were closed.

        :param step_s: time since the last call.
        """
        self._memory.check(step_s)
        self._context.metrics.caller_memory.set(self._memory.used_bytes)
        for reason, count in self._closed_by_limit.items():
            self._log.write(
                "callers_closed",
                cause=reason.value,
                count=count,
                connections=len(self._streams),
                used_bytes=self._memory.used_bytes,
            )
        self._closed_by_limit.clear()

    def _create_stream(self) -> CallerStream:
        codec = self._codec
        return CallerStream(
            self._memory, codec.line_end, codec.max_line_bytes, self._on_connected, self._on_lost
        )

    def _on_connected(self, stream: CallerStream) -> None:
        caller = _Caller(stream)
        self._streams[stream.usage] = stream
        self._callers[stream.usage] = caller
        self._unopened[caller] = None
        task = asyncio.get_running_loop().create_task(self._serve(caller))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if len(self._streams) > self._limits.connections:
            oldest = next(iter(self._unopened))
            self._close_by_limit(oldest.stream.usage, CloseReason.CONNECTIONS)

    def _on_lost(self, stream: CallerStream) -> None:
        del self._streams[stream.usage]
        caller = self._callers.get(stream.usage)
        if caller is not None:
            self._unopened.pop(caller, None)

    def _close_by_limit(self, usage: CallerUsage, reason: CloseReason) -> None:
        stream = self._streams.get(usage)
        if stream is None:
            # It was lost in the meantime.
            return
        self._closed_by_limit[reason] += 1
        self._context.metrics.callers_closed.labels(reason.value).inc()
        caller = self._callers.get(usage)
        if caller is not None:
            self._unopened.pop(caller, None)
            if caller.is_waiting:
                self._tell_reason(caller, reason)
        stream.abort_after_write()

    def _tell_reason(self, caller: _Caller, reason: CloseReason) -> None:
        """Tell a caller why it is closed; no statement of its is running."""
        if caller.session is not None:
            caller.session.close()
        match reason:
            case CloseReason.CONNECTIONS:
                code = TOO_MANY_CONNECTIONS
            case CloseReason.MESSAGE_TIMEOUT:
                code = CALLER_TOO_SLOW
            case _:
                code = HOST_MEMORY_FULL
        refusal = self._refuse(code, "this host closes the connection")
        caller.stream.write(self._codec.encode_closing(refusal))

    async def _serve(self, caller: _Caller) -> None:
        try:
            await self._run_session(caller)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self._log_disconnect(caller, error)
        except MessageTooLarge:
            refusal = self._refuse(STATEMENT_TOO_LARGE, "the message is too large")
            caller.stream.write(self._codec.encode_closing(refusal))
        except Exception as error:
            self._log.write("session_failed", cause=type(error).__name__)
        finally:
            self._callers.pop(caller.stream.usage, None)
            self._unopened.pop(caller, None)
            if caller.session is not None:
                caller.session.close()
            caller.stream.close()

    def _log_disconnect(self, caller: _Caller, error: Exception) -> None:
        """Log a disconnect during a message, a statement or a transaction."""
        is_between_operations = (
            caller.is_waiting and caller.session is not None and caller.session.is_idle
        )
        if (
            is_between_operations
            and isinstance(error, asyncio.IncompleteReadError)
            and not error.partial
        ):
            return
        self._log.write("caller_lost", cause=type(error).__name__)

    async def _run_session(self, caller: _Caller) -> None:
        caller.is_waiting = True
        async with asyncio.timeout(FIRST_LINE_TIMEOUT_S):
            line = await caller.stream.read_line()
        caller.is_waiting = False
        caller.stream.end_message()
        await self._wait_for_configuration()
        if not self._open_session(caller, line):
            return
        while await self._serve_message(caller):
            pass

    async def _serve_message(self, caller: _Caller) -> bool:
        """Answer one message; return whether another one may follow.

        A message and its answer are referenced only here, so that idle sessions do not hold them.
        """
        caller.is_waiting = True
        line = await caller.stream.read_line()
        caller.is_waiting = False
        match self._codec.decode(line):
            case CallerQuit():
                return False
            case MalformedLine():
                reply = self._refuse(MALFORMED_PACKET, "not a message of a session")
                self._log.write("malformed", length=len(line))
            case CallerQuery(request_id, statement, size_bytes):
                del line
                reply = await self._execute(caller, request_id, statement, size_bytes)
        caller.stream.write(self._codec.encode_reply(reply, caller.session.state))
        caller.stream.end_message()
        del reply
        await caller.stream.drain()
        return True

    async def _execute(
        self, caller: _Caller, request_id: str, statement: Statement, size_bytes: int
    ) -> Reply:
        """Run a statement; an unexpected error leaves its outcome unknown, but not unanswered."""
        if isinstance(statement, SetValue | Prepare) and not self._may_keep(caller, size_bytes):
            return self._refuse(HOST_MEMORY_FULL, "the host's sessions keep too much")
        try:
            return await caller.session.execute(request_id, statement, size_bytes)
        except Exception as error:
            self._log.write("statement_failed", request=request_id, cause=repr(error)[:200])
            caller.session.close()
            return self._refuse(OUTCOME_UNKNOWN, "the host failed; see its log")

    def _may_keep(self, caller: _Caller, size_bytes: int) -> bool:
        """Charge a value or prepared statement to the session that keeps it."""
        needed_bytes = caller.session.kept_bytes + ENTRY_BYTES + size_bytes
        return self._memory.keep(caller.stream.usage, needed_bytes)

    async def _wait_for_configuration(self) -> None:
        is_configured = self._context.view.is_configured
        if is_configured.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIGURATION_WAIT_S):
                await is_configured.wait()

    def _open_session(self, caller: _Caller, line: bytes) -> bool:
        if caller not in self._unopened:
            # It was closed while it waited for the configuration.
            return False
        start = self._codec.decode_start(line)
        if start is None:
            refusal = self._refuse(MALFORMED_PACKET, "not the first message of a session")
            caller.stream.write(self._codec.encode_closing(refusal))
            return False
        if len(self._callers) - len(self._unopened) >= self._limits.sessions:
            refusal = self._refuse(TOO_MANY_CONNECTIONS, "this host has too many sessions")
            caller.stream.write(self._codec.encode_closing(refusal))
            return False
        session = Session(self._context, start.database, start.key)
        refusal = session.admit()
        if isinstance(refusal, Refusal):
            self._log.write(
                "session_refused",
                database=start.database,
                code=refusal.code.name,
                version=self._context.view.configuration.version,
            )
            caller.stream.write(self._codec.encode_closing(refusal))
            return False
        caller.session = session
        del self._unopened[caller]
        caller.stream.write(self._codec.encode_opened())
        return True

    def _refuse(self, code: ResultCode, detail: str) -> Refusal:
        self._context.metrics.refusals.labels(code.label).inc()
        return Refusal(code, detail)
