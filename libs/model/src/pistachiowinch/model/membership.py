"""Specification of a switch of the primary while hosts stop, start, register and are removed.

Three hosts vote. One of them, the user, goes on using the old primary while it does not know of the
switch and holds a primary lease. The others may stop by plan, crash and start again. A promoter
that is not one of them knows the members from a copy of the store, which may be out of date.
"""

import enum
from collections.abc import Iterable, Mapping, Sequence

import z3

from pistachiowinch.model.checker import Action, State
from pistachiowinch.model.evidence import age
from pistachiowinch.model.guards import GuardedSpecification

__all__ = ["MembershipGuard", "MembershipSpecification"]

_USER = 0
_PEERS = (1, 2)
_VOTERS = (_USER, *_PEERS)
_NUMBER_BITS = 3
# Evidence counts for one step, and that of voters only within three steps after the store was
# known to list the host.
_PRIMARY_LEASE_STEPS = 1
_ABSENCE_LIMIT_STEPS = 3
_MAX_AGE_STEPS = 5


class MembershipGuard(enum.Enum):
    """Guards that a test removes to show that the checker then finds a violation."""

    RECORDED_VOTERS = "majorities are counted over the recorded voters, not over the members"
    CURRENT_MEMBERS = "the promoter's copy of the members is newer than the start of the switch"
    LISTED_LEASE = "a host uses a primary only once the store is known to list it"
    LISTED_EVIDENCE = "a host's evidence counts only while the store is known to list it"
    RESIGN_FIRST = "a host's evidence ends before the store shows that the host has left"
    REMOVAL_DELAY = "a silent host is removed only after its lease and its evidence have ended"


