"""Tests of switches: no host may use the old primary once the new one accepts work."""

import asyncio
import dataclasses

import pytest
from fleet.store_support import put
from fleet.switch_support import World

from pistachiowinch.base.clock import now_s
from pistachiowinch.fleet.messages import DrainAnswer
from pistachiowinch.fleet.primary_lease import PRIMARY_LEASE_S
from pistachiowinch.fleet.records import PrimaryRecord, encode_record, group_key
from pistachiowinch.fleet.switching import (
    ORDER_EFFECT_S,
    PRIMARY_LEASE_MARGIN_S,
    STATE_TIMEOUT_S,
    PrimarySwitch,
    PromoteAnswer,
    SwitchRequest,
)
from pistachiowinch.links.statements import Position, ReasonRefused, TargetState
from pistachiowinch.links.store import StoreReplyLost

pytestmark = pytest.mark.looptime

CRASH_REQUEST = SwitchRequest("s", "test", False, "a", ("b", "c"))
SYNC_REQUEST = CRASH_REQUEST._replace(sync_replicas=1)


async def test_the_longest_log_is_promoted_after_all_hosts_have_drained():
    """ONE: the order may be sent only after every host has stopped using the old primary."""
    world = World()
    assert await PrimarySwitch(world.context, CRASH_REQUEST).run()
    target, _, at_s, drained = world.group.promotions[0]
    assert target == "c"
    assert drained == 4
    assert at_s < 0.3
    assert world.recorded() == PrimaryRecord(1, "c")
    assert world.table.primary("s") == "c"
    assert sorted(world.hosts.notices) == list("qrst")
    assert world.group.demoted == ["a"]


async def test_the_switch_waits_for_the_lease_of_a_silent_host():
    """ONE and STALE: a partitioned host uses the old primary until its lease expires."""
    world = World()
    world.hosts.silent = {"q"}
    assert await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert world.group.promotions[0][2] >= PRIMARY_LEASE_S


async def test_without_a_majority_nothing_is_promoted():
    """ONE: a majority of silent hosts can extend each other's leases without end."""
    world = World()
    world.hosts.silent = {"q", "r", "s"}
    assert not await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert not world.group.promotions


async def test_losing_the_majority_restarts_the_wait():
    """ONE: found by the model; a member that returns may have extended leases meanwhile."""
    world = World()
    world.hosts.silent = {"q", "r"}
    members = {"names": frozenset("pqrs")}
    world.context = dataclasses.replace(
        world.context,
        members=lambda: members["names"],
        voter_groups=lambda: (members["names"],),
    )
    loop = asyncio.get_running_loop()
    loop.call_later(0.3, members.update, {"names": frozenset("pqs")})
    loop.call_later(0.6, members.update, {"names": frozenset("pqrs")})
    loop.call_later(0.9, members.update, {"names": frozenset("pqs")})
    assert await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert world.group.promotions[0][2] >= 0.9 + PRIMARY_LEASE_S


async def test_a_majority_of_the_previous_voters_is_needed_during_a_change():
    """ONE: found by the model; a host that has not read the change relies on previous voters."""
    world = World()
    world.hosts.silent = {"s", "t"}
    voter_groups = [frozenset("pqr"), frozenset("qst")]
    world.context = dataclasses.replace(world.context, voter_groups=lambda: tuple(voter_groups))
    asyncio.get_running_loop().call_later(3.0, voter_groups.pop)
    assert await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert world.group.promotions[0][2] >= 3.0 + PRIMARY_LEASE_S


async def test_members_from_before_the_switch_do_not_decide():
    """ONE: found by the model; a host that returned before the switch was still taken for gone."""
    world = World()
    world.revision_lead = -10
    asyncio.get_running_loop().call_later(1.0, setattr, world, "revision_lead", 0)
    assert await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert world.group.promotions[0][2] >= 1.0
    assert world.refreshed_s


async def test_voters_that_had_stopped_as_planned_count_as_drained():
    """RECOVER: three of five voters have left, and the other two cannot be a majority alone."""
    world = World("qrs")
    world.hosts.silent = {"s"}
    voters = frozenset("pqstuvw")
    world.context = dataclasses.replace(world.context, voter_groups=lambda: (voters,))
    assert await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert world.group.promotions[0][2] >= PRIMARY_LEASE_S


