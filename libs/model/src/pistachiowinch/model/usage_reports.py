"""Specification of the usage report of one window, which is sent with the same counts each time.

Two hosts take the duty by turns. A host may collect the counts of the window again and again, with
another result each time. Calls to the store may take effect late or never, a host may restart and
forget what it knew, and the store may be restored from a copy without the report.
"""

import enum
from collections.abc import Mapping, Sequence

import z3

from pistachiowinch.model.checker import Action, State
from pistachiowinch.model.guards import GuardedSpecification

__all__ = ["UsageReportGuard", "UsageReportSpecification"]

_HOSTS = 2
_NUMBER_BITS = 2
_NO_COUNTS = 0
# Two different results of a collection are enough to contradict each other.
_RESULTS = (1, 2)
_MAX_TOKEN = 3
_NO_HOST = 3


class UsageReportGuard(enum.Enum):
    """Guards that a test removes to show that the checker then finds a violation."""

    RECORD_FIRST = "a report is sent only once the store has acknowledged it"
    RECORD_ONCE = "a report is recorded only if none is recorded"
    ADOPT_RECORDED = "a host that finds a report recorded sends that one"
    HOLD_LOCK = "a report is recorded on the condition that its host still holds the lock"
    SEND_AS_HOLDER = "a host sends only while it holds the lock"
    WAIT_FOR_HOLDER = "a host acquires the lock only once the previous holder sends no more"
    RAISE_TOKEN = "each acquisition raises the fencing token"
    LEAVE_OUT = "after a restoration a host that remembers no report of the window sends none"


