"""Guards against a check of the promises that cannot fail, and against promises that break."""

from collections import Counter

import pytest

from pistachiowinch.base.clock import now_s
from pistachiowinch.groups.confirmation import Confirmed, WriteConfirmer
from pistachiowinch.measure.caller import Event, EventKind, Outcome
from pistachiowinch.measure.deployment import Deployment
from pistachiowinch.measure.promises import check_history, measure_promises

SMALL = Deployment("small", 3, connections=30, hosts=3, services=1)
PRIMARY_FAULTS = ("crash_primary", "isolate_primary", "lag_replica", "lose_commit_answer")
HOST_FAULTS = ("crash_host", "isolate_host", "stop_store", "silence_connections")


def _event(kind, outcome, seq=1, expected_seq=0, is_own=True):
    return Event("c", kind, outcome, "host-1", 0.0, 1.0, seq, expected_seq, is_own)


@pytest.mark.parametrize(
    ("event", "found", "name"),
    [
        (_event(EventKind.WRITE, Outcome.DONE), {}, "lost"),
        (_event(EventKind.WRITE, Outcome.DONE), {"note-1": 2}, "doubled"),
        (_event(EventKind.WRITE, Outcome.NOT_RUN), {"note-1": 1}, "false_not_run"),
        (_event(EventKind.TRANSACTION, Outcome.UNKNOWN), {"rights": 1}, "partial"),
        (_event(EventKind.READ, Outcome.DONE, 1, expected_seq=2), {}, "stale"),
        (_event(EventKind.READ, Outcome.DONE, is_own=False), {}, "crossed"),
    ],
)
def test_each_broken_promise_is_counted(event, found, name):
    assert check_history([event], {("c", 1): Counter(found)})[name] == 1


def test_kept_promises_are_not_counted():
    history = [
        _event(EventKind.WRITE, Outcome.DONE),
        _event(EventKind.READ, Outcome.DONE, 1, expected_seq=1),
    ]
    assert not any(check_history(history, {("c", 1): Counter({"note-1": 1})}).values())


@pytest.mark.parametrize(("kinds", "seed"), [(PRIMARY_FAULTS, 1), (HOST_FAULTS, 2)])
def test_promises_hold_under_random_faults(kinds, seed):
    figures = measure_promises(SMALL, seed, kinds, run_s=8.0)
    assert figures.acknowledged > 100
    assert figures.broken == 0, figures


def test_writes_that_no_majority_confirmed_are_found_lost(monkeypatch):
    """Without the confirmation, the run must show lost writes, or it would prove nothing."""

    async def confirm_at_once(self, target, term, deadline_s):
        return Confirmed(term, 0, now_s())

    monkeypatch.setattr(WriteConfirmer, "confirm", confirm_at_once)
    figures = measure_promises(SMALL, 1, ("crash_primary", "lag_replica"), run_s=8.0)
    assert figures.broken > 0, figures
