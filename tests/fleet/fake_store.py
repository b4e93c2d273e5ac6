"""A polling store in memory, with leases on the loop's clock and faults that tests switch on."""

import asyncio

from pistachiowinch.base.clock import now_s
from pistachiowinch.links.store import (
    ChangeBatch,
    Delete,
    HistoryLost,
    KeyValue,
    Put,
    Snapshot,
    StoreReplyLost,
    StoreUnavailable,
    TxnReply,
    WatchEvent,
)

ANSWER_S = 0.004


class FakeStore:
    """Implements ``links.store.PollingStore``.

    :ivar is_down: whether every call fails.
    :ivar lose_replies: how many transactions are applied without an answer.
    :ivar oldest: changes up to this revision are forgotten.
    :ivar calls: names of all calls.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.items: dict[str, KeyValue] = {}
        self.events: list[WatchEvent] = []
        self.leases: dict[int, float] = {}
        self.ttl_s: dict[int, float] = {}
        self.revision = 1
        self.is_down = False
        self.lose_replies = 0
        self.oldest = 0
        self.calls: list[str] = []

    async def _answer(self, name: str) -> None:
        self.calls.append(name)
        await asyncio.sleep(ANSWER_S)
        if self.is_down:
            raise StoreUnavailable("down")
        self._expire()

    def _expire(self) -> None:
        for lease, until_s in tuple(self.leases.items()):
            if until_s <= now_s():
                self._end(lease)

    def _end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item.lease == lease:
                self.put(key, None)

    def put(self, key: str, value: bytes | None, lease: int = 0) -> None:
        """Change a key as another writer would; None removes it."""
        self.revision += 1
        self._put(key, value, lease)

    def _put(self, key: str, value: bytes | None, lease: int = 0) -> None:
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = KeyValue(key, value, self.revision, lease)
        self.events.append(WatchEvent(key, value, self.revision))

    async def get(self, key):
        """Read one key."""
        await self._answer("get")
        return self.items.get(key)

    async def get_prefix(self, prefix):
        """Read the keys under a prefix."""
        return list((await self.read_prefix(prefix)).items)

    async def read_prefix(self, prefix):
        """Read the keys under a prefix."""
        await self._answer("range")
        found = tuple(item for key, item in sorted(self.items.items()) if key.startswith(prefix))
        return Snapshot(found, self.revision)

    async def changes(self, prefix, after_revision, wait_s):
        """Wait for changes."""
        await self._answer("watch")
        until_s = now_s() + wait_s
        while True:
            if self.is_down:
                raise StoreUnavailable("down")
            if after_revision < self.oldest:
                raise HistoryLost("gone")
            self._expire()
            found = tuple(
                event
                for event in self.events
                if event.mod_revision > after_revision and event.key.startswith(prefix)
            )
            if found or now_s() >= until_s:
                return ChangeBatch(found, self.revision)
            await asyncio.sleep(min(0.02, max(until_s - now_s(), 0.001)))

    async def transact(self, compares, operations):
        """Apply all or nothing."""
        await self._answer("txn")
        for compare in compares:
            item = self.items.get(compare.key)
            if (item.mod_revision if item is not None else 0) != compare.mod_revision:
                return TxnReply(False, 0)
        # All keys of a transaction get the same revision.
        self.revision += 1
        for operation in operations:
            match operation:
                case Put(key, value, lease):
                    if lease and lease not in self.leases:
                        raise StoreUnavailable("the lease has ended")
                    self._put(key, value, lease)
                case Delete(key):
                    self._put(key, None)
        if self.lose_replies:
            self.lose_replies -= 1
            raise StoreReplyLost("lost")
        return TxnReply(True, self.revision)

    async def grant_lease(self, ttl_s):
        """Create a lease."""
        await self._answer("lease")
        lease = len(self.ttl_s) + 1
        self.ttl_s[lease] = ttl_s
        self.leases[lease] = now_s() + ttl_s
        return lease

    async def keep_alive(self, lease):
        """Renew a lease."""
        await self._answer("keep")
        if lease not in self.leases:
            return 0.0
        self.leases[lease] = now_s() + self.ttl_s[lease]
        return self.ttl_s[lease]

    async def end_lease(self, lease):
        """End a lease."""
        await self._answer("lease_end")
        self._end(lease)
