"""Which log position a read must see.

Load pattern: most statements are reads that accept data of a stated age. The oldest observation of
the primary that is still young enough lets the most replicas serve them, and no probe is needed
while the primary answers other work.
"""

import bisect
from collections import deque
from typing import NamedTuple

from pistachiowinch.links.statements import Position

__all__ = ["FreshnessLog", "Observation"]

# Largest staleness that replicas serve; the users' routes state 1.5 to 2.5 s.
KEPT_S = 10.0
# Observations closer than this add nothing; 50 a second date a position well enough.
SPACING_S = 0.02


class Observation(NamedTuple):
    """A position that the primary has reported.

    :param sent_s: loop time of the question; every commit acknowledged before is in the position.
    :param epoch: number of the switch that made it primary.
    :param seen_s: loop time of the answer, at which the log ended there.
    """

    sent_s: float
    epoch: int
    position: Position
    seen_s: float


class FreshnessLog:
    """Positions that one service's primary has reported, dated with the time of the question."""

    def __init__(self) -> None:
        """Create a log without observations."""
        self.observations: deque[Observation] = deque()

    def note(
        self, epoch: int, sent_s: float, position: Position | None, seen_s: float | None = None
    ) -> None:
        """Take a position from an answer of the proved primary.

        :param epoch: number of the switch that made it primary.
        :param sent_s: loop time before which every acknowledged commit is in the position.
        :param seen_s: loop time of the answer; that of the question by default.
        """
        if position is None:
            return
        if self.observations:
            newest = self.observations[-1]
            is_known = newest.epoch == epoch and sent_s - newest.sent_s < SPACING_S
            if is_known or newest.epoch > epoch or sent_s < newest.sent_s:
                return
        self.observations.append(
            Observation(sent_s, epoch, position, sent_s if seen_s is None else seen_s)
        )
        while self.observations[0].sent_s < sent_s - KEPT_S:
            self.observations.popleft()

    def required(
        self, epoch: int, read_start_s: float, max_staleness_s: float
    ) -> Observation | None:
        """Return the observation that covers all commits which a read must see.

        An earlier primary's positions stay valid during a switch, but its successor may never have
        had them, so its own are preferred.

        :param epoch: number of the newest switch.
        :param read_start_s: loop time at which the read arrived.
        :param max_staleness_s: age of commits that it may lack.
        :returns: None if no observation is young enough.
        """
        oldest_s = read_start_s - max_staleness_s
        earlier: Observation | None = None
        for observation in self.observations:
            if observation.sent_s < oldest_s:
                continue
            if observation.epoch == epoch:
                return observation
            earlier = earlier or observation
        return earlier

    def dated_s(self, position: Position) -> float | None:
        """Estimate when the primary reached a position; None if that is not kept.

        A host of a large fleet sees a primary's position once a second or less, so times between
        two observations are interpolated.
        """
        seen = self.observations
        if not seen or position < seen[0].position:
            return None
        index = bisect.bisect_left(seen, position, key=_position_of)
        if index == len(seen):
            return None
        later = seen[index]
        if later.position == position or later.position.term != position.term:
            return later.seen_s
        earlier = seen[index - 1]
        if earlier.position.term != position.term:
            return later.seen_s
        part = (position.number - earlier.position.number) / (
            later.position.number - earlier.position.number
        )
        return earlier.seen_s + part * (later.seen_s - earlier.seen_s)


def _position_of(observation: Observation) -> Position:
    return observation.position
