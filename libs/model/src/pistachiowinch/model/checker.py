"""Bounded model checking of guarded actions with a satisfiability solver.

A specification consists of variables of finite sorts, guarded actions and invariants. The checker
unrolls the transition relation step by step, so the first violation that it finds is a shortest
one. Message loss, delays, crashes and pauses need no actions of their own, because an enabled
action may happen at any later step or never.
"""

import time
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

import z3

__all__ = [
    "Action",
    "CheckResult",
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

    :param name: name in traces, with its arguments; unique in a specification.
    :param guard: condition under which the step is possible.
    :param updates: new values of the variables that change.
    """

    name: str
    guard: z3.BoolRef
    updates: dict[str, z3.ExprRef]


class Specification(Protocol):
    """A protocol with finitely many states."""

    @property
    def name(self) -> str:
        """Name in reports."""

    @property
    def scope(self) -> str:
        """Bounds on processes, terms and values, for reports."""

    def variables(self) -> Mapping[str, z3.SortRef]:
        """Return the variables and their finite sorts."""

    def initial(self) -> Mapping[str, int | bool]:
        """Return the initial values of the variables."""

    def actions(self, state: State) -> Sequence[Action]:
        """Return the actions, with their guards in a state."""

    def invariants(self, state: State) -> Mapping[str, z3.BoolRef]:
        """Return the conditions that must hold in every state, by name."""


class Step(NamedTuple):
    """One step of a trace: the action's name and the values that it changed."""

    action: str
    changes: dict[str, int | bool]


class Trace(NamedTuple):
    """A shortest violation.

    :param violated_invariants: names of the violated invariants.
    :param steps: steps from the initial state to the violation.
    """

    violated_invariants: tuple[str, ...]
    steps: tuple[Step, ...]

    @property
    def text(self) -> str:
        """The actions, one per line."""
        return "\n".join(f"{number}. {step.action}" for number, step in enumerate(self.steps, 1))


class CheckResult(NamedTuple):
    """Result of a check.

    :param depth_steps: number of steps up to which all behaviours were checked.
    :param action_count: number of actions of the specification.
    :param trace: a shortest violation, or None if there is none within the depth.
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


def _value_expression(sort: z3.SortRef, value: int | bool) -> z3.ExprRef:
    if sort == z3.BoolSort():
        return z3.BoolVal(bool(value))
    return z3.BitVecVal(int(value), sort)


def _python_value(value: z3.ExprRef) -> int | bool:
    if z3.is_bool(value):
        return z3.is_true(value)
    return value.as_long()


def _state_at(specification: Specification, step: int) -> dict[str, z3.ExprRef]:
    variables = specification.variables()
    return {name: z3.Const(f"{name}@{step}", sort) for name, sort in variables.items()}


def _assert_step(
    solver: z3.Solver, actions: Sequence[Action], before: State, after: State, step: int
) -> list[z3.BoolRef]:
    """Assert that exactly one action leads from one state to the next; return their flags."""
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
    invariants: Callable[[State], Mapping[str, z3.BoolRef]],
) -> Trace:
    def value(expression: z3.ExprRef) -> int | bool:
        return _python_value(model.eval(expression, model_completion=True))

    steps = []
    for index, (actions, flags) in enumerate(choices):
        name = next(action.name for action, flag in zip(actions, flags, strict=True) if value(flag))
        before, after = states[index], states[index + 1]
        changes = {
            key: value(after[key]) for key in after if value(after[key]) != value(before[key])
        }
        steps.append(Step(name, changes))
    violated = tuple(key for key, holds in invariants(states[-1]).items() if not value(holds))
    return Trace(violated, tuple(steps))


def check(specification: Specification, depth_steps: int) -> CheckResult:
    """Search all behaviours up to a depth for a violated invariant.

    :param specification: the protocol to check.
    :param depth_steps: maximum number of steps, at least 0.
    :returns: the checked depth and, if one exists, a shortest violation.
    """
    started_s = time.perf_counter()
    solver = z3.SolverFor("QF_FD")
    state = _state_at(specification, 0)
    initial = specification.initial()
    sorts = specification.variables()
    for name, expression in state.items():
        solver.add(expression == _value_expression(sorts[name], initial[name]))
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
            return CheckResult(
                specification.name, specification.scope, step, action_count, trace, run_time_s
            )
        solver.pop()
        # No state at this depth violates the invariants, so later steps may assume them.
        solver.add(z3.And(*invariants.values()))
        if step == depth_steps:
            break
        actions = specification.actions(states[-1])
        action_count = len(actions)
        after = _state_at(specification, step + 1)
        choices.append((actions, _assert_step(solver, actions, states[-1], after, step)))
        states.append(after)
    run_time_s = time.perf_counter() - started_s
    return CheckResult(
        specification.name, specification.scope, depth_steps, action_count, None, run_time_s
    )
