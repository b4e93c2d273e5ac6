"""Reads prefixes of the store through the hosts that follow it for the whole fleet.

Load pattern: many hosts and a store that is paid by the call. The council follows the store and
states in its heartbeats up to which revision it knows each prefix; the other hosts ask it for what
they lack. They read the store themselves only while they hear no host of the council that reaches
it.
"""

import asyncio
import math
import random
from collections.abc import Callable, Mapping

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.following import PrefixFollower
from pistachiowinch.fleet.messages import ChangedKey, ChangesAnswer, ChangesRequest
from pistachiowinch.links.peers import PeerLink, PeerUnreachable
from pistachiowinch.links.store import (
    ChangeBatch,
    HistoryLost,
    KeyValue,
    PollingStore,
    Snapshot,
    StoreUnavailable,
    WatchEvent,
)
from pistachiowinch.peering.messages import ReceivedHeartbeat

__all__ = ["ChangeServer", "RelayedStore"]

# How long a host waits for news before it looks whether the council still reaches the store.
RELAY_LOOK_S = 1.0
# A configuration of a megabyte takes 1.6 s on the slowest link of the users, 5 Mbit/s.
RELAY_TIMEOUT_S = 2.5
# The store is usually away for everybody; a host that looks for itself only adds calls.
RELAY_PATIENCE_S = 4.0
# Pause between own attempts that fail after that, from half to one and a half times as long.
DIRECT_PAUSE_S = 3.0

_ALL_KEYS = -1


class ChangeServer:
    """Answers other hosts from this host's copies.

    :param followers: copies by prefix.
    :param link: messages to the peers.
    """

    def __init__(self, followers: Mapping[str, PrefixFollower], link: PeerLink) -> None:
        """Start to answer."""
        self._followers = followers
        link.on_request(ChangesRequest, ChangesAnswer, self._answer)

    def prefix_revisions(self) -> dict[str, int]:
        """Return the newest change of each copy, for heartbeats."""
        return {
            prefix: follower.last_change_revision
            for prefix, follower in self._followers.items()
            if follower.is_loaded.is_set()
        }

    def age_ms(self) -> int:
        """Return the age of the oldest copy; negative while one does not reach the store."""
        followers = self._followers.values()
        if any(follower.is_broken for follower in followers):
            return -1
        return max(int((now_s() - min(f.as_of_s for f in followers)) * 1000), 0)

    async def _answer(self, sender: str, request: ChangesRequest) -> ChangesAnswer:
        follower = self._followers.get(request.prefix)
        if follower is None or not follower.is_loaded.is_set():
            return ChangesAnswer(False, (), -1, 0)
        age_ms = max(int((now_s() - follower.as_of_s) * 1000), 0)
        events = follower.changes_after(request.after_revision)
        is_whole = events is None
        if events is None:
            events = (WatchEvent(i.key, i.value, i.mod_revision) for i in follower.items.values())
        keys = tuple(ChangedKey(*event) for event in events)
        return ChangesAnswer(is_whole, keys, follower.revision, age_ms)


