"""Pool hosts: connections and slots of a target that one host holds for the fleet."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from sessions.fake_group import SERVICE
from sessions.shared_pools import SLOTS, SharedWorlds
from sessions.test_session import COLLIDING_TEMPLATES, COMMIT, READ, WRITE, Caller

from pistachiowinch.base import codes
from pistachiowinch.base.codes import Refusal
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.links.statements import (
    Begin,
    Execute,
    Prepare,
    ReasonRefused,
    Rollback,
    SetValue,
)
from pistachiowinch.sessions.pool_hosts import PoolHosts
from pistachiowinch.sessions.pool_messages import PoolClose, PoolStatement, encode_statement
from pistachiowinch.sessions.replies import CompletedStatement
from pistachiowinch.sessions.shutdown import Shutdown
from pistachiowinch.sessions.site import SiteView, Target

pytestmark = pytest.mark.looptime


def served(replies) -> int:
    """Count the replies that are results."""
    return sum(isinstance(reply, CompletedStatement) for reply in replies)


async def test_many_hosts_reuse_few_connections():
    """Connections are divided among hosts: each request of a customer opens one."""
    shared = SharedWorlds()
    for _ in range(10):
        for name in shared.names:
            caller = Caller(shared.worlds[name], "primary")
            assert isinstance(await caller(WRITE), CompletedStatement)
    primary = shared.worlds["h0"].primary
    assert len(primary.runs) == 40
    assert primary.opened <= 2


async def test_a_targets_slots_are_never_oversubscribed():
    """Hosts that do not know of each other's statements overload a target, which rejects them."""
    shared = SharedWorlds()
    primary = shared.worlds["h0"].primary
    most = 0
    callers = [Caller(shared.worlds[name], "primary") for name in shared.names for _ in range(5)]
    server = shared.servers[shared.pool_host("a")]

    async def watch():
        nonlocal most
        while True:
            queue = server._queues.get("a")
            most = max(most, 0 if queue is None else queue.running)
            await asyncio.sleep(0.001)

    watcher = asyncio.ensure_future(watch())
    replies = await asyncio.gather(*(caller(WRITE) for caller in callers))
    watcher.cancel()
    assert served(replies) == 20
    assert most == SLOTS
    assert primary.connections <= SLOTS + 1


async def test_session_values_follow_a_statement_to_the_pool_host():
    """PINNED: a statement runs without the values that its session has set."""
    shared = SharedWorlds()
    caller = Caller(shared.other_than(shared.pool_host("a")), "primary")
    await caller(SetValue("zone", "utc"))
    await caller(WRITE)
    assert shared.worlds["h0"].primary.runs[-1][2] == {"zone": "utc"}
    plain = Caller(shared.other_than(shared.pool_host("a")), "primary")
    await plain(WRITE)
    assert shared.worlds["h0"].primary.runs[-1][2] == {}


async def test_a_pool_host_tells_apart_texts_with_equal_short_hashes():
    """PINNED: statements of two hosts' sessions ran the text of the one that came first."""
    shared = SharedWorlds()
    host = shared.pool_host("a")
    names = [name for name in shared.names if name != host]
    for name, template in zip(names, COLLIDING_TEMPLATES, strict=False):
        caller = Caller(shared.worlds[name], "primary")
        await caller(Prepare("s1", True, template))
        assert isinstance(await caller(Execute("s1", "1 x")), CompletedStatement)
    primary = shared.worlds["h0"].primary
    assert [run[4] for run in primary.runs] == [*COLLIDING_TEMPLATES]
    assert primary.opened == 1


async def test_a_pool_host_names_prepared_statements_itself():
    """PINNED: names that another host had computed were used as they came."""
    shared = SharedWorlds()
    server = shared.servers[shared.pool_host("a")]
    for number, template in enumerate(("shape one", "shape two"), 1):
        message = PoolStatement(
            7, number, 0, SERVICE, "a", True, 0, "carp", 1, 400, 1000, f"r{number}",
            ("e", "same", "1 x"), True, {}, ("same", template, True),
        )  # fmt: skip
        await server.serve("h9", message)
    runs = shared.worlds["h0"].primary.runs
    assert [run[4] for run in runs] == ["shape one", "shape two"]


