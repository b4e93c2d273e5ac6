"""Wrongful refusals and excess of customers' rates, against a static equal split.

Every offered request is within its customer's rate and burst summed over all hosts, so every
refusal is wrongful. Run ``python -m pistachiowinch.measure.rates``.
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
from pistachiowinch.measure.paused import run_paused
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
# Buckets start empty; requests begin when all are full.
FILL_S = 3.0
# The balancer sends all requests of a customer to one host for this long, then to another.
STICKY_S = 5.0
# Times between a host's death and what its peers do, from the design page.
SUSPECT_S = 1.0
ROSTER_ACTIVE_S = 2.5
JOIN_ACTIVE_S = 1.5
FAIL_EVERY_S = 20.0
RESTART_AFTER_S = 10.0


class RateScenario(NamedTuple):
    """What is run.

    :param load: mean offered requests as part of the rate, before bursts.
    :param is_overloaded: customers offer 5 times their rate, for the excess only.
    :param hosts_fail: a host dies each 20 s and restarts 10 s later.
    :param burst_every_s: each customer uses its whole burst at once about this often.
    :param loss: part of the messages that are lost; as many are doubled and delayed.
    """

    policy: RatePolicy = Borrowing()
    load: float = 0.8
    is_overloaded: bool = False
    hosts_fail: bool = False
    burst_every_s: float = 10.0
    loss: float = 0.0
    duration_s: float = 120.0


class RateFigures(NamedTuple):
    """Results of one run.

    :param offered: requests offered, all within rate and burst unless overloaded.
    :param refused: refused ones.
    :param excess: admitted requests above rate and burst over all hosts.
    :param messages: messages sent by all hosts.
    :param encoded_bytes: bytes sent by all hosts.
    :param refused_by_customer: refused ones of each customer.
    """

    offered: int
    refused: int
    excess: int
    messages: int
    encoded_bytes: int
    refused_by_customer: dict[str, int]

    @property
    def refused_fraction(self) -> float:
        """Refused requests as part of the offered ones."""
        return self.refused / max(self.offered, 1)


class _Reference:
    """Token bucket over all hosts."""

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
    reference = _Reference(limit, 0.0)
    return sum(not reference.take(at_s) for at_s in sorted(times_s))


class _Run:
    def __init__(self, seed: int, scenario: RateScenario) -> None:
        self.scenario = scenario
        self.network = PeerNetwork(seed)
        part = scenario.loss
        self.network.set_faults(NetworkFaults(part, part, part, part, 0.1))
        self.random = random.Random(seed)
        self.escrows: dict[str, RateEscrow] = {}
        self.runs: dict[str, asyncio.Task] = {}
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
        self.runs[host] = asyncio.ensure_future(escrow.run())

    def set_shares(self, hosts: Iterable[str], share: float) -> None:
        for host in hosts:
            if host in self.escrows:
                self.escrows[host].set_share(share)

    async def fail_hosts(self) -> None:
        while True:
            await sleep_s(FAIL_EVERY_S - RESTART_AFTER_S)
            dead = self.random.choice(HOSTS)
            living = [host for host in HOSTS if host != dead]
            self.network.detach(dead)
            self.escrows.pop(dead)
            self.runs.pop(dead).cancel()
            await sleep_s(SUSPECT_S)
            for host in living:
                self.escrows[host].set_peers(living)
            await sleep_s(ROSTER_ACTIVE_S - SUSPECT_S)
            self.set_shares(living, 1.0 / len(living))
            await sleep_s(RESTART_AFTER_S - ROSTER_ACTIVE_S)
            self.start_host(dead, 0.0)
            for host in living:
                self.escrows[host].set_peers(HOSTS)
            self.set_shares(living, 1.0 / len(HOSTS))
            await sleep_s(JOIN_ACTIVE_S)
            self.set_shares(HOSTS, 1.0 / len(HOSTS))

    async def offer(self, customer: str) -> None:
        limit = LIMITS[customer]
        chance = random.Random(f"{self.random.random()}/{customer}")
        mean_per_s = limit.rate_per_s * (5.0 if self.scenario.is_overloaded else self.scenario.load)
        reference = _Reference(limit, now_s())
        host, sticky_until_s = HOSTS[0], 0.0
        burst_s = now_s() + chance.random() * self.scenario.burst_every_s
        while True:
            await sleep_s(chance.expovariate(mean_per_s))
            if now_s() >= sticky_until_s or host not in self.escrows:
                host = chance.choice(sorted(self.escrows))
                sticky_until_s = now_s() + STICKY_S
            count = 1
            if now_s() >= burst_s:
                # A whole burst at once, as much as the limit allows.
                count = math.ceil(limit.burst)
                burst_s = now_s() + self.scenario.burst_every_s
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
            # The host died while the request waited; its caller sees a lost connection.
            return
        else:
            self.refused[customer] += 1
        self.offered += 1

    async def run(self) -> RateFigures:
        for host in HOSTS:
            self.start_host(host, 1.0 / len(HOSTS))
        await sleep_s(FILL_S)
        background = [asyncio.ensure_future(self.offer(customer)) for customer in LIMITS]
        if self.scenario.hosts_fail:
            background.append(asyncio.ensure_future(self.fail_hosts()))
        await sleep_s(self.scenario.duration_s)
        for task in background:
            task.cancel()
        await sleep_s(1.0)
        for task in self.runs.values():
            task.cancel()
        failed = await asyncio.gather(*background, *self.runs.values(), return_exceptions=True)
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
    """Run one scenario on a paused clock.

    :param seed: seed of arrivals, faults and failures.
    :param scenario: what to run; calm with borrowing by default.
    """

    async def start() -> RateFigures:
        return await _Run(seed, scenario or RateScenario()).run()

    return run_paused(start)


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
            hosts_fail=True, burst_every_s=math.inf, duration_s=duration_s
        ),
        "hosts fail, static split": RateScenario(
            EqualSplit(), hosts_fail=True, duration_s=duration_s
        ),
        "5% loss, doubling, delay": RateScenario(loss=0.05, duration_s=duration_s),
        "5 times the rate": RateScenario(is_overloaded=True, duration_s=duration_s / 10),
        "5 times, faults, hosts fail": RateScenario(
            is_overloaded=True, hosts_fail=True, loss=0.05, duration_s=duration_s / 4
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
