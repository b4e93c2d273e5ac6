"""Guards against a line codec that alters a text or fails on a malformed line."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiowinch.entry.callers import CallerStart
from pistachiowinch.links.statements import (
    Begin,
    Commit,
    Deallocate,
    Execute,
    Position,
    Prepare,
    Read,
    ReasonRefused,
    Rollback,
    SetValue,
    Unsupported,
    Write,
)
from pistachiowinch.platform.lines import (
    Query,
    format_statement,
    parse_position,
    parse_query,
    parse_reason,
    parse_start,
    parse_statement,
)

_STATEMENTS = [
    ("BEGIN", Begin(False)),
    ("BEGIN READ", Begin(True)),
    ("COMMIT", Commit("COMMIT")),
    ("ROLLBACK", Rollback()),
    ("READ 1a4", Read("READ 1a4")),
    ("WRITE 1a4 some data", Write("WRITE 1a4 some data")),
    ("SET zone Europe Bucharest", SetValue("zone", "Europe Bucharest")),
    ("PREPARE s1 WRITE q2c", Prepare("s1", True, "q2c")),
    ("PREPARE s1 READ q2c and more", Prepare("s1", False, "q2c and more")),
    ("EXECUTE s1 1a4 xkqp wnzd", Execute("s1", "1a4 xkqp wnzd")),
    ("DEALLOCATE s1", Deallocate("s1")),
]


@pytest.mark.parametrize(("text", "statement"), _STATEMENTS)
def test_each_kind_is_read_and_written_unchanged(text, statement):
    """A statement with an altered text would be one that no caller sent."""
    assert parse_statement(text) == statement
    assert format_statement(statement, None) == text


@pytest.mark.parametrize(
    "text",
    ["", "READ", "WRITE 1", "SET a", "PREPARE a", "PREPARE a DROP x", "EXECUTE s1", "STATUS"],
)
def test_incomplete_and_unknown_statements_are_unsupported(text):
    """Callers must not be able to send orders to a target, such as STATUS."""
    assert parse_statement(text) == Unsupported(text)


def test_a_caller_cannot_smuggle_a_position_prefix():
    """Only the proxy may require a position; AFTER from a caller is unsupported."""
    assert isinstance(parse_statement("AFTER 3.1 READ a"), Unsupported)


def test_after_precedes_reads_and_begins():
    """Without the prefix a lagging replica would return stale data."""
    assert format_statement(Read("READ 1"), Position(3, 12)) == "AFTER 3.12 READ 1"
    assert format_statement(Begin(True), Position(3, 12)) == "AFTER 3.12 BEGIN READ"


def test_start_and_query_lines():
    """The key is the rest of the line; a query needs an id other than the proxy's own."""
    assert parse_start("START db key") == CallerStart("db", "key")
    assert parse_start("START db") == CallerStart("db", "")
    assert parse_start("START ") is None
    assert parse_start("QUERY 1 READ a") is None
    assert parse_query("QUERY 1 READ a b") == Query("1", "READ a b")
    assert parse_query("QUERY - READ a") is None
    assert parse_query("QUERY 1") is None


def test_positions():
    """A malformed position must not be taken for a valid one."""
    assert parse_position("3.12") == Position(3, 12)
    for text in ("-", "", "3", "3.", ".4", "a.b", "-1.2"):
        assert parse_position(text) is None
    assert Position(2, 9) < Position(3, 1) < Position(3, 2)


def test_unknown_error_codes_may_have_run():
    """An unknown code does not guarantee that the statement did not run."""
    assert parse_reason("NEWCODE") is ReasonRefused.OTHER
    assert not ReasonRefused.OTHER.is_not_run
    assert parse_reason("BUSY").is_not_run
    assert not parse_reason("FAILED").is_not_run


@given(st.text(alphabet=st.characters(max_codepoint=255, exclude_characters="\r\n")))
def test_any_line_is_parsed_without_an_error(text):
    """A malformed line must not raise an error; a statement must keep its text."""
    parse_start(text)
    parse_query(text)
    statement = parse_statement(text)
    assert format_statement(statement, None) == text
