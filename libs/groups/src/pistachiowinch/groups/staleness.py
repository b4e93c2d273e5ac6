"""Bound on the age of a replica's data, from positions that the primary reported."""

from collections.abc import Iterable
from typing import NamedTuple

from pistachiowinch.links.targets import TargetRole, TargetStatus

__all__ = ["PositionMarks"]

# 512 marks cover 100 s at one mark each 0.2 s; then the older half is thinned out, which only
# makes bounds larger.
_MARKS_MAX = 512


class _Mark(NamedTuple):
    sent_s: float
    position: int


class PositionMarks:
    """Positions that the primary of one term had after known times.

    A mark says that every commit answered before ``sent_s`` is at or before ``position``.
    """

    def __init__(self) -> None:
        """Start without marks."""
        self._term = 0
        self._marks: list[_Mark] = []

    def record(self, statuses: Iterable[TargetStatus], majority: int, sent_s: float) -> None:
        """Take over one round of answers.

        The primary counts only together with a majority that still follows it. A replaced
        primary's position would hide the commits of its successor.

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
                self._add(primary.stream_term, _Mark(sent_s, primary.position))

    def _add(self, term: int, mark: _Mark) -> None:
        if term < self._term:
            return
        if term > self._term:
            self._term = term
            self._marks.clear()
        if self._marks and mark.sent_s <= self._marks[-1].sent_s:
            return
        if self._marks and self._marks[-1].position == mark.position:
            self._marks.pop()
        self._marks.append(mark)
        if len(self._marks) > _MARKS_MAX:
            half = len(self._marks) // 2
            self._marks = self._marks[:half:2] + self._marks[half:]

    def bound_s(self, status: TargetStatus, as_of_s: float) -> float | None:
        """Return how much older than ``as_of_s`` the target's visible data is at most.

        :param status: the target's state.
        :param as_of_s: loop time at which the state was asked for.
        :returns: seconds; None if no mark is covered.
        """
        if status.stream_term != self._term:
            return None
        for mark in reversed(self._marks):
            if mark.position <= status.applied_position:
                return max(as_of_s - mark.sent_s, 0.0)
        return None
