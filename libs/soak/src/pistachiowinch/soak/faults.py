"""Faults of a soak: their kinds, their random schedule and their injection."""

import asyncio
import random
import signal
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.soak.cluster import Cluster
from pistachiowinch.soak.network import Forwarder

__all__ = [
    "ConfigurationChange",
    "Fault",
    "Injector",
    "LinkFault",
    "ScheduledFault",
    "SignalFault",
    "StoreFault",
    "StoreRestoration",
    "TargetFault",
    "plan_faults",
    "plan_restorations",
]

# Faults last longer on average than the interval between them, so that they overlap.
MEAN_INTERVAL_S = 1.2
MAX_DURATION_S = 6.0
# How often a host with a faulty target link is recorded as disturbed.
DISTURBANCE_UPDATE_S = 0.1
# A busy store replies with HTTP 429 (too many requests).
STORE_BUSY_STATUS = 429
# About 50 times the usual response time.
SLOW_STORE_DELAY_S = 0.25
# Enough lost replies to writes to cover a registration and its retries.
LOST_REPLY_COUNT = 3
# A slow target's statements take this many times as long; a damaged target fails some of them.
SLOW_TARGET_FACTOR = 10.0
DAMAGED_TARGET_FAILURE_PROBABILITY = 0.5
# Delay of each chunk on a delayed link; half of a heartbeat interval.
CHUNK_DELAY_S = 0.1
# Restorations: a copy is some seconds old, and the store is away for a moment.
MEAN_RESTORATION_INTERVAL_S = 12.0
MAX_COPY_AGE_S = 9.0
MAX_RESTORATION_OUTAGE_S = 3.0
# Operators and targets write again what a restored store has lost.
MAX_REWRITE_DELAY_S = 1.5
# Probability that a signal or store fault affects all hosts at once.
ALL_HOSTS_PROBABILITY = 0.1


@dataclass(frozen=True)
class SignalFault:
    """Send a signal to hosts; hosts stopped by SIGSTOP continue after ``duration_s``."""

    hosts: tuple[int, ...]
    signal_number: signal.Signals
    duration_s: float


@dataclass(frozen=True)
class StoreFault:
    """Make the store fail for some hosts in the way that ``mode`` names."""

    hosts: tuple[int, ...]
    mode: str
    duration_s: float


@dataclass(frozen=True)
class LinkFault:
    """Disturb connections of a host to other hosts or to targets.

    :param numbers: hosts or targets at the other end; all of them if empty.
    """

    host: int
    is_to_targets: bool
    numbers: tuple[int, ...]
    mode: str
    duration_s: float


@dataclass(frozen=True)
class TargetFault:
    """Crash a target, slow it down, make it fail statements or stop its replication."""

    target: int
    mode: str
    duration_s: float


@dataclass(frozen=True)
class StoreRestoration:
    """Copy the store, and bring it back from the copy after an outage.

    :param copy_age_s: time from the copy to the outage.
    """

    copy_age_s: float
    outage_s: float


@dataclass(frozen=True)
class ConfigurationChange:
    """Publish a new configuration version."""


Fault = SignalFault | StoreFault | LinkFault | TargetFault | ConfigurationChange | StoreRestoration

_SIGNALS = (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP, signal.SIGHUP)
_STORE_MODES = ("busy", "silent", "slow", "down", "lost_replies", "forgets")
_LINK_MODES = ("cut_there", "cut_back", "cut", "delayed", "reset", "silent")
_TARGET_MODES = ("crash", "slow", "damaged", "lagging")


class ScheduledFault(NamedTuple):
    """A fault and its start, in seconds after the injector starts."""

    at_s: float
    fault: Fault


def plan_faults(
    generator: random.Random, hosts: int, targets: int, length_s: float
) -> Iterator[ScheduledFault]:
    """Choose the faults of a run; the same seed gives the same faults.

    :param length_s: time at which all faults have ended.
    """
    at_s = generator.expovariate(1.0 / MEAN_INTERVAL_S)
    while at_s < length_s:
        duration_s = min(generator.uniform(0.2, MAX_DURATION_S), length_s - at_s)
        yield ScheduledFault(at_s, _choose_fault(generator, hosts, targets, duration_s))
        at_s += generator.expovariate(1.0 / MEAN_INTERVAL_S)


def plan_restorations(generator: random.Random, length_s: float) -> Iterator[ScheduledFault]:
    """Choose the restorations of the store, which follow one another.

    They have their own generator, so that they do not change the other faults of a seed.

    :param length_s: time at which the last one has ended.
    """
    at_s = generator.uniform(0.0, MEAN_RESTORATION_INTERVAL_S / 2.0)
    while True:
        fault = StoreRestoration(
            generator.uniform(0.5, MAX_COPY_AGE_S),
            generator.uniform(0.2, MAX_RESTORATION_OUTAGE_S),
        )
        ends_s = at_s + fault.copy_age_s + fault.outage_s
        if ends_s > length_s:
            return
        yield ScheduledFault(at_s, fault)
        at_s = ends_s + generator.expovariate(1.0 / MEAN_RESTORATION_INTERVAL_S)


def _choose_fault(generator: random.Random, hosts: int, targets: int, duration_s: float) -> Fault:
    kind = generator.choices(
        (SignalFault, StoreFault, LinkFault, TargetFault, ConfigurationChange)
    )[0]
    if kind is SignalFault:
        return SignalFault(_choose_hosts(generator, hosts), generator.choice(_SIGNALS), duration_s)
    if kind is StoreFault:
        return StoreFault(
            _choose_hosts(generator, hosts), generator.choice(_STORE_MODES), duration_s
        )
    if kind is LinkFault:
        is_to_targets = generator.random() < 0.5
        mode = generator.choice(_LINK_MODES)
        number = generator.randrange(targets if is_to_targets else hosts)
        numbers = (number,) if generator.random() < 0.5 else ()
        return LinkFault(generator.randrange(hosts), is_to_targets, numbers, mode, duration_s)
    if kind is TargetFault:
        return TargetFault(
            generator.randrange(targets), generator.choice(_TARGET_MODES), duration_s
        )
    return ConfigurationChange()


