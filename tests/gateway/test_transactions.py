"""Guards against partial, mixed or repeated transactions, and open ones on a pooled connection."""

import asyncio

import pytest
from gateway.gateway_world import SERVICE, cancel_after, insert, refused_with, with_world
from returns.result import Failure

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import (
    HOST_ISOLATED,
    KEY_WITHDRAWN,
    QUEUE_FULL,
    RATE_EXCEEDED,
    TRANSACTION_ABORTED,
    ExecutionStatus,
    Refusal,
)
from pistachiowinch.groups.ledger import LedgerEntry, statement_digest

pytestmark = pytest.mark.looptime


@with_world
async def test_transaction_over_a_promotion_is_aborted_and_leaves_nothing(world):
    """Guards against a transaction of which only the part after a promotion takes effect."""
    session, old = await world.login(), world.primary
    await world.run_all(session, "BEGIN", insert("a"))
    world.group.crash(old)
    await world.wait_until_replaced(old)
    code = refused_with(await world.run(session, insert("b")))
    assert code is TRANSACTION_ABORTED and code.ran is ExecutionStatus.NO
    assert not session.is_in_transaction
    world.group.restart(old)
    await sleep_s(2.0)
    assert world.names() == world.names(old) == []
    await world.assert_idle()


@with_world
async def test_pinned_connection_to_a_replaced_but_living_primary_is_not_used(world):
    """Guards against statements that go on at a target whose data may be stale or discarded."""
    session, writing, old = await world.login(), await world.login(), world.primary
    await world.run_all(session, "SET sql_mode = 'ANSI'")
    await world.run_all(writing, "SET sql_mode = 'ANSI'")
    assert (await world.parts().group.switch_primary(world.replicas)).unwrap() != old
    await world.wait_until_replaced(old)
    since_s = now_s()
    assert refused_with(await world.run(session, "SELECT 1")) is TRANSACTION_ABORTED
    assert refused_with(await world.run(writing, insert("a"))) is TRANSACTION_ABORTED
    assert not {"SELECT 1", "BEGIN"} & set(world.sent_to(old, since_s))
    await world.assert_idle()


@with_world
async def test_write_at_a_fenced_primary_aborts_the_transaction(world):
    """Guards against the target's read-only error in place of an aborted transaction."""
    session, old = await world.login(), world.primary
    await world.run_all(session, "BEGIN")
    target = world.group.targets[old]
    for open_session in target.sessions:
        open_session.reset = lambda reason: None
    target.fence(world.parts().tracker.term + (1 << 24))
    result = await world.run(session, insert("a"))
    assert refused_with(result) is TRANSACTION_ABORTED
    assert not session.is_in_transaction


@with_world
@pytest.mark.parametrize("is_primary_replaced", [False, True])
async def test_lost_commit_answer_of_a_transaction_is_decided(world, is_primary_replaced):
    """Guards against an unknown outcome, or half a transaction, when COMMIT's answer is lost."""
    session, old = await world.login(), world.primary
    await world.run_all(session, "BEGIN", insert("a"), insert("b"))
    world.group.lose_result(old, "commit")
    commit = asyncio.create_task(world.run(session, "COMMIT"))
    if is_primary_replaced:
        await sleep_s(0.004)
        world.group.crash(old)
        await world.wait_until_replaced(old)
    result = await commit
    if is_primary_replaced and result.value_or(None) is None:
        assert refused_with(result) is TRANSACTION_ABORTED
        assert world.names() == []
    else:
        assert result.unwrap() is not None
        assert world.names() == ["a", "b"]
    assert not session.is_in_transaction
    await world.assert_idle()


async def _transact(world, session, names, request_id, host="host-1"):
    await world.run(session, "BEGIN", host=host)
    for name in names:
        text = f"INSERT INTO records (caller, seq, note) VALUES ('{name}', 1, 'x')"
        (await world.run(session, text, host=host)).unwrap()
    return await world.run(session, "COMMIT", request_id, host=host)


def _record_count(world):
    return world.group.rows(world.primary, "SELECT COUNT(*) FROM records")[0][0]


@with_world
async def test_repeated_transaction_runs_once(world):
    """Guards against a repeated transaction that takes effect twice."""
    session, other = await world.login(), await world.login("host-2")
    (await _transact(world, session, ["a", "b"], "t-1")).unwrap()
    (await _transact(world, other, ["a", "b"], "t-1", "host-2")).unwrap()
    assert _record_count(world) == 2
    await world.assert_idle()


@with_world
async def test_transaction_may_be_repeated_after_its_request_id_was_cancelled(world):
    """Guards against a request id under which a transaction can never commit again."""
    session = await world.login()
    tracker = world.parts().tracker
    entry = LedgerEntry("customer-1", "t-1", statement_digest("any"))
    await world.parts().ledger.decide(entry, tracker.primary, tracker.term, now_s() + 5.0)
    (await _transact(world, session, ["a"], "t-1")).unwrap()
    (await _transact(world, session, ["a"], "t-1")).unwrap()
    assert _record_count(world) == 1
    await world.assert_idle()