async def test_a_voter_that_returns_during_a_switch_does_not_restart_the_wait():
    """RECOVER: a host that registers after the start of a switch knows of it."""
    world = World("qrs")
    world.hosts.silent = {"r", "s"}
    members = {"names": frozenset("pqs")}
    world.context = dataclasses.replace(
        world.context,
        members=lambda: members["names"],
        voter_groups=lambda: (frozenset("pqrs"),),
    )
    asyncio.get_running_loop().call_later(0.6, members.update, {"names": frozenset("pqrs")})
    assert await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert world.group.promotions[0][2] < 0.6 + PRIMARY_LEASE_S


async def test_the_switch_waits_for_work_in_progress_at_another_host():
    """ONE: a host with work in progress at the old primary has not stopped using it."""
    world = World()
    world.hosts.busy_until_s["q"] = 0.5
    assert await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert world.group.promotions[0][2] >= 0.5


async def test_the_switch_waits_for_the_promoters_own_work():
    """ONE: the promoter's own drain counted as done although work was left."""
    world = World()
    world.own_work_until_s = 0.5
    assert await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert world.group.promotions[0][2] >= 0.5


async def test_a_host_that_is_in_touch_and_never_idle_delays_a_switch_by_one_lease():
    """ONE, RECOVER: such a host acknowledges until its lease from before the switch is over."""
    world = World()
    world.hosts.busy_until_s["q"] = 60.0
    world.own_work_until_s = 60.0
    assert await PrimarySwitch(world.context, CRASH_REQUEST).run()
    at_s = world.group.promotions[0][2]
    assert PRIMARY_LEASE_S + PRIMARY_LEASE_MARGIN_S <= at_s < PRIMARY_LEASE_S + 0.3


async def test_slow_statements_at_most_hosts_do_not_hold_up_a_switch():
    """RECOVER: hosts that know of the switch were waited for until they had no work left."""
    world = World()
    world.hosts.busy_until_s = dict.fromkeys("qrst", 60.0)
    assert await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert world.group.promotions[0][2] < PRIMARY_LEASE_S + 0.3


async def test_hosts_that_know_a_later_switch_do_not_count():
    """ONE: their evidence says nothing of this switch, which another host has continued."""
    world = World()

    async def request(host, message, timeout_s):
        await asyncio.sleep(0.001)
        return DrainAnswer(False, False)

    world.hosts.request = request
    assert not await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert not world.group.promotions


async def test_the_next_candidate_is_tried_if_the_first_is_not_running():
    """A response with status 409 from the platform must not end the switch."""
    world = World()
    world.group.not_running = {"c"}
    assert await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert [order[0] for order in world.group.promotions] == ["c", "b"]


async def test_a_planned_switch_waits_for_the_replica_to_catch_up():
    """LOST: entries that the old primary acknowledged must be in the new primary's log."""
    world = World()
    world.group.states["a"] = TargetState(True, 1, Position(1, 12))
    request = SwitchRequest("s", "leaving", True, "a", ("b", "c"))
    loop = asyncio.get_running_loop()
    caught_up = TargetState(False, 1, Position(1, 12))
    loop.call_later(0.4, world.group.states.update, {"c": caught_up})
    assert await PrimarySwitch(world.context, request).run()
    target, _, at_s, _ = world.group.promotions[0]
    assert (target, at_s >= 0.4) == ("c", True)
    assert world.drained[0] > 0.0


async def test_a_candidate_that_is_slow_to_answer_is_not_passed_over():
    """LOST, report of the review: with ``syncReplicas`` 1 an acknowledged commit may be in the log
    of one replica only. Its slots were full of reads, and a shorter log was promoted.
    """
    world = World()
    original = world.group.state
    busy_until_s = now_s() + 1.5 * STATE_TIMEOUT_S

    async def state(service, target, timeout_s):
        wait_s = busy_until_s - now_s() if target == "c" else 0.0
        await asyncio.sleep(min(max(wait_s, 0.0), timeout_s))
        return None if wait_s > timeout_s else await original(service, target, timeout_s)

    world.group.state = state
    assert await PrimarySwitch(world.context, SYNC_REQUEST).run()
    assert world.group.promotions[0][0] == "c"


