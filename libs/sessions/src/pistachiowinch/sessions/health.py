"""How targets answer, seen from this host: load, lag and suspicion."""

import math
from collections.abc import Iterable

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.links.statements import Position

__all__ = ["REFUSED_PAUSE_S", "TargetHealth"]

# One failed exchange may be a lost answer; two in a row without a success are not.
SUSPECT_FAILURES = 2
# Three times the longest usual work; a silence that long is a reason to look at the target.
SLOW_EXCHANGE_S = 0.25
# A target that refused to open connections is asked again after a few statements' work.
REFUSED_PAUSE_S = 0.15
# A timer may fire this much early.
CLOCK_RESOLUTION_S = 1e-3
# A replica that lacked a position is tried again after this time, a few times its usual lag.
LAGGING_PAUSE_S = 0.25
# What a lagging replica had tells this long how far it is by now; then it is tried again.
LAG_KEPT_S = 2.0
# A replica that was expected to have a position and lacks it is not asked for so long.
LAG_STEP_S = 0.05
# A replica that has the same position for this long receives or applies nothing; commits come
# several times a second.
STALLED_S = 0.5
# Weight of the newest answer in the mean answer time, so that five answers change it by two thirds.
LATENCY_WEIGHT = 0.2
# Assumed until the first answer; the mean work of the most frequent kind of statement.
FIRST_LATENCY_S = 0.03


