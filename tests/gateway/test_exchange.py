"""Tests of the time limit of exchanges, whose timer is shared."""

import asyncio

import pytest

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.gateway.exchange import Exchanges
from pistachiowinch.links.targets import QueryResult, ResultLost, Succeeded

pytestmark = pytest.mark.looptime


class SlowConnection:
    """Answers after a fixed time."""

    is_usable = True

    def __init__(self, answer_s: float) -> None:
        self._answer_s = answer_s

    async def execute(self, text: str) -> Succeeded:
        await sleep_s(self._answer_s)
        return Succeeded(QueryResult())

    async def close(self) -> None:
        pass


async def _run(exchanges: Exchanges, answer_s: float, timeout_s: float) -> tuple[type, float]:
    started_s = now_s()
    outcome = await exchanges.run(None, SlowConnection(answer_s), "SELECT 1", timeout_s)
    return type(outcome), round(now_s() - started_s, 3)


async def test_each_exchange_ends_at_its_own_limit():
    # Guards against a shared timer that is not moved to a shorter limit that starts later.
    exchanges = Exchanges()
    results = await asyncio.gather(
        _run(exchanges, 9.0, 5.0),
        _run(exchanges, 9.0, 0.5),
        _run(exchanges, 0.6, 2.0),
        _run(exchanges, 9.0, 1.0),
    )
    assert results == [(ResultLost, 5.0), (ResultLost, 0.5), (Succeeded, 0.6), (ResultLost, 1.0)]


async def test_timer_of_an_ended_exchange_does_not_cancel_a_later_one():
    # Guards against a timer that stays set and then cancels the same task's next exchange.
    exchanges = Exchanges()
    assert await _run(exchanges, 0.1, 1.0) == (Succeeded, 0.1)
    assert await _run(exchanges, 1.5, 2.0) == (Succeeded, 1.5)
    assert await _run(exchanges, 3.0, 2.0) == (ResultLost, 2.0)
    assert asyncio.current_task().cancelling() == 0


async def test_a_cancelled_caller_is_not_taken_for_a_timeout():
    # Guards against a stopped task that goes on because its cancellation became a lost answer.
    for cancel_s in (0.5, 1.0):
        task = asyncio.create_task(_run(Exchanges(), 9.0, 1.0))
        asyncio.get_running_loop().call_later(cancel_s, task.cancel)
        await asyncio.wait((task,))
        assert task.cancelled()
