"""One caller's session: admission, session state and execution of statements."""

import asyncio

from returns.result import Failure

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.codes import (
    BAD_KEY,
    HOST_ISOLATED,
    HOST_STOPPING,
    KEY_WITHDRAWN,
    NO_CONFIGURATION,
    STATEMENT_NOT_SUPPORTED,
    STATEMENT_TOO_LARGE,
    TRANSACTION_ABORTED,
    UNKNOWN_SERVICE,
    Refusal,
    ResultCode,
)
from pistachiowinch.links.statements import (
    Begin,
    Commit,
    Deallocate,
    Execute,
    Prepare,
    Read,
    Rollback,
    SetValue,
    Statement,
    Unsupported,
    Write,
)
from pistachiowinch.sessions.alignment import with_shared_name
from pistachiowinch.sessions.autocommit import run_autocommit
from pistachiowinch.sessions.context import SessionContext
from pistachiowinch.sessions.replies import CompletedStatement, Reply, TransactionState
from pistachiowinch.sessions.site import Route
from pistachiowinch.sessions.transactions import Transaction
from pistachiowinch.sessions.work import CallerState, Operation, RateToken, build_work

__all__ = ["ANONYMOUS_CUSTOMER", "Session"]

# Customer name of callers without a key on open routes.
ANONYMOUS_CUSTOMER = ""
# Part of the target latency for which an operation waits for a rate token; beyond that, an early
# refusal serves the caller better.
RATE_WAIT_FRACTION = 0.25
# Maximum of variables and of prepared statements in one session.
MAX_STATE_ENTRIES = 256
# Memory of a variable or prepared statement besides its texts: its objects, its table entry and a
# statement's shared name.
ENTRY_BYTES = 384


