"""In-memory network between hosts with fault injection, for tests with a simulated clock.

Each host gets a ``links.peers.PeerLink``. Messages are encoded and decoded as on a real link.
Each directed pair of hosts has its own random generator, derived from one seed, so that the traffic
of one pair does not change the faults of another pair.
"""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.peering.endpoint import PeerEndpoint

__all__ = ["MemoryPeerLink", "NetworkFaults", "PeerNetwork"]

# One-way delay between availability zones in both deployments.
DEFAULT_ONE_WAY_DELAY_S = 0.0005


class NetworkFaults(NamedTuple):
    """Random faults; all but the extra delay are probabilities for each message.

    :param loss: the message is dropped.
    :param duplication: the message arrives a second time, up to ``extra_delay_s`` later.
    :param delay: the message and those after it are delayed by up to ``extra_delay_s``.
    :param reordering: only the message is delayed by up to ``extra_delay_s``, so later ones may
        arrive first.
    :param extra_delay_s: upper bound of the extra delay, which is distributed uniformly.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay: float = 0.0
    reordering: float = 0.0
    extra_delay_s: float = 0.0


NO_FAULTS = NetworkFaults()


class MemoryPeerLink(PeerEndpoint):
    """One host's link in a :class:`PeerNetwork`; create it with :meth:`PeerNetwork.link`."""

    def __init__(self, network: "PeerNetwork", host: str, metrics: Metrics | None) -> None:
        """Attach to a network."""
        super().__init__(host, metrics)
        self._network = network
        self.addresses: dict[str, str] = {}
        self.reconnected_hosts: list[str] = []

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Record the peers' addresses; the network delivers by host name."""
        self.addresses = dict(addresses)

    def reconnect(self, host: str) -> None:
        """Record that a new connection to a peer was requested."""
        self.reconnected_hosts.append(host)

    def _transmit(self, host: str, data: bytes) -> None:
        self._network.transmit(self, host, data)

    async def _wait_for_answer(self, future: asyncio.Future, timeout_s: float):
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(future)
        except TimeoutError:
            if not self._network.is_paused(self.host):
                raise
        # A resumed process reads messages that arrived during the pause before its timers fire.
        await self._network.wait_for_resume(self.host)
        if future.done():
            return future.result()
        raise TimeoutError


