"""Guards against an in-memory group that is more lenient than a real database group."""

import asyncio

import pytest

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.links.targets import (
    Failed,
    ResultLost,
    Succeeded,
    TargetRole,
    TargetUnreachable,
)
from pistachiowinch.standins.database_group import FakeDatabaseGroup

pytestmark = pytest.mark.looptime

SCHEMA = (
    "CREATE TABLE stock (id INT NOT NULL AUTO_INCREMENT PRIMARY KEY, name VARCHAR(64), "
    "count BIGINT NOT NULL DEFAULT 0, changed DATETIME DEFAULT CURRENT_TIMESTAMP, "
    "UNIQUE KEY name_key (name), KEY count_key (count)) ENGINE=InnoDB",
    "INSERT INTO stock (name, count) VALUES ('drill', 3), ('saw', 5)",
)


@pytest.fixture
async def group():
    built = FakeDatabaseGroup("menghina", ("a", "b", "c"), SCHEMA)
    yield built
    await built.close()


async def execute(connection, text):
    outcome = await connection.execute(text)
    assert isinstance(outcome, Succeeded), (text, outcome)
    return outcome.result


async def test_uncommitted_write_is_invisible_and_rolled_back_when_the_connection_closes(group):
    view = group.view("h1")
    writer, reader = await view.connect("a"), await view.connect("a")
    await execute(writer, "BEGIN")
    await execute(writer, "UPDATE stock SET count = 9 WHERE name = 'drill'")
    assert (await execute(writer, "SELECT count FROM stock WHERE name = 'drill'")).rows == ((9,),)
    assert (await execute(reader, "SELECT count FROM stock WHERE name = 'drill'")).rows == ((3,),)
    await writer.close()
    await sleep_s(0.01)
    assert group.rows("a", "SELECT count FROM stock WHERE name = 'drill'") == [(3,)]
    assert not group.targets["a"].locks


async def test_second_writer_waits_for_the_row_and_sees_the_committed_value(group):
    view = group.view("h1")
    first, second = await view.connect("a"), await view.connect("a")
    for connection in (first, second):
        await execute(connection, "BEGIN")
    text = "UPDATE stock SET count = count + 1 WHERE name = 'drill'"
    await execute(first, text)
    waiting = asyncio.create_task(execute(second, text))
    await sleep_s(0.1)
    assert not waiting.done()
    await execute(first, "COMMIT")
    await waiting
    await execute(second, "COMMIT")
    assert group.rows("a", "SELECT count FROM stock WHERE name = 'drill'") == [(5,)]


async def test_lock_wait_is_bounded_and_deadlocks_are_found(group):
    view = group.view("h1")
    first, second = await view.connect("a"), await view.connect("a")
    for connection in (first, second):
        await execute(connection, "BEGIN")
    drill, saw = (f"UPDATE stock SET count = 0 WHERE name = '{n}'" for n in ("drill", "saw"))
    await execute(first, drill)
    outcome = await second.execute(drill)
    assert isinstance(outcome, Failed) and outcome.errno == 1205
    await execute(second, saw)
    waiting = asyncio.create_task(first.execute(saw))
    await sleep_s(0.01)
    outcome = await second.execute(drill)
    assert isinstance(outcome, Failed) and outcome.errno == 1213
    assert isinstance(await waiting, Succeeded)


async def test_duplicate_of_an_uncommitted_row_waits_and_then_fails(group):
    view = group.view("h1")
    first, second = await view.connect("a"), await view.connect("a")
    text = "INSERT INTO stock (name) VALUES ('plane')"
    await execute(first, "BEGIN")
    assert (await execute(first, text)).last_insert_id == 3
    waiting = asyncio.create_task(second.execute(text))
    await sleep_s(0.05)
    assert not waiting.done()
    await execute(first, "COMMIT")
    outcome = await waiting
    assert isinstance(outcome, Failed) and outcome.errno == 1062


async def test_generated_keys_of_concurrent_transactions_differ_also_at_replicas(group):
    view = group.view("h1")
    first, second = await view.connect("a"), await view.connect("a")
    await execute(first, "START TRANSACTION")
    assert (await execute(first, "INSERT INTO stock (name) VALUES ('x')")).last_insert_id == 3
    assert (await execute(second, "INSERT INTO stock (name) VALUES ('y')")).last_insert_id == 4
    await execute(first, "COMMIT")
    await sleep_s(0.1)
    text = "SELECT id, name, changed FROM stock ORDER BY id"
    assert [row[1] for row in group.rows("a", text)] == ["drill", "saw", "x", "y"]
    assert group.rows("a", text) == group.rows("b", text) == group.rows("c", text)


@pytest.mark.parametrize(
    ("text", "errno"),
    [
        ("SELECT * FROM nowhere", 1146),
        ("SELEC 1", 1064),
        ("INSERT INTO stock (name VALUES", 1064),
        ("INSERT INTO stock (id, name) VALUES (1, 'z')", 1062),
        ("SELECT missing FROM stock", 1054),
        ("INSERT INTO stock (name, count) VALUES ('z', NULL)", 1048),
    ],
)
async def test_errors_carry_mysql_numbers(group, text, errno):
    connection = await group.view("h1").connect("a")
    outcome = await connection.execute(text)
    assert isinstance(outcome, Failed) and outcome.errno == errno


