"""Tests of the choice of a primary: silence of a target says nothing about its promotion."""

import pytest

from pistachiowinch.fleet.promotion_choice import (
    OrderTarget,
    PromotionOrders,
    SwitchProgress,
    UseTarget,
    WaitForLogs,
    WaitForOrder,
    WaitForTargets,
    choose_primary,
)
from pistachiowinch.links.statements import Position, TargetState

OLD = TargetState(True, 1, Position(1, 9))
REPLICA = TargetState(False, 1, Position(1, 9))
SHORT = TargetState(False, 1, Position(1, 7))
PROMOTED = TargetState(True, 2, Position(1, 9))
NO_ORDERS = PromotionOrders("", possible_primaries=("a",))
ORDERED_C = PromotionOrders("c", "q", 1)


def progress(
    orders: PromotionOrders = ORDERED_C, is_settled: bool = True, **states: TargetState
) -> SwitchProgress:
    """Return the view of a host that continues a switch of a service of three targets."""
    return SwitchProgress(states, ("a", "b", "c"), ("a", "b", "c"), "", orders, is_settled)


def test_a_moved_partition_leads_to_a_later_promotion():
    """ONE, review/6: the old primary returned as the ordered target was cut off."""
    steps = [
        choose_primary(progress(is_settled=False, a=OLD, b=REPLICA)),
        choose_primary(progress(a=OLD, b=REPLICA)),
        choose_primary(progress(PromotionOrders("b", "p", 1, ("c",)), a=OLD, b=PROMOTED)),
    ]
    assert [type(step) for step in steps] == [WaitForOrder, OrderTarget, UseTarget]
    assert [step.target for step in steps[1:]] == ["b", "b"]


def test_an_old_primary_with_a_longer_log_is_ordered_and_not_just_used():
    """ONE: commits that only the old primary has are kept, if it begins a later term."""
    choice = choose_primary(progress(a=OLD, b=SHORT))
    assert isinstance(choice, OrderTarget)
    assert choice.target == "a"


def test_a_primary_of_an_earlier_order_is_not_used_while_a_later_one_is_silent():
    """ONE: the first of two orders took effect in sight, the second one out of sight."""
    orders = PromotionOrders("c", "q", 2, ("b",))
    choice = choose_primary(progress(orders, a=OLD, b=PROMOTED))
    assert isinstance(choice, OrderTarget)


def test_the_old_primary_is_used_once_all_ordered_targets_answer():
    """RECOVER: orders that reached nobody must not cost another promotion."""
    orders = PromotionOrders("b", "q", 1, ("c",))
    choice = choose_primary(progress(orders, a=OLD, b=SHORT, c=SHORT))
    assert choice == UseTarget("a", "leads the highest term, and no silent target can be newer")


@pytest.mark.parametrize("orders", [PromotionOrders(None), PromotionOrders("b", "q", 1, None)])
def test_an_unknown_order_may_have_promoted_any_silent_target(orders):
    """ONE: a restored store has lost the record of an order."""
    assert isinstance(choose_primary(progress(orders, a=OLD, b=SHORT)), OrderTarget)
    assert isinstance(choose_primary(progress(orders, a=OLD, b=SHORT, c=SHORT)), UseTarget)


def test_without_an_order_the_old_primary_is_used_at_once():
    """RECOVER: a switch that was interrupted before its order must end without a wait."""
    choice = choose_primary(progress(NO_ORDERS, is_settled=False, a=OLD, b=REPLICA))
    assert isinstance(choice, UseTarget)
    assert choice.target == "a"


def test_an_older_primary_is_not_used_while_the_replaced_one_is_silent():
    """ONE, found by the model: a primary of an earlier term had not heard of its successor."""
    orders = PromotionOrders("", possible_primaries=("c",))
    assert isinstance(choose_primary(progress(orders, a=OLD, b=REPLICA)), OrderTarget)


def test_without_any_answer_nothing_is_chosen():
    """ONE: two silent targets leave nothing to order."""
    assert choose_primary(progress()) == WaitForTargets()


def test_orders_accumulate_until_a_primary_is_recorded():
    """ONE: a later order must not hide an earlier one that took effect."""
    orders = NO_ORDERS.followed_by("b", "p", 1).followed_by("c", "q", 2)
    assert orders == PromotionOrders("c", "q", 2, ("a", "b"))
    assert orders.followed_by("b", "r", 3).possible_primaries == ("a", "c")
    assert PromotionOrders(None).followed_by("b", "r", 3).possible_primaries is None


ORDERED_B = PromotionOrders("b", "q", 1, ("a",))


@pytest.mark.parametrize(
    ("changes", "states", "expected"),
    [
        ({}, {"b": SHORT}, WaitForLogs),
        ({}, {"b": SHORT, "c": REPLICA}, OrderTarget),
        ({}, {"b": SHORT, "c": TargetState(False, 1, None)}, WaitForLogs),
        ({"sync_replicas": 0}, {"b": SHORT}, OrderTarget),
        ({"sync_replicas": 2}, {"b": SHORT}, OrderTarget),
        ({"replicas": ()}, {"b": SHORT}, WaitForLogs),
        ({"failed": ("c",)}, {"b": SHORT, "c": REPLICA}, WaitForLogs),
        ({}, {"a": OLD._replace(is_primary=False), "b": REPLICA}, OrderTarget),
        ({}, {"a": OLD._replace(is_primary=False), "b": SHORT}, WaitForLogs),
        ({}, {"a": OLD, "b": SHORT}, UseTarget),
        ({"orders": ORDERED_B}, {"b": SHORT}, OrderTarget),
        ({"orders": ORDERED_B, "failed": ("b",)}, {"b": SHORT, "c": SHORT}, OrderTarget),
        ({"orders": ORDERED_B, "failed": ("b",)}, {"c": REPLICA}, WaitForLogs),
        ({"orders": PromotionOrders(None)}, {"b": REPLICA, "c": SHORT}, OrderTarget),
        ({"orders": PromotionOrders(None)}, {"b": REPLICA}, WaitForLogs),
    ],
)
def test_an_order_needs_the_logs_that_may_have_acknowledged_commits(changes, states, expected):
    """LOST, review/13: the longest log of the replicas that had answered was promoted."""
    known = SwitchProgress(
        states, ("b", "c"), "abc", "a", NO_ORDERS, True, sync_replicas=1, replicas=("b", "c")
    )
    assert isinstance(choose_primary(known._replace(**changes)), expected)
