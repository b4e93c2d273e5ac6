"""Guards against outdated or out-of-order statuses that are taken for current ones."""

import asyncio

import pytest

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.groups.tracker import GroupTracker
from pistachiowinch.links.targets import TargetRole
from pistachiowinch.routing.choice import ReadRequirements, read_candidates
from pistachiowinch.standins.database_group import FakeDatabaseGroup

pytestmark = pytest.mark.looptime
TARGETS = ("a", "b", "c")
SCHEMA = ("CREATE TABLE t (id INT NOT NULL PRIMARY KEY, n INT)",)


@pytest.fixture
async def group():
    built = FakeDatabaseGroup("s", TARGETS, SCHEMA)
    yield built
    await built.close()


def tracker_of(group, host="h1"):
    return GroupTracker("s", TARGETS, group.view(host))


async def write(group, count=1, target="a"):
    connection = await group.view("writer").connect(target)
    for number in range(count):
        await connection.execute(f"REPLACE INTO t (id, n) VALUES (1, {number})")
    await connection.close()


async def running(tracker):
    task = asyncio.create_task(tracker.run())
    await sleep_s(0.3)
    return task


async def test_primary_and_term_come_from_statuses_and_satisfy_routing(group):
    tracker = tracker_of(group)
    task = await running(tracker)
    assert (tracker.primary, tracker.term) == ("a", 1)
    need = ReadRequirements(None, 0.5, False)
    assert read_candidates(tracker, TARGETS, need, now_s()) == ["b", "c", "a"]
    task.cancel()


async def test_probe_is_sent_after_the_call_and_shared_by_concurrent_callers(group):
    tracker = tracker_of(group)
    calls = []
    link = group.view("h1")
    status = link.status

    async def counted(target):
        calls.append((target, now_s()))
        return await status(target)

    tracker._link = link
    link.status = counted
    await asyncio.gather(*(tracker.refresh(TARGETS) for _ in range(20)))
    assert len(calls) == 3
    probes = [tracker.probe("a")]
    await sleep_s(0.0008)
    asked_s = now_s()
    probes.append(tracker.probe("a"))
    await asyncio.wait(probes)
    assert probes[1].result().sent_s >= asked_s


async def test_overtaken_answer_does_not_lower_a_position(group):
    tracker = tracker_of(group)
    await tracker.refresh(TARGETS)
    before = tracker.status("a")
    await write(group)
    await tracker.refresh(["a"])
    newer = tracker.tracked("a")
    tracker.learn_status(before, newer.as_of_s)
    assert tracker.status("a").position == before.position + 1


async def test_three_failed_probes_make_a_suspicion_and_one_answer_ends_it(group):
    tracker = tracker_of(group)
    task = await running(tracker)
    group.isolate("a")
    started_s = now_s()
    while not tracker.is_suspected("a"):
        # Lost connections come in bursts and must not shorten the detection.
        tracker.report_lost_connection("a")
        await sleep_s(0.01)
        assert now_s() - started_s < 0.85
    assert now_s() - started_s > 0.5
    assert tracker.tracked("a").is_reachable is False
    group.rejoin("a")
    await sleep_s(0.25)
    assert not tracker.is_suspected("a")
    task.cancel()


async def test_staleness_bound_grows_while_a_replica_does_not_apply(group):
    tracker = tracker_of(group)
    task = await running(tracker)
    group.pause_replication("b", is_applying_only=True)
    await write(group)
    written_s = now_s()
    await sleep_s(2.0)
    stale, fresh = tracker.tracked("b"), tracker.tracked("c")
    assert stale.staleness_bound_s >= stale.as_of_s - written_s
    assert fresh.staleness_bound_s < 0.25
    task.cancel()


async def test_cut_off_old_primary_gives_no_fresh_bound(group):
    """A host that only reaches the old primary must not consider any target's data fresh."""
    view = group.view("h2")
    group.cut("h1", ["b", "c"])
    tracker = tracker_of(group)
    task = await running(tracker)
    for target in ("b", "c"):
        await view.fence(target, 50)
    await view.promote("b", 50)
    await view.follow("c", 50, "b")
    await write(group, target="b")
    await sleep_s(1.0)
    assert tracker.tracked("a").staleness_bound_s is None
    task.cancel()


async def test_majority_of_promises_ends_a_primary_and_a_stray_promise_does_not(group):
    tracker = tracker_of(group)
    task = await running(tracker)
    view = group.view("h2")
    await view.fence("b", 50)
    await sleep_s(0.3)
    assert (tracker.primary, tracker.term, tracker.highest_known_term) == ("a", 1, 50)
    await view.fence("c", 50)
    await sleep_s(0.3)
    assert (tracker.primary, tracker.term) == (None, 50)
    waiting = asyncio.create_task(tracker.wait_for_primary(1, now_s() + 5.0))
    await view.promote("c", 50)
    assert await waiting
    assert (tracker.primary, tracker.term) == ("c", 50)
    assert tracker.status("c").role is TargetRole.PRIMARY
    task.cancel()


async def test_announcement_is_used_and_an_older_one_is_not(group):
    tracker = tracker_of(group)
    await tracker.refresh(TARGETS)
    tracker.learn_primary(70, "b")
    assert (tracker.primary, tracker.term) == ("b", 70)
    tracker.learn_primary(60, "c")
    tracker.learn_primary(80, "")
    assert (tracker.primary, tracker.term, tracker.highest_known_term) == ("b", 70, 80)
