"""How long a lagging replica needs until it may serve a read.

Load pattern: all replicas of a service lag a little more than its reads accept, and the primary
alone has too few slots for them. A replica that goes on applying has the position which a read
needs after the difference, often sooner than the primary's queue would answer.
"""

import math

from pistachiowinch.base.clock import MIN_WAIT_S, now_s, sleep_s
from pistachiowinch.links.statements import Position
from pistachiowinch.sessions.parts import SessionParts
from pistachiowinch.sessions.placement import usable_replicas
from pistachiowinch.sessions.site import Target

__all__ = ["behind_s", "let_catch_up"]

# Positions are dated by observations 0.02 s apart.
MARGIN_S = 0.03


def behind_s(parts: SessionParts, target: Target, required: Position) -> float | None:
    """Return after which time a replica is expected to have a position.

    :param target: a replica.
    :param required: position that a read needs.
    :returns: None if it has not lacked a position lately, or if it cannot be told.
    """
    lag_s = parts.health.lag_s(target.name)
    if lag_s is None:
        return None
    needs_from_s = parts.freshness_of(target.service).dated_s(required)
    if needs_from_s is None:
        return None
    wait_s = needs_from_s + lag_s + MARGIN_S - now_s()
    return wait_s if wait_s > MIN_WAIT_S else 0.0


async def let_catch_up(
    parts: SessionParts,
    service: str,
    required: Position,
    excluded: frozenset[str],
    until_s: float,
) -> None:
    """Wait for the replica that serves first, if that is sooner than the primary's answer.

    :param required: position that the read needs.
    :param excluded: targets that have failed this read.
    :param until_s: loop time at which the read must have a connection.
    """
    while True:
        wait_s = _useful_wait_s(parts, service, required, excluded)
        if not wait_s or now_s() + wait_s > until_s:
            return
        parts.metrics.retries.labels("catch_up").inc()
        await sleep_s(wait_s)


def _useful_wait_s(
    parts: SessionParts, service: str, required: Position, excluded: frozenset[str]
) -> float:
    """Return how long to wait for the best replica; 0 if a target should be used now."""
    primary = parts.proved_primary(service)
    best_cost_s = math.inf
    if primary and primary not in excluded:
        best_cost_s = _primary_cost_s(parts, service, primary)
    best_wait_s = 0.0
    for target in usable_replicas(parts.view, service, primary, excluded):
        name = target.name
        if parts.health.is_suspected(name) or parts.view.is_leaving(name):
            continue
        wait_s = behind_s(parts, target, required)
        if wait_s is None and parts.health.is_lagging(name, required):
            continue
        if not wait_s:
            return 0.0
        cost_s = wait_s + parts.health.expected_s(name)
        if cost_s < best_cost_s:
            best_cost_s, best_wait_s = cost_s, wait_s
    return best_wait_s


def _primary_cost_s(parts: SessionParts, service: str, primary: str) -> float:
    """Return when the primary would answer a request that joins its queue now."""
    health = parts.health
    waiting = 1 + parts.connections.waiting(service)
    expected_s = max(health.expected_s(primary), health.unanswered_s(primary))
    return waiting * expected_s + health.opening_s(primary)
