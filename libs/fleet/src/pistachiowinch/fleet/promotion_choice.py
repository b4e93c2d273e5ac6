"""Decides which target a switch makes primary.

Load pattern: a partition moves. The promoter orders a target and is cut off together with it, while
the old primary returns. The host that continues the switch reaches the old primary, which does not
know of its successor, and cannot reach the target that was ordered.

That a target does not answer says nothing about its promotion. Unless the target that was ordered
last is seen, a continued switch therefore orders a promotion of its own. It begins a later term,
and the platform accepts it without effect only if the target is the newest primary.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from pistachiowinch.links.statements import TargetState

__all__ = [
    "NO_ORDERS",
    "Choice",
    "OrderTarget",
    "PromotionOrders",
    "SwitchProgress",
    "UseTarget",
    "WaitForOrder",
    "WaitForTargets",
    "best_candidate",
    "choose_primary",
    "highest_term",
]


class PromotionOrders(NamedTuple):
    """The promotions that were ordered since the service had a recorded primary.

    :param target: the target that was ordered last; empty if none was ordered, None if unknown.
    :param host: host that gave the last order.
    :param term_before: highest term that any target reported before the order; None if unknown.
    :param earlier: targets that were ordered before, one of which leads if the last order was not
        executed; None if unknown.
    """

    target: str | None
    host: str = ""
    term_before: int | None = None
    earlier: tuple[str, ...] | None = ()

    def followed_by(self, target: str, host: str, term_before: int) -> "PromotionOrders":
        """Return the record of the next order."""
        if self.target is None or self.earlier is None:
            return PromotionOrders(target, host, term_before, None)
        earlier = {self.target, *self.earlier} - {"", target}
        return PromotionOrders(target, host, term_before, tuple(sorted(earlier)))


NO_ORDERS = PromotionOrders("")


class SwitchProgress(NamedTuple):
    """What a promoter knows when it chooses.

    :param states: states of the targets that answer.
    :param candidates: targets that may become primary, preferred ones first.
    :param targets: all targets of the service.
    :param old_primary: the old primary's name; empty if unknown.
    :param orders: the last order, of this switch or of an earlier one.
    :param is_settled: whether that order has taken effect or never will.
    :param failed: targets that this switch has ordered in vain.
    """

    states: Mapping[str, TargetState]
    candidates: tuple[str, ...]
    targets: Collection[str]
    old_primary: str
    orders: PromotionOrders
    is_settled: bool
    failed: Collection[str] = frozenset()


@dataclass(frozen=True)
class UseTarget:
    """The target is the newest primary.

    :param evidence: what proves it, for the log.
    """

    target: str
    evidence: str


@dataclass(frozen=True)
class OrderTarget:
    """The target's promotion has to be ordered.

    :param reason: why, for the log.
    """

    target: str
    reason: str


@dataclass(frozen=True)
class WaitForOrder:
    """The last order may still take effect."""


@dataclass(frozen=True)
class WaitForTargets:
    """No target answers that could be used or ordered."""


Choice = UseTarget | OrderTarget | WaitForOrder | WaitForTargets


def choose_primary(progress: SwitchProgress) -> Choice:
    """Return the next step of a switch."""
    last = progress.orders
    if _has_taken_over(progress):
        return UseTarget(str(last.target), "took over after the last order")
    if last.target and _is_resumable(progress, last.target):
        return OrderTarget(last.target, "the last order is repeated")
    if _may_be_in_effect(progress):
        return _choose_without_ordered(progress)
    leader = _leader(progress.states, progress.candidates)
    if leader is not None:
        return UseTarget(leader, "leads the highest term, and no other target was promoted")
    best = best_candidate(progress)
    if best is not None:
        return OrderTarget(best, "has the longest log")
    if _leader(progress.states, (progress.old_primary,)) is not None:
        return UseTarget(progress.old_primary, "still leads, and no other target was promoted")
    return WaitForTargets()


def highest_term(states: Mapping[str, TargetState]) -> int:
    """Return the highest term that a target reports; 0 if none answers."""
    return max((state.term for state in states.values()), default=0)


def best_candidate(progress: SwitchProgress) -> str | None:
    """Return the candidate with the longest log, or None.

    Of equal ones a replica is preferred, since its promotion shows in its role.
    """
    usable = [
        (name, state)
        for name in progress.candidates
        if (state := progress.states.get(name)) is not None
        and state.received is not None
        and name not in progress.failed
    ]
    if not usable:
        return None
    return max(usable, key=lambda entry: (entry[1].received, not entry[1].is_primary))[0]


def _choose_without_ordered(progress: SwitchProgress) -> Choice:
    """Choose although a target that does not answer may be the newest primary."""
    if not progress.is_settled:
        # Two orders for different targets may take effect in either order.
        return WaitForOrder()
    best = best_candidate(progress)
    if best is None and progress.old_primary in progress.states:
        best = progress.old_primary
    if best is None:
        return WaitForTargets()
    return OrderTarget(best, "a target that was ordered before may be primary and does not answer")


def _has_taken_over(progress: SwitchProgress) -> bool:
    """Return whether the target that was ordered last leads a later term than before its order."""
    last = progress.orders
    state = progress.states.get(last.target or "")
    if state is None or last.term_before is None or not state.is_primary:
        return False
    return state.term > last.term_before and state.term == highest_term(progress.states)


def _is_resumable(progress: SwitchProgress, target: str) -> bool:
    """Return whether ordering the last ordered target again is right.

    A second order for the same target cannot contradict the first one, whose effect may still be
    due. A target whose log is shorter than another's is not ordered again.
    """
    best = best_candidate(progress)
    state = progress.states.get(target)
    if best is None or state is None or target in progress.failed:
        return False
    if target not in progress.candidates:
        return False
    return state.is_primary or state.received == progress.states[best].received


def _may_be_in_effect(progress: SwitchProgress) -> bool:
    """Return whether a target that nobody has seen promoted may be the newest primary."""
    last = progress.orders
    if last.target == "":
        return False
    is_unknown = last.target is None or last.earlier is None
    possible = progress.targets if is_unknown else (last.target, *last.earlier)
    return not progress.is_settled or any(name not in progress.states for name in possible)


def _leader(states: Mapping[str, TargetState], names: Collection[str]) -> str | None:
    """Return the one of the targets that is primary of the highest known term, or None."""
    highest = highest_term(states)
    for name in names:
        state = states.get(name)
        if state is not None and state.is_primary and state.term == highest:
            return name
    return None
