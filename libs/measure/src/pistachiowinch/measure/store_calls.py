"""Measures calls to the store as a function of the number of sites, idle and under patches.

The sites run over one in-memory store on a simulated clock. Sites share nothing but the store, so
the slope over their number gives the load of a whole fleet.

Run ``python -m pistachiowinch.measure.store_calls``.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

import numpy

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.identity import NO_INCARNATION, HostIdentity
from pistachiowinch.configuration.patches import Patch, PatchOperation
from pistachiowinch.configuration.site import SiteReplica
from pistachiowinch.configuration.state import SiteState
from pistachiowinch.links.hosts import ListedHost
from pistachiowinch.measure.simulated_clock import run_with_simulated_clock
from pistachiowinch.peering.membership import Membership
from pistachiowinch.peering.messages import LocalState
from pistachiowinch.standins.memory_store import MemoryStore
from pistachiowinch.standins.peer_network import PeerNetwork

__all__ = ["CallRates", "StoreCallSlope", "fit_slope", "measure_store_calls"]

DEFAULT_SITE_COUNTS = (1, 2, 3, 4)
HOSTS_PER_SITE = 9
# Long enough for two refreshes of the longest-lived watch, so that the average includes them.
IDLE_S = 240.0
PATCHES_PER_SITE = 20
PATCH_INTERVAL_S = 2.0
SETTLE_S = 10.0
PLANNED_SITES = 311
PLANNED_PATCHES_PER_DAY = 38_000
SECONDS_PER_DAY = 86_400


class CallRates(NamedTuple):
    """Calls of all sites at one size.

    :param idle_calls: calls by kind while the sites were idle.
    :param idle_s: duration of the idle phase.
    :param patch_calls: calls by kind while patches were submitted.
    :param patches: number of accepted patches.
    """

    sites: int
    hosts: int
    idle_calls: Counter[str]
    idle_s: float
    patch_calls: Counter[str]
    patches: int

    @property
    def idle_calls_per_s(self) -> float:
        """Calls per second while idle."""
        return self.idle_calls.total() / self.idle_s

    @property
    def calls_per_patch(self) -> float:
        """Calls per patch; an upper bound, because it includes refreshes of watches."""
        return self.patch_calls.total() / self.patches


class StoreCallSlope(NamedTuple):
    """Line through the idle calls of the measured sizes, and the cost of a patch.

    :param idle_per_s_per_site: calls per second that each further site adds while idle.
    :param idle_offset_per_s: calls per second at 0 sites.
    :param calls_per_patch: mean calls per patch.
    """

    idle_per_s_per_site: float
    idle_offset_per_s: float
    calls_per_patch: float

    def calls_per_s(self, sites: int, patches_per_day: float) -> float:
        """Return the calls per second of a whole fleet."""
        idle_per_s = self.idle_offset_per_s + self.idle_per_s_per_site * sites
        return idle_per_s + self.calls_per_patch * patches_per_day / SECONDS_PER_DAY


class _StaticHostList:
    """Static host list of one site."""

    def __init__(self, names: Sequence[str]) -> None:
        self._listed = tuple(ListedHost(name, f"tcp://{name}:1", False) for name in names)

    async def hosts(self) -> tuple[ListedHost, ...]:
        return self._listed


class _Host:
    """Control plane of one host: membership, roster, configuration and standing."""

    def __init__(
        self,
        site: str,
        name: str,
        store: MemoryStore,
        network: PeerNetwork,
        listed: _StaticHostList,
    ) -> None:
        identity = HostIdentity(name, NO_INCARNATION, "z1", f"tcp://{name}:1")
        state = SiteState(site, identity)
        link = network.link(name)
        membership = Membership(identity, link, self._local_state, listed)
        rng = random.Random(f"{site}/{name}")
        self.replica = SiteReplica(state, store.client(), link, membership, rng)
        roster = self.replica.roster
        state.identities.subscribe(membership.set_identity)
        roster.changes.subscribe(lambda _: membership.set_members(roster.heartbeat_peers))
        self.tasks = [asyncio.create_task(part.run()) for part in (membership, self.replica)]

    def _local_state(self) -> LocalState:
        epoch, version, age_ms, pending = self.replica.local_versions
        return LocalState(epoch, version, age_ms, (), {}, pending)


class _Site:
    """The hosts of one site over the shared store."""

    def __init__(self, number: int, store: MemoryStore) -> None:
        network = PeerNetwork(number)
        names = [f"h{number}-{index}" for index in range(HOSTS_PER_SITE)]
        listed = _StaticHostList(names)
        self.hosts = [_Host(f"site{number}", name, store, network, listed) for name in names]
        self.accepted = 0

    @property
    def is_settled(self) -> bool:
        return all(
            host.replica.roster.active == host.replica.roster.current
            and len(host.replica.roster.current.members) == len(self.hosts)
            for host in self.hosts
        )

    async def submit(self, number: int) -> None:
        entry = {"rate_per_s": float(number), "burst": 1.0, "weight": 1.0, "services": []}
        operation = PatchOperation("set", ["customers", "m"], entry)
        host = self.hosts[number % len(self.hosts)]
        patch = Patch(f"p{number}", self.accepted, [operation])
        result = await host.replica.configuration.submit(patch)
        self.accepted = result.unwrap().version


async def _measure_size(site_count: int) -> CallRates:
    store = MemoryStore()
    sites = [_Site(number, store) for number in range(site_count)]
    while not all(site.is_settled for site in sites):
        await sleep_s(1.0)
    await sleep_s(SETTLE_S)
    before, started_s = Counter(store.calls), now_s()
    await sleep_s(IDLE_S)
    idle_calls, idle_s = store.calls - before, now_s() - started_s
    before = Counter(store.calls)
    for number in range(PATCHES_PER_SITE):
        await asyncio.gather(*(site.submit(number) for site in sites))
        await sleep_s(PATCH_INTERVAL_S)
    patch_calls = store.calls - before
    tasks = [task for site in sites for host in site.hosts for task in host.tasks]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    patches = sum(site.accepted for site in sites)
    hosts = site_count * HOSTS_PER_SITE
    return CallRates(site_count, hosts, idle_calls, idle_s, patch_calls, patches)


def measure_store_calls(site_counts: Sequence[int] = DEFAULT_SITE_COUNTS) -> list[CallRates]:
    """Measure each size on a simulated clock.

    :param site_counts: numbers of sites; a slope needs at least two different ones.
    """
    return [
        run_with_simulated_clock(lambda count=count: _measure_size(count)) for count in site_counts
    ]


def fit_slope(points: Sequence[CallRates]) -> StoreCallSlope:
    """Fit a line to the idle calls over the number of sites, and average the calls per patch."""
    slope, offset = numpy.polyfit(
        [point.sites for point in points], [point.idle_calls_per_s for point in points], 1
    )
    calls_per_patch = numpy.mean([point.calls_per_patch for point in points])
    return StoreCallSlope(float(slope), float(offset), float(calls_per_patch))


def _print_table() -> None:
    points = measure_store_calls()
    print("sites hosts  rest calls/s  calls/patch  kinds at rest; kinds with patches")
    for point in points:
        print(
            f"{point.sites:5} {point.hosts:5}  {point.idle_calls_per_s:12.4f}  "
            f"{point.calls_per_patch:11.3f}  {dict(point.idle_calls)}; {dict(point.patch_calls)}"
        )
    slope = fit_slope(points)
    total = slope.calls_per_s(PLANNED_SITES, PLANNED_PATCHES_PER_DAY)
    print(f"slope at rest: {slope.idle_per_s_per_site:.4f} calls/s per site")
    print(
        f"offset: {slope.idle_offset_per_s:.4f} calls/s; "
        f"{slope.calls_per_patch:.3f} calls per patch"
    )
    print(f"{PLANNED_SITES} sites, {PLANNED_PATCHES_PER_DAY} patches/day: {total:.2f} calls/s")


if __name__ == "__main__":
    _print_table()
