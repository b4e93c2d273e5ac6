"""Translation of common MySQL statements for the in-memory database group.

Literals are replaced by named parameters before the translation, so that statements that differ
only in their literals share one cached plan.
"""

import enum
import functools
import logging
import re
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

import sqlglot
from sqlglot import exp

__all__ = ["AUTO_COLUMN", "Plan", "SqlSyntaxError", "Verb", "plan_statement"]

# Placeholder for the name of the AUTO_INCREMENT column in ``Plan.keyed_sql``.
AUTO_COLUMN = "pw_auto_column"

_PLAN_CACHE_ENTRIES = 4096
_LITERAL = re.compile(
    r"""
    '(?:[^'\\]|\\.|'')*'          # string
    | "(?:[^"\\]|\\.|"")*"        # string, as sql_mode has no ANSI_QUOTES
    | `[^`]*`                     # identifier, kept
    | 0[xX][0-9a-fA-F]+ | [xX]'[0-9a-fA-F]*'
    | [A-Za-z_@:$][\w@$]*         # word, kept
    | \d+\.\d+ | \d+
    """,
    re.VERBOSE | re.DOTALL,
)
_ORDINAL = re.compile(r"\b(?:ORDER|GROUP)\s+BY\s+\d", re.IGNORECASE)
_COMMENT = re.compile(r"/\*.*?\*/|--[ \t][^\n]*|#[^\n]*", re.DOTALL)
_ESCAPES = {"n": "\n", "t": "\t", "r": "\r", "0": "\0", "b": "\b", "Z": "\x1a"}
_ESCAPED = re.compile(r"\\(.)", re.DOTALL)
# Replaced by parameters, so that the replay at each target gives the same value.
_CONTEXT_FUNCTIONS = {
    "LAST_INSERT_ID": "ctx_last_insert_id",
    "CONNECTION_ID": "ctx_connection_id",
    "ROW_COUNT": "ctx_row_count",
    "NOW": "ctx_now",
    "UUID": "ctx_uuid",
    "SYSDATE": "ctx_now",
    "DATABASE": "ctx_database",
    "SCHEMA": "ctx_database",
    "VERSION": "ctx_version",
    "UNIX_TIMESTAMP": "ctx_unix",
}
_CONTEXT_NODES = {
    exp.CurrentTimestamp: "ctx_now",
    exp.CurrentSchema: "ctx_database",
    exp.CurrentVersion: "ctx_version",
    exp.Uuid: "ctx_uuid",
}

logging.getLogger("sqlglot").setLevel(logging.CRITICAL)


class SqlSyntaxError(Exception):
    """The statement cannot be parsed; corresponds to MySQL's error 1064."""


class Verb(enum.Enum):
    """Kind of a statement."""

    READ = "read"
    WRITE = "write"
    DDL = "ddl"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    USE = "use"
    SHOW = "show"
    UNSUPPORTED = "unsupported"


class Plan(NamedTuple):
    """A translated statement.

    :param verb: kind of the statement.
    :param sql: text for sqlite, with named parameters.
    :param parameters: values of the literals in the statement.
    :param context: names of parameters whose values the session supplies.
    :param table: table that is written or locked; empty if unknown.
    :param insert_columns: columns that an INSERT names.
    :param keyed_sql: the INSERT with :data:`AUTO_COLUMN` and its values ``auto0``, ``auto1`` ....
    :param row_count: number of rows in the INSERT's VALUES.
    :param is_locking: whether a read locks the rows that it returns.
    :param lock_condition: for a locking read of one table, its WHERE clause for sqlite.
    :param variables: names of session variables that the statement reads.
    :param column_names: the result's column names as MySQL gives them; empty for sqlite's.
    """

    verb: Verb
    sql: str = ""
    parameters: Mapping[str, Any] = MappingProxyType({})
    context: tuple[str, ...] = ()
    table: str = ""
    insert_columns: frozenset[str] = frozenset()
    keyed_sql: str = ""
    row_count: int = 0
    is_locking: bool = False
    lock_condition: str | None = None
    variables: tuple[str, ...] = ()
    column_names: tuple[str, ...] = ()


def _literal_value(text: str) -> Any:
    if text[0] in "'\"":
        quote = text[0]
        body = text[1:-1].replace(quote * 2, quote)
        return _ESCAPED.sub(lambda found: _ESCAPES.get(found[1], found[1]), body)
    if text[:2].lower() == "0x":
        return bytes.fromhex(text[2:])
    if text[:2].lower() == "x'":
        return bytes.fromhex(text[2:-1])
    return float(text) if "." in text else int(text)


