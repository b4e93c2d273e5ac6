"""Statements of a session, and interfaces of the connections to targets that run them.

Used with a protocol that states each statement's kind and reports log positions, so that statements
need no classification and positions no probes.
"""

import enum
from typing import NamedTuple, Protocol

from msgspec import Struct

__all__ = [
    "NO_REQUEST_ID",
    "Begin",
    "Commit",
    "Completed",
    "Deallocate",
    "Execute",
    "Interrupted",
    "Position",
    "Prepare",
    "Read",
    "ReasonRefused",
    "Refused",
    "Rollback",
    "SetValue",
    "StateAnswer",
    "Statement",
    "StatementConnection",
    "StatementLink",
    "StatementOutcome",
    "TargetRefused",
    "TargetState",
    "Unsupported",
    "Write",
]

# Request id of statements that the proxy issues itself.
NO_REQUEST_ID = ""


class Position(NamedTuple):
    """Position in a database group's log; every position of a higher term is later.

    :param term: term of the primary that appended the entry.
    :param number: index of the entry.
    """

    term: int
    number: int


class Begin(Struct, frozen=True):
    """Opens a transaction; a read-only one may run on a replica."""

    is_read_only: bool


class Commit(Struct, frozen=True):
    """Commits the open transaction."""

    text: str


class Rollback(Struct, frozen=True):
    """Rolls the open transaction back."""


class Read(Struct, frozen=True):
    """Reads data."""

    text: str


class Write(Struct, frozen=True):
    """Changes data."""

    text: str


class SetValue(Struct, frozen=True):
    """Sets a value of the session."""

    name: str
    value: str


class Prepare(Struct, frozen=True):
    """Prepares a statement under a name for later use in the same session.

    :param template: text of the prepared statement.
    """

    name: str
    is_write: bool
    template: str


class Execute(Struct, frozen=True):
    """Runs a prepared statement.

    :param arguments: the statement's text after the prepared name.
    """

    name: str
    arguments: str


class Deallocate(Struct, frozen=True):
    """Removes a prepared statement."""

    name: str


class Unsupported(Struct, frozen=True):
    """A statement of any other kind."""

    text: str


Statement = (
    Begin
    | Commit
    | Rollback
    | Read
    | Write
    | SetValue
    | Prepare
    | Execute
    | Deallocate
    | Unsupported
)


class ReasonRefused(enum.Enum):
    """Reason for an error answer of a target."""

    BUSY = "busy"
    LAGGING = "lagging"
    READ_ONLY = "read_only"
    WRONG_TARGET = "wrong_target"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    NO_STATEMENT = "no_statement"
    FAILED = "failed"
    TIMEOUT = "timeout"
    OTHER = "other"

    @property
    def is_not_run(self) -> bool:
        """Whether the statement certainly had no effect."""
        return self not in _MAY_HAVE_RUN


_MAY_HAVE_RUN = frozenset({ReasonRefused.FAILED, ReasonRefused.TIMEOUT, ReasonRefused.OTHER})


class Completed(NamedTuple):
    """The statement ran and its complete answer arrived.

    :param receipt: the target's receipt of the execution, passed to the caller unchanged.
    :param position: end of the target's log after the statement; None if not reported.
    """

    rows: tuple[str, ...]
    receipt: str
    position: Position | None


class Refused(NamedTuple):
    """The target answered with an error.

    :param detail: the target's error text.
    :param is_transaction_failed: whether the open transaction can only be rolled back now.
    """

    reason: ReasonRefused
    detail: str
    is_transaction_failed: bool
    position: Position | None


class Interrupted(NamedTuple):
    """No complete answer arrived; the connection is closed.

    :param is_sent: whether any byte of the statement may have been sent.
    """

    is_sent: bool
    cause: str


StatementOutcome = Completed | Refused | Interrupted


class TargetState(NamedTuple):
    """State that a target reports.

    :param is_primary: whether the target considers itself primary, which may be out of date.
    :param term: highest term that it knows.
    :param received: end of its log; None if not reported.
    """

    is_primary: bool
    term: int
    received: Position | None


# What a request for a target's state yields: the state, the target's refusal, or None for silence.
StateAnswer = TargetState | ReasonRefused | None


class TargetRefused(Exception):
    """A target refused a connection, or the connection could not be opened.

    :param reason: the target's answer; None if it did not answer.
    :param is_reached: whether the TCP connection was accepted, so that the target may only be busy.
    """

    def __init__(
        self, detail: str, reason: ReasonRefused | None = None, is_reached: bool = False
    ) -> None:
        """Create the error with the target's or the network's error text."""
        super().__init__(detail)
        self.reason = reason
        self.is_reached = is_reached


class StatementConnection(Protocol):
    """One connection to one target, including the connection's session state there."""

    @property
    def is_usable(self) -> bool:
        """Whether another statement may be sent."""

    async def run(
        self, request_id: str, statement: Statement, after: Position | None, timeout_s: float
    ) -> StatementOutcome:
        """Run one statement; without an answer in ``timeout_s`` the outcome is ``Interrupted``.

        :param after: log position that the target must have applied; otherwise it answers LAGGING.
        """

    async def reset(self, timeout_s: float) -> StatementOutcome:
        """Reset the connection's session values and prepared statements."""

    async def state(self, timeout_s: float) -> StateAnswer:
        """Return the target's state, why it was refused, or None if the target did not answer."""

    async def demote(self, term: int, timeout_s: float) -> TargetState | None:
        """Notify the target of a later term, so that it stops acting as primary.

        :returns: its state, or None if it did not answer.
        """

    def close(self) -> None:
        """Close the connection immediately; the target rolls an open transaction back."""


class StatementLink(Protocol):
    """Opens connections to targets."""

    async def connect(
        self, service: str, target: str, address: str, customer: str, timeout_s: float
    ) -> StatementConnection:
        """Open a connection.

        :param target: name that the target at the address must have.
        :raises TargetRefused: if the target refuses, has another name or does not answer in time.
        """
