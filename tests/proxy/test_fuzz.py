"""Fuzz tests of the server with mutated packets and random bytes, with fixed seeds.

A malformed login or command must never cause an INTERNAL error (PW9001), and must leave no session
and no connection open.
"""

import asyncio
import random
import struct

import pytest
from proxy.proxy_support import FakeGateway, FakeTransport, RawClient

from pistachiowinch.proxy.server import CallerServer
from pistachiowinch.proxy.stream import PacketStream

pytestmark = pytest.mark.looptime

COMMANDS = (
    b"\x03SELECT 1",
    b"\x03SET pistachiowinch_request_id='a'",
    b"\x03SET autocommit=0",
    b"\x03INSERT INTO t VALUES (1, 'a')",
    b"\x02stock",
    b"\x0e",
    b"\x11key-1\x00\x00hire\x00\x2d\x00mysql_native_password\x00\x00",
    b"\x16SELECT ?, ? FROM t",
    b"\x17\x01\x00\x00\x00\x00\x01\x00\x00\x00\x00\x01\x08\x00\xfd\x00" + b"\x01" * 8 + b"\x01a",
    b"\x18\x01\x00\x00\x00\x01\x00abc",
    b"\x1a\x01\x00\x00\x00",
    b"\x1f",
    b"\x04t\x00%",
)


def mutate(raw, rng):
    data = bytearray(raw)
    for _ in range(rng.choice((0, 1, 1, 2, 5))):
        action = rng.randrange(3)
        position = rng.randrange(len(data) + 1)
        if action == 0 and data:
            data[position % len(data)] = rng.randrange(256)
        elif action == 1:
            del data[position : position + rng.randrange(4)]
        else:
            data[position:position] = rng.randbytes(rng.randrange(4))
    return bytes(data)


def framed(payload, seq):
    return struct.pack("<I", len(payload) | seq << 24) + payload


async def run_event_loop():
    for _ in range(8):
        await asyncio.sleep(0)


def connect(server):
    transport = FakeTransport()
    stream = PacketStream(server.accept)
    transport.protocol = stream
    stream.connection_made(transport)
    return transport, stream


def login_packet(transport):
    client = RawClient(None, None)
    greeting = bytes(transport.written[4:])
    rest = greeting[greeting.index(b"\x00", 1) + 5 :]
    client.nonce = rest[:8] + rest[27:39]
    return client.response("key-1", "secret-1", "hire", attributes={"pistachiowinch_session": "s"})


async def assert_cleaned_up(server, gateway, transport):
    transport.close()
    await asyncio.sleep(10.0)
    assert server.connection_count == 0
    assert gateway.open_sessions == []
    assert b"PW9001" not in transport.written


@pytest.mark.parametrize("seed", range(150))
async def test_mutated_logins(seed):
    rng = random.Random(seed)
    gateway = FakeGateway()
    server = CallerServer(gateway)
    transport, stream = connect(server)
    await run_event_loop()
    stream.data_received(framed(mutate(login_packet(transport), rng), 1))
    await run_event_loop()
    await assert_cleaned_up(server, gateway, transport)


@pytest.mark.parametrize("seed", range(150))
async def test_mutated_commands(seed):
    rng = random.Random(seed)
    gateway = FakeGateway()
    server = CallerServer(gateway)
    transport, stream = connect(server)
    await run_event_loop()
    stream.data_received(framed(login_packet(transport), 1))
    await run_event_loop()
    assert len(gateway.open_sessions) == 1
    for _ in range(20):
        if transport.is_closed:
            break
        raw = mutate(rng.choice(COMMANDS), rng)
        stream.data_received(framed(raw, 0))
        await run_event_loop()
    await assert_cleaned_up(server, gateway, transport)


@pytest.mark.parametrize("seed", range(30))
async def test_random_bytes(seed):
    rng = random.Random(seed)
    gateway = FakeGateway()
    server = CallerServer(gateway)
    transport, stream = connect(server)
    await run_event_loop()
    stream.data_received(rng.randbytes(rng.randrange(1, 2000)))
    await run_event_loop()
    await assert_cleaned_up(server, gateway, transport)
