"""The right to order promotions, held by one host at a time under a lease."""

import math

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.records import (
    FENCING_TOKEN_KEY,
    PROMOTION_LOCK_KEY,
    FencingTokenRecord,
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
)

__all__ = ["LOCK_LEASE_S", "PromotionLock"]

# A dead holder is replaced after this time; the shortest lease is 1 s, a switch takes about 2 s.
LOCK_LEASE_S = 3.0
# Half of the lease: an order, bounded by 1 s, must have arrived before the lease can end.
ORDER_MARGIN_S = 1.5


class PromotionLock:
    """Acquires the duty, keeps it while it is used, and lets it lapse.

    :param store: where the duty and the fencing token live.
    :param host: this host's name.
    :param run: random number of this run.
    :param log: decisions of this part.
    """

    def __init__(self, store: PollingStore, host: str, run: int, log: DecisionLog) -> None:
        """Create a duty that is not held."""
        self._store = store
        self._host = host
        self._run = run
        self._log = log
        self._lease = NO_LEASE
        self._valid_until_s = -math.inf
        self._revision = 0
        self.fencing_token = 0

    @property
    def is_held(self) -> bool:
        """Whether an order that leaves now arrives while the lease lasts."""
        return now_s() < self._valid_until_s - ORDER_MARGIN_S

    @property
    def condition(self) -> Compare:
        """Condition of a transaction that only the holder may make."""
        return Compare(PROMOTION_LOCK_KEY, self._revision)

    async def acquire(self) -> bool:
        """Take the duty, or renew it if this host still holds it.

        :returns: whether this host holds it now.
        :raises StoreError: if the store did not answer; the duty may have been taken.
        """
        if self._lease != NO_LEASE and await self._renew():
            return True
        sent_s = now_s()
        current = await self._store.get(PROMOTION_LOCK_KEY)
        if current is not None:
            return self._is_own(current)
        fence_item = await self._store.get(FENCING_TOKEN_KEY)
        fence = self._next_fence(fence_item)
        sent_s = now_s()
        lease = await self._store.grant_lease(LOCK_LEASE_S)
        reply = await self._store.transact(
            [
                Compare(PROMOTION_LOCK_KEY, 0),
                Compare(
                    FENCING_TOKEN_KEY, fence_item.mod_revision if fence_item is not None else 0
                ),
            ],
            [
                Put(
                    PROMOTION_LOCK_KEY,
                    encode_record(PromotionLockRecord(self._host, self._run, fence)),
                    lease,
                ),
                Put(FENCING_TOKEN_KEY, encode_record(FencingTokenRecord(fence))),
            ],
        )
        if not reply.succeeded:
            return False
        self._lease = lease
        self._revision = reply.revision
        self._valid_until_s = sent_s + LOCK_LEASE_S
        self.fencing_token = fence
        self._log.write("duty_acquired", fence=fence, lease=lease)
        return True

    def _next_fence(self, item: KeyValue | None) -> int:
        if item is None:
            return 1
        known = decode_record(item, FencingTokenRecord)
        if known is None:
            # Revisions only grow, so this is above every token that was ever written.
            self._log.write("record_unreadable", key=item.key, revision=item.mod_revision)
            return item.mod_revision
        return known.fence + 1

    async def _renew(self) -> bool:
        sent_s = now_s()
        if sent_s < self._valid_until_s and await self._store.keep_alive(self._lease) > 0.0:
            self._valid_until_s = sent_s + LOCK_LEASE_S
            return True
        self._log.write("duty_lapsed", fence=self.fencing_token)
        self._lease = NO_LEASE
        self._valid_until_s = -math.inf
        return False

    def _is_own(self, current: KeyValue) -> bool:
        """Recognize a record of this run whose acknowledgement was lost; it has to lapse."""
        record = decode_record(current, PromotionLockRecord)
        if record is not None and record.run == self._run:
            self._log.write("duty_left_to_lapse", fence=record.fence)
        return False


async def try_acquire_lock(duty: PromotionLock, log: DecisionLog) -> bool:
    """Renew or acquire the duty; an unavailable store counts as not held."""
    try:
        return await duty.acquire()
    except StoreError as error:
        log.write("duty_unavailable", detail=str(error)[:80])
        return False
