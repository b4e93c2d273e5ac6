"""Staleness bound of a replica, derived from positions that the primary reported."""

from collections.abc import Iterable
from typing import NamedTuple

from pistachiowinch.links.targets import TargetRole, TargetStatus

__all__ = ["PositionWatermarks"]

# 512 watermarks cover 100 s at one per 0.2 s. Beyond that, every second watermark of the older half
# is dropped, which only makes the bounds larger.
_MAX_WATERMARKS = 512


class _Watermark(NamedTuple):
    sent_s: float
    position: int


class PositionWatermarks:
    """Positions of the primary of one term at known times.

    A watermark says that every commit answered before ``sent_s`` is at or before ``position``.
    """

    def __init__(self) -> None:
        """Start without watermarks."""
        self._term = 0
        self._watermarks: list[_Watermark] = []

    def record(self, statuses: Iterable[TargetStatus], majority: int, sent_s: float) -> None:
        """Add a watermark from one round of answers.

        The primary's position is used only if a majority still follows the primary. The position
        of a replaced primary does not cover the commits of its successor.

        :param statuses: answers to requests that were all sent at or after ``sent_s``.
        :param majority: number of targets that is a majority of the group.
        :param sent_s: loop time.
        """
        current = [status for status in statuses if status.promised_term == status.stream_term]
        for primary in current:
            if primary.role is not TargetRole.PRIMARY:
                continue
            followers = [status for status in current if status.stream_term == primary.stream_term]
            if len(followers) >= majority:
                self._add(primary.stream_term, _Watermark(sent_s, primary.position))

    def _add(self, term: int, watermark: _Watermark) -> None:
        if term < self._term:
            return
        if term > self._term:
            self._term = term
            self._watermarks.clear()
        if self._watermarks and watermark.sent_s <= self._watermarks[-1].sent_s:
            return
        if self._watermarks and self._watermarks[-1].position == watermark.position:
            self._watermarks.pop()
        self._watermarks.append(watermark)
        if len(self._watermarks) > _MAX_WATERMARKS:
            half = len(self._watermarks) // 2
            self._watermarks = self._watermarks[:half:2] + self._watermarks[half:]

    def bound_s(self, status: TargetStatus, as_of_s: float) -> float | None:
        """Return an upper bound on the age of the target's visible data at ``as_of_s``.

        :param status: the target's state.
        :param as_of_s: loop time at which the state was requested.
        :returns: seconds; None if the target has not reached any watermark.
        """
        if status.stream_term != self._term:
            return None
        for watermark in reversed(self._watermarks):
            if watermark.position <= status.applied_position:
                return max(as_of_s - watermark.sent_s, 0.0)
        return None
