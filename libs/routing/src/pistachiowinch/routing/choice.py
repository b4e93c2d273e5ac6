"""Selection of the targets that may serve a session's read.

The rules rely on tracked positions being lower bounds: a target never loses entries within a term,
so an outdated position is still safe to use.
"""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from pistachiowinch.base.tokens import SessionToken
from pistachiowinch.groups.tracker import TrackedTarget
from pistachiowinch.links.targets import TargetRole, TargetStatus

__all__ = ["GroupView", "ReadRequirements", "covers", "is_fresh_enough", "read_candidates"]


class GroupView(Protocol):
    """State of a database group that routing uses; implemented by the group's tracker."""

    @property
    def term(self) -> int:
        """Newest known term of the group."""

    @property
    def primary(self) -> str | None:
        """Target that is primary in :attr:`term`; None during a promotion."""

    def tracked(self, target: str) -> TrackedTarget | None:
        """Return the last known state of a target."""


class ReadRequirements(NamedTuple):
    """Consistency requirements of a read.

    :param token: position of the session's newest write, or None.
    :param max_staleness_s: staleness bound in seconds, or None if the session set none.
    :param is_primary_only: whether only the primary may serve the read, because the session's
        newest write is not known for certain.
    """

    token: SessionToken | None
    max_staleness_s: float | None
    is_primary_only: bool


def covers(status: TargetStatus, token: SessionToken | None, group_term: int) -> bool:
    """Tell whether a target's visible data includes a session's newest write.

    A target whose stream is older than the group's term may hold entries that a promotion has
    discarded, so no read may use it.

    :param status: the target's reported state.
    :param token: position of the session's newest write, or None.
    :param group_term: newest known term of the group.
    """
    if status.promised_term != status.stream_term or status.stream_term < group_term:
        return False
    if token is None:
        return True
    return status.stream_term >= token.term and status.applied_position >= token.position


def is_fresh_enough(tracked: TrackedTarget, max_staleness_s: float | None, now_s: float) -> bool:
    """Tell whether a target's data is within the caller's staleness bound.

    :param tracked: the target's last known state.
    :param max_staleness_s: staleness bound in seconds; None accepts any age.
    :param now_s: the loop's time.
    """
    if max_staleness_s is None:
        return True
    if tracked.status.role is TargetRole.PRIMARY:
        return True
    if tracked.staleness_bound_s is None:
        return False
    age_s = now_s - tracked.as_of_s + tracked.staleness_bound_s
    return age_s <= max_staleness_s


def read_candidates(
    view: GroupView, targets: Iterable[str], requirements: ReadRequirements, now_s: float
) -> list[str]:
    """List the targets that may serve a read: replicas by least lag, then the primary.

    :param view: the group's tracker.
    :param targets: targets that are in use.
    :param requirements: the read's consistency requirements.
    :param now_s: the loop's time.
    """
    replicas: list[tuple[int, str]] = []
    primaries: list[str] = []
    for target in targets:
        tracked = view.tracked(target)
        if tracked is None or not tracked.is_reachable:
            continue
        if not covers(tracked.status, requirements.token, view.term):
            continue
        if target == view.primary:
            primaries.append(target)
        elif not requirements.is_primary_only and is_fresh_enough(
            tracked, requirements.max_staleness_s, now_s
        ):
            replicas.append((-tracked.status.applied_position, target))
    return [target for _, target in sorted(replicas)] + primaries
