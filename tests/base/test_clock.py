"""The clock functions must follow the paused loop time of tests, not the wall clock."""

import time

import pytest

from pistachiowinch.base.clock import now_s, sleep_s

pytestmark = pytest.mark.looptime


async def test_long_sleep_advances_only_the_paused_clock():
    started_s = now_s()
    wall_started_s = time.monotonic()
    await sleep_s(3600.0)
    assert now_s() - started_s == pytest.approx(3600.0)
    assert time.monotonic() - wall_started_s < 60.0
