"""What this host knows of the load and the reliability of each target.

Load pattern: each host sends few of a target's requests, so its reports arrive seldom and are
outlived by the queue that they describe. Some targets answer slowly or fail part of the requests
while their health answers are good.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from pistachiowinch.base.clock import now_s

__all__ = ["DEFAULT_ZONE_COST", "LoadReport", "TargetLoads", "ZoneCost"]

# Time over which reported waits are averaged: shorter than a swing of demand between zones, and
# long enough for several reports.
MEAN_TIME_S = 1.0
# Up to this age the mean wait is believed; it is then reduced to zero until REPORT_MAX_AGE_S.
REPORT_FRESH_S = 2.0
# A target without a younger report counts as unknown.
REPORT_MAX_AGE_S = 6.0
# Time over which a target's usual service time is averaged; longer than most disturbances.
USUAL_SERVICE_TIME_S = 60.0
# Time until a measured response or failure has lost two thirds of its weight.
MEASURE_TIME_S = 2.0
FAILURE_TIME_S = 8.0
# Weight of a new response or outcome. One failure after many successes stays below FAILING_SHARE,
# two among five requests exceed it.
RESPONSE_WEIGHT = 0.25
OUTCOME_WEIGHT = 0.125
# Shares of failures at which a target starts and ceases to count as failing.
FAILING_SHARE = 0.2
RECOVERED_SHARE = 0.08
# A measured response counts where it exceeds the reported one by half, and by the ways besides.
RESPONSE_TOLERANCE = 1.5
WAYS_ALLOWANCE_S = 0.005


class LoadReport(NamedTuple):
    """Load of a target as its pool host states it.

    :param slots: requests that the target runs at a time.
    :param running: requests that hold a slot.
    :param waiting: requests that wait for a slot.
    :param service_s: mean time for which a request holds a slot.
    """

    slots: int
    running: int
    waiting: int
    service_s: float

    @property
    def drain_s(self) -> float:
        """Time after which the queue that the report describes is gone."""
        return self.service_s * max(1.0, self.waiting / max(self.slots, 1))

    def wait_s(self, more: int = 0) -> float:
        """Return the wait of a request that arrives after the reported ones and some more."""
        ahead = self.running + self.waiting + more
        slots = max(self.slots, 1)
        return max(0, ahead - slots + 1) * self.service_s / slots


class ZoneCost(NamedTuple):
    """What operators are willing to pay for shorter waits.

    :param speed_weight: weight of a second of response time; 0 never leaves the zone.
    :param byte_weight_s: seconds of response time that must be gained for one request to cross
        zones, because the traffic is billed.
    """

    speed_weight: float = 1.0
    byte_weight_s: float = 0.004


DEFAULT_ZONE_COST = ZoneCost()


class _TargetState:
    __slots__ = (
        "failure_share",
        "in_flight",
        "is_failing",
        "mean_running",
        "mean_wait_s",
        "outcome_s",
        "report",
        "reported_s",
        "response_noted_s",
        "response_s",
        "since_report",
        "usual_service_s",
    )

    def __init__(self) -> None:
        self.report: LoadReport | None = None
        self.reported_s = -math.inf
        self.mean_wait_s = 0.0
        self.mean_running = 0.0
        self.usual_service_s = 0.0
        self.in_flight = 0
        self.since_report = 0
        self.response_s = 0.0
        self.response_noted_s = -math.inf
        self.failure_share = 0.0
        self.outcome_s = 0.0
        self.is_failing = False

    def update_means(self, report: LoadReport, elapsed_s: float) -> None:
        if elapsed_s > REPORT_MAX_AGE_S:
            self.mean_wait_s = self.mean_running = 0.0
        weight = -math.expm1(-min(elapsed_s, MEAN_TIME_S) / MEAN_TIME_S)
        self.mean_wait_s += weight * (report.wait_s() - self.mean_wait_s)
        self.mean_running += weight * (report.running - self.mean_running)
        if self.report is None:
            self.usual_service_s = report.service_s
        else:
            weight = -math.expm1(-min(elapsed_s, MEAN_TIME_S) / USUAL_SERVICE_TIME_S)
            self.usual_service_s += weight * (report.service_s - self.usual_service_s)

    def remove_request(self) -> None:
        self.in_flight = max(0, self.in_flight - 1)
        self.since_report = min(self.since_report, self.in_flight)

    def note_outcome(self, is_served: bool) -> None:
        share = self.aged_failure_share()
        self.failure_share = share + OUTCOME_WEIGHT * ((not is_served) - share)
        self.outcome_s = now_s()

    def aged_failure_share(self) -> float:
        if not self.failure_share:
            return 0.0
        return self.failure_share * math.exp((self.outcome_s - now_s()) / FAILURE_TIME_S)


class TargetLoads:
    """Loads of all targets, by name.

    Times are those of the running loop.
    """

    def __init__(self) -> None:
        """Create a record without targets."""
        self._states: dict[str, _TargetState] = {}

    def keep_only(self, known: Iterable[str]) -> None:
        """Drop the state of all targets except the known ones."""
        self._states = {name: self._states[name] for name in known if name in self._states}

    def note_report(self, target: str, report: LoadReport, age_s: float = 0.0) -> None:
        """Record a target's load on its arrival; a report older than the newest is ignored.

        :param report: includes the requests that this host has handed over, if it is not passed on.
        :param age_s: age of a report that another host passes on.
        """
        state = self._state(target)
        reported_s = now_s() - age_s
        if reported_s < state.reported_s:
            return
        state.update_means(report, reported_s - state.reported_s)
        state.report = report
        state.reported_s = reported_s
        if not age_s:
            state.since_report = 0

    def begin(self, target: str) -> None:
        """Record that a request is handed to the target."""
        state = self._state(target)
        state.in_flight += 1
        state.since_report += 1

    def end(self, target: str, is_served: bool, response_s: float | None = None) -> None:
        """Record the outcome of a request.

        :param is_served: False after a reset, a failure or no answer.
        :param response_s: time from the hand-over to the answer, with both ways; None if it is
            unknown.
        """
        state = self._state(target)
        state.remove_request()
        state.note_outcome(is_served)
        if response_s is None:
            return
        if now_s() - state.response_noted_s > MEASURE_TIME_S:
            state.response_s = response_s
        else:
            state.response_s += RESPONSE_WEIGHT * (response_s - state.response_s)
        state.response_noted_s = now_s()

    def cancel(self, target: str) -> None:
        """Record that a request was refused for lack of room, or not sent."""
        self._state(target).remove_request()

    def is_known(self, target: str) -> bool:
        """Whether there is a report that is not too old."""
        state = self._states.get(target)
        return state is not None and now_s() - state.reported_s <= REPORT_MAX_AGE_S

    def belief(self, target: str) -> float:
        """How far the newest report is believed: from 1 while it is fresh to 0."""
        state = self._states.get(target)
        if state is None:
            return 0.0
        remaining_s = state.reported_s + REPORT_MAX_AGE_S - now_s()
        return min(1.0, max(0.0, remaining_s / (REPORT_MAX_AGE_S - REPORT_FRESH_S)))

    def in_flight(self, target: str) -> int:
        """Requests of this host that the target has not answered yet."""
        state = self._states.get(target)
        return 0 if state is None else state.in_flight

    def has_waiting(self, target: str) -> bool:
        """Whether requests waited at the target according to its report."""
        state = self._states.get(target)
        return state is not None and state.report is not None and state.report.waiting > 0

    def mean_running(self, target: str) -> float:
        """Mean number of slots in use; 0 if it is unknown."""
        return self._states[target].mean_running if self.is_known(target) else 0.0

    def usual_service_s(self, target: str) -> float | None:
        """Service time over a longer period, or None if there was no report."""
        state = self._states.get(target)
        return None if state is None or state.report is None else state.usual_service_s

    def expected_wait_s(self, target: str) -> float:
        """Expected time until one more request has a slot.

        The reported queue gives way to the mean wait while it drains. A target that is unknown
        counts as idle.
        """
        state = self._states.get(target)
        if state is None or state.report is None:
            return 0.0
        report = state.report
        age_s = now_s() - state.reported_s
        if age_s > REPORT_MAX_AGE_S:
            idle = LoadReport(report.slots, 0, 0, state.usual_service_s)
            return idle.wait_s(state.in_flight)
        is_current = math.exp(-age_s / report.drain_s) if report.drain_s else 0.0
        belief = self.belief(target)
        own = max(0.0, state.since_report - max(0.0, report.slots - state.mean_running))
        usual_wait_s = belief * state.mean_wait_s + own * report.service_s / max(report.slots, 1)
        return is_current * report.wait_s(state.since_report) + (1 - is_current) * usual_wait_s

    def expected_response_s(self, target: str) -> float:
        """Expected wait and service of one more request.

        Responses that this host measured count as far as they clearly exceed the reported ones.
        The service time of a target without reports is not included.
        """
        state = self._states.get(target)
        if state is None:
            return 0.0
        reported_s = usual_s = 0.0
        if state.report is not None:
            is_known = now_s() - state.reported_s <= REPORT_MAX_AGE_S
            reported_s = state.report.service_s if is_known else state.usual_service_s
            usual_s = reported_s + state.mean_wait_s
        excess_s = state.response_s - RESPONSE_TOLERANCE * usual_s - WAYS_ALLOWANCE_S
        if excess_s > 0.0:
            excess_s *= math.exp((state.response_noted_s - now_s()) / MEASURE_TIME_S)
            reported_s += excess_s
        return reported_s + self.expected_wait_s(target)

    def failure_share(self, target: str) -> float:
        """Share of failures among recent requests; it falls with successes and with time."""
        state = self._states.get(target)
        return 0.0 if state is None else state.aged_failure_share()

    def is_failing(self, target: str) -> bool:
        """Whether the target fails so many requests that it should get only a few."""
        state = self._states.get(target)
        if state is None or not state.failure_share:
            return False
        threshold = RECOVERED_SHARE if state.is_failing else FAILING_SHARE
        state.is_failing = state.aged_failure_share() >= threshold
        return state.is_failing

    def _state(self, target: str) -> _TargetState:
        state = self._states.get(target)
        if state is None:
            state = self._states[target] = _TargetState()
        return state
