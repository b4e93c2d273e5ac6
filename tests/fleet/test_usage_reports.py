"""Tests of usage reports: each window once, with the same counts, whatever fails meanwhile.

Windows last 5 s and are due 10 s after their end. Window ``FIRST_WINDOW`` begins at loop time 0.
"""

import asyncio

import pytest
from fleet.usage_fleet import FIRST_WINDOW, TERMS, UsageFleet

from pistachiowinch.base.clock import now_s
from pistachiowinch.fleet.promotion_lock import LOCK_LEASE_S
from pistachiowinch.fleet.records import (
    UsageReportRecord,
    decode_record,
    encode_record,
    usage_report_key,
)
from pistachiowinch.fleet.usage_messages import (
    UsageAnswer,
    UsageHandover,
    UsageHandoverAnswer,
    UsageRequest,
)
from pistachiowinch.fleet.usage_reports import KEPT_WINDOWS
from pistachiowinch.links.store import Delete, Put

pytestmark = pytest.mark.looptime

WINDOW = FIRST_WINDOW + 1
START_S = TERMS.window_s
END_S = START_S + TERMS.window_s


async def fleet_with_counts(names: str = "abc", **options) -> UsageFleet:
    """Return a fleet in the middle of ``WINDOW``, each host with two requests in it."""
    fleet = UsageFleet(names, **options)
    await fleet.run_until(START_S + 2.0)
    for host in fleet.hosts.values():
        host.begin("carp", 2)
    return fleet


async def test_each_window_is_reported_with_the_counts_of_all_hosts():
    """Duty: requests of every host and of the right window, one message a host and window."""
    fleet = await fleet_with_counts()
    await fleet.run_until(END_S + 1.0)
    fleet.hosts["b"].begin("dace", 3)
    sent = fleet.network.messages_sent.copy()
    await fleet.run_until(END_S + TERMS.window_s + 2.0)
    assert fleet.platform.counts(WINDOW) == {"carp": 6}
    assert fleet.platform.counts(WINDOW + 1) == {"dace": 3}
    assert len(fleet.platform.of_window(WINDOW)) == 1
    # Two collections end in this time, with a request and an answer for each other host.
    assert sum(fleet.network.messages_sent.values()) - sum(sent.values()) == 2 * 2 * 2
    fleet.platform.check()


async def test_a_holder_that_dies_before_it_recorded_leaves_the_window_to_the_next():
    """node_kill: the window is still reported in time, without the counts of the dead host only."""
    fleet = await fleet_with_counts()
    holder = fleet.holder
    await fleet.run_until(END_S + 0.5)
    fleet.kill(holder)
    await fleet.run_until(END_S + TERMS.due_s)
    assert fleet.platform.counts(WINDOW) == {"carp": 4}
    fleet.platform.check()


async def test_a_holder_that_dies_with_a_report_under_way_is_repeated_exactly():
    """ONE: the successor has other counts, without the dead host's, and must not send them."""
    fleet = await fleet_with_counts()
    holder = fleet.holder
    fleet.platform.lost_until_s = END_S + 2.0
    fleet.platform.arrived.clear()
    await fleet.platform.arrived.wait()
    assert fleet.platform.of_window(WINDOW)
    fleet.kill(holder)
    await fleet.run_until(END_S + TERMS.due_s)
    reports = fleet.platform.of_window(WINDOW)
    assert {report.holder for report in reports} == {holder, "b"}
    assert all(report.counts == {"carp": 6} for report in reports)
    fleet.platform.check()


async def test_a_report_that_was_recorded_but_never_sent_is_sent_by_the_successor():
    """ONE: what the dead holder recorded may have been sent, so exactly that is sent."""
    fleet = await fleet_with_counts()
    fleet.platform.refused_until_s = END_S + 2.0
    await fleet.run_until(END_S + 1.5)
    assert fleet.store.apply_get(usage_report_key(WINDOW)) is not None
    fleet.kill(fleet.holder)
    await fleet.run_until(END_S + TERMS.due_s)
    assert fleet.platform.counts(WINDOW) == {"carp": 6}
    fleet.platform.check()


async def test_a_holder_that_dies_after_its_report_changes_nothing():
    """ONE: a successor may repeat the last report, not replace it."""
    fleet = await fleet_with_counts()
    await fleet.run_until(END_S + 2.0)
    assert fleet.platform.counts(WINDOW) == {"carp": 6}
    fleet.kill(fleet.holder)
    await fleet.run_until(END_S + 3 * TERMS.window_s)
    assert fleet.platform.counts(WINDOW + 1) == {}
    fleet.platform.check()