async def test_a_transaction_stays_on_one_connection():
    """PINNED: statements of a transaction run on different connections of the pool host."""
    shared = SharedWorlds()
    caller = Caller(shared.other_than(shared.pool_host("a")), "primary")
    await caller(Begin(False))
    assert isinstance(await caller(WRITE), CompletedStatement)
    other = Caller(shared.other_than(shared.pool_host("a")), "primary", "key2")
    assert isinstance(await other(WRITE), CompletedStatement)
    assert isinstance(await caller(WRITE), CompletedStatement)
    assert isinstance(await caller(COMMIT), CompletedStatement)
    commits = [run for run in shared.worlds["h0"].primary.runs if run[0] == "commit"]
    assert [len(run[2]) for run in commits] == [2]
    assert shared.servers[shared.pool_host("a")].is_idle


async def test_a_commit_that_was_refused_by_a_full_target_is_repeated_in_its_transaction():
    """LOST, PINNED: the pool host rolled back, and the COMMIT ran again without a transaction."""
    shared = SharedWorlds()
    primary = shared.worlds["h0"].primary
    caller = Caller(shared.other_than(shared.pool_host("a")), "primary")
    await caller(Begin(False))
    await caller(WRITE)
    primary.refuse = [ReasonRefused.BUSY, ReasonRefused.BUSY]
    assert isinstance(await caller(COMMIT), CompletedStatement)
    commits = [run for run in primary.runs if run[0] == "commit"]
    assert [len(run[2]) for run in commits] == [1]
    assert shared.servers[shared.pool_host("a")].is_idle


async def test_a_commit_that_stays_refused_frees_its_connection():
    """A transaction stays open at the pool host after its caller was told that it ended."""
    shared = SharedWorlds()
    primary = shared.worlds["h0"].primary
    caller = Caller(shared.other_than(shared.pool_host("a")), "primary")
    await caller(Begin(False))
    await caller(WRITE)
    primary.refuse = [ReasonRefused.BUSY] * 20
    reply = await caller(COMMIT)
    assert isinstance(reply, Refusal)
    assert reply.code is codes.TRANSACTION_ABORTED
    await asyncio.sleep(0.1)
    assert shared.servers[shared.pool_host("a")].is_idle
    assert primary.applied == 0


async def test_a_pool_host_runs_no_commit_without_a_transaction():
    """LOST: a target answers such a COMMIT with success."""
    shared = SharedWorlds()
    server = shared.servers[shared.pool_host("a")]
    message = PoolStatement(
        7, 1, 0, SERVICE, "a", True, 0, "carp", 1, 400, 1000, "r1",
        encode_statement(COMMIT), False, {}, None,
    )  # fmt: skip
    await server.serve("h9", message)
    assert not shared.worlds["h0"].primary.runs


async def test_a_rolled_back_transaction_frees_its_connection():
    """Connections leak at the pool host when callers roll back or leave."""
    shared = SharedWorlds()
    host = shared.pool_host("a")
    for leave in (False, True):
        caller = Caller(shared.other_than(host), "primary")
        await caller(Begin(False))
        await caller(WRITE)
        if leave:
            caller.session.close()
        else:
            await caller(Rollback())
        await asyncio.sleep(0.1)
        assert shared.servers[host].is_idle
    assert shared.worlds["h0"].primary.applied == 0


async def test_reads_go_elsewhere_when_a_pool_host_is_killed():
    """Callers of all hosts wait for a dead pool host until their statements time out."""
    shared = SharedWorlds()
    for name in shared.names:
        await shared.worlds[name].observe()
    killed = shared.pool_host("b")
    world = shared.other_than(killed)
    caller = Caller(world, "bounded")
    shared.kill(killed)
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    replies = [await caller(READ) for _ in range(10)]
    assert served(replies) == 10
    assert loop.time() - started_s < 1.5


async def test_a_write_at_a_lost_pool_host_is_in_doubt_and_not_repeated():
    """TWICE: a write that the dead host may have sent must not be sent again."""
    shared = SharedWorlds()
    killed = shared.pool_host("a")
    world = shared.other_than(killed)
    primary = shared.worlds["h0"].primary
    primary.work_s = 0.05
    writing = asyncio.ensure_future(Caller(world, "primary")(WRITE))
    await asyncio.sleep(0.04)
    shared.kill(killed)
    reply = await writing
    assert isinstance(reply, Refusal)
    assert reply.code is codes.OUTCOME_UNKNOWN
    await asyncio.sleep(2.0)
    assert len(primary.runs) <= 1


async def test_a_transaction_at_a_lost_pool_host_is_aborted_at_once():
    """A caller waits until its statement's time limit of 1 s for a transaction that has died."""
    shared = SharedWorlds()
    killed = shared.pool_host("a")
    world = shared.other_than(killed)
    caller = Caller(world, "primary")
    await caller(Begin(False))
    await caller(WRITE)
    shared.kill(killed)
    started_s = asyncio.get_running_loop().time()
    reply = await caller(WRITE)
    assert isinstance(reply, Refusal) and reply.code is codes.TRANSACTION_ABORTED
    assert asyncio.get_running_loop().time() - started_s < 0.8


