"""Finds a connection on which an operation's next statement may run."""

from typing import NamedTuple

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.codes import HOST_ISOLATED, NO_PRIMARY, Refusal
from pistachiowinch.links.statements import Position
from pistachiowinch.sessions.catching_up import behind_s, let_catch_up
from pistachiowinch.sessions.connections import PooledConnection, Wanted
from pistachiowinch.sessions.parts import SessionParts
from pistachiowinch.sessions.placement import read_tiers
from pistachiowinch.sessions.replies import come_back
from pistachiowinch.sessions.site import Consistency, Target
from pistachiowinch.sessions.work import Operation

__all__ = ["Borrowed", "Placement", "borrow", "required_position"]

# The rest of a statement's bound is for its work, which takes up to 82 ms of 1 s on most routes.
WAIT_PART = 0.8


class Borrowed(NamedTuple):
    """A connection and what is known of its target at this moment.

    :param epoch: number of the newest switch of the service's primary.
    :param after: position that the target must have; None at the primary.
    """

    held: PooledConnection
    is_primary: bool
    epoch: int
    after: Position | None


class Placement(NamedTuple):
    """Where one statement may run.

    :param must_be_primary: whether only the primary may run it.
    :param excluded: targets that have failed it before.
    """

    operation: Operation
    must_be_primary: bool
    excluded: frozenset[str]
    deadline_s: float


async def borrow(parts: SessionParts, placement: Placement) -> Borrowed | Refusal:
    """Take a connection, waiting while there is none.

    :returns: a connection whose target may run the statement now.
    """
    service = placement.operation.route.service
    refusal = _refusal_at_once(parts, placement)
    if refusal is not None:
        return refusal
    wait_until_s = now_s() + (placement.deadline_s - now_s()) * WAIT_PART
    if not placement.must_be_primary:
        required = required_position(parts, placement.operation)
        if required is not None:
            await let_catch_up(parts, service, required, placement.excluded, wait_until_s)
    while True:
        wanted = Wanted(
            placement.operation.customer,
            lambda: _tiers(parts, placement),
            placement.operation.route.priority,
            wait_until_s,
        )
        found = await parts.connections.acquire(service, wanted)
        if isinstance(found, Refusal):
            return found
        borrowed = _check(parts, placement, found)
        if borrowed is not None:
            return borrowed
        # The primary or its proof changed while the connection was opened.
        parts.connections.release(found)
        if now_s() >= wait_until_s:
            return _refuse(parts, "the primary changed")


def required_position(parts: SessionParts, operation: Operation) -> Position | None:
    """Return the position that a replica needs for an operation; None if none can serve it."""
    route = operation.route
    epoch = parts.primaries.epoch(route.service)
    log = parts.freshness_of(route.service)
    observed = log.required(epoch, operation.started_s, route.max_staleness_s)
    if observed is None:
        return None
    state = operation.state
    if route.consistency is not Consistency.READ_YOUR_WRITES or state.position is None:
        return observed.position
    if observed.epoch > state.position_epoch:
        # A later primary's positions cover every commit that outlived its predecessor.
        return observed.position
    return max(observed.position, state.position)


def _refusal_at_once(parts: SessionParts, placement: Placement) -> Refusal | None:
    if parts.is_proved():
        return None
    if not placement.must_be_primary and required_position(parts, placement.operation):
        return None
    parts.metrics.refusals.labels(HOST_ISOLATED.label).inc()
    return Refusal(HOST_ISOLATED, "this host cannot prove which target is primary; use another")


def _tiers(parts: SessionParts, placement: Placement) -> list[list[Target]]:
    operation = placement.operation
    service = operation.route.service
    primary = parts.proved_primary(service)
    targets = parts.view.targets(service)
    if placement.must_be_primary:
        return [[targets[primary]]] if primary else []
    return list(
        read_tiers(
            parts.view,
            parts.health,
            service,
            primary,
            required_position(parts, operation),
            parts.availability_zone,
            placement.excluded,
            lambda target, position: behind_s(parts, target, position),
        )
    )


def _check(parts: SessionParts, placement: Placement, held: PooledConnection) -> Borrowed | None:
    """Look again, since opening a connection takes time."""
    service = placement.operation.route.service
    epoch = parts.primaries.epoch(service)
    if held.target.name == parts.proved_primary(service):
        return Borrowed(held, True, epoch, None)
    if placement.must_be_primary or not parts.view.may_use(held.target.name):
        return None
    after = required_position(parts, placement.operation)
    return None if after is None else Borrowed(held, False, epoch, after)


def _refuse(parts: SessionParts, detail: str) -> Refusal:
    parts.metrics.refusals.labels(NO_PRIMARY.label).inc()
    return Refusal(NO_PRIMARY, come_back(detail))
