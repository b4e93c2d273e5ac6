"""Run a single statement outside a transaction."""

from typing import NamedTuple

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import (
    INTERRUPTED_NOT_RUN,
    OUTCOME_UNKNOWN,
    READ_INTERRUPTED,
    Refusal,
)
from pistachiowinch.links.statements import Completed, Interrupted, ReasonRefused, Refused
from pistachiowinch.sessions.borrowing import BorrowedConnection, Placement, borrow_connection
from pistachiowinch.sessions.context import SessionContext
from pistachiowinch.sessions.exchanges import MAX_ATTEMPTS, RETRY_PAUSE_S, exchange
from pistachiowinch.sessions.pool_messages import Declined
from pistachiowinch.sessions.replies import (
    CompletedStatement,
    Reply,
    refuse_declined,
    with_retry_after,
)
from pistachiowinch.sessions.work import Operation, Work

__all__ = ["run_autocommit"]

# Part of the timeout for one attempt of a read, so that the rest is left for another target.
READ_ATTEMPT_FRACTION = 0.5


async def run_autocommit(context: SessionContext, operation: Operation, work: Work) -> Reply:
    """Run one read or write; a write runs at most once.

    :returns: the target's answer, or the reason why there is none.
    """
    deadline_s = context.shutdown.deadline_s(operation.started_s, operation.route.timeout_s)
    must_be_primary = work.is_write or operation.needs_primary
    excluded: set[str] = set()
    declined: Declined | None = None
    for attempt in range(MAX_ATTEMPTS):
        placement = Placement(operation, must_be_primary, frozenset(excluded), deadline_s)
        borrowed = await borrow_connection(context, placement)
        if isinstance(borrowed, Refusal):
            return borrowed if declined is None else refuse_declined(context.metrics, declined)
        reply = await _attempt(context, operation, work, borrowed, deadline_s)
        if isinstance(reply, Declined):
            context.metrics.retries.labels("declined").inc()
            if reply.is_local:
                continue
            if must_be_primary or declined is not None:
                return refuse_declined(context.metrics, reply)
            # The pool host of another target may have room.
            declined = reply
            excluded.add(borrowed.pooled.target.name)
            continue
        if not isinstance(reply, _Retry):
            return reply
        context.metrics.retries.labels("write" if work.is_write else "read").inc()
        target = borrowed.pooled.target.name
        if target in excluded or must_be_primary:
            await sleep_s(RETRY_PAUSE_S * (attempt + 1))
        if not reply.is_lagging or context.health.lag_s(target) is None:
            excluded.add(target)
        if now_s() >= deadline_s:
            break
    if declined is not None:
        return refuse_declined(context.metrics, declined)
    return _refuse_exhausted(context, work)


class _Retry(NamedTuple):
    """The statement did not run, or was a read, and may be retried.

    :param is_lagging: whether the target may serve it once it has caught up.
    """

    is_lagging: bool


async def _attempt(
    context: SessionContext,
    operation: Operation,
    work: Work,
    borrowed: BorrowedConnection,
    deadline_s: float,
) -> Reply | _Retry | Declined:
    """Run the statement once."""
    attempt_timeout_s = operation.route.timeout_s * READ_ATTEMPT_FRACTION
    until_s = deadline_s if work.is_write else min(deadline_s, now_s() + attempt_timeout_s)
    try:
        outcome = await exchange(context, borrowed, operation, work, borrowed.min_position, until_s)
    finally:
        context.connections.release(borrowed.pooled)
    match outcome:
        case Declined():
            return outcome
        case Completed():
            return _complete(context, operation, work, borrowed, outcome)
        case Refused(reason=ReasonRefused.FAILED | ReasonRefused.TIMEOUT):
            return outcome if work.is_write else _Retry(False)
        case Refused(reason=ReasonRefused.OTHER):
            return outcome
        case Refused(reason=reason):
            return _Retry(reason is ReasonRefused.LAGGING)
        case Interrupted(is_sent):
            if not work.is_write or not is_sent:
                return _Retry(False)
            context.metrics.refusals.labels(OUTCOME_UNKNOWN.label).inc()
            return Refusal(OUTCOME_UNKNOWN, f"the write was not answered: {outcome.cause}")


def _complete(
    context: SessionContext,
    operation: Operation,
    work: Work,
    borrowed: BorrowedConnection,
    outcome: Completed,
) -> Reply:
    if not work.is_write:
        return CompletedStatement(*outcome)
    if not context.may_acknowledge(operation.route.service, borrowed.epoch):
        context.metrics.refusals.labels(OUTCOME_UNKNOWN.label).inc()
        return Refusal(OUTCOME_UNKNOWN, "the primary was replaced while the write ran")
    operation.state.note_commit(operation.route.service, outcome.position, borrowed.epoch)
    return CompletedStatement(*outcome)


def _refuse_exhausted(context: SessionContext, work: Work) -> Refusal:
    code = INTERRUPTED_NOT_RUN if work.is_write else READ_INTERRUPTED
    context.metrics.refusals.labels(code.label).inc()
    return Refusal(code, with_retry_after("no target answered"))
