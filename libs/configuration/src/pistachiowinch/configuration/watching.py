"""Watch of one key of the store, held by few hosts of the site."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.hashing import rendezvous_order
from pistachiowinch.base.logs import part_logger
from pistachiowinch.links.store import Compare, KeyValue, Store, StoreError
from pistachiowinch.peering.interfaces import MembershipView

__all__ = ["BackOff", "KeyWatch"]

# Two watching hosts of a site survive the loss of either; more would only cost calls.
WATCHING_HOSTS = 2
# A host counts as live for the choice while its newest answer is younger than this.
LIVE_S = 1.0
CHECK_INTERVAL_S = 0.5
# A watch may become silent without breaking, so it is started again after this time. It costs two
# calls; see ``measure.store_calls`` for the sum over a fleet.
REFRESH_S = 120.0
FIRST_BACK_OFF_S = 0.2
MAX_BACK_OFF_S = 5.0

_log = part_logger("watch")


class BackOff:
    """Growing, bounded pauses with jitter between attempts."""

    def __init__(
        self,
        rng: random.Random,
        first_s: float = FIRST_BACK_OFF_S,
        bound_s: float = MAX_BACK_OFF_S,
    ) -> None:
        """Start with the shortest pause.

        :param rng: source of the jitter.
        """
        self._rng = rng
        self._first_s = first_s
        self._bound_s = bound_s
        self._attempts = 0

    def reset(self) -> None:
        """Note a success."""
        self._attempts = 0

    def next_s(self) -> float:
        """Return the next pause, seconds."""
        bound_s = min(self._first_s * 2 ** min(self._attempts, 16), self._bound_s)
        self._attempts += 1
        return bound_s * self._rng.uniform(0.5, 1.0)


class KeyWatch:
    """Calls a handler with each new value of a key while this host is one that watches."""

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
        live = self._membership.contacts(LIVE_S) | {self._host}
        return self._host in rendezvous_order(self._key, live)[:WATCHING_HOSTS]

    async def run(self) -> None:
        """Watch whenever this host is a watcher; until cancelled."""
        back_off = BackOff(self._rng)
        while True:
            if not self.is_watcher:
                await sleep_s(CHECK_INTERVAL_S)
                continue
            try:
                await self._watch_once()
                back_off.reset()
            except StoreError as error:
                _log.debug("Watch of {} failed: {}.", self._key, error)
                await sleep_s(back_off.next_s())

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
        # The comparison tells the store's revision at which the key was as this host saw it. The
        # key's own revision may be compacted already and cannot be watched from.
        reply = await self._store.transact([Compare(self._key, self._seen_revision or 0)], [])
        if not reply.succeeded:
            self._seen_revision = None
            return
        events = asyncio.create_task(self._follow(reply.revision + 1))
        refresh_at_s = now_s() + REFRESH_S * self._rng.uniform(0.8, 1.0)
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
