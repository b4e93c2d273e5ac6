"""Guards against writes that are lost, run twice or refused with a wrong outcome."""

import asyncio

import pytest
from gateway.gateway_world import HOSTS, cancel_after, insert, refused_with, with_world

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import (
    INTERRUPTED_NOT_RUN,
    OUTCOME_UNKNOWN,
    REQUEST_ID_REUSED,
    ExecutionStatus,
)
from pistachiowinch.groups.ledger import LedgerEntry, statement_digest

pytestmark = pytest.mark.looptime


@with_world
async def test_lost_commit_answer_with_the_same_primary_is_success_once(world):
    """Guards against running a write again whose COMMIT took effect."""
    session = await world.login()
    world.group.lose_result(world.primary, "commit")
    (await world.run(session, insert("a"))).unwrap()
    assert world.names() == ["a"]
    assert session.token is not None
    await world.assert_idle()


@with_world
@pytest.mark.parametrize("is_replicated", [True, False])
async def test_lost_commit_answer_with_a_replaced_primary_is_decided(world, is_replicated):
    """Guards against a write that runs twice, or counts as done although a promotion dropped it.

    In the second case no replica had received the write, so it has to run again.
    """
    session, old = await world.login(), world.primary
    if not is_replicated:
        for replica in world.replicas:
            world.group.set_lag(replica, receive_s=2.0)
    write = asyncio.create_task(world.run(session, insert("a")))
    texts = world.site.sent
    await world.site.until(lambda: any(s.text == "COMMIT" for s in texts), 1.0)
    await sleep_s(0.01)
    world.group.crash(old)
    for replica in world.replicas:
        world.group.set_lag(replica)
    (await write).unwrap()
    await world.wait_until_replaced(old)
    assert world.names() == ["a"]
    world.group.restart(old)
    await sleep_s(2.0)
    assert world.names(old) == ["a"], "the returning target must drop the discarded entry"


@with_world
async def test_connection_lost_before_commit_is_retried_within_the_budget(world):
    """Guards against retries without a budget and against "not run" for a write that ran."""
    session = await world.login()
    for number in range(20):
        (await world.run(session, insert(f"earn-{number}"))).unwrap()
    world.group.lose_result(world.primary, "write")
    (await world.run(session, insert("retried"))).unwrap()
    assert world.names().count("retried") == 1
    retries, since_s = world.gateway()._retries, now_s()
    while retries.try_spend("customer-1"):
        pass
    world.group.lose_result(world.primary, "write")
    code = refused_with(await world.run(session, insert("refused")))
    assert code is INTERRUPTED_NOT_RUN and code.ran is ExecutionStatus.NO
    assert world.sent_to(world.primary, since_s).count(insert("refused")) == 1
    await sleep_s(3.0)
    assert "refused" not in world.names()
    await world.assert_idle()


@with_world
async def test_request_repeated_at_another_host_while_the_first_still_runs(world):
    """Guards against two hosts that both run one request."""
    text = "INSERT INTO records (caller, seq, note) VALUES ('a', 1, 'x')"
    first, second = await world.login(), await world.login("host-2")
    results = await asyncio.gather(
        world.run(first, text, "r-1"), world.run(second, text, "r-1", host="host-2")
    )
    answers = [result.unwrap() for result in results]
    assert world.group.rows(world.primary, "SELECT COUNT(*) FROM records") == [(1,)]
    assert answers[0].last_insert_id == answers[1].last_insert_id
    assert answers[0].affected_rows == answers[1].affected_rows == 1


async def _cancel_request(world, text, request_id):
    """Leave a cancelled ledger row, as a host does that lost the COMMIT before it took effect."""
    ledger, tracker = world.parts().ledger, world.parts().tracker
    entry = LedgerEntry("customer-1", request_id, statement_digest(text))
    await ledger.decide(entry, tracker.primary, tracker.term, now_s() + 5.0)


