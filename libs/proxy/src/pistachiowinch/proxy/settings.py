"""Variables of a caller's session that the product defines or keeps."""

import re
from collections.abc import Callable, Mapping
from typing import NamedTuple

from returns.result import Failure, Result, Success

from pistachiowinch.base.codes import BAD_SESSION_SETTING, STATEMENT_NOT_SUPPORTED, Refusal
from pistachiowinch.proxy.classify import Action, classify, plain_text
from pistachiowinch.routing.session import MAX_SESSION_NAME_CHARS, Session
from pistachiowinch.routing.statements import StatementKind

__all__ = [
    "MAX_REQUEST_ID_CHARS",
    "Assignment",
    "CallerSettings",
    "SetPlan",
    "apply_product_setting",
    "plan_set",
    "read_variable",
    "selected_variables",
]

MAX_REQUEST_ID_CHARS = 64
MAX_SET_CHARS = 16_384

_PREFIX = "pistachiowinch_"
_REQUEST_ID = re.compile(rf"[\w.:@+/=-]{{0,{MAX_REQUEST_ID_CHARS}}}", re.ASCII)
_LITERAL = re.compile(r"""'((?:[^'\\]|'')*)'|"((?:[^"\\]|"")*)"|([\w.+-]+)""")
_ASSIGNMENT = re.compile(
    r"""(?:(?P<word>GLOBAL|SESSION|LOCAL|PERSIST|PERSIST_ONLY)\s+)?
        (?:@@(?:(?P<scope>GLOBAL|SESSION|LOCAL|PERSIST|PERSIST_ONLY)\.)?)?
        (?P<name>@?`?[\w$.]+`?)\s*(?::=|=)\s*(?P<value>.+)""",
    re.VERBOSE | re.IGNORECASE | re.DOTALL,
)
_VARIABLE = re.compile(r"@@(?:session\.|local\.)?(\w+)(?:\s+as\s+(\w+))?", re.IGNORECASE)
_TRUE_WORDS = frozenset({"1", "on", "true"})
_FALSE_WORDS = frozenset({"0", "off", "false"})
# The product talks UTF-8 with targets and callers and converts no character sets.
_SUPPORTED_CHARSETS = frozenset({"utf8", "utf8mb3", "utf8mb4", "default", "null"})
_CHARSET_VARIABLES = frozenset(
    {"character_set_client", "character_set_connection", "character_set_results"}
)
# They change the log or, for the password, the product's own account at the target.
_REFUSED_VARIABLES = frozenset(
    {"sql_log_bin", "sql_log_off", "gtid_next", "binlog_format", "password"}
)
# They concern the caller's own connection. Forwarding them would pin a target's connection to each
# caller whose driver sets them.
_OWN_VARIABLES = frozenset(
    {"wait_timeout", "interactive_timeout", "net_read_timeout", "net_write_timeout"}
)
# Drivers and frameworks set these to MySQL's default at each connection.
_DEFAULT_VALUES = {"sql_auto_is_null": _FALSE_WORDS}
# They change where strings and names end, which the classification relies on.
_REFUSED_MODES = ("ANSI", "NO_BACKSLASH_ESCAPES", "ORACLE", "DB2", "MSSQL", "MAXDB", "POSTGRESQL")


class CallerSettings:
    """Settings of one caller that the gateway's session does not hold."""

    def __init__(self) -> None:
        """Start with MySQL's defaults."""
        self.is_autocommit = True
        self.request_id: str | None = None
        self.is_idempotent = False
        self.last_insert_id = 0


class Assignment(NamedTuple):
    """One variable and its new value."""

    name: str
    value: str


class SetPlan(NamedTuple):
    """What a SET statement does.

    :param product: product's variables.
    :param autocommit: new autocommit mode, None if not set.
    :param is_forwarded: whether the target has to run the statement.
    """

    product: tuple[Assignment, ...] = ()
    autocommit: bool | None = None
    is_forwarded: bool = False


def _bad(detail: str) -> Result:
    return Failure(Refusal(BAD_SESSION_SETTING, detail))


def _unsupported(detail: str) -> Result:
    return Failure(Refusal(STATEMENT_NOT_SUPPORTED, detail))


