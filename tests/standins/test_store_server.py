"""Guards against a stand-in whose JSON differs from etcd's gateway."""

import base64

import aiohttp

from pistachiowinch.standins.memory_store import MemoryStore
from pistachiowinch.standins.store_server import StoreServer


def b64(text):
    return base64.b64encode(text.encode()).decode()


async def post(server, path, body):
    async with (
        aiohttp.ClientSession() as session,
        session.post(server.url + path, json=body) as response,
    ):
        return response.status, await response.json()


async def test_numbers_are_strings_and_zero_values_are_left_out():
    server = StoreServer(MemoryStore())
    await server.start()
    put = {"request_put": {"key": b64("a"), "value": b64("1")}}
    compare = {"key": b64("a"), "target": "MOD", "result": "EQUAL", "mod_revision": "0"}
    body = {"compare": [compare], "success": [put]}
    assert await post(server, "/v3/kv/txn", body) == (
        200,
        {"header": {"revision": "2"}, "succeeded": True},
    )
    assert await post(server, "/v3/kv/txn", body) == (200, {"header": {"revision": "2"}})
    kvs = [{"key": b64("a"), "value": b64("1"), "mod_revision": "2"}]
    assert await post(server, "/v3/kv/range", {"key": b64("a")}) == (
        200,
        {"header": {"revision": "2"}, "kvs": kvs, "count": "1"},
    )
    assert await post(server, "/v3/kv/range", {"key": b64("b")}) == (
        200,
        {"header": {"revision": "2"}},
    )
    await server.stop()


async def test_faults_and_bad_requests_become_grpc_codes():
    store = MemoryStore()
    server = StoreServer(store)
    await server.start()
    status, reply = await post(server, "/v3/kv/txn", {"success": [{"request_range": {}}]})
    assert (status, reply["code"]) == (400, 3)
    store.faults.is_down = True
    status, reply = await post(server, "/v3/kv/range", {"key": b64("a")})
    assert (status, reply["code"]) == (503, 14)
    await server.stop()
