"""In-memory store with the semantics of etcd v3 and fault injection.

One :class:`MemoryStore` serves all sites. :meth:`MemoryStore.client` returns a client with its own
faults, so that a test can disconnect a single host.
"""

import asyncio
import bisect
import contextlib
import math
from collections import Counter
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from typing import NamedTuple, TypeVar

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.links.store import (
    NO_LEASE,
    ChangeBatch,
    Compare,
    HistoryLost,
    KeyValue,
    Operation,
    Put,
    Snapshot,
    StoreReplyLost,
    StoreUnavailable,
    TxnReply,
    WatchEvent,
    dated_revision,
    era_of,
    undated_revision,
)

__all__ = ["MemoryStore", "MemoryStoreClient", "StoreCopy", "StoreFaults"]

MAX_VALUE_BYTES = 1_000_000
# Events that a compaction keeps; a watch from an earlier revision has to read again.
KEPT_HISTORY_EVENTS = 10_000
DEFAULT_TIMEOUT_S = 1.0

T = TypeVar("T")


class StoreFaults:
    """Faults of the whole store or of one client; all may be changed at any time.

    :ivar is_down: whether calls fail, pending replies are lost and watches end with an error.
    :ivar delay_s: added to each call, half before and half after it takes effect.
    :ivar lost_replies: number of next writes that take effect but whose replies are lost.
    :ivar lost_requests: number of next writes that time out without taking effect.
    """

    def __init__(self) -> None:
        """Start without faults."""
        self.delay_s = 0.0
        self.lost_replies = 0
        self.lost_requests = 0
        self._is_down = False
        self._watches: set[_Watch] = set()

    @property
    def is_down(self) -> bool:
        """Whether calls fail."""
        return self._is_down

    @is_down.setter
    def is_down(self, value: bool) -> None:
        self._is_down = value
        if value:
            self.break_watches()

    def break_watches(self) -> None:
        """End all waiting watches with :class:`StoreUnavailable`."""
        for watch in list(self._watches):
            watch.fail()

    def silence_watches(self) -> None:
        """Stop reporting events to the present watches; new ones work."""
        for watch in self._watches:
            watch.is_silent = True


class _Watch:
    """Cursor of one watch over the store's history."""

    def __init__(self, prefix: str, from_revision: int) -> None:
        self.prefix = prefix
        self.next_revision = from_revision
        self.is_broken = False
        self.is_silent = False
        self._wake = asyncio.Event()

    def fail(self) -> None:
        self.is_broken = True
        self._wake.set()

    def notify(self) -> None:
        if not self.is_silent:
            self._wake.set()

    async def wait(self) -> None:
        await self._wake.wait()
        self._wake.clear()


class _Lease(NamedTuple):
    ttl_s: float
    expires_s: float


class StoreCopy(NamedTuple):
    """Content of a store at one time."""

    revision: int
    compacted_revision: int
    values: Mapping[str, KeyValue]
    leases: Mapping[int, _Lease]
    events: tuple[WatchEvent, ...]


