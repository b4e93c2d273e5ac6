"""Replies of a session to its caller."""

from typing import NamedTuple

from pistachiowinch.base.codes import QUEUE_FULL, TARGET_UNREACHABLE, Refusal
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.links.statements import Position, Refused
from pistachiowinch.sessions.pool_messages import UNREACHABLE, Declined

__all__ = [
    "NO_RECEIPT",
    "CompletedStatement",
    "Reply",
    "TransactionState",
    "refuse_declined",
    "with_retry_after",
]

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


def with_retry_after(detail: str, retry_after_s: float = RETRY_AFTER_MS / 1000.0) -> str:
    """Append the advised retry delay to a refusal's detail."""
    return f"{detail}; retry after {retry_after_s * 1000:.0f} ms"


def refuse_declined(metrics: Metrics, declined: Declined) -> Refusal:
    """Return the refusal of a statement that its target's pool host declined."""
    code = TARGET_UNREACHABLE if declined.reason == UNREACHABLE else QUEUE_FULL
    metrics.refusals.labels(code.label).inc()
    detail = f"the target's pool host declined: {declined.reason}"
    return Refusal(code, with_retry_after(detail, declined.retry_after_s))


# Refusal comes from this host; Refused is a target's error that is passed on.
Reply = CompletedStatement | Refusal | Refused
