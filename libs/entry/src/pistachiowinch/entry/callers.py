"""Serve callers over any line protocol, with one task for each connection."""

import asyncio
import contextlib
import select
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from pistachiowinch.base.codes import (
    MALFORMED_PACKET,
    OUTCOME_UNKNOWN,
    STATEMENT_TOO_LARGE,
    TOO_MANY_CONNECTIONS,
    Refusal,
    ResultCode,
)
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.sockets import set_socket_options
from pistachiowinch.links.statements import Statement
from pistachiowinch.sessions.context import SessionContext
from pistachiowinch.sessions.replies import Reply
from pistachiowinch.sessions.session import Session

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
# File descriptors of a host, less those for files, targets and other hosts; a session takes 8 KB.
MAX_SESSIONS = 4000
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

    def encode_reply(self, reply: Reply, state: str) -> bytes:
        """Encode the reply to a statement and the state of the transaction."""


class _Caller:
    """One connection of a caller."""

    __slots__ = ("is_waiting", "reader", "session", "writer")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.session: Session | None = None
        self.is_waiting = False

    @property
    def can_close(self) -> bool:
        """Whether the connection can be closed without interrupting a statement or transaction."""
        is_idle = self.session is not None and self.session.is_idle
        return self.is_waiting and is_idle and not self.has_unread

    @property
    def has_unread(self) -> bool:
        """Whether a part of a message has arrived, also in the kernel's buffer.

        Closing a connection with unread bytes resets it, and the caller gets no answer.
        """
        # StreamReader has no public way to tell this.
        if self.reader._buffer:
            return True
        if self.writer.is_closing():
            return False
        poll = select.poll()
        poll.register(self.writer.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))


class CallerServer:
    """Accepts callers and runs one task for each.

    :param context: shared dependencies of the sessions.
    :param codec: codec of the line protocol.
    :param log: decision log of this component.
    """

    def __init__(self, context: SessionContext, codec: CallerCodec, log: DecisionLog) -> None:
        """Create a server; :meth:`start` makes it listen."""
        self._context = context
        self._codec = codec
        self._log = log
        self._callers: set[_Caller] = set()
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
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve,
            host,
            int(port),
            limit=self._codec.max_line_bytes,
            backlog=BACKLOG_CONNECTIONS,
        )
        return self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Stop accepting callers."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the sessions that have no statement and no transaction in progress."""
        for caller in tuple(self._callers):
            if caller.can_close:
                caller.writer.close()

    def end_hopeless_transactions(self) -> None:
        """Abort the transactions of idle callers that the host's stop leaves no time for."""
        for caller in self._callers:
            if caller.is_waiting and caller.session is not None:
                caller.session.end_hopeless_transaction()

    def close_waiting(self) -> None:
        """Close the sessions without a statement in progress; open transactions are rolled back."""
        for caller in tuple(self._callers):
            if caller.is_waiting and not caller.has_unread:
                if caller.session is not None:
                    caller.session.close()
                caller.writer.close()

    def close_all(self) -> None:
        """Close every session."""
        for caller in tuple(self._callers):
            caller.writer.close()

    def end_idle_transactions(self) -> None:
        """Abort transactions whose callers have been idle for too long."""
        idle_s = self._context.view.configuration.transaction_idle_s
        for caller in self._callers:
            if caller.is_waiting and caller.session is not None:
                caller.session.end_idle_transaction(idle_s)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        caller = _Caller(reader, writer)
        self._callers.add(caller)
        try:
            set_socket_options(writer)
            await self._run_session(caller)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self._log_disconnect(caller, error)
        except (asyncio.LimitOverrunError, ValueError):
            refusal = self._refuse(STATEMENT_TOO_LARGE, "the message is too large")
            writer.write(self._codec.encode_closing(refusal))
        except Exception as error:
            self._log.write("session_failed", cause=type(error).__name__)
        finally:
            self._callers.discard(caller)
            if caller.session is not None:
                caller.session.close()
            writer.close()

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
            line = await self._read_line(caller)
        caller.is_waiting = False
        await self._wait_for_configuration()
        if not self._open_session(caller, line):
            return
        while True:
            caller.is_waiting = True
            line = await self._read_line(caller)
            caller.is_waiting = False
            match self._codec.decode(line):
                case CallerQuit():
                    return
                case MalformedLine():
                    reply = self._refuse(MALFORMED_PACKET, "not a message of a session")
                    self._log.write("malformed", length=len(line))
                case CallerQuery(request_id, statement, size_bytes):
                    reply = await self._execute(caller, request_id, statement, size_bytes)
            caller.writer.write(self._codec.encode_reply(reply, caller.session.state))
            await caller.writer.drain()

    async def _execute(
        self, caller: _Caller, request_id: str, statement: Statement, size_bytes: int
    ) -> Reply:
        """Run a statement; an unexpected error leaves its outcome unknown, but not unanswered."""
        try:
            return await caller.session.execute(request_id, statement, size_bytes)
        except Exception as error:
            self._log.write("statement_failed", request=request_id, cause=repr(error)[:200])
            caller.session.close()
            return self._refuse(OUTCOME_UNKNOWN, "the host failed; see its log")

    async def _wait_for_configuration(self) -> None:
        is_configured = self._context.view.is_configured
        if is_configured.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIGURATION_WAIT_S):
                await is_configured.wait()

    async def _read_line(self, caller: _Caller) -> bytes:
        line = await caller.reader.readuntil(self._codec.line_end)
        return line[: -len(self._codec.line_end)]

    def _open_session(self, caller: _Caller, line: bytes) -> bool:
        start = self._codec.decode_start(line)
        if start is None:
            refusal = self._refuse(MALFORMED_PACKET, "not the first message of a session")
            caller.writer.write(self._codec.encode_closing(refusal))
            return False
        if len(self._callers) > MAX_SESSIONS:
            refusal = self._refuse(TOO_MANY_CONNECTIONS, "this host has too many sessions")
            caller.writer.write(self._codec.encode_closing(refusal))
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
            caller.writer.write(self._codec.encode_closing(refusal))
            return False
        caller.session = session
        caller.writer.write(self._codec.encode_opened())
        return True

    def _refuse(self, code: ResultCode, detail: str) -> Refusal:
        self._context.metrics.refusals.labels(code.label).inc()
        return Refusal(code, detail)
