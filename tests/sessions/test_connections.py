"""Connections shared by many sessions, at the loads that they were built for."""

import asyncio

import pytest
from sessions.fake_group import World
from sessions.test_session import COMMIT, READ, WRITE, Caller

from pistachiowinch.base import codes
from pistachiowinch.base.codes import Refusal
from pistachiowinch.links.statements import Begin
from pistachiowinch.sessions.connections import (
    EXTRA_PAUSE_S,
    IDLE_KEPT_S,
    KEPT_PART,
    MAX_WAITING,
    USEFUL_CONNECTIONS,
)
from pistachiowinch.sessions.replies import CompletedStatement

pytestmark = pytest.mark.looptime

KEYS = ("key", "key2")


async def burst(world: World, count: int) -> list:
    """Let many sessions of two customers read from the primary at once."""
    callers = [Caller(world, "primary", KEYS[number % 2]) for number in range(count)]
    return await asyncio.gather(*(caller(READ) for caller in callers))


async def test_the_next_run_finds_room_while_dark_connections_still_count():
    """Load after a power loss: targets counted 49 of 50 connections of the lost run for 3 s, and
    the next run could open none (gmsau-jingle trouble-1).
    """
    world = World(share=7)
    world.primary.max_connections = 8
    assert all(isinstance(reply, CompletedStatement) for reply in await burst(world, 30))
    assert world.primary.connections == 7
    await asyncio.sleep(IDLE_KEPT_S + 0.1)
    world.connections.trim_idle()
    assert world.primary.connections == int(7 * KEPT_PART)
    # The lost run's connections stay with the target, which cannot tell that their end is dark.
    following = World(share=7)
    following.link.targets["a"] = world.primary
    assert all(isinstance(reply, CompletedStatement) for reply in await burst(following, 30))
    assert world.primary.connections <= 8


async def test_a_host_with_one_connection_a_target_keeps_none_that_is_idle():
    """Load after a power loss: 59 hosts keep 59 of 66 connections of each target, dark for 3 s, and
    their next runs could open 7 (menghina-pool-grown trouble-1).
    """
    lost = World(share=1)
    lost.primary.max_connections = 1
    assert all(isinstance(reply, CompletedStatement) for reply in await burst(lost, 3))
    await asyncio.sleep(IDLE_KEPT_S + 0.1)
    lost.connections.trim_idle()
    assert lost.primary.connections == 0
    following = World(share=1)
    following.link.targets["a"] = lost.primary
    assert all(isinstance(reply, CompletedStatement) for reply in await burst(following, 3))


async def test_connections_in_use_are_never_trimmed():
    """PINNED: a connection inside a statement or transaction must not be closed as idle."""
    world = World(share=4)
    world.primary.work_s = 2 * IDLE_KEPT_S
    reading = asyncio.ensure_future(burst(world, 4))
    await asyncio.sleep(1.5 * IDLE_KEPT_S)
    world.connections.trim_idle()
    assert all(isinstance(reply, CompletedStatement) for reply in await reading)


async def test_a_full_target_is_left_alone_for_a_moment_and_then_used_again():
    """TOOMANY: refused connections cost slots of the target, so they must not come in a row."""
    world = World(share=4)
    world.primary.max_connections = 0
    asyncio.get_running_loop().call_later(0.4, setattr, world.primary, "max_connections", 4)
    assert isinstance(await Caller(world, "primary")(READ), CompletedStatement)
    refused = world.metrics.retries.labels("connection_refused")._value.get()
    assert 2 <= refused <= 4


async def test_a_queue_that_is_full_refuses_the_newest_at_once():
    """Load far above the slots: what cannot be served must not wait for its deadline."""
    world = World(share=1)
    world.primary.work_s = 0.5
    loop = asyncio.get_running_loop()
    waiting = asyncio.ensure_future(burst(world, USEFUL_CONNECTIONS + MAX_WAITING))
    await asyncio.sleep(0.05)
    asked_s = loop.time()
    reply = await Caller(world, "primary")(READ)
    assert isinstance(reply, Refusal) and reply.code is codes.QUEUE_FULL
    assert loop.time() - asked_s < 0.01
    assert "retry after" in reply.detail
    await waiting


async def test_a_transaction_does_not_block_the_only_connection_of_a_host():
    """Load of 59 hosts with 66 connections a target: half of the hosts' connections to a primary
    were held by transactions, and their other requests waited 0.8 s for nothing
    (menghina-pool-grown trouble-1, seconds 4 to 13).
    """
    world = World(share=1)
    resting = Caller(world, "primary")
    await resting(Begin(False))
    await resting(WRITE)
    asked_s = asyncio.get_running_loop().time()
    assert all(isinstance(reply, CompletedStatement) for reply in await burst(world, 6))
    assert asyncio.get_running_loop().time() - asked_s < 0.2
    assert isinstance(await resting(COMMIT), CompletedStatement)
    assert world.primary.connections <= 1


async def test_a_full_target_is_not_asked_for_more_than_a_hosts_part():
    """TOOMANY: connections above the part are others' room; a refusal ends them for a while."""
    world = World(share=1)
    world.primary.max_connections = 1
    resting = Caller(world, "primary")
    await resting(Begin(False))
    await resting(WRITE)
    waiting = asyncio.ensure_future(burst(world, 6))
    await asyncio.sleep(EXTRA_PAUSE_S / 2)
    refused = world.metrics.retries.labels("connection_refused")._value.get()
    assert 1 <= refused <= USEFUL_CONNECTIONS
    assert isinstance(await resting(COMMIT), CompletedStatement)
    assert all(isinstance(reply, CompletedStatement) for reply in await waiting)
