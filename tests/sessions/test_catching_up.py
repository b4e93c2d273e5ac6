"""Reads while all replicas lag by more than the route accepts."""

import asyncio

import pytest
from sessions.fake_group import SERVICE, World
from sessions.test_session import READ, Caller

from pistachiowinch.base.clock import now_s
from pistachiowinch.links.statements import Position
from pistachiowinch.sessions.health import STALLED_S
from pistachiowinch.sessions.replies import CompletedStatement

pytestmark = pytest.mark.looptime

# The fake route accepts data of 2 s.
STALENESS_S = 2.0
COMMIT_EVERY_S = 0.04


class LaggingGroup(World):
    """A primary that commits all the time, and replicas that apply each commit later.

    :ivar lag_s: how much later.
    :ivar observe_every: number of commits of which this host sees one.
    """

    def __init__(self, lag_s: float) -> None:
        """Create the group; :meth:`run` makes it commit."""
        super().__init__()
        self.lag_s = lag_s
        self.observe_every = 1

    async def run(self, for_s: float) -> None:
        """Commit, and let this host learn the position as its other work does."""
        loop = asyncio.get_running_loop()
        until_s = now_s() + for_s
        while now_s() < until_s:
            self.primary.applied += 1
            for replica in self.replicas:
                loop.call_later(self.lag_s, self._apply, replica, self.primary.applied)
            if self.primary.applied % self.observe_every == 0:
                await self.observe()
            # As the host's upkeep does.
            self.connections.wake_all()
            await asyncio.sleep(COMMIT_EVERY_S)

    def _apply(self, replica, number: int) -> None:
        replica.applied = max(replica.applied, number)

    def reads_at(self, target) -> int:
        """Number of reads that a target ran."""
        return sum(run[0] == "read" for run in target.runs)


async def read_often(world: World, count: int, gap_s: float) -> list[float]:
    """Read in sessions of their own; returns how long each took."""

    async def read(number: int) -> float:
        await asyncio.sleep(number * gap_s)
        started_s = now_s()
        assert isinstance(await Caller(world, "read_your_writes")(READ), CompletedStatement)
        return now_s() - started_s

    return await asyncio.gather(*(read(number) for number in range(count)))


async def test_replicas_that_lag_a_little_too_much_relieve_a_slow_primary():
    """Load of menghina-pool-grown trouble-1: replicas 2.8 s behind, reads that accept 2.5 s, and a
    primary with 6 slots for all of them, whose queue took longer than the replicas needed.
    """
    world = LaggingGroup(STALENESS_S + 0.2)
    work = asyncio.ensure_future(world.run(12.0))
    await asyncio.sleep(4.0)
    world.primary.work_s = 0.6
    took_s = await read_often(world, 60, 0.1)
    at_replicas = sum(world.reads_at(replica) for replica in world.replicas)
    assert at_replicas > 40
    assert sorted(took_s)[len(took_s) // 2] < 0.35
    work.cancel()


async def test_sparse_observations_date_positions_between_them():
    """Each of 59 hosts sees a primary once or twice a second; replicas were then asked too early,
    1,013 times a second (trial on menghina-pool-grown trouble-1).
    """
    world = LaggingGroup(STALENESS_S + 0.3)
    world.observe_every = 20
    work = asyncio.ensure_future(world.run(14.0))
    await asyncio.sleep(5.0)
    world.primary.work_s = 0.45
    took_s = await read_often(world, 60, 0.1)
    asked = world.metrics.retries.labels("read")._value.get()
    assert asked < 40
    assert sorted(took_s)[len(took_s) // 2] < 0.6
    work.cancel()


async def test_a_primary_that_answers_at_once_is_not_left_idle():
    """A read must not wait for a replica while the primary has free slots."""
    world = LaggingGroup(STALENESS_S + 0.5)
    work = asyncio.ensure_future(world.run(12.0))
    await asyncio.sleep(4.0)
    took_s = await read_often(world, 40, 0.1)
    assert sorted(took_s)[len(took_s) // 2] < 0.1
    work.cancel()


async def test_a_replica_that_applies_nothing_is_not_waited_for():
    """A replica that is cut off from its primary has the same position for ever."""
    world = LaggingGroup(0.0)
    work = asyncio.ensure_future(world.run(12.0))
    await asyncio.sleep(2.0)
    world.lag_s = 1000.0
    await asyncio.sleep(4.0)
    world.primary.work_s = 0.3
    took_s = await read_often(world, 40, 0.15)
    assert max(took_s[10:]) < 0.6
    assert sum(took > STALLED_S for took in took_s) <= 3
    work.cancel()


async def test_positions_are_dated_by_the_first_observation_that_covers_them():
    """STALE: a position must never be dated before the primary had it."""
    world = LaggingGroup(1.0)
    started_s = now_s()
    await world.run(2.0)
    log = world.parts.freshness_of(SERVICE)
    dated_s = log.dated_s(Position(1, 10))
    assert dated_s == pytest.approx(started_s + 9 * COMMIT_EVERY_S, abs=0.001)
    assert log.dated_s(Position(1, 10_000)) is None
    assert log.dated_s(Position(0, 1)) is None
