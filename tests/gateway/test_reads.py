"""Guards against stale reads, reads from a replaced primary and sessions that miss their writes."""

import asyncio

import pytest
from gateway.gateway_world import SERVICE, cancel_after, insert, refused_with, with_world

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import BAD_TOKEN, NO_COVERING_TARGET, TRANSACTION_ABORTED, Refusal
from pistachiowinch.base.tokens import SessionToken, encode_token
from pistachiowinch.groups.confirmation import Unconfirmed

pytestmark = pytest.mark.looptime

SELECT = "SELECT name FROM hires ORDER BY name"


def _names(answer):
    return [row[0] for row in answer.rows]


async def _read(world, session, host="host-1"):
    return _names((await world.run(session, SELECT, host=host)).unwrap())


@with_world
async def test_read_is_served_by_a_replica_that_covers_the_token(world):
    """Guards against a primary that serves reads which a replica could serve."""
    session = await world.login()
    (await world.run(session, insert("a"))).unwrap()
    await sleep_s(0.1)
    since_s = now_s()
    assert await _read(world, session) == ["a"]
    assert SELECT not in world.sent_to(world.primary, since_s)


@with_world
@pytest.mark.parametrize("is_applying_only", [False, True])
async def test_stalled_replicas_give_no_stale_read(world, is_applying_only):
    """Guards against a replica that lacks the session's write, and against a long wait for it."""
    session = await world.login()
    stalled = world.replicas if is_applying_only else world.replicas[:1]
    for replica in stalled:
        world.group.pause_replication(replica, is_applying_only)
    (await world.run(session, insert("a"))).unwrap()
    started_s = now_s()
    assert await _read(world, session) == ["a"]
    assert now_s() - started_s < 0.06
    for replica in stalled:
        assert SELECT not in world.sent_to(replica, started_s)


@with_world
async def test_lagging_replicas_fall_back_to_the_primary_within_the_wait(world):
    """Guards against reads that wait for a lag of 500 ms, also after a move to another host."""
    session, other = await world.login(), await world.login("host-2")
    for replica in world.replicas:
        world.group.set_lag(replica, apply_s=0.5)
    for number in range(3):
        (await world.run(session, insert(f"a{number}"))).unwrap()
        other.set_token(session.token_text).unwrap()
        started_s = now_s()
        assert len(await _read(world, other, "host-2")) == number + 1
        assert now_s() - started_s < 0.06
        assert SELECT in world.sent_to(world.primary, started_s)


@with_world
async def test_token_of_a_newer_term_than_the_host_knows_waits_for_it(world):
    """Guards against a replaced primary that serves a session which has seen the promotion."""
    old = world.primary
    first, second = await world.login(), await world.login("host-2")
    (await world.run(first, insert("a"))).unwrap()
    world.group.crash(old)
    tracker = world.parts("host-1").tracker
    known = tracker.term
    await world.site.until(lambda: world.parts("host-2").tracker.term > known)
    await world.site.until(lambda: world.parts("host-2").tracker.primary is not None)
    (await world.run(second, insert("b"), host="host-2")).unwrap()
    assert second.token.term > known
    first.set_token(second.token_text).unwrap()
    assert await _read(world, first) == ["a", "b"]


@with_world
async def test_host_that_missed_a_promotion_serves_nothing_to_a_newer_token(world):
    """Guards against stale reads and writes at a host that only reaches the replaced primary."""
    session, old, replicas = await world.login(), world.primary, world.replicas
    (await world.run(session, insert("a"))).unwrap()
    term = world.parts().tracker.term + (5 << 24)
    session.advance_token(SessionToken(SERVICE, term, 1))
    since_s = now_s()
    read = asyncio.create_task(world.run(session, SELECT))
    await sleep_s(2.0)
    for target in [old, *replicas]:
        assert SELECT not in world.sent_to(target, since_s)
    assert refused_with(await read).ran.value == "not run"
    code = refused_with(await world.run(session, insert("b")))
    assert code.ran.value == "not run" and world.names() == ["a"]


@with_world
async def test_token_of_another_service_is_refused(world):
    """Guards against a position of one group that is compared with those of another."""
    session = await world.login()
    result = session.set_token(encode_token(SessionToken("service-2", 1, 5)))
    assert refused_with(result) is BAD_TOKEN and session.token is None


@with_world
async def test_lost_read_answer_is_repeated_elsewhere(world):
    """Guards against a read that fails because one target died."""
    session = await world.login()
    for number in range(12):
        (await world.run(session, insert(f"a{number:02}"))).unwrap()
    await sleep_s(0.1)
    for replica in world.replicas:
        world.group.lose_result(replica, "read")
    assert len(await _read(world, session)) == 12
    await world.assert_idle()


@with_world
@pytest.mark.parametrize("extra_s", [0.0, 0.0005, 0.0015])
async def test_cancelled_read_returns_slot_and_closes_its_connection(world, extra_s):
    """Guards against a late answer on a pooled connection, taken for another caller's."""
    session, other = await world.login(), await world.login()
    (await world.run(session, insert("a"))).unwrap()
    assert await cancel_after(world, world.run(session, SELECT), 1, extra_s)
    answer = (await world.run(other, "SELECT COUNT(*) FROM hires")).unwrap()
    assert answer.rows == ((1,),)
    await world.assert_idle()


