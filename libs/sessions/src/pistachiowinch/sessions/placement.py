"""Which targets may run a read, best first.

Load pattern: replicas lag by tens of milliseconds to seconds, and primaries carry all writes. Reads
go to replicas that are expected to have the required position; the primary is the last choice.
"""

from collections.abc import Mapping, Sequence

from pistachiowinch.links.statements import Position
from pistachiowinch.sessions.health import TargetHealth
from pistachiowinch.sessions.site import SiteView, Target

__all__ = ["read_tiers"]

# A target in another availability zone is chosen if it saves more than this; it costs two messages
# of 0.5 ms and billed bytes.
ZONE_PENALTY_S = 0.004


def read_tiers(
    view: SiteView,
    health: TargetHealth,
    service: str,
    primary: str,
    required: Position | None,
    availability_zone: str,
    excluded: frozenset[str],
) -> Sequence[Sequence[Target]]:
    """Order the targets that may run a read.

    :param primary: proved primary; empty if there is none, so that only replicas can serve.
    :param required: position that a replica must have; None if only the primary may serve.
    :param availability_zone: this host's zone.
    :param excluded: targets that have failed this read.
    :returns: replicas, then the primary, then replicas that are suspected or lagged lately.
    """
    targets = view.targets(service)
    usable = [
        target
        for name, target in targets.items()
        if name != primary and name not in excluded and view.may_use(name)
    ]
    replicas, doubtful = _split(usable, view, health, required)
    first = [targets[primary]] if primary in targets and primary not in excluded else []
    if required is None:
        return [first]
    order = _order(health, availability_zone)
    replicas.sort(key=order)
    doubtful.sort(key=order)
    return [replicas, first, doubtful]


def _split(
    usable: list[Target], view: SiteView, health: TargetHealth, required: Position | None
) -> tuple[list[Target], list[Target]]:
    good: list[Target] = []
    doubtful: list[Target] = []
    for target in usable:
        is_doubtful = (
            health.is_suspected(target.name)
            or view.is_leaving(target.name)
            or (required is not None and health.is_lagging(target.name, required))
        )
        (doubtful if is_doubtful else good).append(target)
    return good, doubtful


def _order(health: TargetHealth, availability_zone: str):
    def key(target: Target) -> tuple[float, str]:
        penalty_s = 0.0 if target.availability_zone == availability_zone else ZONE_PENALTY_S
        return health.expected_s(target.name) + penalty_s, target.name

    return key


def targets_by_name(view: SiteView) -> Mapping[str, Target]:
    """Return all targets of a view."""
    return {name: t for service in view.services for name, t in view.targets(service).items()}
