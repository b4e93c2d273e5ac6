"""Reports the usage of each window, as the duty of one host at a time.

The host with the lock of this duty collects the counts of a window, records the report in the
store and then sends it. A report is recorded once, on the condition that its host still holds the
lock, and only what is recorded is sent. So every report of a window states the same counts, also
that of a successor, which reads the records after it has acquired the lock.

The lock is left to expire when its host stops, since two hosts must not report by turns within a
short time.

Load pattern: one report a window, while the platform is slow, down or refuses calls for a while. A
report is repeated until it is due, and each window has its own task, so that one that waits delays
no other.
"""

import asyncio
import enum
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import msgspec

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.fleet.promotion_lock import PromotionLock, try_acquire_lock
from pistachiowinch.fleet.records import (
    USAGE_REPORTS_PREFIX,
    UsageReportRecord,
    decode_record,
    encode_record,
    usage_report_key,
)
from pistachiowinch.fleet.usage_collection import UsageCollector
from pistachiowinch.links.store import (
    Compare,
    Delete,
    PollingStore,
    Put,
    StoreError,
    era_of,
)

__all__ = ["KEPT_WINDOWS", "ReportAnswer", "UsageDuty", "UsageLink", "UsageReporter", "UsageTerms"]

# The loop's clock decides which windows are due, at this resolution.
CHECK_INTERVAL_S = 0.1
# Time between attempts to acquire or renew the lock: three renewals in its lease of 3 s.
ATTEMPT_INTERVAL_S = 1.0
# Each candidate waits this much longer than the one ranked before it.
RANK_DELAY_S = 0.5
# Part of the time until a report is due. Requests that began in a window are usually answered by
# then, which shows whether they ran.
SETTLING_FRACTION = 0.1
# Part of that time after which hosts without an answer are given up. The rest is for the report
# itself, and for another host if this one dies.
COLLECTION_FRACTION = 0.4
# Least time for a collection that began late.
MIN_COLLECTION_S = 1.0
# Exponential backoff of calls to the platform and of writes to the store.
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.0
# Records in the store; the oldest is removed with each new one.
KEPT_WINDOWS = 60


