"""The numbered list of the site's hosts: joining, leaving and removing silent members."""

import asyncio
import random
from collections.abc import Callable

from reactivex import Observable
from reactivex.subject import BehaviorSubject

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.hashing import rendezvous_order
from pistachiowinch.base.identity import NO_INCARNATION, HostIdentity
from pistachiowinch.base.logs import part_logger
from pistachiowinch.configuration.head import read_head
from pistachiowinch.configuration.key_watch import Backoff, KeyWatch
from pistachiowinch.configuration.messages import RosterAnnounced, RosterRequest
from pistachiowinch.configuration.records import (
    NO_ROSTER,
    MalformedRecord,
    Roster,
    RosterRecord,
    decode_record,
    encode_record,
)
from pistachiowinch.configuration.shares import Adoption, share_of
from pistachiowinch.configuration.standing import Standing
from pistachiowinch.configuration.state import SiteState
from pistachiowinch.links.peers import PeerLink, PeerUnreachable
from pistachiowinch.links.store import (
    Compare,
    KeyValue,
    Put,
    Store,
    StoreError,
    StoreReplyLost,
    StoreUnavailable,
)
from pistachiowinch.peering.interfaces import MembershipView
from pistachiowinch.peering.messages import Heartbeat, ReceivedHeartbeat

__all__ = ["Roster", "RosterReplica"]

CHECK_INTERVAL_S = 0.2
# A vote for the removal of a member counts while its sender's heartbeat is younger than this.
MAX_VOTE_AGE_S = 1.0
# The first host in rendezvous order removes a member at once, each next one this much later.
REMOVAL_STEP_S = 0.3
REQUEST_TIMEOUT_S = 0.3
MAX_ATTEMPTS = 8
# Each change adds a predecessor until a majority has adopted it. Changes beyond this limit wait for
# adoption, so that the record stays bounded.
MAX_PREDECESSORS = 32
# Keeps a removed host that returns from being added and removed again at every check.
FIRST_JOIN_BACKOFF_S = 0.5
MAX_JOIN_BACKOFF_S = 5.0

_log = part_logger("roster")

Members = tuple[HostIdentity, ...]


