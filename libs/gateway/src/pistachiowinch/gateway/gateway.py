"""Runs the statements of callers' sessions."""

import asyncio
from typing import NamedTuple

from reactivex import Observable
from reactivex.subject import Subject
from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import (
    DEADLINE_PASSED,
    HOST_STOPPING,
    INTERNAL,
    QUEUE_FULL,
    RATE_EXCEEDED,
    UNKNOWN_SERVICE,
    ZONE_OUT,
    Refusal,
)
from pistachiowinch.base.logs import part_logger
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.configuration.document import Configuration
from pistachiowinch.gateway.admission import OPEN_CUSTOMER, Admission
from pistachiowinch.gateway.context import RunContext, TargetEligibility
from pistachiowinch.gateway.interfaces import (
    ConfigurationView,
    RateLimiter,
    RetryLimiter,
    ServiceParts,
    Services,
    StandingView,
)
from pistachiowinch.gateway.outcomes import OutcomeResolver
from pistachiowinch.gateway.reads import ReadPath
from pistachiowinch.gateway.session_tokens import SessionTokens
from pistachiowinch.gateway.settings import GatewaySettings
from pistachiowinch.gateway.transactions import TransactionPath
from pistachiowinch.gateway.writes import WritePath
from pistachiowinch.groups.ledger import LedgerEntry, statement_digest
from pistachiowinch.links.targets import Failed, QueryResult
from pistachiowinch.routing.session import Session
from pistachiowinch.routing.statements import Statement, StatementKind

__all__ = ["Credentials", "Gateway", "StatementResult"]

_STOP_POLL_S = 0.05
# These take no rate token, so that an open transaction can always end.
_TRANSACTION_ENDS = (StatementKind.COMMIT, StatementKind.ROLLBACK)

# The rate and slot limits count these refusals themselves.
_COUNTED_BY_LIMITS = (RATE_EXCEEDED, QUEUE_FULL, DEADLINE_PASSED)

_log = part_logger("gateway")

StatementResult = Result[QueryResult, Refusal | Failed]


class Credentials(NamedTuple):
    """Data of a key that the login check uses.

    :param customer: the key's customer.
    :param password_hash: double SHA-1 of the key, ``*`` and 40 hexadecimal digits.
    """

    customer: str
    password_hash: str


