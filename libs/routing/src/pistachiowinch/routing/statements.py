"""Statements and their classification for routing."""

import enum
from typing import NamedTuple

__all__ = ["Statement", "StatementKind"]


class StatementKind(enum.Enum):
    """Routing class of a statement. A statement that is not known to be a read is a write."""

    READ = "read"
    WRITE = "write"
    DDL = "ddl"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SESSION_STATE = "session_state"


class Statement(NamedTuple):
    """A statement from a caller.

    :param text: SQL as the caller sent it.
    :param kind: routing class.
    :param request_id: the caller's id for this request, or None.
    :param is_idempotent: whether the caller allows the statement to run more than once.
    :param is_locking_read: whether a read takes locks and therefore needs the primary.
    """

    text: str
    kind: StatementKind
    request_id: str | None = None
    is_idempotent: bool = False
    is_locking_read: bool = False
