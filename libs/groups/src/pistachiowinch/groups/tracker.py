"""Polling of one service's targets, and the last known state of each."""

import asyncio
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from reactivex import Observable, Subject

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.logs import part_logger
from pistachiowinch.groups.staleness import PositionWatermarks
from pistachiowinch.links.targets import (
    GroupLink,
    TargetRole,
    TargetStatus,
    TargetUnreachable,
)

__all__ = [
    "FAILED_PROBES_TO_SUSPECT",
    "PROBE_INTERVAL_S",
    "PROBE_TIMEOUT_S",
    "GroupTracker",
    "Probe",
    "TrackedTarget",
]

PROBE_INTERVAL_S = 0.2
PROBE_TIMEOUT_S = 0.2
FAILED_PROBES_TO_SUSPECT = 3

# Callers that probe a target within this time share one request.
_REQUEST_SHARING_S = 0.001
# A target that does not answer gets fewer requests, because each stays open until its timeout.
_UNANSWERED_INTERVAL_S = 0.1
# Probes after lost connections come in bursts. About one failure is counted per probe interval,
# so that a brief outage of a target does not lead to its replacement.
_MIN_FAILURE_INTERVAL_S = 0.18

_log = part_logger("tracker")


class TrackedTarget(NamedTuple):
    """Last known state of a target.

    :param status: what it reported.
    :param as_of_s: loop time at which the status request was sent.
    :param staleness_bound_s: upper bound on the age of the oldest missing entry at ``as_of_s``;
        None if unknown.
    :param is_reachable: whether the last probe was answered.
    """

    status: TargetStatus
    as_of_s: float
    staleness_bound_s: float | None
    is_reachable: bool


class Probe(NamedTuple):
    """Result of one status request.

    :param status: None if the target did not answer in time.
    :param sent_s: loop time at which the request was sent.
    """

    status: TargetStatus | None
    sent_s: float


class _TargetState:
    """Last known state of one target and of its probes."""

    def __init__(self) -> None:
        self.status: TargetStatus | None = None
        self.as_of_s = 0.0
        self.received_s = 0.0
        self.failed_probes = 0
        self.last_failure_s = float("-inf")
        self.last_probe_s = float("-inf")
        self.in_flight = 0
        self.pending_probe: asyncio.Future[Probe] | None = None

    def update(self, status: TargetStatus, sent_s: float) -> None:
        current = self.status
        # Answers may arrive out of order. Of two overlapping requests, the one that was read later
        # shows the greater progress.
        is_newer = (
            current is None or sent_s >= self.received_s or _progress(status) >= _progress(current)
        )
        if is_newer:
            self.status = status
        self.as_of_s = max(self.as_of_s, sent_s)
        self.received_s = now_s()
        self.failed_probes = 0


def _progress(status: TargetStatus) -> tuple[int, int, int, int]:
    return (status.promised_term, status.stream_term, status.position, status.applied_position)


