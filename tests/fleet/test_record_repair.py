"""Tests of the records after a restore: written again by hosts that know them, not believed."""

import asyncio

import pytest
from fleet.store_support import put

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.following import PrefixFollower
from pistachiowinch.fleet.primaries import PrimaryTable
from pistachiowinch.fleet.primary_lease import PRIMARY_LEASE_S, PrimaryLease
from pistachiowinch.fleet.record_repair import MAJORITY_WAIT_S, RecordRepair
from pistachiowinch.fleet.records import (
    FLEET_PREFIX,
    PrimaryRecord,
    decode_record,
    encode_record,
    group_key,
)
from pistachiowinch.standins.memory_store import MemoryStore

pytestmark = pytest.mark.looptime

CHECK_INTERVAL_S = 0.1
OLD, NEW = PrimaryRecord(3, "a"), PrimaryRecord(4, "b")


class Host:
    """A host's copy of the records, its table of primaries and its repair."""

    def __init__(self, store: MemoryStore) -> None:
        """Start all."""
        log = DecisionLog("test")
        self.has_majority = True
        self.table = PrimaryTable(log)
        self.follower = PrefixFollower(store, FLEET_PREFIX, self._on_change, log)
        self.repair = RecordRepair(
            store, self.follower, self.table, lambda: self.has_majority, lambda: "st", log
        )
        self.contacts: frozenset[str] = frozenset()
        self.lease = PrimaryLease(
            lambda: frozenset("xyz"),
            lambda: dict.fromkeys(self.contacts, now_s()),
            lambda: self.follower.as_of_s,
            lambda: self.follower.as_of_s,
            lambda: self.repair.is_complete,
            lambda: self.repair.is_forgetful,
        )
        self.tasks = [
            asyncio.ensure_future(work) for work in (self.follower.run(), self._run_repair())
        ]

    def _on_change(self, keys, is_whole) -> None:
        item = self.follower.items.get(group_key("s"))
        if item is not None:
            self.table.adopt("s", decode_record(item, PrimaryRecord), "store")

    async def _run_repair(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.follower.is_loaded.is_set():
                await self.repair.check()

    def close(self) -> None:
        """End all tasks."""
        for task in self.tasks:
            task.cancel()


async def restored() -> tuple[MemoryStore, Host]:
    """Return a store that has lost the newest primary, and a host that knows it."""
    store = MemoryStore()
    put(store, group_key("s"), encode_record(OLD))
    copy = store.copy()
    host = Host(store)
    await asyncio.sleep(0.5)
    put(store, group_key("s"), encode_record(NEW))
    await asyncio.sleep(0.5)
    store.restore(copy)
    return store, host


def recorded(store: MemoryStore) -> PrimaryRecord:
    """Return the record in the store."""
    return decode_record(store.apply_get(group_key("s")), PrimaryRecord)


async def test_a_primary_that_the_store_forgot_is_written_again():
    """STALE: a host that starts after the restore must not take the replaced primary from it."""
    store, host = await restored()
    assert recorded(store) == OLD
    await asyncio.sleep(PRIMARY_LEASE_S + 3 * CHECK_INTERVAL_S)
    assert recorded(store) == NEW
    assert host.table.primary("s") == "b"
    host.close()


async def test_a_restored_store_proves_no_primary_before_its_records_are_complete():
    """STALE and ONE: a host that starts in between has read only the copy."""
    store, host = await restored()
    await asyncio.sleep(0.1)
    starting = Host(store)
    starting.has_majority = False
    await asyncio.sleep(0.2)
    assert starting.table.primary("s") == "a"
    assert not starting.lease.is_valid
    assert not host.repair.is_forgetful
    await asyncio.sleep(PRIMARY_LEASE_S + 3 * CHECK_INTERVAL_S)
    assert starting.table.primary("s") == "b"
    put(store, "fleet/other", b"x")
    await asyncio.sleep(0.1)
    assert starting.lease.is_valid
    host.close()
    starting.close()


async def test_a_minority_has_the_primaries_determined_anew_after_a_while():
    """RECOVER: most hosts may be gone, and the others must not wait for them without end. STALE:
    those that are gone may know of a later switch than this host.
    """
    store, host = await restored()
    host.has_majority = False
    await asyncio.sleep(PRIMARY_LEASE_S + 3 * CHECK_INTERVAL_S)
    assert recorded(store) == OLD
    await asyncio.sleep(MAJORITY_WAIT_S)
    assert recorded(store) == PrimaryRecord(NEW.epoch + 1, "", None)
    assert host.table.primary("s") == ""
    assert host.repair.is_complete
    host.close()


async def test_a_store_that_was_never_restored_costs_no_call():
    """Cost: a record of the era would be one more write on each start."""
    store = MemoryStore()
    host = Host(store)
    await asyncio.sleep(MAJORITY_WAIT_S + 1.0)
    assert host.repair.is_complete
    assert store.calls["transact"] == 0
    host.close()


async def test_a_host_that_remembers_nothing_uses_no_primary_though_it_hears_a_majority():
    """STALE and ONE: found by the model; it may have acknowledged a switch and forgotten it."""
    store, host = await restored()
    await asyncio.sleep(0.1)
    starting = Host(store)
    starting.contacts = frozenset("xyz")
    await asyncio.sleep(0.2)
    assert starting.repair.is_forgetful
    assert not starting.lease.is_valid
    await asyncio.sleep(PRIMARY_LEASE_S + 3 * CHECK_INTERVAL_S)
    assert starting.lease.is_valid
    host.close()
    starting.close()


async def test_a_host_that_remembers_nothing_does_not_complete_the_records():
    """STALE: found by the model; hosts would trust a store that lacks the newest switch."""
    store, host = await restored()
    host.close()
    starting = Host(store)
    await asyncio.sleep(PRIMARY_LEASE_S + 3 * CHECK_INTERVAL_S)
    assert not starting.repair.is_complete
    await asyncio.sleep(MAJORITY_WAIT_S)
    assert starting.repair.is_complete
    assert recorded(store) == PrimaryRecord(OLD.epoch + 1, "", None)
    starting.close()


async def test_without_a_memory_no_service_keeps_the_primary_of_the_copy():
    """STALE, review/3: all hosts restarted during a restore, and took a replica for the primary.
    Service ``t`` had its first switch in the seconds that the store has lost.
    """
    store, host = await restored()
    host.close()
    starting = Host(store)
    await asyncio.sleep(MAJORITY_WAIT_S + PRIMARY_LEASE_S)
    found = {name: decode_record(store.apply_get(group_key(name)), PrimaryRecord) for name in "st"}
    assert found == {"s": PrimaryRecord(OLD.epoch + 1, "", None), "t": PrimaryRecord(1, "", None)}
    assert starting.table.primary("s") == ""
    starting.close()
