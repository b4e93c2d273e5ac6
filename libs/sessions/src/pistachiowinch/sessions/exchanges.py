"""Runs one statement on a borrowed connection and learns from its outcome."""

from pistachiowinch.base.clock import now_s, remaining_s
from pistachiowinch.links.statements import (
    Completed,
    Interrupted,
    Position,
    RefusalReason,
    Refused,
    StatementOutcome,
)
from pistachiowinch.sessions.alignment import align
from pistachiowinch.sessions.borrowing import Borrowed
from pistachiowinch.sessions.parts import SessionParts
from pistachiowinch.sessions.work import Operation, Work

__all__ = ["MAX_ATTEMPTS", "RETRY_PAUSE_S", "exchange"]

# One more than the targets of a service, so that the first is tried again after the others.
MAX_ATTEMPTS = 4
# Pause before the same target is tried again, longer each time; about one statement's work.
RETRY_PAUSE_S = 0.03
# A target whose queue is full has served some of it after this time; about one statement's work.
BUSY_PAUSE_S = 0.04


async def exchange(
    parts: SessionParts,
    borrowed: Borrowed,
    operation: Operation,
    work: Work,
    after: Position | None,
    deadline_s: float,
) -> StatementOutcome:
    """Align the connection with the session and run one statement.

    :param operation: what the statement belongs to; its rate token counts as spent.
    :param after: position that the target must have.
    :param deadline_s: loop time at which the target counts as silent.
    :returns: the target's outcome; Interrupted with ``is_sent`` false if the statement never left.
    """
    held = borrowed.held
    service = held.target.service
    token = parts.health.begin(held.target.name)
    if borrowed.is_primary:
        parts.work.begin_exchange(service)
    try:
        aligned = await align(held, operation.state.values, work.shape, deadline_s)
        if not isinstance(aligned, Completed):
            held.connection.close()
            parts.health.note_failure(held.target.name, "session state was not taken")
            return Interrupted(False, f"session state was not taken: {aligned}")
        if borrowed.is_primary and not _is_still_primary(parts, borrowed):
            return Interrupted(False, "the primary changed")
        sent_s = now_s()
        operation.usage.is_spent = True
        outcome = await held.connection.run(
            work.request_id, work.statement, after, remaining_s(deadline_s)
        )
        _learn(parts, borrowed, outcome, sent_s, work, after)
        return outcome
    finally:
        if borrowed.is_primary:
            parts.work.end_exchange(service)
        parts.health.end(held.target.name, token)


def _is_still_primary(parts: SessionParts, borrowed: Borrowed) -> bool:
    service = borrowed.held.target.service
    is_same = parts.primaries.epoch(service) == borrowed.epoch
    return is_same and parts.proved_primary(service) == borrowed.held.target.name


def _learn(
    parts: SessionParts,
    borrowed: Borrowed,
    outcome: StatementOutcome,
    sent_s: float,
    work: Work,
    after: Position | None,
) -> None:
    held = borrowed.held
    target = held.target.name
    log = parts.freshness_of(held.target.service)
    match outcome:
        case Completed(_, _, position):
            parts.health.note_answer(target, now_s() - sent_s, position)
            if position is not None and parts.health.has_lagged(target):
                parts.health.note_lag(target, log.dated_s(position))
            if borrowed.is_primary and not work.is_inside:
                log.note(borrowed.epoch, sent_s, position, now_s())
        case Refused(reason=RefusalReason.LAGGING, position=position):
            parts.health.note_alive(target)
            parts.health.note_lagging(target, position)
            if position is not None and after is not None:
                parts.health.note_lag(target, log.dated_s(position))
                parts.health.note_lacks(target, log.dated_s(after))
        case Refused(reason=RefusalReason.NO_STATEMENT):
            held.prepared.clear()
        case Refused(reason=RefusalReason.BUSY):
            parts.health.note_alive(target)
            parts.connections.pause(held.target, BUSY_PAUSE_S)
        case Refused():
            parts.health.note_alive(target)
        case Interrupted(_, cause):
            parts.health.note_failure(target, cause)
            parts.connections.close_idle(target, "silent")
    if not isinstance(outcome, Completed):
        parts.log.write(
            "exchange_failed",
            request=work.request_id,
            target=target,
            is_primary=borrowed.is_primary,
            epoch=borrowed.epoch,
            took_s=round(now_s() - sent_s, 3),
            outcome=_describe(outcome),
        )


def _describe(outcome: Refused | Interrupted) -> str:
    match outcome:
        case Refused(reason, detail):
            return f"{reason.value}: {detail[:60]}"
        case Interrupted(is_sent, cause):
            return f"interrupted, sent {is_sent}: {cause[:80]}"