@with_world
async def test_request_after_a_cancelled_attempt_runs_once_under_a_derived_id(world):
    """Guards against a cancelled request id that never runs, or runs at each repetition."""
    text = "INSERT INTO records (caller, seq, note) VALUES ('a', 1, 'x')"
    await _cancel_request(world, text, "r-1")
    sessions = [await world.login(host) for host in HOSTS]
    results = await asyncio.gather(
        *(world.run(s, text, "r-1", host=h) for s, h in zip(sessions, HOSTS, strict=True))
    )
    results.append(await world.run(sessions[0], text, "r-1"))
    assert len({result.unwrap().last_insert_id for result in results}) == 1
    assert world.group.rows(world.primary, "SELECT COUNT(*) FROM records") == [(1,)]


@with_world
async def test_own_duplicate_key_after_a_cancelled_attempt_returns_the_stored_answer(world):
    """Guards against an error for a request that ran under its derived id."""
    await _cancel_request(world, insert("a"), "r-1")
    session = await world.login()
    (await world.run(session, insert("a"), "r-1")).unwrap()
    assert (await world.run(session, insert("a"), "r-1")).unwrap().affected_rows == 1
    assert world.names() == ["a"]


@with_world
async def test_request_id_with_another_statement_is_refused(world):
    """Guards against answering one statement with the result of another."""
    session, other = await world.login(), await world.login("host-2")
    (await world.run(session, insert("a"), "r-1")).unwrap()
    result = await world.run(other, insert("b"), "r-1", host="host-2")
    assert refused_with(result) is REQUEST_ID_REUSED
    assert world.names() == ["a"]
    await world.assert_idle()


@with_world
async def test_repeated_request_with_its_own_duplicate_key_returns_the_stored_answer(world):
    """Guards against an error that makes the caller believe its first attempt did not run."""
    session, other = await world.login(), await world.login("host-2")
    first = (await world.run(session, insert("a"), "r-1")).unwrap()
    again = (await world.run(other, insert("a"), "r-1", host="host-2")).unwrap()
    assert again.affected_rows == first.affected_rows == 1
    assert other.token is not None and other.token.order >= session.token.order


@with_world
async def test_duplicate_key_without_an_earlier_attempt_stays_an_error(world):
    """Guards against a stored answer for a request that never ran."""
    session = await world.login()
    (await world.run(session, insert("a"), "r-1")).unwrap()
    assert refused_with(await world.run(session, insert("a"), "r-2")) == 1062
    assert refused_with(await world.run(session, insert("a"), "r-2")) == 1062
    assert refused_with(await world.run(session, insert("a"))) == 1062
    await world.assert_idle()


@with_world
async def test_host_paused_after_the_confirmation_does_not_pass_it_on(world, monkeypatch):
    """Guards against an acknowledgement that is older than 0.25 s when it is given."""
    confirmer, starts = world.parts().confirmer, []
    confirm = confirmer.confirm

    async def paused(*arguments):
        outcome = await confirm(*arguments)
        starts.append(outcome.started_s)
        await sleep_s(0.3 if len(starts) == 1 else 0.0)
        return outcome

    monkeypatch.setattr(confirmer, "confirm", paused)
    session = await world.login()
    (await world.run(session, insert("a"))).unwrap()
    assert len(starts) == 2
    assert now_s() - starts[-1] <= 0.25


@with_world
async def test_stored_answer_with_an_aged_confirmation_is_read_again(world, monkeypatch):
    """Guards against an outcome that was read before a pause in which the primary changed."""
    session = await world.login()
    (await world.run(session, insert("a"), "r-1")).unwrap()
    ledger, count = world.parts().ledger, []
    decide = ledger.decide

    async def paused(*arguments):
        decision = await decide(*arguments)
        count.append(1)
        await sleep_s(0.3 if len(count) == 1 else 0.0)
        return decision

    monkeypatch.setattr(ledger, "decide", paused)
    (await world.run(session, insert("a"), "r-1")).unwrap()
    assert len(count) >= 2


@with_world
async def test_paused_host_does_not_acknowledge_a_write_of_a_replaced_primary(world):
    """Guards against a paused host that resumes and acknowledges a discarded write."""
    session, old = await world.login(), world.primary
    for replica in world.replicas:
        world.group.set_lag(replica, receive_s=30.0)
    write = asyncio.create_task(world.run(session, insert("a")))
    await world.site.until(lambda: any(s.text == "COMMIT" for s in world.site.sent), 1.0)
    await sleep_s(0.01)
    world.group.network.pause_host("host-1")
    world.site.network.pause("host-1")
    world.group.isolate(old)
    await sleep_s(3.0)
    for replica in world.replicas:
        world.group.set_lag(replica)
    world.group.network.resume_host("host-1")
    world.site.network.resume("host-1")
    result = await write
    await sleep_s(2.0)
    if result.value_or(None) is not None:
        assert world.names() == ["a"]
    elif refused_with(result).ran is ExecutionStatus.NO:
        assert world.names() == []