@with_world
async def test_named_session_reads_its_writes_with_all_peers_answering(world):
    """Guards against a session that reconnects without its token and misses its own write."""
    for replica in world.replicas:
        world.group.set_lag(replica, apply_s=1.0)
    session = await world.login("host-1", "counter-7")
    (await world.run(session, insert("a"))).unwrap()
    other = await world.login("host-2", "counter-7")
    assert await _read(world, other, "host-2") == ["a"]
    assert other.token == session.token


@with_world
async def test_name_is_known_for_its_own_customer_only(world):
    """Guards against a token that one customer obtains by another customer's session name."""
    session = await world.login("host-1", "counter-7")
    (await world.run(session, insert("a"))).unwrap()
    opened = await world.gateway("host-2").open_session("customer-2-key", SERVICE)
    stranger = opened.unwrap()
    stranger.name = "counter-7"
    (await world.run(stranger, SELECT, host="host-2")).unwrap()
    assert stranger.token is None


@with_world(retention_s=5.0)
async def test_names_are_certain_only_after_the_retention_time(world):
    """Guards against a started host that answers for writes of which it holds no token."""
    session = await world.login("host-2", "new-name")
    await _read(world, session, "host-2")
    assert session.is_token_doubtful
    await sleep_s(5.5)
    later = await world.login("host-2", "other-name")
    await _read(world, later, "host-2")
    assert not later.is_token_doubtful


async def _check_read_of_confirmed_primary(world, session):
    """Read and check that the confirmed primary served it."""
    for replica in world.replicas:
        world.group.set_lag(replica, apply_s=1.0)
    since_s = now_s()
    assert await _read(world, session, "host-2") == ["a"]
    assert session.is_token_doubtful
    assert SELECT in world.sent_to(world.primary, since_s)


@with_world(retention_s=5.0)
async def test_named_session_with_a_silent_peer_reads_from_the_confirmed_primary(world):
    """Guards against a stale read because the only host that knows the write is silent."""
    await sleep_s(5.5)
    session = await world.login("host-1", "counter-7")
    for replica in world.replicas:
        world.group.set_lag(replica, apply_s=1.0)
    (await world.run(session, insert("a"))).unwrap()
    world.site.network.cut("host-1", "host-2")
    other = await world.login("host-2", "counter-7")
    await _check_read_of_confirmed_primary(world, other)
    (await world.run(other, insert("b"), host="host-2")).unwrap()
    assert not other.is_token_doubtful


@with_world(retention_s=5.0)
async def test_named_session_after_a_roster_change_reads_from_the_confirmed_primary(world):
    """Guards against a stale read because the host that knew the write has left the roster."""
    await sleep_s(5.5)
    session = await world.login("host-1", "counter-7")
    for replica in world.replicas:
        world.group.set_lag(replica, apply_s=60.0)
    (await world.run(session, insert("a"))).unwrap()
    await world.site.crash_host("host-1")
    roster = world.site.hosts["host-2"].site.roster
    await world.site.until(lambda: len(roster.current.members) == 2)
    other = await world.login("host-2", "counter-7")
    await _check_read_of_confirmed_primary(world, other)


@with_world
async def test_doubtful_session_gets_no_read_from_a_cut_off_primary(world):
    """Guards against a read at a primary that no majority confirms."""
    session, old = await world.login("host-1", "counter-7"), world.primary
    world.group.cut(old, world.replicas)
    for replica in world.replicas:
        world.group.targets[replica].fence(world.parts().tracker.term + (1 << 24))
    result = await world.run(session, SELECT)
    assert world.names() == [] and session.is_token_doubtful
    if result.value_or(None) is None:
        assert isinstance(result.failure(), Refusal)
    else:
        assert world.parts().tracker.term > 1


@with_world
async def test_doubtful_session_gets_nothing_without_a_confirmation(world, monkeypatch):
    """Guards against an answer of a target that no majority confirms as the primary."""
    session = await world.login("host-1", "counter-7")

    async def confirm(*_arguments):
        return Unconfirmed("1 target answered")

    monkeypatch.setattr(world.parts().confirmer, "confirm", confirm)
    assert refused_with(await world.run(session, SELECT)) is NO_COVERING_TARGET
    assert refused_with(await world.run(session, "BEGIN")) is TRANSACTION_ABORTED
    assert not session.is_in_transaction
    await world.assert_idle()


@with_world
async def test_interrupted_token_recovery_is_repeated(world):
    """Guards against a stale read after a first statement that was cancelled."""
    for replica in world.replicas:
        world.group.set_lag(replica, apply_s=1.0)
    session = await world.login("host-1", "counter-7")
    (await world.run(session, insert("a"))).unwrap()
    other = await world.login("host-2", "counter-7")
    task = asyncio.create_task(world.run(other, SELECT, host="host-2"))
    await sleep_s(0.0002)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert await _read(world, other, "host-2") == ["a"]
    assert other.token == session.token
