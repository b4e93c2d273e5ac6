"""One statement that a target has to run."""

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
from pistachiowinch.sessions.alignment import shared_name
from pistachiowinch.sessions.site import Consistency, Route

__all__ = ["CallerState", "Operation", "Usage", "Work", "work_of"]


class CallerState:
    """What a session keeps between operations.

    :param position: end of the log after the session's last commit.
    :param position_epoch: number of the newest switch at that time.
    """

    __slots__ = ("position", "position_epoch", "prepared", "values")

    def __init__(self) -> None:
        """Create the state of a new session."""
        self.values: dict[str, str] = {}
        self.prepared: dict[str, Prepare] = {}
        self.position: Position | None = None
        self.position_epoch = 0


class Work(NamedTuple):
    """A statement as targets run it.

    :param statement: with the shared name in place of the caller's prepared one.
    :param shape: what the statement executes; None if it is not prepared.
    :param is_inside: whether it runs inside an open transaction, which may report the log's end as
        it was at its beginning.
    """

    request_id: str
    statement: Statement
    shape: Prepare | None
    is_write: bool
    is_inside: bool = False


class Usage:
    """Whether an operation has reached a target, so that its rate token is spent."""

    __slots__ = ("is_spent",)

    def __init__(self) -> None:
        """Note that nothing was sent yet."""
        self.is_spent = False


class Operation(NamedTuple):
    """Where and for whom a statement or a transaction runs.

    :param started_s: loop time at which it arrived.
    """

    route: Route
    customer: str
    state: CallerState
    started_s: float
    usage: Usage

    @property
    def needs_primary(self) -> bool:
        """Whether even reads have to see every commit."""
        return self.route.consistency is Consistency.PRIMARY


def work_of(request_id: str, statement: Statement, prepared: Mapping[str, Prepare]) -> Work | None:
    """Build the work of a read, write or execution; None for an unknown prepared name."""
    match statement:
        case Read():
            return Work(request_id, statement, None, False)
        case Write():
            return Work(request_id, statement, None, True)
        case Execute(name, arguments):
            shape = prepared.get(name)
            if shape is None:
                return None
            renamed = Execute(shared_name(shape), arguments)
            return Work(request_id, renamed, shape, shape.is_write)
        case _:
            raise ValueError(f"{type(statement).__name__} is not run by targets")
