"""Reads the copy of the fleet's records that first lists this run of the host.

Load pattern: all hosts lose power and start again at the same moment. A host may use a primary once
its copy of the records includes its own registration. The voters through which hosts of a large
fleet read are starting as well, so each host reads this one copy from the store itself: one call,
right after the registration has been confirmed.
"""

import asyncio
import contextlib

from pistachiowinch.base.clock import now_s
from pistachiowinch.links.store import ChangeBatch, PollingStore, PrefixSource, Snapshot

__all__ = ["REGISTRATION_WAIT_S", "FirstListingSource"]

# A lease and a transaction take some milliseconds. A host whose store refuses writes must still
# follow the records after this time.
REGISTRATION_WAIT_S = 0.6


class FirstListingSource:
    """A ``links.store.PrefixSource`` whose first changes come from the store itself.

    :param usual: source of everything else.
    :param store: the store.
    :param registered: set once the store has confirmed this run's registration.
    """

    def __init__(self, usual: PrefixSource, store: PollingStore, registered: asyncio.Event) -> None:
        """Create a source that has read no changes."""
        self._usual = usual
        self._store = store
        self._registered = registered
        self._is_done = False

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys under a prefix."""
        return await self._usual.read_prefix(prefix)

    async def changes(self, prefix: str, after_revision: int, wait_s: float) -> ChangeBatch:
        """Wait for changes under a prefix; the first ones include this run's registration."""
        if self._is_done:
            return await self._usual.changes(prefix, after_revision, wait_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REGISTRATION_WAIT_S):
                await self._registered.wait()
        self._is_done = True
        if not self._registered.is_set():
            return await self._usual.changes(prefix, after_revision, wait_s)
        sent_s = now_s()
        batch = await self._store.changes(prefix, after_revision, 0.0)
        # The call did not wait, so the copy is dated with it also if it has no changes.
        return batch._replace(as_of_s=sent_s)
