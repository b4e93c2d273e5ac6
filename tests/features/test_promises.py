"""Steps of the scenarios in promises.feature, which run on a simulated clock."""

import asyncio

import looptime
import pytest
from operations.host_world import KEY, HostWorld, gather_until
from pytest_bdd import given, parsers, scenarios, then, when
from returns.result import Failure, Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import KEY_WITHDRAWN, ExecutionStatus, Refusal
from pistachiowinch.links.targets import QueryResult
from pistachiowinch.operations.keys import native_password_hash

scenarios("promises.feature")

SEED = 1
HOSTS = ("host-a", "host-b", "host-c")


class ScenarioContext:
    """Event loop, site and saved values of one scenario."""

    def __init__(self):
        self.loop = looptime.new_event_loop(start=0, end=600)
        self.world = None
        self.saved = {}
        self.tasks = []
        self.stopping = None

    def run(self, work):
        asyncio.set_event_loop(self.loop)
        return self.loop.run_until_complete(work)

    def spawn(self, work):
        task = self.loop.create_task(work)
        self.tasks.append(task)
        return task

    def unready_reasons(self, host):
        """Return the reasons why a host is not ready."""

        async def read():
            return self.world.hosts[host].unready_reasons

        return self.run(read())

    def row_names(self, primary=None):
        """Return the names in the rows of counter at a target, by default the primary."""

        async def read():
            found = primary or self.world.primary()
            rows = self.world.groups["counter"].rows(found, "SELECT name FROM hires")
            return sorted(row[0] for row in rows)

        return self.run(read())

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.world is not None:
            await self.world.close()


@pytest.fixture
def context():
    context = ScenarioContext()
    yield context
    context.run(context.close())
    asyncio.set_event_loop(None)
    context.loop.close()


def _refusal(result):
    match result:
        case Failure(Refusal() as refusal):
            return refusal
    return None


@given("a site of three hosts in three availability zones")
def start_site(context):
    async def start():
        context.world = HostWorld(SEED)
        await context.world.start()

    context.run(start())


# P1 ---------------------------------------------------------------------------------------------


@given("the replicas of counter lag by 500 ms")
def lag(context):
    for target in context.world.groups["counter"].targets:
        context.world.groups["counter"].set_lag(target, apply_s=0.5)


@when("a caller writes 10 rows at host-a and reads each at host-b with its token")
def write_and_move(context):
    async def work():
        world = context.world
        writer = (await world.login("host-a")).unwrap()
        seen = []
        for row in range(10):
            (await world.insert("host-a", writer, f"row-{row}")).unwrap()
            reader = (await world.login("host-b")).unwrap()
            reader.set_token(writer.token_text).unwrap()
            text = f"SELECT COUNT(*) FROM hires WHERE name = 'row-{row}'"
            seen.append((await world.run("host-b", reader, text)).unwrap().rows[0][0])
            await world.hosts["host-b"].gateway.close_session(reader)
        context.saved["seen"] = seen

    context.run(work())


@then("every read shows the row")
def all_seen(context):
    assert [int(count) for count in context.saved["seen"]] == [1] * 10


# P2 ---------------------------------------------------------------------------------------------


@given("the primary of counter is cut off from everything but host-a")
def cut_primary(context):
    group, primary = context.world.groups["counter"], context.world.primary()
    others = [target for target in group.targets if target != primary]
    context.saved["old"] = primary

    async def cut():
        group.cut(primary, [*others, "host-b", "host-c"])

    context.run(cut())


@when("a caller at host-a writes while the other hosts promote another target")
def write_during_promotion(context):
    async def work():
        world, stop = context.world, asyncio.Event()
        session = (await world.login("host-a")).unwrap()

        async def write(number):
            return f"row-{number}", await world.insert("host-a", session, f"row-{number}")

        writing = context.spawn(gather_until(write, stop))
        new = world.hosts["host-b"].services.group("counter").tracker
        await world.until(lambda: new.primary not in (None, context.saved["old"]))
        await sleep_s(6)
        stop.set()
        context.saved["writes"] = await writing

    context.run(work())


