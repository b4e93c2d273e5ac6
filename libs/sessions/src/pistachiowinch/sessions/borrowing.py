"""Borrow a connection whose target may run an operation's next statement."""

from typing import NamedTuple

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.codes import HOST_ISOLATED, NO_PRIMARY, TARGET_UNREACHABLE, Refusal
from pistachiowinch.links.statements import Position
from pistachiowinch.sessions.catching_up import catch_up_time_s, wait_for_catch_up
from pistachiowinch.sessions.connections import ConnectionRequest, PooledConnection
from pistachiowinch.sessions.context import SessionContext
from pistachiowinch.sessions.placement import read_tiers
from pistachiowinch.sessions.pool_gateway import SharedPools
from pistachiowinch.sessions.replies import with_retry_after
from pistachiowinch.sessions.site import Consistency, Target
from pistachiowinch.sessions.work import Operation

__all__ = ["BorrowedConnection", "Placement", "borrow_connection", "required_position"]

# Part of a statement's timeout that may pass before it has a connection. The rest is for running
# it, which takes up to 82 ms of 1 s on most routes.
WAIT_FRACTION = 0.8


class BorrowedConnection(NamedTuple):
    """A connection and the role of its target at the time of borrowing.

    :param epoch: number of the latest primary switch of the service.
    :param min_position: position that the target must have applied; None at the primary.
    """

    pooled: PooledConnection
    is_primary: bool
    epoch: int
    min_position: Position | None


class Placement(NamedTuple):
    """Constraints on the target of one statement.

    :param must_be_primary: whether only the primary may run the statement.
    :param excluded: targets on which the statement has already failed.
    """

    operation: Operation
    must_be_primary: bool
    excluded: frozenset[str]
    deadline_s: float


async def borrow_connection(
    context: SessionContext, placement: Placement
) -> BorrowedConnection | Refusal:
    """Take a connection from a pool, waiting until one is free.

    :returns: a connection whose target may run the statement now, or the reason why there is none.
    """
    service = placement.operation.route.service
    wait_until_s = now_s() + (placement.deadline_s - now_s()) * WAIT_FRACTION
    refusal = _immediate_refusal(context, placement, wait_until_s - now_s())
    if refusal is not None:
        return refusal
    if not placement.must_be_primary:
        required = required_position(context, placement.operation)
        if required is not None:
            await wait_for_catch_up(context, service, required, placement.excluded, wait_until_s)
    shared = context.shared_pools
    if shared is not None and shared.is_shared(service):
        found = _borrow_shared(context, shared, placement)
        if found is not None:
            return found
    while True:
        request = ConnectionRequest(
            placement.operation.customer,
            lambda: _tiers(context, placement),
            placement.operation.route.priority,
            wait_until_s,
        )
        found = await context.connections.acquire(service, request)
        if isinstance(found, Refusal):
            if placement.must_be_primary and not context.leased_primary(service):
                # No connection would have helped.
                return _refuse(context, "no primary could be used in time")
            return found
        borrowed = _recheck(context, placement, found)
        if borrowed is not None:
            return borrowed
        # The primary changed, or the lease expired, while the connection was opened.
        context.connections.release(found)
        if now_s() >= wait_until_s:
            return _refuse(context, "the primary changed")


def _borrow_shared(
    context: SessionContext, shared: SharedPools, placement: Placement
) -> BorrowedConnection | Refusal | None:
    """Choose the pool host of the best target, where the statement waits for a slot.

    :returns: None if no pool host can be used, so that this host needs a connection of its own.
    """
    operation = placement.operation
    service = operation.route.service
    targets = _shared_targets(context, shared, placement)
    if not targets:
        detail = "no target may run the statement now"
        return _refuse(context, detail if context.has_lease() else "the primary is not known")
    primary = context.leased_primary(service)
    epoch = context.primaries.epoch(service)
    required = required_position(context, operation)
    is_cut_off = False
    for target in targets:
        is_primary = target.name == primary
        host = shared.host_of(target)
        if not host:
            is_cut_off = is_cut_off or shared.is_unreachable(target)
            continue
        if not is_primary and required is None:
            continue
        pooled = shared.connect(
            host, target, operation.customer, is_primary, epoch, operation.route.priority
        )
        return BorrowedConnection(pooled, is_primary, epoch, None if is_primary else required)
    if is_cut_off:
        context.metrics.refusals.labels(TARGET_UNREACHABLE.label).inc()
        return Refusal(TARGET_UNREACHABLE, with_retry_after("no pool host reaches the target"))
    return None


