"""Decides which target a switch makes primary.

Load pattern: a partition moves. The promoter orders a target and is cut off together with it, while
the old primary returns. The host that continues the switch reaches the old primary, which does not
know of its successor, and cannot reach the target that was ordered.

That a target does not answer says nothing about its promotion. If the newest primary may be silent,
a switch therefore orders a promotion of its own. It begins a later term, and the platform accepts
it without effect only if the target is the newest primary.

Load pattern: a service replicates synchronously, and one replica receives nothing for a while. The
primary crashes, and the replica that has its commits answers late, because it serves all reads.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from pistachiowinch.links.statements import TargetState

__all__ = [
    "Choice",
    "OrderTarget",
    "PromotionOrders",
    "SwitchProgress",
    "UseTarget",
    "WaitForLogs",
    "WaitForOrder",
    "WaitForTargets",
    "choose_primary",
    "has_acknowledged_commits",
    "highest_term",
]


class PromotionOrders(NamedTuple):
    """The promotions that were ordered since the service had a recorded primary.

    :param target: the target that was ordered last; empty if none was ordered, None if unknown.
    :param host: host that gave the last order.
    :param term_before: highest term that any target reported before the order; None if unknown.
    :param possible_primaries: targets of which one leads unless the last order was executed: the
        primary that is replaced, and targets that were ordered before. None if unknown.
    """

    target: str | None
    host: str = ""
    term_before: int | None = None
    possible_primaries: tuple[str, ...] | None = ()

    def followed_by(self, target: str, host: str, term_before: int) -> "PromotionOrders":
        """Return the record of the next order."""
        if self.target is None or self.possible_primaries is None:
            return PromotionOrders(target, host, term_before, None)
        possible = {self.target, *self.possible_primaries} - {"", target}
        return PromotionOrders(target, host, term_before, tuple(sorted(possible)))


class SwitchProgress(NamedTuple):
    """What a promoter knows when it chooses.

    :param states: states of the targets that answer.
    :param candidates: targets that may become primary, preferred ones first.
    :param targets: all targets of the service.
    :param old_primary: the old primary's name; empty if unknown.
    :param orders: the last order, of this switch or of an earlier one.
    :param is_settled: whether that order has taken effect or never will.
    :param failed: targets that this switch has ordered in vain.
    :param sync_replicas: replicas that have received a commit before it is acknowledged.
    :param replicas: replicas that the replaced primary had; those without a known name stand under
        their address.
    """

    states: Mapping[str, TargetState]
    candidates: tuple[str, ...]
    targets: Collection[str]
    old_primary: str
    orders: PromotionOrders
    is_settled: bool
    failed: Collection[str] = frozenset()
    sync_replicas: int = 0
    replicas: Collection[str] = ()


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


@dataclass(frozen=True)
class WaitForLogs:
    """The logs that are known may lack acknowledged commits."""


Choice = UseTarget | OrderTarget | WaitForOrder | WaitForTargets | WaitForLogs


def choose_primary(progress: SwitchProgress) -> Choice:
    """Return the next step of a switch."""
    last = progress.orders
    if _has_taken_over(progress):
        return UseTarget(str(last.target), "took over after the last order")
    if last.target and _is_resumable(progress, last.target):
        return OrderTarget(last.target, "the last order is repeated")
    if _may_newest_be_silent(progress):
        return _choose_without_newest(progress)
    leader = _leader(progress.states, progress.candidates)
    if leader is not None:
        return UseTarget(leader, "leads the highest term, and no silent target can be newer")
    best = _best_candidate(progress)
    if best is not None and has_acknowledged_commits(progress, best):
        return OrderTarget(best, "has the longest log")
    if _leader(progress.states, (progress.old_primary,)) is not None:
        return UseTarget(progress.old_primary, "still leads, and no silent target can be newer")
    return WaitForTargets() if best is None else WaitForLogs()


def highest_term(states: Mapping[str, TargetState]) -> int:
    """Return the highest term that a target reports; 0 if none answers."""
    return max((state.term for state in states.values()), default=0)


def has_acknowledged_commits(progress: SwitchProgress, target: str) -> bool:
    """Return whether the log of a target is known to have all acknowledged commits.

    Without synchronous replication nothing can be known, and the longest known log has to do. With
    it, a commit is in the log of the replaced primary and in those of ``sync_replicas`` of its
    replicas, so one of the known logs has it if fewer than ``sync_replicas`` are unknown. Targets
    that were ordered before have been chosen by the same rule.
    """
    if progress.sync_replicas <= 0:
        return True
    orders = progress.orders
    possible = {orders.target, *(orders.possible_primaries or ())} - {None, ""}
    if target in possible:
        return True
    covered = {name for name in progress.states if _is_covered(progress.states, name, target)}
    if possible and orders.possible_primaries is not None and possible <= covered:
        return True
    replicas = set(progress.replicas)
    needed = max(len(replicas) - progress.sync_replicas + 1, 1)
    return len(replicas & covered) >= needed


def _is_covered(states: Mapping[str, TargetState], name: str, by: str) -> bool:
    """Return whether the log of a target is known, and another has all of it."""
    received, limit = states[name].received, states[by].received
    return received is not None and limit is not None and received <= limit


def _best_candidate(progress: SwitchProgress) -> str | None:
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


def _choose_without_newest(progress: SwitchProgress) -> Choice:
    """Choose although a target that does not answer may be the newest primary."""
    if _is_order_pending(progress):
        # Two orders for different targets may take effect in either order.
        return WaitForOrder()
    best = _best_candidate(progress)
    if best is None and progress.old_primary in progress.states:
        best = progress.old_primary
    if best is None:
        return WaitForTargets()
    if best != progress.old_primary and not has_acknowledged_commits(progress, best):
        return WaitForLogs()
    return OrderTarget(best, "has the longest log; a target that does not answer may be primary")


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
    best = _best_candidate(progress)
    state = progress.states.get(target)
    if best is None or state is None or target in progress.failed:
        return False
    if target not in progress.candidates:
        return False
    return state.is_primary or state.received == progress.states[best].received


def _is_order_pending(progress: SwitchProgress) -> bool:
    """Return whether the last order may take effect later."""
    return progress.orders.target != "" and not progress.is_settled


def _may_newest_be_silent(progress: SwitchProgress) -> bool:
    """Return whether the newest primary may be a target that has not been seen to lead."""
    orders = progress.orders
    if orders.target is None or orders.possible_primaries is None:
        possible = set(progress.targets)
    else:
        possible = {orders.target, *orders.possible_primaries} - {""}
    return _is_order_pending(progress) or not possible <= progress.states.keys()


def _leader(states: Mapping[str, TargetState], names: Collection[str]) -> str | None:
    """Return the one of the targets that is primary of the highest known term, or None."""
    highest = highest_term(states)
    for name in names:
        state = states.get(name)
        if state is not None and state.is_primary and state.term == highest:
            return name
    return None
