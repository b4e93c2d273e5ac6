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
from pistachiowinch.sessions.site import Consistency, Route

__all__ = ["CallerState", "Operation", "OwnCommit", "RateToken", "Work", "build_work"]


class OwnCommit:
    """A session's last commit at one service, whose log and switches it is counted by.

    :ivar position: end of the log after the commit; None if unknown.
    :ivar epoch: number of the service's latest switch when the commit was sent.
    :ivar superseded_epoch: number of the last switch that was logged to supersede the commit.
    """

    __slots__ = ("epoch", "position", "superseded_epoch")

    def __init__(self, position: Position | None, epoch: int) -> None:
        """Create a commit that nothing has superseded."""
        self.position = position
        self.epoch = epoch
        self.superseded_epoch = epoch


class CallerState:
    """Session state that is kept between operations.

    :ivar commits: the session's last commit at each service. Versions of the configuration lead a
        route from one service to another and back, so entries stay for as long as the session;
        there are no more of them than services.
    :ivar prepared: prepared statements with their shared names, by the caller's name.
    """

    __slots__ = ("commits", "prepared", "values")

    def __init__(self) -> None:
        """Create the state of a new session."""
        self.values: dict[str, str] = {}
        self.prepared: dict[str, Prepare] = {}
        self.commits: dict[str, OwnCommit] = {}

    def note_commit(self, service: str, position: Position | None, epoch: int) -> None:
        """Record an acknowledged commit of this session.

        :param position: end of the log after the commit; None if the target did not report it.
        :param epoch: number of the latest switch when the commit was sent.
        """
        self.commits[service] = OwnCommit(position, epoch)


class Work(NamedTuple):
    """A statement as targets run it.

    :param statement: statement with the shared name instead of the caller's name for a prepared
        statement.
    :param prepared: prepared statement that it executes, with its shared name; None if there is
        none.
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
    """Build the work for a read, write or execution; None if the prepared name is unknown.

    :param prepared: the session's prepared statements with their shared names.
    """
    match statement:
        case Read():
            return Work(request_id, statement, None, False)
        case Write():
            return Work(request_id, statement, None, True)
        case Execute(name, arguments):
            found = prepared.get(name)
            if found is None:
                return None
            return Work(request_id, Execute(found.name, arguments), found, found.is_write)
        case _:
            raise ValueError(f"{type(statement).__name__} cannot be run by a target")
