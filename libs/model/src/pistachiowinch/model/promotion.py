"""Specification of acknowledgement, fencing and promotion in one database group.

Targets keep their logs across crashes. A host's promotion may stop after any step, messages may be
lost, delayed or reordered, and hosts may pause, because any enabled action may be postponed
forever. The statuses that confirm a write are read one after another, not atomically.
"""

import enum
from collections.abc import Mapping, Sequence
from itertools import combinations

import z3

from pistachiowinch.model.checker import Action, State
from pistachiowinch.model.guards import GuardedSpecification

__all__ = ["PromotionGuard", "PromotionSpecification"]

_TARGETS = 3
_FIRST_TERM = 1
_NO_TARGET = 3
_NUMBER_BITS = 2
_MAJORITIES = tuple(combinations(range(_TARGETS), 2))


class PromotionGuard(enum.Enum):
    """Guards that a test removes to show that the checker then finds a violation."""

    CONFIRM_BY_MAJORITY = "a write is acknowledged only after a majority confirms it"
    CONFIRM_PROMISED_TERM = "a target that has promised a newer term confirms nothing"
    CONFIRM_STREAM_TERM = "a target that was not reset to the term's log confirms nothing"
    FENCE_MAJORITY = "a promotion needs a fenced majority"
    CHOOSE_GREATEST = "the fenced target with the greatest log is promoted"
    COMPARE_LOG_TERM = "logs are compared by term before position"
    REFUSE_LOWER_TERM = "a target refuses terms below its promised one"
    PROMOTE_PROMISED = "a target becomes primary only of the term that it promised last"
    TRUNCATE = "a follower drops entries that its primary lacks"


