"""Guards against transactions that start during a switch, and against holds that never end."""

import asyncio
import math

import pytest

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.groups.gate import HOLD_LIMIT_S, TransactionGate

pytestmark = pytest.mark.looptime


async def test_hold_delays_new_transactions_and_ends_by_itself():
    gate = TransactionGate()
    gate.hold(5, 60.0)
    started_s = now_s()
    assert await gate.enter(now_s() + 5.0)
    assert now_s() - started_s == pytest.approx(HOLD_LIMIT_S)


async def test_deadline_within_a_hold_refuses():
    gate = TransactionGate()
    gate.hold(5, 1.0)
    assert not await gate.enter(now_s() + 0.2)
    assert gate.running == 0


async def test_newer_primary_ends_a_hold_and_the_old_one_does_not():
    gate = TransactionGate()
    gate.hold(5, 1.0)
    gate.release(5)
    assert gate.is_held
    gate.release(6)
    assert not gate.is_held


async def test_idle_is_reached_only_when_running_transactions_ended():
    gate = TransactionGate()
    assert await gate.enter(now_s() + 1.0)
    gate.hold(5, 1.0)
    assert await gate.wait_idle(now_s() + 0.1) == 1
    waiting = asyncio.create_task(gate.wait_idle(now_s() + 1.0))
    await sleep_s(0.05)
    gate.leave()
    assert await waiting == 0
    with pytest.raises(RuntimeError):
        gate.leave()


async def test_a_deadline_a_float_step_ahead_does_not_spin():
    """Guards against a loop without progress when a timer fires a rounding error early."""
    gate = TransactionGate()
    await sleep_s(3.6752)
    assert await gate.enter(now_s() + 1.0)
    assert await gate.wait_idle(math.nextafter(now_s(), math.inf)) == 1
    gate.hold(1, math.ulp(now_s()))
    assert await gate.enter(now_s() + 1.0)
