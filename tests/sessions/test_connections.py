"""Connection pools shared by many sessions: queueing, limits and trimming of idle connections."""

import asyncio

import pytest
from sessions.fake_group import World
from sessions.test_session import COMMIT, READ, WRITE, Caller

from pistachiowinch.base import codes
from pistachiowinch.base.codes import Refusal
from pistachiowinch.links.statements import Begin
from pistachiowinch.sessions.connections import (
    EXTRA_PAUSE_S,
    IDLE_KEPT_FRACTION,
    MAX_IDLE_S,
    MAX_WAITING_REQUESTS,
    MIN_CONNECTION_LIMIT,
)
from pistachiowinch.sessions.replies import CompletedStatement

pytestmark = pytest.mark.looptime

KEYS = ("key", "key2")


async def burst(world: World, count: int) -> list:
    """Read from the primary in many sessions of two customers at the same time."""
    callers = [Caller(world, "primary", KEYS[number % 2]) for number in range(count)]
    return await asyncio.gather(*(caller(READ) for caller in callers))


async def test_the_next_process_can_connect_while_lost_connections_still_count():
    """After a power loss a target counts the connections of the lost process for 3 s. If they take
    49 of its 50, the next process of the host can open none.
    """
    world = World(share=7)
    world.primary.max_connections = 8
    assert all(isinstance(reply, CompletedStatement) for reply in await burst(world, 30))
    assert world.primary.connections == 7
    await asyncio.sleep(MAX_IDLE_S + 0.1)
    world.connections.trim_idle()
    assert world.primary.connections == int(7 * IDLE_KEPT_FRACTION)
    # The target keeps the connections of the lost process, since it cannot detect the loss yet.
    following = World(share=7)
    following.link.targets["a"] = world.primary
    assert all(isinstance(reply, CompletedStatement) for reply in await burst(following, 30))
    assert world.primary.connections <= 8


async def test_a_host_with_one_connection_a_target_keeps_none_that_is_idle():
    """After a power loss of 59 hosts a target counts their idle connections for 3 s. If these take
    59 of its 66, the next processes can open only 7.
    """
    lost = World(share=1)
    lost.primary.max_connections = 1
    assert all(isinstance(reply, CompletedStatement) for reply in await burst(lost, 3))
    await asyncio.sleep(MAX_IDLE_S + 0.1)
    lost.connections.trim_idle()
    assert lost.primary.connections == 0
    following = World(share=1)
    following.link.targets["a"] = lost.primary
    assert all(isinstance(reply, CompletedStatement) for reply in await burst(following, 3))


async def test_connections_in_use_are_never_trimmed():
    """PINNED: a connection that runs a statement or transaction must not be closed as idle."""
    world = World(share=4)
    world.primary.work_s = 2 * MAX_IDLE_S
    reading = asyncio.ensure_future(burst(world, 4))
    await asyncio.sleep(1.5 * MAX_IDLE_S)
    world.connections.trim_idle()
    assert all(isinstance(reply, CompletedStatement) for reply in await reading)


async def test_a_full_target_is_left_alone_for_a_moment_and_then_used_again():
    """TOOMANY: refused connections use up slots of the target, so attempts need a pause."""
    world = World(share=4)
    world.primary.max_connections = 0
    asyncio.get_running_loop().call_later(0.4, setattr, world.primary, "max_connections", 4)
    assert isinstance(await Caller(world, "primary")(READ), CompletedStatement)
    refused = world.metrics.retries.labels("connection_refused").value
    assert 2 <= refused <= 4


async def test_a_queue_that_is_full_refuses_the_newest_at_once():
    """Overload: a request that cannot be served must be refused at once, not at its deadline."""
    world = World(share=1)
    world.primary.work_s = 0.5
    loop = asyncio.get_running_loop()
    waiting = asyncio.ensure_future(burst(world, MIN_CONNECTION_LIMIT + MAX_WAITING_REQUESTS))
    await asyncio.sleep(0.05)
    started_s = loop.time()
    reply = await Caller(world, "primary")(READ)
    assert isinstance(reply, Refusal) and reply.code is codes.QUEUE_FULL
    assert loop.time() - started_s < 0.01
    assert "retry after" in reply.detail
    await waiting


async def test_a_transaction_does_not_block_the_only_connection_of_a_host():
    """59 hosts share 66 connections to a target, so each has one. A transaction occupies it, and
    the host's other requests wait 0.8 s in vain.
    """
    world = World(share=1)
    idle_caller = Caller(world, "primary")
    await idle_caller(Begin(False))
    await idle_caller(WRITE)
    started_s = asyncio.get_running_loop().time()
    assert all(isinstance(reply, CompletedStatement) for reply in await burst(world, 6))
    assert asyncio.get_running_loop().time() - started_s < 0.2
    assert isinstance(await idle_caller(COMMIT), CompletedStatement)
    assert world.primary.connections <= 1


async def test_a_full_target_is_not_asked_for_more_than_a_hosts_share():
    """TOOMANY: after a refusal no connection above the share may be tried for a while."""
    world = World(share=1)
    world.primary.max_connections = 1
    idle_caller = Caller(world, "primary")
    await idle_caller(Begin(False))
    await idle_caller(WRITE)
    waiting = asyncio.ensure_future(burst(world, 6))
    await asyncio.sleep(EXTRA_PAUSE_S / 2)
    refused = world.metrics.retries.labels("connection_refused").value
    assert 1 <= refused <= MIN_CONNECTION_LIMIT
    assert isinstance(await idle_caller(COMMIT), CompletedStatement)
    assert all(isinstance(reply, CompletedStatement) for reply in await waiting)
