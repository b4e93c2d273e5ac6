"""Switches of a primary while hosts stop, start and are added, and a zone is cut off.

The hosts run on the paused clock, over an in-memory network and store.
"""

import asyncio

import pytest
from entry.test_host import Site
from fleet.switch_support import FakeGroup, OtherHosts

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.hashing import rendezvous_order
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.entry import host as host_module
from pistachiowinch.entry.host import Host
from pistachiowinch.entry.links import EntryLinks, HostAddress
from pistachiowinch.fleet.primary_lease import STORE_ABSENCE_LIMIT_S
from pistachiowinch.fleet.record_repair import MAJORITY_WAIT_S
from pistachiowinch.links.statements import Position, TargetState
from pistachiowinch.platform.documents import PlatformDocuments
from pistachiowinch.standins.peer_network import MemoryPeerLink, PeerNetwork

pytestmark = pytest.mark.looptime

CHECK_INTERVAL_S = 0.005
FORMED_S = 6.0
# A planned switch waits up to 0.6 s for transactions, 0.9 s for leases and 0.3 s to promote.
SWITCH_LIMIT_S = 4.0


class StartableLink(MemoryPeerLink):
    """A link with the life cycle of a link over sockets."""

    async def start(self) -> None:
        """Do nothing; the link is attached on creation."""

    async def stop(self) -> None:
        """Detach from the network."""
        self._network.detach(self.host)


class Orders(FakeGroup):
    """Targets ``a``, the first primary, and ``b``."""

    def __init__(self) -> None:
        """Create a running primary and a replica."""
        super().__init__(OtherHosts(""))
        self.states = {
            "a": TargetState(True, 1, Position(1, 9)),
            "b": TargetState(False, 1, Position(1, 9)),
        }

    @property
    def has_promoted(self) -> bool:
        """Whether ``b`` is the primary."""
        return self.states["b"].is_primary

    def close(self) -> None:
        """Do nothing, as nothing is open."""