@with_world
async def test_withdrawn_key_ends_an_open_transaction(world):
    """Guards against a withdrawn key that can still commit."""
    session, ended = await world.login(), []
    world.gateway().sessions_ended.subscribe(on_next=ended.append)
    await world.run_all(session, "BEGIN", insert("a"))
    version = await world.site.patch([(["keys", "customer-1-key"], None)])
    await world.site.until(lambda: world.site.in_force(version), 2.0)
    await world.site.until(lambda: ended, 0.5)
    assert ended == [session] and session.end_reason.code is KEY_WITHDRAWN
    assert refused_with(await world.run(session, "COMMIT")) is KEY_WITHDRAWN
    await world.assert_idle()
    assert world.names() == []


@with_world
async def test_withdrawn_key_ends_a_busy_session_after_its_statement(world):
    """Guards against a session that keeps its transaction because it was busy at the change."""
    session = await world.login()
    await world.run_all(session, "BEGIN", insert("a"))
    world.group.slow_down(world.primary, 800.0)
    running = asyncio.create_task(world.run(session, insert("b")))
    version = await world.site.patch([(["keys", "customer-1-key"], None)])
    await world.site.until(lambda: world.site.in_force(version), 2.0)
    await running
    assert session.end_reason.code is KEY_WITHDRAWN and not session.is_in_transaction
    world.group.slow_down(world.primary, 1.0)
    await world.assert_idle()
    assert world.names() == []


@with_world
@pytest.mark.parametrize("step", range(1, 6))
@pytest.mark.parametrize("extra_s", [0.0, 0.0012])
async def test_caller_cancelled_in_any_step_of_a_transaction(world, step, extra_s):
    """Guards against pooled connections with open transactions and against leaked slots."""
    session = await world.login()
    (await world.run(session, insert("warm"))).unwrap()
    work = world.run_all(session, "BEGIN", insert("a"), insert("b"), "COMMIT")
    assert await cancel_after(world, work, step, extra_s)
    assert not session.is_busy and not session.is_in_transaction
    await world.assert_idle()
    names = world.names()
    assert names in (["warm"], ["a", "b", "warm"])
    await world.run_all(session, "BEGIN", insert("c"), "COMMIT")
    assert world.names() == sorted([*names, "c"])


@with_world
async def test_planned_switch_waits_for_open_transactions_and_holds_new_ones(world):
    """Guards against a planned switch that aborts running transactions or refuses new ones."""
    first, second = await world.login(), await world.login("host-2")
    old = world.primary
    await world.run_all(first, "BEGIN", insert("a"))
    switch = asyncio.create_task(world.parts("host-3").group.switch_primary(world.replicas))
    await sleep_s(0.05)
    held = asyncio.create_task(world.run_all(second, "BEGIN", insert("b"), "COMMIT", host="host-2"))
    await sleep_s(0.05)
    assert world.gate("host-2").is_held and not held.done()
    await world.run_all(first, insert("c"), "COMMIT")
    assert (await switch).unwrap() != old
    await held
    assert world.names() == ["a", "b", "c"]
    await world.assert_idle()


@with_world
async def test_state_on_a_connection_does_not_hold_up_a_planned_switch(world):
    """Guards against idle sessions with session variables that the gate counts until they end."""
    session = await world.login()
    await world.run_all(session, "SET sql_mode = 'ANSI'")
    assert session.pinned is not None and world.gate().running == 0
    (await world.run(session, insert("a"))).unwrap()
    await world.run_all(session, "BEGIN", insert("b"))
    assert world.gate().running == 1
    await world.run_all(session, "COMMIT")
    assert world.gate().running == 0
    assert world.names() == ["a", "b"]


@with_world
async def test_failed_begin_on_a_connection_with_state_leaves_the_gate(world):
    """Guards against a refused BEGIN that the gate counts until the session ends."""
    session = await world.login()
    await world.run_all(session, "SET sql_mode = 'ANSI'")

    async def refuse(_request):
        return Failure(Refusal(QUEUE_FULL, "full"))

    scheduler = world.parts().scheduler
    acquire, scheduler.acquire = scheduler.acquire, refuse
    assert refused_with(await world.run(session, "BEGIN")) is QUEUE_FULL
    scheduler.acquire = acquire
    assert world.gate().running == 0


