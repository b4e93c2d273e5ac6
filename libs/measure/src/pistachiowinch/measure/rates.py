"""Measures false refusals and excess admissions of the rate limiter.

The baseline splits each rate equally and statically between the hosts. Unless a scenario is
overloaded, every request is within its customer's rate and burst over all hosts, so every refusal
is false. Run ``python -m pistachiowinch.measure.rates``.
"""

import asyncio
import math
import random
from collections.abc import Iterable
from typing import Annotated, NamedTuple

import typer
from returns.result import Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.limits.rates import Borrowing, EqualSplit, RateEscrow, RateLimit, RatePolicy
from pistachiowinch.measure.simulated_clock import run_with_simulated_clock
from pistachiowinch.standins.peer_network import NetworkFaults, PeerNetwork

__all__ = ["RateFigures", "RateScenario", "count_excess", "measure_rates"]

HOSTS = tuple(f"host-{number}" for number in range(1, 10))
LIMITS = {
    "customer-1": RateLimit(200.0, 40.0),
    "customer-2": RateLimit(100.0, 20.0),
    "customer-3": RateLimit(50.0, 20.0),
    "customer-4": RateLimit(20.0, 10.0),
    "customer-5": RateLimit(10.0, 10.0),
    "customer-6": RateLimit(5.0, 5.0),
    "customer-7": RateLimit(2.0, 2.0),
    "customer-8": RateLimit(1.0, 1.0),
}
# The buckets start empty; requests begin when all are full.
BUCKET_FILL_S = 3.0
# How long the load balancer routes a customer's requests to one host before it picks another.
STICKY_ROUTING_S = 5.0
# Delays after a host's crash and after a host's restart, from the design page.
SUSPECTED_AFTER_S = 1.0
REMOVAL_ACTIVE_AFTER_S = 2.5
JOIN_ACTIVE_AFTER_S = 1.5
FAILURE_INTERVAL_S = 20.0
RESTART_AFTER_S = 10.0


class RateScenario(NamedTuple):
    """Load and faults of one run.

    :param load: mean request rate relative to the customer's limit, without bursts.
    :param is_overloaded: customers send 5 times their rate; only ``excess`` is meaningful then.
    :param hosts_fail: a host crashes every 20 s and restarts 10 s later.
    :param burst_interval_s: time between requests that use a customer's whole burst at once.
    :param fault_rate: probability of loss, duplication, delay and reordering of a message, each.
    """

    policy: RatePolicy = Borrowing()
    load: float = 0.8
    is_overloaded: bool = False
    hosts_fail: bool = False
    burst_interval_s: float = 10.0
    fault_rate: float = 0.0
    duration_s: float = 120.0


class RateFigures(NamedTuple):
    """Results of one run.

    :param offered: requests sent, all within rate and burst unless overloaded.
    :param refused: refused requests.
    :param excess: admitted requests above rate and burst over all hosts.
    :param messages: messages sent by all hosts.
    :param encoded_bytes: bytes sent by all hosts.
    :param refused_by_customer: refused requests of each customer.
    """

    offered: int
    refused: int
    excess: int
    messages: int
    encoded_bytes: int
    refused_by_customer: dict[str, int]

    @property
    def refused_fraction(self) -> float:
        """Refused requests as a fraction of the offered ones."""
        return self.refused / max(self.offered, 1)


class _ReferenceBucket:
    """Central token bucket, the reference for all hosts together."""

    def __init__(self, limit: RateLimit, at_s: float) -> None:
        self._limit = limit
        self._level = limit.burst
        self._updated_s = at_s

    def take(self, at_s: float) -> bool:
        generated = (at_s - self._updated_s) * self._limit.rate_per_s
        self._level = min(self._level + generated, self._limit.burst)
        self._updated_s = at_s
        if self._level < 1.0 - 1e-6:
            return False
        self._level -= 1.0
        return True


