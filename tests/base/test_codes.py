"""Result codes must be unique and consistent with their constants."""

from pistachiowinch.base import codes


def test_numbers_and_labels_are_unique():
    assert len({code.number for code in codes.CODES}) == len(codes.CODES)
    assert len({code.label for code in codes.CODES}) == len(codes.CODES)


def test_names_match_the_constants():
    for code in codes.CODES:
        assert getattr(codes, code.name) is code


def test_message_says_whether_the_statement_ran():
    message = codes.Refusal(codes.RATE_EXCEEDED, "customer is over its rate").message
    assert message == "PW2001 RATE_EXCEEDED: customer is over its rate (statement not run)"


def test_sqlstates_have_five_characters():
    assert all(len(code.sqlstate) == 5 for code in codes.CODES)
