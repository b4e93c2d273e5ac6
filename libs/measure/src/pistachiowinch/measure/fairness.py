"""Measures fairness between customers while one of them sends 5 times its share of the load.

The figure is the slot time of the worst-served customer relative to its weighted max-min fair
share. Nine hosts share three targets of five slots. Run
``python -m pistachiowinch.measure.fairness``.
"""

import asyncio
import random
from collections.abc import Mapping
from typing import Annotated, NamedTuple

import typer
from returns.result import Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.limits.fair_queue import FairLookAhead, Fifo, PerTargetQueues, QueuePolicy
from pistachiowinch.limits.permits import PermitExchange
from pistachiowinch.limits.scheduler import ServiceScheduler, SlotRequest
from pistachiowinch.measure.simulated_clock import run_with_simulated_clock
from pistachiowinch.standins.peer_network import PeerNetwork

__all__ = ["FairnessFigures", "FairnessScenario", "max_min_shares", "measure_fairness"]

HOSTS = tuple(f"host-{number}" for number in range(1, 10))
TARGETS = {"target-1": 5, "target-2": 5, "target-3": 5}
PRIMARY = "target-1"
SERVICE = "service-1"
MEAN_STATEMENT_S = 0.010
DEADLINE_S = 0.5
WARM_UP_S = 2.0
# Share of each customer's requests that only the primary can serve.
WRITE_SHARE = 0.2


class FairnessScenario(NamedTuple):
    """Queue policy and load of one run.

    :param weights: weights by customer; the default is 1.
    :param load: load of all customers relative to the capacity, before one of them sends 5 times
        its share.
    """

    policy: QueuePolicy = FairLookAhead()
    customers: int = 8
    weights: Mapping[str, float] = {}
    load: float = 0.9
    duration_s: float = 20.0


class FairnessFigures(NamedTuple):
    """Results of one run.

    :param worst_ratio: slot time of the worst-served customer relative to its fair share.
    :param ratios: the same for each customer.
    :param utilisation: used slot time relative to the slot time that the targets have.
    :param refused: requests that got no slot.
    :param messages_per_s: mean number of messages that a host sends.
    """

    worst_ratio: float
    ratios: dict[str, float]
    utilisation: float
    refused: int
    messages_per_s: float


