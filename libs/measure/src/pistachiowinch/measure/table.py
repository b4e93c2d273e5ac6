"""Produces the table of measurements: each figure with its baseline, target and seed."""

import operator
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from pistachiowinch.limits.fair_queue import Fifo, PerTargetQueues
from pistachiowinch.limits.rates import EqualSplit
from pistachiowinch.measure.changes import CHANGES, measure_changes
from pistachiowinch.measure.deployment import DEPLOYMENTS, Deployment
from pistachiowinch.measure.failover import measure_failover, summarize
from pistachiowinch.measure.fairness import FairnessScenario, measure_fairness
from pistachiowinch.measure.promises import measure_promises
from pistachiowinch.measure.rates import RateScenario, measure_rates
from pistachiowinch.measure.reads import measure_reads

__all__ = ["GROUPS", "Row", "RunSizes", "format_rows", "measure_rows"]

_COMPARISONS: dict[str, Callable[[float, float], bool]] = {
    "<=": operator.le,
    ">=": operator.ge,
}


class RunSizes(NamedTuple):
    """Sizes of the runs behind the rows.

    :param failovers: number of runs of each failover scenario, with consecutive seeds.
    :param rates_s: simulated seconds of each rate run.
    :param fairness_s: simulated seconds of each fairness run.
    :param promises_s: simulated seconds with faults of each promise run.
    """

    failovers: int = 100
    rates_s: float = 120.0
    fairness_s: float = 20.0
    promises_s: float = 60.0


class Row(NamedTuple):
    """One row of the table.

    :param deployment: name of the deployment; ``both`` if the figure does not depend on it.
    :param baseline: the same figure without the measured mechanism; None if there is none.
    :param comparison: required relation of the figure to the target, ``<=`` or ``>=``.
    """

    group: str
    measure: str
    deployment: str
    seeds: str
    figure: float
    baseline: float | None
    comparison: str
    target: float
    unit: str

    @property
    def is_met(self) -> bool:
        """Whether the figure meets its target."""
        return _COMPARISONS[self.comparison](self.figure, self.target)


_RowGenerator = Callable[[int, RunSizes], Iterator[Row]]


def _failover(seed: int, sizes: RunSizes) -> Iterator[Row]:
    last = seed + sizes.failovers - 1
    for scenario, target_s in (("calm", 1.5), ("store_down", 7.0), ("second_fault", 7.0)):
        seeds = range(seed, last + 1)
        summary = summarize([measure_failover(number, scenario) for number in seeds])
        yield Row(
            "failover",
            f"gap in acknowledged writes, p99, {scenario.replace('_', ' ')}",
            "both",
            f"{seed}-{last}",
            round(summary.p99_s, 3),
            None,
            "<=",
            target_s,
            "s",
        )
        broken = summary.lost + summary.doubled + summary.untrue_not_run
        name = f"writes lost, doubled or falsely refused, {scenario.replace('_', ' ')}"
        yield Row("failover", name, "both", f"{seed}-{last}", broken, None, "<=", 0, "")


def _rates(seed: int, sizes: RunSizes) -> Iterator[Row]:
    calm = RateScenario(duration_s=sizes.rates_s)
    failing = RateScenario(hosts_fail=True, duration_s=sizes.rates_s)
    for name, scenario, target in (("calm", calm, 0.0), ("hosts fail", failing, 0.001)):
        own = measure_rates(seed, scenario)
        split = measure_rates(seed, scenario._replace(policy=EqualSplit()))
        yield Row(
            "rates",
            f"refused although within rate, {name}",
            "both",
            str(seed),
            round(own.refused_fraction, 6),
            round(split.refused_fraction, 6),
            "<=",
            target,
            "",
        )
    overloaded = RateScenario(
        is_overloaded=True, hosts_fail=True, fault_rate=0.05, duration_s=sizes.rates_s / 4
    )
    excess = measure_rates(seed, overloaded).excess
    name = "requests above rate and burst, 5 times the rate, faults"
    yield Row("rates", name, "both", str(seed), excess, None, "<=", 0, "")


def _fairness(seed: int, sizes: RunSizes) -> Iterator[Row]:
    def measure_worst(policy: object = None) -> float:
        scenario = FairnessScenario(duration_s=sizes.fairness_s)
        if policy is not None:
            scenario = scenario._replace(policy=policy)
        return round(measure_fairness(seed, scenario).worst_ratio, 3)

    own = measure_worst()
    for name, policy in (("FIFO", Fifo()), ("one queue per target", PerTargetQueues())):
        yield Row(
            "fairness",
            f"worst-served customer's part of its fair share (baseline {name})",
            "both",
            str(seed),
            own,
            measure_worst(policy),
            ">=",
            0.95,
            "",
        )


def _reads(seed: int, sizes: RunSizes) -> Iterator[Row]:
    for deployment in DEPLOYMENTS:
        own = measure_reads(deployment, seed)
        primary_only = measure_reads(deployment, seed, is_baseline=True)
        yield Row(
            "reads",
            "eligible reads served by replicas at 500 ms lag",
            deployment.name,
            str(seed),
            round(own.share, 4),
            round(primary_only.share, 4),
            ">=",
            0.9,
            "",
        )


def _promises(seed: int, sizes: RunSizes) -> Iterator[Row]:
    for deployment in DEPLOYMENTS:
        figures = measure_promises(deployment, seed, run_s=sizes.promises_s)
        name = "lost, doubled, partial, stale, crossed or falsely refused, random faults"
        yield Row("promises", name, deployment.name, str(seed), figures.broken, None, "<=", 0, "")


def _changes(seed: int, sizes: RunSizes) -> Iterator[Row]:
    for deployment in DEPLOYMENTS:
        for change in CHANGES:
            yield from _change(deployment, change, seed)


def _change(deployment: Deployment, change: str, seed: int) -> Iterator[Row]:
    figures = measure_changes(deployment, seed, change)

    def row(measure: str, figure: float, comparison: str, target: float, unit: str) -> Row:
        name = f"{measure}, {change}"
        return Row(
            "changes",
            name,
            deployment.name,
            str(seed),
            figure,
            None,
            comparison,
            target,
            unit,
        )

    yield row("last new work after acceptance", figures.last_new_work_s, "<=", 2.0, "s")
    if change != "key withdrawn":
        yield row("requests cut", figures.cut, "<=", 0, "")
    if change != "host stopped":
        yield row("in force everywhere", figures.in_force_s, "<=", 2.0, "s")


GROUPS: dict[str, _RowGenerator] = {
    "failover": _failover,
    "rates": _rates,
    "fairness": _fairness,
    "reads": _reads,
    "promises": _promises,
    "changes": _changes,
}


def measure_rows(groups: Sequence[str], seed: int, sizes: RunSizes) -> Iterator[Row]:
    """Measure the rows of some groups, one at a time.

    :param groups: names from :data:`GROUPS`.
    :param seed: first seed of every row.
    :param sizes: sizes of the runs.
    """
    for group in groups:
        yield from GROUPS[group](seed, sizes)


def format_rows(rows: Sequence[Row]) -> str:
    """Return rows as a Markdown table."""
    lines = [
        "| measure | deployment | seed | figure | baseline | target | met |",
        "|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        baseline = "" if row.baseline is None else f"{row.baseline:g}"
        unit = f" {row.unit}" if row.unit else ""
        is_met = "yes" if row.is_met else "no"
        lines.append(
            f"| {row.measure} | {row.deployment} | {row.seeds} | {row.figure:g}{unit} | {baseline} "
            f"| {row.comparison} {row.target:g}{unit} | {is_met} |"
        )
    return "\n".join(lines)
