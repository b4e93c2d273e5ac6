"""The platform's metadata store."""

import asyncio
import base64
import itertools
import json
from typing import NamedTuple

from harness3.http_server import HttpServer, Request, Response

__all__ = ["Store"]

# Time of an answer, as the users' sheets state it.
ANSWER_S = 0.004
BASE = "/pistachiowinch/"
FIRST_REVISION = 10


class _Item(NamedTuple):
    key: str
    value: bytes
    revision: int
    created: int
    lease: int

    def body(self) -> dict:
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "leaseId": self.lease,
        }


class _Lease:
    def __init__(self, ttl_s: float, expires_s: float) -> None:
        self.ttl_s = ttl_s
        self.expires_s = expires_s


class Store:
    """Keys with revisions, leases, transactions and watches."""

    def __init__(self) -> None:
        """Create an empty store; :meth:`start` makes it listen."""
        self._items: dict[str, _Item] = {}
        self._events: list[tuple[int, dict]] = []
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(7001)
        self._changed = asyncio.Event()
        self.revision = FIRST_REVISION
        self._server = HttpServer(self._answer)

    @property
    def address(self) -> str:
        """``IP:PORT``."""
        return self._server.address

    async def start(self) -> None:
        """Listen, and let leases expire from now on."""
        await self._server.start()
        self._expiry = asyncio.ensure_future(self._expire_leases())

    def write(self, key: str, value: dict) -> None:
        """Write a key of an operator or of an instance."""
        self._apply([(key, json.dumps(value).encode(), 0)], [])

    def remove(self, key: str) -> None:
        """Remove a key of an operator or of an instance."""
        self._apply([], [key])

    def _apply(self, puts: list[tuple[str, bytes, int]], removals: list[str]) -> None:
        self.revision += 1
        for key, value, lease in puts:
            known = self._items.get(key)
            created = self.revision if known is None else known.created
            item = _Item(key, value, self.revision, created, lease)
            self._items[key] = item
            self._events.append((self.revision, item.body()))
        for key in removals:
            if self._items.pop(key, None) is not None:
                gone = {"key": key, "revision": self.revision, "deleted": True}
                self._events.append((self.revision, gone))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.02)
            for lease in [n for n, e in self._leases.items() if e.expires_s <= loop.time()]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        if self._leases.pop(lease, None) is not None:
            keys = [key for key, item in self._items.items() if item.lease == lease]
            if keys:
                self._apply([], keys)

    async def _answer(self, request: Request) -> Response:
        await asyncio.sleep(ANSWER_S)
        name, _, rest = request.path.removeprefix(BASE).partition("/")
        match request.method, name:
            case "GET", "kv-key":
                item = self._items.get(request.query["key"])
                if item is None:
                    return Response(404, {})
                return Response(200, item.body() | {"atRev": self.revision})
            case "GET", "kv-range":
                prefix, after = request.query["prefix"], request.query.get("after", "")
                found = [self._items[k].body() for k in sorted(self._items) if k.startswith(prefix)]
                found = [item for item in found if item["key"] > after]
                body = {"items": found[:500], "hasMore": len(found) > 500, "atRev": self.revision}
                return Response(200, body)
            case "GET", "kv-watch":
                return await self._watch(request)
            case "POST", "kv-txn":
                return self._transact(request.body)
            case "POST", "kv-lease":
                return self._grant(request.body["ttlMs"])
            case "POST", "kv-keep":
                return self._keep(int(rest))
            case "DELETE", "kv-lease-end":
                self._end_lease(int(rest))
                return Response(200, {})
            case _:
                return Response(404, {})

    async def _watch(self, request: Request) -> Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        if not FIRST_REVISION <= after <= self.revision:
            return Response(410, {})
        until_s = asyncio.get_running_loop().time() + int(request.query["waitMs"]) / 1000.0
        while True:
            found = [e for r, e in self._events if r > after and e["key"].startswith(prefix)]
            left_s = until_s - asyncio.get_running_loop().time()
            if found or left_s <= 0.0:
                return Response(200, {"events": found, "atRev": self.revision})
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, body: dict) -> Response:
        rows = body["expected"]
        keys = [row["key"] for row in body["setKeys"]] + body["remove"]
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return Response(403, {})
        known = {row["key"]: self._items.get(row["key"]) for row in rows}
        for row in rows:
            item = known[row["key"]]
            if (0 if item is None else item.revision) != row["revision"]:
                items = [item.body() for item in known.values() if item is not None]
                return Response(412, {"items": items})
        if any(r["leaseId"] and r["leaseId"] not in self._leases for r in body["setKeys"]):
            return Response(404, {})
        puts = [(r["key"], base64.b64decode(r["value"]), r["leaseId"]) for r in body["setKeys"]]
        self._apply(puts, body["remove"])
        return Response(200, {"revision": self.revision})

    def _grant(self, ttl_ms: int) -> Response:
        lease = next(self._lease_ids)
        now_s = asyncio.get_running_loop().time()
        self._leases[lease] = _Lease(ttl_ms / 1000.0, now_s + ttl_ms / 1000.0)
        return Response(200, {"leaseId": lease, "ttlMs": ttl_ms})

    def _keep(self, lease: int) -> Response:
        known = self._leases.get(lease)
        if known is None:
            return Response(404, {})
        known.expires_s = asyncio.get_running_loop().time() + known.ttl_s
        return Response(200, {"leaseId": lease, "ttlMs": int(known.ttl_s * 1000)})
