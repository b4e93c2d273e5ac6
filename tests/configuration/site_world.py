"""A site of hosts over one in-memory store, with faults, for the tests of this directory.

A paused host neither sends nor receives anything, and counts as without share and standing.
"""

import asyncio
import random
from contextlib import asynccontextmanager

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.configuration.patches import Patch, PatchOperation
from pistachiowinch.configuration.site import SiteReplica
from pistachiowinch.configuration.state import SiteState
from pistachiowinch.links.hosts import ListedHost
from pistachiowinch.peering.membership import HEARTBEAT_INTERVAL_S, Membership
from pistachiowinch.peering.messages import LocalState
from pistachiowinch.standins.memory_store import MemoryStore
from pistachiowinch.standins.peer_network import NetworkFaults, PeerNetwork

HEARTBEAT_S = HEARTBEAT_INTERVAL_S


def address(name):
    return f"tcp://{name}:1"


class Network:
    """The in-memory peer network, with faults as attributes."""

    def __init__(self, seed=0):
        self.peers = PeerNetwork(seed)
        self._faults = NetworkFaults()
        self._delay_s = 0.0005

    @property
    def loss(self):
        return self._faults.loss

    @loss.setter
    def loss(self, loss):
        self._set(self._faults._replace(loss=loss))

    @property
    def duplication(self):
        return self._faults.duplication

    @duplication.setter
    def duplication(self, duplication):
        self._set(self._faults._replace(duplication=duplication))

    @property
    def delay_s(self):
        return self._delay_s

    @delay_s.setter
    def delay_s(self, delay_s):
        """Delay messages by up to three times the time; they overtake each other."""
        self._delay_s = delay_s
        self.peers.set_one_way_delay(delay_s / 2)
        self._set(self._faults._replace(reordering=0.5, extra_delay_s=delay_s))

    def _set(self, faults):
        self._faults = faults
        self.peers.set_faults(faults)

    def cut(self, group, others, is_one_way=False):
        for one in group:
            for other in others:
                self.peers.cut(one, other, is_one_way)

    def heal(self):
        self.peers.heal_all()


class PauseGate:
    """Delays actions while a host is paused."""

    def __init__(self):
        self.is_closed = False
        self._held = []

    def run_or_hold(self, action):
        self._held.append(action) if self.is_closed else action()

    def open(self):
        self.is_closed = False
        held, self._held = self._held, []
        for action in held:
            action()

    async def wait(self):
        while self.is_closed:
            opened = asyncio.Event()
            self._held.append(opened.set)
            await opened.wait()


class Hosts:
    """The platform's list: all hosts that the world knows."""

    def __init__(self, world):
        self._world = world

    async def hosts(self):
        return tuple(ListedHost(name, address(name), False) for name in self._world.names)


class GatedStore:
    """Store client of a host; requests and replies wait while the host is paused."""

    def __init__(self, client, gate):
        self._client, self._gate = client, gate

    def __getattr__(self, name):
        async def call(*arguments):
            await self._gate.wait()
            try:
                return await getattr(self._client, name)(*arguments)
            finally:
                await self._gate.wait()

        return call

    async def watch(self, prefix, from_revision):
        async for event in self._client.watch(prefix, from_revision):
            await self._gate.wait()
            yield event


class Host:
    """One run of one host."""

    def __init__(self, world, name):
        self.world, self.name, self.gate = world, name, PauseGate()
        self.client = world.store.client()
        identity = HostIdentity(name, 0, "z1", address(name))
        self.state = SiteState(world.site, identity)
        self.link = world.network.peers.link(name)
        self.membership = Membership(identity, self.link, self.local_state, Hosts(world))
        self.replica = SiteReplica(
            self.state,
            GatedStore(self.client, self.gate),
            self.link,
            self.membership,
            random.Random(f"{world.seed}/{name}"),
        )
        self.roster, self.configuration = self.replica.roster, self.replica.configuration
        self.standing = self.replica.standing
        self.state.identities.subscribe(self.membership.set_identity)
        self.roster.changes.subscribe(
            lambda _: self.membership.set_members(self.roster.heartbeat_peers)
        )
        self.tasks = [asyncio.create_task(part.run()) for part in (self.membership, self.replica)]

    def local_state(self):
        epoch, version, age_ms, pending = self.replica.local_versions
        return LocalState(epoch, version, age_ms, (), {}, pending)

    @property
    def share(self):
        return 0.0 if self.gate.is_closed else self.roster.share

    @property
    def has_standing(self):
        return not self.gate.is_closed and self.standing.has_standing()

    @property
    def version(self):
        return self.configuration.current.version

    def pause(self):
        self.gate.is_closed = True
        self.world.network.peers.pause(self.name)

    def resume(self):
        self.gate.open()
        self.world.network.peers.resume(self.name)

    async def crash(self):
        if self.world.hosts.get(self.name) is self:
            self.world.network.peers.detach(self.name)
            del self.world.hosts[self.name]
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class World:
    """All hosts of a site, with methods that inject faults."""

    def __init__(self, store, names=("a", "b", "c", "d", "e"), seed=1, site="s1"):
        self.store, self.names, self.seed, self.site = store, tuple(names), seed, site
        self.network = Network(seed)
        self.hosts = {}

    def start(self, *names):
        for name in names or self.names:
            self.hosts[name] = Host(self, name)

    async def stop(self):
        for host in list(self.hosts.values()):
            host.gate.open()
            for task in host.tasks:
                if task.done() and not task.cancelled():
                    task.result()
            await host.crash()

    async def until(self, condition, timeout_s=30.0, step_s=0.05):
        """Wait for a condition; fails if it never holds."""
        deadline_s = now_s() + timeout_s
        while not condition():
            assert now_s() < deadline_s, "the condition never held"
            await sleep_s(step_s)

    def is_settled(self):
        """Whether all hosts are members of one active roster and hold the store's version."""
        return (
            all(
                host.roster.is_member
                and len(host.roster.current.members) == len(self.hosts)
                and host.roster.active == host.roster.current
                and host.has_standing
                for host in self.hosts.values()
            )
            and len({host.version for host in self.hosts.values()}) == 1
        )


@asynccontextmanager
async def settled_site(names=("a", "b", "c", "d", "e"), seed=1, store=None):
    """A site whose hosts have joined and activated one roster."""
    world = World(store or MemoryStore(), names, seed)
    world.start()
    try:
        await world.until(world.is_settled)
        yield world
    finally:
        await world.stop()


def customer(rate_per_s):
    return {"rate_per_s": rate_per_s, "burst": 10.0, "weight": 1.0, "services": []}


def rate_patch(patch_id, base_version, rate_per_s=5.0):
    """A patch that sets the rate of customer m."""
    operation = PatchOperation("set", ["customers", "m"], customer(rate_per_s))
    return Patch(patch_id, base_version, [operation])