def count_excess(times_s: Iterable[float], limit: RateLimit) -> int:
    """Count admitted requests above ``burst + rate * (t - s)`` in any window ``[s, t]``.

    :param times_s: loop times of admission.
    :param limit: rate and burst over all hosts.
    """
    reference = _ReferenceBucket(limit, 0.0)
    return sum(not reference.take(at_s) for at_s in sorted(times_s))


class _Run:
    def __init__(self, seed: int, scenario: RateScenario) -> None:
        self.scenario = scenario
        self.network = PeerNetwork(seed)
        fault_rate = scenario.fault_rate
        self.network.set_faults(NetworkFaults(fault_rate, fault_rate, fault_rate, fault_rate, 0.1))
        self.random = random.Random(seed)
        self.escrows: dict[str, RateEscrow] = {}
        self.host_tasks: dict[str, asyncio.Task] = {}
        self.admitted_s: dict[str, list[float]] = {customer: [] for customer in LIMITS}
        self.offered = 0
        self.refused = dict.fromkeys(LIMITS, 0)
        self.tasks: set[asyncio.Task] = set()

    def start_host(self, host: str, share: float) -> None:
        escrow = RateEscrow(host, self.network.link(host), policy=self.scenario.policy)
        escrow.set_limits(LIMITS)
        escrow.set_share(share)
        escrow.set_peers(HOSTS)
        self.escrows[host] = escrow
        self.host_tasks[host] = asyncio.ensure_future(escrow.run())

    def set_shares(self, hosts: Iterable[str], share: float) -> None:
        for host in hosts:
            if host in self.escrows:
                self.escrows[host].set_share(share)

    async def fail_hosts(self) -> None:
        while True:
            await sleep_s(FAILURE_INTERVAL_S - RESTART_AFTER_S)
            dead = self.random.choice(HOSTS)
            alive = [host for host in HOSTS if host != dead]
            self.network.detach(dead)
            self.escrows.pop(dead)
            self.host_tasks.pop(dead).cancel()
            await sleep_s(SUSPECTED_AFTER_S)
            for host in alive:
                self.escrows[host].set_peers(alive)
            await sleep_s(REMOVAL_ACTIVE_AFTER_S - SUSPECTED_AFTER_S)
            self.set_shares(alive, 1.0 / len(alive))
            await sleep_s(RESTART_AFTER_S - REMOVAL_ACTIVE_AFTER_S)
            self.start_host(dead, 0.0)
            for host in alive:
                self.escrows[host].set_peers(HOSTS)
            self.set_shares(alive, 1.0 / len(HOSTS))
            await sleep_s(JOIN_ACTIVE_AFTER_S)
            self.set_shares(HOSTS, 1.0 / len(HOSTS))

    async def generate_load(self, customer: str) -> None:
        limit = LIMITS[customer]
        rng = random.Random(f"{self.random.random()}/{customer}")
        mean_per_s = limit.rate_per_s * (5.0 if self.scenario.is_overloaded else self.scenario.load)
        reference = _ReferenceBucket(limit, now_s())
        host, sticky_until_s = HOSTS[0], 0.0
        burst_s = now_s() + rng.random() * self.scenario.burst_interval_s
        while True:
            await sleep_s(rng.expovariate(mean_per_s))
            if now_s() >= sticky_until_s or host not in self.escrows:
                host = rng.choice(sorted(self.escrows))
                sticky_until_s = now_s() + STICKY_ROUTING_S
            count = 1
            if now_s() >= burst_s:
                # Use the whole burst at once.
                count = math.ceil(limit.burst)
                burst_s = now_s() + self.scenario.burst_interval_s
            for _ in range(count):
                if self.scenario.is_overloaded or reference.take(now_s()):
                    self.start_request(host, customer)

    def start_request(self, host: str, customer: str) -> None:
        task = asyncio.ensure_future(self.request(self.escrows[host], host, customer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def request(self, escrow: RateEscrow, host: str, customer: str) -> None:
        result = await escrow.acquire(customer, now_s() + 1.0)
        if isinstance(result, Success):
            self.admitted_s[customer].append(now_s())
        elif self.escrows.get(host) is not escrow:
            # The host crashed while the request waited; the caller lost its connection.
            return
        else:
            self.refused[customer] += 1
        self.offered += 1

    async def run(self) -> RateFigures:
        for host in HOSTS:
            self.start_host(host, 1.0 / len(HOSTS))
        await sleep_s(BUCKET_FILL_S)
        background = [asyncio.ensure_future(self.generate_load(customer)) for customer in LIMITS]
        if self.scenario.hosts_fail:
            background.append(asyncio.ensure_future(self.fail_hosts()))
        await sleep_s(self.scenario.duration_s)
        for task in background:
            task.cancel()
        await sleep_s(1.0)
        for task in self.host_tasks.values():
            task.cancel()
        failed = await asyncio.gather(
            *background, *self.host_tasks.values(), return_exceptions=True
        )
        for outcome in failed:
            if not isinstance(outcome, asyncio.CancelledError):
                raise outcome
        return self.figures()

    def figures(self) -> RateFigures:
        excess = (count_excess(self.admitted_s[name], limit) for name, limit in LIMITS.items())
        return RateFigures(
            offered=self.offered,
            refused=sum(self.refused.values()),
            excess=sum(excess),
            messages=sum(self.network.messages_sent.values()),
            encoded_bytes=sum(self.network.bytes_sent.values()),
            refused_by_customer=self.refused,
        )


def measure_rates(seed: int, scenario: RateScenario | None = None) -> RateFigures:
    """Run one scenario on a simulated clock.

    :param seed: seed of arrivals, faults and failures.
    :param scenario: by default, no faults and the borrowing policy.
    """

    async def start() -> RateFigures:
        return await _Run(seed, scenario or RateScenario()).run()

    return run_with_simulated_clock(start)


def main(
    first_seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    last_seed: Annotated[int, typer.Option(help="Last seed.")] = 3,
    row: Annotated[str, typer.Option(help="Run only rows whose name contains this.")] = "",
    duration_s: Annotated[float, typer.Option(help="Simulated seconds of each run.")] = 120.0,
) -> None:
    """Print wrongful refusals and excess for the mechanism and the baseline."""
    rows = {
        "calm, uneven balancer": RateScenario(duration_s=duration_s),
        "calm, static split": RateScenario(EqualSplit(), duration_s=duration_s),
        "hosts fail": RateScenario(hosts_fail=True, duration_s=duration_s),
        "hosts fail, no whole bursts": RateScenario(
            hosts_fail=True, burst_interval_s=math.inf, duration_s=duration_s
        ),
        "hosts fail, static split": RateScenario(
            EqualSplit(), hosts_fail=True, duration_s=duration_s
        ),
        "5% loss, doubling, delay": RateScenario(fault_rate=0.05, duration_s=duration_s),
        "5 times the rate": RateScenario(is_overloaded=True, duration_s=duration_s / 10),
        "5 times, faults, hosts fail": RateScenario(
            is_overloaded=True, hosts_fail=True, fault_rate=0.05, duration_s=duration_s / 4
        ),
    }
    chosen = {name: scenario for name, scenario in rows.items() if row in name}
    for name, scenario in chosen.items():
        for seed in range(first_seed, last_seed + 1):
            figures = measure_rates(seed, scenario)
            typer.echo(
                f"{name:28} seed {seed}: offered {figures.offered}, refused {figures.refused} "
                f"({figures.refused_fraction:.5f}), excess {figures.excess}, "
                f"messages/request {figures.messages / max(figures.offered, 1):.2f}, "
                f"by customer {list(figures.refused_by_customer.values())}"
            )


if __name__ == "__main__":
    typer.run(main)