@with_world
async def test_state_set_inside_a_transaction_keeps_its_connection_out_of_the_pool(world):
    """Guards against session variables of one caller that another caller inherits."""
    session, other = await world.login(), await world.login()
    await world.run_all(session, "BEGIN", "SET sql_mode = 'ANSI'", insert("a"), "COMMIT")
    assert session.pinned is not None
    [answer] = await world.run_all(session, "SELECT @@sql_mode")
    assert answer.rows == (("ANSI",),)
    await world.gateway().close_session(session)
    for _ in range(3):
        [_, answer, _] = await world.run_all(other, "BEGIN", "SELECT @@sql_mode", "COMMIT")
        assert answer.rows == (("STRICT_TRANS_TABLES",),)
    await world.assert_idle()


@with_world
async def test_loss_of_session_state_with_its_primary_is_reported(world):
    """Guards against statements that silently run without the state that the session has set."""
    session, old = await world.login(), world.primary
    await world.run_all(session, "SET sql_mode = 'ANSI'", "SELECT @@sql_mode")
    world.group.crash(old)
    await world.wait_until_replaced(old)
    since_s = now_s()
    assert refused_with(await world.run(session, "SELECT @@sql_mode")) is TRANSACTION_ABORTED
    assert not world.sent_to(old, since_s)
    assert session.pinned is None
    await world.assert_idle()


@with_world
async def test_reset_drops_connection_state_and_transaction(world):
    """Guards against state that survives COM_RESET_CONNECTION and reaches the next caller."""
    session = await world.login()
    await world.run_all(session, "SET sql_mode = 'ANSI'", "BEGIN", insert("a"))
    await world.gateway().reset_session(session)
    assert session.pinned is None
    await world.assert_idle()
    assert world.names() == []


@with_world
async def test_ddl_inside_a_transaction_commits_it_first(world):
    """Guards against DDL that commits a transaction without a record or confirmation."""
    session = await world.login()
    await world.run_all(session, "BEGIN", insert("a"), "CREATE TABLE extra (id INT PRIMARY KEY)")
    assert not session.is_in_transaction and session.token is not None
    await world.run_all(session, "ROLLBACK")
    assert world.names() == ["a"]
    await world.assert_idle()


@with_world
async def test_rate_refusal_inside_a_transaction_leaves_it_open(world):
    """Guards against a refusal that rolls back what the caller still wants to commit."""
    session = await world.login()
    await world.run_all(session, "BEGIN", insert("a"))
    change = [(["customers", "customer-1", "rate_per_s"], 0.01)]
    change.append((["customers", "customer-1", "burst"], 0.01))
    version = await world.site.patch(change)
    await world.site.until(lambda: world.site.in_force(version), 2.0)
    refusals = [refused_with(await world.run(session, insert("b")))]
    assert refusals[-1] is RATE_EXCEEDED
    assert session.is_in_transaction
    await world.run_all(session, "COMMIT")
    assert world.names() == ["a"]
    await world.assert_idle()


@with_world
async def test_isolated_host_aborts_open_transactions(world):
    """Guards against a commit at a host that cannot know whether the key was withdrawn."""
    session = await world.login()
    await world.run_all(session, "BEGIN", insert("a"))
    world.site.network.isolate(["host-1"])
    world.set_store_down("host-1", True)
    await sleep_s(2.5)
    assert refused_with(await world.run(session, "COMMIT")) is HOST_ISOLATED
    await sleep_s(1.0)
    assert not session.is_in_transaction and world.names() == []


@with_world
async def test_stop_lets_open_transactions_end(world):
    """Guards against a planned stop that interrupts a transaction, or takes new ones."""
    session, idle = await world.login(), await world.login()
    await world.run_all(session, "BEGIN", insert("a"))
    stop = asyncio.create_task(world.gateway().stop(5.0))
    await sleep_s(0.1)
    assert idle.end_reason is not None and session.end_reason is None
    assert refused_with(await world.gateway().open_session("customer-1-key", SERVICE)).label == (
        "host_stopping"
    )
    await world.run_all(session, insert("b"), "COMMIT")
    assert await stop == 0
    assert world.names() == ["a", "b"]


@with_world
async def test_stop_rolls_back_what_does_not_end(world):
    """Guards against a stop that never ends and against locks that outlive it."""
    session = await world.login()
    await world.run_all(session, "BEGIN", insert("a"))
    started_s = now_s()
    assert await world.gateway().stop(1.0) == 1
    assert now_s() - started_s < 1.5
    await world.assert_idle()
    assert world.names() == []


@with_world
async def test_repeated_insert_on_a_connection_with_state_returns_the_stored_answer(world):
    """Guards against error 1062 for a repeated request of a session that has used SET."""
    first, second = await world.login(), await world.login()
    (await world.run(first, insert("a"), request_id="r1")).unwrap()
    (await world.run(second, "SET SESSION sort_buffer_size = 1")).unwrap()
    assert (await world.run(second, insert("a"), request_id="r1")).unwrap().affected_rows == 1
    assert world.names() == ["a"]
