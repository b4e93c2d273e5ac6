"""Bounded queue of one service's waiting requests, in weighted fair order over customers."""

import asyncio
import heapq
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["FairLookAhead", "FairQueue", "Fifo", "PerTargetQueues", "QueuePolicy", "SlotRequest"]

MAX_WAITING = 256
MAX_WAITING_PER_CUSTOMER = 64
# Assumed until the first request has ended.
FIRST_ESTIMATE_S = 0.005
# Weight of the newest duration in the estimate.
ESTIMATE_GAIN = 0.05
LEAST_WEIGHT = 1e-6


class SlotRequest(NamedTuple):
    """A request for a slot on some target.

    :param weight: the customer's weight.
    :param deadline_s: loop time after which the request is of no use.
    :param may_use: whether a target can serve the request now.
    """

    customer: str
    weight: float
    deadline_s: float
    may_use: Callable[[str], bool]


@dataclass(frozen=True)
class FairLookAhead:
    """Start-time fair order over customers, looking ahead for a request that fits a target."""

    look_ahead: int = 8


@dataclass(frozen=True)
class Fifo:
    """Baseline: order of arrival; a first request that fits no target blocks the others."""


@dataclass(frozen=True)
class PerTargetQueues:
    """Baseline: each request joins the shortest queue of a target that it may use."""


QueuePolicy = FairLookAhead | Fifo | PerTargetQueues


class Waiting:
    """A queued request."""

    __slots__ = ("assigned", "future", "number", "request")

    def __init__(self, request: SlotRequest, future: asyncio.Future, number: int) -> None:
        """Join a request and the future that its grant resolves."""
        self.request = request
        self.future = future
        self.number = number
        self.assigned: str | None = None

    @property
    def weight(self) -> float:
        """The customer's weight, never zero."""
        return max(self.request.weight, LEAST_WEIGHT)


class FairQueue:
    """Waiting requests by customer, with each customer's virtual time.

    A customer's virtual time grows by the slot time of its requests divided by its weight. The
    customer with the least is served first.

    :param policy: order of service.
    """

    def __init__(self, policy: QueuePolicy) -> None:
        """Create an empty queue."""
        self._policy = policy
        self._waiting: dict[str, list[Waiting]] = {}
        self._next_number = 0
        self.virtual: dict[str, float] = {}
        self.estimate_s = FIRST_ESTIMATE_S

    def __len__(self) -> int:
        """Return the number of waiting requests, without those that gave up."""
        return sum(len(entries) for entries in self._live())

    @property
    def is_empty(self) -> bool:
        """Whether nothing waits; requests that gave up may still count."""
        return not self._waiting

    def customers(self) -> list[tuple[str, list[Waiting]]]:
        """Customers with waiting requests."""
        self._prune()
        return list(self._waiting.items())

    def add(self, request: SlotRequest, targets: Collection[str]) -> tuple[Waiting, Waiting | None]:
        """Queue a request.

        :param request: the request.
        :param targets: targets of the service.
        :returns: its entry and the entry that must be refused because the queue is full, which
            is already removed and may be the new one.
        """
        self._prune()
        future = asyncio.get_running_loop().create_future()
        entry = Waiting(request, future, self._next_number)
        self._next_number += 1
        customer = request.customer
        if customer not in self._waiting:
            self.activate(customer)
        self._waiting.setdefault(customer, []).append(entry)
        self._assign(entry, targets)
        if len(self._waiting[customer]) > MAX_WAITING_PER_CUSTOMER:
            return entry, self._remove_newest(customer)
        if len(self) > MAX_WAITING:
            return entry, self._remove_newest(self._furthest_over())
        return entry, None

    def remove(self, entry: Waiting) -> None:
        """Remove an entry that gave up; unknown ones are ignored."""
        entries = self._waiting.get(entry.request.customer, [])
        if entry in entries:
            entries.remove(entry)
        self._prune()

    def select(self, free: Collection[str]) -> tuple[Waiting, str] | None:
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

    def usable_targets(self, entries: list[Waiting], targets: Collection[str]) -> tuple[str, ...]:
        """Targets that one of a customer's first requests may use."""
        first = entries[: self._depth()]
        return tuple(t for t in targets if any(self._fits(entry, t) for entry in first))

    def charge(self, customer: str, slot_s: float, weight: float) -> None:
        """Add slot time to a customer's virtual time."""
        virtual = self.virtual.get(customer, 0.0) + slot_s / max(weight, LEAST_WEIGHT)
        self.virtual[customer] = virtual

    def learn_duration(self, duration_s: float) -> None:
        """Improve the estimate of a request's slot time."""
        self.estimate_s += ESTIMATE_GAIN * (duration_s - self.estimate_s)

    def _live(self) -> Iterator[list[Waiting]]:
        self._prune()
        return iter(self._waiting.values())

    def _prune(self) -> None:
        for customer, entries in tuple(self._waiting.items()):
            if any(entry.future.done() for entry in entries):
                entries[:] = [entry for entry in entries if not entry.future.done()]
            if not entries:
                del self._waiting[customer]

    def activate(self, customer: str) -> None:
        """Bring the virtual time of a customer that had no request up to date."""
        # Time during which a customer asked for nothing gives it no advantage later.
        active = [self.virtual.get(other, 0.0) for other in self._waiting]
        known = self.virtual.get(customer, 0.0)
        self.virtual[customer] = max(known, min(active)) if active else known

    def _assign(self, entry: Waiting, targets: Collection[str]) -> None:
        match self._policy:
            case PerTargetQueues():
                usable = [target for target in targets if entry.request.may_use(target)]
                entry.assigned = min(usable, key=self._assigned_count, default=None)
            case _:
                pass

    def _assigned_count(self, target: str) -> int:
        return sum(entry.assigned == target for entries in self._live() for entry in entries)

    def _depth(self) -> int:
        match self._policy:
            case FairLookAhead(look_ahead):
                return look_ahead
            case Fifo():
                return 1
            case PerTargetQueues():
                return MAX_WAITING_PER_CUSTOMER

    def _fits(self, entry: Waiting, target: str) -> bool:
        if entry.assigned is not None and entry.assigned != target:
            return False
        return entry.request.may_use(target)

    def _candidates(self) -> Iterator[Waiting]:
        arrived = sorted(
            (entry for entries in self._waiting.values() for entry in entries),
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
                    if entry.assigned not in seen:
                        seen.add(entry.assigned)
                        yield entry

    def _fair_order(self, count: int) -> list[Waiting]:
        heap = [
            (self.virtual.get(customer, 0.0), entries[0].number, 0, customer)
            for customer, entries in self._waiting.items()
        ]
        heapq.heapify(heap)
        order: list[Waiting] = []
        while heap and len(order) < count:
            virtual, _, index, customer = heapq.heappop(heap)
            entries = self._waiting[customer]
            order.append(entries[index])
            if index + 1 < len(entries):
                virtual += self.estimate_s / entries[index].weight
                following = (virtual, entries[index + 1].number, index + 1, customer)
                heapq.heappush(heap, following)
        return order

    def _furthest_over(self) -> str:
        return max(
            self._waiting,
            key=lambda customer: len(self._waiting[customer]) / self._waiting[customer][-1].weight,
        )

    def _remove_newest(self, customer: str) -> Waiting:
        entry = self._waiting[customer].pop()
        self._prune()
        return entry
