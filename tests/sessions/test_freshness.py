"""Positions that reads must see: a position that is too old permits a stale read."""

import pytest
from sessions.fake_group import SERVICE, World
from sessions.test_session import READ, WRITE, Caller

from pistachiowinch.base.clock import now_s
from pistachiowinch.links.statements import Begin, Position
from pistachiowinch.sessions.freshness import FreshnessLog

pytestmark = pytest.mark.looptime


def test_the_oldest_observation_within_the_bound_is_required():
    """The lowest permitted position allows the most replicas to serve."""
    log = FreshnessLog()
    for at_s, number in ((1.0, 10), (2.0, 20), (3.0, 30)):
        log.record(0, at_s, Position(1, number))
    assert log.required(0, 3.5, 2.0).position == Position(1, 20)
    assert log.required(0, 3.5, 0.5).position == Position(1, 30)
    assert log.required(0, 9.0, 0.5) is None


def test_the_new_primary_s_own_positions_are_preferred():
    """The new primary may never have had the last positions of the old one."""
    log = FreshnessLog()
    log.record(0, 1.0, Position(1, 10))
    log.record(1, 1.5, Position(2, 9))
    found = log.required(1, 2.0, 2.0)
    assert found.position == Position(2, 9)
    assert found.epoch == 1


def test_an_older_answer_never_replaces_a_newer_one():
    """An answer that arrives out of order must not make an old position current."""
    log = FreshnessLog()
    log.record(0, 2.0, Position(1, 20))
    log.record(0, 1.0, Position(1, 10))
    assert log.required(0, 2.0, 5.0).position == Position(1, 20)


async def test_own_commits_count_while_a_switch_is_under_way():
    """STALE: if the session's position is ignored while a switch is in progress, a lagging replica
    answers without the session's own commit.
    """
    world = World()
    await world.observe()
    caller = Caller(world, "read_your_writes")
    await caller(WRITE)
    world.primaries.number = 1
    world.primaries.name = ""
    del world.targets["a"]
    world.register()
    await caller(READ)
    assert not any(replica.runs for replica in world.replicas)


async def test_statements_inside_a_transaction_date_no_position():
    """STALE: an open transaction may report the end of the log as of its start."""
    world = World()
    caller = Caller(world, "primary")
    await caller(Begin(False))
    await caller(READ)
    noted = len(world.context.freshness_of(SERVICE).observations)
    await caller(READ)
    assert len(world.context.freshness_of(SERVICE).observations) == noted
    assert now_s() > 0
