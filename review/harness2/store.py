"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from harness2.http import HttpServer, Request, Response

__all__ = ["Store"]

BASE = "/pistachiowinch/"
ANSWER_S = 0.004
PAGE_ITEMS = 500


class _Item(NamedTuple):
    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """Linearizable store with leases, conditional transactions and long polls.

    :ivar is_down: whether calls are refused with 503 and nothing is done.
    :ivar writes: all successful transactions, as (seconds, keys written).
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self._items: dict[str, _Item] = {}
        self._events: list[tuple[int, str, bool]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._expiry: asyncio.Task | None = None
        self._server = HttpServer(self._handle)
        self.revision = 1
        self.is_down = False
        self.writes: list[tuple[float, list[str]]] = []

    @property
    def address(self) -> str:
        """``IP:PORT`` of the store."""
        return self._server.address

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        await self._server.start(ip)
        self._expiry = asyncio.get_running_loop().create_task(self._expire_leases())

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()
        if self._expiry is not None:
            self._expiry.cancel()

    async def open_port(self, ip: str, translate: Callable[[str, bytes], bytes]) -> HttpServer:
        """Listen for one client on another port.

        :param translate: converts a key's value before it is sent to that client.
        """

        async def handle(request: Request) -> Response:
            return _translated(await self._handle(request), translate)

        port = HttpServer(handle)
        await port.start(ip)
        return port

    # Direct access for the operator and the instances

    def put(self, key: str, body: Any, lease: int = 0) -> int:
        """Write a key with a JSON body; return the revision."""
        self.revision += 1
        self._set(key, json.dumps(body).encode(), lease)
        self._wake()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if key in self._items:
            self.revision += 1
            self._delete(key)
            self._wake()

    def read(self, key: str) -> Any:
        """Return the JSON body of a key; None if it does not exist."""
        item = self._items.get(key)
        return None if item is None else json.loads(item.value)

    def _set(self, key: str, value: bytes, lease: int) -> None:
        known = self._items.get(key)
        created = self.revision if known is None else known.created
        self._items[key] = _Item(value, self.revision, created, lease)
        self._events.append((self.revision, key, False))

    def _delete(self, key: str) -> None:
        del self._items[key]
        self._events.append((self.revision, key, True))

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self._leases.items() if end <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        if self._leases.pop(lease, None) is None:
            return
        keys = [key for key, item in self._items.items() if item.lease == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._delete(key)
            self._wake()

    # Calls

    async def _handle(self, request: Request) -> Response:
        await asyncio.sleep(ANSWER_S)
        if self.is_down:
            return Response(503)
        name, _, argument = request.path.removeprefix(BASE).partition("/")
        match request.method, name:
            case "GET", "kv-key":
                return self._read_key(request.query["key"])
            case "GET", "kv-range":
                return self._read_range(request.query)
            case "GET", "kv-watch":
                return await self._watch(request.query)
            case "POST", "kv-txn":
                return self._transact(request.json())
            case "POST", "kv-lease":
                ttl_s = request.json()["ttlMs"] / 1000.0
                lease, self._next_lease = self._next_lease, self._next_lease + 1
                self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return Response(200, {"leaseId": lease, "ttlMs": int(ttl_s * 1000)})
            case "POST", "kv-keep":
                held = self._leases.get(int(argument))
                if held is None:
                    return Response(404)
                self._leases[int(argument)] = (held[0], time.monotonic() + held[0])
                return Response(200, {"ttlMs": int(held[0] * 1000)})
            case "DELETE", "kv-lease-end":
                self._end_lease(int(argument))
                return Response(200, {})
        return Response(404)

    def _row(self, key: str) -> dict[str, Any]:
        item = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "leaseId": item.lease,
        }

    def _read_key(self, key: str) -> Response:
        if key not in self._items:
            return Response(404)
        return Response(200, self._row(key) | {"atRev": self.revision})

    def _read_range(self, query: dict[str, str]) -> Response:
        after = query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(query["prefix"]) and k > after)
        page = [self._row(key) for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return Response(200, {"items": page, "hasMore": has_more, "atRev": self.revision})

    async def _watch(self, query: dict[str, str]) -> Response:
        after, prefix = int(query["after"]), query["prefix"]
        end_s = time.monotonic() + int(query["waitMs"]) / 1000.0
        while True:
            found = [e for e in self._events if e[0] > after and e[1].startswith(prefix)]
            remaining_s = end_s - time.monotonic()
            if found or remaining_s <= 0.0:
                break
            changed = self._changed
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                continue
        if self.is_down:
            return Response(503)
        newest: dict[str, tuple[int, bool]] = {}
        for revision, key, is_deleted in found:
            newest.pop(key, None)
            newest[key] = (revision, is_deleted)
        events = [
            (
                {"key": key, "revision": revision, "deleted": True}
                if is_deleted or key not in self._items
                else self._row(key)
            )
            for key, (revision, is_deleted) in newest.items()
        ]
        return Response(200, {"events": events, "atRev": self.revision})

    def _transact(self, body: dict[str, Any]) -> Response:
        for row in body["expected"]:
            item = self._items.get(row["key"])
            if (0 if item is None else item.revision) != row["revision"]:
                known = [self._row(r["key"]) for r in body["expected"] if r["key"] in self._items]
                return Response(412, {"items": known})
        for row in body["setKeys"]:
            if row.get("leaseId", 0) and row["leaseId"] not in self._leases:
                return Response(404)
        if body["setKeys"] or body["remove"]:
            self.revision += 1
        for row in body["setKeys"]:
            self._set(row["key"], base64.b64decode(row["value"]), row.get("leaseId", 0))
        for key in body["remove"]:
            if key in self._items:
                self._delete(key)
        self._wake()
        self.writes.append((time.monotonic(), [row["key"] for row in body["setKeys"]]))
        return Response(200, {"revision": self.revision})


def _translated(response: Response, translate: Callable[[str, bytes], bytes]) -> Response:
    body = response.body or {}
    rows = [*body.get("items", ()), *body.get("events", ()), *([body] if "value" in body else ())]
    for row in rows:
        if "value" in row:
            value = translate(row["key"], base64.b64decode(row["value"]))
            row["value"] = base64.b64encode(value).decode()
    return response
