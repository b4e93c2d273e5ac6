"""Apply a session's variables and prepared statements to a pooled connection."""

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

__all__ = ["align", "shared_statement_name"]

# Prepared statements on one connection: half of what a session may prepare, to bound the target's
# memory.
MAX_PREPARED_STATEMENTS = 128

_ALIGNED = Completed((), "", None)


def shared_statement_name(prepared: Prepare) -> str:
    """Return the name under which all sessions prepare a statement at targets."""
    kind = "w" if prepared.is_write else "r"
    return f"{kind}{xxhash.xxh64_hexdigest(prepared.template.encode())}"


async def align(
    pooled: PooledConnection, values: Mapping[str, str], prepared: Prepare | None, deadline_s: float
) -> StatementOutcome:
    """Set a connection's variables to those of the session, and prepare a statement.

    :param values: all variables of the session.
    :param prepared: prepared statement that runs next; None if the next one is not prepared.
    :param deadline_s: loop time after which the target is treated as unresponsive.
    :returns: :class:`Completed` on success, otherwise the outcome of the step that failed.
    """
    must_reset = (
        not pooled.values.keys() <= values.keys() or len(pooled.prepared) > MAX_PREPARED_STATEMENTS
    )
    if must_reset:
        outcome = await pooled.connection.reset(remaining_s(deadline_s))
        if not isinstance(outcome, Completed):
            return outcome
        pooled.values = {}
        pooled.prepared = set()
    for name, value in values.items():
        if pooled.values.get(name) != value:
            outcome = await _run(pooled, SetValue(name, value), deadline_s)
            if not isinstance(outcome, Completed):
                return outcome
            pooled.values[name] = value
    if prepared is None or shared_statement_name(prepared) in pooled.prepared:
        return _ALIGNED
    name = shared_statement_name(prepared)
    outcome = await _run(pooled, Prepare(name, prepared.is_write, prepared.template), deadline_s)
    if isinstance(outcome, Completed):
        pooled.prepared.add(name)
    return outcome


async def _run(
    pooled: PooledConnection, statement: SetValue | Prepare, deadline_s: float
) -> StatementOutcome:
    if not pooled.connection.is_usable:
        return Interrupted(False, "the connection was closed")
    return await pooled.connection.run(NO_REQUEST_ID, statement, None, remaining_s(deadline_s))