async def test_a_slow_candidate_does_not_delay_a_switch_without_synchronous_replication():
    world = World()
    world.group.unreachable = {"b"}
    assert await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert world.group.promotions[0][2] < 2 * STATE_TIMEOUT_S


async def test_a_replica_whose_queue_is_full_is_asked_again_until_it_answers():
    """LOST, review/13: a refusal was taken for the answer of a target that is not there."""
    world = World()
    original = world.group.state

    async def state(service, target, timeout_s):
        is_full = target == "c" and now_s() < 4.0
        return ReasonRefused.BUSY if is_full else await original(service, target, timeout_s)

    world.group.state = state
    assert await PrimarySwitch(world.context, SYNC_REQUEST).run()
    assert [(target, at_s < 4.5) for target, _, at_s, _ in world.group.promotions] == [("c", True)]


async def test_a_switch_gives_up_rather_than_promote_without_the_last_replica():
    """LOST: the replica that is silent may be the one that has the acknowledged commits."""
    world = World()
    world.group.unreachable = {"c"}
    assert not await PrimarySwitch(world.context, SYNC_REQUEST).run()
    assert not world.group.promotions


async def test_the_replaced_primary_is_used_again_if_a_replica_stays_silent():
    world = World()
    world.group.unreachable = {"c"}
    loop = asyncio.get_running_loop()
    returned = TargetState(True, 1, Position(1, 9))
    loop.call_later(3.0, world.group.states.__setitem__, "a", returned)
    assert await PrimarySwitch(world.context, SYNC_REQUEST).run()
    assert world.table.primary("s") == "a"
    assert not world.group.promotions


async def test_a_shorter_log_is_not_promoted_after_an_order_in_vain():
    """LOST: the next candidate was tried, whatever it lacked."""
    world = World()
    world.group.not_running = {"c"}
    assert not await PrimarySwitch(world.context, SYNC_REQUEST).run()
    assert {target for target, *_ in world.group.promotions} == {"c"}


async def test_a_replica_that_was_removed_in_a_switch_is_waited_for():
    """LOST: a silent target is removed from the store after some seconds, and keeps its log."""
    world = World()
    world.group.unreachable = {"c"}
    asyncio.get_running_loop().call_later(1.0, world.addresses.pop, "c")
    assert not await PrimarySwitch(world.context, SYNC_REQUEST).run()
    continued = SYNC_REQUEST._replace(old_primary="", candidates=("b",))
    assert not await PrimarySwitch(world.context, continued).run()
    assert not world.group.promotions


async def test_a_replica_that_returns_under_another_name_ends_the_wait():
    world = World()
    world.group.states["d"] = world.group.states.pop("c")
    world.addresses["c"] = "at-c"
    first = asyncio.ensure_future(PrimarySwitch(world.context, SYNC_REQUEST).run())
    await asyncio.sleep(2.0)
    assert not world.group.promotions
    del world.addresses["c"]
    world.addresses["d"] = "at-c"
    assert not await first
    continued = SYNC_REQUEST._replace(old_primary="", candidates=("b", "d"))
    assert await PrimarySwitch(world.context, continued).run()
    assert world.group.promotions[0][0] == "d"


async def test_a_replica_that_was_registered_in_a_switch_is_asked_too():
    """LOST: it may have received what no other replica has."""
    world = World()
    world.group.states["d"] = TargetState(False, 1, Position(1, 12))
    world.group.unreachable = {"d"}
    asyncio.get_running_loop().call_later(0.001, world.addresses.__setitem__, "d", "at-d")
    assert not await PrimarySwitch(world.context, SYNC_REQUEST).run()
    assert not world.group.promotions


async def test_no_switch_begins_without_the_store():
    """ONE: hosts that rely on the store would not see a switch that is not recorded there."""
    world = World()
    world.store.faults.is_down = True
    assert not await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert not world.hosts.drained


async def test_a_change_of_the_record_by_another_host_stops_the_switch():
    """ONE: two promoters must not both continue from the same record."""
    world = World()
    assert await world.context.promotion_lock.acquire()
    original = world.store.get

    async def get_then_change(key):
        found = await original(key)
        if key == group_key("s"):
            put(world.store, key, encode_record(PrimaryRecord(3, "b")))
        return found

    world.store.get = get_then_change
    assert not await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert not world.group.promotions


