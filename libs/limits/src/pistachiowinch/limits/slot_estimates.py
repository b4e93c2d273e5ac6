"""Estimates of slot time, load and waiting time at one target.

Load pattern: kinds of work of different lengths share the slots, and requests of higher priority
keep arriving while others wait.
"""

import math
from collections.abc import Sequence

__all__ = ["DecayingLoad", "SlotTime", "expected_start_s"]

# Weight of the newest duration in the moving average.
GAIN = 0.05
# One stalled statement must not make the whole queue appear slow.
MAX_SAMPLE_RATIO = 5.0
MIN_SAMPLE_S = 0.0005


class SlotTime:
    """Moving average of the time for which requests hold a slot.

    :param initial_s: average that is assumed before the first sample.
    """

    __slots__ = ("_count", "mean_s")

    def __init__(self, initial_s: float) -> None:
        """Start without samples."""
        self.mean_s = initial_s
        self._count = 0

    @property
    def is_measured(self) -> bool:
        """Whether there has been a sample."""
        return self._count > 0

    def clip(self, duration_s: float) -> float:
        """Bound a duration to what a single sample may count."""
        return min(max(duration_s, MIN_SAMPLE_S), MAX_SAMPLE_RATIO * self.mean_s)

    def record(self, duration_s: float) -> None:
        """Add a sample."""
        self._count += 1
        # The first samples outweigh the assumed average.
        self.mean_s += max(GAIN, 1.0 / self._count) * (self.clip(duration_s) - self.mean_s)


class DecayingLoad:
    """Number of slots that the requests of the last moments keep busy on average.

    :param window_s: time constant of the average.
    """

    __slots__ = ("_at_s", "_slots", "_window_s")

    def __init__(self, window_s: float) -> None:
        """Start without load."""
        self._window_s = window_s
        self._slots = 0.0
        self._at_s = 0.0

    def at(self, at_s: float) -> float:
        """Return the load.

        :param at_s: present loop time.
        """
        if self._slots == 0.0:
            return 0.0
        return self._slots * math.exp((self._at_s - at_s) / self._window_s)

    def add(self, slot_s: float, at_s: float) -> None:
        """Add a request.

        :param slot_s: its slot time.
        :param at_s: present loop time.
        """
        self._slots = self.at(at_s) + slot_s / self._window_s
        self._at_s = at_s


def expected_start_s(
    busy_s: Sequence[float], before_s: float, passing_slots: float, least_slots: float
) -> float:
    """Return the time until a request is expected to get a slot.

    :param busy_s: for each slot, the time until it becomes free, in ascending order.
    :param before_s: slot time of the waiting requests that are served before.
    :param passing_slots: load of later requests that are also served before.
    :param least_slots: share of the slots that this load does not take, greater than 0.
    :returns: seconds; infinite without slots.
    """
    start_s = math.inf
    busy_sum_s = 0.0
    for count, slot_busy_s in enumerate(busy_s, 1):
        if start_s <= slot_busy_s:
            break
        busy_sum_s += slot_busy_s
        usable_slots = max(count - passing_slots, least_slots)
        start_s = max(before_s / usable_slots + busy_sum_s / count, slot_busy_s)
    return start_s
