"""One host's copy of the configuration."""

import asyncio
import random

from reactivex import Observable
from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import Refusal
from pistachiowinch.base.hashing import rendezvous_order
from pistachiowinch.base.logs import part_logger
from pistachiowinch.configuration.document import Configuration
from pistachiowinch.configuration.head import decode_head, fence_head
from pistachiowinch.configuration.key_watch import Backoff, KeyWatch
from pistachiowinch.configuration.messages import HeadReply, HeadRequest, PatchAnnounced
from pistachiowinch.configuration.patches import Patch, PatchAccepted, PatchRecord
from pistachiowinch.configuration.records import MalformedRecord
from pistachiowinch.configuration.shares import Adoption
from pistachiowinch.configuration.standing import Standing
from pistachiowinch.configuration.state import SiteState
from pistachiowinch.configuration.submission import AcceptedPatch, PatchSubmitter
from pistachiowinch.configuration.transfer import ConfigurationTransfer
from pistachiowinch.links.peers import PeerLink, PeerUnreachable
from pistachiowinch.links.store import KeyValue, Store, StoreError
from pistachiowinch.peering.interfaces import MembershipView
from pistachiowinch.peering.messages import ReceivedHeartbeat

__all__ = ["ConfigurationReplica"]

# Peers usually deliver a new version within one exchange; the store is read only after this.
PEER_GRACE_S = 0.1
RETRY_S = 0.2
# A submitter reports its outcome within one store call. After this time the members ask
# each other.
MAX_IN_DOUBT_AGE_S = 0.4
# The first host in rendezvous order fences the head at once, each next one this much later.
RESOLUTION_STEP_S = 0.3
CHECK_INTERVAL_S = 0.2
REQUEST_TIMEOUT_S = 0.2
# Limits the load on the store while no peer has the new version.
MAX_STORE_BACKOFF_S = 5.0

_log = part_logger("configuration")


