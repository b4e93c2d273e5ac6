"""Apply a session's variables and prepared statements to a pooled connection."""

import hashlib
from collections.abc import Mapping

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

__all__ = ["align", "with_shared_name"]

# Prepared statements on one connection: half of what a session may prepare, to bound the target's
# memory.
MAX_PREPARED_STATEMENTS = 128
# Length of the digests that identify prepared statements; no two texts with the same one are known.
DIGEST_BYTES = 32

_ALIGNED = Completed((), "", None)


def with_shared_name(prepared: Prepare) -> Prepare:
    """Return a statement with the name under which all sessions prepare it at targets.

    Callers choose the text, so only a cryptographic digest identifies it.
    """
    kind = "w" if prepared.is_write else "r"
    digest = hashlib.blake2b(prepared.template.encode(), digest_size=DIGEST_BYTES).hexdigest()
    return Prepare(f"{kind}{digest}", prepared.is_write, prepared.template)


async def align(
    pooled: PooledConnection, values: Mapping[str, str], prepared: Prepare | None, deadline_s: float
) -> StatementOutcome:
    """Set a connection's variables to those of the session, and prepare a statement.

    :param values: all variables of the session.
    :param prepared: prepared statement that runs next, with its shared name; None if the next one
        is not prepared.
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
    if prepared is None or prepared.name in pooled.prepared:
        return _ALIGNED
    outcome = await _run(pooled, prepared, deadline_s)
    if isinstance(outcome, Completed):
        pooled.prepared.add(prepared.name)
    return outcome


async def _run(
    pooled: PooledConnection, statement: SetValue | Prepare, deadline_s: float
) -> StatementOutcome:
    if not pooled.connection.is_usable:
        return Interrupted(False, "the connection was closed")
    return await pooled.connection.run(NO_REQUEST_ID, statement, None, remaining_s(deadline_s))