@then("no write is acknowledged that the new primary lacks")
def none_lost(context):
    writes = context.saved["writes"]
    acknowledged = {name for name, result in writes if isinstance(result, Success)}
    new = context.world.hosts["host-b"].services.group("counter").tracker.primary
    assert new != context.saved["old"]
    assert acknowledged - set(context.row_names(new)) == set()
    assert writes


# P3 ---------------------------------------------------------------------------------------------


@when("one caller rolls back and another commits interleaved transactions at host-a")
def interleave(context):
    async def work():
        world = context.world
        first = (await world.login("host-a")).unwrap()
        second = (await world.login("host-a")).unwrap()
        for session in (first, second):
            (await world.run("host-a", session, "BEGIN")).unwrap()
        for row in range(3):
            (await world.insert("host-a", first, f"back-{row}")).unwrap()
            (await world.insert("host-a", second, f"kept-{row}")).unwrap()
        (await world.run("host-a", first, "ROLLBACK")).unwrap()
        (await world.run("host-a", second, "COMMIT")).unwrap()

    context.run(work())


@then("only the rows of the committed transaction are there")
def only_committed(context):
    assert context.row_names() == ["kept-0", "kept-1", "kept-2"]


# P4 and P5 --------------------------------------------------------------------------------------


@when("a caller of archive asks host-a for counter")
def foreign_login(context):
    context.saved["login"] = context.run(context.world.login("host-a", "counter", "archive-1"))


@then(parsers.parse("the answer is {name}"))
def answer_is(context, name):
    assert _refusal(context.saved["login"]).code.name == name


@when("a caller writes 5 rows at host-a")
def write_five(context):
    async def work():
        session = (await context.world.login("host-a")).unwrap()
        for row in range(5):
            (await context.world.insert("host-a", session, f"row-{row}")).unwrap()

    context.run(work())


@then("no target was sent the caller's key or its hash")
def no_key_sent(context):
    texts = " ".join(text for _, _, text in context.world.sent)
    assert "row-4" in texts
    assert KEY not in texts
    assert native_password_hash(KEY)[1:].lower() not in texts.lower()


# P6 ---------------------------------------------------------------------------------------------


@given("an open session of menghina at every host")
def sessions_everywhere(context):
    async def work():
        sessions = {host: (await context.world.login(host)).unwrap() for host in HOSTS}
        for host, session in sessions.items():
            (await context.world.run(host, session, "SELECT COUNT(*) FROM hires")).unwrap()
        context.saved["sessions"] = sessions

    context.run(work())


@when("the key of menghina is withdrawn")
def withdraw(context):
    context.run(context.world.patch([(["keys", "menghina-1"], None)]))


@then("every session ends with KEY_WITHDRAWN within 2 seconds")
def sessions_ended(context):
    async def work():
        sessions = context.saved["sessions"].values()
        ended = lambda: all(session.end_reason is not None for session in sessions)  # noqa: E731
        await context.world.until(ended, 2.0)

    context.run(work())
    for host, session in context.saved["sessions"].items():
        assert session.end_reason.code is KEY_WITHDRAWN
        result = context.run(context.world.insert(host, session, "late"))
        assert _refusal(result).code is KEY_WITHDRAWN
        again = context.run(context.world.login(host))
        assert _refusal(again) is not None
    assert context.row_names() == []


# P7 ---------------------------------------------------------------------------------------------


@given("menghina has a rate of 20 per second and a burst of 30")
def set_rate(context):
    async def work():
        path = ["customers", "menghina"]
        version = await context.world.patch(
            [([*path, "rate_per_s"], 20.0), ([*path, "burst"], 30.0)]
        )
        await context.world.in_force(version)

    context.run(work())


@when("menghina sends as much as it can at all hosts for 5 seconds")
def flood(context):
    async def work():
        world, stop = context.world, asyncio.Event()
        started_s = now_s()

        async def flood_host(host):
            session = (await world.login(host)).unwrap()

            async def read(_number):
                return await world.run(host, session, "SELECT COUNT(*) FROM hires")

            return await gather_until(read, stop)

        floods = [context.spawn(flood_host(host)) for host in HOSTS for _ in range(4)]
        await sleep_s(5)
        stop.set()
        results = [result for found in await asyncio.gather(*floods) for result in found]
        context.saved["results"], context.saved["for_s"] = results, now_s() - started_s

    context.run(work())