class _State:
    __slots__ = (
        "failures",
        "lag_s",
        "lagged_s",
        "lagging_until_s",
        "latency_s",
        "moved_s",
        "opening_s",
        "paused_until_s",
        "position",
        "seen_s",
        "started_s",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.started_s: dict[int, float] = {}
        self.latency_s = FIRST_LATENCY_S
        self.opening_s = 0.0
        self.lagging_until_s = 0.0
        self.lag_s = math.inf
        self.lagged_s = -math.inf
        self.moved_s = 0.0
        self.seen_s = 0.0
        self.paused_until_s = 0.0
        self.position: Position | None = None

    def see(self, position: Position | None) -> None:
        """Take a position that the target reported."""
        if position is None:
            return
        self.seen_s = now_s()
        if position != self.position:
            self.position = position
            self.moved_s = self.seen_s


class TargetHealth:
    """State of all targets, by name.

    :param log: decisions of this part.
    """

    def __init__(self, log: DecisionLog) -> None:
        """Create an empty state."""
        self._log = log
        self._states: dict[str, _State] = {}
        self._next_token = 0

    def keep_only(self, known: Iterable[str]) -> None:
        """Drop the state of all targets but the known ones."""
        self._states = {name: self._states[name] for name in known if name in self._states}

    def begin(self, target: str) -> int:
        """Note that an exchange starts; returns what :meth:`end` needs."""
        self._next_token += 1
        self._state(target).started_s[self._next_token] = now_s()
        return self._next_token

    def end(self, target: str, token: int) -> None:
        """Note that an exchange ended in any way."""
        self._state(target).started_s.pop(token, None)

    def note_answer(self, target: str, took_s: float, position: Position | None) -> None:
        """Note a complete answer."""
        state = self._state(target)
        state.latency_s += LATENCY_WEIGHT * (took_s - state.latency_s)
        state.see(position)
        self.note_alive(target)

    def note_opened(self, target: str, took_s: float) -> None:
        """Note a connection that was opened."""
        state = self._state(target)
        state.opening_s += LATENCY_WEIGHT * (took_s - state.opening_s)

    def note_alive(self, target: str) -> None:
        """Note that the target answers."""
        state = self._state(target)
        if state.failures >= SUSPECT_FAILURES:
            self._log.write("target_answers_again", target=target)
        state.failures = 0

    def note_unreachable(self, target: str, cause: str) -> None:
        """Note a probe that did not even open a connection to a target which left work unanswered.

        This is the second sign, so the target is suspected at once.
        """
        state = self._state(target)
        state.failures = max(state.failures, SUSPECT_FAILURES - 1)
        self.note_failure(target, cause)

    def note_failure(self, target: str, cause: str) -> None:
        """Note an exchange or a connection that the target did not answer."""
        state = self._state(target)
        state.failures += 1
        if state.failures == SUSPECT_FAILURES:
            self._log.write("target_suspected", target=target, cause=cause)

    def note_refused(self, target: str, pause_s: float) -> None:
        """Note that the target accepts no more connections or work for so long."""
        self._state(target).paused_until_s = now_s() + pause_s

    def note_lagging(self, target: str, position: Position | None) -> None:
        """Note that the target lacked a position that a read needed."""
        state = self._state(target)
        state.lagged_s = now_s()
        state.lag_s = math.inf
        state.lagging_until_s = now_s() + LAGGING_PAUSE_S
        state.see(position)

    def is_suspected(self, target: str) -> bool:
        """Whether the target fails to answer this host."""
        state = self._states.get(target)
        return state is not None and state.failures >= SUSPECT_FAILURES

    def needs_probe(self, target: str) -> bool:
        """Whether the last exchange failed, or one has had no answer for long."""
        state = self._states.get(target)
        if state is None:
            return False
        return state.failures > 0 or self.unanswered_s(target) > SLOW_EXCHANGE_S

    def unanswered_s(self, target: str) -> float:
        """Age of the oldest exchange that has no answer yet."""
        return now_s() - min(self._state(target).started_s.values(), default=now_s())

    def is_paused(self, target: str) -> bool:
        """Whether the target refused connections or work a moment ago."""
        state = self._states.get(target)
        return state is not None and now_s() < state.paused_until_s - CLOCK_RESOLUTION_S

    def is_lagging(self, target: str, required: Position) -> bool:
        """Whether the target lacked this position a moment ago."""
        state = self._states.get(target)
        if state is None or now_s() >= state.lagging_until_s:
            return False
        return state.position is None or state.position < required

    def note_lag(self, target: str, position_from_s: float | None) -> None:
        """Note from when the position is that a replica has.

        Between two commits it seems to fall behind, so the least of the latest figures holds.

        :param position_from_s: loop time at which the primary had that position; None if unknown.
        """
        state = self._state(target)
        if position_from_s is not None:
            state.lag_s = min(state.lag_s, now_s() - position_from_s)

    def note_lacks(self, target: str, needed_from_s: float | None) -> None:
        """Note that a replica lacks a position, whatever its own one seemed to tell.

        :param needed_from_s: loop time at which the primary had the position; None if unknown.
        """
        state = self._state(target)
        if needed_from_s is None:
            state.lag_s = math.inf
        elif not math.isinf(state.lag_s):
            state.lag_s = max(state.lag_s, now_s() - needed_from_s + LAG_STEP_S)

    def lag_s(self, target: str) -> float | None:
        """Return how far a replica is behind that lacked a position lately and goes on applying."""
        if not self.has_lagged(target):
            return None
        state = self._states[target]
        is_known = not math.isinf(state.lag_s) and state.seen_s - state.moved_s <= STALLED_S
        return state.lag_s if is_known else None

    def has_lagged(self, target: str) -> bool:
        """Whether a target lacked a position lately, so that its lag is of interest."""
        state = self._states.get(target)
        return state is not None and now_s() - state.lagged_s <= LAG_KEPT_S

    def opening_s(self, target: str) -> float:
        """Estimated time until a new connection is open."""
        return self._state(target).opening_s

    def expected_s(self, target: str) -> float:
        """Estimated answer time of one more exchange."""
        state = self._state(target)
        return state.latency_s * (1 + len(state.started_s))

    def suspected(self, among: Iterable[str]) -> tuple[str, ...]:
        """Return the suspected ones of some targets."""
        return tuple(name for name in among if self.is_suspected(name))

    def _state(self, target: str) -> _State:
        state = self._states.get(target)
        if state is None:
            state = self._states[target] = _State()
        return state
