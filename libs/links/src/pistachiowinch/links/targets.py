"""Interfaces to the targets: statements, and orders to a database group.

Each target of a database group is assumed to report its terms and log positions, to refuse lower
terms, to be promoted with a term, and to follow a primary on order, which removes entries that the
primary lacks.
"""

import enum
from typing import Any, NamedTuple, Protocol

__all__ = [
    "Column",
    "ExecuteOutcome",
    "Failed",
    "FenceReply",
    "GroupLink",
    "QueryResult",
    "ResultLost",
    "Succeeded",
    "TargetConnection",
    "TargetLink",
    "TargetRole",
    "TargetStatus",
    "TargetUnreachable",
]


class TargetUnreachable(Exception):
    """The target did not answer; an order may have taken effect."""


class TargetRole(enum.Enum):
    """Role that a target reports, which may be out of date."""

    PRIMARY = "primary"
    REPLICA = "replica"


class TargetStatus(NamedTuple):
    """State that a target reported. Its log may have grown since, so positions are lower bounds.

    :param target: the target's name.
    :param role: primary or replica.
    :param promised_term: highest term that it was fenced with or follows.
    :param stream_term: term of the primary whose log contains the target's log as a prefix.
    :param log_term: term of its last log entry.
    :param position: position of the last entry that it has stored durably.
    :param applied_position: position of the last entry that is visible to reads.
    """

    target: str
    role: TargetRole
    promised_term: int
    stream_term: int
    log_term: int
    position: int
    applied_position: int


class FenceReply(NamedTuple):
    """Answer to an order with a term.

    :param is_accepted: false if the target has promised a higher term or cannot execute the order.
    :param status: the target's state after the order.
    """

    is_accepted: bool
    status: TargetStatus


class Column(NamedTuple):
    """Column of a result set as described by the target.

    :param type_code: MySQL's column type number.
    :param flags: MySQL's column flags (NOT NULL, UNSIGNED, BINARY ...).
    :param charset: MySQL's collation number.
    :param length_bytes: display length.
    :param decimals: digits after the point.
    """

    name: str
    type_code: int
    flags: int = 0
    charset: int = 45
    length_bytes: int = 0
    decimals: int = 0
    table: str = ""
    schema: str = ""
    org_table: str = ""
    org_name: str = ""


class QueryResult(NamedTuple):
    """Complete result of one statement.

    :param columns: empty for a statement without a result set.
    :param rows: tuples in column order.
    :param affected_rows: number of changed rows.
    :param last_insert_id: 0 if none was generated.
    :param warnings: number of warnings.
    :param is_in_transaction: whether the connection has an open transaction afterwards.
    :param term: the primary's term of a committed write; 0 if unknown.
    :param position: log position of a committed write, or at the time of a read; 0 if unknown.
    """

    columns: tuple[Column, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    affected_rows: int = 0
    last_insert_id: int = 0
    warnings: int = 0
    is_in_transaction: bool = False
    term: int = 0
    position: int = 0


class Succeeded(NamedTuple):
    """The statement ran and its complete result arrived."""

    result: QueryResult


class Failed(NamedTuple):
    """The target answered with an error."""

    errno: int
    sqlstate: str
    message: str


class ResultLost(NamedTuple):
    """No complete result arrived; the connection is unusable.

    :param is_sent: whether any byte of the statement may have been sent.
    """

    is_sent: bool
    reason: str


ExecuteOutcome = Succeeded | Failed | ResultLost


class TargetConnection(Protocol):
    """One connection to one target, which executes one statement at a time."""

    @property
    def is_usable(self) -> bool:
        """Whether another statement may be sent."""

    async def execute(self, text: str) -> ExecuteOutcome:
        """Send one statement and read its complete result.

        Cancelling this call leaves the connection unusable.

        :raises RuntimeError: if a statement is in progress or the connection is unusable.
        """

    async def close(self) -> None:
        """Close the connection without waiting for the target."""


class TargetLink(Protocol):
    """Opens connections to targets with the proxy's own credentials."""

    async def connect(self, target: str) -> TargetConnection:
        """Open a connection.

        :raises TargetUnreachable: if the target does not answer in time or refuses.
        """


class GroupLink(Protocol):
    """Orders to one database group. Every method may raise :class:`TargetUnreachable`."""

    async def status(self, target: str) -> TargetStatus:
        """Read a target's state."""

    async def fence(self, target: str, term: int) -> FenceReply:
        """Make a target refuse lower terms, and stop it if it is the primary of one."""

    async def promote(self, target: str, term: int) -> FenceReply:
        """Make a target that is fenced with exactly this term its primary; appends one entry."""

    async def follow(self, target: str, term: int, primary: str) -> FenceReply:
        """Make a target a replica of the term's primary and remove entries the primary lacks."""
