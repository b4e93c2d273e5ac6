"""Session variables of a caller that the proxy defines or tracks, and SET statements."""

import re
from collections.abc import Callable, Mapping
from typing import NamedTuple

from returns.result import Failure, Result, Success

from pistachiowinch.base.codes import BAD_SESSION_SETTING, STATEMENT_NOT_SUPPORTED, Refusal
from pistachiowinch.proxy.classify import Action, classify, strip_comments
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
# The proxy uses UTF-8 with targets and callers and converts no character sets.
_SUPPORTED_CHARSETS = frozenset({"utf8", "utf8mb3", "utf8mb4", "default", "null"})
_CHARSET_VARIABLES = frozenset(
    {"character_set_client", "character_set_connection", "character_set_results"}
)
# These change the log or, for the password, the proxy's account at the target.
_REFUSED_VARIABLES = frozenset(
    {"sql_log_bin", "sql_log_off", "gtid_next", "binlog_format", "password"}
)
# These concern only the caller's connection to the proxy. Forwarding them would pin a connection to
# the target for each caller whose driver sets them.
_CALLER_TIMEOUT_VARIABLES = frozenset(
    {"wait_timeout", "interactive_timeout", "net_read_timeout", "net_write_timeout"}
)
# Drivers and frameworks set these to MySQL's default at each connect, which needs no forwarding.
_IGNORED_DEFAULTS = {"sql_auto_is_null": _FALSE_WORDS}
# These change where strings and names end, which the classification relies on.
_REFUSED_MODES = ("ANSI", "NO_BACKSLASH_ESCAPES", "ORACLE", "DB2", "MSSQL", "MAXDB", "POSTGRESQL")


class CallerSettings:
    """Settings of a caller that are not part of the gateway's session."""

    def __init__(self) -> None:
        """Set MySQL's defaults."""
        self.is_autocommit = True
        self.request_id: str | None = None
        self.is_idempotent = False
        self.last_insert_id = 0


class Assignment(NamedTuple):
    """A variable and its new value."""

    name: str
    value: str


class SetPlan(NamedTuple):
    """What a SET statement does.

    :param product_assignments: product variables and their new values.
    :param autocommit: new autocommit mode, None if not set.
    :param is_forwarded: whether the target has to run the statement.
    """

    product_assignments: tuple[Assignment, ...] = ()
    autocommit: bool | None = None
    is_forwarded: bool = False


def _bad_setting(detail: str) -> Result:
    return Failure(Refusal(BAD_SESSION_SETTING, detail))


def _unsupported(detail: str) -> Result:
    return Failure(Refusal(STATEMENT_NOT_SUPPORTED, detail))


def _parse_literal(text: str) -> str | None:
    match = _LITERAL.fullmatch(text.strip())
    if match is None:
        return None
    if match[1] is not None:
        return match[1].replace("''", "'")
    if match[2] is not None:
        return match[2].replace('""', '"')
    return match[3]


def _parse_boolean(value: str) -> bool | None:
    word = value.lower()
    if word in _TRUE_WORDS:
        return True
    return False if word in _FALSE_WORDS else None


def _set_token(session: Session, settings: CallerSettings, value: str) -> Result[None, Refusal]:
    return session.set_token(value)


def _set_max_staleness(
    session: Session, settings: CallerSettings, value: str
) -> Result[None, Refusal]:
    if not re.fullmatch(r"\d{1,9}", value):
        return _bad_setting("pistachiowinch_max_staleness_ms must be a number of milliseconds")
    return session.set_max_staleness_ms(int(value))


def _set_request_id(
    session: Session, settings: CallerSettings, value: str
) -> Result[None, Refusal]:
    if not _REQUEST_ID.fullmatch(value):
        limit = f"at most {MAX_REQUEST_ID_CHARS} letters, digits or _.:@+/=-"
        return _bad_setting(f"pistachiowinch_request_id must be {limit}")
    settings.request_id = value or None
    return Success(None)


def _set_idempotent(
    session: Session, settings: CallerSettings, value: str
) -> Result[None, Refusal]:
    is_idempotent = _parse_boolean(value)
    if is_idempotent is None:
        return _bad_setting("pistachiowinch_idempotent must be 0 or 1")
    settings.is_idempotent = is_idempotent
    return Success(None)


def _set_session_name(
    session: Session, settings: CallerSettings, value: str
) -> Result[None, Refusal]:
    if len(value) > MAX_SESSION_NAME_CHARS or not value.isprintable():
        limit = f"at most {MAX_SESSION_NAME_CHARS} printable characters"
        return _bad_setting(f"pistachiowinch_session must be {limit}")
    session.name = value or None
    return Success(None)


_Setter = Callable[[Session, CallerSettings, str], Result[None, Refusal]]
_SETTERS: Mapping[str, _Setter] = {
    "pistachiowinch_token": _set_token,
    "pistachiowinch_max_staleness_ms": _set_max_staleness,
    "pistachiowinch_request_id": _set_request_id,
    "pistachiowinch_idempotent": _set_idempotent,
    "pistachiowinch_session": _set_session_name,
}


