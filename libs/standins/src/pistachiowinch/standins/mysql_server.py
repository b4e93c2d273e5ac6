"""MySQL protocol servers in front of any target link and group link, one port for each target.

The demo and the tests of the proxy use them in place of real databases. Faults can be set for each
target.
"""

import asyncio
from typing import NamedTuple

from mysql_mimic import packets
from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User
from mysql_mimic.connection import Connection
from mysql_mimic.control import LocalControl
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.variables import GlobalVariables, SessionVariables

from pistachiowinch.base.clock import sleep_s
from pistachiowinch.links.targets import (
    ExecuteOutcome,
    Failed,
    FenceReply,
    GroupLink,
    QueryResult,
    ResultLost,
    Succeeded,
    TargetConnection,
    TargetLink,
    TargetUnreachable,
)
from pistachiowinch.proxy.wire import (
    STATUS_AUTOCOMMIT,
    STATUS_IN_TRANSACTION,
    error_packet,
    result_packets,
)
from pistachiowinch.targets.orders import (
    REPLY_COLUMNS,
    FenceOrder,
    FollowOrder,
    GroupOrder,
    PromoteOrder,
    StatusOrder,
    parse_order,
    reply_row,
)

__all__ = ["Login", "MysqlTargetServer", "TargetFaults"]

_UNREACHABLE = Failed(2013, "HY000", "the target's engine is unreachable")
_COM_PING_RESULT = QueryResult()


class Login(NamedTuple):
    """Credentials of the only user that may log in."""

    user: str
    password: str


class TargetFaults:
    """Faults of one target. Each may be changed at any time."""

    def __init__(self) -> None:
        """Start without faults."""
        self.is_refusing = False
        self.is_truncating_results = False
        self.delay_s = 0.0


class _SingleUserProvider(IdentityProvider):
    """Identity provider with a single user."""

    def __init__(self, login: Login) -> None:
        hashed = NativePasswordAuthPlugin.create_auth_string(login.password)
        self._user = User(login.user, hashed, NativePasswordAuthPlugin.name)
        self._plugin = NativePasswordAuthPlugin()

    def get_plugins(self) -> list[NativePasswordAuthPlugin]:
        return [self._plugin]

    async def get_user(self, username: str) -> User | None:
        return self._user if username == self._user.name else None


class _Session(BaseSession):
    """Session that ``mysql_mimic`` requires; statements bypass it."""

    def __init__(self) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.username = None
        self.database = None

    async def init(self, connection: Connection) -> None:
        """Do nothing after the login."""

    async def close(self) -> None:
        """Do nothing when the client disconnects."""

    async def use(self, database: str) -> None:
        """Accept any name, since a target has one database."""
        self.database = database


class _ServedConnection(Connection):
    """One client's connection to one target."""

    def __init__(
        self,
        stream: MysqlStream,
        provider: IdentityProvider,
        control: LocalControl,
        listener: "_TargetListener",
    ) -> None:
        super().__init__(stream, _Session(), control, provider)
        self._listener = listener
        self.engine: TargetConnection | None = None
        self.is_silent = False

    async def handle_query(self, data: bytes) -> None:
        """Run one statement or one order to the group."""
        text = packets.parse_com_query(self.capabilities, self.client_charset, data).sql
        self._listener.received_statements.append(text)
        outcome = await self._listener.run(self, text)
        await self._hang_if_silent()
        if self._listener.faults.delay_s > 0.0:
            await sleep_s(self._listener.faults.delay_s)
            await self._hang_if_silent()
        await self._send_outcome(outcome)

    async def handle_ping(self, data: bytes) -> None:
        """Reply unless the connection is silent."""
        await self._hang_if_silent()
        await self._send_outcome(Succeeded(_COM_PING_RESULT))

    async def _hang_if_silent(self) -> None:
        if self.is_silent:
            await asyncio.get_running_loop().create_future()

    async def _send_outcome(self, outcome: ExecuteOutcome) -> None:
        match outcome:
            case Succeeded(result):
                status = STATUS_AUTOCOMMIT
                status |= STATUS_IN_TRANSACTION if result.is_in_transaction else 0
                encoded = result_packets(result, status, self.deprecate_eof(), is_binary=False)
            case Failed():
                encoded = [error_packet(outcome)]
            case ResultLost():
                # An exception would make the library send an error packet.
                self.stream.writer.transport.abort()
                return
        if self._listener.faults.is_truncating_results:
            half = len(encoded) // 2
            self.stream.write_many(encoded[:half])
            await self.stream.drain()
            self.stream.writer.close()
            return
        self.stream.write_many(encoded)
        await self.stream.drain()


