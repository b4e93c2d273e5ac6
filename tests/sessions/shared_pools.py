"""Several hosts' sessions over one fake group, which hand statements to each other."""

import asyncio

from sessions.fake_group import SERVICE, World

from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.links.statements import ReasonRefused
from pistachiowinch.sessions.pool_client import PoolClient
from pistachiowinch.sessions.pool_hosts import PoolHosts
from pistachiowinch.sessions.pool_server import PoolServer
from pistachiowinch.sessions.site import Target
from pistachiowinch.sessions.target_loads import TargetLoads, ZoneCost
from pistachiowinch.sessions.zone_placement import ZonePlacement
from pistachiowinch.standins.peer_network import PeerNetwork

SLOTS = 2


class Fleet:
    """The hosts, all of one availability zone.

    :ivar members: identities of all hosts.
    """

    def __init__(self, worlds: "SharedWorlds") -> None:
        """Follow the worlds' hosts."""
        self.worlds = worlds

    @property
    def members(self):
        """All members."""
        return tuple(
            HostIdentity(name, self.worlds.runs[name], "z1", "") for name in self.worlds.names
        )

    @property
    def names(self):
        """Names of all members."""
        return frozenset(self.worlds.names)


class SharedWorlds:
    """Some hosts' worlds over the targets of the first one.

    :ivar worlds: by host.
    :ivar tasks: watcher of each host's client.
    """

    def __init__(self, count: int = 4, seed: int = 1) -> None:
        """Start the hosts."""
        self.names = [f"h{number}" for number in range(count)]
        self.runs = {name: number + 1 for number, name in enumerate(self.names)}
        self.network = PeerNetwork(seed)
        self.worlds: dict[str, World] = {}
        self.clients: dict[str, PoolClient] = {}
        self.servers: dict[str, PoolServer] = {}
        self.hosts: dict[str, PoolHosts] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a host, or start it again with a new incarnation."""
        world = World(share=0)
        if self.worlds:
            first = self.worlds[self.names[0]]
            world.targets, world.link.targets = first.targets, first.targets
            world.primary, world.replicas = first.primary, first.replicas
            world.primaries = world.context.primaries = first.primaries
        world.view.set_targets(
            Target(t.name, SERVICE, f"{t.name}:1", "z1", SLOTS, False, t.is_primary, 1)
            for t in world.targets.values()
        )
        log = DecisionLog("test")
        link = self.network.link(name)
        server = PoolServer(name, self.runs[name], world.context, link, log)
        hosts = PoolHosts(Fleet(self), world.view, lambda service: 0)
        loads = TargetLoads()
        placement = ZonePlacement(loads, "z1", ZoneCost(), seed=1)
        client = PoolClient(
            name, self.runs[name], hosts, server, loads, placement, link, world.metrics, log
        )
        world.context.shared_pools = client
        world.connections._limit = lambda target: 20 if server.hosts_target(target.name) else 0
        self.worlds[name], self.servers[name], self.clients[name] = world, server, client
        self.hosts[name] = hosts
        self.tasks[name] = asyncio.ensure_future(client.run())

    def kill(self, name: str) -> None:
        """Kill a host: it answers nothing, and its connections are closed."""
        self.network.detach(name)
        self.tasks[name].cancel()
        for pool in self.worlds[name].connections._pools.values():
            for pooled in pool.idle:
                pooled.connection.close()

    def pool_host(self, target: str) -> str:
        """Return the preferred pool host of a target."""
        world = self.worlds[self.names[0]]
        return self.hosts[self.names[0]].of(world.view.targets(SERVICE)[target])[0]

    def other_than(self, *excluded: str) -> World:
        """Return the world of a host that is not among some hosts."""
        return self.worlds[next(name for name in self.names if name not in excluded)]

    def refuse(self, target: str, reason: ReasonRefused) -> None:
        """Let a target refuse its next statement."""
        self.worlds[self.names[0]].targets[target].refuse.append(reason)
