"""Waiting requests of one priority at one target, and what is measured of them."""

import bisect
import itertools
import math
from typing import NamedTuple

from pistachiowinch.limits.fair_queue import FairByDeadline, FairQueue
from pistachiowinch.limits.slot_estimates import DecayingLoad, SlotTime

__all__ = ["ClassKey", "PriorityClass"]

# Short, as bursts last for seconds.
LOAD_WINDOW_S = 0.25
# Longer, as most customers send only a few requests a second.
CUSTOMER_LOAD_WINDOW_S = 2.0
# Customers' loads that are kept before those that have faded are forgotten.
MAX_KNOWN_LOADS = 256
FADED_SLOTS = 0.001
# Time for which the sums of the customers' loads are used; less than most requests take.
SUMS_AGE_S = 0.005


class ClassKey(NamedTuple):
    """Order of the priority classes; the least one is served first.

    :param is_late: whether the latency objective can no longer be met; such a request must not make
        others late as well.
    """

    is_new: bool
    priority: int
    is_late: bool


class PriorityClass:
    """Waiting requests and measurements of one priority.

    :param slot_time: average slot time of the requests in time and the late ones.
    """

    __slots__ = (
        "_lead_and_load",
        "_leads",
        "_summed_s",
        "_sums",
        "booked_s",
        "customer_loads",
        "floor_credit_s",
        "key",
        "load",
        "queue",
        "slot_time",
    )

    def __init__(self, key: ClassKey, slot_time: SlotTime) -> None:
        self.key = key
        self.slot_time = slot_time
        self.queue = FairQueue(FairByDeadline())
        self.queue.estimate_s = slot_time.mean_s
        self.load = DecayingLoad(LOAD_WINDOW_S)
        self.customer_loads: dict[str, DecayingLoad] = {}
        self.floor_credit_s = 0.0
        # Loop time up to which callers that were refused are expected back.
        self.booked_s = 0.0
        self._summed_s = -math.inf
        self._lead_and_load: dict[str, tuple[float, float]] = {}
        self._leads: list[float] = []
        self._sums: list[float] = []

    @property
    def service_s(self) -> float:
        """Average slot time."""
        return self.slot_time.mean_s

    def note_started(self, customer: str, at_s: float) -> None:
        """Add a request that got a slot to the loads."""
        self.load.add(self.service_s, at_s)
        load = self.customer_loads.get(customer)
        if load is None:
            if len(self.customer_loads) >= MAX_KNOWN_LOADS:
                self.customer_loads = {
                    name: known
                    for name, known in self.customer_loads.items()
                    if known.at(at_s) > FADED_SLOTS
                }
            load = self.customer_loads[customer] = DecayingLoad(CUSTOMER_LOAD_WINDOW_S)
        load.add(self.service_s, at_s)

    def passing_slots(self, customer: str, virtual_lead: float, at_s: float) -> float:
        """Return the load of the other customers whose requests start before one.

        :param virtual_lead: by how much the request starts after the newest one that was served.
        """
        if at_s >= self._summed_s + SUMS_AGE_S:
            self._summed_s = at_s
            self._sum_loads(at_s)
        if not self._sums:
            return 0.0
        slots = self._sums[bisect.bisect_left(self._leads, virtual_lead)]
        own_lead, own_slots = self._lead_and_load.get(customer, (math.inf, 0.0))
        if own_lead < virtual_lead:
            slots -= own_slots
        # The customers' parts change slowly, the load of all of them at once.
        return self.load.at(at_s) * max(slots, 0.0) / self._sums[-1]

    def _sum_loads(self, at_s: float) -> None:
        """Sum the customers' loads in the order in which their next requests start."""
        lead_of = self.queue.customer_lead
        self._lead_and_load = {
            name: (lead_of(name), load.at(at_s)) for name, load in self.customer_loads.items()
        }
        ordered = sorted(self._lead_and_load.values())
        self._leads = [lead for lead, _ in ordered]
        sums = list(itertools.accumulate((slots for _, slots in ordered), initial=0.0))
        self._sums = sums if sums[-1] > 0.0 else []
