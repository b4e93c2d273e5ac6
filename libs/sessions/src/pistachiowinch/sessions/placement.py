"""Choose the targets that may run a read, in order of preference.

Load pattern: replicas lag by tens of milliseconds to seconds, and primaries run all writes. Reads
go to replicas that are expected to have the required position, and to the primary only if none
of them can serve.
"""

from collections.abc import Callable, Mapping, Sequence

from pistachiowinch.links.statements import Position
from pistachiowinch.sessions.health import TargetHealth
from pistachiowinch.sessions.site import SiteView, Target

__all__ = ["read_tiers", "targets_by_name", "usable_replicas"]

# A target in another availability zone must be faster by more than this; it costs two messages of
# 0.5 ms and billed traffic.
ZONE_PENALTY_S = 0.004


def usable_replicas(
    view: SiteView, service: str, primary: str, excluded: frozenset[str]
) -> list[Target]:
    """Return the targets other than the primary that may be used for a read.

    :param excluded: targets on which this read has already failed.
    """
    return [
        target
        for name, target in view.targets(service).items()
        if name != primary and name not in excluded and view.may_use(name)
    ]


def read_tiers(
    view: SiteView,
    health: TargetHealth,
    service: str,
    primary: str,
    required: Position | None,
    availability_zone: str,
    excluded: frozenset[str],
    catch_up_time_s: Callable[[Target, Position], float | None],
) -> Sequence[Sequence[Target]]:
    """Order the targets that may run a read.

    :param primary: primary that this host may use; empty if there is none and only replicas may
        serve.
    :param required: position that a replica must have; None if only the primary may serve.
    :param availability_zone: this host's zone.
    :param excluded: targets on which this read has already failed.
    :param catch_up_time_s: returns the expected time until a replica has a position, or None if
        it is unknown.
    :returns: replicas, then the primary, then replicas that are suspected, leaving or lagged
        recently. Replicas that are known to lack the position are left out.
    """
    targets = view.targets(service)
    primary_tier = [targets[primary]] if primary in targets and primary not in excluded else []
    if required is None:
        return [primary_tier]
    preferred: list[Target] = []
    fallback: list[Target] = []
    for target in usable_replicas(view, service, primary, excluded):
        name = target.name
        wait_s = catch_up_time_s(target, required)
        if wait_s:
            # The replica would refuse the read, because it lacks the position.
            continue
        is_lagging = wait_s is None and health.is_lagging(name, required)
        is_fallback = is_lagging or health.is_suspected(name) or view.is_leaving(name)
        (fallback if is_fallback else preferred).append(target)
    sort_key = _latency_key(health, availability_zone)
    return [sorted(preferred, key=sort_key), primary_tier, sorted(fallback, key=sort_key)]


def _latency_key(health: TargetHealth, availability_zone: str):
    def key(target: Target) -> tuple[float, str]:
        penalty_s = 0.0 if target.availability_zone == availability_zone else ZONE_PENALTY_S
        return health.expected_latency_s(target.name) + penalty_s, target.name

    return key


def targets_by_name(view: SiteView) -> Mapping[str, Target]:
    """Return all targets of a view."""
    return {name: t for service in view.services for name, t in view.targets(service).items()}
