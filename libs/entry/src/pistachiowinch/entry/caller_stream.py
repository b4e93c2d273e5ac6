"""Connection of a caller that reads no more than the account of callers' memory allows."""

import asyncio
import select
from collections.abc import Callable
from typing import NoReturn

from pistachiowinch.base.caller_limits import FREE_BYTES, CallerMemory, CallerUsage
from pistachiowinch.base.clock import sleep_s
from pistachiowinch.base.sockets import set_socket_options

__all__ = ["CallerStream", "MessageTooLarge"]

# One read of a large message. All connections share the memory, as each read is copied at once.
_SCRATCH = memoryview(bytearray(64 * 1024))
_SMALL_SCRATCH = _SCRATCH[:FREE_BYTES]


class MessageTooLarge(Exception):
    """A message is longer than the protocol allows."""


class CallerStream(asyncio.BufferedProtocol):
    """Reads messages that end with a terminator, and writes answers.

    :param memory: account of what all callers hold.
    :param line_end: terminator of a message.
    :param max_line_bytes: maximum length of a message.
    :param on_connected: called with this stream once the connection is open.
    :param on_lost: called with this stream once it is closed.
    """

    def __init__(
        self,
        memory: CallerMemory,
        line_end: bytes,
        max_line_bytes: int,
        on_connected: Callable[["CallerStream"], None],
        on_lost: Callable[["CallerStream"], None],
    ) -> None:
        """Create a stream that is not connected yet."""
        self.usage = CallerUsage(self._on_granted, self._read_unsent_bytes)
        self._memory = memory
        self._line_end = line_end
        self._max_line_bytes = max_line_bytes
        self._on_connected = on_connected
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        # Start of the part of the buffer that has not been searched for a terminator.
        self._search_from = 0
        self._reader: asyncio.Future[None] | None = None
        self._drainer: asyncio.Future[None] | None = None
        self._is_incomplete = False
        self._is_ended = False
        self._is_lost = False
        self._error: Exception | None = None

    # Called by the transport

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take over the connection."""
        self._transport = transport
        # Makes the transport report whenever it could not pass on everything.
        transport.set_write_buffer_limits(0)
        set_socket_options(transport)
        self._on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory for the next read."""
        return _SCRATCH if self._is_reading_large else _SMALL_SCRATCH

    def buffer_updated(self, nbytes: int) -> None:
        """Take over what was read; stop reading if it is more than this connection may hold."""
        self._buffer += _SCRATCH[:nbytes]
        if len(self._buffer) > FREE_BYTES and not self._is_reading_large:
            self._stop_reading()
        self._wake(self._reader)

    def eof_received(self) -> bool:
        """Keep the sending side open for the answers that are due."""
        self._is_ended = True
        self._wake(self._reader)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Free everything that the connection held."""
        self._is_ended = self._is_lost = True
        self._error = exc
        self._memory.forget(self.usage)
        self._wake(self._reader)
        self._wake(self._drainer)
        self._on_lost(self)

    def pause_writing(self) -> None:
        """Charge what the caller has not taken."""
        self._memory.set_unsent(self.usage, self._read_unsent_bytes())

    def resume_writing(self) -> None:
        """Note that the caller has taken everything."""
        self._memory.set_unsent(self.usage, 0)
        self._wake(self._drainer)

    # Called by the session

    @property
    def has_unread(self) -> bool:
        """Whether a part of a message has arrived, also in the kernel's buffer.

        Closing a connection with unread bytes resets it, and the caller gets no answer.
        """
        if self._buffer:
            return True
        if self._transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def read_line(self) -> bytes:
        """Return the next message without its terminator.

        :raises MessageTooLarge: if it is longer than allowed.
        :raises asyncio.IncompleteReadError: if the connection ended before.
        :raises OSError: if the connection failed.
        """
        while True:
            line = self._pop_line()
            if line is not None:
                return line
            if self._error is not None:
                raise self._error
            if self._is_ended:
                raise asyncio.IncompleteReadError(bytes(self._buffer[:FREE_BYTES]), None)
            if self._buffer and not self._is_incomplete:
                self._is_incomplete = True
                self._memory.begin_message(self.usage)
            if self.usage.is_waiting and not self.usage.wanted_bytes:
                self._reserve()
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None

    def end_message(self) -> None:
        """Free what was reserved for the last message, which has been answered."""
        if self.usage.reserved_bytes:
            self._memory.release(self.usage)
            if len(self._buffer) > FREE_BYTES:
                self._stop_reading()

    def write(self, data: bytes | bytearray) -> None:
        """Write an answer without waiting for the caller to take it."""
        if not self._is_lost:
            # The transport copies only what it cannot send at once, and a view not even twice.
            self._transport.write(memoryview(data))

    async def drain(self) -> None:
        """Wait until the caller has taken all answers; the account bounds the time.

        If a further message has arrived, the other connections are served first: a caller that
        sends ahead would otherwise hold up their reads.

        :raises ConnectionResetError: if the connection is closed.
        """
        if self.usage.unsent_bytes and not self._is_lost:
            self._drainer = asyncio.get_running_loop().create_future()
            try:
                await self._drainer
            finally:
                self._drainer = None
        if self._buffer:
            await sleep_s(0.0)
        if self._is_lost:
            raise ConnectionResetError("the connection is closed")

    def close(self) -> None:
        """Close once the answers were sent."""
        self._buffer.clear()
        self._transport.close()

    def abort_after_write(self) -> None:
        """Close at once; what the kernel has accepted is still sent."""
        self._buffer.clear()
        self._transport.abort()

    def _read_unsent_bytes(self) -> int:
        return self._transport.get_write_buffer_size()

    @property
    def _is_reading_large(self) -> bool:
        # While a statement runs, its reservation is for itself and not for what is sent ahead.
        return self._is_incomplete and self.usage.reserved_bytes > 0

    def _pop_line(self) -> bytes | None:
        buffer = self._buffer
        end = buffer.find(self._line_end, self._search_from)
        if end < 0:
            self._search_from = max(len(buffer) - len(self._line_end) + 1, 0)
            if self._search_from > self._max_line_bytes:
                self._refuse_large()
            return None
        if end > self._max_line_bytes:
            self._refuse_large()
        line = bytes(buffer[:end])
        del buffer[: end + len(self._line_end)]
        self._search_from = 0
        if self._is_incomplete:
            self._is_incomplete = False
            self._memory.complete_message(self.usage, end)
        if self.usage.is_waiting and len(buffer) <= FREE_BYTES:
            self._resume_reading()
        return line

    def _refuse_large(self) -> NoReturn:
        self._buffer.clear()
        raise MessageTooLarge

    def _stop_reading(self) -> None:
        if not self.usage.is_waiting and not self._transport.is_closing():
            self._transport.pause_reading()
            self._memory.stop_reading(self.usage)

    def _resume_reading(self) -> None:
        self._memory.resume_reading(self.usage)
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _reserve(self) -> None:
        if self._memory.reserve(self.usage, self._max_line_bytes):
            self._on_granted()

    def _on_granted(self) -> None:
        self.usage.wanted_bytes = 0
        self._resume_reading()

    @staticmethod
    def _wake(waiter: asyncio.Future[None] | None) -> None:
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
