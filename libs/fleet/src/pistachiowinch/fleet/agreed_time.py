"""Agrees on the time of day from the clocks of all hosts.

The time of day of a machine may jump by an hour, but its steady clock does not. So one host asks
the others for their time of day, takes the median and carries it on with its own loop clock. The
median is right as long as most clocks are. The store and the targets state no time of day.

Each host answers with a time of day that its own steady clock carries on as well, so that a jump
matters only on hosts that start while it lasts.
"""

import time
from collections.abc import Callable, Collection
from typing import NamedTuple

from pistachiowinch.base.clock import now_s

__all__ = ["STEP_LASTS_S", "AgreedTime", "ClockReading", "SteadyTimeOfDay"]

# Larger differences from the steady clock are steps and not slow corrections.
MAX_SLEW_S = 0.2
# A step that has lasted this long is taken for a correction. Clocks that jump by mistake are set
# right sooner.
STEP_LASTS_S = 600.0


class SteadyTimeOfDay:
    """This host's time of day without recent steps.

    :param read_s: returns the machine's time of day in seconds since the epoch.
    """

    def __init__(self, read_s: Callable[[], float] = time.time) -> None:
        """Read the clock."""
        self._read_s = read_s
        self._epoch_s = now_s() - read_s()
        self._stepped_since_s: float | None = None

    def now_s(self) -> float:
        """Return the time of day in seconds since the epoch."""
        epoch_s = now_s() - self._read_s()
        if abs(epoch_s - self._epoch_s) <= MAX_SLEW_S:
            self._epoch_s = epoch_s
            self._stepped_since_s = None
        elif self._stepped_since_s is None:
            self._stepped_since_s = now_s()
        elif now_s() - self._stepped_since_s >= STEP_LASTS_S:
            self._epoch_s = epoch_s
            self._stepped_since_s = None
        return now_s() - self._epoch_s


class ClockReading(NamedTuple):
    """Time of day of one host.

    :param time_of_day_s: seconds since the epoch.
    :param at_s: loop time of this host when the other one read its clock.
    """

    time_of_day_s: float
    at_s: float

    @property
    def epoch_s(self) -> float:
        """Loop time of the epoch according to the reading."""
        return self.at_s - self.time_of_day_s


class AgreedTime:
    """Converts between the loop's time and the agreed time of day.

    :ivar epoch_s: loop time of the epoch; None while the hosts have not agreed.
    :ivar furthest_s: largest difference of a reading from the agreed time in the last agreement.
    """

    def __init__(self) -> None:
        """Create a clock without an agreement."""
        self.epoch_s: float | None = None
        self.furthest_s = 0.0

    def agree(self, readings: Collection[ClockReading], host_count: int) -> bool:
        """Adopt the median of the readings if they are those of more than half of the hosts.

        A smaller part may consist of hosts whose clocks jumped together; the last agreement then
        stays in force.

        :param host_count: number of hosts in the fleet.
        """
        if 2 * len(readings) <= host_count:
            return False
        epochs_s = sorted(reading.epoch_s for reading in readings)
        self.epoch_s = epochs_s[len(epochs_s) // 2]
        self.furthest_s = max(self.epoch_s - epochs_s[0], epochs_s[-1] - self.epoch_s)
        return True

    def loop_s(self, time_of_day_s: float) -> float:
        """Return the loop time of a time of day."""
        return time_of_day_s + (self.epoch_s or 0.0)

    def time_of_day_s(self, loop_s: float) -> float:
        """Return the time of day of a loop time."""
        return loop_s - (self.epoch_s or 0.0)
