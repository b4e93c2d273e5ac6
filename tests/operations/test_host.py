"""Guards against hosts that work without standing, hide failed parts or leak secrets."""

import asyncio

import logbook
import pytest
from operations.host_world import KEY, HostWorld, statement
from returns.result import Failure, Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import HOST_ISOLATED, UNKNOWN_SERVICE, ExecutionStatus, Refusal
from pistachiowinch.operations.keys import native_password_hash
from pistachiowinch.operations.services import connections_per_host

pytestmark = pytest.mark.looptime


def with_world(test):
    """Run a test with a started world.

    A fixture would start it in real time: the clock is paused only inside the test itself.
    """

    async def run():
        world = HostWorld()
        try:
            await world.start()
            await test(world)
        finally:
            await world.close()

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


@with_world
async def test_host_with_a_failed_part_becomes_unready_and_says_which(world):
    host = world.hosts["host-a"]

    async def fail(_configuration):
        raise RuntimeError("no memory")

    host.gateway.apply_configuration = fail
    await world.patch([(["customers", "menghina", "burst"], 400.0)])
    await world.until(lambda: host.failures, 2.0)
    assert host.unready_reasons == ("part sessions failed: RuntimeError('no memory')",)
    assert not world.hosts["host-b"].unready_reasons
    await sleep_s(30)
    assert host.failures, "a failed part must not be restarted silently"


@with_world
async def test_fault_in_a_subscriber_does_not_stop_the_configuration(world):
    host = world.hosts["host-a"]

    def fail(_limits):
        raise ValueError("bad limits")

    host.rates.set_limits = fail
    version = await world.patch([(["customers", "menghina", "burst"], 400.0)])
    await world.in_force(version)
    assert "part configuration failed: ValueError('bad limits')" in host.unready_reasons


@with_world
async def test_isolated_host_loses_standing_and_gets_it_back(world):
    world.network.isolate(["host-a"])
    world.store_clients["host-a"].faults.is_down = True
    session = (await world.login("host-a")).unwrap()
    host = world.hosts["host-a"]
    await world.until(lambda: "the host has no standing" in host.unready_reasons, 2.0)
    match await world.insert("host-a", session, "row-1"):
        case Failure(Refusal(code, _)):
            assert code is HOST_ISOLATED
        case other:
            raise AssertionError(other)
    world.network.heal_all()
    world.store_clients["host-a"].faults.is_down = False
    await world.until(lambda: not host.unready_reasons, 10.0)


@with_world
async def test_traffic_goes_on_while_the_store_is_down(world):
    world.store.faults.is_down = True
    session = (await world.login("host-a")).unwrap()
    for row in range(20):
        (await world.insert("host-a", session, f"row-{row}")).unwrap()
        await sleep_s(0.5)
    assert all(not host.unready_reasons for host in world.all)


@with_world
async def test_host_that_starts_while_the_store_is_down_serves_and_joins_later(world):
    await world.crash_host("host-c")
    world.store.faults.is_down = True
    host = await world.start_host("zone-c")
    await world.until(lambda: not host.unready_reasons, 10.0)
    assert host.site.roster.identity.incarnation == 0
    assert host.site.roster.share == 0.0
    session = (await world.login("host-c")).unwrap()
    (await world.insert("host-c", session, "row-1")).unwrap()
    world.store.faults.is_down = False
    await world.until(lambda: host.site.roster.is_member, 20.0)


@with_world
async def test_stop_with_the_store_down_ends_in_bounded_time(world):
    world.store.faults.is_down = True
    host = world.hosts.pop("host-c")
    started_s = now_s()
    await host.stop()
    await host.stop()
    assert now_s() - started_s < 10.0
    assert "the host is stopping" in host.unready_reasons
    await world.until(lambda: world.hosts["host-a"].membership.suspected_hosts == {"host-c"}, 5.0)


@with_world
async def test_crashed_host_leaves_the_roster_and_returns_with_a_new_incarnation(world):
    before = world.hosts["host-c"].site.roster.identity.incarnation
    await world.crash_host("host-c")
    roster = world.hosts["host-a"].site.roster
    await world.until(lambda: len(roster.current.members) == 2, 5.0)
    host = await world.start_host("zone-c")
    await world.until(world.is_ready)
    assert host.site.roster.identity.incarnation > before
    session = (await world.login("host-c")).unwrap()
    (await world.insert("host-c", session, "row-1")).unwrap()


