"""Guards against crossed results: each caller gets the result of its own statement, or an error.

Connections to the target are cut, silenced and delayed while several callers select different
numbers through the same small connection pool.
"""

import asyncio
import random

import pytest
from asyncmy.connection import Connection
from asyncmy.errors import MySQLError
from returns.result import Failure

from pistachiowinch.base.codes import READ_INTERRUPTED, TARGET_UNREACHABLE, Refusal
from pistachiowinch.links.targets import Column, QueryResult, Succeeded
from pistachiowinch.measure.speed import KEY, KEY_ID, TARGET, PassThroughGateway
from pistachiowinch.proxy.server import CallerServer
from pistachiowinch.standins.mysql_server import Login, MysqlTargetServer
from pistachiowinch.targets.link import MysqlTargetLink, TargetAddress, TargetCredentials
from pistachiowinch.targets.pool import ConnectionPool

LOGIN = Login("product", "product-password")
ERRNOS = (READ_INTERRUPTED.mysql_errno, TARGET_UNREACHABLE.mysql_errno)
CALLERS = 6
STATEMENTS = 60


class EchoEngine:
    """Returns the number in the statement, in one more row than its last digit."""

    is_usable = True

    async def connect(self, target):
        """Return itself as the connection."""
        return self

    async def execute(self, text):
        """Return the rows for the statement."""
        number = int(text.split()[1])
        return Succeeded(
            QueryResult(columns=(Column("n", 8),), rows=((number,),) * (1 + number % 10))
        )

    async def close(self):
        """Do nothing."""


class ShortTimeoutGateway(PassThroughGateway):
    """Cancels a statement after a short timeout, which interrupts its exchange."""

    async def execute(self, session, statement):
        """Run one statement."""
        try:
            async with asyncio.timeout(0.02):
                return await super().execute(session, statement)
        except TimeoutError:
            return Failure(Refusal(READ_INTERRUPTED, "no answer in time"))


async def run_caller(port, number, counts):
    connection = Connection(
        host="127.0.0.1", port=port, user=KEY_ID, password=KEY, db="hire", autocommit=None
    )
    await connection.connect()
    cursor = connection.cursor()
    for index in range(STATEMENTS):
        value = number * 1000 + index
        try:
            await cursor.execute(f"SELECT {value}")
            rows = await cursor.fetchall()
        except MySQLError as error:
            # The statement is refused with a result code; the connection to the proxy stays open.
            assert error.args[0] in ERRNOS and "PW" in error.args[1]
            counts["errors"] += 1
            continue
        assert rows == ((value,),) * (1 + value % 10)
        counts["results"] += 1
    connection.close()


async def inject_faults(target, rng):
    faults = target.faults(TARGET)
    while True:
        await asyncio.sleep(rng.random() * 0.01)
        match rng.randrange(4):
            case 0:
                target.abort_connections(TARGET)
            case 1:
                target.silence(TARGET)
            case 2:
                faults.delay_s = rng.choice((0.0, 0.0, 0.015, 0.03))
            case 3:
                faults.is_truncating_results = rng.random() < 0.2


@pytest.mark.parametrize("seed", range(4))
async def test_results_are_never_crossed(seed):
    engine = EchoEngine()
    target = MysqlTargetServer(engine, engine, (TARGET,), LOGIN)
    await target.start()
    address = TargetAddress("127.0.0.1", target.port_of(TARGET))
    pool = ConnectionPool(MysqlTargetLink(lambda _: address, TargetCredentials(*LOGIN)), TARGET, 2)
    server = CallerServer(ShortTimeoutGateway(pool))
    await server.start("127.0.0.1", 0)
    fault_task = asyncio.create_task(inject_faults(target, random.Random(seed)))
    counts = {"results": 0, "errors": 0}
    try:
        await asyncio.gather(
            *(run_caller(server.port, number, counts) for number in range(CALLERS))
        )
    finally:
        fault_task.cancel()
        await server.stop(0.0)
        await target.stop()
    assert counts["results"] + counts["errors"] == CALLERS * STATEMENTS
    assert pool.open_count <= 2
