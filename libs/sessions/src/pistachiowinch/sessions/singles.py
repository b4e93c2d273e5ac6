"""Runs a statement outside a transaction."""

from typing import NamedTuple

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import (
    INTERRUPTED_NOT_RUN,
    OUTCOME_UNKNOWN,
    READ_INTERRUPTED,
    Refusal,
)
from pistachiowinch.links.statements import Completed, Interrupted, RefusalReason, Refused
from pistachiowinch.sessions.borrowing import Borrowed, Placement, borrow
from pistachiowinch.sessions.exchanges import MAX_ATTEMPTS, RETRY_PAUSE_S, exchange
from pistachiowinch.sessions.parts import SessionParts
from pistachiowinch.sessions.replies import CompletedStatement, Reply, come_back
from pistachiowinch.sessions.work import Operation, Work

__all__ = ["run_single"]

# A read that is silent for half of its bound has the other half to run elsewhere.
READ_PATIENCE_PART = 0.5


async def run_single(parts: SessionParts, operation: Operation, work: Work) -> Reply:
    """Run one read or write; a write runs at most once.

    :returns: the target's answer, or why there is none.
    """
    deadline_s = operation.started_s + operation.route.timeout_s
    must_be_primary = work.is_write or operation.needs_primary
    excluded: set[str] = set()
    for attempt in range(MAX_ATTEMPTS):
        placement = Placement(operation, must_be_primary, frozenset(excluded), deadline_s)
        borrowed = await borrow(parts, placement)
        if isinstance(borrowed, Refusal):
            return borrowed
        reply = await _attempt(parts, operation, work, borrowed, deadline_s)
        if not isinstance(reply, _Again):
            return reply
        parts.metrics.retries.labels("write" if work.is_write else "read").inc()
        target = borrowed.held.target.name
        if target in excluded or must_be_primary:
            await sleep_s(RETRY_PAUSE_S * (attempt + 1))
        if not reply.is_lagging or parts.health.lag_s(target) is None:
            excluded.add(target)
        if now_s() >= deadline_s:
            break
    return _given_up(parts, work)


class _Again(NamedTuple):
    """The statement did not run, or only read, and may run again.

    :param is_lagging: whether the target may serve it when it has caught up.
    """

    is_lagging: bool


async def _attempt(
    parts: SessionParts, operation: Operation, work: Work, borrowed: Borrowed, deadline_s: float
) -> Reply | _Again:
    """Run once."""
    patience_s = operation.route.timeout_s * READ_PATIENCE_PART
    until_s = deadline_s if work.is_write else min(deadline_s, now_s() + patience_s)
    try:
        outcome = await exchange(parts, borrowed, operation, work, borrowed.after, until_s)
    finally:
        parts.connections.release(borrowed.held)
    match outcome:
        case Completed():
            return _ran(parts, operation, work, borrowed, outcome)
        case Refused(reason=RefusalReason.FAILED | RefusalReason.TIMEOUT):
            return outcome if work.is_write else _Again(False)
        case Refused(reason=RefusalReason.OTHER):
            return outcome
        case Refused(reason=reason):
            return _Again(reason is RefusalReason.LAGGING)
        case Interrupted(is_sent):
            if not work.is_write or not is_sent:
                return _Again(False)
            parts.metrics.refusals.labels(OUTCOME_UNKNOWN.label).inc()
            return Refusal(OUTCOME_UNKNOWN, f"the write was not answered: {outcome.cause}")


def _ran(
    parts: SessionParts, operation: Operation, work: Work, borrowed: Borrowed, outcome: Completed
) -> Reply:
    if not work.is_write:
        return CompletedStatement(*outcome)
    if not parts.may_acknowledge(operation.route.service, borrowed.epoch):
        parts.metrics.refusals.labels(OUTCOME_UNKNOWN.label).inc()
        return Refusal(OUTCOME_UNKNOWN, "the primary was replaced while the write ran")
    operation.state.position = outcome.position
    operation.state.position_epoch = borrowed.epoch
    return CompletedStatement(*outcome)


def _given_up(parts: SessionParts, work: Work) -> Refusal:
    code = INTERRUPTED_NOT_RUN if work.is_write else READ_INTERRUPTED
    parts.metrics.refusals.labels(code.label).inc()
    return Refusal(code, come_back("no target answered"))
