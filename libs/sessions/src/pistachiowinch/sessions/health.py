"""Health of targets as this host observes it: latency, lag and failures."""

import math
from collections.abc import Iterable

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.links.statements import Position

__all__ = ["REFUSED_PAUSE_S", "SLOW_EXCHANGE_S", "TargetHealth"]

# Consecutive failures after which a target is suspected; one alone may be a lost answer.
SUSPECT_FAILURES = 2
# Silence of an exchange that counts against its target and calls for a probe: three times the
# longest usual work. What begins shortly before its deadline is given up earlier.
SLOW_EXCHANGE_S = 0.25
# Time for which a peer's suspicion of a target calls for a probe; peers repeat it each 0.2 s.
REPORT_RETENTION_S = 0.5
# A sign of life within this time makes such a probe unnecessary.
FRESH_LIFE_S = 0.3
# Pause after a refused connection: the run time of a few statements.
REFUSED_PAUSE_S = 0.15
# A timer may fire early by this much.
TIMER_RESOLUTION_S = 1e-3
# Pause after a replica lacked a position: a few times its usual lag.
LAGGING_PAUSE_S = 0.25
# Time for which a replica that lacked a position is judged by its lag estimate; then it is simply
# tried again.
LAG_RETENTION_S = 2.0
# Added to the lag estimate of a replica that lacks a position it was expected to have.
LAG_INCREMENT_S = 0.05
# A replica whose position is unchanged for this long is not replicating; several commits occur each
# second.
STALL_THRESHOLD_S = 0.5
# Weight of a new answer in the moving average; five answers change the average by two thirds.
LATENCY_WEIGHT = 0.2
# Assumed until the first answer: the mean run time of the most frequent kind of statement.
INITIAL_LATENCY_S = 0.03


