"""Decides which waiting request gets a target's next free slot, and which one is refused at once.

Load pattern: many hosts' requests compete for a few slots. Bursts, a customer at several times its
rate, or the return of all callers after an outage ask for more than the target completes in time.
"""

import asyncio
import heapq
import math
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from pistachiowinch.base.clock import now_s
from pistachiowinch.limits.fair_queue import (
    MAX_WAITING_REQUESTS,
    MIN_WEIGHT,
    QueueEntry,
)
from pistachiowinch.limits.slot_classes import ClassKey, PriorityClass
from pistachiowinch.limits.slot_estimates import SlotTime, expected_start_s

__all__ = ["SlotDemand", "SlotGrant", "SlotQueue", "SlotRefusal"]

OVERLOAD = "overload"
QUEUE_FULL = "queue_full"
TOO_LATE = "too_late"

# Slot time that is assumed before the first request has ended.
INITIAL_SERVICE_S = 0.02
# Part of the slot time that a lower priority gets while requests of higher priority wait.
FLOOR_SHARE = 0.05
# Time in which requests that came to stand behind others are judged again.
REVIEW_INTERVAL_S = 0.02
# Multiple of the expected wait after which a new request must still be answered in time.
ADMISSION_WAIT_SHARE = 1.25
# Part of the expected wait that counts against a request which waits already: estimates vary, and
# a late refusal costs its caller more than one on arrival.
REVIEW_WAIT_SHARE = 0.8
# Longest time for which a request that overruns its average is expected to go on. A paused host
# or a silent target must not keep callers away for long.
MAX_OVERRUN_S = 0.25
# Bounds of advice. Callers give up after 1 to 4 s in all.
MIN_RETRY_AFTER_S = 0.005
MAX_RETRY_AFTER_S = 3.0
# Advice is drawn between these multiples of the expected time.
SPREAD = (0.5, 1.5)
# Load above that takes all slots leaves at least this much for an estimate.
MIN_SLOTS = 0.001


class SlotDemand(NamedTuple):
    """A request for a slot of the target.

    :param priority: the route's priority; 0 is the highest.
    :param objective_s: loop time by which the answer should be there.
    :param deadline_s: loop time after which an answer is of no use.
    :param is_continuation: whether it is a statement of a transaction that is open at the target.
    :param weight: the customer's weight.
    """

    customer: str
    priority: int
    objective_s: float
    deadline_s: float
    is_continuation: bool
    weight: float = 1.0


class SlotRefusal(NamedTuple):
    """A request that got no slot and has not run.

    :param reason: label: "overload", "queue_full", "too_late" or "stopping".
    :param retry_after_s: time after which a new attempt is expected to be served.
    """

    reason: str
    retry_after_s: float


class SlotGrant:
    """A slot that is held until it is released.

    :param started_s: loop time at which it was granted.
    """

    __slots__ = ("charged_s", "demand", "kind", "started_s")

    def __init__(
        self, demand: SlotDemand, kind: PriorityClass, charged_s: float, started_s: float
    ) -> None:
        """Note who holds a slot, and which slot time its customer was charged in advance."""
        self.demand = demand
        self.kind = kind
        self.charged_s = charged_s
        self.started_s = started_s


class _Waiting(NamedTuple):
    """A queued demand.

    :param deadline_s: loop time by which its answer must be there.
    """

    customer: str
    weight: float
    deadline_s: float
    demand: SlotDemand
    kind: PriorityClass


