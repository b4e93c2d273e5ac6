"""Guards against loads that are believed for too long, and failures that are noticed too late."""

import pytest

from pistachiowinch.base.clock import sleep_s
from pistachiowinch.sessions.target_loads import REPORT_MAX_AGE_S, LoadReport, TargetLoads

pytestmark = pytest.mark.looptime

TARGET = "db-1"
BUSY = LoadReport(slots=4, running=4, waiting=12, service_s=0.012)
IDLE = LoadReport(slots=4, running=1, waiting=0, service_s=0.012)


async def test_busy_report_gives_way_to_the_mean_while_its_queue_drains():
    """Guards against a target that is shunned for a queue that has drained long ago."""
    loads = TargetLoads()
    for _ in range(20):
        loads.note_report(TARGET, IDLE)
        await sleep_s(0.2)
    loads.note_report(TARGET, BUSY)
    assert loads.expected_wait_s(TARGET) == pytest.approx(0.039)
    await sleep_s(0.2)
    assert loads.expected_wait_s(TARGET) < 0.01
    await sleep_s(REPORT_MAX_AGE_S)
    assert loads.expected_wait_s(TARGET) == 0.0
    assert not loads.is_known(TARGET)


async def test_lasting_queue_is_remembered_between_seldom_reports():
    """Guards against a host that forgets its zone's queue before its next request."""
    loads = TargetLoads()
    for _ in range(8):
        loads.note_report(TARGET, BUSY)
        await sleep_s(0.5)
    assert loads.expected_wait_s(TARGET) > 0.03


async def test_own_requests_count_until_they_end():
    """Guards against a burst of one host that is sent on the strength of one report."""
    loads = TargetLoads()
    loads.note_report(TARGET, IDLE)
    for _ in range(5):
        loads.begin(TARGET)
    assert loads.expected_wait_s(TARGET) == pytest.approx(3 * 0.003)
    loads.cancel(TARGET)
    loads.end(TARGET, is_served=True)
    assert loads.expected_wait_s(TARGET) == pytest.approx(0.003)
    assert loads.failure_share(TARGET) == 0.0


async def test_passed_on_report_does_not_replace_a_newer_one():
    """Guards against a late report of another host that hides the target's own."""
    loads = TargetLoads()
    await sleep_s(1.0)
    loads.note_report(TARGET, BUSY)
    loads.note_report(TARGET, IDLE, age_s=0.1)
    assert loads.has_waiting(TARGET)


async def test_measured_response_outweighs_a_report_that_claims_less():
    """Guards against a target that reports short waits and answers late."""
    loads = TargetLoads()
    loads.note_report(TARGET, IDLE)
    loads.end(TARGET, is_served=True, response_s=0.5)
    assert loads.expected_response_s(TARGET) > 0.4
    await sleep_s(10.0)
    assert loads.expected_response_s(TARGET) < 0.03


async def test_failing_target_is_noticed_and_recovers():
    """Guards against one lost answer that counts as failing, and against lasting distrust."""
    loads = TargetLoads()
    for is_served in (True, True, False):
        loads.end(TARGET, is_served)
    assert not loads.is_failing(TARGET)
    loads.end(TARGET, is_served=False)
    assert loads.is_failing(TARGET)
    for _ in range(4):
        loads.end(TARGET, is_served=True)
    assert loads.is_failing(TARGET)
    await sleep_s(8.0)
    assert not loads.is_failing(TARGET)


async def test_targets_that_left_are_forgotten():
    """Guards against a replaced target that inherits its predecessor's failures."""
    loads = TargetLoads()
    for _ in range(3):
        loads.end(TARGET, is_served=False)
    loads.keep_only(())
    assert loads.failure_share(TARGET) == 0.0