async def test_a_pool_host_that_stops_hands_its_targets_on():
    """LOST: a planned stop of a pool host interrupts statements of other hosts' callers."""
    shared = SharedWorlds()
    host = shared.pool_host("a")
    world = shared.other_than(host)
    caller = Caller(world, "primary")
    await caller(Begin(False))
    await caller(WRITE)
    at_s = asyncio.get_running_loop().time()
    shared.worlds[host].context.shutdown = Shutdown(at_s + 3.0, at_s + 5.0)
    assert isinstance(await Caller(world, "primary")(WRITE), CompletedStatement)
    assert isinstance(await caller(COMMIT), CompletedStatement)
    assert shared.servers[host].is_idle


async def test_a_repeated_message_runs_once():
    """TWICE: a message that the network duplicates makes the pool host write twice."""
    shared = SharedWorlds()
    host = shared.pool_host("a")
    message = PoolStatement(
        9, 1, 0, SERVICE, "a", True, 0, "carp", 1, 900, 900, "q1", ("w", "WRITE 1 x"), True
    )
    for _ in range(2):
        shared.servers[host]._on_statement("h9", message)
    await asyncio.sleep(0.2)
    assert len(shared.worlds["h0"].primary.runs) == 1


async def test_late_messages_of_an_earlier_run_change_nothing():
    """TWICE and LOST: a delayed message of a dead process runs, or ends its successor's work."""
    shared = SharedWorlds()
    host = shared.pool_host("a")
    server = shared.servers[host]
    message = PoolStatement(
        9, 1, 0, SERVICE, "a", True, 0, "carp", 1, 900, 900, "q1", ("w", "WRITE 1 x"), True
    )
    server._on_statement("h9", message)
    begin = msgspec.structs.replace(message, run=10, transaction=7, statement=("b", ""))
    server._on_statement("h9", begin)
    await asyncio.sleep(0.2)
    assert not server.is_idle
    server._on_statement("h9", msgspec.structs.replace(message, number=2))
    await asyncio.sleep(0.2)
    assert not server.is_idle
    assert len(shared.worlds["h0"].primary.runs) == 1


async def test_an_end_that_overtakes_the_beginning_ends_the_transaction():
    """Connections of the pool host stay with transactions whose caller has left."""
    shared = SharedWorlds()
    server = shared.servers[shared.pool_host("a")]
    server.close_transaction("h9", PoolClose(9, 7))
    server._on_statement(
        "h9",
        PoolStatement(9, 1, 7, SERVICE, "a", True, 0, "carp", 1, 900, 900, "", ("b", ""), False),
    )
    await asyncio.sleep(0.2)
    assert server.is_idle


async def test_the_answer_to_an_earlier_run_reaches_no_caller():
    """MIXED: after a restart, an answer to the old run's statement answers one of the new run."""
    shared = SharedWorlds()
    name = shared.names[0]
    numbers = {shared.clients[name].next_number()}
    for run in range(5):
        shared.kill(name)
        shared.runs[name] += 100 + run
        shared.start(name)
        numbers.add(shared.clients[name].next_number())
    assert len(numbers) == 6


async def test_pauses_inside_transactions_leave_slots_for_their_ends():
    """Statements that wait for a connection hold all slots, which COMMITs would need."""
    shared = SharedWorlds()
    host = shared.pool_host("a")
    world = shared.other_than(host)
    shared.worlds[host].connections._limit = lambda target: 2
    callers = [Caller(world, "primary") for _ in range(2)]
    for caller in callers:
        await caller(Begin(False))
        await caller(WRITE)
    waiting = [asyncio.ensure_future(Caller(world, "primary", "key2")(WRITE)) for _ in range(4)]
    await asyncio.sleep(0.05)
    replies = await asyncio.gather(*(caller(COMMIT) for caller in callers))
    assert served(replies) == 2
    assert served(await asyncio.gather(*waiting)) >= 2


async def test_a_slow_write_at_a_pool_host_is_judged_by_the_lease_of_the_callers_host():
    """ONE: the answer of a pool host was acknowledged long after the caller's host had learned of a
    switch.
    """
    shared = SharedWorlds()
    world = shared.other_than(shared.pool_host("a"))
    world.primary.work_s = 0.8
    task = asyncio.ensure_future(Caller(world, "primary")(WRITE))
    await asyncio.sleep(0.1)
    world.primaries.begin_switch(0.5)
    reply = await task
    assert isinstance(reply, Refusal) and reply.code is codes.OUTCOME_UNKNOWN
    assert len(world.primary.runs) == 1