class Gateway:
    """Runs statements of sessions on the targets of their services.

    :param availability_zone: this host's zone.
    """

    def __init__(
        self,
        availability_zone: str,
        configuration: ConfigurationView,
        standing: StandingView,
        services: Services,
        rates: RateLimiter,
        retries: RetryLimiter,
        session_tokens: SessionTokens,
        metrics: Metrics,
        settings: GatewaySettings | None = None,
    ) -> None:
        """Connect the parts; nothing runs before the first session."""
        self._settings = settings or GatewaySettings()
        self._configuration = configuration
        self._services = services
        self._rates = rates
        self._session_tokens = session_tokens
        self._metrics = metrics
        self._sessions: set[Session] = set()
        self._ended: Subject[Session] = Subject()
        self._eligibility = TargetEligibility(self._settings.leaving_grace_s)
        self._eligibility.update(configuration.current)
        self.admission = Admission(configuration, standing, availability_zone)
        context = self._context = RunContext(
            services,
            configuration,
            self._eligibility,
            retries,
            metrics,
            self._settings,
            self.admission,
        )
        outcomes = self._outcomes = OutcomeResolver(context)
        self._reads = ReadPath(context)
        self._writes = WritePath(context, outcomes)
        self._transactions = TransactionPath(context, outcomes)
        self._retries = retries

    @property
    def sessions_ended(self) -> Observable[Session]:
        """Emits each session whose connection must be closed; ``end_reason`` holds the reason."""
        return self._ended

    @property
    def session_count(self) -> int:
        """Number of open sessions."""
        return len(self._sessions)

    def credentials(self, key_id: str) -> Credentials | None:
        """Return the data of a key for the login check, or None if the key is unknown.

        :param key_id: the user name that the caller gave.
        """
        entry = self._configuration.current.document["keys"].get(key_id)
        return None if entry is None else Credentials(entry["customer"], entry["password_hash"])

    async def open_session(self, key_id: str, service: str) -> Result[Session, Refusal]:
        """Open a session for an authenticated caller.

        :param key_id: id of the caller's key; empty for a caller of an open service.
        :param service: the service's name.
        """
        credentials = self.credentials(key_id) if key_id else None
        customer = credentials.customer if credentials else OPEN_CUSTOMER
        session = Session(key_id, customer, service)
        match self.admission.check_new_work(session):
            case Failure(refusal):
                return self._count_refusal(refusal)
        self._sessions.add(session)
        self._metrics.sessions.set(len(self._sessions))
        return Success(session)

    async def execute(self, session: Session, statement: Statement) -> StatementResult:
        """Run one statement.

        :param session: an open session; it runs one statement at a time.
        :param statement: the statement.
        :returns: the whole answer, the target's own error, or a numbered refusal.
        :raises RuntimeError: if the session is running another statement.
        """
        if session.is_busy:
            raise RuntimeError("a session runs one statement at a time")
        session.is_busy = True
        try:
            result = await self._run(session, statement)
        except Exception as error:
            _log.error("statement failed with {}: {}", type(error).__name__, error)
            await self._transactions.abandon(session, self._services.parts(session.service))
            result = Failure(Refusal(INTERNAL, "internal error"))
        except asyncio.CancelledError:
            await self._transactions.abandon(session, self._services.parts(session.service))
            raise
        finally:
            session.is_busy = False
            if session.end_reason is not None:
                await self._close_ended(session)
        # Nearly all results are successes, and the check for the concrete class is the cheap one.
        if not isinstance(result, Success) and isinstance(result.failure(), Refusal):
            return self._count_refusal(result.failure())
        return result

    async def reset_session(self, session: Session) -> None:
        """Roll back, drop connection state and settings; keep the token.

        :param session: an idle session.
        """
        await self._transactions.abandon(session, self._services.parts(session.service))
        session.max_staleness_ms = None

    async def close_session(self, session: Session) -> None:
        """Close a session whose caller has disconnected.

        :param session: the session; closing it twice is harmless.
        """
        self._sessions.discard(session)
        self._metrics.sessions.set(len(self._sessions))
        await self._transactions.abandon(session, self._services.parts(session.service))

    async def apply_configuration(self, configuration: Configuration) -> None:
        """End the sessions that a new configuration no longer allows.

        :param configuration: the version in force from now on.
        """
        self._eligibility.update(configuration)
        for name in configuration.document["services"]:
            parts = self._services.parts(name)
            if parts is not None:
                parts.scheduler.recheck_waiting()
        for session in list(self._sessions):
            match self.admission.check_identity(session):
                case Failure(refusal):
                    await self._end_session(session, refusal)
        if self.admission.is_zone_out:
            refusal = Refusal(ZONE_OUT, "this host's availability zone has been taken out")
            await self._end_idle_sessions(refusal)

    async def stop(self, grace_s: float) -> int:
        """Let open work end, then end all sessions.

        :param grace_s: seconds after which open transactions are rolled back.
        :returns: number of transactions that had to be rolled back.
        """
        self.admission.is_stopping = True
        refusal = Refusal(HOST_STOPPING, "this host is stopping")
        deadline_s = now_s() + grace_s
        await self._end_idle_sessions(refusal)
        while self._sessions and now_s() < deadline_s:
            await sleep_s(_STOP_POLL_S)
            await self._end_idle_sessions(refusal)
        rolled_back = [session for session in self._sessions if session.is_in_transaction]
        for session in list(self._sessions):
            await self._end_session(session, refusal)
        return len(rolled_back)

    async def _end_idle_sessions(self, refusal: Refusal) -> None:
        for session in list(self._sessions):
            if not session.is_busy and not session.is_in_transaction:
                await self._end_session(session, refusal)

    async def _end_session(self, session: Session, refusal: Refusal) -> None:
        if session.end_reason is None:
            session.end_reason = refusal
            self._metrics.refusals.labels(reason=refusal.code.label).inc()
        if not session.is_busy:
            await self._close_ended(session)

    async def _close_ended(self, session: Session) -> None:
        await self.close_session(session)
        self._ended.on_next(session)

    async def _run(self, session: Session, statement: Statement) -> StatementResult:
        deadline_s = now_s() + self._settings.statement_timeout_s
        parts = self._services.parts(session.service)
        if parts is None:
            return Failure(Refusal(UNKNOWN_SERVICE, f"service {session.service!r} is gone"))
        if session.is_in_transaction:
            checked = self.admission.check_running_work(session)
        else:
            checked = self.admission.check_new_work(session)
        if not isinstance(checked, Success):
            await self._transactions.abandon(session, parts)
            return checked
        needs_token = statement.kind not in _TRANSACTION_ENDS
        # Only a statement that had to wait for a rate token is checked again.
        if needs_token and not self._rates.try_acquire(session.customer):
            waited = await self._wait_for_rate(session, parts, deadline_s)
            if not isinstance(waited, Success):
                return waited
        if session.name != session.resolved_name:
            await self._resolve_name(session)
        result = await self._route(session, statement, parts, deadline_s)
        if isinstance(result, Success):
            self._retries.record_success(session.customer)
            self._session_tokens.record(session)
        return result

    async def _wait_for_rate(
        self, session: Session, parts: ServiceParts, deadline_s: float
    ) -> Result[None, Refusal]:
        acquired = await self._rates.acquire(session.customer, deadline_s)
        if not isinstance(acquired, Success):
            return acquired
        # The configuration may have changed during the wait.
        checked = self.admission.check_running_work(session)
        if not isinstance(checked, Success):
            await self._transactions.abandon(session, parts)
        return checked

    async def _resolve_name(self, session: Session) -> None:
        """Recover the token of earlier writes of a session with this name."""
        name = session.name
        if name is not None and session.token is None:
            await self._session_tokens.recover(session)
        # Set last, so that the next statement repeats an interrupted recovery.
        session.resolved_name = name

    async def _route(
        self, session: Session, statement: Statement, parts: ServiceParts, deadline_s: float
    ) -> StatementResult:
        is_plain_read = statement.kind is StatementKind.READ and not statement.is_locking_read
        # The usual case comes before the checks that only writes and transactions need.
        if is_plain_read and session.pinned is None:
            return await self._reads.run(session, statement, parts, deadline_s)
        is_recorded = self._is_always_recorded(session.service)
        if session.is_in_transaction:
            return await self._run_in_transaction(
                session, statement, parts, is_recorded, deadline_s
            )
        match statement.kind:
            case StatementKind.BEGIN:
                return await self._transactions.begin(session, statement, parts, deadline_s)
            case StatementKind.COMMIT | StatementKind.ROLLBACK:
                return Success(QueryResult())
            case StatementKind.SESSION_STATE:
                return await self._transactions.set_session_state(
                    session, statement, parts, deadline_s
                )
            case StatementKind.READ if not statement.is_locking_read:
                return await self._transactions.run(session, statement, parts, deadline_s)
        if session.pinned is not None and statement.kind is not StatementKind.DDL:
            return await self._write_pinned(session, statement, parts, is_recorded, deadline_s)
        self._context.count_statement("write")
        return await self._writes.run(session, statement, parts, is_recorded, deadline_s)

    async def _run_in_transaction(
        self,
        session: Session,
        statement: Statement,
        parts: ServiceParts,
        is_recorded: bool,
        deadline_s: float,
    ) -> StatementResult:
        self._context.count_statement("transaction")
        match statement.kind:
            case StatementKind.COMMIT:
                return await self._transactions.commit(
                    session, statement, parts, is_recorded, deadline_s
                )
            case StatementKind.ROLLBACK:
                return await self._transactions.roll_back(session, parts, deadline_s)
            case StatementKind.BEGIN | StatementKind.DDL:
                # MySQL commits the open transaction before these statements.
                committed = await self._transactions.commit(
                    session, statement, parts, is_recorded, deadline_s
                )
                if not isinstance(committed, Success):
                    return committed
                return await self._route(session, statement, parts, deadline_s)
            case StatementKind.SESSION_STATE:
                return await self._transactions.set_session_state(
                    session, statement, parts, deadline_s
                )
            case _:
                return await self._transactions.run(session, statement, parts, deadline_s)

    async def _write_pinned(
        self,
        session: Session,
        statement: Statement,
        parts: ServiceParts,
        is_recorded: bool,
        deadline_s: float,
    ) -> StatementResult:
        """Run an autocommit write on a connection that carries session state."""
        begin = Statement("BEGIN", StatementKind.BEGIN)
        begun = await self._transactions.begin(session, begin, parts, deadline_s)
        if not isinstance(begun, Success):
            return begun
        target, term = session.pinned.target, session.pinned.term
        written = await self._transactions.run(session, statement, parts, deadline_s)
        if not isinstance(written, Success):
            if session.is_in_transaction:
                await self._transactions.roll_back(session, parts, deadline_s)
            failed = written.failure()
            if statement.request_id is None or not isinstance(failed, Failed):
                return written
            digest = statement_digest(statement.text)
            entry = LedgerEntry(session.customer, statement.request_id, digest)
            return await self._outcomes.prefer_stored_answer(
                session, parts, target, term, entry, failed, deadline_s
            )
        committed = await self._transactions.commit(
            session, statement, parts, is_recorded, deadline_s
        )
        return committed.map(
            lambda answer: written.unwrap()._replace(
                is_in_transaction=False, term=answer.term, position=answer.position
            )
        )

    def _is_always_recorded(self, service: str) -> bool:
        entry = self._configuration.current.document["services"].get(service)
        return entry is not None and entry["ledger"] == "always"

    def _count_refusal(self, refusal: Refusal) -> Failure[Refusal]:
        if refusal.code not in _COUNTED_BY_LIMITS:
            self._metrics.refusals.labels(reason=refusal.code.label).inc()
        return Failure(refusal)
