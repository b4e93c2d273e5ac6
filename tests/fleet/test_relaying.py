"""Prefixes read through the council: complete, never dated too new, and cheap for the store."""

import asyncio
import json

import pytest
from fleet.store_support import put

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.following import KEPT_CHANGES, POLL_S, PrefixFollower
from pistachiowinch.fleet.relaying import (
    DIRECT_PAUSE_S,
    RELAY_LOOK_S,
    RELAY_PATIENCE_S,
    ChangeServer,
    RelayedStore,
)
from pistachiowinch.links.store import ChangeBatch, Snapshot
from pistachiowinch.peering.messages import Heartbeat, ReceivedHeartbeat
from pistachiowinch.standins.memory_store import MemoryStore
from pistachiowinch.standins.peer_network import PeerNetwork

pytestmark = pytest.mark.looptime

PREFIX = "op/"
BEAT_S = 0.2


class Pair:
    """A voter that follows the store, and a host that follows the voter."""

    def __init__(self) -> None:
        """Connect both."""
        log = DecisionLog("test")
        self.is_direct = False
        self.network = PeerNetwork(1)
        self.stores = {"voter": MemoryStore(), "host": MemoryStore()}
        self.voter = PrefixFollower(self.stores["voter"], PREFIX, lambda *_: None, log)
        self.server = ChangeServer({PREFIX: self.voter}, self.network.link("voter"))
        host_link = self.network.link("host")
        ChangeServer({}, host_link)
        self.heard: list[ReceivedHeartbeat] = []
        self.relay = RelayedStore(
            self.stores["host"],
            host_link,
            lambda: self.is_direct,
            lambda: self.heard,
            log,
        )
        self.changes: list[tuple] = []
        self.follower = PrefixFollower(
            self.relay,
            PREFIX,
            lambda keys, whole: self.changes.append((tuple(keys), whole)),
            log,
        )
        self.is_heard = True
        self.tasks = [
            asyncio.ensure_future(work)
            for work in (self.voter.run(), self.beat(), self.follower.run())
        ]

    async def beat(self) -> None:
        """Let the host hear the voter's heartbeats."""
        while True:
            if self.is_heard:
                state = Heartbeat(
                    "voter",
                    1,
                    1,
                    1,
                    1,
                    0,
                    0,
                    self.server.age_ms(),
                    prefix_revisions=self.server.prefix_revisions(),
                )
                received = ReceivedHeartbeat(state, now_s(), now_s())
                self.heard = [received]
                self.relay.on_heartbeat(received)
            else:
                self.heard = []
            await asyncio.sleep(BEAT_S)

    def put(self, key: str, value: bytes | None) -> None:
        """Write to the store that the voter reads."""
        put(self.stores["voter"], key, value)

    @property
    def own_calls(self) -> int:
        """Calls that the host made to the store itself."""
        return sum(self.stores["host"].calls.values())

    def close(self) -> None:
        """End all tasks."""
        for task in self.tasks:
            task.cancel()


async def settled_pair() -> Pair:
    """Return a pair after the first read; the host's own calls until then are not counted."""
    pair = Pair()
    await asyncio.sleep(1.0)
    pair.stores["host"].calls.clear()
    return pair


async def test_changes_and_removals_arrive_with_the_next_heartbeat_and_no_call():
    """CONFIG on menghina-pool-grown: 59 watches of the store cost a third of a day's worth."""
    pair = await settled_pair()
    pair.put("op/config", json.dumps({"version": 1}).encode())
    await asyncio.sleep(BEAT_S + 0.1)
    assert pair.follower.items["op/config"].value == b'{"version": 1}'
    pair.put("op/config", None)
    await asyncio.sleep(BEAT_S + 0.1)
    assert "op/config" not in pair.follower.items
    await asyncio.sleep(20.0)
    assert pair.own_calls == 0
    pair.close()


