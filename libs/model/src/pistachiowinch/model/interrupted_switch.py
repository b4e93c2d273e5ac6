"""Specification of a switch that one promoter leaves unfinished and others continue.

The store records which promotions were ordered. A promoter sees only the targets that answer it. An
order takes effect or is lost before a step of time ends, and an order for the newest primary is
accepted without effect. A target that leads keeps claiming so until it hears of a later one.
"""

import enum
from collections.abc import Mapping, Sequence

import z3

from pistachiowinch.model.checker import Action, State
from pistachiowinch.model.guards import GuardedSpecification

__all__ = ["InterruptedSwitchGuard", "InterruptedSwitchSpecification"]

_TARGETS = 3
_MAX_EPOCHS = 3
_NUMBER_BITS = 3
_MAX_TERM = 7
# Numbers of a target, and of none.
_OLD_PRIMARY, _NONE = 0, _TARGETS


class InterruptedSwitchGuard(enum.Enum):
    """Guards that a test removes to show that the checker then finds a violation."""

    ORDERS_RECORDED = "an order is recorded before it is sent"
    SILENCE_PROVES_NOTHING = "a silent target that was ordered may be primary"
    EARLIER_ORDERS_COUNT = "an order does not clear the doubt about earlier ones"
    REPLACED_PRIMARY_COUNTS = "a silent primary that is being replaced is still the newest one"
    ORDERS_SETTLED = "an order has taken effect or never will before another target is ordered"
    TERM_BEFORE = "a target has taken over if it leads a later term than before its order"
    ACCEPTED = "only an accepted order shows that its target was the newest primary"
    EFFECT_AWAITED = "an accepted order is given time to take effect"
    OUTCOME_CONFIRMED = "a primary is recorded before it is used"
    ARRIVES_IN_TIME = "an order that is held up does not arrive later"