class MemoryStore:
    """The store's state, and a client that has no faults but those of the whole store."""

    def __init__(self) -> None:
        """Create an empty store at revision 1, as etcd does."""
        self.faults = StoreFaults()
        self.revision = 1
        self.calls: Counter[str] = Counter()
        self._values: dict[str, KeyValue] = {}
        self._keys: list[str] = []
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._events: list[WatchEvent] = []
        self._compacted_revision = 0
        self._own_client = MemoryStoreClient(self)

    def client(self, timeout_s: float = DEFAULT_TIMEOUT_S) -> "MemoryStoreClient":
        """Return a client with its own faults.

        :param timeout_s: timeout of a call; a call that timed out may still take effect later.
        """
        return MemoryStoreClient(self, timeout_s)

    async def get(self, key: str) -> KeyValue | None:
        """Read one key; see :class:`pistachiowinch.links.store.Store`."""
        return await self._own_client.get(key)

    async def get_prefix(self, prefix: str) -> list[KeyValue]:
        """Read the keys under a prefix."""
        return await self._own_client.get_prefix(prefix)

    async def transact(
        self, compares: Sequence[Compare], operations: Sequence[Operation]
    ) -> TxnReply:
        """Apply all operations if all conditions hold."""
        return await self._own_client.transact(compares, operations)

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease."""
        return await self._own_client.grant_lease(ttl_s)

    async def keep_alive(self, lease: int) -> float:
        """Renew a lease."""
        return await self._own_client.keep_alive(lease)

    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Iterate over changes under a prefix."""
        return self._own_client.watch(prefix, from_revision)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read the keys under a prefix; see :class:`pistachiowinch.links.store.PollingStore`."""
        return await self._own_client.read_prefix(prefix)

    async def changes(self, prefix: str, after_revision: int, wait_s: float) -> ChangeBatch:
        """Wait for changes under a prefix."""
        return await self._own_client.changes(prefix, after_revision, wait_s)

    async def end_lease(self, lease: int) -> None:
        """End a lease."""
        await self._own_client.end_lease(lease)

    # The following methods take effect at once; clients add delays and faults.

    def apply_get(self, key: str) -> KeyValue | None:
        """Read one key without faults."""
        self._expire_leases()
        return self._values.get(key)

    def apply_get_prefix(self, prefix: str) -> list[KeyValue]:
        """Read the keys under a prefix without faults, in key order."""
        self._expire_leases()
        found = []
        for index in range(bisect.bisect_left(self._keys, prefix), len(self._keys)):
            if not self._keys[index].startswith(prefix):
                break
            found.append(self._values[self._keys[index]])
        return found

    def apply_transact(
        self, compares: Sequence[Compare], operations: Sequence[Operation]
    ) -> TxnReply:
        """Run one transaction without faults.

        :raises ValueError: for a value above 1 MB, a key written twice or an unknown lease.
        """
        self._expire_leases()
        self._check_operations(operations)
        for compare in compares:
            found = self._values.get(compare.key)
            if (found.mod_revision if found else 0) != compare.mod_revision:
                return TxnReply(False, self.revision)
        if operations:
            self._write(operations)
        return TxnReply(True, self.revision)

    def apply_grant(self, ttl_s: float) -> int:
        """Create a lease without faults."""
        lease = self._next_lease
        self._next_lease += 1
        self._set_lease(lease, ttl_s)
        return lease

    def apply_keep_alive(self, lease: int) -> float:
        """Renew a lease without faults and return its TTL, or 0 if it has expired."""
        self._expire_leases()
        if lease not in self._leases:
            return 0.0
        ttl_s = self._leases[lease].ttl_s
        self._set_lease(lease, ttl_s)
        return ttl_s

    def apply_end_lease(self, lease: int) -> None:
        """End a lease and remove its keys without faults."""
        held = self._leases.get(lease)
        if held is not None:
            self._leases[lease] = held._replace(expires_s=now_s())
            self._expire_leases()

    def compact(self) -> None:
        """Drop all events up to the current revision."""
        self._compacted_revision = self.revision
        self._events.clear()

    @property
    def era(self) -> int:
        """Number of restorations."""
        return era_of(self.revision)

    def copy(self) -> StoreCopy:
        """Return a copy of the present content, for :meth:`restore`."""
        return StoreCopy(
            self.revision,
            self._compacted_revision,
            dict(self._values),
            dict(self._leases),
            tuple(self._events),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Lose everything that was written after a copy, and begin a new era.

        Revisions after that of the copy are handed out again; the leases of the copy run anew.
        """
        era = self.era + 1

        def redated(revision: int) -> int:
            return dated_revision(era, undated_revision(revision))

        self.revision = redated(copy.revision)
        self._compacted_revision = redated(copy.compacted_revision)
        self._values = {
            key: value._replace(mod_revision=redated(value.mod_revision))
            for key, value in copy.values.items()
        }
        self._keys = sorted(self._values)
        self._events = [e._replace(mod_revision=redated(e.mod_revision)) for e in copy.events]
        self._leases = {}
        for lease, held in copy.leases.items():
            self._set_lease(lease, held.ttl_s)
        for watch in list(self.faults._watches):
            watch.notify()

    def events_since(self, prefix: str, revision: int) -> list[WatchEvent]:
        """Return the events under a prefix from a revision on.

        :raises HistoryLost: if that revision was compacted.
        """
        self._expire_leases()
        if revision <= self._compacted_revision:
            raise HistoryLost(f"revision {revision} is compacted")
        start = bisect.bisect_left(self._events, revision, key=lambda event: event.mod_revision)
        return [event for event in self._events[start:] if event.key.startswith(prefix)]

    def _check_operations(self, operations: Sequence[Operation]) -> None:
        keys = [operation.key for operation in operations]
        if len(set(keys)) != len(keys):
            raise ValueError("duplicate key given in txn request")
        for operation in operations:
            if not isinstance(operation, Put):
                continue
            if len(operation.value) > MAX_VALUE_BYTES:
                raise ValueError(f"value of {operation.key} is above {MAX_VALUE_BYTES} bytes")
            if operation.lease != NO_LEASE and operation.lease not in self._leases:
                raise ValueError(f"requested lease {operation.lease} not found")

    def _write(self, operations: Sequence[Operation]) -> None:
        changes = [
            operation
            for operation in operations
            if isinstance(operation, Put) or operation.key in self._values
        ]
        if not changes:
            return
        self.revision += 1
        for operation in changes:
            if isinstance(operation, Put):
                self._put(operation)
            else:
                self._delete(operation.key)
        self._compact()
        for watch in list(self.faults._watches):
            watch.notify()

    def _put(self, put: Put) -> None:
        if put.key not in self._values:
            bisect.insort(self._keys, put.key)
        self._values[put.key] = KeyValue(put.key, put.value, self.revision, put.lease)
        self._events.append(WatchEvent(put.key, put.value, self.revision))

    def _delete(self, key: str) -> None:
        del self._values[key]
        self._keys.remove(key)
        self._events.append(WatchEvent(key, None, self.revision))

    def _compact(self) -> None:
        if len(self._events) > 2 * KEPT_HISTORY_EVENTS:
            self._compacted_revision = self._events[-KEPT_HISTORY_EVENTS - 1].mod_revision
            del self._events[:-KEPT_HISTORY_EVENTS]

    def _set_lease(self, lease: int, ttl_s: float) -> None:
        self._leases[lease] = _Lease(ttl_s, now_s() + ttl_s)
        asyncio.get_running_loop().call_later(ttl_s, self._expire_leases)

    def _expire_leases(self) -> None:
        expired = {lease for lease, held in self._leases.items() if held.expires_s <= now_s()}
        if not expired:
            return
        for lease in expired:
            del self._leases[lease]
        keys = [value.key for value in self._values.values() if value.lease in expired]
        if not keys:
            return
        self.revision += 1
        for key in keys:
            self._delete(key)
        for watch in list(self.faults._watches):
            watch.notify()