async def test_a_holder_without_the_store_stops_before_the_next_one_begins():
    """core_cut: two hosts believe that they have the duty; only one may record and send."""
    fleet = await fleet_with_counts()
    first = fleet.hosts[fleet.holder]
    first.store.is_cut = True
    await fleet.run_until(END_S + 4.0)
    assert fleet.holder not in (None, first.name)
    first.store.is_cut = False
    await fleet.run_until(END_S + 4 * TERMS.window_s)
    assert {report.token for report in fleet.platform.of_window(WINDOW)} <= {1, 2}
    assert fleet.platform.counts(WINDOW) == {"carp": 6}
    assert not first.lock.is_held
    fleet.platform.check()


async def test_a_holder_without_the_store_does_not_send_after_its_successor():
    """ONE: a report with a lower token must not arrive after one with a higher token."""
    fleet = await fleet_with_counts()
    first = fleet.hosts[fleet.holder]
    fleet.platform.refused_until_s = END_S + 6.0
    await fleet.run_until(END_S + 1.5)
    first.store.is_cut = True
    await fleet.run_until(END_S + 5 * TERMS.window_s)
    assert {report.token for report in fleet.platform.reports if report.window >= WINDOW} == {2}
    assert fleet.platform.counts(WINDOW) == {"carp": 6}
    fleet.platform.check()


async def fleet_with_late_record() -> UsageFleet:
    """Return a fleet whose holder reported a window while an earlier record of it is under way.

    The earlier one has the counts of three hosts, the reported one those of two, and takes effect
    at ``END_S + 4``.
    """
    fleet = await fleet_with_counts()
    holder = fleet.hosts[fleet.holder]
    holder.store.delays_next_s = 3.0
    await holder.store.has_delayed.wait()
    holder.is_stopping = True
    await asyncio.sleep(0.2)
    fleet.kill("c")
    holder.is_stopping = False
    await fleet.run_until(END_S + 3.5)
    assert fleet.platform.counts(WINDOW) == {"carp": 4}
    return fleet


async def test_a_record_that_takes_effect_late_does_not_replace_the_one_that_was_sent():
    """platform_lost: a call without an answer is executed seconds later."""
    fleet = await fleet_with_late_record()
    await fleet.run_until(END_S + 4.5)
    fleet.kill(fleet.holder)
    await fleet.run_until(END_S + TERMS.due_s)
    assert len(fleet.platform.of_window(WINDOW)) == 2
    fleet.platform.check()


async def test_a_record_of_an_earlier_era_does_not_take_effect():
    """A restored store lost the report that was sent, and a late call must not add another."""
    fleet = await fleet_with_late_record()
    fleet.store.apply_transact([], [Delete(usage_report_key(WINDOW))])
    fleet.store.restore(fleet.store.copy())
    fleet.kill(fleet.holder)
    await fleet.run_until(END_S + TERMS.due_s)
    assert len(fleet.platform.of_window(WINDOW)) == 1
    fleet.platform.check()


async def test_a_window_whose_record_may_have_been_removed_is_left_out():
    """clock_step on most hosts: windows far ahead were reported, which removed earlier records."""
    fleet = UsageFleet("a")
    ahead = UsageReportRecord(WINDOW + KEPT_WINDOWS, {})
    fleet.store.apply_transact([], [Put(usage_report_key(ahead.window), encode_record(ahead))])
    await fleet.run_until(END_S + TERMS.due_s)
    assert fleet.platform.counts(WINDOW) is None
    assert fleet.platform.counts(WINDOW + 1) == {}


async def test_a_lost_answer_of_the_store_does_not_change_the_report():
    """platform_lost: the record is there although the call failed; it is what is sent."""
    fleet = await fleet_with_counts()
    holder = fleet.hosts[fleet.holder]
    holder.store.loses_next_answer = True
    await fleet.run_until(END_S + 3.0)
    assert not holder.store.loses_next_answer
    assert fleet.platform.counts(WINDOW) == {"carp": 6}
    assert len(fleet.platform.of_window(WINDOW)) == 1


