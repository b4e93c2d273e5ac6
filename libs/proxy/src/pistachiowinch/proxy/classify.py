"""Reads just enough of a statement to route it.

A statement is reduced to its shape: strings are emptied, numbers replaced and comments removed as
MySQL's own lexer would do it. The shape decides how the statement is treated, and the decision is
kept for each shape. What cannot be told to be a read is a write. What would leave state on a
connection pins it or is refused.
"""

import enum
import functools
import re
from typing import NamedTuple

import sqlglot
from sqlglot.tokens import Token, TokenType

from pistachiowinch.proxy.functions import READ_FUNCTIONS, STRICT_SPACING_FUNCTIONS
from pistachiowinch.routing.statements import StatementKind

__all__ = [
    "MAX_CACHED_CHARS",
    "MAX_READ_CHARS",
    "Action",
    "Treatment",
    "classify",
    "placeholder_offsets",
    "plain_text",
    "statement_shape",
]

# Longer texts are rarely repeated; keeping them would only cost memory.
MAX_CACHED_CHARS = 1024
# Longer shapes take milliseconds to read, which all callers of the process would wait for.
MAX_READ_CHARS = 16_384
_CACHED_TEXTS = 4096
_CACHED_SHAPES = 4096

_RESERVED_PREFIX = "PISTACHIOWINCH_"

_LEXER = re.compile(
    r"""
      (?P<string> '(?:[^'\\]++|\\.|'')*+' | "(?:[^"\\]++|\\.|"")*+" )
    | (?P<name> `(?:[^`]++|``)*+` )
    | (?P<executable> /\*(?:!|M!) )
    | (?P<comment> /\*(?!!|M!).*?\*/ | --(?=[\s\x00-\x1f]|\Z)[^\n]* | \#[^\n]* )
    | (?P<minus> -- )
    | (?P<open> ['"`] | /\* )
    | (?P<number> (?<![\w$@.])\d+(?:\.\d+)?(?![\w$]) )
    """,
    re.VERBOSE | re.DOTALL,
)
# Lists of constants, as in IN (...) and in inserts of many rows, count as one constant.
_CONSTANT_LIST = re.compile(r"\((?:[\s,1']|NULL\b|DEFAULT\b)*+\)", re.IGNORECASE)
_REPEATED_LIST = re.compile(r"\(1\)(?:\s*+,\s*+\(1\))++")
_NAME = re.compile(r"`(?:[^`]++|``)*+`")
_FIRST_WORD = re.compile(r"[\s(]*([A-Za-z]+)")


def _names(text: str) -> frozenset[str]:
    return frozenset(text.split())


class Action(enum.Enum):
    """What the callers' side does with a statement."""

    FORWARD = "forward"
    REFUSE = "refuse"
    SET = "set"
    USE = "use"
    LOCAL_SELECT = "local_select"
    LAST_INSERT_ID = "last_insert_id"
    WARNINGS = "warnings"
    EMPTY = "empty"


class Treatment(NamedTuple):
    """How a statement is treated.

    :param action: what the callers' side does.
    :param kind: routing class of a forwarded statement.
    :param is_locking_read: a read that takes locks.
    :param needs_transaction: forwarded only while a transaction is open, because its result
        depends on the connection.
    :param reason: why a statement is refused.
    :param is_plain_read: a forwarded read without any special rule.
    """

    action: Action
    kind: StatementKind = StatementKind.WRITE
    is_locking_read: bool = False
    needs_transaction: bool = False
    reason: str = ""
    is_plain_read: bool = False


class _Unsafe(Exception):
    """The text hides statements from the lexer."""


_READ = Treatment(Action.FORWARD, StatementKind.READ, is_plain_read=True)
_LOCKING_READ = Treatment(Action.FORWARD, StatementKind.READ, is_locking_read=True)
_WRITE = Treatment(Action.FORWARD, StatementKind.WRITE)
_DDL = Treatment(Action.FORWARD, StatementKind.DDL)
_STATE = Treatment(Action.FORWARD, StatementKind.SESSION_STATE)
_BEGIN = Treatment(Action.FORWARD, StatementKind.BEGIN)
_COMMIT = Treatment(Action.FORWARD, StatementKind.COMMIT)
_ROLLBACK = Treatment(Action.FORWARD, StatementKind.ROLLBACK)
_CONNECTION_READ = Treatment(Action.FORWARD, StatementKind.READ, needs_transaction=True)
_SAVEPOINT = Treatment(Action.FORWARD, StatementKind.READ, needs_transaction=True)


