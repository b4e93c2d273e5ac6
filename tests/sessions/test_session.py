"""Sessions over a fake database group: which target runs a statement, and what callers get."""

import asyncio
import tracemalloc

import pytest
import xxhash
from sessions.fake_group import SERVICE, World

from pistachiowinch.base import codes
from pistachiowinch.base.codes import NO_CONFIGURATION, ExecutionStatus, Refusal
from pistachiowinch.links.statements import (
    Begin,
    Commit,
    Deallocate,
    Execute,
    Prepare,
    Read,
    ReasonRefused,
    Refused,
    Rollback,
    SetValue,
    Write,
)
from pistachiowinch.sessions.replies import CompletedStatement
from pistachiowinch.sessions.session import MAX_STATE_ENTRIES, Session

pytestmark = pytest.mark.looptime

READ = Read("READ 1")
WRITE = Write("WRITE 1 x")
COMMIT = Commit("COMMIT")


class Caller:
    """A session that numbers its statements."""

    def __init__(self, world: World, database: str, key: str = "key") -> None:
        """Open a session."""
        self.session = Session(world.context, database, key)
        self.number = 0
        self.name = f"{database}-{key}"

    async def __call__(self, statement):
        """Run one statement."""
        self.number += 1
        return await self.session.execute(f"{self.name}-{self.number}", statement, 10)


def code(reply):
    """Return a refusal's code."""
    assert isinstance(reply, Refusal), reply
    return reply.code


async def test_reads_go_to_replicas_that_have_the_position():
    """Bounded reads must not load the primary when replicas can serve."""
    world = World()
    await world.observe()
    caller = Caller(world, "bounded")
    assert isinstance(await caller(READ), CompletedStatement)
    assert not world.primary.runs


async def test_a_lagging_replica_never_answers():
    """STALE: a replica without the required position must not run the read."""
    world = World()
    world.primary.applied = 7
    await world.observe()
    caller = Caller(world, "bounded")
    assert isinstance(await caller(READ), CompletedStatement)
    assert not any(replica.runs for replica in world.replicas)
    assert [run[0] for run in world.primary.runs] == ["read"]


async def test_a_read_without_a_known_position_goes_to_the_primary():
    """STALE: without a recent observation no position shows that a replica is fresh enough."""
    world = World()
    assert isinstance(await Caller(world, "bounded")(READ), CompletedStatement)
    assert world.primary.runs


async def test_a_session_reads_its_own_write():
    """STALE on read_your_writes: the session's own commit is required besides the bound."""
    world = World()
    await world.observe()
    caller = Caller(world, "read_your_writes")
    await caller(WRITE)
    await caller(READ)
    assert [run[0] for run in world.primary.runs] == ["write", "read"]
    other = Caller(world, "read_your_writes", "key2")
    await other(READ)
    assert any(replica.runs for replica in world.replicas)


async def test_primary_routes_never_read_from_replicas():
    """STALE on primary routes: a read must see every commit, and only the primary has them all."""
    world = World()
    await world.observe()
    await Caller(world, "primary")(READ)
    assert not any(replica.runs for replica in world.replicas)


async def test_without_a_lease_nothing_is_sent_to_the_primary():
    """ONE and STALE: a host without a lease cannot know which target is primary and must refuse."""
    world = World()
    world.has_lease = False
    reply = await Caller(world, "primary")(WRITE)
    assert code(reply) is codes.HOST_ISOLATED
    assert not world.primary.runs


async def test_without_a_lease_bounded_reads_go_on_while_the_position_is_fresh():
    """Without store and peers, replicas still serve until the observation is too old."""
    world = World()
    await world.observe()
    world.has_lease = False
    caller = Caller(world, "bounded")
    assert isinstance(await caller(READ), CompletedStatement)
    await asyncio.sleep(2.1)
    assert code(await caller(READ)) is codes.HOST_ISOLATED


async def test_a_write_without_an_answer_is_in_doubt_and_never_sent_again():
    """TWICE: the write may have run, so it must not run a second time."""
    world = World()
    world.primary.lose_answers = 1
    reply = await Caller(world, "primary")(WRITE)
    assert code(reply) is codes.OUTCOME_UNKNOWN
    assert len(world.primary.runs) == 1


async def test_a_read_without_an_answer_runs_elsewhere():
    """A lost answer to a read must cost time but not fail the read."""
    world = World()
    await world.observe()
    for replica in world.replicas[:1]:
        replica.lose_answers = 1
    replies = [await Caller(world, "bounded")(READ) for _ in range(2)]
    assert all(isinstance(reply, CompletedStatement) for reply in replies)


