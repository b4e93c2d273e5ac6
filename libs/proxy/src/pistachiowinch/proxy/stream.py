"""Packet stream of a caller's connection, with limits on the memory that a caller can use."""

import asyncio
import socket
from collections.abc import Callable, Iterable

from mysql_mimic.stream import ConnectionClosed

__all__ = [
    "MAX_LOGIN_BYTES",
    "MAX_STATEMENT_BYTES",
    "ConnectionClosed",
    "PacketMalformed",
    "PacketStream",
    "PacketTooLarge",
    "ReadInterrupted",
]

# Below MySQL's frame size of 16 MiB - 1, so that a statement is always a single frame.
MAX_STATEMENT_BYTES = 16_000_000
# Enough for a name, a digest and attributes; unauthenticated callers may not use more memory.
MAX_LOGIN_BYTES = 65_536
# A caller that does not read its result is disconnected after this time.
WRITE_STALL_TIMEOUT_S = 30.0

_HEADER_BYTES = 4
_MAX_FRAME_BYTES = 0xFFFFFF
_WRITE_CHUNK_BYTES = 262_144
# Further bytes after the current packet stay in the kernel's buffer, so TCP flow control slows the
# caller down.
_READ_AHEAD_BYTES = 65_536
_KEEPALIVE_IDLE_S = 60
_KEEPALIVE_INTERVAL_S = 10
_KEEPALIVE_PROBES = 3
_TCP_USER_TIMEOUT_MS = 60_000


class PacketMalformed(Exception):
    """The caller violated the packet protocol."""


class PacketTooLarge(Exception):
    """The caller announced a packet larger than the limit."""


class ReadInterrupted(Exception):
    """Reading was interrupted because the session ends."""