def _literal(text: str) -> str | None:
    found = _LITERAL.fullmatch(text.strip())
    if found is None:
        return None
    if found[1] is not None:
        return found[1].replace("''", "'")
    if found[2] is not None:
        return found[2].replace('""', '"')
    return found[3]


def _switch(value: str) -> bool | None:
    word = value.lower()
    if word in _TRUE_WORDS:
        return True
    return False if word in _FALSE_WORDS else None


def _set_token(session: Session, settings: CallerSettings, value: str) -> Result[None, Refusal]:
    return session.set_token(value)


def _set_staleness(session: Session, settings: CallerSettings, value: str) -> Result[None, Refusal]:
    if not re.fullmatch(r"\d{1,9}", value):
        return _bad("pistachiowinch_max_staleness_ms must be a number of milliseconds")
    return session.set_max_staleness_ms(int(value))


def _set_request_id(
    session: Session, settings: CallerSettings, value: str
) -> Result[None, Refusal]:
    if not _REQUEST_ID.fullmatch(value):
        limit = f"at most {MAX_REQUEST_ID_CHARS} letters, digits or _.:@+/=-"
        return _bad(f"pistachiowinch_request_id must be {limit}")
    settings.request_id = value or None
    return Success(None)


def _set_idempotent(
    session: Session, settings: CallerSettings, value: str
) -> Result[None, Refusal]:
    is_idempotent = _switch(value)
    if is_idempotent is None:
        return _bad("pistachiowinch_idempotent must be 0 or 1")
    settings.is_idempotent = is_idempotent
    return Success(None)


def _set_name(session: Session, settings: CallerSettings, value: str) -> Result[None, Refusal]:
    if len(value) > MAX_SESSION_NAME_CHARS or not value.isprintable():
        limit = f"at most {MAX_SESSION_NAME_CHARS} printable characters"
        return _bad(f"pistachiowinch_session must be {limit}")
    session.name = value or None
    return Success(None)


_Setter = Callable[[Session, CallerSettings, str], Result[None, Refusal]]
_SETTERS: Mapping[str, _Setter] = {
    "pistachiowinch_token": _set_token,
    "pistachiowinch_max_staleness_ms": _set_staleness,
    "pistachiowinch_request_id": _set_request_id,
    "pistachiowinch_idempotent": _set_idempotent,
    "pistachiowinch_session": _set_name,
}


def apply_product_setting(
    session: Session, settings: CallerSettings, assignment: Assignment
) -> Result[None, Refusal]:
    """Set one of the product's variables.

    :param session: the gateway's session.
    :param settings: the callers' side's settings.
    :param assignment: variable and value.
    :returns: :data:`BAD_SESSION_SETTING` or :data:`BAD_TOKEN` if the value is not allowed.
    """
    setter = _SETTERS.get(assignment.name.lower())
    if setter is None:
        return _bad(f"there is no variable {assignment.name[:64]}")
    return setter(session, settings, assignment.value)


def read_variable(session: Session, settings: CallerSettings, name: str) -> str | int | None:
    """Return the value of a variable that the callers' side keeps.

    :param session: the gateway's session.
    :param settings: the callers' side's settings.
    :param name: the variable's name in lower case.
    :raises KeyError: if there is no such variable.
    """
    values: dict[str, str | int | None] = {
        "pistachiowinch_token": session.token_text,
        "pistachiowinch_max_staleness_ms": session.max_staleness_ms or 0,
        "pistachiowinch_request_id": settings.request_id or "",
        "pistachiowinch_idempotent": int(settings.is_idempotent),
        "pistachiowinch_session": session.name or "",
        "autocommit": int(settings.is_autocommit),
    }
    return values[name]


def selected_variables(text: str) -> list[tuple[str, str]]:
    """List the variables of a SELECT that the callers' side answers.

    :param text: a statement with the action ``LOCAL_SELECT``.
    :returns: names in lower case with the column titles.
    """
    found = _VARIABLE.finditer(plain_text(text))
    return [(match[1].lower(), match[2] or match[0].split()[0]) for match in found]


def _split_assignments(text: str) -> list[str]:
    parts: list[str] = []
    depth = 0
    start = 0
    quote = ""
    index = 0
    while index < len(text):
        char = text[index]
        if quote:
            if char == "\\" and quote != "`":
                index += 1
            elif char == quote:
                quote = ""
        elif char in "'\"`":
            quote = char
        elif char in "()":
            depth += 1 if char == "(" else -1
        elif char == "," and depth == 0:
            parts.append(text[start:index])
            start = index + 1
        index += 1
    return [*parts, text[start:]]


