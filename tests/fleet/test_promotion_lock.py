"""Tests of the promotion lock: one holder at a time, and fencing tokens that only grow."""

import asyncio

import pytest
from fleet.store_support import put

from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.following import PrefixFollower
from pistachiowinch.fleet.promotion_lock import LOCK_LEASE_S, ORDER_MARGIN_S, PromotionLock
from pistachiowinch.fleet.records import FENCING_TOKEN_KEY
from pistachiowinch.links.store import Put, StoreReplyLost
from pistachiowinch.standins.memory_store import MemoryStore

pytestmark = pytest.mark.looptime


def lock_of(store: MemoryStore, host: str) -> PromotionLock:
    """Return a host's lock."""
    return PromotionLock(store, host, hash(host) & 0xFFFF, DecisionLog("test"))


async def test_a_second_host_waits_until_the_lease_expires():
    """ONE: two hosts must not hold the lock at the same time."""
    store = MemoryStore()
    first, second = lock_of(store, "a"), lock_of(store, "b")
    assert await first.acquire()
    assert not await second.acquire()
    await asyncio.sleep(LOCK_LEASE_S + 0.1)
    assert await second.acquire()
    assert second.fencing_token > first.fencing_token
    assert not first.is_held


async def test_only_one_of_several_racing_hosts_gets_the_lock():
    """ONE: only one of several concurrent transactions may succeed."""
    store = MemoryStore()
    results = await asyncio.gather(*(lock_of(store, name).acquire() for name in "abc"))
    assert sorted(results) == [False, False, True]


async def test_the_holder_renews_and_keeps_its_token():
    """A renewal by the same holder must not change the token."""
    store = MemoryStore()
    lock = lock_of(store, "a")
    assert await lock.acquire()
    fencing_token = lock.fencing_token
    await asyncio.sleep(LOCK_LEASE_S - 0.5)
    assert not lock.is_held
    assert await lock.acquire()
    assert lock.is_held
    assert lock.fencing_token == fencing_token


async def test_an_order_is_sent_only_well_before_the_lease_expires():
    """ONE: an order of a paused holder must not arrive after one of its successor."""
    store = MemoryStore()
    lock = lock_of(store, "a")
    assert await lock.acquire()
    await asyncio.sleep(LOCK_LEASE_S - ORDER_MARGIN_S + 0.05)
    assert not lock.is_held


async def test_a_lost_acknowledgement_does_not_count_as_holding_the_lock():
    """platform_lost: the record may exist, but its revision and lease are unknown."""
    store = MemoryStore()
    lock = lock_of(store, "a")
    transact = store.transact

    async def lose_answer(compares, operations):
        await transact(compares, operations)
        raise StoreReplyLost("lost")

    store.transact = lose_answer
    with pytest.raises(StoreReplyLost):
        await lock.acquire()
    store.transact = transact
    assert not await lock.acquire()
    await asyncio.sleep(LOCK_LEASE_S + 0.1)
    assert await lock.acquire()
    assert lock.fencing_token == 2


async def test_tokens_grow_after_the_lock_record_has_expired():
    """ONE: the token must persist after the leased record has expired."""
    store = MemoryStore()
    tokens = []
    for name in "abab":
        lock = lock_of(store, name)
        assert await lock.acquire()
        tokens.append(lock.fencing_token)
        await asyncio.sleep(LOCK_LEASE_S + 0.1)
    assert tokens == [1, 2, 3, 4]


async def test_an_unreadable_token_is_replaced_by_a_higher_one():
    """ONE: a token that restarts at 1 would be lower than those that the platform has seen."""
    store = MemoryStore()
    first = lock_of(store, "a")
    assert await first.acquire()
    await asyncio.sleep(LOCK_LEASE_S + 0.1)
    put(store, FENCING_TOKEN_KEY, b"not a token")
    second = lock_of(store, "b")
    assert await second.acquire()
    assert second.fencing_token > first.fencing_token


async def test_a_restarted_holder_replaces_the_lock_of_its_previous_run():
    """power_off_all: the dead promoter's lease kept three switches waiting for 2 s."""
    store, log = MemoryStore(), DecisionLog("test")
    before, after = PromotionLock(store, "a", 1, log), PromotionLock(store, "a", 2, log)
    assert await before.acquire()
    assert not await PromotionLock(store, "b", 3, log).acquire()
    assert await after.acquire()
    assert after.fencing_token == before.fencing_token + 1
    assert not await PromotionLock(store, "b", 3, log).acquire()


async def test_switches_of_several_services_share_the_lock():
    """The second of two simultaneous switches of one host waited 0.5 s for its next attempt."""
    lock = lock_of(MemoryStore(), "a")
    assert await asyncio.gather(lock.acquire(), lock.acquire()) == [True, True]
    assert lock.fencing_token == 1


async def test_a_token_is_never_given_twice_although_the_store_lost_the_newest():
    """ONE: a restored store holds older tokens, and the platform has seen newer ones."""
    store = MemoryStore()
    copy = store.copy()
    tokens = []
    for name in "abc":
        lock = lock_of(store, name)
        assert await lock.acquire()
        tokens.append(lock.fencing_token)
        await asyncio.sleep(LOCK_LEASE_S + 0.1)
    store.restore(copy)
    after = lock_of(store, "d")
    assert await after.acquire()
    assert after.fencing_token > max(tokens)


async def test_a_lock_that_the_store_lost_is_waited_for():
    """ONE: its holder still orders promotions while another host would take the lock."""
    store, log = MemoryStore(), DecisionLog("test")
    records = PrefixFollower(store, "fleet/", lambda *_: None, log)
    following = asyncio.ensure_future(records.run())
    await asyncio.sleep(0.1)
    copy = store.copy()
    holder = lock_of(store, "a")
    assert await holder.acquire()
    store.restore(copy)
    other = PromotionLock(store, "b", 2, log, records)
    while holder.is_held:
        assert not await other.acquire()
        await asyncio.sleep(0.1)
    await asyncio.sleep(LOCK_LEASE_S)
    assert await other.acquire()
    following.cancel()


async def test_a_holder_whose_lock_the_store_lost_writes_nothing_more():
    """ONE: its condition must fail, so that it records and sends no further order."""
    store = MemoryStore()
    copy = store.copy()
    lock = lock_of(store, "a")
    assert await lock.acquire()
    store.restore(copy)
    assert not (await store.transact([lock.condition], [Put("order", b"x")])).succeeded
