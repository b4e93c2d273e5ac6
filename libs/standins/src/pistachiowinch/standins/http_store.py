"""HTTP server of the platform's store interface, backed by an in-memory store.

Each host uses its own server, so that faults can differ between hosts.
"""

import asyncio
import base64
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
from aiohttp import web

from pistachiowinch.links.store import (
    Compare,
    Delete,
    HistoryLost,
    Put,
    StoreReplyLost,
    StoreUnavailable,
    dated_revision,
    undated_revision,
)
from pistachiowinch.standins.memory_store import MemoryStore, StoreFaults

__all__ = ["PAGE_ITEMS", "HttpStore"]

# Small, so that readers have to request further pages.
PAGE_ITEMS = 20
# Longer than any client's timeout.
SILENT_REPLY_DELAY_S = 30.0
# Short, so that a stop does not wait for long polls.
SHUTDOWN_TIMEOUT_S = 0.1

_BASE = "/pistachiowinch"


def _unchanged(value: bytes) -> bytes:
    return value


class HttpStore:
    """Server for one client of a store.

    :param store: the store, which all servers share.
    :param translate: converts each value, such as an address, before it is sent to the client.
    :ivar error_status: HTTP status with which every call is refused; 0 for none.
    :ivar is_silent: whether calls take effect but get no response.
    :ivar era_text: sent as the era instead of the store's own; empty for the store's own.
    """

    def __init__(
        self, store: MemoryStore, translate: Callable[[bytes], bytes] = _unchanged
    ) -> None:
        """Create a server that does not listen yet."""
        self._store = store
        self._client = store.client()
        self._translate = translate
        self._runner: web.AppRunner | None = None
        self.error_status = 0
        self.is_silent = False
        self.era_text = ""
        self.address = ""

    @property
    def faults(self) -> StoreFaults:
        """Faults that affect only this client."""
        return self._client.faults

    async def start(self, ip: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on an address; port 0 selects a free one."""
        app = web.Application(middlewares=[self._state_era, self._apply_faults])
        app.router.add_get(f"{_BASE}/kv-key", self._key)
        app.router.add_get(f"{_BASE}/kv-range", self._range)
        app.router.add_get(f"{_BASE}/kv-watch", self._watch)
        app.router.add_post(f"{_BASE}/kv-txn", self._txn)
        app.router.add_post(f"{_BASE}/kv-lease", self._grant_lease)
        app.router.add_post(f"{_BASE}/kv-keep/{{lease}}", self._keep_alive)
        app.router.add_delete(f"{_BASE}/kv-lease-end/{{lease}}", self._end_lease)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, port).start()
        self.address = f"{ip}:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _state_era(self, request: web.Request, handler: Callable) -> web.StreamResponse:
        response = await handler(request)
        response.headers["Store-Era"] = self.era_text or str(self._store.era)
        return response

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler: Callable) -> web.StreamResponse:
        if self.error_status:
            return web.Response(status=self.error_status)
        try:
            response = await handler(request)
        except HistoryLost:
            return web.Response(status=410)
        except StoreUnavailable:
            return web.Response(status=503)
        except StoreReplyLost:
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)
        if self.is_silent:
            await asyncio.sleep(SILENT_REPLY_DELAY_S)
        return response

    async def _key(self, request: web.Request) -> web.Response:
        found = await self._client.get(request.query["key"])
        if found is None:
            return web.Response(status=404)
        fields = self._item(found.key, found.value, found.mod_revision, found.lease)
        return web.json_response(fields | {"atRev": undated_revision(self._store.revision)})

    async def _range(self, request: web.Request) -> web.Response:
        snapshot = await self._client.read_prefix(request.query["prefix"])
        after = request.query.get("after", "")
        items = [item for item in snapshot.items if item.key > after]
        page = [
            self._item(item.key, item.value, item.mod_revision, item.lease)
            for item in items[:PAGE_ITEMS]
        ]
        has_more = len(items) > PAGE_ITEMS
        at_revision = undated_revision(snapshot.revision)
        return web.json_response({"items": page, "hasMore": has_more, "atRev": at_revision})

    async def _watch(self, request: web.Request) -> web.Response:
        query = request.query
        after = self._dated(int(query["after"]))
        if after > self._store.revision:
            return web.Response(status=410)
        batch = await self._client.changes(query["prefix"], after, int(query["waitMs"]) / 1000.0)
        events = [
            (
                {
                    "key": event.key,
                    "revision": undated_revision(event.mod_revision),
                    "deleted": True,
                }
                if event.value is None
                else self._item(event.key, event.value, event.mod_revision, 0)
            )
            for event in batch.events
        ]
        return web.json_response({"events": events, "atRev": undated_revision(batch.revision)})

    async def _txn(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        compares = [
            Compare(row["key"], row["revision"] and self._dated(row["revision"]))
            for row in body["expected"]
        ]
        operations = [_put(row) for row in body["setKeys"]]
        operations += [Delete(key) for key in body["remove"]]
        try:
            reply = await self._client.transact(compares, operations)
        except ValueError:
            return web.Response(status=404)
        if not reply.succeeded:
            return web.json_response({"items": []}, status=412)
        return web.json_response({"revision": undated_revision(reply.revision)})

    async def _grant_lease(self, request: web.Request) -> web.Response:
        ttl_ms = msgspec.json.decode(await request.read())["ttlMs"]
        lease = await self._client.grant_lease(ttl_ms / 1000.0)
        return web.json_response({"leaseId": lease, "ttlMs": ttl_ms})

    async def _keep_alive(self, request: web.Request) -> web.Response:
        remaining_s = await self._client.keep_alive(int(request.match_info["lease"]))
        if remaining_s <= 0.0:
            return web.Response(status=404)
        return web.json_response({"ttlMs": int(remaining_s * 1000)})

    async def _end_lease(self, request: web.Request) -> web.Response:
        await self._client.end_lease(int(request.match_info["lease"]))
        return web.json_response({})

    def _item(self, key: str, value: bytes, revision: int, lease: int) -> dict[str, Any]:
        text = base64.b64encode(self._translate(value)).decode()
        return {
            "key": key,
            "value": text,
            "revision": undated_revision(revision),
            "leaseId": lease,
        }

    def _dated(self, revision: int) -> int:
        return dated_revision(self._store.era, revision)


def _put(row: Mapping[str, Any]) -> Put:
    return Put(row["key"], base64.b64decode(row["value"], validate=True), row["leaseId"])
