"""Distributed lock for a duty of one host, held under a lease with a fencing token.

Promotions and usage reports have a lock each, so that neither waits for the holder of the other.
"""

import asyncio
import math

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.following import PrefixFollower
from pistachiowinch.fleet.records import (
    PROMOTION_LOCK,
    FencingTokenRecord,
    LockKeys,
    PromotionLockRecord,
    decode_record,
    encode_record,
)
from pistachiowinch.links.store import (
    NO_LEASE,
    Compare,
    KeyValue,
    PollingStore,
    Put,
    StoreError,
    dated_revision,
    era_of,
)

__all__ = ["LOCK_LEASE_S", "PromotionLock", "is_ended_run", "try_acquire_lock"]

# After this time another host can replace a dead holder. The store's shortest lease is 1 s, and a
# switch takes about 2 s.
LOCK_LEASE_S = 3.0
# Half of the lease: an order takes at most 1 s and must arrive before the lease can expire.
ORDER_MARGIN_S = 1.5


class PromotionLock:
    """A lock that is renewed while it is in use and otherwise expires with its lease.

    :param store: holds the lock's record and the fencing token.
    :param host: this host's name.
    :param run: random number that identifies this run of the host.
    :param log: receives this part's decisions.
    :param records: copy of the fleet's records, which tells when the store was restored.
    :param keys: where the lock is kept in the store.
    """

    def __init__(
        self,
        store: PollingStore,
        host: str,
        run: int,
        log: DecisionLog,
        records: PrefixFollower | None = None,
        keys: LockKeys = PROMOTION_LOCK,
    ) -> None:
        """Create a lock that is not held."""
        self._keys = keys
        self._records = records
        self._store = store
        self._host = host
        self._run = run
        self._log = log
        self._lease = NO_LEASE
        self._valid_until_s = -math.inf
        self._revision = 0
        self._acquiring = asyncio.Lock()
        self.fencing_token = 0

    @property
    def is_held(self) -> bool:
        """Whether an order sent now arrives before the lease expires."""
        return now_s() < self._valid_until_s - ORDER_MARGIN_S

    @property
    def has_lease(self) -> bool:
        """Whether this host acquired the lock and has not found its lease expired."""
        return self._lease != NO_LEASE

    @property
    def condition(self) -> Compare:
        """Condition that makes a store transaction fail unless this host still holds the lock."""
        return Compare(self._keys.lock, self._revision)

    def give_up(self) -> None:
        """Stop holding the lock, and let its lease expire."""
        self._lease = NO_LEASE
        self._valid_until_s = -math.inf

    async def acquire(self) -> bool:
        """Acquire the lock, or renew it if this host still holds it.

        Switches of several services share the lock; concurrent calls are served in turn.

        :returns: whether this host holds the lock now.
        :raises StoreError: if the store did not answer; the lock may have been acquired.
        """
        async with self._acquiring:
            return await self._acquire()

    async def _acquire(self) -> bool:
        if self._lease != NO_LEASE and await self._renew():
            return True
        current = await self._store.get(self._keys.lock)
        if current is not None and not self._is_of_previous_run(current):
            return self._log_if_own(current)
        snapshot = await self._store.read_prefix(self._keys.token)
        if self._may_lost_lock_be_held(era_of(snapshot.revision)):
            return False
        token_item = next((i for i in snapshot.items if i.key == self._keys.token), None)
        fencing_token = self._next_fencing_token(token_item, era_of(snapshot.revision))
        sent_s = now_s()
        lease = await self._store.grant_lease(LOCK_LEASE_S)
        reply = await self._store.transact(
            [
                Compare(self._keys.lock, current.mod_revision if current is not None else 0),
                Compare(self._keys.token, token_item.mod_revision if token_item is not None else 0),
            ],
            [
                Put(
                    self._keys.lock,
                    encode_record(PromotionLockRecord(self._host, self._run, fencing_token)),
                    lease,
                ),
                Put(self._keys.token, encode_record(FencingTokenRecord(fencing_token))),
            ],
        )
        if not reply.succeeded:
            return False
        self._lease = lease
        self._revision = reply.revision
        self._valid_until_s = sent_s + LOCK_LEASE_S
        self.fencing_token = fencing_token
        self._log.write("duty_acquired", fence=fencing_token, lease=lease)
        return True

    def _may_lost_lock_be_held(self, era: int) -> bool:
        """Return whether a host may hold a lock whose record a restored store has lost.

        :param era: the store's era.
        """
        if self._records is None:
            return False
        is_unread = era != self._records.era
        may_be_held = is_unread or self._records.is_era_recent(LOCK_LEASE_S)
        if may_be_held:
            self._log.write("duty_waits_for_lost_lock", era=era, read=self._records.era)
        return may_be_held

    def _next_fencing_token(self, item: KeyValue | None, era: int) -> int:
        # A restored store has lost the newest tokens, and each token of an earlier era is smaller
        # than the revisions of this one.
        first = dated_revision(era, 1)
        if item is None:
            return first
        newest = decode_record(item, FencingTokenRecord)
        if newest is None:
            # Every token is smaller than the revision with which the next one is written.
            self._log.write("record_unreadable", key=item.key, revision=item.mod_revision)
            return max(item.mod_revision, first)
        return max(newest.fence + 1, first)

    async def _renew(self) -> bool:
        sent_s = now_s()
        if sent_s < self._valid_until_s and await self._store.keep_alive(self._lease) > 0.0:
            self._valid_until_s = sent_s + LOCK_LEASE_S
            return True
        self._log.write("duty_lapsed", fence=self.fencing_token)
        self._lease = NO_LEASE
        self._valid_until_s = -math.inf
        return False

    def _is_of_previous_run(self, current: KeyValue) -> bool:
        """Return whether the lock is held by a previous run of this host, which has ended."""
        record = decode_record(current, PromotionLockRecord)
        return record is not None and is_ended_run(record, self._host, self._run)

    def _log_if_own(self, current: KeyValue) -> bool:
        """Log a lock record of this run whose acknowledgement was lost, which has to expire.

        :returns: always false, as the record's lease is unknown and cannot be renewed.
        """
        record = decode_record(current, PromotionLockRecord)
        if record is not None and record.run == self._run:
            self._log.write("duty_left_to_lapse", fence=record.fence)
        return False


def is_ended_run(record: PromotionLockRecord, host: str, run: int) -> bool:
    """Return whether a lock's holder is an earlier run of a host.

    :param run: the host's current run; its start proves that every other one has ended.
    """
    return record.holder == host and record.run != run


async def try_acquire_lock(lock: PromotionLock, log: DecisionLog) -> bool:
    """Acquire or renew the lock; return false if the store is unavailable."""
    try:
        return await lock.acquire()
    except StoreError as error:
        log.write("duty_unavailable", detail=str(error)[:80])
        return False
