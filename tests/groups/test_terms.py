"""Guards against two hosts choosing the same term."""

import pytest

from pistachiowinch.groups.terms import next_term, round_of


def test_terms_grow_and_differ_between_incarnations():
    known = next_term(1, 7)
    assert next_term(known, 7) > known
    assert next_term(known, 8) != next_term(known, 9)
    assert next_term(known, 1) > known
    assert round_of(next_term(known, 1)) == round_of(known) + 1


@pytest.mark.parametrize("incarnation", [0, -1, 1 << 24])
def test_incarnation_out_of_range_is_refused(incarnation):
    with pytest.raises(ValueError, match="incarnation"):
        next_term(1, incarnation)
