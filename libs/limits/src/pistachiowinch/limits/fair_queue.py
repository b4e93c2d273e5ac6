"""Bounded queue of waiting requests, in weighted fair order over customers."""

import asyncio
import bisect
import heapq
import itertools
import math
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from typing import NamedTuple, Protocol

__all__ = [
    "FairByDeadline",
    "FairLookAhead",
    "FairQueue",
    "Fifo",
    "PerTargetQueues",
    "QueuePolicy",
    "QueuedRequest",
    "SlotRequest",
]

MAX_WAITING_REQUESTS = 256
MAX_WAITING_REQUESTS_PER_CUSTOMER = 64
# Slot time of a request that is assumed until the first one has ended.
INITIAL_ESTIMATE_S = 0.005
# Weight of the newest duration in the moving average of slot times.
ESTIMATE_GAIN = 0.05
MIN_WEIGHT = 1e-6
# Customers whose virtual times are kept before those that gain nothing by them are forgotten.
MAX_KNOWN_CUSTOMERS = 1024


class QueuedRequest(Protocol):
    """What the order of a queue depends on."""

    @property
    def customer(self) -> str:
        """The customer that sent the request."""

    @property
    def weight(self) -> float:
        """The customer's weight."""

    @property
    def deadline_s(self) -> float:
        """Loop time by which the request is to be served."""


class SlotRequest(NamedTuple):
    """A request for a slot on some target.

    :param weight: the customer's weight.
    :param deadline_s: loop time after which the request is refused.
    :param may_use: tells whether a target can serve the request now.
    """

    customer: str
    weight: float
    deadline_s: float
    may_use: Callable[[str], bool]


@dataclass(frozen=True)
class FairLookAhead:
    """Start-time fair queueing over customers.

    :param look_ahead: number of requests, in fair order, that are tried on the free targets.
    """

    look_ahead: int = 8


@dataclass(frozen=True)
class FairByDeadline:
    """Start-time fair queueing over customers; the earliest deadline first within a customer.

    All requests use the same target. A customer that was idle starts at the virtual time of the
    request that was served last.
    """


@dataclass(frozen=True)
class Fifo:
    """Baseline: order of arrival; the first request blocks the others until it fits a target."""


@dataclass(frozen=True)
class PerTargetQueues:
    """Baseline: each request joins the shortest queue of a target that it may use."""


QueuePolicy = FairLookAhead | FairByDeadline | Fifo | PerTargetQueues


class QueueEntry:
    """A queued request."""

    __slots__ = ("assigned_target", "future", "number", "request")

    def __init__(self, request: QueuedRequest, future: asyncio.Future, number: int) -> None:
        """Combine a request with the future that its grant resolves."""
        self.request = request
        self.future = future
        self.number = number
        self.assigned_target: str | None = None

    @property
    def weight(self) -> float:
        """The customer's weight, at least :data:`MIN_WEIGHT`."""
        return max(self.request.weight, MIN_WEIGHT)


def _deadline_order(entry: QueueEntry) -> tuple[float, int]:
    return entry.request.deadline_s, entry.number


