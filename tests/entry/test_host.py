"""One entry host over an in-memory store: its state when the store fails or holds bad data."""

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
from pistachiowinch.entry.registry import REREGISTRATION_WAIT_S
from pistachiowinch.fleet.records import (
    PROMOTION_LOCK_KEY,
    PrimaryRecord,
    PromotionLockRecord,
    encode_record,
    group_key,
)
from pistachiowinch.links.statements import Read
from pistachiowinch.platform.documents import PlatformDocuments
from pistachiowinch.sessions.outages import USUAL_SWITCH_S
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
    """Promotion orders, which a single host never issues here."""

    async def state(self, service, target, timeout_s):
        """Return no state."""
        return None

    def close(self):
        """Do nothing, as nothing is open."""


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

    def register(self, name: str, state: str = "ready", sequence: int = 1) -> None:
        """Write a target's entry."""
        role = "primary" if self.targets[name].is_primary else "replica"
        entry = {"service": "svc", "address": f"10.0.0.1:{ord(name)}", "zone": "z1"}
        entry |= {"state": state, "dbRole": role, "slots": 5, "born": 1, "seq": sequence}
        entry |= {"version": "v1", "coldMs": 0}
        put(self.store, f"servers/{name}", json.dumps(entry).encode())

    def link(self) -> FakeLink:
        """Return a link to the targets."""
        return FakeLink(self.targets)

    def orders(self) -> NoOrders:
        """Return the unused promotion orders."""
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
            await self.host._operators_follower.is_loaded.wait()
            await self.host._registry.follower.is_loaded.wait()

    async def read(self):
        """Read in a new session."""
        return await Session(self.host.session_context, "db", "key").execute(
            "q1", Read("READ 1"), 6
        )


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
    """CONFIG: a newer version is applied at once, and an older one never replaces it."""
    assert isinstance(await site.read(), CompletedStatement)
    site.configure(9)
    await asyncio.sleep(0.1)
    site.configure(7)
    await asyncio.sleep(0.1)
    assert site.host.view.configuration.version == 9


async def test_an_unreadable_configuration_keeps_the_last_one(site):
    """A malformed document must not remove routes or keys."""
    put(site.store, "op/config", b"{")
    await asyncio.sleep(0.1)
    assert site.host.view.configuration.version == 5
    assert isinstance(await site.read(), CompletedStatement)


async def test_malformed_entries_are_ignored(site):
    """A malformed entry must be ignored without affecting the others."""
    put(site.store, "servers/x", b"\xff\x00")
    put(site.store, "servers/y", b'{"service": 5}')
    await asyncio.sleep(0.1)
    assert set(site.host.view.targets("svc")) == {"a", "b"}


def odd_entries(site: Site) -> dict[str, bytes]:
    """Return entries of another writer: a target's entry with one odd or missing field each."""
    entry = json.loads(site.store.apply_get("servers/a").value)
    deep = b"[" * 100_000 + b"]" * 100_000
    odd_values = [b"null", b"[]", b"-1", b"1e999", b"9" * 400, deep]
    odd_texts = [b'"10.0.0.1:99999"', b'"a\\r\\nb"', b'""']
    values = {field: odd_values + odd_texts for field in entry}
    # Any text is a zone or a version, and unknown fields with usual values are ignored.
    values |= {"zone": odd_values, "version": odd_values, "another": [deep]}
    found = {"servers/": json.dumps(entry).encode(), "servers/deep": deep}
    for field, odd in values.items():
        without = {name: value for name, value in entry.items() if name != field}
        if field not in ("born", "another"):
            found[f"servers/without-{field}"] = json.dumps(without).encode()
        text = json.dumps(without | {field: "odd"}).encode()
        for number, value in enumerate(odd):
            found[f"servers/{field}-{number}"] = text.replace(b'"odd"', value)
    return found


async def test_odd_entries_of_another_writer_change_nothing(site):
    """LOST and RECOVER: after one deeply nested entry a running host missed all later changes, and
    a host that started never became ready; an incomplete one hid the primary (review/4).
    """
    odd = odd_entries(site)
    for key, value in odd.items():
        put(site.store, key, value)
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.2)
    services = {"svc"}
    assert set(site.host.view.services) == services
    assert set(site.host.view.targets("svc")) == {"a", "b"}
    site.register("b", "draining", 9)
    await asyncio.sleep(0.2)
    assert site.host.view.is_leaving("b")
    assert isinstance(await site.read(), CompletedStatement)
    starting = Site()
    for key, value in odd.items():
        put(starting.store, key, value)
    await starting.start()
    await asyncio.sleep(0.5)
    assert starting.host.is_ready
    assert isinstance(await starting.read(), CompletedStatement)
    await starting.host.leave()


