"""Local copy of the keys under one prefix of a store, updated by long polls."""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterable

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.copy_bounds import CopyBounds
from pistachiowinch.links.store import (
    ChangeBatch,
    HistoryLost,
    KeyValue,
    PrefixSource,
    StoreError,
    WatchEvent,
    era_of,
)

__all__ = ["PrefixFollower", "complete_as_of_s"]

# Changes kept for hosts that follow this one; a host that is further behind reads all keys.
MAX_KEPT_CHANGES = 256

# Default age at which a poll without changes renews the date of a copy.
POLL_WAIT_S = CopyBounds().poll_wait_s
# Bounds the rate of polls that find no change and do not renew the date of a copy.
MIN_POLL_WAIT_S = 0.05
# Exponential backoff, bounded so that a recovered store is detected within half a second.
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.4


def complete_as_of_s(batch: ChangeBatch, sent_s: float, wait_s: float) -> float:
    """Return the loop time as of which the changes that the store has sent are complete.

    :param sent_s: loop time at which the poll was sent.
    :param wait_s: time for which the poll was to wait; an answer without changes that comes sooner
        shows nothing of the rest.
    """
    has_waited = now_s() >= sent_s + wait_s
    return sent_s + wait_s if has_waited and not batch.events else sent_s


class PrefixFollower:
    """Reads a prefix and then its changes; reads all keys again when the history is lost.

    :param source: where the keys are read.
    :param prefix: prefix of the keys.
    :param on_change: called with the changed keys, and whether the copy was replaced as a whole.
    :param log: receives this part's decisions.
    :param batch_delay_s: returns the delay before the next poll after a change, which lets one
        answer carry several changes.
    :param delays_after_read: whether that delay also follows a read of all keys.
    :param poll_wait_s: returns the age at which a poll without changes renews the copy's date. It
        bounds how long a poll on a silent connection hides changes.
    :ivar as_of_s: loop time as of which the copy is complete.
    :ivar reconnected_s: loop time at which the store was last heard again after an outage.
    :ivar era: the store's era in which the copy was read.
    :ivar era_since_s: loop time at which the copy of an earlier era was replaced; negative infinity
        if there was none.
    """

    def __init__(
        self,
        source: PrefixSource,
        prefix: str,
        on_change: Callable[[Iterable[str], bool], None],
        log: DecisionLog,
        batch_delay_s: Callable[[], float] = lambda: 0.0,
        delays_after_read: bool = False,
        poll_wait_s: Callable[[], float] = lambda: POLL_WAIT_S,
    ) -> None:
        """Create an empty copy; :meth:`run` fills it."""
        self._poll_wait_s = poll_wait_s
        self._delays_after_read = delays_after_read
        self._source = source
        self._batch_delay_s = batch_delay_s
        self._recent_changes: deque[tuple[int, str]] = deque()
        self._kept_after_revision = 0
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
        self.era = 0
        self.era_since_s = float("-inf")

    @property
    def revision(self) -> int:
        """Revision up to which the copy is complete; 0 before the first read."""
        return self._revision or 0

    @property
    def last_change_revision(self) -> int:
        """Revision of the newest change in the copy; negative before the first read."""
        if not self.is_loaded.is_set():
            return -1
        return self._recent_changes[-1][0] if self._recent_changes else self._kept_after_revision

    def is_era_recent(self, within_s: float) -> bool:
        """Return whether an era began less than ``within_s`` seconds ago.

        Other writers may then not have written again what the store has lost.
        """
        return now_s() - self.era_since_s < within_s

    def changes_after(self, revision: int) -> tuple[WatchEvent, ...] | None:
        """Return the current state of all keys that changed after a revision, oldest change first.

        :returns: None if those changes are no longer kept and the caller has to read all keys.
        """
        if revision < self._kept_after_revision or not self.is_loaded.is_set():
            return None
        newest = {key: changed for changed, key in self._recent_changes if changed > revision}
        # A key that changed again stands where it changed first.
        ordered = sorted(newest.items(), key=lambda entry: entry[1])
        return tuple(self._event(key, changed) for key, changed in ordered)

    def _event(self, key: str, revision: int) -> WatchEvent:
        item = self.items.get(key)
        return WatchEvent(key, None if item is None else item.value, revision)

    def refresh(self) -> bool:
        """Read all keys again now, because a peer has a newer copy.

        :returns: false if such a read is already in progress.
        """
        if self._revision is None:
            # Restarting the read for each newer peer could keep it from ever completing.
            return False
        self._revision = None
        if self._poll is not None and not self._poll.done():
            self._is_refreshing = True
            self._poll.cancel()
        return True

    async def run(self) -> None:
        """Keep the copy up to date until cancelled."""
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            self._poll = asyncio.get_running_loop().create_task(self._read_or_poll())
            try:
                await asyncio.shield(self._poll)
            except asyncio.CancelledError:
                if not self._is_refreshing:
                    self._poll.cancel()
                    raise
                self._is_refreshing = False
            except HistoryLost as error:
                self._log.write(
                    "history_lost", prefix=self._prefix, revision=self._revision, detail=str(error)
                )
                self._revision = None
            except StoreError:
                self._mark_broken()
                await sleep_s(retry_delay_s * random.uniform(0.5, 1.0))
                retry_delay_s = min(2.0 * retry_delay_s, MAX_RETRY_DELAY_S)
            else:
                retry_delay_s = MIN_RETRY_DELAY_S

    async def _read_or_poll(self) -> None:
        sent_s = now_s()
        if self._revision is None:
            as_of_s = await self._read_all()
            self._advance_as_of(sent_s if as_of_s is None else as_of_s)
            if self._delays_after_read:
                await sleep_s(self._batch_delay_s())
            return
        wait_s = self._next_wait_s()
        batch = await self._source.changes(self._prefix, self._revision, wait_s)
        if batch.is_whole:
            items = (KeyValue(e.key, e.value or b"", e.mod_revision) for e in batch.events)
            self._replace(items, batch.revision)
        else:
            self._apply(batch.events)
            self._revision = batch.revision
        as_of_s = batch.as_of_s
        self._advance_as_of(complete_as_of_s(batch, sent_s, wait_s) if as_of_s is None else as_of_s)
        if batch.events:
            await sleep_s(self._batch_delay_s())

    def _next_wait_s(self) -> float:
        """Return how long the next poll waits.

        The first poll after an outage does not wait, so that it soon confirms the contact. One that
        follows a change waits only until the copy has the age at which any poll ends.
        """
        if self.is_broken:
            return 0.0
        poll_wait_s = self._poll_wait_s()
        return min(max(self.as_of_s + poll_wait_s - now_s(), MIN_POLL_WAIT_S), poll_wait_s)

    async def _read_all(self) -> float | None:
        snapshot = await self._source.read_prefix(self._prefix)
        self._replace(snapshot.items, snapshot.revision)
        return snapshot.as_of_s

    def _replace(self, items: Iterable[KeyValue], revision: int) -> None:
        """Replace the whole copy."""
        self.items = {item.key: item for item in items}
        self._revision = revision
        self._note_era(era_of(revision))
        self._recent_changes.clear()
        self._kept_after_revision = revision
        self.is_loaded.set()
        self._on_change(tuple(self.items), True)

    def _note_era(self, era: int) -> None:
        if self.is_loaded.is_set() and era != self.era:
            self.era_since_s = self.reconnected_s = now_s()
            self._log.write("era_began", prefix=self._prefix, era=era, before=self.era)
        self.era = era

    def _apply(self, events: Iterable[WatchEvent]) -> None:
        changed = []
        for event in events:
            changed.append(event.key)
            self._recent_changes.append((event.mod_revision, event.key))
            if event.value is None:
                self.items.pop(event.key, None)
            else:
                self.items[event.key] = KeyValue(event.key, event.value, event.mod_revision)
        while len(self._recent_changes) > MAX_KEPT_CHANGES:
            self._kept_after_revision = self._recent_changes.popleft()[0]
        if changed:
            self._on_change(changed, False)

    def _mark_broken(self) -> None:
        if not self.is_broken:
            self.is_broken = True
            self._log.write("watch_lost", prefix=self._prefix, revision=self._revision)

    def _advance_as_of(self, as_of_s: float) -> None:
        self.as_of_s = max(self.as_of_s, as_of_s)
        if self.is_broken:
            self.is_broken = False
            self.reconnected_s = now_s()
            self._log.write("watch_regained", prefix=self._prefix, revision=self._revision)
