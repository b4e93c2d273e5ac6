"""Addresses of one soak on loopback, and pipes that harm the connections between them.

Each host has an address of its own. What a host connects to, it sees under addresses that belong
to it alone, so that each directed pair can be harmed by itself.
"""

import asyncio
import contextlib
import re
import socket
from collections.abc import Callable

from pistachiowinch.base.clock import sleep_s

__all__ = ["CALLERS_PORT", "PEERS_PORT", "READY_PORT", "TARGETS_PORT", "Network", "Pipe"]

# The same on all addresses of a soak; the kernel gives these ports to nobody by itself.
CALLERS_PORT = 7464
READY_PORT = 7465
PEERS_PORT = 7466
TARGETS_PORT = 7467

# Second byte of the addresses; one value for each soak that runs on the machine.
_NETWORKS = range(32, 224)
_HOSTS = 1
_TARGETS = 2
# Third byte of the addresses that host 0 sees; its neighbours follow.
_VIEWS = 10
# Last byte of a target in a host's view, behind the hosts.
_TARGETS_IN_VIEW = 200
_STORE_IN_VIEW = 250
_PIPE_BYTES = 16 * 1024
# A pipe that is cut looks this often whether it is whole again.
_CUT_LOOK_S = 0.02


class Network:
    """Addresses of one soak.

    :raises OSError: if all networks are taken.
    """

    def __init__(self) -> None:
        """Claim a network by listening at one of its addresses."""
        for number in _NETWORKS:
            # Another soak has it.
            with contextlib.suppress(OSError):
                self._claim = socket.create_server((f"127.{number}.0.1", PEERS_PORT))
                self._prefix = f"127.{number}"
                return
        raise OSError("all networks on loopback are taken")

    def close(self) -> None:
        """Give the network back."""
        self._claim.close()

    def host(self, number: int) -> str:
        """Return the address that a host listens at."""
        return f"{self._prefix}.{_HOSTS}.{number}"

    def target(self, number: int) -> str:
        """Return the address that a target listens at."""
        return f"{self._prefix}.{_TARGETS}.{number}"

    def seen_host(self, viewer: int, number: int) -> str:
        """Return where one host reaches another."""
        return f"{self._prefix}.{_VIEWS + viewer}.{number}"

    def seen_target(self, viewer: int, number: int) -> str:
        """Return where a host reaches a target."""
        return f"{self._prefix}.{_VIEWS + viewer}.{_TARGETS_IN_VIEW + number}"

    def store(self, viewer: int) -> str:
        """Return where a host reaches the store."""
        return f"{self._prefix}.{_VIEWS + viewer}.{_STORE_IN_VIEW}"

    def viewer_of(self, source: str) -> int:
        """Return the host whose pipes use a source address."""
        return int(source.split(".")[2]) - _VIEWS

    def translation(self, viewer: int) -> Callable[[bytes], bytes]:
        """Return what replaces addresses in values that a host reads from the store."""
        prefix = re.escape(self._prefix)
        pattern = re.compile(rf"{prefix}\.({_HOSTS}|{_TARGETS})\.(\d+)".encode())

        def seen(found: re.Match[bytes]) -> bytes:
            number = int(found[2])
            is_host = int(found[1]) == _HOSTS
            name = self.seen_host(viewer, number) if is_host else self.seen_target(viewer, number)
            return name.encode()

        return lambda value: pattern.sub(seen, value)


class _Flow:
    """One connection through a pipe."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]) -> None:
        self.writers = writers
        self.is_silent = False


class Pipe:
    """Forwards connections of one host to one destination.

    :param ip: where it listens; also the source address at the destination.
    :param port: port on both sides.
    :param destination: address that it forwards to.
    :ivar delay_s: added to every chunk, in each direction.
    :ivar is_cut_there: whether bytes to the destination are held back.
    :ivar is_cut_back: whether bytes from the destination are held back.
    """

    def __init__(self, ip: str, port: int, destination: str) -> None:
        """Create a pipe that does not listen yet."""
        self._ip = ip
        self._port = port
        self._destination = destination
        self._flows: set[_Flow] = set()
        self._server: asyncio.Server | None = None
        self.delay_s = 0.0
        self.is_cut_there = False
        self.is_cut_back = False

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, self._ip, self._port)

    async def stop(self) -> None:
        """Stop listening and drop all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Drop the open connections."""
        for flow in tuple(self._flows):
            for writer in flow.writers:
                writer.transport.abort()

    def silence(self) -> None:
        """Let nothing more through the open connections; new ones work."""
        for flow in self._flows:
            flow.is_silent = True

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._destination, self._port, local_addr=(self._ip, 0)
            )
        except OSError:
            writer.transport.abort()
            return
        flow = _Flow((writer, far_writer))
        self._flows.add(flow)
        there = self._forward(flow, reader, far_writer, lambda: self.is_cut_there)
        back = self._forward(flow, far_reader, writer, lambda: self.is_cut_back)
        try:
            await asyncio.gather(there, back)
        finally:
            self._flows.discard(flow)
            for end in flow.writers:
                end.transport.abort()

    async def _forward(
        self,
        flow: _Flow,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_cut: Callable[[], bool],
    ) -> None:
        # An end that broke off takes the other end with it, as without a pipe.
        with contextlib.suppress(OSError):
            while data := await reader.read(_PIPE_BYTES):
                if self.delay_s:
                    await sleep_s(self.delay_s)
                while is_cut():
                    await sleep_s(_CUT_LOOK_S)
                if not flow.is_silent:
                    writer.write(data)
                    await writer.drain()
        if not flow.is_silent:
            writer.close()
