"""Random faults of the paths to the store and to the voters, checked against the operators' limit.

A host is in touch while its own path to the store has worked for the contact time; its paths to
other hosts are no condition. In touch it has each version in force in time, or does not serve.
"""

import asyncio
import os
import random

import pytest
from fleet.silent_store import READER, SilentFleet

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.entry.configuration_currency import ConfigurationCurrency
from pistachiowinch.fleet.copy_bounds import CopyBounds

pytestmark = pytest.mark.looptime

SEEDS = int(os.environ.get("SILENCE_SEEDS", "12"))
RUN_S = 90.0
CHECK_INTERVAL_S = 0.02
# Time to apply a configuration, and contact time, of a grown and of a small deployment.
GROWN = (5.0, 5.0)
SMALL = (3.0, 4.0)
# A host whose path to the store works all the while must serve nearly always.
MIN_CALM_SERVING = 0.99


class Run:
    """One run of random faults.

    :param votes: whether the host that is tested votes, as all hosts of a small fleet do.
    """

    def __init__(self, seed: int, votes: bool) -> None:
        """Start the fleet."""
        self.rng = random.Random(seed)
        self.apply_within_s, self.contact_s = SMALL if votes else GROWN
        bounds = CopyBounds(self.apply_within_s)
        self.fleet = SilentFleet(votes, bounds)
        self.reader = self.fleet.reader
        self.currency = ConfigurationCurrency(
            lambda: self.reader.followers["op/"].as_of_s,
            lambda: self.reader.relay.unanswered_s,
            bounds.age_limit_s,
            DecisionLog("test"),
        )
        self.confirmed: list[tuple[float, int]] = []
        self.served = 0
        self.checked = 0

    async def run(self, steps) -> None:
        """Cause faults and check the rule until the time is over."""
        await asyncio.sleep(2.0)
        tasks = [asyncio.ensure_future(work) for work in (self.configure(), *steps)]
        end_s = now_s() + RUN_S
        while now_s() < end_s:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)
        for task in tasks:
            task.cancel()
        self.fleet.close()

    async def configure(self) -> None:
        """Confirm a version at random times."""
        while True:
            self.fleet.configure()
            self.confirmed.append((now_s(), self.fleet.version))
            await asyncio.sleep(self.rng.uniform(0.1, 6.0))

    async def silence_stores(self, hosts) -> None:
        """Let the store fall silent for random ones of the hosts."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.1, 8.0))
            for_s = self.rng.choice((0.05, 1.0, 3.0, 12.0)) * self.rng.uniform(0.5, 1.5)
            for host in self.rng.sample(hosts, self.rng.randint(1, len(hosts))):
                host.store.silence(for_s)
            if self.rng.random() < 0.5:
                self.fleet.store.compact()

    async def cut_voters(self) -> None:
        """Cut the paths between the host and voters, in one direction or both."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.1, 8.0))
            for voter in self.rng.sample(self.fleet.voters, self.rng.randint(1, 3)):
                one, other = self.rng.sample([voter.name, READER], 2)
                self.fleet.network.cut(one, other, is_one_way=self.rng.random() < 0.5)
            await asyncio.sleep(self.rng.choice((0.3, 4.0, 12.0)))
            self.fleet.network.heal_all()

    def check(self) -> None:
        """Check what the host would do with a request that is sent now."""
        may_serve = self.currency.may_serve
        self.checked += 1
        self.served += may_serve
        is_in_touch = now_s() - self.reader.store.silent_until_s >= self.contact_s
        owed = [v for s, v in self.confirmed if now_s() - s > self.apply_within_s]
        if may_serve and is_in_touch and owed:
            age_s = round(self.currency.age_s, 2)
            assert self.reader.version >= max(owed), f"{now_s():.2f} s, evidence of {age_s} s"


@pytest.mark.parametrize("seed", range(SEEDS))
async def test_a_host_in_touch_has_each_version_in_time_or_does_not_serve(seed):
    """CONFIG: the limits of each step were kept, and their sum was twice the operators' limit."""
    run = Run(seed, votes=False)
    hosts = [*run.fleet.voters, run.reader]
    await run.run([run.silence_stores(hosts), run.cut_voters()])


@pytest.mark.parametrize("seed", range(SEEDS))
async def test_a_host_of_a_small_fleet_has_each_version_in_time_or_does_not_serve(seed):
    """CONFIG: a host that polls the store itself had no limit at all."""
    run = Run(seed, votes=True)
    await run.run([run.silence_stores([run.reader])])


@pytest.mark.parametrize("seed", range(SEEDS))
async def test_faults_of_others_do_not_stop_a_host_that_reaches_the_store(seed):
    """Worst seconds: a host that can read the store need not refuse because its voters cannot."""
    run = Run(seed, votes=False)
    await run.run([run.silence_stores(run.fleet.voters), run.cut_voters()])
    assert run.served >= MIN_CALM_SERVING * run.checked


@pytest.mark.parametrize("votes", [False, True])
@pytest.mark.parametrize("seed", range(SEEDS))
async def test_a_silent_store_alone_stops_no_host(seed, votes):
    """An outage of the store alone must not stop work: nothing can be confirmed meanwhile."""
    run = Run(seed, votes)
    await asyncio.sleep(run.rng.uniform(1.0, 8.0))
    for host in (*run.fleet.voters, run.reader):
        host.store.silence(2.0 * RUN_S)
    end_s = now_s() + 20.0
    while now_s() < end_s:
        assert run.currency.may_serve, f"{now_s():.2f} s"
        await asyncio.sleep(CHECK_INTERVAL_S)
    run.fleet.close()