class ConfigurationReplica:
    """Holds the newest version that this host could get, and submits patches."""

    def __init__(
        self,
        state: SiteState,
        standing: Standing,
        adoption: Adoption,
        store: Store,
        peers: PeerLink,
        membership: MembershipView,
        rng: random.Random | None = None,
    ) -> None:
        """Register the message handlers; :meth:`run` does the rest.

        :param adoption: which rosters have expired, as :class:`.roster.RosterReplica` tracks it.
        :param rng: source of the jitter.
        """
        self._state = state
        self._store = store
        self._peers = peers
        self._membership = membership
        self._rng = rng or random.Random()
        self._transfer = ConfigurationTransfer(state, store, peers)
        self._submitter = PatchSubmitter(state, standing, adoption, store, peers)
        self._is_behind = asyncio.Event()
        self._watch = KeyWatch(
            state.identity.host, state.keys.head, store, membership, self._note_head, self._rng
        )
        state.updates.subscribe(lambda _: self._note_update())
        membership.heartbeats.subscribe(self._note_heartbeat)
        peers.on_message(PatchAnnounced, self._note_announcement)
        peers.on_request(HeadRequest, HeadReply, self._answer_head)

    @property
    def current(self) -> Configuration:
        """The held configuration."""
        return self._state.configuration

    @property
    def changes(self) -> Observable[Configuration]:
        """The held configuration now and each later one."""
        return self._state.configurations

    async def submit(self, patch: Patch) -> Result[PatchAccepted, Refusal]:
        """Submit a patch; :meth:`wait_in_force` tells when it is in force.

        :returns: the version that the patch made, the same one for a repeated submission.
        """
        result = await self._submitter.submit(patch)
        if isinstance(result, Failure):
            return result
        accepted = result.unwrap()
        self._transfer.keep_record(accepted.record)
        if accepted.configuration is not None and accepted.chunked is not None:
            self._state.note_head(accepted.record.version, accepted.head_revision)
            self._transfer.adopt(accepted.configuration, accepted.chunked)
            await self._announce(accepted)
        return Success(PatchAccepted(accepted.record.version))

    async def history(self, count: int) -> list[PatchRecord]:
        """Return the newest accepted patches, the newest one last.

        While the store is down, only patches that this host has seen are returned.

        :param count: how many are wanted.
        """
        known = self._transfer.records[-count:]
        if len(known) < min(count, self.current.version):
            try:
                await self._transfer.load_records(count)
            except (StoreError, MalformedRecord) as error:
                _log.info("The history is incomplete: {}.", error)
        return self._transfer.records[-count:]

    def lagging_members(self, version: int) -> tuple[str, ...]:
        """Return the roster's hosts that have not reported a version yet."""
        return tuple(
            member.host
            for member in self._state.roster_record.members
            if self._reported_version(member.host, member.incarnation) < version
        )

    async def wait_in_force(self, version: int, timeout_s: float) -> bool:
        """Wait until every member of the roster reports a version or a later one.

        :param timeout_s: longest wait, seconds.
        :returns: whether the version is in force on all members.
        """
        deadline_s = now_s() + timeout_s
        changed = asyncio.Event()
        subscriptions = (
            self._membership.heartbeats.subscribe(lambda _: changed.set()),
            self._state.updates.subscribe(lambda _: changed.set()),
        )
        try:
            while self.lagging_members(version):
                changed.clear()
                async with asyncio.timeout_at(deadline_s):
                    await changed.wait()
            return self._state.roster_record.epoch > 0
        except TimeoutError:
            return False
        finally:
            for subscription in subscriptions:
                subscription.dispose()

    async def catch_up(self) -> None:
        """Load the newest version from peers, or else from the store.

        :raises StoreError: if the store did not answer.
        :raises MalformedRecord: if a record cannot be decoded.
        """
        await self._load_from_peers()
        if self._state.known_version > self._state.config_version:
            await self._transfer.load_from_store()

    async def run(self) -> None:
        """Keep the copy current and resolve patches in doubt until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch.run())
            tasks.create_task(self._load_at_start())
            tasks.create_task(self._fetch_newer())
            tasks.create_task(self._resolve_in_doubt())

    def _reported_version(self, host: str, incarnation: int) -> int:
        own = self._state.identity
        if (host, incarnation) == (own.host, own.incarnation):
            return self._state.config_version
        received = self._membership.last_heartbeat(host)
        if received is None or received.heartbeat.incarnation != incarnation:
            return 0
        return received.heartbeat.config_version

    async def _load_at_start(self) -> None:
        """Read the store once; while it is down, peers provide the configuration."""
        try:
            await self._transfer.load_from_store()
        except (StoreError, MalformedRecord) as error:
            _log.info("The configuration cannot be read from the store: {}.", error)

    async def _announce(self, accepted: AcceptedPatch) -> None:
        message = PatchAnnounced(accepted.record, accepted.head_revision)
        for member in self._state.roster_record.members:
            if member.host != self._state.identity.host:
                await self._peers.send(member.host, message)

    def _note_announcement(self, host: str, message: PatchAnnounced) -> None:
        self._state.note_head(message.record.version, message.head_revision)
        self._transfer.apply_record(message.record)

    def _note_heartbeat(self, received: ReceivedHeartbeat) -> None:
        if received.heartbeat.config_version > self._state.config_version:
            self._is_behind.set()

    def _note_update(self) -> None:
        if self._state.known_version > self._state.config_version:
            self._is_behind.set()

    async def _note_head(self, found: KeyValue | None, sent_s: float) -> None:
        try:
            head = decode_head(found, sent_s)
        except MalformedRecord as error:
            _log.error("The store's head is malformed: {}.", error)
            return
        self._state.note_head(head.record.version, head.revision)

    async def _answer_head(self, host: str, request: HeadRequest) -> HeadReply:
        return HeadReply(self._state.known_version, self._state.head_revision)

    async def _fetch_newer(self) -> None:
        """Load newer versions as soon as this host learns of them."""
        backoff = Backoff(self._rng, RETRY_S, MAX_STORE_BACKOFF_S)
        while True:
            await self._is_behind.wait()
            self._is_behind.clear()
            await self._load_from_peers()
            if self._state.known_version <= self._state.config_version:
                backoff.reset()
                continue
            # No peer has the known version: its submitter may have crashed. Only the watchers
            # read the store; the other hosts load the version from them.
            await sleep_s(PEER_GRACE_S if self._watch.is_watcher else RETRY_S)
            if self._state.known_version <= self._state.config_version:
                continue
            self._is_behind.set()
            if self._watch.is_watcher:
                await self._load_from_store(backoff)

    async def _load_from_store(self, backoff: Backoff) -> None:
        try:
            await self._transfer.load_from_store()
            backoff.reset()
        except (StoreError, MalformedRecord) as error:
            _log.debug("The new version cannot be read: {}.", error)
            await sleep_s(backoff.next_s())

    async def _load_from_peers(self) -> None:
        for host in self._newer_peers():
            try:
                await self._transfer.load_from_peer(host)
            except PeerUnreachable as error:
                _log.debug("No configuration from {}: {}.", host, error)

    def _newer_peers(self) -> list[str]:
        """Hosts that report a newer version, the newest one first."""
        contacts = self._membership.contacts(1.0) - {self._state.identity.host}
        reported = []
        for host in sorted(contacts):
            received = self._membership.last_heartbeat(host)
            if received and received.heartbeat.config_version > self._state.config_version:
                reported.append((-received.heartbeat.config_version, host))
        return [host for _, host in sorted(reported)]

    async def _resolve_in_doubt(self) -> None:
        backoff = Backoff(self._rng, RETRY_S, MAX_STORE_BACKOFF_S)
        while True:
            await sleep_s(CHECK_INTERVAL_S)
            age_s = self._in_doubt_age_s()
            if age_s < MAX_IN_DOUBT_AGE_S:
                backoff.reset()
                continue
            await self._ask_for_head()
            if self._in_doubt_age_s() < MAX_IN_DOUBT_AGE_S + self._rank() * RESOLUTION_STEP_S:
                continue
            try:
                await self._fence()
            except (StoreError, MalformedRecord) as error:
                _log.warning("A patch's outcome is still unknown: {}.", error)
                await sleep_s(backoff.next_s())

    def _in_doubt_age_s(self) -> float:
        return now_s() - min(
            (patch.since_s for patch in self._state.in_doubt.values()), default=now_s()
        )

    def _rank(self) -> int:
        own = self._state.identity.host
        live = self._membership.contacts(1.0) | {own}
        return rendezvous_order(self._state.keys.head, live).index(own)

    async def _ask_for_head(self) -> None:
        hosts = [member.host for member in self._state.roster_record.members]
        own = self._state.identity.host
        await asyncio.gather(*(self._ask_peer_for_head(host) for host in hosts if host != own))

    async def _ask_peer_for_head(self, host: str) -> None:
        try:
            answer = await self._peers.request(host, HeadRequest(), REQUEST_TIMEOUT_S)
        except PeerUnreachable:
            return
        self._state.note_head(answer.version, answer.head_revision)

    async def _fence(self) -> None:
        in_doubt = self._state.in_doubt.values()
        if in_doubt:
            await fence_head(
                self._store, self._state, max(patch.base_revision for patch in in_doubt)
            )
