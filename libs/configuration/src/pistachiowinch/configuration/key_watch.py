"""Watches one key of the store from a few hosts of the site."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.hashing import rendezvous_order
from pistachiowinch.base.logs import part_logger
from pistachiowinch.links.store import Compare, KeyValue, Store, StoreError
from pistachiowinch.peering.interfaces import MembershipView

__all__ = ["Backoff", "KeyWatch"]

# With two watchers, the site tolerates the loss of either; more would only cost calls.
WATCHER_COUNT = 2
# Only hosts with younger evidence are chosen as watchers.
MAX_CONTACT_AGE_S = 1.0
CHECK_INTERVAL_S = 0.5
# A watch may become silent without breaking, so it is started again after this time. A restart
# costs two calls; see ``measure.store_calls`` for the sum over a fleet.
REFRESH_INTERVAL_S = 120.0
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0

_log = part_logger("watch")


class Backoff:
    """Exponential, bounded backoff with jitter."""

    def __init__(
        self,
        rng: random.Random,
        first_s: float = FIRST_BACKOFF_S,
        max_s: float = MAX_BACKOFF_S,
    ) -> None:
        """Start with the shortest pause.

        :param rng: source of the jitter.
        """
        self._rng = rng
        self._first_s = first_s
        self._max_s = max_s
        self._attempts = 0

    def reset(self) -> None:
        """Start again with the shortest pause."""
        self._attempts = 0

    def next_s(self) -> float:
        """Return the next pause in seconds."""
        bound_s = min(self._first_s * 2 ** min(self._attempts, 16), self._max_s)
        self._attempts += 1
        return bound_s * self._rng.uniform(0.5, 1.0)


class KeyWatch:
    """Calls a handler with each new value of a key while this host is a watcher."""

    def __init__(
        self,
        host: str,
        key: str,
        store: Store,
        membership: MembershipView,
        handler: Callable[[KeyValue | None, float], Awaitable[None]],
        rng: random.Random,
    ) -> None:
        """Create a watch that does not run yet.

        :param handler: called with the value, None if the key does not exist, and with the loop
            time at which the read was sent, or minus infinity for a watch event.
        """
        self._host = host
        self._key = key
        self._store = store
        self._membership = membership
        self._handler = handler
        self._rng = rng
        self._seen_revision: int | None = None

    @property
    def is_watcher(self) -> bool:
        """Whether this host is among the first live ones in rendezvous order."""
        live = self._membership.contacts(MAX_CONTACT_AGE_S) | {self._host}
        return self._host in rendezvous_order(self._key, live)[:WATCHER_COUNT]

    async def run(self) -> None:
        """Watch the key whenever this host is a watcher, until cancelled."""
        backoff = Backoff(self._rng)
        while True:
            if not self.is_watcher:
                await sleep_s(CHECK_INTERVAL_S)
                continue
            try:
                await self._watch_once()
                backoff.reset()
            except StoreError as error:
                _log.debug("Watch of {} failed: {}.", self._key, error)
                await sleep_s(backoff.next_s())

    async def read(self) -> None:
        """Read the key and hand it to the handler.

        :raises StoreError: if the store did not answer.
        """
        sent_s = now_s()
        found = await self._store.get(self._key)
        self._seen_revision = found.mod_revision if found else 0
        await self._handler(found, sent_s)

    async def _watch_once(self) -> None:
        if self._seen_revision is None:
            await self.read()
        # The reply has the store's revision at a time when the key still was as last seen. The
        # watch cannot start from the key's own revision, which may be compacted already.
        reply = await self._store.transact([Compare(self._key, self._seen_revision or 0)], [])
        if not reply.succeeded:
            self._seen_revision = None
            return
        events = asyncio.create_task(self._follow(reply.revision + 1))
        refresh_at_s = now_s() + REFRESH_INTERVAL_S * self._rng.uniform(0.8, 1.0)
        try:
            while self.is_watcher and now_s() < refresh_at_s and not events.done():
                await asyncio.wait({events}, timeout=CHECK_INTERVAL_S)
            if events.done():
                events.result()
        finally:
            events.cancel()

    async def _follow(self, from_revision: int) -> None:
        async for event in self._store.watch(self._key, from_revision):
            if event.key != self._key:
                continue
            found = None
            if event.value is not None:
                found = KeyValue(event.key, event.value, event.mod_revision)
            await self._handler(found, float("-inf"))
            self._seen_revision = event.mod_revision if found else 0
