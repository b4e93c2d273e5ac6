"""Guards the limits on memory and time that a caller can use."""

import asyncio

import pytest
from proxy.proxy_support import FakeTransport

from pistachiowinch.proxy.stream import (
    ConnectionClosed,
    PacketMalformed,
    PacketStream,
    PacketTooLarge,
    ReadInterrupted,
)

pytestmark = pytest.mark.looptime


def make_stream():
    stream = PacketStream(lambda _: None)
    transport = FakeTransport()
    transport.protocol = stream
    stream.connection_made(transport)
    return stream, transport


async def test_packets_may_arrive_in_pieces():
    stream, _ = make_stream()
    reading = asyncio.create_task(stream.read())
    for byte in b"\x03\x00\x00\x00abc\x01":
        await asyncio.sleep(0)
        stream.data_received(bytes([byte]))
    assert await reading == b"abc"


async def test_wrong_number_and_size_are_errors():
    stream, _ = make_stream()
    stream.data_received(b"\x01\x00\x00\x07a")
    with pytest.raises(PacketMalformed):
        await stream.read()
    stream, _ = make_stream()
    stream.max_packet_bytes = 10
    stream.data_received(b"\x0b\x00\x00\x00")
    with pytest.raises(PacketTooLarge):
        await stream.read()


async def test_flood_of_packets_stops_reading_from_the_socket():
    stream, transport = make_stream()
    packet = b"\xe8\x03\x00\x00" + b"x" * 1000
    while not transport.is_paused:
        stream.data_received(packet)
    assert len(stream._buffer) < 70_000
    while transport.is_paused:
        stream.reset_seq()
        await stream.read()
    assert len(stream._buffer) <= 65_536


async def test_interrupt_reaches_a_waiting_reader_once():
    stream, _ = make_stream()
    reading = asyncio.create_task(stream.read())
    await asyncio.sleep(0)
    stream.interrupt()
    with pytest.raises(ReadInterrupted):
        await reading
    stream.data_received(b"\x01\x00\x00\x00a")
    assert await stream.read() == b"a"


async def test_lost_connection_ends_reading_and_writing():
    stream, transport = make_stream()
    reading = asyncio.create_task(stream.read())
    stream.pause_writing()
    writing = asyncio.create_task(stream.drain())
    await asyncio.sleep(0)
    stream.connection_lost(None)
    for task in (reading, writing):
        with pytest.raises(ConnectionClosed):
            await task
    stream.write_many((b"late",))
    assert not transport.written


async def test_caller_that_does_not_read_is_dropped():
    stream, transport = make_stream()
    stream.pause_writing()
    with pytest.raises(ConnectionClosed):
        await stream.write_result([b"x" * 300_000, b"y"])
    assert transport.is_closed


async def test_slow_caller_gets_everything_in_order():
    stream, transport = make_stream()
    stream.pause_writing()
    assert not stream.write_small_result(b"H", b"r", 9, b"end")
    writing = asyncio.create_task(stream.write_frames(b"H", b"r" * 600_000, 9, b"end"))
    await asyncio.sleep(1.0)
    assert len(transport.written) == 0
    stream.resume_writing()
    await writing
    assert transport.written == b"H" + b"r" * 600_000 + b"\x03\x00\x00\x09end"


async def test_payload_of_several_frames():
    stream, transport = make_stream()
    stream.write_many((b"x" * 0xFFFFFF, b"next"))
    assert transport.written[:4] == b"\xff\xff\xff\x00"
    assert transport.written[4 + 0xFFFFFF :] == b"\x00\x00\x00\x01\x04\x00\x00\x02next"
