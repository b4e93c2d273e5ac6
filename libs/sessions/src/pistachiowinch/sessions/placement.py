"""Which targets may run a read, best first.

Load pattern: replicas lag by tens of milliseconds to seconds, and primaries carry all writes. Reads
go to replicas that are expected to have the required position; the primary is the last choice.
"""

from collections.abc import Callable, Mapping, Sequence

from pistachiowinch.links.statements import Position
from pistachiowinch.sessions.health import TargetHealth
from pistachiowinch.sessions.site import SiteView, Target

__all__ = ["read_tiers", "targets_by_name", "usable_replicas"]

# A target in another availability zone is chosen if it saves more than this; it costs two messages
# of 0.5 ms and billed bytes.
ZONE_PENALTY_S = 0.004


def usable_replicas(
    view: SiteView, service: str, primary: str, excluded: frozenset[str]
) -> list[Target]:
    """Return the targets besides the primary that may be used for a read at all.

    :param excluded: targets that have failed this read.
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
    behind_s: Callable[[Target, Position], float | None],
) -> Sequence[Sequence[Target]]:
    """Order the targets that may run a read.

    :param primary: proved primary; empty if there is none, so that only replicas can serve.
    :param required: position that a replica must have; None if only the primary may serve.
    :param availability_zone: this host's zone.
    :param excluded: targets that have failed this read.
    :param behind_s: returns after which time a lagging replica has a position, if that is known.
    :returns: replicas, then the primary, then replicas that are suspected or lagged lately; none
        that is known to be behind.
    """
    targets = view.targets(service)
    first = [targets[primary]] if primary in targets and primary not in excluded else []
    if required is None:
        return [first]
    good: list[Target] = []
    doubtful: list[Target] = []
    for target in usable_replicas(view, service, primary, excluded):
        name = target.name
        wait_s = behind_s(target, required)
        if wait_s:
            # It would only answer that it lacks the position.
            continue
        is_lagging = wait_s is None and health.is_lagging(name, required)
        is_doubtful = is_lagging or health.is_suspected(name) or view.is_leaving(name)
        (doubtful if is_doubtful else good).append(target)
    order = _order(health, availability_zone)
    return [sorted(good, key=order), first, sorted(doubtful, key=order)]


def _order(health: TargetHealth, availability_zone: str):
    def key(target: Target) -> tuple[float, str]:
        penalty_s = 0.0 if target.availability_zone == availability_zone else ZONE_PENALTY_S
        return health.expected_s(target.name) + penalty_s, target.name

    return key


def targets_by_name(view: SiteView) -> Mapping[str, Target]:
    """Return all targets of a view."""
    return {name: t for service in view.services for name, t in view.targets(service).items()}
