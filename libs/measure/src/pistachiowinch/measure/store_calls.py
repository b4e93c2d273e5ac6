"""Calls to the store as a function of the fleet's size, at rest and with patches.

Sites of hosts run over one in-memory store on the paused clock. The slope over the number of
sites tells what a fleet costs, because sites share nothing but the store.

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
from pistachiowinch.measure.paused import run_paused
from pistachiowinch.peering.membership import Membership
from pistachiowinch.peering.messages import LocalState
from pistachiowinch.standins.memory_store import MemoryStore
from pistachiowinch.standins.peer_network import PeerNetwork

__all__ = ["CallRates", "StoreCallSlope", "fit_slope", "measure_store_calls"]

DEFAULT_SITES = (1, 2, 3, 4)
HOSTS_PER_SITE = 9
# Two refreshes of the longest-lived watch, so that their cost is part of the average.
REST_S = 240.0
PATCHES_PER_SITE = 20
PATCH_INTERVAL_S = 2.0
SETTLE_S = 10.0
GROWTH_SITES = 311
GROWTH_PATCHES_PER_DAY = 38_000
SECONDS_PER_DAY = 86_400


class CallRates(NamedTuple):
    """One measured size.

    :param rest: calls at rest by kind, for all sites together.
    :param rest_s: length of the rest, seconds.
    :param patched: calls by kind while patches were submitted.
    :param patches: number of accepted patches.
    """

    sites: int
    hosts: int
    rest: Counter[str]
    rest_s: float
    patched: Counter[str]
    patches: int

    @property
    def rest_per_s(self) -> float:
        """Calls a second at rest."""
        return self.rest.total() / self.rest_s

    @property
    def per_patch(self) -> float:
        """Calls for each patch; an upper bound, as refreshed watches are not taken off."""
        return self.patched.total() / self.patches


class StoreCallSlope(NamedTuple):
    """Straight lines through the measured sizes.

    :param rest_per_site_s: calls a second for each further site, at rest.
    :param rest_offset_per_s: calls a second of no site.
    :param per_patch: mean calls for each patch.
    """

    rest_per_site_s: float
    rest_offset_per_s: float
    per_patch: float

    def calls_per_s(self, sites: int, patches_per_day: float) -> float:
        """Return the calls a second of a whole fleet."""
        at_rest = self.rest_offset_per_s + self.rest_per_site_s * sites
        return at_rest + self.per_patch * patches_per_day / SECONDS_PER_DAY


class _SiteHosts:
    """The host list of one site."""

    def __init__(self, names: Sequence[str]) -> None:
        self._listed = tuple(ListedHost(name, f"tcp://{name}:1", False) for name in names)

    async def hosts(self) -> tuple[ListedHost, ...]:
        return self._listed


class _Host:
    """The control part of one host: membership, roster, configuration and standing."""

    def __init__(
        self, site: str, name: str, store: MemoryStore, network: PeerNetwork, listed: _SiteHosts
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
    """All hosts of one site over the shared store."""

    def __init__(self, number: int, store: MemoryStore) -> None:
        network = PeerNetwork(number)
        names = [f"h{number}-{index}" for index in range(HOSTS_PER_SITE)]
        listed = _SiteHosts(names)
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
    await sleep_s(REST_S)
    rest, rest_s = store.calls - before, now_s() - started_s
    before = Counter(store.calls)
    for number in range(PATCHES_PER_SITE):
        await asyncio.gather(*(site.submit(number) for site in sites))
        await sleep_s(PATCH_INTERVAL_S)
    patched = store.calls - before
    tasks = [task for site in sites for host in site.hosts for task in host.tasks]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    patches = sum(site.accepted for site in sites)
    hosts = site_count * HOSTS_PER_SITE
    return CallRates(site_count, hosts, rest, rest_s, patched, patches)


def measure_store_calls(site_counts: Sequence[int] = DEFAULT_SITES) -> list[CallRates]:
    """Run each size on the paused clock.

    :param site_counts: numbers of sites, at least two different ones for a slope.
    """
    return [run_paused(lambda count=count: _measure_size(count)) for count in site_counts]


def fit_slope(points: Sequence[CallRates]) -> StoreCallSlope:
    """Fit calls at rest over the number of sites, and average the calls for each patch."""
    slope, offset = numpy.polyfit(
        [point.sites for point in points], [point.rest_per_s for point in points], 1
    )
    per_patch = numpy.mean([point.per_patch for point in points])
    return StoreCallSlope(float(slope), float(offset), float(per_patch))


def _print_table() -> None:
    points = measure_store_calls()
    print("sites hosts  rest calls/s  calls/patch  kinds at rest; kinds with patches")
    for point in points:
        print(
            f"{point.sites:5} {point.hosts:5}  {point.rest_per_s:12.4f}  {point.per_patch:11.3f}"
            f"  {dict(point.rest)}; {dict(point.patched)}"
        )
    slope = fit_slope(points)
    total = slope.calls_per_s(GROWTH_SITES, GROWTH_PATCHES_PER_DAY)
    print(f"slope at rest: {slope.rest_per_site_s:.4f} calls/s per site")
    print(f"offset: {slope.rest_offset_per_s:.4f} calls/s; {slope.per_patch:.3f} calls per patch")
    print(f"{GROWTH_SITES} sites, {GROWTH_PATCHES_PER_DAY} patches/day: {total:.2f} calls/s")


if __name__ == "__main__":
    _print_table()