class _TargetListener:
    """Server of one target's port."""

    def __init__(self, target: str, link: TargetLink, group: GroupLink, login: Login) -> None:
        self.target = target
        self.faults = TargetFaults()
        self.received_statements: list[str] = []
        self._link = link
        self._group = group
        self._provider = _SingleUserProvider(login)
        self._control = LocalControl()
        self._connections: dict[_ServedConnection, asyncio.StreamWriter] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        return self._server.sockets[0].getsockname()[1]

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        self._server.close()
        self.abort_connections()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(set(self._tasks))

    def silence(self) -> None:
        for connection in self._connections:
            connection.is_silent = True

    def abort_connections(self) -> None:
        for writer in self._connections.values():
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self.faults.is_refusing:
            writer.transport.abort()
            return
        connection = _ServedConnection(
            MysqlStream(reader, writer), self._provider, self._control, self
        )
        self._connections[connection] = writer
        try:
            await connection.start()
        except (ConnectionClosed, OSError, asyncio.CancelledError):
            pass
        finally:
            del self._connections[connection]
            if connection.engine is not None:
                await connection.engine.close()
            writer.close()

    async def run(self, connection: _ServedConnection, text: str) -> ExecuteOutcome:
        if text.upper().startswith(("SET NAMES", "SET CHARACTER SET")):
            return Succeeded(QueryResult())
        order = parse_order(text)
        try:
            if order is not None:
                reply = await self._run_order(order)
                return Succeeded(QueryResult(columns=REPLY_COLUMNS, rows=(reply_row(reply),)))
            if connection.engine is None:
                connection.engine = await self._link.connect(self.target)
            return await connection.engine.execute(text)
        except TargetUnreachable:
            return _UNREACHABLE

    async def _run_order(self, order: GroupOrder) -> FenceReply:
        match order:
            case StatusOrder():
                return FenceReply(True, await self._group.status(self.target))
            case FenceOrder(term):
                return await self._group.fence(self.target, term)
            case PromoteOrder(term):
                return await self._group.promote(self.target, term)
            case FollowOrder(term, primary):
                return await self._group.follow(self.target, term, primary)


class MysqlTargetServer:
    """Serves the targets of one database group.

    :param link: link that runs statements.
    :param group: link that runs the group's orders.
    :param targets: the targets' names.
    :param login: the only accepted login.
    """

    def __init__(
        self, link: TargetLink, group: GroupLink, targets: tuple[str, ...], login: Login
    ) -> None:
        """Create the servers; they do not listen yet."""
        self._listeners = {
            target: _TargetListener(target, link, group, login) for target in targets
        }

    async def start(self, host: str = "127.0.0.1", first_port: int = 0) -> None:
        """Listen on one port for each target.

        :param host: address to listen on.
        :param first_port: port of the first target, with the next ports for the others; 0 chooses
            free ports.
        """
        for offset, listener in enumerate(self._listeners.values()):
            await listener.start(host, first_port + offset if first_port else 0)

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        for listener in self._listeners.values():
            await listener.stop()

    def port_of(self, target: str) -> int:
        """Return the port of a target.

        :param target: the target's name.
        """
        return self._listeners[target].port

    def faults(self, target: str) -> TargetFaults:
        """Return a target's faults, which the test may change.

        :param target: the target's name.
        """
        return self._listeners[target].faults

    def received_statements(self, target: str) -> list[str]:
        """Return the statements that reached a target, in order.

        :param target: the target's name.
        """
        return self._listeners[target].received_statements

    def silence(self, target: str) -> None:
        """Stop replying on the present connections; new ones work.

        :param target: the target's name.
        """
        self._listeners[target].silence()

    def abort_connections(self, target: str) -> None:
        """Abort the present connections; new ones work.

        :param target: the target's name.
        """
        self._listeners[target].abort_connections()
