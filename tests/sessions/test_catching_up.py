"""Reads while all replicas lag by more than the staleness bound of the route."""

import asyncio

import pytest
from sessions.fake_group import SERVICE, World
from sessions.test_session import READ, Caller

from pistachiowinch.base.clock import now_s
from pistachiowinch.links.statements import Position
from pistachiowinch.sessions.health import STALL_THRESHOLD_S
from pistachiowinch.sessions.replies import CompletedStatement

pytestmark = pytest.mark.looptime

# Staleness bound of the fake route.
STALENESS_S = 2.0
COMMIT_EVERY_S = 0.04


class LaggingGroup(World):
    """A primary that commits continuously, and replicas that apply each commit with a lag.

    :ivar lag_s: lag of the replicas.
    :ivar observe_every: this host observes one of this many commits.
    """

    def __init__(self, lag_s: float) -> None:
        """Create the group; :meth:`run` makes it commit."""
        super().__init__()
        self.lag_s = lag_s
        self.observe_every = 1

    async def run(self, for_s: float) -> None:
        """Commit, and let this host observe the positions."""
        loop = asyncio.get_running_loop()
        until_s = now_s() + for_s
        while now_s() < until_s:
            self.primary.applied += 1
            for replica in self.replicas:
                loop.call_later(self.lag_s, self._apply, replica, self.primary.applied)
            if self.primary.applied % self.observe_every == 0:
                await self.observe()
            # The host's periodic upkeep does the same.
            self.connections.wake_all()
            await asyncio.sleep(COMMIT_EVERY_S)

    def _apply(self, replica, number: int) -> None:
        replica.applied = max(replica.applied, number)

    def reads_at(self, target) -> int:
        """Number of reads that a target ran."""
        return sum(run[0] == "read" for run in target.runs)


async def read_often(world: World, count: int, gap_s: float) -> list[float]:
    """Read in separate sessions; return how long each read took."""

    async def read(number: int) -> float:
        await asyncio.sleep(number * gap_s)
        started_s = now_s()
        assert isinstance(await Caller(world, "read_your_writes")(READ), CompletedStatement)
        return now_s() - started_s

    return await asyncio.gather(*(read(number) for number in range(count)))


async def test_replicas_that_lag_a_little_too_much_relieve_a_slow_primary():
    """Replicas lag 2.8 s and reads accept 2.5 s, so all reads go to a primary with 6 slots, whose
    queue takes longer than the replicas need to catch up.
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
    """Each of 59 hosts observes a primary only once or twice a second. Without interpolation, reads
    are sent to lagging replicas too early, 1,013 times a second.
    """
    world = LaggingGroup(STALENESS_S + 0.3)
    world.observe_every = 20
    work = asyncio.ensure_future(world.run(14.0))
    await asyncio.sleep(5.0)
    world.primary.work_s = 0.45
    took_s = await read_often(world, 60, 0.1)
    retries = world.metrics.retries.labels("read").value
    assert retries < 40
    assert sorted(took_s)[len(took_s) // 2] < 0.6
    work.cancel()


async def test_a_primary_that_answers_at_once_is_not_left_idle():
    """A read must not wait for a replica to catch up while the primary has free slots."""
    world = LaggingGroup(STALENESS_S + 0.5)
    work = asyncio.ensure_future(world.run(12.0))
    await asyncio.sleep(4.0)
    took_s = await read_often(world, 40, 0.1)
    assert sorted(took_s)[len(took_s) // 2] < 0.1
    work.cancel()


async def test_a_replica_that_applies_nothing_is_not_waited_for():
    """A replica that is cut off from its primary keeps its position and never catches up."""
    world = LaggingGroup(0.0)
    work = asyncio.ensure_future(world.run(12.0))
    await asyncio.sleep(2.0)
    world.lag_s = 1000.0
    await asyncio.sleep(4.0)
    world.primary.work_s = 0.3
    took_s = await read_often(world, 40, 0.15)
    assert max(took_s[10:]) < 0.6
    assert sum(took > STALL_THRESHOLD_S for took in took_s) <= 3
    work.cancel()


async def test_positions_are_dated_by_the_first_observation_that_covers_them():
    """STALE: the estimated time of a position must not precede the time at which it was reached."""
    world = LaggingGroup(1.0)
    started_s = now_s()
    await world.run(2.0)
    log = world.context.freshness_of(SERVICE)
    dated_s = log.time_reached_s(Position(1, 10))
    assert dated_s == pytest.approx(started_s + 9 * COMMIT_EVERY_S, abs=0.001)
    assert log.time_reached_s(Position(1, 10_000)) is None
    assert log.time_reached_s(Position(0, 1)) is None
