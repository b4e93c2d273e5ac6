"""A transaction of one session, on one connection from its first statement to its end."""

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
    RefusalReason,
    Refused,
    Rollback,
)
from pistachiowinch.sessions.borrowing import Borrowed, Placement, borrow
from pistachiowinch.sessions.exchanges import MAX_ATTEMPTS, RETRY_PAUSE_S, exchange
from pistachiowinch.sessions.parts import SessionParts
from pistachiowinch.sessions.replies import CompletedStatement, Reply
from pistachiowinch.sessions.work import Operation, Work

__all__ = ["Transaction"]

# A rollback does no work and takes a round trip; one that takes longer is made by closing.
ROLLBACK_TIMEOUT_S = 0.5


class Transaction:
    """An open transaction. It begins at a target with its first statement there.

    :param parts: what the host's sessions share.
    :param operation: route, customer and session.
    :param is_read_only: whether the caller announced that it only reads.
    """

    def __init__(self, parts: SessionParts, operation: Operation, is_read_only: bool) -> None:
        """Create a transaction that no target knows yet."""
        self._parts = parts
        self.operation = operation
        self._is_read_only = is_read_only
        self._borrowed: Borrowed | None = None
        self._has_written = False
        self._aborted = ""
        self.used_s = now_s()

    @property
    def is_failed(self) -> bool:
        """Whether the transaction can only be rolled back."""
        return bool(self._aborted)

    async def run(self, work: Work) -> Reply:
        """Run one statement; after any failure nothing of the transaction is kept."""
        self.used_s = now_s()
        deadline_s = now_s() + self.operation.route.timeout_s
        refusal = await self._ensure_begun(deadline_s)
        if refusal is not None:
            return refusal
        self._has_written = self._has_written or work.is_write
        outcome = await self._exchange(work._replace(is_inside=True), deadline_s)
        self.used_s = now_s()
        match outcome:
            case Completed():
                return CompletedStatement(*outcome)
            case Refused(detail=cause) | Interrupted(cause=cause):
                return self._fail(cause)

    async def commit(self, request_id: str, commit: Commit) -> Reply:
        """Commit; the transaction has ended afterwards in any case."""
        deadline_s = now_s() + self.operation.route.timeout_s
        refusal = await self._ensure_begun(deadline_s)
        if refusal is not None:
            return refusal
        borrowed = self._borrowed
        outcome = await self._exchange(Work(request_id, commit, None, True), deadline_s)
        match outcome:
            case Completed():
                self._finish()
                return self._committed(borrowed, outcome)
            case Refused(reason=reason) if reason.is_not_run:
                return self._fail(outcome.detail)
            case Refused():
                self.abort(outcome.detail)
                return outcome if self._has_written else self._nothing_kept(outcome.detail)
            case Interrupted(is_sent, cause):
                self.abort(cause)
                if is_sent and self._has_written:
                    self._count(OUTCOME_UNKNOWN.label)
                    return Refusal(OUTCOME_UNKNOWN, f"COMMIT was not answered: {cause}")
                return self._nothing_kept(cause)

    async def roll_back(self) -> None:
        """Drop the transaction's writes."""
        borrowed = self._borrowed
        if borrowed is None or self._aborted:
            return
        connection = borrowed.held.connection
        outcome = await connection.run(NO_REQUEST_ID, Rollback(), None, ROLLBACK_TIMEOUT_S)
        if not isinstance(outcome, Completed):
            connection.close()
        self._finish()

    def abort(self, cause: str) -> None:
        """End the transaction by closing its connection; nothing of it is kept."""
        if self._aborted:
            return
        self._aborted = cause
        if self._borrowed is not None:
            self._borrowed.held.connection.close()
            self._finish()

    async def _ensure_begun(self, deadline_s: float) -> Refusal | None:
        if self._aborted:
            return self._nothing_kept(self._aborted)
        if self._borrowed is not None:
            return None
        must_be_primary = not self._is_read_only or self.operation.needs_primary
        excluded: set[str] = set()
        cause = "no target took the transaction"
        for attempt in range(MAX_ATTEMPTS):
            placement = Placement(self.operation, must_be_primary, frozenset(excluded), deadline_s)
            borrowed = await borrow(self._parts, placement)
            if isinstance(borrowed, Refusal):
                self._aborted = borrowed.detail
                return borrowed
            begin = Work(NO_REQUEST_ID, Begin(self._is_read_only), None, False)
            outcome = await exchange(
                self._parts, borrowed, self.operation, begin, borrowed.after, deadline_s
            )
            if isinstance(outcome, Completed):
                self._start(borrowed)
                return None
            self._parts.connections.release(borrowed.held)
            self._parts.metrics.retries.labels("begin").inc()
            cause = str(outcome)
            if must_be_primary:
                await sleep_s(RETRY_PAUSE_S * (attempt + 1))
            target = borrowed.held.target.name
            is_lagging = isinstance(outcome, Refused) and outcome.reason is RefusalReason.LAGGING
            if not is_lagging or self._parts.health.lag_s(target) is None:
                excluded.add(target)
        self._aborted = cause
        self._count(INTERRUPTED_NOT_RUN.label)
        return Refusal(INTERRUPTED_NOT_RUN, "no target began the transaction")

    def _start(self, borrowed: Borrowed) -> None:
        self._borrowed = borrowed
        if borrowed.is_primary:
            service = borrowed.held.target.service
            self._parts.work.add_transaction(service, self, self.abort)

    async def _exchange(self, work: Work, deadline_s: float) -> Completed | Refused | Interrupted:
        """Run a statement on the transaction's connection, again while the target is busy."""
        for attempt in range(MAX_ATTEMPTS):
            if self._aborted:
                return Interrupted(False, self._aborted)
            outcome = await exchange(
                self._parts, self._borrowed, self.operation, work, None, deadline_s
            )
            match outcome:
                case Refused(
                    reason=RefusalReason.BUSY | RefusalReason.NO_STATEMENT
                ) if not outcome.is_transaction_failed:
                    self._parts.metrics.retries.labels("transaction").inc()
                    await sleep_s(RETRY_PAUSE_S * (attempt + 1))
                case _:
                    return outcome
        return outcome

    def _committed(self, borrowed: Borrowed, outcome: Completed) -> Reply:
        service = self.operation.route.service
        if self._has_written:
            if not self._parts.may_acknowledge(service, borrowed.epoch):
                self._count(OUTCOME_UNKNOWN.label)
                return Refusal(OUTCOME_UNKNOWN, "the primary was replaced during COMMIT")
            self.operation.state.position = outcome.position
            self.operation.state.position_epoch = borrowed.epoch
        return CompletedStatement(*outcome)

    def _fail(self, cause: str) -> Refusal:
        self.abort(cause)
        return self._nothing_kept(cause)

    def _nothing_kept(self, cause: str) -> Refusal:
        self._count(TRANSACTION_ABORTED.label)
        return Refusal(TRANSACTION_ABORTED, f"the transaction was rolled back: {cause[:80]}")

    def _finish(self) -> None:
        borrowed, self._borrowed = self._borrowed, None
        if borrowed is None:
            return
        self._parts.work.remove_transaction(borrowed.held.target.service, self)
        self._parts.connections.release(borrowed.held)

    def _count(self, label: str) -> None:
        self._parts.metrics.refusals.labels(label).inc()
