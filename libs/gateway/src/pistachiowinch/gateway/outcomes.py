"""Confirms answered writes and determines the outcome of interrupted ones."""

from typing import NamedTuple

from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.codes import OUTCOME_UNKNOWN, REQUEST_ID_REUSED, Refusal
from pistachiowinch.base.tokens import SessionToken
from pistachiowinch.gateway.context import RunContext
from pistachiowinch.gateway.interfaces import ServiceParts
from pistachiowinch.groups.confirmation import Confirmed, Replaced, Unconfirmed
from pistachiowinch.groups.ledger import LedgerEntry, NotRan, RanBefore, Undecided
from pistachiowinch.links.targets import Failed, QueryResult
from pistachiowinch.routing.session import Session

__all__ = ["DidNotRun", "OutcomeResolver", "next_entry"]


# Callers' request ids cannot contain control characters, so derived ids never collide with one.
_ATTEMPT_SEPARATOR = "\x1f"


def next_entry(entry: LedgerEntry) -> LedgerEntry:
    """Derive the entry of the attempt that follows a cancelled one.

    Every host derives the same ids, so a request id still takes effect at most once: an
    attempt starts only after all earlier entries are finally cancelled.

    :param entry: the cancelled entry.
    """
    base, _, number = entry.request_id.partition(_ATTEMPT_SEPARATOR)
    return entry._replace(request_id=f"{base}{_ATTEMPT_SEPARATOR}{int(number or 0) + 1}")


class DidNotRun(NamedTuple):
    """The write did not run and never will; running it again is safe.

    :param is_id_used: whether the ledger holds a cancelled row, so that another attempt needs
        another entry.
    """

    is_id_used: bool = False


class OutcomeResolver:
    """Confirms answered writes and determines the outcome of interrupted ones."""

    def __init__(self, context: RunContext) -> None:
        """Store the context that all paths share."""
        self._context = context

    async def acknowledge(
        self,
        session: Session,
        parts: ServiceParts,
        target: str,
        term: int,
        answer: QueryResult,
        entry: LedgerEntry | None,
        deadline_s: float,
    ) -> Result[QueryResult, Refusal] | DidNotRun:
        """Confirm a write that the primary answered.

        :param target: the target that answered.
        :param term: its term before the write was sent.
        :param answer: the target's answer.
        :param entry: the write's ledger entry, or None if it has none.
        :param deadline_s: loop time at which the outcome is reported as unknown.
        :returns: the answer once a majority holds the write; :class:`DidNotRun` if a promotion
            discarded it.
        """
        while True:
            match await parts.confirmer.confirm(target, term, deadline_s):
                case Confirmed(confirmed_term, position, started_s):
                    # A host that was paused must not pass on an old confirmation, because the
                    # primary may have been replaced during the pause.
                    if now_s() - started_s > self._context.settings.reconfirm_after_s:
                        self._context.metrics.retries.labels(reason="confirmation_aged").inc()
                        continue
                    token = SessionToken(session.service, confirmed_term, position)
                    self._record_success(session, token)
                    return Success(answer._replace(term=confirmed_term, position=position))
                case Replaced():
                    if entry is None:
                        return _outcome_unknown(
                            "the primary was replaced and the write has no record"
                        )
                    return await self.decide(session, parts, target, term, entry, deadline_s)
                case Unconfirmed(reason):
                    return _outcome_unknown(f"no majority confirmed the write: {reason}")

    async def decide(
        self,
        session: Session,
        parts: ServiceParts,
        target: str,
        term: int,
        entry: LedgerEntry,
        deadline_s: float,
    ) -> Result[QueryResult, Refusal] | DidNotRun:
        """Determine from its ledger entry the outcome of a write whose answer was lost.

        :param target: the target that the write was sent to.
        :param term: its term before the write was sent.
        :param entry: the write's ledger entry.
        :param deadline_s: loop time at which the outcome is reported as unknown.
        """
        decision = await parts.ledger.decide(entry, target, term, deadline_s)
        outcome = type(decision).__name__.lower()
        self._context.metrics.ledger_lookups.labels(outcome=outcome).inc()
        match decision:
            case RanBefore(is_same_request=False):
                detail = "the request id was used for another statement"
                return Failure(Refusal(REQUEST_ID_REUSED, detail))
            case RanBefore(answer, ran_term, position, started_s):
                if now_s() - started_s > self._context.settings.reconfirm_after_s:
                    return await self.decide(session, parts, target, term, entry, deadline_s)
                self._record_success(session, SessionToken(session.service, ran_term, position))
                return Success(answer)
            case NotRan(is_cancelled):
                return DidNotRun(is_cancelled)
            case Undecided(reason):
                return _outcome_unknown(f"the outcome could not be decided in time: {reason}")

    async def look_up(
        self, session: Session, parts: ServiceParts, entry: LedgerEntry, deadline_s: float
    ) -> Result[QueryResult, Refusal] | DidNotRun:
        """Read a ledger entry without cancelling it.

        :param entry: the entry; an absent one may still be written later.
        :param deadline_s: loop time at which the outcome is reported as unknown.
        """
        # An empty target and term 0 stand for an entry that was never sent, so it is not cancelled.
        return await self.decide(session, parts, "", 0, entry, deadline_s)

    async def prefer_stored_answer(
        self,
        session: Session,
        parts: ServiceParts,
        target: str,
        term: int,
        entry: LedgerEntry,
        failed: Failed,
        deadline_s: float,
    ) -> Result[QueryResult, Refusal | Failed]:
        """Return the stored answer of an earlier attempt, or else the error of this one.

        A repeated INSERT fails on the row that its first attempt inserted, possibly under a
        derived entry. If there was no earlier attempt, the decision leaves a cancelled entry and
        the error is returned.

        :param target: the target that refused this attempt.
        :param term: its term before the attempt.
        :param entry: the write's ledger entry.
        :param failed: the error of this attempt, which was rolled back.
        :param deadline_s: loop time at which the outcome is reported as unknown.
        """
        while True:
            found = await self.look_up(session, parts, entry, deadline_s)
            if not isinstance(found, DidNotRun):
                return found
            if not found.is_id_used:
                break
            entry = next_entry(entry)
        found = await self.decide(session, parts, target, term, entry, deadline_s)
        return Failure(failed) if isinstance(found, DidNotRun) else found

    def _record_success(self, session: Session, token: SessionToken) -> None:
        session.advance_token(token)
        session.is_token_doubtful = False
        self._context.retries.record_success(session.customer)


def _outcome_unknown(detail: str) -> Failure[Refusal]:
    return Failure(Refusal(OUTCOME_UNKNOWN, detail))
