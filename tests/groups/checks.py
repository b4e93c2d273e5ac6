"""Checks of a whole site: compares the answers to callers with the final data."""

from collections import Counter
from collections.abc import Iterable

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.groups.confirmation import CONFIRMATION_MAX_AGE_S
from pistachiowinch.measure.failover import GroupSite, WriteResult

__all__ = ["assert_history", "primary_is_settled", "settle"]


def primary_is_settled(site: GroupSite) -> bool:
    """Whether all live hosts know the same primary and all targets follow it."""
    if not any(target.is_writable for target in site.group.targets.values()):
        return False
    primary = site.primary()
    term = site.group.targets[primary].stream_term
    hosts = [host for host in site.hosts.values() if host.is_alive]
    targets = site.group.statuses().values()
    return all(
        (host.group.tracker.primary, host.group.tracker.term) == (primary, term) for host in hosts
    ) and all(status.stream_term == status.promised_term == term for status in targets)


async def settle(site: GroupSite, limit_s: float = 30.0) -> None:
    """Wait until the service has recovered from all faults."""
    deadline_s = now_s() + limit_s
    while not primary_is_settled(site):
        assert now_s() < deadline_s, ("no recovery", site.group.statuses())
        await sleep_s(0.1)
    await sleep_s(0.5)


def assert_history(site: GroupSite, results: Iterable[WriteResult]) -> Counter[str]:
    """Compare the answers with the data on the final primary.

    :returns: number of results for each outcome.
    """
    rows = site.group.rows(site.primary(), "SELECT request FROM hire")
    applied = Counter(row[0] for row in rows)
    duplicates = [request for request, count in applied.items() if count > 1]
    assert not duplicates, f"applied more than once: {duplicates}"
    results = list(results)
    answers_by_request = {}
    for result in results:
        answers_by_request.setdefault(result.request_id, []).append(result)
    for request, answers in answers_by_request.items():
        outcomes = {answer.outcome for answer in answers}
        if "acknowledged" in outcomes:
            assert applied[request] == 1, f"acknowledged write {request} is lost"
        if outcomes == {"not_run"}:
            assert applied[request] == 0, f"{request} was refused as not run but ran"
    assert_no_late_acknowledgement(site, results)
    return Counter(result.outcome for result in results)


def assert_no_late_acknowledgement(site: GroupSite, results: Iterable[WriteResult]) -> None:
    """Check P2: a replaced primary acknowledges nothing.

    The replacement is complete when a majority follows the newer term. A confirmation that was
    obtained before that may be used until it reaches its maximum age.
    """
    for result in results:
        if result.outcome != "acknowledged":
            continue
        for term, completed_s in site.completed_terms:
            if term > result.term:
                late_s = result.answered_s - completed_s
                assert late_s <= CONFIRMATION_MAX_AGE_S, f"{result} came {late_s} s after {term:#x}"