class InterruptedSwitchSpecification(GuardedSpecification[InterruptedSwitchGuard]):
    """Three targets, and promoters that continue each other's switch.

    :param removed: guard to leave out, or None for the complete protocol.
    """

    @property
    def name(self) -> str:
        """Name in reports."""
        return "interrupted switch"

    @property
    def scope(self) -> str:
        """The bounds of the model."""
        return f"{_TARGETS} targets, {_MAX_EPOCHS} promoters, targets answer or not at any time"

    def variables(self) -> Mapping[str, z3.SortRef]:
        """Return the variables and their sorts.

        ``newest``: the target whose promotion took effect last. ``last``: the target that was
        ordered last; ``before``: the highest term seen before that order; ``accepted``: whether it
        was accepted. ``settled``: whether time has passed since. ``hidden``: a target that was used
        and is not recorded. For each target: ``answers``, ``claims`` to lead ``term``, is
        ``possible`` as the newest primary, an order is ``sent`` or ``pending``, and ``used`` by
        hosts.
        """
        number, flag = z3.BitVecSort(_NUMBER_BITS), z3.BoolSort()
        sorts: dict[str, z3.SortRef] = dict.fromkeys(
            ("epoch", "newest", "last", "before", "hidden"), number
        )
        sorts |= dict.fromkeys(("accepted", "settled", "switching"), flag)
        for target in range(_TARGETS):
            sorts[f"term{target}"] = number
            for name in ("answers", "claims", "possible", "sent", "pending", "used"):
                sorts[f"{name}{target}"] = flag
        return sorts

    def initial(self) -> Mapping[str, int | bool]:
        """Start with a primary in use and two replicas of its term."""
        values: dict[str, int | bool] = dict.fromkeys(self.variables(), 0)
        values |= {"newest": _OLD_PRIMARY, "last": _NONE, "hidden": _NONE}
        values |= dict.fromkeys(
            (f"{name}{_OLD_PRIMARY}" for name in ("claims", "used", "possible")), True
        )
        for target in range(_TARGETS):
            values |= {f"term{target}": 1, f"answers{target}": True}
        return values

    def actions(self, state: State) -> Sequence[Action]:
        """Return the actions of the promoters, the platform, the targets and time."""
        actions = [self._tick(state), self._begin(state)]
        for target in range(_TARGETS):
            actions += [
                self._change_answering(state, target),
                self._order(state, target),
                self._arrive(state, target, is_answered=True),
                self._arrive(state, target, is_answered=False),
                self._execute(state, target),
                self._lose(state, target),
                self._follow(state, target),
                self._use(state, target),
            ]
        return actions

    def invariants(self, state: State) -> Mapping[str, z3.BoolRef]:
        """Require that only the newest primary is used, and that no work there is abandoned."""
        outdated, abandoned = [], []
        for target in range(_TARGETS):
            is_used = state[f"used{target}"]
            outdated.append(z3.And(is_used, state["newest"] != target))
            is_other_hidden = z3.And(state["hidden"] != _NONE, state["hidden"] != target)
            abandoned.append(z3.And(is_used, is_other_hidden))
        return {
            "hosts use the newest primary only": z3.Not(z3.Or(*outdated)),
            "no primary with work that is not recorded is passed over": z3.Not(z3.Or(*abandoned)),
        }

    def _highest_term(self, state: State) -> z3.ExprRef:
        """Return the highest term that a promoter sees."""
        highest: z3.ExprRef = _number(0)
        for target in range(_TARGETS):
            term = state[f"term{target}"]
            is_higher = z3.And(state[f"answers{target}"], z3.UGT(term, highest))
            highest = z3.If(is_higher, term, highest)
        return highest

    def _may_be_in_effect(self, state: State) -> z3.BoolRef:
        """Tell whether the newest primary may be out of the promoter's sight."""
        reasons = []
        if self._has_guard(InterruptedSwitchGuard.ORDERS_SETTLED):
            reasons.append(z3.And(state["last"] != _NONE, z3.Not(state["settled"])))
        if self._has_guard(InterruptedSwitchGuard.SILENCE_PROVES_NOTHING):
            reasons += [
                z3.And(state[f"possible{target}"], z3.Not(state[f"answers{target}"]))
                for target in range(_TARGETS)
            ]
        return z3.Or(*reasons)

    def _tick(self, state: State) -> Action:
        open_orders = [
            state[f"{name}{target}"] for name in ("sent", "pending") for target in range(_TARGETS)
        ]
        guard = z3.Not(z3.Or(*open_orders)) if self._arrives_in_time else z3.BoolVal(True)
        return Action("time passes", guard, {"settled": z3.BoolVal(True)})

    @property
    def _arrives_in_time(self) -> bool:
        return self._has_guard(InterruptedSwitchGuard.ARRIVES_IN_TIME)

    def _begin(self, state: State) -> Action:
        """Record the start of a switch, after which hosts have stopped using any primary."""
        updates: dict[str, z3.ExprRef] = {
            "epoch": state["epoch"] + 1,
            "switching": z3.BoolVal(True),
            "settled": z3.BoolVal(False),
            "accepted": z3.BoolVal(False),
        }
        updates |= {f"used{target}": z3.BoolVal(False) for target in range(_TARGETS)}
        if not self._has_guard(InterruptedSwitchGuard.ORDERS_RECORDED):
            updates["last"] = _number(_NONE)
            updates |= {f"possible{target}": z3.BoolVal(False) for target in range(_TARGETS)}
        if not self._has_guard(InterruptedSwitchGuard.REPLACED_PRIMARY_COUNTS):
            for target in range(_TARGETS):
                is_possible = z3.And(state["switching"], state[f"possible{target}"])
                updates[f"possible{target}"] = is_possible
        guard = z3.ULT(state["epoch"], _number(_MAX_EPOCHS))
        if self._arrives_in_time:
            guard = z3.And(guard, *[z3.Not(state[f"sent{target}"]) for target in range(_TARGETS)])
        return Action("a promoter begins", guard, updates)

    def _change_answering(self, state: State, target: int) -> Action:
        name = f"answers{target}"
        return Action(
            f"a partition of target {target} changes", z3.BoolVal(True), {name: z3.Not(state[name])}
        )

    def _order(self, state: State, target: int) -> Action:
        """Order a target: the last one again, or any if the earlier orders are settled."""
        is_same = state["last"] == target
        is_first = state["last"] == _NONE
        may_order = z3.Or(is_same, is_first)
        if self._has_guard(InterruptedSwitchGuard.ORDERS_SETTLED):
            may_order = z3.Or(may_order, state["settled"])
        else:
            may_order = z3.BoolVal(True)
        updates: dict[str, z3.ExprRef] = {
            "last": _number(target),
            "before": z3.If(is_same, state["before"], self._highest_term(state)),
            "accepted": z3.BoolVal(False),
            "settled": z3.BoolVal(False),
            f"sent{target}": z3.BoolVal(True),
            f"possible{target}": z3.BoolVal(True),
        }
        if not self._has_guard(InterruptedSwitchGuard.EARLIER_ORDERS_COUNT):
            for other in range(_TARGETS):
                updates[f"possible{other}"] = z3.BoolVal(other == target)
        guard = z3.And(
            state["switching"], state[f"answers{target}"], z3.Not(state[f"sent{target}"])
        )
        return Action(f"target {target} is ordered", z3.And(guard, may_order), updates)

    def _arrive(self, state: State, target: int, is_answered: bool) -> Action:
        is_pending = z3.Or(state[f"pending{target}"], state["newest"] != target)
        updates: dict[str, z3.ExprRef] = {
            f"sent{target}": z3.BoolVal(False),
            f"pending{target}": is_pending,
        }
        if is_answered:
            updates["accepted"] = state["last"] == target
        outcome = "is accepted" if is_answered else "arrives"
        return Action(f"the order for target {target} {outcome}", state[f"sent{target}"], updates)

    def _execute(self, state: State, target: int) -> Action:
        highest: z3.ExprRef = _number(0)
        for other in range(_TARGETS):
            term = state[f"term{other}"]
            highest = z3.If(z3.UGT(term, highest), term, highest)
        is_newest = state["newest"] == target
        term = z3.If(is_newest, state[f"term{target}"], highest + 1)
        guard = z3.And(state[f"pending{target}"], z3.ULT(highest, _number(_MAX_TERM)))
        return Action(
            f"the order for target {target} takes effect",
            guard,
            {
                f"pending{target}": z3.BoolVal(False),
                f"term{target}": term,
                f"claims{target}": z3.BoolVal(True),
                "newest": _number(target),
            },
        )

    def _lose(self, state: State, target: int) -> Action:
        return Action(
            f"the order for target {target} is lost",
            state[f"sent{target}"],
            {f"sent{target}": z3.BoolVal(False)},
        )

    def _follow(self, state: State, target: int) -> Action:
        term: z3.ExprRef = state[f"term{target}"]
        for other in range(_TARGETS):
            term = z3.If(state["newest"] == other, state[f"term{other}"], term)
        return Action(
            f"target {target} follows the newest primary",
            state["newest"] != target,
            {f"claims{target}": z3.BoolVal(False), f"term{target}": term},
        )

    def _use(self, state: State, target: int) -> Action:
        """Publish a target that is known to be the newest primary."""
        term = state[f"term{target}"]
        leads = z3.And(
            state[f"answers{target}"],
            state[f"claims{target}"],
            term == self._highest_term(state),
        )
        is_last = state["last"] == target
        has_taken_over = is_last
        if self._has_guard(InterruptedSwitchGuard.TERM_BEFORE):
            has_taken_over = z3.And(is_last, z3.UGT(term, state["before"]))
        is_confirmed = z3.And(is_last, term == state["before"])
        if self._has_guard(InterruptedSwitchGuard.ACCEPTED):
            is_confirmed = z3.And(is_confirmed, state["accepted"])
        if self._has_guard(InterruptedSwitchGuard.EFFECT_AWAITED):
            is_confirmed = z3.And(is_confirmed, state["settled"])
        is_known = z3.Or(has_taken_over, is_confirmed, z3.Not(self._may_be_in_effect(state)))
        updates: dict[str, z3.ExprRef] = {f"used{target}": z3.BoolVal(True)}
        if self._has_guard(InterruptedSwitchGuard.OUTCOME_CONFIRMED):
            updates |= {
                "switching": z3.BoolVal(False),
                "last": _number(_NONE),
                "accepted": z3.BoolVal(False),
            }
            updates |= {
                f"possible{other}": z3.BoolVal(other == target) for other in range(_TARGETS)
            }
        else:
            updates["hidden"] = _number(target)
        return Action(
            f"target {target} is published", z3.And(state["switching"], leads, is_known), updates
        )


def _number(value: int) -> z3.BitVecNumRef:
    return z3.BitVecVal(value, _NUMBER_BITS)
