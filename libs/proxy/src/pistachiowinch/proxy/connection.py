"""A caller's connection: login, command loop and end of the session."""

import asyncio
import struct

from mysql_mimic import packets
from mysql_mimic.connection import DEFAULT_SERVER_CAPABILITIES, Connection
from mysql_mimic.control import Control
from mysql_mimic.session import BaseSession
from mysql_mimic.types import Capabilities, ServerStatus
from mysql_mimic.variables import GlobalVariables, SessionVariables
from returns.result import Failure, Success

from pistachiowinch.base.codes import (
    BAD_KEY,
    BAD_SESSION_SETTING,
    HOST_MEMORY_FULL,
    INTERNAL,
    MALFORMED_PACKET,
    STATEMENT_NOT_SUPPORTED,
    STATEMENT_TOO_LARGE,
    Refusal,
)
from pistachiowinch.base.logs import part_logger
from pistachiowinch.links.targets import Failed, QueryResult
from pistachiowinch.proxy.interfaces import Gateway
from pistachiowinch.proxy.login import NATIVE_PLUGIN, make_nonce, verify_password
from pistachiowinch.proxy.login_packets import (
    LoginPacket,
    is_utf8,
    parse_change_user,
    parse_login,
)
from pistachiowinch.proxy.prepared import (
    PreparedStatement,
    bind,
    prepare_packets,
    read_query_attributes,
)
from pistachiowinch.proxy.runner import LONG_TEXT_CHARS, Outcome, StatementRunner
from pistachiowinch.proxy.stream import (
    MAX_STATEMENT_BYTES,
    ConnectionClosed,
    PacketMalformed,
    PacketStream,
    PacketTooLarge,
    ReadInterrupted,
)
from pistachiowinch.proxy.wire import (
    end_packet,
    error_packet,
    ok_packet,
    result_packets,
    reusable_rows,
)
from pistachiowinch.routing.session import Session

__all__ = ["CAPABILITIES", "LOGIN_TIMEOUT_S", "CallerConnection", "CallerSession"]

LOGIN_TIMEOUT_S = 5.0
CLOSE_TIMEOUT_S = 1.0
MAX_PREPARED_STATEMENTS = 1024
# Limit for all prepared statements of a connection; a single one may have the maximum size.
MAX_PREPARED_BYTES = MAX_STATEMENT_BYTES
SERVER_VERSION = "8.0.36-pistachiowinch"

CAPABILITIES = (
    DEFAULT_SERVER_CAPABILITIES | Capabilities.CLIENT_LONG_FLAG | Capabilities.CLIENT_TRANSACTIONS
)

_NO_ATTRIBUTES_HEADER = b"\x00\x01"

_log = part_logger("callers")
# The variables are only read, so all connections share one object.
_VARIABLES = SessionVariables(GlobalVariables())
_EMPTY_RESULT = QueryResult()


class CallerSession(BaseSession):
    """Session object that ``mysql-mimic`` requires; statements do not pass through it."""

    def __init__(self) -> None:
        """Set the defaults of the library."""
        self.variables = _VARIABLES
        self.username = None
        self.database = None


