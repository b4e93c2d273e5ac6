"""Packet stream of a caller's connection, with limits on the memory that a caller can use."""

import asyncio
import socket
from collections.abc import Callable, Iterable

from mysql_mimic.stream import ConnectionClosed

from pistachiowinch.base.caller_limits import (
    DEFAULT_MACHINE,
    FREE_BYTES,
    CallerLimits,
    CallerMemory,
    CallerUsage,
)

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
# One read of a large packet. All connections share the memory, as each read is copied at once.
_SCRATCH = memoryview(bytearray(65_536))
_SMALL_SCRATCH = _SCRATCH[:FREE_BYTES]
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


class PacketStream(asyncio.BufferedProtocol):
    """Reads and writes MySQL packets. Has the methods of ``mysql_mimic.stream.MysqlStream``.

    Bytes beyond those that it may hold stay in the kernel's buffer, so TCP flow control slows the
    caller down.

    :param on_connected: called once with this stream.
    :param memory: account of what all callers hold; None for one of its own.
    """

    def __init__(
        self,
        on_connected: Callable[["PacketStream"], None],
        memory: CallerMemory | None = None,
    ) -> None:
        """Create a stream that is not connected yet."""
        if memory is None:
            memory = CallerMemory(CallerLimits.of_machine(DEFAULT_MACHINE), lambda *_: None)
        self._memory = memory
        self.usage = CallerUsage(self._on_granted, self._read_unsent_bytes)
        self._is_incomplete = False
        self._on_connected = on_connected
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._is_closed = False
        self._is_interrupted = False
        self._is_discarding_input = False
        self.seq = 0
        self.max_packet_bytes = MAX_LOGIN_BYTES

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection's task."""
        self._transport = transport
        # Makes the transport report whenever it could not pass on everything.
        transport.set_write_buffer_limits(0)
        sock = transport.get_extra_info("socket")
        if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
            _set_keepalive(sock)
        self._on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory for the next read."""
        return _SCRATCH if self._is_reading_large else _SMALL_SCRATCH

    def buffer_updated(self, nbytes: int) -> None:
        """Take over what was read."""
        self.data_received(_SCRATCH[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Buffer received bytes until they are read; stop reading if they are too many."""
        if self._is_discarding_input:
            return
        buffer = self._buffer
        buffer += data
        if len(buffer) > FREE_BYTES and not self._is_reading_large:
            self._pause_reading()
        self._wake(self._read_waiter)

    def eof_received(self) -> bool:
        """Close a half-closed connection, because no result could be confirmed."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Free what the connection held, and wake the tasks that wait for the caller."""
        self._is_closed = True
        self._memory.forget(self.usage)
        self._wake(self._read_waiter)
        self._wake(self._write_waiter)

    def pause_writing(self) -> None:
        """Make :meth:`drain` wait."""
        self._write_waiter = asyncio.get_running_loop().create_future()
        self._memory.set_unsent(self.usage, self._read_unsent_bytes())

    def resume_writing(self) -> None:
        """Let :meth:`drain` continue."""
        self._memory.set_unsent(self.usage, 0)
        self._wake(self._write_waiter)
        self._write_waiter = None

    @staticmethod
    def _wake(waiter: asyncio.Future[None] | None) -> None:
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    @property
    def _is_reading_large(self) -> bool:
        # While a command runs, its reservation is for itself and not for what is sent ahead.
        return self._is_incomplete and self.usage.reserved_bytes > 0

    def _read_unsent_bytes(self) -> int:
        return self._transport.get_write_buffer_size()

    def _pause_reading(self) -> None:
        if not self.usage.is_waiting:
            self._transport.pause_reading()
            self._memory.stop_reading(self.usage)

    def _resume_reading(self) -> None:
        self._memory.resume_reading(self.usage)
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _on_granted(self) -> None:
        self.usage.wanted_bytes = 0
        self._resume_reading()

    def _await_rest(self) -> None:
        """Prepare to receive the rest of a packet."""
        if self._buffer and not self._is_incomplete:
            self._is_incomplete = True
            self._memory.begin_message(self.usage)
        if self.usage.is_waiting and not self.usage.wanted_bytes:
            packet_bytes = int.from_bytes(self._buffer[:3], "little") + _HEADER_BYTES
            if self._memory.reserve(self.usage, packet_bytes):
                self._on_granted()

    def keep(self, size_bytes: int) -> bool:
        """Charge what this connection keeps in total; return False if that is too much."""
        return self._memory.keep(self.usage, size_bytes)

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
        if self.usage.reserved_bytes and not self._is_incomplete:
            # The last command has been answered.
            self._memory.release(self.usage)
            if len(self._buffer) > FREE_BYTES:
                self._pause_reading()
        while True:
            payload = self._pop_packet()
            if payload is not None:
                return payload
            if self._is_closed:
                raise ConnectionClosed
            if self._is_interrupted:
                self._is_interrupted = False
                raise ReadInterrupted
            self._await_rest()
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
        if self._is_incomplete:
            self._is_incomplete = False
            self._memory.complete_message(self.usage, end)
        if self.usage.is_waiting and len(buffer) <= FREE_BYTES:
            self._resume_reading()
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

    @property
    def is_write_blocked(self) -> bool:
        """Whether the caller has not taken all results."""
        return self._write_waiter is not None

    async def drain(self) -> None:
        """Wait until the caller has taken all results.

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
        self._memory.forget(self.usage)
        if not self._transport.is_closing():
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
        self._buffer.clear()
        if self._transport is not None:
            self._transport.abort()


def _set_keepalive(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)
