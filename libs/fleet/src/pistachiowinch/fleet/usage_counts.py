"""Counts this host's requests by customer and time, for the host that reports usage.

The counts are kept by the loop's clock, which a jump of the time of day does not change. The host
that reports usage asks for the counts between two ages, so this host needs no time of day at all,
and an answer that is repeated adds nothing.

Load pattern: hundreds of customers send some thousand requests a second. A request costs one
dictionary update and no message; the memory is bounded by the time for which counts are kept and by
the number of customers.
"""

from collections import deque
from collections.abc import Callable

from pistachiowinch.base.clock import now_s

__all__ = ["PERIOD_S", "UsageCounts"]

# Small compared with a window of seconds, because a request near the edge of a window may be
# counted in the next one.
PERIOD_S = 0.01


class UsageCounts:
    """Requests by customer in short periods; implements ``sessions.RequestCounts``.

    :param kept_s: time after which counts are dropped; longer than a window and the time in which
        its report is due.
    :param clock: returns the loop time in seconds.
    """

    def __init__(self, kept_s: float, clock: Callable[[], float] = now_s) -> None:
        """Create empty counts."""
        self._kept_periods = int(kept_s / PERIOD_S)
        self._clock = clock
        self._periods: deque[tuple[int, dict[str, int]]] = deque()

    def add(self, customer: str) -> int:
        """Count a request that begins now; return its period."""
        period = int(self._clock() / PERIOD_S)
        if not self._periods or self._periods[-1][0] < period:
            self._periods.append((period, {}))
            self._drop_old(period)
        counts = self._periods[-1][1]
        counts[customer] = counts.get(customer, 0) + 1
        return period

    def remove(self, customer: str, period: int) -> None:
        """Remove a counted request that did not run."""
        for found, counts in reversed(self._periods):
            if found < period:
                return
            if found == period and counts.get(customer, 0) > 0:
                counts[customer] -= 1
                return

    def between(self, start_s: float, end_s: float) -> dict[str, int]:
        """Return the requests that began in a span, by customer.

        :param start_s: loop time of the first moment.
        :param end_s: loop time after the last moment.
        """
        first, last = round(start_s / PERIOD_S), round(end_s / PERIOD_S)
        totals: dict[str, int] = {}
        for period, counts in self._periods:
            if first <= period < last:
                for customer, count in counts.items():
                    totals[customer] = totals.get(customer, 0) + count
        return {customer: count for customer, count in totals.items() if count}

    def _drop_old(self, newest: int) -> None:
        oldest = newest - self._kept_periods
        while self._periods[0][0] < oldest:
            self._periods.popleft()
