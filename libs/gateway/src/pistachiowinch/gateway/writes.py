"""Runs writes outside transactions, at most once each."""

import enum
import uuid
from typing import NamedTuple

from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.codes import INTERRUPTED_NOT_RUN, OUTCOME_UNKNOWN, Refusal
from pistachiowinch.gateway.context import AcquiredTarget, RunContext
from pistachiowinch.gateway.exchange import is_read_only_error
from pistachiowinch.gateway.interfaces import ServiceParts
from pistachiowinch.gateway.outcomes import DidNotRun, OutcomeResolver, next_entry
from pistachiowinch.groups.ledger import LedgerEntry, statement_digest
from pistachiowinch.links.targets import ExecuteOutcome, Failed, QueryResult, ResultLost, Succeeded
from pistachiowinch.routing.session import Session
from pistachiowinch.routing.statements import Statement, StatementKind

__all__ = ["DUPLICATE_KEY_ERRNO", "WritePath", "new_request_id"]

DUPLICATE_KEY_ERRNO = 1062
_NO_TABLE_ERRNO = 1146


class _Step(enum.Enum):
    """How far an attempt got before its connection was lost."""

    BEFORE_COMMIT = "before_commit"
    COMMIT_SENT = "commit_sent"


class _Committed(NamedTuple):
    """The target committed the write."""

    answer: QueryResult


class _Interrupted(NamedTuple):
    """The connection was lost at a step."""

    step: _Step
    reason: str


class _Duplicate(NamedTuple):
    """The ledger holds the request id already."""


class _Refused(NamedTuple):
    """The target refused the statement and the attempt was rolled back."""

    failed: Failed


class _ReadOnly(NamedTuple):
    """The target is no longer the primary and refused the write."""


_Attempt = _Committed | _Interrupted | _Duplicate | _Refused | _ReadOnly


def _classify_error(failed: Failed) -> _Refused | _ReadOnly:
    return _ReadOnly() if is_read_only_error(failed) else _Refused(failed)


def new_request_id() -> str:
    """Return a request id for a write to which the caller gave none."""
    return f"pw-{uuid.uuid4().hex}"


def _interrupted_not_run() -> Failure[Refusal]:
    return Failure(Refusal(INTERRUPTED_NOT_RUN, "the target was lost during the write"))