@then("it gets no more than its rate and burst")
def within_rate(context):
    results = context.saved["results"]
    admitted = [result for result in results if isinstance(result, Success)]
    refused = {_refusal(result).code.name for result in results if _refusal(result)}
    assert len(admitted) <= 30 + 20 * context.saved["for_s"]
    assert len(admitted) >= 20 * context.saved["for_s"] * 0.8
    assert refused == {"RATE_EXCEEDED"}


# P8 and P12 -------------------------------------------------------------------------------------


@given("menghina writes at every host")
def write_everywhere(context):
    context.stopping = asyncio.Event()
    context.saved["writes"] = []

    async def write_at(host):
        number = 0
        while not context.stopping.is_set():
            login = await context.world.login(host)
            if isinstance(login, Success):
                name = f"{host}-{number}"
                result = await context.world.insert(host, login.unwrap(), name)
                context.saved["writes"].append((now_s(), host, name, result))
                await context.world.hosts[host].gateway.close_session(login.unwrap())
                number += 1
            await sleep_s(0.02)

    async def work():
        for host in HOSTS:
            context.spawn(write_at(host))
        await sleep_s(1)

    context.run(work())


@when("zone-a is taken out")
def zone_out(context):
    async def work():
        context.saved["taken_s"] = now_s()
        await context.world.patch([(["availability_zones", "zone-a", "state"], "out")])
        await sleep_s(5)

    context.run(work())


def _assert_acknowledged_rows(context):
    acknowledged = {w[2] for w in context.saved["writes"] if isinstance(w[3], Success)}
    assert acknowledged - set(context.row_names()) == set()


@then("after 2 seconds no target in zone-a gets work and host-a is not ready")
def zone_is_out(context):
    since_s = context.saved["taken_s"] + 2.0
    assert context.world.work_at("counter-a", since_s) == []
    assert "zone zone-a is out" in context.unready_reasons("host-a")
    late = [w for w in context.saved["writes"] if w[0] >= since_s and isinstance(w[3], Success)]
    assert {host for _, host, _, _ in late} == {"host-b", "host-c"}
    _assert_acknowledged_rows(context)


@when("the primary of counter is set to leaving")
def target_leaves(context):
    async def work():
        context.saved["taken_s"] = now_s()
        context.saved["old"] = context.world.primary()
        path = ["services", "counter", "targets", context.saved["old"], "state"]
        await context.world.patch([(path, "leaving")])
        await sleep_s(5)

    context.run(work())


@then("after 2 seconds it gets no work and writes go on")
def target_left(context):
    since_s = context.saved["taken_s"] + 2.0
    assert context.world.primary() != context.saved["old"]
    assert context.world.work_at(context.saved["old"], since_s) == []
    late = [w for w in context.saved["writes"] if w[0] >= since_s]
    assert late
    assert all(isinstance(result, Success) for _, _, _, result in late)
    _assert_acknowledged_rows(context)


# P9 ---------------------------------------------------------------------------------------------


@given("the primary of counter loses the answer to every third commit")
def lossy_primary(context):
    async def lose():
        while True:
            context.world.groups["counter"].lose_result(context.world.primary())
            await sleep_s(0.03)

    context.spawn(lose())


@when("8 callers at every host write and read rows of their own")
def write_and_read_own(context):
    async def caller(host, number):
        world = context.world
        session = (await world.login(host)).unwrap()
        wrong = []
        for row in range(10):
            name = f"{host}-{number}-{row}"
            written = await world.insert(host, session, name)
            if not isinstance(written, Success):
                continue
            text = f"SELECT name FROM hires WHERE name = '{name}'"
            match await world.run(host, session, text):
                case Success(QueryResult(rows=rows)) if [str(row[0]) for row in rows] != [name]:
                    wrong.append((name, rows))
        return wrong

    async def work():
        callers = [caller(host, number) for host in HOSTS for number in range(8)]
        context.saved["wrong"] = [
            found for wrong in await asyncio.gather(*callers) for found in wrong
        ]

    context.run(work())


@then("every answer belongs to its request")
def own_answers(context):
    assert context.saved["wrong"] == []
    assert len(context.row_names()) > 100


# P10 and P11 ------------------------------------------------------------------------------------


