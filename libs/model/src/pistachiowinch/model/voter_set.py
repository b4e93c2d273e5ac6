"""Specification of a switch of the primary while the voter set of a large fleet changes.

A non-voting host uses the old primary while it does not know of the switch and holds a primary
lease: recent evidence from the store, or from a majority of the voters that it knows. In the worst
case all voters are replaced at once, and the host has not read the new voter set.
"""

import enum
from collections.abc import Mapping, Sequence

import z3

from pistachiowinch.model.checker import Action, State
from pistachiowinch.model.evidence import age
from pistachiowinch.model.guards import GuardedSpecification

__all__ = ["VoterSetGuard", "VoterSetSpecification"]

_PREVIOUS_VOTERS = (0, 1, 2)
_NEW_VOTERS = (3, 4, 5)
_VOTERS = _PREVIOUS_VOTERS + _NEW_VOTERS
_NUMBER_BITS = 3
# Evidence counts for one step, and that of voters only within three steps after the host's last
# store contact. With two steps, the wait for leases alone would exceed this limit.
_PRIMARY_LEASE_STEPS = 1
_STORE_ABSENCE_LIMIT_STEPS = 3
_MAX_AGE_STEPS = 5


class VoterSetGuard(enum.Enum):
    """Guards that a test removes to show that the checker then finds a violation."""

    PREVIOUS_VOTER_MAJORITY = "a majority of the previous voters acknowledges after a change"
    KEEP_PREVIOUS_VOTERS = "previous voters are needed until nobody can rely on them"
    STORE_ABSENCE_LIMIT = "voters prove nothing to a host that was away for long"
    WAIT_FOR_LEASES = "hosts that do not vote are given the time of their proofs"


