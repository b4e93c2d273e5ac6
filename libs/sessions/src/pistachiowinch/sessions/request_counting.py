"""Counts the requests that began to run at a target, for the usage reports.

A request is a single statement or a whole transaction. One that runs again at another target counts
again, and one that a target refused without running it does not count.
"""

from typing import Protocol

from pistachiowinch.links.statements import (
    NO_REQUEST_ID,
    Commit,
    Interrupted,
    Refused,
    StatementOutcome,
)
from pistachiowinch.sessions.pool_messages import Declined
from pistachiowinch.sessions.work import Operation, Work

__all__ = ["NOT_COUNTED", "CountedRequest", "NoRequestCounts", "RequestCounts", "count_request"]


class RequestCounts(Protocol):
    """Receives the requests of the customers."""

    def add(self, customer: str) -> int:
        """Count a request that is sent now; return the period to which it belongs."""

    def remove(self, customer: str, period: int) -> None:
        """Remove a counted request that did not run."""


class NoRequestCounts:
    """Implements :class:`RequestCounts` where no usage is reported."""

    def add(self, customer: str) -> int:
        """Count nothing."""
        return 0

    def remove(self, customer: str, period: int) -> None:
        """Remove nothing."""


class CountedRequest:
    """A request that was counted when its statement was sent to a target.

    :param period: what :meth:`RequestCounts.add` returned.
    """

    __slots__ = ("_counts", "_operation", "_period")

    def __init__(self, counts: RequestCounts, operation: Operation, period: int) -> None:
        """Store what is needed to remove the request again."""
        self._counts = counts
        self._operation = operation
        self._period = period

    def note_outcome(self, outcome: StatementOutcome | Declined) -> None:
        """Remove the request if the target did not run its statement."""
        match outcome:
            case Declined():
                pass
            case Refused(reason=reason) if reason.is_not_run:
                pass
            case Interrupted(is_sent=False):
                pass
            case _:
                return
        self._counts.remove(self._operation.customer, self._period)
        self._operation.rate_token.is_counted = False


class _NotCounted:
    """A statement that is no request of its own."""

    def note_outcome(self, outcome: StatementOutcome | Declined) -> None:
        """Remove nothing."""


NOT_COUNTED = _NotCounted()


def count_request(
    counts: RequestCounts, operation: Operation, work: Work
) -> CountedRequest | _NotCounted:
    """Count a statement that is sent now, unless it belongs to a counted transaction.

    Statements without a request id are not the caller's, and a database that is open to all has no
    customer.
    """
    if work.request_id == NO_REQUEST_ID or not operation.customer:
        return NOT_COUNTED
    is_in_transaction = work.is_in_transaction or isinstance(work.statement, Commit)
    if is_in_transaction and operation.rate_token.is_counted:
        return NOT_COUNTED
    operation.rate_token.is_counted = True
    return CountedRequest(counts, operation, counts.add(operation.customer))