async def test_a_pool_host_that_sees_another_primary_does_not_write():
    """STALE and ONE: a host that has missed a switch hands a write to the old primary."""
    shared = SharedWorlds()
    host = shared.pool_host("a")
    world = shared.other_than(host)
    message = PoolStatement(
        9, 1, 0, SERVICE, "a", True, 0, "carp", 1, 900, 900, "q1", ("w", "WRITE 1 x"), True
    )
    world.primaries.number = 1
    answer = await shared.servers[host].serve("h9", message)
    assert answer.outcome[:2] == (2, False)
    world.primaries.number = 0
    shared.worlds[host].has_lease = False
    answer = await shared.servers[host].serve("h9", message)
    assert answer.outcome[:2] == (2, False)
    assert not shared.worlds["h0"].primary.runs


async def test_the_transaction_of_a_restarted_host_is_rolled_back():
    """Locks stay when a host dies with open transactions at a pool host."""
    shared = SharedWorlds()
    host = shared.pool_host("a")
    name = next(name for name in shared.names if name != host)
    caller = Caller(shared.worlds[name], "primary")
    await caller(Begin(False))
    await caller(WRITE)
    shared.kill(name)
    shared.runs[name] += 100
    shared.start(name)
    await Caller(shared.worlds[name], "primary")(WRITE)
    assert shared.servers[host].is_idle


async def test_without_any_pool_host_a_host_uses_connections_of_its_own():
    """Statements are refused although the target can be reached, because pool hosts are gone."""
    shared = SharedWorlds(count=4)
    world = shared.worlds["h0"]
    world.share = 2
    world.connections._limit = lambda target: 2
    client = shared.clients["h0"]
    for name in shared.names[1:]:
        client._contacts.note_lost(name)
    shared.servers["h0"]._context.shutdown = Shutdown(1e9, 1e9)
    assert isinstance(await Caller(world, "primary")(WRITE), CompletedStatement)


async def test_a_pool_host_that_is_cut_off_from_its_target_is_passed_over():
    """A partition between one host and a primary keeps the whole fleet from it."""
    shared = SharedWorlds()
    first, second = shared.hosts["h0"].of(shared.worlds["h0"].view.targets(SERVICE)["a"])[:2]
    for _ in range(2):
        shared.worlds[first].health.note_failure("a", "silent")
    world = shared.other_than(first, second)
    assert isinstance(await Caller(world, "primary")(WRITE), CompletedStatement)
    assert shared.servers[second].hosts_target("a")
    for name in shared.names:
        for _ in range(2):
            shared.worlds[name].health.note_failure("a", "silent")
    started_s = asyncio.get_running_loop().time()
    reply = await Caller(world, "primary")(WRITE)
    assert isinstance(reply, Refusal) and reply.code is codes.TARGET_UNREACHABLE
    assert asyncio.get_running_loop().time() - started_s < 0.05


async def test_a_refused_read_is_tried_at_another_target():
    """A read fails although another replica could serve it."""
    shared = SharedWorlds()
    for name in shared.names:
        await shared.worlds[name].observe()
    for replica in ("b", "c"):
        shared.refuse(replica, ReasonRefused.BUSY)
    caller = Caller(shared.worlds["h0"], "bounded")
    assert isinstance(await caller(READ), CompletedStatement)


async def test_hosts_with_enough_connections_of_their_own_use_them():
    """Earlier deployments must not pay a hop for connections that they have."""
    shared = SharedWorlds()
    hosts = shared.hosts["h0"]
    hosts._share = lambda service: 1
    assert not hosts.are_used(SERVICE)
    hosts._share = lambda service: 0
    assert hosts.are_used(SERVICE)


def test_large_hosts_are_preferred_and_small_ones_left_out():
    """Statements of all hosts queue at one that has half a core, while others have two."""
    sizes = {"h0": 0.5, "h1": 2.1, "h2": 0.1, "h3": 1.6}
    target = Target("a", SERVICE, "a:1", "z1", 4, False, True, 1)

    def hosts(among) -> PoolHosts:
        members = [HostIdentity(name, 1, "z1", "", sizes[name]) for name in among]
        fleet = SimpleNamespace(members=members, names=frozenset(among))
        return PoolHosts(fleet, SiteView(DecisionLog("test")), lambda service: -1)

    assert set(hosts(sizes).of(target)[:2]) == {"h1", "h3"}
    assert hosts(sizes).of(target)[2] == "h0"
    assert hosts(sizes).are_used(SERVICE)
    assert not hosts(["h2"]).are_used(SERVICE)
