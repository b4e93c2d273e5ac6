"""Guards against reads at targets that lack data which the session has written or seen."""

import pytest

from pistachiowinch.base.tokens import SessionToken
from pistachiowinch.links.targets import TargetRole, TargetStatus
from pistachiowinch.routing.choice import (
    ReadRequirements,
    TrackedTarget,
    covers,
    is_fresh_enough,
    read_candidates,
)

pytestmark = pytest.mark.looptime


def status(target="r", promised=3, stream=3, position=10, applied=10, role=TargetRole.REPLICA):
    return TargetStatus(target, role, promised, stream, stream, position, applied)


def token(term, position):
    return SessionToken("hire", term, position)


class View:
    """View of a group whose state never changes."""

    def __init__(self, primary, *tracked, term=3):
        self.term, self.primary = term, primary
        self._tracked = {entry.status.target: entry for entry in tracked}

    def tracked(self, target):
        return self._tracked.get(target)


def tracked(target, applied=10, bound_s=0.0, is_reachable=True, **fields):
    return TrackedTarget(status(target, applied=applied, **fields), 100.0, bound_s, is_reachable)


@pytest.mark.parametrize(
    ("found", "wanted", "group_term", "is_covered"),
    [
        (status(), None, 3, True),
        (status(), token(3, 10), 3, True),
        (status(applied=9), token(3, 10), 3, False),
        (status(), token(2, 10), 3, True),
        # A position in an older term says nothing about a newer one.
        (status(promised=2, stream=2, position=99, applied=99), token(3, 10), 2, False),
        # The target is fenced and does not follow the new primary yet.
        (status(promised=4), None, 3, False),
        # A promotion that the target does not know of may have discarded its entries.
        (status(promised=2, stream=2), None, 3, False),
        (status(promised=4, stream=4), token(3, 10), 3, True),
    ],
)
def test_target_covers_only_data_that_is_certainly_visible(found, wanted, group_term, is_covered):
    """Guards against stale reads by position, by term and at fenced targets."""
    assert covers(found, wanted, group_term) is is_covered


@pytest.mark.parametrize(
    ("bound_s", "limit_s", "now_s", "is_fresh"),
    [
        (0.1, None, 200.0, True),
        (0.1, 0.5, 100.3, True),
        (0.1, 0.5, 100.5, False),
        (None, 3600.0, 100.0, False),
        (None, None, 100.0, True),
    ],
)
def test_age_counts_from_the_status_request(bound_s, limit_s, now_s, is_fresh):
    """Guards against a staleness check that ignores the time since the position was read."""
    assert is_fresh_enough(tracked("r", bound_s=bound_s), limit_s, now_s) is is_fresh


def test_primary_is_always_fresh():
    """Guards against a staleness bound that rejects the primary, which reports no staleness."""
    primary = tracked("p", bound_s=None, role=TargetRole.PRIMARY)
    assert is_fresh_enough(primary, 0.001, 500.0)


def test_replicas_go_first_and_the_least_delayed_leads():
    """Guards against reads that prefer the primary or the replica with the most lag."""
    view = View("p", tracked("p"), tracked("r1", applied=8), tracked("r2", applied=9))
    requirements = ReadRequirements(token(3, 8), None, False)
    assert read_candidates(view, ["p", "r1", "r2"], requirements, 100.0) == ["r2", "r1", "p"]


def test_targets_out_of_use_unknown_or_unreachable_are_no_candidates():
    """Guards against reads at targets that are not in use, never answered or are unreachable."""
    view = View("p", tracked("p"), tracked("r1", is_reachable=False), tracked("r2"))
    requirements = ReadRequirements(None, None, False)
    assert read_candidates(view, ["p", "r1", "unknown"], requirements, 100.0) == ["p"]


def test_session_with_an_uncertain_token_reads_from_the_primary_only():
    """Guards against a replica that lacks a write whose position is unknown."""
    view = View("p", tracked("p"), tracked("r1"))
    assert read_candidates(view, ["p", "r1"], ReadRequirements(None, None, True), 100.0) == ["p"]


def test_replaced_primary_does_not_serve_a_newer_token():
    """Guards against a primary that does not know of a promotion which the session has seen."""
    view = View("p", tracked("p", role=TargetRole.PRIMARY))
    assert read_candidates(view, ["p"], ReadRequirements(token(4, 1), None, False), 100.0) == []


def test_age_limit_excludes_replicas_but_not_the_primary():
    """Guards against a staleness bound that leaves a read without any target."""
    view = View("p", tracked("p", role=TargetRole.PRIMARY), tracked("r1", bound_s=2.0))
    assert read_candidates(view, ["p", "r1"], ReadRequirements(None, 1.0, False), 100.0) == ["p"]
