"""Reads store prefixes through the voters, which follow the store for the whole fleet.

Each call to the store costs money, so in a large fleet only the voters follow it. Their heartbeats
state the revision of their copy of each prefix, and the other hosts request the changes that they
lack. A host reads the store itself only when the voters' evidence for its copy is too old, and if
the changed keys are too large for the links of a few voters. The evidence is dated with the time at
which a voter asked the store: a heartbeat alone, or one without news, shows nothing.
"""

import asyncio
import contextlib
import math
import random
from collections.abc import Callable, Mapping

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.copy_bounds import CopyBounds
from pistachiowinch.fleet.direct_reads import DirectReads
from pistachiowinch.fleet.following import PrefixFollower, complete_as_of_s
from pistachiowinch.fleet.messages import ChangedKey, ChangesAnswer, ChangesRequest
from pistachiowinch.links.peers import PeerLink, PeerUnreachable
from pistachiowinch.links.store import (
    ChangeBatch,
    HistoryLost,
    KeyValue,
    PollingStore,
    Snapshot,
    StoreError,
    StoreUnavailable,
    WatchEvent,
)
from pistachiowinch.peering.messages import ReceivedHeartbeat

__all__ = ["ChangeServer", "RelayedStore"]

# How long a host waits for a change before it checks again which voters reach the store.
RELAY_WAIT_S = 1.0
# Three prefixes that each use up the budget of a voter's link take 1.5 s. An answer that was lost
# delays a change by this time.
RELAY_TIMEOUT_S = 1.6
# An answer of any size: 1 MB takes 1.6 s on the users' slowest link, and few hosts ask for it.
LAST_RESORT_TIMEOUT_S = 5.0
# Bytes that a voter sends to all its readers for one change: half a second on the users' slowest
# link. Heartbeats share the link, and a later one would let primary leases expire.
RELAY_BUDGET_BYTES = 300_000
# Slower answers are logged; one over an idle link takes a few milliseconds.
SLOW_RELAY_S = 0.5
# Time for which a host that starts waits for the first heartbeat of a voter before it polls the
# store. After a common power loss voters return at the same moment, and send in each 0.2 s.
FIRST_RELAY_WAIT_S = 0.6
# Lower bound of the time for a request that ends when the store itself has to be read.
MIN_RELAY_TIMEOUT_S = 0.1
DEFAULT_BOUNDS = CopyBounds()

_ALL_KEYS = -1


