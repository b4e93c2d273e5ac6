"""Loopback addresses of a soak, and forwarders that inject faults into connections.

Each host connects to the other hosts, the targets and the store through addresses that no other
host uses, so that a fault can affect a single pair of endpoints in one direction.
"""

import asyncio
import contextlib
import re
import socket
from collections.abc import Callable

from pistachiowinch.base.clock import sleep_s

__all__ = ["CALLERS_PORT", "PEERS_PORT", "READY_PORT", "TARGETS_PORT", "Forwarder", "Network"]

# The same on all addresses; these ports are outside the kernel's ephemeral port range.
CALLERS_PORT = 7464
READY_PORT = 7465
PEERS_PORT = 7466
TARGETS_PORT = 7467

# Second octet of the addresses; each soak on the machine reserves one value.
_NETWORK_OCTETS = range(32, 224)
# Third octet of the addresses at which hosts and targets listen.
_HOSTS_OCTET = 1
_TARGETS_OCTET = 2
# Third octet of the addresses that host 0 connects to; each further host has the next value.
_FIRST_ORIGIN_OCTET = 10
# Last octet of the first target and of the store; lower values belong to hosts.
_FIRST_TARGET_OCTET = 200
_STORE_OCTET = 250
_READ_BYTES = 16 * 1024
# How often a cut direction is checked for the end of the cut.
_CUT_POLL_S = 0.02


class Network:
    """The addresses of one soak.

    :raises OSError: if all networks are in use.
    """

    def __init__(self) -> None:
        """Reserve a network by listening at one of its addresses."""
        for number in _NETWORK_OCTETS:
            # The bind fails if another soak uses this network.
            with contextlib.suppress(OSError):
                self._reservation = socket.create_server((f"127.{number}.0.1", PEERS_PORT))
                self._prefix = f"127.{number}"
                return
        raise OSError("all loopback networks are in use by other soaks")

    def close(self) -> None:
        """Release the network."""
        self._reservation.close()

    def host_ip(self, number: int) -> str:
        """Return the IP address at which a host listens."""
        return f"{self._prefix}.{_HOSTS_OCTET}.{number}"

    def target_ip(self, number: int) -> str:
        """Return the IP address at which a target listens."""
        return f"{self._prefix}.{_TARGETS_OCTET}.{number}"

    def host_ip_from(self, origin: int, number: int) -> str:
        """Return the IP address at which the host ``origin`` reaches another host."""
        return f"{self._prefix}.{_FIRST_ORIGIN_OCTET + origin}.{number}"

    def target_ip_from(self, origin: int, number: int) -> str:
        """Return the IP address at which the host ``origin`` reaches a target."""
        return f"{self._prefix}.{_FIRST_ORIGIN_OCTET + origin}.{_FIRST_TARGET_OCTET + number}"

    def store_ip_from(self, origin: int) -> str:
        """Return the IP address at which the host ``origin`` reaches the store."""
        return f"{self._prefix}.{_FIRST_ORIGIN_OCTET + origin}.{_STORE_OCTET}"

    def origin_of(self, source_ip: str) -> int:
        """Return the number of the host whose forwarders connect from a source address."""
        return int(source_ip.split(".")[2]) - _FIRST_ORIGIN_OCTET

    def address_translator(self, origin: int) -> Callable[[bytes], bytes]:
        """Return a function that translates addresses in store values for one host."""
        prefix = re.escape(self._prefix)
        pattern = re.compile(rf"{prefix}\.({_HOSTS_OCTET}|{_TARGETS_OCTET})\.(\d+)".encode())

        def translate(found: re.Match[bytes]) -> bytes:
            number = int(found[2])
            is_host = int(found[1]) == _HOSTS_OCTET
            ip = (
                self.host_ip_from(origin, number)
                if is_host
                else self.target_ip_from(origin, number)
            )
            return ip.encode()

        return lambda value: pattern.sub(translate, value)


class _ForwardedConnection:
    """A connection through a forwarder."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]) -> None:
        self.writers = writers
        self.is_silent = False


class Forwarder:
    """Forwards TCP connections of one host to one destination.

    :param ip: IP address to listen at; also the source address at the destination.
    :param port: port to listen at and to connect to.
    :param destination: IP address of the destination.
    :ivar delay_s: delay of every chunk, in each direction.
    :ivar is_outbound_cut: whether data to the destination is delayed until the cut ends.
    :ivar is_inbound_cut: whether data from the destination is delayed until the cut ends.
    """

    def __init__(self, ip: str, port: int, destination: str) -> None:
        """Create a stopped forwarder."""
        self._ip = ip
        self._port = port
        self._destination = destination
        self._connections: set[_ForwardedConnection] = set()
        self._server: asyncio.Server | None = None
        self.delay_s = 0.0
        self.is_outbound_cut = False
        self.is_inbound_cut = False

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, self._ip, self._port)

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Abort the open connections."""
        for connection in tuple(self._connections):
            for writer in connection.writers:
                writer.transport.abort()

    def silence(self) -> None:
        """Discard all further data of the open connections; new connections work."""
        for connection in self._connections:
            connection.is_silent = True

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            destination_reader, destination_writer = await asyncio.open_connection(
                self._destination, self._port, local_addr=(self._ip, 0)
            )
        except OSError:
            writer.transport.abort()
            return
        connection = _ForwardedConnection((writer, destination_writer))
        self._connections.add(connection)
        outbound = self._forward(
            connection, reader, destination_writer, lambda: self.is_outbound_cut
        )
        inbound = self._forward(connection, destination_reader, writer, lambda: self.is_inbound_cut)
        try:
            await asyncio.gather(outbound, inbound)
        finally:
            self._connections.discard(connection)
            for end_writer in connection.writers:
                end_writer.transport.abort()

    async def _forward(
        self,
        connection: _ForwardedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_cut: Callable[[], bool],
    ) -> None:
        # A broken connection on one side closes the other side, as without a forwarder.
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                if self.delay_s:
                    await sleep_s(self.delay_s)
                while is_cut():
                    await sleep_s(_CUT_POLL_S)
                if not connection.is_silent:
                    writer.write(data)
                    await writer.drain()
        if not connection.is_silent:
            writer.close()
