"""Gives a pooled connection the values and prepared shapes of the session that uses it."""

from collections.abc import Mapping

import xxhash

from pistachiowinch.base.clock import remaining_s
from pistachiowinch.links.statements import (
    NO_REQUEST_ID,
    Completed,
    Interrupted,
    Prepare,
    SetValue,
    StatementOutcome,
)
from pistachiowinch.sessions.connections import PooledConnection

__all__ = ["align", "shared_name"]

# Shapes on one connection; half of what one session may prepare, to bound the target's memory.
MAX_PREPARED = 128

_ALIGNED = Completed((), "", None)


def shared_name(shape: Prepare) -> str:
    """Return the name of a shape that all sessions use at targets."""
    kind = "w" if shape.is_write else "r"
    return f"{kind}{xxhash.xxh64_hexdigest(shape.template.encode())}"


async def align(
    held: PooledConnection, values: Mapping[str, str], shape: Prepare | None, deadline_s: float
) -> StatementOutcome:
    """Make a connection's values equal to the session's, and prepare a shape.

    :param values: all values of the session.
    :param shape: shape that the next statement executes; None for none.
    :param deadline_s: loop time at which the target counts as silent.
    :returns: :class:`Completed`, or the outcome that kept the connection from being aligned.
    """
    must_reset = not held.values.keys() <= values.keys() or len(held.prepared) > MAX_PREPARED
    if must_reset:
        outcome = await held.connection.reset(remaining_s(deadline_s))
        if not isinstance(outcome, Completed):
            return outcome
        held.values = {}
        held.prepared = set()
    for name, value in values.items():
        if held.values.get(name) != value:
            outcome = await _run(held, SetValue(name, value), deadline_s)
            if not isinstance(outcome, Completed):
                return outcome
            held.values[name] = value
    if shape is None or shared_name(shape) in held.prepared:
        return _ALIGNED
    name = shared_name(shape)
    outcome = await _run(held, Prepare(name, shape.is_write, shape.template), deadline_s)
    if isinstance(outcome, Completed):
        held.prepared.add(name)
    return outcome


async def _run(
    held: PooledConnection, statement: SetValue | Prepare, deadline_s: float
) -> StatementOutcome:
    if not held.connection.is_usable:
        return Interrupted(False, "the connection was closed")
    return await held.connection.run(NO_REQUEST_ID, statement, None, remaining_s(deadline_s))
