"""Connections to targets over the MySQL protocol, with the proxy's own credentials."""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import NamedTuple

import asyncmy.errors

from pistachiowinch.base.logs import part_logger
from pistachiowinch.links.targets import (
    ExecuteOutcome,
    Failed,
    ResultLost,
    Succeeded,
    TargetConnection,
    TargetUnreachable,
)
from pistachiowinch.targets.text_protocol import ProtocolError, TextProtocolConnection

__all__ = ["MysqlTargetConnection", "MysqlTargetLink", "TargetAddress", "TargetCredentials"]

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
# Unacknowledged data for this long ends the TCP connection; retransmission alone takes minutes.
USER_TIMEOUT_MS = 10_000

_TRANSPORT_ERRORS = (
    asyncmy.errors.MySQLError,
    OSError,
    EOFError,
    ProtocolError,
    ValueError,
    IndexError,
    struct.error,
)

_log = part_logger("targets")


class TargetAddress(NamedTuple):
    """Where a target listens."""

    host: str
    port: int


class TargetCredentials(NamedTuple):
    """The proxy's own login at the targets. A caller's key is never used there."""

    user: str
    password: str


def _set_socket_options(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class MysqlTargetConnection:
    """:class:`links.targets.TargetConnection` over ``asyncmy``.

    :param raw: a connection that is logged in.
    """

    __slots__ = ("_exchange", "_is_busy", "_is_spoiled", "_raw")

    def __init__(self, raw: TextProtocolConnection) -> None:
        """Take over the connection."""
        # Kept because the raw connection closes the socket when it is garbage collected.
        self._raw = raw
        self._exchange = raw.detach_exchange()
        self._is_busy = False
        self._is_spoiled = False

    @property
    def is_usable(self) -> bool:
        """Whether another statement may be sent."""
        return not self._is_busy and not self._is_spoiled and self._exchange.is_open

    async def execute(self, text: str) -> ExecuteOutcome:
        """Send one statement and read its whole answer.

        The connection is marked spoiled until the answer is complete, so a cancelled or broken
        exchange leaves it unusable without any clean-up.

        :param text: the statement.
        :raises RuntimeError: if an exchange is under way or the last one did not end cleanly.
        """
        if self._is_busy or self._is_spoiled:
            raise RuntimeError("the connection is busy or spoiled")
        if not self._exchange.is_open:
            self._is_spoiled = True
            return ResultLost(is_sent=False, reason="the target had closed the connection")
        self._is_busy = True
        self._is_spoiled = True
        try:
            outcome = await self._exchange.exchange(text)
        except _TRANSPORT_ERRORS as error:
            self._exchange.close()
            return ResultLost(is_sent=True, reason=f"{type(error).__name__}: {error}")
        finally:
            self._is_busy = False
        self._is_spoiled = False
        return outcome if isinstance(outcome, Failed) else Succeeded(outcome)

    async def close(self) -> None:
        """Close the connection without waiting for the target."""
        self._is_spoiled = True
        self._exchange.close()


class MysqlTargetLink:
    """:class:`links.targets.TargetLink` for one service.

    :param address_of: returns a target's address, None if the target is not configured.
    :param credentials: the proxy's login.
    :param database: database to select; empty selects none.
    :param connect_timeout_s: limit for connecting and login together.
    """

    def __init__(
        self,
        address_of: Callable[[str], TargetAddress | None],
        credentials: TargetCredentials,
        database: str = "",
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        """Store the settings; connections are opened on demand."""
        self._address_of = address_of
        self._credentials = credentials
        self._database = database
        self._connect_timeout_s = connect_timeout_s

    async def connect(self, target: str) -> TargetConnection:
        """Open a connection and log in.

        :param target: the target's name.
        :raises TargetUnreachable: if the target does not answer in time or refuses.
        """
        address = self._address_of(target)
        if address is None:
            raise TargetUnreachable(f"target {target} has no address")
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                return MysqlTargetConnection(await self._login(address))
        except TimeoutError as error:
            raise TargetUnreachable(f"target {target} did not complete the login") from error
        except _TRANSPORT_ERRORS as error:
            _log.info("Target {} cannot be reached: {}.", target, error)
            raise TargetUnreachable(f"target {target}: {error}") from error

    async def _login(self, address: TargetAddress) -> TextProtocolConnection:
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        raw: TextProtocolConnection | None = None
        try:
            _set_socket_options(sock)
            await loop.sock_connect(sock, (address.host, address.port))
            raw = TextProtocolConnection(
                sock=sock,
                user=self._credentials.user,
                password=self._credentials.password,
                database=self._database or None,
                charset="utf8mb4",
                autocommit=None,
            )
            await raw.connect()
        except BaseException:
            if raw is not None:
                raw.close()
            sock.close()
            raise
        return raw