class ChangeServer:
    """Serves this host's copies of store prefixes to other hosts.

    :param followers: copies by prefix.
    :param link: messages to the peers.
    :param reader_count: returns the number of hosts that read from this one.
    """

    def __init__(
        self,
        followers: Mapping[str, PrefixFollower],
        link: PeerLink,
        reader_count: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Register the request handler."""
        self._followers = followers
        self._reader_count = reader_count
        link.on_request(ChangesRequest, ChangesAnswer, self._answer)

    def prefix_revisions(self) -> dict[str, int]:
        """Return the revision of the newest change in each copy, for heartbeats."""
        return {
            prefix: follower.last_change_revision
            for prefix, follower in self._followers.items()
            if follower.is_loaded.is_set()
        }

    def age_ms(self) -> int:
        """Return the age of the oldest copy; negative while any copy cannot reach the store."""
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
        size_bytes = sum(len(key.value or b"") for key in keys)
        is_too_large = size_bytes * self._reader_count() > RELAY_BUDGET_BYTES
        if is_too_large and not request.is_last_resort:
            return ChangesAnswer(is_whole, (), follower.revision, age_ms, is_withheld=True)
        return ChangesAnswer(is_whole, keys, follower.revision, age_ms)


class RelayedStore:
    """A ``links.store.PrefixSource`` that reads from voters, or from the store as a fallback.

    :param store: the store itself.
    :param link: messages to the peers.
    :param is_direct: returns whether this host always reads the store itself.
    :param voter_heartbeats: returns the newest heartbeats of the voters.
    :param log: receives this part's decisions.
    :param bounds: ages of a copy at which the store itself is read.
    """

    def __init__(
        self,
        store: PollingStore,
        link: PeerLink,
        is_direct: Callable[[], bool],
        voter_heartbeats: Callable[[], list[ReceivedHeartbeat]],
        log: DecisionLog,
        bounds: CopyBounds = DEFAULT_BOUNDS,
    ) -> None:
        """Create a source that has not heard from a voter yet."""
        self._store = store
        self._link = link
        self._is_direct = is_direct
        self._voter_heartbeats = voter_heartbeats
        self._log = log
        self._direct_read_age_s = bounds.direct_read_age_s
        self._direct_reads = DirectReads(bounds)
        self._as_of_s: dict[str, float] = {}
        self._last_relay_s = -math.inf
        self._relay_heard = asyncio.Event()
        self._first_relay_until_s: float | None = None
        self._deferred: dict[str, str] = {}
        self._waiters: dict[str, tuple[int, asyncio.Future[None]]] = {}
        self._polls: set[asyncio.Future[None]] = set()

    @property
    def unanswered_s(self) -> float:
        """Loop time at which this host's newest call that the store did not answer was sent."""
        return self._direct_reads.unanswered_s

    def note_answered(self) -> None:
        """Record that the store has answered a call of another part of this host."""
        self._direct_reads.note_answered()

    def on_heartbeat(self, received: ReceivedHeartbeat) -> None:
        """Wake the waiters for changes that a received heartbeat announces."""
        if received.heartbeat.prefix_revisions and received.heartbeat.store_age_ms >= 0:
            self._last_relay_s = now_s()
            self._relay_heard.set()
            self.end_direct_polls()
        for prefix, (after_revision, future) in self._waiters.items():
            revision = received.heartbeat.prefix_revisions.get(prefix, _ALL_KEYS)
            if revision > after_revision and not future.done():
                future.set_result(None)

    def end_direct_polls(self) -> None:
        """End this host's own polls of the store if the voters follow it for this host."""
        if not self._is_direct():
            for poll in self._polls:
                if not poll.done():
                    poll.set_result(None)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys under a prefix."""
        voters = self._reachable_voters(prefix)
        if self._reads_directly(prefix, voters, _ALL_KEYS):
            snapshot = await self._read_all(prefix)
        else:
            snapshot = await self._relay_all(voters, prefix)
        self._note_as_of(prefix, snapshot.as_of_s)
        return snapshot

    async def changes(self, prefix: str, after_revision: int, wait_s: float) -> ChangeBatch:
        """Wait for changes under a prefix."""
        await self._wait_for_first_relay()
        voters = self._reachable_voters(prefix)
        if self._reads_directly(prefix, voters, after_revision):
            # Voters that are heard may announce the next change, so the read need not wait for it.
            batch = await self._poll(prefix, after_revision, 0.0 if voters else wait_s)
        else:
            batch = await self._relay_changes(voters, prefix, after_revision, wait_s)
        self._note_as_of(prefix, batch.as_of_s)
        return batch

    async def _relay_all(self, voters: list[ReceivedHeartbeat], prefix: str) -> Snapshot:
        answer, as_of_s = await self._request_changes(voters, prefix, _ALL_KEYS)
        if answer.is_withheld:
            try:
                return await self._read_all(prefix)
            except StoreError as error:
                self._log_withheld(prefix, error)
            answer, as_of_s = await self._request_changes(voters, prefix, _ALL_KEYS, True)
        items = (KeyValue(key.key, key.value or b"", key.revision) for key in answer.keys)
        return Snapshot(tuple(items), answer.revision, as_of_s)

    async def _relay_changes(
        self, voters: list[ReceivedHeartbeat], prefix: str, after_revision: int, wait_s: float
    ) -> ChangeBatch:
        newer = _with_newer_changes(voters, prefix, after_revision)
        if not newer:
            until_direct_s = self._until_direct_s(prefix, voters, after_revision)
            # Without a wait the caller only asks whether the voters are reachable.
            relay_wait_s = min(RELAY_WAIT_S, until_direct_s) if wait_s > 0.0 else 0.0
            await self._wait_for_change(prefix, after_revision, relay_wait_s)
            voters = self._reachable_voters(prefix)
            newer = _with_newer_changes(voters, prefix, after_revision)
        if not newer:
            return ChangeBatch((), after_revision, _as_of_s(voters, prefix, after_revision))
        answer, as_of_s = await self._request_changes(newer, prefix, after_revision)
        if answer.is_withheld:
            try:
                return await self._poll(prefix, after_revision, 0.0)
            except HistoryLost:
                raise
            except StoreError as error:
                self._log_withheld(prefix, error)
            answer, as_of_s = await self._request_changes(newer, prefix, after_revision, True)
        events = (WatchEvent(key.key, key.value, key.revision) for key in answer.keys)
        return ChangeBatch(tuple(events), answer.revision, as_of_s, answer.is_whole)

    async def _wait_for_first_relay(self) -> None:
        """Give the voters time to be heard, once after the start of this host."""
        if self._is_direct() or self._relay_heard.is_set():
            return
        if self._first_relay_until_s is None:
            self._first_relay_until_s = now_s() + FIRST_RELAY_WAIT_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._first_relay_until_s):
                await self._relay_heard.wait()

    def _reachable_voters(self, prefix: str) -> list[ReceivedHeartbeat]:
        """Return the heartbeats of the voters to read from, which reach the store."""
        if self._is_direct():
            return []
        return [
            received
            for received in self._voter_heartbeats()
            if received.heartbeat.store_age_ms >= 0
            and prefix in received.heartbeat.prefix_revisions
        ]

    def _reads_directly(
        self, prefix: str, voters: list[ReceivedHeartbeat], after_revision: int
    ) -> bool:
        """Return whether to read the store itself now, instead of from a voter.

        :raises StoreUnavailable: if no voter is reachable and such a read is not due yet.
        """
        if self._is_direct():
            return True
        is_silent = not voters and now_s() - self._last_relay_s >= self._direct_read_age_s
        is_needed = is_silent or self._age_s(prefix, voters, after_revision) >= (
            self._direct_read_age_s
        )
        if is_needed and self._direct_reads.is_due:
            self._deferred.pop(prefix, None)
            return True
        if voters:
            return False
        self._log_deferred(prefix, "retry delay" if is_needed else "a voter was just heard")
        raise StoreUnavailable("no host that reaches the store was heard")

    def _age_s(self, prefix: str, voters: list[ReceivedHeartbeat], after_revision: int) -> float:
        """Return the age of the best evidence that this host's copy is complete."""
        read_s = self._as_of_s.get(prefix, -math.inf)
        return now_s() - max(read_s, _as_of_s(voters, prefix, after_revision))

    def _until_direct_s(
        self, prefix: str, voters: list[ReceivedHeartbeat], after_revision: int
    ) -> float:
        """Return the time until the store itself is read unless the voters' evidence improves."""
        until_old_s = self._direct_read_age_s - self._age_s(prefix, voters, after_revision)
        return max(until_old_s, self._direct_reads.next_s - now_s(), MIN_RELAY_TIMEOUT_S)

    def _note_as_of(self, prefix: str, as_of_s: float | None) -> None:
        if as_of_s is not None:
            self._as_of_s[prefix] = max(self._as_of_s.get(prefix, -math.inf), as_of_s)

    def _log_deferred(self, prefix: str, cause: str) -> None:
        """Log once why the store is not read although no voter can be read from."""
        if self._deferred.get(prefix) != cause:
            self._deferred[prefix] = cause
            self._log.write("direct_read_deferred", prefix=prefix, cause=cause)

    async def _read_all(self, prefix: str) -> Snapshot:
        sent_s = now_s()
        snapshot = await self._direct_reads.run(lambda: self._store.read_prefix(prefix))
        return snapshot._replace(as_of_s=sent_s)

    async def _poll(self, prefix: str, after_revision: int, wait_s: float) -> ChangeBatch:
        """Poll the store until it answers or :meth:`end_direct_polls` ends the poll."""
        sent_s = now_s()
        ended = asyncio.get_running_loop().create_future()
        poll = asyncio.ensure_future(
            self._direct_reads.run(lambda: self._store.changes(prefix, after_revision, wait_s))
        )
        if wait_s > 0.0:
            self._polls.add(ended)
        try:
            await asyncio.wait((poll, ended), return_when=asyncio.FIRST_COMPLETED)
            if poll.done():
                batch = poll.result()
                return batch._replace(as_of_s=complete_as_of_s(batch, sent_s, wait_s))
            return ChangeBatch((), after_revision, -math.inf)
        finally:
            self._polls.discard(ended)
            poll.cancel()

    async def _wait_for_change(self, prefix: str, after_revision: int, wait_s: float) -> None:
        future = asyncio.get_running_loop().create_future()
        self._waiters[prefix] = (after_revision, future)
        try:
            async with asyncio.timeout(wait_s):
                await future
        except TimeoutError:
            return
        finally:
            del self._waiters[prefix]

    def _log_withheld(self, prefix: str, error: StoreError) -> None:
        """Log that the store did not answer with keys that a voter withheld."""
        self._log.write("withheld_unread", prefix=prefix, cause=str(error)[:60])

    async def _request_changes(
        self,
        voters: list[ReceivedHeartbeat],
        prefix: str,
        after_revision: int,
        is_last_resort: bool = False,
    ) -> tuple[ChangesAnswer, float]:
        """Request changes from one voter.

        :param is_last_resort: whether an answer of any size is needed.
        :returns: its answer, and the loop time as of which the answer is complete.
        """
        host = random.choice(voters).heartbeat.host
        sent_s = now_s()
        request = ChangesRequest(prefix, after_revision, is_last_resort)
        if is_last_resort:
            timeout_s = LAST_RESORT_TIMEOUT_S
        else:
            timeout_s = min(RELAY_TIMEOUT_S, self._until_direct_s(prefix, voters, after_revision))
        try:
            answer = await self._link.request(host, request, timeout_s)
        except PeerUnreachable as error:
            self._log.write("relay_unanswered", host=host, prefix=prefix, own=after_revision)
            raise StoreUnavailable(str(error)) from error
        if answer.revision < after_revision or answer.revision < 0:
            self._log.write(
                "relay_behind",
                host=host,
                prefix=prefix,
                revision=answer.revision,
                own=after_revision,
            )
            raise StoreUnavailable(f"{host} knows less than this host")
        took_s = now_s() - sent_s
        if answer.is_whole or answer.is_withheld or took_s > SLOW_RELAY_S:
            self._log.write(
                "relayed",
                host=host,
                prefix=prefix,
                is_whole=answer.is_whole,
                is_withheld=answer.is_withheld,
                revision=answer.revision,
                own=after_revision,
                keys=len(answer.keys),
                took_s=round(took_s, 3),
            )
        return answer, sent_s - answer.age_ms / 1000.0


def _with_newer_changes(
    voters: list[ReceivedHeartbeat], prefix: str, after_revision: int
) -> list[ReceivedHeartbeat]:
    return [p for p in voters if p.heartbeat.prefix_revisions[prefix] > after_revision]


def _as_of_s(voters: list[ReceivedHeartbeat], prefix: str, after_revision: int) -> float:
    """Return the loop time as of which a copy with all changes up to a revision is complete."""
    times_s = (
        received.evidence_s - received.heartbeat.store_age_ms / 1000.0
        for received in voters
        if received.evidence_s is not None
        and received.heartbeat.prefix_revisions[prefix] <= after_revision
    )
    return max(times_s, default=-math.inf)