@given("host-a is cut off from the other hosts and from the store")
def isolate_host(context):
    context.world.network.isolate(["host-a"])
    context.world.store_clients["host-a"].faults.is_down = True


@when("a caller writes at host-a for 4 seconds")
def write_isolated(context):
    async def work():
        world, stop = context.world, asyncio.Event()
        session = (await world.login("host-a")).unwrap()

        async def write(number):
            return f"row-{number}", await world.insert("host-a", session, f"row-{number}")

        writing = context.spawn(gather_until(write, stop))
        await sleep_s(4)
        stop.set()
        context.saved["writes"] = await writing

    context.run(work())


@then("no refused row that says not run is there")
def not_run_is_true(context):
    not_run = {
        name
        for name, result in context.saved["writes"]
        if _refusal(result) is not None and _refusal(result).code.ran is ExecutionStatus.NO
    }
    assert not_run
    assert not_run & set(context.row_names()) == set()


@given("the primary of counter loses the answer to the next commit")
def lose_next(context):
    context.world.groups["counter"].lose_result(context.world.primary())


@when("a caller writes a row at host-a and sends it again at host-b with the same request id")
def send_twice(context):
    async def work():
        context.saved["results"] = []
        for host in ("host-a", "host-b"):
            session = (await context.world.login(host)).unwrap()
            result = await context.world.insert(host, session, "row-1", "request-1")
            context.saved["results"].append(result)

    context.run(work())


@then("the row is there once")
def row_once(context):
    assert context.row_names() == ["row-1"]
    assert [result.unwrap().affected_rows for result in context.saved["results"]] == [1, 1]


# P13 --------------------------------------------------------------------------------------------


@given("a caller has an open transaction at host-c")
def open_transaction(context):
    async def work():
        session = (await context.world.login("host-c")).unwrap()
        (await context.world.run("host-c", session, "BEGIN")).unwrap()
        (await context.world.insert("host-c", session, "row-1")).unwrap()
        context.saved["session"] = session

    context.run(work())


@when("host-c stops and the caller commits")
def stop_host(context):
    async def work():
        world, session = context.world, context.saved["session"]
        stopping = context.spawn(world.hosts["host-c"].stop())
        await sleep_s(1)
        assert not stopping.done()
        (await world.insert("host-c", session, "row-2")).unwrap()
        (await world.run("host-c", session, "COMMIT")).unwrap()
        await stopping
        del world.hosts["host-c"]

    context.run(work())


@then("the transaction's rows are there and the roster has two hosts")
def stopped(context):
    assert context.row_names() == ["row-1", "row-2"]
    roster = context.world.hosts["host-a"].site.roster

    def has_left():
        return [member.host for member in roster.current.members] == ["host-a", "host-b"]

    context.run(context.world.until(has_left, 0.5))


# P14 --------------------------------------------------------------------------------------------


@when("5 patches are accepted at different hosts while host-c is paused for 3 seconds")
def patch_during_pause(context):
    async def work():
        world = context.world
        context.saved["seen"] = {host: [] for host in HOSTS}
        for host in world.all:
            seen = context.saved["seen"][host.name]
            host.site.configuration.changes.subscribe(
                on_next=lambda found, seen=seen: seen.append(found.version)
            )
        world.network.pause("host-c")
        world.store_clients["host-c"].faults.is_down = True
        paused_s = now_s()
        for number in range(5):
            submitter = world.hosts[HOSTS[number % 2]]
            path = ["customers", "menghina", "rate_per_s"]
            version = await world.patch([(path, 1000.0 + number)], submitter)
            both = [world.hosts["host-a"], world.hosts["host-b"]]
            await world.until(
                lambda v=version, b=both: all(h.configuration.version >= v for h in b), 2.0
            )
        await sleep_s(3 - (now_s() - paused_s))
        world.store_clients["host-c"].faults.is_down = False
        world.network.resume("host-c")
        context.saved["version"] = version

    context.run(work())


@then("every version is in force within 2 seconds of the pause's end and none went back")
def in_force(context):
    context.run(context.world.in_force(context.saved["version"], 2.0))
    for versions in context.saved["seen"].values():
        assert versions == sorted(versions)
        assert versions[-1] == context.saved["version"]
