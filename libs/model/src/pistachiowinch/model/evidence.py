"""Variables for what hosts have learned of each other, shared by several specifications."""

from collections.abc import Mapping

import z3

__all__ = ["age", "evidence_variables"]


def evidence_variables(hosts: int, number: z3.SortRef) -> Mapping[str, z3.SortRef]:
    """Return the variables of each host's evidence about each other host.

    ``asked``: steps since the newest request. ``answer``: the reply to it.
    ``age``: steps since the request that the received evidence replied to.
    """
    return {
        f"{kind}{host}{peer}": number
        for host in range(hosts)
        for peer in range(hosts)
        if peer != host
        for kind in ("asked", "answer", "age")
    }


def age(steps: z3.ExprRef, oldest: int) -> z3.ExprRef:
    """Return an age one step later, at most ``oldest``."""
    return z3.If(steps == oldest, steps, steps + 1)
