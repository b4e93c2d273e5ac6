"""Tests of decisions without I/O: primary leases, order of records and reasons to switch."""

import asyncio
import math

import pytest

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.primaries import PrimaryTable
from pistachiowinch.fleet.primary_lease import (
    PRIMARY_LEASE_S,
    STORE_ABSENCE_LIMIT_S,
    PrimaryLease,
    includes_majority,
)
from pistachiowinch.fleet.records import PrimaryRecord
from pistachiowinch.fleet.supervision import ServiceView, reason_to_switch

pytestmark = pytest.mark.looptime

VIEW = ServiceView("s", "a", False, True, False, ("b", "c"), 0, 9, 0, 3)


@pytest.mark.parametrize(
    ("voters", "contacts", "is_majority"),
    [("a", "a", True), ("ab", "a", False), ("abc", "ab", True), ("abcd", "ab", False)],
)
async def test_exactly_half_is_no_majority(voters, contacts, is_majority):
    """ONE: two halves of the voters must not both be majorities."""
    assert includes_majority(frozenset(voters), frozenset(contacts)) is is_majority


async def test_hosts_that_do_not_vote_do_not_count():
    """ONE: a host that is not a voter must not add to a majority."""
    assert not includes_majority(frozenset("abc"), frozenset("axyz"))


async def test_contact_with_the_store_extends_the_lease_only_for_its_duration():
    """ONE: a lease from the store must expire before a later promotion takes effect."""
    loop = asyncio.get_running_loop()
    read_s = loop.time()
    lease = PrimaryLease(
        lambda: frozenset("abc"), lambda: {"a": now_s()}, lambda: read_s, lambda: read_s
    )
    assert lease.is_valid
    await asyncio.sleep(PRIMARY_LEASE_S + 0.01)
    assert not lease.is_valid


async def test_peers_do_not_extend_the_lease_after_a_long_store_absence():
    """ONE: hosts that are no longer members must not extend each other's leases."""
    loop = asyncio.get_running_loop()
    read_s = loop.time()
    hosts = frozenset("abc")
    lease = PrimaryLease(
        lambda: hosts, lambda: dict.fromkeys(hosts, now_s()), lambda: read_s, lambda: read_s
    )
    await asyncio.sleep(STORE_ABSENCE_LIMIT_S - 0.1)
    assert lease.is_valid
    await asyncio.sleep(0.2)
    assert not lease.is_valid


async def test_a_host_that_the_store_does_not_list_has_no_lease():
    """ONE: found by the model; a promoter does not wait for a host that is not a member."""
    hosts = frozenset("abc")
    listed_as_of_s = {"a": float("-inf")}
    lease = PrimaryLease(
        lambda: hosts,
        lambda: dict.fromkeys(hosts, now_s()),
        now_s,
        lambda: listed_as_of_s["a"],
    )
    assert not lease.is_valid
    assert not lease.has_majority
    listed_as_of_s["a"] = now_s()
    assert lease.is_valid
    await asyncio.sleep(STORE_ABSENCE_LIMIT_S + 0.1)
    assert not lease.is_valid


async def test_without_recorded_voters_only_the_store_extends_the_lease():
    """ONE: hosts of a new fleet may each know other members, and majorities of them differ."""
    read_s = now_s()
    lease = PrimaryLease(
        frozenset, lambda: dict.fromkeys("abc", now_s()), lambda: read_s, lambda: read_s
    )
    assert lease.is_valid
    await asyncio.sleep(PRIMARY_LEASE_S + 0.01)
    assert not lease.is_valid


async def test_the_lease_lasts_as_long_as_the_oldest_evidence_of_its_freshest_majority():
    """ONE: a time beyond that would be longer than a promoter waits."""
    evidence_s = {"a": now_s(), "b": now_s() - 0.3, "c": now_s() - 0.5}
    lease = PrimaryLease(lambda: frozenset("abcde"), lambda: evidence_s, lambda: -math.inf, now_s)
    assert lease.valid_until_s == pytest.approx(now_s() + PRIMARY_LEASE_S - 0.5)
    del evidence_s["c"]
    assert lease.valid_until_s == -math.inf


async def test_an_epoch_ends_with_the_lease_at_its_first_switch():
    """ONE: work of an epoch was acknowledged by evidence that came after its end was known."""
    lease_until_s = [now_s() + 0.8]
    table = PrimaryTable(DecisionLog("test"), lambda: lease_until_s[0])
    assert table.acknowledge_until_s("s", 0) == math.inf
    table.adopt("s", PrimaryRecord(1, ""), "peer")
    first_s, lease_until_s[0] = lease_until_s[0], now_s() + 1.5
    table.adopt("s", PrimaryRecord(1, "b"), "peer")
    table.adopt("s", PrimaryRecord(2, ""), "peer")
    assert table.acknowledge_until_s("s", 0) == first_s
    assert table.acknowledge_until_s("s", 1) == lease_until_s[0]
    assert table.acknowledge_until_s("s", 2) == math.inf
    assert table.acknowledge_until_s("t", 0) == math.inf
    await asyncio.sleep(1.0)
    table.adopt("s", PrimaryRecord(4, ""), "store")
    assert table.acknowledge_until_s("s", 0) == -math.inf
    assert table.acknowledge_until_s("s", 3) == -math.inf


