"""Runs one caller's statements: decides what is answered here and what goes to the gateway."""

import asyncio
import re
from collections.abc import Callable

from returns.result import Failure, Result, Success

from pistachiowinch.base.codes import STATEMENT_NOT_SUPPORTED, UNKNOWN_SERVICE, Refusal
from pistachiowinch.links.targets import Column, Failed, QueryResult
from pistachiowinch.proxy.classify import Action, Treatment, classify, plain_text
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

# Reading a longer text takes milliseconds, so it happens outside the event loop.
LONG_TEXT_CHARS = 131_072

Outcome = Result[QueryResult, Refusal | Failed]

_INTEGER = 8
_TEXT = 253
_DONE = Success(QueryResult())
_USE = re.compile(r"USE\s+(?:`([^`]+)`|([\w$]+))", re.IGNORECASE)
_BEGIN = Statement("BEGIN", StatementKind.BEGIN)
_IN_TRANSACTION_KINDS = (StatementKind.READ, StatementKind.WRITE)
_WARNING_COLUMNS = (Column("Level", _TEXT), Column("Code", _INTEGER), Column("Message", _TEXT))
_WARNING_ROW = ("Note", 1235, "PW1007 warnings are shown only inside a transaction")


SessionObserver = Callable[[Session | None, Session | None], None]


def _ignore(previous: Session | None, current: Session | None) -> None:
    """Observe nothing."""


class StatementRunner:
    """The statements of one caller.

    :param gateway: runs what is not answered here.
    :param on_session: called with the previous and the new session at each change.
    """

    def __init__(self, gateway: Gateway, on_session: SessionObserver | None = None) -> None:
        """Start without a session."""
        self._gateway = gateway
        self._on_session = on_session or _ignore
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
        """Open a session of a caller whose key was checked.

        :param key_id: the key's id; empty on an open route.
        :param service: the service; the previous session ends only if the new one was opened.
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
        """Switch to another service, which is authorised anew.

        :param service: the service.
        """
        if self.session is not None and service == self.session.service:
            return Success(None)
        if self.is_in_transaction:
            detail = "the database cannot be changed inside a transaction"
            return Failure(Refusal(STATEMENT_NOT_SUPPORTED, detail))
        return await self.open(self.key_id, service)

    async def reset(self) -> None:
        """Roll back and forget settings and state."""
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
        """Take the product's variables from connection or query attributes.

        :param attributes: names and values; other names are ignored.
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
            treatment = classify(text)
        else:
            treatment = await asyncio.to_thread(classify, text)
        if treatment.is_plain_read and self.settings.is_autocommit and self.session is not None:
            # The usual case, without the steps that only writes and transactions need.
            settings = self.settings
            statement = Statement(
                text, StatementKind.READ, settings.request_id, settings.is_idempotent
            )
            return await self._gateway.execute(self.session, statement)
        if treatment.action is Action.REFUSE:
            return Failure(Refusal(STATEMENT_NOT_SUPPORTED, treatment.reason))
        if treatment.action is Action.USE:
            return await self._run_use(text)
        if self.session is None:
            return Failure(Refusal(UNKNOWN_SERVICE, "no database is selected"))
        if treatment.action is Action.FORWARD:
            return await self._forward(text, treatment)
        return await self._run_local(text, treatment)

    async def _run_use(self, text: str) -> Outcome:
        found = _USE.fullmatch(plain_text(text).strip().rstrip(";").strip())
        if found is None:
            return Failure(Refusal(UNKNOWN_SERVICE, "the database's name is not a plain name"))
        used = await self.use(found[1] or found[2])
        return used.map(lambda _: QueryResult())

    async def _run_local(self, text: str, treatment: Treatment) -> Outcome:
        match treatment.action:
            case Action.SET:
                return await self._run_set(text)
            case Action.LOCAL_SELECT:
                return self._select_variables(text)
            case Action.LAST_INSERT_ID:
                return self._select_last_insert_id()
            case Action.WARNINGS if self.is_in_transaction:
                return await self._execute(text, Treatment(Action.FORWARD, StatementKind.READ))
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
        for assignment in plan.product:
            applied = apply_product_setting(self.session, self.settings, assignment)
            if not isinstance(applied, Success):
                return applied
        if plan.autocommit is not None:
            return await self._set_autocommit(plan.autocommit)
        if plan.is_forwarded:
            return await self._execute(text, Treatment(Action.FORWARD, StatementKind.SESSION_STATE))
        return _DONE

    async def _set_autocommit(self, is_autocommit: bool) -> Outcome:
        if is_autocommit and not self.settings.is_autocommit and self.is_in_transaction:
            committed = await self._commit()
            if not isinstance(committed, Success):
                return committed
        self.settings.is_autocommit = is_autocommit
        return _DONE

    async def _commit(self) -> Outcome:
        return await self._execute("COMMIT", Treatment(Action.FORWARD, StatementKind.COMMIT))

    async def _forward(self, text: str, treatment: Treatment) -> Outcome:
        kind = treatment.kind
        if not self.is_in_transaction:
            if kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
                return _DONE
            if treatment.needs_transaction and self.settings.is_autocommit:
                detail = "the statement depends on earlier ones and needs a transaction"
                return Failure(Refusal(STATEMENT_NOT_SUPPORTED, detail))
            if not self.settings.is_autocommit and kind in _IN_TRANSACTION_KINDS:
                begun = await self._gateway.execute(self.session, self._with_id(_BEGIN))
                if not isinstance(begun, Success):
                    return begun
        elif kind in (StatementKind.BEGIN, StatementKind.DDL):
            # MySQL commits implicitly here; an explicit COMMIT gets its ledger row and its
            # confirmation.
            committed = await self._commit()
            if not isinstance(committed, Success):
                return committed
        return await self._execute(text, treatment)

    def _with_id(self, statement: Statement) -> Statement:
        settings = self.settings
        return statement._replace(
            request_id=settings.request_id, is_idempotent=settings.is_idempotent
        )

    async def _execute(self, text: str, treatment: Treatment) -> Outcome:
        settings = self.settings
        kind = treatment.kind
        statement = Statement(
            text, kind, settings.request_id, settings.is_idempotent, treatment.is_locking_read
        )
        is_last_of_request = kind in (StatementKind.COMMIT, StatementKind.ROLLBACK) or (
            not self.is_in_transaction and kind in (StatementKind.WRITE, StatementKind.DDL)
        )
        result = await self._gateway.execute(self.session, statement)
        if is_last_of_request:
            # An id names one request. Keeping it would let the next write pass for a repetition.
            settings.request_id = None
        if kind is StatementKind.WRITE and isinstance(result, Success):
            answer = result.unwrap()
            if not answer.columns and answer.last_insert_id:
                settings.last_insert_id = answer.last_insert_id
        return result
