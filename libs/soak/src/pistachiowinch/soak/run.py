"""Runs one soak and reports what it found."""

import random
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.soak.callers import ANSWER_TIMEOUT_S, OPEN_TIMEOUT_S, Caller, Operations
from pistachiowinch.soak.checker import Finding
from pistachiowinch.soak.faults import Due, Injector, plan
from pistachiowinch.soak.hosts import PROGRAM
from pistachiowinch.soak.site import CUSTOMERS, ROUTES, Site, SiteSize
from pistachiowinch.standins.line_caller import LineCaller, SessionBroken

__all__ = ["Report", "SoakSettings", "run_soak"]

# The platform's bounds: service is back, and versions are in force, this long after the last fault.
RECOVERY_S = 15.0
# Hosts of a new fleet must serve within this time, on a machine that does other work as well.
START_S = 30.0
LOOK_S = 0.2
# Callers for each host and customer, and their mean pause between operations.
CALLERS = 2
PAUSE_S = {"wren": 0.1, "finch": 0.02}


class SoakSettings(NamedTuple):
    """What to run.

    :param seed: of all random choices.
    :param length_s: how long faults come.
    :param folder: where settings and logs are written.
    :param program: command that runs a host.
    :param faults: what is done instead of the faults that the seed chooses.
    """

    seed: int
    length_s: float
    size: SiteSize
    folder: Path
    program: Sequence[str] = PROGRAM
    faults: tuple[Due, ...] = ()


class Report(NamedTuple):
    """What a soak saw.

    :param served: operations that succeeded.
    :param failed: operations that did not.
    :param faults: faults that were done.
    :param runs: statements that targets ran.
    """

    seed: int
    served: int
    failed: int
    faults: int
    runs: int
    findings: tuple[Finding, ...]


async def run_soak(settings: SoakSettings) -> Report:
    """Run hosts, callers and faults, and check until service is back."""
    site = Site(
        settings.size, settings.folder, settings.program, random.Random(f"{settings.seed} site")
    )
    operations = Operations()
    faults = list(settings.faults) or list(
        plan(
            random.Random(settings.seed),
            settings.size.hosts,
            len(site.targets),
            settings.length_s,
        )
    )
    try:
        await site.start()
        _start_callers(site, operations, settings.seed)
        if await _all_serve(site, operations, START_S, "START"):
            await Injector(site).run(faults)
            await _all_serve(site, operations, RECOVERY_S, "RECOVER")
            await _check_keys(site)
    finally:
        await site.stop()
    served, failed = sum(operations.served.values()), sum(operations.failed.values())
    findings = tuple(site.checker.findings)
    return Report(settings.seed, served, failed, len(faults), site.checker.runs, findings)


def _start_callers(site: Site, operations: Operations, seed: int) -> None:
    for customer in CUSTOMERS:
        for number in range(CALLERS * len(site.hosts)):
            caller = Caller(
                site.checker,
                operations,
                site.addresses,
                ROUTES,
                customer,
                lambda customer=customer: site.keys[customer],
                PAUSE_S[customer],
                random.Random(f"{seed} {customer} {number}"),
            )
            site.spawn(caller.run())


async def _all_serve(site: Site, operations: Operations, within_s: float, rule: str) -> bool:
    """Wait until each host serves again; note a finding if one does not in time."""
    before = dict(operations.served)
    until_s = now_s() + within_s
    while now_s() < until_s:
        await sleep_s(LOOK_S)
        missing = [
            host.name
            for host in site.hosts
            if operations.served.get(host.name, 0) <= before.get(host.name, 0)
        ]
        if not missing:
            return True
    site.checker.report(rule, f"{missing} served nothing within {within_s} s")
    return False


async def _check_keys(site: Site) -> None:
    """Open sessions with the newest and with withdrawn keys at each host."""
    until_s = now_s() + RECOVERY_S
    for customer, key in site.keys.items():
        for host, address in site.addresses.items():
            while not await _is_admitted(address, key):
                # A host that was asked to stop may start again only now.
                if now_s() > until_s:
                    site.checker.report("CONFIG", f"{host} refuses {customer}'s newest key")
                    break
                await sleep_s(LOOK_S)
            withdrawn = site.withdrawn[customer]
            if withdrawn and await _is_admitted(address, withdrawn):
                site.checker.report("CONFIG", f"{host} admits {customer}'s withdrawn key")


async def _is_admitted(address: tuple[str, int], key: str) -> bool:
    """Whether a host opens a session; one that is down opens none."""
    session = LineCaller(OPEN_TIMEOUT_S, ANSWER_TIMEOUT_S)
    try:
        await session.open(address, ROUTES[0].database, key)
    except SessionBroken:
        return False
    finally:
        session.close()
    return True
