"""What a session answers to its caller."""

from typing import NamedTuple

from pistachiowinch.base.codes import Refusal
from pistachiowinch.links.statements import Position, Refused

__all__ = ["OWN_RECEIPT", "Done", "Reply", "SessionState"]

# Receipt of answers that no target gave.
OWN_RECEIPT = "-"


class SessionState:
    """State of a session's transaction as shown to callers."""

    IDLE = "I"
    OPEN = "T"
    FAILED = "E"


class Done(NamedTuple):
    """The statement succeeded.

    :param receipt: the target's proof of execution, or :data:`OWN_RECEIPT`.
    """

    rows: tuple[str, ...] = ()
    receipt: str = OWN_RECEIPT
    position: Position | None = None


# A refusal of this host, or an error of the target that is passed on.
Reply = Done | Refusal | Refused
