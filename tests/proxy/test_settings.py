"""Guards session variables: invalid values are refused and unsafe ones are never forwarded."""

import pytest
from returns.result import Success

from pistachiowinch.base.codes import BAD_SESSION_SETTING, BAD_TOKEN, STATEMENT_NOT_SUPPORTED
from pistachiowinch.base.tokens import SessionToken, encode_token
from pistachiowinch.proxy.settings import (
    Assignment,
    CallerSettings,
    SetPlan,
    apply_product_setting,
    plan_set,
    read_variable,
)
from pistachiowinch.routing.session import Session


@pytest.mark.parametrize(
    ("text", "plan"),
    [
        ("SET NAMES utf8mb4", SetPlan()),
        ("SET NAMES 'utf8' COLLATE 'utf8_bin'", SetPlan()),
        ("SET character_set_results = NULL", SetPlan()),
        ("SET SQL_AUTO_IS_NULL = 0", SetPlan()),
        ("SET SQL_AUTO_IS_NULL = 1", SetPlan(is_forwarded=True)),
        ("SET SESSION wait_timeout = 28800", SetPlan()),
        ("SET autocommit=0;", SetPlan(autocommit=False)),
        ("set @@session.autocommit := ON", SetPlan(autocommit=True)),
        ("SET SESSION sql_mode = 'STRICT_ALL_TABLES'", SetPlan(is_forwarded=True)),
        ("SET @a = 1, @b = concat('x', ',')", SetPlan(is_forwarded=True)),
        ("SET SESSION TRANSACTION ISOLATION LEVEL READ COMMITTED", SetPlan(is_forwarded=True)),
        ("SET TRANSACTION READ ONLY", SetPlan(is_forwarded=True)),
        (
            "SET pistachiowinch_request_id = 'it''s', @@pistachiowinch_idempotent=1 -- x",
            SetPlan(
                product_assignments=(
                    Assignment("pistachiowinch_request_id", "it's"),
                    Assignment("pistachiowinch_idempotent", "1"),
                )
            ),
        ),
    ],
)
def test_plans(text, plan):
    assert plan_set(text) == Success(plan)


@pytest.mark.parametrize(
    "text",
    [
        "SET GLOBAL max_connections = 1",
        "SET @@global.max_connections = 1",
        "SET SESSION a = 1, GLOBAL b = 2",
        "SET PERSIST a = 1",
        "SET NAMES latin1",
        "SET PASSWORD = 'x'",
        "SET ROLE admin",
        "SET sql_log_bin = 0",
        "SET pseudo_thread_id = 1",
        "SET sql_mode = 'ANSI_QUOTES'",
        "SET sql_mode = concat(@@sql_mode, ',NO_BACKSLASH_ESCAPES')",
        "SET @a = my_function()",
        "SET @a = (select x from pistachiowinch_ledger)",
        "SET autocommit = 1, sql_safe_updates = 1",
    ],
)
def test_refused_settings(text):
    assert plan_set(text).failure().code is STATEMENT_NOT_SUPPORTED


@pytest.mark.parametrize(
    "text",
    ["SET autocommit = 2", "SET pistachiowinch_token = @x", "SET pistachiowinch_token = f()"],
)
def test_bad_values_in_the_text(text):
    assert plan_set(text).failure().code is BAD_SESSION_SETTING


@pytest.mark.parametrize(
    ("name", "value", "code"),
    [
        ("pistachiowinch_token", "nonsense", BAD_TOKEN),
        ("pistachiowinch_token", encode_token(SessionToken("other", 1, 1)), BAD_TOKEN),
        ("pistachiowinch_max_staleness_ms", "-1", BAD_SESSION_SETTING),
        ("pistachiowinch_max_staleness_ms", "3600001", BAD_SESSION_SETTING),
        ("pistachiowinch_max_staleness_ms", "9" * 5000, BAD_SESSION_SETTING),
        ("pistachiowinch_request_id", "x" * 65, BAD_SESSION_SETTING),
        ("pistachiowinch_request_id", "a'b", BAD_SESSION_SETTING),
        ("pistachiowinch_idempotent", "maybe", BAD_SESSION_SETTING),
        ("pistachiowinch_session", "x" * 129, BAD_SESSION_SETTING),
        ("pistachiowinch_session", "a\x00b", BAD_SESSION_SETTING),
        ("pistachiowinch_unknown", "1", BAD_SESSION_SETTING),
    ],
)
def test_bad_product_values_change_nothing(name, value, code):
    session, settings = Session("k", "c", "hire"), CallerSettings()
    result = apply_product_setting(session, settings, Assignment(name, value))
    assert result.failure().code is code
    assert (session.token, session.max_staleness_ms, session.name) == (None, None, None)
    assert (settings.request_id, settings.is_idempotent) == (None, False)


@pytest.mark.parametrize(
    ("name", "value", "read"),
    [
        ("pistachiowinch_token", encode_token(SessionToken("hire", 3, 4)), None),
        ("pistachiowinch_max_staleness_ms", "500", 500),
        ("pistachiowinch_request_id", "order-17", None),
        ("pistachiowinch_idempotent", "on", 1),
        ("pistachiowinch_session", "counter 3", None),
    ],
)
def test_product_values_can_be_read_back(name, value, read):
    session, settings = Session("k", "c", "hire"), CallerSettings()
    assert apply_product_setting(session, settings, Assignment(name, value)) == Success(None)
    assert read_variable(session, settings, name) == (value if read is None else read)
