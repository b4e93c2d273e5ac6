"""Reads primary records from the store while this host hears from no majority of the voters."""

import math
from collections.abc import Callable, Iterable

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.following import PrefixFollower
from pistachiowinch.fleet.records import GROUPS_PREFIX
from pistachiowinch.links.store import KeyValue, PollingStore, StoreError

__all__ = ["StoreContact"]

# Half of the primary lease, so that one lost call does not let it expire.
READ_INTERVAL_S = 0.4


class StoreContact:
    """Tracks when this host last had a complete copy of the primary records.

    :param store: the store.
    :param follower: follows the records; its reads count as contacts too.
    :param is_needed: returns whether this host hears from no majority of the voters.
    :param adopt: called with the records that were read.
    :param log: receives this part's decisions.
    :param on_answer: called when the store has answered a read.
    """

    def __init__(
        self,
        store: PollingStore,
        follower: PrefixFollower,
        is_needed: Callable[[], bool],
        adopt: Callable[[Iterable[KeyValue]], None],
        log: DecisionLog,
        on_answer: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a tracker without contacts; :meth:`run` starts the reads."""
        self._store = store
        self._follower = follower
        self._is_needed = is_needed
        self._adopt = adopt
        self._log = log
        self._on_answer = on_answer
        self._read_s = -math.inf

    @property
    def as_of_s(self) -> float:
        """Loop time as of which this host's copy of the records is complete."""
        return max(self._follower.as_of_s, self._read_s)

    async def run(self) -> None:
        """Read the records at intervals while that is needed, until cancelled."""
        while True:
            await sleep_s(READ_INTERVAL_S)
            if not self._is_needed() or not self._follower.is_loaded.is_set():
                continue
            sent_s = now_s()
            if sent_s - self._follower.as_of_s < READ_INTERVAL_S:
                continue
            try:
                snapshot = await self._store.read_prefix(GROUPS_PREFIX)
            except StoreError as error:
                self._log.write("proof_missing", cause=str(error)[:60])
                continue
            self._on_answer()
            self._adopt(snapshot.items)
            self._read_s = sent_s
