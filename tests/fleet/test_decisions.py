"""Proof, order of records and reasons to switch: the decisions without input and output."""

import asyncio

import pytest

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

VIEW = ServiceView("s", "a", False, True, False, ("b", "c"), 0, 9)


@pytest.mark.parametrize(
    ("voters", "contacts", "is_proved"),
    [("a", "a", True), ("ab", "a", False), ("abc", "ab", True), ("abcd", "ab", False)],
)
async def test_exactly_half_is_no_majority(voters, contacts, is_proved):
    """ONE: two halves of the hosts must not both hold a proof."""
    assert includes_majority(frozenset(voters), frozenset(contacts)) is is_proved


async def test_strangers_do_not_count():
    """ONE: a host that is not counted cannot help to a majority."""
    assert not includes_majority(frozenset("abc"), frozenset("axyz"))


async def test_the_store_proves_only_for_a_while():
    """ONE: knowledge of the store must run out before a promotion that followed it."""
    loop = asyncio.get_running_loop()
    read_s = loop.time()
    proof = PrimaryLease(lambda: frozenset("abc"), lambda within_s: frozenset("a"), lambda: read_s)
    assert proof.is_valid
    await asyncio.sleep(PRIMARY_LEASE_S + 0.01)
    assert not proof.is_valid


async def test_peers_prove_nothing_to_a_host_that_was_away_for_long():
    """ONE: a host that is no longer a member must not use a majority of others like it."""
    loop = asyncio.get_running_loop()
    read_s = loop.time()
    everybody = frozenset("abc")
    proof = PrimaryLease(lambda: everybody, lambda within_s: everybody, lambda: read_s)
    await asyncio.sleep(STORE_ABSENCE_LIMIT_S - 0.1)
    assert proof.is_valid
    await asyncio.sleep(0.2)
    assert not proof.is_valid


async def test_records_only_go_forward():
    """ONE: a delayed heartbeat must not bring an old primary back."""
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


async def test_a_host_alone_in_its_suspicion_changes_nothing():
    """A partition of one host must not move a primary that all others reach."""
    assert reason_to_switch(VIEW._replace(suspecting_hosts=1)) is None
    assert reason_to_switch(VIEW) is None


async def test_reasons_in_order_of_urgency():
    """A primary that most hosts miss is replaced sooner than one that some miss."""
    most = reason_to_switch(VIEW._replace(suspecting_hosts=5))
    some = reason_to_switch(VIEW._replace(suspecting_hosts=4))
    gone = reason_to_switch(VIEW._replace(is_primary_registered=False))
    leaving = reason_to_switch(VIEW._replace(is_primary_leaving=True))
    assert most.delay_s < some.delay_s
    assert not most.is_planned and not gone.is_planned
    assert leaving.is_planned and leaving.delay_s == 0.0


async def test_without_a_candidate_a_working_primary_stays():
    """DRAIN: with no replica to promote, a switch would only stop the service."""
    assert reason_to_switch(VIEW._replace(is_primary_leaving=True, candidates=())) is None


async def test_an_unfinished_switch_is_taken_over():
    """A promoter that died after it began must not leave the service without a primary."""
    assert reason_to_switch(VIEW._replace(primary="", is_switching=True)) is not None
