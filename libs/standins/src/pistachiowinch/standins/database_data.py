"""Data of one target of the in-memory database group, over sqlite3 in memory.

An open transaction is kept as the list of its write statements. Each further statement of it
replays the list, runs and rolls back, so that uncommitted rows are invisible to other sessions.
Triggers record the unique keys of the rows that a statement touches; the group locks these keys.
"""

import datetime
import sqlite3
from collections.abc import Sequence
from typing import Any, NamedTuple

from pistachiowinch.links.targets import Column, Failed
from pistachiowinch.standins.database_sql import AUTO_COLUMN, Plan, Verb

__all__ = ["AppliedStatement", "SqlError", "StatementResult", "TargetData"]

# Start of the clock; fixed, so that dates are the same in every run.
_EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

_TYPE_LONGLONG, _TYPE_DOUBLE, _TYPE_VAR_STRING, _TYPE_BLOB, _TYPE_NULL = 8, 5, 253, 252, 6
_FLAG_BINARY, _FLAG_BLOB, _FLAG_NUM = 128, 16, 32768
_CHARSET_BINARY, _CHARSET_UTF8MB4 = 63, 45


class SqlError(Exception):
    """A statement failed with a MySQL error."""

    def __init__(self, errno: int, sqlstate: str, message: str) -> None:
        """Create the error from the fields of MySQL's error packet."""
        super().__init__(message)
        self.failed = Failed(errno, sqlstate, message)


class AppliedStatement(NamedTuple):
    """A write statement as the log contains it: it writes the same rows at every target.

    :param touched_keys: unique keys of the rows that it touched when it first ran.
    """

    sql: str
    parameters: dict[str, Any]
    now_s: float
    touched_keys: frozenset[str]
    row_count: int