async def test_common_mysql_statements_are_translated(group):
    connection = await group.view("h1").connect("a")
    await execute(
        connection,
        "INSERT INTO stock (name, count) VALUES ('saw', 2) "
        "ON DUPLICATE KEY UPDATE count = count + VALUES(count)",
    )
    await execute(connection, "REPLACE INTO stock (id, name, count) VALUES (9, 'it''s', 1)")
    found = await execute(connection, "SELECT name, count FROM stock WHERE id > 1 ORDER BY 2")
    assert found.rows == (("it's", 1), ("saw", 7))
    assert [column.name for column in found.columns] == ["name", "count"]
    shown = await execute(connection, "SELECT @@version, DATABASE() AS d")
    assert shown.rows[0][1] == "menghina"
    assert [column.name for column in shown.columns] == ["@@version", "d"]
    deleted = await execute(connection, "DELETE FROM stock WHERE count < 100 LIMIT 2")
    assert deleted.affected_rows == 2


async def test_lag_of_receipt_and_of_applying_are_separate(group):
    group.set_lag("b", receive_s=0.1)
    group.set_lag("c", apply_s=0.2)
    connection = await group.view("h1").connect("a")
    written = await execute(connection, "UPDATE stock SET count = 1 WHERE id = 1")
    await sleep_s(0.05)
    statuses = group.statuses()
    assert statuses["b"].position == written.position - 1
    assert (statuses["c"].position, statuses["c"].applied_position) == (
        written.position,
        written.position - 1,
    )
    await sleep_s(0.06)
    assert group.statuses()["b"].applied_position == written.position
    await sleep_s(0.1)
    assert group.statuses()["c"].applied_position == written.position


async def test_fence_ends_open_transactions_and_follow_drops_entries_the_primary_lacks(group):
    view = group.view("h1")
    group.pause_replication("b")
    group.pause_replication("c")
    writer, open_writer = await view.connect("a"), await view.connect("a")
    lost = await execute(writer, "UPDATE stock SET count = 77 WHERE id = 1")
    await execute(open_writer, "BEGIN")
    await execute(open_writer, "UPDATE stock SET count = 78 WHERE id = 2")
    for name in "abc":
        assert (await view.fence(name, 50)).is_accepted
    assert isinstance(await open_writer.execute("COMMIT"), ResultLost)
    assert isinstance(await writer.execute("UPDATE stock SET count = 0"), Failed)
    assert not (await view.fence("a", 49)).is_accepted
    assert not (await view.promote("b", 49)).is_accepted
    promoted = await view.promote("b", 50)
    assert promoted.status.role is TargetRole.PRIMARY
    assert promoted.status[3:] == (50, 50, lost.position, lost.position)
    followed = await view.follow("a", 50, "b")
    assert followed.is_accepted and followed.status.stream_term == 50
    await sleep_s(0.01)
    assert group.rows("a", "SELECT count FROM stock WHERE id = 1") == [(3,)]
    assert group.statuses()["a"].log_term == 50


async def test_cut_concerns_one_host_only_and_heals(group):
    group.cut("h1", "a")
    with pytest.raises(TargetUnreachable):
        await group.view("h1").status("a")
    assert (await group.view("h2").status("a")).target == "a"
    group.heal("h1", "a")
    assert (await group.view("h1").status("a")).target == "a"


async def test_silent_connection_loses_everything_while_new_ones_work(group):
    view = group.view("h1")
    connection = await view.connect("a")
    group.silence("a")
    assert await connection.execute("SELECT 1") == ResultLost(True, "no answer in time")
    fresh = await view.connect("a")
    assert (await execute(fresh, "SELECT 1")).rows == ((1,),)


async def test_lost_commit_result_leaves_the_write_in_place(group):
    connection = await group.view("h1").connect("a")
    await execute(connection, "BEGIN")
    await execute(connection, "UPDATE stock SET count = 1 WHERE id = 1")
    group.lose_result("a", "commit")
    assert isinstance(await connection.execute("COMMIT"), ResultLost)
    assert group.rows("a", "SELECT count FROM stock WHERE id = 1") == [(1,)]


async def test_crash_rolls_back_and_keeps_the_log(group):
    view = group.view("h1")
    connection = await view.connect("a")
    await execute(connection, "BEGIN")
    await execute(connection, "UPDATE stock SET count = 1 WHERE id = 1")
    before = group.statuses()["a"]
    group.crash("a")
    assert isinstance(await connection.execute("COMMIT"), ResultLost)
    with pytest.raises(TargetUnreachable):
        await view.connect("a")
    group.restart("a")
    assert await view.status("a") == before
    assert group.rows("a", "SELECT count FROM stock WHERE id = 1") == [(3,)]


async def test_statements_beyond_the_slots_wait_and_connections_are_limited(group):
    view = group.view("h1")
    group.slow_down("a", 100.0)
    connections = [await view.connect("a") for _ in range(30)]
    started_s = now_s()
    await asyncio.gather(*(execute(one, "SELECT 1") for one in connections[:10]))
    assert now_s() - started_s == pytest.approx(0.201, abs=1e-3)
    assert group.targets["a"].max_running_statements == 5
    with pytest.raises(TargetUnreachable):
        await view.connect("a")


async def test_paused_host_receives_nothing_until_it_resumes(group):
    view = group.view("h1")
    group.network.pause_host("h1")
    task = asyncio.create_task(view.status("a"))
    await sleep_s(5.0)
    assert not task.done()
    group.network.resume_host("h1")
    assert (await task).target == "a"
