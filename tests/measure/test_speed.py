"""Tests that the speed measurement runs and gets a result for every statement."""

from pistachiowinch.measure.speed import measure_speed


async def test_measures_both_ways():
    figures = await measure_speed(callers=2, statements=5, rounds=1, idle_connections=3)
    assert figures.direct_per_s > 0
    assert figures.proxied_per_s > 0
    assert figures.idle_connection_kb > 0
