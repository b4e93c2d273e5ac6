"""A fleet with a voter subset, over one in-memory store and real links between the hosts."""

import asyncio
import socket
import statistics

import pytest
from entry.test_host import Site
from fleet.store_support import put

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.entry.host import Host
from pistachiowinch.entry.links import EntryLinks, HostAddress
from pistachiowinch.fleet.primary_lease import PRIMARY_LEASE_S
from pistachiowinch.fleet.records import PrimaryRecord, encode_record, group_key
from pistachiowinch.fleet.relaying import FIRST_RELAY_WAIT_S
from pistachiowinch.fleet.voter_set import ALL_VOTE_MAX_HOSTS, MAX_VOTERS
from pistachiowinch.links.store import PollingStore
from pistachiowinch.platform.documents import PlatformDocuments

HOSTS = ALL_VOTE_MAX_HOSTS + 3
# Shorter than the default, so that a host that ignores the setting is found.
APPLY_WITHIN_S = 3.0
POLL_INTERVAL_S = 0.02
# Three first reads, a lease, the registration and the copy that lists it, and one poll of each
# prefix that waits for the first voter.
MAX_CALLS_TO_LEASE = 9


def free_ports(count: int) -> list[int]:
    """Return unused ports."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [entry.getsockname()[1] for entry in sockets]
    for entry in sockets:
        entry.close()
    return ports


class LargeFleet(Site):
    """Hosts that start together, each with its own client of the store."""

    def __init__(self) -> None:
        """Create all hosts."""
        super().__init__()
        self.clients = {}
        self.hosts = {}
        for number, port in enumerate(free_ports(HOSTS)):
            name = f"h{number:02}"
            self.clients[name] = self.client()
            self.hosts[name] = self._host(name, f"z{number % 3}", port)

    def client(self) -> PollingStore:
        """Return a client of the store for one host."""
        return self.store.client()

    def _host(self, name: str, zone: str, port: int) -> Host:
        links = EntryLinks(
            self.clients[name], self.link(), lambda view, log: self.orders(), PlatformDocuments()
        )
        address = HostAddress(name, zone, f"tcp://127.0.0.1:{port}")
        return Host(address, links, Metrics(), DecisionLog("test"), now_s(), APPLY_WITHIN_S)

    async def start(self) -> None:
        """Start all hosts and wait until they have chosen voters and are ready."""
        await asyncio.gather(*(host.start() for host in self.hosts.values()))
        await until(lambda: all(self._is_up(host) for host in self.hosts.values()), 20.0)

    def _is_up(self, host: Host) -> bool:
        return (
            host.is_ready and host._voter_set.record is not None and host.primary_lease.has_majority
        )

    def lose_all(self) -> None:
        """End all hosts without a word to the store, and create their next runs."""
        for host in self.hosts.values():
            for task in host._tasks:
                task.cancel()
        ports = free_ports(HOSTS)
        zones = [host._identity.availability_zone for host in self.hosts.values()]
        self.clients = {name: self.client() for name in self.hosts}
        self.hosts = {
            name: self._host(name, zone, port)
            for name, zone, port in zip(self.hosts, zones, ports, strict=True)
        }

    @property
    def others(self) -> list[Host]:
        """Hosts that do not vote."""
        return [host for host in self.hosts.values() if not host._voter_set.is_voter]

    async def close(self) -> None:
        """Stop all hosts."""
        await asyncio.gather(*(host.leave() for host in self.hosts.values()))


@pytest.fixture
async def fleet():
    """Run a large fleet."""
    found = LargeFleet()
    await found.start()
    yield found
    found.store.faults.is_down = False
    await found.close()


def readiness(host: Host, since_s: float) -> str:
    """Say why a host is not ready."""
    return (
        f"{now_s() - since_s:.2f} s, outdated {host.is_outdated}, cut off {host.is_cut_off}, "
        f"lease {host.primary_lease.is_valid}, configured {host._is_configured}"
    )


async def until(condition, within_s: float) -> None:
    """Wait until a condition is true."""
    deadline_s = now_s() + within_s
    for _ in range(int(within_s / POLL_INTERVAL_S)):
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
        if now_s() > deadline_s:
            break
    raise AssertionError(f"not true within {within_s} s")


async def test_a_configuration_reaches_hosts_that_do_not_read_the_store(fleet):
    """CONFIG: voters must forward changes within 3 s."""
    assert len(fleet.others) == HOSTS - MAX_VOTERS
    fleet.configure(9)
    await until(lambda: all(h.view.configuration.version == 9 for h in fleet.hosts.values()), 3.0)


async def test_a_switch_that_has_begun_stops_work_everywhere_within_a_lease(fleet):
    """ONE: before a promotion the record must reach each host, or its lease must expire."""
    put(fleet.store, group_key("svc"), encode_record(PrimaryRecord(1, "")))
    await until(
        lambda: not any(h.session_context.leased_primary("svc") for h in fleet.hosts.values()),
        PRIMARY_LEASE_S + 0.1,
    )


async def test_without_the_store_the_voters_keep_all_leases_valid(fleet):
    """An outage of the store alone must not stop work at any host."""
    fleet.store.faults.is_down = True
    await asyncio.sleep(3.0)
    assert all(host.primary_lease.is_valid for host in fleet.hosts.values())


async def test_a_host_that_cannot_fetch_a_newer_configuration_stops_serving(fleet):
    """CONFIG: one of 195 hosts ran a request 6.4 s after its key had been withdrawn."""
    host = fleet.others[0]
    host._operators_follower._on_change = lambda *_: None
    fleet.configure(9)
    asked_s = now_s()
    await asyncio.sleep(1.0)
    assert host.is_ready, readiness(host, asked_s)
    await until(lambda: host.is_outdated and not host.is_ready, APPLY_WITHIN_S - 1.0)
    assert all(other.is_ready for other in fleet.hosts.values() if other is not host)


async def test_a_host_without_evidence_for_its_configuration_stops_serving(fleet):
    """CONFIG: a host that heard of no newer version served on with its own."""
    host = fleet.others[0]
    host._operators_follower._advance_as_of = lambda as_of_s: None
    await until(lambda: host.is_outdated and not host.is_ready, APPLY_WITHIN_S)
    assert all(other.is_ready for other in fleet.hosts.values() if other is not host)


async def test_an_outage_of_the_store_lets_every_host_serve_on(fleet):
    """Worst seconds: nothing can be confirmed meanwhile, so no configuration becomes outdated."""
    fleet.store.faults.is_down = True
    end_s = now_s() + 2.0 * APPLY_WITHIN_S
    while now_s() < end_s:
        outdated = [name for name, host in fleet.hosts.items() if host.is_outdated]
        assert not outdated
        await asyncio.sleep(POLL_INTERVAL_S)


async def test_all_hosts_that_return_at_once_have_their_lease_after_a_few_store_calls(fleet):
    """Worst seconds: after a loss of all, leases came 0.6 s (median) after the registrations."""
    fleet.lose_all()
    calls = {}
    delays_s = {}

    def all_have_leases() -> bool:
        for name, host in fleet.hosts.items():
            if name not in delays_s and host.primary_lease.is_valid:
                delays_s[name] = now_s() - host._registration._registered_s
                calls[name] = sum(fleet.clients[name].calls.values())
        return len(delays_s) == HOSTS

    await asyncio.gather(*(host.start() for host in fleet.hosts.values()))
    await until(all_have_leases, 5.0)
    assert max(calls.values()) <= MAX_CALLS_TO_LEASE, calls
    # Half of the time for which a host that starts waits for the first heartbeat of a voter.
    assert statistics.median(delays_s.values()) < FIRST_RELAY_WAIT_S / 2.0, delays_s