@with_world
async def test_operator_removes_lost_hosts_but_no_running_one(world):
    host = world.hosts["host-a"]
    for hosts in (set(), {"host-z"}, {"host-a"}, {"host-a", "host-b"}):
        assert isinstance(await host.remove_hosts(frozenset(hosts)), Failure)
    await asyncio.gather(world.crash_host("host-b"), world.crash_host("host-c"))
    await sleep_s(3)
    assert len(host.site.roster.current.members) == 3
    world.store.faults.is_down = True
    lost = frozenset({"host-b", "host-c"})
    assert isinstance(await host.remove_hosts(lost), Failure)
    world.store.faults.is_down = False
    epoch = (await host.remove_hosts(lost)).unwrap()
    assert epoch == host.site.roster.current.epoch
    assert [member.host for member in host.site.roster.current.members] == ["host-a"]
    await world.until(lambda: not host.unready_reasons, 10.0)


@with_world
async def test_removed_service_is_refused_and_its_parts_end(world):
    host = world.hosts["host-b"]
    session = (await world.login("host-b", "plays")).unwrap()
    version = await world.patch(
        [(["customers", "archive", "services"], []), (["services", "plays"], None)]
    )
    await world.in_force(version)
    await sleep_s(1)
    assert host.services.names == ("counter",)
    assert session.end_reason.code is UNKNOWN_SERVICE
    assert not host.failures
    assert isinstance(await world.login("host-b", "plays"), Failure)


@with_world
async def test_service_that_is_removed_and_added_again_works(world):
    """Handlers of a removed service must not be mistaken for those of a new one of its name."""
    entry = world.hosts["host-a"].configuration.document["services"]["counter"]
    customer = ["customers", "menghina", "services"]
    await world.patch([(customer, []), (["services", "counter"], None)])
    version = await world.patch([(["services", "counter"], entry), (customer, ["counter"])])
    await world.in_force(version)
    await sleep_s(1)
    assert all(host.services.names == ("counter", "plays") for host in world.all)
    for host in world.hosts:
        session = (await world.login(host)).unwrap()
        (await world.insert(host, session, f"row-{host}")).unwrap()
    assert not any(host.failures for host in world.all)


@with_world
async def test_primary_moves_back_into_use_when_switches_are_refused_at_first(world):
    """A switch is refused while no replica can catch up; placement must retry it."""
    group = world.groups["counter"]
    old = world.primary()
    others = [target for target in group.targets if target != old]
    for target in others:
        group.pause_replication(target)
    session = (await world.login("host-a")).unwrap()
    writing = asyncio.ensure_future(world.insert("host-a", session, "row-1"))
    await sleep_s(0.2)
    path = ["services", "counter", "targets", old, "state"]
    await world.patch([(path, "leaving")])
    await sleep_s(3)
    for target in others:
        group.resume_replication(target)
    tracker = world.hosts["host-a"].services.group("counter").tracker
    await world.until(lambda: tracker.primary not in (None, old), 10.0)
    match await writing:
        case Failure(Refusal(code, _)) if code.ran is ExecutionStatus.NO:
            assert "row-1" not in _rows(world, tracker.primary)
        case Success(_):
            assert "row-1" in _rows(world, tracker.primary)


def _rows(world, target):
    return [row[0] for row in world.groups["counter"].rows(target, "SELECT name FROM hires")]


async def test_logs_and_status_contain_no_key_hash_or_token():
    records = logbook.TestHandler(level="DEBUG", bubble=False)
    with records.applicationbound():
        world = HostWorld()
        await world.start()
        session = (await world.login("host-a")).unwrap()
        for row in range(3):
            (await world.insert("host-a", session, f"row-{row}")).unwrap()
        group = world.groups["counter"]
        group.crash(world.primary())
        await world.insert("host-a", session, "row-after-crash")
        moved = (await world.login("host-b")).unwrap()
        moved.set_token(session.token_text).unwrap()
        await world.hosts["host-b"].gateway.execute(moved, statement("SELECT bad syntax FROM"))
        moved.set_token(session.token_text + "x")
        await world.patch([(["keys", "menghina-1"], None)])
        await sleep_s(3)
        statuses = str([host.status() for host in world.all])
        metrics = b"".join(host.render_metrics() for host in world.all).decode()
        await world.close()
    text = "\n".join(record.message for record in records.records) + statuses + metrics
    assert records.records
    for secret in (
        KEY,
        native_password_hash(KEY),
        native_password_hash(KEY)[1:].lower(),
        session.token_text,
    ):
        assert secret
        assert secret not in text
    assert "target-password" not in text


@pytest.mark.parametrize(
    ("connections", "members", "share"), [(30, 7, 4), (5, 9, 1), (30, 1, 30), (0, 3, 1), (9, 0, 9)]
)
def test_connections_are_split_and_never_zero(connections, members, share):
    assert connections_per_host(connections, members) == share