def _refuse(reason: str) -> Treatment:
    return Treatment(Action.REFUSE, reason=reason)


def _replace_list(found: re.Match[str]) -> str:
    has_constant = "1" in found[0] or "'" in found[0] or found[0].strip("( )\n\t")
    return "(1)" if has_constant else "()"


def _replace(found: re.Match[str]) -> str:
    kind = found.lastgroup
    if kind == "string":
        return "''"
    if kind == "number":
        return "1"
    if kind == "name":
        return found[0]
    if kind == "comment":
        return " "
    if kind == "minus":
        # MySQL reads two minus signs without a following space as two operators.
        return "- -"
    if kind == "executable":
        raise _Unsafe("comments that the target may execute are not supported")
    raise _Unsafe("a string, a name or a comment is not closed")


def statement_shape(text: str) -> str:
    """Return a statement without comments and without its constants.

    :param text: the statement.
    :raises ValueError: if the text hides parts from the lexer.
    """
    try:
        shape = _LEXER.sub(_replace, text).strip().rstrip(";").rstrip()
    except _Unsafe as error:
        raise ValueError(str(error)) from error
    return _REPEATED_LIST.sub("(1)", _CONSTANT_LIST.sub(_replace_list, shape))


def _replace_comment(found: re.Match[str]) -> str:
    kept = found.lastgroup in ("string", "number", "name")
    return found[0] if kept else _replace(found)


def plain_text(text: str) -> str:
    """Return a statement without comments.

    :param text: a statement that has a shape.
    :raises ValueError: if the text hides parts from the lexer.
    """
    try:
        return _LEXER.sub(_replace_comment, text)
    except _Unsafe as error:
        raise ValueError(str(error)) from error


def placeholder_offsets(text: str) -> list[int]:
    """Return where a statement has question marks outside strings, names and comments.

    :param text: a statement that has a shape.
    :raises ValueError: if the text hides parts from the lexer.
    """
    statement_shape(text)
    masked = _LEXER.sub(lambda found: " " * len(found[0]), text)
    return [found.start() for found in re.finditer(r"\?", masked)]


def classify(text: str) -> Treatment:
    """Decide how a statement is treated.

    :param text: the statement as the caller sent it.
    """
    if len(text) <= MAX_CACHED_CHARS:
        return _classify_text(text)
    return _classify_uncached(text)


def _classify_uncached(text: str) -> Treatment:
    try:
        shape = statement_shape(text)
    except ValueError as error:
        return _refuse(str(error))
    if len(shape) <= MAX_CACHED_CHARS:
        return _classify_shape(shape)
    return _decide(shape)


_classify_text = functools.lru_cache(maxsize=_CACHED_TEXTS)(_classify_uncached)


def _decide(shape: str) -> Treatment:
    if not shape:
        return Treatment(Action.EMPTY)
    found = _FIRST_WORD.match(shape)
    if found is None:
        return _refuse("the statement has no keyword")
    word = found[1].upper()
    upper = shape.upper()
    if word != "CREATE" and ";" in _without_names(shape):
        return _refuse("several statements in one text are not supported")
    if word not in ("SET", "SELECT") and _RESERVED_PREFIX in upper:
        return _refuse("names that start with pistachiowinch_ are reserved")
    if _FOREIGN_DATA.search(upper):
        return _refuse("data about accounts and other callers is not shown")
    if word in _REFUSED_WORDS:
        return _refuse(f"{word} is not supported")
    if word in _BY_WORD:
        return _BY_WORD[word](shape, " ".join(upper.split()))
    if len(shape) > MAX_READ_CHARS and word in _QUERY_WORDS | _CHANGE_WORDS:
        return _decide_long(upper)
    if word in _QUERY_WORDS:
        return _decide_query(word, shape)
    if word in _CHANGE_WORDS:
        return _decide_change(shape)
    if word in _DDL_WORDS:
        return _DDL
    return _WRITE


_classify_shape = functools.lru_cache(maxsize=_CACHED_SHAPES)(_decide)


def _decide_long(upper: str) -> Treatment:
    """Treat a statement that is too long to be read as a write without state."""
    if _STATE_MARKS.search(upper):
        return _refuse("a long statement must not use state of the connection")
    return _WRITE


def _without_names(shape: str) -> str:
    return _NAME.sub("``", shape)


