"""Server side of one connection to the in-memory database group."""

import asyncio
from typing import TYPE_CHECKING, Any

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.links.targets import ExecuteOutcome, Failed, QueryResult, ResultLost, Succeeded
from pistachiowinch.standins.database_data import (
    AppliedStatement,
    SqlError,
    StatementResult,
)
from pistachiowinch.standins.database_sql import Plan, SqlSyntaxError, Verb, plan_statement

if TYPE_CHECKING:
    from pistachiowinch.standins.database_group import FakeDatabaseGroup, FakeTarget

__all__ = ["TargetSession"]

_VERSION = "8.0.36-standin"
_EPOCH_UNIX_S = 1_767_225_600
_VARIABLES: dict[str, Any] = {
    "autocommit": 1,
    "version": _VERSION,
    "version_comment": "in-memory stand-in",
    "sql_mode": "STRICT_TRANS_TABLES",
    "transaction_isolation": "READ-COMMITTED",
    "tx_isolation": "READ-COMMITTED",
    "character_set_client": "utf8mb4",
    "character_set_connection": "utf8mb4",
    "character_set_results": "utf8mb4",
    "collation_connection": "utf8mb4_general_ci",
    "lower_case_table_names": 0,
    "max_allowed_packet": 67_108_864,
    "time_zone": "SYSTEM",
    "system_time_zone": "UTC",
    "wait_timeout": 28_800,
}
_READ_ONLY = Failed(1290, "HY000", "The target runs with the --read-only option")
_LOCK_TIMEOUT = Failed(1205, "HY000", "Lock wait timeout exceeded; try restarting transaction")
_DEADLOCK = Failed(1213, "40001", "Deadlock found when trying to get lock")
_ERRNO_DEADLOCK = 1213


