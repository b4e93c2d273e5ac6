"""Tests of the statements that reach a host between its start and its first lease."""

import asyncio

import pytest
from returns.result import Success
from sessions.fake_group import World
from sessions.test_session import READ, WRITE, Caller, code

from pistachiowinch.base import codes
from pistachiowinch.base.clock import now_s
from pistachiowinch.sessions.replies import CompletedStatement
from pistachiowinch.sessions.start_gate import USUAL_DIFFERENCE_S, USUAL_START_S, StartGate

pytestmark = pytest.mark.looptime

LEASE_AFTER_S = 0.25


def starting_world() -> World:
    """Return a host without a lease, whose rates have no tokens until it has one."""
    world = World()
    world.has_lease = False
    world.context.start_gate = StartGate(lambda: world.has_lease)
    return world


async def test_statements_before_the_first_lease_run_once_it_is_there():
    """After a loss of all, 1,700 statements were refused for a rate that had no tokens yet."""
    world = starting_world()
    asyncio.get_running_loop().call_later(LEASE_AFTER_S, setattr, world, "has_lease", True)
    started_s = now_s()
    reply = await Caller(world, "primary")(WRITE)
    assert isinstance(reply, CompletedStatement)
    assert now_s() - started_s < LEASE_AFTER_S + 0.1


async def test_a_start_that_takes_long_is_said_at_once():
    """No caller is held for a reason that the host knows."""
    world = starting_world()
    caller = Caller(world, "primary")
    started_s = now_s()
    assert code(await caller(WRITE)) is codes.HOST_ISOLATED
    assert now_s() - started_s == pytest.approx(USUAL_START_S, abs=0.02)
    held_s = now_s()
    reply = await caller(READ)
    assert "has just started" in reply.detail
    assert now_s() == held_s


async def test_the_most_urgent_routes_go_first():
    """Worst seconds: what is worth most goes on first when all callers come back at once."""
    is_open = False
    gate = StartGate(lambda: is_open)
    passed = []

    async def arrive(priority: int) -> None:
        if await gate.passes(priority):
            passed.append(priority)

    arrivals = [asyncio.ensure_future(arrive(priority)) for priority in (2, 0, 1, 0)]
    await asyncio.sleep(0.1)
    assert not passed
    is_open = True
    await asyncio.gather(*arrivals)
    assert passed == [0, 0, 1, 2]


async def test_a_gate_that_has_opened_stays_open():
    """A lease that is lost later is the business of the usual checks."""
    world = starting_world()
    world.has_lease = True
    caller = Caller(world, "primary")
    assert isinstance(await caller(WRITE), CompletedStatement)
    world.has_lease = False
    started_s = now_s()
    assert "has just started" not in (await caller(WRITE)).detail
    assert now_s() == started_s


async def test_a_held_statement_still_has_time_to_wait_for_a_token():
    """Hosts that own a rate may have their lease a little later than the one that is asked."""
    world = starting_world()
    deadlines_s = []

    async def acquire(customer, deadline_s):
        deadlines_s.append(deadline_s)
        return Success(None)

    world.rates.try_acquire = lambda customer: False
    world.rates.acquire = acquire
    asyncio.get_running_loop().call_later(LEASE_AFTER_S, setattr, world, "has_lease", True)
    caller = Caller(world, "primary")
    assert isinstance(await caller(WRITE), CompletedStatement)
    assert deadlines_s[0] == pytest.approx(now_s() + USUAL_DIFFERENCE_S, abs=0.1)
    await asyncio.sleep(2.0 * USUAL_DIFFERENCE_S)
    await caller(WRITE)
    assert deadlines_s[1] < now_s() + USUAL_DIFFERENCE_S / 2.0