class PeerNetwork:
    """The network of one site.

    :param seed: seed of the random faults.
    :param one_way_delay_s: delay between two hosts unless set otherwise.
    """

    def __init__(self, seed: int = 0, one_way_delay_s: float = DEFAULT_ONE_WAY_DELAY_S) -> None:
        """Create a network without hosts or faults."""
        self._seed = seed
        self._default_delay_s = one_way_delay_s
        self._delays_s: dict[tuple[str, str], float] = {}
        self._default_faults = NO_FAULTS
        self._faults: dict[tuple[str, str], NetworkFaults] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._links: dict[str, MemoryPeerLink] = {}
        self._held_messages: dict[str, list[tuple[str, str, bytes]]] = {}
        self._resume_events: dict[str, asyncio.Event] = {}
        self._rngs: dict[tuple[str, str], random.Random] = {}
        self._last_due_s: dict[tuple[str, str], float] = defaultdict(float)
        self._link_rates: dict[str, float] = {}
        self._link_free_s: dict[str, float] = {}
        self.messages_sent: Counter[str] = Counter()
        self.bytes_sent: Counter[str] = Counter()
        self.messages_received: Counter[str] = Counter()
        self.bytes_received: Counter[str] = Counter()
        self.messages_lost: Counter[str] = Counter()

    @property
    def hosts(self) -> tuple[str, ...]:
        """Attached hosts."""
        return tuple(self._links)

    def link(self, host: str, metrics: Metrics | None = None) -> MemoryPeerLink:
        """Attach a host; an earlier link of the same name is closed, as by a restart.

        :param host: the host's name.
        :param metrics: metrics of the host; a private set by default.
        """
        self.detach(host)
        link = MemoryPeerLink(self, host, metrics)
        self._links[host] = link
        return link

    def detach(self, host: str) -> None:
        """Remove a host, as if its process had ended; messages to it are lost."""
        link = self._links.pop(host, None)
        self._held_messages.pop(host, None)
        resumed = self._resume_events.pop(host, None)
        if resumed is not None:
            resumed.set()
        if link is not None:
            link.close()

    def set_faults(
        self, faults: NetworkFaults, sender: str | None = None, receiver: str | None = None
    ) -> None:
        """Set random faults from now on.

        :param faults: the probabilities.
        :param sender: with ``receiver``: only for this direction; otherwise for all pairs.
        """
        if sender is None or receiver is None:
            self._default_faults = faults
            self._faults.clear()
        else:
            self._faults[sender, receiver] = faults

    def set_one_way_delay(
        self, delay_s: float, sender: str | None = None, receiver: str | None = None
    ) -> None:
        """Set the delay from now on.

        :param delay_s: one-way delay.
        :param sender: with ``receiver``: only for this direction; otherwise for all pairs.
        """
        if sender is None or receiver is None:
            self._default_delay_s = delay_s
            self._delays_s.clear()
        else:
            self._delays_s[sender, receiver] = delay_s

    def cut(self, one: str, other: str, is_one_way: bool = False) -> None:
        """Lose every message from ``one`` to ``other``, and back unless one-way."""
        self._cuts.add((one, other))
        if not is_one_way:
            self._cuts.add((other, one))

    def heal(self, one: str, other: str) -> None:
        """Undo :meth:`cut` between two hosts in both directions."""
        self._cuts -= {(one, other), (other, one)}

    def isolate(self, hosts: Iterable[str]) -> None:
        """Lose all messages between a group of hosts and all others."""
        group = set(hosts)
        for one in group:
            for other in set(self._links) - group:
                self.cut(one, other)

    def heal_all(self) -> None:
        """Undo all cuts."""
        self._cuts.clear()

    def pause(self, host: str) -> None:
        """Pause a host: its messages in both directions are held until :meth:`resume`.

        The host's own tasks keep running, because all hosts share one event loop. The messages
        that they send are held, and their requests time out only after the pause.
        """
        if host not in self._links:
            raise LookupError(f"unknown host {host}")
        if host not in self._held_messages:
            self._held_messages[host] = []
            self._resume_events[host] = asyncio.Event()

    def resume(self, host: str) -> None:
        """End a pause and pass on the held messages in their order."""
        held = self._held_messages.pop(host, [])
        for sender, receiver, data in held:
            if receiver == host:
                self._deliver(sender, receiver, data)
            else:
                self._schedule(sender, receiver, data)
        resumed = self._resume_events.pop(host, None)
        if resumed is not None:
            resumed.set()

    def is_paused(self, host: str) -> bool:
        """Tell whether a host is paused."""
        return host in self._held_messages

    async def wait_for_resume(self, host: str) -> None:
        """Wait until a host is not paused."""
        resumed = self._resume_events.get(host)
        if resumed is not None:
            await resumed.wait()

    def set_link_rate(self, host: str, bytes_per_s: float) -> None:
        """Limit how fast a host's messages leave it."""
        self._link_rates[host] = bytes_per_s

    def transmit(self, link: MemoryPeerLink, receiver: str, data: bytes) -> None:
        """Send one encoded message; called by the sender's link."""
        sender = link.host
        if self._links.get(sender) is not link:
            return
        self.messages_sent[sender] += 1
        self.bytes_sent[sender] += len(data)
        if sender in self._held_messages:
            self._held_messages[sender].append((sender, receiver, data))
        else:
            self._schedule(sender, receiver, data)

    def _schedule(self, sender: str, receiver: str, data: bytes) -> None:
        pair = (sender, receiver)
        faults = self._faults.get(pair, self._default_faults)
        rng = self._rng_for(pair)
        if pair in self._cuts or rng.random() < faults.loss:
            self.messages_lost[receiver] += 1
            return
        due_s = self._sent_s(sender, data) + self._delays_s.get(pair, self._default_delay_s)
        if rng.random() < faults.delay:
            due_s += rng.uniform(0.0, faults.extra_delay_s)
        if rng.random() < faults.reordering:
            self._deliver_at(due_s + rng.uniform(0.0, faults.extra_delay_s), pair, data)
        else:
            due_s = max(due_s, self._last_due_s[pair])
            self._last_due_s[pair] = due_s
            self._deliver_at(due_s, pair, data)
        if rng.random() < faults.duplication:
            self._deliver_at(due_s + rng.uniform(0.0, faults.extra_delay_s), pair, data)

    def _sent_s(self, sender: str, data: bytes) -> float:
        """Return when a message has left its sender, whose messages leave one after the other."""
        rate = self._link_rates.get(sender)
        if rate is None:
            return now_s()
        start_s = max(now_s(), self._link_free_s.get(sender, 0.0))
        self._link_free_s[sender] = start_s + len(data) / rate
        return self._link_free_s[sender]

    def _deliver_at(self, due_s: float, pair: tuple[str, str], data: bytes) -> None:
        asyncio.get_running_loop().call_at(due_s, self._deliver, *pair, data)

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        link = self._links.get(receiver)
        if link is None or (sender, receiver) in self._cuts:
            self.messages_lost[receiver] += 1
            return
        if receiver in self._held_messages:
            self._held_messages[receiver].append((sender, receiver, data))
            return
        self.messages_received[receiver] += 1
        self.bytes_received[receiver] += len(data)
        link.receive(data)

    def _rng_for(self, pair: tuple[str, str]) -> random.Random:
        if pair not in self._rngs:
            self._rngs[pair] = random.Random(f"{self._seed}/{pair[0]}/{pair[1]}")
        return self._rngs[pair]