def apply_product_setting(
    session: Session, settings: CallerSettings, assignment: Assignment
) -> Result[None, Refusal]:
    """Set a product variable.

    :param session: the gateway's session.
    :param settings: the caller's settings in the proxy.
    :param assignment: variable and value.
    :returns: :data:`BAD_SESSION_SETTING` or :data:`BAD_TOKEN` if the value is not allowed.
    """
    setter = _SETTERS.get(assignment.name.lower())
    if setter is None:
        return _bad_setting(f"there is no variable {assignment.name[:64]}")
    return setter(session, settings, assignment.value)


def read_variable(session: Session, settings: CallerSettings, name: str) -> str | int | None:
    """Return the value of a variable that the proxy tracks.

    :param session: the gateway's session.
    :param settings: the caller's settings in the proxy.
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
    """List the variables of a SELECT that the proxy executes itself.

    :param text: a statement with the action ``LOCAL_SELECT``.
    :returns: pairs of the name in lower case and the column title.
    """
    matches = _VARIABLE.finditer(strip_comments(text))
    return [(match[1].lower(), match[2] or match[0].split()[0]) for match in matches]


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
    """Plan the execution of a SET statement.

    :param text: the statement.
    :returns: the plan, or why the statement is refused.
    """
    if len(text) > MAX_SET_CHARS:
        return _unsupported(f"SET is limited to {MAX_SET_CHARS} characters")
    body = strip_comments(text).strip().rstrip(";").strip()[len("SET") :].strip()
    upper = " ".join(body.upper().split())
    charset = re.match(r"(?:NAMES|CHARACTER SET|CHARSET) (\S+)(?: COLLATE (\S+))?$", upper)
    if charset:
        return _plan_charset(charset[1])
    if re.match(r"(?:(?:SESSION|LOCAL) )?TRANSACTION (?:ISOLATION|READ)\b", upper):
        return Success(SetPlan(is_forwarded=True))
    plan = SetPlan()
    for part in _split_assignments(body):
        match _plan_assignment(part.strip()):
            case Success(part_plan):
                plan = SetPlan(
                    plan.product_assignments + part_plan.product_assignments,
                    plan.autocommit if part_plan.autocommit is None else part_plan.autocommit,
                    plan.is_forwarded or part_plan.is_forwarded,
                )
            case failure:
                return failure
    if plan.is_forwarded and (plan.product_assignments or plan.autocommit is not None):
        return _unsupported("set autocommit and product variables in a statement of their own")
    return Success(plan)


def _plan_charset(name: str) -> Result[SetPlan, Refusal]:
    if (_parse_literal(name) or "").lower() in _SUPPORTED_CHARSETS:
        return Success(SetPlan())
    return _unsupported("only the character sets utf8 and utf8mb4 are supported")


def _plan_assignment(part: str) -> Result[SetPlan, Refusal]:
    match = _ASSIGNMENT.fullmatch(part)
    if match is None:
        return _unsupported("this form of SET is not supported")
    scope = (match["word"] or match["scope"] or "SESSION").upper()
    if scope not in ("SESSION", "LOCAL"):
        return _unsupported(f"SET {scope} is not supported")
    name = match["name"].replace("`", "").lower()
    value = match["value"].strip()
    if name.startswith(_PREFIX):
        return _plan_product_variable(name, value)
    if name.startswith("@"):
        return _plan_forwarded_variable(value)
    return _plan_system_variable(name, value)


def _plan_product_variable(name: str, value: str) -> Result[SetPlan, Refusal]:
    literal = _parse_literal(value)
    if literal is None:
        return _bad_setting(f"{name[:64]} must be set to a constant without backslashes")
    return Success(SetPlan(product_assignments=(Assignment(name, literal),)))


def _plan_system_variable(name: str, value: str) -> Result[SetPlan, Refusal]:
    if name == "autocommit":
        mode = _parse_boolean(_parse_literal(value) or "")
        if mode is None:
            return _bad_setting("autocommit must be 0 or 1")
        return Success(SetPlan(autocommit=mode))
    if name in _CHARSET_VARIABLES:
        return _plan_charset(value)
    if name in _REFUSED_VARIABLES or name.startswith("pseudo_"):
        return _unsupported(f"{name} must not be changed")
    literal = (_parse_literal(value) or "").lower()
    if name in _CALLER_TIMEOUT_VARIABLES and re.fullmatch(r"\d{1,9}|default", literal):
        return Success(SetPlan())
    if literal in _IGNORED_DEFAULTS.get(name, ()):
        return Success(SetPlan())
    if name == "sql_mode":
        mode_text = _parse_literal(value)
        if mode_text is None or any(mode in mode_text.upper() for mode in _REFUSED_MODES):
            return _unsupported("sql_mode must be a constant that keeps the meaning of quotes")
    return _plan_forwarded_variable(value)


def _plan_forwarded_variable(value: str) -> Result[SetPlan, Refusal]:
    classification = classify(f"SELECT {value}")
    is_read = classification.kind in (StatementKind.READ, StatementKind.SESSION_STATE)
    is_plain = re.fullmatch(r"[\w.+-]+", value) is not None
    if is_plain or (classification.action is Action.FORWARD and is_read):
        return Success(SetPlan(is_forwarded=True))
    return _unsupported("a variable must be set to a value that is only read")
