"""Homes of rates: together exactly the whole rate, and few messages for each token."""

import asyncio

import pytest

from pistachiowinch.limits.bucket import RateLimit
from pistachiowinch.limits.rate_owners import MAX_EQUAL_SPLIT_HOSTS, OWNERS_PER_CUSTOMER, RateOwners
from pistachiowinch.limits.rates import RateEscrow
from pistachiowinch.standins.peer_network import PeerNetwork

SMALL = [f"host-{number}" for number in range(9)]
LARGE = [f"host-{number}" for number in range(59)]


def homes_of(host: str, hosts: list[str]) -> RateOwners:
    """Return the homes as one host knows them."""
    homes = RateOwners(host)
    homes.set_hosts(hosts)
    return homes


@pytest.mark.parametrize("hosts", [SMALL, LARGE[:MAX_EQUAL_SPLIT_HOSTS], LARGE])
def test_parts_of_all_hosts_are_the_whole_rate(hosts):
    """QUOTA: parts above the whole would let a customer have more than its rate."""
    for customer in ("carp", "pike", "eel"):
        parts = [homes_of(host, hosts).share_of(customer) for host in hosts]
        assert sum(parts) == pytest.approx(1.0)


def test_homes_are_spread_over_the_hosts():
    """Load of many customers: a host that is home to most of them would lend for the fleet."""
    homes = homes_of("host-0", LARGE)
    counts = dict.fromkeys(LARGE, 0)
    for number in range(720):
        for host in homes.owners_of(f"customer-{number}"):
            counts[host] += 1
    assert max(counts.values()) < 3 * 720 * OWNERS_PER_CUSTOMER / len(LARGE)


def test_a_lost_host_moves_only_its_own_parts():
    """Hosts lost one after the other must not make all customers start with empty buckets."""
    before, after = homes_of("host-0", LARGE), homes_of("host-0", LARGE[:-1])
    for number in range(200):
        kept = set(before.owners_of(f"customer-{number}")) - {LARGE[-1]}
        assert kept <= set(after.owners_of(f"customer-{number}"))


class Fleet:
    """Escrows of 59 hosts on one network."""

    def __init__(self, limit: RateLimit) -> None:
        """Connect all hosts."""
        self.network = PeerNetwork(1)
        self.escrows = {}
        self.links = {}
        self.tasks = []
        for host in LARGE:
            link = self.links[host] = self.network.link(host)
            escrow = RateEscrow(host, link, read_share=lambda: 1.0, owners=homes_of(host, LARGE))
            escrow.set_limits({"carp": limit})
            self.escrows[host] = escrow
            self.tasks.append(asyncio.ensure_future(escrow.run()))

    async def spend(self, requests: int, gap_s: float) -> int:
        """Send requests of one customer to the hosts in turn; returns how many got a token."""
        loop = asyncio.get_running_loop()
        waits = []
        for number in range(requests):
            escrow = self.escrows[LARGE[number % len(LARGE)]]
            waits.append(asyncio.ensure_future(escrow.acquire("carp", loop.time() + 0.1)))
            await asyncio.sleep(gap_s)
        results = await asyncio.gather(*waits)
        return sum(result.value_or("granted") is None for result in results)

    def messages(self) -> int:
        """Return how many messages all hosts have sent."""
        return sum(
            int(sample.value)
            for host in LARGE
            for metric in self.links[host].metrics.peer_messages.collect()
            for sample in metric.samples
            if sample.name.endswith("_total") and sample.labels["direction"] == "sent"
        )

    def close(self) -> None:
        """End all tasks."""
        for task in self.tasks:
            task.cancel()


@pytest.mark.looptime
async def test_requests_spread_over_a_large_fleet_get_what_the_rate_allows():
    """menghina-pool-grown: 59 hosts share 10 requests a second of a customer, few at each host."""
    fleet = Fleet(RateLimit(10.0, 10.0))
    await asyncio.sleep(3.0)
    assert await fleet.spend(118, 0.125) == 118
    fleet.close()


@pytest.mark.looptime
async def test_a_large_fleet_grants_no_more_than_the_rate():
    """QUOTA: 59 hosts with three homes must hold a customer at five times its rate to it."""
    fleet = Fleet(RateLimit(10.0, 10.0))
    await asyncio.sleep(3.0)
    granted = await fleet.spend(590, 0.02)
    duration_s = 590 * 0.02 + 0.1
    assert granted <= 10.0 + 10.0 * duration_s
    assert granted >= 0.8 * 10.0 * duration_s
    fleet.close()


@pytest.mark.looptime
async def test_a_token_for_a_host_without_a_part_takes_two_messages():
    """Load of many hosts: messages for tokens were the largest part of an operation's work."""
    fleet = Fleet(RateLimit(30.0, 30.0))
    await asyncio.sleep(3.0)
    away = [host for host, escrow in fleet.escrows.items() if not escrow._owners.share_of("carp")]
    before = fleet.messages()
    for host in away[:10]:
        result = await fleet.escrows[host].acquire("carp", asyncio.get_running_loop().time() + 0.1)
        assert result.value_or("refused") is None
        await asyncio.sleep(0.2)
    assert fleet.messages() - before <= 2 * 10
    fleet.close()