def _shared_targets(
    context: SessionContext, shared: SharedPools, placement: Placement
) -> list[Target]:
    """Return the targets that may run a statement, the best first."""
    tiers = _tiers(context, placement)
    if placement.must_be_primary or len(tiers) < 3:
        return [target for tier in tiers for target in tier]
    operation = placement.operation
    return shared.order_reads(operation.route.service, *tiers, operation.customer)


def required_position(context: SessionContext, operation: Operation) -> Position | None:
    """Return the position that a replica needs for an operation; None if none may serve it."""
    route = operation.route
    epoch = context.primaries.epoch(route.service)
    log = context.freshness_of(route.service)
    observed = log.required(epoch, operation.started_s, route.max_staleness_s)
    if observed is None:
        return None
    own = operation.state.commits.get(route.service)
    if route.consistency is not Consistency.READ_YOUR_WRITES or own is None:
        return observed.position
    if observed.epoch > own.epoch:
        # Positions of a later primary cover every commit that survived the switch.
        if own.superseded_epoch != observed.epoch:
            own.superseded_epoch = observed.epoch
            context.log.write(
                "own_commit_superseded",
                service=route.service,
                own=own.position,
                own_epoch=own.epoch,
                observed=observed.position,
                observed_epoch=observed.epoch,
            )
        return observed.position
    # Without its position, no replica can prove that it has the commit.
    return None if own.position is None else max(observed.position, own.position)


def _immediate_refusal(
    context: SessionContext, placement: Placement, budget_s: float
) -> Refusal | None:
    service = placement.operation.route.service
    must_be_primary = placement.must_be_primary
    if context.outages.is_hopeless(service, must_be_primary, budget_s):
        age_s = context.outages.age_s(service, must_be_primary)
        if must_be_primary:
            return _refuse(context, f"no primary can be used since {age_s:.1f} s")
        context.metrics.refusals.labels(TARGET_UNREACHABLE.label).inc()
        detail = f"no target can be reached since {age_s:.1f} s"
        return Refusal(TARGET_UNREACHABLE, with_retry_after(detail))
    if context.has_lease():
        return None
    if not placement.must_be_primary and required_position(context, placement.operation):
        return None
    context.metrics.refusals.labels(HOST_ISOLATED.label).inc()
    return Refusal(HOST_ISOLATED, "this host cannot prove which target is primary; use another")


def _tiers(context: SessionContext, placement: Placement) -> list[list[Target]]:
    operation = placement.operation
    service = operation.route.service
    primary = context.leased_primary(service)
    targets = context.view.targets(service)
    if placement.must_be_primary:
        return [[targets[primary]]] if primary else []
    return list(
        read_tiers(
            context.view,
            context.health,
            service,
            primary,
            required_position(context, operation),
            context.availability_zone,
            placement.excluded,
            lambda target, position: catch_up_time_s(context, target, position),
        )
    )


def _recheck(
    context: SessionContext, placement: Placement, pooled: PooledConnection
) -> BorrowedConnection | None:
    """Check the target again, since opening a connection takes time."""
    service = placement.operation.route.service
    epoch = context.primaries.epoch(service)
    if pooled.target.name == context.leased_primary(service):
        return BorrowedConnection(pooled, True, epoch, None)
    if placement.must_be_primary or not context.view.may_use(pooled.target.name):
        return None
    min_position = required_position(context, placement.operation)
    return None if min_position is None else BorrowedConnection(pooled, False, epoch, min_position)


def _refuse(context: SessionContext, detail: str) -> Refusal:
    context.metrics.refusals.labels(NO_PRIMARY.label).inc()
    return Refusal(NO_PRIMARY, with_retry_after(detail))
