"""Real hosts under faults from outside, and proofs that the checker finds broken promises."""

import math
import signal
import sys
from pathlib import Path

import pytest

from pistachiowinch.soak import hosts
from pistachiowinch.soak.faults import Due, LinkTrouble, Signal, StoreTrouble, TargetTrouble
from pistachiowinch.soak.run import SoakSettings, run_soak
from pistachiowinch.soak.site import SiteSize
from pistachiowinch.standins import line_service

UNGUARDED = Path(__file__).with_name("unguarded.py")
HOSTS = 3
# The second service's primary at the start.
PRIMARY = 3
# Several times a switch, which takes up to 3 s on a machine that does other work.
CUT_S = 10.0

# Answers are held back, and their connections reset before they get through.
RESETS = tuple(
    Due(at_s, LinkTrouble(host, True, (), how, 0.5))
    for start_s in range(0, 8, 2)
    for at_s, how in ((start_s, "cut_back"), (start_s + 0.4, "reset"))
    for host in range(HOSTS)
)
# Host 1 loses store and peers, and the others the primary that host 1 goes on using.
LEFT_BEHIND = (
    Due(0.0, StoreTrouble((1,), "silent", CUT_S)),
    Due(0.0, LinkTrouble(1, False, (), "cut", CUT_S)),
    Due(0.2, LinkTrouble(0, False, (1,), "cut", CUT_S)),
    Due(0.2, LinkTrouble(2, False, (1,), "cut", CUT_S)),
    Due(1.0, LinkTrouble(0, True, (PRIMARY,), "cut", CUT_S)),
    Due(1.0, LinkTrouble(2, True, (PRIMARY,), "cut", CUT_S)),
)
# One replica of each service receives nothing.
LAG = tuple(Due(0.0, TargetTrouble(target, "lagging", 6.0)) for target in (1, 4))
RELOAD = (Due(0.0, Signal((0,), signal.SIGHUP, 4.0)), Due(4.0, Signal((0,), signal.SIGHUP, 0.1)))


@pytest.mark.parametrize(
    ("seed", "hosts_count", "length_s"),
    [
        pytest.param(1, HOSTS, 12.0, id="short run"),
        # The stand-in of the store lost a change; SIGHUP ended a host that was starting.
        pytest.param(206, 4, 30.0, id="lost change"),
        pytest.param(222, 4, 30.0, id="early reload"),
    ],
)
async def test_random_faults_break_no_promise(tmp_path, seed, hosts_count, length_s):
    """Whatever the faults of a seed bring out in real processes; seeds that failed once stay."""
    report = await run_soak(SoakSettings(seed, length_s, SiteSize(hosts_count), tmp_path))
    assert not report.findings
    assert report.served > 100 and report.faults > 3


@pytest.mark.parametrize(
    ("guard", "rules", "faults"),
    [
        ("read_anything", {"STALE"}, LAG),
        ("share_state", {"PINNED"}, RELOAD),
        ("ignore_rates", {"QUOTA"}, RELOAD),
        ("repeat_writes", {"TWICE"}, RESETS),
        ("trust_for_ever", {"ONE"}, LEFT_BEHIND),
    ],
)
async def test_the_checker_finds_what_a_missing_guard_lets_through(
    tmp_path, monkeypatch, guard, rules, faults
):
    """A checker that finds nothing proves nothing."""
    # Time enough for commits at a replaced primary, and no excuse by other work of the machine.
    monkeypatch.setattr(line_service, "OLD_PRIMARY_DEMOTION_S", CUT_S)
    monkeypatch.setattr(hosts, "SLOWED_S", math.inf)
    program = (sys.executable, str(UNGUARDED), guard)
    settings = SoakSettings(1, 0.0, SiteSize(HOSTS), tmp_path, program, faults)
    report = await run_soak(settings)
    assert rules <= {finding.rule for finding in report.findings}


async def test_the_same_faults_break_nothing_with_all_guards(tmp_path, monkeypatch):
    """Faults that a checker always objects to would prove no guard."""
    monkeypatch.setattr(line_service, "OLD_PRIMARY_DEMOTION_S", CUT_S)
    for number, faults in enumerate((LAG, RESETS, LEFT_BEHIND)):
        folder = tmp_path / str(number)
        folder.mkdir()
        settings = SoakSettings(1, 0.0, SiteSize(HOSTS), folder, faults=faults)
        assert not (await run_soak(settings)).findings
