"""Guards against new work on hosts, zones, targets or keys that were taken out of use."""

import asyncio

import pytest
from gateway.gateway_world import DEPLOYMENT, HOSTS, SERVICE, insert, refused_with, with_world
from returns.result import Failure

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import (
    DEADLINE_PASSED,
    HOST_ISOLATED,
    HOST_STOPPING,
    INTERNAL,
    KEY_WITHDRAWN,
    NO_PRIMARY,
    SERVICE_NOT_ALLOWED,
    UNKNOWN_SERVICE,
    ZONE_OUT,
    ExecutionStatus,
    Refusal,
)

pytestmark = pytest.mark.looptime


async def _patch(world, *changes):
    version = await world.site.patch(list(changes), "host-3")
    await world.site.until(lambda: world.site.in_force(version), 2.0)
    await sleep_s(0.01)


@with_world
async def test_isolated_host_takes_no_new_work(world):
    """Guards against work at a host that cannot prove that its configuration is current."""
    session = await world.login()
    world.site.network.isolate(["host-1"])
    world.set_store_down("host-1", True)
    await sleep_s(2.0)
    for text in (insert("a"), "SELECT 1", "BEGIN"):
        code = refused_with(await world.run(session, text))
        assert code is HOST_ISOLATED and code.ran is ExecutionStatus.NO
    assert refused_with(await world.gateway().open_session("customer-1-key", SERVICE)) is code
    assert not world.gateway().admission.is_ready and world.names() == []


@with_world
async def test_stopping_host_ends_idle_sessions_and_refuses_new_ones(world):
    """Guards against callers that stay on a host which is about to exit."""
    session, ended = await world.login(), []
    world.gateway().sessions_ended.subscribe(on_next=ended.append)
    assert await world.gateway().stop(1.0) == 0
    assert ended == [session] and world.gateway().session_count == 0
    assert refused_with(await world.run(session, "SELECT 1")) is HOST_STOPPING
    opened = await world.gateway().open_session("customer-1-key", SERVICE)
    assert refused_with(opened) is HOST_STOPPING


@with_world
async def test_zone_out_ends_idle_sessions_and_lets_a_transaction_end(world):
    """Guards against new work in a zone that is out, and against an interrupted transaction."""
    session, idle = await world.login(), await world.login()
    await world.run_all(session, "BEGIN", insert("a"))
    await _patch(world, (["availability_zones", DEPLOYMENT.zone_of(0)], {"state": "out"}))
    assert idle.end_reason.code is ZONE_OUT
    assert refused_with(await world.gateway().open_session("customer-1-key", SERVICE)) is ZONE_OUT
    assert not world.gateway().admission.is_ready
    result = await world.run(session, "COMMIT")
    result.unwrap()
    assert refused_with(await world.run(session, "SELECT 1")) is ZONE_OUT


@with_world
@pytest.mark.parametrize("role", ["replica", "primary"])
async def test_leaving_target_gets_no_new_work(world, role):
    """Guards against new work at a leaving target after 2 s, and against refusals meanwhile."""
    session = await world.login()
    await world.run(session, "SELECT 1")
    leaving = world.primary if role == "primary" else world.site.sent[-1].target
    assert (leaving == world.primary) is (role == "primary")
    await _patch(world, (["services", SERVICE, "targets", leaving, "state"], "leaving"))
    left_s = now_s()
    for number in range(30):
        (await world.run(session, insert(f"a{number}"))).unwrap()
        (await world.run(session, "SELECT COUNT(*) FROM hires")).unwrap()
        await sleep_s(0.1)
    late = [text for text in world.sent_to(leaving, left_s + 1.9) if "hires" in text]
    assert not late
    assert len(world.names()) == 30


@with_world
async def test_leaving_primary_without_a_switch_takes_writes_for_the_grace_time_only(world):
    """Guards against refusals before the planned switch, and against work after 2 s without one."""

    async def refuse(_preferred):
        return Failure(Refusal(NO_PRIMARY, "no preferred target is reachable"))

    for host in HOSTS:
        world.parts(host).group.switch_primary = refuse
    session, old = await world.login(), world.primary
    await _patch(world, (["services", SERVICE, "targets", old, "state"], "leaving"))
    (await world.run(session, insert("a"))).unwrap()
    await sleep_s(1.9)
    code = refused_with(await world.run(session, insert("b")))
    assert code is DEADLINE_PASSED and code.ran is ExecutionStatus.NO
    assert world.primary == old and world.names() == ["a"]


@with_world
async def test_withdrawn_grants_end_sessions_with_their_reason(world):
    """Guards against sessions that outlive their key, their customer's grant or their service."""
    first = await world.login()
    second = (await world.gateway().open_session("customer-2-key", SERVICE)).unwrap()
    await _patch(
        world,
        (["keys", "customer-1-key"], None),
        (["customers", "customer-2", "services"], []),
    )
    assert first.end_reason.code is KEY_WITHDRAWN
    assert second.end_reason.code is SERVICE_NOT_ALLOWED
    assert refused_with(await world.run(second, insert("a"))) is SERVICE_NOT_ALLOWED
    missing = await world.gateway("host-2").open_session("customer-2-key", "nowhere")
    assert refused_with(missing) is UNKNOWN_SERVICE
    assert world.names() == []


@with_world
async def test_key_moved_to_another_customer_ends_the_session(world):
    """Guards against work on behalf of a customer whose key now belongs to another one."""
    session = await world.login()
    await _patch(world, (["keys", "customer-1-key", "customer"], "customer-2"))
    assert session.end_reason.code is KEY_WITHDRAWN


@with_world
async def test_keyless_caller_needs_an_open_service(world):
    """Guards against callers without a key at a closed service."""
    closed = await world.gateway().open_session("", SERVICE)
    assert refused_with(closed) is SERVICE_NOT_ALLOWED
    limits = {"rate_per_s": 100.0, "burst": 100.0, "weight": 1.0, "services": [SERVICE]}
    await _patch(world, (["customers", "open"], limits), (["services", SERVICE, "is_open"], True))
    session = (await world.gateway().open_session("", SERVICE)).unwrap()
    (await world.run(session, "SELECT 1")).unwrap()
    assert session.customer == "open"


@with_world
async def test_fault_in_the_code_ends_the_transaction_and_frees_the_session(world):
    """Guards against a session that stays busy, or open, after an internal error."""
    session = await world.login()
    await world.run_all(session, "BEGIN", insert("a"))
    session.pinned.statement_texts = None
    assert refused_with(await world.run(session, insert("b"))) is INTERNAL
    assert not session.is_busy and not session.is_in_transaction
    await world.assert_idle()
    assert world.names() == []


@with_world
async def test_second_statement_of_a_busy_session_is_an_error(world):
    """Guards against two concurrent statements on one session."""
    session = await world.login()
    session.is_busy = True
    with pytest.raises(RuntimeError):
        await world.run(session, insert("a"))
    session.is_busy = False
    (await world.run(session, insert("a"))).unwrap()


@with_world
async def test_key_withdrawn_while_a_write_waits_for_the_primary(world):
    """Guards against a queued write that runs seconds after its key was withdrawn."""
    session = await world.login()
    old = world.primary
    for target in world.targets:
        world.group.crash(target)
    write = asyncio.create_task(world.run(session, insert("a")))
    await sleep_s(1.0)
    await _patch(world, (["keys", "customer-1-key"], None))
    for target in world.targets:
        world.group.restart(target)
    assert refused_with(await write) is KEY_WITHDRAWN
    assert world.names(old) == []