class _TargetState:
    __slots__ = (
        "alive_s",
        "connect_s",
        "failures",
        "lag_s",
        "lagging_until_s",
        "last_lagging_s",
        "latency_s",
        "paused_until_s",
        "position",
        "position_changed_s",
        "position_seen_s",
        "reported_s",
        "started_s",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.alive_s = -math.inf
        self.reported_s = -math.inf
        self.started_s: dict[int, float] = {}
        self.latency_s = INITIAL_LATENCY_S
        self.connect_s = 0.0
        self.lagging_until_s = 0.0
        self.lag_s = math.inf
        self.last_lagging_s = -math.inf
        self.position_changed_s = 0.0
        self.position_seen_s = 0.0
        self.paused_until_s = 0.0
        self.position: Position | None = None

    def observe_position(self, position: Position | None) -> None:
        """Record a position that the target reported."""
        if position is None:
            return
        self.position_seen_s = now_s()
        if position != self.position:
            self.position = position
            self.position_changed_s = self.position_seen_s


class TargetHealth:
    """Health of all targets, by name.

    :param log: decision log of this component.
    """

    def __init__(self, log: DecisionLog) -> None:
        """Create a record without targets."""
        self._log = log
        self._states: dict[str, _TargetState] = {}
        self._last_exchange_id = 0

    def keep_only(self, known: Iterable[str]) -> None:
        """Drop the state of all targets except the known ones."""
        self._states = {name: self._states[name] for name in known if name in self._states}

    def begin_exchange(self, target: str) -> int:
        """Record the start of an exchange; return its id for :meth:`end_exchange`."""
        self._last_exchange_id += 1
        self._state(target).started_s[self._last_exchange_id] = now_s()
        return self._last_exchange_id

    def end_exchange(self, target: str, exchange_id: int) -> None:
        """Record the end of an exchange, whatever its outcome."""
        self._state(target).started_s.pop(exchange_id, None)

    def note_answer(self, target: str, took_s: float, position: Position | None) -> None:
        """Record a complete answer."""
        state = self._state(target)
        state.latency_s += LATENCY_WEIGHT * (took_s - state.latency_s)
        state.observe_position(position)
        self.note_alive(target)

    def note_connected(self, target: str, took_s: float) -> None:
        """Record how long opening a connection took."""
        state = self._state(target)
        state.connect_s += LATENCY_WEIGHT * (took_s - state.connect_s)

    def note_alive(self, target: str) -> None:
        """Record a sign of life, which clears the failure count."""
        state = self._state(target)
        if state.failures >= SUSPECT_FAILURES:
            self._log.write("target_answers_again", target=target)
        state.failures = 0
        state.alive_s = now_s()

    def note_reported(self, target: str) -> None:
        """Record that a peer suspects the target, so that this host checks it soon."""
        self._state(target).reported_s = now_s()

    def note_unreachable(self, target: str, cause: str) -> None:
        """Record that a probe could not connect to a target that left an exchange unanswered.

        The probe counts as a second failure, so the target is suspected at once.
        """
        state = self._state(target)
        state.failures = max(state.failures, SUSPECT_FAILURES - 1)
        self.note_failure(target, cause)

    def note_failure(self, target: str, cause: str) -> None:
        """Record an exchange or a connection attempt that got no answer."""
        state = self._state(target)
        state.failures += 1
        if state.failures == SUSPECT_FAILURES:
            self._log.write("target_suspected", target=target, cause=cause)

    def note_refused(self, target: str, pause_s: float) -> None:
        """Pause the target, because it refused a connection or a statement."""
        self._state(target).paused_until_s = now_s() + pause_s

    def note_lagging(self, target: str, position: Position | None) -> None:
        """Record that the target lacked a position that a read needed."""
        state = self._state(target)
        state.last_lagging_s = now_s()
        state.lag_s = math.inf
        state.lagging_until_s = now_s() + LAGGING_PAUSE_S
        state.observe_position(position)

    def is_suspected(self, target: str) -> bool:
        """Whether the target has repeatedly failed to answer this host."""
        state = self._states.get(target)
        return state is not None and state.failures >= SUSPECT_FAILURES

    def needs_probe(self, target: str) -> bool:
        """Whether an exchange failed or is unanswered for too long, here or at a peer."""
        state = self._states.get(target)
        if state is None:
            return False
        is_reported = (
            now_s() - state.reported_s < REPORT_RETENTION_S
            and now_s() - state.alive_s > FRESH_LIFE_S
        )
        return state.failures > 0 or is_reported or self.unanswered_s(target) > SLOW_EXCHANGE_S

    def unanswered_s(self, target: str) -> float:
        """Age of the oldest exchange that has no answer yet."""
        return now_s() - min(self._state(target).started_s.values(), default=now_s())

    def is_paused(self, target: str) -> bool:
        """Whether the target is paused after a refusal."""
        state = self._states.get(target)
        return state is not None and now_s() < state.paused_until_s - TIMER_RESOLUTION_S

    def is_lagging(self, target: str, required: Position) -> bool:
        """Whether the target recently lacked this position."""
        state = self._states.get(target)
        if state is None or now_s() >= state.lagging_until_s:
            return False
        return state.position is None or state.position < required

    def position(self, target: str) -> Position | None:
        """Return the position that the target reported last."""
        return self._state(target).position

    def note_lag(self, target: str, reached_s: float | None) -> None:
        """Record the lag of a replica.

        Between two commits the lag appears to grow, so the smallest recent estimate is kept.

        :param reached_s: loop time at which the primary reached the replica's position; None if
            unknown.
        """
        state = self._state(target)
        if reached_s is not None:
            state.lag_s = min(state.lag_s, now_s() - reached_s)

    def note_missing_position(self, target: str, reached_s: float | None) -> None:
        """Raise the lag estimate of a replica that lacks a position.

        :param reached_s: loop time at which the primary reached the position; None if unknown.
        """
        state = self._state(target)
        if reached_s is None:
            state.lag_s = math.inf
        elif not math.isinf(state.lag_s):
            state.lag_s = max(state.lag_s, now_s() - reached_s + LAG_INCREMENT_S)

    def lag_s(self, target: str) -> float | None:
        """Return the lag of a replica that recently lacked a position and keeps replicating."""
        if not self.has_lagged(target):
            return None
        state = self._states[target]
        is_known = (
            not math.isinf(state.lag_s)
            and state.position_seen_s - state.position_changed_s <= STALL_THRESHOLD_S
        )
        return state.lag_s if is_known else None

    def has_lagged(self, target: str) -> bool:
        """Whether a target recently lacked a position."""
        state = self._states.get(target)
        return state is not None and now_s() - state.last_lagging_s <= LAG_RETENTION_S

    def connect_time_s(self, target: str) -> float:
        """Estimated time to open a connection."""
        return self._state(target).connect_s

    def expected_latency_s(self, target: str) -> float:
        """Estimated time until the answer to one more exchange."""
        state = self._state(target)
        return state.latency_s * (1 + len(state.started_s))

    def suspected(self, among: Iterable[str]) -> tuple[str, ...]:
        """Return those of the given targets that are suspected."""
        return tuple(name for name in among if self.is_suspected(name))

    def _state(self, target: str) -> _TargetState:
        state = self._states.get(target)
        if state is None:
            state = self._states[target] = _TargetState()
        return state