class StatementResult(NamedTuple):
    """Result of one statement."""

    columns: tuple[Column, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    affected_rows: int = 0
    last_insert_id: int = 0
    applied: AppliedStatement | None = None
    lock_keys: frozenset[str] = frozenset()


class _TableSchema(NamedTuple):
    key_expressions: tuple[str, ...]
    auto_column: str


def _mysql_error(error: sqlite3.Error) -> SqlError:
    text = str(error)
    for start, errno, sqlstate in (
        ("UNIQUE constraint", 1062, "23000"),
        ("NOT NULL constraint", 1048, "23000"),
        ("FOREIGN KEY constraint", 1452, "23000"),
        ("CHECK constraint", 3819, "HY000"),
        ("no such table", 1146, "42S02"),
        ("no such column", 1054, "42S22"),
        ("duplicate column name", 1060, "42S21"),
    ):
        if text.startswith(start):
            message = text if errno != 1062 else f"Duplicate entry for key '{text[26:]}'"
            return SqlError(errno, sqlstate, message)
    if "already exists" in text:
        return SqlError(1050, "42S01", text)
    if "has no column named" in text:
        return SqlError(1054, "42S22", text)
    if "values for" in text and "columns" in text:
        return SqlError(1136, "21S01", text)
    if "syntax error" in text or "incomplete input" in text or "unrecognized token" in text:
        return SqlError(1064, "42000", text)
    return SqlError(1105, "HY000", text)


def _column(name: str, values: Sequence[Any], table: str) -> Column:
    sample = next((value for value in values if value is not None), None)
    match sample:
        case int():
            attributes = (_TYPE_LONGLONG, _FLAG_BINARY | _FLAG_NUM, _CHARSET_BINARY, 20, 0)
        case float():
            attributes = (_TYPE_DOUBLE, _FLAG_BINARY | _FLAG_NUM, _CHARSET_BINARY, 22, 31)
        case bytes():
            attributes = (_TYPE_BLOB, _FLAG_BINARY | _FLAG_BLOB, _CHARSET_BINARY, 65535, 0)
        case None if values:
            attributes = (_TYPE_NULL, _FLAG_BINARY, _CHARSET_BINARY, 0, 0)
        case _:
            attributes = (_TYPE_VAR_STRING, 0, _CHARSET_UTF8MB4, 1020, 0)
    return Column(name, *attributes, table=table, org_table=table, org_name=name)


def _quoted(name: str) -> str:
    return '"' + name.replace('"', '""') + '"'


class TargetData:
    """Committed data of one target.

    :param schema_name: the service's name, MySQL's database.
    """

    def __init__(self, schema_name: str) -> None:
        """Start empty."""
        self._schema_name = schema_name
        self._now_s = 0.0
        self._schemas: dict[str, _TableSchema] = {}
        self._sequences: dict[str, int] = {}
        self._database = sqlite3.connect(":memory:", isolation_level=None, cached_statements=512)
        self._database.create_function("pw_now", 0, self._now_text)
        self._database.execute("PRAGMA recursive_triggers = ON")
        self._database.execute("CREATE TEMP TABLE pw_touched (row_key TEXT)")

    def close(self) -> None:
        """Close the sqlite database, which frees its memory."""
        self._database.close()

    @staticmethod
    def format_time(time_s: float) -> str:
        """Format a time of the event loop's clock as MySQL's DATETIME."""
        moment = _EPOCH + datetime.timedelta(seconds=time_s)
        return moment.strftime("%Y-%m-%d %H:%M:%S")

    @staticmethod
    def text_columns(names: Sequence[str]) -> tuple[Column, ...]:
        """Return text columns for a result without a table, such as that of SHOW."""
        return tuple(_column(name, (), "") for name in names)

    def _now_text(self) -> str:
        return self.format_time(self._now_s)

    # Schema -------------------------------------------------------------------------------------

    def _unique_columns(self, table: str) -> list[list[str]]:
        columns = self._database.execute(f"PRAGMA table_info({_quoted(table)})").fetchall()
        primary = [row[1] for row in sorted(columns, key=lambda row: row[5]) if row[5]]
        unique = [primary] if primary else []
        for index in self._database.execute(f"PRAGMA index_list({_quoted(table)})").fetchall():
            if not index[2] or index[3] == "pk":
                continue
            name = _quoted(index[1])
            info = self._database.execute(f"PRAGMA index_info({name})").fetchall()
            unique.append([row[2] for row in info])
        return unique

    def _key_expressions(self, table: str, row: str) -> tuple[str, ...]:
        prefix = f"{row}." if row else ""
        keys = []
        for number, columns in enumerate(self._unique_columns(table)):
            values = " || ',' || ".join(f"quote({prefix}{_quoted(name)})" for name in columns)
            keys.append(f"'{table}:{number}:' || {values}")
        return tuple(keys) or (f"'{table}:rowid:' || {prefix}rowid",)

    def _refresh_schemas(self) -> None:
        tables = self._database.execute(
            "SELECT name, sql FROM main.sqlite_master WHERE type = 'table' "
            "AND name NOT LIKE 'sqlite_%'"
        ).fetchall()
        self._schemas = {}
        for table, text in tables:
            primary = self._unique_columns(table)[:1]
            auto_column = primary[0][0] if "AUTOINCREMENT" in text else ""
            self._schemas[table] = _TableSchema(self._key_expressions(table, ""), auto_column)
            for event, rows in (
                ("INSERT", ("NEW",)),
                ("UPDATE", ("OLD", "NEW")),
                ("DELETE", ("OLD",)),
            ):
                name = _quoted(f"pw_{table}_{event}")
                body = " ".join(
                    f"INSERT INTO pw_touched VALUES ({key});"
                    for row in rows
                    for key in self._key_expressions(table, row)
                )
                self._database.execute(f"DROP TRIGGER IF EXISTS temp.{name}")
                self._database.execute(
                    f"CREATE TEMP TRIGGER {name} AFTER {event} ON main.{_quoted(table)} "
                    f"BEGIN {body} END"
                )

    def table_names(self) -> list[str]:
        """Return the names of the tables, sorted."""
        return sorted(self._schemas)

    # Statements ---------------------------------------------------------------------------------

    def _sequence(self, table: str) -> int:
        row = self._database.execute(
            "SELECT seq FROM sqlite_sequence WHERE name = ?", (table,)
        ).fetchone()
        return max(row[0] if row else 0, self._sequences.get(table, 0))

    def _run(self, sql: str, parameters: dict[str, Any], now_s: float) -> sqlite3.Cursor:
        self._now_s = now_s
        try:
            return self._database.execute(sql, parameters)
        except sqlite3.Error as error:
            raise _mysql_error(error) from error
        except (OverflowError, ValueError) as error:
            raise SqlError(1264, "22003", str(error)) from error

    def _replay(self, statement: AppliedStatement) -> tuple[frozenset[str], int]:
        self._database.execute("DELETE FROM pw_touched")
        cursor = self._run(statement.sql, statement.parameters, statement.now_s)
        touched_keys = self._database.execute("SELECT row_key FROM pw_touched").fetchall()
        return frozenset(row[0] for row in touched_keys), cursor.rowcount

    def _replay_all(self, statements: Sequence[AppliedStatement]) -> None:
        for statement in statements:
            touched_keys, row_count = self._replay(statement)
            if touched_keys != statement.touched_keys or row_count != statement.row_count:
                message = "Deadlock found when trying to get lock; try restarting transaction"
                raise SqlError(1213, "40001", message)

    def run(
        self,
        plan: Plan,
        parameters: dict[str, Any],
        earlier: Sequence[AppliedStatement],
        now_s: float,
    ) -> StatementResult:
        """Run a read or write after a transaction's earlier writes and roll everything back.

        :param plan: the translated statement.
        :param parameters: values of all its parameters.
        :param earlier: write statements of the open transaction.
        :param now_s: value of NOW() in seconds.
        :raises SqlError: with MySQL's error number.
        """
        if plan.verb is Verb.READ and not earlier:
            return self._read(plan, parameters, now_s)
        self._database.execute("BEGIN")
        try:
            self._replay_all(earlier)
            if plan.verb is Verb.READ:
                return self._read(plan, parameters, now_s)
            return self._write(plan, parameters, now_s)
        finally:
            if self._database.in_transaction:
                self._database.execute("ROLLBACK")

    def _read(self, plan: Plan, parameters: dict[str, Any], now_s: float) -> StatementResult:
        cursor = self._run(plan.sql, parameters, now_s)
        rows = tuple(cursor.fetchall())
        names = plan.column_names or tuple(
            description[0] for description in cursor.description or ()
        )
        columns = tuple(
            _column(name, [row[index] for row in rows], plan.table)
            for index, name in enumerate(names)
        )
        keys = self._locked_rows(plan, parameters) if plan.is_locking else frozenset()
        return StatementResult(columns, rows, lock_keys=keys)

    def _locked_rows(self, plan: Plan, parameters: dict[str, Any]) -> frozenset[str]:
        schema = self._schemas.get(plan.table)
        if schema is None or plan.lock_condition is None:
            return frozenset([f"{plan.table}:*"])
        keys: set[str] = set()
        for expression in schema.key_expressions:
            sql = f"SELECT {expression} FROM {_quoted(plan.table)} {plan.lock_condition}"
            keys.update(row[0] for row in self._database.execute(sql, parameters))
        return frozenset(keys)

    def _write(self, plan: Plan, parameters: dict[str, Any], now_s: float) -> StatementResult:
        schema = self._schemas.get(plan.table)
        auto_column = schema.auto_column if schema is not None else ""
        before = self._sequence(plan.table) if auto_column else 0
        sql, first_key = plan.sql, 0
        if auto_column and plan.row_count and auto_column.lower() not in plan.insert_columns:
            # Generated keys are part of the logged statement. They stay reserved after a rollback,
            # since concurrent transactions would otherwise generate the same keys.
            sql = plan.keyed_sql.replace(AUTO_COLUMN, _quoted(auto_column))
            first_key = before + 1
            keys = {f"auto{number}": first_key + number for number in range(plan.row_count)}
            parameters = parameters | keys
            self._sequences[plan.table] = before + plan.row_count
        self._database.execute("DELETE FROM pw_touched")
        cursor = self._run(sql, parameters, now_s)
        rows = self._database.execute("SELECT row_key FROM pw_touched").fetchall()
        touched_keys = frozenset(row[0] for row in rows)
        if auto_column:
            self._sequences[plan.table] = self._sequence(plan.table)
        applied = AppliedStatement(sql, parameters, now_s, touched_keys, cursor.rowcount)
        return StatementResult(
            affected_rows=max(cursor.rowcount, 0),
            # MySQL reports the first key of a statement that generates several.
            last_insert_id=first_key,
            applied=applied,
            lock_keys=touched_keys,
        )

    def commit(self, statements: Sequence[AppliedStatement]) -> None:
        """Make a transaction's writes visible.

        :raises SqlError: if the replay writes other rows than the first run; nothing changes.
        """
        self._database.execute("BEGIN")
        try:
            self._replay_all(statements)
        except SqlError:
            self._database.execute("ROLLBACK")
            raise
        self._database.execute("COMMIT")

    def apply(self, statements: Sequence[AppliedStatement]) -> None:
        """Apply one committed transaction from the log."""
        if (
            len(statements) == 1
            and statements[0].row_count == -1
            and not statements[0].touched_keys
        ):
            self.run_ddl(statements[0].sql, statements[0].now_s)
            return
        self._database.execute("BEGIN")
        for statement in statements:
            self._replay(statement)
        self._database.execute("COMMIT")

    def run_ddl(self, sql: str, now_s: float) -> AppliedStatement:
        """Change the schema.

        :raises SqlError: with MySQL's error number.
        """
        self._run(sql, {}, now_s)
        self._refresh_schemas()
        return AppliedStatement(sql, {}, now_s, frozenset(), -1)