class ChangingSite(Site):
    """Hosts that come and go; it notes which of them use an old primary after a promotion."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Create a site without hosts."""
        super().__init__()
        self.network = PeerNetwork()
        self.group = Orders()
        self.hosts: dict[str, Host] = {}
        self.clients = {}
        self.cut_off: frozenset[str] = frozenset()
        self.late: set[str] = set()
        monkeypatch.setattr(host_module, "PynngPeerLink", self._link_of)
        self._check: asyncio.Task | None = None

    def _link_of(self, name: str, url: str, metrics: Metrics) -> StartableLink:
        self.network.detach(name)
        link = StartableLink(self.network, name, metrics)
        self.network._links[name] = link
        return link

    async def add(self, *names: str) -> None:
        """Start hosts; the first letter of a name is its zone."""
        # The clock is paused in tests only, not in fixtures.
        self._check = self._check or asyncio.ensure_future(self._watch_uses())
        for name in names:
            self.clients[name] = self.store.client()
            links = EntryLinks(
                self.clients[name],
                self.link(),
                lambda view, log: self.group,
                PlatformDocuments(),
            )
            address = HostAddress(name, name[0], f"memory://{name}")
            self.hosts[name] = Host(address, links, Metrics(), DecisionLog("test"), now_s())
            self._apply_cut()
            await self.hosts[name].start()

    async def stop(self, *names: str) -> None:
        """Stop hosts as planned."""
        await asyncio.gather(*(self.hosts.pop(name).leave() for name in names))

    async def kill(self, *names: str) -> None:
        """End hosts without notice."""
        for name in names:
            self.clients[name].faults.is_down = True
            self.network.detach(name)
            for task in self.hosts.pop(name)._tasks:
                task.cancel()

    def cut(self, *names: str) -> None:
        """Partition hosts from the others and from the store."""
        self.cut_off = frozenset(names)
        self._apply_cut()
        for name in names:
            self.clients[name].faults.is_down = True

    def _apply_cut(self) -> None:
        """Apply the partition to the hosts that run now."""
        self.network.isolate(self.cut_off)

    def heal(self) -> None:
        """End the partition."""
        self.cut_off = frozenset()
        self.network.heal_all()
        for client in self.clients.values():
            client.faults.is_down = False

    def replace_primary(self) -> None:
        """Let the operators' planned stop of the primary begin."""
        self.register("a", "draining", 2)

    def users(self, primary: str) -> set[str]:
        """Return the hosts that may send work to a primary now."""
        return {
            name
            for name, host in self.hosts.items()
            if host.session_context.leased_primary("svc") == primary
        }

    async def _watch_uses(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.group.has_promoted:
                self.late |= self.users("a")

    async def promoted(self, within_s: float) -> bool:
        """Wait for the promotion of ``b``, and return whether it came in time."""
        for _ in range(int(within_s / CHECK_INTERVAL_S)):
            if self.group.has_promoted:
                break
            await asyncio.sleep(CHECK_INTERVAL_S)
        return self.group.has_promoted

    async def close(self) -> None:
        """Stop all hosts."""
        self._check.cancel()
        self.heal()
        await self.stop(*self.hosts)


@pytest.fixture
async def site(monkeypatch):
    """Create a site without hosts, and stop its hosts at the end."""
    found = ChangingSite(monkeypatch)
    yield found
    await found.close()


async def test_hosts_added_during_a_partition_do_not_outvote_it(site):
    """ONE, review/1: 3 of 5 hosts kept their lease, and 4 of 7 replaced the primary meanwhile."""
    await site.add("a1", "a2", "a3", "b1", "c1")
    await asyncio.sleep(FORMED_S)
    site.cut("a1", "a2", "a3")
    await asyncio.sleep(0.5)
    await site.add("b2", "c2")
    site.replace_primary()
    assert not await site.promoted(5.0)
    assert site.users("a") == {"a1", "a2", "a3"}
    site.heal()
    assert await site.promoted(SWITCH_LIMIT_S)
    await asyncio.sleep(1.0)
    assert not site.late
    assert site.users("b") == set(site.hosts)


async def test_hosts_that_restart_during_a_partition_keep_their_vote(site):
    """ONE, review/1: six of nine hosts restarted; the other three were cut off as the only members
    and took themselves for a majority.
    """
    names = [f"{zone}{number}" for zone in "abc" for number in range(3)]
    await site.add(*names)
    await asyncio.sleep(FORMED_S)
    await site.stop(*names[3:])
    await asyncio.sleep(0.5)
    site.cut(*names[:3])
    await site.add(*names[3:])
    await asyncio.sleep(0.5)
    site.replace_primary()
    assert await site.promoted(SWITCH_LIMIT_S)
    await asyncio.sleep(2.0)
    assert not site.late
    assert site.users("b") == set(names[3:])


async def test_a_switch_needs_no_answer_of_hosts_that_stopped_as_planned(site):
    """RECOVER: during a rolling restart a switch must not wait for hosts that have left."""
    names = [f"{zone}{number}" for zone in "abc" for number in range(3)]
    await site.add(*names)
    await asyncio.sleep(FORMED_S)
    await site.stop(*names[2:])
    site.replace_primary()
    assert await site.promoted(1.5)
    assert not site.late


async def test_a_switch_goes_on_once_the_lost_majority_is_removed(site):
    """RECOVER: any number of hosts may be lost for good, and a primary still be replaced."""
    await site.add("a1", "a2", "a3", "b1", "c1")
    await asyncio.sleep(FORMED_S)
    await site.kill("a1", "a2", "a3")
    site.replace_primary()
    assert not await site.promoted(STORE_ABSENCE_LIMIT_S)
    assert await site.promoted(2.0 * SWITCH_LIMIT_S)
    assert not site.late


async def test_hosts_keep_their_leases_without_the_store(site):
    """RECOVER: an outage of the store alone must not stop work, also for hosts added before."""
    await site.add("a1", "b1", "c1")
    await asyncio.sleep(FORMED_S)
    await site.add("c2")
    await asyncio.sleep(1.0)
    site.store.faults.is_down = True
    await asyncio.sleep(9.0)
    assert site.users("a") == {"a1", "b1", "c1", "c2"}
    site.store.faults.is_down = False


async def test_a_host_that_remembers_completes_the_records_of_a_restored_store(site):
    """RECOVER: the first host in order had just restarted, so that all primaries were determined
    anew, though the other hosts knew them.
    """
    names = ("a1", "b1", "c1")
    await site.add(*names)
    await asyncio.sleep(FORMED_S)
    first = rendezvous_order("promotion", names)[0]
    copy = site.store.copy()
    await site.kill(first)
    site.store.restore(copy)
    await site.add(first)
    await asyncio.sleep(MAJORITY_WAIT_S + 1.0)
    assert site.users("a") == set(names)
    assert all(host._primaries.epoch("svc") == 0 for host in site.hosts.values())


async def test_the_primary_is_determined_anew_if_nobody_remembers_it(site):
    """STALE, review/3: all hosts restarted while the store came back without the last switch, and
    took the replaced primary for the present one until the end.
    """
    names = ("a1", "b1", "c1")
    await site.add(*names)
    await asyncio.sleep(FORMED_S)
    copy = site.store.copy()
    site.replace_primary()
    assert await site.promoted(SWITCH_LIMIT_S)
    await asyncio.sleep(1.0)
    await site.kill(*names)
    site.store.restore(copy)
    await site.add(*names)
    for _ in range(120):
        assert not site.users("a")
        await asyncio.sleep(0.1)
    assert site.users("b") == set(names)