# The product's account may read them, but they show accounts and statements of other customers.
_FOREIGN_DATA = re.compile(
    r"\b(?:MYSQL|PERFORMANCE_SCHEMA|SYS)\b`?\s*\.|\bINFORMATION_SCHEMA\b`?\s*\.\s*`?PROCESSLIST\b"
    r"|^SHOW\s+(?:FULL\s+)?(?:PROCESSLIST|GRANTS|CREATE\s+USER|PROFILE|ENGINE\s|BINLOG|BINARY|MASTER"
    r"|RELAYLOG|REPLICA|SLAVE)|^(?:EXPLAIN|DESC|DESCRIBE)\s.*\bFOR\s+CONNECTION\b"
)

# Statements with rights that the product's own account may hold but no caller has, statements that
# hide other statements, and statements that leave state which cannot be undone.
_REFUSED_WORDS = _names("""
    BINLOG CACHE CALL CHANGE CLONE DEALLOCATE EXECUTE FLUSH GRANT HANDLER IMPORT INSTALL
    KILL LOAD LOCK PREPARE PURGE RESET RESIGNAL RESTART REVOKE SHUTDOWN SIGNAL STOP
    UNINSTALL UNLOCK XA DELIMITER GET
    """)
_QUERY_WORDS = _names("""
    SELECT WITH VALUES TABLE DO
    """)
_CHANGE_WORDS = _names("""
    INSERT UPDATE DELETE REPLACE
    """)
_DDL_WORDS = _names("""
    TRUNCATE RENAME ANALYZE OPTIMIZE REPAIR CHECK CHECKSUM
    """)

_STATE_FUNCTIONS = _names("""
    GET_LOCK RELEASE_LOCK RELEASE_ALL_LOCKS
    """)
_CONNECTION_FUNCTIONS = _names("""
    LAST_INSERT_ID FOUND_ROWS ROW_COUNT CONNECTION_ID
    """)
_CONNECTION_VARIABLES = _names("""
    LAST_INSERT_ID IDENTITY INSERT_ID WARNING_COUNT ERROR_COUNT
    """)
# State functions are found separately.
_STATE_MARKS = re.compile(rf"@|:=|\b(?:{'|'.join(_STATE_FUNCTIONS | _CONNECTION_FUNCTIONS)})\b")
_HARMLESS_FUNCTIONS = READ_FUNCTIONS | _STATE_FUNCTIONS
# Words that stand before a parenthesis without being a function's name.
_PLAIN_WORDS = _names("""
    ALL AND ANY AS BETWEEN BY CASE CROSS DISTINCT DIV ELSE EXCEPT EXISTS FOR FORCE FROM
    HAVING IGNORE IN INDEX INNER INTERSECT INTERVAL IS JOIN KEY LATERAL LEFT LIKE LIMIT MOD
    NATURAL NOT OFFSET ON OR OUTER OVER PARTITION RECURSIVE REGEXP RIGHT RLIKE SELECT SET
    SOME THEN UNION USE USING VALUES WHEN WHERE WINDOW WITH XOR ROW AGAINST OF TABLE DO
    STRAIGHT_JOIN SQL_NO_CACHE CHAR BINARY DECIMAL NCHAR VARCHAR VARBINARY TIME DATETIME
    TIMESTAMP FLOAT UNSIGNED SIGNED ROLLUP
    """)
_CHANGE_TOKENS = _names("""
    INSERT UPDATE DELETE REPLACE
    """)


def _tokens(shape: str) -> list[Token]:
    return sqlglot.tokenize(shape, read="mysql")


def _words(tokens: list[Token]) -> list[str]:
    return ["" if _is_quoted(token) else token.text.upper() for token in tokens]


def _is_quoted(token: Token) -> bool:
    return token.token_type in (TokenType.IDENTIFIER, TokenType.STRING)


class _Findings(NamedTuple):
    """What the tokens of a query contain."""

    has_user_variable: bool
    has_assignment: bool
    has_into: bool
    has_change: bool
    has_unknown_function: bool
    has_state_function: bool
    has_connection_value: bool
    is_locking: bool


def _inspect(shape: str) -> _Findings:
    tokens = _tokens(shape)
    words = _words(tokens)
    joined = " ".join(words)
    return _Findings(
        has_user_variable=_has_user_variable(shape),
        has_assignment=":=" in _without_names(shape),
        has_into="INTO" in words or " INTO " in f" {joined} ",
        has_change=_has_change(words),
        has_unknown_function=_has_unknown_function(tokens, words),
        has_state_function=any(word in _STATE_FUNCTIONS for word in words),
        has_connection_value=_has_connection_value(tokens, words),
        is_locking=_is_locking(joined),
    )