class Session:
    """A caller's session, which runs one statement at a time.

    :param context: shared dependencies of the host's sessions.
    :param database: name that the caller connected to.
    :param key: the caller's key; never logged and never passed on.
    """

    def __init__(self, context: SessionContext, database: str, key: str) -> None:
        """Create a session; :meth:`admit` checks whether it may be opened."""
        self._context = context
        self._database = database
        self._key = key
        self._state = CallerState()
        self._kept_bytes = 0
        self._transaction: Transaction | None = None
        self._is_failure_known = False
        self._tasks: set[asyncio.Task] = set()

    @property
    def state(self) -> str:
        """State of the transaction as reported to the caller."""
        if self._transaction is None:
            return TransactionState.IDLE
        return TransactionState.FAILED if self._transaction.is_failed else TransactionState.OPEN

    @property
    def is_idle(self) -> bool:
        """Whether no transaction is open."""
        return self._transaction is None

    @property
    def kept_bytes(self) -> int:
        """Memory of the values and prepared statements that the session keeps."""
        return self._kept_bytes

    def admit(self) -> Refusal | tuple[Route, str]:
        """Check the database and the key against the current configuration.

        :returns: the route and the customer, or the reason for refusal.
        """
        configuration = self._context.view.configuration
        if configuration.version < 0:
            return self._refuse(NO_CONFIGURATION, "this host has no configuration yet")
        if self._context.is_outdated():
            return self._refuse(NO_CONFIGURATION, "this host lacks the newest configuration")
        route = configuration.routes.get(self._database)
        if route is None:
            return self._refuse(UNKNOWN_SERVICE, "no such database")
        customer = configuration.customers.get(self._key)
        if customer is not None:
            return route, customer
        if route.is_open:
            return route, ANONYMOUS_CUSTOMER
        code = KEY_WITHDRAWN if self._key else BAD_KEY
        return self._refuse(code, f"the key is not in version {configuration.version}")

    async def execute(self, request_id: str, statement: Statement, size_bytes: int) -> Reply:
        """Run one statement.

        :param size_bytes: length of the statement's text.
        """
        started_s = now_s()
        reply = await self._execute(request_id, statement, size_bytes, started_s)
        # The state that goes with the reply tells the caller.
        self._is_failure_known = self.state == TransactionState.FAILED
        self._log(request_id, statement, reply, started_s)
        return reply

    def end_idle_transaction(self, idle_s: float) -> None:
        """Abort the transaction if it has been idle for longer than this."""
        transaction = self._transaction
        if transaction is not None and now_s() - transaction.last_used_s > idle_s:
            transaction.abort("the transaction was idle for too long")

    def end_hopeless_transaction(self) -> None:
        """Abort the transaction if the host stops too soon for its next statement."""
        if self._transaction is not None:
            self._transaction.abort_if_hopeless()

    def close(self) -> None:
        """End the session; an open transaction is rolled back."""
        if self._transaction is not None:
            self._transaction.abort("the session ended")
            self._end_transaction()

    async def _execute(
        self, request_id: str, statement: Statement, size_bytes: int, started_s: float
    ) -> Reply:
        if size_bytes > self._context.view.configuration.max_statement_bytes:
            return self._refuse(STATEMENT_TOO_LARGE, "the statement is too large")
        if self.state == TransactionState.FAILED and not isinstance(statement, Commit | Rollback):
            if not self._is_failure_known:
                return self._transaction.refuse_failed()
            return self._refuse(STATEMENT_NOT_SUPPORTED, "the transaction failed; roll it back")
        match statement:
            case SetValue() | Prepare() | Deallocate():
                return self._update_state(statement)
            case Begin(is_read_only):
                return await self._begin(is_read_only, started_s)
            case Commit():
                return await self._commit(request_id, statement)
            case Rollback():
                return self._roll_back()
            case Read() | Write() | Execute():
                return await self._run(request_id, statement, started_s)
            case Unsupported():
                return self._refuse(STATEMENT_NOT_SUPPORTED, "unknown or incomplete statement")

    def _update_state(self, statement: SetValue | Prepare | Deallocate) -> Reply:
        state = self._state
        if len(state.values) >= MAX_STATE_ENTRIES or len(state.prepared) >= MAX_STATE_ENTRIES:
            return self._refuse(STATEMENT_NOT_SUPPORTED, "the session keeps too much")
        match statement:
            case SetValue(name, value):
                self._kept_bytes += _entry_bytes(name, value)
                self._kept_bytes -= _entry_bytes(name, state.values.get(name))
                state.values[name] = value
            case Prepare(name):
                self._forget_prepared(name)
                self._kept_bytes += _entry_bytes(name, statement.template)
                state.prepared[name] = with_shared_name(statement)
            case Deallocate(name):
                self._forget_prepared(name)
        return CompletedStatement()

    def _forget_prepared(self, name: str) -> None:
        known = self._state.prepared.pop(name, None)
        if known is not None:
            self._kept_bytes -= _entry_bytes(name, known.template)

    async def _start_operation(self, started_s: float) -> Operation | Refusal:
        """Admit a new operation and acquire its rate token."""
        if self._context.is_stopping:
            return self._refuse(HOST_STOPPING, "this host is stopping; use another")
        admitted = self.admit()
        if isinstance(admitted, Refusal):
            return admitted
        route, customer = admitted
        if not await self._context.start_gate.passes(route.priority):
            detail = "this host has just started and cannot prove which target is primary"
            return self._refuse(HOST_ISOLATED, f"{detail}; use another")
        operation = Operation(route, customer, self._state, started_s, RateToken())
        if customer == ANONYMOUS_CUSTOMER or self._context.rates.try_acquire(customer):
            return operation
        wait_s = self._context.start_gate.extend(route.target_latency_s * RATE_WAIT_FRACTION)
        # A statement that was held until the host had a lease has waited for no token yet.
        deadline_s = self._context.shutdown.deadline_s(now_s(), wait_s)
        match await self._context.rates.acquire(customer, deadline_s):
            case Failure(refusal):
                return refusal
            case _:
                return operation

    async def _begin(self, is_read_only: bool, started_s: float) -> Reply:
        if self._transaction is not None:
            return self._refuse(STATEMENT_NOT_SUPPORTED, "a transaction is already open")
        operation = await self._start_operation(started_s)
        if isinstance(operation, Refusal):
            return operation
        self._transaction = Transaction(self._context, operation, is_read_only)
        return CompletedStatement()

    async def _commit(self, request_id: str, commit: Commit) -> Reply:
        transaction = self._transaction
        if transaction is None:
            return self._refuse(STATEMENT_NOT_SUPPORTED, "no transaction is open")
        try:
            if transaction.is_failed:
                return self._refuse(TRANSACTION_ABORTED, "the transaction had failed")
            return await transaction.commit(request_id, commit)
        finally:
            self._end_transaction()

    def _roll_back(self) -> Reply:
        transaction = self._transaction
        if transaction is None:
            return self._refuse(STATEMENT_NOT_SUPPORTED, "no transaction is open")
        self._end_transaction()
        task = asyncio.get_running_loop().create_task(transaction.roll_back())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return CompletedStatement()

    async def _run(
        self, request_id: str, statement: Read | Write | Execute, started_s: float
    ) -> Reply:
        work = build_work(request_id, statement, self._state.prepared)
        if work is None:
            return self._refuse(STATEMENT_NOT_SUPPORTED, "no such prepared name")
        if self._transaction is not None:
            return await self._transaction.run(work)
        operation = await self._start_operation(started_s)
        if isinstance(operation, Refusal):
            return operation
        try:
            return await run_autocommit(self._context, operation, work)
        finally:
            self._refund(operation)

    def _end_transaction(self) -> None:
        if self._transaction is not None:
            self._refund(self._transaction.operation)
        self._transaction = None

    def _refund(self, operation: Operation) -> None:
        """Return the rate token of an operation that reached no target."""
        if not operation.rate_token.is_spent and operation.customer != ANONYMOUS_CUSTOMER:
            self._context.rates.refund(operation.customer)

    def _refuse(self, code: ResultCode, detail: str) -> Refusal:
        self._context.metrics.refusals.labels(code.label).inc()
        return Refusal(code, detail)

    def _log(self, request_id: str, statement: Statement, reply: Reply, started_s: float) -> None:
        took_s = now_s() - started_s
        kind = type(statement).__name__
        self._context.metrics.statement_seconds.labels(kind).observe(took_s)
        outcome = "done"
        if isinstance(reply, Refusal):
            outcome = f"PW{reply.code.number} {reply.detail}"
        elif not isinstance(reply, CompletedStatement):
            outcome = reply.detail
        elif not isinstance(statement, Commit | Write | Execute | Read):
            return
        self._context.log.write(
            "statement",
            request=request_id,
            kind=kind,
            database=self._database,
            customer=self._context.view.configuration.customers.get(self._key, ""),
            version=self._context.view.configuration.version,
            took_s=round(took_s, 4),
            outcome=outcome,
        )


def _entry_bytes(name: str, text: str | None) -> int:
    """Return the memory of a variable or prepared statement; 0 without one."""
    return 0 if text is None else ENTRY_BYTES + len(name) + len(text)
