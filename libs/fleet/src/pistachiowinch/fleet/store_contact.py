"""Reads the records of switches from the store while the peers alone prove nothing."""

import math
from collections.abc import Callable, Iterable

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.following import PrefixFollower
from pistachiowinch.fleet.records import GROUPS_PREFIX
from pistachiowinch.links.store import KeyValue, PollingStore, StoreError

__all__ = ["StoreContact"]

# Half of a proof, so that one lost call leaves it valid.
READ_S = 0.4


class StoreContact:
    """Dates the newest contact with the store's records of switches.

    :param store: the store.
    :param follower: follows the records; its contacts count too.
    :param is_needed: whether the peers prove nothing.
    :param adopt: takes the records that were read.
    :param log: decisions of this part.
    """

    def __init__(
        self,
        store: PollingStore,
        follower: PrefixFollower,
        is_needed: Callable[[], bool],
        adopt: Callable[[Iterable[KeyValue]], None],
        log: DecisionLog,
    ) -> None:
        """Create a proof without contacts."""
        self._store = store
        self._follower = follower
        self._is_needed = is_needed
        self._adopt = adopt
        self._log = log
        self._read_s = -math.inf

    @property
    def as_of_s(self) -> float:
        """Loop time up to which the records are known."""
        return max(self._follower.as_of_s, self._read_s)

    async def run(self) -> None:
        """Read until cancelled, while it is needed."""
        while True:
            await sleep_s(READ_S)
            if not self._is_needed() or not self._follower.is_loaded.is_set():
                continue
            sent_s = now_s()
            if sent_s - self._follower.as_of_s < READ_S:
                continue
            try:
                snapshot = await self._store.read_prefix(GROUPS_PREFIX)
            except StoreError as error:
                self._log.write("proof_missing", cause=str(error)[:60])
                continue
            self._adopt(snapshot.items)
            self._read_s = sent_s