class WritePath:
    """Runs one write of one session."""

    def __init__(self, context: RunContext, outcomes: OutcomeResolver) -> None:
        """Store the context that all paths share."""
        self._context = context
        self._outcomes = outcomes

    async def run(
        self,
        session: Session,
        statement: Statement,
        parts: ServiceParts,
        is_always_recorded: bool,
        deadline_s: float,
    ) -> Result[QueryResult, Refusal | Failed]:
        """Run a write until its outcome is decided.

        :param session: the caller's session.
        :param statement: the write.
        :param parts: the service's parts.
        :param is_always_recorded: whether a write without a caller's request id is recorded too.
        :param deadline_s: loop time at which the write is given up.
        """
        entry = self._ledger_entry(session, statement, is_always_recorded)
        while True:
            match await self._context.acquire_primary(session, parts, deadline_s):
                case Success(held):
                    pass
                case Failure(refusal):
                    return Failure(refusal)
            attempt = await self._attempt(held, statement, entry, deadline_s)
            result = await self._resolve(session, statement, held, attempt, entry, deadline_s)
            if not isinstance(result, DidNotRun):
                return result
            if now_s() >= deadline_s:
                return _interrupted_not_run()
            if not isinstance(attempt, _Duplicate) and not self._context.may_retry(
                session.customer, "write_did_not_run"
            ):
                return _interrupted_not_run()
            if result.is_id_used and entry is not None:
                entry = next_entry(entry)

    def _ledger_entry(
        self, session: Session, statement: Statement, is_always_recorded: bool
    ) -> LedgerEntry | None:
        if statement.kind is StatementKind.DDL:
            return None
        request_id = statement.request_id
        if request_id is None:
            if not is_always_recorded:
                return None
            request_id = new_request_id()
        return LedgerEntry(session.customer, request_id, statement_digest(statement.text))

    async def _attempt(
        self,
        held: AcquiredTarget,
        statement: Statement,
        entry: LedgerEntry | None,
        deadline_s: float,
    ) -> _Attempt:
        is_clean = False
        try:
            if entry is None:
                attempt = await self._run_unrecorded(held, statement, deadline_s)
            else:
                attempt = await self._run_recorded(held, statement, entry, deadline_s)
            is_clean = not isinstance(attempt, _Interrupted | _ReadOnly)
            return attempt
        finally:
            held.release(is_clean)
            held.parts.group.gate.leave()

    async def _exchange(self, held: AcquiredTarget, text: str, deadline_s: float) -> ExecuteOutcome:
        remaining_s = deadline_s - now_s()
        timeout_s = min(self._context.settings.exchange_timeout_s, remaining_s)
        return await self._context.exchanges.run(held.pool, held.connection, text, timeout_s)

    async def _run_unrecorded(
        self, held: AcquiredTarget, statement: Statement, deadline_s: float
    ) -> _Attempt:
        match await self._exchange(held, statement.text, deadline_s):
            case Succeeded(answer):
                return _Committed(answer)
            case Failed() as failed:
                return _classify_error(failed)
            case ResultLost(is_sent, reason):
                step = _Step.COMMIT_SENT if is_sent else _Step.BEFORE_COMMIT
                return _Interrupted(step, reason)

    async def _run_recorded(
        self, held: AcquiredTarget, statement: Statement, entry: LedgerEntry, deadline_s: float
    ) -> _Attempt:
        match await self._exchange(held, "BEGIN", deadline_s):
            case Failed() as failed:
                return _classify_error(failed)
            case ResultLost(_, reason):
                return _Interrupted(_Step.BEFORE_COMMIT, reason)
        match await self._exchange(held, statement.text, deadline_s):
            case Succeeded(answer):
                pass
            case Failed() as failed:
                return await self._roll_back(held, _classify_error(failed), deadline_s)
            case ResultLost(_, reason):
                return _Interrupted(_Step.BEFORE_COMMIT, reason)
        recorded = held.parts.ledger.insert_statement(entry, answer)
        match await self._exchange(held, recorded, deadline_s):
            case Failed(errno=errno) if errno == _NO_TABLE_ERRNO:
                # A service that was just configured may not have its ledger table yet.
                await held.parts.ledger.ensure_table()
                missing = _Interrupted(_Step.BEFORE_COMMIT, "the ledger table was missing")
                return await self._roll_back(held, missing, deadline_s)
            case Failed(errno) as failed:
                is_duplicate = errno == DUPLICATE_KEY_ERRNO
                attempt = _Duplicate() if is_duplicate else _classify_error(failed)
                return await self._roll_back(held, attempt, deadline_s)
            case ResultLost(_, reason):
                return _Interrupted(_Step.BEFORE_COMMIT, reason)
        match await self._exchange(held, "COMMIT", deadline_s):
            case Succeeded():
                return _Committed(answer._replace(is_in_transaction=False))
            case Failed(_, _, message):
                # A target that refuses COMMIT was fenced; the connection is not used again.
                return _Interrupted(_Step.COMMIT_SENT, message)
            case ResultLost(is_sent, reason):
                step = _Step.COMMIT_SENT if is_sent else _Step.BEFORE_COMMIT
                return _Interrupted(step, reason)

    async def _roll_back(
        self, held: AcquiredTarget, attempt: _Attempt, deadline_s: float
    ) -> _Attempt:
        match await self._exchange(held, "ROLLBACK", max(deadline_s, now_s() + 0.1)):
            case Succeeded():
                return attempt
            case _:
                await held.connection.close()
                return attempt

    async def _resolve(
        self,
        session: Session,
        statement: Statement,
        held: AcquiredTarget,
        attempt: _Attempt,
        entry: LedgerEntry | None,
        deadline_s: float,
    ) -> Result[QueryResult, Refusal | Failed] | DidNotRun:
        parts, target, term = held.parts, held.grant.target, held.term
        match attempt:
            case _Committed(answer):
                return await self._outcomes.acknowledge(
                    session, parts, target, term, answer, entry, deadline_s
                )
            case _Duplicate():
                return await self._outcomes.decide(session, parts, target, term, entry, deadline_s)
            case _Refused(failed):
                if entry is None or statement.request_id is None:
                    return Failure(failed)
                return await self._outcomes.prefer_stored_answer(
                    session, parts, target, term, entry, failed, deadline_s
                )
            case _ReadOnly():
                # The retry has to wait for the new primary instead of using this target again.
                await parts.tracker.refresh([target])
                return DidNotRun()
            case _Interrupted(step, reason):
                parts.tracker.report_lost_connection(target)
                if step is _Step.BEFORE_COMMIT:
                    return DidNotRun()
                if entry is not None:
                    return await self._outcomes.decide(
                        session, parts, target, term, entry, deadline_s
                    )
                if statement.is_idempotent:
                    return DidNotRun()
                return Failure(Refusal(OUTCOME_UNKNOWN, reason))
