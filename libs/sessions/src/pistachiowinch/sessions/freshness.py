"""Log positions that reads must see under a staleness bound.

Load pattern: most statements are reads that accept data of a stated age. The oldest observation of
the primary within that age allows the most replicas to serve them. No probe is needed, because the
answers to other statements report the primary's position.
"""

import bisect
from collections import deque
from typing import NamedTuple

from pistachiowinch.links.statements import Position

__all__ = ["FreshnessLog", "Observation"]

# Largest staleness bound that replicas can serve; the users' routes state 1.5 to 2.5 s.
RETENTION_S = 10.0
# 50 observations a second suffice to estimate when a position was reached.
MIN_SPACING_S = 0.02


class Observation(NamedTuple):
    """A position that the primary has reported.

    :param sent_s: loop time of the request; the position includes every commit acknowledged before.
    :param epoch: number of the switch that made the target primary.
    :param received_s: loop time of the answer.
    """

    sent_s: float
    epoch: int
    position: Position
    received_s: float


class FreshnessLog:
    """Positions that the primary of one service has reported, ordered by time of request."""

    def __init__(self) -> None:
        """Create a log without observations."""
        self.observations: deque[Observation] = deque()

    def record(
        self, epoch: int, sent_s: float, position: Position | None, received_s: float | None = None
    ) -> None:
        """Record a position from an answer of the current primary.

        :param epoch: number of the switch that made the target primary.
        :param sent_s: loop time of the request; the position includes every commit acknowledged
            before.
        :param position: reported position; None is ignored.
        :param received_s: loop time of the answer; ``sent_s`` by default.
        """
        if position is None:
            return
        if self.observations:
            newest = self.observations[-1]
            is_known = newest.epoch == epoch and sent_s - newest.sent_s < MIN_SPACING_S
            if is_known or newest.epoch > epoch or sent_s < newest.sent_s:
                return
        self.observations.append(
            Observation(sent_s, epoch, position, sent_s if received_s is None else received_s)
        )
        while self.observations[0].sent_s < sent_s - RETENTION_S:
            self.observations.popleft()

    def required(
        self, epoch: int, read_start_s: float, max_staleness_s: float
    ) -> Observation | None:
        """Return the observation that includes all commits that a read must see.

        Positions of an earlier primary stay valid during a switch. Those of the current primary are
        preferred, because it may never have had the earlier ones.

        :param epoch: number of the latest switch.
        :param read_start_s: loop time at which the read arrived.
        :param max_staleness_s: commits of this age or younger may be missing.
        :returns: None if no observation is recent enough.
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

    def time_reached_s(self, position: Position) -> float | None:
        """Estimate the loop time at which the primary reached a position.

        A host of a large fleet observes a primary's position once a second or less often, so times
        between two observations are interpolated.

        :returns: None if no retained observations cover the position.
        """
        observations = self.observations
        if not observations or position < observations[0].position:
            return None
        index = bisect.bisect_left(observations, position, key=_position_of)
        if index == len(observations):
            return None
        later = observations[index]
        if later.position == position or later.position.term != position.term:
            return later.received_s
        earlier = observations[index - 1]
        if earlier.position.term != position.term:
            return later.received_s
        fraction = (position.number - earlier.position.number) / (
            later.position.number - earlier.position.number
        )
        return earlier.received_s + fraction * (later.received_s - earlier.received_s)


def _position_of(observation: Observation) -> Position:
    return observation.position
