"""Statements of a session and the connections to targets that run them.

Used where the protocol itself names each statement's kind and reports log positions, so that
nothing has to be classified or probed.
"""

import enum
from dataclasses import dataclass
from typing import NamedTuple, Protocol

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
    "RefusalReason",
    "Refused",
    "Rollback",
    "SetValue",
    "Statement",
    "StatementConnection",
    "StatementLink",
    "StatementOutcome",
    "TargetRefused",
    "TargetState",
    "Unsupported",
    "Write",
]

# Request id of statements that the product issues itself.
NO_REQUEST_ID = ""


class Position(NamedTuple):
    """Place in a database group's log; a higher term is later than every number of a lower one.

    :param term: term of the primary that appended the entry.
    :param number: index of the entry.
    """

    term: int
    number: int


@dataclass(frozen=True, slots=True)
class Begin:
    """Opens a transaction; a read-only one may run on a replica."""

    is_read_only: bool


@dataclass(frozen=True, slots=True)
class Commit:
    """Ends a transaction and keeps its writes."""

    text: str


@dataclass(frozen=True, slots=True)
class Rollback:
    """Ends a transaction and drops its writes."""


@dataclass(frozen=True, slots=True)
class Read:
    """Reads data."""

    text: str


@dataclass(frozen=True, slots=True)
class Write:
    """Changes data."""

    text: str


@dataclass(frozen=True, slots=True)
class SetValue:
    """Sets a value of the session."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Names a statement's shape for later use in the same session."""

    name: str
    is_write: bool
    template: str


@dataclass(frozen=True, slots=True)
class Execute:
    """Runs a prepared shape.

    :param arguments: everything after the prepared name.
    """

    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Deallocate:
    """Forgets a prepared name."""

    name: str


@dataclass(frozen=True, slots=True)
class Unsupported:
    """Anything that is not one of the other statements."""

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


class RefusalReason(enum.Enum):
    """Why a target answered with an error."""

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


_MAY_HAVE_RUN = frozenset({RefusalReason.FAILED, RefusalReason.TIMEOUT, RefusalReason.OTHER})


class Completed(NamedTuple):
    """The statement ran and its whole answer arrived.

    :param receipt: the target's proof of execution, passed on to the caller unchanged.
    :param position: end of the target's log after the statement; None if not reported.
    """

    rows: tuple[str, ...]
    receipt: str
    position: Position | None


class Refused(NamedTuple):
    """The target answered with an error.

    :param detail: the target's own text.
    :param is_transaction_failed: whether an open transaction can now only be rolled back.
    """

    reason: RefusalReason
    detail: str
    is_transaction_failed: bool
    position: Position | None


class Interrupted(NamedTuple):
    """No complete answer arrived; the connection is closed.

    :param is_sent: whether any byte of the statement may have left this host.
    """

    is_sent: bool
    cause: str


StatementOutcome = Completed | Refused | Interrupted


class TargetState(NamedTuple):
    """What a target reports of itself.

    :param is_primary: its own view, which may be out of date.
    :param term: highest term it knows.
    :param received: end of the log that it holds.
    """

    is_primary: bool
    term: int
    received: Position | None


class TargetRefused(Exception):
    """A connection was refused or could not be opened.

    :param reason: the target's answer; None if it did not answer.
    :param is_reached: whether its machine accepted the connection, so that it may only be busy.
    """

    def __init__(
        self, detail: str, reason: RefusalReason | None = None, is_reached: bool = False
    ) -> None:
        """Create the error."""
        super().__init__(detail)
        self.reason = reason
        self.is_reached = is_reached


class StatementConnection(Protocol):
    """One connection to one target, with the session state that it carries there."""

    @property
    def is_usable(self) -> bool:
        """Whether another statement may be sent."""

    async def run(
        self, request_id: str, statement: Statement, after: Position | None, timeout_s: float
    ) -> StatementOutcome:
        """Run one statement; silence for ``timeout_s`` counts as interrupted.

        :param after: log position that the target must have applied, else it answers LAGGING.
        """

    async def reset(self, timeout_s: float) -> StatementOutcome:
        """Drop the values and prepared names that the connection carries."""

    async def state(self, timeout_s: float) -> TargetState | None:
        """Ask the target for its state; None if it did not answer."""

    async def demote(self, term: int, timeout_s: float) -> TargetState | None:
        """Tell the target that a later term has begun, so that it stops leading.

        :returns: its state; None if it did not answer.
        """

    def close(self) -> None:
        """Close at once; the target rolls an open transaction back."""


class StatementLink(Protocol):
    """Opens connections to targets."""

    async def connect(
        self, service: str, target: str, address: str, customer: str, timeout_s: float
    ) -> StatementConnection:
        """Open a connection.

        :param target: identity that must be found at the address.
        :raises TargetRefused: if the target refuses, is another one, or does not answer in time.
        """