async def test_an_unfinished_switch_is_continued_only_after_earlier_orders_took_effect():
    """ONE: an order of the crashed promoter may take effect after the next switch has begun."""
    world = World()
    world.table.adopt("s", PrimaryRecord(1, ""), "store")
    put(world.store, group_key("s"), encode_record(PrimaryRecord(1, "")))
    world.group.states["a"] = TargetState(True, 1, Position(1, 12))
    asyncio.get_running_loop().call_later(ORDER_EFFECT_S - 0.3, world.group.become_primary, "c")
    request = SwitchRequest("s", "unfinished", False, "", ("a", "b", "c"))
    assert await PrimarySwitch(world.context, request).run()
    assert world.recorded() == PrimaryRecord(2, "c")
    assert not world.group.promotions


async def test_a_lost_answer_to_the_outcome_changes_nothing():
    """platform_lost: the outcome may have been recorded although the answer was lost, or not."""
    world = World()

    promote = world.group.promote

    async def promote_then_lose(*order):
        world.store.faults.lost_replies = 1
        return await promote(*order)

    world.group.promote = promote_then_lose
    assert await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert world.recorded() == PrimaryRecord(1, "c")


CONTINUED_REQUEST = SwitchRequest("s", "unfinished", False, "", ("a", "b", "c"))


def interrupted(ordered: str) -> World:
    """Return a world whose promoter died during a switch; the old primary still works."""
    world = World()
    record = PrimaryRecord(1, "", ordered)
    world.table.adopt("s", record, "store")
    put(world.store, group_key("s"), encode_record(record))
    world.group.states["a"] = TargetState(True, 1, Position(1, 9))
    return world


async def test_an_interrupted_switch_without_an_order_ends_at_once():
    """power_off_all: three services had no primary for 4 s, though nothing had been ordered."""
    world = interrupted("")
    assert await PrimarySwitch(world.context, CONTINUED_REQUEST).run()
    assert world.recorded() == PrimaryRecord(2, "a")
    assert not world.group.promotions
    assert now_s() < 0.2


async def test_an_interrupted_order_is_repeated_instead_of_keeping_the_old_primary():
    """ONE: the first order may still be carried out, after which the old primary must not serve."""
    world = interrupted("c")
    assert await PrimarySwitch(world.context, CONTINUED_REQUEST).run()
    assert [order[0] for order in world.group.promotions] == ["c"]
    assert world.group.promotions[0][2] < 0.2
    assert world.recorded() == PrimaryRecord(2, "c")


async def test_an_interrupted_order_to_a_silent_target_is_given_time_to_take_effect():
    """ONE: a target that does not answer may be promoted by the order that it was named in."""
    world = interrupted("c")
    del world.group.states["c"]
    assert await PrimarySwitch(world.context, CONTINUED_REQUEST).run()
    assert now_s() >= ORDER_EFFECT_S
    assert world.recorded().primary == "a"


async def test_an_interrupted_order_to_a_short_log_is_not_repeated():
    """LOST: entries of a longer log must not be given up because of an order that had no effect."""
    world = interrupted("b")
    del world.group.states["a"]
    assert await PrimarySwitch(world.context, CONTINUED_REQUEST).run()
    assert [order[0] for order in world.group.promotions] == ["c"]
    assert world.group.promotions[0][2] >= ORDER_EFFECT_S


async def test_an_order_is_recorded_before_it_is_sent():
    """ONE: a host that continues the switch relies on the record of the last order."""
    world = World()
    recorded = []
    promote = world.group.promote

    async def record_then_promote(*order):
        recorded.append(world.recorded())
        return await promote(*order)

    world.group.promote = record_then_promote
    assert await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert recorded == [PrimaryRecord(1, "", "c", "p", 1, ("a",), ("at-b", "at-c"))]


async def test_a_lost_answer_to_the_record_of_an_order_does_not_end_the_switch():
    """platform_lost: the order may be sent once the record is known to be written."""
    world = World()
    transact = world.store.transact
    calls = []

    async def lose_second_answer(compares, operations):
        reply = await transact(compares, operations)
        calls.append(operations)
        if len(calls) == 3:
            raise StoreReplyLost("lost")
        return reply

    world.store.transact = lose_second_answer
    assert await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert world.recorded() == PrimaryRecord(1, "c")


