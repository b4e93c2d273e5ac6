"""Messages between hosts about statements that run on the connections of a pool host."""

from typing import NamedTuple

import msgspec

from pistachiowinch.links.statements import (
    Begin,
    Commit,
    Completed,
    Execute,
    Interrupted,
    Position,
    Prepare,
    Read,
    ReasonRefused,
    Refused,
    Rollback,
    Statement,
    StatementOutcome,
    Write,
)
from pistachiowinch.sessions.target_loads import LoadReport

__all__ = [
    "UNREACHABLE",
    "Declined",
    "PoolAnswer",
    "PoolClose",
    "PoolPing",
    "PoolPong",
    "PoolStatement",
    "decode_load",
    "decode_outcome",
    "decode_prepared",
    "decode_statement",
    "encode_load",
    "encode_outcome",
    "encode_prepared",
    "encode_statement",
]

# Reason of a pool host that does not reach the target, though another one may.
UNREACHABLE = "unreachable"
_REASONS = {reason.value: reason for reason in ReasonRefused}
_COMPLETED, _REFUSED, _INTERRUPTED, _DECLINED = range(4)


class Declined(NamedTuple):
    """The pool host did not offer the statement to its target, which has not seen it.

    :param reason: label of the reason.
    :param retry_after_s: time after which a new attempt is expected to be served.
    :param is_local: whether the reason concerns only the pool host, so that another host may serve
        the statement at the same target.
    """

    reason: str
    retry_after_s: float
    is_local: bool = False


class PoolStatement(msgspec.Struct, tag="sq", array_like=True, frozen=True):
    """Asks a pool host to run one statement.

    :param run: the asking host's incarnation.
    :param number: distinguishes the statements of that run; a repeated message is ignored.
    :param transaction: number of the transaction that the statement belongs to; 0 for none.
    :param is_primary: whether the target must be the primary.
    :param epoch: number of the latest primary switch that the asking host knows.
    :param objective_ms: time until the answer should be there.
    :param deadline_ms: time until an answer is of no use.
    :param values: variables of the session.
    :param template: kind and text of the prepared statement that is executed; empty if none is.
    :param min_position: position that the target must have applied; empty for any.
    """

    run: int
    number: int
    transaction: int
    service: str
    target: str
    is_primary: bool
    epoch: int
    customer: str
    priority: int
    objective_ms: int
    deadline_ms: int
    request_id: str
    statement: tuple[str, ...]
    is_write: bool
    values: dict[str, str] = {}
    template: tuple[str, str, bool] | None = None
    min_position: tuple[int, int] | None = None


class PoolAnswer(msgspec.Struct, tag="sa", array_like=True, frozen=True):
    """Outcome of a statement, and the load of its target.

    :param number: the statement's number.
    :param outcome: encoded outcome.
    :param load: slots, running and waiting statements, and mean slot time in microseconds.
    :param took_us: time from the statement's arrival to the answer.
    """

    number: int
    outcome: tuple
    load: tuple[int, int, int, int]
    took_us: int = 0


class PoolClose(msgspec.Struct, tag="sc", array_like=True, frozen=True):
    """Ends a transaction without a commit; the pool host closes its connection."""

    run: int
    transaction: int


class PoolPing(msgspec.Struct, tag="si", array_like=True, frozen=True):
    """Asks whether a pool host is alive."""


class PoolPong(msgspec.Struct, tag="so", array_like=True, frozen=True):
    """Answers a ping.

    :param run: the pool host's incarnation; statements sent to an earlier one get no answer.
    :param is_serving: whether it accepts new statements.
    """

    run: int
    is_serving: bool


def encode_statement(statement: Statement) -> tuple[str, ...]:
    """Encode a statement as texts."""
    match statement:
        case Read(text):
            return ("r", text)
        case Write(text):
            return ("w", text)
        case Execute(name, arguments):
            return ("e", name, arguments)
        case Begin(is_read_only):
            return ("b", "r" if is_read_only else "")
        case Commit(text):
            return ("c", text)
        case Rollback():
            return ("k",)
        case _:
            raise ValueError(f"{type(statement).__name__} does not run at a target")


def decode_statement(texts: tuple[str, ...]) -> Statement:
    """Decode a statement.

    :raises ValueError: if it is malformed.
    """
    match texts:
        case ("r", text):
            return Read(text)
        case ("w", text):
            return Write(text)
        case ("e", name, arguments):
            return Execute(name, arguments)
        case ("b", mode):
            return Begin(mode == "r")
        case ("c", text):
            return Commit(text)
        case ("k",):
            return Rollback()
        case _:
            raise ValueError("not a statement")


def encode_prepared(prepared: Prepare | None) -> tuple[str, str, bool] | None:
    """Encode a prepared statement."""
    return None if prepared is None else (prepared.name, prepared.template, prepared.is_write)


def decode_prepared(fields: tuple[str, str, bool] | None) -> Prepare | None:
    """Decode a prepared statement."""
    return None if fields is None else Prepare(fields[0], fields[2], fields[1])


def encode_outcome(outcome: StatementOutcome | Declined) -> tuple:
    """Encode an outcome as a tuple that starts with its kind."""
    match outcome:
        case Completed(rows, receipt, position):
            return (_COMPLETED, rows, receipt, position)
        case Refused(reason, detail, is_failed, position):
            return (_REFUSED, reason.value, detail, is_failed, position)
        case Interrupted(is_sent, cause):
            return (_INTERRUPTED, is_sent, cause)
        case Declined(reason, retry_after_s, is_local):
            return (_DECLINED, reason, retry_after_s, is_local)


def decode_outcome(fields: tuple) -> StatementOutcome | Declined:
    """Decode an outcome.

    :raises ValueError: if it is malformed.
    """
    match fields:
        case (0, rows, str() as receipt, position):
            return Completed(tuple(rows), receipt, _position(position))
        case (1, str() as reason, str() as detail, bool() as is_failed, position) if (
            reason in _REASONS
        ):
            return Refused(_REASONS[reason], detail, is_failed, _position(position))
        case (2, bool() as is_sent, str() as cause):
            return Interrupted(is_sent, cause)
        case (3, str() as reason, int() | float() as retry_after_s, bool() as is_local):
            return Declined(reason, float(retry_after_s), is_local)
        case _:
            raise ValueError("not an outcome")


def decode_load(fields: tuple[int, int, int, int]) -> LoadReport:
    """Decode the load of a target."""
    slots, running, waiting, service_us = fields
    return LoadReport(slots, running, waiting, service_us / 1e6)


def encode_load(load: LoadReport) -> tuple[int, int, int, int]:
    """Encode the load of a target."""
    return load.slots, load.running, load.waiting, int(load.service_s * 1e6)


def _position(fields) -> Position | None:
    match fields:
        case None:
            return None
        case (int() as term, int() as number):
            return Position(term, number)
        case _:
            raise ValueError("not a position")