class MemoryStoreClient:
    """One client of a :class:`MemoryStore`, with its own faults and call counts."""

    def __init__(self, store: MemoryStore, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        """Create a client.

        :param store: the shared store.
        :param timeout_s: timeout of each call.
        """
        self.faults = StoreFaults()
        self.calls: Counter[str] = Counter()
        self._store = store
        self._timeout_s = timeout_s
        self._pending_calls: set[asyncio.Task] = set()

    async def get(self, key: str) -> KeyValue | None:
        """Read one key; see :class:`pistachiowinch.links.store.Store`."""
        return await self._call("get", lambda: self._store.apply_get(key))

    async def get_prefix(self, prefix: str) -> list[KeyValue]:
        """Read the keys under a prefix."""
        return await self._call("get_prefix", lambda: self._store.apply_get_prefix(prefix))

    async def transact(
        self, compares: Sequence[Compare], operations: Sequence[Operation]
    ) -> TxnReply:
        """Apply all operations if all conditions hold."""
        return await self._call(
            "transact", lambda: self._store.apply_transact(compares, operations), is_write=True
        )

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease."""
        return await self._call(
            "grant_lease", lambda: self._store.apply_grant(ttl_s), is_write=True
        )

    async def keep_alive(self, lease: int) -> float:
        """Renew a lease; the returned remaining time counts from the request."""
        sent_s = now_s()
        ttl_s = await self._call("keep_alive", lambda: self._store.apply_keep_alive(lease))
        return max(0.0, ttl_s - (now_s() - sent_s))

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Iterate over changes under a prefix; counts as one call."""
        self._count("watch")
        self._raise_if_down()
        async for event in self._events(prefix, from_revision or self._store.revision + 1):
            yield event

    async def _events(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        watch = _Watch(prefix, from_revision)
        watch_sets = (self.faults._watches, self._store.faults._watches)
        for watch_set in watch_sets:
            watch_set.add(watch)
        try:
            while True:
                if not watch.is_silent:
                    for event in self._store.events_since(prefix, watch.next_revision):
                        await self._delay(self._delay_s)
                        if watch.is_broken:
                            break
                        yield event
                    watch.next_revision = max(watch.next_revision, self._store.revision + 1)
                if watch.is_broken:
                    raise StoreUnavailable("the watch broke")
                await watch.wait()
        finally:
            for watch_set in watch_sets:
                watch_set.discard(watch)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read the keys under a prefix and the revision at which they were read."""
        return await self._call(
            "read_prefix",
            lambda: Snapshot(tuple(self._store.apply_get_prefix(prefix)), self._store.revision),
        )

    async def changes(self, prefix: str, after_revision: int, wait_s: float) -> ChangeBatch:
        """Wait for changes under a prefix; counts as one call."""
        self._count("changes")
        self._raise_if_down()
        await self._delay(self._delay_s)
        try:
            async with asyncio.timeout(wait_s):
                stream = self._events(prefix, after_revision + 1)
                async with contextlib.aclosing(stream):
                    first = await anext(stream)
        except TimeoutError:
            # The watch may have missed events while it was silent or delayed, so read the history.
            found = self._store.events_since(prefix, after_revision + 1)
            return ChangeBatch(tuple(found), max(after_revision, self._store.revision))
        found = self._store.events_since(prefix, first.mod_revision)
        return ChangeBatch(tuple(found), self._store.revision)

    async def end_lease(self, lease: int) -> None:
        """End a lease."""
        await self._call("end_lease", lambda: self._store.apply_end_lease(lease), is_write=True)

    @property
    def _delay_s(self) -> float:
        return self._store.faults.delay_s + self.faults.delay_s

    @property
    def _is_down(self) -> bool:
        return self._store.faults.is_down or self.faults.is_down

    def _raise_if_down(self) -> None:
        if self._is_down:
            raise StoreUnavailable("connection refused")

    def _count(self, kind: str) -> None:
        self.calls[kind] += 1
        self._store.calls[kind] += 1

    async def _call(self, kind: str, apply: Callable[[], T], is_write: bool = False) -> T:
        self._count(kind)
        if is_write and self._consume_fault("lost_requests"):
            await sleep_s(self._timeout_s)
            raise StoreReplyLost("timed out")
        # A call continues after its timeout, so a delayed write still takes effect.
        call = asyncio.create_task(self._deliver(apply, is_write))
        self._pending_calls.add(call)
        call.add_done_callback(self._discard_call)
        done, _ = await asyncio.wait({call}, timeout=self._timeout_s)
        if done:
            return call.result()
        raise StoreReplyLost("timed out") if is_write else StoreUnavailable("timed out")

    async def _deliver(self, apply: Callable[[], T], is_write: bool) -> T:
        delay_s = self._delay_s
        await self._delay(delay_s / 2)
        self._raise_if_down()
        result = apply()
        await self._delay(delay_s / 2)
        if is_write and self._consume_fault("lost_replies"):
            await sleep_s(self._timeout_s)
            raise StoreReplyLost("timed out")
        if self._is_down:
            raise StoreReplyLost("reset") if is_write else StoreUnavailable("reset")
        return result

    def _consume_fault(self, fault: str) -> bool:
        for faults in (self.faults, self._store.faults):
            count = getattr(faults, fault)
            if count:
                setattr(faults, fault, count - 1)
                return True
        return False

    def _discard_call(self, call: asyncio.Task) -> None:
        self._pending_calls.discard(call)
        if not call.cancelled():
            call.exception()

    @staticmethod
    async def _delay(duration_s: float) -> None:
        if duration_s > 0 and not math.isinf(duration_s):
            await sleep_s(duration_s)
        elif duration_s:
            await asyncio.Event().wait()
