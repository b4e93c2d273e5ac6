"""Guards against exceeded limits and deadlines, and against reuse after an unclean exchange."""

import asyncio

import pytest
from returns.result import Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import DEADLINE_PASSED, TARGET_UNREACHABLE
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.links.targets import QueryResult, ResultLost, Succeeded, TargetUnreachable
from pistachiowinch.targets.pool import CloseReason, ConnectionPool, ProbeOutcome

pytestmark = pytest.mark.looptime


class FakeConnection:
    """Connection whose exchange takes a given time."""

    def __init__(self, delay_s):
        """Start usable."""
        self.delay_s = delay_s
        self.is_usable = True
        self.is_closed = False

    async def execute(self, text):
        """Stay unusable while the exchange is incomplete."""
        self.is_usable = False
        await sleep_s(self.delay_s)
        self.is_usable = True
        return Succeeded(QueryResult())

    async def close(self):
        """Record the call."""
        self.is_closed = True
        self.is_usable = False


class FakeLink:
    """Opens fake connections after a delay, or refuses."""

    def __init__(self, connect_delay_s=0.01, exchange_delay_s=0.0):
        """Start without connections."""
        self.connect_delay_s = connect_delay_s
        self.exchange_delay_s = exchange_delay_s
        self.is_refusing = False
        self.opened = []

    async def connect(self, target):
        """Open a connection."""
        await sleep_s(self.connect_delay_s)
        if self.is_refusing:
            raise TargetUnreachable("refused")
        connection = FakeConnection(self.exchange_delay_s)
        self.opened.append(connection)
        return connection


async def take(pool, wait_s=1.0):
    return (await pool.acquire(now_s() + wait_s)).unwrap()


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


async def test_clean_connection_is_reused():
    link = FakeLink()
    pool = ConnectionPool(link, "t", 2)
    first = await take(pool)
    pool.release(first, is_clean=True)
    assert pool.has_idle_connection
    assert await take(pool) is first
    assert len(link.opened) == 1


async def test_connection_with_state_is_closed_and_counted():
    metrics = Metrics()
    pool = ConnectionPool(FakeLink(), "t", 2, metrics)
    connection = await take(pool)
    pool.release(connection, is_clean=False)
    await settle()
    assert connection.is_closed
    assert pool.closed == {CloseReason.UNCLEAN: 1}
    assert b'target_connections_closed_total{reason="unclean"} 1.0' in metrics.render()


async def test_connection_after_cancelled_exchange_is_never_reused():
    link = FakeLink(exchange_delay_s=5.0)
    pool = ConnectionPool(link, "t", 1)
    connection = await take(pool)
    task = asyncio.create_task(connection.execute("SELECT 1"))
    await sleep_s(1.0)
    task.cancel()
    await settle()
    # The pool must not rely on the caller's claim that the exchange was clean.
    pool.release(connection, is_clean=True)
    assert pool.closed[CloseReason.BROKEN] == 1
    assert await take(pool) is not connection


async def test_connection_closed_by_target_while_idle_is_not_handed_out():
    pool = ConnectionPool(FakeLink(), "t", 1)
    connection = await take(pool)
    pool.release(connection, is_clean=True)
    connection.is_usable = False
    assert await take(pool) is not connection
    assert pool.closed[CloseReason.CLOSED_BY_TARGET] == 1


async def test_limit_holds_and_waiters_get_connections_in_order():
    link = FakeLink()
    pool = ConnectionPool(link, "t", 1)
    held = await take(pool)
    order = []

    async def wait(name):
        connection = await take(pool, 10.0)
        order.append(name)
        await sleep_s(0.1)
        pool.release(connection, is_clean=True)

    tasks = [asyncio.create_task(wait(name)) for name in "abc"]
    await sleep_s(1.0)
    assert pool.open_count == 1
    pool.release(held, is_clean=True)
    await asyncio.gather(*tasks)
    assert order == ["a", "b", "c"]
    assert len(link.opened) == 1


async def test_deadline_is_a_refusal_and_the_turn_is_not_lost():
    pool = ConnectionPool(FakeLink(), "t", 1)
    held = await take(pool)
    started_s = now_s()
    refused = await pool.acquire(now_s() + 0.5)
    assert refused.failure().code is DEADLINE_PASSED
    assert now_s() - started_s == pytest.approx(0.5)
    pool.release(held, is_clean=True)
    assert (await pool.acquire(now_s())).failure().code is DEADLINE_PASSED
    assert isinstance(await pool.acquire(now_s() + 0.1), Success)


async def test_connecting_past_the_deadline_leaves_no_connection_counted():
    pool = ConnectionPool(FakeLink(connect_delay_s=2.0), "t", 1)
    assert (await pool.acquire(now_s() + 0.5)).failure().code is DEADLINE_PASSED
    assert pool.open_count == 0