class GroupTracker:
    """Polls the targets of one service and derives its term and primary.

    :param service: name of the database group.
    :param targets: names of all targets of the group.
    :param link: status of the targets.
    """

    def __init__(self, service: str, targets: Sequence[str], link: GroupLink) -> None:
        """Start without any known state."""
        self._service = service
        self._link = link
        self._states = {target: _TargetState() for target in targets}
        self._watermarks = PositionWatermarks()
        self._term = 0
        self._primary: str | None = None
        self._announced: tuple[int, str | None] = (0, None)
        self._highest_known_term = 0
        self._revision = 0
        self._changes: Subject[GroupTracker] = Subject()
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    # Known state --------------------------------------------------------------------------------

    @property
    def service(self) -> str:
        """Name of the database group."""
        return self._service

    @property
    def targets(self) -> tuple[str, ...]:
        """All targets of the group."""
        return tuple(self._states)

    @property
    def majority(self) -> int:
        """Number of targets that is a majority of the group."""
        return len(self._states) // 2 + 1

    @property
    def term(self) -> int:
        """Newest term that has a primary or that a majority has promised."""
        return self._term

    @property
    def primary(self) -> str | None:
        """Primary of :attr:`term`; None during a promotion."""
        return self._primary

    @property
    def revision(self) -> int:
        """Number that grows with every change of the known state."""
        return self._revision

    @property
    def highest_known_term(self) -> int:
        """Greatest term that any target, peer or the store has reported."""
        return self._highest_known_term

    @property
    def changes(self) -> "Observable[GroupTracker]":
        """Emits this tracker after each new status or term."""
        return self._changes

    def tracked(self, target: str) -> TrackedTarget | None:
        """Return the last known state of a target.

        :param target: its name.
        """
        state = self._states.get(target)
        if state is None or state.status is None:
            return None
        bound_s = self._watermarks.bound_s(state.status, state.as_of_s)
        return TrackedTarget(state.status, state.as_of_s, bound_s, state.failed_probes == 0)

    def status(self, target: str) -> TargetStatus | None:
        """Return what a target reported last."""
        state = self._states.get(target)
        return None if state is None else state.status

    def is_reachable(self, target: str) -> bool:
        """Whether a target has answered and its last probe did not fail."""
        state = self._states.get(target)
        return state is not None and state.status is not None and state.failed_probes == 0

    def is_suspected(self, target: str) -> bool:
        """Whether so many probes of a target failed in a row that it counts as down."""
        state = self._states.get(target)
        return state is not None and state.failed_probes >= FAILED_PROBES_TO_SUSPECT

    @property
    def suspected(self) -> tuple[str, ...]:
        """Targets that this host suspects."""
        return tuple(target for target in self._states if self.is_suspected(target))

    def set_targets(self, targets: Iterable[str]) -> None:
        """Change the group's targets; the known state of remaining ones is kept."""
        self._states = {
            target: self._states.get(target) or _TargetState() for target in dict.fromkeys(targets)
        }
        self._derive_primary()

    def learn_primary(self, term: int, primary: str | None) -> None:
        """Record an announcement by a peer or the store.

        :param term: term of a promotion.
        :param primary: its primary; None or empty while the promotion is under way.
        """
        self._highest_known_term = max(self._highest_known_term, term)
        if primary and primary in self._states and term > self._announced[0]:
            self._announced = (term, primary)
        self._derive_primary()

    def learn_status(self, status: TargetStatus, sent_s: float) -> None:
        """Record a status that came with the answer to an order.

        :param status: the target's state.
        :param sent_s: loop time at which the order was sent.
        """
        state = self._states.get(status.target)
        if state is not None:
            state.update(status, sent_s)
            self._derive_primary()

    def _derive_primary(self) -> None:
        statuses = [state.status for state in self._states.values() if state.status is not None]
        term, primary = self._announced
        for status in statuses:
            self._highest_known_term = max(self._highest_known_term, status.promised_term)
            is_primary = (
                status.role is TargetRole.PRIMARY and status.promised_term == status.stream_term
            )
            if is_primary and status.stream_term >= term:
                term, primary = status.stream_term, status.target
        promised = sorted((status.promised_term for status in statuses), reverse=True)
        fenced_term = promised[self.majority - 1] if len(promised) >= self.majority else 0
        own = self.status(primary) if primary else None
        if fenced_term > term:
            term, primary = fenced_term, None
        elif own is not None and own.promised_term > term:
            primary = None
        if term >= self._term and (term, primary) != (self._term, self._primary):
            self._term, self._primary = term, primary
            _log.info(f"{self._service} term {self._term:#x} primary {self._primary}")
        self._highest_known_term = max(self._highest_known_term, self._term)
        self._notify()

    def _notify(self) -> None:
        self._revision += 1
        self._changed.set()
        self._changed = asyncio.Event()
        self._changes.on_next(self)

    async def wait_for_change(self, deadline_s: float) -> bool:
        """Wait for the next status or term.

        :param deadline_s: loop time.
        :returns: false if the deadline passed first.
        """
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    async def wait_for_primary(self, newer_than_term: int, deadline_s: float) -> bool:
        """Wait until the primary of a newer term is known.

        :param newer_than_term: term that is too old.
        :param deadline_s: loop time.
        :returns: false if the deadline passed first.
        """
        while self._primary is None or self._term <= newer_than_term:
            if not await self.wait_for_change(deadline_s):
                return False
        return True

    # Probes -------------------------------------------------------------------------------------

    def probe(self, target: str) -> "asyncio.Future[Probe]":
        """Ask a target for its status.

        Concurrent callers share one request. It is always sent at or after this call, never
        before, so that its answer reflects everything the caller has seen. The future must not be
        cancelled; use ``asyncio.wait``.

        :param target: its name.
        :returns: future of the result.
        """
        state = self._states[target]
        if state.pending_probe is None:
            state.pending_probe = asyncio.get_running_loop().create_future()
            self._spawn_probe(target, state)
        return state.pending_probe

    def _spawn_probe(self, target: str, state: _TargetState) -> None:
        is_unanswered = state.failed_probes > 0 or state.in_flight >= FAILED_PROBES_TO_SUSPECT
        interval_s = (
            _UNANSWERED_INTERVAL_S if is_unanswered and state.in_flight else _REQUEST_SHARING_S
        )
        delay_s = max(state.last_probe_s + interval_s - now_s(), 0.0)
        task = asyncio.get_running_loop().create_task(self._run_probe(target, state, delay_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_probe(self, target: str, state: _TargetState, delay_s: float) -> None:
        result = state.pending_probe
        assert result is not None
        sent_s = now_s()
        status: TargetStatus | None = None
        try:
            if delay_s > 0.0:
                await sleep_s(delay_s)
            state.pending_probe = None
            sent_s = state.last_probe_s = now_s()
            state.in_flight += 1
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    status = await self._link.status(target)
            finally:
                state.in_flight -= 1
            state.update(status, sent_s)
        except (TimeoutError, TargetUnreachable):
            self._record_failure(target, state, sent_s)
        finally:
            if not result.done():
                result.set_result(Probe(status, sent_s))
        if state is self._states.get(target):
            self._record_watermark()
            self._derive_primary()

    def _record_watermark(self) -> None:
        # The statuses were requested at different times; the oldest request sets the time of the
        # watermark.
        fresh = [
            state
            for state in self._states.values()
            if state.status is not None and state.as_of_s > now_s() - PROBE_TIMEOUT_S
        ]
        if len(fresh) < self.majority:
            return
        statuses = [state.status for state in fresh if state.status is not None]
        self._watermarks.record(statuses, self.majority, min(state.as_of_s for state in fresh))

    def _record_failure(self, target: str, state: _TargetState, sent_s: float) -> None:
        if sent_s < state.as_of_s or sent_s < state.last_failure_s + _MIN_FAILURE_INTERVAL_S:
            return
        state.last_failure_s = sent_s
        state.failed_probes += 1
        if state.failed_probes == FAILED_PROBES_TO_SUSPECT:
            _log.warning(f"{self._service}/{target} did not answer {state.failed_probes} probes")

    async def refresh(self, targets: Iterable[str]) -> None:
        """Ask targets for their status; returns when all have answered or timed out.

        :param targets: names; unknown ones are ignored.
        """
        probes = [self.probe(target) for target in targets if target in self._states]
        if probes:
            await asyncio.wait(probes)

    def report_lost_connection(self, target: str) -> None:
        """Probe a target now, for example because a statement's connection to it broke.

        :param target: its name.
        """
        if target in self._states:
            self.probe(target)

    async def run(self) -> None:
        """Probe all targets periodically until cancelled."""
        try:
            while True:
                for target in self.targets:
                    self.probe(target)
                await sleep_s(PROBE_INTERVAL_S)
        finally:
            for task in list(self._tasks):
                task.cancel()
