"""Specification of a switch of the primary whose record a restored store has lost.

Three hosts vote. Host 0 records a switch, hosts acknowledge it and the replica is promoted; at any
time the store may be restored from a copy without the record, and host 2 may start anew and forget
what it knew. A host uses the old primary while it does not know of the switch and holds a primary
lease: recent evidence from the store, or from a majority of the hosts.
"""

import enum
from collections.abc import Mapping, Sequence

import z3

from pistachiowinch.model.checker import Action, State
from pistachiowinch.model.evidence import age
from pistachiowinch.model.guards import GuardedSpecification

__all__ = ["RestorationGuard", "RestorationSpecification"]

_HOSTS = 3
_PROMOTER = 0
_STARTING = 2
_NUMBER_BITS = 3
_PRIMARY_LEASE_STEPS = 1
_MAX_AGE_STEPS = 4


class RestorationGuard(enum.Enum):
    """Guards that a test removes to show that the checker then finds a violation."""

    ORDER_IN_ITS_ERA = "an order is recorded on a condition of the era in which its switch began"
    COMPLETE_FIRST = "a restored store proves nothing before its records are complete"
    KNOWLEDGE_STAYS = "a host does not go back to an older record of the store"
    ASK_A_MAJORITY = "records are completed by a host that has heard a majority since"
    FORGETFUL_IS_NO_WITNESS = "a host that has read only the copy is no evidence for others"
    FORGETFUL_USES_NO_PRIMARY = "a host that has read only the copy holds no lease"
    FORGETFUL_DOES_NOT_COMPLETE = "a host that has read only the copy completes no records"


