"""Specification of a switch of the primary while hosts hold primary leases.

Host 0 records a switch in the store, hosts acknowledge it, and a promotion ends it. A host uses
the old primary while it does not know of the switch and holds a primary lease: recent evidence
from the store, or from a majority of the members. Time passes in steps, and evidence ages. A write
of host 1 may take any time, so that the host knows of the switch and still has work in progress.
"""

import enum
from collections.abc import Mapping, Sequence

import z3

from pistachiowinch.model.checker import Action, State
from pistachiowinch.model.evidence import age, evidence_variables
from pistachiowinch.model.guards import GuardedSpecification

__all__ = ["SwitchoverGuard", "SwitchoverSpecification"]

_HOSTS = 3
_PROMOTER = 0
# The hosts other than the promoter are alike: work at one of them covers work at the other.
_WORKER = 1
_NUMBER_BITS = 3
# Evidence counts for one step, that of peers only within two steps after the last store contact.
_PRIMARY_LEASE_STEPS = 1
_STORE_ABSENCE_LIMIT_STEPS = 2
_MAX_AGE_STEPS = 5
# Answers of peers: still using the old primary, stopped using it, or no answer yet.
_NOT_STOPPED, _STOPPED, _NO_ANSWER = 0, 1, 2


class SwitchoverGuard(enum.Enum):
    """Guards that a test removes to show that the checker then finds a violation."""

    RECORD_FIRST = "a switch is recorded in the store before hosts are asked"
    MAJORITY_ACKNOWLEDGED = "a majority of the members acknowledges before the promotion"
    WAIT_FOR_LEASES = "hosts that do not acknowledge are given the time of their proofs"
    LEASE_EXPIRES = "a host without fresh evidence does not use the primary"
    EVIDENCE_IS_DATED = "evidence is dated with the time at which it was asked for"
    STORE_ABSENCE_LIMIT = "peers prove nothing to a host that was away from the store for long"
    REMOVE_LATE = "a member is removed only when it was away for longer than that"
    WAIT_FOR_WORK = "a host with work in progress at the old primary does not count as stopped"
    LEASE_FROM_BEFORE = "such work is acknowledged by evidence from before the switch only"
    NEWS_IS_NO_EVIDENCE = "the answer that tells of the switch is no evidence from before it"


