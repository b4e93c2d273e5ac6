"""Bounded queue of one service's waiting requests, in weighted fair order over customers."""

import asyncio
import heapq
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["FairLookAhead", "FairQueue", "Fifo", "PerTargetQueues", "QueuePolicy", "SlotRequest"]

MAX_WAITING_REQUESTS = 256
MAX_WAITING_REQUESTS_PER_CUSTOMER = 64
# Slot time of a request that is assumed until the first one has ended.
INITIAL_ESTIMATE_S = 0.005
# Weight of the newest duration in the moving average of slot times.
ESTIMATE_GAIN = 0.05
MIN_WEIGHT = 1e-6


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
class Fifo:
    """Baseline: order of arrival; the first request blocks the others until it fits a target."""


@dataclass(frozen=True)
class PerTargetQueues:
    """Baseline: each request joins the shortest queue of a target that it may use."""


QueuePolicy = FairLookAhead | Fifo | PerTargetQueues


class QueueEntry:
    """A queued request."""

    __slots__ = ("assigned_target", "future", "number", "request")

    def __init__(self, request: SlotRequest, future: asyncio.Future, number: int) -> None:
        """Combine a request with the future that its grant resolves."""
        self.request = request
        self.future = future
        self.number = number
        self.assigned_target: str | None = None

    @property
    def weight(self) -> float:
        """The customer's weight, at least :data:`MIN_WEIGHT`."""
        return max(self.request.weight, MIN_WEIGHT)


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
        self._next_number = 0
        self.virtual_times: dict[str, float] = {}
        self.estimate_s = INITIAL_ESTIMATE_S

    def __len__(self) -> int:
        """Return the number of waiting requests, without those that timed out or were cancelled."""
        return sum(len(entries) for entries in self._live_entries())

    @property
    def is_empty(self) -> bool:
        """Whether the queue is empty; requests that timed out or were cancelled may still count."""
        return not self._entries_by_customer

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
        future = asyncio.get_running_loop().create_future()
        entry = QueueEntry(request, future, self._next_number)
        self._next_number += 1
        customer = request.customer
        if customer not in self._entries_by_customer:
            self.activate(customer)
        self._entries_by_customer.setdefault(customer, []).append(entry)
        self._assign(entry, targets)
        if len(self._entries_by_customer[customer]) > MAX_WAITING_REQUESTS_PER_CUSTOMER:
            return entry, self._remove_newest(customer)
        if len(self) > MAX_WAITING_REQUESTS:
            return entry, self._remove_newest(self._customer_most_over_share())
        return entry, None

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry that timed out or was cancelled; an unknown one is ignored."""
        entries = self._entries_by_customer.get(entry.request.customer, [])
        if entry in entries:
            entries.remove(entry)
        self._prune()

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
                entries[:] = [entry for entry in entries if not entry.future.done()]
            if not entries:
                del self._entries_by_customer[customer]

    def activate(self, customer: str) -> None:
        """Raise the virtual time of a customer without requests to the least of the others."""
        # A customer must not gain priority by having been idle.
        active = [self.virtual_times.get(other, 0.0) for other in self._entries_by_customer]
        known = self.virtual_times.get(customer, 0.0)
        self.virtual_times[customer] = max(known, min(active)) if active else known

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
            case Fifo():
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
                yield from self._fair_order(look_ahead)
            case Fifo():
                yield from arrived[:1]
            case PerTargetQueues():
                seen = set()
                for entry in arrived:
                    if entry.assigned_target not in seen:
                        seen.add(entry.assigned_target)
                        yield entry

    def _fair_order(self, count: int) -> list[QueueEntry]:
        heap = [
            (self.virtual_times.get(customer, 0.0), entries[0].number, 0, customer)
            for customer, entries in self._entries_by_customer.items()
        ]
        heapq.heapify(heap)
        order: list[QueueEntry] = []
        while heap and len(order) < count:
            virtual_time, _, index, customer = heapq.heappop(heap)
            entries = self._entries_by_customer[customer]
            order.append(entries[index])
            if index + 1 < len(entries):
                virtual_time += self.estimate_s / entries[index].weight
                next_item = (virtual_time, entries[index + 1].number, index + 1, customer)
                heapq.heappush(heap, next_item)
        return order

    def _customer_most_over_share(self) -> str:
        return max(
            self._entries_by_customer,
            key=lambda customer: len(self._entries_by_customer[customer])
            / self._entries_by_customer[customer][-1].weight,
        )

    def _remove_newest(self, customer: str) -> QueueEntry:
        entry = self._entries_by_customer[customer].pop()
        self._prune()
        return entry
