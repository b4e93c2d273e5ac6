"""Tests of the agreed time of day when clocks jump."""

import asyncio

import pytest

from pistachiowinch.base.clock import now_s
from pistachiowinch.fleet.agreed_time import (
    STEP_LASTS_S,
    AgreedTime,
    ClockReading,
    SteadyTimeOfDay,
)

JUMP_S = 2400.0


def test_the_median_ignores_a_minority_of_wrong_clocks():
    """clock_step: clocks far ahead and far behind must not move the windows."""
    agreed = AgreedTime()
    times_s = (1000.0, 1000.01, 1000.0 + JUMP_S, 999.99, 1000.0 - JUMP_S)
    assert agreed.agree([ClockReading(time_s, 50.0) for time_s in times_s], 5)
    assert agreed.time_of_day_s(60.0) == pytest.approx(1010.0, abs=0.02)
    assert agreed.loop_s(1010.0) == pytest.approx(60.0, abs=0.02)


def test_readings_of_half_of_the_hosts_change_nothing():
    """node_cut with clock_step: the hosts that are still heard may be those that jumped."""
    agreed = AgreedTime()
    assert agreed.agree([ClockReading(1000.0, 50.0)] * 3, 4)
    assert not agreed.agree([ClockReading(1000.0 + JUMP_S, 51.0)] * 2, 4)
    assert agreed.time_of_day_s(50.0) == 1000.0


@pytest.mark.looptime
async def test_a_step_of_the_own_clock_is_left_out_until_it_lasts():
    """clock_step on most hosts at once, and a correction that stays."""
    step_s = 0.0
    time_of_day = SteadyTimeOfDay(lambda: 1000.0 + now_s() + step_s)
    step_s = JUMP_S
    await asyncio.sleep(60.0)
    assert time_of_day.now_s() == pytest.approx(1060.0)
    step_s = 0.0
    await asyncio.sleep(60.0)
    assert time_of_day.now_s() == pytest.approx(1120.0)
    step_s = JUMP_S
    for _ in range(3):
        time_of_day.now_s()
        await asyncio.sleep(STEP_LASTS_S)
    assert time_of_day.now_s() == pytest.approx(1000.0 + now_s() + JUMP_S)
