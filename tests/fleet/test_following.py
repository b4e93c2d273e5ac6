"""Tests of the local copy of a prefix: complete after faults, and never dated too late."""

import asyncio

import pytest
from fleet.store_support import put

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.following import POLL_WAIT_S, PrefixFollower
from pistachiowinch.links.store import ChangeBatch, Snapshot
from pistachiowinch.standins.memory_store import MemoryStore

pytestmark = pytest.mark.looptime


class World:
    """A follower and the changes that it reported."""

    def __init__(self) -> None:
        """Start following ``a/``."""
        self.store = MemoryStore()
        self.changes: list[tuple] = []
        self.follower = PrefixFollower(
            self.store,
            "a/",
            lambda keys, whole: self.changes.append((tuple(keys), whole)),
            DecisionLog("test"),
        )
        self.task = asyncio.ensure_future(self.follower.run())


async def test_changes_and_removals_arrive():
    """CONFIG: a change must arrive by the poll, without another read of all keys."""
    world = World()
    await asyncio.sleep(0.1)
    put(world.store, "a/1", b"x")
    put(world.store, "b/1", b"y")
    await asyncio.sleep(0.1)
    put(world.store, "a/1", None)
    await asyncio.sleep(0.1)
    assert world.changes == [((), True), (("a/1",), False), (("a/1",), False)]
    assert world.store.calls["read_prefix"] == 1


async def test_all_keys_are_read_after_a_lost_history():
    """CONFIG with platform_compact: a change in the compacted history must not be missed."""
    world = World()
    await asyncio.sleep(0.1)
    world.store.faults.is_down = True
    put(world.store, "a/1", b"x")
    world.store.compact()
    world.store.faults.is_down = False
    await asyncio.sleep(0.6)
    assert "a/1" in world.follower.items


async def test_the_end_of_an_outage_is_detected_soon():
    """RECOVER: a host must detect within half a second that the store is reachable again."""
    world = World()
    await asyncio.sleep(0.1)
    world.store.faults.is_down = True
    await asyncio.sleep(5.0)
    assert world.follower.is_broken
    world.store.faults.is_down = False
    returned_s = now_s()
    await asyncio.sleep(0.6)
    assert not world.follower.is_broken
    assert returned_s <= world.follower.reconnected_s <= returned_s + 0.5


async def test_a_contact_is_dated_with_the_time_of_the_request():
    """ONE: a late answer is evidence only of the store's state at the time of the request."""
    world = World()
    await asyncio.sleep(0.1)
    assert world.follower.as_of_s < now_s() - 0.05
    await asyncio.sleep(2 * POLL_WAIT_S)
    assert world.follower.as_of_s <= now_s()


async def test_a_refresh_reads_all_keys_at_once():
    """CONFIG: a refresh for a peer's newer version must interrupt a poll that does not answer."""
    world = World()
    await asyncio.sleep(0.1)
    world.follower.refresh()
    await asyncio.sleep(0.1)
    assert world.store.calls["read_prefix"] == 2
    assert not world.task.done()


async def test_newer_peers_do_not_cause_more_reads_of_an_unavailable_store():
    """A host without the store tried a read for each newer peer: 2,351 log lines in 8 s."""
    world = World()
    await asyncio.sleep(0.1)
    world.store.faults.is_down = True
    started_reads = 0
    for _ in range(100):
        started_reads += world.follower.refresh()
        await asyncio.sleep(0.01)
    assert started_reads == 1
    assert world.store.calls["read_prefix"] < 10


class HastySource:
    """A source that answers polls without changes before their time."""

    async def read_prefix(self, prefix):
        """Return no keys."""
        return Snapshot((), 1)

    async def changes(self, prefix, after_revision, wait_s):
        """Return no changes after half of the wait."""
        await asyncio.sleep(wait_s / 2.0)
        return ChangeBatch((), after_revision)


async def test_a_poll_that_ends_early_dates_no_copy_in_the_future():
    """CONFIG: a copy counted as complete for the rest of a wait in which nobody told of changes."""
    follower = PrefixFollower(HastySource(), "a/", lambda *_: None, DecisionLog("test"))
    task = asyncio.ensure_future(follower.run())
    for _ in range(50):
        await asyncio.sleep(0.1)
        assert follower.as_of_s <= now_s()
    task.cancel()


async def test_a_copy_is_never_older_than_a_wait_while_nothing_fails():
    """CONFIG: after a change, evidence of up to twice the wait let whole fleets read the store."""
    world = World()
    await asyncio.sleep(0.1)
    for number in range(20):
        put(world.store, "a/1", str(number).encode())
        for _ in range(17):
            await asyncio.sleep(0.1)
            assert now_s() - world.follower.as_of_s <= POLL_WAIT_S + 0.01
    world.task.cancel()
