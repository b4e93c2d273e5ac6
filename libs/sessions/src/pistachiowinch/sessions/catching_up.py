"""Wait for a lagging replica until it may serve a read.

Load pattern: all replicas of a service lag slightly more than its reads accept, and the primary
has too few slots for all reads. A replica that keeps applying the log reaches the required position
after the difference, often before the primary would clear its queue.
"""

import math

from pistachiowinch.base.clock import MIN_WAIT_S, now_s, sleep_s
from pistachiowinch.links.statements import Position
from pistachiowinch.sessions.context import SessionContext
from pistachiowinch.sessions.placement import usable_replicas
from pistachiowinch.sessions.site import Target

__all__ = ["catch_up_time_s", "wait_for_catch_up"]

# Times of positions are estimated from observations 0.02 s apart.
CATCH_UP_MARGIN_S = 0.03


def catch_up_time_s(context: SessionContext, target: Target, required: Position) -> float | None:
    """Return the expected time until a replica has applied a position.

    :param target: a replica.
    :param required: position that a read needs.
    :returns: seconds; None if the replica has not lagged recently or its lag is unknown.
    """
    lag_s = context.health.lag_s(target.name)
    if lag_s is None:
        return None
    reached_s = context.freshness_of(target.service).time_reached_s(required)
    if reached_s is None:
        return None
    wait_s = reached_s + lag_s + CATCH_UP_MARGIN_S - now_s()
    return wait_s if wait_s > MIN_WAIT_S else 0.0


async def wait_for_catch_up(
    context: SessionContext,
    service: str,
    required: Position,
    excluded: frozenset[str],
    until_s: float,
) -> None:
    """Wait for the fastest replica if it is expected to answer before the primary.

    :param required: position that the read needs.
    :param excluded: targets on which this read has already failed.
    :param until_s: loop time by which the read must have a connection.
    """
    while True:
        wait_s = _catch_up_wait_s(context, service, required, excluded)
        if not wait_s or now_s() + wait_s > until_s:
            return
        context.metrics.retries.labels("catch_up").inc()
        await sleep_s(wait_s)


def _catch_up_wait_s(
    context: SessionContext, service: str, required: Position, excluded: frozenset[str]
) -> float:
    """Return the time to wait for the fastest replica; 0 if a target should be used now."""
    primary = context.leased_primary(service)
    best_cost_s = math.inf
    if primary and primary not in excluded:
        best_cost_s = _primary_cost_s(context, service, primary)
    best_wait_s = 0.0
    for target in usable_replicas(context.view, service, primary, excluded):
        name = target.name
        if context.health.is_suspected(name) or context.view.is_leaving(name):
            continue
        wait_s = catch_up_time_s(context, target, required)
        if wait_s is None and context.health.is_lagging(name, required):
            continue
        if not wait_s:
            return 0.0
        cost_s = wait_s + context.health.expected_latency_s(name)
        if cost_s < best_cost_s:
            best_cost_s, best_wait_s = cost_s, wait_s
    return best_wait_s


def _primary_cost_s(context: SessionContext, service: str, primary: str) -> float:
    """Return the time in which the primary would answer a request that joins its queue now."""
    health = context.health
    waiting = 1 + context.connections.waiting_count(service)
    expected_s = max(health.expected_latency_s(primary), health.unanswered_s(primary))
    return waiting * expected_s + health.connect_time_s(primary)