class MembershipSpecification(GuardedSpecification[MembershipGuard]):
    """Three voters that stop, start, register and are removed, and one switch.

    :param removed: guard to leave out, or None for the complete protocol.
    """

    @property
    def name(self) -> str:
        """Name in reports."""
        return "membership"

    @property
    def scope(self) -> str:
        """The bounds of the model."""
        return (
            f"{len(_VOTERS)} voters that stop and start, 1 promoter, 1 switch, proofs of "
            f"{_PRIMARY_LEASE_STEPS} step, {_ABSENCE_LIMIT_STEPS} steps without contact"
        )

    def variables(self) -> Mapping[str, z3.SortRef]:
        """Return the variables and their sorts.

        ``listed``: steps since the store was last known to the host to list its run.
        ``renewed``: steps since the host last renewed its record in the store.
        ``copied``: whether the promoter's copy lists the host.
        ``stopped``: whether a copy newer than the start of the switch did not list the host.
        ``known``: whether the user's copy lists the host.
        ``away``: steps since the user's last store contact.
        ``age``: steps since the date of the user's evidence about a peer.
        """
        number, flag = z3.BitVecSort(_NUMBER_BITS), z3.BoolSort()
        flags = ("recorded", "asking", "current", "promoted")
        sorts: dict[str, z3.SortRef] = dict.fromkeys(flags, flag)
        sorts |= dict.fromkeys(("away", "since_majority"), number)
        for host in _VOTERS:
            sorts |= dict.fromkeys((f"listed{host}", f"renewed{host}"), number)
            for name in ("running", "resigned", "member", "knows", "drained", "copied", "stopped"):
                sorts[f"{name}{host}"] = flag
        for peer in _PEERS:
            sorts |= {f"age{peer}": number, f"known{peer}": flag}
        return sorts

    def initial(self) -> Mapping[str, int | bool]:
        """Start with three running members; the user has no evidence from its peers."""
        values: dict[str, int | bool] = dict.fromkeys(self.variables(), 0)
        for name in values:
            if name.startswith(("age", "since")):
                values[name] = _MAX_AGE_STEPS
            if name.startswith(("running", "member", "copied", "known")):
                values[name] = True
        return values

    def actions(self, state: State) -> Sequence[Action]:
        """Return the actions of the hosts, the promoter and time."""
        actions = [
            self._tick(state),
            self._record_switch(state),
            self._request_stop(state),
            self._copy_members(state),
            self._promote(state),
        ]
        for host in _VOTERS:
            actions += [
                self._resign(state, host),
                self._leave(state, host),
                self._stop(state, host),
                self._start(state, host),
                self._register(state, host),
                self._read_store(state, host),
                self._remove(state, host),
                self._drain(state, host),
            ]
        return [*actions, *(self._receive_evidence(state, peer) for peer in _PEERS)]

    def invariants(self, state: State) -> Mapping[str, z3.BoolRef]:
        """Require that the user does not use the old primary after the promotion."""
        return {
            "the user does not use the old primary after the promotion": z3.Not(
                z3.And(state["promoted"], self._uses_old_primary(state))
            )
        }

    def _uses_old_primary(self, state: State) -> z3.BoolRef:
        fresh = {peer: _at_most(state[f"age{peer}"], _PRIMARY_LEASE_STEPS) for peer in _PEERS}
        fresh[_USER] = z3.BoolVal(True)
        voters = {peer: state[f"known{peer}"] for peer in _PEERS} | {_USER: z3.BoolVal(True)}
        is_listed = _at_most(state[f"listed{_USER}"], _ABSENCE_LIMIT_STEPS)
        by_voters = z3.And(self._is_majority(voters, fresh), is_listed)
        by_store = _at_most(state["away"], _PRIMARY_LEASE_STEPS)
        if self._has_guard(MembershipGuard.LISTED_LEASE):
            by_store = z3.And(by_store, is_listed)
        is_using = z3.And(state[f"running{_USER}"], z3.Not(state[f"resigned{_USER}"]))
        return z3.And(is_using, z3.Not(state[f"knows{_USER}"]), z3.Or(by_store, by_voters))

    def _is_majority(
        self, members: Mapping[int, z3.BoolRef], present: Mapping[int, z3.BoolRef]
    ) -> z3.BoolRef:
        """Tell whether most voters are present."""
        if self._has_guard(MembershipGuard.RECORDED_VOTERS):
            members = dict.fromkeys(_VOTERS, z3.BoolVal(True))
        counted = [z3.And(members[host], present[host]) for host in _VOTERS]
        return z3.UGT(2 * _count(counted), _count(members.values()))

    def _inactive(self, state: State) -> dict[int, z3.BoolRef]:
        """Return which hosts have acknowledged the switch, or had stopped after its start."""
        return {host: z3.Or(state[f"drained{host}"], state[f"stopped{host}"]) for host in _VOTERS}

    def _has_majority(self, state: State) -> z3.BoolRef:
        copied = {host: state[f"copied{host}"] for host in _VOTERS}
        return self._is_majority(copied, self._inactive(state))

    def _tick(self, state: State) -> Action:
        prefixes = ("age", "away", "since", "listed", "renewed")
        updates = {
            name: age(state[name], _MAX_AGE_STEPS) for name in state if name.startswith(prefixes)
        }
        updates["since_majority"] = z3.If(
            self._has_majority(state), updates["since_majority"], _number(0)
        )
        return Action("time passes", z3.BoolVal(True), updates)

    def _record_switch(self, state: State) -> Action:
        updates = {"recorded": z3.BoolVal(True), "since_majority": _number(0)}
        return Action("the switch is recorded", z3.Not(state["recorded"]), updates)

    def _request_stop(self, state: State) -> Action:
        guard = z3.And(state["recorded"], z3.Not(state["asking"]))
        return Action(
            "all hosts are asked to stop using the old primary", guard, {"asking": z3.BoolVal(True)}
        )

    def _copy_members(self, state: State) -> Action:
        updates = {"current": state["recorded"]}
        for host in _VOTERS:
            is_member = state[f"member{host}"]
            updates[f"copied{host}"] = is_member
            has_stopped = z3.And(state["recorded"], z3.Not(is_member))
            updates[f"stopped{host}"] = z3.Or(state[f"stopped{host}"], has_stopped)
        return Action("the promoter reads the members", z3.BoolVal(True), updates)

    def _promote(self, state: State) -> Action:
        inactive = self._inactive(state)
        if not self._has_guard(MembershipGuard.CURRENT_MEMBERS):
            inactive = {
                host: z3.Or(inactive[host], z3.Not(state[f"copied{host}"])) for host in _VOTERS
            }
        copied = {host: state[f"copied{host}"] for host in _VOTERS}
        all_inactive = z3.And(*(z3.Implies(copied[host], inactive[host]) for host in _VOTERS))
        has_waited = z3.UGT(state["since_majority"], _number(_PRIMARY_LEASE_STEPS))
        by_majority = z3.And(self._is_majority(copied, inactive), has_waited)
        conditions = [state["asking"], z3.Not(state["promoted"]), z3.Or(all_inactive, by_majority)]
        if self._has_guard(MembershipGuard.CURRENT_MEMBERS):
            conditions.append(state["current"])
        return Action(
            "the replica is promoted", z3.And(*conditions), {"promoted": z3.BoolVal(True)}
        )

    def _resign(self, state: State, host: int) -> Action:
        guard = z3.And(state[f"running{host}"], z3.Not(state[f"resigned{host}"]))
        return Action(
            f"host {host} gives up its lease and evidence",
            guard,
            {f"resigned{host}": z3.BoolVal(True)},
        )

    def _leave(self, state: State, host: int) -> Action:
        guard = z3.And(state[f"running{host}"], state[f"member{host}"])
        # The user of the old primary gives it up in any case; only its evidence may last.
        if host == _USER or self._has_guard(MembershipGuard.RESIGN_FIRST):
            guard = z3.And(guard, state[f"resigned{host}"])
        return Action(
            f"host {host} records that it has left", guard, {f"member{host}": z3.BoolVal(False)}
        )

    def _stop(self, state: State, host: int) -> Action:
        updates = {f"running{host}": z3.BoolVal(False)}
        return Action(f"host {host} ends", state[f"running{host}"], updates)

    def _start(self, state: State, host: int) -> Action:
        updates: dict[str, z3.ExprRef] = {
            f"running{host}": z3.BoolVal(True),
            f"resigned{host}": z3.BoolVal(False),
            f"knows{host}": state["recorded"],
            f"listed{host}": _number(_MAX_AGE_STEPS),
        }
        if host == _USER:
            updates["away"] = _number(0)
            for peer in _PEERS:
                updates[f"age{peer}"] = _number(_MAX_AGE_STEPS)
                updates[f"known{peer}"] = state[f"member{peer}"]
        return Action(
            f"host {host} starts and reads the store", self._is_down(state, host), updates
        )

    def _is_down(self, state: State, host: int) -> z3.BoolRef:
        return z3.And(z3.Not(state[f"running{host}"]), z3.Not(state["promoted"]))

    def _register(self, state: State, host: int) -> Action:
        guard = z3.And(state[f"running{host}"], z3.Not(state[f"resigned{host}"]))
        updates = {f"member{host}": z3.BoolVal(True), f"renewed{host}": _number(0)}
        return Action(f"host {host} registers", guard, updates)

    def _read_store(self, state: State, host: int) -> Action:
        is_member = state[f"member{host}"]
        updates: dict[str, z3.ExprRef] = {
            f"knows{host}": z3.Or(state[f"knows{host}"], state["recorded"]),
            f"listed{host}": z3.If(is_member, _number(0), state[f"listed{host}"]),
            f"renewed{host}": z3.If(is_member, _number(0), state[f"renewed{host}"]),
        }
        if host == _USER:
            updates["away"] = _number(0)
            updates |= {f"known{peer}": state[f"member{peer}"] for peer in _PEERS}
        return Action(f"host {host} reads the store", state[f"running{host}"], updates)

    def _remove(self, state: State, host: int) -> Action:
        guard = state[f"member{host}"]
        if self._has_guard(MembershipGuard.REMOVAL_DELAY):
            limit = _number(_ABSENCE_LIMIT_STEPS + _PRIMARY_LEASE_STEPS)
            guard = z3.And(guard, z3.UGT(state[f"renewed{host}"], limit))
        return Action(f"silent host {host} is removed", guard, {f"member{host}": z3.BoolVal(False)})

    def _drain(self, state: State, host: int) -> Action:
        updates = {f"drained{host}": z3.BoolVal(True), f"knows{host}": z3.BoolVal(True)}
        return Action(
            f"host {host} stops using the old primary and acknowledges",
            z3.And(state["asking"], state[f"running{host}"]),
            updates,
        )

    def _receive_evidence(self, state: State, peer: int) -> Action:
        guard = z3.And(
            state[f"running{_USER}"], state[f"running{peer}"], z3.Not(state[f"resigned{peer}"])
        )
        if self._has_guard(MembershipGuard.LISTED_EVIDENCE):
            guard = z3.And(guard, _at_most(state[f"listed{peer}"], _ABSENCE_LIMIT_STEPS))
        knows = z3.Or(state[f"knows{_USER}"], state[f"knows{peer}"])
        return Action(
            f"the user receives evidence from host {peer}",
            guard,
            {f"age{peer}": _number(0), f"knows{_USER}": knows},
        )


def _number(value: int) -> z3.BitVecNumRef:
    return z3.BitVecVal(value, _NUMBER_BITS)


def _at_most(steps: z3.ExprRef, limit: int) -> z3.BoolRef:
    return z3.ULE(steps, _number(limit))


def _count(flags: Iterable[z3.BoolRef]) -> z3.ExprRef:
    """Return the number of flags that are set."""
    return sum((z3.If(flag, _number(1), _number(0)) for flag in flags), _number(0))