async def test_changes_that_are_not_told_apart_are_read_as_a_whole():
    """A host that was paused while many keys changed must not miss a removal."""
    pair = await settled_pair()
    pair.put("op/gone", b"x")
    await asyncio.sleep(BEAT_S + 0.1)
    pair.is_heard = False
    await asyncio.sleep(2 * BEAT_S)
    pair.put("op/gone", None)
    for number in range(KEPT_CHANGES + 1):
        pair.put("op/config", str(number).encode())
        await asyncio.sleep(0.0)
    await asyncio.sleep(0.2)
    pair.is_heard = True
    await asyncio.sleep(RELAY_LOOK_S)
    assert pair.follower.items.keys() == {"op/config"}
    assert pair.own_calls == 0
    pair.close()


async def test_a_copy_is_never_proved_later_than_the_voters():
    """STALE: evidence that a voter no longer has must not let a host use its primary."""
    pair = await settled_pair()
    pair.put("op/config", b"1")
    await asyncio.sleep(POLL_S + RELAY_LOOK_S)
    assert pair.follower.as_of_s > 0.0
    for store in pair.stores.values():
        store.faults.is_down = True
    for _ in range(40):
        assert pair.follower.as_of_s <= pair.voter.as_of_s
        await asyncio.sleep(0.25)
    assert pair.follower.is_broken
    pair.close()


async def test_an_outage_of_the_store_is_noticed_without_calls_of_all_hosts():
    """Store away for 9 s: 52 hosts that retry each 0.4 s would make more calls than a whole day."""
    pair = await settled_pair()
    pair.stores["voter"].faults.is_down = True
    pair.stores["host"].faults.is_down = True
    await asyncio.sleep(RELAY_PATIENCE_S + 1.0)
    assert pair.follower.is_broken
    assert pair.own_calls <= 1
    await asyncio.sleep(10.0)
    assert pair.own_calls <= 1 + 10.0 / (0.5 * DIRECT_PAUSE_S)
    pair.stores["voter"].faults.is_down = False
    await asyncio.sleep(1.5)
    assert not pair.follower.is_broken
    pair.close()


async def test_a_host_that_hears_no_voter_reads_the_store_itself():
    """All voters cut off from the store for good: a configuration must still be in force."""
    pair = await settled_pair()
    pair.is_heard = False
    put(pair.stores["host"], "op/config", b"new")
    await asyncio.sleep(RELAY_PATIENCE_S + 2.0 * DIRECT_PAUSE_S + RELAY_LOOK_S)
    assert pair.follower.items["op/config"].value == b"new"
    for number in range(20):
        put(pair.stores["host"], "op/config", str(number).encode())
        await asyncio.sleep(0.5)
        assert pair.follower.items["op/config"].value == str(number).encode()
        assert not pair.follower.is_broken
    pair.close()


async def test_polls_end_when_others_make_them():
    """Start of menghina-pool-grown: each target that registered woke the polls of all 59 hosts."""
    pair = Pair()
    pair.is_direct = True
    await asyncio.sleep(2.0 * POLL_S)
    pair.is_direct = False
    pair.relay.end_direct_polls()
    pair.stores["host"].calls.clear()
    put(pair.stores["host"], "op/other", b"x")
    pair.put("op/config", b"1")
    await asyncio.sleep(BEAT_S + 0.1)
    assert pair.follower.items.keys() == {"op/config"}
    assert pair.own_calls == 0
    pair.close()


class SlowSource:
    """A source whose reads take as long as those of the store."""

    def __init__(self) -> None:
        """Count reads."""
        self.reads = 0

    async def read_prefix(self, prefix):
        """Answer after 4 ms."""
        self.reads += 1
        await asyncio.sleep(0.004)
        return Snapshot((), self.reads)

    async def changes(self, prefix, after_revision, wait_s):
        """Wait without a change."""
        await asyncio.sleep(wait_s)
        return ChangeBatch((), after_revision)


async def test_a_read_under_way_is_not_started_anew():
    """58 hosts that tell of a newer configuration each 0.2 s must not keep it from being read."""
    source = SlowSource()
    follower = PrefixFollower(source, PREFIX, lambda *_: None, DecisionLog("test"))
    task = asyncio.ensure_future(follower.run())
    await asyncio.sleep(1.0)
    started_s = now_s()
    for _ in range(58):
        follower.refresh()
        await asyncio.sleep(0.0035)
    assert follower.as_of_s >= started_s
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        async with asyncio.timeout(1.0):
            await task
