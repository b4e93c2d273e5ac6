"""Execution of a caller's statements, either in the proxy or through the gateway."""

import asyncio
import re
from collections.abc import Callable

from returns.result import Failure, Result, Success

from pistachiowinch.base.codes import STATEMENT_NOT_SUPPORTED, UNKNOWN_SERVICE, Refusal
from pistachiowinch.links.targets import Column, Failed, QueryResult
from pistachiowinch.proxy.classify import Action, Classification, classify, strip_comments
from pistachiowinch.proxy.interfaces import Gateway
from pistachiowinch.proxy.settings import (
    Assignment,
    CallerSettings,
    apply_product_setting,
    plan_set,
    read_variable,
    selected_variables,
)
from pistachiowinch.proxy.wire import STATUS_AUTOCOMMIT, STATUS_IN_TRANSACTION
from pistachiowinch.routing.session import Session
from pistachiowinch.routing.statements import Statement, StatementKind

__all__ = ["LONG_TEXT_CHARS", "Outcome", "SessionObserver", "StatementRunner"]

# Classifying a longer text takes milliseconds, so it runs in a thread.
LONG_TEXT_CHARS = 131_072

Outcome = Result[QueryResult, Refusal | Failed]

_INTEGER = 8
_TEXT = 253
_EMPTY_SUCCESS = Success(QueryResult())
_USE_STATEMENT = re.compile(r"USE\s+(?:`([^`]+)`|([\w$]+))", re.IGNORECASE)
_BEGIN = Statement("BEGIN", StatementKind.BEGIN)
_IMPLICIT_BEGIN_KINDS = (StatementKind.READ, StatementKind.WRITE)
_WARNING_COLUMNS = (Column("Level", _TEXT), Column("Code", _INTEGER), Column("Message", _TEXT))
_WARNING_ROW = ("Note", 1235, "PW1007 warnings are shown only inside a transaction")


SessionObserver = Callable[[Session | None, Session | None], None]


def _ignore_session_change(previous: Session | None, current: Session | None) -> None:
    """Do nothing; used without an observer."""