@with_world
async def test_write_that_no_replica_holds_is_unknown_and_found_by_its_id(world):
    """Guards against "not run" while both replicas stall; the id decides it later."""
    session = await world.login()
    for replica in world.replicas:
        world.group.pause_replication(replica)
    assert refused_with(await world.run(session, insert("a"), "r-1")) is OUTCOME_UNKNOWN
    for replica in world.replicas:
        world.group.resume_replication(replica)
    other = await world.login("host-2")
    assert (await world.run(other, insert("a"), "r-1", host="host-2")).unwrap().affected_rows == 1
    assert world.names() == ["a"]


@with_world
async def test_write_to_a_fenced_primary_does_not_answer_its_read_only_error(world):
    """Guards against the target's error 1290 in place of waiting for the new primary."""
    session, old = await world.login(), world.primary
    (await world.run(session, insert("warm"))).unwrap()
    world.group.targets[old].fence(world.parts().tracker.term + (1 << 24))
    result = await world.run(session, insert("a"))
    result.unwrap()
    assert world.primary != old or world.parts().tracker.term > 1
    assert world.names() == ["a", "warm"]
    await world.assert_idle()


@with_world
@pytest.mark.parametrize("step", range(1, 5))
async def test_caller_cancelled_in_any_step_of_a_write(world, step):
    """Guards against pooled connections with open transactions and against leaked slots."""
    session = await world.login()
    (await world.run(session, insert("warm"))).unwrap()
    for extra_s in (0.0, 0.0012):
        work = world.run(session, insert(f"a-{extra_s}"))
        assert await cancel_after(world, work, step, extra_s)
        assert not session.is_busy
    await world.assert_idle()
    (await world.run(session, insert("b"))).unwrap()
    assert "b" in world.names()


@with_world
@pytest.mark.parametrize("is_cancelled", [False, True])
async def test_write_held_at_the_gate_with_its_slot(world, is_cancelled):
    """Guards against a slot and connection that leak when a hold starts while connecting."""
    session = await world.login()
    write = asyncio.create_task(world.run(session, insert("a")))
    await sleep_s(0.005)
    world.gate().hold(world.parts().tracker.term, 1.0)
    await sleep_s(0.05)
    assert not write.done() and world.parts().scheduler._running
    if is_cancelled:
        write.cancel()
        await asyncio.gather(write, return_exceptions=True)
    else:
        (await write).unwrap()
    await world.assert_idle()
    assert world.names() == ([] if is_cancelled else ["a"])


@with_world
async def test_unrecorded_ddl_with_a_lost_answer_is_unknown(world):
    """Guards against a repeated DDL statement and against "not run" for one that ran."""
    session = await world.login()
    world.group.lose_result(world.primary, "ddl")
    text = "CREATE TABLE other (id INT PRIMARY KEY)"
    assert refused_with(await world.run(session, text)) is OUTCOME_UNKNOWN
    assert sum(s.text == text for s in world.site.sent) == 1


@with_world
async def test_missing_ledger_table_is_created_and_the_write_runs_once(world):
    """Guards against error 1146 for writes to a service that was just configured."""
    session = await world.login()
    await world.run_all(session, "CREATE TABLE other (name VARCHAR(40) PRIMARY KEY)")
    world.group.load(world.primary, ["DROP TABLE pistachiowinch_ledger"])
    await sleep_s(0.3)
    (await world.run(session, insert("a"))).unwrap()
    assert world.names() == ["a"]


@with_world
async def test_promotions_are_counted_once_over_all_hosts(world):
    """Guards against a promotion that is missing in the metrics or counted twice."""
    old = world.primary
    world.group.crash(old)
    await world.wait_until_replaced(old)
    await sleep_s(1.0)
    counts = [
        host.metrics.promotions.labels(outcome="promoted").value
        for host in world.site.hosts.values()
    ]
    assert sum(counts) == 1