async def test_a_busy_target_did_not_run_the_write_so_it_goes_again():
    """BUSY guarantees that nothing ran, so the write may be retried."""
    world = World()
    world.primary.refuse = [ReasonRefused.BUSY]
    assert isinstance(await Caller(world, "primary")(WRITE), CompletedStatement)
    assert [run[0] for run in world.primary.runs] == ["write"]


async def test_a_failed_write_is_passed_on():
    """FAILED means that the write ran, so only the caller may decide about a retry."""
    world = World()
    world.primary.refuse = [ReasonRefused.FAILED]
    reply = await Caller(world, "primary")(WRITE)
    assert isinstance(reply, Refused)


async def test_a_commit_acknowledged_after_a_switch_is_in_doubt():
    """ONE: a commit of the old primary must not be acknowledged after a switch."""
    world = World()
    world.primary.work_s = 0.1
    caller = Caller(world, "primary")
    task = asyncio.ensure_future(caller(WRITE))
    await asyncio.sleep(0.05)
    world.primaries.number = 1
    world.primaries.name = "b"
    assert code(await task) is codes.OUTCOME_UNKNOWN


async def slow_write(world: World, switches_lease_left_s: tuple[float, ...]):
    """Write for 0.8 s, and learn of switches from 0.1 s on; this host stays in touch throughout."""
    world.primary.work_s = 0.8
    task = asyncio.ensure_future(Caller(world, "primary")(WRITE))
    await asyncio.sleep(0.1)
    for lease_left_s in switches_lease_left_s:
        world.primaries.begin_switch(lease_left_s)
    return await task


async def test_a_slow_write_is_not_acknowledged_by_a_lease_from_after_the_switch():
    """ONE: a host that stayed in touch acknowledged a commit of the old primary though its lease
    from before the switch, for which the promoter had waited, was over.
    """
    assert code(await slow_write(World(), (0.5,))) is codes.OUTCOME_UNKNOWN


async def test_a_slow_write_is_acknowledged_within_the_lease_from_before_the_switch():
    """A write that ended before any promotion was reported as unknown."""
    assert isinstance(await slow_write(World(), (0.75,)), CompletedStatement)


async def test_a_second_switch_does_not_extend_the_time_of_a_write_from_before_the_first():
    """ONE: the lease at the later switch counted, although the first one had ended the epoch."""
    assert code(await slow_write(World(), (0.5, 2.0))) is codes.OUTCOME_UNKNOWN


async def test_a_slow_commit_is_not_acknowledged_by_a_lease_from_after_the_switch():
    """ONE: COMMIT of a transaction took as long as the single write."""
    world = World()
    caller = Caller(world, "primary")
    await caller(Begin(False))
    await caller(WRITE)
    world.primary.work_s = 0.8
    task = asyncio.ensure_future(caller(COMMIT))
    await asyncio.sleep(0.1)
    world.primaries.begin_switch(0.5)
    assert code(await task) is codes.OUTCOME_UNKNOWN


async def test_a_slow_read_of_the_old_primary_is_still_delivered():
    """A read that began before the switch is correct, and its answer was held back."""
    world = World()
    world.primary.work_s = 0.45
    task = asyncio.ensure_future(Caller(world, "primary")(READ))
    await asyncio.sleep(0.1)
    world.primaries.begin_switch(0.1)
    assert isinstance(await task, CompletedStatement)


async def test_a_write_that_the_old_primary_refuses_late_runs_at_the_new_one():
    """A write that waited at the old primary was reported as unknown though it had not run."""
    world = World()
    world.primary.work_s = 0.5
    world.primary.refuse = [ReasonRefused.READ_ONLY]
    task = asyncio.ensure_future(Caller(world, "primary")(WRITE))
    await asyncio.sleep(0.1)
    world.primaries.begin_switch(0.2)
    await asyncio.sleep(0.3)
    world.replicas[0].is_primary = True
    world.primaries.name = "b"
    assert isinstance(await task, CompletedStatement)
    assert [run[0] for run in world.replicas[0].runs] == ["write"]
    assert not world.primary.runs


async def test_a_transaction_stays_on_one_connection():
    """PINNED: all statements of a transaction must run on the connection that began it."""
    world = World()
    caller, other = Caller(world, "primary"), Caller(world, "primary", "key2")
    await caller(Begin(False))
    await caller(WRITE)
    await other(Begin(False))
    await other(WRITE)
    await caller(WRITE)
    await caller(COMMIT)
    await other(COMMIT)
    commits = [run for run in world.primary.runs if run[0] == "commit"]
    assert [len(run[2]) for run in commits] == [2, 1]
    assert [run[3] for run in commits] == ["carp", "weld"]


