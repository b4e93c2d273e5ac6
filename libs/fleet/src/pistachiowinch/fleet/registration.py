"""Registers this host in the store and knows the other registered hosts."""

import random
from collections.abc import Callable, Iterable

from pistachiowinch.base.clock import now_s, sleep_s
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
from pistachiowinch.links.store import NO_LEASE, Compare, Delete, PollingStore, Put, StoreError

__all__ = ["FleetMembers", "HostRegistration"]

# Longer than a usual restart, which takes 1 to 2 s; shorter leases cost more renewals.
LEASE_S = 3.0
# Two renewals may fail before the lease ends.
RENEW_S = 1.0
# A returned store is found as fast as by the watches, but each attempt is paid: a host that a store
# turns away for long asks less often, still within half of a lease.
FIRST_RETRY_S = 0.3
LAST_RETRY_S = 1.5
# Clocks of two hosts may differ in speed by this much over the time that a host may be away.
ABSENT_MARGIN_S = 0.5
# A member without a lease is removed when its proofs have ended, whatever it still hears.
MEMBER_REMOVAL_S = STORE_ABSENCE_LIMIT_S + PRIMARY_LEASE_S + ABSENT_MARGIN_S


class HostRegistration:
    """Keeps this host's record in the store under a lease.

    :param store: the store.
    :param record: this host.
    :param on_succession: called if a previous run of this host still counts at its peers.
    :param log: decisions of this part.
    """

    def __init__(
        self,
        store: PollingStore,
        record: HostRecord,
        on_succession: Callable[[], None],
        log: DecisionLog,
    ) -> None:
        """Create a registration that is not made yet."""
        self._on_succession = on_succession
        self._is_first = True
        self._store = store
        self._record = record
        self._log = log
        self._lease = NO_LEASE

    async def run(self) -> None:
        """Register and renew until cancelled."""
        retry_s = FIRST_RETRY_S
        while True:
            try:
                await self._keep()
                retry_s = FIRST_RETRY_S
                await sleep_s(RENEW_S * random.uniform(0.9, 1.0))
            except StoreError as error:
                self._log.write("registration_failed", detail=str(error))
                await sleep_s(retry_s * random.uniform(0.5, 1.0))
                retry_s = min(2.0 * retry_s, LAST_RETRY_S)

    async def leave(self) -> None:
        """Stop counting, for a planned stop."""
        if self._lease != NO_LEASE:
            host = self._record.host
            try:
                await self._store.transact([], [Delete(host_key(host)), Delete(member_key(host))])
                await self._store.end_lease(self._lease)
            except StoreError as error:
                self._log.write("leave_failed", detail=str(error))

    async def _keep(self) -> None:
        if self._lease != NO_LEASE:
            if await self._store.keep_alive(self._lease) > 0.0:
                return
            self._log.write("lease_lapsed", lease=self._lease)
            self._lease = NO_LEASE
        if self._is_first:
            previous = await self._store.get(member_key(self._record.host))
            self._is_first = False
            if previous is not None:
                self._on_succession()
        lease = await self._store.grant_lease(LEASE_S)
        record = Put(host_key(self._record.host), encode_record(self._record), lease)
        member = Put(member_key(self._record.host), encode_record(self._record))
        await self._store.transact([], [record, member])
        self._lease = lease
        self._log.write("registered", lease=lease)


class FleetMembers:
    """The members: hosts that count for majorities and share rates and connections.

    A host stays a member when its lease ends, because it may have lost only the store and still act
    on what it knows. It is removed when it has been absent for longer than that can last.

    :param identity: this host, which always counts.
    :param store: where members are removed.
    :param log: decisions of this part.
    """

    def __init__(self, identity: HostIdentity, store: PollingStore, log: DecisionLog) -> None:
        """Create a view of this host alone."""
        self._identity = identity
        self._store = store
        self._log = log
        self._members: dict[str, HostIdentity] = {identity.host: identity}
        self._names = frozenset(self._members)
        self._revisions: dict[str, int] = {}
        self._absent_since_s: dict[str, float] = {}

    @property
    def members(self) -> tuple[HostIdentity, ...]:
        """All hosts that count, this one included."""
        return tuple(self._members.values())

    @property
    def names(self) -> frozenset[str]:
        """Names of all hosts that count."""
        return self._names

    def absent_for(self, at_least_s: float) -> frozenset[str]:
        """Names of members that have held no lease for so long."""
        oldest_s = now_s() - at_least_s
        return frozenset(host for host, since in self._absent_since_s.items() if since <= oldest_s)

    @property
    def has_absent(self) -> bool:
        """Whether some members have no lease."""
        return bool(self._absent_since_s)

    def update(self, follower: PrefixFollower, changed: Iterable[str], is_whole: bool) -> None:
        """Take the records that the store holds now.

        :param changed: keys that changed; unreadable ones among them are told once.
        :param is_whole: whether changes may have been missed, so that absences start anew.
        """
        told = frozenset(changed)
        members = {self._identity.host: self._identity}
        self._revisions = {}
        for key, item in follower.items.items():
            if not key.startswith(MEMBERS_PREFIX):
                continue
            record = decode_record(item, HostRecord)
            if record is None:
                if key in told:
                    self._log.write("record_unreadable", key=key, revision=item.mod_revision)
            elif record.host != self._identity.host:
                members[record.host] = HostIdentity(
                    record.host, record.run, record.availability_zone, record.peer_url
                )
                self._revisions[record.host] = item.mod_revision
        self._members = members
        self._names = frozenset(members)
        absent = {host for host in members if host_key(host) not in follower.items}
        absent.discard(self._identity.host)
        known = {} if is_whole else self._absent_since_s
        self._absent_since_s = {host: known.get(host, now_s()) for host in sorted(absent)}

    async def remove_absent(self) -> None:
        """Remove members whose leases ended so long ago that they prove nothing any more."""
        oldest_s = now_s() - MEMBER_REMOVAL_S
        for host, since_s in tuple(self._absent_since_s.items()):
            if since_s > oldest_s:
                continue
            condition = Compare(member_key(host), self._revisions[host])
            try:
                reply = await self._store.transact([condition], [Delete(member_key(host))])
            except StoreError as error:
                self._log.write("removal_failed", host=host, cause=str(error)[:60])
                return
            self._log.write("member_removed", host=host, succeeded=reply.succeeded)
            self._absent_since_s[host] = now_s()