class TargetSession:
    """A session at a target, with its transaction, locks and variables."""

    def __init__(
        self, group: "FakeDatabaseGroup", target: "FakeTarget", host: str, number: int
    ) -> None:
        """Start without a transaction."""
        self._group = group
        self._target = target
        self._number = number
        self.host = host
        self.is_silent = False
        self.is_reset = False
        self.is_running_write = False
        self._is_reset_seen = False
        self._is_closed = False
        self._is_begun = False
        self._is_autocommit = True
        self._statements: list[AppliedStatement] = []
        self._lock_keys: set[str] = set()
        self._waits_for: TargetSession | None = None
        self._transaction_ended = asyncio.Event()
        self._variables = dict(_VARIABLES)
        self._last_insert_id = 0
        self._row_count = -1
        self._uuid_count = 0
        self._running: asyncio.Task[Any] | None = None
        self._reply: asyncio.Future[ExecuteOutcome] | None = None

    # Connection ---------------------------------------------------------------------------------

    @property
    def is_transaction_open(self) -> bool:
        """Whether a transaction is open."""
        return self._is_begun or bool(self._statements)

    def _is_link_open(self) -> bool:
        return not self.is_silent and self._group.network.is_open(self.host, self._target.name)

    async def serve(self, text: str, reply: "asyncio.Future[ExecuteOutcome]") -> None:
        """Receive a statement, run it and send its outcome.

        :param reply: receives the outcome unless the network loses it.
        """
        delay_s = self._group.network.delay_s(self.host, self._target.name)
        self._reply = reply
        await sleep_s(delay_s)
        if not self._is_link_open():
            return
        if self._is_closed:
            self._send_outcome(ResultLost(True, "connection reset"))
            return
        self._running = asyncio.current_task()
        try:
            outcome, verb = await self._execute(text)
        finally:
            self._running = None
            self.is_running_write = False
            if self._is_closed:
                self._end_transaction()
        await sleep_s(delay_s)
        if verb in self._target.lost_results:
            self._target.lost_results.remove(verb)
            self.reset("the answer was lost")
        elif self._is_link_open() and not self._is_closed:
            self._send_outcome(outcome)

    def _send_outcome(self, outcome: ExecuteOutcome) -> None:
        if self._reply is not None and not self._reply.done():
            self._reply.set_result(outcome)

    def reset(self, reason: str, is_silent: bool = False) -> None:
        """Close the connection from the target's side and roll back.

        :param is_silent: whether the host is sent no connection reset.
        """
        self._is_closed = True
        if self._running is not None and self._running is not asyncio.current_task():
            self._running.cancel()
        self._end_transaction()
        self._target.sessions.discard(self)
        if is_silent:
            self.is_silent = True
        elif self._is_link_open():
            self.is_reset = True
            self._send_outcome(ResultLost(True, f"connection reset: {reason}"))
        else:
            self.is_silent = True

    async def close_by_host(self) -> None:
        """Process the host's close of the connection. A running statement is finished first."""
        await sleep_s(self._group.network.delay_s(self.host, self._target.name))
        if not self._is_link_open():
            await sleep_s(self._group.times.dead_peer_s)
        self._is_closed = True
        self._target.sessions.discard(self)
        if self._running is None:
            self._end_transaction()

    # Transactions and locks ---------------------------------------------------------------------

    def _end_transaction(self) -> None:
        for key in self._lock_keys:
            if self._target.locks.get(key) is self:
                del self._target.locks[key]
        self._lock_keys.clear()
        self._statements = []
        self._is_begun = False
        self._transaction_ended.set()
        self._transaction_ended = asyncio.Event()

    def _blocking_session(self, keys: frozenset[str]) -> "TargetSession | None":
        locks = self._target.locks
        for key in keys:
            table = key.split(":", 1)[0]
            holder = locks.get(key) or locks.get(f"{table}:*")
            if holder is not None and holder is not self:
                return holder
            if key.endswith(":*"):
                for locked, other in locks.items():
                    if other is not self and locked.startswith(f"{table}:"):
                        return other
        return None

    def _is_deadlock(self, holder: "TargetSession") -> bool:
        waiting: TargetSession | None = holder
        while waiting is not None:
            if waiting is self:
                return True
            waiting = waiting._waits_for
        return False

    def _lock(self, keys: frozenset[str]) -> None:
        self._lock_keys.update(keys)
        for key in keys:
            self._target.locks[key] = self

    # Statements ---------------------------------------------------------------------------------

    async def _execute(self, text: str) -> tuple[ExecuteOutcome, str]:
        try:
            plan = plan_statement(text)
        except SqlSyntaxError as error:
            return Failed(1064, "42000", str(error)), ""
        times = self._group.times
        is_work = plan.verb in (Verb.READ, Verb.WRITE, Verb.DDL, Verb.SHOW)
        duration_s = times.statement_s if is_work else times.control_s
        self.is_running_write = plan.verb in (Verb.WRITE, Verb.DDL)
        target = self._target
        async with target.slots:
            target.running_statements += 1
            target.max_running_statements = max(
                target.max_running_statements, target.running_statements
            )
            try:
                await sleep_s(duration_s * target.slow_factor)
            finally:
                target.running_statements -= 1
        try:
            return await self._dispatch(plan), plan.verb.value
        except SqlError as refused:
            if refused.failed.errno == _ERRNO_DEADLOCK:
                self._end_transaction()
            return refused.failed, plan.verb.value

    async def _dispatch(self, plan: Plan) -> ExecuteOutcome:
        match plan.verb:
            case Verb.READ:
                return await self._read(plan)
            case Verb.WRITE:
                return await self._write(plan)
            case Verb.DDL:
                return self._change_schema(plan)
            case Verb.BEGIN:
                self._commit()
                self._is_begun = True
                return self._succeed()
            case Verb.COMMIT:
                return self._commit()
            case Verb.ROLLBACK:
                self._end_transaction()
                return self._succeed()
            case Verb.SET:
                return self._set(plan)
            case Verb.USE:
                return self._succeed()
            case Verb.SHOW:
                return self._show(plan)
        return Failed(1235, "42000", "The stand-in does not support this statement")

    def _succeed(self, **fields: Any) -> Succeeded:
        return Succeeded(QueryResult(is_in_transaction=self.is_transaction_open, **fields))

    def _parameters(self, plan: Plan) -> dict[str, Any]:
        values = dict(plan.parameters)
        for name in plan.context:
            values[name] = self._context_value(name)
        for name in plan.variables:
            if name not in self._variables:
                raise SqlError(1193, "HY000", f"Unknown system variable '{name}'")
            values[f"var_{name}"] = self._variables[name]
        return values

    def _context_value(self, name: str) -> Any:
        match name:
            case "ctx_last_insert_id":
                return self._last_insert_id
            case "ctx_connection_id":
                return self._number
            case "ctx_row_count":
                return self._row_count
            case "ctx_now":
                return self._target.data.format_time(now_s())
            case "ctx_unix":
                return _EPOCH_UNIX_S + int(now_s())
            case "ctx_uuid":
                self._uuid_count += 1
                return f"{self._number:08x}-0000-1000-8000-{self._uuid_count:012x}"
            case "ctx_database":
                return self._group.service
            case "ctx_version":
                return _VERSION
        raise ValueError(f"unknown context parameter {name}")

    async def _run_locked(self, plan: Plan) -> StatementResult | Failed:
        parameters = self._parameters(plan)
        deadline_s = now_s() + self._group.times.lock_wait_s
        while True:
            result = self._target.data.run(plan, parameters, self._statements, now_s())
            holder = self._blocking_session(result.lock_keys)
            if holder is None:
                self._lock(result.lock_keys)
                return result
            if self._is_deadlock(holder):
                self._end_transaction()
                return _DEADLOCK
            self._waits_for = holder
            try:
                async with asyncio.timeout_at(deadline_s):
                    await holder._transaction_ended.wait()
            except TimeoutError:
                return _LOCK_TIMEOUT
            finally:
                self._waits_for = None

    async def _read(self, plan: Plan) -> ExecuteOutcome:
        if plan.is_locking and not self._target.is_writable:
            return _READ_ONLY
        result = await self._run_locked(plan)
        if isinstance(result, Failed):
            return result
        if plan.is_locking and not self._is_begun and self._is_autocommit:
            self._end_transaction()
        return self._succeed(
            columns=result.columns, rows=result.rows, position=self._target.applied_position
        )

    async def _write(self, plan: Plan) -> ExecuteOutcome:
        if not self._target.is_writable:
            return _READ_ONLY
        result = await self._run_locked(plan)
        if isinstance(result, Failed):
            return result
        if not self._target.is_writable:
            return _READ_ONLY
        self._row_count = result.affected_rows
        if result.last_insert_id:
            self._last_insert_id = result.last_insert_id
        if result.applied is not None:
            self._statements.append(result.applied)
        term = position = 0
        if not self._is_begun and self._is_autocommit:
            committed = self._commit()
            if isinstance(committed, Failed):
                return committed
            term, position = committed.result.term, committed.result.position
        return self._succeed(
            affected_rows=result.affected_rows,
            last_insert_id=result.last_insert_id,
            term=term,
            position=position,
        )

    def _commit(self) -> Succeeded | Failed:
        statements = self._statements
        if not statements:
            self._end_transaction()
            return self._succeed()
        if not self._target.is_writable:
            self._end_transaction()
            return _READ_ONLY
        try:
            entry = self._target.commit(statements)
        finally:
            self._end_transaction()
        return self._succeed(term=entry.term, position=entry.position)

    def _change_schema(self, plan: Plan) -> ExecuteOutcome:
        if not self._target.is_writable:
            return _READ_ONLY
        committed = self._commit()
        if isinstance(committed, Failed):
            return committed
        statement = self._target.data.run_ddl(plan.sql, now_s())
        entry = self._target.commit([statement], is_ddl=True)
        return self._succeed(term=entry.term, position=entry.position)

    def _set(self, plan: Plan) -> ExecuteOutcome:
        self._variables.update(plan.parameters)
        if "autocommit" in plan.parameters:
            self._is_autocommit = plan.parameters["autocommit"] in (1, "1", "ON", "on", "TRUE")
            if self._is_autocommit and self._statements:
                return self._commit()
        return self._succeed()

    def _show(self, plan: Plan) -> ExecuteOutcome:
        words = plan.sql.upper().split()
        if "TABLES" in words:
            rows = [(name,) for name in self._target.data.table_names()]
            return self._succeed(
                columns=self._target.data.text_columns([f"Tables_in_{self._group.service}"]),
                rows=tuple(rows),
            )
        if "VARIABLES" in words:
            rows = [(name, str(value)) for name, value in sorted(self._variables.items())]
            columns = self._target.data.text_columns(["Variable_name", "Value"])
            return self._succeed(columns=columns, rows=tuple(rows))
        if "WARNINGS" in words:
            columns = self._target.data.text_columns(["Level", "Code", "Message"])
            return self._succeed(columns=columns)
        return Failed(1235, "42000", "The stand-in does not support this SHOW statement")

    # Direct access ------------------------------------------------------------------------------

    @staticmethod
    def run_at_once(target: "FakeTarget", text: str) -> None:
        """Commit one statement at the primary, without network delay or duration.

        :raises SqlError: with MySQL's error number.
        """
        plan = plan_statement(text)
        if plan.verb is Verb.DDL:
            target.commit([target.data.run_ddl(plan.sql, now_s())], is_ddl=True)
            return
        result = target.data.run(plan, plan.parameters, (), now_s())
        if result.applied is not None:
            target.commit([result.applied])

    @staticmethod
    def read_at_once(target: "FakeTarget", text: str) -> list[tuple[Any, ...]]:
        """Read committed and applied data, without network delay or duration."""
        plan = plan_statement(text)
        return list(target.data.run(plan, plan.parameters, (), now_s()).rows)
