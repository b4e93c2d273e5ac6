"""Tests of prefixes read through voters: complete, never dated too late, with few store calls."""

import asyncio
import json

import pytest
from fleet.store_support import put

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.copy_bounds import CopyBounds
from pistachiowinch.fleet.following import MAX_KEPT_CHANGES, POLL_WAIT_S, PrefixFollower
from pistachiowinch.fleet.relaying import (
    FIRST_RELAY_WAIT_S,
    RELAY_WAIT_S,
    ChangeServer,
    RelayedStore,
)
from pistachiowinch.links.store import ChangeBatch, Snapshot
from pistachiowinch.peering.messages import Heartbeat, ReceivedHeartbeat
from pistachiowinch.standins.memory_store import MemoryStore
from pistachiowinch.standins.peer_network import PeerNetwork

pytestmark = pytest.mark.looptime

PREFIX = "op/"
HEARTBEAT_INTERVAL_S = 0.2
# Age of the voters' evidence after which a host reads the store itself.
DIRECT_READ_DELAY_S = CopyBounds().direct_read_age_s
# Mean delay between direct reads that fail.
DIRECT_RETRY_DELAY_S = 3.0
OUTAGE_S = 15.0


class Pair:
    """A voter that follows the store, and a host that reads from the voter."""

    def __init__(self) -> None:
        """Connect and start both."""
        log = DecisionLog("test")
        self.is_direct = False
        self.network = PeerNetwork(1)
        self.stores = {"voter": MemoryStore(), "host": MemoryStore()}
        self.voter = PrefixFollower(self.stores["voter"], PREFIX, lambda *_: None, log)
        self.server = ChangeServer({PREFIX: self.voter}, self.network.link("voter"))
        host_link = self.network.link("host")
        ChangeServer({}, host_link)
        self.heartbeats: list[ReceivedHeartbeat] = []
        self.relay = RelayedStore(
            self.stores["host"],
            host_link,
            lambda: self.is_direct,
            lambda: self.heartbeats,
            log,
        )
        self.changes: list[tuple] = []
        self.follower = PrefixFollower(
            self.relay,
            PREFIX,
            lambda keys, whole: self.changes.append((tuple(keys), whole)),
            log,
        )
        self.sends_heartbeats = True
        self.tasks = [
            asyncio.ensure_future(work)
            for work in (self.voter.run(), self.send_heartbeats(), self.follower.run())
        ]

    async def send_heartbeats(self) -> None:
        """Deliver the voter's heartbeats to the host."""
        while True:
            if self.sends_heartbeats:
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
                self.heartbeats = [received]
                self.relay.on_heartbeat(received)
            else:
                self.heartbeats = []
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def put(self, key: str, value: bytes | None) -> None:
        """Write to the store that the voter reads."""
        put(self.stores["voter"], key, value)

    @property
    def direct_calls(self) -> int:
        """Number of calls that the host made to the store."""
        return sum(self.stores["host"].calls.values())

    def close(self) -> None:
        """End all tasks."""
        for task in self.tasks:
            task.cancel()


async def settled_pair() -> Pair:
    """Return a pair after its first read, with the host's count of store calls reset."""
    pair = Pair()
    await asyncio.sleep(1.0)
    pair.stores["host"].calls.clear()
    return pair


async def test_changes_arrive_with_the_next_heartbeat_without_store_calls():
    """CONFIG on menghina-pool-grown: watches by 59 hosts cost a third of a day's worth."""
    pair = await settled_pair()
    pair.put("op/config", json.dumps({"version": 1}).encode())
    await asyncio.sleep(HEARTBEAT_INTERVAL_S + 0.1)
    assert pair.follower.items["op/config"].value == b'{"version": 1}'
    pair.put("op/config", None)
    await asyncio.sleep(HEARTBEAT_INTERVAL_S + 0.1)
    assert "op/config" not in pair.follower.items
    await asyncio.sleep(20.0)
    assert pair.direct_calls == 0
    pair.close()


async def test_all_keys_are_read_if_the_changes_are_no_longer_kept():
    """A host that was paused during many changes must not miss a removal."""
    pair = await settled_pair()
    pair.put("op/gone", b"x")
    await asyncio.sleep(HEARTBEAT_INTERVAL_S + 0.1)
    pair.sends_heartbeats = False
    await asyncio.sleep(2 * HEARTBEAT_INTERVAL_S)
    pair.put("op/gone", None)
    for number in range(MAX_KEPT_CHANGES + 1):
        pair.put("op/config", str(number).encode())
        await asyncio.sleep(0.0)
    await asyncio.sleep(0.2)
    pair.sends_heartbeats = True
    await asyncio.sleep(RELAY_WAIT_S)
    assert pair.follower.items.keys() == {"op/config"}
    assert pair.direct_calls == 0
    pair.close()


async def test_a_copy_is_never_dated_later_than_the_voters_copy():
    """STALE: a host must not use a primary on evidence that the voter itself no longer has."""
    pair = await settled_pair()
    pair.put("op/config", b"1")
    await asyncio.sleep(POLL_WAIT_S + RELAY_WAIT_S)
    assert pair.follower.as_of_s > 0.0
    for store in pair.stores.values():
        store.faults.is_down = True
    for _ in range(40):
        assert pair.follower.as_of_s <= pair.voter.as_of_s
        await asyncio.sleep(0.25)
    assert pair.follower.is_broken
    pair.close()


