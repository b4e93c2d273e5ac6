"""Injects random faults, which may overlap, into a whole site."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from pistachiowinch.base.clock import sleep_s
from pistachiowinch.measure.site import MeasuredSite

__all__ = ["FAULTS", "FaultInjector"]

_MIN_INTERVAL_S = 0.5
_MAX_INTERVAL_S = 4.0
_MIN_FAULT_S = 0.3
_MAX_FAULT_S = 6.0


class FaultInjector:
    """Starts random faults until it is cancelled; each fault ends after its own duration.

    :param site: a started site; its random generator picks the faults.
    :param kinds: names from :data:`FAULTS`.
    """

    def __init__(self, site: MeasuredSite, kinds: tuple[str, ...]) -> None:
        """Create an injector without active faults."""
        self._site = site
        self._kinds = kinds
        self._active: set[asyncio.Task[None]] = set()
        self.counts: Counter[str] = Counter()

    async def run(self) -> None:
        """Start faults at random intervals until cancelled."""
        while True:
            await sleep_s(self._site.random.uniform(_MIN_INTERVAL_S, _MAX_INTERVAL_S))
            kind = self._site.random.choice(self._kinds)
            duration_s = self._site.random.uniform(_MIN_FAULT_S, _MAX_FAULT_S)
            self.counts[kind] += 1
            task = asyncio.get_running_loop().create_task(FAULTS[kind](self._site, duration_s))
            self._active.add(task)
            task.add_done_callback(self._active.discard)

    async def wait_for_faults(self) -> None:
        """Wait until every active fault has ended."""
        while self._active:
            await asyncio.wait(set(self._active))


def _pick_target(site: MeasuredSite) -> tuple[str, str]:
    service = site.random.choice(site.deployment.service_names)
    return service, site.random.choice(site.deployment.target_names(service))


def _pick_primary(site: MeasuredSite) -> tuple[str, str]:
    service = site.random.choice(site.deployment.service_names)
    return service, site.primary(service) or site.deployment.target_names(service)[0]


async def _crash_primary(site: MeasuredSite, duration_s: float) -> None:
    service, target = _pick_primary(site)
    group = site.groups[service]
    if not group.targets[target].is_up:
        return
    group.crash(target, is_silent=site.random.random() < 0.5)
    await sleep_s(duration_s)
    group.restart(target)


async def _isolate_primary(site: MeasuredSite, duration_s: float) -> None:
    service, target = _pick_primary(site)
    site.groups[service].isolate(target)
    await sleep_s(duration_s)
    site.groups[service].rejoin(target)


async def _cut_primary_from_some_hosts(site: MeasuredSite, duration_s: float) -> None:
    service, target = _pick_primary(site)
    hosts = sorted(site.hosts)
    cut = site.random.sample(hosts, site.random.randint(1, max(1, len(hosts) // 2)))
    site.groups[service].cut(target, cut)
    await sleep_s(duration_s)
    site.groups[service].heal(target, cut)


async def _cut_primary_from_replicas(site: MeasuredSite, duration_s: float) -> None:
    service, target = _pick_primary(site)
    others = [name for name in site.deployment.target_names(service) if name != target]
    site.groups[service].cut(target, others)
    await sleep_s(duration_s)
    site.groups[service].heal(target, others)


async def _lag_replica(site: MeasuredSite, duration_s: float) -> None:
    service, target = _pick_target(site)
    site.groups[service].set_lag(target, receive_s=0.2, apply_s=0.5)
    await sleep_s(duration_s)
    site.groups[service].set_lag(target)


async def _stall_replica(site: MeasuredSite, duration_s: float) -> None:
    service, target = _pick_target(site)
    site.groups[service].pause_replication(target)
    await sleep_s(duration_s)
    site.groups[service].resume_replication(target)


async def _silence_connections(site: MeasuredSite, duration_s: float) -> None:
    service, target = _pick_target(site)
    site.groups[service].silence(target)
    await sleep_s(duration_s)


async def _lose_commit_answer(site: MeasuredSite, duration_s: float) -> None:
    service, target = _pick_primary(site)
    site.groups[service].lose_result(target, "commit")
    await sleep_s(duration_s)


async def _crash_host(site: MeasuredSite, duration_s: float) -> None:
    if len(site.hosts) <= site.deployment.hosts // 2 + 2:
        return
    host = site.random.choice(sorted(site.hosts))
    await site.crash_host(host)
    await sleep_s(duration_s)
    await site.start_host(host)


async def _isolate_host(site: MeasuredSite, duration_s: float) -> None:
    host = site.random.choice(sorted(site.hosts))
    others = [other for other in site.deployment.host_names if other != host]
    for other in others:
        site.network.cut(host, other)
    await sleep_s(duration_s)
    for other in others:
        site.network.heal(host, other)


async def _stop_store(site: MeasuredSite, duration_s: float) -> None:
    for client in site.store_clients.values():
        client.faults.is_down = True
    await sleep_s(duration_s)
    for client in site.store_clients.values():
        client.faults.is_down = False


FAULTS: dict[str, Callable[[MeasuredSite, float], Awaitable[None]]] = {
    "crash_primary": _crash_primary,
    "isolate_primary": _isolate_primary,
    "cut_primary_from_some_hosts": _cut_primary_from_some_hosts,
    "cut_primary_from_replicas": _cut_primary_from_replicas,
    "lag_replica": _lag_replica,
    "stall_replica": _stall_replica,
    "silence_connections": _silence_connections,
    "lose_commit_answer": _lose_commit_answer,
    "crash_host": _crash_host,
    "isolate_host": _isolate_host,
    "stop_store": _stop_store,
}