def _has_user_variable(shape: str) -> bool:
    return re.search(r"(?<!@)@(?!@)", _without_names(shape)) is not None


def _is_locking(joined: str) -> bool:
    return re.search(r"\bFOR (UPDATE|SHARE)\b|\bLOCK IN SHARE MODE\b", joined) is not None


def _has_change(words: list[str]) -> bool:
    for index, word in enumerate(words):
        is_lock_clause = word == "UPDATE" and index > 0 and words[index - 1] == "FOR"
        is_function = index + 1 < len(words) and words[index + 1] == "("
        if word in _CHANGE_TOKENS and not is_lock_clause and not is_function:
            return True
        if word in ("PROCEDURE", "NEXT"):
            return True
    return False


def _has_unknown_function(tokens: list[Token], words: list[str]) -> bool:
    for index, word in enumerate(words):
        if index == 0 or word != "(":
            continue
        name = words[index - 1]
        before = tokens[index - 1]
        if _is_quoted(before) and before.token_type is TokenType.IDENTIFIER:
            if not _is_alias_list(words, index):
                return True
            continue
        if not re.fullmatch(r"[A-Z_$][\w$ ]*", name) or name.split()[-1] in _PLAIN_WORDS:
            continue
        if _is_alias_list(words, index):
            continue
        is_qualified = index >= 2 and words[index - 2] == "."
        is_spaced = tokens[index].start != before.end + 1
        if is_qualified or name not in _HARMLESS_FUNCTIONS:
            return True
        if is_spaced and name in STRICT_SPACING_FUNCTIONS:
            return True
    return False


def _is_alias_list(words: list[str], index: int) -> bool:
    """Tell whether the parenthesis opens the column list of ``WITH name (a, b) AS``."""
    return index >= 2 and words[index - 2] in ("WITH", "RECURSIVE") and words[0] == "WITH"


def _has_connection_value(tokens: list[Token], words: list[str]) -> bool:
    for index, word in enumerate(words):
        follows = words[index + 1] if index + 1 < len(words) else ""
        if word in _CONNECTION_FUNCTIONS and follows == "(":
            return True
        is_variable = index > 0 and words[index - 1] in ("@@", "@", ".")
        if is_variable and word in _CONNECTION_VARIABLES:
            return True
        if word.lstrip("@") in _CONNECTION_VARIABLES and word.startswith("@@"):
            return True
    return False


def _decide_query(word: str, shape: str) -> Treatment:
    upper = " ".join(shape.upper().split())
    if _RESERVED_PREFIX in upper:
        if _LOCAL_SELECT.fullmatch(upper):
            return Treatment(Action.LOCAL_SELECT)
        return _refuse("names that start with pistachiowinch_ are reserved")
    if _LAST_INSERT_ID.fullmatch(upper):
        return Treatment(Action.LAST_INSERT_ID, needs_transaction=True)
    if _LOCAL_VARIABLES.fullmatch(upper):
        return Treatment(Action.LOCAL_SELECT)
    try:
        found = _inspect(shape)
    except sqlglot.errors.SqlglotError:
        return _WRITE
    return _treat_query(word, found)


def _treat_query(word: str, found: _Findings) -> Treatment:
    if found.has_user_variable or found.has_assignment or found.has_state_function:
        if found.has_change or found.has_unknown_function:
            return _refuse("a write must not use user variables or named locks")
        return _STATE
    needs_transaction = found.has_connection_value
    if found.has_into or found.has_change or found.has_unknown_function:
        return _WRITE._replace(needs_transaction=needs_transaction)
    if found.is_locking:
        return _LOCKING_READ._replace(needs_transaction=needs_transaction)
    return _CONNECTION_READ if needs_transaction else _READ


_VARIABLE = r"@@(?:SESSION\.|LOCAL\.)?PISTACHIOWINCH_\w+"
_LOCAL_SELECT = re.compile(
    rf"SELECT {_VARIABLE}(?: AS \w+)?(?: ?, ?{_VARIABLE}(?: AS \w+)?)*(?: LIMIT 1)?"
)
_LAST_INSERT_ID = re.compile(
    r"SELECT (?:LAST_INSERT_ID\(\)|@@(?:SESSION\.)?(?:LAST_INSERT_ID|IDENTITY))"
)
_LOCAL_VARIABLES = re.compile(r"SELECT @@(?:SESSION\.|LOCAL\.)?AUTOCOMMIT")