class RelayedStore:
    """A ``links.store.PrefixSource`` that asks the council, and the store if need be.

    :param store: the store itself.
    :param link: messages to the peers.
    :param is_direct: whether this host has to read the store itself.
    :param heard: returns the newest heartbeats of the council's hosts.
    :param log: decisions of this part.
    """

    def __init__(
        self,
        store: PollingStore,
        link: PeerLink,
        is_direct: Callable[[], bool],
        heard: Callable[[], list[ReceivedHeartbeat]],
        log: DecisionLog,
    ) -> None:
        """Create a source that has relayed nothing yet."""
        self._store = store
        self._link = link
        self._is_direct = is_direct
        self._heard = heard
        self._log = log
        self._relayed_s = -math.inf
        self._next_direct_s: dict[str, float] = {}
        self._news: dict[str, tuple[int, asyncio.Future[None]]] = {}
        self._polls: set[asyncio.Future[None]] = set()

    def on_heartbeat(self, received: ReceivedHeartbeat) -> None:
        """Wake who waits for what a heartbeat says is there."""
        if received.heartbeat.prefix_revisions and received.heartbeat.store_age_ms >= 0:
            self._relayed_s = now_s()
            self.end_direct_polls()
        for prefix, (after_revision, future) in self._news.items():
            revision = received.heartbeat.prefix_revisions.get(prefix, _ALL_KEYS)
            if revision > after_revision and not future.done():
                future.set_result(None)

    def end_direct_polls(self) -> None:
        """End polls of the store that others make for this host from now on."""
        if not self._is_direct():
            for poll in self._polls:
                if not poll.done():
                    poll.set_result(None)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys under a prefix."""
        partners = self._partners(prefix)
        if not partners:
            snapshot = await self._store.read_prefix(prefix)
            self._next_direct_s.pop(prefix, None)
            return snapshot
        answer, proved_s = await self._ask(partners, prefix, _ALL_KEYS)
        items = (KeyValue(key.key, key.value or b"", key.revision) for key in answer.keys)
        return Snapshot(tuple(items), answer.revision, proved_s)

    async def changes(self, prefix: str, after_revision: int, wait_s: float) -> ChangeBatch:
        """Wait for changes under a prefix."""
        partners = self._partners(prefix)
        if not partners:
            return await self._poll(prefix, after_revision, wait_s)
        ahead = _ahead(partners, prefix, after_revision)
        if not ahead:
            await self._wait_for_news(prefix, after_revision, min(wait_s, RELAY_LOOK_S))
            partners = self._partners(prefix)
            ahead = _ahead(partners, prefix, after_revision)
        if not ahead:
            return ChangeBatch((), after_revision, _proved_s(partners, prefix, after_revision))
        answer, proved_s = await self._ask(ahead, prefix, after_revision)
        if answer.is_whole:
            raise HistoryLost("the asked host does not tell these changes apart")
        events = (WatchEvent(key.key, key.value, key.revision) for key in answer.keys)
        return ChangeBatch(tuple(events), answer.revision, proved_s)

    def _partners(self, prefix: str) -> list[ReceivedHeartbeat]:
        """Return hosts to ask, or none if the store itself is to be read.

        :raises StoreUnavailable: if neither should be asked now.
        """
        if self._is_direct():
            return []
        reaching = [
            received
            for received in self._heard()
            if received.heartbeat.store_age_ms >= 0
            and prefix in received.heartbeat.prefix_revisions
        ]
        if reaching:
            return reaching
        is_early = now_s() - self._relayed_s < RELAY_PATIENCE_S
        if is_early or now_s() < self._next_direct_s.get(prefix, -math.inf):
            raise StoreUnavailable("no host that reaches the store was heard")
        self._next_direct_s[prefix] = now_s() + DIRECT_PAUSE_S * random.uniform(0.5, 1.5)
        return []

    async def _poll(self, prefix: str, after_revision: int, wait_s: float) -> ChangeBatch:
        """Poll the store until it answers or the poll is given up."""
        given_up = asyncio.get_running_loop().create_future()
        poll = asyncio.ensure_future(self._store.changes(prefix, after_revision, wait_s))
        self._polls.add(given_up)
        try:
            await asyncio.wait((poll, given_up), return_when=asyncio.FIRST_COMPLETED)
            if poll.done():
                batch = poll.result()
                self._next_direct_s.pop(prefix, None)
                return batch
            return ChangeBatch((), after_revision, -math.inf)
        finally:
            self._polls.discard(given_up)
            poll.cancel()

    async def _wait_for_news(self, prefix: str, after_revision: int, wait_s: float) -> None:
        future = asyncio.get_running_loop().create_future()
        self._news[prefix] = (after_revision, future)
        try:
            async with asyncio.timeout(wait_s):
                await future
        except TimeoutError:
            return
        finally:
            del self._news[prefix]

    async def _ask(
        self, partners: list[ReceivedHeartbeat], prefix: str, after_revision: int
    ) -> tuple[ChangesAnswer, float]:
        """Ask one host; returns its answer and the loop time at which that was complete."""
        host = random.choice(partners).heartbeat.host
        sent_s = now_s()
        request = ChangesRequest(prefix, after_revision)
        try:
            answer = await self._link.request(host, request, RELAY_TIMEOUT_S)
        except PeerUnreachable as error:
            self._log.write("relay_unanswered", host=host, prefix=prefix)
            raise StoreUnavailable(str(error)) from error
        if answer.revision < after_revision or answer.revision < 0:
            raise StoreUnavailable(f"{host} knows less than this host")
        return answer, sent_s - answer.age_ms / 1000.0


def _ahead(
    partners: list[ReceivedHeartbeat], prefix: str, after_revision: int
) -> list[ReceivedHeartbeat]:
    return [p for p in partners if p.heartbeat.prefix_revisions[prefix] > after_revision]


def _proved_s(partners: list[ReceivedHeartbeat], prefix: str, after_revision: int) -> float:
    """Return when a copy that has all changes up to a revision was last known to be complete."""
    dates_s = (
        received.evidence_s - received.heartbeat.store_age_ms / 1000.0
        for received in partners
        if received.evidence_s is not None
        and received.heartbeat.prefix_revisions[prefix] <= after_revision
    )
    return max(dates_s, default=-math.inf)
