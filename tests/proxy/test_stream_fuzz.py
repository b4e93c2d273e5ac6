"""Guards against broken, cut and huge packets that fail a packet stream or are held for ever."""

import asyncio
import random

import pytest
from proxy.proxy_support import FakeTransport

from pistachiowinch.base.caller_limits import DEFAULT_MACHINE, CallerLimits, CallerMemory
from pistachiowinch.proxy.stream import (
    ConnectionClosed,
    PacketMalformed,
    PacketStream,
    PacketTooLarge,
)

CASES = 400
MAX_PACKET_BYTES = 100_000


def damaged(rng: random.Random) -> bytes:
    """Return packets of which some have a wrong number or length, are cut, or are huge."""
    parts = []
    for _ in range(rng.randrange(1, 5)):
        payload = rng.randbytes(rng.choice((0, 1, 5, 100, 9_000, 90_000, 200_000)))
        length = len(payload)
        if rng.random() < 0.2:
            length = rng.choice((0, length + 1, 0xFFFFFF, rng.randrange(1 << 24)))
        number = 0 if rng.random() < 0.9 else rng.randrange(256)
        parts.append(length.to_bytes(3, "little") + bytes([number]) + payload)
    data = b"".join(parts)
    return data[: rng.randrange(len(data)) + 1]


async def read_all(stream: PacketStream) -> None:
    """Read commands until the stream ends."""
    while True:
        stream.reset_seq()
        assert len(await stream.read()) <= MAX_PACKET_BYTES


@pytest.mark.parametrize("seed", range(4))
async def test_any_input_is_read_refused_or_ended(seed):
    """Every packet is read, or the stream ends with one of its own errors and frees all."""
    rng = random.Random(seed)
    for _ in range(CASES):
        memory = CallerMemory(CallerLimits.of_machine(DEFAULT_MACHINE), lambda *_: None)
        stream = PacketStream(lambda _: None, memory)
        transport = FakeTransport()
        transport.protocol = stream
        stream.connection_made(transport)
        stream.max_packet_bytes = MAX_PACKET_BYTES
        reading = asyncio.ensure_future(read_all(stream))
        await asyncio.sleep(0)
        data = damaged(rng)
        while data:
            if transport.is_paused:
                await asyncio.sleep(0)
            if transport.is_paused:
                break
            buffer = stream.get_buffer(-1)
            size_bytes = min(len(data), len(buffer), rng.choice((1, 7, 1000, 100_000)))
            buffer[:size_bytes] = data[:size_bytes]
            data = data[size_bytes:]
            stream.buffer_updated(size_bytes)
            if rng.random() < 0.1:
                await asyncio.sleep(0)
        await asyncio.sleep(0)
        stream.connection_lost(None)
        with pytest.raises((ConnectionClosed, PacketMalformed, PacketTooLarge)):
            await asyncio.wait_for(reading, 1.0)
        assert memory.used_bytes == 0
