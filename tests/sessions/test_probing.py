"""An unreachable target is suspected soon, and a busy one is not."""

import asyncio

import pytest
from sessions.fake_group import World
from sessions.test_session import READ, Caller

from pistachiowinch.links.statements import TargetRefused
from pistachiowinch.sessions.probing import TargetProber

pytestmark = pytest.mark.looptime


async def probing(world: World) -> asyncio.Task:
    """Start a prober over a world's targets."""
    prober = TargetProber(world.view, world.health, world.link)
    return asyncio.ensure_future(prober.run())


async def test_an_unreachable_primary_is_suspected_before_its_statements_time_out():
    """A primary is cut off and its statements time out after a second. Without probes nothing else
    shows the fault, and the primary is suspected only after 1.25 s.
    """
    world = World()
    task = await probing(world)
    caller = Caller(world, "primary")
    await caller(READ)
    world.primary.is_silent = True
    reading = asyncio.ensure_future(caller(READ))
    await asyncio.sleep(0.7)
    assert world.health.is_suspected("a")
    world.primary.is_silent = False
    await reading
    await asyncio.sleep(0.3)
    assert not world.health.is_suspected("a")
    task.cancel()


async def test_a_slow_target_that_accepts_connections_is_not_suspected_at_once():
    """A full queue also delays greetings; a switch for that reason would only add load."""
    world = World()

    async def accept_without_greeting(service, target, address, customer, timeout_s):
        await asyncio.sleep(timeout_s)
        raise TargetRefused("no greeting", None, True)

    caller = Caller(world, "primary")
    await caller(READ)
    world.primary.work_s = 0.45
    world.link.connect = accept_without_greeting
    task = await probing(world)
    await caller(READ)
    assert not world.health.is_suspected("a")
    task.cancel()


async def test_targets_that_answer_are_not_probed():
    """Probes use up slots of targets and billed traffic."""
    world = World()
    task = await probing(world)
    for _ in range(5):
        await Caller(world, "primary")(READ)
        await asyncio.sleep(0.3)
    assert world.primary.opened == 1
    assert all(replica.opened == 0 for replica in world.replicas)
    task.cancel()


async def test_a_target_that_a_peer_suspects_is_checked_before_it_is_used():
    """A primary whose zone was cut was suspected by most hosts only after 1.7 s, because some had
    no statement for it.
    """
    world = World()
    world.primary.is_silent = True
    task = await probing(world)
    await asyncio.sleep(0.4)
    assert not world.health.is_suspected("a")
    world.health.note_reported("a")
    await asyncio.sleep(0.4)
    assert world.health.is_suspected("a")
    task.cancel()


async def test_a_report_about_a_target_that_just_answered_causes_no_probe():
    """A partition of one host must not make all others open connections."""
    world = World()
    task = await probing(world)
    await Caller(world, "primary")(READ)
    world.health.note_reported("a")
    await asyncio.sleep(0.25)
    assert world.primary.opened == 1
    task.cancel()
