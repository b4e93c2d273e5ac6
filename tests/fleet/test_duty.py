"""The right to promote: one holder at a time, and fencing tokens that only grow."""

import asyncio

import pytest
from fleet.store_support import put

from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.promotion_lock import LOCK_LEASE_S, ORDER_MARGIN_S, PromotionLock
from pistachiowinch.fleet.records import FENCING_TOKEN_KEY
from pistachiowinch.links.store import StoreReplyLost
from pistachiowinch.standins.memory_store import MemoryStore

pytestmark = pytest.mark.looptime


def duty(store: MemoryStore, host: str) -> PromotionLock:
    """Return a host's duty."""
    return PromotionLock(store, host, hash(host) & 0xFFFF, DecisionLog("test"))


async def test_a_second_host_waits_until_the_lease_ends():
    """ONE: two hosts must not hold the duty at the same time."""
    store = MemoryStore()
    first, second = duty(store, "a"), duty(store, "b")
    assert await first.acquire()
    assert not await second.acquire()
    await asyncio.sleep(LOCK_LEASE_S + 0.1)
    assert await second.acquire()
    assert second.fencing_token > first.fencing_token
    assert not first.is_held


async def test_two_hosts_that_race_get_one_duty():
    """ONE: of two transactions at the same moment only one may succeed."""
    store = MemoryStore()
    results = await asyncio.gather(*(duty(store, name).acquire() for name in "abc"))
    assert sorted(results) == [False, False, True]


async def test_the_holder_renews_and_keeps_its_token():
    """A renewal must not change the token while the holder stays the same."""
    store = MemoryStore()
    held = duty(store, "a")
    assert await held.acquire()
    fence = held.fencing_token
    await asyncio.sleep(LOCK_LEASE_S - 0.5)
    assert not held.is_held
    assert await held.acquire()
    assert held.is_held
    assert held.fencing_token == fence


async def test_an_order_leaves_only_well_before_the_lease_ends():
    """ONE: a holder that was paused must not order after its successor."""
    store = MemoryStore()
    held = duty(store, "a")
    assert await held.acquire()
    await asyncio.sleep(LOCK_LEASE_S - ORDER_MARGIN_S + 0.05)
    assert not held.is_held


async def test_a_lost_acknowledgement_is_never_taken_for_the_duty():
    """platform_lost: the record may be there, but its revision and lease are not known."""
    store = MemoryStore()
    held = duty(store, "a")
    transact = store.transact

    async def lose_answer(compares, operations):
        await transact(compares, operations)
        raise StoreReplyLost("lost")

    store.transact = lose_answer
    with pytest.raises(StoreReplyLost):
        await held.acquire()
    store.transact = transact
    assert not await held.acquire()
    await asyncio.sleep(LOCK_LEASE_S + 0.1)
    assert await held.acquire()
    assert held.fencing_token == 2


async def test_tokens_grow_although_the_duty_s_record_is_gone():
    """ONE: the token outlives the leased record."""
    store = MemoryStore()
    fences = []
    for name in "abab":
        holder = duty(store, name)
        assert await holder.acquire()
        fences.append(holder.fencing_token)
        await asyncio.sleep(LOCK_LEASE_S + 0.1)
    assert fences == [1, 2, 3, 4]


async def test_an_unreadable_token_is_replaced_by_a_higher_one():
    """ONE: a token that starts again at 1 would be below those that the platform has seen."""
    store = MemoryStore()
    first = duty(store, "a")
    assert await first.acquire()
    await asyncio.sleep(LOCK_LEASE_S + 0.1)
    put(store, FENCING_TOKEN_KEY, b"not a token")
    second = duty(store, "b")
    assert await second.acquire()
    assert second.fencing_token > first.fencing_token