class RestorationSpecification(GuardedSpecification[RestorationGuard]):
    """Three hosts, one switch, one restoration and one start.

    :param removed: guard to leave out, or None for the complete protocol.
    """

    @property
    def name(self) -> str:
        """Name in reports."""
        return "restoration"

    @property
    def scope(self) -> str:
        """The bounds of the model."""
        return f"{_HOSTS} hosts, 1 switch, 1 restoration, 1 start, proofs of 1 step"

    def variables(self) -> Mapping[str, z3.SortRef]:
        """Return the variables and their sorts.

        ``forgetful``: whether the starting host has read no complete records. ``away``: steps since
        the store proved something to a host. ``age``: steps since the date of evidence.
        """
        number, flag = z3.BitVecSort(_NUMBER_BITS), z3.BoolSort()
        flags = ("begun", "recorded", "ordered", "promoted", "restored", "complete")
        sorts: dict[str, z3.SortRef] = dict.fromkeys(flags, flag)
        sorts |= dict.fromkeys(("started", "loaded", "forgetful"), flag)
        sorts |= dict.fromkeys(("since_majority", "since_restored"), number)
        for host in range(_HOSTS):
            sorts |= {f"knows{host}": flag, f"acknowledged{host}": flag, f"away{host}": number}
            sorts |= {f"age{host}{peer}": number for peer in range(_HOSTS) if peer != host}
        return sorts

    def initial(self) -> Mapping[str, int | bool]:
        """Start with a complete store, and without evidence between the hosts."""
        values: dict[str, int | bool] = dict.fromkeys(self.variables(), 0)
        for name in values:
            if name.startswith(("age", "since", "away")):
                values[name] = _MAX_AGE_STEPS
        return values | {"complete": True, "loaded": True}

    def actions(self, state: State) -> Sequence[Action]:
        """Return the actions of the store, the hosts and time."""
        actions = [
            self._tick(state),
            self._record_switch(state),
            self._record_order(state),
            self._promote(state),
            self._restore(state),
            self._start(state),
        ]
        for host in range(_HOSTS):
            actions.append(self._acknowledge(state, host))
            actions.append(self._read_store(state, host))
            actions.append(self._complete(state, host))
            for peer in range(_HOSTS):
                if peer != host:
                    actions.append(self._hear(state, host, peer))
        return actions

    def invariants(self, state: State) -> Mapping[str, z3.BoolRef]:
        """Require that no host uses the old primary after the promotion."""
        users = [self._uses_old_primary(state, host) for host in range(_HOSTS)]
        return {
            "no host uses the old primary after the promotion": z3.Implies(
                state["promoted"], z3.Not(z3.Or(*users))
            )
        }

    def _uses_old_primary(self, state: State, host: int) -> z3.BoolRef:
        by_store = _is_fresh(state[f"away{host}"])
        # With itself, one peer makes a majority of three.
        by_peers = z3.Or(*[_is_fresh(state[f"age{host}{peer}"]) for peer in _peers(host)])
        may_use = z3.Not(state[f"knows{host}"])
        if host == _STARTING and self._has_guard(RestorationGuard.FORGETFUL_USES_NO_PRIMARY):
            may_use = z3.And(may_use, z3.Not(state["forgetful"]))
        return z3.And(may_use, z3.Or(by_store, by_peers))

    def _tick(self, state: State) -> Action:
        updates = {
            name: age(state[name], _MAX_AGE_STEPS)
            for name in state
            if name.startswith(("age", "since", "away"))
        }
        return Action("time passes", z3.BoolVal(True), updates)

    def _record_switch(self, state: State) -> Action:
        guard = z3.And(z3.Not(state["begun"]), z3.Not(state["restored"]))
        known = {f"{name}{_PROMOTER}": z3.BoolVal(True) for name in ("knows", "acknowledged")}
        updates = {"begun": z3.BoolVal(True), "recorded": z3.BoolVal(True), **known}
        return Action("the switch is recorded", guard, updates)

    def _acknowledge(self, state: State, host: int) -> Action:
        is_loaded = state["loaded"] if host == _STARTING else z3.BoolVal(True)
        others = [
            state[f"acknowledged{peer}"] for peer in range(_HOSTS) if peer not in (host, _PROMOTER)
        ]
        # The promoter has acknowledged, so the first of the others completes the majority.
        completes = z3.Not(z3.Or(*others))
        return Action(
            f"host {host} stops using the old primary and acknowledges",
            z3.And(state["begun"], z3.Not(state[f"acknowledged{host}"]), is_loaded),
            {
                f"knows{host}": z3.BoolVal(True),
                f"acknowledged{host}": z3.BoolVal(True),
                "since_majority": z3.If(
                    completes, z3.BitVecVal(0, _NUMBER_BITS), state["since_majority"]
                ),
            },
        )

    def _record_order(self, state: State) -> Action:
        others = [state[f"acknowledged{host}"] for host in range(_HOSTS) if host != _PROMOTER]
        limit = z3.BitVecVal(_PRIMARY_LEASE_STEPS, _NUMBER_BITS)
        is_waited = z3.And(z3.Or(*others), z3.UGT(state["since_majority"], limit))
        conditions = [state["begun"], z3.Not(state["ordered"]), z3.Or(z3.And(*others), is_waited)]
        if self._has_guard(RestorationGuard.ORDER_IN_ITS_ERA):
            conditions.append(z3.Not(state["restored"]))
        return Action("the order is recorded", z3.And(*conditions), {"ordered": z3.BoolVal(True)})

    def _promote(self, state: State) -> Action:
        guard = z3.And(state["ordered"], z3.Not(state["promoted"]))
        return Action("the replica is promoted", guard, {"promoted": z3.BoolVal(True)})

    def _restore(self, state: State) -> Action:
        return Action(
            "the store is restored without the record",
            z3.Not(state["restored"]),
            {
                "restored": z3.BoolVal(True),
                "recorded": z3.BoolVal(False),
                "complete": z3.BoolVal(False),
                "since_restored": z3.BitVecVal(0, _NUMBER_BITS),
            },
        )

    def _start(self, state: State) -> Action:
        oldest = z3.BitVecVal(_MAX_AGE_STEPS, _NUMBER_BITS)
        updates = {f"age{_STARTING}{peer}": oldest for peer in _peers(_STARTING)}
        updates |= {
            f"away{_STARTING}": oldest,
            f"knows{_STARTING}": z3.BoolVal(False),
            "started": z3.BoolVal(True),
            "forgetful": z3.BoolVal(True),
            "loaded": z3.BoolVal(False),
        }
        return Action(f"host {_STARTING} starts anew", z3.Not(state["started"]), updates)

    def _read_store(self, state: State, host: int) -> Action:
        proves = z3.BoolVal(True)
        if self._has_guard(RestorationGuard.COMPLETE_FIRST):
            proves = state["complete"]
        zero = z3.BitVecVal(0, _NUMBER_BITS)
        knows = state["recorded"]
        if self._has_guard(RestorationGuard.KNOWLEDGE_STAYS):
            knows = z3.Or(knows, state[f"knows{host}"])
        updates = {
            f"away{host}": z3.If(proves, zero, state[f"away{host}"]),
            f"knows{host}": knows,
        }
        if host == _STARTING:
            updates["loaded"] = z3.BoolVal(True)
            updates["forgetful"] = z3.And(state["forgetful"], z3.Not(state["complete"]))
        return Action(f"host {host} reads the store", z3.BoolVal(True), updates)

    def _hear(self, state: State, host: int, peer: int) -> Action:
        """Ask a peer and receive its answer in one step."""
        guard = state["loaded"] if _STARTING in (host, peer) else z3.BoolVal(True)
        is_witness = z3.BoolVal(True)
        if peer == _STARTING and self._has_guard(RestorationGuard.FORGETFUL_IS_NO_WITNESS):
            is_witness = z3.Not(state["forgetful"])
        date = z3.If(is_witness, z3.BitVecVal(0, _NUMBER_BITS), state[f"age{host}{peer}"])
        knows = z3.Or(state[f"knows{host}"], state[f"knows{peer}"])
        return Action(
            f"host {host} hears host {peer}",
            guard,
            {f"age{host}{peer}": date, f"knows{host}": knows},
        )

    def _complete(self, state: State, host: int) -> Action:
        conditions = [state["restored"], z3.Not(state["complete"])]
        if self._has_guard(RestorationGuard.ASK_A_MAJORITY):
            since = state["since_restored"]
            heard = [z3.ULT(state[f"age{host}{peer}"], since) for peer in _peers(host)]
            conditions.append(z3.Or(*heard))
        if host == _STARTING:
            conditions.append(state["loaded"])
            if self._has_guard(RestorationGuard.FORGETFUL_DOES_NOT_COMPLETE):
                conditions.append(z3.Not(state["forgetful"]))
        return Action(
            f"host {host} writes what it knows and the era",
            z3.And(*conditions),
            {"complete": z3.BoolVal(True), "recorded": state[f"knows{host}"]},
        )


def _peers(host: int) -> tuple[int, ...]:
    return tuple(peer for peer in range(_HOSTS) if peer != host)


def _is_fresh(steps: z3.ExprRef) -> z3.BoolRef:
    return z3.ULE(steps, z3.BitVecVal(_PRIMARY_LEASE_STEPS, _NUMBER_BITS))