class FairQueue:
    """Waiting requests by customer, with each customer's virtual time.

    A customer's virtual time grows by the slot time of its requests divided by its weight. The
    customer with the least virtual time is served first.

    :param policy: order of service.
    """

    def __init__(self, policy: QueuePolicy) -> None:
        """Create an empty queue."""
        self._policy = policy
        self._entries_by_customer: dict[str, list[QueueEntry]] = {}
        # Includes requests that timed out or were cancelled, like the lists.
        self.request_count = 0
        self._next_number = 0
        self._virtual_now = 0.0
        self._forget_count = MAX_KNOWN_CUSTOMERS
        self.virtual_times: dict[str, float] = {}
        self.estimate_s = INITIAL_ESTIMATE_S

    def __len__(self) -> int:
        """Return the number of waiting requests, without those that timed out or were cancelled."""
        return sum(len(entries) for entries in self._live_entries())

    @property
    def is_empty(self) -> bool:
        """Whether the queue is empty; requests that timed out or were cancelled may still count."""
        return not self._entries_by_customer

    @property
    def customer_count(self) -> int:
        """Number of customers with waiting requests."""
        return len(self._entries_by_customer)

    def customers(self) -> list[tuple[str, list[QueueEntry]]]:
        """Return the customers with waiting requests, and these requests."""
        self._prune()
        return list(self._entries_by_customer.items())

    def add(
        self, request: SlotRequest, targets: Collection[str]
    ) -> tuple[QueueEntry, QueueEntry | None]:
        """Queue a request.

        :param request: the request.
        :param targets: targets of the service.
        :returns: its entry, and the entry that must be refused because the queue is full. The
            latter is removed already and may be the new entry.
        """
        self._prune()
        entry = self.insert(request)
        customer = request.customer
        self._assign(entry, targets)
        if self.is_customer_full(customer):
            return entry, self.remove_newest(customer)
        if len(self) > MAX_WAITING_REQUESTS:
            return entry, self.remove_newest(self.customer_most_over_share())
        return entry, None

    def insert(self, request: QueuedRequest) -> QueueEntry:
        """Queue a request without applying a bound."""
        future = asyncio.get_running_loop().create_future()
        entry = QueueEntry(request, future, self._next_number)
        self._next_number += 1
        customer = request.customer
        if customer not in self._entries_by_customer:
            self.activate(customer)
        entries = self._entries_by_customer.setdefault(customer, [])
        self.request_count += 1
        match self._policy:
            case FairByDeadline():
                bisect.insort(entries, entry, key=_deadline_order)
            case _:
                entries.append(entry)
        return entry

    def is_customer_full(self, customer: str) -> bool:
        """Tell whether more requests of a customer wait than the bound allows."""
        entries = self._entries_by_customer.get(customer, ())
        return len(entries) > MAX_WAITING_REQUESTS_PER_CUSTOMER

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry that timed out or was cancelled; an unknown one is ignored."""
        self.discard(entry)
        self._prune()

    def discard(self, entry: QueueEntry) -> bool:
        """Remove one entry without looking at the others.

        :returns: whether the entry was queued.
        """
        customer = entry.request.customer
        entries = self._entries_by_customer.get(customer, [])
        if entry not in entries:
            return False
        entries.remove(entry)
        self.request_count -= 1
        if not entries:
            del self._entries_by_customer[customer]
        return True

    def pop_first(self) -> QueueEntry | None:
        """Remove and return the first request in fair order, also one that was cancelled."""
        if not self._entries_by_customer:
            return None
        customer = min(self._entries_by_customer, key=self._start_order)
        entry = self._entries_by_customer[customer][0]
        self.discard(entry)
        return entry

    def begin(self, customer: str) -> None:
        """Note that a request of a customer starts now, at the customer's virtual time."""
        self._virtual_now = max(self._virtual_now, self.virtual_times.get(customer, 0.0))

    def virtual_lead(self, request: QueuedRequest) -> float:
        """Return by how much a new request would start after the newest one that was served.

        :returns: slot seconds of a customer of weight 1; zero for a customer below its share.
        """
        start = self._virtual_start(request, self._own_place(request))
        return max(start - self._virtual_now, 0.0)

    def customer_lead(self, customer: str) -> float:
        """Return by how much a customer's next request would start after the newest one."""
        return max(self.virtual_times.get(customer, 0.0) - self._virtual_now, 0.0)

    def count_before(self, request: QueuedRequest) -> int:
        """Return how many waiting requests would be served before a new one."""
        place = self._own_place(request)
        start = self._virtual_start(request, place)
        count = place
        for customer, entries in self._entries_by_customer.items():
            lead = start - self.virtual_times.get(customer, 0.0)
            if customer != request.customer and lead >= 0.0:
                passing = 1 + math.floor(lead * entries[0].weight / self.estimate_s)
                count += min(passing, len(entries))
        return count

    def fair_order(self) -> Iterator[tuple[float, QueueEntry]]:
        """Iterate over the waiting requests in fair order.

        :returns: for each request, by how much it starts after the newest one that was served, in
            slot seconds of a customer of weight 1, and its entry.
        """
        heap = [
            (self.virtual_times.get(customer, 0.0), entries[0].number, 0, customer)
            for customer, entries in self._entries_by_customer.items()
        ]
        heapq.heapify(heap)
        while heap:
            virtual_time, _, index, customer = heapq.heappop(heap)
            entries = self._entries_by_customer[customer]
            yield max(virtual_time - self._virtual_now, 0.0), entries[index]
            if index + 1 < len(entries):
                virtual_time += self.estimate_s / entries[index].weight
                next_item = (virtual_time, entries[index + 1].number, index + 1, customer)
                heapq.heappush(heap, next_item)

    def select(self, free: Collection[str]) -> tuple[QueueEntry, str] | None:
        """Remove and return the first request in order that a free target can serve.

        :param free: targets with a free permit, the preferred one first.
        """
        self._prune()
        for entry in self._candidates():
            for target in free:
                if self._fits(entry, target):
                    self.remove(entry)
                    return entry, target
        return None

    def usable_targets(
        self, entries: list[QueueEntry], targets: Collection[str]
    ) -> tuple[str, ...]:
        """Return the targets that at least one of a customer's first requests may use."""
        first = entries[: self._look_ahead_count()]
        return tuple(t for t in targets if any(self._fits(entry, t) for entry in first))

    def charge(self, customer: str, slot_s: float, weight: float) -> None:
        """Add slot time to a customer's virtual time."""
        virtual_time = self.virtual_times.get(customer, 0.0) + slot_s / max(weight, MIN_WEIGHT)
        self.virtual_times[customer] = virtual_time

    def record_duration(self, duration_s: float) -> None:
        """Update the estimate of a request's slot time."""
        self.estimate_s += ESTIMATE_GAIN * (duration_s - self.estimate_s)

    def _live_entries(self) -> Iterator[list[QueueEntry]]:
        self._prune()
        return iter(self._entries_by_customer.values())

    def _prune(self) -> None:
        for customer, entries in tuple(self._entries_by_customer.items()):
            if any(entry.future.done() for entry in entries):
                count = len(entries)
                entries[:] = [entry for entry in entries if not entry.future.done()]
                self.request_count -= count - len(entries)
            if not entries:
                del self._entries_by_customer[customer]

    def activate(self, customer: str) -> None:
        """Raise the virtual time of a customer without requests to that of the others."""
        # A customer must not gain priority by having been idle.
        known = self.virtual_times.get(customer, 0.0)
        match self._policy:
            case FairByDeadline():
                self.virtual_times[customer] = max(known, self._virtual_now)
                if len(self.virtual_times) > self._forget_count:
                    self._forget_idle()
            case _:
                active = [self.virtual_times.get(other, 0.0) for other in self._entries_by_customer]
                self.virtual_times[customer] = max(known, min(active)) if active else known

    def _forget_idle(self) -> None:
        """Forget the virtual times that the customers' next requests would not start at."""
        self.virtual_times = {
            customer: virtual_time
            for customer, virtual_time in self.virtual_times.items()
            if virtual_time > self._virtual_now or customer in self._entries_by_customer
        }
        self._forget_count = max(MAX_KNOWN_CUSTOMERS, 2 * len(self.virtual_times))

    def _own_place(self, request: QueuedRequest) -> int:
        entries = self._entries_by_customer.get(request.customer, [])
        return bisect.bisect_right(entries, request.deadline_s, key=lambda e: e.request.deadline_s)

    def _virtual_start(self, request: QueuedRequest, place: int) -> float:
        customer = request.customer
        virtual_time = self.virtual_times.get(customer, 0.0)
        if customer not in self._entries_by_customer:
            virtual_time = max(virtual_time, self._virtual_now)
        return virtual_time + place * self.estimate_s / max(request.weight, MIN_WEIGHT)

    def _start_order(self, customer: str) -> tuple[float, int]:
        number = self._entries_by_customer[customer][0].number
        return self.virtual_times.get(customer, 0.0), number

    def _assign(self, entry: QueueEntry, targets: Collection[str]) -> None:
        match self._policy:
            case PerTargetQueues():
                usable = [target for target in targets if entry.request.may_use(target)]
                entry.assigned_target = min(usable, key=self._assigned_count, default=None)
            case _:
                pass

    def _assigned_count(self, target: str) -> int:
        return sum(
            entry.assigned_target == target for entries in self._live_entries() for entry in entries
        )

    def _look_ahead_count(self) -> int:
        match self._policy:
            case FairLookAhead(look_ahead):
                return look_ahead
            case FairByDeadline() | Fifo():
                return 1
            case PerTargetQueues():
                return MAX_WAITING_REQUESTS_PER_CUSTOMER

    def _fits(self, entry: QueueEntry, target: str) -> bool:
        if entry.assigned_target is not None and entry.assigned_target != target:
            return False
        return entry.request.may_use(target)

    def _candidates(self) -> Iterator[QueueEntry]:
        arrived = sorted(
            (entry for entries in self._entries_by_customer.values() for entry in entries),
            key=lambda entry: entry.number,
        )
        match self._policy:
            case FairLookAhead(look_ahead):
                yield from (e for _, e in itertools.islice(self.fair_order(), look_ahead))
            case FairByDeadline():
                yield from (e for _, e in itertools.islice(self.fair_order(), 1))
            case Fifo():
                yield from arrived[:1]
            case PerTargetQueues():
                seen = set()
                for entry in arrived:
                    if entry.assigned_target not in seen:
                        seen.add(entry.assigned_target)
                        yield entry

    def customer_most_over_share(self) -> str:
        """Return the customer with the most waiting requests for its weight."""
        return max(
            self._entries_by_customer,
            key=lambda customer: len(self._entries_by_customer[customer])
            / self._entries_by_customer[customer][-1].weight,
        )

    def newest(self, customer: str) -> QueueEntry:
        """Return the newest request of a customer that has some."""
        return max(self._entries_by_customer[customer], key=lambda entry: entry.number)

    def remove_newest(self, customer: str) -> QueueEntry:
        """Remove and return the newest request of a customer."""
        entry = self.newest(customer)
        self.discard(entry)
        return entry
