"""Statement rate of one process through the callers' server and a pool, against direct access.

Direct and proxied rounds alternate in one process, with the same callers, stand-in target and
statement, so that the ratio does not depend on the machine's speed. Run
``python -m pistachiowinch.measure.speed``.
"""

import argparse
import asyncio
import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import NamedTuple

from asyncmy.connection import Connection
from reactivex import Observable
from reactivex.subject import Subject
from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import OUTCOME_UNKNOWN, Refusal
from pistachiowinch.links.targets import (
    Column,
    ExecuteOutcome,
    Failed,
    FenceReply,
    QueryResult,
    ResultLost,
    Succeeded,
    TargetConnection,
    TargetRole,
    TargetStatus,
)
from pistachiowinch.proxy.interfaces import Credentials, Gateway
from pistachiowinch.proxy.login import hash_password
from pistachiowinch.proxy.server import CallerServer
from pistachiowinch.routing.session import Session
from pistachiowinch.routing.statements import Statement
from pistachiowinch.standins.mysql_server import Login, MysqlTargetServer
from pistachiowinch.targets.link import MysqlTargetLink, TargetAddress, TargetCredentials
from pistachiowinch.targets.pool import ConnectionPool

__all__ = ["PassThroughGateway", "SpeedFigures", "measure_speed", "start_pass_through"]

TARGET = "target-1"
SERVICE = "service"
KEY_ID = "key"
KEY = "speed-key"
STATEMENT = "SELECT id, name FROM items WHERE id = 1"

_HOST = "127.0.0.1"
_LOGIN = Login("product", "product-password")
_DEADLINE_S = 5.0
_TRACED_FRAMES = 30
_RESULT = QueryResult(
    columns=(Column("id", 8, flags=0x21, length_bytes=20), Column("name", 253, length_bytes=160)),
    rows=((1, "cement mixer"),),
)


# Time to generate rate tokens; a host starts without any.
_TOKEN_FILL_S = 1.0


class SpeedFigures(NamedTuple):
    """Result of one run.

    :param direct_per_s: statements/s directly at the target, median of the rounds.
    :param proxied_per_s: statements/s through the callers' server and the pool, median of the
        rounds.
    :param ratio: proxied to direct rate, median of the rounds.
    :param idle_connection_kb: memory of one idle caller connection on the server's side.
    """

    direct_per_s: float
    proxied_per_s: float
    ratio: float
    idle_connection_kb: float


class _FixedConnection:
    """Connection that returns a fixed result at once, so that only the protocol costs time."""

    is_usable = True

    async def execute(self, text: str) -> ExecuteOutcome:
        return Succeeded(QueryResult() if text.startswith("SET") else _RESULT)

    async def close(self) -> None:
        """Nothing to close."""


class _FixedEngine:
    """Target link and group link of a target that is always primary."""

    async def connect(self, target: str) -> TargetConnection:
        return _FixedConnection()

    async def status(self, target: str) -> TargetStatus:
        return TargetStatus(target, TargetRole.PRIMARY, 1, 1, 1, 1, 1)

    async def fence(self, target: str, term: int) -> FenceReply:
        return FenceReply(False, await self.status(target))

    async def promote(self, target: str, term: int) -> FenceReply:
        return await self.fence(target, term)

    async def follow(self, target: str, term: int, primary: str) -> FenceReply:
        return await self.fence(target, term)