async def test_no_order_is_sent_that_cannot_be_recorded():
    """ONE: a successor that finds no order in the record keeps the old primary at once."""
    world = World()
    loop = asyncio.get_running_loop()
    world.hosts.busy_until_s["q"] = 0.5
    loop.call_later(0.3, setattr, world.store.faults, "is_down", True)
    assert not await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert not world.group.promotions


async def test_an_order_that_the_store_lost_is_waited_for():
    """ONE: two orders for different targets; a restored store names no order of the known epoch."""
    world = World()
    world.table.adopt("s", PrimaryRecord(2, ""), "peer")
    put(world.store, group_key("s"), encode_record(PrimaryRecord(1, "a", "")))
    assert await PrimarySwitch(world.context, CONTINUED_REQUEST).run()
    assert now_s() >= ORDER_EFFECT_S


async def test_an_old_primary_is_not_taken_back_while_the_ordered_target_is_silent():
    """ONE, review/6: the promoter and the target that it had promoted were cut off together."""
    world = interrupted("c")
    world.group.become_primary("c")
    world.group.unreachable = {"c"}
    assert await PrimarySwitch(world.context, CONTINUED_REQUEST).run()
    assert world.recorded().primary == world.group.newest_primary != "c"


async def test_an_old_primary_is_not_taken_back_after_an_order_of_the_same_switch():
    """ONE: the only candidate is promoted and cut off; the old primary returns."""
    world = World()
    del world.group.states["b"]
    world.group.states["a"] = TargetState(True, 1, Position(1, 9))
    promote = world.group.promote

    async def promote_and_cut_off(service, target, *order):
        if target == "c":
            world.group.unreachable = {"c"}
        return await promote(service, target, *order)

    world.group.promote = promote_and_cut_off
    assert await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert world.recorded().primary == world.group.newest_primary == "a"


async def test_an_old_primary_is_not_taken_back_if_an_unknown_order_may_have_taken_effect():
    """ONE: a restored store has lost the record of an order, and one target is silent."""
    world = interrupted("c")
    put(world.store, group_key("s"), encode_record(PrimaryRecord(1, "", None)))
    world.group.become_primary("c")
    world.group.unreachable = {"c"}
    assert await PrimarySwitch(world.context, CONTINUED_REQUEST).run()
    assert world.recorded().primary == world.group.newest_primary != "c"


async def test_an_older_primary_is_not_used_while_the_replaced_one_is_silent():
    """ONE, found by the model: a target that was replaced by the present primary, and has not heard
    of it, answers when that one falls silent.
    """
    world = interrupted("c")
    record = PrimaryRecord(2, "c")
    world.table.adopt("s", record, "store")
    put(world.store, group_key("s"), encode_record(record))
    world.group.become_primary("c")
    world.group.unreachable = {"b", "c"}
    request = SwitchRequest("s", "test", False, "c", ("a", "b"))
    assert await PrimarySwitch(world.context, request).run()
    assert world.recorded().primary == world.group.newest_primary == "a"


async def test_the_old_primary_is_used_if_the_silent_target_was_never_promoted():
    """RECOVER: the platform accepts an order for the newest primary, whose term then stays."""
    world = interrupted("c")
    world.group.states["a"] = TargetState(True, 1, Position(1, 12))
    world.group.unreachable = {"c"}
    assert await PrimarySwitch(world.context, CONTINUED_REQUEST).run()
    assert world.recorded().primary == world.group.newest_primary == "a"


async def test_an_order_without_effect_does_not_clear_an_earlier_one():
    """ONE: the second order of two was not executed, and its target answers."""
    world = interrupted("c")
    record = PrimaryRecord(1, "", "b", "q", 1, ("c",))
    put(world.store, group_key("s"), encode_record(record))
    world.group.become_primary("c")
    world.group.unreachable = {"c"}
    assert await PrimarySwitch(world.context, CONTINUED_REQUEST).run()
    assert world.recorded().primary == world.group.newest_primary != "c"


