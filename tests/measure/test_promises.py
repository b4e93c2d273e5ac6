"""Tests the check of the promises, and the promises themselves under random faults."""

from collections import Counter

import pytest

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.groups.confirmation import Confirmed, WriteConfirmer
from pistachiowinch.measure.caller import Event, EventKind, Outcome
from pistachiowinch.measure.deployment import Deployment
from pistachiowinch.measure.faults import FAULTS
from pistachiowinch.measure.promises import check_history, measure_promises

SMALL = Deployment("small", 3, connections=30, hosts=3, services=1)
PRIMARY_FAULTS = ("crash_primary", "isolate_primary", "lag_replica", "lose_commit_answer")
# Long enough for many commits by the 24 callers.
UNREPLICATED_S = 0.3
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


async def _crash_ahead_of_replicas(site, duration_s):
    """Crash the primary while it has commits that no replica has received."""
    (service,) = site.deployment.service_names
    primary = site.primary(service)
    group = site.groups[service]
    if primary is None or not group.targets[primary].is_up:
        return
    replicas = [name for name in site.deployment.target_names(service) if name != primary]
    for name in replicas:
        group.pause_replication(name)
    await sleep_s(UNREPLICATED_S)
    group.crash(primary, is_silent=False)
    for name in replicas:
        group.resume_replication(name)
    await sleep_s(duration_s)
    group.restart(primary)


async def _confirm_at_once(self, target, term, deadline_s):
    return Confirmed(term, 0, now_s())


@pytest.mark.parametrize("is_confirmed", [False, True])
def test_writes_that_no_majority_confirmed_are_found_lost(monkeypatch, is_confirmed):
    """Without confirmation by a majority, the check must find lost writes.

    No replica has the last commits when the primary crashes, so the loss does not depend on which
    replica is promoted. With confirmation, the same fault must violate no promise.
    """
    monkeypatch.setitem(FAULTS, "crash_ahead_of_replicas", _crash_ahead_of_replicas)
    if not is_confirmed:
        monkeypatch.setattr(WriteConfirmer, "confirm", _confirm_at_once)
    figures = measure_promises(SMALL, 1, ("crash_ahead_of_replicas",), run_s=8.0)
    assert figures.faults > 0, figures
    if is_confirmed:
        assert figures.broken == 0, figures
    else:
        assert figures.broken > 0, figures
        assert figures.lost > 0, figures