async def test_an_interrupted_transaction_is_rolled_back_and_says_so():
    """REFUSED: ABORTED guarantees a rollback, so the connection must be closed."""
    world = World()
    caller = Caller(world, "primary")
    await caller(Begin(False))
    await caller(WRITE)
    world.primary.lose_answers = 1
    assert code(await caller(WRITE)) is codes.TRANSACTION_ABORTED
    assert caller.session.state == "E"
    assert code(await caller(READ)) is codes.STATEMENT_NOT_SUPPORTED
    assert isinstance(await caller(Rollback()), CompletedStatement)
    assert caller.session.state == "I"
    assert world.primary.connections == 0


async def test_a_lost_commit_of_writes_is_in_doubt():
    """REFUSED and TWICE: the commit may have succeeded, so its outcome is unknown."""
    world = World()
    caller = Caller(world, "primary")
    await caller(Begin(False))
    await caller(WRITE)
    world.primary.lose_answers = 1
    assert code(await caller(COMMIT)) is codes.OUTCOME_UNKNOWN


async def test_values_of_one_session_never_reach_another():
    """PINNED: a pooled connection must have exactly the variables of the session."""
    world = World(share=1)
    first, second = Caller(world, "primary"), Caller(world, "primary")
    await first(SetValue("zone", "Cluj"))
    await first(SetValue("unit", "mm"))
    await first(READ)
    await second(SetValue("zone", "Turda"))
    await second(READ)
    await first(READ)
    values = [run[2] for run in world.primary.runs]
    first_values = {"zone": "Cluj", "unit": "mm"}
    assert values == [first_values, {"zone": "Turda"}, first_values]


async def test_prepared_names_of_two_sessions_do_not_collide():
    """PINNED: one name may denote a different prepared statement in each session."""
    world = World(share=1)
    first, second = Caller(world, "primary"), Caller(world, "primary")
    await first(Prepare("s1", False, "shape one"))
    await second(Prepare("s1", True, "shape two"))
    await first(Execute("s1", "1"))
    await second(Execute("s1", "1 x"))
    await first(Execute("s1", "1"))
    templates = [(run[0], run[4]) for run in world.primary.runs]
    assert templates == [("read", "shape one"), ("write", "shape two"), ("read", "shape one")]


# Two texts with the same xxh64, which a client can construct for any text of some length.
COLLIDING_TEMPLATES = (
    "select amount from deposits where depot = ? and day between ? and ? order by day",
    "yupw5yxpmount from deposits wherp.t{98~C= ? and day between ? and ? order by day",
)


async def test_texts_with_equal_short_hashes_are_different_statements():
    """PINNED: a session ran another client's text that was constructed to have the same hash."""
    world = World(share=1)
    assert len({xxhash.xxh64_digest(text.encode()) for text in COLLIDING_TEMPLATES}) == 1
    callers = [Caller(world, "primary") for _ in COLLIDING_TEMPLATES]
    for caller, template in zip(callers, COLLIDING_TEMPLATES, strict=True):
        await caller(Prepare("s1", False, template))
    for _ in range(2):
        for caller in callers:
            assert isinstance(await caller(Execute("s1", "1")), CompletedStatement)
    assert [run[4] for run in world.primary.runs] == [*COLLIDING_TEMPLATES] * 2
    assert world.primary.opened == 1


async def test_a_prepared_statement_is_reused_within_its_customer_only():
    """PINNED, UNASKED: an equal statement of another customer ran on a connection of the first."""
    world = World(share=2)
    for key in ("key", "key2", "key"):
        caller = Caller(world, "primary", key)
        await caller(Prepare("s1", False, "shape"))
        await caller(Execute("s1", "1"))
    assert [run[3] for run in world.primary.runs] == ["carp", "weld", "carp"]
    assert world.primary.opened == 2


async def test_an_unknown_prepared_name_is_refused():
    """A name that the caller has not prepared must not reach a target."""
    world = World()
    reply = await Caller(world, "primary")(Execute("s9", "1"))
    assert code(reply) is codes.STATEMENT_NOT_SUPPORTED


async def test_connections_belong_to_one_customer():
    """UNASKED: a statement must never run as another customer."""
    world = World(share=1)
    for _ in range(2):
        await Caller(world, "primary")(READ)
        await Caller(world, "primary", "key2")(READ)
    assert [run[3] for run in world.primary.runs] == ["carp", "weld", "carp", "weld"]
    assert world.primary.connections == 1


