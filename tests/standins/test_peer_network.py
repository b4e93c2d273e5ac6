"""Guards against an in-memory network that hides faults from the code under test."""

import asyncio

import msgspec
import pytest

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.links.peers import PeerUnreachable
from pistachiowinch.standins.peer_network import NetworkFaults, PeerNetwork

pytestmark = pytest.mark.looptime


class Note(msgspec.Struct, tag="note", array_like=True):
    number: int


class Question(msgspec.Struct, tag="question", array_like=True):
    number: int


class Reply(msgspec.Struct, tag="reply", array_like=True):
    number: int


def attach(network, host):
    link = network.link(host)
    received = []
    link.on_message(Note, lambda sender, note: received.append((sender, note.number)))

    async def double(sender, question):
        return Reply(question.number * 2)

    link.on_request(Question, Reply, double)
    return link, received


async def test_message_arrives_after_the_set_delay():
    network = PeerNetwork(one_way_delay_s=0.25)
    a, _ = attach(network, "a")
    _, received = attach(network, "b")
    await a.send("b", Note(7))
    await sleep_s(0.24)
    assert received == []
    await sleep_s(0.02)
    assert received == [("a", 7)]
    assert network.messages_sent["a"] == 1
    assert network.bytes_sent["a"] > 0


async def test_lost_request_raises_after_its_timeout():
    network = PeerNetwork()
    a, _ = attach(network, "a")
    attach(network, "b")
    network.cut("b", "a", is_one_way=True)
    started_s = now_s()
    with pytest.raises(PeerUnreachable):
        await a.request("b", Question(1), 0.5)
    assert now_s() - started_s == pytest.approx(0.5)
    network.heal("a", "b")
    assert (await a.request("b", Question(2), 0.5)).number == 4


async def test_paused_host_reads_late_answers_before_its_timeouts():
    network = PeerNetwork()
    a, _ = attach(network, "a")
    _, received = attach(network, "b")
    task = asyncio.ensure_future(a.request("b", Question(3), 0.1))
    await sleep_s(0.0007)
    network.pause("a")
    await a.send("b", Note(1))
    await sleep_s(5.0)
    assert not task.done() and received == []
    network.resume("a")
    assert (await task).number == 6
    await sleep_s(0.01)
    assert received == [("a", 1)]


async def test_faults_repeat_with_the_seed_and_lose_double_and_reorder():
    async def numbers(seed):
        network = PeerNetwork(seed)
        network.set_faults(NetworkFaults(0.2, 0.2, 0.2, 0.2, 0.1))
        a, _ = attach(network, "a")
        _, received = attach(network, "b")
        for number in range(200):
            await a.send("b", Note(number))
            await sleep_s(0.01)
        await sleep_s(1.0)
        return [number for _, number in received]

    first = await numbers(1)
    assert first == await numbers(1)
    assert first != await numbers(2)
    assert len(set(first)) < 200 and len(first) > len(set(first)) and first != sorted(first)


async def test_restarted_host_gets_no_answer_meant_for_its_previous_run():
    network = PeerNetwork(one_way_delay_s=0.1)
    old, _ = attach(network, "a")
    attach(network, "b")
    task = asyncio.ensure_future(old.request("b", Question(1), 1.0))
    await sleep_s(0.05)
    new, received = attach(network, "a")
    with pytest.raises(PeerUnreachable):
        await task
    assert (await new.request("b", Question(5), 1.0)).number == 10
    assert received == []
