"""Tests the table's verdicts and short runs of the read and change measurements."""

import pytest

from pistachiowinch.measure.changes import measure_changes
from pistachiowinch.measure.deployment import Deployment
from pistachiowinch.measure.reads import measure_reads
from pistachiowinch.measure.table import Row, format_rows

SMALL = Deployment("small", 3, connections=30, hosts=3, services=1)


@pytest.mark.parametrize(
    ("figure", "comparison", "target", "is_met"),
    [(1.0, "<=", 1.0, True), (1.1, "<=", 1.0, False), (0.9, ">=", 0.95, False)],
)
def test_comparison_with_the_target(figure, comparison, target, is_met):
    row = Row("g", "m", "both", "1", figure, None, comparison, target, "s")
    assert row.is_met is is_met
    assert ("| yes |" in format_rows([row])) is is_met


def test_reads_are_the_same_on_each_run_and_beat_the_baseline():
    first, second = measure_reads(SMALL, 3, run_s=4.0), measure_reads(SMALL, 3, run_s=4.0)
    assert first == second
    assert first.stale == 0
    assert first.share >= 0.9
    assert measure_reads(SMALL, 3, is_baseline=True, run_s=4.0).share < first.share


@pytest.mark.parametrize("change", ["zone taken out", "host stopped"])
def test_changes_cut_nothing_and_stop_new_work(change):
    figures = measure_changes(SMALL, 2, change)
    assert figures.cut == 0
    assert figures.last_new_work_s <= 2.0
