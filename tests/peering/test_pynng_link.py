"""Tests that a dead, restarted or hostile peer can neither block nor corrupt a peer link.

These tests use real sockets on the loopback interface and wait for conditions, not for fixed times.
"""

import asyncio

import msgspec
import pynng
import pytest

from pistachiowinch.links.peers import PeerUnreachable
from pistachiowinch.peering import pynng_link
from pistachiowinch.peering.pynng_link import PynngPeerLink


class Note(msgspec.Struct, tag="note", array_like=True):
    number: int


class Question(msgspec.Struct, tag="question", array_like=True):
    number: int


class Reply(msgspec.Struct, tag="reply", array_like=True):
    number: int


def make_link(host, url="tcp://127.0.0.1:0"):
    link = PynngPeerLink(host, url)
    link.received = []
    link.on_message(Note, lambda sender, note: link.received.append((sender, note.number)))

    async def double(sender, question):
        if question.number < 0:
            raise ValueError("negative")
        return Reply(question.number * 2)

    link.on_request(Question, Reply, double)
    return link


def counted(link, direction, kind):
    return link.metrics.peer_messages.labels(direction, kind).value


async def until(condition):
    for _ in range(2000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not become true")


@pytest.fixture
async def pair():
    a, b = make_link("a"), make_link("b")
    addresses = {"a": await a.start(), "b": await b.start()}
    a.set_addresses(addresses)
    b.set_addresses(addresses)
    yield a, b
    await a.stop()
    await b.stop()


async def test_messages_and_requests_are_delivered_in_both_directions(pair):
    a, b = pair
    assert (await a.request("b", Question(4), 10.0)).number == 8
    await b.send("a", Note(1))
    await until(lambda: a.received == [("b", 1)])


async def test_failed_handler_leaves_the_link_usable(pair):
    a, b = pair
    assert (await a.request("b", Question(1), 10.0)).number == 2
    with pytest.raises(PeerUnreachable):
        await a.request("b", Question(-1), 0.2)
    assert counted(b, "failed", "question") == 1
    assert (await a.request("b", Question(2), 10.0)).number == 4


async def test_peer_answers_a_sender_without_a_known_address(pair):
    _, b = pair
    unknown_sender = make_link("stranger")
    await unknown_sender.start()
    unknown_sender.set_addresses({"b": b.address})
    assert (await unknown_sender.request("b", Question(5), 10.0)).number == 10
    await unknown_sender.stop()


async def test_malformed_unknown_and_misaddressed_messages_are_counted_and_dropped(pair):
    a, b = pair
    with pynng.Push0() as socket:
        socket.dial(b.address, block=True)
        encode = msgspec.msgpack.encode
        for data in (
            b"",
            b"\xc1\xff",
            encode(["a", "b", 0, 0, "nonsense", 1, ""]),
            encode(["a", "b", 0, 0, "note", ["note", "text"], ""]),
            encode(["a", "old", 0, 0, "note", ["note", 1], ""]),
            encode(["a", "b", 2, 77, "reply", ["reply", 1], ""]),
            encode(["a", "b", 1, 5, "note", ["note", 1], ""]),
        ):
            await socket.asend(data)
        await until(lambda: counted(b, "unknown", "note") == 1)
    assert counted(b, "malformed", "frame") == 1
    assert counted(b, "malformed", "envelope") == 1
    assert counted(b, "unknown", "other") == 1
    assert counted(b, "malformed", "note") == 1
    assert counted(b, "misaddressed", "envelope") == 1
    assert counted(b, "late", "reply") == 1
    assert b.received == []
    assert (await a.request("b", Question(6), 10.0)).number == 12


async def test_dead_peer_fills_only_its_bounded_queue_and_is_reached_after_a_restart(pair):
    a, b = pair
    address = b.address
    assert (await a.request("b", Question(1), 10.0)).number == 2
    await b.stop()
    await until(lambda: not a._peers["b"]._socket.pipes)
    for number in range(pynng_link.QUEUE_MESSAGES + 50):
        await a.send("b", Note(number))
    assert counted(a, "dropped", "queue_full") >= 49
    with pytest.raises(PeerUnreachable):
        await a.request("b", Question(1), 0.1)
    await until(lambda: counted(a, "dropped", "too_old") > 0)
    again = make_link("b", address)
    await again.start()
    again.set_addresses({"a": a.address})
    assert (await a.request("b", Question(3), 20.0)).number == 6
    await again.stop()


async def test_another_host_at_the_same_address_does_not_accept_the_messages(pair):
    a, b = pair
    address = b.address
    await b.stop()
    other = make_link("c", address)
    await other.start()
    await a.send("b", Note(1))
    await until(lambda: counted(other, "misaddressed", "envelope") == 1)
    assert other.received == []
    await other.stop()


async def test_reconnected_link_carries_messages_and_stop_fails_pending_requests(pair):
    a, _ = pair
    for number in range(3):
        a.reconnect("b")
        assert (await a.request("b", Question(number), 20.0)).number == number * 2
    a.set_addresses({})
    await a.send("b", Note(1))
    assert counted(a, "dropped", "no_address") == 1
    task = asyncio.ensure_future(a.request("b", Question(1), 60.0))
    await asyncio.sleep(0)
    await a.stop()
    with pytest.raises(PeerUnreachable):
        await task


class _SwallowingSocket:
    """A socket whose pending send completes during its cancellation, as with pynng."""

    def send(self, data, block):
        raise pynng.TryAgain("not connected", 0)

    async def asend(self, data):
        try:
            await asyncio.sleep(60.0)
        except asyncio.CancelledError:
            return

    def close(self):
        pass


async def test_a_send_that_swallows_its_cancellation_does_not_block_the_stop(
    monkeypatch,
):
    """Two test runs hung because the sending task of a peer continued after its cancellation."""
    monkeypatch.setattr(pynng_link._PeerConnection, "_open", lambda self: _SwallowingSocket())
    link = make_link("a")
    await link.start()
    link.set_addresses({"b": "tcp://127.0.0.1:1"})
    await link.send("b", Note(1))
    await asyncio.sleep(0.01)
    async with asyncio.timeout(5.0):
        await link.stop()