async def test_a_withdrawn_key_stops_an_open_session():
    """CONFIG: the key is looked up for each operation, not only when the session begins."""
    world = World()
    caller = Caller(world, "primary")
    assert isinstance(await caller(READ), CompletedStatement)
    world.configure(2, keys=("key2",))
    assert code(await caller(READ)) is codes.KEY_WITHDRAWN


async def test_an_older_configuration_never_comes_back():
    """CONFIG: a late answer of the store must not undo a newer version."""
    world = World()
    world.configure(3, keys=("key2",))
    world.configure(2)
    assert code(await Caller(world, "primary")(READ)) is codes.KEY_WITHDRAWN


async def test_a_customer_beyond_its_rate_is_refused_before_any_target():
    """QUOTA: a refused operation must not reach a target."""
    world = World()
    world.rates.remaining = 0
    world.rates.remaining = -1
    assert code(await Caller(world, "primary")(WRITE)) is codes.RATE_EXCEEDED
    assert not world.primary.runs


async def test_draining_waits_for_work_and_ends_transactions():
    """ONE: a switch may proceed only when this host has no work in progress at the old primary."""
    world = World()
    caller = Caller(world, "primary")
    await caller(Begin(False))
    await caller(WRITE)
    assert await world.work.drain(SERVICE, 0.5, 1.0)
    assert code(await caller(COMMIT)) is codes.TRANSACTION_ABORTED
    assert not any(run[0] == "commit" for run in world.primary.runs)


async def test_a_leaving_target_gets_no_new_work_after_a_while():
    """DRAIN and EVAC: a leaving target must not be given new work for long."""
    world = World()
    world.register(frozenset({"a", "b"}))
    await world.observe()
    await asyncio.sleep(3.1)
    await world.observe()
    assert isinstance(await Caller(world, "bounded")(READ), CompletedStatement)
    assert not world.replicas[0].runs
    assert isinstance(await Caller(world, "primary")(WRITE), Refusal)


async def test_more_sessions_than_connections_all_get_answers():
    """60 sessions of two customers share four connections, and none is refused."""
    world = World(share=4)
    callers = [Caller(world, "primary", key) for key in ("key", "key2") for _ in range(30)]
    replies = await asyncio.gather(*(caller(READ) for caller in callers))
    assert all(isinstance(reply, CompletedStatement) for reply in replies)
    assert world.primary.connections <= 4


async def test_an_operation_that_reached_no_target_gives_its_token_back():
    """Retries that are refused during a switch must not use up the customer's rate."""
    world = World()
    world.rates.remaining = 5
    world.primaries.name = ""
    caller = Caller(world, "primary")
    assert isinstance(await caller(WRITE), Refusal)
    await caller(Begin(False))
    assert isinstance(await caller(WRITE), Refusal)
    await caller(Rollback())
    assert world.rates.remaining == 5
    world.primaries.name = "a"
    assert isinstance(await caller(WRITE), CompletedStatement)
    assert world.rates.remaining == 4


async def test_a_host_that_lacks_the_newest_configuration_refuses_new_operations():
    """CONFIG: one of 195 hosts ran a request 6.4 s after its key had been withdrawn."""
    world = World()
    caller = Caller(world, "primary")
    assert isinstance(await caller(READ), CompletedStatement)
    world.context.is_outdated = lambda: True
    reply = await caller(READ)
    assert reply.code is NO_CONFIGURATION
    assert reply.code.ran is ExecutionStatus.NO


async def test_what_a_session_keeps_is_counted_with_its_objects():
    """Fault, review/8: hundreds of short values and statements counted as nearly nothing."""
    world = World()
    callers = [Caller(world, "primary") for _ in range(20)]
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    for caller in callers:
        for number in range(MAX_STATE_ENTRIES - 1):
            await caller(SetValue(f"{caller.number}v{number}", f"x{number}"))
            await caller(Prepare(f"{caller.number}p{number}", False, f"READ {number}"))
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert after_bytes - before_bytes < sum(caller.session.kept_bytes for caller in callers)


async def test_what_a_session_keeps_is_counted_once():
    """Fault: values that are set again and again must not use up what a session may keep."""
    caller = Caller(World(), "primary")
    for _ in range(3):
        await caller(SetValue("v", "x"))
        await caller(Prepare("p", False, "READ 1"))
    kept_bytes = caller.session.kept_bytes
    await caller(SetValue("v", "y"))
    await caller(Prepare("p", False, "READ 2"))
    assert caller.session.kept_bytes == kept_bytes
    await caller(Deallocate("p"))
    await caller(Deallocate("p"))
    assert 0 < caller.session.kept_bytes < kept_bytes
