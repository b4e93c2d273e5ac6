"""Run statements of all hosts on the connections that this host holds as a pool host.

Statements wait in one queue for each target, so that the target's slots are never oversubscribed
and its own queue stays empty. A statement is checked against this host's view of the primaries
after each wait, as one of its own callers would be.
"""

import asyncio
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.codes import Refusal
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.limits.slot_queue import SlotDemand, SlotQueue, SlotRefusal
from pistachiowinch.links.peers import PeerLink
from pistachiowinch.links.statements import (
    Begin,
    Commit,
    Completed,
    Execute,
    Interrupted,
    Position,
    ReasonRefused,
    Refused,
    Rollback,
    Statement,
    StatementOutcome,
)
from pistachiowinch.sessions.alignment import with_shared_name
from pistachiowinch.sessions.borrowing import BorrowedConnection
from pistachiowinch.sessions.connections import ConnectionRequest, PooledConnection
from pistachiowinch.sessions.context import SessionContext
from pistachiowinch.sessions.exchanges import BUSY_PAUSE_S, exchange
from pistachiowinch.sessions.pool_messages import (
    UNREACHABLE,
    Declined,
    PoolAnswer,
    PoolClose,
    PoolPing,
    PoolPong,
    PoolStatement,
    decode_prepared,
    decode_statement,
    encode_load,
    encode_outcome,
)
from pistachiowinch.sessions.shutdown import NO_SHUTDOWN
from pistachiowinch.sessions.site import Consistency, Route, Target
from pistachiowinch.sessions.target_loads import LoadReport
from pistachiowinch.sessions.work import CallerState, Operation, RateToken, Work

__all__ = ["PoolServer"]

# Statements of other hosts in progress; several times what a dozen full queues hold.
MAX_STATEMENTS = 2048
# Numbers of a host's latest statements that are remembered, to ignore repeated messages.
REMEMBERED_NUMBERS = 1024
# Transactions whose end has arrived before their beginning; far more than begin at a time.
REMEMBERED_ENDS = 256
# Time for which a statement that holds a slot waits for a connection: several times what opening
# one takes. Transactions whose callers pause may hold all connections, and need slots to end.
CONNECTION_WAIT_S = 0.15
# Time beyond the idle limit of transactions after which one of a silent host is rolled back.
ORPHAN_GRACE_S = 1.0
# Advised delay while a target cannot be reached: detection and a switch take about two of these.
UNREACHABLE_RETRY_S = 0.5


class _Peer:
    """The latest run of a host that hands statements over, and its earlier ones."""

    __slots__ = ("earlier_runs", "forgotten", "numbers", "order", "run")

    def __init__(self, run: int, earlier_runs: frozenset[int] = frozenset()) -> None:
        self.run = run
        self.earlier_runs = earlier_runs
        self.numbers: set[int] = set()
        self.order: deque[int] = deque()
        self.forgotten = 0

    def is_new(self, number: int) -> bool:
        """Remember a statement's number; false if it was known, or is too old to tell."""
        if number in self.numbers or number <= self.forgotten:
            return False
        self.numbers.add(number)
        self.order.append(number)
        if len(self.order) > REMEMBERED_NUMBERS:
            oldest = self.order.popleft()
            self.numbers.discard(oldest)
            self.forgotten = max(self.forgotten, oldest)
        return True


class _TransactionKey(NamedTuple):
    host: str
    run: int
    number: int


class _HostedTransaction:
    """An open transaction of another host's caller."""

    __slots__ = ("borrowed", "is_ended", "is_running", "used_s")

    def __init__(self, borrowed: BorrowedConnection) -> None:
        self.borrowed = borrowed
        self.is_running = False
        self.is_ended = False
        self.used_s = now_s()