def _extract_literals(text: str) -> tuple[str, dict[str, Any]]:
    parameters: dict[str, Any] = {}

    def replace(found: re.Match[str]) -> str:
        token = found[0]
        is_word = token[0] in "`@:$_" or (token[0].isalpha() and token[:2].lower() != "x'")
        if is_word:
            return token
        name = f"p{len(parameters)}"
        parameters[name] = _literal_value(token)
        return f":{name}"

    return _LITERAL.sub(replace, text), parameters


def _replace_context(tree: exp.Expression) -> exp.Expression:
    def replace(node: exp.Expression) -> exp.Expression:
        if isinstance(node, exp.SessionParameter):
            return exp.Placeholder(this=f"var_{node.name.lower()}")
        name = _CONTEXT_NODES.get(type(node))
        if name is None and isinstance(node, exp.Anonymous):
            name = _CONTEXT_FUNCTIONS.get(node.name.upper())
        if name is None and type(node).__name__ in ("TimeToUnix", "UnixTimestamp"):
            name = "ctx_unix" if not node.args.get("this") else None
        return exp.Placeholder(this=name) if name else node

    return tree.transform(replace)


def _translate_duplicate(tree: exp.Expression) -> None:
    conflict = tree.args.get("conflict")
    if conflict is None or not conflict.args.get("duplicate"):
        return
    conflict.set("duplicate", False)
    conflict.set("action", exp.var("DO UPDATE"))
    for call in list(conflict.find_all(exp.Anonymous)):
        if call.name.upper() == "VALUES":
            call.replace(exp.column(call.expressions[0].name, table="excluded"))


def _translate_create(tree: exp.Create) -> None:
    tree.set("properties", None)
    for found in list(tree.find_all(exp.CurrentTimestamp)):
        found.replace(exp.Paren(this=exp.func("pw_now")))
    schema = tree.this
    if not isinstance(schema, exp.Schema):
        return
    kept = []
    for part in schema.expressions:
        if isinstance(part, exp.IndexColumnConstraint):
            continue
        if isinstance(part, exp.UniqueColumnConstraint) and isinstance(part.this, exp.Schema):
            part.this.set("this", None)
        kept.append(part)
    schema.set("expressions", kept)


def _translate_limit(tree: exp.Update | exp.Delete) -> None:
    limit = tree.args.get("limit")
    if limit is None:
        return
    table = tree.this
    rows = exp.select("rowid").from_(table.copy())
    if tree.args.get("where") is not None:
        rows.set("where", tree.args["where"].copy())
    if tree.args.get("order") is not None:
        rows.set("order", tree.args["order"].copy())
    rows.set("limit", limit.copy())
    tree.set("limit", None)
    tree.set("order", None)
    condition = exp.In(this=exp.column("rowid"), query=exp.Subquery(this=rows))
    tree.set("where", exp.Where(this=condition))


def _keyed_insert(tree: exp.Expression) -> tuple[frozenset[str], str, int]:
    if not isinstance(tree, exp.Insert) or not isinstance(tree.this, exp.Schema):
        return frozenset(), "", 0
    names = frozenset(column.name.lower() for column in tree.this.expressions)
    values = tree.expression
    if not isinstance(values, exp.Values):
        return names, "", 0
    keyed = tree.copy()
    keyed.this.append("expressions", exp.to_identifier(AUTO_COLUMN))
    for number, row in enumerate(keyed.expression.expressions):
        row.append("expressions", exp.Placeholder(this=f"auto{number}"))
    return names, _sqlite(keyed), len(values.expressions)


def _sqlite(tree: exp.Expression) -> str:
    return tree.sql("sqlite", unsupported_level=sqlglot.ErrorLevel.IGNORE)


def _column_names(tree: exp.Select, original: exp.Expression | None) -> tuple[str, ...]:
    if not isinstance(original, exp.Select) or len(original.expressions) != len(tree.expressions):
        return ()
    names = []
    for column in original.expressions:
        if isinstance(column, exp.Star) or column.is_star:
            return ()
        is_column = isinstance(column, exp.Column)
        names.append(column.alias or (column.name if is_column else column.sql("mysql")))
    return tuple(names)