class VoterSetSpecification(GuardedSpecification[VoterSetGuard]):
    """One non-voting host, three voters that three others replace, and one switch.

    :param removed: guard to leave out, or None for the complete protocol.
    """

    @property
    def name(self) -> str:
        """Name in reports."""
        return "council"

    @property
    def scope(self) -> str:
        """The bounds of the model."""
        return (
            f"1 host, {len(_PREVIOUS_VOTERS)} voters replaced by {len(_NEW_VOTERS)} others, "
            f"1 switch, proofs of {_PRIMARY_LEASE_STEPS} step, "
            f"{_STORE_ABSENCE_LIMIT_STEPS} steps without contact"
        )

    def variables(self) -> Mapping[str, z3.SortRef]:
        """Return the variables and their sorts.

        ``away``: steps since the host's last store contact, direct or through other hosts.
        ``age``: steps since the date of its evidence about a voter.
        """
        number, flag = z3.BitVecSort(_NUMBER_BITS), z3.BoolSort()
        flags = ("recorded", "asking", "promoted", "changed", "knows_change", "knows_switch")
        sorts: dict[str, z3.SortRef] = dict.fromkeys(flags, flag)
        sorts |= dict.fromkeys(("away", "since_change", "since_majority"), number)
        for voter in _VOTERS:
            sorts[f"acknowledged{voter}"] = flag
            sorts[f"age{voter}"] = number
        return sorts

    def initial(self) -> Mapping[str, int | bool]:
        """Start with the previous voters; the host has no evidence from any voter."""
        values: dict[str, int | bool] = dict.fromkeys(self.variables(), 0)
        for name in values:
            if name.startswith(("age", "since")):
                values[name] = _MAX_AGE_STEPS
        return values

    def actions(self, state: State) -> Sequence[Action]:
        """Return the actions of the store, the hosts and time."""
        actions = [
            self._tick(state),
            self._change_voters(state),
            self._read_store(state),
            self._record_switch(state),
            self._request_stop(state),
            self._promote(state),
        ]
        for voter in _VOTERS:
            actions.append(self._acknowledge(state, voter))
            actions.append(self._receive_answer(state, voter))
        return actions

    def invariants(self, state: State) -> Mapping[str, z3.BoolRef]:
        """Require that the host does not use the old primary after the promotion."""
        return {
            "the host does not use the old primary after the promotion": z3.Not(
                z3.And(state["promoted"], self._uses_old_primary(state))
            )
        }

    def _uses_old_primary(self, state: State) -> z3.BoolRef:
        lease_steps = z3.BitVecVal(_PRIMARY_LEASE_STEPS, _NUMBER_BITS)
        fresh = {voter: z3.ULE(state[f"age{voter}"], lease_steps) for voter in _VOTERS}
        by_voters = z3.If(
            state["knows_change"], _majority(fresh, _NEW_VOTERS), _majority(fresh, _PREVIOUS_VOTERS)
        )
        if self._has_guard(VoterSetGuard.STORE_ABSENCE_LIMIT):
            is_within_limit = z3.ULE(
                state["away"], z3.BitVecVal(_STORE_ABSENCE_LIMIT_STEPS, _NUMBER_BITS)
            )
            by_voters = z3.And(by_voters, is_within_limit)
        by_store = z3.ULE(state["away"], lease_steps)
        return z3.And(z3.Not(state["knows_switch"]), z3.Or(by_store, by_voters))

    def _is_acknowledged(self, state: State) -> z3.BoolRef:
        """Tell whether each required majority of voters has acknowledged."""
        acknowledged = {voter: state[f"acknowledged{voter}"] for voter in _VOTERS}
        previous, new = (
            _majority(acknowledged, _PREVIOUS_VOTERS),
            _majority(acknowledged, _NEW_VOTERS),
        )
        if not self._has_guard(VoterSetGuard.PREVIOUS_VOTER_MAJORITY):
            return z3.If(state["changed"], new, previous)
        steps = (
            _STORE_ABSENCE_LIMIT_STEPS if self._has_guard(VoterSetGuard.KEEP_PREVIOUS_VOTERS) else 0
        )
        is_settled = z3.UGT(state["since_change"], z3.BitVecVal(steps, _NUMBER_BITS))
        both = z3.And(new, z3.Or(is_settled, previous))
        return z3.If(state["changed"], both, previous)

    def _with_since_majority(self, state: State, updates: dict[str, z3.ExprRef]) -> dict:
        """Extend updates: reset ``since_majority`` when they complete the required majorities."""
        after = {**state, **updates}
        since = updates.get("since_majority", state["since_majority"])
        completes = z3.And(z3.Not(self._is_acknowledged(state)), self._is_acknowledged(after))
        return {**updates, "since_majority": z3.If(completes, z3.BitVecVal(0, _NUMBER_BITS), since)}

    def _tick(self, state: State) -> Action:
        prefixes = ("age", "away", "since")
        updates = {
            name: age(state[name], _MAX_AGE_STEPS) for name in state if name.startswith(prefixes)
        }
        return Action("time passes", z3.BoolVal(True), self._with_since_majority(state, updates))

    def _change_voters(self, state: State) -> Action:
        updates = {"changed": z3.BoolVal(True), "since_change": z3.BitVecVal(0, _NUMBER_BITS)}
        return Action(
            "a new voter set is recorded",
            z3.Not(state["changed"]),
            self._with_since_majority(state, updates),
        )

    def _read_store(self, state: State) -> Action:
        return Action(
            "the host reads the store",
            z3.Not(state["promoted"]),
            {
                "away": z3.BitVecVal(0, _NUMBER_BITS),
                "knows_change": state["changed"],
                "knows_switch": z3.Or(state["knows_switch"], state["recorded"]),
            },
        )

    def _record_switch(self, state: State) -> Action:
        return Action(
            "the switch is recorded", z3.Not(state["recorded"]), {"recorded": z3.BoolVal(True)}
        )

    def _request_stop(self, state: State) -> Action:
        guard = z3.And(state["recorded"], z3.Not(state["asking"]))
        return Action(
            "all hosts are asked to stop using the old primary", guard, {"asking": z3.BoolVal(True)}
        )

    def _acknowledge(self, state: State, voter: int) -> Action:
        updates = {f"acknowledged{voter}": z3.BoolVal(True)}
        return Action(
            f"voter {voter} stops using the old primary and acknowledges",
            z3.And(state["asking"], z3.Not(state[f"acknowledged{voter}"])),
            self._with_since_majority(state, updates),
        )

    def _receive_answer(self, state: State, voter: int) -> Action:
        return Action(
            f"the host receives evidence from voter {voter}",
            z3.BoolVal(True),
            {
                f"age{voter}": z3.BitVecVal(0, _NUMBER_BITS),
                "knows_switch": z3.Or(state["knows_switch"], state[f"acknowledged{voter}"]),
            },
        )

    def _promote(self, state: State) -> Action:
        conditions = [state["asking"], z3.Not(state["promoted"]), self._is_acknowledged(state)]
        if self._has_guard(VoterSetGuard.WAIT_FOR_LEASES):
            limit = z3.BitVecVal(_PRIMARY_LEASE_STEPS, _NUMBER_BITS)
            conditions.append(z3.UGT(state["since_majority"], limit))
        return Action(
            "the replica is promoted", z3.And(*conditions), {"promoted": z3.BoolVal(True)}
        )


def _majority(flags: Mapping[int, z3.BoolRef], voters: tuple[int, ...]) -> z3.BoolRef:
    """Tell whether the flags of two of three voters are set."""
    a, b, c = (flags[voter] for voter in voters)
    return z3.Or(z3.And(a, b), z3.And(a, c), z3.And(b, c))
