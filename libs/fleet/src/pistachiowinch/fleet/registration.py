"""Registration of this host in the store, and the list of the fleet's members."""

import asyncio
import math
import random
from collections.abc import Callable, Iterable

import msgspec

from pistachiowinch.base.clock import now_s, remaining_s, sleep_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.fleet.following import PrefixFollower
from pistachiowinch.fleet.primary_lease import PRIMARY_LEASE_S, STORE_ABSENCE_LIMIT_S
from pistachiowinch.fleet.records import (
    MEMBERS_PREFIX,
    HostRecord,
    decode_record,
    encode_record,
    host_key,
    member_key,
)
from pistachiowinch.links.store import (
    NO_LEASE,
    Compare,
    Delete,
    KeyValue,
    PollingStore,
    Put,
    StoreError,
    StoreUnavailable,
)

__all__ = ["HOST_LEASE_S", "NON_VOTER_LEASE_S", "FleetMembers", "HostRegistration"]

# Longer than a usual restart of 1 to 2 s; a shorter lease needs more renewals.
HOST_LEASE_S = 3.0
# The absence of a host that does not vote only delays its removal from the members, and renewals
# of hundreds of hosts cost more than all their other calls. Longer than most faults of the store.
NON_VOTER_LEASE_S = 10.0
# Allows for two failed renewals before the lease expires.
RENEWAL_FRACTION = 1.0 / 3.0
# Exponential backoff. The first retry detects a recovered store as soon as the watches do. Each
# store call costs money, so the delay grows during a long outage, up to half of a lease.
MIN_RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 1.5
# Allows for clock drift between two hosts while one of them is without the store.
CLOCK_MARGIN_S = 0.5
# A member without a lease is removed once its primary lease must have expired, even if it still
# hears from other hosts.
MEMBER_REMOVAL_S = STORE_ABSENCE_LIMIT_S + PRIMARY_LEASE_S + CLOCK_MARGIN_S