class CallerConnection(Connection):
    """Serves one caller, one command at a time.

    :param stream: packet stream of the caller.
    :param control: assigns the connection ids.
    :param gateway: runs the statements.
    :param by_session: connections by session number; this connection updates its own entry.
    :param login_timeout_s: timeout of the whole login.
    :param max_packet_bytes: largest packet after the login.
    :ivar is_logged_in: whether the login succeeded.
    """

    def __init__(
        self,
        stream: PacketStream,
        control: Control,
        gateway: Gateway,
        by_session: dict[int, "CallerConnection"],
        login_timeout_s: float = LOGIN_TIMEOUT_S,
        max_packet_bytes: int = MAX_STATEMENT_BYTES,
    ) -> None:
        """Create a connection before its handshake."""
        super().__init__(stream, CallerSession(), control, None, CAPABILITIES)
        self.runner = StatementRunner(gateway, self._on_session_changed)
        self._gateway = gateway
        self._by_session = by_session
        self._login_timeout_s = login_timeout_s
        self._max_packet_bytes = max_packet_bytes
        self.is_logged_in = False
        self.connection_id: int | None = None
        self._nonce = b""
        self._collation = 0
        self._is_eof_deprecated = True
        self._has_query_attributes = False
        self._statements: dict[int, PreparedStatement] = {}
        self._next_statement_id = 1
        self._end_refusal: Refusal | None = None
        self._waits_for_transaction = False

    def _on_session_changed(self, previous: Session | None, current: Session | None) -> None:
        if previous is not None:
            self._by_session.pop(previous.number, None)
        if current is not None:
            self._by_session[current.number] = self

    # Lifecycle

    async def start(self) -> None:
        """Serve the caller until it disconnects or its session ends."""
        try:
            if await self._log_in_with_timeout():
                await self.command_phase()
        except ConnectionClosed:
            pass
        except PacketTooLarge as error:
            await self._refuse_and_close(Refusal(STATEMENT_TOO_LARGE, str(error)))
        except PacketMalformed as error:
            await self._refuse_and_close(Refusal(MALFORMED_PACKET, str(error)))
        except Exception as error:
            # An unexpected error ends only this connection.
            _log.exception("Unexpected error on a connection: {}.", type(error).__name__)
            await self._refuse_and_close(Refusal(INTERNAL, "the host failed; see its log"))
        finally:
            await self._close()

    async def _close(self) -> None:
        try:
            await self.runner.close()
        finally:
            self.stream.close()
            if self.connection_id is not None:
                await self.control.remove(self.connection_id)

    async def _log_in_with_timeout(self) -> bool:
        try:
            async with asyncio.timeout(self._login_timeout_s):
                refusal = await self.connection_phase()
        except TimeoutError:
            refusal = self._login_timeout_refusal()
        except ReadInterrupted:
            refusal = self._end_refusal
        if refusal is not None:
            await self._refuse_and_close(refusal)
            return False
        self.stream.max_packet_bytes = self._max_packet_bytes
        self.is_logged_in = True
        return True

    def _login_timeout_refusal(self) -> Refusal:
        return Refusal(BAD_KEY, f"the login took more than {self._login_timeout_s:g} s")

    async def _refuse_and_close(self, refusal: Refusal) -> None:
        try:
            self.stream.write_many((error_packet(refusal),))
            self.stream.finish_writing()
            # Close before the wait, so that an open transaction does not hold its locks meanwhile.
            await self.runner.close()
            await self.stream.wait_closed(CLOSE_TIMEOUT_S)
        except (ConnectionClosed, OSError):
            pass

    def end(self, refusal: Refusal, waits_for_transaction: bool = False) -> None:
        """End the session between two statements.

        :param refusal: error that the caller receives.
        :param waits_for_transaction: whether an open transaction may finish first.
        """
        if self._end_refusal is None or not waits_for_transaction:
            self._end_refusal = refusal
            self._waits_for_transaction = waits_for_transaction
        self.stream.interrupt()

    def _must_end(self) -> bool:
        session = self.runner.session
        if session is not None and session.end_reason is not None:
            self._end_refusal = session.end_reason
            return True
        if self._end_refusal is None:
            return False
        return not (self._waits_for_transaction and self.runner.is_in_transaction)

    async def command_phase(self) -> None:
        """Run the caller's commands sequentially."""
        stream = self.stream
        while True:
            stream.reset_seq()
            if self._must_end():
                # Drivers read the error as the response to their next command, whose sequence
                # number is 1.
                stream.seq = 1
                await self._refuse_and_close(self._end_refusal)
                return
            try:
                data = await stream.read()
            except ReadInterrupted:
                continue
            if self._must_end():
                await self._refuse_and_close(self._end_refusal)
                return
            if not data:
                raise PacketMalformed("a command is empty")
            if data[0] == 0x01:
                return
            handler = _COMMANDS.get(data[0], CallerConnection.handle_unsupported)
            await handler(self, data[1:])
            # An idle connection must not hold its last command.
            del data
            if stream.is_write_blocked:
                await stream.drain()

    # Login

    async def connection_phase(self) -> Refusal | None:
        """Send the handshake and authenticate the caller.

        :returns: why the login is refused, None if it succeeded.
        """
        self.connection_id = await self.control.add(self)
        self._nonce = make_nonce()
        greeting = packets.make_handshake_v10(
            capabilities=CAPABILITIES,
            server_charset=self.server_charset,
            server_version=SERVER_VERSION,
            connection_id=self.connection_id,
            auth_data=self._nonce + b"\x00",
            status_flags=ServerStatus.SERVER_STATUS_AUTOCOMMIT,
            auth_plugin_name=NATIVE_PLUGIN,
        )
        await self.stream.write(greeting)
        login = parse_login(CAPABILITIES, await self.stream.read())
        self.capabilities = login.capabilities
        self._collation = login.collation
        self._is_eof_deprecated = bool(self.capabilities & Capabilities.CLIENT_DEPRECATE_EOF)
        self._has_query_attributes = bool(self.capabilities & Capabilities.CLIENT_QUERY_ATTRIBUTES)
        refusal = await self._log_in(login)
        if refusal is None:
            self.stream.write_many((self._ok(_EMPTY_RESULT),))
        return refusal

    async def _log_in(self, login: LoginPacket) -> Refusal | None:
        if not is_utf8(login.collation):
            return Refusal(BAD_SESSION_SETTING, "the character set must be utf8mb4")
        key_id, response = login.user, login.response
        self.session.username = key_id
        if login.plugin not in ("", NATIVE_PLUGIN):
            response = await self._switch_plugin()
        credentials = self._gateway.credentials(key_id)
        is_anonymous = credentials is None and not response
        if not is_anonymous and not verify_password(credentials, response, self._nonce):
            return Refusal(BAD_KEY, "the key id or the key is wrong")
        verified_key_id = "" if is_anonymous else key_id
        self.runner.key_id = verified_key_id
        if not login.database:
            if is_anonymous:
                return Refusal(BAD_KEY, "a login without a key needs a database")
            return None
        opened = await self.runner.open(verified_key_id, login.database)
        if isinstance(opened, Failure):
            return opened.failure()
        applied = self.runner.apply_attributes(login.attributes)
        return applied.failure() if isinstance(applied, Failure) else None

    async def _switch_plugin(self) -> bytes:
        self._nonce = make_nonce()
        await self.stream.write(
            packets.make_auth_switch_request(
                self.server_charset, NATIVE_PLUGIN, self._nonce + b"\x00"
            )
        )
        return await self.stream.read()

    # Results

    def _ok(self, result: QueryResult) -> bytes:
        return ok_packet(result, self.runner.status)

    async def _send_outcome(self, outcome: Outcome, is_binary: bool = False) -> None:
        # Test for Success, the usual case: isinstance is fast only for the object's own class.
        if not isinstance(outcome, Success):
            self.stream.write_many((error_packet(outcome.failure()),))
            return
        result = outcome.unwrap()
        rows = None if is_binary else reusable_rows(result, self._is_eof_deprecated)
        if rows is not None and self.stream.seq == 1:
            end = end_packet(result, self.runner.status, self._is_eof_deprecated)
            if not self.stream.write_small_result(rows.head, rows.frames, rows.next_seq, end):
                await self.stream.write_frames(rows.head, rows.frames, rows.next_seq, end)
            return
        try:
            payloads = result_packets(
                result, self.runner.status, self._is_eof_deprecated, is_binary
            )
        except (ValueError, struct.error) as error:
            _log.error("Cannot encode a query result: {}.", type(error).__name__)
            refusal = Refusal(INTERNAL, "the target's answer cannot be encoded")
            self.stream.write_many((error_packet(refusal),))
            return
        await self.stream.write_result(payloads)

    def _send_refusal(self, refusal: Refusal) -> None:
        self.stream.write_many((error_packet(refusal),))

    # Commands

    def _decode_query(self, data: bytes) -> tuple[str, dict[str, str]]:
        if not self._has_query_attributes:
            return data.decode("utf-8", "surrogateescape"), {}
        if data[:2] == _NO_ATTRIBUTES_HEADER:
            return data[2:].decode("utf-8", "surrogateescape"), {}
        return read_query_attributes(data)

    async def handle_query(self, data: bytes) -> None:
        """Run a statement.

        :param data: the packet after its command byte.
        """
        text, attributes = self._decode_query(data)
        if attributes:
            applied = self.runner.apply_attributes(attributes)
            if isinstance(applied, Failure):
                self._send_refusal(applied.failure())
                return
        await self._send_outcome(await self.runner.run(text))

    async def handle_init_db(self, data: bytes) -> None:
        """Switch to another service.

        :param data: name of the service.
        """
        used = await self.runner.use(data.decode("utf-8", "replace"))
        await self._send_outcome(used.map(lambda _: _EMPTY_RESULT))

    async def handle_ping(self, data: bytes) -> None:
        """Confirm that the host is alive.

        :param data: ignored.
        """
        self.stream.write_many((self._ok(_EMPTY_RESULT),))

    async def handle_statistics(self, data: bytes) -> None:
        """Send a constant text; no statistics are reported to callers.

        :param data: ignored.
        """
        self.stream.write_many((b"Uptime: 0",))

    async def handle_unsupported(self, data: bytes) -> None:
        """Refuse a command.

        :param data: ignored.
        """
        self._send_refusal(Refusal(STATEMENT_NOT_SUPPORTED, "the command is not supported"))

    async def handle_set_option(self, data: bytes) -> None:
        """Refuse multi-statements, which cannot be routed one by one.

        :param data: 0 turns multi-statements on, 1 turns them off.
        """
        if data[:1] == b"\x01":
            end = end_packet(_EMPTY_RESULT, self.runner.status, self._is_eof_deprecated)
            self.stream.write_many((end,))
            return
        await self.handle_unsupported(data)

    async def handle_reset_connection(self, data: bytes) -> None:
        """Roll back and clear the session's settings and prepared statements.

        :param data: ignored.
        """
        self._statements.clear()
        await self.runner.reset()
        self.stream.write_many((self._ok(_EMPTY_RESULT),))

    async def handle_change_user(self, data: bytes) -> None:
        """Log in as another user. A failure ends the connection, as on a MySQL server.

        :param data: the packet after its command byte.
        """
        change = parse_change_user(self.capabilities, self._collation, data)
        self._statements.clear()
        await self.runner.close()
        self.runner = StatementRunner(self._gateway, self._on_session_changed)
        try:
            async with asyncio.timeout(self._login_timeout_s):
                refusal = await self._log_in(change)
        except TimeoutError:
            refusal = self._login_timeout_refusal()
        if refusal is not None:
            await self._refuse_and_close(refusal)
            raise ConnectionClosed
        self.stream.write_many((self._ok(_EMPTY_RESULT),))

    # Prepared statements

    @property
    def _prepared_bytes(self) -> int:
        return sum(len(statement.text) for statement in self._statements.values())

    @property
    def _long_data_bytes(self) -> int:
        return sum(statement.long_data_bytes for statement in self._statements.values())

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Prepare a statement. The target checks it only when it is executed.

        :param data: the statement's text.
        """
        if len(self._statements) >= MAX_PREPARED_STATEMENTS:
            detail = f"more than {MAX_PREPARED_STATEMENTS} prepared statements"
            self._send_refusal(Refusal(STATEMENT_NOT_SUPPORTED, detail))
            return
        stored_bytes = self._prepared_bytes
        if stored_bytes + len(data) > MAX_PREPARED_BYTES:
            detail = f"more than {MAX_PREPARED_BYTES} bytes of prepared statements"
            self._send_refusal(Refusal(STATEMENT_TOO_LARGE, detail))
            return
        if not self.stream.keep(stored_bytes + self._long_data_bytes + len(data)):
            self._send_refusal(Refusal(HOST_MEMORY_FULL, "the host's sessions keep too much"))
            return
        text = data.decode("utf-8", "surrogateescape")
        try:
            if len(text) <= LONG_TEXT_CHARS:
                statement = PreparedStatement(self._next_statement_id, text)
            else:
                statement = await asyncio.to_thread(
                    PreparedStatement, self._next_statement_id, text
                )
        except ValueError as error:
            self._send_refusal(Refusal(STATEMENT_NOT_SUPPORTED, str(error)))
            return
        self._next_statement_id += 1
        self._statements[statement.statement_id] = statement
        eof = end_packet(_EMPTY_RESULT, self.runner.status, is_eof_deprecated=False)
        self.stream.write_many(prepare_packets(statement, self._is_eof_deprecated, eof))

    def _find_statement(self, data: bytes) -> PreparedStatement | None:
        if len(data) < 4:
            raise PacketMalformed("the packet has no statement id")
        return self._statements.get(int.from_bytes(data[:4], "little"))

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Run a prepared statement. No cursor is opened; the whole result is sent.

        :param data: the packet after its command byte.
        """
        statement = self._find_statement(data)
        if statement is None:
            await self._send_outcome(Failure(_unknown_statement_error()))
            return
        try:
            text = bind(statement, data, self._has_query_attributes)
        except PacketTooLarge as error:
            self._send_refusal(Refusal(STATEMENT_TOO_LARGE, str(error)))
            return
        except PacketMalformed as error:
            self._send_refusal(Refusal(MALFORMED_PACKET, str(error)))
            return
        finally:
            if statement.long_data_bytes:
                statement.reset()
                self.stream.keep(self._prepared_bytes + self._long_data_bytes)
            statement.reset()
        await self._send_outcome(await self.runner.run(text), is_binary=True)

    async def handle_stmt_send_long_data(self, data: bytes) -> None:
        """Store a chunk of a parameter. The command has no response.

        :param data: the packet after its command byte.
        """
        statement = self._find_statement(data)
        if statement is not None and len(data) >= 6:
            stored_bytes = self._long_data_bytes
            remaining_bytes = MAX_STATEMENT_BYTES - stored_bytes
            if not self.stream.keep(self._prepared_bytes + stored_bytes + len(data)):
                remaining_bytes = 0
            statement.append_long_data(
                int.from_bytes(data[4:6], "little"), data[6:], remaining_bytes
            )

    async def handle_stmt_close(self, data: bytes) -> None:
        """Delete a prepared statement. The command has no response.

        :param data: the statement's id.
        """
        self._statements.pop(int.from_bytes(data[:4], "little"), None)

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Discard the stored chunks of a statement's parameters.

        :param data: the statement's id.
        """
        statement = self._find_statement(data)
        if statement is None:
            await self._send_outcome(Failure(_unknown_statement_error()))
            return
        statement.reset()
        await self._send_outcome(Success(_EMPTY_RESULT))


_COMMANDS = {
    0x02: CallerConnection.handle_init_db,
    0x03: CallerConnection.handle_query,
    0x04: CallerConnection.handle_unsupported,
    0x09: CallerConnection.handle_statistics,
    0x0D: CallerConnection.handle_ping,
    0x0E: CallerConnection.handle_ping,
    0x11: CallerConnection.handle_change_user,
    0x16: CallerConnection.handle_stmt_prepare,
    0x17: CallerConnection.handle_stmt_execute,
    0x18: CallerConnection.handle_stmt_send_long_data,
    0x19: CallerConnection.handle_stmt_close,
    0x1A: CallerConnection.handle_stmt_reset,
    0x1B: CallerConnection.handle_set_option,
    0x1F: CallerConnection.handle_reset_connection,
}


def _unknown_statement_error() -> Failed:
    return Failed(1243, "HY000", "Unknown prepared statement handler")