def plan_set(text: str) -> Result[SetPlan, Refusal]:
    """Decide what a SET statement does.

    :param text: the statement.
    :returns: the plan, or why the statement is refused.
    """
    if len(text) > MAX_SET_CHARS:
        return _unsupported(f"SET is limited to {MAX_SET_CHARS} characters")
    body = plain_text(text).strip().rstrip(";").strip()[len("SET") :].strip()
    upper = " ".join(body.upper().split())
    charset = re.match(r"(?:NAMES|CHARACTER SET|CHARSET) (\S+)(?: COLLATE (\S+))?$", upper)
    if charset:
        return _plan_charset(charset[1])
    if re.match(r"(?:(?:SESSION|LOCAL) )?TRANSACTION (?:ISOLATION|READ)\b", upper):
        return Success(SetPlan(is_forwarded=True))
    plan = SetPlan()
    for part in _split_assignments(body):
        match _plan_assignment(part.strip()):
            case Success(step):
                plan = SetPlan(
                    plan.product + step.product,
                    plan.autocommit if step.autocommit is None else step.autocommit,
                    plan.is_forwarded or step.is_forwarded,
                )
            case failure:
                return failure
    if plan.is_forwarded and (plan.product or plan.autocommit is not None):
        return _unsupported("set autocommit and product variables in a statement of their own")
    return Success(plan)


def _plan_charset(name: str) -> Result[SetPlan, Refusal]:
    if (_literal(name) or "").lower() in _SUPPORTED_CHARSETS:
        return Success(SetPlan())
    return _unsupported("only the character sets utf8 and utf8mb4 are supported")


def _plan_assignment(part: str) -> Result[SetPlan, Refusal]:
    found = _ASSIGNMENT.fullmatch(part)
    if found is None:
        return _unsupported("this form of SET is not supported")
    scope = (found["word"] or found["scope"] or "SESSION").upper()
    if scope not in ("SESSION", "LOCAL"):
        return _unsupported(f"SET {scope} is not supported")
    name = found["name"].replace("`", "").lower()
    value = found["value"].strip()
    if name.startswith(_PREFIX):
        return _plan_product(name, value)
    if name.startswith("@"):
        return _plan_forwarded(value)
    return _plan_system(name, value)


def _plan_product(name: str, value: str) -> Result[SetPlan, Refusal]:
    literal = _literal(value)
    if literal is None:
        return _bad(f"{name[:64]} must be set to a constant without backslashes")
    return Success(SetPlan(product=(Assignment(name, literal),)))


def _plan_system(name: str, value: str) -> Result[SetPlan, Refusal]:
    if name == "autocommit":
        mode = _switch(_literal(value) or "")
        if mode is None:
            return _bad("autocommit must be 0 or 1")
        return Success(SetPlan(autocommit=mode))
    if name in _CHARSET_VARIABLES:
        return _plan_charset(value)
    if name in _REFUSED_VARIABLES or name.startswith("pseudo_"):
        return _unsupported(f"{name} must not be changed")
    literal = (_literal(value) or "").lower()
    if name in _OWN_VARIABLES and re.fullmatch(r"\d{1,9}|default", literal):
        return Success(SetPlan())
    if literal in _DEFAULT_VALUES.get(name, ()):
        return Success(SetPlan())
    if name == "sql_mode":
        mode_text = _literal(value)
        if mode_text is None or any(mode in mode_text.upper() for mode in _REFUSED_MODES):
            return _unsupported("sql_mode must be a constant that keeps the meaning of quotes")
    return _plan_forwarded(value)


def _plan_forwarded(value: str) -> Result[SetPlan, Refusal]:
    treatment = classify(f"SELECT {value}")
    is_read = treatment.kind in (StatementKind.READ, StatementKind.SESSION_STATE)
    is_plain = re.fullmatch(r"[\w.+-]+", value) is not None
    if is_plain or (treatment.action is Action.FORWARD and is_read):
        return Success(SetPlan(is_forwarded=True))
    return _unsupported("a variable must be set to a value that is only read")
