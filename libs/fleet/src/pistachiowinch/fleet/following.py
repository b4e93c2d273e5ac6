"""Keeps a local copy of the keys under one prefix of a polling store."""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterable

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.links.store import (
    HistoryLost,
    KeyValue,
    PrefixSource,
    StoreError,
    WatchEvent,
)

__all__ = ["PrefixFollower"]

# Changes that are told apart for hosts that follow this one; others read all keys.
KEPT_CHANGES = 256

# Bounds how long a poll whose connection went silent hides changes; a change must be in force
# within 3 s after 4 s of calm.
POLL_S = 4.0
# Retries start at once and grow to this, so that a returned store is found within half a second.
FIRST_RETRY_S = 0.05
LAST_RETRY_S = 0.4


class PrefixFollower:
    """Reads a prefix, then follows its changes; reads again when the history is lost.

    :param source: where the keys are read.
    :param prefix: common start of the keys.
    :param on_change: called with the changed keys, and whether the copy was replaced as a whole.
    :param log: decisions of this part.
    :param batch_delay_s: returns the delay after a change, so that one answer carries several.
    """

    def __init__(
        self,
        source: PrefixSource,
        prefix: str,
        on_change: Callable[[Iterable[str], bool], None],
        log: DecisionLog,
        batch_delay_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Create an empty copy; :meth:`run` fills it."""
        self._source = source
        self._gap_s = batch_delay_s
        self._changed: deque[tuple[int, str]] = deque()
        self._told_apart_after = 0
        self._prefix = prefix
        self._on_change = on_change
        self._log = log
        self._revision: int | None = None
        self._poll: asyncio.Task | None = None
        self._is_refreshing = False
        self.items: dict[str, KeyValue] = {}
        self.is_loaded = asyncio.Event()
        self.is_broken = True
        self.as_of_s = float("-inf")
        self.reconnected_s = float("-inf")

    @property
    def revision(self) -> int:
        """Revision up to which changes are known; 0 before the first read."""
        return self._revision or 0

    @property
    def last_change_revision(self) -> int:
        """Revision of the newest change that the copy has; negative before the first read."""
        if not self.is_loaded.is_set():
            return -1
        return self._changed[-1][0] if self._changed else self._told_apart_after

    def changes_after(self, revision: int) -> tuple[WatchEvent, ...] | None:
        """Return the present state of all keys that changed after a revision.

        :returns: None if these are not told apart any more, so that all keys are to be read.
        """
        if revision < self._told_apart_after or not self.is_loaded.is_set():
            return None
        newest = {key: changed for changed, key in self._changed if changed > revision}
        return tuple(self._event(key, changed) for key, changed in newest.items())

    def _event(self, key: str, revision: int) -> WatchEvent:
        item = self.items.get(key)
        return WatchEvent(key, None if item is None else item.value, revision)

    def refresh(self) -> bool:
        """Read everything again now, because a peer knows something newer.

        :returns: whether that was not under way already.
        """
        if self._revision is None:
            # Starting the read anew for each peer would never let it end.
            return False
        self._revision = None
        if self._poll is not None and not self._poll.done():
            self._is_refreshing = True
            self._poll.cancel()
        return True

    async def run(self) -> None:
        """Follow until cancelled."""
        retry_s = FIRST_RETRY_S
        while True:
            self._poll = asyncio.get_running_loop().create_task(self._step())
            try:
                await asyncio.shield(self._poll)
            except asyncio.CancelledError:
                if not self._is_refreshing:
                    self._poll.cancel()
                    raise
                self._is_refreshing = False
            except HistoryLost as error:
                self._log.write("history_lost", prefix=self._prefix, detail=str(error))
                self._revision = None
            except StoreError:
                self._note_broken()
                await sleep_s(retry_s * random.uniform(0.5, 1.0))
                retry_s = min(2.0 * retry_s, LAST_RETRY_S)
            else:
                retry_s = FIRST_RETRY_S

    async def _step(self) -> None:
        sent_s = now_s()
        if self._revision is None:
            proved_s = await self._read_all()
            self._note_proved(sent_s if proved_s is None else proved_s)
            return
        # A poll right after an outage returns soon, so that the contact is known to be back.
        wait_s = 0.0 if self.is_broken else POLL_S
        batch = await self._source.changes(self._prefix, self._revision, wait_s)
        self._apply(batch.events)
        self._revision = batch.revision
        if batch.as_of_s is not None:
            self._note_proved(batch.as_of_s)
        else:
            self._note_proved(sent_s if batch.events else sent_s + wait_s)
        if batch.events:
            await sleep_s(self._gap_s())

    async def _read_all(self) -> float | None:
        snapshot = await self._source.read_prefix(self._prefix)
        self.items = {item.key: item for item in snapshot.items}
        self._revision = snapshot.revision
        self._changed.clear()
        self._told_apart_after = snapshot.revision
        self.is_loaded.set()
        self._on_change(tuple(self.items), True)
        return snapshot.as_of_s

    def _apply(self, events: Iterable[WatchEvent]) -> None:
        changed = []
        for event in events:
            changed.append(event.key)
            self._changed.append((event.mod_revision, event.key))
            if event.value is None:
                self.items.pop(event.key, None)
            else:
                self.items[event.key] = KeyValue(event.key, event.value, event.mod_revision)
        while len(self._changed) > KEPT_CHANGES:
            self._told_apart_after = self._changed.popleft()[0]
        if changed:
            self._on_change(changed, False)

    def _note_broken(self) -> None:
        if not self.is_broken:
            self.is_broken = True
            self._log.write("watch_lost", prefix=self._prefix, revision=self._revision)

    def _note_proved(self, at_s: float) -> None:
        self.as_of_s = max(self.as_of_s, at_s)
        if self.is_broken:
            self.is_broken = False
            self.reconnected_s = now_s()
            self._log.write("watch_regained", prefix=self._prefix, revision=self._revision)
