"""Counts violated promises under random faults, from the callers' history and the final data."""

import asyncio
from collections import Counter, defaultdict
from typing import Annotated, NamedTuple

import typer

from pistachiowinch.base.clock import sleep_s
from pistachiowinch.measure.caller import Caller, Event, EventKind, Outcome, spread_callers
from pistachiowinch.measure.deployment import DEPLOYMENTS, Deployment
from pistachiowinch.measure.faults import FAULTS, FaultInjector
from pistachiowinch.measure.simulated_clock import run_with_simulated_clock
from pistachiowinch.measure.site import MeasuredSite

__all__ = ["PromiseFigures", "check_history", "measure_promises"]

_CALLERS = 24
_RUN_S = 60.0
_SETTLE_S = 15.0
_THINK_S = 0.05
_WRITE_SHARE = 0.25
_TRANSACTION_SHARE = 0.1
_ROAM_SHARE = 0.2

Rows = dict[tuple[str, int], Counter[str]]


class PromiseFigures(NamedTuple):
    """Figures of one run; the counts from ``lost`` to ``crossed`` must be 0.

    :param lost: acknowledged writes that are missing from the final primary, at least in part.
    :param doubled: writes that were applied more than once.
    :param false_not_run: writes that were reported as not run or as failed but were applied.
    :param partial: transactions that were applied only in part.
    :param stale: reads that missed a record which the session had written before.
    :param crossed: reads that returned another caller's result.
    :param unknown: writes with an unknown outcome, which are allowed.
    :param failed: writes that a target refused with a database error.
    """

    deployment: str
    seed: int
    requests: int
    acknowledged: int
    lost: int
    doubled: int
    false_not_run: int
    partial: int
    stale: int
    crossed: int
    unknown: int
    not_run: int
    failed: int
    faults: int

    @property
    def broken(self) -> int:
        """Number of violated promises."""
        return (
            self.lost + self.doubled + self.false_not_run + self.partial + self.stale + self.crossed
        )


def _is_write(event: Event) -> bool:
    return event.kind is not EventKind.READ


def _expected_notes(event: Event) -> set[str]:
    if event.kind is EventKind.TRANSACTION:
        return {"payment", "rights"}
    return {f"note-{event.seq}"}


def check_history(history: list[Event], rows: Rows) -> Counter[str]:
    """Compare the results that callers got with the final data.

    :param history: all events.
    :param rows: how often each note is stored, by caller and record number.
    :returns: number of violations, by name of the field of :class:`PromiseFigures`.
    """
    broken: Counter[str] = Counter()
    for event in history:
        if event.kind is EventKind.READ:
            if event.outcome is Outcome.DONE:
                broken["stale"] += event.seq < event.expected_seq
                broken["crossed"] += not event.is_own
            continue
        found = rows.get((event.caller, event.seq), Counter())
        expected = _expected_notes(event)
        if event.outcome is Outcome.DONE:
            broken["lost"] += set(found) != expected
        elif event.outcome in (Outcome.NOT_RUN, Outcome.FAILED):
            broken["false_not_run"] += bool(found)
        broken["doubled"] += any(count > 1 for count in found.values())
        broken["partial"] += bool(found) and set(found) != expected
    return broken


def _final_rows(site: MeasuredSite) -> Rows:
    rows: Rows = defaultdict(Counter)
    for service, group in site.groups.items():
        primary = site.primary(service)
        for caller, seq, note in group.rows(primary, "SELECT caller, seq, note FROM records"):
            rows[caller, int(seq)][note] += 1
    return rows


async def _run_caller(site: MeasuredSite, caller: Caller) -> None:
    while True:
        await sleep_s(site.random.expovariate(1 / _THINK_S))
        host = None
        if site.random.random() < _ROAM_SHARE:
            host = site.random.choice(sorted(site.hosts))
        draw = site.random.random()
        if draw < _TRANSACTION_SHARE:
            await caller.write_transaction(host)
        elif draw < _TRANSACTION_SHARE + _WRITE_SHARE:
            await caller.write(host)
        else:
            await caller.read(host)


async def _measure(
    deployment: Deployment, seed: int, kinds: tuple[str, ...], run_s: float
) -> PromiseFigures:
    site = await MeasuredSite(deployment, seed).start()
    history: list[Event] = []
    callers = spread_callers(Caller, site, _CALLERS, history)
    injector = FaultInjector(site, kinds)
    tasks = [asyncio.ensure_future(_run_caller(site, caller)) for caller in callers]
    faults = asyncio.ensure_future(injector.run())
    await sleep_s(run_s)
    faults.cancel()
    await injector.wait_for_faults()
    await sleep_s(_SETTLE_S)
    for task in tasks:
        task.cancel()
    done = await asyncio.gather(*tasks, return_exceptions=True)
    for result in done:
        if isinstance(result, Exception):
            raise result
    await sleep_s(_SETTLE_S)
    broken = check_history(history, _final_rows(site))
    outcomes = Counter(event.outcome for event in history if _is_write(event))
    figures = PromiseFigures(
        deployment.name,
        seed,
        len(history),
        outcomes[Outcome.DONE],
        broken["lost"],
        broken["doubled"],
        broken["false_not_run"],
        broken["partial"],
        broken["stale"],
        broken["crossed"],
        outcomes[Outcome.UNKNOWN],
        outcomes[Outcome.NOT_RUN],
        outcomes[Outcome.FAILED],
        sum(injector.counts.values()),
    )
    await site.close()
    return figures


def measure_promises(
    deployment: Deployment,
    seed: int,
    kinds: tuple[str, ...] = tuple(FAULTS),
    run_s: float = _RUN_S,
) -> PromiseFigures:
    """Run callers on one deployment under random faults.

    :param deployment: sizes of the site.
    :param seed: seed of the faults and the callers.
    :param kinds: names from :data:`FAULTS`.
    :param run_s: simulated seconds with faults; the site then runs without faults to recover.
    """
    return run_with_simulated_clock(lambda: _measure(deployment, seed, kinds, run_s))


def _main(seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 3) -> None:
    for deployment in DEPLOYMENTS:
        for seed in range(1, seeds + 1):
            print(measure_promises(deployment, seed))


if __name__ == "__main__":
    typer.run(_main)
