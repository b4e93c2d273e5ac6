"""Measures the share of eligible reads that lagging replicas serve.

The baseline sends all reads to the primary.
"""

import asyncio
from collections import Counter
from typing import Annotated, NamedTuple

import typer

from pistachiowinch.base.clock import sleep_s
from pistachiowinch.base.tokens import decode_token
from pistachiowinch.measure.caller import Caller, Event, EventKind, Outcome, spread_callers
from pistachiowinch.measure.deployment import DEPLOYMENTS, Deployment
from pistachiowinch.measure.simulated_clock import run_with_simulated_clock
from pistachiowinch.measure.site import MeasuredSite

__all__ = ["ReadFigures", "measure_reads"]

_LAG_S = 0.5
_CALLERS = 24
_RUN_S = 20.0
_THINK_S = 0.1
_WRITE_SHARE = 0.1
_WARM_UP_S = 2.0


class ReadFigures(NamedTuple):
    """Figures of one run.

    :param eligible: reads that began when some replica had applied the session's last write.
    :param served_by_replicas: eligible reads that a replica served.
    :param stale: reads that missed a record which the session had written before.
    :param read_p50_ms: median duration of a read as the caller sees it.
    """

    deployment: str
    seed: int
    is_baseline: bool
    reads: int
    eligible: int
    served_by_replicas: int
    stale: int
    read_p50_ms: float

    @property
    def share(self) -> float:
        """Share of eligible reads served by replicas."""
        return self.served_by_replicas / self.eligible if self.eligible else 0.0


class _CountingCaller(Caller):
    """Counts the reads that a replica could have served and those that one did serve."""

    def __init__(self, *arguments: object) -> None:
        """Create a caller with empty counts."""
        super().__init__(*arguments)
        self.counts: Counter[str] = Counter()

    def _is_eligible(self) -> bool:
        group = self._site.groups[self.service]
        primary = self._site.primary(self.service)
        position = decode_token(self._token).unwrap().position if self._token else 0
        statuses = group.statuses()
        return any(
            status.applied_position >= position
            for target, status in statuses.items()
            if target != primary
        )

    async def read_and_count(self) -> None:
        """Read once and, if the read was eligible, count whether a replica served it."""
        is_eligible = self._is_eligible()
        sent_before = len(self._site.sent)
        event = await self.read()
        if event.outcome is not Outcome.DONE or not is_eligible:
            return
        self.counts["eligible"] += 1
        primary = self._site.primary(self.service)
        own_rows = f"caller = '{self.name}'"
        served = [
            sent.target
            for sent in self._site.sent[sent_before:]
            if own_rows in sent.text and sent.text.startswith("SELECT")
        ]
        self.counts["replica"] += bool(served) and served[-1] != primary


async def _run_caller(site: MeasuredSite, caller: _CountingCaller, is_baseline: bool) -> None:
    while True:
        await sleep_s(site.random.expovariate(1 / _THINK_S))
        if site.random.random() < _WRITE_SHARE:
            await caller.write(site.random.choice(sorted(site.hosts)))
            continue
        if is_baseline and caller._session is not None:
            caller._session.is_token_doubtful = True
        await caller.read_and_count()


async def _measure(
    deployment: Deployment, seed: int, is_baseline: bool, run_s: float
) -> ReadFigures:
    site = await MeasuredSite(deployment, seed).start()
    for service, group in site.groups.items():
        for target in group.targets:
            if target != site.primary(service):
                group.set_lag(target, receive_s=0.0, apply_s=_LAG_S)
    history: list[Event] = []
    callers = spread_callers(_CountingCaller, site, _CALLERS, history)
    await sleep_s(_WARM_UP_S)
    tasks = [asyncio.ensure_future(_run_caller(site, one, is_baseline)) for one in callers]
    await sleep_s(run_s)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    counts: Counter[str] = Counter()
    for caller in callers:
        counts.update(caller.counts)
    reads = [event for event in history if event.kind is EventKind.READ]
    done = [event for event in reads if event.outcome is Outcome.DONE]
    durations = sorted(event.ended_s - event.started_s for event in done)
    figures = ReadFigures(
        deployment.name,
        seed,
        is_baseline,
        len(reads),
        counts["eligible"],
        counts["replica"],
        sum(event.seq < event.expected_seq for event in done),
        round(durations[len(durations) // 2] * 1000, 2),
    )
    await site.close()
    return figures


def measure_reads(
    deployment: Deployment, seed: int, is_baseline: bool = False, run_s: float = _RUN_S
) -> ReadFigures:
    """Run readers and writers while replicas apply writes 500 ms late.

    :param deployment: sizes of the site.
    :param seed: seed of the callers.
    :param is_baseline: send all reads to the primary.
    :param run_s: simulated seconds.
    """
    return run_with_simulated_clock(lambda: _measure(deployment, seed, is_baseline, run_s))


def _main(seed: Annotated[int, typer.Option(help="Seed of the callers.")] = 1) -> None:
    for deployment in DEPLOYMENTS:
        for is_baseline in (False, True):
            figures = measure_reads(deployment, seed, is_baseline)
            print(figures, round(figures.share, 4))


if __name__ == "__main__":
    typer.run(_main)