class PoolServer:
    """Serves the statements that hosts hand over.

    :param host: this host's name.
    :param run: this host's incarnation.
    :param context: shared dependencies of the sessions.
    :param link: messages to the other hosts.
    :param log: decision log of this component.
    """

    def __init__(
        self, host: str, run: int, context: SessionContext, link: PeerLink, log: DecisionLog
    ) -> None:
        """Register for the messages of other hosts."""
        self._host = host
        self._run = run
        self._context = context
        self._link = link
        self._log = log
        self._queues: dict[str, SlotQueue] = {}
        self._peers: dict[str, _Peer] = {}
        self._transactions: dict[_TransactionKey, _HostedTransaction] = {}
        # Ended before they began, as messages may overtake each other.
        self._ended_early: deque[_TransactionKey] = deque(maxlen=REMEMBERED_ENDS)
        self._tasks: set[asyncio.Task] = set()
        self._running = 0
        link.on_message(PoolStatement, self._on_statement)
        link.on_message(PoolClose, self.close_transaction)
        link.on_request(PoolPing, PoolPong, self._on_ping)

    @property
    def is_idle(self) -> bool:
        """Whether no statement and no transaction is in progress."""
        return not self._running and not self._transactions

    @property
    def is_stopping(self) -> bool:
        """Whether new statements are declined."""
        return self._context.shutdown is not NO_SHUTDOWN

    def hosts_target(self, target: str) -> bool:
        """Whether statements of other hosts have been run at a target."""
        return target in self._queues

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Follow the slots of the targets, and drop the queues of those that are gone."""
        known = {target.name: target for target in targets}
        for name, queue in tuple(self._queues.items()):
            if name not in known:
                queue.refuse_all("target_gone")
                del self._queues[name]
            else:
                queue.set_slots(max(known[name].slots, 1))

    def end_idle_transactions(self) -> None:
        """Roll back transactions whose host has been silent for too long, or has restarted."""
        oldest_s = now_s() - self._context.view.configuration.transaction_idle_s - ORPHAN_GRACE_S
        for key, transaction in tuple(self._transactions.items()):
            if not transaction.is_running and transaction.used_s < oldest_s:
                self._end(key, "its host was silent")

    def close(self) -> None:
        """Decline what waits and roll all transactions back, at the end of this process."""
        for queue in self._queues.values():
            queue.refuse_all("stopping")
        for key in tuple(self._transactions):
            self._end(key, "this host stops")

    async def serve(self, host: str, message: PoolStatement) -> PoolAnswer:
        """Run one statement.

        :param host: the host that handed it over, which may be this one.
        """
        started_s = now_s()
        self._running += 1
        try:
            outcome = await self._run_checked(host, message)
        except Exception as error:
            cause = type(error).__name__
            self._log.write("hosted_failed", request=message.request_id, cause=cause)
            outcome = Interrupted(True, "the pool host failed; see its log")
        finally:
            self._running -= 1
        load = encode_load(self._load(message))
        took_us = int((now_s() - started_s) * 1e6)
        return PoolAnswer(message.number, encode_outcome(outcome), load, took_us)

    # Messages

    def _on_statement(self, host: str, message: PoolStatement) -> None:
        peer = self._peers.get(host)
        if peer is None:
            peer = self._peers[host] = _Peer(message.run)
        elif peer.run != message.run and message.run not in peer.earlier_runs:
            self._forget_run(host)
            peer = self._peers[host] = _Peer(message.run, peer.earlier_runs | {peer.run})
        if peer.run != message.run or not peer.is_new(message.number):
            self._log.write("statement_repeated", host=host, request=message.request_id)
            return
        task = asyncio.get_running_loop().create_task(self._answer(host, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, host: str, message: PoolStatement) -> None:
        await self._link.send(host, await self.serve(host, message))

    def close_transaction(self, host: str, message: PoolClose) -> None:
        """Roll a transaction back, because its caller ended it or left."""
        key = _TransactionKey(host, message.run, message.transaction)
        if key in self._transactions:
            self._end(key, "its caller ended it")
        else:
            self._ended_early.append(key)

    async def _on_ping(self, _: str, __: PoolPing) -> PoolPong:
        return PoolPong(self._run, not self.is_stopping)

    def _forget_run(self, host: str) -> None:
        for key in tuple(self._transactions):
            if key.host == host:
                self._end(key, "its host restarted")

    # Statements

    async def _run_checked(self, host: str, message: PoolStatement) -> StatementOutcome | Declined:
        try:
            statement = decode_statement(message.statement)
        except ValueError as error:
            self._log.write("hosted_malformed", host=host, cause=str(error))
            return Interrupted(False, str(error))
        key = _TransactionKey(host, message.run, message.transaction)
        transaction = self._transactions.get(key) if message.transaction else None
        needs_transaction = message.transaction or isinstance(statement, Commit | Rollback)
        if needs_transaction and not isinstance(statement, Begin) and transaction is None:
            return Interrupted(False, "the transaction is not open at the pool host")
        if transaction is not None and transaction.is_running:
            return Interrupted(False, "another statement of the transaction runs")
        declined = self._decline(message, transaction is not None)
        if declined is not None:
            return declined
        lagging = self._known_lag(message)
        if lagging is not None:
            return lagging
        target = self._context.view.targets(message.service)[message.target]
        deadline_s = self._context.shutdown.deadline_s(now_s(), message.deadline_ms / 1000.0)
        if transaction is None:
            return await self._run_new(key, message, statement, target, deadline_s)
        transaction.is_running = True
        try:
            return await self._run_in(key, transaction, message, statement, target, deadline_s)
        finally:
            transaction.is_running = False
            transaction.used_s = now_s()

    async def _run_new(
        self,
        key: _TransactionKey,
        message: PoolStatement,
        statement: Statement,
        target: Target,
        deadline_s: float,
    ) -> StatementOutcome | Declined:
        """Run a single statement, or begin a transaction."""
        context = self._context
        queue = self._queue(target)
        grant = await queue.acquire(self._demand(message, deadline_s, False))
        if isinstance(grant, SlotRefusal):
            return self._note_declined(message, Declined(grant.reason, grant.retry_after_s))
        is_sample = False
        try:
            request = ConnectionRequest(
                message.customer,
                lambda: [[target]],
                message.priority,
                min(deadline_s, now_s() + CONNECTION_WAIT_S),
            )
            pooled = await context.connections.acquire(message.service, request)
            if isinstance(pooled, Refusal):
                retry_s = queue.expected_wait_s(message.priority) or UNREACHABLE_RETRY_S
                return self._note_declined(message, Declined("no_connection", retry_s))
            is_begun = False
            try:
                outcome = await self._exchange(pooled, message, statement, deadline_s)
                is_sample = self._note_outcome(queue, statement, outcome)
                if message.transaction and isinstance(outcome, Completed):
                    self._begin(key, message, pooled)
                    is_begun = True
            finally:
                if not is_begun:
                    context.connections.release(pooled)
        finally:
            queue.release(grant, is_sample)
        return outcome

    async def _run_in(
        self,
        key: _TransactionKey,
        transaction: _HostedTransaction,
        message: PoolStatement,
        statement: Statement,
        target: Target,
        deadline_s: float,
    ) -> StatementOutcome | Declined:
        """Run a statement of an open transaction."""
        queue = self._queue(target)
        grant = await queue.acquire(self._demand(message, deadline_s, True))
        if isinstance(grant, SlotRefusal):
            return self._note_declined(message, Declined(grant.reason, grant.retry_after_s))
        is_sample = False
        try:
            if transaction.is_ended:
                return Interrupted(False, "the transaction was aborted")
            pooled = transaction.borrowed.pooled
            outcome = await self._exchange(pooled, message, statement, deadline_s)
            is_sample = self._note_outcome(queue, statement, outcome)
        finally:
            queue.release(grant, is_sample)
        ends = isinstance(statement, Commit | Rollback)
        if ends and isinstance(outcome, Completed):
            if self._forget(key) is not None:
                self._context.connections.release(pooled)
        elif (ends and not _is_still_open(outcome)) or not pooled.connection.is_usable:
            self._end(key, "its connection failed")
        return outcome

    async def _exchange(
        self,
        pooled: PooledConnection,
        message: PoolStatement,
        statement: Statement,
        deadline_s: float,
    ) -> StatementOutcome:
        refused = self._check(message)
        if refused is not None:
            return refused
        min_position = None if message.min_position is None else Position(*message.min_position)
        borrowed = BorrowedConnection(pooled, message.is_primary, message.epoch, min_position)
        prepared = decode_prepared(message.template)
        if prepared is not None and isinstance(statement, Execute):
            # The name must be this host's, since its connections keep the statements by it.
            prepared = with_shared_name(prepared)
            statement = Execute(prepared.name, statement.arguments)
        work = Work(
            message.request_id,
            statement,
            prepared,
            message.is_write,
            message.transaction != 0,
        )
        operation = _operation(message)
        return await exchange(self._context, borrowed, operation, work, min_position, deadline_s)

    # Transactions

    def _begin(
        self, key: _TransactionKey, message: PoolStatement, pooled: PooledConnection
    ) -> None:
        borrowed = BorrowedConnection(pooled, message.is_primary, message.epoch, None)
        transaction = self._transactions[key] = _HostedTransaction(borrowed)
        if message.is_primary:
            self._context.work.add_transaction(
                message.service, transaction, lambda cause: self._end(key, cause)
            )
        if key in self._ended_early:
            self._end(key, "its caller ended it")

    def _end(self, key: _TransactionKey, cause: str) -> None:
        """Roll a transaction back by closing its connection."""
        transaction = self._forget(key)
        if transaction is not None:
            pooled = transaction.borrowed.pooled
            pooled.connection.close()
            self._context.connections.release(pooled)
            self._log.write("hosted_transaction_ended", host=key.host, cause=cause)

    def _forget(self, key: _TransactionKey) -> _HostedTransaction | None:
        transaction = self._transactions.pop(key, None)
        if transaction is not None:
            transaction.is_ended = True
            service = transaction.borrowed.pooled.target.service
            self._context.work.remove_transaction(service, transaction)
        return transaction

    # Checks

    def _decline(self, message: PoolStatement, is_continuation: bool) -> Declined | None:
        """Decline a statement that this host cannot run now."""
        name = message.target
        target = self._context.view.targets(message.service).get(name)
        if target is None or not self._context.view.may_use(name):
            return Declined("target_unknown", 0.0, True)
        if is_continuation:
            return None
        if self.is_stopping:
            return Declined("stopping", 0.0, True)
        if self._running > MAX_STATEMENTS:
            return Declined("overload", UNREACHABLE_RETRY_S, True)
        if self._context.health.is_suspected(name):
            declined = Declined(UNREACHABLE, UNREACHABLE_RETRY_S, True)
            return self._note_declined(message, declined)
        return None

    def _known_lag(self, message: PoolStatement) -> Refused | None:
        """Answer for a replica that is known to lack the position, at the cost of no slot."""
        if message.min_position is None:
            return None
        name = message.target
        required = Position(*message.min_position)
        if not self._context.health.is_lagging(name, required):
            return None
        position = self._context.health.position(name)
        return Refused(ReasonRefused.LAGGING, "the replica lacks the position", False, position)

    def _check(self, message: PoolStatement) -> Interrupted | None:
        """Check this host's view of the target after a wait."""
        context = self._context
        if not message.is_primary:
            is_allowed = context.view.may_use(message.target)
            return None if is_allowed else Interrupted(False, "the target is leaving")
        is_same = context.primaries.epoch(message.service) == message.epoch
        if is_same and context.leased_primary(message.service) == message.target:
            return None
        return Interrupted(False, "the pool host cannot prove that the target is primary")

    def _queue(self, target: Target) -> SlotQueue:
        queue = self._queues.get(target.name)
        if queue is None:
            queue = self._queues[target.name] = SlotQueue(max(target.slots, 1))
        return queue

    def _demand(
        self, message: PoolStatement, deadline_s: float, is_continuation: bool
    ) -> SlotDemand:
        objective_s = now_s() + message.objective_ms / 1000.0
        return SlotDemand(
            message.customer,
            message.priority,
            min(objective_s, deadline_s),
            deadline_s,
            is_continuation,
        )

    def _note_outcome(
        self, queue: SlotQueue, statement: Statement, outcome: StatementOutcome
    ) -> bool:
        """Pause a target that is full.

        :returns: whether the statement's time tells how long statements hold a slot.
        """
        if isinstance(outcome, Refused) and outcome.reason is ReasonRefused.BUSY:
            queue.pause(BUSY_PAUSE_S)
        return isinstance(outcome, Completed) and not isinstance(statement, Begin | Rollback)

    def _note_declined(self, message: PoolStatement, declined: Declined) -> Declined:
        self._context.metrics.refusals.labels(f"pool_{declined.reason}").inc()
        self._log.write(
            "declined",
            request=message.request_id,
            target=message.target,
            customer=message.customer,
            priority=message.priority,
            reason=declined.reason,
            retry_after_s=round(declined.retry_after_s, 3),
        )
        return declined

    def _load(self, message: PoolStatement) -> LoadReport:
        queue = self._queues.get(message.target)
        target = self._context.view.targets(message.service).get(message.target)
        if queue is None or target is None:
            return LoadReport(0, 0, 0, 0.0)
        return LoadReport(target.slots, queue.running, queue.waiting, queue.service_s)


def _is_still_open(outcome: StatementOutcome) -> bool:
    """Whether a transaction goes on after its COMMIT had this outcome.

    The caller's host repeats the COMMIT, or closes the transaction.
    """
    if not isinstance(outcome, Refused):
        return False
    return outcome.reason.is_not_run and not outcome.is_transaction_failed


def _operation(message: PoolStatement) -> Operation:
    """Return the part of the caller's operation that an exchange needs.

    It has no customer, because the caller's host counts its requests.
    """
    consistency = Consistency.PRIMARY
    route = Route("", message.service, consistency, 0.0, 0.0, message.priority, 0.0, False)
    state = CallerState()
    state.values = message.values
    return Operation(route, "", state, now_s(), RateToken())
