"""Guards against a replica that looks fresher than its data is."""

from pistachiowinch.groups.staleness import PositionWatermarks
from pistachiowinch.links.targets import TargetRole, TargetStatus


def status(target, position, role=TargetRole.REPLICA, term=5, promised=5, applied=None):
    applied = position if applied is None else applied
    return TargetStatus(target, role, promised, term, term, position, applied)


def primary(position, **fields):
    return status("a", position, TargetRole.PRIMARY, **fields)


def test_age_counts_from_the_newest_covered_mark():
    watermarks = PositionWatermarks()
    watermarks.record([primary(10), status("b", 10)], 2, sent_s=1.0)
    watermarks.record([primary(20), status("b", 10)], 2, sent_s=2.0)
    assert watermarks.bound_s(status("b", 10), as_of_s=2.0) == 1.0
    assert watermarks.bound_s(status("b", 20), as_of_s=2.0) == 0.0
    assert watermarks.bound_s(status("b", 9), as_of_s=2.0) is None


def test_entries_that_are_received_but_not_applied_do_not_count():
    watermarks = PositionWatermarks()
    watermarks.record([primary(10), status("b", 10)], 2, sent_s=1.0)
    watermarks.record([primary(20), status("b", 20)], 2, sent_s=2.0)
    assert watermarks.bound_s(status("b", 20, applied=10), as_of_s=2.5) == 1.5


def test_primary_without_a_majority_gives_no_mark():
    watermarks = PositionWatermarks()
    watermarks.record([primary(10), status("b", 10, promised=6)], 2, sent_s=1.0)
    watermarks.record([primary(10)], 2, sent_s=1.5)
    assert watermarks.bound_s(status("b", 10), as_of_s=2.0) is None


def test_newer_term_discards_marks_of_the_older_one():
    watermarks = PositionWatermarks()
    watermarks.record([primary(10), status("b", 10)], 2, sent_s=1.0)
    watermarks.record([primary(9, term=6, promised=6), status("b", 9, term=6, promised=6)], 2, 2.0)
    assert watermarks.bound_s(status("c", 10), as_of_s=2.0) is None
    assert watermarks.bound_s(status("b", 9, term=6, promised=6), as_of_s=2.0) == 0.0


def test_thinning_out_old_marks_only_raises_bounds():
    watermarks = PositionWatermarks()
    for second in range(5000):
        watermarks.record([primary(second), status("b", 0)], 2, sent_s=float(second))
    bound_s = watermarks.bound_s(status("b", 4000), as_of_s=5000.0)
    assert bound_s is None or bound_s >= 1000.0
    assert watermarks.bound_s(status("b", 4990), as_of_s=5000.0) == 10.0
