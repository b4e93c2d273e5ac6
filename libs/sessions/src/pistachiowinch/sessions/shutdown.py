"""Time limits of statements on a host that stops as planned."""

import math
from typing import NamedTuple

from pistachiowinch.base.clock import now_s

__all__ = ["NO_SHUTDOWN", "Shutdown"]


class Shutdown(NamedTuple):
    """Limits after a stop signal, as loop times.

    :param transactions_until_s: open transactions may go on until then in any case, and later only
        with statements that are certainly answered in time.
    :param answers_by_s: time by which a target must have answered. Then the host answers what is
        still running, so that no caller is left without an answer.
    """

    transactions_until_s: float
    answers_by_s: float

    def may_send(self, timeout_s: float) -> bool:
        """Return whether a statement of an open transaction may be sent to its target now.

        :param timeout_s: longest time until its answer.
        """
        return now_s() <= self.transactions_until_s or now_s() + timeout_s <= self.answers_by_s

    def deadline_s(self, started_s: float, timeout_s: float) -> float:
        """Return the loop time until which to wait for a target's answer."""
        return min(started_s + timeout_s, self.answers_by_s)


NO_SHUTDOWN = Shutdown(math.inf, math.inf)
