"""Admission of a host's own reads of the store while it does not answer.

Load pattern: the store stops answering a whole fleet, and each host of it should find out by itself
when the store is back. After a failure one read at a time is made, for all prefixes together, and
the next one only after a delay. Any answer ends the delay, also one that the history is lost.
"""

import math
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from pistachiowinch.base.clock import now_s
from pistachiowinch.fleet.copy_bounds import CopyBounds
from pistachiowinch.links.store import HistoryLost, StoreError

__all__ = ["DirectReads"]

# Shortest delay as a part of the longest one. The hosts of a fleet lose the store together and
# should not call it together.
MIN_DELAY_FRACTION = 0.65

_T = TypeVar("_T")


class DirectReads:
    """This host's own reads of the store, and whether the last one was answered.

    :param bounds: limits the delay after a failed read.
    :ivar unanswered_s: loop time at which the newest read that failed was sent; negative infinity
        if none has.
    """

    def __init__(self, bounds: CopyBounds) -> None:
        """Create an object without reads."""
        self._bounds = bounds
        self._is_failing = False
        self._in_progress = 0
        self.next_s = -math.inf
        self.unanswered_s = -math.inf

    @property
    def is_due(self) -> bool:
        """Whether another read may be made now."""
        return now_s() >= self.next_s and not (self._is_failing and self._in_progress)

    async def run(self, call: Callable[[], Awaitable[_T]]) -> _T:
        """Make a read and record whether it was answered.

        :raises StoreError: if the read fails.
        """
        sent_s = now_s()
        self._in_progress += 1
        try:
            result = await call()
        except HistoryLost:
            self.note_answered()
            raise
        except StoreError:
            self.unanswered_s = max(self.unanswered_s, sent_s)
            self._is_failing = True
            delay_s = self._bounds.retry_delay_s(now_s() - sent_s)
            self.next_s = now_s() + delay_s * random.uniform(MIN_DELAY_FRACTION, 1.0)
            raise
        finally:
            self._in_progress -= 1
        self.note_answered()
        return result

    def note_answered(self) -> None:
        """Record that the store has answered a call of this host, so that no read is delayed."""
        self._is_failing = False
        self.next_s = -math.inf
