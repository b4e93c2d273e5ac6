"""Replies of a session to its caller."""

from typing import NamedTuple

from pistachiowinch.base.codes import Refusal
from pistachiowinch.links.statements import Position, Refused

__all__ = ["NO_RECEIPT", "CompletedStatement", "Reply", "TransactionState", "with_retry_after"]

# Delay that callers are advised to wait; a queue of 64 statements is served in this time.
RETRY_AFTER_MS = 300

# Receipt of replies that did not come from a target.
NO_RECEIPT = "-"


class TransactionState:
    """States of a session's transaction as reported to callers."""

    IDLE = "I"
    OPEN = "T"
    FAILED = "E"


class CompletedStatement(NamedTuple):
    """Result of a statement that succeeded.

    :param receipt: the target's proof of execution, or :data:`NO_RECEIPT`.
    """

    rows: tuple[str, ...] = ()
    receipt: str = NO_RECEIPT
    position: Position | None = None


def with_retry_after(detail: str) -> str:
    """Append the advised retry delay to a refusal's detail."""
    return f"{detail}; retry after {RETRY_AFTER_MS} ms"


# Refusal comes from this host; Refused is a target's error that is passed on.
Reply = CompletedStatement | Refusal | Refused