def _verb(tree: exp.Expression) -> Verb:
    match tree:
        case exp.Transaction():
            return Verb.BEGIN
        case exp.Commit():
            return Verb.COMMIT
        case exp.Rollback():
            return Verb.ROLLBACK
        case exp.Insert() | exp.Update() | exp.Delete():
            return Verb.WRITE
        case exp.Create() | exp.Drop() | exp.Alter() | exp.TruncateTable():
            return Verb.DDL
        case exp.Set():
            return Verb.SET
        case exp.Use():
            return Verb.USE
        case exp.Show():
            return Verb.SHOW
        case exp.Query():
            return Verb.READ
    return Verb.UNSUPPORTED


def _parse(template: str) -> exp.Expression:
    is_replace = template[:8].upper() == "REPLACE "
    text = "INSERT" + template[7:] if is_replace else template
    try:
        tree = sqlglot.parse_one(text, read="mysql")
    except sqlglot.errors.SqlglotError as error:
        raise SqlSyntaxError(str(error).splitlines()[0]) from error
    if is_replace and isinstance(tree, exp.Insert):
        tree.set("alternative", "REPLACE")
    return tree


@functools.lru_cache(_PLAN_CACHE_ENTRIES)
def _plan_template(template: str, original: str) -> Plan:
    tree = _parse(template)
    verb = _verb(tree)
    if verb in (Verb.UNSUPPORTED, Verb.SHOW):
        return Plan(verb, sql=template)
    if verb is Verb.SET:
        return _plan_set(tree)
    names: tuple[str, ...] = ()
    if verb is Verb.READ and original:
        names = _column_names(tree, _parse(original))
    if verb is not Verb.DDL:
        tree = _replace_context(tree)
    table = tree.find(exp.Table)
    is_locking, condition = False, None
    if isinstance(tree, exp.Select) and tree.args.get("locks"):
        is_locking = True
        tree.set("locks", None)
        is_simple = not tree.args.get("joins") and len(list(tree.find_all(exp.Table))) == 1
        where = tree.args.get("where")
        if is_simple:
            condition = _sqlite(where) if where is not None else ""
    if isinstance(tree, exp.Insert):
        _translate_duplicate(tree)
    elif isinstance(tree, exp.Update | exp.Delete):
        _translate_limit(tree)
    elif isinstance(tree, exp.Create):
        _translate_create(tree)
    elif isinstance(tree, exp.TruncateTable):
        tree = exp.delete(tree.expressions[0])
    sql = _sqlite(tree)
    insert_columns, keyed_sql, row_count = _keyed_insert(tree)
    placeholders = [found.name for found in tree.find_all(exp.Placeholder)]
    return Plan(
        verb,
        sql=sql,
        context=tuple(sorted({name for name in placeholders if name.startswith("ctx_")})),
        table=table.name if table is not None else "",
        insert_columns=insert_columns,
        keyed_sql=keyed_sql,
        row_count=row_count,
        is_locking=is_locking,
        lock_condition=condition,
        variables=tuple(sorted({name[4:] for name in placeholders if name.startswith("var_")})),
        column_names=names,
    )


def _plan_set(tree: exp.Expression) -> Plan:
    values: dict[str, Any] = {}
    for item in tree.find_all(exp.SetItem):
        assignment = item.this
        if not isinstance(assignment, exp.EQ):
            continue
        value = assignment.expression
        name = assignment.this.name.lower().lstrip("@")
        values[name] = value.name if isinstance(value, exp.Literal) else value.sql("mysql")
        if isinstance(value, exp.Literal) and not value.is_string:
            values[name] = int(value.name) if value.name.isdigit() else float(value.name)
    return Plan(Verb.SET, parameters=values)


def plan_statement(text: str) -> Plan:
    """Translate one statement.

    :param text: statement in MySQL's dialect.
    :raises SyntaxRefused: if it cannot be parsed.
    """
    if "/*" in text or "--" in text or "#" in text:
        # Literals are extracted first, since they may contain comment markers.
        template, parameters = _extract_literals(text)
        template = _COMMENT.sub(" ", template)
    else:
        template, parameters = _extract_literals(text)
    template = template.strip().rstrip(";").strip()
    word = template.split(None, 1)[0].upper() if template else ""
    if not word:
        raise SqlSyntaxError("empty statement")
    if word in ("SELECT", "INSERT", "UPDATE", "DELETE", "REPLACE", "WITH"):
        is_select = word in ("SELECT", "WITH")
        if not (is_select and (_ORDINAL.search(text) or "FROM" not in template.upper())):
            plan = _plan_template(template, "")
            return plan._replace(parameters=parameters)
    original = text.strip().rstrip(";")
    return _plan_template(original, original if word == "SELECT" else "")
