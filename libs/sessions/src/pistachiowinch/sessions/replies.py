"""What a session answers to its caller."""

from typing import NamedTuple

from pistachiowinch.base.codes import Refusal
from pistachiowinch.links.statements import Position, Refused

__all__ = ["OWN_RECEIPT", "CompletedStatement", "Reply", "TransactionState", "come_back"]

# Callers are told to return after this time, in which a queue of 64 statements is served.
RETRY_AFTER_MS = 300

# Receipt of answers that no target gave.
OWN_RECEIPT = "-"


class TransactionState:
    """State of a session's transaction as shown to callers."""

    IDLE = "I"
    OPEN = "T"
    FAILED = "E"


class CompletedStatement(NamedTuple):
    """The statement succeeded.

    :param receipt: the target's proof of execution, or :data:`OWN_RECEIPT`.
    """

    rows: tuple[str, ...] = ()
    receipt: str = OWN_RECEIPT
    position: Position | None = None


def come_back(detail: str) -> str:
    """Add to a refusal's text when a caller should return."""
    return f"{detail}; retry after {RETRY_AFTER_MS} ms"


# A refusal of this host, or an error of the target that is passed on.
Reply = CompletedStatement | Refusal | Refused
