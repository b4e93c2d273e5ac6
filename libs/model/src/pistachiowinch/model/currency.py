"""Specification of the evidence with which a host serves under its configuration.

A voter and a host read one store, whose answers to either may stop. The host also hears the voter's
heartbeats. One version is confirmed by the store; operators demand that a host in touch, which is
one whose path to the store has worked for a while, has the version in time or does not serve.
"""

import enum
from collections.abc import Mapping, Sequence

import z3

from pistachiowinch.model.checker import Action, State
from pistachiowinch.model.evidence import age
from pistachiowinch.model.guards import GuardedSpecification

__all__ = ["CurrencyGuard", "CurrencySpecification"]

_NUMBER_BITS = 3
_MAX_AGE_STEPS = 5
# Steps for which evidence counts, in which a version must be in force, and after which a host whose
# path works again is in touch.
_LIMIT_STEPS = 1
_READERS = ("voter", "host")


class CurrencyGuard(enum.Enum):
    """Guards that a test removes to show that the checker then finds a violation."""

    LIMIT = "a host serves only with recent evidence"
    READ_DATED_BY_SENDING = "an answer of the store is evidence as of the time of its request"
    AGE_STATED = "a heartbeat states the age of the voter's copy"
    ECHO = "a heartbeat is evidence as of the time of the one that it answers"
    SAME_REVISION = "a heartbeat is evidence only if it announces nothing that the host lacks"
    FAILURE_DATED_BY_SENDING = "a failed read excuses a host as of the time of its request"


