"""Guards against wrong conclusions about the effect of a failed store call."""

import asyncio

import pytest
from platform_standins import StoreStandIn

from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.entry.bounds import CallBounds
from pistachiowinch.links.store import (
    Compare,
    Delete,
    HistoryLost,
    Put,
    StoreReplyLost,
    StoreUnavailable,
    undated_revision,
)
from pistachiowinch.platform.store import PlatformStore
from pistachiowinch.standins.http_store import PAGE_ITEMS

BOUNDS = CallBounds(timeout_s=0.3, connect_timeout_s=0.3, poll_slack_s=1.0)


@pytest.fixture
async def stand_in():
    """Run a store."""
    found = StoreStandIn()
    await found.start()
    yield found
    await found.stop()


@pytest.fixture
async def store(stand_in):
    """Return a client with short time-outs."""
    client = PlatformStore(stand_in.address, BOUNDS, Metrics(), DecisionLog("test"))
    yield client
    await client.close()


async def test_keys_pages_and_removal(store, stand_in):
    """All pages must be read, and values must be returned unchanged."""
    numbers = range(2 * PAGE_ITEMS + 5)
    for number in numbers:
        stand_in.put(f"a/{number:02}", bytes([0, 255, number]))
    snapshot = await store.read_prefix("a/")
    assert [item.value[2] for item in snapshot.items] == list(numbers)
    assert snapshot.revision == stand_in.store.revision
    assert (await store.get("a/03")).value == bytes([0, 255, 3])
    assert await store.get("a/99") is None


async def test_changes_are_continued_from_the_answered_revision(store, stand_in):
    """CONFIG: no change may be skipped or repeated between two polls."""
    stand_in.put("a/1", b"x")
    first = await store.changes("a/", 0, 1.0)
    assert [event.key for event in first.events] == ["a/1"]
    waiting = asyncio.ensure_future(store.changes("a/", first.revision, 2.0))
    await asyncio.sleep(0.05)
    stand_in.remove("a/1")
    (event,) = (await waiting).events
    assert (event.key, event.value) == ("a/1", None)


async def test_a_forgotten_history_is_told(store, stand_in):
    """platform_compact: status 410 must lead to a new read, or changes would be missed."""
    stand_in.put("a/1", b"x")
    stand_in.store.compact()
    with pytest.raises(HistoryLost):
        await store.changes("a/", 1, 0.1)


async def test_transactions_and_their_conditions(store):
    """ONE: a transaction whose condition fails must change nothing and report that."""
    reply = await store.transact([Compare("k", 0)], [Put("k", b"1")])
    assert reply.succeeded
    assert not (await store.transact([Compare("k", 0)], [Put("k", b"2")])).succeeded
    assert (await store.transact([Compare("k", reply.revision)], [Delete("k")])).succeeded


async def test_leases(store):
    """An expired lease must be distinguishable from a failed call."""
    lease = await store.grant_lease(3.0)
    assert await store.keep_alive(lease) == pytest.approx(3.0, abs=BOUNDS.timeout_s)
    assert await store.keep_alive(lease + 1) == 0.0
    await store.end_lease(lease)


async def test_a_refused_call_had_no_effect(store, stand_in):
    """Status 503 guarantees that the call had no effect, so it may be repeated."""
    stand_in.error_status = 503
    with pytest.raises(StoreUnavailable):
        await store.transact([], [Put("k", b"1")])


async def test_a_missing_answer_promises_nothing(store, stand_in):
    """platform_lost: the call may have taken effect, which the caller has to find out."""
    stand_in.is_silent = True
    with pytest.raises(StoreReplyLost):
        await store.transact([], [Put("k", b"1")])
    assert stand_in.store.apply_get("k") is not None
    stand_in.is_silent = False
    assert (await store.get("k")).value == b"1"


async def test_an_absent_store_had_no_effect(stand_in):
    """Without a connection the call cannot have been sent."""
    client = PlatformStore("127.0.0.1:1", BOUNDS, Metrics(), DecisionLog("test"))
    with pytest.raises(StoreUnavailable):
        await client.get("k")


async def test_values_that_are_not_base64_are_unreadable(store, stand_in):
    """An invalid value of another writer must not raise an error."""
    stand_in.put("a/1", b"x")
    stand_in.raw["a/1"] = "%%%"
    assert (await store.get("a/1")).value == b""


async def test_a_poll_never_continues_from_a_revision_of_an_earlier_era(store, stand_in):
    """CONFIG: after a restore a watch from an old revision got no 410, and missed a removal."""
    stand_in.put("a/1", b"x")
    copy = stand_in.store.copy()
    stand_in.put("a/2", b"x")
    before = await store.read_prefix("a/")
    stand_in.store.restore(copy)
    for number in range(5):
        stand_in.put("b/1", bytes([number]))
    with pytest.raises(HistoryLost):
        await store.changes("a/", before.revision, 0.1)
    after = await store.read_prefix("a/")
    assert after.revision > before.revision
    assert [item.key for item in after.items] == ["a/1"]


async def test_a_waiting_poll_ends_with_the_era(store, stand_in):
    """CONFIG: the answer to a poll may come from the restored store."""
    stand_in.put("a/1", b"x")
    copy = stand_in.store.copy()
    before = await store.read_prefix("a/")
    waiting = asyncio.ensure_future(store.changes("a/", before.revision, 2.0))
    await asyncio.sleep(0.05)
    stand_in.store.restore(copy)
    stand_in.put("a/2", b"x")
    with pytest.raises(HistoryLost):
        await waiting


async def test_a_condition_of_an_earlier_era_never_holds(store, stand_in):
    """ONE: after a restore the same revision can stand for another holder of the lock."""
    copy = stand_in.store.copy()
    first = await store.transact([Compare("lock", 0)], [Put("lock", b"first")])
    stand_in.store.restore(copy)
    stand_in.put("lock", b"second")
    assert undated_revision(first.revision) == undated_revision(stand_in.store.revision)
    with pytest.raises(StoreReplyLost):
        await store.transact([Compare("lock", first.revision)], [Put("other", b"x")])
    assert not (await store.transact([Compare("lock", first.revision)], [Put("o", b"x")])).succeeded
    assert stand_in.store.apply_get("o") is None


@pytest.mark.parametrize("text", ["x", "-1", "1.5", 30 * "9"])
async def test_an_unreadable_era_changes_nothing(store, stand_in, text):
    """One malformed header must not end calls, nor make revisions that no message can carry."""
    stand_in.put("a/1", b"x")
    before = await store.read_prefix("a/")
    stand_in.era_text = text
    assert await store.read_prefix("a/") == before