async def test_an_outage_of_the_store_causes_few_calls():
    """Retries of 52 hosts every 0.4 s in a 9 s outage would make more calls than a whole day."""
    pair = await settled_pair()
    pair.stores["voter"].faults.is_down = True
    pair.stores["host"].faults.is_down = True
    await asyncio.sleep(DIRECT_READ_DELAY_S)
    assert pair.follower.is_broken
    assert pair.direct_calls <= 1
    await asyncio.sleep(OUTAGE_S - DIRECT_READ_DELAY_S)
    assert pair.direct_calls <= 1 + 10.0 / (0.5 * DIRECT_RETRY_DELAY_S)
    pair.stores["voter"].faults.is_down = False
    await asyncio.sleep(1.5)
    assert not pair.follower.is_broken
    pair.close()


async def test_a_host_without_a_reachable_voter_reads_the_store_itself():
    """A configuration must take effect even if all voters have permanently lost the store."""
    pair = await settled_pair()
    pair.sends_heartbeats = False
    put(pair.stores["host"], "op/config", b"new")
    await asyncio.sleep(DIRECT_READ_DELAY_S + 2.0 * DIRECT_RETRY_DELAY_S + RELAY_WAIT_S)
    assert pair.follower.items["op/config"].value == b"new"
    for number in range(20):
        put(pair.stores["host"], "op/config", str(number).encode())
        await asyncio.sleep(0.5)
        assert pair.follower.items["op/config"].value == str(number).encode()
        assert not pair.follower.is_broken
    pair.close()


async def test_direct_polls_end_when_the_voters_follow_the_store():
    """At the start of menghina-pool-grown, each registration of a target answered 59 polls."""
    pair = Pair()
    pair.is_direct = True
    await asyncio.sleep(1.5 * POLL_WAIT_S)
    pair.is_direct = False
    pair.relay.end_direct_polls()
    # A change in the same step of the loop could still be the answer to the poll.
    await asyncio.sleep(0.01)
    pair.stores["host"].calls.clear()
    put(pair.stores["host"], "op/other", b"x")
    pair.put("op/config", b"1")
    await asyncio.sleep(HEARTBEAT_INTERVAL_S + 0.1)
    assert pair.follower.items.keys() == {"op/config"}
    assert pair.direct_calls == 0
    pair.close()


async def test_a_relayed_copy_announces_the_newest_change_that_it_has():
    """STALE: a host that became a voter announced an older revision than its copy has, which proves
    copies complete that lack the newest change.
    """
    pair = await settled_pair()
    pair.sends_heartbeats = False
    await asyncio.sleep(2 * HEARTBEAT_INTERVAL_S)
    for key in ("op/config", "op/evacuate/z1", "op/config"):
        pair.put(key, b"1")
        await asyncio.sleep(0.05)
    pair.sends_heartbeats = True
    await asyncio.sleep(RELAY_WAIT_S + HEARTBEAT_INTERVAL_S)
    assert pair.follower.last_change_revision == pair.voter.last_change_revision
    pair.close()


async def test_a_whole_copy_is_sent_once_to_a_host_that_is_far_behind():
    """CONFIG: 54 hosts asked five voters twice for all keys when the history was lost."""
    pair = await settled_pair()
    asked_after = []
    changes_after = pair.voter.changes_after
    pair.voter.changes_after = lambda after: asked_after.append(after) or changes_after(after)
    pair.put("op/config", b"1")
    pair.voter.refresh()
    await asyncio.sleep(RELAY_WAIT_S + HEARTBEAT_INTERVAL_S)
    assert pair.follower.items["op/config"].value == b"1"
    assert len(asked_after) == 1
    pair.close()


class SlowSource:
    """A source whose reads take as long as reads from the store."""

    def __init__(self) -> None:
        """Create a source without reads."""
        self.reads = 0

    async def read_prefix(self, prefix):
        """Answer after 4 ms."""
        self.reads += 1
        await asyncio.sleep(0.004)
        return Snapshot((), self.reads)

    async def changes(self, prefix, after_revision, wait_s):
        """Return no changes after the wait."""
        await asyncio.sleep(wait_s)
        return ChangeBatch((), after_revision)


async def test_a_read_in_progress_is_not_restarted():
    """58 peers that announce a newer configuration every 0.2 s must not prevent its read."""
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


async def test_a_host_that_starts_waits_for_the_voters_before_it_polls_the_store():
    """Cost: after a power loss of 195 hosts each polled all prefixes, though its voters were about
    to be heard.
    """
    pair = Pair()
    pair.sends_heartbeats = False
    asyncio.get_running_loop().call_later(0.4, setattr, pair, "sends_heartbeats", True)
    await asyncio.sleep(2.0)
    assert pair.direct_calls == 1
    pair.put("op/config", b"1")
    await asyncio.sleep(2 * HEARTBEAT_INTERVAL_S)
    assert "op/config" in pair.follower.items
    pair.close()


async def test_a_host_that_starts_without_voters_polls_the_store_soon():
    """RECOVER: a host whose voters do not return must see changes itself."""
    pair = Pair()
    pair.sends_heartbeats = False
    await asyncio.sleep(FIRST_RELAY_WAIT_S + 0.1)
    assert pair.direct_calls == 2
    pair.close()
