"""Time as the running event loop sees it.

Every part of the product reads time here, so that tests can pause and advance it.
"""

import asyncio
import selectors
import time

__all__ = ["MIN_WAIT_S", "BootTimeLoop", "now_s", "remaining_s", "sleep_s"]

# A wait of zero would end before an answer that is already there is read.
MIN_WAIT_S = 0.001


class BootTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock also counts while the machine is suspended.

    Proofs and leases must run out during a suspension, of which the steady clock knows nothing.
    """

    def __init__(self) -> None:
        """Create a loop on the default selector."""
        super().__init__(selectors.DefaultSelector())

    def time(self) -> float:
        """Return the seconds since the machine was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def now_s() -> float:
    """Return the running loop's monotonic time.

    :returns: seconds since an arbitrary origin.
    :raises RuntimeError: if no event loop is running.
    """
    return asyncio.get_running_loop().time()


def remaining_s(deadline_s: float) -> float:
    """Return the seconds until a deadline, at least a millisecond.

    :param deadline_s: loop time.
    """
    return max(deadline_s - now_s(), MIN_WAIT_S)


async def sleep_s(duration_s: float) -> None:
    """Suspend the calling task.

    :param duration_s: seconds of the loop's time; zero or less only yields once.
    """
    await asyncio.sleep(max(duration_s, 0.0))
