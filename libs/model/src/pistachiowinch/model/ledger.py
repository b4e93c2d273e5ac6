"""Specification of the ledger: which attempts of one request id may take effect.

Two hosts attempt the same request id, as after a caller's reconnect. COMMIT statements may arrive
late, in any order or never. A promotion may discard a row that no majority holds, and a later
promotion may restore a discarded row until a majority holds an entry of a newer term.
"""

import enum
from collections.abc import Mapping, Sequence

import z3

from pistachiowinch.model.checker import Action, State
from pistachiowinch.model.guards import GuardedSpecification

__all__ = ["LedgerGuard", "LedgerSpecification"]

_HOSTS = 2
_NUMBER_BITS = 2
_ABSENT, _RAN, _CANCELLED = range(3)
_IDLE, _SENT, _ANSWERED_RUN, _ANSWERED_NOT_RUN = range(4)
_NO_HOST = 3


class LedgerGuard(enum.Enum):
    """Guards that a test removes to show that the checker then finds a violation."""

    UNIQUE_ROW = "the ledger row is unique for a request id"
    REFUSE_OLD_TERM = "a fenced target refuses a commit of an older term"
    ABSENT_IN_NEWER_TERM = "absence decides only in a term newer than the attempt's"
    CONFIRM_FOUND_ROW = "a found row decides only once a majority holds it"
    CONFIRM_CANCELLATION = "a cancellation decides only once a majority holds it"
    CONFIRM_ABSENCE = "absence decides only once a majority holds an entry of the newer term"