async def test_refused_connection_wakes_the_next_waiter():
    link = FakeLink(connect_delay_s=0.1)
    link.is_refusing = True
    pool = ConnectionPool(link, "t", 1)
    results = await asyncio.gather(*(pool.acquire(now_s() + 5.0) for _ in range(3)))
    assert [result.failure().code for result in results] == [TARGET_UNREACHABLE] * 3
    assert pool.open_count == 0


async def test_cancelled_waiter_passes_its_turn_on():
    pool = ConnectionPool(FakeLink(), "t", 1)
    held = await take(pool)
    first = asyncio.create_task(take(pool, 10.0))
    second = asyncio.create_task(take(pool, 10.0))
    await settle()
    pool.release(held, is_clean=True)
    first.cancel()
    assert await second is held


async def test_idle_connections_expire():
    pool = ConnectionPool(FakeLink(), "t", 1, idle_limit_s=10.0)
    connection = await take(pool)
    pool.release(connection, is_clean=True)
    await sleep_s(11.0)
    assert await take(pool) is not connection
    assert pool.closed == {CloseReason.IDLE: 1}


async def test_lower_limit_closes_surplus_connections():
    pool = ConnectionPool(FakeLink(), "t", 3)
    connections = [await take(pool) for _ in range(3)]
    pool.release(connections[0], is_clean=True)
    pool.set_limit(1)
    assert pool.closed == {CloseReason.OVER_LIMIT: 1}
    pool.release(connections[1], is_clean=True)
    pool.release(connections[2], is_clean=True)
    assert pool.open_count == 1
    assert pool.closed == {CloseReason.OVER_LIMIT: 2}


async def test_higher_limit_wakes_waiters():
    pool = ConnectionPool(FakeLink(), "t", 1)
    await take(pool)
    waiting = asyncio.create_task(take(pool, 10.0))
    await settle()
    pool.set_limit(2)
    assert (await waiting).is_usable


async def test_drain_waits_for_work_and_refuses_new_work():
    pool = ConnectionPool(FakeLink(), "t", 2)
    busy = await take(pool)
    pool.release(await take(pool), is_clean=True)
    draining = asyncio.create_task(pool.drain())
    await sleep_s(1.0)
    assert not draining.done()
    assert (await pool.acquire(now_s() + 1.0)).failure().code is TARGET_UNREACHABLE
    pool.release(busy, is_clean=True)
    await draining
    assert pool.open_count == 0
    assert busy.is_closed
    assert pool.closed == {CloseReason.DRAINED: 2}


async def test_drain_releases_waiters():
    pool = ConnectionPool(FakeLink(), "t", 1)
    held = await take(pool)
    waiting = asyncio.create_task(pool.acquire(now_s() + 10.0))
    await settle()
    draining = asyncio.create_task(pool.drain())
    assert (await waiting).failure().code is TARGET_UNREACHABLE
    pool.release(held, is_clean=True)
    await draining


async def test_drain_waits_for_a_connection_that_is_being_opened():
    pool = ConnectionPool(FakeLink(connect_delay_s=1.0), "t", 1)
    opening = asyncio.create_task(pool.acquire(now_s() + 10.0))
    await settle()
    await pool.drain()
    assert (await opening).failure().code is TARGET_UNREACHABLE
    assert pool.open_count == 0


async def test_release_of_a_foreign_connection_is_an_error():
    pool = ConnectionPool(FakeLink(), "t", 1)
    connection = await take(pool)
    pool.release(connection, is_clean=True)
    with pytest.raises(ValueError, match="not in use"):
        pool.release(connection, is_clean=True)


@pytest.mark.parametrize(
    ("connect_delay_s", "exchange_delay_s", "is_refusing", "outcome"),
    [
        (0.01, 0.0, False, ProbeOutcome.SILENT_CONNECTION),
        (0.01, 9.0, False, ProbeOutcome.SLOW_TARGET),
        (9.0, 0.0, False, ProbeOutcome.UNREACHABLE),
        (0.01, 0.0, True, ProbeOutcome.UNREACHABLE),
    ],
)
async def test_probe_tells_a_silent_connection_from_a_slow_target(
    connect_delay_s, exchange_delay_s, is_refusing, outcome
):
    link = FakeLink(0.01, 9.0)
    pool = ConnectionPool(link, "t", 1)
    await take(pool)
    link.connect_delay_s = connect_delay_s
    link.exchange_delay_s = exchange_delay_s
    link.is_refusing = is_refusing
    # The pool is full; a probe must not count towards its limit.
    assert await pool.probe(1.0) is outcome
    assert pool.open_count == 1


async def test_probe_with_a_broken_answer_is_unreachable():
    link = FakeLink()
    pool = ConnectionPool(link, "t", 1)

    async def lose(text):
        return ResultLost(True, "broken")

    original = link.connect

    async def connect(target):
        connection = await original(target)
        connection.execute = lose
        return connection

    link.connect = connect
    assert await pool.probe(1.0) is ProbeOutcome.UNREACHABLE
    await settle()
    assert link.opened[0].is_closed
