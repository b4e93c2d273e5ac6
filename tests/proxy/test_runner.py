"""Guards the statements sent to the gateway: transactions, request ids, connection state."""

import pytest
from proxy.proxy_support import FakeGateway

from pistachiowinch.base.codes import (
    BAD_KEY,
    RATE_EXCEEDED,
    STATEMENT_NOT_SUPPORTED,
    UNKNOWN_SERVICE,
    Refusal,
)
from pistachiowinch.links.targets import QueryResult
from pistachiowinch.proxy.runner import StatementRunner
from pistachiowinch.routing.statements import StatementKind

pytestmark = pytest.mark.looptime

INSERT = "INSERT INTO t VALUES (1)"


async def open_runner():
    gateway = FakeGateway()
    runner = StatementRunner(gateway)
    assert (await runner.open("key-1", "hire")).unwrap() is None
    return gateway, runner


async def run_all(runner, *texts):
    return [(await runner.run(text)) for text in texts]


async def test_autocommit_off_opens_one_transaction():
    gateway, runner = await open_runner()
    await run_all(runner, "SET autocommit=0", "SELECT 1", INSERT, "COMMIT", "COMMIT", "SELECT 2")
    assert gateway.texts() == ["BEGIN", "SELECT 1", INSERT, "COMMIT", "BEGIN", "SELECT 2"]
    assert runner.status == 1


async def test_autocommit_on_commits_the_open_transaction():
    gateway, runner = await open_runner()
    await run_all(runner, "SET autocommit=0", "SELECT 1", "SET autocommit=1")
    assert gateway.texts()[-1] == "COMMIT"
    assert runner.status == 2


async def test_refused_commit_keeps_autocommit_off():
    gateway, runner = await open_runner()
    await run_all(runner, "SET autocommit=0", "SELECT 1")
    gateway.results["COMMIT"] = Refusal(RATE_EXCEEDED, "x")
    assert (await runner.run("SET autocommit=1")).failure().code is RATE_EXCEEDED
    assert not runner.settings.is_autocommit


async def test_refused_begin_stops_the_statement():
    gateway, runner = await open_runner()
    gateway.results["BEGIN"] = Refusal(RATE_EXCEEDED, "x")
    await runner.run("SET autocommit=0")
    assert (await runner.run(INSERT)).failure().code is RATE_EXCEEDED
    assert gateway.texts() == ["BEGIN"]


@pytest.mark.parametrize("text", ["BEGIN", "CREATE TABLE t (a int)"])
async def test_implicit_commits_are_explicit(text):
    gateway, runner = await open_runner()
    await run_all(runner, "BEGIN", INSERT, text)
    assert gateway.texts() == ["BEGIN", INSERT, "COMMIT", text]


async def test_commit_without_transaction_is_not_forwarded():
    gateway, runner = await open_runner()
    await run_all(runner, "COMMIT", "ROLLBACK")
    assert gateway.texts() == []


async def test_request_id_belongs_to_one_autocommit_write():
    gateway, runner = await open_runner()
    await run_all(runner, "SET pistachiowinch_request_id='r1'", "SELECT 1", INSERT, INSERT)
    assert [statement.request_id for statement in gateway.statements] == ["r1", "r1", None]


async def test_request_id_belongs_to_one_transaction():
    gateway, runner = await open_runner()
    await run_all(
        runner, "SET pistachiowinch_request_id='r1'", "BEGIN", INSERT, INSERT, "COMMIT", INSERT
    )
    assert [statement.request_id for statement in gateway.statements] == ["r1"] * 4 + [None]


async def test_request_id_of_a_refused_write_is_not_reused_for_the_next_one():
    gateway, runner = await open_runner()
    gateway.results[INSERT] = Refusal(RATE_EXCEEDED, "x")
    await run_all(runner, "SET pistachiowinch_request_id='r1'", INSERT, "DELETE FROM t")
    assert [statement.request_id for statement in gateway.statements] == ["r1", None]


async def test_last_insert_id_is_the_callers_own():
    gateway, runner = await open_runner()
    gateway.results[INSERT] = QueryResult(affected_rows=1, last_insert_id=41)
    await run_all(runner, INSERT, "SELECT 1")
    assert (await runner.run("SELECT LAST_INSERT_ID()")).unwrap().rows == ((41,),)
    assert gateway.texts() == [INSERT, "SELECT 1"]


async def test_values_of_the_connection_are_refused_outside_a_transaction():
    gateway, runner = await open_runner()
    refused = await runner.run("SELECT FOUND_ROWS()")
    assert refused.failure().code is STATEMENT_NOT_SUPPORTED
    await run_all(runner, "BEGIN", "SELECT FOUND_ROWS()")
    assert gateway.texts() == ["BEGIN", "SELECT FOUND_ROWS()"]


async def test_warnings_are_only_shown_from_the_own_connection():
    gateway, runner = await open_runner()
    assert "only inside" in (await runner.run("SHOW WARNINGS")).unwrap().rows[0][2]
    # Only the next statement opens the transaction; until then the caller has no pinned connection.
    await run_all(runner, "SET autocommit=0", "SHOW WARNINGS")
    assert gateway.texts() == []
    await run_all(runner, "BEGIN", "SHOW WARNINGS")
    assert gateway.statements[-1].kind is StatementKind.READ


async def test_other_service_is_authorised_and_gets_its_own_session():
    gateway, runner = await open_runner()
    await runner.run("SET pistachiowinch_max_staleness_ms=50")
    first = runner.session
    assert (await runner.run("USE stock")).unwrap() == QueryResult()
    assert runner.session.service == "stock"
    assert runner.session.max_staleness_ms == 50
    assert gateway.closed == [first]


async def test_refused_service_leaves_the_session_as_it_was():
    gateway = FakeGateway()
    runner = StatementRunner(gateway)
    await runner.open("key-2", "hire")
    assert (await runner.use("stock")).failure().code is BAD_KEY
    assert (await runner.use("nowhere")).failure().code is UNKNOWN_SERVICE
    assert runner.session.service == "hire"
    assert gateway.closed == []


async def test_service_cannot_change_inside_a_transaction():
    _, runner = await open_runner()
    await runner.run("BEGIN")
    assert (await runner.run("USE `stock`")).failure().code is STATEMENT_NOT_SUPPORTED
    assert runner.session.service == "hire"


async def test_statements_need_a_database():
    runner = StatementRunner(FakeGateway())
    assert (await runner.run("SELECT 1")).failure().code is UNKNOWN_SERVICE


async def test_unknown_product_variable_is_an_error():
    _, runner = await open_runner()
    assert (await runner.run("SELECT @@pistachiowinch_other")).failure().errno == 1193
