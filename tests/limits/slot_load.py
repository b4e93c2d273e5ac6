"""Load of three kinds of requests on one target, and FIFO without refusals as baseline."""

import asyncio
import random
from typing import NamedTuple

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.limits.slot_queue import SlotDemand, SlotGrant, SlotRefusal

SLOTS = 4
CUSTOMERS = [f"c{number}" for number in range(81)]
# A few customers are large.
CUSTOMER_WEIGHTS = [8.0] * 4 + [1.0] * 77


class Kind(NamedTuple):
    priority: int
    work_s: float
    objective_s: float
    limit_s: float
    share: float


A = Kind(0, 0.006, 0.151, 1.0, 1.0)
B = Kind(2, 0.030, 1.0, 3.0, 1.0)
C = Kind(1, 0.018, 0.251, 1.0, 4.7)
KINDS = (A, B, C)
# Arrivals a second and share that keep all slots busy.
FULL_RATE = SLOTS / sum(kind.share * kind.work_s for kind in KINDS)


class FifoSlots:
    """Baseline: order of arrival; a request leaves when its caller gives up."""

    def __init__(self, slots):
        self.semaphore = asyncio.Semaphore(slots)

    async def acquire(self, demand):
        try:
            async with asyncio.timeout_at(demand.deadline_s):
                await self.semaphore.acquire()
        except TimeoutError:
            return SlotRefusal("deadline", 0.0)
        return SlotGrant(demand, None, 0.0, now_s())

    def release(self, grant):
        self.semaphore.release()


class Try(NamedTuple):
    """What became of a try; ``took_s`` counts from the caller's first one."""

    kind: Kind
    customer: str
    number: int
    waited_s: float
    took_s: float
    refusal: SlotRefusal | None


def demand(customer="c", kind=C, objective_s=None, limit_s=None, is_continuation=False):
    return SlotDemand(
        customer,
        kind.priority,
        now_s() + (kind.objective_s if objective_s is None else objective_s),
        now_s() + (kind.limit_s if limit_s is None else limit_s),
        is_continuation,
    )


class Load:
    """Sends requests to a queue; callers try up to ``max_tries`` times within their limit."""

    def __init__(self, queue, max_tries=1, seed=1):
        self.queue, self.random, self.max_tries = queue, random.Random(seed), max_tries
        self.tries, self.tasks = [], []

    async def request(self, kind, customer):
        wanted, started_s = demand(customer, kind), now_s()
        for number in range(self.max_tries):
            tried_s = now_s()
            grant = await self.queue.acquire(wanted)
            waited_s, refusal = now_s() - tried_s, None
            if isinstance(grant, SlotGrant):
                await sleep_s(self.random.uniform(0.5, 1.5) * kind.work_s)
                self.queue.release(grant)
            else:
                refusal = grant
            took_s = now_s() - started_s
            self.tries.append(Try(kind, customer, number, waited_s, took_s, refusal))
            if refusal is None or now_s() + refusal.retry_after_s >= wanted.deadline_s:
                return
            await sleep_s(refusal.retry_after_s)

    def start(self, kind, customer):
        self.tasks.append(asyncio.ensure_future(self.request(kind, customer)))

    async def send(self, duration_s, load, kinds=None, customers=None):
        """Send at a multiple of the slots' rate; more of the given kinds and customers."""
        end_s = now_s() + duration_s
        weights = [
            weight * (customers or {}).get(name, 1.0)
            for name, weight in zip(CUSTOMERS, CUSTOMER_WEIGHTS, strict=True)
        ]
        shares = [kind.share * (kinds or {}).get(kind, 1.0) for kind in KINDS]
        rate = load * FULL_RATE * sum(shares) * sum(weights) / sum(CUSTOMER_WEIGHTS)
        while now_s() < end_s:
            self.start(
                self.random.choices(KINDS, shares)[0], self.random.choices(CUSTOMERS, weights)[0]
            )
            await sleep_s(self.random.expovariate(rate))
        await asyncio.gather(*self.tasks)

    def refused(self, *kinds):
        return [t for t in self.tries if t.refusal and t.kind in (kinds or KINDS)]

    def in_time(self, *kinds):
        return sum(
            t.refusal is None and t.took_s <= t.kind.objective_s
            for t in self.tries
            if t.kind in (kinds or KINDS)
        )

    def sent(self, *kinds):
        return sum(t.number == 0 for t in self.tries if t.kind in (kinds or KINDS))