class SlotQueue:
    """Slots of one target and the requests that wait for them.

    Statements of open transactions come first, then the route's priority, then customers in fair
    order, then the earliest deadline of a customer. A lower priority keeps a part of the slots.

    :param slots: number of requests that the target runs at a time.
    :param seed: seeds the spread of advice.
    :param on_refused: called with the reason of each refusal.
    """

    def __init__(
        self,
        slots: int,
        seed: int | None = None,
        on_refused: Callable[[str], None] | None = None,
    ) -> None:
        """Create an empty queue."""
        self._slots = 0
        self._random = random.Random(seed)
        self._on_refused = on_refused
        self._running: set[SlotGrant] = set()
        self._classes: list[PriorityClass] = []
        self._class_by_key: dict[ClassKey, PriorityClass] = {}
        self._slot_time = SlotTime(INITIAL_SERVICE_S)
        self._waiting = 0
        self._paused_until_s = -math.inf
        # Latest useful start of each waiting request; those that left are skipped when due.
        self._latest_starts: list[tuple[float, int, QueueEntry]] = []
        self._entry_numbers = 0
        self._review_due_s = math.inf
        self._timer: asyncio.TimerHandle | None = None
        self.set_slots(slots)

    @property
    def running(self) -> int:
        """Number of slots that are held."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self._waiting

    @property
    def service_s(self) -> float:
        """Moving average of the time for which a slot is held."""
        return self._slot_time.mean_s

    def set_slots(self, slots: int) -> None:
        """Set the number of slots; requests that run are not interrupted.

        :param slots: 0 to grant none.
        :raises ValueError: if negative.
        """
        if slots < 0:
            raise ValueError(f"slots: {slots} is negative")
        self._slots = slots
        if self._waiting:
            at_s = now_s()
            self._dispatch(at_s)
            self._request_review(at_s)

    async def acquire(self, demand: SlotDemand) -> SlotGrant | SlotRefusal:
        """Wait for a slot.

        :param demand: the request.
        :returns: a slot that must be released, or a refusal; the latter without any wait if it is
            certain at once.
        """
        at_s = now_s()
        kind = self._class_of(demand, at_s)
        if demand.deadline_s <= at_s:
            return self._refuse(demand, kind, TOO_LATE, at_s)
        if not self._waiting and self._has_free_slot(at_s):
            kind.queue.activate(demand.customer)
            return self._start(demand, kind, at_s)
        request = self._queued(demand, kind)
        if self._is_measured(kind) or not self._slots:
            wait_s = ADMISSION_WAIT_SHARE * self._wait_s(request, at_s)
            if at_s + wait_s + kind.service_s > request.deadline_s:
                return self._refuse(demand, kind, OVERLOAD, at_s)
        entry = self._enqueue(request, at_s)
        try:
            result = await entry.future
        except asyncio.CancelledError:
            self._abandon(entry)
            raise
        if isinstance(result, SlotGrant) and now_s() > demand.deadline_s:
            # The host was paused after the grant.
            self.release(result, is_sample=False)
            return self._refuse(demand, kind, TOO_LATE, now_s())
        return result

    def release(self, grant: SlotGrant, is_sample: bool = True) -> None:
        """Release a slot; a second release of the same grant is ignored.

        :param is_sample: whether the time since the grant tells how long requests hold a slot.
        """
        if grant not in self._running:
            return
        self._running.remove(grant)
        at_s = now_s()
        used_s = at_s - grant.started_s
        kind = grant.kind
        # The customer paid the average in advance.
        due_s = min(used_s, kind.slot_time.clip(used_s)) - grant.charged_s
        kind.queue.charge(grant.demand.customer, due_s, grant.demand.weight)
        if is_sample:
            self._slot_time.record(used_s)
            kind.slot_time.record(used_s)
            for other in self._classes:
                if other.slot_time is kind.slot_time:
                    other.queue.estimate_s = kind.service_s
        if self._waiting:
            self._dispatch(at_s)
            self._arm_timer()

    def pause(self, pause_s: float) -> None:
        """Grant no slot for a time, because the target said that it is full.

        :param pause_s: seconds from now; a pause that ends later already stays.
        """
        at_s = now_s()
        self._paused_until_s = max(self._paused_until_s, at_s + pause_s)
        if self._waiting:
            self._request_review(at_s)

    def refuse_all(self, reason: str) -> None:
        """Refuse all requests that wait now, for a planned stop.

        :param reason: label of the refusals.
        """
        at_s = now_s()
        for kind in self._classes:
            for _, entry in tuple(kind.queue.fair_order()):
                self._remove(entry, reason, at_s)

    def expected_wait_s(self, priority: int) -> float:
        """Return the time until a new request would get a slot.

        :param priority: the route's priority.
        :returns: seconds, for a customer within its share, one request of each other customer of
            the priority may be served before; infinite without slots.
        """
        at_s = now_s()
        if not self._waiting and self._has_free_slot(at_s):
            return 0.0
        kind = self._class_with(True, priority, False)
        before_s = kind.queue.customer_count * kind.service_s
        above_slots = self._above_slots(kind.key, at_s)
        above_s = self._above_s(kind.key)
        return self._start_s(kind, self._busy_s(at_s), above_s, before_s, above_slots)

    # Waiting requests

    def _class_of(self, demand: SlotDemand, at_s: float) -> PriorityClass:
        is_new = not demand.is_continuation
        kind = self._class_with(is_new, demand.priority, False)
        if is_new and at_s + kind.service_s > demand.objective_s:
            return self._class_with(is_new, demand.priority, True)
        return kind

    def _class_with(self, is_new: bool, priority: int, is_late: bool) -> PriorityClass:
        key = ClassKey(is_new, priority, is_late)
        kind = self._class_by_key.get(key)
        if kind is None:
            if is_late:
                slot_time = self._class_with(is_new, priority, False).slot_time
            else:
                slot_time = SlotTime(self._slot_time.mean_s)
            kind = self._class_by_key[key] = PriorityClass(key, slot_time)
            self._classes = [self._class_by_key[key] for key in sorted(self._class_by_key)]
        return kind

    def _queued(self, demand: SlotDemand, kind: PriorityClass) -> _Waiting:
        # A refusal would undo an open transaction.
        is_by_deadline = demand.is_continuation or kind.key.is_late
        due_s = demand.deadline_s if is_by_deadline else demand.objective_s
        weight = max(demand.weight, MIN_WEIGHT)
        return _Waiting(demand.customer, weight, due_s, demand, kind)

    def _enqueue(self, request: _Waiting, at_s: float) -> QueueEntry:
        kind = request.kind
        entry = kind.queue.insert(request)
        self._waiting += 1
        self._push_latest_start(entry, request.deadline_s - kind.service_s)
        if kind.queue.is_customer_full(request.customer):
            self._remove(kind.queue.newest(request.customer), QUEUE_FULL, at_s)
        if self._waiting > MAX_WAITING_REQUESTS:
            lowest = next(kind for kind in reversed(self._classes) if not kind.queue.is_empty)
            customer = lowest.queue.customer_most_over_share()
            self._remove(lowest.queue.newest(customer), QUEUE_FULL, at_s)
        self._dispatch(at_s)
        self._request_review(at_s)
        return entry

    def _abandon(self, entry: QueueEntry) -> None:
        """Remove a request whose caller left, or release the slot that it has just got."""
        if entry.future.cancelled() or not entry.future.done():
            self._discard(entry)
        elif isinstance(grant := entry.future.result(), SlotGrant):
            self.release(grant, is_sample=False)

    def _discard(self, entry: QueueEntry) -> None:
        if entry.request.kind.queue.discard(entry):
            self._waiting -= 1
        if not self._waiting:
            self._latest_starts.clear()
            self._review_due_s = math.inf

    def _remove(self, entry: QueueEntry, reason: str, at_s: float) -> None:
        self._discard(entry)
        if not entry.future.done():
            request = entry.request
            entry.future.set_result(self._refuse(request.demand, request.kind, reason, at_s))

    def _push_latest_start(self, entry: QueueEntry, latest_start_s: float) -> None:
        self._entry_numbers += 1
        heapq.heappush(self._latest_starts, (latest_start_s, self._entry_numbers, entry))

    def _give_up(self, entry: QueueEntry, at_s: float) -> None:
        is_too_late = at_s >= entry.request.demand.deadline_s
        self._remove(entry, TOO_LATE if is_too_late else OVERLOAD, at_s)

    # Order

    def _has_free_slot(self, at_s: float) -> bool:
        return len(self._running) < self._slots and at_s >= self._paused_until_s

    def _dispatch(self, at_s: float) -> None:
        while self._waiting and self._has_free_slot(at_s):
            kind = self._next_class()
            entry = kind.queue.pop_first()
            self._waiting -= 1
            if entry.future.done():
                continue
            if at_s > entry.request.deadline_s:
                self._give_up(entry, at_s)
            else:
                entry.future.set_result(self._start(entry.request.demand, kind, at_s))
        if not self._waiting:
            self._latest_starts.clear()
            self._review_due_s = math.inf

    def _next_class(self) -> PriorityClass:
        """Return the first class with waiting requests, or the last one that is due its floor."""
        waiting = [kind for kind in self._classes if not kind.queue.is_empty]
        # One class of each lower priority: late requests wait for those in time.
        lower = [
            kind
            for kind, before in zip(waiting[1:], waiting, strict=False)
            if kind.key[:2] != before.key[:2]
        ]
        for kind in reversed(lower):
            if kind.floor_credit_s >= kind.service_s:
                kind.floor_credit_s = 0.0
                return kind
        for kind in lower:
            kind.floor_credit_s += FLOOR_SHARE * waiting[0].service_s
        return waiting[0]

    def _start(self, demand: SlotDemand, kind: PriorityClass, at_s: float) -> SlotGrant:
        kind.queue.begin(demand.customer)
        kind.queue.charge(demand.customer, kind.service_s, demand.weight)
        kind.note_started(demand.customer, at_s)
        grant = SlotGrant(demand, kind, kind.service_s, at_s)
        self._running.add(grant)
        return grant

    # Expected times

    def _is_measured(self, kind: PriorityClass | None) -> bool:
        """Tell whether the slot time of the first class is known.

        Before that nothing says how many requests can be served in time; it is served next.

        :param kind: class of a new request.
        """
        for other in self._classes:
            if other is kind or not other.queue.is_empty:
                return other.slot_time.is_measured
        return True

    def _wait_s(self, request: _Waiting, at_s: float) -> float:
        """Return the time until a new request would get a slot."""
        kind = request.kind
        before_s = kind.queue.count_before(request) * kind.service_s
        virtual_lead = kind.queue.virtual_lead(request)
        passing_s = self._passing_s(kind, virtual_lead, before_s)
        above_s = self._above_s(kind.key)
        above_slots = self._above_slots(kind.key, at_s)
        busy_s = self._busy_s(at_s)
        wait_s = self._start_s(kind, busy_s, above_s, before_s + passing_s, above_slots)
        if passing_s > 0.0:
            passing_slots = above_slots + kind.passing_slots(request.customer, virtual_lead, at_s)
            wait_s = min(wait_s, self._start_s(kind, busy_s, above_s, before_s, passing_slots))
        return wait_s

    def _start_s(
        self,
        kind: PriorityClass,
        busy_s: Sequence[float],
        above_s: float,
        before_s: float,
        passing_slots: float,
    ) -> float:
        """Return the time until a request gets a slot.

        :param kind: its priority class.
        :param busy_s: time until each slot becomes free.
        :param above_s: slot time of the requests that wait in classes before its own.
        :param before_s: slot time of the requests of its class that are served before it.
        :param passing_slots: load of later requests that are also served before it.
        """
        start_s = expected_start_s(busy_s, above_s + before_s, passing_slots, MIN_SLOTS)
        if self._slots > 0 and self._has_floor(kind):
            floor_slots = FLOOR_SHARE * self._slots
            start_s = min(start_s, busy_s[0] + (before_s + kind.service_s) / floor_slots)
        return start_s

    def _has_floor(self, kind: PriorityClass) -> bool:
        """Tell whether no other class of the same priority comes before a class."""
        if not kind.key.is_late:
            return True
        in_time = self._class_by_key.get(kind.key._replace(is_late=False))
        return in_time is None or in_time.queue.is_empty

    def _passing_s(self, kind: PriorityClass, virtual_lead: float, before_s: float) -> float:
        """Return the most slot time that later requests of the same priority can take before."""
        return max(len(kind.customer_loads) * virtual_lead - before_s, 0.0)

    def _above_s(self, key: ClassKey) -> float:
        """Return the slot time of the requests that wait in the classes before one."""
        return sum(
            kind.queue.request_count * kind.service_s for kind in self._classes if kind.key < key
        )

    def _above_slots(self, key: ClassKey, at_s: float) -> float:
        """Return the load of the classes that are served before one."""
        return sum(kind.load.at(at_s) for kind in self._classes if kind.key < key)

    def _busy_s(self, at_s: float) -> list[float]:
        """Return the time until each slot becomes free, in ascending order."""
        paused_s = max(self._paused_until_s - at_s, 0.0)
        # A request that overruns its average is expected to go on as long again.
        busy_s = sorted(
            max(
                min(abs(grant.kind.service_s - (at_s - grant.started_s)), MAX_OVERRUN_S),
                paused_s,
            )
            for grant in self._running
        )
        surplus = len(busy_s) - self._slots
        if surplus >= 0:
            return busy_s[surplus:]
        return [paused_s] * -surplus + busy_s

    # Refusals

    def _refuse(
        self, demand: SlotDemand, kind: PriorityClass, reason: str, at_s: float
    ) -> SlotRefusal:
        if self._on_refused is not None:
            self._on_refused(reason)
        return SlotRefusal(reason, self._retry_after_s(demand, kind, at_s))

    def _retry_after_s(self, demand: SlotDemand, kind: PriorityClass, at_s: float) -> float:
        """Return the time after which the work before a new attempt will have been done."""
        request = self._queued(demand, kind)
        before_s = kind.queue.count_before(request) * kind.service_s
        # Load that may arrive meanwhile does not count: the advice must be short if a burst is.
        above_s = self._above_s(kind.key)
        backlog_s = self._start_s(kind, self._busy_s(at_s), above_s, before_s, 0.0)
        backlog_s = min(backlog_s, MAX_RETRY_AFTER_S)
        # Callers that were refused earlier return first, as far as this caller's time allows.
        booked_until_s = max(other.booked_s for other in self._classes if other.key <= kind.key)
        booked_s = max(booked_until_s - at_s, backlog_s)
        step_s = kind.service_s / max(self._slots, 1)
        kind.booked_s = at_s + min(booked_s + step_s, MAX_RETRY_AFTER_S)
        spare_s = (demand.deadline_s - at_s - kind.service_s) / SPREAD[1]
        advice_s = max(backlog_s, min(booked_s, spare_s)) * self._random.uniform(*SPREAD)
        return min(max(advice_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def _request_review(self, at_s: float) -> None:
        self._review_due_s = min(self._review_due_s, at_s + REVIEW_INTERVAL_S)
        self._arm_timer()

    def _review(self, at_s: float) -> None:
        """Refuse waiting requests that others have pushed too far back to be answered in time."""
        if not self._is_measured(None):
            self._request_review(at_s)
            return
        busy_s = self._busy_s(at_s)
        above_slots = 0.0
        above_s = 0.0
        for kind in self._classes:
            kind_s = 0.0
            for virtual_lead, entry in tuple(kind.queue.fair_order()):
                request = entry.request
                # Longest wait that leaves time for an answer.
                spare_s = (request.deadline_s - at_s - kind.service_s) / REVIEW_WAIT_SHARE
                passing_s = self._passing_s(kind, virtual_lead, kind_s)
                wait_s = self._start_s(kind, busy_s, above_s, kind_s + passing_s, above_slots)
                if wait_s > spare_s and passing_s > 0.0:
                    passing_slots = kind.passing_slots(request.customer, virtual_lead, at_s)
                    passing_slots += above_slots
                    wait_s = self._start_s(kind, busy_s, above_s, kind_s, passing_slots)
                if wait_s > spare_s:
                    self._remove(entry, OVERLOAD, at_s)
                else:
                    kind_s += kind.service_s
            above_s += kind_s
            above_slots += kind.load.at(at_s)

    # Timer

    def _arm_timer(self) -> None:
        """Set the timer to the next moment at which something is due."""
        if not self._waiting:
            return
        due_s = self._review_due_s
        if self._latest_starts:
            due_s = min(due_s, self._latest_starts[0][0])
        if self._has_free_slot(self._paused_until_s):
            due_s = min(due_s, self._paused_until_s)
        if due_s == math.inf:
            return
        if self._timer is not None:
            if self._timer.when() <= due_s:
                return
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(due_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        at_s = now_s()
        while self._latest_starts and self._latest_starts[0][0] <= at_s:
            _, _, entry = heapq.heappop(self._latest_starts)
            if entry.future.done():
                continue
            # Slot times may have become shorter since it was queued.
            latest_start_s = entry.request.deadline_s - entry.request.kind.service_s
            if latest_start_s > at_s:
                self._push_latest_start(entry, latest_start_s)
            else:
                self._give_up(entry, at_s)
        self._dispatch(at_s)
        if self._review_due_s <= at_s:
            self._review_due_s = math.inf
            self._review(at_s)
        self._arm_timer()