class PromotionSpecification(GuardedSpecification[PromotionGuard]):
    """Three targets, one initial primary and one promoter for each later term.

    :param removed: guard to leave out, or None for the complete protocol.
    :param terms: number of terms, including the first one.
    :param positions: maximum number of log entries.
    """

    def __init__(
        self, removed: PromotionGuard | None = None, terms: int = 3, positions: int = 2
    ) -> None:
        """Set the bounds."""
        super().__init__(removed)
        self._terms = range(_FIRST_TERM, terms + 1)
        self._positions = range(positions)

    @property
    def name(self) -> str:
        """Name in reports."""
        return "acknowledge, fence, promote"

    @property
    def scope(self) -> str:
        """The bounds of the model."""
        return (
            f"{_TARGETS} targets, {len(self._terms) - 1} promoters, "
            f"logs of {len(self._positions)} entries"
        )

    def variables(self) -> Mapping[str, z3.SortRef]:
        """Return the variables and their sorts.

        ``stream``: term whose primary a target replicates. ``seen``: whether a target has confirmed
        a position. ``late``: whether it did so after the term's primary was replaced.
        """
        number = z3.BitVecSort(_NUMBER_BITS)
        flag = z3.BoolSort()
        sorts: dict[str, z3.SortRef] = {}
        for target in range(_TARGETS):
            sorts[f"promised{target}"] = number
            sorts[f"stream{target}"] = number
            for position in self._positions:
                sorts[f"entry{target}.{position}"] = number
        for term in self._terms:
            sorts[f"primary{term}"] = number
            for position in self._positions:
                sorts[f"written{term}.{position}"] = flag
                sorts[f"acked{term}.{position}"] = flag
                for target in range(_TARGETS):
                    sorts[f"seen{term}.{position}.{target}"] = flag
                    sorts[f"late{term}.{position}.{target}"] = flag
            for target in range(_TARGETS):
                sorts[f"fenced{term}.{target}"] = flag
                sorts[f"log_term{term}.{target}"] = number
                sorts[f"log_length{term}.{target}"] = number
        return sorts

    def initial(self) -> Mapping[str, int | bool]:
        """Start with target 0 as the primary of the first term, and with empty logs."""
        values: dict[str, int | bool] = dict.fromkeys(self.variables(), 0)
        for target in range(_TARGETS):
            values[f"promised{target}"] = _FIRST_TERM
            values[f"stream{target}"] = _FIRST_TERM
        for term in self._terms:
            values[f"primary{term}"] = 0 if term == _FIRST_TERM else _NO_TARGET
        return values

    def actions(self, state: State) -> Sequence[Action]:
        """Return the actions of targets, promoters and writers."""
        actions: list[Action] = []
        for term in self._terms:
            for target in range(_TARGETS):
                actions.extend(self._log_actions(state, term, target))
                if term != _FIRST_TERM:
                    actions.append(self._fence(state, term, target, is_answered=True))
                    actions.append(self._fence(state, term, target, is_answered=False))
                    actions.append(self._promote(state, term, target))
            for position in self._positions:
                actions.append(self._acknowledge(state, term, position))
        return actions

    def invariants(self, state: State) -> Mapping[str, z3.BoolRef]:
        """Require that no acknowledged write is lost or confirmed after a replacement."""
        lost = []
        for term in self._terms:
            for later in self._terms:
                if later <= term:
                    continue
                for target in range(_TARGETS):
                    serves = z3.And(
                        state[f"primary{later}"] == target, state[f"stream{target}"] == later
                    )
                    for position in self._positions:
                        lost.append(
                            z3.And(
                                serves,
                                state[f"acked{term}.{position}"],
                                state[f"entry{target}.{position}"] != term,
                            )
                        )
        late = []
        for term in self._terms:
            for position in self._positions:
                read = [state[f"late{term}.{position}.{target}"] for target in range(_TARGETS)]
                late.extend(z3.And(read[first], read[second]) for first, second in _MAJORITIES)
        return {
            "an acknowledged write is in the log of every later primary": z3.Not(z3.Or(*lost)),
            "no majority confirms a write after its primary was replaced": z3.Not(z3.Or(*late)),
        }

    def _length(self, state: State, target: int) -> z3.ExprRef:
        length = z3.BitVecVal(0, _NUMBER_BITS)
        for position in self._positions:
            is_used = state[f"entry{target}.{position}"] != 0
            length = z3.If(is_used, z3.BitVecVal(position + 1, _NUMBER_BITS), length)
        return length

    def _last_term(self, state: State, target: int) -> z3.ExprRef:
        last = z3.BitVecVal(0, _NUMBER_BITS)
        for position in self._positions:
            entry = state[f"entry{target}.{position}"]
            last = z3.If(entry != 0, entry, last)
        return last

    def _follows(self, state: State, term: int, target: int) -> z3.BoolRef:
        return z3.And(state[f"promised{target}"] == term, state[f"stream{target}"] == term)

    def _log_actions(self, state: State, term: int, target: int) -> list[Action]:
        actions = []
        follows = self._follows(state, term, target)
        is_primary = state[f"primary{term}"] == target
        length = self._length(state, target)
        for position in self._positions:
            entry = f"entry{target}.{position}"
            is_next = length == position
            actions.append(
                Action(
                    f"target {target} writes position {position} in term {term}",
                    z3.And(follows, is_primary, is_next),
                    {
                        entry: z3.BitVecVal(term, _NUMBER_BITS),
                        f"written{term}.{position}": z3.BoolVal(True),
                    },
                )
            )
            actions.append(self._confirm(state, term, position, target))
        for source in range(_TARGETS):
            if source == target:
                continue
            is_source = z3.And(state[f"primary{term}"] == source, state[f"stream{source}"] == term)
            for position in self._positions:
                source_entry = state[f"entry{source}.{position}"]
                actions.append(
                    Action(
                        f"target {target} receives position {position} from {source}"
                        f" in term {term}",
                        z3.And(follows, is_source, length == position, source_entry != 0),
                        {f"entry{target}.{position}": source_entry},
                    )
                )
            actions.append(self._follow(state, term, target, source, is_source))
        return actions

    def _confirm(self, state: State, term: int, position: int, target: int) -> Action:
        conditions = [
            state[f"written{term}.{position}"],
            state[f"entry{target}.{position}"] != 0,
        ]
        if self._has_guard(PromotionGuard.CONFIRM_PROMISED_TERM):
            conditions.append(state[f"promised{target}"] == term)
        if self._has_guard(PromotionGuard.CONFIRM_STREAM_TERM):
            conditions.append(state[f"stream{target}"] == term)
        is_replaced = z3.Or(
            *[state[f"primary{later}"] != _NO_TARGET for later in self._terms if later > term]
        )
        was_late = state[f"late{term}.{position}.{target}"]
        return Action(
            f"target {target} confirms position {position} of term {term}",
            z3.And(*conditions),
            {
                f"seen{term}.{position}.{target}": z3.BoolVal(True),
                f"late{term}.{position}.{target}": z3.Or(was_late, is_replaced),
            },
        )

    def _acknowledge(self, state: State, term: int, position: int) -> Action:
        seen = [state[f"seen{term}.{position}.{target}"] for target in range(_TARGETS)]
        confirmed = z3.Or(*[z3.And(seen[first], seen[second]) for first, second in _MAJORITIES])
        if not self._has_guard(PromotionGuard.CONFIRM_BY_MAJORITY):
            confirmed = z3.Or(*seen)
        return Action(
            f"a host acknowledges position {position} of term {term}",
            z3.And(state[f"written{term}.{position}"], confirmed),
            {f"acked{term}.{position}": z3.BoolVal(True)},
        )

    def _fence(self, state: State, term: int, target: int, is_answered: bool) -> Action:
        promised = state[f"promised{target}"]
        guard = z3.BoolVal(True)
        if self._has_guard(PromotionGuard.REFUSE_LOWER_TERM):
            guard = z3.ULT(promised, z3.BitVecVal(term, _NUMBER_BITS))
        updates: dict[str, z3.ExprRef] = {f"promised{target}": z3.BitVecVal(term, _NUMBER_BITS)}
        if is_answered:
            updates[f"fenced{term}.{target}"] = z3.BoolVal(True)
            updates[f"log_term{term}.{target}"] = self._last_term(state, target)
            updates[f"log_length{term}.{target}"] = self._length(state, target)
        answer = "answers" if is_answered else "loses its answer to"
        return Action(f"target {target} {answer} the fence of term {term}", guard, updates)

    def _promote(self, state: State, term: int, target: int) -> Action:
        fenced = [state[f"fenced{term}.{other}"] for other in range(_TARGETS)]
        conditions = [state[f"primary{term}"] == _NO_TARGET, fenced[target]]
        if self._has_guard(PromotionGuard.FENCE_MAJORITY):
            pairs = [z3.And(fenced[first], fenced[second]) for first, second in _MAJORITIES]
            conditions.append(z3.Or(*pairs))
        if self._has_guard(PromotionGuard.PROMOTE_PROMISED):
            conditions.append(state[f"promised{target}"] == term)
        if self._has_guard(PromotionGuard.CHOOSE_GREATEST):
            for other in range(_TARGETS):
                if other != target:
                    not_greater = z3.Not(self._is_greater(state, term, other, target))
                    conditions.append(z3.Or(z3.Not(fenced[other]), not_greater))
        return Action(
            f"target {target} is promoted in term {term}",
            z3.And(*conditions),
            {
                f"primary{term}": z3.BitVecVal(target, _NUMBER_BITS),
                f"stream{target}": z3.BitVecVal(term, _NUMBER_BITS),
                f"promised{target}": z3.BitVecVal(term, _NUMBER_BITS),
            },
        )

    def _is_greater(self, state: State, term: int, first: int, second: int) -> z3.BoolRef:
        first_term = state[f"log_term{term}.{first}"]
        second_term = state[f"log_term{term}.{second}"]
        first_length = state[f"log_length{term}.{first}"]
        second_length = state[f"log_length{term}.{second}"]
        is_longer = z3.UGT(first_length, second_length)
        if not self._has_guard(PromotionGuard.COMPARE_LOG_TERM):
            return is_longer
        return z3.Or(z3.UGT(first_term, second_term), z3.And(first_term == second_term, is_longer))

    def _follow(
        self, state: State, term: int, target: int, source: int, is_source: z3.BoolRef
    ) -> Action:
        guard = is_source
        if self._has_guard(PromotionGuard.REFUSE_LOWER_TERM):
            is_not_lower = z3.ULE(state[f"promised{target}"], z3.BitVecVal(term, _NUMBER_BITS))
            guard = z3.And(guard, is_not_lower)
        guard = z3.And(guard, z3.Not(self._follows(state, term, target)))
        updates: dict[str, z3.ExprRef] = {
            f"promised{target}": z3.BitVecVal(term, _NUMBER_BITS),
            f"stream{target}": z3.BitVecVal(term, _NUMBER_BITS),
        }
        if self._has_guard(PromotionGuard.TRUNCATE):
            is_common = z3.BoolVal(True)
            for position in self._positions:
                own_entry = state[f"entry{target}.{position}"]
                is_common = z3.And(is_common, own_entry == state[f"entry{source}.{position}"])
                kept_entry = z3.If(is_common, own_entry, z3.BitVecVal(0, _NUMBER_BITS))
                updates[f"entry{target}.{position}"] = kept_entry
        return Action(f"target {target} follows {source} in term {term}", guard, updates)