@pytest.mark.parametrize("fault", ["refused_until_s", "lost_until_s"])
async def test_a_report_is_repeated_exactly_until_the_platform_answers(fault):
    """cloud_slow, cloud_down and 429: the report comes in time, and always with the same counts."""
    fleet = await fleet_with_counts()
    setattr(fleet.platform, fault, END_S + 7.0)
    await fleet.run_until(END_S + TERMS.due_s)
    assert fleet.platform.counts(WINDOW) == {"carp": 6}
    assert fleet.platform.counts(WINDOW + 1) == {}
    # At most one call a second for each of the two windows that are due.
    assert len(fleet.platform.reports) < 2 * (TERMS.due_s + 3)
    fleet.platform.check()


async def test_a_host_that_stops_as_planned_hands_its_counts_over():
    """roll_term: the counts of the stopped run and of its successor both count, once."""
    fleet = await fleet_with_counts()
    stopped = next(name for name in fleet.hosts if name != fleet.holder)
    await fleet.stop(stopped)
    fleet.start(stopped).begin("carp", 1)
    await fleet.run_until(END_S + 2.0)
    assert fleet.platform.counts(WINDOW) == {"carp": 7}


async def test_a_holder_that_stops_as_planned_hands_its_counts_over():
    """roll_term: the next holder has the counts of the one before, and waits for its lease."""
    fleet = await fleet_with_counts()
    await fleet.stop(fleet.holder)
    await fleet.run_until(END_S + TERMS.due_s)
    assert fleet.platform.counts(WINDOW) == {"carp": 6}
    fleet.platform.check()


async def test_a_repeated_handover_adds_nothing():
    """A message may arrive twice; the counts of a run and window replace themselves."""
    fleet = await fleet_with_counts()
    holder = fleet.holder
    link = fleet.network.link("x")
    link.on_request(UsageHandover, UsageHandoverAnswer, None)
    message = UsageHandover(99, ((WINDOW, {"carp": 5}),))
    for _ in range(2):
        assert (await link.request(holder, message, 1.0)).is_kept
    await fleet.run_until(END_S + 2.0)
    assert fleet.platform.counts(WINDOW) == {"carp": 11}
    lines = fleet.hosts[holder].logged("usage_taken_over")
    assert [line["is_repeated"] for line in lines] == [False, True]


async def test_malformed_counts_change_nothing_and_are_logged():
    """Bad input: a negative count or too many windows is refused with a line."""
    fleet = await fleet_with_counts()
    holder = fleet.hosts[fleet.holder]
    link = fleet.network.link("x")
    link.on_request(UsageHandover, UsageHandoverAnswer, None)
    windows = [(WINDOW, {"carp": 1})] * 50
    for bad in (((WINDOW, {"carp": -5}),), tuple(windows)):
        assert not (await link.request(holder.name, UsageHandover(9, bad), 1.0)).is_kept
    other = next(name for name in fleet.hosts if name != holder.name)

    async def answer(sender, request):
        return UsageAnswer(1, request.window, 0, {"carp": -1})

    fleet.hosts[other].collector._link.on_request(UsageRequest, UsageAnswer, answer)
    await fleet.run_until(END_S + TERMS.due_s)
    assert fleet.platform.counts(WINDOW) == {"carp": 4}
    assert len(holder.logged("usage_counts_refused")) >= 3
    assert holder.logged("usage_incomplete")[0]["missing"] == (other,)


async def test_a_killed_host_loses_only_what_was_not_collected():
    """herd_kill: the window before was collected already and stays complete."""
    fleet = await fleet_with_counts()
    await fleet.run_until(END_S + 2.0)
    killed = next(name for name in fleet.hosts if name != fleet.holder)
    fleet.hosts[killed].begin("dace", 4)
    fleet.kill(killed)
    fleet.start(killed).begin("dace", 1)
    await fleet.run_until(END_S + TERMS.window_s + 2.0)
    assert fleet.platform.counts(WINDOW) == {"carp": 6}
    assert fleet.platform.counts(WINDOW + 1) == {"dace": 1}


@pytest.mark.parametrize(("heals_after_s", "expected"), [(2.5, 6), (8.0, 4)])
async def test_a_host_that_is_cut_from_the_holder_is_waited_for(heals_after_s, expected):
    """node_cut: a short cut costs nothing; a long one costs that host's share, not the window."""
    fleet = await fleet_with_counts()
    holder = fleet.hosts[fleet.holder]
    other = next(name for name in fleet.hosts if name != holder.name)
    fleet.network.isolate([other])
    await fleet.run_until(END_S + heals_after_s)
    fleet.network.heal_all()
    await fleet.run_until(END_S + TERMS.due_s)
    assert fleet.platform.counts(WINDOW) == {"carp": expected}
    missing = [line["missing"] for line in holder.logged("usage_incomplete")]
    assert missing == ([] if expected == 6 else [(other,)])
    await fleet.run_until(END_S + 2 * TERMS.due_s)
    fleet.platform.check()