async def test_older_records_are_not_adopted():
    """ONE: a delayed heartbeat must not restore an old primary."""
    table = PrimaryTable(DecisionLog("test"))
    table.set_registry_primary("s", "a")
    assert table.primary("s") == "a"
    assert table.adopt("s", PrimaryRecord(1, ""), "store")
    assert table.primary("s") == ""
    assert table.adopt("s", PrimaryRecord(1, "b"), "peer")
    assert not table.adopt("s", PrimaryRecord(1, ""), "late heartbeat")
    assert not table.adopt("s", PrimaryRecord(0, "a"), "late heartbeat")
    table.set_registry_primary("s", "c")
    assert table.primary("s") == "b"


async def test_the_suspicion_of_a_single_host_causes_no_switch():
    """A partition of one host must not replace a primary that all others reach."""
    assert reason_to_switch(VIEW._replace(suspecting_hosts=1)) is None
    assert reason_to_switch(VIEW) is None


async def test_more_suspicion_shortens_the_delay_of_a_switch():
    """A primary that most hosts suspect is replaced sooner than one that some suspect."""
    most = reason_to_switch(VIEW._replace(suspecting_hosts=5, suspecting_zones=2))
    some = reason_to_switch(VIEW._replace(suspecting_hosts=4, suspecting_zones=2))
    unregistered = reason_to_switch(VIEW._replace(is_primary_registered=False))
    leaving = reason_to_switch(VIEW._replace(is_primary_leaving=True))
    assert most.delay_s < some.delay_s
    assert not most.is_planned and not unregistered.is_planned
    assert leaving.is_planned and leaving.delay_s == 0.0


async def test_a_cut_zone_with_many_hosts_does_not_move_the_primaries_of_other_zones():
    """zone_cut, 3 of 8 hosts: primaries changed every 0.7 s, and no zone was served for 4 s."""
    cut = VIEW._replace(suspecting_hosts=3, reporting_hosts=8, suspecting_zones=1)
    assert reason_to_switch(cut) is None
    assert reason_to_switch(cut._replace(suspecting_zones=2)) is not None
    assert reason_to_switch(cut._replace(suspecting_hosts=5, suspecting_zones=2)) is not None
    only_zone = cut._replace(reporting_zones=1)
    assert reason_to_switch(only_zone) is not None


async def test_a_minority_gets_no_switch_to_targets_that_it_cannot_reach_either():
    """A primary that moves back and forth between equally unreachable targets serves nobody."""
    some = VIEW._replace(suspecting_hosts=4, suspecting_zones=2)
    no_better = some._replace(unreachable_candidates=frozenset("bc"))
    assert reason_to_switch(no_better) is None
    assert reason_to_switch(no_better._replace(suspecting_hosts=5)) is not None
    assert some._replace(unreachable_candidates=frozenset("b")).reachable_candidates == ("c",)


async def test_without_a_candidate_a_working_primary_stays():
    """DRAIN: without a replica to promote, a switch would only interrupt the service."""
    assert reason_to_switch(VIEW._replace(is_primary_leaving=True, candidates=())) is None


async def test_an_unfinished_switch_is_a_reason_to_switch():
    """A promoter that crashed during a switch must not leave the service without a primary."""
    assert reason_to_switch(VIEW._replace(primary="", is_switching=True)) is not None


async def test_suspicion_that_spreads_does_not_start_its_delay_again():
    """A primary in a cut zone was moved 0.35 s late, since a majority followed a minority."""
    some = reason_to_switch(VIEW._replace(suspecting_hosts=4, suspecting_zones=2))
    most = reason_to_switch(VIEW._replace(suspecting_hosts=5, suspecting_zones=2))
    unregistered = reason_to_switch(VIEW._replace(is_primary_registered=False))
    assert most.continues(some) and some.continues(most)
    assert not unregistered.continues(some)


async def test_a_switch_whose_promoter_is_gone_is_taken_over_soon():
    """power_off_all: a switch that the loss interrupted was taken up 2.3 s after the return."""
    running = reason_to_switch(VIEW._replace(primary="", is_switching=True))
    orphaned = VIEW._replace(primary="", is_switching=True, is_switch_orphaned=True)
    assert reason_to_switch(orphaned).delay_s < 0.2 < running.delay_s
