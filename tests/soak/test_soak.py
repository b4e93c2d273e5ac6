"""Soak host processes under injected faults, and show that the checker finds violations."""

import math
import signal
import sys
from pathlib import Path

import pytest

from pistachiowinch.soak import callers, hosts, run
from pistachiowinch.soak.cluster import RESTING_CUSTOMERS, ClusterSize
from pistachiowinch.soak.faults import (
    LinkFault,
    ScheduledFault,
    SignalFault,
    StoreFault,
    TargetFault,
)
from pistachiowinch.soak.run import SoakSettings, run_soak
from pistachiowinch.standins import line_service

UNGUARDED_PROGRAM = Path(__file__).with_name("unguarded.py")
HOSTS = 3
# Index of the second service's first primary among all targets.
PRIMARY_INDEX = 3
# Several times the duration of a switch, which takes up to 3 s on a loaded machine.
FAULT_DURATION_S = 10.0

# Replies of targets are delayed, and the connections are reset before the replies arrive.
CONNECTION_RESETS = tuple(
    ScheduledFault(at_s, LinkFault(host, True, (), mode, 0.5))
    for start_s in range(0, 8, 2)
    for at_s, mode in ((start_s, "cut_back"), (start_s + 0.4, "reset"))
    for host in range(HOSTS)
)
# Host 1 loses the store and its peers; the others lose the primary, which host 1 still reaches.
ISOLATED_HOST = (
    ScheduledFault(0.0, StoreFault((1,), "silent", FAULT_DURATION_S)),
    ScheduledFault(0.0, LinkFault(1, False, (), "cut", FAULT_DURATION_S)),
    ScheduledFault(0.2, LinkFault(0, False, (1,), "cut", FAULT_DURATION_S)),
    ScheduledFault(0.2, LinkFault(2, False, (1,), "cut", FAULT_DURATION_S)),
    ScheduledFault(1.0, LinkFault(0, True, (PRIMARY_INDEX,), "cut", FAULT_DURATION_S)),
    ScheduledFault(1.0, LinkFault(2, True, (PRIMARY_INDEX,), "cut", FAULT_DURATION_S)),
)
# One replica of each service receives no commits.
LAGGING_REPLICAS = tuple(
    ScheduledFault(0.0, TargetFault(target, "lagging", 6.0)) for target in (1, 4)
)
# Hosts stop in turn while statements take long, so that some run when a host's time is over.
PLANNED_STOPS = tuple(
    ScheduledFault(0.5 + 2.2 * number, SignalFault((number % HOSTS,), signal.SIGTERM, 0.1))
    for number in range(8)
) + tuple(ScheduledFault(0.0, TargetFault(target, "slow", 18.0)) for target in range(6))
# Each host is killed in turn, and so the one that reports usage.
KILLS = tuple(
    ScheduledFault(3.0 + 5.0 * number, SignalFault((number,), signal.SIGKILL, 0.1))
    for number in range(HOSTS)
)
SLOW_STATEMENT_S = 0.04
RELOADS = (
    ScheduledFault(0.0, SignalFault((0,), signal.SIGHUP, 4.0)),
    ScheduledFault(4.0, SignalFault((0,), signal.SIGHUP, 0.1)),
)


@pytest.mark.parametrize(
    ("seed", "hosts_count", "length_s"),
    [
        pytest.param(1, HOSTS, 12.0, id="short run"),
        # These seeds failed: the fake store lost a change, and SIGHUP ended a starting host.
        pytest.param(206, 4, 30.0, id="lost change"),
        pytest.param(222, 4, 30.0, id="early reload"),
    ],
)
async def test_random_faults_break_no_promise(tmp_path, seed, hosts_count, length_s):
    """Guards against violations under random faults; seeds that have failed are kept."""
    report = await run_soak(SoakSettings(seed, length_s, ClusterSize(hosts_count), tmp_path))
    assert not report.findings
    assert report.served > 100 and report.faults > 3


async def test_pool_hosts_break_no_promise(tmp_path):
    """Guards against violations by statements that one host runs for others, under faults."""
    size = ClusterSize(HOSTS, resting_customers=RESTING_CUSTOMERS)
    report = await run_soak(SoakSettings(3, 15.0, size, tmp_path))
    assert not report.findings
    assert report.served > 100 and report.faults > 3


async def test_a_restored_store_breaks_no_promise(tmp_path):
    """Guards against violations when the store comes back from copies, beside other faults."""
    settings = SoakSettings(1, 20.0, ClusterSize(HOSTS), tmp_path, has_restorations=True)
    report = await run_soak(settings)
    assert not report.findings
    assert report.served > 100


def keep_statements_running(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let most callers be in a slow statement of a transaction at any moment."""
    monkeypatch.setattr(line_service.LineService, "statement_s", SLOW_STATEMENT_S)
    monkeypatch.setattr(callers, "LONG_TRANSACTION_PROBABILITY", 1.0)
    monkeypatch.setattr(run, "CALLERS_PER_HOST", 5)


@pytest.mark.parametrize(
    ("guard", "rules", "faults"),
    [
        ("ignore_staleness", {"STALE"}, LAGGING_REPLICAS),
        ("share_state", {"PINNED"}, RELOADS),
        ("ignore_rates", {"QUOTA"}, RELOADS),
        ("repeat_writes", {"TWICE"}, CONNECTION_RESETS),
        ("ignore_lease", {"ONE"}, ISOLATED_HOST),
        ("close_early", {"LOST"}, PLANNED_STOPS),
        ("forget_reports", {"ONE"}, KILLS),
    ],
)
async def test_the_checker_finds_what_a_missing_guard_lets_through(
    tmp_path, monkeypatch, guard, rules, faults
):
    """Guards against a checker that misses the violations that each guard prevents."""
    # Leaves enough time for commits at a replaced primary; long CPU waits excuse no violation.
    monkeypatch.setattr(line_service, "OLD_PRIMARY_DEMOTION_S", FAULT_DURATION_S)
    monkeypatch.setattr(hosts, "SLOWED_CPU_WAIT_S", math.inf)
    if faults is PLANNED_STOPS:
        keep_statements_running(monkeypatch)
    program = (sys.executable, str(UNGUARDED_PROGRAM), guard)
    settings = SoakSettings(1, 0.0, ClusterSize(HOSTS), tmp_path, program, faults)
    report = await run_soak(settings)
    assert rules <= {finding.rule for finding in report.findings}


async def test_the_same_faults_break_nothing_with_all_guards(tmp_path, monkeypatch):
    """Guards against faults that cause findings even with all guards in place."""
    monkeypatch.setattr(line_service, "OLD_PRIMARY_DEMOTION_S", FAULT_DURATION_S)
    schedules = (LAGGING_REPLICAS, CONNECTION_RESETS, ISOLATED_HOST, PLANNED_STOPS, KILLS)
    for number, faults in enumerate(schedules):
        folder = tmp_path / str(number)
        folder.mkdir()
        if faults is PLANNED_STOPS:
            keep_statements_running(monkeypatch)
        settings = SoakSettings(1, 0.0, ClusterSize(HOSTS), folder, faults=faults)
        assert not (await run_soak(settings)).findings