def _decide_change(shape: str) -> Treatment:
    try:
        found = _inspect(shape)
    except sqlglot.errors.SqlglotError:
        return _WRITE
    if found.has_assignment or found.has_state_function or found.has_user_variable:
        return _refuse("a write must not use user variables or named locks")
    return _WRITE._replace(needs_transaction=found.has_connection_value)


def _decide_show(shape: str, upper: str) -> Treatment:
    if re.match(r"SHOW (COUNT ?\( ?\* ?\) )?(WARNINGS|ERRORS)\b", upper):
        return Treatment(Action.WARNINGS, needs_transaction=True)
    return _READ


def _decide_explain(shape: str, upper: str) -> Treatment:
    rest = re.sub(r"^\s*\w+\s+(?:ANALYZE\s+)?(?:FORMAT\s*=\s*\w+\s+)?", "", shape, flags=re.I)
    if upper.startswith(("EXPLAIN ANALYZE", "DESCRIBE ANALYZE", "DESC ANALYZE")):
        return _decide(rest)
    return _READ


def _decide_start(shape: str, upper: str) -> Treatment:
    if upper.startswith("START TRANSACTION"):
        return _BEGIN
    return _refuse("only START TRANSACTION is supported")


def _decide_begin(shape: str, upper: str) -> Treatment:
    return _BEGIN if upper in ("BEGIN", "BEGIN WORK") else _refuse("BEGIN takes no further words")


def _decide_commit(shape: str, upper: str) -> Treatment:
    if upper in ("COMMIT", "COMMIT WORK", "COMMIT AND NO CHAIN", "COMMIT NO RELEASE"):
        return _COMMIT
    return _refuse("COMMIT with CHAIN or RELEASE is not supported")


def _decide_rollback(shape: str, upper: str) -> Treatment:
    if upper in ("ROLLBACK", "ROLLBACK WORK", "ROLLBACK AND NO CHAIN", "ROLLBACK NO RELEASE"):
        return _ROLLBACK
    if re.match(r"ROLLBACK (WORK )?TO ", upper):
        return _SAVEPOINT
    return _refuse("ROLLBACK with CHAIN or RELEASE is not supported")


def _decide_savepoint(shape: str, upper: str) -> Treatment:
    if upper.startswith(("SAVEPOINT ", "RELEASE SAVEPOINT ")):
        return _SAVEPOINT
    return _refuse("only savepoints can be released")


def _decide_create_or_drop(shape: str, upper: str) -> Treatment:
    verb, _, rest = upper.partition(" ")
    if re.match(r"TEMPORARY\b", rest):
        return _decide_temporary(shape)
    subject = re.sub(r"^OR REPLACE ", "", rest)
    if re.match(
        r"(DATABASE|SCHEMA|USER|ROLE|SERVER|TABLESPACE|UNDO|LOGFILE|INSTANCE|RESOURCE)\b", subject
    ):
        return _refuse(f"{verb} {subject.split()[0]} is not supported")
    is_body = re.search(r"\b(PROCEDURE|FUNCTION|TRIGGER|EVENT)\b", subject) is not None
    if ";" in _without_names(shape) and not is_body:
        return _refuse("several statements in one text are not supported")
    return _DDL


def _decide_temporary(shape: str) -> Treatment:
    """Pin temporary tables, unless filling one may change other data."""
    query = re.search(r"\b(?:SELECT|WITH)\b.*", shape, re.I | re.S)
    if query is None:
        return _STATE
    treatment = _decide_query("SELECT", query[0])
    if treatment.kind in (StatementKind.READ, StatementKind.SESSION_STATE):
        return _STATE
    return _refuse("a temporary table must be filled by a statement that only reads")


def _decide_set(shape: str, upper: str) -> Treatment:
    return Treatment(Action.SET)


def _decide_use(shape: str, upper: str) -> Treatment:
    return Treatment(Action.USE)


def _decide_help(shape: str, upper: str) -> Treatment:
    return _READ


_BY_WORD = {
    "SHOW": _decide_show,
    "EXPLAIN": _decide_explain,
    "DESCRIBE": _decide_explain,
    "DESC": _decide_explain,
    "START": _decide_start,
    "BEGIN": _decide_begin,
    "COMMIT": _decide_commit,
    "ROLLBACK": _decide_rollback,
    "SAVEPOINT": _decide_savepoint,
    "RELEASE": _decide_savepoint,
    "CREATE": _decide_create_or_drop,
    "DROP": _decide_create_or_drop,
    "ALTER": _decide_create_or_drop,
    "SET": _decide_set,
    "USE": _decide_use,
    "HELP": _decide_help,
}
