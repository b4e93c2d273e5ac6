"""One entry host over a store in memory: what it believes when the store fails or lies."""

import asyncio
import json

import pytest
from fleet.store_support import put
from sessions.fake_group import FakeLink, FakeTarget

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.entry.host import Host
from pistachiowinch.entry.links import EntryLinks, HostAddress
from pistachiowinch.fleet.records import PrimaryRecord, encode_record, group_key
from pistachiowinch.links.statements import Read
from pistachiowinch.platform.documents import PlatformDocuments
from pistachiowinch.sessions.replies import CompletedStatement
from pistachiowinch.sessions.session import Session
from pistachiowinch.standins.memory_store import MemoryStore

CONFIGURATION = {
    "version": 5,
    "routes": [{"host": "db", "service": "svc", "kind": "primary", "timeoutMs": 1000}],
    "services": [{"name": "svc", "maxConns": 10}],
    "tenants": [{"name": "carp", "apiKeys": ["key"], "ratePerS": 1000, "burst": 1000}],
}


class NoOrders:
    """Orders that a host alone never needs here."""

    async def state(self, service, target, timeout_s):
        """Answer nothing."""
        return None

    def close(self):
        """Hold nothing open."""


class Site:
    """A host, its store and two targets."""

    def __init__(self) -> None:
        """Fill the store."""
        self.store = MemoryStore()
        self.targets = {"a": FakeTarget("a", True), "b": FakeTarget("b", False)}
        self.host: Host | None = None
        self.configure(5)
        for name in self.targets:
            self.register(name)

    def configure(self, version: int) -> None:
        """Write the operators' configuration."""
        put(self.store, "op/config", json.dumps({**CONFIGURATION, "version": version}).encode())

    def register(self, name: str) -> None:
        """Write a target's entry."""
        role = "primary" if self.targets[name].is_primary else "replica"
        entry = {"service": "svc", "address": f"10.0.0.1:{ord(name)}", "zone": "z1"}
        entry |= {"state": "ready", "dbRole": role, "slots": 5, "born": 1}
        put(self.store, f"servers/{name}", json.dumps(entry).encode())

    def link(self) -> FakeLink:
        """Return a link to the targets."""
        return FakeLink(self.targets)

    def orders(self) -> NoOrders:
        """Return orders that are never needed."""
        return NoOrders()

    async def start(self) -> None:
        """Start the host and wait until it is ready."""
        links = EntryLinks(
            self.store, self.link(), lambda view, log: self.orders(), PlatformDocuments()
        )
        address = HostAddress("h1", "z1", "tcp://127.0.0.1:0")
        self.host = Host(address, links, Metrics(), DecisionLog("test"), now_s())
        await self.host.start()
        async with asyncio.timeout(3.0):
            await self.host._operators.is_loaded.wait()
            await self.host._registry.follower.is_loaded.wait()

    async def read(self):
        """Read as a new session."""
        return await Session(self.host.parts, "db", "key").execute("q1", Read("READ 1"), 6)


@pytest.fixture
async def site():
    """Run a host."""
    found = Site()
    await found.start()
    await asyncio.sleep(0.3)
    assert found.host.is_ready
    yield found
    found.store.faults.is_down = False
    await found.host.leave()


async def test_it_serves_and_follows_the_configuration(site):
    """CONFIG: a newer version is in force at once, and an older one never again."""
    assert isinstance(await site.read(), CompletedStatement)
    site.configure(9)
    await asyncio.sleep(0.1)
    site.configure(7)
    await asyncio.sleep(0.1)
    assert site.host.view.configuration.version == 9


async def test_an_unreadable_configuration_leaves_the_last_one_in_force(site):
    """A broken document must not take routes or keys away."""
    put(site.store, "op/config", b"{")
    await asyncio.sleep(0.1)
    assert site.host.view.configuration.version == 5
    assert isinstance(await site.read(), CompletedStatement)


async def test_damaged_entries_name_no_target_and_cost_nothing(site):
    """An entry of another writer must be left out, and the others must hold."""
    put(site.store, "servers/x", b"\xff\x00")
    put(site.store, "servers/y", b'{"service": 5}')
    await asyncio.sleep(0.1)
    assert set(site.host.view.targets("svc")) == {"a", "b"}


async def test_targets_whose_entries_lapsed_with_the_store_are_kept(site):
    """menghina-pool trouble-3: two healthy primaries were replaced when the store came back."""
    site.store.faults.is_down = True
    await asyncio.sleep(0.3)
    put(site.store, "servers/a", None)
    site.store.faults.is_down = False
    await asyncio.sleep(1.0)
    assert set(site.host.view.targets("svc")) == {"a", "b"}
    await asyncio.sleep(2.5)
    assert set(site.host.view.targets("svc")) == {"b"}


async def test_a_switch_that_has_begun_stops_work_for_the_primary(site):
    """ONE: the record alone must keep the host from its old primary."""
    put(site.store, group_key("svc"), encode_record(PrimaryRecord(1, "")))
    await asyncio.sleep(0.1)
    runs = len(site.targets["a"].runs)
    assert not isinstance(await site.read(), CompletedStatement)
    assert len(site.targets["a"].runs) == runs
    put(site.store, group_key("svc"), encode_record(PrimaryRecord(1, "a")))
    await asyncio.sleep(0.1)
    assert isinstance(await site.read(), CompletedStatement)


async def test_without_the_store_a_majority_of_members_goes_on(site):
    """The store's outage alone must not stop work."""
    site.store.faults.is_down = True
    await asyncio.sleep(1.5)
    assert site.host.proof.is_valid
    assert isinstance(await site.read(), CompletedStatement)