async def test_clocks_that_jump_on_some_hosts_do_not_move_windows():
    """clock_step: the holder and another host jump by 2,400 s, in the middle of a window."""
    fleet = await fleet_with_counts("abcde")
    for name in (fleet.holder, "d"):
        fleet.hosts[name].jump_s = 2400.0
    await fleet.run_until(END_S + 2.0)
    assert fleet.platform.counts(WINDOW) == {"carp": 10}
    fleet.kill(fleet.holder)
    await fleet.run_until(END_S + 2 * TERMS.window_s + 2.0)
    assert fleet.platform.counts(WINDOW + 1) == {}
    assert {r.window for r in fleet.platform.reports} <= set(range(FIRST_WINDOW - 3, WINDOW + 3))


async def test_hosts_that_start_with_a_wrong_clock_follow_the_majority():
    """clock_step: two of five start 2,400 s ahead, one of them as holder."""
    fleet = await fleet_with_counts("abcde", jumped={"a": 2400.0, "b": 2400.0})
    assert fleet.holder == "a"
    await fleet.run_until(END_S + 2.0)
    assert fleet.platform.counts(WINDOW) == {"carp": 10}
    line = fleet.hosts["a"].logged("usage_time_agreed")[0]
    assert line["own_off_s"] == pytest.approx(2400.0, abs=0.1)


async def test_nothing_is_reported_while_half_of_the_clocks_are_unknown():
    """node_cut: a holder that hears too few clocks could take a wrong one for the time."""
    fleet = UsageFleet("abcd")
    fleet.network.isolate("a")
    await fleet.run_until(END_S)
    assert not fleet.platform.reports
    fleet.network.heal_all()
    await fleet.run_until(END_S + 2.0)
    assert fleet.platform.counts(WINDOW) == {}


async def test_a_restored_store_leads_to_no_second_report():
    """A copy that lacks the newest report: its sender repeats it, another host leaves it out."""
    fleet = await fleet_with_counts()
    copy = fleet.store.copy()
    await fleet.run_until(END_S + 2.0)
    assert fleet.platform.counts(WINDOW) == {"carp": 6}
    fleet.store.restore(copy)
    fleet.kill(fleet.holder)
    await fleet.run_until(END_S + 4 * TERMS.window_s)
    assert all(report.counts == {"carp": 6} for report in fleet.platform.of_window(WINDOW))
    newest = max(report.window for report in fleet.platform.reports)
    assert newest >= WINDOW + 2
    fleet.platform.check()


async def test_a_holder_goes_on_after_a_restoration_that_kept_its_lock():
    """A lock of the earlier era can be renewed, but no report can be recorded with it."""
    fleet = await fleet_with_counts()
    await fleet.run_until(END_S + 2.0)
    fleet.store.restore(fleet.store.copy())
    await fleet.run_until(END_S + 5 * TERMS.window_s)
    assert fleet.platform.counts(WINDOW) == {"carp": 6}
    # The windows until the lock was acquired anew are left out.
    assert fleet.platform.counts(WINDOW + 3) == {}
    fleet.platform.check()


async def test_records_are_removed_after_a_while():
    """The store keeps one short record a window, for the last windows only."""
    fleet = UsageFleet("a")
    await fleet.run_until((KEPT_WINDOWS + 10) * TERMS.window_s)
    items = fleet.store.apply_get_prefix("usage/reports/")
    assert len(items) == KEPT_WINDOWS
    windows = [decode_record(item, UsageReportRecord).window for item in items]
    assert max(windows) == FIRST_WINDOW + int(now_s() / TERMS.window_s) - 2


async def test_a_foreign_record_does_not_stop_the_duty():
    """Bad input: bytes of another writer under the prefix are logged and left alone."""
    fleet = UsageFleet("a")
    fleet.store.apply_transact([], [Put(usage_report_key(7), b"[[[")])
    await fleet.run_until(END_S + LOCK_LEASE_S)
    assert fleet.platform.counts(WINDOW) == {}
    assert fleet.hosts["a"].logged("record_unreadable")