class CurrencySpecification(GuardedSpecification[CurrencyGuard]):
    """One voter, one host and one version.

    :param removed: guard to leave out, or None for the complete protocol.
    """

    @property
    def name(self) -> str:
        """Name in reports."""
        return "currency"

    @property
    def scope(self) -> str:
        """The bounds of the model."""
        return f"1 voter, 1 host, 1 version, evidence of {_LIMIT_STEPS} step"

    def variables(self) -> Mapping[str, z3.SortRef]:
        """Return the variables and their sorts.

        ``confirmed_age``: steps since the store confirmed the version.
        ``touch_age``: steps since the host's path to the store last failed.
        ``age``: age of a reader's evidence that its copy is complete.
        ``asked``, ``answered``, ``failing``: whether a read was sent, its answer is on its way, or
        it will not be answered; ``asked_age``: steps since it was sent.
        ``read``: whether the answer has the version.
        ``beat``: whether a heartbeat is on its way; ``beat_age``: the age that it proves.
        ``excuse_age``: age of the host's evidence that the store did not answer.
        """
        number, flag = z3.BitVecSort(_NUMBER_BITS), z3.BoolSort()
        sorts: dict[str, z3.SortRef] = dict.fromkeys(("confirmed", "beat", "beat_has"), flag)
        sorts |= dict.fromkeys(("confirmed_age", "touch_age", "beat_age", "excuse_age"), number)
        for reader in _READERS:
            for name in ("has", "silent", "asked", "answered", "failing", "read"):
                sorts[f"{name}_{reader}"] = flag
            sorts |= {f"age_{reader}": number, f"asked_age_{reader}": number}
        return sorts

    def initial(self) -> Mapping[str, int | bool]:
        """Start with current copies, working paths and no version to come yet."""
        values: dict[str, int | bool] = dict.fromkeys(self.variables(), 0)
        values |= dict.fromkeys(("touch_age", "excuse_age"), _MAX_AGE_STEPS)
        return values

    def actions(self, state: State) -> Sequence[Action]:
        """Return the actions of the store, the paths, the readers and time."""
        actions = [
            self._tick(state),
            Action(
                "the version is confirmed",
                z3.Not(state["confirmed"]),
                {"confirmed": z3.BoolVal(True), "confirmed_age": _number(0)},
            ),
            self._send_heartbeat(state),
            self._receive_heartbeat(state),
            self._relay(state),
        ]
        for reader in _READERS:
            actions += [
                self._silence(state, reader),
                self._heal(state, reader),
                self._ask(state, reader),
                self._answer(state, reader),
                self._receive(state, reader),
                self._fail(state, reader),
            ]
        return actions

    def invariants(self, state: State) -> Mapping[str, z3.BoolRef]:
        """Require that a host in touch has the version in time, or does not serve."""
        is_owed = z3.And(
            state["confirmed"],
            z3.UGT(state["confirmed_age"], _number(_LIMIT_STEPS)),
            z3.UGT(state["touch_age"], _number(_LIMIT_STEPS)),
            z3.Not(state["silent_host"]),
        )
        is_outdated = z3.And(is_owed, z3.Not(state["has_host"]))
        return {
            "a host in touch serves with no older version": z3.Not(
                z3.And(is_outdated, self._serves(state))
            )
        }

    def _serves(self, state: State) -> z3.BoolRef:
        if not self._has_guard(CurrencyGuard.LIMIT):
            return z3.BoolVal(True)
        limit = _number(_LIMIT_STEPS)
        return z3.Or(z3.ULE(state["age_host"], limit), z3.ULE(state["excuse_age"], limit))

    def _tick(self, state: State) -> Action:
        updates = {name: age(state[name], _MAX_AGE_STEPS) for name in state if "age" in name}
        updates["touch_age"] = z3.If(state["silent_host"], _number(0), updates["touch_age"])
        if not self._has_guard(CurrencyGuard.ECHO):
            del updates["beat_age"]
        return Action("time passes", z3.BoolVal(True), updates)

    def _silence(self, state: State, reader: str) -> Action:
        updates: dict[str, z3.ExprRef] = {f"silent_{reader}": z3.BoolVal(True)}
        # A connection that has lost an answer carries no other one.
        updates[f"failing_{reader}"] = state[f"asked_{reader}"]
        if reader == "host":
            updates["touch_age"] = _number(0)
        return Action(
            f"the store falls silent for the {reader}", z3.Not(state[f"silent_{reader}"]), updates
        )

    def _heal(self, state: State, reader: str) -> Action:
        updates: dict[str, z3.ExprRef] = {f"silent_{reader}": z3.BoolVal(False)}
        if reader == "host":
            updates["touch_age"] = _number(0)
        return Action(f"the store answers the {reader} again", state[f"silent_{reader}"], updates)

    def _ask(self, state: State, reader: str) -> Action:
        updates = {
            f"asked_{reader}": z3.BoolVal(True),
            f"asked_age_{reader}": _number(0),
            f"answered_{reader}": z3.BoolVal(False),
            f"failing_{reader}": state[f"silent_{reader}"],
        }
        return Action(f"the {reader} sends a read", z3.Not(state[f"asked_{reader}"]), updates)

    def _answer(self, state: State, reader: str) -> Action:
        guard = z3.And(
            state[f"asked_{reader}"],
            z3.Not(state[f"failing_{reader}"]),
            z3.Not(state[f"answered_{reader}"]),
        )
        updates = {f"answered_{reader}": z3.BoolVal(True), f"read_{reader}": state["confirmed"]}
        return Action(f"the store answers the {reader}'s read", guard, updates)

    def _receive(self, state: State, reader: str) -> Action:
        is_dated = self._has_guard(CurrencyGuard.READ_DATED_BY_SENDING)
        date = state[f"asked_age_{reader}"] if is_dated else _number(0)
        guard = z3.And(state[f"answered_{reader}"], z3.Not(state[f"failing_{reader}"]))
        updates = {
            f"asked_{reader}": z3.BoolVal(False),
            f"answered_{reader}": z3.BoolVal(False),
            f"has_{reader}": z3.Or(state[f"has_{reader}"], state[f"read_{reader}"]),
            f"age_{reader}": _least(state[f"age_{reader}"], date),
        }
        return Action(f"the {reader} receives the answer", guard, updates)

    def _fail(self, state: State, reader: str) -> Action:
        updates: dict[str, z3.ExprRef] = {
            f"asked_{reader}": z3.BoolVal(False),
            f"answered_{reader}": z3.BoolVal(False),
            f"failing_{reader}": z3.BoolVal(False),
        }
        if reader == "host":
            is_dated = self._has_guard(CurrencyGuard.FAILURE_DATED_BY_SENDING)
            date = state["asked_age_host"] if is_dated else _number(0)
            updates["excuse_age"] = _least(state["excuse_age"], date)
        guard = z3.And(state[f"asked_{reader}"], state[f"failing_{reader}"])
        return Action(f"the {reader}'s read fails", guard, updates)

    def _send_heartbeat(self, state: State) -> Action:
        has_age = self._has_guard(CurrencyGuard.AGE_STATED)
        updates = {
            "beat": z3.BoolVal(True),
            "beat_has": state["has_voter"],
            "beat_age": state["age_voter"] if has_age else _number(0),
        }
        return Action("the voter sends a heartbeat", z3.Not(state["beat"]), updates)

    def _receive_heartbeat(self, state: State) -> Action:
        announces_newer = z3.And(state["beat_has"], z3.Not(state["has_host"]))
        newest = _least(state["age_host"], state["beat_age"])
        if self._has_guard(CurrencyGuard.SAME_REVISION):
            newest = z3.If(announces_newer, state["age_host"], newest)
        return Action(
            "the host receives the heartbeat",
            state["beat"],
            {"beat": z3.BoolVal(False), "age_host": newest},
        )

    def _relay(self, state: State) -> Action:
        updates = {
            "has_host": z3.BoolVal(True),
            "age_host": _least(state["age_host"], state["age_voter"]),
        }
        return Action("the voter sends the host its copy", state["has_voter"], updates)


def _number(value: int) -> z3.BitVecNumRef:
    return z3.BitVecVal(value, _NUMBER_BITS)


def _least(one: z3.ExprRef, other: z3.ExprRef) -> z3.ExprRef:
    return z3.If(z3.ULT(one, other), one, other)
