"""Guards against an in-memory store that is more lenient or stricter than etcd v3."""

import asyncio

import pytest

from pistachiowinch.base.clock import sleep_s
from pistachiowinch.links.store import Compare, Delete, Put, StoreReplyLost, StoreUnavailable
from pistachiowinch.standins.memory_store import MemoryStore

pytestmark = pytest.mark.looptime


async def collect(store, prefix, from_revision, events):
    async for event in store.watch(prefix, from_revision):
        events.append((event.key, event.value))


async def test_of_two_racing_transactions_exactly_one_succeeds():
    store = MemoryStore()
    replies = await asyncio.gather(
        *(store.transact([Compare("a", 0)], [Put("a", value)]) for value in (b"1", b"2"))
    )
    assert sorted(reply.succeeded for reply in replies) == [False, True]


async def test_failed_comparison_leaves_every_key_and_the_revision_alone():
    store = MemoryStore()
    reply = await store.transact([Compare("a", 7)], [Put("a", b"1"), Put("b", b"1")])
    assert (reply.succeeded, reply.revision) == (False, 1)
    assert await store.get_prefix("") == []


async def test_keys_of_one_transaction_share_its_revision():
    store = MemoryStore()
    reply = await store.transact([], [Put("p/b", b"1"), Put("p/a", b"2"), Put("q", b"3")])
    found = await store.get_prefix("p/")
    assert [(item.key, item.mod_revision) for item in found] == [("p/a", 2), ("p/b", 2)]
    assert reply.revision == 2


async def test_lease_lapses_under_a_paused_holder_and_the_watch_reports_it():
    store = MemoryStore()
    events = []
    watcher = asyncio.create_task(collect(store, "held", 2, events))
    lease = await store.grant_lease(1.0)
    await store.transact([], [Put("held", b"x", lease)])
    await sleep_s(1.5)
    assert await store.get("held") is None
    assert await store.keep_alive(lease) == 0.0
    assert events == [("held", b"x"), ("held", None)]
    watcher.cancel()


async def test_remaining_lease_time_counts_from_the_request():
    store = MemoryStore()
    lease = await store.grant_lease(1.0)
    store.faults.delay_s = 0.4
    assert await store.keep_alive(lease) == pytest.approx(0.6)


async def test_refused_write_has_no_effect_and_lost_reply_has_one():
    store = MemoryStore()
    store.faults.is_down = True
    with pytest.raises(StoreUnavailable):
        await store.transact([], [Put("a", b"1")])
    store.faults.is_down = False
    assert await store.get("a") is None
    store.faults.lost_replies = 1
    with pytest.raises(StoreReplyLost):
        await store.transact([], [Put("a", b"2")])
    assert (await store.get("a")).value == b"2"


async def test_write_that_was_given_up_takes_effect_later():
    store = MemoryStore()
    slow = store.client(timeout_s=0.5)
    slow.faults.delay_s = 3.0
    with pytest.raises(StoreReplyLost):
        await slow.transact([], [Put("a", b"1")])
    assert await store.get("a") is None
    await sleep_s(1.1)
    assert (await store.get("a")).value == b"1"


async def test_outage_between_effect_and_reply_loses_the_reply():
    store = MemoryStore()
    store.faults.delay_s = 0.2
    write = asyncio.create_task(store.transact([], [Put("a", b"1")]))
    await sleep_s(0.15)
    store.faults.is_down = True
    with pytest.raises(StoreReplyLost):
        await write


async def test_watch_replays_from_a_revision_and_breaks_with_the_store():
    store = MemoryStore()
    await store.transact([], [Put("p/a", b"1")])
    await store.transact([], [Put("p/a", b"2")])
    await store.transact([], [Delete("p/a")])
    events = []
    watcher = asyncio.create_task(collect(store, "p/", 3, events))
    await sleep_s(0.1)
    assert events == [("p/a", b"2"), ("p/a", None)]
    store.faults.is_down = True
    with pytest.raises(StoreUnavailable):
        await watcher


async def test_silent_watch_reports_nothing_while_a_new_one_works():
    store = MemoryStore()
    old_events, new_events = [], []
    old = asyncio.create_task(collect(store, "a", 2, old_events))
    await sleep_s(0.0)
    store.faults.silence_watches()
    new = asyncio.create_task(collect(store, "a", 2, new_events))
    await store.transact([], [Put("a", b"1")])
    await sleep_s(0.1)
    assert (old_events, new_events) == ([], [("a", b"1")])
    old.cancel()
    new.cancel()


async def test_fault_of_one_client_leaves_the_others_alone():
    store = MemoryStore()
    failing, other = store.client(), store.client()
    failing.faults.is_down = True
    with pytest.raises(StoreUnavailable):
        await failing.get("a")
    assert await other.get("a") is None
    assert store.calls == {"get": 2}


async def test_poll_that_times_out_returns_events_written_meanwhile():
    """A short poll of a slow store lost a change, so hosts kept old keys (soak, seed 206)."""
    store = MemoryStore()
    client = store.client()
    client.faults.delay_s = 0.004
    await store.transact([], [Put("a/1", b"x")])
    batch = await client.changes("a/", store.revision - 1, 0.0)
    assert [event.key for event in batch.events] == ["a/1"]
    assert batch.revision == store.revision