def _choose_hosts(generator: random.Random, hosts: int) -> tuple[int, ...]:
    if generator.random() < ALL_HOSTS_PROBABILITY:
        return tuple(range(hosts))
    return tuple(sorted(generator.sample(range(hosts), generator.randint(1, max(hosts // 2, 1)))))


class Injector:
    """Injects scheduled faults into a cluster.

    :param cluster: the cluster under test.
    """

    def __init__(self, cluster: Cluster) -> None:
        """Create an injector; :meth:`run` injects the faults."""
        self._cluster = cluster

    async def run(self, faults: list[ScheduledFault]) -> None:
        """Inject all faults at their times and wait until the last one has ended."""
        started_s = now_s()
        tasks = []
        for scheduled in faults:
            await sleep_s(started_s + scheduled.at_s - now_s())
            tasks.append(asyncio.ensure_future(self._inject(scheduled.fault)))
        await asyncio.gather(*tasks)

    async def _inject(self, fault: Fault) -> None:
        match fault:
            case SignalFault(hosts, signal_number, duration_s):
                for host in hosts:
                    self._cluster.hosts[host].send_signal(signal_number)
                if signal_number == signal.SIGSTOP:
                    await sleep_s(duration_s)
                    for host in hosts:
                        self._cluster.hosts[host].send_signal(signal.SIGCONT)
            case StoreFault(hosts, mode, duration_s):
                await self._inject_store_fault(hosts, mode, duration_s)
            case LinkFault():
                await self._inject_link_fault(fault)
            case TargetFault():
                await self._inject_target_fault(fault)
            case ConfigurationChange():
                self._cluster.publish_configuration()
            case StoreRestoration(copy_age_s, outage_s):
                copy = self._cluster.store.copy()
                await sleep_s(copy_age_s)
                self._cluster.store.faults.is_down = True
                await sleep_s(outage_s)
                self._cluster.store.restore(copy)
                self._cluster.store.faults.is_down = False
                await self._cluster.write_again(MAX_REWRITE_DELAY_S)

    async def _inject_store_fault(
        self, hosts: tuple[int, ...], mode: str, duration_s: float
    ) -> None:
        servers = [self._cluster.store_servers[host] for host in hosts]
        if mode == "forgets":
            self._cluster.store.compact()
            return
        for server in servers:
            match mode:
                case "busy":
                    server.error_status = STORE_BUSY_STATUS
                case "silent":
                    server.is_silent = True
                    server.faults.silence_watches()
                case "slow":
                    server.faults.delay_s = SLOW_STORE_DELAY_S
                case "down":
                    server.faults.is_down = True
                case "lost_replies":
                    server.faults.lost_replies = LOST_REPLY_COUNT
        await sleep_s(duration_s)
        for server in servers:
            server.error_status = 0
            server.is_silent = server.faults.is_down = False
            server.faults.delay_s, server.faults.lost_replies = 0.0, 0

    async def _inject_link_fault(self, fault: LinkFault) -> None:
        host, mode, is_to_targets = fault.host, fault.mode, fault.is_to_targets
        forwarders = (
            self._cluster.target_forwarders if is_to_targets else self._cluster.host_forwarders
        )
        affected = [
            forwarder
            for (origin, number), forwarder in forwarders.items()
            if origin == host and (not fault.numbers or number in fault.numbers)
        ]
        for forwarder in affected:
            _apply_link_fault(forwarder, mode)
        until_s = now_s() + fault.duration_s
        while now_s() < until_s:
            if is_to_targets:
                # Delayed statements can reach the targets until the fault ends.
                self._cluster.hosts[host].note_disturbance()
            await sleep_s(min(DISTURBANCE_UPDATE_S, until_s - now_s()))
        for forwarder in affected:
            forwarder.is_outbound_cut = forwarder.is_inbound_cut = False
            forwarder.delay_s = 0.0

    async def _inject_target_fault(self, fault: TargetFault) -> None:
        target = self._cluster.targets[fault.target]
        others = target.service.targets.values()
        match fault.mode:
            case "crash" if all(entry.is_up and entry.is_receiving for entry in others):
                await self._cluster.crash(target, fault.duration_s)
                return
            case "slow":
                target.slow_factor = SLOW_TARGET_FACTOR
            case "damaged":
                target.failure_probability = DAMAGED_TARGET_FAILURE_PROBABILITY
            case "lagging" if all(entry.is_up and entry.is_receiving for entry in others):
                target.is_receiving = False
        await sleep_s(fault.duration_s)
        target.slow_factor, target.failure_probability = 1.0, 0.0
        if not target.is_receiving:
            target.is_receiving = True
            target.receive()


def _apply_link_fault(forwarder: Forwarder, mode: str) -> None:
    match mode:
        case "cut_there":
            forwarder.is_outbound_cut = True
        case "cut_back":
            forwarder.is_inbound_cut = True
        case "cut":
            forwarder.is_outbound_cut = forwarder.is_inbound_cut = True
        case "delayed":
            forwarder.delay_s = CHUNK_DELAY_S
        case "reset":
            forwarder.reset()
        case "silent":
            forwarder.silence()
