"""Specification of rate shares during changes of the roster.

Each roster epoch divides a customer's rate into equal shares, one for each member. Time passes in
steps, and a host's evidence about its epoch ages.
"""

import enum
from collections.abc import Mapping, Sequence

import z3

from pistachiowinch.model.checker import Action, State
from pistachiowinch.model.evidence import age, evidence_variables
from pistachiowinch.model.guards import GuardedSpecification

__all__ = ["EscrowGuard", "EscrowSpecification"]

_HOSTS = 3
_NUMBER_BITS = 3
# Share of each member and the members, by epoch: the second epoch removes one of three members, and
# the third epoch adds it again. Shares are counted in sixths of the rate.
_WHOLE_RATE_SIXTHS = 6
_SHARE_SIXTHS = {0: 2, 1: 3, 2: 2}
_MEMBERS = {0: (0, 1, 2), 1: (0, 1), 2: (0, 1, 2)}
_EVIDENCE_LIMIT_STEPS = 1
# As an answer, this value means that there is no answer yet.
_MAX_AGE_STEPS = 3


class EscrowGuard(enum.Enum):
    """Guards that a test removes to show that the checker then finds a violation."""

    EVIDENCE_EXPIRES = "a host without fresh evidence generates nothing"
    MAJORITY_ADOPTED = "an epoch becomes active only after a majority adopted it"
    WAIT_BEFORE_ACTIVE = "an epoch becomes active one evidence limit after that"
    SMALLER_SHARE = "before that, a member generates the smaller of its two parts"
    NEXT_EPOCH_ONLY = "a host that skips an epoch generates nothing before the new one is active"
    EVIDENCE_IS_DATED = "evidence is dated with the time at which it was asked for"


