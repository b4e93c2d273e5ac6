"""Requests wait for a switch, and are refused at once when one is overdue."""

import asyncio

import pytest
from sessions.fake_group import World
from sessions.test_session import READ, Caller

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.codes import NO_PRIMARY, Refusal
from pistachiowinch.sessions.outages import USUAL_SWITCH_S, ServiceOutages
from pistachiowinch.sessions.replies import CompletedStatement

pytestmark = pytest.mark.looptime

LOST = {"s": False}
USABLE = {"s": True}


async def test_a_request_waits_while_a_switch_usually_takes():
    """Refusing at once at the start of a switch would use up the caller's two retries."""
    outages = ServiceOutages()
    outages.update(LOST, USABLE)
    await asyncio.sleep(USUAL_SWITCH_S - 0.1)
    outages.update(LOST, USABLE)
    assert not outages.is_hopeless("s", True, 0.8)
    await asyncio.sleep(0.2)
    assert outages.is_hopeless("s", True, 0.8)
    assert not outages.is_hopeless("s", False, 0.8)


async def test_a_request_with_more_time_waits_longer():
    """A caller with a limit of 4 s is served by an outage that ends within it."""
    outages = ServiceOutages()
    outages.update(LOST, LOST)
    await asyncio.sleep(2.5)
    assert not outages.is_hopeless("s", False, 3.2)
    assert outages.is_hopeless("s", False, 0.8)


async def test_an_outage_ends_with_the_first_usable_target():
    """A host must not refuse on, or stay out of rotation, after its primaries are back."""
    outages = ServiceOutages()
    outages.update(LOST, LOST)
    await asyncio.sleep(5.0)
    assert outages.is_cut_off
    outages.update(USABLE, USABLE)
    assert not outages.is_cut_off
    assert outages.age_s("s", True) == 0.0


async def test_the_loss_of_a_few_primaries_does_not_take_a_host_out_of_rotation():
    """All hosts see a crashed primary; if all left the rotation, nobody would be served."""
    outages = ServiceOutages()
    outages.update({"s": False, "t": True}, {"s": True, "t": True})
    await asyncio.sleep(5.0)
    assert not outages.is_cut_off


async def test_statements_without_a_primary_are_refused_at_once_with_the_reason():
    """zone_cut: 113 statements were held for 0.8 s of their 1 s, and told that no connection became
    free, though every target was known to be unreachable.
    """
    world = World()
    caller = Caller(world, "primary")
    assert isinstance(await caller(READ), CompletedStatement)
    for _ in range(2):
        world.health.note_failure("a", "test")
    for _ in range(25):
        world.context.update_outages()
        await asyncio.sleep(0.1)
    asked_s = now_s()
    reply = await caller(READ)
    assert isinstance(reply, Refusal)
    assert reply.code is NO_PRIMARY
    assert "retry after" in reply.detail
    assert now_s() - asked_s < 0.01
    world.health.note_alive("a")
    world.context.update_outages()
    assert isinstance(await caller(READ), CompletedStatement)


async def test_a_statement_that_waited_for_a_primary_in_vain_is_told_so():
    """During a switch callers were told that no connection was free, though none was missing."""
    world = World()
    world.primaries.name = ""
    reply = await Caller(world, "primary")(READ)
    assert isinstance(reply, Refusal) and reply.code is NO_PRIMARY
    assert "retry after" in reply.detail
