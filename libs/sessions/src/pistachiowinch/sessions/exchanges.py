"""Run one statement on a borrowed connection and record its outcome."""

from pistachiowinch.base.clock import now_s, remaining_s
from pistachiowinch.links.statements import (
    Completed,
    Interrupted,
    Position,
    ReasonRefused,
    Refused,
    StatementOutcome,
)
from pistachiowinch.sessions.alignment import align
from pistachiowinch.sessions.borrowing import BorrowedConnection
from pistachiowinch.sessions.context import SessionContext
from pistachiowinch.sessions.health import SLOW_EXCHANGE_S
from pistachiowinch.sessions.pool_messages import Declined
from pistachiowinch.sessions.request_counting import count_request
from pistachiowinch.sessions.shared_connection import SharedConnection
from pistachiowinch.sessions.work import Operation, Work

__all__ = ["MAX_ATTEMPTS", "RETRY_PAUSE_S", "exchange"]

# One more than the targets of a service, so that the first one is tried again after the others.
MAX_ATTEMPTS = 4
# Base of the linear backoff before the same target is tried again: about one statement's run time.
RETRY_PAUSE_S = 0.03
# Pause after a target reported a full queue: about one statement's run time.
BUSY_PAUSE_S = 0.04


async def exchange(
    context: SessionContext,
    borrowed: BorrowedConnection,
    operation: Operation,
    work: Work,
    min_position: Position | None,
    deadline_s: float,
) -> StatementOutcome | Declined:
    """Align the connection with the session and run one statement.

    :param operation: operation of the statement; its rate token is marked as spent on sending.
    :param min_position: position that the target must have applied; None for any.
    :param deadline_s: loop time after which the target is treated as unresponsive.
    :returns: the target's outcome; Interrupted with ``is_sent`` false if nothing was sent; Declined
        if the target's pool host did not offer the statement to it.
    """
    pooled = borrowed.pooled
    if isinstance(pooled.connection, SharedConnection):
        return await _exchange_at_pool_host(
            context, borrowed, pooled.connection, operation, work, min_position, deadline_s
        )
    service = pooled.target.service
    started_s = now_s()
    exchange_id = context.health.begin_exchange(pooled.target.name)
    if borrowed.is_primary:
        context.work.begin_exchange(service)
    try:
        aligned = await align(pooled, operation.state.values, work.prepared, deadline_s)
        if not isinstance(aligned, Completed):
            pooled.connection.close()
            if not _is_cut_short(started_s, deadline_s):
                context.health.note_failure(pooled.target.name, "session state was not taken")
            return Interrupted(False, f"session state was not taken: {aligned}")
        if borrowed.is_primary and not _is_still_primary(context, borrowed):
            return Interrupted(False, "the primary changed")
        sent_s = now_s()
        if sent_s >= deadline_s:
            return Interrupted(False, "no time was left")
        operation.rate_token.is_spent = True
        counted = count_request(context.request_counts, operation, work)
        outcome = await pooled.connection.run(
            work.request_id, work.statement, min_position, remaining_s(deadline_s)
        )
        counted.note_outcome(outcome)
        _record_outcome(context, borrowed, outcome, sent_s, work, min_position, deadline_s)
        return outcome
    finally:
        if borrowed.is_primary:
            context.work.end_exchange(service)
        context.health.end_exchange(pooled.target.name, exchange_id)


async def _exchange_at_pool_host(
    context: SessionContext,
    borrowed: BorrowedConnection,
    connection: SharedConnection,
    operation: Operation,
    work: Work,
    min_position: Position | None,
    deadline_s: float,
) -> StatementOutcome | Declined:
    """Run one statement through the pool host of its target, which aligns a connection for it."""
    service = borrowed.pooled.target.service
    if borrowed.is_primary:
        context.work.begin_exchange(service)
    try:
        if borrowed.is_primary and not _is_still_primary(context, borrowed):
            return Interrupted(False, "the primary changed")
        sent_s = now_s()
        if sent_s >= deadline_s:
            return Interrupted(False, "no time was left")
        was_spent = operation.rate_token.is_spent
        operation.rate_token.is_spent = True
        counted = count_request(context.request_counts, operation, work)
        objective_s = operation.started_s + operation.route.target_latency_s
        outcome = await connection.run_aligned(
            work.request_id,
            work.statement,
            work.prepared,
            operation.state.values,
            min_position,
            deadline_s if work.is_in_transaction else objective_s,
            deadline_s,
        )
    finally:
        if borrowed.is_primary:
            context.work.end_exchange(service)
    counted.note_outcome(outcome)
    match outcome:
        case Declined() | Interrupted(is_sent=False):
            operation.rate_token.is_spent = was_spent
    match outcome:
        case Declined():
            pass
        case Interrupted():
            # The pool host may have failed, which says nothing about the target.
            _log_failure(context, borrowed, outcome, sent_s, work, min_position)
        case _:
            _record_outcome(context, borrowed, outcome, sent_s, work, min_position, deadline_s)
    return outcome


