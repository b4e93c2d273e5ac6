"""Runs interactive transactions on one connection of the primary."""

from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.codes import DEADLINE_PASSED, OUTCOME_UNKNOWN, TRANSACTION_ABORTED, Refusal
from pistachiowinch.gateway.context import AcquiredTarget, RunContext
from pistachiowinch.gateway.exchange import is_read_only_error
from pistachiowinch.gateway.interfaces import ServiceParts
from pistachiowinch.gateway.outcomes import DidNotRun, OutcomeResolver, next_entry
from pistachiowinch.gateway.writes import DUPLICATE_KEY_ERRNO, new_request_id
from pistachiowinch.groups.confirmation import Confirmed
from pistachiowinch.groups.ledger import LedgerEntry, statement_digest
from pistachiowinch.limits.scheduler import SlotGrant, SlotRequest
from pistachiowinch.links.targets import ExecuteOutcome, Failed, QueryResult, ResultLost, Succeeded
from pistachiowinch.routing.session import PinnedConnection, Session
from pistachiowinch.routing.statements import Statement, StatementKind

__all__ = ["TransactionPath"]

# MySQL rolls back the whole transaction on a deadlock, other errors only undo the statement.
_DEADLOCK_ERRNO = 1213


class TransactionPath:
    """Pins a connection to a session while a transaction or connection state is open."""

    def __init__(self, context: RunContext, outcomes: OutcomeResolver) -> None:
        """Store the context that all paths share."""
        self._context = context
        self._outcomes = outcomes

    async def begin(
        self, session: Session, statement: Statement, parts: ServiceParts, deadline_s: float
    ) -> Result[QueryResult, Refusal | Failed]:
        """Open a transaction on the primary.

        :param session: a session without an open transaction.
        :param statement: the caller's BEGIN or START TRANSACTION.
        :param parts: the service's parts.
        :param deadline_s: loop time at which the attempt is refused as not run.
        """
        if session.pinned is not None and not session.pinned.is_in_gate:
            if not await parts.group.gate.enter(deadline_s):
                detail = "a planned switch held the request back"
                return Failure(Refusal(DEADLINE_PASSED, detail))
            session.pinned.enter_gate(parts.group.gate.leave)
        result = await self._run_pinned(session, statement, parts, deadline_s)
        if not isinstance(result, Success):
            if session.pinned is not None:
                session.pinned.leave_gate()
            return result
        pinned = session.pinned
        pinned.is_in_transaction = True
        pinned.has_written = False
        pinned.statement_texts = []
        if session.is_token_doubtful:
            confirmation = await parts.confirmer.confirm(pinned.target, pinned.term, deadline_s)
            if not isinstance(confirmation, Confirmed):
                return await self._abort(session, parts, "no primary could be confirmed")
        return Success(result.unwrap()._replace(is_in_transaction=True))

    async def set_session_state(
        self, session: Session, statement: Statement, parts: ServiceParts, deadline_s: float
    ) -> Result[QueryResult, Refusal | Failed]:
        """Run a statement that leaves state on the connection, which stays pinned from now on.

        :param session: the caller's session.
        :param statement: the statement.
        :param parts: the service's parts.
        :param deadline_s: loop time at which the attempt is refused as not run.
        """
        result = await self._run_pinned(session, statement, parts, deadline_s)
        pinned = session.pinned
        if pinned is not None:
            pinned.has_state = True
            if not pinned.is_in_transaction:
                # State alone must not delay a planned switch; each transaction enters again.
                pinned.leave_gate()
        return result

    async def run(
        self, session: Session, statement: Statement, parts: ServiceParts, deadline_s: float
    ) -> Result[QueryResult, Refusal | Failed]:
        """Run a statement on the session's pinned connection.

        :param session: a session with a pinned connection.
        :param statement: a read or write.
        :param parts: the service's parts.
        :param deadline_s: loop time at which the statement is given up.
        """
        return await self._run_pinned(session, statement, parts, deadline_s)

    async def commit(
        self,
        session: Session,
        statement: Statement,
        parts: ServiceParts,
        is_always_recorded: bool,
        deadline_s: float,
    ) -> Result[QueryResult, Refusal | Failed]:
        """Commit the open transaction and confirm it.

        :param session: a session with an open transaction.
        :param statement: the caller's COMMIT, or a statement that commits implicitly.
        :param parts: the service's parts.
        :param is_always_recorded: whether a transaction without a request id is recorded too.
        :param deadline_s: loop time at which the outcome is reported as unknown.
        """
        pinned = session.pinned
        if not pinned.has_written:
            return await self._end_unconfirmed(session, parts, "COMMIT", deadline_s)
        entry = self._ledger_entry(session, pinned, statement, is_always_recorded)
        return await self._commit_recorded(session, parts, entry, deadline_s)

    async def roll_back(
        self, session: Session, parts: ServiceParts, deadline_s: float
    ) -> Result[QueryResult, Refusal | Failed]:
        """Roll the open transaction back.

        :param session: a session with an open transaction.
        :param parts: the service's parts.
        :param deadline_s: loop time at which the connection is closed instead, which has the
            same effect.
        """
        return await self._end_unconfirmed(session, parts, "ROLLBACK", deadline_s)

    async def abandon(self, session: Session, parts: ServiceParts | None) -> None:
        """Close the pinned connection; the target rolls an open transaction back.

        :param session: any session.
        :param parts: the service's parts, or None if the service has been removed.
        """
        pinned = session.pinned
        if pinned is None:
            return
        session.pinned = None
        pinned.leave_gate()
        pool = parts.pools.get(pinned.target) if parts is not None else None
        if pool is None:
            await pinned.connection.close()
        else:
            pool.release(pinned.connection, False)

    def _ledger_entry(
        self,
        session: Session,
        pinned: PinnedConnection,
        statement: Statement,
        is_always_recorded: bool,
    ) -> LedgerEntry | None:
        request_id = statement.request_id or pinned.request_id
        if request_id is None:
            if not is_always_recorded:
                return None
            request_id = new_request_id()
        digest = statement_digest(*pinned.statement_texts)
        return LedgerEntry(session.customer, request_id, digest)

    async def _commit_recorded(
        self,
        session: Session,
        parts: ServiceParts,
        entry: LedgerEntry | None,
        deadline_s: float,
    ) -> Result[QueryResult, Refusal | Failed]:
        pinned = session.pinned
        target, term = pinned.target, pinned.term
        while entry is not None:
            recorded = parts.ledger.insert_statement(entry, QueryResult())
            match await self._exchange(parts, pinned, recorded, deadline_s):
                case Succeeded():
                    break
                case Failed() as failed if is_read_only_error(failed):
                    return await self._abort(session, parts, "the primary was replaced")
                case Failed(errno) as failed if errno != DUPLICATE_KEY_ERRNO:
                    await self.abandon(session, parts)
                    return Failure(failed)
                case Failed():
                    # The failed INSERT left the transaction open. An earlier attempt either ran,
                    # or was cancelled and this one goes on under the next entry.
                    found = await self._outcomes.look_up(session, parts, entry, deadline_s)
                    if isinstance(found, DidNotRun) and found.is_id_used:
                        entry = next_entry(entry)
                        continue
                    await self.abandon(session, parts)
                    return _aborted_if_not_run(found)
                case ResultLost(_, reason):
                    return await self._abort(session, parts, reason)
        match await self._exchange(parts, pinned, "COMMIT", deadline_s):
            case Succeeded(answer):
                self._unpin(session, parts)
                acknowledged = await self._outcomes.acknowledge(
                    session, parts, target, term, answer, entry, deadline_s
                )
                return _aborted_if_not_run(acknowledged)
            case ResultLost(is_sent=False, reason=reason):
                return await self._abort(session, parts, reason)
            case Failed(_, _, message) | ResultLost(_, message):
                parts.tracker.report_lost_connection(target)
                await self.abandon(session, parts)
                if entry is None:
                    return _aborted_if_not_run(_commit_answer_lost(message))
                decided = await self._outcomes.decide(
                    session, parts, target, term, entry, deadline_s
                )
                return _aborted_if_not_run(decided)

    async def _end_unconfirmed(
        self, session: Session, parts: ServiceParts, text: str, deadline_s: float
    ) -> Result[QueryResult, Refusal | Failed]:
        """End a transaction that needs no confirmation."""
        match await self._exchange(parts, session.pinned, text, deadline_s):
            case Succeeded(answer):
                self._unpin(session, parts)
                return Success(answer._replace(is_in_transaction=False))
            case Failed() | ResultLost():
                await self.abandon(session, parts)
                return Success(QueryResult())

    def _unpin(self, session: Session, parts: ServiceParts) -> None:
        pinned = session.pinned
        pinned.is_in_transaction = False
        pinned.has_written = False
        pinned.request_id = None
        pinned.statement_texts = []
        pinned.leave_gate()
        if pinned.has_state:
            return
        session.pinned = None
        pool = parts.pools.get(pinned.target)
        if pool is not None:
            pool.release(pinned.connection, pinned.connection.is_usable)

    async def _abort(
        self, session: Session, parts: ServiceParts, reason: str
    ) -> Result[QueryResult, Refusal]:
        parts.tracker.report_lost_connection(session.pinned.target)
        await self.abandon(session, parts)
        return Failure(Refusal(TRANSACTION_ABORTED, f"the transaction was rolled back: {reason}"))

    async def _exchange(
        self, parts: ServiceParts, pinned: PinnedConnection, text: str, deadline_s: float
    ) -> ExecuteOutcome:
        timeout_s = min(self._context.settings.exchange_timeout_s, deadline_s - now_s())
        pool = parts.pools.get(pinned.target)
        return await self._context.exchanges.run(pool, pinned.connection, text, timeout_s)

    async def _acquire_slot(
        self, session: Session, parts: ServiceParts, deadline_s: float
    ) -> Result[SlotGrant | None, Refusal]:
        """Take a slot on the pinned target, unless the transaction has written.

        A transaction that has written holds locks. If it waited for a slot, the statements that
        wait for its locks could hold all slots.
        """
        if session.pinned.has_written:
            return Success(None)
        target = session.pinned.target
        weight = self._context.weight(session.customer)
        request = SlotRequest(
            session.customer, weight, deadline_s, lambda candidate: candidate == target
        )
        return await self._context.wait_for_slot(session, parts, request)

    async def _pin(
        self, session: Session, parts: ServiceParts, deadline_s: float
    ) -> Result[SlotGrant | None, Refusal]:
        """Take a slot for one statement, and a connection if the session has none."""
        if session.pinned is not None:
            if session.pinned.term != parts.tracker.term:
                # The pinned target is no longer the primary, so its data may be discarded.
                return await self._abort(session, parts, "the primary was replaced")
            return await self._acquire_slot(session, parts, deadline_s)
        acquired = await self._context.acquire_primary(session, parts, deadline_s)
        return acquired.map(lambda held: _pin_connection(session, held))

    async def _run_pinned(
        self, session: Session, statement: Statement, parts: ServiceParts, deadline_s: float
    ) -> Result[QueryResult, Refusal | Failed]:
        match await self._pin(session, parts, deadline_s):
            case Failure(refusal):
                return Failure(refusal)
            case Success(grant):
                pass
        is_answered = False
        try:
            outcome = await self._exchange(parts, session.pinned, statement.text, deadline_s)
            is_answered = True
        finally:
            if grant is not None:
                parts.scheduler.release(grant)
            if not is_answered:
                await self.abandon(session, parts)
        return await self._handle_outcome(session, statement, parts, outcome)

    async def _handle_outcome(
        self,
        session: Session,
        statement: Statement,
        parts: ServiceParts,
        outcome: ExecuteOutcome,
    ) -> Result[QueryResult, Refusal | Failed]:
        pinned = session.pinned
        match outcome:
            case Succeeded(answer):
                if statement.kind is StatementKind.WRITE:
                    pinned.has_written = True
                pinned.request_id = statement.request_id or pinned.request_id
                pinned.statement_texts.append(statement.text)
                return Success(answer)
            case Failed() if is_read_only_error(outcome):
                return await self._abort(session, parts, "the primary was replaced")
            case Failed(errno):
                if errno == _DEADLOCK_ERRNO or not (pinned.is_in_transaction or pinned.has_state):
                    await self.abandon(session, parts)
                return Failure(outcome)
            case ResultLost(_, reason):
                return await self._abort(session, parts, reason)


def _pin_connection(session: Session, held: AcquiredTarget) -> SlotGrant:
    session.pinned = PinnedConnection(
        held.connection, held.grant.target, held.term, held.parts.group.gate.leave
    )
    return held.grant


def _commit_answer_lost(reason: str) -> Result[QueryResult, Refusal]:
    return Failure(Refusal(OUTCOME_UNKNOWN, f"the answer to COMMIT was lost: {reason}"))


def _aborted_if_not_run(
    result: Result[QueryResult, Refusal] | DidNotRun,
) -> Result[QueryResult, Refusal | Failed]:
    if isinstance(result, DidNotRun):
        return Failure(Refusal(TRANSACTION_ABORTED, "the transaction was rolled back"))
    return result