class HostRegistration:
    """Keeps this host's record in the store under a lease.

    :param store: the store.
    :param record: describes this host.
    :param on_succession: called if the store still lists a previous run of this host as a member.
    :param log: receives this part's decisions.
    :param lease_s: returns the length of the lease that this host should hold.
    :param follower: follows the fleet's records, and so shows a previous run without another call.
    :param registered: set once the store has confirmed a registration of this run.
    """

    def __init__(
        self,
        store: PollingStore,
        record: HostRecord,
        on_succession: Callable[[], None],
        log: DecisionLog,
        lease_s: Callable[[], float] = lambda: HOST_LEASE_S,
        follower: PrefixFollower | None = None,
        registered: asyncio.Event | None = None,
    ) -> None:
        """Create a registration; :meth:`run` writes it to the store."""
        self._follower = follower
        self._registered = registered or asyncio.Event()
        self._wanted_lease_s = lease_s
        self._lease_s = 0.0
        self._on_succession = on_succession
        self._is_first = True
        self._store = store
        self._record = record
        self._log = log
        self._lease = NO_LEASE
        self._registered_s = -math.inf
        self._member_revision = 0
        self._is_copy_behind = False

    async def run(self) -> None:
        """Register this host and renew its lease until cancelled."""
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                await self._renew_or_register()
                retry_delay_s = MIN_RETRY_DELAY_S
                await self._wait_for_renewal()
            except StoreError as error:
                self._log.write("registration_failed", detail=str(error))
                await sleep_s(retry_delay_s * random.uniform(0.5, 1.0))
                retry_delay_s = min(2.0 * retry_delay_s, MAX_RETRY_DELAY_S)

    async def leave(self) -> None:
        """Record that this host has left, for a planned stop.

        The record stays until the usual removal, so that the host keeps its vote if it returns.
        """
        if self._lease == NO_LEASE:
            return
        key = member_key(self._record.host)
        left = msgspec.structs.replace(self._record, has_left=True)
        try:
            # The call may take effect late, and must not hide a later run of this host.
            reply = await self._store.transact(
                [Compare(key, self._own_member_revision())],
                [Put(key, encode_record(left)), Delete(host_key(self._record.host))],
            )
            await self._store.end_lease(self._lease)
        except StoreError as error:
            self._log.write("leave_failed", detail=str(error))
            return
        self._log.write("left", succeeded=reply.succeeded)

    async def _wait_for_renewal(self) -> None:
        """Wait until the lease is due for renewal, another length is wanted or it was lost."""
        until_s = now_s() + self._lease_s * RENEWAL_FRACTION * random.uniform(0.9, 1.0)
        while now_s() < until_s and self._wanted_lease_s() == self._lease_s:
            if self._is_lost_by_store():
                self._log.write("registration_lost", lease=self._lease)
                self._lease = NO_LEASE
                return
            await sleep_s(min(remaining_s(until_s), HOST_LEASE_S * RENEWAL_FRACTION))

    def _is_lost_by_store(self) -> bool:
        """Return whether the store no longer has the records that this run has written."""
        follower = self._follower
        if follower is None:
            return False
        member = follower.items.get(member_key(self._record.host))
        if follower.era_since_s >= self._registered_s:
            return member is None or host_key(self._record.host) not in follower.items
        is_current = follower.revision >= self._member_revision
        return is_current and (member is None or not self._is_own(member))

    def _own_member_revision(self) -> int:
        """Return the revision of this run's member record, which others may have written again."""
        known = None
        if self._follower is not None:
            known = self._follower.items.get(member_key(self._record.host))
        if known is not None and self._is_own(known):
            return max(known.mod_revision, self._member_revision)
        return self._member_revision

    def _is_own(self, member: KeyValue) -> bool:
        record = decode_record(member, HostRecord)
        return record is not None and record.run == self._record.run

    async def _read_member(self) -> KeyValue | None:
        """Read this host's member record, which a previous run may have written."""
        key = member_key(self._record.host)
        follower = self._follower
        if follower is None:
            return await self._store.get(key)
        await follower.is_loaded.wait()
        if self._is_copy_behind or follower.revision < self._member_revision:
            return await self._store.get(key)
        return follower.items.get(key)

    async def _renew_or_register(self) -> None:
        if self._lease != NO_LEASE and self._wanted_lease_s() == self._lease_s:
            if await self._store.keep_alive(self._lease) > 0.0:
                return
            self._log.write("lease_lapsed", lease=self._lease)
            self._lease = NO_LEASE
        known = await self._read_member()
        if self._is_first and known is not None and self._is_running(known):
            self._on_succession()
        self._is_first = False
        lease_s = self._wanted_lease_s()
        lease = await self._store.grant_lease(lease_s)
        key = member_key(self._record.host)
        # An attempt without an answer may have written the record.
        self._is_copy_behind = True
        # The call may take effect late, and must not replace what a later run has written.
        reply = await self._store.transact(
            [Compare(key, known.mod_revision if known is not None else 0)],
            [
                Put(host_key(self._record.host), encode_record(self._record), lease),
                Put(key, encode_record(self._record)),
            ],
        )
        if not reply.succeeded:
            raise StoreUnavailable("the member record has changed meanwhile")
        self._is_copy_behind = False
        self._registered_s = now_s()
        self._member_revision = reply.revision
        self._lease = lease
        self._lease_s = lease_s
        self._registered.set()
        self._log.write("registered", lease=lease, lease_s=lease_s)

    def _is_running(self, member: KeyValue) -> bool:
        """Return whether a member record shows a run that has not stopped as planned."""
        record = decode_record(member, HostRecord)
        return record is None or not record.has_left


