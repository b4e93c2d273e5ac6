"""What routing needs to know about a statement."""

import enum
from typing import NamedTuple

__all__ = ["Statement", "StatementKind"]


class StatementKind(enum.Enum):
    """How a statement is routed. A statement that is not known to be a read is a write."""

    READ = "read"
    WRITE = "write"
    DDL = "ddl"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SESSION_STATE = "session_state"


class Statement(NamedTuple):
    """One statement of a caller.

    :param text: SQL as the caller sent it.
    :param kind: routing class.
    :param request_id: caller's id for this request, or None.
    :param is_idempotent: whether the caller allows the statement to run more than once.
    :param is_locking_read: a read that takes locks and therefore needs the primary.
    """

    text: str
    kind: StatementKind
    request_id: str | None = None
    is_idempotent: bool = False
    is_locking_read: bool = False
