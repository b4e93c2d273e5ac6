"""The local copy of a prefix: complete after faults, and never claimed to be newer than it is."""

import asyncio

import pytest
from fleet.store_support import put

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.following import POLL_S, PrefixFollower
from pistachiowinch.standins.memory_store import MemoryStore

pytestmark = pytest.mark.looptime


class Following:
    """A follower with the changes that it reported."""

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


async def test_changes_arrive_and_removed_keys_vanish():
    """CONFIG: a change must reach the host by the watch, without a new read of everything."""
    world = Following()
    await asyncio.sleep(0.1)
    put(world.store, "a/1", b"x")
    put(world.store, "b/1", b"y")
    await asyncio.sleep(0.1)
    put(world.store, "a/1", None)
    await asyncio.sleep(0.1)
    assert world.changes == [((), True), (("a/1",), False), (("a/1",), False)]
    assert world.store.calls["read_prefix"] == 1


async def test_a_lost_history_is_read_again():
    """CONFIG with platform_compact: a change inside the forgotten history must not be missed."""
    world = Following()
    await asyncio.sleep(0.1)
    world.store.faults.is_down = True
    put(world.store, "a/1", b"x")
    world.store.compact()
    world.store.faults.is_down = False
    await asyncio.sleep(0.6)
    assert "a/1" in world.follower.items


async def test_an_outage_ends_soon_after_the_store_returns():
    """RECOVER: a host must know of the store's return within half a second."""
    world = Following()
    await asyncio.sleep(0.1)
    world.store.faults.is_down = True
    await asyncio.sleep(5.0)
    assert world.follower.is_broken
    world.store.faults.is_down = False
    returned_s = now_s()
    await asyncio.sleep(0.6)
    assert not world.follower.is_broken
    assert returned_s <= world.follower.reconnected_s <= returned_s + 0.5


async def test_a_contact_is_dated_before_the_answer():
    """ONE: a late answer must not prove more than what the store knew when it was asked."""
    world = Following()
    await asyncio.sleep(0.1)
    assert world.follower.as_of_s < now_s() - 0.05
    await asyncio.sleep(2 * POLL_S)
    assert world.follower.as_of_s <= now_s()


async def test_a_refresh_reads_at_once():
    """CONFIG: a peer that knows a newer version makes the host read, also during a silent poll."""
    world = Following()
    await asyncio.sleep(0.1)
    world.follower.refresh()
    await asyncio.sleep(0.1)
    assert world.store.calls["read_prefix"] == 2
    assert not world.task.done()


async def test_a_store_that_is_away_is_not_asked_anew_for_each_peer_that_is_ahead():
    """2,351 log lines in 8 s: newer peers beside a host that the store turns away."""
    world = Following()
    await asyncio.sleep(0.1)
    world.store.faults.is_down = True
    begun = 0
    for _ in range(100):
        begun += world.follower.refresh()
        await asyncio.sleep(0.01)
    assert begun == 1
    assert world.store.calls["read_prefix"] < 10