class PassThroughGateway:
    """Gateway that sends each statement over a pool without admission, limits or routing.

    :param pool: connections to the only target.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        """Create a gateway that accepts one key."""
        self._pool = pool
        self._ended: Subject[Session] = Subject()
        self._credentials = Credentials("customer", hash_password(KEY))

    @property
    def sessions_ended(self) -> Observable[Session]:
        """Never emits, because this gateway ends no session."""
        return self._ended

    def credentials(self, key_id: str) -> Credentials | None:
        """Return the credentials of a key."""
        return self._credentials if key_id == KEY_ID else None

    async def open_session(self, key_id: str, service: str) -> Result[Session, Refusal]:
        """Open a session."""
        return Success(Session(key_id, "customer", service))

    async def execute(
        self, session: Session, statement: Statement
    ) -> Result[QueryResult, Refusal | Failed]:
        """Run one statement over a pooled connection."""
        acquired = await self._pool.acquire(now_s() + _DEADLINE_S)
        if isinstance(acquired, Failure):
            return acquired
        connection = acquired.unwrap()
        is_clean = False
        try:
            outcome = await connection.execute(statement.text)
            is_clean = not isinstance(outcome, ResultLost)
        finally:
            self._pool.release(connection, is_clean)
        match outcome:
            case Succeeded(result):
                return Success(result)
            case Failed():
                return Failure(outcome)
            case ResultLost(_, reason):
                return Failure(Refusal(OUTCOME_UNKNOWN, reason))

    async def reset_session(self, session: Session) -> None:
        """Do nothing, because sessions have no state."""

    async def close_session(self, session: Session) -> None:
        """Do nothing, because sessions hold no connection."""

    async def stop(self, grace_s: float) -> int:
        """Do nothing and report that no statement was cut."""
        return 0


def start_pass_through(link: MysqlTargetLink, connections: int) -> Gateway:
    """Build the pass-through gateway, to which the required ratio applies.

    :param link: opens connections to the target.
    :param connections: size of the pool.
    """
    return PassThroughGateway(ConnectionPool(link, TARGET, connections))


GatewayFactory = Callable[[MysqlTargetLink, int], Gateway]


def _link_to(port: int, login: TargetCredentials) -> MysqlTargetLink:
    return MysqlTargetLink(lambda _: TargetAddress(_HOST, port), login, SERVICE)


async def _open_callers(port: int, login: TargetCredentials, count: int) -> list[Connection]:
    callers = [
        Connection(
            host=_HOST,
            port=port,
            user=login.user,
            password=login.password,
            db=SERVICE,
            # Without autocommit, each read would open a transaction.
            autocommit=True,
        )
        for _ in range(count)
    ]
    for caller in callers:
        await caller.connect()
    return callers


async def _measure_rate(callers: list[Connection], statements: int) -> float:
    async def run(caller: Connection) -> None:
        cursor = caller.cursor()
        for _ in range(statements):
            await cursor.execute(STATEMENT)
            rows = await cursor.fetchall()
            if len(rows) != 1:
                raise RuntimeError(f"statement returned {len(rows)} rows instead of 1")

    started_s = time.perf_counter()
    await asyncio.gather(*(run(caller) for caller in callers))
    return len(callers) * statements / (time.perf_counter() - started_s)


def _is_server_allocation(trace: tracemalloc.Trace) -> bool:
    files = [frame.filename for frame in trace.traceback]
    if any("pistachiowinch/targets/" in name for name in files):
        return False
    # Allocations of the callers' own client have this file in their stack, but not the server.
    return __file__ not in files or any("pistachiowinch/proxy/" in name for name in files)


async def _idle_connection_kb(server: CallerServer, count: int) -> float:
    """Return the server's Python memory per idle caller, without the client's memory."""
    login = TargetCredentials(KEY_ID, KEY)
    warm_up = await _open_callers(server.port, login, 2)
    await _measure_rate(warm_up, 2)
    gc.collect()
    tracemalloc.start(_TRACED_FRAMES)
    callers = await _open_callers(server.port, login, count)
    for caller in callers:
        # One at a time: tracing is slow, and opening the whole pool at once would time out.
        await _measure_rate([caller], 1)
    gc.collect()
    traces = tracemalloc.take_snapshot().traces
    tracemalloc.stop()
    for caller in [*warm_up, *callers]:
        caller.close()
    return sum(trace.size for trace in traces if _is_server_allocation(trace)) / count / 1024


async def measure_speed(
    make_gateway: GatewayFactory = start_pass_through,
    callers: int = 8,
    statements: int = 1000,
    rounds: int = 5,
    idle_connections: int = 200,
) -> SpeedFigures:
    """Measure the rate through the callers' server relative to a direct connection.

    :param make_gateway: builds the gateway from a link to the target and a connection limit.
    :param callers: concurrent callers.
    :param statements: statements of each caller in a round.
    :param rounds: measured rounds, after one warm-up round.
    :param idle_connections: idle connections opened to measure memory.
    """
    engine = _FixedEngine()
    target = MysqlTargetServer(engine, engine, (TARGET,), _LOGIN)
    await target.start(_HOST)
    direct_link = _link_to(target.port_of(TARGET), TargetCredentials(*_LOGIN))
    gateway = make_gateway(direct_link, callers)
    await sleep_s(_TOKEN_FILL_S)
    server = CallerServer(gateway)
    await server.start(_HOST, 0)
    try:
        # Measured first: later, new connections would reuse freed memory that is not traced.
        idle_kb = await _idle_connection_kb(server, idle_connections)
        target_login = TargetCredentials(*_LOGIN)
        direct = await _open_callers(target.port_of(TARGET), target_login, callers)
        caller_login = TargetCredentials(KEY_ID, KEY)
        proxied = await _open_callers(server.port, caller_login, callers)
        rates: list[tuple[float, float]] = []
        for _ in range(rounds + 1):
            rates.append(
                (await _measure_rate(direct, statements), await _measure_rate(proxied, statements))
            )
        for caller in [*direct, *proxied]:
            caller.close()
    finally:
        await server.stop(0.0)
        await gateway.stop(0.0)
        await target.stop()
    counted = rates[1:]
    return SpeedFigures(
        direct_per_s=statistics.median(direct_rate for direct_rate, _ in counted),
        proxied_per_s=statistics.median(proxied_rate for _, proxied_rate in counted),
        ratio=statistics.median(proxied / direct for direct, proxied in counted),
        idle_connection_kb=idle_kb,
    )


def main() -> None:
    """Run the measurement once and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--statements", type=int, default=1000)
    parser.add_argument("--rounds", type=int, default=5)
    arguments = parser.parse_args()
    figures = asyncio.run(
        measure_speed(
            callers=arguments.callers, statements=arguments.statements, rounds=arguments.rounds
        )
    )
    print(f"direct      {figures.direct_per_s:10.0f} statements/s")
    print(f"proxied     {figures.proxied_per_s:10.0f} statements/s")
    print(f"ratio       {figures.ratio:10.3f}")
    print(f"idle caller {figures.idle_connection_kb:10.1f} KB")


if __name__ == "__main__":
    main()
