"""Damaged or foreign session tokens must cause neither stale reads nor crashes."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from pistachiowinch.base.codes import BAD_TOKEN
from pistachiowinch.base.tokens import SessionToken, decode_token, encode_token


@settings(derandomize=True, database=None)
@given(st.text(max_size=40), st.integers(0, 2**63), st.integers(0, 2**63))
def test_round_trip(service, term, position):
    token = SessionToken(service, term, position)
    assert decode_token(encode_token(token)) == Success(token)


@settings(derandomize=True, database=None)
@given(st.text(max_size=600))
def test_arbitrary_text_is_refused_with_a_code(text):
    match decode_token(text):
        case Failure(refusal):
            assert refusal.code is BAD_TOKEN
        case Success(token):
            assert encode_token(token) == text.rstrip("=")


@pytest.mark.parametrize("index", range(4, 12))
def test_one_changed_character_is_refused(index):
    text = encode_token(SessionToken("hires", 7, 1234))
    changed = "A" if text[index] != "A" else "B"
    damaged = text[:index] + changed + text[index + 1 :]
    assert isinstance(decode_token(damaged), Failure)