async def test_targets_of_services_that_nobody_configured_are_left_alone(site):
    """DRAIN: services of another writer, none with a primary, would make a host cut off."""
    entry = json.loads(site.store.apply_get("servers/b").value)
    for number in range(3):
        odd = entry | {"service": f"odd-{number}", "address": "10.0.0.1:9"}
        put(site.store, f"servers/odd-{number}", json.dumps(odd).encode())
    await asyncio.sleep(USUAL_SWITCH_S + 0.3)
    assert site.host.view.services == ("svc",)
    assert site.host.is_ready


async def test_targets_whose_entries_expired_during_an_outage_are_kept(site):
    """Registry entries expire during an outage of the store. If their targets were dropped when it
    ends, healthy primaries would be replaced.
    """
    site.store.faults.is_down = True
    await asyncio.sleep(0.3)
    put(site.store, "servers/a", None)
    site.store.faults.is_down = False
    await asyncio.sleep(1.0)
    assert set(site.host.view.targets("svc")) == {"a", "b"}
    await asyncio.sleep(2.5)
    assert set(site.host.view.targets("svc")) == {"b"}


async def test_a_switch_that_has_begun_stops_work_for_the_primary(site):
    """ONE: the record of the switch alone must stop statements to the old primary."""
    # Without a promoter that holds the lock, this host would continue the switch itself.
    put(site.store, PROMOTION_LOCK_KEY, encode_record(PromotionLockRecord("other", 1, 1)))
    put(site.store, group_key("svc"), encode_record(PrimaryRecord(1, "")))
    await asyncio.sleep(0.1)
    runs = len(site.targets["a"].runs)
    assert not isinstance(await site.read(), CompletedStatement)
    assert len(site.targets["a"].runs) == runs
    put(site.store, group_key("svc"), encode_record(PrimaryRecord(1, "a")))
    await asyncio.sleep(0.1)
    assert isinstance(await site.read(), CompletedStatement)


async def test_without_the_store_a_majority_of_members_goes_on(site):
    """An outage of the store alone must not stop work."""
    # Until the voters are recorded, only the store extends leases.
    await asyncio.sleep(2.5)
    site.store.faults.is_down = True
    await asyncio.sleep(1.5)
    assert site.host.primary_lease.is_valid
    assert isinstance(await site.read(), CompletedStatement)


async def test_a_target_that_left_is_not_used_again_after_a_restore(site):
    """DRAIN and ROUTE: the store's copy shows a draining target as ready, and one that is gone."""
    copy = site.store.copy()
    site.register("b", "draining", 9)
    await asyncio.sleep(0.2)
    assert site.host.view.is_leaving("b")
    site.store.restore(copy)
    await asyncio.sleep(0.2)
    assert site.host.view.is_leaving("b")
    put(site.store, "servers/b", None)
    await asyncio.sleep(REREGISTRATION_WAIT_S + 0.3)
    assert set(site.host.view.targets("svc")) == {"a"}
    site.store.restore(copy)
    await asyncio.sleep(0.2)
    assert set(site.host.view.targets("svc")) == {"a"}
    site.register("b", "ready", 10)
    await asyncio.sleep(0.2)
    assert set(site.host.view.targets("svc")) == {"a", "b"}


async def test_an_evacuation_that_the_store_lost_stays_in_force(site):
    """EVAC: the operators write it again, but a moment after the store's return."""
    copy = site.store.copy()
    put(site.store, "op/evacuate/z1", b"{}")
    await asyncio.sleep(0.2)
    site.store.restore(copy)
    await asyncio.sleep(0.5)
    assert site.host.view.is_leaving("a")
    put(site.store, "op/evacuate/z1", b"{}")
    await asyncio.sleep(REREGISTRATION_WAIT_S + 0.3)
    assert site.host.view.is_leaving("a")
    put(site.store, "op/evacuate/z1", None)
    await asyncio.sleep(0.3)
    assert not site.host.view.is_leaving("a")


async def test_a_restored_store_does_not_bring_back_a_withdrawn_key(site):
    """CONFIG: the copy holds a configuration with a key that was withdrawn."""
    copy = site.store.copy()
    document = {**CONFIGURATION, "version": 6, "tenants": []}
    put(site.store, "op/config", json.dumps(document).encode())
    await asyncio.sleep(0.2)
    site.store.restore(copy)
    await asyncio.sleep(0.3)
    assert not isinstance(await site.read(), CompletedStatement)
