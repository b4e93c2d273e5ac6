"""Guards against acknowledging writes of a replaced primary or writes on one target only."""

import asyncio

import pytest

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.groups.confirmation import Confirmed, Replaced, Unconfirmed, WriteConfirmer
from pistachiowinch.groups.tracker import GroupTracker
from pistachiowinch.standins.database_group import FakeDatabaseGroup

pytestmark = pytest.mark.looptime
TARGETS = ("a", "b", "c")
SCHEMA = ("CREATE TABLE t (id INT NOT NULL PRIMARY KEY, n INT)",)


class Harness:
    """One host's tracker and confirmer over a group of fake targets."""

    def __init__(self):
        self.group = FakeDatabaseGroup("s", TARGETS, SCHEMA)
        self.tracker = GroupTracker("s", TARGETS, self.group.view("h1"))
        self.confirmer = WriteConfirmer(self.tracker)

    async def write(self, target="a"):
        connection = await self.group.view("h1").connect(target)
        outcome = await connection.execute("REPLACE INTO t (id, n) VALUES (1, 1)")
        await connection.close()
        return outcome.result.position

    async def promote(self, target, term, others):
        view = self.group.view("h2")
        for name in (target, *others):
            await view.fence(name, term)
        await view.promote(target, term)
        for name in others:
            await view.follow(name, term, target)


@pytest.fixture
async def harness():
    built = Harness()
    yield built
    await built.group.close()


async def test_position_covers_the_write_and_evidence_is_newer_than_the_call(harness):
    position = await harness.write()
    called_s = now_s()
    found = await harness.confirmer.confirm("a", 1, now_s() + 1.0)
    assert isinstance(found, Confirmed)
    assert found.position >= position and found.started_s >= called_s


async def test_write_on_the_primary_alone_is_not_confirmed_until_a_replica_holds_it(harness):
    for target in ("b", "c"):
        harness.group.pause_replication(target)
    await harness.write()
    found = await harness.confirmer.confirm("a", 1, now_s() + 0.5)
    assert isinstance(found, Unconfirmed)
    waiting = asyncio.create_task(harness.confirmer.confirm("a", 1, now_s() + 5.0))
    await sleep_s(0.5)
    harness.group.targets["c"].is_receiving_paused = False
    harness.group.targets["c"].wake()
    found = await waiting
    # The replica holds the write durably but has not applied it.
    assert isinstance(found, Confirmed)
    assert harness.group.statuses()["c"].applied_position < found.position


async def test_unreachable_replica_does_not_delay_the_confirmation(harness):
    harness.group.isolate("c")
    await harness.write()
    started_s = now_s()
    assert isinstance(await harness.confirmer.confirm("a", 1, now_s() + 1.0), Confirmed)
    assert now_s() - started_s < 0.05


async def test_old_primary_that_only_this_host_reaches_cannot_confirm(harness):
    harness.group.cut("a", ["b", "c", "h2"])
    await harness.promote("b", 50, ["c"])
    await harness.write()
    found = await harness.confirmer.confirm("a", 1, now_s() + 1.0)
    assert found == Replaced(50)


async def test_old_primary_without_any_majority_gives_no_verdict(harness):
    harness.group.cut("a", ["b", "c", "h2"])
    harness.group.cut("h1", ["b", "c"])
    await harness.promote("b", 50, ["c"])
    await harness.write()
    found = await harness.confirmer.confirm("a", 1, now_s() + 1.0)
    assert isinstance(found, Unconfirmed)


async def test_promise_of_one_replica_does_not_count_as_replacement(harness):
    await harness.group.view("h2").fence("c", 50)
    await harness.write()
    assert isinstance(await harness.confirmer.confirm("a", 1, now_s() + 1.0), Confirmed)


async def test_same_target_in_a_newer_term_does_not_confirm_the_older_one(harness):
    await harness.write()
    await harness.promote("a", 50, ["b", "c"])
    assert await harness.confirmer.confirm("a", 1, now_s() + 1.0) == Replaced(50)


async def test_host_paused_during_a_round_repeats_it(harness):
    """The answers were read before the pause; the primary was replaced during it."""
    await harness.write()
    waiting = asyncio.create_task(harness.confirmer.confirm("a", 1, now_s() + 5.0))
    await sleep_s(0.0006)
    harness.group.network.pause_host("h1")
    await sleep_s(0.4)
    await harness.promote("b", 50, ["a", "c"])
    harness.group.network.resume_host("h1")
    assert await waiting == Replaced(50)


async def test_host_paused_between_confirmation_and_answer_has_to_repeat(harness):
    await harness.write()
    found = await harness.confirmer.confirm("a", 1, now_s() + 1.0)
    assert harness.confirmer.is_fresh(found)
    await sleep_s(0.3)
    assert not harness.confirmer.is_fresh(found)


async def test_concurrent_writers_share_requests(harness):
    await asyncio.gather(*(harness.write() for _ in range(10)))
    link, calls = harness.group.view("h1"), []
    status = link.status

    async def counted(target):
        calls.append(target)
        return await status(target)

    link.status, harness.tracker._link = counted, link
    found = await asyncio.gather(
        *(harness.confirmer.confirm("a", 1, now_s() + 1.0) for _ in range(50))
    )
    assert all(isinstance(one, Confirmed) for one in found)
    assert len(calls) <= 6


async def test_current_primary_is_confirmed_without_a_write(harness):
    for target in ("b", "c"):
        harness.group.pause_replication(target)
    await harness.write()
    await harness.tracker.refresh(TARGETS)
    target, found = await harness.confirmer.confirm_primary(now_s() + 1.0)
    # The replicas lag, but they still follow it, so nothing newer can have been acknowledged.
    assert target == "a" and isinstance(found, Confirmed)
    harness.group.cut("h1", "a")
    await harness.promote("b", 50, ["c"])
    assert isinstance((await harness.confirmer.confirm_primary(now_s() + 1.0))[1], Replaced)
