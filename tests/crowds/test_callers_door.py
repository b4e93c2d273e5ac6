"""Crowds at the callers' port: the host must live, keep its limits and serve an ordinary caller.

Memory is the process's peak together with what the kernel holds unread for it; the bounds are the
limits in the host's settings.
"""

import asyncio
import itertools

import pytest
from crowds.crowd_support import MEBIBYTE, Site, press, read_answer, send, start_session

CROWD = 150
LARGE_QUERY = b"QUERY q READ " + b"x" * (MEBIBYTE - 100)
PIECE_BYTES = 8192


async def test_one_large_legal_statement_in_calm(tmp_path):
    """Guards against limits that refuse a single message of the largest legal size."""
    async with Site(tmp_path) as site:
        (sock,) = await site.connect(1)
        await start_session(sock)
        await send(sock, LARGE_QUERY + b"\r\n")
        assert await read_answer(sock) == b"DONE r1\r\nREADY I 1.1\r\n"
        await site.check()


@pytest.mark.parametrize("piece_bytes", [0, PIECE_BYTES], ids=["one-piece", "small-pieces"])
async def test_large_legal_statements_at_once(tmp_path, piece_bytes):
    """Guards against statements of legal size, sent by many at once, that fill the memory."""
    async with Site(tmp_path) as site:
        crowd = await site.connect(CROWD)
        await press(crowd, start_session)

        async def ask(sock):
            await send(sock, LARGE_QUERY + b"\r\n", piece_bytes)
            await read_answer(sock)

        await press(crowd, ask)
        await site.check()


async def test_sessions_that_keep_large_values(tmp_path):
    """Guards against values and prepared statements of legal size that sessions keep for ever."""
    async with Site(tmp_path) as site:
        crowd = await site.connect(20)
        await press(crowd, start_session)

        async def keep(sock):
            for number in range(10):
                await send(sock, b"QUERY q SET v%d " % number + b"x" * 1_000_000 + b"\r\n")
                await read_answer(sock)

        await press(crowd, keep)
        await site.check()


@pytest.mark.parametrize("has_started", [False, True], ids=["first-message", "later-message"])
async def test_messages_without_an_end(tmp_path, has_started):
    """Guards against messages far over the limit, which never end."""
    async with Site(tmp_path) as site:
        crowd = await site.connect(CROWD)
        if has_started:
            await press(crowd, start_session)
        await press(crowd, lambda sock: send(sock, b"START " + b"x" * (8 * MEBIBYTE), 65536))
        await site.check()


@pytest.mark.parametrize("has_started", [False, True], ids=["first-message", "later-message"])
async def test_messages_that_stop_half_way(tmp_path, has_started):
    """Guards against large messages whose senders stop before the end and stay connected."""
    async with Site(tmp_path) as site:
        crowd = await site.connect(CROWD)
        if has_started:
            await press(crowd, start_session)
        await press(crowd, lambda sock: send(sock, LARGE_QUERY))
        await site.check()


@pytest.mark.parametrize("has_started", [False, True], ids=["first-message", "later-message"])
async def test_messages_that_are_sent_slowly(tmp_path, has_started):
    """Guards against senders that send a little at a time and never finish."""
    async with Site(tmp_path) as site:
        crowd = await site.connect(CROWD)
        if has_started:
            await press(crowd, start_session)

        async def send_slowly(sock):
            await send(sock, LARGE_QUERY)
            for _ in itertools.count():
                await asyncio.sleep(0.1)
                await send(sock, b"x")

        await press(crowd, send_slowly)
        await site.check()


async def test_statements_sent_ahead_without_reading_answers(tmp_path):
    """Guards against many statements sent ahead on each connection by callers that do not read."""
    async with Site(tmp_path) as site:
        crowd = await site.connect(60, receive_bytes=4096)
        statements = b"QUERY q READ 1\r\n" * 300_000
        await press(crowd, start_session)
        await press(crowd, lambda sock: send(sock, statements))
        await site.check()


@pytest.mark.parametrize(
    "reads", [0, 20, 1_000_000], ids=["not-at-all", "up-to-the-middle", "slowly"]
)
async def test_large_answers_that_are_not_read(tmp_path, reads):
    """Guards against callers that ask for much and read it slowly, or stop in the middle."""
    async with Site(tmp_path) as site:
        crowd = await site.connect(40, receive_bytes=4096)
        await press(crowd, start_session)

        async def ask(sock):
            await send(sock, b"QUERY q READ large\r\n" * 3)
            for _ in range(reads):
                await asyncio.get_running_loop().sock_recv(sock, 4096)
                await asyncio.sleep(0.05)

        await press(crowd, ask)
        await asyncio.sleep(0.5)
        await site.check()


async def test_connections_without_a_message(tmp_path):
    """Guards against half-open connections that take the descriptors of targets and the store."""
    async with Site(tmp_path) as site:
        await site.connect(1200)
        await site.check()


async def test_sessions_without_a_statement(tmp_path):
    """Guards against open sessions that take the descriptors of targets and the store."""
    async with Site(tmp_path) as site:
        crowd = await site.connect(1200)
        await press(crowd, start_session)
        for sock in crowd[::2]:
            sock.close()
        await site.check()
