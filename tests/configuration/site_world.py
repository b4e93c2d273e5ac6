"""A site of hosts over one in-memory store, with faults, for the tests of this directory.

Uses small fakes of the membership and of the peer network, with loss, delay, duplication,
partitions and pauses. A paused host neither sends nor receives anything, and nobody asks it.
"""

import asyncio
import random
from collections import Counter
from contextlib import asynccontextmanager

import msgspec
from reactivex.subject import Subject

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.configuration.patches import Patch, PatchOperation
from pistachiowinch.configuration.site import SiteReplica
from pistachiowinch.configuration.state import SiteState
from pistachiowinch.links.peers import PeerUnreachable
from pistachiowinch.peering.messages import Heartbeat, ReceivedHeartbeat
from pistachiowinch.standins.memory_store import MemoryStore

HEARTBEAT_S = 0.2


class Network:
    """Carries encoded messages between hosts and loses, doubles and delays them."""

    def __init__(self, seed=0):
        self.rng = random.Random(seed)
        self.loss = self.duplication = 0.0
        self.delay_s = 0.0005
        self.cuts = set()
        self.links = {}
        self.counts = Counter()

    def cut(self, group, others):
        self.cuts |= {pair for a in group for b in others for pair in ((a, b), (b, a))}

    def carry(self, sender, receiver, deliver):
        self.counts["sent"] += 1
        if self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.duplication)):
            delay_s = self.delay_s * self.rng.uniform(0.5, 1.5)
            asyncio.get_running_loop().call_later(delay_s, self._arrive, sender, receiver, deliver)

    def _arrive(self, sender, receiver, deliver):
        link = self.links.get(receiver)
        if link is None or (sender, receiver) in self.cuts:
            return
        link.gate.pass_on(lambda: deliver(link))


class Gate:
    """Holds what passes while a host is paused."""

    def __init__(self):
        self.is_closed = False
        self._held = []

    def pass_on(self, action):
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


class Link:
    """``PeerLink`` of one run of one host."""

    def __init__(self, network, host, gate):
        self.network, self.host, self.gate = network, host, gate
        self.handlers = {}
        network.links[host] = self

    def on_message(self, message_type, handler):
        self.handlers[message_type] = handler

    def on_request(self, message_type, answer_type, handler):
        self.handlers[message_type] = handler

    async def send(self, host, message):
        data = msgspec.msgpack.encode(message)
        kind = type(message)

        def deliver(link):
            if kind in link.handlers:
                link.handlers[kind](self.host, msgspec.msgpack.decode(data, type=kind))

        self.gate.pass_on(lambda: self.network.carry(self.host, host, deliver))

    async def request(self, host, message, timeout_s):
        future = asyncio.get_running_loop().create_future()
        data, kind = msgspec.msgpack.encode(message), type(message)
        answers = []

        def deliver(link):
            if kind in link.handlers:
                decoded = msgspec.msgpack.decode(data, type=kind)
                answers.append(asyncio.create_task(answer(link, decoded)))

        async def answer(link, decoded):
            reply = await link.handlers[kind](self.host, decoded)
            back, reply_kind = msgspec.msgpack.encode(reply), type(reply)

            def resolve(own):
                if own is self and not future.done():
                    future.set_result(msgspec.msgpack.decode(back, type=reply_kind))

            link.gate.pass_on(lambda: link.network.carry(link.host, self.host, resolve))

        self.gate.pass_on(lambda: self.network.carry(self.host, host, deliver))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            await self.gate.wait()
            raise PeerUnreachable(host) from None


class Membership:
    """Heartbeats to every host of the world, dated by echo."""

    def __init__(self, link, state, local, hosts):
        self._link, self._state, self._local, self._hosts = link, state, local, hosts
        self._sequence = link.network.rng.randrange(1 << 40)
        self._sent_s = {}
        self._last = {}
        self._known_since_s = {}
        self._evidence_s = {}
        self._newest_echo = {}
        self._beats = Subject()
        link.on_message(Heartbeat, self._receive)

    @property
    def heartbeats(self):
        return self._beats

    @property
    def suspected_hosts(self):
        return frozenset(
            member.host
            for member in self._state.record.members
            if member.host != self._link.host and now_s() - self._heard_s(member.host) > 1.0
        )

    def _heard_s(self, host):
        known_s = self._known_since_s.setdefault(host, now_s())
        last = self._last.get(host)
        return max(known_s, last.received_s if last else known_s)

    def last_heartbeat(self, host):
        return self._last.get(host)

    def contacts(self, within_s):
        fresh = {host for host, s in self._evidence_s.items() if s > now_s() - within_s}
        return frozenset(fresh | {self._link.host})

    async def run(self):
        while True:
            for host in self._hosts:
                if host != self._link.host:
                    await self._link.send(host, self._heartbeat(host))
            await sleep_s(HEARTBEAT_S)

    def _heartbeat(self, host):
        self._sequence += 1
        epoch, version, age_ms, pending = self._local()
        last = self._last.get(host)
        echo = (last.heartbeat.sequence, last.heartbeat.incarnation) if last else (0, 0)
        own = self._state.identity
        self._sent_s[self._sequence] = (now_s(), own.incarnation)
        suspected = tuple(sorted(self.suspected_hosts))
        return Heartbeat(
            *(own.host, own.incarnation, self._sequence, *echo, epoch, version, age_ms),
            suspected_hosts=suspected,
            config_pending=pending,
        )

    def _receive(self, sender, beat):
        last = self._last.get(sender)
        order = (beat.incarnation, beat.sequence)
        is_old = last and order <= (last.heartbeat.incarnation, last.heartbeat.sequence)
        # A run without incarnation proves by its echo that its heartbeat is not a delayed one.
        is_new_run = beat.incarnation == 0 and beat.echo > self._newest_echo.get(sender, 0)
        if is_old and not is_new_run:
            return
        self._newest_echo[sender] = max(beat.echo, self._newest_echo.get(sender, 0))
        sent = self._sent_s.get(beat.echo)
        is_own = sent is not None and sent[1] == beat.echo_incarnation
        evidence_s = sent[0] if is_own else None
        if evidence_s is not None:
            self._evidence_s[sender] = max(evidence_s, self._evidence_s.get(sender, evidence_s))
        self._last[sender] = ReceivedHeartbeat(beat, now_s(), evidence_s)
        self._beats.on_next(self._last[sender])


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
        self.world, self.name, self.gate = world, name, Gate()
        self.client = world.store.client()
        identity = HostIdentity(name, 0, "z1", f"tcp://{name}:1")
        self.state = SiteState(world.site, identity)
        self.link = Link(world.network, name, self.gate)
        self.membership = Membership(
            self.link, self.state, lambda: self.replica.local_versions, world.names
        )
        self.replica = SiteReplica(
            self.state,
            GatedStore(self.client, self.gate),
            self.link,
            self.membership,
            random.Random(f"{world.seed}/{name}"),
        )
        self.roster, self.configuration = self.replica.roster, self.replica.configuration
        self.standing = self.replica.standing
        self.tasks = [asyncio.create_task(part.run()) for part in (self.membership, self.replica)]

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

    def resume(self):
        self.gate.open()

    async def crash(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.world.network.links.get(self.name) is self.link:
            del self.world.network.links[self.name]
        self.world.hosts.pop(self.name, None)


class World:
    """All hosts of a site, and how to break them."""

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
