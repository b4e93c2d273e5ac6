"""Classification of SQL statements for routing.

A statement is normalized first: strings are emptied, numbers replaced and comments removed by the
rules of MySQL's lexer. The normalized text determines the classification, which is cached by that
text. A statement that is not known to be a read is classified as a write. A statement that leaves
state on the connection pins the connection or is refused.
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
    "MAX_TOKENIZED_CHARS",
    "Action",
    "Classification",
    "classify",
    "normalize_statement",
    "placeholder_offsets",
    "strip_comments",
]

# Longer texts are rarely repeated, so caching them would only cost memory.
MAX_CACHED_CHARS = 1024
# Tokenizing a longer text takes milliseconds, which would delay all callers of the process.
MAX_TOKENIZED_CHARS = 16_384
_MAX_CACHED_TEXTS = 4096
_MAX_CACHED_NORMALIZED_TEXTS = 4096

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
# A list of constants, as in IN (...) or a multi-row INSERT, is normalized to one constant.
_CONSTANT_LIST = re.compile(r"\((?:[\s,1']|NULL\b|DEFAULT\b)*+\)", re.IGNORECASE)
_REPEATED_LIST = re.compile(r"\(1\)(?:\s*+,\s*+\(1\))++")
_QUOTED_NAME = re.compile(r"`(?:[^`]++|``)*+`")
_FIRST_KEYWORD = re.compile(r"[\s(]*([A-Za-z]+)")


def _word_set(words: str) -> frozenset[str]:
    return frozenset(words.split())


class Action(enum.Enum):
    """What the proxy does with a statement."""

    FORWARD = "forward"
    REFUSE = "refuse"
    SET = "set"
    USE = "use"
    LOCAL_SELECT = "local_select"
    LAST_INSERT_ID = "last_insert_id"
    WARNINGS = "warnings"
    EMPTY = "empty"


class Classification(NamedTuple):
    """How a statement is handled.

    :param action: what the proxy does with the statement.
    :param kind: routing class of a forwarded statement.
    :param is_locking_read: whether the statement is a read that takes locks.
    :param needs_transaction: whether the statement is forwarded only while a transaction is open,
        because its result depends on the connection.
    :param reason: why the statement is refused.
    :param is_plain_read: whether the statement is a forwarded read without any special rule.
    """

    action: Action
    kind: StatementKind = StatementKind.WRITE
    is_locking_read: bool = False
    needs_transaction: bool = False
    reason: str = ""
    is_plain_read: bool = False


class _UnsafeSyntaxError(Exception):
    """Syntax that can hide statements from the lexer."""


_READ = Classification(Action.FORWARD, StatementKind.READ, is_plain_read=True)
_LOCKING_READ = Classification(Action.FORWARD, StatementKind.READ, is_locking_read=True)
_WRITE = Classification(Action.FORWARD, StatementKind.WRITE)
_DDL = Classification(Action.FORWARD, StatementKind.DDL)
_STATE = Classification(Action.FORWARD, StatementKind.SESSION_STATE)
_BEGIN = Classification(Action.FORWARD, StatementKind.BEGIN)
_COMMIT = Classification(Action.FORWARD, StatementKind.COMMIT)
_ROLLBACK = Classification(Action.FORWARD, StatementKind.ROLLBACK)
_CONNECTION_READ = Classification(Action.FORWARD, StatementKind.READ, needs_transaction=True)
_SAVEPOINT = Classification(Action.FORWARD, StatementKind.READ, needs_transaction=True)


def _refuse(reason: str) -> Classification:
    return Classification(Action.REFUSE, reason=reason)


def _replace_constant_list(match: re.Match[str]) -> str:
    has_constant = "1" in match[0] or "'" in match[0] or match[0].strip("( )\n\t")
    return "(1)" if has_constant else "()"


def _replace_token(match: re.Match[str]) -> str:
    kind = match.lastgroup
    if kind == "string":
        return "''"
    if kind == "number":
        return "1"
    if kind == "name":
        return match[0]
    if kind == "comment":
        return " "
    if kind == "minus":
        # MySQL parses two minus signs without a following space as two operators.
        return "- -"
    if kind == "executable":
        raise _UnsafeSyntaxError("comments that the target may execute are not supported")
    raise _UnsafeSyntaxError("a string, a name or a comment is not closed")


def normalize_statement(text: str) -> str:
    """Return a statement without comments and with its constants replaced.

    :param text: the statement.
    :raises ValueError: if the text has syntax that can hide statements from the lexer.
    """
    try:
        normalized = _LEXER.sub(_replace_token, text).strip().rstrip(";").rstrip()
    except _UnsafeSyntaxError as error:
        raise ValueError(str(error)) from error
    return _REPEATED_LIST.sub("(1)", _CONSTANT_LIST.sub(_replace_constant_list, normalized))


def _replace_comment(match: re.Match[str]) -> str:
    is_kept = match.lastgroup in ("string", "number", "name")
    return match[0] if is_kept else _replace_token(match)


def strip_comments(text: str) -> str:
    """Return a statement without comments.

    :param text: a statement that can be normalized.
    :raises ValueError: if the text has syntax that can hide statements from the lexer.
    """
    try:
        return _LEXER.sub(_replace_comment, text)
    except _UnsafeSyntaxError as error:
        raise ValueError(str(error)) from error


def placeholder_offsets(text: str) -> list[int]:
    """Return the offsets of question marks outside strings, names and comments.

    :param text: a statement that can be normalized.
    :raises ValueError: if the text has syntax that can hide statements from the lexer.
    """
    normalize_statement(text)
    masked = _LEXER.sub(lambda match: " " * len(match[0]), text)
    return [match.start() for match in re.finditer(r"\?", masked)]


def classify(text: str) -> Classification:
    """Classify a statement.

    :param text: the statement as the caller sent it.
    """
    if len(text) <= MAX_CACHED_CHARS:
        return _classify_text(text)
    return _classify_text_uncached(text)


def _classify_text_uncached(text: str) -> Classification:
    try:
        normalized = normalize_statement(text)
    except ValueError as error:
        return _refuse(str(error))
    if len(normalized) <= MAX_CACHED_CHARS:
        return _classify_normalized(normalized)
    return _classify_normalized_uncached(normalized)


_classify_text = functools.lru_cache(maxsize=_MAX_CACHED_TEXTS)(_classify_text_uncached)


def _classify_normalized_uncached(normalized: str) -> Classification:
    if not normalized:
        return Classification(Action.EMPTY)
    match = _FIRST_KEYWORD.match(normalized)
    if match is None:
        return _refuse("the statement has no keyword")
    keyword = match[1].upper()
    upper = normalized.upper()
    if keyword != "CREATE" and ";" in _blank_quoted_names(normalized):
        return _refuse("several statements in one text are not supported")
    if keyword not in ("SET", "SELECT") and _RESERVED_PREFIX in upper:
        return _refuse("names that start with pistachiowinch_ are reserved")
    if _RESTRICTED_DATA.search(upper):
        return _refuse("data about accounts and other callers is not shown")
    if keyword in _REFUSED_KEYWORDS:
        return _refuse(f"{keyword} is not supported")
    if keyword in _CLASSIFIER_BY_KEYWORD:
        return _CLASSIFIER_BY_KEYWORD[keyword](normalized, " ".join(upper.split()))
    if len(normalized) > MAX_TOKENIZED_CHARS and keyword in _QUERY_KEYWORDS | _DML_KEYWORDS:
        return _classify_long(upper)
    if keyword in _QUERY_KEYWORDS:
        return _classify_query(keyword, normalized)
    if keyword in _DML_KEYWORDS:
        return _classify_dml(normalized)
    if keyword in _DDL_KEYWORDS:
        return _DDL
    return _WRITE


_classify_normalized = functools.lru_cache(maxsize=_MAX_CACHED_NORMALIZED_TEXTS)(
    _classify_normalized_uncached
)


def _classify_long(upper: str) -> Classification:
    """Classify a statement too long to tokenize as a write that leaves no connection state."""
    if _CONNECTION_STATE.search(upper):
        return _refuse("a long statement must not use state of the connection")
    return _WRITE


def _blank_quoted_names(normalized: str) -> str:
    return _QUOTED_NAME.sub("``", normalized)


# The proxy's account at the target may read these, but they show accounts and statements of other
# customers.
_RESTRICTED_DATA = re.compile(
    r"\b(?:MYSQL|PERFORMANCE_SCHEMA|SYS)\b`?\s*\.|\bINFORMATION_SCHEMA\b`?\s*\.\s*`?PROCESSLIST\b"
    r"|^SHOW\s+(?:FULL\s+)?(?:PROCESSLIST|GRANTS|CREATE\s+USER|PROFILE|ENGINE\s|BINLOG|BINARY|MASTER"
    r"|RELAYLOG|REPLICA|SLAVE)|^(?:EXPLAIN|DESC|DESCRIBE)\s.*\bFOR\s+CONNECTION\b"
)

# Statements that need privileges which the proxy's account may have but no caller has, statements
# that hide other statements, and statements that leave state which cannot be undone.
_REFUSED_KEYWORDS = _word_set("""
    BINLOG CACHE CALL CHANGE CLONE DEALLOCATE EXECUTE FLUSH GRANT HANDLER IMPORT INSTALL
    KILL LOAD LOCK PREPARE PURGE RESET RESIGNAL RESTART REVOKE SHUTDOWN SIGNAL STOP
    UNINSTALL UNLOCK XA DELIMITER GET
    """)
_QUERY_KEYWORDS = _word_set("""
    SELECT WITH VALUES TABLE DO
    """)
_DML_KEYWORDS = _word_set("""
    INSERT UPDATE DELETE REPLACE
    """)
_DDL_KEYWORDS = _word_set("""
    TRUNCATE RENAME ANALYZE OPTIMIZE REPAIR CHECK CHECKSUM
    """)

_STATE_FUNCTIONS = _word_set("""
    GET_LOCK RELEASE_LOCK RELEASE_ALL_LOCKS
    """)
_CONNECTION_FUNCTIONS = _word_set("""
    LAST_INSERT_ID FOUND_ROWS ROW_COUNT CONNECTION_ID
    """)
_CONNECTION_VARIABLES = _word_set("""
    LAST_INSERT_ID IDENTITY INSERT_ID WARNING_COUNT ERROR_COUNT
    """)
# State functions are detected separately.
_CONNECTION_STATE = re.compile(
    rf"@|:=|\b(?:{'|'.join(_STATE_FUNCTIONS | _CONNECTION_FUNCTIONS)})\b"
)
_KNOWN_FUNCTIONS = READ_FUNCTIONS | _STATE_FUNCTIONS
# Keywords that may precede a parenthesis without being a function's name.
_NON_FUNCTION_KEYWORDS = _word_set("""
    ALL AND ANY AS BETWEEN BY CASE CROSS DISTINCT DIV ELSE EXCEPT EXISTS FOR FORCE FROM
    HAVING IGNORE IN INDEX INNER INTERSECT INTERVAL IS JOIN KEY LATERAL LEFT LIKE LIMIT MOD
    NATURAL NOT OFFSET ON OR OUTER OVER PARTITION RECURSIVE REGEXP RIGHT RLIKE SELECT SET
    SOME THEN UNION USE USING VALUES WHEN WHERE WINDOW WITH XOR ROW AGAINST OF TABLE DO
    STRAIGHT_JOIN SQL_NO_CACHE CHAR BINARY DECIMAL NCHAR VARCHAR VARBINARY TIME DATETIME
    TIMESTAMP FLOAT UNSIGNED SIGNED ROLLUP
    """)
_DML_TOKENS = _word_set("""
    INSERT UPDATE DELETE REPLACE
    """)


def _tokenize(normalized: str) -> list[Token]:
    return sqlglot.tokenize(normalized, read="mysql")


def _unquoted_words(tokens: list[Token]) -> list[str]:
    return ["" if _is_quoted(token) else token.text.upper() for token in tokens]


def _is_quoted(token: Token) -> bool:
    return token.token_type in (TokenType.IDENTIFIER, TokenType.STRING)


class _Findings(NamedTuple):
    """What the tokens of a statement contain."""

    has_user_variable: bool
    has_assignment: bool
    has_into: bool
    has_data_change: bool
    has_unknown_function: bool
    has_state_function: bool
    has_connection_value: bool
    is_locking: bool


def _inspect_tokens(normalized: str) -> _Findings:
    tokens = _tokenize(normalized)
    words = _unquoted_words(tokens)
    joined = " ".join(words)
    return _Findings(
        has_user_variable=_has_user_variable(normalized),
        has_assignment=":=" in _blank_quoted_names(normalized),
        has_into="INTO" in words or " INTO " in f" {joined} ",
        has_data_change=_has_data_change(words),
        has_unknown_function=_has_unknown_function(tokens, words),
        has_state_function=any(word in _STATE_FUNCTIONS for word in words),
        has_connection_value=_has_connection_value(tokens, words),
        is_locking=_is_locking(joined),
    )


def _has_user_variable(normalized: str) -> bool:
    return re.search(r"(?<!@)@(?!@)", _blank_quoted_names(normalized)) is not None


def _is_locking(joined: str) -> bool:
    return re.search(r"\bFOR (UPDATE|SHARE)\b|\bLOCK IN SHARE MODE\b", joined) is not None


def _has_data_change(words: list[str]) -> bool:
    for index, word in enumerate(words):
        is_lock_clause = word == "UPDATE" and index > 0 and words[index - 1] == "FOR"
        is_function = index + 1 < len(words) and words[index + 1] == "("
        if word in _DML_TOKENS and not is_lock_clause and not is_function:
            return True
        if word in ("PROCEDURE", "NEXT"):
            return True
    return False


def _has_unknown_function(tokens: list[Token], words: list[str]) -> bool:
    for index, word in enumerate(words):
        if index == 0 or word != "(":
            continue
        name = words[index - 1]
        previous = tokens[index - 1]
        if _is_quoted(previous) and previous.token_type is TokenType.IDENTIFIER:
            if not _is_alias_list(words, index):
                return True
            continue
        if not re.fullmatch(r"[A-Z_$][\w$ ]*", name) or name.split()[-1] in _NON_FUNCTION_KEYWORDS:
            continue
        if _is_alias_list(words, index):
            continue
        is_qualified = index >= 2 and words[index - 2] == "."
        is_spaced = tokens[index].start != previous.end + 1
        if is_qualified or name not in _KNOWN_FUNCTIONS:
            return True
        if is_spaced and name in STRICT_SPACING_FUNCTIONS:
            return True
    return False


def _is_alias_list(words: list[str], index: int) -> bool:
    """Tell whether the parenthesis opens the column list of ``WITH name (a, b) AS``."""
    return index >= 2 and words[index - 2] in ("WITH", "RECURSIVE") and words[0] == "WITH"


def _has_connection_value(tokens: list[Token], words: list[str]) -> bool:
    for index, word in enumerate(words):
        following = words[index + 1] if index + 1 < len(words) else ""
        if word in _CONNECTION_FUNCTIONS and following == "(":
            return True
        is_variable = index > 0 and words[index - 1] in ("@@", "@", ".")
        if is_variable and word in _CONNECTION_VARIABLES:
            return True
        if word.lstrip("@") in _CONNECTION_VARIABLES and word.startswith("@@"):
            return True
    return False


def _classify_query(keyword: str, normalized: str) -> Classification:
    upper = " ".join(normalized.upper().split())
    if _RESERVED_PREFIX in upper:
        if _LOCAL_SELECT.fullmatch(upper):
            return Classification(Action.LOCAL_SELECT)
        return _refuse("names that start with pistachiowinch_ are reserved")
    if _LAST_INSERT_ID.fullmatch(upper):
        return Classification(Action.LAST_INSERT_ID, needs_transaction=True)
    if _LOCAL_VARIABLES.fullmatch(upper):
        return Classification(Action.LOCAL_SELECT)
    try:
        findings = _inspect_tokens(normalized)
    except sqlglot.errors.SqlglotError:
        return _WRITE
    return _classify_findings(keyword, findings)


def _classify_findings(keyword: str, findings: _Findings) -> Classification:
    if findings.has_user_variable or findings.has_assignment or findings.has_state_function:
        if findings.has_data_change or findings.has_unknown_function:
            return _refuse("a write must not use user variables or named locks")
        return _STATE
    needs_transaction = findings.has_connection_value
    if findings.has_into or findings.has_data_change or findings.has_unknown_function:
        return _WRITE._replace(needs_transaction=needs_transaction)
    if findings.is_locking:
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


def _classify_dml(normalized: str) -> Classification:
    try:
        findings = _inspect_tokens(normalized)
    except sqlglot.errors.SqlglotError:
        return _WRITE
    if findings.has_assignment or findings.has_state_function or findings.has_user_variable:
        return _refuse("a write must not use user variables or named locks")
    return _WRITE._replace(needs_transaction=findings.has_connection_value)


def _classify_show(normalized: str, upper: str) -> Classification:
    if re.match(r"SHOW (COUNT ?\( ?\* ?\) )?(WARNINGS|ERRORS)\b", upper):
        return Classification(Action.WARNINGS, needs_transaction=True)
    return _READ


def _classify_explain(normalized: str, upper: str) -> Classification:
    rest = re.sub(r"^\s*\w+\s+(?:ANALYZE\s+)?(?:FORMAT\s*=\s*\w+\s+)?", "", normalized, flags=re.I)
    if upper.startswith(("EXPLAIN ANALYZE", "DESCRIBE ANALYZE", "DESC ANALYZE")):
        return _classify_normalized_uncached(rest)
    return _READ


def _classify_start(normalized: str, upper: str) -> Classification:
    if upper.startswith("START TRANSACTION"):
        return _BEGIN
    return _refuse("only START TRANSACTION is supported")


def _classify_begin(normalized: str, upper: str) -> Classification:
    return _BEGIN if upper in ("BEGIN", "BEGIN WORK") else _refuse("BEGIN takes no further words")


def _classify_commit(normalized: str, upper: str) -> Classification:
    if upper in ("COMMIT", "COMMIT WORK", "COMMIT AND NO CHAIN", "COMMIT NO RELEASE"):
        return _COMMIT
    return _refuse("COMMIT with CHAIN or RELEASE is not supported")


def _classify_rollback(normalized: str, upper: str) -> Classification:
    if upper in ("ROLLBACK", "ROLLBACK WORK", "ROLLBACK AND NO CHAIN", "ROLLBACK NO RELEASE"):
        return _ROLLBACK
    if re.match(r"ROLLBACK (WORK )?TO ", upper):
        return _SAVEPOINT
    return _refuse("ROLLBACK with CHAIN or RELEASE is not supported")


def _classify_savepoint(normalized: str, upper: str) -> Classification:
    if upper.startswith(("SAVEPOINT ", "RELEASE SAVEPOINT ")):
        return _SAVEPOINT
    return _refuse("only savepoints can be released")


def _classify_create_or_drop(normalized: str, upper: str) -> Classification:
    verb, _, rest = upper.partition(" ")
    if re.match(r"TEMPORARY\b", rest):
        return _classify_temporary_table(normalized)
    subject = re.sub(r"^OR REPLACE ", "", rest)
    if re.match(
        r"(DATABASE|SCHEMA|USER|ROLE|SERVER|TABLESPACE|UNDO|LOGFILE|INSTANCE|RESOURCE)\b", subject
    ):
        return _refuse(f"{verb} {subject.split()[0]} is not supported")
    has_routine_body = re.search(r"\b(PROCEDURE|FUNCTION|TRIGGER|EVENT)\b", subject) is not None
    if ";" in _blank_quoted_names(normalized) and not has_routine_body:
        return _refuse("several statements in one text are not supported")
    return _DDL


def _classify_temporary_table(normalized: str) -> Classification:
    """Pin the connection, unless the query that fills the table may change other data."""
    query = re.search(r"\b(?:SELECT|WITH)\b.*", normalized, re.I | re.S)
    if query is None:
        return _STATE
    classification = _classify_query("SELECT", query[0])
    if classification.kind in (StatementKind.READ, StatementKind.SESSION_STATE):
        return _STATE
    return _refuse("a temporary table must be filled by a statement that only reads")


def _classify_set(normalized: str, upper: str) -> Classification:
    return Classification(Action.SET)


def _classify_use(normalized: str, upper: str) -> Classification:
    return Classification(Action.USE)


def _classify_help(normalized: str, upper: str) -> Classification:
    return _READ


_CLASSIFIER_BY_KEYWORD = {
    "SHOW": _classify_show,
    "EXPLAIN": _classify_explain,
    "DESCRIBE": _classify_explain,
    "DESC": _classify_explain,
    "START": _classify_start,
    "BEGIN": _classify_begin,
    "COMMIT": _classify_commit,
    "ROLLBACK": _classify_rollback,
    "SAVEPOINT": _classify_savepoint,
    "RELEASE": _classify_savepoint,
    "CREATE": _classify_create_or_drop,
    "DROP": _classify_create_or_drop,
    "ALTER": _classify_create_or_drop,
    "SET": _classify_set,
    "USE": _classify_use,
    "HELP": _classify_help,
}