class StatementRunner:
    """Runs the statements of a caller.

    :param gateway: runs the statements that are not executed here.
    :param on_session: called with the previous and the new session at each change.
    """

    def __init__(self, gateway: Gateway, on_session: SessionObserver | None = None) -> None:
        """Create a runner without a session."""
        self._gateway = gateway
        self._on_session = on_session or _ignore_session_change
        self.key_id = ""
        self.session: Session | None = None
        self.settings = CallerSettings()

    @property
    def is_in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self.session is not None and self.session.is_in_transaction

    @property
    def status(self) -> int:
        """Server status flags."""
        autocommit = STATUS_AUTOCOMMIT if self.settings.is_autocommit else 0
        return autocommit | (STATUS_IN_TRANSACTION if self.is_in_transaction else 0)

    async def open(self, key_id: str, service: str) -> Result[None, Refusal]:
        """Open a session for a caller whose key was verified.

        The previous session ends only if the new one was opened.

        :param key_id: the key's id; empty on an open route.
        :param service: the service.
        """
        opened = await self._gateway.open_session(key_id, service)
        if not isinstance(opened, Success):
            return opened.map(lambda _: None)
        previous = self.session
        self.session = opened.unwrap()
        self.key_id = key_id
        self._on_session(previous, self.session)
        if previous is not None:
            self.session.max_staleness_ms = previous.max_staleness_ms
            self.session.name = previous.name
            await self._gateway.close_session(previous)
        return Success(None)

    async def use(self, service: str) -> Result[None, Refusal]:
        """Switch to another service, which requires a new authorization.

        :param service: the service.
        """
        if self.session is not None and service == self.session.service:
            return Success(None)
        if self.is_in_transaction:
            detail = "the database cannot be changed inside a transaction"
            return Failure(Refusal(STATEMENT_NOT_SUPPORTED, detail))
        return await self.open(self.key_id, service)

    async def reset(self) -> None:
        """Roll back and clear settings and connection state."""
        self.settings = CallerSettings()
        if self.session is not None:
            await self._gateway.reset_session(self.session)

    async def close(self) -> None:
        """End the session."""
        session, self.session = self.session, None
        if session is not None:
            self._on_session(session, None)
            await self._gateway.close_session(session)

    def apply_attributes(self, attributes: dict[str, str]) -> Result[None, Refusal]:
        """Set product variables from connection or query attributes.

        :param attributes: names and values; names without the product's prefix are ignored.
        """
        for name, value in attributes.items():
            if not name.lower().startswith("pistachiowinch_"):
                continue
            if self.session is None:
                return Failure(Refusal(UNKNOWN_SERVICE, "attributes need a database"))
            assignment = Assignment(name, value)
            applied = apply_product_setting(self.session, self.settings, assignment)
            if not isinstance(applied, Success):
                return applied
        return Success(None)

    async def run(self, text: str) -> Outcome:
        """Run one statement of the caller.

        :param text: the statement.
        """
        if len(text) <= LONG_TEXT_CHARS:
            classification = classify(text)
        else:
            classification = await asyncio.to_thread(classify, text)
        if (
            classification.is_plain_read
            and self.settings.is_autocommit
            and self.session is not None
        ):
            # Fast path for the usual case: skips the steps for writes and transactions.
            settings = self.settings
            statement = Statement(
                text, StatementKind.READ, settings.request_id, settings.is_idempotent
            )
            return await self._gateway.execute(self.session, statement)
        if classification.action is Action.REFUSE:
            return Failure(Refusal(STATEMENT_NOT_SUPPORTED, classification.reason))
        if classification.action is Action.USE:
            return await self._run_use(text)
        if self.session is None:
            return Failure(Refusal(UNKNOWN_SERVICE, "no database is selected"))
        if classification.action is Action.FORWARD:
            return await self._forward(text, classification)
        return await self._run_local(text, classification)

    async def _run_use(self, text: str) -> Outcome:
        match = _USE_STATEMENT.fullmatch(strip_comments(text).strip().rstrip(";").strip())
        if match is None:
            return Failure(Refusal(UNKNOWN_SERVICE, "the database's name is not a plain name"))
        used = await self.use(match[1] or match[2])
        return used.map(lambda _: QueryResult())

    async def _run_local(self, text: str, classification: Classification) -> Outcome:
        match classification.action:
            case Action.SET:
                return await self._run_set(text)
            case Action.LOCAL_SELECT:
                return self._select_variables(text)
            case Action.LAST_INSERT_ID:
                return self._select_last_insert_id()
            case Action.WARNINGS if self.is_in_transaction:
                return await self._execute(text, Classification(Action.FORWARD, StatementKind.READ))
            case Action.WARNINGS:
                return Success(QueryResult(columns=_WARNING_COLUMNS, rows=(_WARNING_ROW,)))
        return Failure(Failed(1065, "42000", "Query was empty"))

    def _select_variables(self, text: str) -> Outcome:
        columns: list[Column] = []
        values: list[str | int | None] = []
        for name, title in selected_variables(text):
            try:
                value = read_variable(self.session, self.settings, name)
            except KeyError:
                return Failure(Failed(1193, "HY000", f"Unknown system variable '{name}'"))
            columns.append(Column(title, _INTEGER if isinstance(value, int) else _TEXT))
            values.append(value)
        return Success(QueryResult(columns=tuple(columns), rows=(tuple(values),)))

    def _select_last_insert_id(self) -> Outcome:
        column = Column("LAST_INSERT_ID()", _INTEGER, flags=0x21)
        return Success(QueryResult(columns=(column,), rows=((self.settings.last_insert_id,),)))

    async def _run_set(self, text: str) -> Outcome:
        planned = plan_set(text)
        if not isinstance(planned, Success):
            return planned
        plan = planned.unwrap()
        for assignment in plan.product_assignments:
            applied = apply_product_setting(self.session, self.settings, assignment)
            if not isinstance(applied, Success):
                return applied
        if plan.autocommit is not None:
            return await self._set_autocommit(plan.autocommit)
        if plan.is_forwarded:
            return await self._execute(
                text, Classification(Action.FORWARD, StatementKind.SESSION_STATE)
            )
        return _EMPTY_SUCCESS

    async def _set_autocommit(self, is_autocommit: bool) -> Outcome:
        if is_autocommit and not self.settings.is_autocommit and self.is_in_transaction:
            committed = await self._commit()
            if not isinstance(committed, Success):
                return committed
        self.settings.is_autocommit = is_autocommit
        return _EMPTY_SUCCESS

    async def _commit(self) -> Outcome:
        return await self._execute("COMMIT", Classification(Action.FORWARD, StatementKind.COMMIT))

    async def _forward(self, text: str, classification: Classification) -> Outcome:
        kind = classification.kind
        if not self.is_in_transaction:
            if kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
                return _EMPTY_SUCCESS
            if classification.needs_transaction and self.settings.is_autocommit:
                detail = "the statement depends on earlier ones and needs a transaction"
                return Failure(Refusal(STATEMENT_NOT_SUPPORTED, detail))
            if not self.settings.is_autocommit and kind in _IMPLICIT_BEGIN_KINDS:
                begun = await self._gateway.execute(self.session, self._with_request_id(_BEGIN))
                if not isinstance(begun, Success):
                    return begun
        elif kind in (StatementKind.BEGIN, StatementKind.DDL):
            # MySQL commits implicitly here. An explicit COMMIT writes the ledger row and waits for
            # the confirmation.
            committed = await self._commit()
            if not isinstance(committed, Success):
                return committed
        return await self._execute(text, classification)

    def _with_request_id(self, statement: Statement) -> Statement:
        settings = self.settings
        return statement._replace(
            request_id=settings.request_id, is_idempotent=settings.is_idempotent
        )

    async def _execute(self, text: str, classification: Classification) -> Outcome:
        settings = self.settings
        kind = classification.kind
        statement = Statement(
            text, kind, settings.request_id, settings.is_idempotent, classification.is_locking_read
        )
        is_last_of_request = kind in (StatementKind.COMMIT, StatementKind.ROLLBACK) or (
            not self.is_in_transaction and kind in (StatementKind.WRITE, StatementKind.DDL)
        )
        result = await self._gateway.execute(self.session, statement)
        if is_last_of_request:
            # A request id identifies one request. If it were kept, the next write would be taken
            # for a retry of this one.
            settings.request_id = None
        if kind is StatementKind.WRITE and isinstance(result, Success):
            query_result = result.unwrap()
            if not query_result.columns and query_result.last_insert_id:
                settings.last_insert_id = query_result.last_insert_id
        return result
