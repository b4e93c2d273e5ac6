"""Evidence that hosts have of each other, as several specifications use it."""

from collections.abc import Mapping

import z3

__all__ = ["age", "evidence_variables"]


def evidence_variables(hosts: int, number: z3.SortRef) -> Mapping[str, z3.SortRef]:
    """Return the variables of each host's evidence of each other host.

    ``asked`` and ``answer``: steps since the newest question, and what was answered then.
    ``age``: steps since the date of the evidence.
    """
    return {
        f"{kind}{host}{peer}": number
        for host in range(hosts)
        for peer in range(hosts)
        if peer != host
        for kind in ("asked", "answer", "age")
    }


def age(steps: z3.ExprRef, oldest: int) -> z3.ExprRef:
    """Return an age one step later; it stays at the oldest that is told apart."""
    return z3.If(steps == oldest, steps, steps + 1)
