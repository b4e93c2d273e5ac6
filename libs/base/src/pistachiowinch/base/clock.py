"""Time as the running event loop sees it.

Every part of the product reads time here, so that tests can pause and advance it.
"""

import asyncio

__all__ = ["now_s", "sleep_s"]


def now_s() -> float:
    """Return the running loop's monotonic time.

    :returns: seconds since an arbitrary origin.
    :raises RuntimeError: if no event loop is running.
    """
    return asyncio.get_running_loop().time()


async def sleep_s(duration_s: float) -> None:
    """Suspend the calling task.

    :param duration_s: seconds of the loop's time; zero or less only yields once.
    """
    await asyncio.sleep(max(duration_s, 0.0))
