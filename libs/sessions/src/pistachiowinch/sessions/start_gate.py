"""Hold the statements that reach a host between its start and its first lease.

Load pattern: all hosts return from a loss of power, and all callers come back with them. A host can
prove which target is primary, and has tokens of the customers' rates, a quarter of a second after
it accepts callers. What arrives before is held that long and then runs, the most urgent routes
first; a host that takes longer refuses at once.
"""

import asyncio
import math
from collections.abc import Callable

from pistachiowinch.base.clock import now_s, sleep_s

__all__ = ["OPEN_GATE", "StartGate"]

# Time after the start in which the first lease usually comes, on half of a core.
USUAL_START_S = 0.5
CHECK_INTERVAL_S = 0.01
# Time after the opening in which other hosts, which lend the tokens of the rates, still start.
USUAL_DIFFERENCE_S = 0.3
# Statements held at the same time; more than a second's arrivals of a host. Others are refused.
MAX_HELD = 256


class StartGate:
    """Opens once, when the host may serve for the first time.

    :param may_open: returns whether the host may serve now.
    :param on_open: called once, just before the held statements go on.
    """

    def __init__(
        self, may_open: Callable[[], bool], on_open: Callable[[], object] = lambda: None
    ) -> None:
        """Create a closed gate; the host starts now."""
        self._may_open = may_open
        self._on_open = on_open
        self._is_open = False
        self._opened_s = -math.inf
        self._hold_until_s: float | None = None
        self._held: list[tuple[int, asyncio.Future[bool]]] = []
        self._checks: asyncio.Task | None = None

    def extend(self, wait_s: float) -> float:
        """Return how long a statement should wait for other hosts, which may still be starting.

        :param wait_s: the usual time.
        """
        return max(wait_s, self._opened_s + USUAL_DIFFERENCE_S - now_s())

    async def passes(self, priority: int) -> bool:
        """Wait for the gate to open.

        :param priority: of the statement's route; a smaller number is more urgent.
        :returns: false if the host takes unusually long, which the caller should be told at once.
        """
        if self._is_open or self._open_if_possible():
            return True
        if self._hold_until_s is None:
            self._hold_until_s = now_s() + USUAL_START_S
        if now_s() >= self._hold_until_s or len(self._held) >= MAX_HELD:
            return False
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self._held.append((priority, future))
        if self._checks is None:
            self._checks = loop.create_task(self._check_until_decided(self._hold_until_s))
        return await future

    def _open_if_possible(self) -> bool:
        if not self._may_open():
            return False
        self._is_open = True
        self._opened_s = now_s()
        self._on_open()
        return True

    async def _check_until_decided(self, until_s: float) -> None:
        while not self._is_open and not self._open_if_possible() and now_s() < until_s:
            await sleep_s(CHECK_INTERVAL_S)
        self._checks = None
        held, self._held = sorted(self._held, key=lambda entry: entry[0]), []
        for _, future in held:
            if not future.done():
                future.set_result(self._is_open)


class _OpenGate(StartGate):
    """A gate that was never closed."""

    def extend(self, wait_s: float) -> float:
        return wait_s


# For hosts whose start takes no time.
OPEN_GATE = _OpenGate(lambda: True)
