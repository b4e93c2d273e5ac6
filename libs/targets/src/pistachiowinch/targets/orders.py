"""Orders to a database group as SQL statements.

Only this module depends on the form of these statements. It is to be replaced when the users' own
control interface of the group is connected.
"""

import re
from collections.abc import Sequence
from typing import Any, NamedTuple

from pistachiowinch.links.targets import Column, FenceReply, TargetRole, TargetStatus

__all__ = [
    "REPLY_COLUMNS",
    "FenceOrder",
    "FollowOrder",
    "GroupOrder",
    "PromoteOrder",
    "StatusOrder",
    "order_text",
    "parse_order",
    "parse_reply",
    "reply_row",
]

_TYPE_LONGLONG = 8
_TYPE_VAR_STRING = 253
_FLAG_NOT_NULL = 1

REPLY_COLUMNS = tuple(
    Column(name, type_code, flags=_FLAG_NOT_NULL)
    for name, type_code in (
        ("is_accepted", _TYPE_LONGLONG),
        ("target", _TYPE_VAR_STRING),
        ("role", _TYPE_VAR_STRING),
        ("promised_term", _TYPE_LONGLONG),
        ("stream_term", _TYPE_LONGLONG),
        ("log_term", _TYPE_LONGLONG),
        ("position", _TYPE_LONGLONG),
        ("applied_position", _TYPE_LONGLONG),
    )
)

_ORDER = re.compile(r"CALL pistachiowinch_(status|fence|promote|follow)\((.*)\)")
_TERM = re.compile(r"\d{1,19}")
_FOLLOW_ARGUMENTS = re.compile(r"(\d{1,19}), '([^'\\]*)'")


class StatusOrder(NamedTuple):
    """Report the target's state."""


class FenceOrder(NamedTuple):
    """Refuse terms lower than this one."""

    term: int


class PromoteOrder(NamedTuple):
    """Become primary of this term."""

    term: int


class FollowOrder(NamedTuple):
    """Become a replica of this primary."""

    term: int
    primary: str


GroupOrder = StatusOrder | FenceOrder | PromoteOrder | FollowOrder


def order_text(order: GroupOrder) -> str:
    """Format an order as a statement.

    :param order: the order.
    :raises ValueError: if the primary's name cannot be quoted.
    """
    match order:
        case StatusOrder():
            return "CALL pistachiowinch_status()"
        case FenceOrder(term):
            return f"CALL pistachiowinch_fence({term})"
        case PromoteOrder(term):
            return f"CALL pistachiowinch_promote({term})"
        case FollowOrder(term, primary):
            if "'" in primary or "\\" in primary:
                raise ValueError("a target's name must not contain quotes or backslashes")
            return f"CALL pistachiowinch_follow({term}, '{primary}')"


def parse_order(text: str) -> GroupOrder | None:
    """Parse a statement as an order.

    :param text: the statement.
    :returns: the order, None if the statement is not one.
    """
    found = _ORDER.fullmatch(text)
    if found is None:
        return None
    name, arguments = found.groups()
    if name == "status":
        return StatusOrder() if not arguments else None
    if name == "follow":
        values = _FOLLOW_ARGUMENTS.fullmatch(arguments)
        return FollowOrder(int(values[1]), values[2]) if values else None
    if not _TERM.fullmatch(arguments):
        return None
    return FenceOrder(int(arguments)) if name == "fence" else PromoteOrder(int(arguments))


def reply_row(reply: FenceReply) -> tuple[Any, ...]:
    """Format a reply as a row of :data:`REPLY_COLUMNS`.

    :param reply: the target's reply; a status counts as accepted.
    """
    status = reply.status
    return (int(reply.is_accepted), status.target, status.role.value, *status[2:])


def parse_reply(rows: Sequence[Sequence[Any]]) -> FenceReply:
    """Parse the rows of an answer as a reply.

    :param rows: the answer's rows.
    :raises ValueError: if they are not exactly one reply.
    """
    if len(rows) != 1 or len(rows[0]) != len(REPLY_COLUMNS):
        raise ValueError("the answer is not one row of a group's reply")
    is_accepted, target, role, *numbers = rows[0]
    if any(not isinstance(number, int) or number < 0 for number in numbers):
        raise ValueError("a group's reply has terms or positions that are not numbers")
    status = TargetStatus(str(target), TargetRole(role), *numbers)
    return FenceReply(bool(is_accepted), status)