async def test_an_unanswered_order_for_the_old_primary_proves_nothing():
    """ONE: the platform did not answer whether it knows a later primary."""
    world = interrupted("c")
    world.group.states["a"] = TargetState(True, 1, Position(1, 12))
    world.group.become_primary("c")
    world.group.unreachable = {"c"}

    async def no_answer(service, target, *order):
        return PromoteAnswer.UNAVAILABLE

    world.group.promote = no_answer
    assert not await PrimarySwitch(world.context, CONTINUED_REQUEST).run()
    assert world.recorded().primary == ""


async def test_an_ordered_target_that_has_taken_over_needs_no_other_order():
    """RECOVER: the successor of a promoter that died after the promotion serves at once."""
    world = interrupted("c")
    record = PrimaryRecord(1, "", "c", "q", 1)
    put(world.store, group_key("s"), encode_record(record))
    world.group.become_primary("c")
    assert await PrimarySwitch(world.context, CONTINUED_REQUEST).run()
    assert world.recorded().primary == "c"
    assert not world.group.promotions
    assert now_s() < 0.2


async def test_a_new_primary_is_not_used_by_a_promoter_that_is_cut_off():
    """LOST, review/6: hosts beside a promoter that was cut off wrote to a primary that only they
    knew; the host that continued the switch chose another one.
    """
    world = World()
    promote = world.group.promote

    async def promote_and_cut_off(*order):
        world.store.faults.is_down = True
        world.hosts.silent = {"q", "r", "s"}
        return await promote(*order)

    world.group.promote = promote_and_cut_off
    switch = asyncio.ensure_future(PrimarySwitch(world.context, CRASH_REQUEST).run())
    await asyncio.sleep(5.0)
    assert world.group.newest_primary == "c"
    assert world.table.primary("s") == ""
    assert not world.hosts.notices
    world.store.faults.is_down = False
    assert await switch
    assert world.recorded() == PrimaryRecord(1, "c")
    assert world.table.primary("s") == "c"


async def test_a_majority_confirms_a_new_primary_while_the_store_is_away():
    """RECOVER: a service had no primary for as long as the store was silent, although every host
    knew of the switch.
    """
    world = World()
    world.hosts.silent = {"q", "r"}
    promote = world.group.promote

    async def promote_and_lose_store(*order):
        world.store.faults.is_down = True
        return await promote(*order)

    world.group.promote = promote_and_lose_store
    switch = asyncio.ensure_future(PrimarySwitch(world.context, CRASH_REQUEST).run())
    await asyncio.sleep(PRIMARY_LEASE_S + 1.0)
    assert world.table.primary("s") == "c"
    assert sorted(world.hosts.notices) == list("qrst")
    world.store.faults.is_down = False
    assert await switch
    assert world.recorded() == PrimaryRecord(1, "c")


async def test_an_outcome_is_dropped_if_another_host_has_continued_the_switch():
    """ONE: the outcome of a promoter that was cut off came after its successor's switch."""
    world = World()
    promote = world.group.promote
    successor = encode_record(PrimaryRecord(2, "", "c", "p", 1))

    async def promote_and_lose_lock(*order):
        put(world.store, group_key("s"), successor)
        return await promote(*order)

    world.group.promote = promote_and_lose_lock
    assert not await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert world.table.primary("s") == ""
    assert not world.hosts.notices
    assert world.recorded().epoch == 2


async def test_a_switch_is_not_begun_on_an_outdated_view():
    """ONE: a host that has not read of another host's order must not forget it."""
    world = World()
    record = PrimaryRecord(1, "", "b", "q", 1, ("a",))
    put(world.store, group_key("s"), encode_record(record))
    assert not await PrimarySwitch(world.context, CRASH_REQUEST).run()
    assert world.recorded() == record
    assert world.table.epoch("s") == 1
    assert not world.group.promotions


async def test_a_switch_that_another_host_has_ended_is_not_continued():
    """ONE: the recorded primary is silent, and an older one still claims to lead."""
    world = interrupted("c")
    put(world.store, group_key("s"), encode_record(PrimaryRecord(1, "c")))
    world.group.become_primary("c")
    world.group.unreachable = {"b", "c"}
    assert not await PrimarySwitch(world.context, CONTINUED_REQUEST).run()
    assert world.table.primary("s") == "c"
    assert not world.group.promotions
