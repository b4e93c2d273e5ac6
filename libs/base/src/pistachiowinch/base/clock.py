"""Time of the running event loop.

All code reads the time here, so that tests can pause and advance it.
"""

import asyncio
import selectors
import time

__all__ = ["MIN_WAIT_S", "BootTimeLoop", "now_s", "remaining_s", "sleep_s"]

# With a timeout of zero a wait would end before data that has already arrived is read.
MIN_WAIT_S = 0.001


class BootTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock includes the time during which the machine is suspended.

    Leases must expire during a suspension, which the monotonic clock does not count.
    """

    def __init__(self) -> None:
        """Create a loop on the default selector."""
        super().__init__(selectors.DefaultSelector())

    def time(self) -> float:
        """Return the seconds since the machine was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def now_s() -> float:
    """Return the running loop's monotonic time.

    :returns: seconds since an arbitrary origin.
    :raises RuntimeError: if no event loop is running.
    """
    return asyncio.get_running_loop().time()


def remaining_s(deadline_s: float) -> float:
    """Return the seconds until a deadline, at least :data:`MIN_WAIT_S`.

    :param deadline_s: loop time.
    """
    return max(deadline_s - now_s(), MIN_WAIT_S)


async def sleep_s(duration_s: float) -> None:
    """Suspend the calling task.

    :param duration_s: seconds of loop time; zero or less only yields to other tasks once.
    """
    await asyncio.sleep(max(duration_s, 0.0))
