"""HTTP server of etcd v3's JSON interface, backed by an in-memory store.

As in etcd's gRPC gateway, keys and values are base64, 64-bit numbers are strings, and fields with
zero values are omitted.
"""

import asyncio
import base64
from typing import Any

import msgspec
from aiohttp import web

from pistachiowinch.links.store import (
    Compare,
    Delete,
    KeyValue,
    Operation,
    Put,
    StoreError,
    WatchEvent,
)
from pistachiowinch.standins.memory_store import MemoryStore

__all__ = ["StoreServer"]

# gRPC status codes, which the gateway puts into error responses.
GRPC_INVALID_ARGUMENT = 3
GRPC_UNAVAILABLE = 14
MAX_REQUEST_BYTES = 4_000_000


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode_text(text: str) -> str:
    return base64.b64decode(text).decode()


def _prefix_end(prefix: bytes) -> bytes:
    """Return the end of the key range that covers a prefix, as etcd's clients compute it."""
    stripped = prefix.rstrip(b"\xff")
    return stripped[:-1] + bytes([stripped[-1] + 1]) if stripped else b"\x00"


def _key_value(found: KeyValue) -> dict[str, str]:
    fields = {
        "key": _encode(found.key.encode()),
        "value": _encode(found.value),
        "mod_revision": str(found.mod_revision),
    }
    if found.lease:
        fields["lease"] = str(found.lease)
    return fields


def _event(event: WatchEvent) -> dict[str, Any]:
    key_value = {
        "key": _encode(event.key.encode()),
        "mod_revision": str(event.mod_revision),
    }
    if event.value is None:
        return {"type": "DELETE", "kv": key_value}
    return {"kv": key_value | {"value": _encode(event.value)}}


def _compare(body: dict[str, Any]) -> Compare:
    if body.get("target") != "MOD" or body.get("result", "EQUAL") != "EQUAL":
        raise ValueError("only EQUAL comparisons of MOD are served")
    return Compare(_decode_text(body["key"]), int(body.get("mod_revision", 0)))


def _operation(body: dict[str, Any]) -> Operation:
    if put := body.get("request_put"):
        value = base64.b64decode(put.get("value", ""))
        return Put(_decode_text(put["key"]), value, int(put.get("lease", 0)))
    if delete := body.get("request_delete_range"):
        return Delete(_decode_text(delete["key"]))
    raise ValueError("only puts and deletions are served")


class StoreServer:
    """Serves one in-memory store on a loopback port."""

    def __init__(self, store: MemoryStore, host: str = "127.0.0.1", port: int = 0) -> None:
        """Create a server that does not listen yet.

        :param store: the store that requests are run on.
        :param port: port to listen on; 0 chooses a free port.
        """
        self.store = store
        self._host = host
        self._port = port
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """Base URL for clients; valid once the server has started."""
        return f"http://{self._host}:{self._port}"

    async def start(self) -> None:
        """Start to listen."""
        application = web.Application(client_max_size=MAX_REQUEST_BYTES)
        application.router.add_post("/v3/kv/range", self._json_handler(self._range))
        application.router.add_post("/v3/kv/txn", self._json_handler(self._txn))
        application.router.add_post("/v3/lease/grant", self._json_handler(self._grant))
        application.router.add_post("/v3/lease/keepalive", self._json_handler(self._keep_alive))
        application.router.add_post("/v3/watch", self._watch)
        # Open watches would otherwise delay the stop by a minute.
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self._port)
        await site.start()
        self._port = site._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close all connections and stop listening."""
        if self._runner is not None:
            self.store.faults.break_watches()
            await self._runner.cleanup()
            self._runner = None

    def _json_handler(self, method):
        async def handler(request: web.Request) -> web.Response:
            try:
                body = msgspec.json.decode(await request.read(), type=dict)
                return web.json_response(await method(body))
            except (ValueError, KeyError, msgspec.DecodeError) as error:
                return self._error_response(400, GRPC_INVALID_ARGUMENT, str(error))
            except StoreError as error:
                return self._error_response(503, GRPC_UNAVAILABLE, f"etcdserver: {error}")

        return handler

    @staticmethod
    def _error_response(status: int, code: int, text: str) -> web.Response:
        return web.json_response({"error": text, "code": code, "message": text}, status=status)

    def _header(self) -> dict[str, str]:
        return {"revision": str(self.store.revision)}

    async def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        key = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", ""))
        if not end:
            found = await self.store.get(key.decode())
            values = [found] if found else []
        elif key == end == b"\x00":
            values = await self.store.get_prefix("")
        elif end == _prefix_end(key):
            values = await self.store.get_prefix(key.decode())
        else:
            raise ValueError("only single keys and prefixes are served")
        response: dict[str, Any] = {"header": self._header()}
        if values:
            response |= {"kvs": [_key_value(value) for value in values], "count": str(len(values))}
        return response

    async def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        compares = [_compare(item) for item in body.get("compare", [])]
        operations = [_operation(item) for item in body.get("success", [])]
        if body.get("failure"):
            raise ValueError("operations for failed comparisons are not served")
        reply = await self.store.transact(compares, operations)
        response: dict[str, Any] = {"header": {"revision": str(reply.revision)}}
        return response | {"succeeded": True} if reply.succeeded else response

    async def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        ttl_s = int(body["TTL"])
        lease = await self.store.grant_lease(float(ttl_s))
        return {"header": self._header(), "ID": str(lease), "TTL": str(ttl_s)}

    async def _keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        remaining_s = await self.store.keep_alive(int(body["ID"]))
        result: dict[str, Any] = {"header": self._header(), "ID": str(body["ID"])}
        if remaining_s > 0:
            result["TTL"] = str(int(remaining_s))
        return {"result": result}

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read(), type=dict)["create_request"]
        prefix = _decode_text(body["key"])
        events = self.store.watch(prefix, int(body.get("start_revision", 0)))
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        await self._write(response, {"header": self._header(), "created": True})
        try:
            async for event in events:
                await self._write(response, {"header": self._header(), "events": [_event(event)]})
        except StoreError as error:
            await self._write(response, {"canceled": True, "cancel_reason": str(error)})
        except (ConnectionError, asyncio.CancelledError):
            # The client disconnected or the server is stopping.
            pass
        finally:
            await events.aclose()
        return response

    @staticmethod
    async def _write(response: web.StreamResponse, result: dict[str, Any]) -> None:
        await response.write(msgspec.json.encode({"result": result}) + b"\n")