class EscrowSpecification(GuardedSpecification[EscrowGuard]):
    """Three hosts and two changes of the roster.

    :param removed: guard to leave out, or None for the complete protocol.
    """

    @property
    def name(self) -> str:
        """Name in reports."""
        return "rate shares"

    @property
    def scope(self) -> str:
        """The bounds of the model."""
        return (
            f"{_HOSTS} hosts, {len(_SHARE_SIXTHS)} roster epochs, "
            f"evidence limit {_EVIDENCE_LIMIT_STEPS} step"
        )

    def variables(self) -> Mapping[str, z3.SortRef]:
        """Return the variables and their sorts.

        Peers answer with their epoch.
        """
        number = z3.BitVecSort(_NUMBER_BITS)
        sorts: dict[str, z3.SortRef] = {"store_epoch": number, "since_majority": number}
        for host in range(_HOSTS):
            sorts[f"epoch{host}"] = number
            sorts[f"active{host}"] = number
        return sorts | evidence_variables(_HOSTS, number)

    def initial(self) -> Mapping[str, int | bool]:
        """Start with all hosts in epoch 0 with fresh evidence."""
        values: dict[str, int | bool] = dict.fromkeys(self.variables(), 0)
        for name in values:
            if name.startswith("asked") or name.startswith("answer"):
                values[name] = _MAX_AGE_STEPS
        return values

    def actions(self, state: State) -> Sequence[Action]:
        """Return the actions of the store, the hosts and time."""
        actions = [self._tick(state)]
        for epoch in list(_SHARE_SIXTHS)[1:]:
            actions.append(self._record_epoch(state, epoch))
        for host in range(_HOSTS):
            for epoch in list(_SHARE_SIXTHS)[1:]:
                actions.append(self._adopt(state, host, epoch))
            actions.append(self._activate(state, host))
            for peer in range(_HOSTS):
                if peer != host:
                    actions.append(self._answer(state, host, peer))
                    actions.append(self._receive_answer(state, host, peer))
        return actions

    def invariants(self, state: State) -> Mapping[str, z3.BoolRef]:
        """Require that all hosts together generate at most the whole rate."""
        total = z3.BitVecVal(0, 5)
        for host in range(_HOSTS):
            share = z3.If(
                self._may_generate(state, host),
                self._share(state, host),
                z3.BitVecVal(0, _NUMBER_BITS),
            )
            total = total + z3.ZeroExt(2, share)
        return {"the shares add up to at most the whole rate": z3.ULE(total, _WHOLE_RATE_SIXTHS)}

    def _share_in_epoch(self, host: int, epoch: z3.ExprRef) -> z3.ExprRef:
        share = z3.BitVecVal(0, _NUMBER_BITS)
        for number, sixths in _SHARE_SIXTHS.items():
            if host in _MEMBERS[number]:
                share = z3.If(epoch == number, z3.BitVecVal(sixths, _NUMBER_BITS), share)
        return share

    def _share(self, state: State, host: int) -> z3.ExprRef:
        newest = self._share_in_epoch(host, state[f"epoch{host}"])
        if not self._has_guard(EscrowGuard.SMALLER_SHARE):
            return newest
        active = self._share_in_epoch(host, state[f"active{host}"])
        smaller = z3.If(z3.ULT(active, newest), active, newest)
        if not self._has_guard(EscrowGuard.NEXT_EPOCH_ONLY):
            return smaller
        is_skipped = z3.UGT(state[f"epoch{host}"], state[f"active{host}"] + 1)
        return z3.If(is_skipped, z3.BitVecVal(0, _NUMBER_BITS), smaller)

    def _is_fresh(self, state: State, host: int, peer: int) -> z3.BoolRef:
        return z3.ULE(state[f"age{host}{peer}"], z3.BitVecVal(_EVIDENCE_LIMIT_STEPS, _NUMBER_BITS))

    def _may_generate(self, state: State, host: int) -> z3.BoolRef:
        """Tell whether a majority of the epoch's members, with this host, confirms its epoch."""
        if not self._has_guard(EscrowGuard.EVIDENCE_EXPIRES):
            return z3.BoolVal(True)
        is_allowed = z3.BoolVal(False)
        for epoch, members in _MEMBERS.items():
            if host not in members:
                continue
            fresh = [self._is_fresh(state, host, peer) for peer in members if peer != host]
            is_allowed = z3.Or(is_allowed, z3.And(state[f"epoch{host}"] == epoch, z3.Or(*fresh)))
        return is_allowed

    def _tick(self, state: State) -> Action:
        updates = {
            name: age(state[name], _MAX_AGE_STEPS)
            for name in state
            if name.startswith(("asked", "age", "since"))
        }
        return Action("time passes", z3.BoolVal(True), updates)

    def _record_epoch(self, state: State, epoch: int) -> Action:
        """Record the next epoch; the previous one must be active at all its members."""
        guard = state["store_epoch"] == epoch - 1
        if epoch > 1:
            is_active = [state[f"active{host}"] == epoch - 1 for host in _MEMBERS[epoch - 1]]
            guard = z3.And(guard, *is_active)
        return Action(
            f"roster epoch {epoch} is recorded in the store",
            guard,
            {
                "store_epoch": z3.BitVecVal(epoch, _NUMBER_BITS),
                "since_majority": z3.BitVecVal(0, _NUMBER_BITS),
            },
        )

    def _is_adopted(self, state: State, epoch: z3.ExprRef) -> z3.BoolRef:
        """Tell whether a majority of the previous epoch's members has adopted an epoch."""
        reached = [z3.UGE(state[f"epoch{host}"], epoch) for host in range(_HOSTS)]
        votes = []
        for number, members in _MEMBERS.items():
            if number + 1 not in _MEMBERS:
                continue
            enough = z3.AtLeast(*[reached[host] for host in members], len(members) // 2 + 1)
            votes.append(z3.And(epoch == number + 1, enough))
        return z3.Or(*votes)

    def _adopt(self, state: State, host: int, epoch: int) -> Action:
        after = dict(state)
        after[f"epoch{host}"] = z3.BitVecVal(epoch, _NUMBER_BITS)
        new_epoch = z3.BitVecVal(epoch, _NUMBER_BITS)
        completes = z3.And(
            z3.Not(self._is_adopted(state, new_epoch)),
            self._is_adopted(after, new_epoch),
            state["store_epoch"] == epoch,
        )
        return Action(
            f"host {host} adopts epoch {epoch}",
            z3.And(state["store_epoch"] == epoch, z3.ULT(state[f"epoch{host}"], new_epoch)),
            {
                f"epoch{host}": new_epoch,
                "since_majority": z3.If(
                    completes, z3.BitVecVal(0, _NUMBER_BITS), state["since_majority"]
                ),
            },
        )

    def _activate(self, state: State, host: int) -> Action:
        epoch = state[f"epoch{host}"]
        conditions = [z3.UGT(epoch, state[f"active{host}"]), state["store_epoch"] == epoch]
        if self._has_guard(EscrowGuard.MAJORITY_ADOPTED):
            conditions.append(self._is_adopted(state, epoch))
        if self._has_guard(EscrowGuard.WAIT_BEFORE_ACTIVE):
            conditions.append(
                z3.UGT(state["since_majority"], z3.BitVecVal(_EVIDENCE_LIMIT_STEPS, _NUMBER_BITS))
            )
        return Action(
            f"the newest epoch becomes active at host {host}",
            z3.And(*conditions),
            {f"active{host}": epoch},
        )

    def _answer(self, state: State, host: int, peer: int) -> Action:
        """Send a request and its answer in one step; a delay would only make the evidence older."""
        return Action(
            f"host {peer} answers host {host}",
            z3.BoolVal(True),
            {
                f"asked{host}{peer}": z3.BitVecVal(0, _NUMBER_BITS),
                f"answer{host}{peer}": state[f"epoch{peer}"],
            },
        )

    def _receive_answer(self, state: State, host: int, peer: int) -> Action:
        answer = state[f"answer{host}{peer}"]
        is_current = z3.ULE(answer, state[f"epoch{host}"])
        date = state[f"asked{host}{peer}"]
        if not self._has_guard(EscrowGuard.EVIDENCE_IS_DATED):
            date = z3.BitVecVal(0, _NUMBER_BITS)
        is_newer = z3.ULT(date, state[f"age{host}{peer}"])
        return Action(
            f"host {host} receives the answer of host {peer}",
            z3.And(answer != _MAX_AGE_STEPS, is_current, is_newer),
            {f"age{host}{peer}": date},
        )
