"""Which hosts count: neither too few, which breaks majorities, nor dead ones for long."""

import asyncio

import pytest
from fleet.fake_store import FakeStore

from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.fleet.following import PrefixFollower
from pistachiowinch.fleet.records import FLEET_PREFIX, HostRecord, encode_record, host_key
from pistachiowinch.fleet.registration import LEASE_S, HostRegistration, KnownHosts

pytestmark = pytest.mark.looptime


def record(host: str, run: int = 1) -> HostRecord:
    """Return a host's record."""
    return HostRecord(host, run, "z1", f"tcp://{host}:1")


class Registered:
    """One host that registers in a store."""

    def __init__(self) -> None:
        """Create the registration."""
        self.store = FakeStore()
        self.successions = 0
        self.registration = HostRegistration(
            self.store, record("a", 2), self._succeeded, DecisionLog("test")
        )

    def _succeeded(self) -> None:
        self.successions += 1


async def test_a_registration_is_renewed_and_made_again_after_it_lapsed():
    """RECOVER with a store that lets leases lapse: a living host must come back by itself."""
    world = Registered()
    task = asyncio.ensure_future(world.registration.run())
    await asyncio.sleep(10.0)
    assert host_key("a") in world.store.items
    assert world.store.calls.count("txn") == 1
    world.store._end(1)
    await asyncio.sleep(2.0)
    assert host_key("a") in world.store.items
    task.cancel()
    await world.registration.leave()
    assert host_key("a") not in world.store.items


async def test_only_a_run_that_still_counts_is_succeeded():
    """QUOTA: a host may take its part of the rates over only while peers keep it for that host."""
    world = Registered()
    world.store.put(host_key("a"), encode_record(record("a", 1)))
    task = asyncio.ensure_future(world.registration.run())
    await asyncio.sleep(1.0)
    assert world.successions == 1
    task.cancel()
    fresh = Registered()
    task = asyncio.ensure_future(fresh.registration.run())
    await asyncio.sleep(2 * LEASE_S)
    assert fresh.successions == 0
    task.cancel()


async def test_hosts_count_while_registered_or_heard():
    """ONE: with all records lapsed at once, a majority of one host must not exist."""
    store = FakeStore()
    heard = frozenset({"b", "c"})
    hosts = KnownHosts(HostIdentity("a", 1, "z1", "tcp://a:1"), lambda seconds: heard)
    follower = PrefixFollower(
        store, FLEET_PREFIX, lambda keys, whole: hosts.take(follower), DecisionLog("test")
    )
    task = asyncio.ensure_future(follower.run())
    for name in "abcd":
        store.put(host_key(name), encode_record(record(name)))
    store.put(host_key("x"), b"not a record")
    await asyncio.sleep(0.2)
    assert {identity.host for identity in hosts.voters} == set("abcd")
    for name in "abcd":
        store.put(host_key(name), None)
    await asyncio.sleep(0.2)
    assert {identity.host for identity in hosts.voters} == set("abc")
    heard = frozenset()
    assert {identity.host for identity in hosts.voters} == {"a"}
    task.cancel()
