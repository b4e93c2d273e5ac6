"""Statements as targets run them, and the operations that they belong to."""

from collections.abc import Mapping
from typing import NamedTuple

from pistachiowinch.links.statements import (
    Execute,
    Position,
    Prepare,
    Read,
    Statement,
    Write,
)
from pistachiowinch.sessions.alignment import shared_statement_name
from pistachiowinch.sessions.site import Consistency, Route

__all__ = ["CallerState", "Operation", "RateToken", "Work", "build_work"]


class CallerState:
    """Session state that is kept between operations.

    :ivar position: end of the log after the session's last commit.
    :ivar position_epoch: number of the latest switch at that time.
    :ivar superseded_epoch: number of the last switch that was logged to supersede the position.
    """

    __slots__ = ("position", "position_epoch", "prepared", "superseded_epoch", "values")

    def __init__(self) -> None:
        """Create the state of a new session."""
        self.values: dict[str, str] = {}
        self.prepared: dict[str, Prepare] = {}
        self.position: Position | None = None
        self.position_epoch = 0
        self.superseded_epoch = 0


class Work(NamedTuple):
    """A statement as targets run it.

    :param statement: statement with the shared name instead of the caller's name for a prepared
        statement.
    :param prepared: prepared statement that it executes; None if there is none.
    :param is_in_transaction: whether it runs inside an open transaction, where the reported end of
        the log may be that of the transaction's start.
    """

    request_id: str
    statement: Statement
    prepared: Prepare | None
    is_write: bool
    is_in_transaction: bool = False


class RateToken:
    """Rate token of an operation, which is spent once a statement was sent to a target.

    :ivar is_counted: whether the operation is counted as a request that began to run.
    """

    __slots__ = ("is_counted", "is_spent")

    def __init__(self) -> None:
        """Create a token that is not spent."""
        self.is_counted = False
        self.is_spent = False


class Operation(NamedTuple):
    """A single statement or a transaction of a caller.

    :param started_s: loop time at which it arrived.
    """

    route: Route
    customer: str
    state: CallerState
    started_s: float
    rate_token: RateToken

    @property
    def needs_primary(self) -> bool:
        """Whether reads must see every commit, so that only the primary can serve them."""
        return self.route.consistency is Consistency.PRIMARY


def build_work(
    request_id: str, statement: Statement, prepared: Mapping[str, Prepare]
) -> Work | None:
    """Build the work for a read, write or execution; None if the prepared name is unknown."""
    match statement:
        case Read():
            return Work(request_id, statement, None, False)
        case Write():
            return Work(request_id, statement, None, True)
        case Execute(name, arguments):
            found = prepared.get(name)
            if found is None:
                return None
            renamed = Execute(shared_statement_name(found), arguments)
            return Work(request_id, renamed, found, found.is_write)
        case _:
            raise ValueError(f"{type(statement).__name__} cannot be run by a target")
