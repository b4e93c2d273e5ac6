"""Tests of the counts that a host keeps for the usage reports."""

import pytest

from pistachiowinch.fleet.usage_counts import PERIOD_S, UsageCounts


class Clock:
    """A clock that tests set."""

    now_s = 100.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now_s


@pytest.fixture
def clock():
    """Return a clock at 100 s."""
    return Clock()


def test_requests_belong_to_the_span_in_which_they_began(clock):
    """A request at the edge must be in exactly one of two windows that follow each other."""
    counts = UsageCounts(30.0, clock)
    for tenth in range(100):
        clock.now_s = 100.0 + tenth / 10.0
        counts.add("carp")
    first, second = counts.between(100.0, 105.0), counts.between(105.0, 110.0)
    assert (first, second) == ({"carp": 50}, {"carp": 50})


def test_a_removed_request_no_longer_counts(clock):
    """A request that a target refused did not run, also if others began meanwhile."""
    counts = UsageCounts(30.0, clock)
    period = counts.add("carp")
    clock.now_s += 1.0
    counts.add("dace")
    counts.remove("carp", period)
    counts.remove("carp", period)
    assert counts.between(90.0, 110.0) == {"dace": 1}


def test_old_counts_are_dropped(clock):
    """Load pattern: days of requests must not fill the memory."""
    counts = UsageCounts(30.0, clock)
    for _ in range(1000):
        clock.now_s += 1.0
        counts.add("carp")
    assert counts.between(0.0, clock.now_s - 30.0 - 2 * PERIOD_S) == {}
    assert sum(counts.between(0.0, clock.now_s + 1.0).values()) <= 31