def max_min_shares(
    demands: Mapping[str, float], weights: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Divide a capacity by weighted max-min fairness.

    :param demands: demand of each customer.
    :param weights: weights by customer; the default is 1.
    :param capacity: total to divide, in the unit of the demands.
    """
    shares: dict[str, float] = {}
    unmet_demands = dict(demands)
    while unmet_demands:
        total = sum(weights.get(customer, 1.0) for customer in unmet_demands)
        level = capacity / total
        met = {
            customer: demand
            for customer, demand in unmet_demands.items()
            if demand <= level * weights.get(customer, 1.0)
        }
        if not met:
            rest = {name: level * weights.get(name, 1.0) for name in unmet_demands}
            return shares | rest
        for customer, demand in met.items():
            shares[customer] = demand
            capacity -= demand
            del unmet_demands[customer]
    return shares


class _Run:
    def __init__(self, seed: int, scenario: FairnessScenario) -> None:
        self.scenario = scenario
        self.network = PeerNetwork(seed)
        self.seed = seed
        self.customers = [f"customer-{number}" for number in range(1, scenario.customers + 1)]
        self.schedulers: list[ServiceScheduler] = []
        self.used_s = dict.fromkeys(self.customers, 0.0)
        self.demand_s = dict.fromkeys(self.customers, 0.0)
        self.refused = 0
        self.measured_from_s = 0.0
        self.tasks: set[asyncio.Task] = set()

    def start_hosts(self) -> list[asyncio.Task]:
        for host in HOSTS:
            exchange = PermitExchange(self.network.link(host))
            scheduler = ServiceScheduler(SERVICE, host, exchange, policy=self.scenario.policy)
            scheduler.set_members(HOSTS)
            scheduler.set_targets(TARGETS)
            self.schedulers.append(scheduler)
        return [asyncio.ensure_future(scheduler.run()) for scheduler in self.schedulers]

    async def generate_load(self, customer: str) -> None:
        rng = random.Random(f"{self.seed}/{customer}")
        capacity_per_s = sum(TARGETS.values()) / MEAN_STATEMENT_S
        rate_per_s = capacity_per_s * self.scenario.load / len(self.customers)
        if customer == self.customers[0]:
            rate_per_s *= 5.0
        while True:
            await sleep_s(rng.expovariate(rate_per_s))
            scheduler = rng.choice(self.schedulers)
            is_write = rng.random() < WRITE_SHARE
            # For each read, one replica lags too far behind its session.
            stale_target = rng.choice(tuple(TARGETS)[1:])
            duration_s = min(rng.expovariate(1.0 / MEAN_STATEMENT_S), 10.0 * MEAN_STATEMENT_S)
            may_use = _target_filter(is_write, stale_target)
            weight = self.scenario.weights.get(customer, 1.0)
            request = SlotRequest(customer, weight, now_s() + DEADLINE_S, may_use)
            task = asyncio.ensure_future(self.serve(scheduler, request, duration_s))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def serve(
        self, scheduler: ServiceScheduler, request: SlotRequest, duration_s: float
    ) -> None:
        is_measured = now_s() >= self.measured_from_s
        if is_measured:
            self.demand_s[request.customer] += duration_s
        result = await scheduler.acquire(request)
        if not isinstance(result, Success):
            self.refused += is_measured
            return
        await sleep_s(duration_s)
        scheduler.release(result.unwrap())
        if is_measured:
            self.used_s[request.customer] += duration_s

    async def run(self) -> FairnessFigures:
        runs = self.start_hosts()
        self.measured_from_s = now_s() + WARM_UP_S
        offers = [
            asyncio.ensure_future(self.generate_load(customer)) for customer in self.customers
        ]
        await sleep_s(WARM_UP_S)
        before = sum(self.network.messages_sent.values())
        await sleep_s(self.scenario.duration_s)
        messages = sum(self.network.messages_sent.values()) - before
        for task in offers:
            task.cancel()
        await sleep_s(DEADLINE_S + 1.0)
        for task in runs:
            task.cancel()
        outcomes = await asyncio.gather(*offers, *runs, return_exceptions=True)
        for outcome in outcomes:
            if not isinstance(outcome, asyncio.CancelledError):
                raise outcome
        return self.figures(messages)

    def figures(self, messages: int) -> FairnessFigures:
        capacity_s = sum(TARGETS.values()) * self.scenario.duration_s
        shares = max_min_shares(self.demand_s, self.scenario.weights, capacity_s)
        ratios = {name: self.used_s[name] / shares[name] for name in self.customers}
        return FairnessFigures(
            worst_ratio=min(ratios.values()),
            ratios=ratios,
            utilisation=sum(self.used_s.values()) / capacity_s,
            refused=self.refused,
            messages_per_s=messages / len(HOSTS) / self.scenario.duration_s,
        )


def _target_filter(is_write: bool, stale_target: str):
    if is_write:
        return lambda target: target == PRIMARY
    return lambda target: target != stale_target


def measure_fairness(seed: int, scenario: FairnessScenario | None = None) -> FairnessFigures:
    """Run one scenario on a simulated clock.

    :param seed: seed of arrivals and durations.
    :param scenario: by default, fair queues with look-ahead.
    """

    async def start() -> FairnessFigures:
        return await _Run(seed, scenario or FairnessScenario()).run()

    return run_with_simulated_clock(start)


def main(
    first_seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    last_seed: Annotated[int, typer.Option(help="Last seed.")] = 3,
    duration_s: Annotated[float, typer.Option(help="Simulated seconds of each run.")] = 20.0,
) -> None:
    """Print the worst-served customer for the mechanism and the baselines."""
    rows = {
        "fair, look-ahead 8": FairLookAhead(),
        "fair, look-ahead 1": FairLookAhead(1),
        "FIFO": Fifo(),
        "one queue per target": PerTargetQueues(),
    }
    for name, policy in rows.items():
        for seed in range(first_seed, last_seed + 1):
            scenario = FairnessScenario(policy, duration_s=duration_s)
            figures = measure_fairness(seed, scenario)
            ratios = " ".join(f"{part:.3f}" for part in figures.ratios.values())
            typer.echo(
                f"{name:22} seed {seed}: worst {figures.worst_ratio:.3f}, "
                f"utilisation {figures.utilisation:.3f}, refused {figures.refused}, "
                f"messages/s of a host {figures.messages_per_s:.0f}, parts {ratios}"
            )


if __name__ == "__main__":
    typer.run(main)
