"""Tests of which requests count as begun at a target."""

import pytest
from sessions.fake_group import World
from sessions.test_session import COMMIT, READ, WRITE, Caller

from pistachiowinch.links.statements import Begin, ReasonRefused

pytestmark = pytest.mark.looptime


class Counts:
    """Counts requests by customer."""

    def __init__(self) -> None:
        """Create empty counts."""
        self.total = 0
        self.customers: set[str] = set()

    def add(self, customer):
        """Count one request."""
        self.total += 1
        self.customers.add(customer)
        return 0

    def remove(self, customer, period):
        """Remove one request."""
        self.total -= 1


def counted_world() -> World:
    """Return a site whose requests are counted."""
    found = World()
    found.context.request_counts = Counts()
    return found


async def test_a_transaction_counts_once():
    """Usage: its statements, BEGIN and COMMIT are one request of the customer."""
    world = counted_world()
    caller = Caller(world, "primary")
    await caller(Begin(False))
    assert world.context.request_counts.total == 0
    for statement in (READ, WRITE, COMMIT):
        await caller(statement)
    assert world.context.request_counts.total == 1
    await caller(WRITE)
    assert world.context.request_counts.total == 2
    assert len(world.context.request_counts.customers) == 1


async def test_a_statement_that_a_target_refused_does_not_count():
    """Usage: a busy target ran nothing, so only the attempt that runs counts."""
    world = counted_world()
    world.primary.refuse = [ReasonRefused.BUSY]
    await Caller(world, "primary")(WRITE)
    assert world.context.request_counts.total == 1


async def test_a_statement_without_an_answer_counts():
    """answer_lost: the target ran it, and a read that runs again elsewhere begins twice."""
    world = counted_world()
    world.primary.lose_answers = 1
    await Caller(world, "primary")(WRITE)
    assert world.context.request_counts.total == 1
    await world.observe()
    for replica in world.replicas:
        replica.lose_answers = 1
    await Caller(world, "bounded")(READ)
    runs = sum(len(target.runs) for target in (world.primary, *world.replicas))
    assert world.context.request_counts.total == runs