class SwitchoverSpecification(GuardedSpecification[SwitchoverGuard]):
    """Three hosts and one switch; members lose the store and are removed.

    :param removed: guard to leave out, or None for the complete protocol.
    """

    @property
    def name(self) -> str:
        """Name in reports."""
        return "switchover"

    @property
    def scope(self) -> str:
        """The bounds of the model."""
        return (
            f"{_HOSTS} hosts, 1 switch, proofs of {_PRIMARY_LEASE_STEPS} step, "
            f"{_STORE_ABSENCE_LIMIT_STEPS} steps without the store"
        )

    def variables(self) -> Mapping[str, z3.SortRef]:
        """Return the variables and their sorts.

        ``away``: steps since a host's last store contact. ``stopped``: whether a host has stopped
        using the old primary. Peers answer with their ``stopped``. ``working``: whether a write of
        the host is in progress there. ``lease``: steps since the evidence that the host had when it
        learned of the switch. Both are kept for the worker only.
        """
        number, flag = z3.BitVecSort(_NUMBER_BITS), z3.BoolSort()
        sorts: dict[str, z3.SortRef] = {
            "recorded": flag,
            "asking": flag,
            "promoted": flag,
            "since_majority": number,
        }
        for host in range(_HOSTS):
            sorts[f"member{host}"] = flag
            sorts[f"stopped{host}"] = flag
            sorts[f"acknowledged{host}"] = flag
            sorts[f"away{host}"] = number
        sorts["working"] = flag
        sorts["lease"] = number
        return sorts | evidence_variables(_HOSTS, number)

    def initial(self) -> Mapping[str, int | bool]:
        """Start with all hosts as members with fresh evidence, and without a switch."""
        values: dict[str, int | bool] = dict.fromkeys(self.variables(), 0)
        for name in values:
            if name.startswith("member"):
                values[name] = True
            elif name.startswith("answer"):
                values[name] = _NO_ANSWER
            elif name.startswith(("asked", "since")):
                values[name] = _MAX_AGE_STEPS
        return values

    def actions(self, state: State) -> Sequence[Action]:
        """Return the actions of the store, the hosts and time."""
        actions = [
            self._tick(state),
            self._record_switch(state),
            self._promote(state),
            self._request_stop(state),
            self._send_write(state),
            self._end_write(state),
        ]
        for host in range(_HOSTS):
            actions.append(self._read_store(state, host))
            actions.append(self._acknowledge(state, host))
            if host != _PROMOTER:
                actions.append(self._remove(state, host))
            for peer in range(_HOSTS):
                if peer != host:
                    actions.append(self._answer(state, host, peer))
                    actions.append(self._receive_answer(state, host, peer))
        return actions

    def invariants(self, state: State) -> Mapping[str, z3.BoolRef]:
        """Require that no host uses the old primary after the promotion."""
        users = [self._uses_old_primary(state, host) for host in range(_HOSTS)]
        return {
            "no host uses the old primary after the promotion": z3.Implies(
                state["promoted"], z3.Not(z3.Or(*users))
            ),
            "no host acknowledges a write of the old primary after the promotion": z3.Implies(
                state["promoted"], z3.Not(self._may_acknowledge(state))
            ),
        }

    def _uses_old_primary(self, state: State, host: int) -> z3.BoolRef:
        is_not_stopped = z3.Not(state[f"stopped{host}"])
        if not self._has_guard(SwitchoverGuard.LEASE_EXPIRES):
            return is_not_stopped
        return z3.And(is_not_stopped, self._has_lease(state, host))

    def _may_acknowledge(self, state: State) -> z3.BoolRef:
        """Tell whether the write in progress would be acknowledged if it ended now."""
        limit = z3.BitVecVal(_PRIMARY_LEASE_STEPS, _NUMBER_BITS)
        has_lease = z3.ULE(state["lease"], limit)
        if not self._has_guard(SwitchoverGuard.LEASE_FROM_BEFORE):
            has_lease = self._has_lease(state, _WORKER)
        is_stopped = state[f"stopped{_WORKER}"]
        allowed = z3.If(is_stopped, has_lease, self._uses_old_primary(state, _WORKER))
        return z3.And(state["working"], allowed)

    def _has_lease(self, state: State, host: int) -> z3.BoolRef:
        limit = z3.BitVecVal(_PRIMARY_LEASE_STEPS, _NUMBER_BITS)
        by_store = z3.ULE(state[f"away{host}"], limit)
        # Without the store, a host needs a majority of the members that it knew: here, one peer.
        fresh = [z3.ULE(state[f"age{host}{peer}"], limit) for peer in range(_HOSTS) if peer != host]
        by_peers = z3.Or(*fresh)
        if self._has_guard(SwitchoverGuard.STORE_ABSENCE_LIMIT):
            is_within_limit = z3.ULE(
                state[f"away{host}"], z3.BitVecVal(_STORE_ABSENCE_LIMIT_STEPS, _NUMBER_BITS)
            )
            by_peers = z3.And(by_peers, is_within_limit)
        return z3.Or(by_store, by_peers)

    def _learn(
        self, state: State, host: int, learns: z3.BoolRef, known: State
    ) -> dict[str, z3.ExprRef]:
        """Return the changes at a host that may learn of the switch.

        :param known: state whose evidence the host's lease is computed from.
        """
        changes: dict[str, z3.ExprRef] = {f"stopped{host}": z3.Or(state[f"stopped{host}"], learns)}
        if host == _WORKER:
            is_first = z3.And(learns, z3.Not(state[f"stopped{host}"]))
            changes["lease"] = z3.If(is_first, self._evidence_age(known, host), state["lease"])
        return changes

    def _evidence_age(self, state: State, host: int) -> z3.ExprRef:
        """Return the steps since the evidence on which the host's lease relies."""
        away = state[f"away{host}"]
        first, second = (state[f"age{host}{peer}"] for peer in range(_HOSTS) if peer != host)
        by_peers = z3.If(z3.ULE(first, second), first, second)
        # The limit of the store's absence ends the lease as evidence of this age does.
        spare = z3.BitVecVal(_STORE_ABSENCE_LIMIT_STEPS - _PRIMARY_LEASE_STEPS, _NUMBER_BITS)
        absence = z3.If(z3.UGT(away, spare), away - spare, z3.BitVecVal(0, _NUMBER_BITS))
        by_peers = z3.If(z3.UGT(absence, by_peers), absence, by_peers)
        return z3.If(z3.ULE(away, by_peers), away, by_peers)

    def _send_write(self, state: State) -> Action:
        return Action(
            f"host {_WORKER} sends a write",
            z3.And(self._uses_old_primary(state, _WORKER), z3.Not(state["working"])),
            {"working": z3.BoolVal(True)},
        )

    def _end_write(self, state: State) -> Action:
        return Action(
            f"the write of host {_WORKER} ends", state["working"], {"working": z3.BoolVal(False)}
        )

    def _tick(self, state: State) -> Action:
        prefixes = ("asked", "age", "since", "away", "lease")
        updates = {
            name: age(state[name], _MAX_AGE_STEPS) for name in state if name.startswith(prefixes)
        }
        return Action("time passes", z3.BoolVal(True), updates)

    def _read_store(self, state: State, host: int) -> Action:
        """Read the store: learn of a recorded switch, and become a member again after a removal."""
        return Action(
            f"host {host} reads the store",
            z3.Not(state["promoted"]),
            {
                f"away{host}": z3.BitVecVal(0, _NUMBER_BITS),
                **self._learn(state, host, state["recorded"], state),
                f"member{host}": z3.BoolVal(True),
                "since_majority": self._since_majority(state, {f"member{host}": z3.BoolVal(True)}),
            },
        )

    def _since_majority(self, state: State, changes: dict[str, z3.ExprRef]) -> z3.ExprRef:
        """Return the steps since a majority acknowledged; changes that complete it reset them."""
        completes = z3.And(
            z3.Not(self._is_acknowledged(state)), self._is_acknowledged({**state, **changes})
        )
        return z3.If(completes, z3.BitVecVal(0, _NUMBER_BITS), state["since_majority"])

    def _record_switch(self, state: State) -> Action:
        return Action(
            "the switch is recorded",
            z3.Not(state["recorded"]),
            {"recorded": z3.BoolVal(True), "since_majority": z3.BitVecVal(0, _NUMBER_BITS)},
        )

    def _request_stop(self, state: State) -> Action:
        guard = z3.Not(state["asking"])
        if self._has_guard(SwitchoverGuard.RECORD_FIRST):
            guard = z3.And(guard, state["recorded"])
        return Action(
            "host 0 asks all hosts to stop using the old primary",
            guard,
            {"asking": z3.BoolVal(True)},
        )

    def _is_acknowledged(self, state: State) -> z3.BoolRef:
        """Tell whether more than half of the members have acknowledged."""
        zero = z3.BitVecVal(0, _NUMBER_BITS)
        members, acknowledged = zero, zero
        for host in range(_HOSTS):
            one, none = z3.BitVecVal(1, _NUMBER_BITS), z3.BitVecVal(0, _NUMBER_BITS)
            is_member = state[f"member{host}"]
            members = members + z3.If(is_member, one, none)
            counts = z3.And(is_member, state[f"acknowledged{host}"])
            acknowledged = acknowledged + z3.If(counts, one, none)
        return z3.UGT(acknowledged + acknowledged, members)

    def _acknowledge(self, state: State, host: int) -> Action:
        changes = {f"acknowledged{host}": z3.BoolVal(True)}
        return Action(
            f"host {host} stops using the old primary and acknowledges",
            z3.And(state["asking"], z3.Not(state[f"acknowledged{host}"])),
            {
                **self._learn(state, host, z3.BoolVal(True), state),
                **changes,
                "since_majority": self._since_majority(state, changes),
            },
        )

    def _remove(self, state: State, host: int) -> Action:
        conditions = [state[f"member{host}"], z3.UGT(state[f"away{host}"], 0)]
        if self._has_guard(SwitchoverGuard.REMOVE_LATE):
            limit = z3.BitVecVal(_STORE_ABSENCE_LIMIT_STEPS, _NUMBER_BITS)
            conditions.append(z3.UGT(state[f"away{host}"], limit))
        changes = {f"member{host}": z3.BoolVal(False)}
        since = {"since_majority": self._since_majority(state, changes)}
        return Action(f"member {host} is removed", z3.And(*conditions), {**changes, **since})

    def _promote(self, state: State) -> Action:
        all_acknowledged = z3.And(
            *[
                z3.Or(z3.Not(state[f"member{host}"]), self._is_idle(state, host))
                for host in range(_HOSTS)
            ]
        )
        conditions = [state["asking"], z3.Not(state["promoted"])]
        if self._has_guard(SwitchoverGuard.MAJORITY_ACKNOWLEDGED):
            conditions.append(self._is_acknowledged(state))
        if self._has_guard(SwitchoverGuard.WAIT_FOR_LEASES):
            limit = z3.BitVecVal(_PRIMARY_LEASE_STEPS, _NUMBER_BITS)
            conditions.append(z3.Or(all_acknowledged, z3.UGT(state["since_majority"], limit)))
        return Action(
            "the replica is promoted", z3.And(*conditions), {"promoted": z3.BoolVal(True)}
        )

    def _is_idle(self, state: State, host: int) -> z3.BoolRef:
        """Tell whether a host has acknowledged and has no work left in progress."""
        if host != _WORKER or not self._has_guard(SwitchoverGuard.WAIT_FOR_WORK):
            return state[f"acknowledged{host}"]
        return z3.And(state[f"acknowledged{host}"], z3.Not(state["working"]))

    def _answer(self, state: State, host: int, peer: int) -> Action:
        """Send a request and its answer in one step; a delay would only make the evidence older."""
        answer = z3.If(
            state[f"stopped{peer}"],
            z3.BitVecVal(_STOPPED, _NUMBER_BITS),
            z3.BitVecVal(_NOT_STOPPED, _NUMBER_BITS),
        )
        return Action(
            f"host {peer} answers host {host}",
            z3.BoolVal(True),
            {f"asked{host}{peer}": z3.BitVecVal(0, _NUMBER_BITS), f"answer{host}{peer}": answer},
        )

    def _receive_answer(self, state: State, host: int, peer: int) -> Action:
        answer = state[f"answer{host}{peer}"]
        date = state[f"asked{host}{peer}"]
        if not self._has_guard(SwitchoverGuard.EVIDENCE_IS_DATED):
            date = z3.BitVecVal(0, _NUMBER_BITS)
        is_newer = z3.ULT(date, state[f"age{host}{peer}"])
        known = state
        if not self._has_guard(SwitchoverGuard.NEWS_IS_NO_EVIDENCE):
            known = {**state, f"age{host}{peer}": date}
        return Action(
            f"host {host} receives the answer of host {peer}",
            z3.And(answer != _NO_ANSWER, is_newer),
            {
                f"age{host}{peer}": date,
                **self._learn(state, host, answer == _STOPPED, known),
            },
        )
