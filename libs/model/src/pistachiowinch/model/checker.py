"""Bounded model checking of guarded actions with a satisfiability solver.

A specification is a set of finite variables, guarded actions and invariants. The checker unrolls
the transition relation step by step, so that the first violation that it finds is a shortest one.
Loss, delay, crashes and pauses need no actions of their own: an action that is possible may
happen at any later step or never.
"""

import time
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

import z3

__all__ = [
    "Action",
    "Checked",
    "Specification",
    "State",
    "Step",
    "Trace",
    "check",
    "if_else",
]

State = Mapping[str, z3.ExprRef]


class Action(NamedTuple):
    """One atomic step.

    :param name: name in traces, with its arguments.
    :param guard: when the step is possible.
    :param updates: new values of the variables that change.
    """

    name: str
    guard: z3.BoolRef
    updates: dict[str, z3.ExprRef]


class Specification(Protocol):
    """A protocol in a finite scope."""

    @property
    def name(self) -> str:
        """Name in reports."""

    @property
    def scope(self) -> str:
        """The bounds on processes, terms and values."""

    def variables(self) -> Mapping[str, z3.SortRef]:
        """Variables and their finite sorts."""

    def initial(self) -> Mapping[str, int | bool]:
        """Initial values."""

    def actions(self, state: State) -> Sequence[Action]:
        """All steps that may be possible in a state."""

    def invariants(self, state: State) -> Mapping[str, z3.BoolRef]:
        """What has to hold in every state."""


class Step(NamedTuple):
    """One step of a trace: the action's name and the values that it changed."""

    action: str
    changes: dict[str, int | bool]


class Trace(NamedTuple):
    """Shortest violation found.

    :param invariant: names of the broken invariants.
    """

    invariant: tuple[str, ...]
    steps: tuple[Step, ...]

    @property
    def text(self) -> str:
        """The actions, one on a line."""
        return "\n".join(f"{number}. {step.action}" for number, step in enumerate(self.steps, 1))


class Checked(NamedTuple):
    """Result of a check.

    :param depth_steps: every behaviour of at most this many steps was covered.
    :param action_count: number of actions of each state.
    :param trace: None if no invariant can be broken within the depth.
    :param run_time_s: wall-clock time of the check, for reports only.
    """

    specification: str
    scope: str
    depth_steps: int
    action_count: int
    trace: Trace | None
    run_time_s: float


def if_else(condition: z3.BoolRef, then: z3.ExprRef, otherwise: z3.ExprRef) -> z3.ExprRef:
    """Return a conditional expression."""
    return z3.If(condition, then, otherwise)


def _constant(sort: z3.SortRef, value: int | bool) -> z3.ExprRef:
    if sort == z3.BoolSort():
        return z3.BoolVal(bool(value))
    return z3.BitVecVal(int(value), sort)


def _plain(value: z3.ExprRef) -> int | bool:
    if z3.is_bool(value):
        return z3.is_true(value)
    return value.as_long()


def _state(specification: Specification, step: int) -> dict[str, z3.ExprRef]:
    variables = specification.variables()
    return {name: z3.Const(f"{name}@{step}", sort) for name, sort in variables.items()}


def _assert_step(
    solver: z3.Solver, actions: Sequence[Action], before: State, after: State, step: int
) -> list[z3.BoolRef]:
    """Assert that exactly one action leads from one state to the next."""
    chosen = [z3.Bool(f"{action.name}@{step}") for action in actions]
    solver.add(z3.Or(*chosen))
    solver.add(z3.AtMost(*chosen, 1))
    changing: dict[str, list[z3.BoolRef]] = {name: [] for name in before}
    for flag, action in zip(chosen, actions, strict=True):
        solver.add(z3.Implies(flag, action.guard))
        for name, value in action.updates.items():
            changing[name].append(flag)
            solver.add(z3.Implies(flag, after[name] == value))
    for name, old in before.items():
        solver.add(z3.Or(*changing[name], after[name] == old))
    return chosen


def _read_trace(
    model: z3.ModelRef,
    states: Sequence[State],
    choices: Sequence[tuple[Sequence[Action], Sequence[z3.BoolRef]]],
    broken: Callable[[State], Mapping[str, z3.BoolRef]],
) -> Trace:
    def value(expression: z3.ExprRef) -> int | bool:
        return _plain(model.eval(expression, model_completion=True))

    steps = []
    for index, (actions, flags) in enumerate(choices):
        name = next(action.name for action, flag in zip(actions, flags, strict=True) if value(flag))
        before, after = states[index], states[index + 1]
        changes = {
            key: value(after[key]) for key in after if value(after[key]) != value(before[key])
        }
        steps.append(Step(name, changes))
    violated = tuple(key for key, holds in broken(states[-1]).items() if not value(holds))
    return Trace(violated, tuple(steps))


def check(specification: Specification, depth_steps: int) -> Checked:
    """Search all behaviours up to a depth for a broken invariant.

    :param specification: the protocol in its scope.
    :param depth_steps: number of steps, at least 0.
    :returns: the covered depth and, if one exists, a shortest violation.
    """
    started_s = time.perf_counter()
    solver = z3.SolverFor("QF_FD")
    state = _state(specification, 0)
    initial = specification.initial()
    sorts = specification.variables()
    for name, expression in state.items():
        solver.add(expression == _constant(sorts[name], initial[name]))
    states: list[State] = [state]
    choices: list[tuple[Sequence[Action], Sequence[z3.BoolRef]]] = []
    action_count = 0
    for step in range(depth_steps + 1):
        solver.push()
        invariants = specification.invariants(states[-1])
        solver.add(z3.Not(z3.And(*invariants.values())))
        if solver.check() == z3.sat:
            trace = _read_trace(solver.model(), states, choices, specification.invariants)
            run_time_s = time.perf_counter() - started_s
            return Checked(
                specification.name, specification.scope, step, action_count, trace, run_time_s
            )
        solver.pop()
        # Later states may rely on the invariants, because this depth cannot break them.
        solver.add(z3.And(*invariants.values()))
        if step == depth_steps:
            break
        actions = specification.actions(states[-1])
        action_count = len(actions)
        after = _state(specification, step + 1)
        choices.append((actions, _assert_step(solver, actions, states[-1], after, step)))
        states.append(after)
    run_time_s = time.perf_counter() - started_s
    return Checked(
        specification.name, specification.scope, depth_steps, action_count, None, run_time_s
    )