class PacketStream(asyncio.Protocol):
    """Reads and writes MySQL packets. Has the methods of ``mysql_mimic.stream.MysqlStream``.

    :param on_connected: called once with this stream.
    """

    def __init__(self, on_connected: Callable[["PacketStream"], None]) -> None:
        """Create a stream that is not connected yet."""
        self._on_connected = on_connected
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._is_closed = False
        self._is_interrupted = False
        self._is_reading_paused = False
        self._is_discarding_input = False
        self.seq = 0
        self.max_packet_bytes = MAX_LOGIN_BYTES

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection's task."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
            _set_keepalive(sock)
        self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes until they are read."""
        if self._is_discarding_input:
            return
        buffer = self._buffer
        buffer += data
        size_bytes = len(buffer)
        if (
            size_bytes > _READ_AHEAD_BYTES
            and size_bytes > self._expected_packet_bytes() + _READ_AHEAD_BYTES
        ):
            self._transport.pause_reading()
            self._is_reading_paused = True
        self._wake(self._read_waiter)

    def eof_received(self) -> bool:
        """Close a half-closed connection, because no result could be confirmed."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the tasks that wait for the caller."""
        self._is_closed = True
        self._wake(self._read_waiter)
        self._wake(self._write_waiter)

    def pause_writing(self) -> None:
        """Make :meth:`drain` wait."""
        self._write_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let :meth:`drain` continue."""
        self._wake(self._write_waiter)
        self._write_waiter = None

    @staticmethod
    def _wake(waiter: asyncio.Future[None] | None) -> None:
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _expected_packet_bytes(self) -> int:
        if len(self._buffer) < _HEADER_BYTES:
            return _HEADER_BYTES
        return (
            min(int.from_bytes(self._buffer[:3], "little"), self.max_packet_bytes) + _HEADER_BYTES
        )

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self._is_closed

    def interrupt(self) -> None:
        """Make the current or the next :meth:`read` that has no packet raise ReadInterrupted."""
        self._is_interrupted = True
        self._wake(self._read_waiter)

    def reset_seq(self) -> None:
        """Reset the sequence number for a new command."""
        self.seq = 0

    async def read(self) -> bytes:
        """Return the next packet's payload.

        :raises ConnectionClosed: if the connection is closed.
        :raises PacketMalformed: if the packet's sequence number is wrong.
        :raises PacketTooLarge: if the packet is larger than :attr:`max_packet_bytes`.
        :raises ReadInterrupted: after :meth:`interrupt`.
        """
        while True:
            payload = self._pop_packet()
            if payload is not None:
                return payload
            if self._is_closed:
                raise ConnectionClosed
            if self._is_interrupted:
                self._is_interrupted = False
                raise ReadInterrupted
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None

    def _pop_packet(self) -> bytes | None:
        buffer = self._buffer
        if len(buffer) < _HEADER_BYTES:
            return None
        length_bytes = int.from_bytes(buffer[:3], "little")
        if length_bytes > self.max_packet_bytes:
            raise PacketTooLarge(
                f"a packet of {length_bytes} bytes; {self.max_packet_bytes} allowed"
            )
        if buffer[3] != self.seq:
            raise PacketMalformed(f"packet number {buffer[3]} instead of {self.seq}")
        end = _HEADER_BYTES + length_bytes
        if len(buffer) < end:
            return None
        payload = bytes(buffer[_HEADER_BYTES:end])
        del buffer[:end]
        self.seq = (self.seq + 1) & 0xFF
        if self._is_reading_paused and len(buffer) <= _READ_AHEAD_BYTES:
            self._is_reading_paused = False
            self._transport.resume_reading()
        return payload

    def write_many(self, payloads: Iterable[bytes]) -> None:
        """Write packets without waiting for the caller to read them.

        :param payloads: the packets' payloads.
        """
        parts: list[bytes] = []
        seq = self.seq
        for payload in payloads:
            length_bytes = len(payload)
            if length_bytes >= _MAX_FRAME_BYTES:
                parts.append(self._split_frames(payload, seq))
                seq += length_bytes // _MAX_FRAME_BYTES + 1
                continue
            parts.append((length_bytes | (seq & 0xFF) << 24).to_bytes(4, "little"))
            parts.append(payload)
            seq += 1
        self.seq = seq & 0xFF
        if not self._is_closed:
            self._transport.write(b"".join(parts))

    @staticmethod
    def _split_frames(payload: bytes, seq: int) -> bytes:
        frames: list[bytes] = []
        for number, start in enumerate(range(0, len(payload) + 1, _MAX_FRAME_BYTES)):
            frame = payload[start : start + _MAX_FRAME_BYTES]
            header = len(frame) | ((seq + number) & 0xFF) << 24
            frames += [header.to_bytes(4, "little"), frame]
        return b"".join(frames)

    async def write_result(self, payloads: list[bytes]) -> None:
        """Write a whole result, waiting for a slow caller.

        :param payloads: the packets' payloads.
        :raises ConnectionClosed: if the connection is closed or the caller does not read.
        """
        size_bytes = 0
        start = 0
        for index, payload in enumerate(payloads):
            size_bytes += len(payload)
            if size_bytes >= _WRITE_CHUNK_BYTES:
                self.write_many(payloads[start : index + 1])
                await self.drain()
                start = index + 1
                size_bytes = 0
        self.write_many(payloads[start:] if start else payloads)
        if self._write_waiter is not None or self._is_closed:
            await self.drain()

    def write_small_result(self, head: bytes, frames: bytes, next_seq: int, end: bytes) -> bool:
        """Write a small result at once, unless the caller is slow.

        :returns: whether the result was written; if not, :meth:`write_frames` is needed.
        """
        if len(frames) > _WRITE_CHUNK_BYTES or self._write_waiter is not None or self._is_closed:
            return False
        self.seq = (next_seq + 1) & 0xFF
        last = (len(end) | next_seq << 24).to_bytes(4, "little")
        self._transport.write(b"".join((head, frames, last, end)))
        return True

    async def write_frames(self, head: bytes, frames: bytes, next_seq: int, end: bytes) -> None:
        """Write a result whose packets already have headers, waiting for a slow caller.

        :param head: packets before the rows, with sequence numbers from 1.
        :param frames: row packets.
        :param next_seq: sequence number of the last packet.
        :param end: payload of the last packet.
        :raises ConnectionClosed: if the connection is closed or the caller does not read.
        """
        await self.drain()
        self._transport.write(head)
        view = memoryview(frames)
        for start in range(0, len(frames), _WRITE_CHUNK_BYTES):
            self._transport.write(view[start : start + _WRITE_CHUNK_BYTES])
            await self.drain()
        self.seq = next_seq
        await self.write(end)

    async def write(self, data: bytes, drain: bool = True) -> None:
        """Write one packet.

        :param data: the packet's payload.
        :param drain: whether to wait for a slow caller.
        """
        self.write_many((data,))
        if drain:
            await self.drain()

    async def drain(self) -> None:
        """Wait until the write buffer is below its limit.

        :raises ConnectionClosed: if the connection is closed or the caller does not read.
        """
        write_waiter = self._write_waiter
        if write_waiter is not None and not self._is_closed:
            try:
                async with asyncio.timeout(WRITE_STALL_TIMEOUT_S):
                    await asyncio.shield(write_waiter)
            except TimeoutError:
                self.abort()
                raise ConnectionClosed from None
        if self._is_closed:
            raise ConnectionClosed

    def close(self) -> None:
        """Close the connection after the buffered packets were sent."""
        if self._transport is not None:
            self._transport.close()

    def finish_writing(self) -> None:
        """Send the buffered packets, then shut down the sending side.

        Input is discarded from now on, because closing a socket with unread input resets it and the
        caller would lose a final error.
        """
        self._is_discarding_input = True
        self._buffer.clear()
        if self._is_closed:
            return
        if self._is_reading_paused:
            self._is_reading_paused = False
            self._transport.resume_reading()
        if self._transport.can_write_eof() and not self._transport.is_closing():
            self._transport.write_eof()

    async def wait_closed(self, timeout_s: float) -> None:
        """Wait until the caller closes its side.

        :param timeout_s: maximum time to wait.
        """
        if not self._is_closed:
            self._read_waiter = asyncio.get_running_loop().create_future()
            await asyncio.wait([self._read_waiter], timeout=timeout_s)
            self._read_waiter = None

    def abort(self) -> None:
        """Close at once and discard the buffered packets."""
        if self._transport is not None:
            self._transport.abort()


def _set_keepalive(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)