class FleetMembers:
    """The fleet's members, which a switch asks to stop, and which share rates and connections.

    A host that left as planned is no member, but keeps a seat, which lets it vote when it returns.
    A host stays a member after its lease has expired, because it may have lost only the store and
    still use a primary. It is removed once its primary lease must have expired as well.

    :param identity: this host, which is always a member.
    :param store: where members are removed.
    :param log: receives this part's decisions.
    """

    def __init__(self, identity: HostIdentity, store: PollingStore, log: DecisionLog) -> None:
        """Create a list that contains only this host."""
        self._identity = identity
        self._store = store
        self._log = log
        self._members: dict[str, HostIdentity] = {identity.host: identity}
        self._names = frozenset(self._members)
        self._departed: frozenset[str] = frozenset()
        self._has_resigned = False
        self._follower: PrefixFollower | None = None
        self._is_listed_in_copy = False
        self._listed_until_s = -math.inf
        self._changed_s = now_s()
        self._revisions: dict[str, int] = {}
        self._unlisted: dict[str, HostIdentity] = {}
        self._era: int | None = None
        self._absent_since_s: dict[str, float] = {}

    @property
    def members(self) -> tuple[HostIdentity, ...]:
        """All members, including this host."""
        return tuple(self._members.values())

    @property
    def names(self) -> frozenset[str]:
        """Names of all members, including this host."""
        return self._names

    @property
    def names_with_seat(self) -> frozenset[str]:
        """Names of the members and of hosts that left as planned and may still return."""
        return self._names | self._departed

    @property
    def unchanged_for_s(self) -> float:
        """Time since the hosts with a seat last changed."""
        return now_s() - self._changed_s

    @property
    def listed_as_of_s(self) -> float:
        """Loop time as of which the store lists this run; negative infinity if it never did.

        A host is removed from the members long after its lease, which is as recent as this.
        """
        if self._has_resigned:
            return -math.inf
        return self._follower.as_of_s if self._is_listed_in_copy else self._listed_until_s

    def resign(self) -> None:
        """Give up this host's evidence and leases, before it leaves."""
        self._has_resigned = True

    def absent_for(self, min_absence_s: float) -> frozenset[str]:
        """Return the hosts with a seat that have had no lease for ``min_absence_s`` seconds."""
        latest_since_s = now_s() - min_absence_s
        return frozenset(
            host for host, since in self._absent_since_s.items() if since <= latest_since_s
        )

    @property
    def has_absent(self) -> bool:
        """Whether any host with a seat has no lease."""
        return bool(self._absent_since_s)

    def update(self, follower: PrefixFollower, changed: Iterable[str], is_whole: bool) -> None:
        """Replace the members by those in the follower's copy of the store.

        Known members that a restored store has lost remain members until they are listed again.

        :param changed: keys that changed; an unreadable record is logged only on its change.
        :param is_whole: whether changes may have been missed, which restarts the absence times.
        """
        changed_keys = frozenset(changed)
        members = {self._identity.host: self._identity}
        departed: set[str] = set()
        self._update_listed(follower)
        self._revisions = {}
        for key, item in follower.items.items():
            if not key.startswith(MEMBERS_PREFIX):
                continue
            record = decode_record(item, HostRecord)
            if record is None:
                if key in changed_keys:
                    self._log.write("record_unreadable", key=key, revision=item.mod_revision)
            elif record.host != self._identity.host:
                self._revisions[record.host] = item.mod_revision
                if record.has_left:
                    departed.add(record.host)
                    continue
                members[record.host] = HostIdentity(
                    record.host,
                    record.run,
                    record.availability_zone,
                    record.peer_url,
                    record.processor_cores,
                )
        if self._era is not None and follower.era != self._era:
            self._unlisted |= self._members
        self._era = follower.era
        self._unlisted = {h: m for h, m in self._unlisted.items() if h not in members}
        members |= self._unlisted
        if frozenset(members) | departed != self.names_with_seat:
            self._changed_s = now_s()
        self._members = members
        self._names = frozenset(members)
        self._departed = frozenset(departed - self._names)
        absent = {host for host in self.names_with_seat if host_key(host) not in follower.items}
        absent.discard(self._identity.host)
        previous = {} if is_whole else self._absent_since_s
        self._absent_since_s = {host: previous.get(host, now_s()) for host in sorted(absent)}

    def _update_listed(self, follower: PrefixFollower) -> None:
        """Note whether a copy of the store has this run's leased record and its member record."""
        # The copy's date is still that of its state before the update.
        self._listed_until_s = self.listed_as_of_s
        self._follower = follower
        host = self._identity.host
        items = [follower.items.get(key) for key in (host_key(host), member_key(host))]
        records = [decode_record(item, HostRecord) for item in items if item is not None]
        runs = [record.run for record in records if record is not None and not record.has_left]
        self._is_listed_in_copy = runs == [self._identity.incarnation] * len(items)

    async def list_again(self) -> None:
        """Write members that a restored store has lost; a dead one is removed later as usual."""
        for host, member in tuple(self._unlisted.items()):
            record = HostRecord(
                host,
                member.incarnation,
                member.availability_zone,
                member.peer_url,
                processor_cores=member.processor_cores,
            )
            try:
                reply = await self._store.transact(
                    [Compare(member_key(host), 0)], [Put(member_key(host), encode_record(record))]
                )
            except StoreError as error:
                self._log.write("member_not_listed", host=host, cause=str(error)[:60])
                return
            self._log.write("member_listed_again", host=host, succeeded=reply.succeeded)
            self._unlisted.pop(host, None)

    async def remove_absent(self) -> None:
        """Remove members that have had no lease for ``MEMBER_REMOVAL_S``."""
        latest_since_s = now_s() - MEMBER_REMOVAL_S
        for host, since_s in tuple(self._absent_since_s.items()):
            if since_s > latest_since_s or host not in self._revisions:
                continue
            condition = Compare(member_key(host), self._revisions[host])
            try:
                reply = await self._store.transact([condition], [Delete(member_key(host))])
            except StoreError as error:
                self._log.write("removal_failed", host=host, cause=str(error)[:60])
                return
            self._log.write("member_removed", host=host, succeeded=reply.succeeded)
            self._absent_since_s[host] = now_s()
