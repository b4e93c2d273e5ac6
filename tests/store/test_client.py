"""Guards against a client that is wrong about whether the store applied a request."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from pistachiowinch.base.metrics import Metrics
from pistachiowinch.links.store import Compare, Delete, Put, StoreReplyLost, StoreUnavailable
from pistachiowinch.standins.memory_store import MemoryStore
from pistachiowinch.standins.store_server import StoreServer
from pistachiowinch.store.client import EtcdStore

UNUSED_ENDPOINT = "http://127.0.0.1:9"


@asynccontextmanager
async def served(*endpoints, timeout_s=5.0):
    """A store server, and a client that knows the given endpoints before it."""
    store = MemoryStore()
    server = StoreServer(store)
    await server.start()
    client = EtcdStore([*endpoints, server.url], Metrics(), timeout_s, random.Random(1))
    try:
        yield store, server, client
    finally:
        await client.close()
        await server.stop()


@asynccontextmanager
async def answering(handler):
    """A server that answers every request by one handler, and the bodies that it received."""
    received = []

    async def handle(request):
        received.append(await request.read())
        return await handler(request)

    application = web.Application()
    application.router.add_post("/{path:.*}", handle)
    runner = web.AppRunner(application, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        port = site._server.sockets[0].getsockname()[1]
        yield f"http://127.0.0.1:{port}", received
    finally:
        await runner.cleanup()


def calls(client, kind, outcome):
    return client._metrics.store_calls.labels(kind, outcome).value


async def test_values_revisions_and_leases_survive_the_wire():
    async with served() as (_, _, client):
        assert await client.get("a") is None
        lease = await client.grant_lease(9.5)
        binary = bytes(range(256))
        reply = await client.transact([Compare("a", 0)], [Put("a", binary, lease)])
        assert reply == (True, 2)
        assert await client.get("a") == ("a", binary, 2, lease)
        assert not (await client.transact([Compare("a", 1)], [Delete("a")])).succeeded
        assert 0 < await client.keep_alive(lease) <= 10
        assert await client.keep_alive(999) == 0
        await client.transact([], [Put("b", b""), Delete("a")])
        assert await client.get_prefix("") == [("b", b"", 3, 0)]


async def test_watch_streams_puts_removals_and_large_values():
    async with served() as (store, _, client):
        events = client.watch("p/", 2)
        large = b"x" * 900_000
        await store.transact([], [Put("p/a", large), Put("q", b"no")])
        await store.transact([], [Delete("p/a")])
        assert await anext(events) == ("p/a", large, 2)
        assert await anext(events) == ("p/a", None, 3)
        store.faults.break_watches()
        with pytest.raises(StoreUnavailable):
            await anext(events)


async def test_call_moves_on_from_an_endpoint_that_refuses_connections():
    async with served(UNUSED_ENDPOINT) as (_, _, client):
        assert (await client.transact([Compare("a", 0)], [Put("a", b"1")])).succeeded
        assert calls(client, "transact", "not_applied") == 1
        assert calls(client, "transact", "answered") == 1


async def test_unreachable_store_is_certainly_not_applied():
    client = EtcdStore([UNUSED_ENDPOINT], Metrics(), 5.0, random.Random(1))
    with pytest.raises(StoreUnavailable):
        await client.transact([], [Put("a", b"1")])
    assert calls(client, "transact", "not_applied") == 3
    await client.close()


async def test_transaction_with_a_lost_reply_is_not_repeated():
    async with served() as (store, _, client):
        store.faults.lost_replies = 1
        with pytest.raises(StoreReplyLost):
            await client.transact([], [Put("a", b"1")])
        assert store.calls["transact"] == 1
        assert (await client.get("a")).value == b"1"


async def close_connection(request):
    request.transport.close()
    return web.Response()


async def answer_timed_out(request):
    body = {"code": 14, "message": "etcdserver: request timed out"}
    return web.json_response(body, status=503)


async def answer_proxy_error(request):
    return web.Response(status=502, text="<html>bad gateway</html>")


async def answer_garbage(request):
    return web.Response(text="not json")


async def answer_late(request):
    await asyncio.sleep(30)
    return web.Response()


@pytest.mark.parametrize(
    "handler", [close_connection, answer_timed_out, answer_proxy_error, answer_garbage, answer_late]
)
async def test_ambiguous_failure_of_a_sent_transaction_is_reported_as_unknown(handler):
    async with answering(handler) as (url, received):
        client = EtcdStore([url], Metrics(), 0.3, random.Random(1))
        with pytest.raises(StoreReplyLost):
            await client.transact([], [Put("a", b"1")])
        assert len(received) == 1
        with pytest.raises(StoreUnavailable):
            await client.get("a")
        await client.close()


async def answer_no_leader(request):
    return web.json_response({"code": 14, "message": "etcdserver: no leader"}, status=503)


async def answer_bad_key(request):
    return web.json_response({"code": 3, "message": "key is not provided"}, status=400)


@pytest.mark.parametrize("handler", [answer_no_leader, answer_bad_key])
async def test_refusal_before_the_proposal_is_reported_as_not_applied(handler):
    async with answering(handler) as (url, received):
        client = EtcdStore([url], Metrics(), 5.0, random.Random(1))
        with pytest.raises(StoreUnavailable):
            await client.transact([], [Put("a", b"1")])
        # The number of attempts is bounded, so that an overloaded store is not flooded.
        assert len(received) == 3
        await client.close()


async def test_client_recovers_after_the_server_restarts():
    async with served() as (store, server, client):
        await client.transact([], [Put("a", b"1")])
        await server.stop()
        with pytest.raises(StoreUnavailable):
            await client.get("a")
        again = StoreServer(store, port=server._port)
        await again.start()
        assert (await client.get("a")).value == b"1"
        await again.stop()


def test_client_without_endpoints_is_refused():
    with pytest.raises(ValueError):
        EtcdStore([], Metrics())