class RosterReplica:
    """One host's copy of the roster, and its own membership."""

    def __init__(
        self,
        state: SiteState,
        standing: Standing,
        store: Store,
        peers: PeerLink,
        membership: MembershipView,
        rng: random.Random | None = None,
    ) -> None:
        """Register the message handlers; :meth:`run` does the rest.

        :param rng: source of the jitter.
        """
        self._state = state
        self._standing = standing
        self._store = store
        self._peers = peers
        self._membership = membership
        self._rng = rng or random.Random()
        self.adoption = Adoption(state)
        self._changes: BehaviorSubject[Roster] = BehaviorSubject(self.current)
        self._wants_membership = False
        self._was_member = False
        self._silent_since_s: dict[HostIdentity, float] = {}
        self._newer_host: str | None = None
        self._is_behind = asyncio.Event()
        self._announced_active: tuple[int, int] = (0, 0)
        self._watch = KeyWatch(
            state.identity.host, state.keys.roster, store, membership, self._adopt_found, self._rng
        )
        membership.heartbeats.subscribe(self._note_heartbeat)
        peers.on_request(RosterRequest, RosterAnnounced, self._answer_request)
        peers.on_message(RosterAnnounced, self._note_announcement)

    @property
    def identity(self) -> HostIdentity:
        """This host; its incarnation is 0 until it has taken one from the store."""
        return self._state.identity

    @property
    def current(self) -> Roster:
        """The newest roster that this host holds."""
        return self._state.roster_record.roster

    @property
    def active(self) -> Roster:
        """The oldest roster that limits shares; the current one after its activation."""
        return next(iter(self.adoption.unexpired_predecessors), self.current)

    @property
    def changes(self) -> Observable[Roster]:
        """The current roster now, after each change and after its activation."""
        return self._changes

    @property
    def heartbeat_peers(self) -> tuple[HostIdentity, ...]:
        """Hosts that heartbeats must reach: members of the current and of all unexpired rosters."""
        found = {member.host: member for member in self.current.members}
        for roster in self.adoption.unexpired_predecessors:
            for member in roster.members:
                if member not in self._state.roster_record.left:
                    found.setdefault(member.host, member)
        return tuple(found.values())

    @property
    def is_member(self) -> bool:
        """Whether the current roster lists this incarnation of this host."""
        return self.identity in self.current.members

    @property
    def share(self) -> float:
        """The part of each rate that this host may generate now."""
        return self._share if self._standing.has_standing() else 0.0

    @property
    def share_expires_s(self) -> float:
        """Loop time until which tokens may be generated; also bounds generation after a pause."""
        return self._standing.expires_s

    @property
    def _share(self) -> float:
        if not self._wants_membership or self.identity.incarnation == NO_INCARNATION:
            return 0.0
        return share_of(self.identity, (*self.adoption.unexpired_predecessors, self.current))

    async def join(self) -> None:
        """Take an incarnation if there is none and add this host to the roster.

        :raises StoreError: if the store did not answer; :meth:`run` tries again.
        """
        self._wants_membership = True
        if self.identity.incarnation == NO_INCARNATION:
            incarnation = await self._take_incarnation()
            self._state.take_incarnation(incarnation)
            _log.info("Host {} has incarnation {}.", self.identity.host, incarnation)
        await self._change(self._with_self)

    async def leave(self) -> None:
        """Generate no more tokens and remove this host from the roster.

        :raises StoreError: if the store did not answer; the other hosts then remove this one.
        """
        self._wants_membership = False
        # The others count this host as having left all earlier rosters, so it must not confirm
        # one of them after the change.
        self._state.stop_confirming()
        self._publish()
        await self._change(
            lambda members: tuple(member for member in members if member != self.identity),
            left=(self.identity,),
        )

    async def force_remove(self, hosts: frozenset[str]) -> None:
        """Remove members without a majority's agreement, on an operator's order.

        Earlier rosters expire at once. The operator asserts that the removed hosts have stopped;
        if one still runs, the sum of the shares may exceed 1.

        :param hosts: names of the hosts that have stopped.
        :raises StoreError: if the store did not answer.
        """
        _log.warning(
            "An operator removes {} from the roster without a majority.", ", ".join(sorted(hosts))
        )
        await self._change(
            lambda members: tuple(member for member in members if member.host not in hosts),
            is_forced=True,
        )

    async def read(self) -> tuple[int, float]:
        """Read the roster from the store.

        :returns: its epoch and the loop time at which the read was sent.
        :raises StoreError: if the store did not answer.
        """
        sent_s = now_s()
        record, _ = await self._read_record()
        return record.epoch, sent_s

    async def run(self) -> None:
        """Join, keep the copy current and remove silent members until cancelled."""
        self._wants_membership = True
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch.run())
            tasks.create_task(self._keep_membership())
            tasks.create_task(self._fetch_newer_roster())
            tasks.create_task(self._remove_silent())

    async def _keep_membership(self) -> None:
        backoff = Backoff(self._rng, FIRST_JOIN_BACKOFF_S, MAX_JOIN_BACKOFF_S)
        while True:
            if self._may_join():
                try:
                    await self.join()
                except (StoreError, MalformedRecord) as error:
                    _log.debug("Host {} cannot join: {}.", self.identity.host, error)
                await sleep_s(backoff.next_s())
            else:
                if self.is_member and self._standing.has_majority():
                    backoff.reset()
                await sleep_s(CHECK_INTERVAL_S)

    def _may_join(self) -> bool:
        if not self._wants_membership or self.is_member:
            return False
        other = self.current.find(self.identity.host)
        if other is not None and other.incarnation > self.identity.incarnation != NO_INCARNATION:
            # A later process with this host's name is a member already.
            return False
        # After a removal, the others must hear this host before it joins, or they remove it again.
        return not self._was_member or self._standing.has_majority()

    async def _take_incarnation(self) -> int:
        """Increment the counter in the store; numbers lost with a reply are never reused."""
        key = self._state.keys.incarnation
        for _ in range(MAX_ATTEMPTS):
            found = await self._store.get(key)
            number = int(found.value) + 1 if found else 1
            compare = Compare(key, found.mod_revision if found else 0)
            try:
                reply = await self._store.transact([compare], [Put(key, str(number).encode())])
            except StoreReplyLost:
                continue
            if reply.succeeded:
                return number
        raise StoreUnavailable("too many hosts take incarnations")

    def _with_self(self, members: Members) -> Members:
        if not self._wants_membership or self.identity in members:
            return members
        known = next((member for member in members if member.host == self.identity.host), None)
        if known is not None and known.incarnation > self.identity.incarnation:
            return members
        others = tuple(member for member in members if member.host != self.identity.host)
        return tuple(sorted((*others, self.identity)))

    async def _change(
        self,
        change: Callable[[Members], Members],
        is_forced: bool = False,
        left: Members = (),
    ) -> None:
        """Apply a change by compare-and-swap, repeated until it holds.

        A lost reply needs no special handling: the next read shows whether the change holds.
        """
        is_head_known = self._state.head_revision > 0
        for _ in range(MAX_ATTEMPTS):
            record, revision = await self._read_record()
            members = change(record.members)
            if members == record.members:
                return
            if not is_head_known:
                await read_head(self._store, self._state)
            changed = self._next_record(record, members, is_forced, left)
            try:
                is_applied = await self._compare_and_swap(changed, revision)
            except StoreReplyLost:
                continue
            if is_applied:
                return
            # The head may have changed instead; the next attempt compares its newest revision.
            is_head_known = False
        raise StoreUnavailable("too many hosts change the roster")

    def _next_record(
        self, record: RosterRecord, members: Members, is_forced: bool, left: Members
    ) -> RosterRecord:
        unexpired = self.adoption.unexpired_predecessors
        kept = [roster for roster in record.predecessors if roster in unexpired]
        if record.epoch > 0:
            kept.append(record.roster)
        if len(kept) > MAX_PREDECESSORS:
            raise StoreUnavailable("earlier changes of the roster are not adopted yet")
        if is_forced:
            kept = []
        listed = {member for roster in kept for member in roster.members}
        return RosterRecord(
            record.epoch + 1,
            members,
            tuple(kept),
            self._state.known_version,
            self._state.head_revision,
            tuple(member for member in (*record.left, *left) if member in listed),
        )

    async def _compare_and_swap(self, record: RosterRecord, revision: int) -> bool:
        keys = self._state.keys
        compares = [Compare(keys.roster, revision), Compare(keys.head, record.head_revision)]
        reply = await self._store.transact(compares, [Put(keys.roster, encode_record(record))])
        if reply.succeeded:
            _log.info("Roster epoch {} has {} members.", record.epoch, len(record.members))
            self._adopt(record, reply.revision)
            await self._announce()
        return reply.succeeded

    async def _read_record(self) -> tuple[RosterRecord, int]:
        """Read and adopt the roster.

        :returns: the record and its key's revision.
        """
        found = await self._store.get(self._state.keys.roster)
        if found is None:
            return NO_ROSTER, 0
        record = decode_record(found.value, RosterRecord)
        self._adopt(record, found.mod_revision)
        return record, found.mod_revision

    async def _adopt_found(self, found: KeyValue | None, sent_s: float) -> None:
        if found is None:
            return
        try:
            self._adopt(decode_record(found.value, RosterRecord), found.mod_revision)
        except MalformedRecord as error:
            _log.error("The store's roster is malformed: {}.", error)

    def _adopt(self, record: RosterRecord, revision: int) -> None:
        if self._state.adopt_roster(record, revision):
            self._was_member = self._was_member or self.is_member
            self.adoption.update()
            self._publish()

    def _publish(self) -> None:
        self._announced_active = (self.current.epoch, self.active.epoch)
        self._changes.on_next(self.current)

    async def _announce(self) -> None:
        message = RosterAnnounced(self._state.roster_record, self._state.roster_revision)
        for member in self.current.members:
            if member.host != self.identity.host:
                await self._peers.send(member.host, message)

    async def _answer_request(self, host: str, request: RosterRequest) -> RosterAnnounced:
        return RosterAnnounced(self._state.roster_record, self._state.roster_revision)

    def _note_announcement(self, host: str, message: RosterAnnounced) -> None:
        self._adopt(message.record, message.revision)

    def _note_heartbeat(self, received: ReceivedHeartbeat) -> None:
        self.adoption.note_heartbeat(received.heartbeat)
        if received.heartbeat.roster_epoch > self.current.epoch:
            self._newer_host = received.heartbeat.host
            self._is_behind.set()
        if self._announced_active != (self.current.epoch, self.active.epoch):
            self._publish()

    async def _fetch_newer_roster(self) -> None:
        while True:
            await self._is_behind.wait()
            self._is_behind.clear()
            host = self._newer_host
            if host is None:
                continue
            try:
                answer = await self._peers.request(host, RosterRequest(), REQUEST_TIMEOUT_S)
            except PeerUnreachable:
                # The next heartbeat of any host with the newer epoch starts another request.
                continue
            self._adopt(answer.record, answer.revision)

    async def _remove_silent(self) -> None:
        backoff = Backoff(self._rng)
        while True:
            await sleep_s(CHECK_INTERVAL_S)
            members_to_remove = self._members_to_remove()
            if not members_to_remove:
                continue
            _log.info(
                "Members {} are silent.", ", ".join(sorted(m.host for m in members_to_remove))
            )
            try:
                await self._change(
                    lambda members, silent=members_to_remove: tuple(
                        member for member in members if member not in silent
                    )
                )
                backoff.reset()
            except (StoreError, MalformedRecord) as error:
                _log.debug("Silent members cannot be removed: {}.", error)
                await sleep_s(backoff.next_s())

    def _members_to_remove(self) -> frozenset[HostIdentity]:
        """Members that a majority suspects and that are due for removal by this host."""
        candidates = self._members_suspected_by_majority()
        self._silent_since_s = {
            member: self._silent_since_s.get(member, now_s()) for member in candidates
        }
        if not candidates or not self.is_member or not self._standing.has_majority():
            return frozenset()
        order = rendezvous_order(
            self._state.keys.roster,
            [member.host for member in self.current.members if member not in candidates],
        )
        if self.identity.host not in order:
            return frozenset()
        wait_s = order.index(self.identity.host) * REMOVAL_STEP_S
        return frozenset(
            member
            for member, since_s in self._silent_since_s.items()
            if now_s() - since_s >= wait_s
        )

    def _members_suspected_by_majority(self) -> list[HostIdentity]:
        suspicions = [self._hosts_suspected_by(member) for member in self.current.members]
        return [
            member
            for member in self.current.members
            if member != self.identity
            and sum(member.host in suspected for suspected in suspicions) >= self.current.majority
        ]

    def _hosts_suspected_by(self, member: HostIdentity) -> frozenset[str]:
        """Hosts that a member reports as silent; none if its report is old."""
        if member == self.identity:
            return self._membership.suspected_hosts
        received = self._membership.last_heartbeat(member.host)
        if received is None or not self._is_fresh(received, member):
            return frozenset()
        heartbeat: Heartbeat = received.heartbeat
        return frozenset(heartbeat.suspected_hosts)

    @staticmethod
    def _is_fresh(received: ReceivedHeartbeat, member: HostIdentity) -> bool:
        evidence_s = received.evidence_s
        if evidence_s is None or received.heartbeat.incarnation != member.incarnation:
            return False
        return now_s() - evidence_s <= MAX_VOTE_AGE_S
