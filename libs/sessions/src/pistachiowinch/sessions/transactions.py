"""A session's transaction, which runs on one connection from its first statement to its end."""

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import (
    INTERRUPTED_NOT_RUN,
    OUTCOME_UNKNOWN,
    TRANSACTION_ABORTED,
    Refusal,
)
from pistachiowinch.links.statements import (
    NO_REQUEST_ID,
    Begin,
    Commit,
    Completed,
    Interrupted,
    ReasonRefused,
    Refused,
    Rollback,
)
from pistachiowinch.sessions.borrowing import BorrowedConnection, Placement, borrow_connection
from pistachiowinch.sessions.context import SessionContext
from pistachiowinch.sessions.exchanges import MAX_ATTEMPTS, RETRY_PAUSE_S, exchange
from pistachiowinch.sessions.pool_messages import Declined
from pistachiowinch.sessions.replies import CompletedStatement, Reply, refuse_declined
from pistachiowinch.sessions.work import Operation, Work

__all__ = ["Transaction"]

_HOST_STOPS = "this host stops, and the answer might come too late"

# A rollback takes a round trip; after this time the connection is closed instead.
ROLLBACK_TIMEOUT_S = 0.5


class Transaction:
    """An open transaction, which begins at a target with its first statement.

    :param context: shared dependencies of the host's sessions.
    :param operation: route, customer and session of the transaction.
    :param is_read_only: whether the caller declared it read-only.
    """

    def __init__(self, context: SessionContext, operation: Operation, is_read_only: bool) -> None:
        """Create a transaction that has not begun at any target."""
        self._context = context
        self.operation = operation
        self._is_read_only = is_read_only
        self._borrowed: BorrowedConnection | None = None
        self._has_written = False
        self._abort_cause = ""
        self.last_used_s = now_s()

    @property
    def is_failed(self) -> bool:
        """Whether the transaction can only be rolled back."""
        return bool(self._abort_cause)

    @property
    def is_hopeless(self) -> bool:
        """Whether the host stops too soon for the answer to another statement."""
        return not self._context.shutdown.may_send(self.operation.route.timeout_s)

    def abort_if_hopeless(self) -> None:
        """Abort the transaction, which frees its target's connection, if it can only fail."""
        if self.is_hopeless:
            self.abort(_HOST_STOPS)

    async def run(self, work: Work) -> Reply:
        """Run one statement; any failure aborts the transaction."""
        self.last_used_s = now_s()
        if self.is_hopeless:
            return self._fail(_HOST_STOPS)
        deadline_s = self._context.shutdown.deadline_s(now_s(), self.operation.route.timeout_s)
        refusal = await self._ensure_begun(deadline_s)
        if refusal is not None:
            return refusal
        self._has_written = self._has_written or work.is_write
        outcome = await self._exchange(work._replace(is_in_transaction=True), deadline_s)
        self.last_used_s = now_s()
        match outcome:
            case Completed():
                return CompletedStatement(*outcome)
            case Refused(detail=cause) | Interrupted(cause=cause) | Declined(reason=cause):
                return self._fail(cause)

    async def commit(self, request_id: str, commit: Commit) -> Reply:
        """Commit the transaction, which ends it whatever the outcome."""
        if self.is_hopeless:
            return self._fail(_HOST_STOPS)
        deadline_s = self._context.shutdown.deadline_s(now_s(), self.operation.route.timeout_s)
        refusal = await self._ensure_begun(deadline_s)
        if refusal is not None:
            return refusal
        borrowed = self._borrowed
        outcome = await self._exchange(Work(request_id, commit, None, True), deadline_s)
        match outcome:
            case Completed():
                self._finish()
                return self._acknowledge_commit(borrowed, outcome)
            case Declined(reason=cause):
                return self._fail(cause)
            case Refused(reason=reason) if reason.is_not_run:
                return self._fail(outcome.detail)
            case Refused():
                self.abort(outcome.detail)
                return outcome if self._has_written else self._refuse_aborted(outcome.detail)
            case Interrupted(is_sent, cause):
                self.abort(cause)
                if is_sent and self._has_written:
                    self._count_refusal(OUTCOME_UNKNOWN.label)
                    return Refusal(OUTCOME_UNKNOWN, f"COMMIT was not answered: {cause}")
                return self._refuse_aborted(cause)

    async def roll_back(self) -> None:
        """Roll the transaction back."""
        borrowed = self._borrowed
        if borrowed is None or self._abort_cause:
            return
        connection = borrowed.pooled.connection
        outcome = await connection.run(NO_REQUEST_ID, Rollback(), None, ROLLBACK_TIMEOUT_S)
        if not isinstance(outcome, Completed):
            connection.close()
        self._finish()

    def abort(self, cause: str) -> None:
        """Abort the transaction by closing its connection, so that the target rolls it back."""
        if self._abort_cause:
            return
        self._abort_cause = cause
        if self._borrowed is not None:
            self._borrowed.pooled.connection.close()
            self._finish()

    def refuse_failed(self) -> Refusal:
        """Tell the caller that the transaction was aborted while it sent nothing."""
        return self._refuse_aborted(self._abort_cause)

    async def _ensure_begun(self, deadline_s: float) -> Refusal | None:
        if self._abort_cause:
            return self._refuse_aborted(self._abort_cause)
        if self._borrowed is not None:
            return None
        must_be_primary = not self._is_read_only or self.operation.needs_primary
        excluded: set[str] = set()
        cause = "no target took the transaction"
        declined: Declined | None = None
        for attempt in range(MAX_ATTEMPTS):
            placement = Placement(self.operation, must_be_primary, frozenset(excluded), deadline_s)
            borrowed = await borrow_connection(self._context, placement)
            if isinstance(borrowed, Refusal):
                if declined is not None:
                    borrowed = refuse_declined(self._context.metrics, declined)
                self._abort_cause = borrowed.detail
                return borrowed
            begin = Work(NO_REQUEST_ID, Begin(self._is_read_only), None, False)
            outcome = await exchange(
                self._context, borrowed, self.operation, begin, borrowed.min_position, deadline_s
            )
            if isinstance(outcome, Completed):
                self._start(borrowed)
                return None
            if isinstance(outcome, Declined):
                self._context.metrics.retries.labels("declined").inc()
                if outcome.is_local:
                    continue
                if must_be_primary or declined is not None:
                    refusal = refuse_declined(self._context.metrics, outcome)
                    self._abort_cause = refusal.detail
                    return refusal
                declined = outcome
                excluded.add(borrowed.pooled.target.name)
                continue
            self._context.connections.release(borrowed.pooled)
            self._context.metrics.retries.labels("begin").inc()
            cause = str(outcome)
            if must_be_primary:
                await sleep_s(RETRY_PAUSE_S * (attempt + 1))
            target = borrowed.pooled.target.name
            is_lagging = isinstance(outcome, Refused) and outcome.reason is ReasonRefused.LAGGING
            if not is_lagging or self._context.health.lag_s(target) is None:
                excluded.add(target)
        self._abort_cause = cause
        self._count_refusal(INTERRUPTED_NOT_RUN.label)
        return Refusal(INTERRUPTED_NOT_RUN, "no target began the transaction")

    def _start(self, borrowed: BorrowedConnection) -> None:
        self._borrowed = borrowed
        if borrowed.is_primary:
            service = borrowed.pooled.target.service
            self._context.work.add_transaction(service, self, self.abort)

    async def _exchange(
        self, work: Work, deadline_s: float
    ) -> Completed | Refused | Interrupted | Declined:
        """Run a statement on the transaction's connection, and retry while the target is busy."""
        for attempt in range(MAX_ATTEMPTS):
            if self._abort_cause:
                return Interrupted(False, self._abort_cause)
            outcome = await exchange(
                self._context, self._borrowed, self.operation, work, None, deadline_s
            )
            match outcome:
                case Refused(
                    reason=ReasonRefused.BUSY | ReasonRefused.NO_STATEMENT
                ) if not outcome.is_transaction_failed:
                    self._context.metrics.retries.labels("transaction").inc()
                    await sleep_s(RETRY_PAUSE_S * (attempt + 1))
                case _:
                    return outcome
        return outcome

    def _acknowledge_commit(self, borrowed: BorrowedConnection, outcome: Completed) -> Reply:
        service = self.operation.route.service
        if self._has_written:
            if not self._context.may_acknowledge(service, borrowed.epoch):
                self._count_refusal(OUTCOME_UNKNOWN.label)
                return Refusal(OUTCOME_UNKNOWN, "the primary was replaced during COMMIT")
            self.operation.state.note_commit(service, outcome.position, borrowed.epoch)
        return CompletedStatement(*outcome)

    def _fail(self, cause: str) -> Refusal:
        self.abort(cause)
        return self._refuse_aborted(cause)

    def _refuse_aborted(self, cause: str) -> Refusal:
        self._count_refusal(TRANSACTION_ABORTED.label)
        return Refusal(TRANSACTION_ABORTED, f"the transaction was rolled back: {cause[:80]}")

    def _finish(self) -> None:
        borrowed, self._borrowed = self._borrowed, None
        if borrowed is None:
            return
        self._context.work.remove_transaction(borrowed.pooled.target.service, self)
        self._context.connections.release(borrowed.pooled)

    def _count_refusal(self, label: str) -> None:
        self._context.metrics.refusals.labels(label).inc()
