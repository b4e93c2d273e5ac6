"""Writes the fleet's records again after the store was restored from an older copy.

Hosts remember records that the copy lacks. Until one of them has written these, the copy proves
nothing: it may name a primary that was replaced meanwhile. The record of the era states that the
fleet's records are complete again. A host that started meanwhile remembers nothing and is called
forgetful: it uses no primary, and its evidence counts for nobody.

If no majority is heard, possibly nobody remembers the newest records. Every service is then marked
as being switched, so that the host that continues the switch asks the targets which one is primary.
"""

import math
from collections.abc import Callable, Iterable

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.following import PrefixFollower
from pistachiowinch.fleet.primaries import PrimaryTable, is_newer
from pistachiowinch.fleet.primary_lease import PRIMARY_LEASE_S
from pistachiowinch.fleet.records import (
    ERA_KEY,
    EraRecord,
    PrimaryRecord,
    decode_record,
    encode_record,
    group_key,
)
from pistachiowinch.links.store import Compare, PollingStore, Put, StoreError

__all__ = ["RecordRepair"]

# A majority of the voters knows every switch that can take effect. Without one, and if all hosts
# have started anew, the primaries are determined anew after this time.
MAJORITY_WAIT_S = 3.0


class RecordRepair:
    """Completes the fleet's records once in each era of the store.

    :param store: holds the records.
    :param follower: follows the records.
    :param primaries: records of the primaries that this host knows.
    :param has_majority: returns whether this host hears a majority of the voters.
    :param services: returns the names of the services.
    :param log: receives this part's decisions.
    """

    def __init__(
        self,
        store: PollingStore,
        follower: PrefixFollower,
        primaries: PrimaryTable,
        has_majority: Callable[[], bool],
        services: Callable[[], Iterable[str]],
        log: DecisionLog,
    ) -> None:
        """Create a repair that has seen no era."""
        self._services = services
        self._store = store
        self._follower = follower
        self._primaries = primaries
        self._has_majority = has_majority
        self._log = log
        self._incomplete_since_s: float | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the records in this host's copy of the store are as new as any host's."""
        if self._follower.era == 0:
            return True
        item = self._follower.items.get(ERA_KEY)
        record = None if item is None else decode_record(item, EraRecord)
        return record is not None and record.era == self._follower.era

    @property
    def is_forgetful(self) -> bool:
        """Whether this host has read the fleet's records only from an incomplete copy."""
        has_memory = math.isfinite(self._follower.era_since_s)
        return self._follower.is_loaded.is_set() and not has_memory and not self.is_complete

    async def check(self) -> None:
        """Write what the store lacks, if this host has heard from those that may know it."""
        if self.is_complete or self._follower.is_broken:
            self._incomplete_since_s = None
            return
        if self._incomplete_since_s is None:
            self._incomplete_since_s = now_s()
        age_s = now_s() - max(self._incomplete_since_s, self._follower.era_since_s)
        # Evidence that counts for a majority is then younger than the era.
        may_know_all = self._has_majority() and not self.is_forgetful
        needed_s = PRIMARY_LEASE_S if may_know_all else MAJORITY_WAIT_S
        if age_s <= needed_s:
            return
        try:
            if may_know_all:
                await self._write_known_primaries()
            else:
                await self._mark_as_switching()
            await self._write_era()
        except StoreError as error:
            self._log.write("records_incomplete", cause=str(error)[:60])

    async def _write_known_primaries(self) -> None:
        for service, record in tuple(self._primaries.records.items()):
            item = self._follower.items.get(group_key(service))
            stored = None if item is None else decode_record(item, PrimaryRecord)
            if stored is not None and not is_newer(record, stored):
                continue
            written = PrimaryRecord(record.epoch, record.primary)
            revision = 0 if item is None else item.mod_revision
            await self._put(group_key(service), encode_record(written), revision)

    async def _mark_as_switching(self) -> None:
        known = self._primaries.records
        for service in sorted({*known, *self._services()}):
            item = self._follower.items.get(group_key(service))
            stored = None if item is None else decode_record(item, PrimaryRecord)
            epochs = [record.epoch for record in (stored, known.get(service)) if record is not None]
            # An order that the store has lost may still take effect.
            written = PrimaryRecord(max(epochs, default=0) + 1, "", None)
            revision = 0 if item is None else item.mod_revision
            await self._put(group_key(service), encode_record(written), revision)

    async def _write_era(self) -> None:
        era = self._follower.era
        item = self._follower.items.get(ERA_KEY)
        revision = 0 if item is None else item.mod_revision
        await self._put(ERA_KEY, encode_record(EraRecord(era)), revision)

    async def _put(self, key: str, value: bytes, revision: int) -> None:
        reply = await self._store.transact([Compare(key, revision)], [Put(key, value)])
        self._log.write(
            "record_written_again", key=key, era=self._follower.era, succeeded=reply.succeeded
        )
