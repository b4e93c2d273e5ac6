"""Run one soak and report its findings."""

import random
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.soak.callers import ANSWER_TIMEOUT_S, OPEN_TIMEOUT_S, Caller, OperationCounts
from pistachiowinch.soak.checker import Finding
from pistachiowinch.soak.cluster import CUSTOMERS, ROUTES, Cluster, ClusterSize
from pistachiowinch.soak.faults import Injector, ScheduledFault, plan_faults, plan_restorations
from pistachiowinch.soak.hosts import HOST_COMMAND
from pistachiowinch.standins.line_caller import LineCaller, SessionBroken

__all__ = ["Report", "SoakSettings", "run_soak"]

# The platform's limit from the last fault until all hosts serve and apply the newest version.
RECOVERY_TIMEOUT_S = 15.0
# All hosts of a new fleet must serve within this time, also on a loaded machine.
START_TIMEOUT_S = 30.0
POLL_S = 0.2
# Callers of each customer, and their mean pause between operations.
CALLERS_PER_HOST = 2
MEAN_PAUSE_S = {"wren": 0.1, "finch": 0.02}


class SoakSettings(NamedTuple):
    """Settings of a soak.

    :param seed: seed of all random choices.
    :param length_s: duration of the fault injection.
    :param folder: folder for settings files and logs.
    :param command: command that runs a host.
    :param faults: faults to inject instead of those that the seed chooses.
    :param has_restorations: whether the store is also restored from copies.
    """

    seed: int
    length_s: float
    size: ClusterSize
    folder: Path
    command: Sequence[str] = HOST_COMMAND
    faults: tuple[ScheduledFault, ...] = ()
    has_restorations: bool = False


class Report(NamedTuple):
    """Result of a soak.

    :param served: number of operations that succeeded.
    :param failed: number of operations that failed.
    :param faults: number of injected faults.
    :param runs: number of statements that targets executed.
    """

    seed: int
    served: int
    failed: int
    faults: int
    runs: int
    findings: tuple[Finding, ...]


async def run_soak(settings: SoakSettings) -> Report:
    """Run hosts and callers, inject the faults and check that all hosts recover."""
    cluster = Cluster(
        settings.size, settings.folder, settings.command, random.Random(f"{settings.seed} site")
    )
    counts = OperationCounts()
    faults = _plan(settings, len(cluster.targets))
    try:
        await cluster.start()
        _start_callers(cluster, counts, settings.seed)
        if await _wait_until_all_serve(cluster, counts, START_TIMEOUT_S, "START"):
            await Injector(cluster).run(faults)
            await _wait_until_all_serve(cluster, counts, RECOVERY_TIMEOUT_S, "RECOVER")
            await _check_keys(cluster)
    finally:
        await cluster.stop()
    served, failed = sum(counts.served.values()), sum(counts.failed.values())
    findings = tuple(cluster.checker.findings)
    return Report(settings.seed, served, failed, len(faults), cluster.checker.runs, findings)


def _plan(settings: SoakSettings, targets: int) -> list[ScheduledFault]:
    """Return the faults in the order of their times."""
    faults = list(settings.faults) or list(
        plan_faults(random.Random(settings.seed), settings.size.hosts, targets, settings.length_s)
    )
    if settings.has_restorations:
        generator = random.Random(f"{settings.seed} restorations")
        faults.extend(plan_restorations(generator, settings.length_s))
    return sorted(faults, key=lambda scheduled: scheduled.at_s)


def _start_callers(cluster: Cluster, counts: OperationCounts, seed: int) -> None:
    for customer in CUSTOMERS:
        for number in range(CALLERS_PER_HOST * len(cluster.hosts)):
            caller = Caller(
                cluster.checker,
                counts,
                cluster.addresses,
                cluster.is_only_stopping,
                ROUTES,
                customer,
                lambda customer=customer: cluster.keys[customer],
                MEAN_PAUSE_S[customer],
                random.Random(f"{seed} {customer} {number}"),
            )
            cluster.spawn(caller.run())


async def _wait_until_all_serve(
    cluster: Cluster, counts: OperationCounts, timeout_s: float, rule: str
) -> bool:
    """Wait until each host has served an operation; report the hosts that do not in time."""
    before = dict(counts.served)
    until_s = now_s() + timeout_s
    while now_s() < until_s:
        await sleep_s(POLL_S)
        missing = [
            host.name
            for host in cluster.hosts
            if counts.served.get(host.name, 0) <= before.get(host.name, 0)
        ]
        if not missing:
            return True
    cluster.checker.report(rule, f"{missing} served nothing within {timeout_s} s")
    return False


async def _check_keys(cluster: Cluster) -> None:
    """Check that each host accepts the newest keys and rejects withdrawn keys."""
    until_s = now_s() + RECOVERY_TIMEOUT_S
    for customer, key in cluster.keys.items():
        for host, address in cluster.addresses.items():
            while not await _is_admitted(address, key):
                # A host that received SIGTERM may still be restarting.
                if now_s() > until_s:
                    cluster.checker.report("CONFIG", f"{host} refuses {customer}'s newest key")
                    break
                await sleep_s(POLL_S)
            withdrawn_key = cluster.withdrawn_keys[customer]
            if withdrawn_key and await _is_admitted(address, withdrawn_key):
                cluster.checker.report("CONFIG", f"{host} admits {customer}'s withdrawn key")


async def _is_admitted(address: tuple[str, int], key: str) -> bool:
    """Tell whether a host opens a session; a host that is down does not."""
    session = LineCaller(OPEN_TIMEOUT_S, ANSWER_TIMEOUT_S)
    try:
        await session.open(address, ROUTES[0].database, key)
    except SessionBroken:
        return False
    finally:
        session.close()
    return True
