"""A fleet whose hosts each have their own path to one store, which may fall silent."""

import asyncio

from fleet.store_support import put

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.copy_bounds import CopyBounds
from pistachiowinch.fleet.following import PrefixFollower
from pistachiowinch.fleet.relaying import DEFAULT_BOUNDS, ChangeServer, RelayedStore
from pistachiowinch.links.store import ChangeBatch, Snapshot, StoreReplyLost
from pistachiowinch.peering.messages import Heartbeat, ReceivedHeartbeat
from pistachiowinch.standins.memory_store import MemoryStore
from pistachiowinch.standins.peer_network import PeerNetwork

PREFIXES = ("fleet/", "op/", "servers/")
CONFIGURATION_KEY = "op/config"
# Time-out of a call, as in the program's own client of the store.
CALL_TIMEOUT_S = 1.0
POLL_SLACK_S = 0.5
VOTERS = 3
READER = "reader"
HEARTBEAT_INTERVAL_S = 0.4
# Voters that were not heard for this time are not read from.
MAX_VOTER_SILENCE_S = 1.0


class SilentStore:
    """A host's client of the store, which gets no answers while its path is silent.

    :ivar silent_until_s: loop time at which the path carries answers again.
    """

    def __init__(self, store: MemoryStore) -> None:
        """Create a client whose path works."""
        self._client = store.client()
        self.silent_until_s = float("-inf")
        self.calls = 0
        self._silenced = asyncio.Event()

    @property
    def is_silent(self) -> bool:
        """Whether calls get no answer."""
        return now_s() < self.silent_until_s

    def silence(self, for_s: float) -> None:
        """Lose the answers to all calls in progress, and to those of the next seconds."""
        self.silent_until_s = max(self.silent_until_s, now_s() + for_s)
        self._silenced.set()
        self._silenced = asyncio.Event()

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys under a prefix."""
        return await self._call(self._client.read_prefix(prefix), CALL_TIMEOUT_S)

    async def changes(self, prefix: str, after_revision: int, wait_s: float) -> ChangeBatch:
        """Wait for changes under a prefix."""
        call = self._client.changes(prefix, after_revision, wait_s)
        return await self._call(call, wait_s + POLL_SLACK_S)

    async def _call(self, coroutine, timeout_s: float):
        self.calls += 1
        sent_s = now_s()
        if self.is_silent:
            coroutine.close()
        else:
            call = asyncio.ensure_future(coroutine)
            silenced = asyncio.ensure_future(self._silenced.wait())
            try:
                await asyncio.wait((call, silenced), return_when=asyncio.FIRST_COMPLETED)
                if not silenced.done():
                    return call.result()
            finally:
                call.cancel()
                silenced.cancel()
        await asyncio.sleep(max(sent_s + timeout_s - now_s(), 0.0))
        raise StoreReplyLost("no answer in time")


class Host:
    """Copies of all prefixes on one host, which serves them to others if it votes."""

    def __init__(self, fleet: "SilentFleet", name: str, votes: bool) -> None:
        """Start following the store."""
        self.name = name
        self.votes = votes
        self.store = SilentStore(fleet.store)
        link = fleet.network.link(name)
        self.heartbeats: dict[str, ReceivedHeartbeat] = {}
        self.relay = RelayedStore(
            self.store,
            link,
            lambda: votes,
            self._voter_heartbeats,
            DecisionLog("test"),
            fleet.bounds,
        )
        self.followers = {
            prefix: PrefixFollower(
                self.relay,
                prefix,
                lambda *_: None,
                DecisionLog("test"),
                poll_wait_s=lambda: fleet.bounds.poll_wait_s,
            )
            for prefix in PREFIXES
        }
        self.server = ChangeServer(self.followers if votes else {}, link)

    def _voter_heartbeats(self) -> list[ReceivedHeartbeat]:
        oldest_s = now_s() - MAX_VOTER_SILENCE_S
        return [h for h in self.heartbeats.values() if h.received_s >= oldest_s]

    @property
    def version(self) -> int:
        """Version of the configuration in this host's copy; 0 before the first."""
        item = self.followers["op/"].items.get(CONFIGURATION_KEY)
        return 0 if item is None else int(item.value)


class SilentFleet:
    """Voters that follow the store, and a host that reads through them.

    :param votes: whether the host that is tested votes itself, as in a small fleet.
    :param bounds: times of the site.
    """

    def __init__(self, votes: bool = False, bounds: CopyBounds = DEFAULT_BOUNDS) -> None:
        """Start all hosts."""
        self.bounds = bounds
        self.store = MemoryStore()
        self.network = PeerNetwork(1)
        self.version = 0
        self.voters = [Host(self, f"voter{number}", True) for number in range(VOTERS)]
        self.reader = Host(self, READER, votes)
        self._tasks = [asyncio.ensure_future(self._exchange_heartbeats())]
        for host in (*self.voters, self.reader):
            self._tasks += [asyncio.ensure_future(f.run()) for f in host.followers.values()]

    def configure(self) -> None:
        """Put the next version in force; the store confirms it at once."""
        self.version += 1
        put(self.store, CONFIGURATION_KEY, str(self.version).encode())

    def cut_requests(self) -> None:
        """Lose the reader's messages to the voters; their heartbeats still arrive."""
        for voter in self.voters:
            self.network.cut(READER, voter.name, is_one_way=True)

    async def _exchange_heartbeats(self) -> None:
        echoed_s = now_s()
        while True:
            sent_s = now_s()
            for voter in self.voters:
                if (voter.name, READER) in self.network._cuts:
                    continue
                if (READER, voter.name) not in self.network._cuts:
                    echoed_s = sent_s
                state = Heartbeat(
                    voter.name,
                    1,
                    1,
                    1,
                    1,
                    0,
                    0,
                    voter.server.age_ms(),
                    prefix_revisions=voter.server.prefix_revisions(),
                )
                received = ReceivedHeartbeat(state, now_s(), echoed_s)
                self.reader.heartbeats[voter.name] = received
                self.reader.relay.on_heartbeat(received)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def close(self) -> None:
        """End all tasks."""
        for task in self._tasks:
            task.cancel()
