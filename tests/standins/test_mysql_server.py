"""Tests that the MySQL stand-in's faults look like real ones on a real socket.

The tests cover the links to targets as well, because both sides of the protocol take part.
"""

import asyncio
import contextlib
import socket

import pytest

from pistachiowinch.base.clock import now_s
from pistachiowinch.links.targets import (
    Column,
    Failed,
    FenceReply,
    QueryResult,
    ResultLost,
    Succeeded,
    TargetRole,
    TargetStatus,
    TargetUnreachable,
)
from pistachiowinch.standins.database_group import FakeDatabaseGroup
from pistachiowinch.standins.mysql_server import Login, MysqlTargetServer
from pistachiowinch.targets.group import SqlGroupLink
from pistachiowinch.targets.link import MysqlTargetLink, TargetAddress, TargetCredentials
from pistachiowinch.targets.pool import ConnectionPool, ProbeOutcome

LOGIN = Login("product", "product-password")
ROWS = QueryResult(
    columns=(Column("n", 8, flags=0x21, length_bytes=20), Column("s", 253, table="t")),
    rows=((1, "a"), (2, None)),
    is_in_transaction=True,
)


class FakeEngine:
    """Target link and group link with fixed results."""

    is_usable = True

    def __init__(self):
        """Start at term 1."""
        self.term = 1
        self.open_connections = 0

    async def connect(self, target):
        """Count an opened connection."""
        self.open_connections += 1
        return self

    async def execute(self, text):
        """Return the outcome for the statement's first word."""
        match text.split()[0]:
            case "SELECT":
                return Succeeded(ROWS)
            case "DELETE":
                return Succeeded(QueryResult(affected_rows=2, last_insert_id=7, warnings=1))
            case "CUT":
                return ResultLost(True, "cut")
        return Failed(1064, "42000", "syntax")

    async def close(self):
        """Count a closed connection."""
        self.open_connections -= 1

    async def status(self, target):
        """Return a status with the current term."""
        return TargetStatus(target, TargetRole.PRIMARY, self.term, 1, 1, 5, 5)

    async def fence(self, target, term):
        """Accept higher terms."""
        is_accepted = term >= self.term
        self.term = max(self.term, term)
        return FenceReply(is_accepted, await self.status(target))

    promote = fence

    async def follow(self, target, term, primary):
        """Accept higher terms."""
        return await self.fence(target, term)


@contextlib.asynccontextmanager
async def serve_engine(password=LOGIN.password):
    engine = FakeEngine()
    server = MysqlTargetServer(engine, engine, ("t1", "t2"), LOGIN)
    await server.start()

    def address_of(target):
        return None if target == "none" else TargetAddress("127.0.0.1", server.port_of(target))

    link = MysqlTargetLink(address_of, TargetCredentials(LOGIN.user, password), "hire")
    try:
        yield engine, server, link
    finally:
        await server.stop()


async def test_results_and_errors_arrive_unchanged():
    async with serve_engine() as (_, server, link):
        connection = await link.connect("t1")
        result = (await connection.execute("SELECT 1")).result
        assert (result.columns, result.rows) == (ROWS.columns, ROWS.rows)
        assert result.is_in_transaction
        changed = (await connection.execute("DELETE FROM t")).result
        assert (changed.affected_rows, changed.last_insert_id, changed.warnings) == (2, 7, 1)
        assert not changed.is_in_transaction
        assert await connection.execute("NONSENSE") == Failed(1064, "42000", "syntax")
        assert connection.is_usable
        assert server.received_statements("t1") == ["SELECT 1", "DELETE FROM t", "NONSENSE"]
        await connection.close()


async def test_statement_bytes_that_are_not_utf8_arrive_unchanged():
    async with serve_engine() as (_, server, link):
        connection = await link.connect("t1")
        text = b"SELECT '\xc3\xa9'".decode()
        await connection.execute(text)
        assert server.received_statements("t1") == [text]
        await connection.close()


async def test_orders_reach_the_group():
    async with serve_engine() as (engine, _, link):
        group = SqlGroupLink(link)
        assert await group.status("t2") == await engine.status("t2")
        assert (await group.fence("t1", 9)).is_accepted
        assert not (await group.promote("t1", 8)).is_accepted
        assert (await group.follow("t2", 9, "t1")).status.promised_term == 9
        await group.close()


@pytest.mark.parametrize("target", ["t1", "none"])
async def test_wrong_password_or_address_is_unreachable(target):
    async with serve_engine(password="wrong") as (_, _, link):
        with pytest.raises(TargetUnreachable):
            await link.connect(target)


