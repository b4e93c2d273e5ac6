"""Registers this host in the store and knows the other registered hosts."""

import random
from collections.abc import Callable

from pistachiowinch.base.clock import sleep_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.fleet.following import PrefixFollower
from pistachiowinch.fleet.records import (
    HOSTS_PREFIX,
    HostRecord,
    decode_record,
    encode_record,
    host_key,
)
from pistachiowinch.links.store import NO_LEASE, PollingStore, Put, StoreError

__all__ = ["HostRegistration", "KnownHosts"]

# A dead host counts for this long; shorter leases cost more renewals.
LEASE_S = 3.0
# Two renewals may fail before the lease ends.
RENEW_S = 1.0
RETRY_S = 0.3
# A host that nobody hears has no proof after 0.8 s and spends no rate tokens 2 s later.
HEARD_S = 3.0


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
        while True:
            try:
                await self._keep()
                await sleep_s(RENEW_S * random.uniform(0.9, 1.0))
            except StoreError as error:
                self._log.write("registration_failed", detail=str(error))
                await sleep_s(RETRY_S * random.uniform(0.5, 1.0))

    async def leave(self) -> None:
        """Remove the record, for a planned stop."""
        if self._lease != NO_LEASE:
            try:
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
            previous = await self._store.get(host_key(self._record.host))
            self._is_first = False
            if previous is not None:
                self._on_succession()
        lease = await self._store.grant_lease(LEASE_S)
        record = Put(host_key(self._record.host), encode_record(self._record), lease)
        await self._store.transact([], [record])
        self._lease = lease
        self._log.write("registered", lease=lease)


class KnownHosts:
    """Hosts that count for a majority.

    A host counts while it is registered, and longer while it is heard: it may have lost only the
    store, and still act on what it knows.

    :param identity: this host, which always counts.
    :param heard_within_s: returns the names of peers heard within so many seconds.
    """

    def __init__(
        self, identity: HostIdentity, heard_within_s: Callable[[float], frozenset[str]]
    ) -> None:
        """Create a view of this host alone."""
        self._identity = identity
        self._heard_within_s = heard_within_s
        self._registered: dict[str, HostIdentity] = {identity.host: identity}
        self._vanished: dict[str, HostIdentity] = {}

    @property
    def voters(self) -> tuple[HostIdentity, ...]:
        """All hosts that count, this one included."""
        if self._vanished:
            heard = self._heard_within_s(HEARD_S)
            self._vanished = {
                host: identity for host, identity in self._vanished.items() if host in heard
            }
        return (*self._registered.values(), *self._vanished.values())

    @property
    def has_vanished(self) -> bool:
        """Whether some hosts count only for a while longer."""
        return bool(self._vanished)

    @property
    def registered(self) -> frozenset[str]:
        """Names of the hosts whose records the store holds, and this one."""
        return frozenset(self._registered)

    def take(self, follower: PrefixFollower) -> None:
        """Take the records that the store holds now."""
        found = {self._identity.host: self._identity}
        for key, item in follower.items.items():
            if key.startswith(HOSTS_PREFIX):
                record = decode_record(item, HostRecord)
                if record is not None and record.host != self._identity.host:
                    found[record.host] = HostIdentity(
                        record.host, record.run, record.availability_zone, record.peer_url
                    )
        for host, identity in self._registered.items():
            if host not in found:
                self._vanished[host] = identity
        for host in found:
            self._vanished.pop(host, None)
        self._registered = found
