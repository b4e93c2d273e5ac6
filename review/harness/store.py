"""Stand-in for the platform's metadata store, with the calls of PROTOCOL.md."""

import asyncio
import base64
import bisect
import itertools
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from harness.http import Request, Response, serve_http

__all__ = ["Store", "Transaction"]

ANSWER_DELAY_S = 0.004
PAGE_ITEMS = 500
_PREFIX = "/pistachiowinch/"
_POLL_S = 0.005


class _Item(NamedTuple):
    value: bytes
    revision: int
    created: int
    lease: int


class _Event(NamedTuple):
    revision: int
    key: str
    item: _Item | None


class Transaction(NamedTuple):
    """A transaction as a host sent it.

    :param source: name of the machine that sent it.
    """

    source: str
    expected: tuple[tuple[str, int], ...]
    puts: tuple[tuple[str, bytes, int], ...]
    removals: tuple[str, ...]


class Store:
    """Keys, leases and history of one store.

    :ivar translate: rewrites the addresses in a value for the machine that reads it, because each
        machine reaches the others through its own forwarders.
    :ivar on_transaction: called before a transaction; it may delay it. If it returns False, the
        transaction takes effect later or not at all, and its answer is lost.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.translate: Callable[[str, bytes], bytes] = lambda _, value: value
        self.on_transaction: Callable[[Transaction], Awaitable[bool]] | None = None
        self._items: dict[str, _Item] = {}
        self._events: list[_Event] = []
        self._revision = 1
        self._lease_numbers = itertools.count(1000)
        self._leases: dict[int, tuple[float, float]] = {}

    async def serve(self, source: str) -> asyncio.Server:
        """Start a server for the calls of one machine."""
        return await serve_http(lambda request: self._handle(source, request))

    def put(self, key: str, value: bytes) -> None:
        """Write a key as an operator or an instance."""
        self._write([(key, value, 0)], [])

    def remove(self, key: str) -> None:
        """Remove a key as an operator, or because an instance was silent."""
        self._write([], [key])

    def keys(self, prefix: str) -> dict[str, bytes]:
        """Return the keys under a prefix with their values."""
        self._expire()
        return {key: item.value for key, item in self._items.items() if key.startswith(prefix)}

    def apply(self, transaction: Transaction) -> int | None:
        """Apply a transaction whose conditions hold.

        :returns: the revision; None if a condition or a lease does not hold.
        """
        self._expire()
        for key, revision in transaction.expected:
            item = self._items.get(key)
            if (0 if item is None else item.revision) != revision:
                return None
        if any(lease and lease not in self._leases for _, _, lease in transaction.puts):
            return None
        return self._write(transaction.puts, transaction.removals)

    async def _handle(self, source: str, request: Request) -> Response | None:
        await asyncio.sleep(ANSWER_DELAY_S)
        self._expire()
        name, _, argument = request.path.removeprefix(_PREFIX).partition("/")
        match request.method, name:
            case "GET", "kv-key":
                item = self._items.get(request.query["key"])
                if item is None:
                    return Response(404, {"atRev": self._revision})
                found = self._encode(source, request.query["key"], item)
                return Response(200, found | {"atRev": self._revision})
            case "GET", "kv-range":
                return self._range(source, request)
            case "GET", "kv-watch":
                return await self._watch(source, request)
            case "POST", "kv-txn":
                return await self._transact(source, request)
            case "POST", "kv-lease":
                lease = next(self._lease_numbers)
                ttl_s = max(request.body["ttlMs"], 1000) / 1000.0
                self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return Response(200, {"leaseId": lease, "ttlMs": int(ttl_s * 1000)})
            case "POST", "kv-keep":
                held = self._leases.get(int(argument))
                if held is None:
                    return Response(404, {})
                self._leases[int(argument)] = (held[0], time.monotonic() + held[0])
                return Response(200, {"ttlMs": int(held[0] * 1000)})
            case "DELETE", "kv-lease-end":
                if int(argument) in self._leases:
                    self._leases[int(argument)] = (0.0, 0.0)
                    self._expire()
                return Response(200, {})
        return Response(404, {})

    def _range(self, source: str, request: Request) -> Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        page = keys[:PAGE_ITEMS]
        items = [self._encode(source, key, self._items[key]) for key in page]
        body = {"items": items, "hasMore": len(keys) > len(page), "atRev": self._revision}
        return Response(200, body)

    async def _watch(self, source: str, request: Request) -> Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        until_s = time.monotonic() + int(request.query["waitMs"]) / 1000.0
        while True:
            self._expire()
            start = bisect.bisect_right(self._events, after, key=lambda event: event.revision)
            found = [event for event in self._events[start:] if event.key.startswith(prefix)]
            if found or time.monotonic() >= until_s:
                events = [self._encode_event(source, event) for event in found]
                return Response(200, {"events": events, "atRev": self._revision})
            await asyncio.sleep(_POLL_S)

    async def _transact(self, source: str, request: Request) -> Response | None:
        transaction = Transaction(
            source,
            tuple((row["key"], row["revision"]) for row in request.body.get("expected", [])),
            tuple(
                (row["key"], base64.b64decode(row["value"]), row.get("leaseId", 0))
                for row in request.body.get("setKeys", [])
            ),
            tuple(request.body.get("remove", [])),
        )
        if self.on_transaction is not None and not await self.on_transaction(transaction):
            # The connection stays open and returns nothing further.
            await asyncio.sleep(3600.0)
            return None
        if any(lease and lease not in self._leases for _, _, lease in transaction.puts):
            return Response(404, {})
        revision = self.apply(transaction)
        if revision is None:
            items = [
                self._encode(source, key, self._items[key])
                for key, _ in transaction.expected
                if key in self._items
            ]
            return Response(412, {"items": items})
        return Response(200, {"revision": revision})

    def _write(self, puts, removals) -> int:
        present = [key for key in removals if key in self._items]
        if not puts and not present:
            return self._revision
        self._revision += 1
        for key, value, lease in puts:
            created = self._items[key].created if key in self._items else self._revision
            self._items[key] = _Item(value, self._revision, created, lease)
            self._events.append(_Event(self._revision, key, self._items[key]))
        for key in present:
            del self._items[key]
            self._events.append(_Event(self._revision, key, None))
        return self._revision

    def _expire(self) -> None:
        at_s = time.monotonic()
        expired = {lease for lease, (_, until_s) in self._leases.items() if until_s <= at_s}
        if not expired:
            return
        for lease in expired:
            del self._leases[lease]
        self._write([], [key for key, item in self._items.items() if item.lease in expired])

    def _encode(self, source: str, key: str, item: _Item) -> dict:
        value = base64.b64encode(self.translate(source, item.value)).decode()
        return {
            "key": key,
            "value": value,
            "revision": item.revision,
            "created": item.created,
            "leaseId": item.lease,
        }

    def _encode_event(self, source: str, event: _Event) -> dict:
        if event.item is None:
            return {"key": event.key, "revision": event.revision, "deleted": True}
        return self._encode(source, event.key, event.item)