def _is_still_primary(context: SessionContext, borrowed: BorrowedConnection) -> bool:
    service = borrowed.pooled.target.service
    is_same = context.primaries.epoch(service) == borrowed.epoch
    return is_same and context.leased_primary(service) == borrowed.pooled.target.name


def _record_outcome(
    context: SessionContext,
    borrowed: BorrowedConnection,
    outcome: StatementOutcome,
    sent_s: float,
    work: Work,
    min_position: Position | None,
    deadline_s: float,
) -> None:
    pooled = borrowed.pooled
    target = pooled.target.name
    log = context.freshness_of(pooled.target.service)
    match outcome:
        case Completed(_, _, position):
            context.health.note_answer(target, now_s() - sent_s, position)
            if position is not None and context.health.has_lagged(target):
                context.health.note_lag(target, log.time_reached_s(position))
            if borrowed.is_primary and not work.is_in_transaction:
                log.record(borrowed.epoch, sent_s, position, now_s())
        case Refused(reason=ReasonRefused.LAGGING, position=position):
            context.health.note_alive(target)
            context.health.note_lagging(target, position)
            if position is not None and min_position is not None:
                context.health.note_lag(target, log.time_reached_s(position))
                context.health.note_missing_position(target, log.time_reached_s(min_position))
        case Refused(reason=ReasonRefused.NO_STATEMENT):
            pooled.prepared.clear()
        case Refused(reason=ReasonRefused.BUSY):
            context.health.note_alive(target)
            context.connections.pause(pooled.target, BUSY_PAUSE_S)
        case Refused():
            context.health.note_alive(target)
        case Interrupted() if now_s() >= context.shutdown.answers_by_s:
            # This host's stop cut the wait short, which says nothing about the target.
            pass
        case Interrupted() if _is_cut_short(sent_s, deadline_s):
            # The statement was sent too late for any target to answer it in time.
            pass
        case Interrupted(_, cause):
            context.health.note_failure(target, cause)
            context.connections.close_idle(target, "silent")
    if not isinstance(outcome, Completed):
        _log_failure(context, borrowed, outcome, sent_s, work, min_position)


def _is_cut_short(since_s: float, deadline_s: float) -> bool:
    """Whether a wait that has failed was too short to count against the target."""
    return now_s() >= deadline_s and now_s() - since_s < SLOW_EXCHANGE_S


def _log_failure(
    context: SessionContext,
    borrowed: BorrowedConnection,
    outcome: Refused | Interrupted,
    sent_s: float,
    work: Work,
    min_position: Position | None,
) -> None:
    context.log.write(
        "exchange_failed",
        request=work.request_id,
        target=borrowed.pooled.target.name,
        is_primary=borrowed.is_primary,
        epoch=borrowed.epoch,
        took_s=round(now_s() - sent_s, 3),
        outcome=_describe(outcome, min_position),
    )


def _format(position: Position | None) -> str:
    return "-" if position is None else f"{position.term}.{position.number}"


def _describe(outcome: Refused | Interrupted, min_position: Position | None) -> str:
    match outcome:
        case Refused(ReasonRefused.LAGGING, _, _, position):
            return f"lagging: has {_format(position)}, needs {_format(min_position)}"
        case Refused(reason, detail):
            return f"{reason.value}: {detail[:60]}"
        case Interrupted(is_sent, cause):
            return f"interrupted, sent {is_sent}: {cause[:80]}"