class UsageReportSpecification(GuardedSpecification[UsageReportGuard]):
    """One window, two hosts, three fencing tokens and one restoration.

    :param removed: guard to leave out, or None for the complete protocol.
    """

    @property
    def name(self) -> str:
        """Name in reports."""
        return "usage reports"

    @property
    def scope(self) -> str:
        """The bounds of the model."""
        return f"1 window, {_HOSTS} hosts, {_MAX_TOKEN} fencing tokens, 1 restoration"

    def variables(self) -> Mapping[str, z3.SortRef]:
        """Return the variables and their sorts.

        ``record``: counts in the store. ``first``: counts that the platform got first. ``own``:
        what a host has collected. ``known``: what a host knows to be recorded. ``pending``: the
        counts of a call to the store that has not taken effect, and ``pending_token`` its
        condition. ``is_ready``: whether a host has read the store since it acquired the lock.
        """
        number, flag = z3.BitVecSort(_NUMBER_BITS), z3.BoolSort()
        sorts: dict[str, z3.SortRef] = dict.fromkeys(
            ("record", "first", "token", "seen_token", "seen_sender"), number
        )
        sorts |= dict.fromkeys(("is_restored", "differs", "is_token_wrong"), flag)
        for host in range(_HOSTS):
            for name in ("own", "known", "token", "pending", "pending_token"):
                sorts[f"{name}{host}"] = number
            sorts |= {f"holds{host}": flag, f"is_ready{host}": flag}
        return sorts

    def initial(self) -> Mapping[str, int | bool]:
        """Start without a report and without a holder."""
        return {**dict.fromkeys(self.variables(), 0), "seen_sender": _NO_HOST}

    def actions(self, state: State) -> Sequence[Action]:
        """Return the actions of the hosts and of the store."""
        actions = [self._restore(state)]
        for host in range(_HOSTS):
            actions += [
                self._acquire(state, host),
                self._read(state, host),
                self._lapse(state, host),
                self._restart(state, host),
                self._ask_to_record(state, host),
                self._take_effect(state, host),
                self._find_recorded(state, host),
                self._send(state, host),
            ]
            actions += [self._collect(state, host, result) for result in _RESULTS]
        return actions

    def invariants(self, state: State) -> Mapping[str, z3.BoolRef]:
        """Require equal counts, and tokens that only grow and belong to one holder each."""
        return {
            "all reports of the window have the same counts": z3.Not(state["differs"]),
            "tokens do not decrease and have one holder": z3.Not(state["is_token_wrong"]),
        }

    def _acquire(self, state: State, host: int) -> Action:
        other = 1 - host
        guard = z3.And(z3.Not(state[f"holds{host}"]), z3.ULT(state["token"], _MAX_TOKEN))
        if self._has_guard(UsageReportGuard.WAIT_FOR_HOLDER):
            guard = z3.And(guard, z3.Not(state[f"holds{other}"]))
        token = state["token"] + 1
        if not self._has_guard(UsageReportGuard.RAISE_TOKEN):
            token = z3.If(state["token"] == 0, token, state["token"])
        return Action(
            f"host {host} acquires the lock",
            guard,
            {
                "token": token,
                f"token{host}": token,
                f"holds{host}": z3.BoolVal(True),
                f"is_ready{host}": z3.BoolVal(False),
                f"own{host}": z3.BitVecVal(_NO_COUNTS, _NUMBER_BITS),
            },
        )

    def _read(self, state: State, host: int) -> Action:
        is_recorded = state["record"] != _NO_COUNTS
        return Action(
            f"host {host} reads the reports",
            z3.And(state[f"holds{host}"], z3.Not(state[f"is_ready{host}"])),
            {
                f"is_ready{host}": z3.BoolVal(True),
                f"known{host}": z3.If(is_recorded, state["record"], state[f"known{host}"]),
            },
        )

    def _lapse(self, state: State, host: int) -> Action:
        return Action(
            f"host {host} knows that its lease expires",
            state[f"holds{host}"],
            {f"holds{host}": z3.BoolVal(False)},
        )

    def _restart(self, state: State, host: int) -> Action:
        none = z3.BitVecVal(_NO_COUNTS, _NUMBER_BITS)
        updates = {f"own{host}": none, f"known{host}": none, f"holds{host}": z3.BoolVal(False)}
        return Action(f"host {host} restarts", z3.BoolVal(True), updates)

    def _may_collect(self, state: State, host: int) -> z3.BoolRef:
        is_able = z3.And(
            state[f"holds{host}"], state[f"is_ready{host}"], state[f"known{host}"] == _NO_COUNTS
        )
        if self._has_guard(UsageReportGuard.LEAVE_OUT):
            is_able = z3.And(is_able, z3.Not(state["is_restored"]))
        return is_able

    def _collect(self, state: State, host: int, result: int) -> Action:
        return Action(
            f"host {host} collects counts {result}",
            self._may_collect(state, host),
            {f"own{host}": z3.BitVecVal(result, _NUMBER_BITS)},
        )

    def _report_of(self, state: State, host: int) -> z3.ExprRef:
        known = state[f"known{host}"]
        return z3.If(known == _NO_COUNTS, state[f"own{host}"], known)

    def _ask_to_record(self, state: State, host: int) -> Action:
        report = self._report_of(state, host)
        return Action(
            f"host {host} asks the store to record its report",
            z3.And(state[f"holds{host}"], state[f"is_ready{host}"], report != _NO_COUNTS),
            {f"pending{host}": report, f"pending_token{host}": state[f"token{host}"]},
        )

    def _take_effect(self, state: State, host: int) -> Action:
        guard = state[f"pending{host}"] != _NO_COUNTS
        if self._has_guard(UsageReportGuard.RECORD_ONCE):
            guard = z3.And(guard, state["record"] == _NO_COUNTS)
        if self._has_guard(UsageReportGuard.HOLD_LOCK):
            guard = z3.And(guard, state[f"pending_token{host}"] == state["token"])
        return Action(
            f"the store records the report of host {host}",
            guard,
            {
                "record": state[f"pending{host}"],
                f"pending{host}": z3.BitVecVal(_NO_COUNTS, _NUMBER_BITS),
            },
        )

    def _find_recorded(self, state: State, host: int) -> Action:
        found = state["record"]
        if not self._has_guard(UsageReportGuard.ADOPT_RECORDED):
            found = self._report_of(state, host)
        guard = z3.And(
            state[f"holds{host}"],
            state[f"is_ready{host}"],
            state["record"] != _NO_COUNTS,
            found != _NO_COUNTS,
            state[f"known{host}"] == _NO_COUNTS,
        )
        return Action(f"host {host} finds a report recorded", guard, {f"known{host}": found})

    def _send(self, state: State, host: int) -> Action:
        report = state[f"known{host}"]
        if not self._has_guard(UsageReportGuard.RECORD_FIRST):
            report = self._report_of(state, host)
        guard = z3.And(report != _NO_COUNTS, state[f"is_ready{host}"])
        if self._has_guard(UsageReportGuard.SEND_AS_HOLDER):
            guard = z3.And(guard, state[f"holds{host}"])
        token, seen = state[f"token{host}"], state["seen_token"]
        is_shared = z3.And(token == seen, state["seen_sender"] != host, seen != 0)
        is_first = state["first"] == _NO_COUNTS
        return Action(
            f"host {host} sends its report",
            guard,
            {
                "first": z3.If(is_first, report, state["first"]),
                "differs": z3.Or(
                    state["differs"], z3.And(z3.Not(is_first), state["first"] != report)
                ),
                "is_token_wrong": z3.Or(state["is_token_wrong"], z3.ULT(token, seen), is_shared),
                "seen_token": z3.If(z3.UGT(token, seen), token, seen),
                "seen_sender": z3.BitVecVal(host, _NUMBER_BITS),
            },
        )

    def _restore(self, state: State) -> Action:
        """Lose the report and the lock; conditions of an earlier era never hold again."""
        updates = {
            "is_restored": z3.BoolVal(True),
            "record": z3.BitVecVal(_NO_COUNTS, _NUMBER_BITS),
        }
        if self._has_guard(UsageReportGuard.HOLD_LOCK):
            none = z3.BitVecVal(_NO_COUNTS, _NUMBER_BITS)
            updates |= {f"pending{host}": none for host in range(_HOSTS)}
        updates |= {f"is_ready{host}": z3.BoolVal(False) for host in range(_HOSTS)}
        return Action("the store is restored", z3.Not(state["is_restored"]), updates)
