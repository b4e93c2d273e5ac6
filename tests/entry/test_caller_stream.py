"""Guards against broken, cut and huge input that fails a caller's stream or is held for ever."""

import asyncio
import random

import pytest
from proxy.proxy_support import FakeTransport

from pistachiowinch.base.caller_limits import (
    DEFAULT_MACHINE,
    FREE_BYTES,
    CallerLimits,
    CallerMemory,
)
from pistachiowinch.entry import caller_stream
from pistachiowinch.entry.caller_stream import CallerStream, MessageTooLarge
from pistachiowinch.platform.callers import LineCallerCodec

CASES = 400
MAX_LINE_BYTES = 100_000
LINES = (
    b"START stock key",
    b"QUERY q READ 1",
    b"QUERY q SET name value",
    b"QUERY q PREPARE s READ shape",
    b"QUERY q EXECUTE s 1",
    b"QUERY - STATUS",
    b"BYE",
)


class Connection:
    """A stream on a fake transport, with an account of its own."""

    def __init__(self) -> None:
        """Connect."""
        self.memory = CallerMemory(CallerLimits.of_machine(DEFAULT_MACHINE), lambda *_: None)
        self.transport = FakeTransport()
        self.stream = CallerStream(
            self.memory, b"\r\n", MAX_LINE_BYTES, lambda _: None, lambda _: None
        )
        self.transport.protocol = self.stream
        self.stream.connection_made(self.transport)

    async def feed(self, data: bytes, rng: random.Random) -> None:
        """Deliver bytes as the transport does, in pieces, until reading stays paused."""
        while data:
            if self.transport.is_paused:
                await asyncio.sleep(0)
            if self.transport.is_paused:
                return
            buffer = self.stream.get_buffer(-1)
            size_bytes = min(len(data), len(buffer), rng.choice((1, 7, 1000, 100_000)))
            buffer[:size_bytes] = data[:size_bytes]
            data = data[size_bytes:]
            self.stream.buffer_updated(size_bytes)
            if rng.random() < 0.1:
                await asyncio.sleep(0)


def damaged(rng: random.Random) -> bytes:
    """Return messages of which some are broken, cut, joined or huge."""
    parts = []
    for _ in range(rng.randrange(1, 5)):
        line = bytearray(rng.choice(LINES) + rng.choice((b"\r\n", b"\r\n", b"\n", b"\r", b"")))
        for _ in range(rng.randrange(3)):
            line[rng.randrange(len(line))] = rng.randrange(256)
        if rng.random() < 0.2:
            line[rng.randrange(len(line)) : 0] = rng.randbytes(rng.choice((100, 20_000, 300_000)))
        parts.append(bytes(line))
    data = b"".join(parts)
    return data[: rng.randrange(len(data)) + 1]


async def read_all(stream: CallerStream, lines: list[bytes]) -> None:
    """Read messages until the stream ends."""
    while True:
        lines.append(await stream.read_line())
        stream.end_message()


@pytest.mark.parametrize("seed", range(4))
async def test_any_input_is_read_refused_or_ended(seed):
    """Every message is decoded, or the stream ends with one of its own errors and frees all."""
    rng = random.Random(seed)
    codec = LineCallerCodec()
    for _ in range(CASES):
        connection = Connection()
        lines: list[bytes] = []
        reading = asyncio.ensure_future(read_all(connection.stream, lines))
        await asyncio.sleep(0)
        await connection.feed(damaged(rng), rng)
        await asyncio.sleep(0)
        if rng.random() < 0.5:
            connection.stream.eof_received()
        else:
            connection.stream.connection_lost(rng.choice((None, ConnectionResetError())))
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError, MessageTooLarge)):
            await asyncio.wait_for(reading, 1.0)
        connection.stream.connection_lost(None)
        assert connection.memory.used_bytes == 0
        for line in lines:
            assert len(line) <= MAX_LINE_BYTES
            codec.decode_start(line)
            assert codec.decode(line) is not None


async def test_statements_sent_ahead_stay_with_the_caller():
    """Guards against a stream that buffers while a statement runs."""
    connection = Connection()
    await connection.feed(LINES[1] + b"\r\n", random.Random(1))
    assert await connection.stream.read_line() == LINES[1]
    await connection.feed(b"QUERY q READ 1\r\n" * 100_000, random.Random(1))
    assert connection.transport.is_paused
    assert len(connection.stream._buffer) <= 2 * FREE_BYTES
    assert len(caller_stream._SMALL_SCRATCH) == FREE_BYTES
