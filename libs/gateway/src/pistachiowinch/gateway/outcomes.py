"""Brings an interrupted write to a decided end."""

from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.codes import OUTCOME_UNKNOWN, Refusal
from pistachiowinch.base.tokens import SessionToken
from pistachiowinch.gateway.interfaces import ServiceParts
from pistachiowinch.gateway.work import RunContext
from pistachiowinch.groups.confirmation import Confirmed, Replaced, Unconfirmed
from pistachiowinch.groups.ledger import LedgerEntry, NotRun, Ran, Reused, Undecided
from pistachiowinch.links.targets import Answer
from pistachiowinch.routing.session import Session

__all__ = ["DidNotRun", "OutcomeResolver"]


class DidNotRun:
    """The write did not run and never will; running it again is safe."""


class OutcomeResolver:
    """Confirms answered writes and decides interrupted ones."""

    def __init__(self, context: RunContext) -> None:
        """Keep what all paths share."""
        self._context = context

    async def acknowledge(
        self,
        session: Session,
        parts: ServiceParts,
        target: str,
        term: int,
        answer: Answer,
        entry: LedgerEntry | None,
        deadline_s: float,
    ) -> Result[Answer, Refusal] | DidNotRun:
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
                    self._record(session, token)
                    return Success(answer._replace(term=confirmed_term, position=position))
                case Replaced():
                    if entry is None:
                        return _unknown("the primary was replaced and the write has no record")
                    return await self.decide(session, parts, target, term, entry, deadline_s)
                case Unconfirmed(reason):
                    return _unknown(f"no majority confirmed the write: {reason}")

    async def decide(
        self,
        session: Session,
        parts: ServiceParts,
        target: str,
        term: int,
        entry: LedgerEntry,
        deadline_s: float,
    ) -> Result[Answer, Refusal] | DidNotRun:
        """Decide a write whose answer was lost, by its ledger entry.

        :param target: the target that the write was sent to.
        :param term: its term before the write was sent.
        :param entry: the write's ledger entry.
        :param deadline_s: loop time at which the outcome is reported as unknown.
        """
        decision = await parts.ledger.decide(entry, target, term, deadline_s)
        outcome = type(decision).__name__.lower()
        self._context.metrics.ledger_lookups.labels(outcome=outcome).inc()
        match decision:
            case Ran(answer, ran_term, position):
                self._record(session, SessionToken(session.service, ran_term, position))
                return Success(answer._replace(term=ran_term, position=position))
            case NotRun():
                return DidNotRun()
            case Reused(refusal):
                return Failure(refusal)
            case Undecided(reason):
                return _unknown(f"the outcome could not be decided in time: {reason}")

    async def find(
        self,
        session: Session,
        parts: ServiceParts,
        target: str,
        term: int,
        entry: LedgerEntry,
        deadline_s: float,
    ) -> Result[Answer, Refusal] | DidNotRun:
        """Look for the stored answer of an earlier attempt without cancelling anything.

        :param target: the target that refused this attempt.
        :param term: its term before the attempt.
        :param entry: the write's ledger entry.
        :param deadline_s: loop time at which the outcome is reported as unknown.
        :returns: the stored answer, or :class:`DidNotRun` if this attempt was the first.
        """
        match await parts.ledger.find(entry, deadline_s):
            case Ran(answer, ran_term, position):
                self._record(session, SessionToken(session.service, ran_term, position))
                return Success(answer._replace(term=ran_term, position=position))
            case Reused(refusal):
                return Failure(refusal)
            case Undecided(reason):
                return _unknown(f"the ledger could not be read in time: {reason}")
            case NotRun():
                return DidNotRun()

    def _record(self, session: Session, token: SessionToken) -> None:
        session.advance_token(token)
        session.is_token_doubtful = False
        self._context.retries.record_success(session.customer)


def _unknown(detail: str) -> Failure[Refusal]:
    return Failure(Refusal(OUTCOME_UNKNOWN, detail))