class LedgerSpecification(GuardedSpecification[LedgerGuard]):
    """One request id, two hosts with one attempt each, and up to three terms.

    :param removed: guard to leave out, or None for the complete protocol.
    """

    @property
    def name(self) -> str:
        """Name in reports."""
        return "ledger"

    @property
    def scope(self) -> str:
        """The bounds of the model."""
        return f"1 request id, {_HOSTS} hosts with an attempt each, 3 terms"

    def variables(self) -> Mapping[str, z3.SortRef]:
        """Return the variables and their sorts.

        ``owner``: host whose attempt took effect. ``effects``: number of attempts that took effect.
        ``is_row_held`` and ``is_term_held``: whether a majority holds the row, and an entry of the
        current term.
        """
        number = z3.BitVecSort(_NUMBER_BITS)
        sorts: dict[str, z3.SortRef] = {
            "term": number,
            "row": number,
            "effects": number,
            "owner": number,
            "discarded_owner": number,
            "is_row_held": z3.BoolSort(),
            "is_term_held": z3.BoolSort(),
        }
        for host in range(_HOSTS):
            sorts[f"phase{host}"] = number
            sorts[f"sent_term{host}"] = number
            sorts[f"is_pending{host}"] = z3.BoolSort()
        return sorts

    def initial(self) -> Mapping[str, int | bool]:
        """Start without an attempt, in term 1."""
        values: dict[str, int | bool] = dict.fromkeys(self.variables(), 0)
        values["term"] = 1
        values["owner"] = _NO_HOST
        values["discarded_owner"] = _NO_HOST
        values["is_term_held"] = True
        return values

    def actions(self, state: State) -> Sequence[Action]:
        """Return the actions of the hosts and of the database group."""
        actions = [
            self._replicate_to_majority(state),
            self._promote_with_row(state),
            self._promote_without_row(state),
            self._promote_with_discarded_row(state),
        ]
        for host in range(_HOSTS):
            actions.extend(
                [
                    self._send(state, host),
                    self._commit(state, host),
                    self._find_row(state, host),
                    self._find_absent(state, host),
                    self._cancel(state, host),
                    self._find_cancelled(state, host),
                ]
            )
        return actions

    def invariants(self, state: State) -> Mapping[str, z3.BoolRef]:
        """Require that the request takes effect at most once and that answers are correct."""
        not_in_log, has_run = [], []
        for host in range(_HOSTS):
            phase = state[f"phase{host}"]
            not_in_log.append(z3.And(phase == _ANSWERED_RUN, state["row"] != _RAN))
            has_run.append(z3.And(phase == _ANSWERED_NOT_RUN, state["owner"] == host))
        return {
            "a request id takes effect at most once": z3.ULE(state["effects"], 1),
            "a write that was answered as run is in the log": z3.Not(z3.Or(*not_in_log)),
            "an attempt that was answered as not run never runs": z3.Not(z3.Or(*has_run)),
        }

    def _replicate_to_majority(self, state: State) -> Action:
        return Action(
            "a majority holds the primary's log",
            z3.BoolVal(True),
            {
                "is_row_held": state["row"] != _ABSENT,
                "is_term_held": z3.BoolVal(True),
                "discarded_owner": z3.BitVecVal(_NO_HOST, _NUMBER_BITS),
            },
        )

    def _next_term(self, state: State) -> tuple[z3.BoolRef, dict[str, z3.ExprRef]]:
        guard = z3.ULT(state["term"], z3.BitVecVal(3, _NUMBER_BITS))
        updates = {"term": state["term"] + 1, "is_term_held": z3.BoolVal(False)}
        return guard, updates

    def _promote_with_row(self, state: State) -> Action:
        guard, updates = self._next_term(state)
        return Action("a target with the newest row is promoted", guard, updates)

    def _promote_without_row(self, state: State) -> Action:
        guard, updates = self._next_term(state)
        is_run = state["row"] == _RAN
        updates |= {
            "row": z3.BitVecVal(_ABSENT, _NUMBER_BITS),
            "effects": z3.BitVecVal(0, _NUMBER_BITS),
            "owner": z3.BitVecVal(_NO_HOST, _NUMBER_BITS),
            "discarded_owner": z3.If(is_run, state["owner"], state["discarded_owner"]),
        }
        may_discard = z3.And(state["row"] != _ABSENT, z3.Not(state["is_row_held"]))
        return Action(
            "a target without the newest row is promoted", z3.And(guard, may_discard), updates
        )

    def _promote_with_discarded_row(self, state: State) -> Action:
        guard, updates = self._next_term(state)
        owner = state["discarded_owner"]
        updates |= {
            "row": z3.BitVecVal(_RAN, _NUMBER_BITS),
            "effects": z3.BitVecVal(1, _NUMBER_BITS),
            "owner": owner,
            "discarded_owner": z3.BitVecVal(_NO_HOST, _NUMBER_BITS),
        }
        may_restore = z3.And(
            owner != _NO_HOST, z3.Not(state["is_term_held"]), z3.Not(state["is_row_held"])
        )
        return Action(
            "a target with a discarded row is promoted", z3.And(guard, may_restore), updates
        )

    def _send(self, state: State, host: int) -> Action:
        return Action(
            f"host {host} sends COMMIT",
            state[f"phase{host}"] == _IDLE,
            {
                f"phase{host}": z3.BitVecVal(_SENT, _NUMBER_BITS),
                f"sent_term{host}": state["term"],
                f"is_pending{host}": z3.BoolVal(True),
            },
        )

    def _commit(self, state: State, host: int) -> Action:
        guard = state[f"is_pending{host}"]
        if self._has_guard(LedgerGuard.REFUSE_OLD_TERM):
            guard = z3.And(guard, state[f"sent_term{host}"] == state["term"])
        may_insert = state["row"] == _ABSENT
        if not self._has_guard(LedgerGuard.UNIQUE_ROW):
            may_insert = z3.BoolVal(True)
        return Action(
            f"the primary handles the COMMIT of host {host}",
            guard,
            {
                f"is_pending{host}": z3.BoolVal(False),
                "row": z3.If(may_insert, z3.BitVecVal(_RAN, _NUMBER_BITS), state["row"]),
                "effects": z3.If(may_insert, state["effects"] + 1, state["effects"]),
                "owner": z3.If(may_insert, z3.BitVecVal(host, _NUMBER_BITS), state["owner"]),
                "is_row_held": z3.And(state["is_row_held"], z3.Not(may_insert)),
            },
        )

    def _find_row(self, state: State, host: int) -> Action:
        guard = z3.And(state[f"phase{host}"] == _SENT, state["row"] == _RAN)
        if self._has_guard(LedgerGuard.CONFIRM_FOUND_ROW):
            guard = z3.And(guard, state["is_row_held"])
        return Action(
            f"host {host} finds the row and answers as run",
            guard,
            {f"phase{host}": z3.BitVecVal(_ANSWERED_RUN, _NUMBER_BITS)},
        )

    def _find_absent(self, state: State, host: int) -> Action:
        guard = z3.And(state[f"phase{host}"] == _SENT, state["row"] == _ABSENT)
        if self._has_guard(LedgerGuard.ABSENT_IN_NEWER_TERM):
            guard = z3.And(guard, z3.UGT(state["term"], state[f"sent_term{host}"]))
        if self._has_guard(LedgerGuard.CONFIRM_ABSENCE):
            guard = z3.And(guard, state["is_term_held"])
        return Action(
            f"host {host} finds no row and answers as not run",
            guard,
            {f"phase{host}": z3.BitVecVal(_ANSWERED_NOT_RUN, _NUMBER_BITS)},
        )

    def _cancel(self, state: State, host: int) -> Action:
        return Action(
            f"host {host} inserts a cancelled row",
            z3.And(state[f"phase{host}"] == _SENT, state["row"] == _ABSENT),
            {
                "row": z3.BitVecVal(_CANCELLED, _NUMBER_BITS),
                "is_row_held": z3.BoolVal(False),
            },
        )

    def _find_cancelled(self, state: State, host: int) -> Action:
        guard = z3.And(state[f"phase{host}"] == _SENT, state["row"] == _CANCELLED)
        if self._has_guard(LedgerGuard.CONFIRM_CANCELLATION):
            guard = z3.And(guard, state["is_row_held"])
        return Action(
            f"host {host} finds the cancelled row and answers as not run",
            guard,
            {f"phase{host}": z3.BitVecVal(_ANSWERED_NOT_RUN, _NUMBER_BITS)},
        )