async def test_refused_and_unanswered_connections_are_unreachable():
    async with serve_engine() as (_, server, link):
        server.faults("t1").is_refusing = True
        with pytest.raises(TargetUnreachable):
            await link.connect("t1")
        assert (await (await link.connect("t2")).execute("SELECT 1")).result.rows == ROWS.rows
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        address = TargetAddress(*listener.getsockname())
        silent_link = MysqlTargetLink(lambda _: address, TargetCredentials("u", "p"), "", 0.05)
        with pytest.raises(TargetUnreachable, match="login"):
            await silent_link.connect("t1")


async def test_silent_connection_is_told_from_a_slow_target():
    async with serve_engine() as (_, server, link):
        pool = ConnectionPool(link, "t1", 1)
        connection = (await pool.acquire(now_s() + 5.0)).unwrap()
        server.silence("t1")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await connection.execute("SELECT 1")
        assert not connection.is_usable
        assert await pool.probe(5.0) is ProbeOutcome.SILENT_CONNECTION
        server.faults("t1").delay_s = 60.0
        assert await pool.probe(0.2) is ProbeOutcome.SLOW_TARGET
        pool.release(connection, is_clean=False)
        await pool.drain()


async def test_cancelled_exchange_spoils_the_connection():
    async with serve_engine() as (_, server, link):
        server.faults("t1").delay_s = 0.05
        connection = await link.connect("t1")
        task = asyncio.create_task(connection.execute("SELECT 1"))
        await asyncio.sleep(0.01)
        with pytest.raises(RuntimeError, match="busy"):
            await connection.execute("SELECT 2")
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        with pytest.raises(RuntimeError, match="spoiled"):
            await connection.execute("SELECT 3")
        await connection.close()


async def test_cut_connection_is_lost_and_closed_in_the_engine():
    async with serve_engine() as (engine, server, link):
        connection = await link.connect("t1")
        await connection.execute("SELECT 1")
        lost = await connection.execute("CUT")
        assert (type(lost), lost.is_sent) == (ResultLost, True)
        assert not connection.is_usable
        other = await link.connect("t1")
        server.abort_connections("t1")
        for _ in range(5_000):
            if not other.is_usable:
                break
            await asyncio.sleep(0.001)
        lost = await other.execute("SELECT 1")
        assert (type(lost), lost.is_sent) == (ResultLost, False)
    assert engine.open_connections == 0


async def test_truncated_result_is_lost():
    async with serve_engine() as (_, server, link):
        connection = await link.connect("t1")
        server.faults("t1").is_truncating_results = True
        outcome = await connection.execute("SELECT 1")
        assert isinstance(outcome, ResultLost)
        assert outcome.is_sent


async def test_sockets_detect_dead_peers():
    async with serve_engine() as (_, _, link):
        connection = await link.connect("t1")
        sock = connection._exchange._transport.get_extra_info("socket")
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 10_000
        await connection.close()


async def test_in_memory_group_is_served_with_promotion_and_replication():
    schema = ("CREATE TABLE items (id INTEGER PRIMARY KEY, name TEXT)",)
    group = FakeDatabaseGroup("hire", ("t1", "t2", "t3"), schema)
    view = group.view("host-1")
    server = MysqlTargetServer(view, view, ("t1", "t2", "t3"), LOGIN)
    await server.start()
    link = MysqlTargetLink(
        lambda target: TargetAddress("127.0.0.1", server.port_of(target)),
        TargetCredentials(*LOGIN),
        "hire",
    )
    orders = SqlGroupLink(link)
    try:
        connection = await link.connect("t1")
        for text in ("BEGIN", "INSERT INTO items VALUES (1, 'mixer')", "COMMIT"):
            assert isinstance(await connection.execute(text), Succeeded)
        written = await orders.status("t1")
        for _ in range(1_000):
            if (await orders.status("t2")).applied_position >= written.position:
                break
            await asyncio.sleep(0.01)
        for target in ("t1", "t2", "t3"):
            assert (await orders.fence(target, 5)).is_accepted
        assert (await orders.promote("t2", 5)).status.role is TargetRole.PRIMARY
        assert not (await orders.fence("t3", 4)).is_accepted
        refused = await connection.execute("INSERT INTO items VALUES (2, 'drill')")
        assert not isinstance(refused, Succeeded)
        replica = await link.connect("t2")
        rows = (await replica.execute("SELECT id, name FROM items")).result.rows
        assert rows == ((1, "mixer"),)
        await replica.close()
        await connection.close()
    finally:
        await orders.close()
        await server.stop()
        await group.close()
