"""Guards against tokens that move backwards, invalid settings and wrong transaction counts."""

import pytest
from returns.result import Failure, Success

from pistachiowinch.base.codes import BAD_SESSION_SETTING, BAD_TOKEN
from pistachiowinch.base.tokens import SessionToken, encode_token
from pistachiowinch.routing.session import MAX_STALENESS_LIMIT_MS, PinnedConnection, Session

pytestmark = pytest.mark.looptime


def new_session():
    return Session("key-1", "menghina", "hire")


def test_token_never_moves_backwards():
    """Guards against an old token after which the session would not read its own writes."""
    session = new_session()
    for term, position in ((2, 5), (2, 4), (1, 99), (2, 5)):
        session.advance_token(SessionToken("hire", term, position))
        assert session.token == SessionToken("hire", 2, 5)
    session.advance_token(SessionToken("hire", 3, 1))
    assert session.token.term == 3
    assert session.set_token(encode_token(SessionToken("hire", 2, 900))) == Success(None)
    assert session.token.term == 3


@pytest.mark.parametrize("text", ["x", "pw1.", encode_token(SessionToken("other", 9, 9))])
def test_damaged_or_foreign_token_is_refused_and_changes_nothing(text):
    """Guards against a session that silently loses its consistency."""
    session = new_session()
    session.advance_token(SessionToken("hire", 2, 5))
    result = session.set_token(text)
    assert isinstance(result, Failure) and result.failure().code is BAD_TOKEN
    assert session.token == SessionToken("hire", 2, 5)


def test_empty_token_changes_nothing():
    """Guards against a driver's default value that removes the token."""
    session = new_session()
    session.advance_token(SessionToken("hire", 2, 5))
    assert session.set_token("") == Success(None)
    assert session.token_text == encode_token(SessionToken("hire", 2, 5))
    assert new_session().token_text == ""


def test_staleness_is_bounded_and_zero_turns_it_off():
    """Guards against a staleness bound that is accepted although it is out of range."""
    session = new_session()
    for value_ms in (-1, MAX_STALENESS_LIMIT_MS + 1):
        assert session.set_max_staleness_ms(value_ms).failure().code is BAD_SESSION_SETTING
    assert session.set_max_staleness_ms(MAX_STALENESS_LIMIT_MS) == Success(None)
    session.set_max_staleness_ms(0)
    assert session.max_staleness_ms is None


def test_transaction_leaves_its_gate_once():
    """Guards against leaving the gate twice, after which it would count too few transactions."""
    left = []
    pinned = PinnedConnection(None, "p", 1, lambda: left.append(1))
    pinned.leave_gate()
    pinned.leave_gate()
    assert len(left) == 1 and not pinned.is_in_gate
    pinned.enter_gate(lambda: left.append(2))
    pinned.leave_gate()
    assert left == [1, 2]


def test_pinned_state_is_no_open_transaction():
    """Guards against a connection pinned for its state that counts as an open transaction."""
    session = new_session()
    session.pinned = PinnedConnection(None, "p", 1)
    session.pinned.has_state = True
    assert not session.is_in_transaction
    session.pinned.is_in_transaction = True
    assert session.is_in_transaction