class ReportAnswer(enum.Enum):
    """Answer to a report: whether it was accepted, refused for good, or may be repeated."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"


class UsageTerms(NamedTuple):
    """What the operator asks for.

    :param window_s: length of a window; window k begins ``k * window_s`` after the epoch.
    :param due_s: time from the end of a window until its report is due.
    """

    window_s: float
    due_s: float

    @property
    def kept_s(self) -> float:
        """Time for which a host keeps its counts."""
        return 2.0 * (self.window_s + self.due_s)


class UsageLink(Protocol):
    """Sends reports to the platform."""

    async def report_usage(
        self, window: int, counts: dict[str, int], holder: str, fencing_token: int
    ) -> ReportAnswer:
        """Send the report of one window.

        :param holder: host that holds the lock of this duty.
        :param fencing_token: the lock's token.
        """

    def close(self) -> None:
        """Close all connections."""


class UsageDuty(NamedTuple):
    """Which host reports.

    :param lock: the lock of this duty.
    :param is_candidate: returns whether this host may report.
    :param rank: returns this host's rank among the candidates; 0 is the first.
    :param is_held: returns whether any running host holds the lock, as far as this one knows.
    """

    lock: PromotionLock
    is_candidate: Callable[[], bool]
    rank: Callable[[], int]
    is_held: Callable[[], bool]


class UsageReporter:
    """Acquires the duty when nobody has it, and reports each window while this host has it.

    :param host: this host's name.
    :param terms: windows and their dates.
    :param duty: decides which host reports.
    :param collector: collects the counts.
    :param store: where reports are recorded.
    :param link: sends reports.
    :param metrics: counts windows by outcome.
    :param log: receives this part's decisions.
    """

    def __init__(
        self,
        host: str,
        terms: UsageTerms,
        duty: UsageDuty,
        collector: UsageCollector,
        store: PollingStore,
        link: UsageLink,
        metrics: Metrics,
        log: DecisionLog,
    ) -> None:
        """Create a reporter; :meth:`run` starts it."""
        self._host = host
        self._terms = terms
        self._duty = duty
        self._lock = duty.lock
        self._collector = collector
        self._store = store
        self._link = link
        self._metrics = metrics
        self._log = log
        self._unheld_since_s: float | None = None
        self._next_attempt_s = float("-inf")
        self._term = 0
        self._first_unknown = 0
        self._recorded: dict[int, bytes] = {}
        self._disputed: set[int] = set()
        self._outcomes: dict[int, str] = {}
        self._tasks: dict[int, asyncio.Task] = {}

    async def run(self) -> None:
        """Report until cancelled."""
        try:
            while True:
                await self._check()
                await sleep_s(CHECK_INTERVAL_S)
        finally:
            self._cancel_tasks()

    def close(self) -> None:
        """Close the connections to the platform."""
        self._link.close()

    async def _check(self) -> None:
        if not self._duty.is_candidate():
            # The lock is left to expire, and nothing is sent after that.
            self._unheld_since_s = None
            self._cancel_tasks()
            return
        if now_s() >= self._next_attempt_s and (self._lock.has_lease or self._is_due_to_acquire()):
            await self._acquire()
        if not self._is_ready():
            return
        for window in self._due_windows():
            if window not in self._tasks:
                task = asyncio.get_running_loop().create_task(self._run_window(window))
                self._tasks[window] = task

    def _is_due_to_acquire(self) -> bool:
        """Return whether nobody has had the duty for as long as this host's rank says."""
        if self._duty.is_held():
            self._unheld_since_s = None
            return False
        if self._unheld_since_s is None:
            self._unheld_since_s = now_s()
        return now_s() - self._unheld_since_s >= RANK_DELAY_S * self._duty.rank()

    async def _acquire(self) -> None:
        """Acquire or renew the lock, and read what earlier holders have recorded."""
        self._next_attempt_s = now_s() + ATTEMPT_INTERVAL_S
        if not await try_acquire_lock(self._lock, self._log):
            return
        if self._term != self._lock.fencing_token:
            self._cancel_tasks()
            try:
                await self._take_over()
            except StoreError as error:
                self._log.write("usage_records_unread", cause=str(error)[:80])

    def _is_ready(self) -> bool:
        """Return whether this host holds the lock and has read the records since."""
        return self._lock.is_held and self._term == self._lock.fencing_token

    async def _take_over(self) -> None:
        token = self._lock.fencing_token
        snapshot = await self._store.read_prefix(USAGE_REPORTS_PREFIX)
        if not await self._collector.agree():
            return
        era = era_of(snapshot.revision)
        of_this_era: list[int] = []
        for item in snapshot.items:
            record = decode_record(item, UsageReportRecord)
            if record is None:
                self._log.write("record_unreadable", key=item.key, revision=item.mod_revision)
                continue
            if record.era == era:
                of_this_era.append(record.window)
            known = self._recorded.setdefault(record.window, item.value)
            if known != item.value:
                # A restored store lost the report of this host, and another one was recorded.
                self._disputed.add(record.window)
        # A restored store may have lost reports that were sent. What this host does not remember of
        # the time before the first report of the era is left out.
        current = self._collector.window_at(now_s())
        self._first_unknown = min(of_this_era, default=current + 1) if era > 0 else 0
        answered = (ReportAnswer.ACCEPTED.value, ReportAnswer.REFUSED.value)
        self._outcomes = {
            w: outcome for w, outcome in self._outcomes.items() if outcome in answered
        }
        _drop_oldest(self._recorded)
        self._term = token
        self._log.write(
            "usage_duty_taken",
            fence=token,
            era=era,
            window=current,
            recorded=len(snapshot.items),
            first_unknown=self._first_unknown,
        )

    def _due_windows(self) -> list[int]:
        """Return the windows that have ended, and whose reports are still wanted."""
        last = self._collector.window_at(now_s() - SETTLING_FRACTION * self._terms.due_s) - 1
        first = self._collector.window_at(now_s() - self._terms.due_s - self._terms.window_s) + 1
        return [window for window in range(first, last + 1) if window not in self._outcomes]

    async def _run_window(self, window: int) -> None:
        outcome = "failed"
        try:
            outcome = await self._report(window)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self._log.write("usage_failed", window=window, cause=repr(error)[:120])
        self._metrics.usage_windows.labels(outcome).inc()
        self._outcomes[window] = outcome
        _drop_oldest(self._outcomes)
        self._tasks.pop(window, None)

    async def _report(self, window: int) -> str:
        """Report one window; return the outcome for the metrics."""
        if window in self._disputed:
            self._log.write("usage_disputed", window=window)
            return "disputed"
        due_s = self._collector.span_s(window)[1] + self._terms.due_s
        value = self._recorded.get(window)
        is_repeat = value is not None
        if value is None:
            if window < self._first_unknown:
                self._log.write("usage_left_out", window=window, first=self._first_unknown)
                return "left_out"
            value = await self._collect(window)
        if not await self._record(window, value, due_s):
            return "not_recorded"
        record = msgspec.json.decode(self._recorded[window], type=UsageReportRecord)
        outcome = await self._send(record, due_s)
        self._log.write(
            "usage_reported",
            window=window,
            fence=self._term,
            outcome=outcome,
            is_repeat=is_repeat,
            requests=sum(record.counts.values()),
            customers=len(record.counts),
            left_s=round(due_s - now_s(), 3),
        )
        return outcome

    async def _collect(self, window: int) -> bytes:
        end_s = self._collector.span_s(window)[1]
        given_up_s = end_s + COLLECTION_FRACTION * self._terms.due_s
        until_s = max(given_up_s, now_s() + MIN_COLLECTION_S)
        collected = await self._collector.collect(window, until_s)
        if collected.missing:
            self._log.write("usage_incomplete", window=window, missing=collected.missing[:20])
        era = era_of(self._lock.condition.mod_revision)
        return encode_record(UsageReportRecord(window, collected.counts, era))

    async def _record(self, window: int, value: bytes, due_s: float) -> bool:
        """Record a report unless one is recorded; return whether ``_recorded`` has the report.

        :param value: this host's report of the window.
        """
        if self._recorded.get(window) == value and self._lock_era() == _era_of_record(value):
            return True
        key = usage_report_key(window)
        delay_s = MIN_RETRY_DELAY_S
        while now_s() < due_s and self._term == self._lock.fencing_token:
            if not self._is_ready():
                await sleep_s(MIN_RETRY_DELAY_S)
                continue
            try:
                # The record of this window is removed with that of window + KEPT_WINDOWS.
                reply = await self._store.transact(
                    [
                        self._lock.condition,
                        Compare(key, 0),
                        Compare(usage_report_key(window + KEPT_WINDOWS), 0),
                    ],
                    [Put(key, value), Delete(usage_report_key(window - KEPT_WINDOWS))],
                )
                if reply.succeeded:
                    self._recorded[window] = value
                    return True
                found = await self._store.get(key)
                if found is None:
                    # A restored store accepts no condition on a lock of an earlier era, although
                    # it may know the lock and renew its lease.
                    self._log.write("usage_not_recorded", window=window, fence=self._term)
                    self._lock.give_up()
                    return False
                # An earlier attempt whose answer was lost, or an earlier holder, recorded it.
                if decode_record(found, UsageReportRecord) is None:
                    self._log.write("record_unreadable", key=key, revision=found.mod_revision)
                    return False
                self._recorded[window] = found.value
                return True
            except StoreError as error:
                self._log.write("usage_record_unanswered", window=window, cause=str(error)[:60])
            await sleep_s(delay_s)
            delay_s = min(2.0 * delay_s, MAX_RETRY_DELAY_S)
        return False

    def _lock_era(self) -> int:
        return era_of(self._lock.condition.mod_revision)

    async def _send(self, record: UsageReportRecord, due_s: float) -> str:
        """Send a recorded report until it is answered or due; return the outcome."""
        delay_s = MIN_RETRY_DELAY_S
        while now_s() < due_s:
            if self._is_ready():
                answer = await self._link.report_usage(
                    record.window, record.counts, self._host, self._term
                )
                if answer is not ReportAnswer.UNAVAILABLE:
                    return answer.value
            elif self._term != self._lock.fencing_token:
                return "duty_lost"
            await sleep_s(delay_s)
            delay_s = min(2.0 * delay_s, MAX_RETRY_DELAY_S)
        return "late"

    def _cancel_tasks(self) -> None:
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()


def _drop_oldest(windows: dict[int, Any]) -> None:
    """Bound what is remembered of past windows."""
    while len(windows) > 2 * KEPT_WINDOWS:
        del windows[next(iter(windows))]


def _era_of_record(value: bytes) -> int:
    return msgspec.json.decode(value, type=UsageReportRecord).era
