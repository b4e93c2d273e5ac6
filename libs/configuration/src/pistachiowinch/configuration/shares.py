"""The part of each rate that a host may generate, and the expiry of older rosters.

A roster has *expired* when no host that holds it can have standing any more: a majority of its
members adopted a later epoch, and the standing limit has passed since. Let ``m`` be the oldest
roster that a host with standing holds. ``m`` has not expired, so every host with standing lists it
among the rosters that it takes the minimum over, and all shares are at most ``1/N`` of ``m`` for
members of ``m`` and 0 for others. Their sum is at most 1.
"""

from collections.abc import Iterable

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.configuration.records import Roster
from pistachiowinch.configuration.standing import STANDING_LIMIT_S
from pistachiowinch.configuration.state import SiteState
from pistachiowinch.peering.messages import Heartbeat

__all__ = ["Adoption", "share_of"]


def share_of(identity: HostIdentity, rosters: Iterable[Roster]) -> float:
    """Return the part of each rate that a host with standing may generate.

    :param rosters: all unexpired rosters, the host's own one included.
    """
    shares = [
        1 / len(roster.members) if roster.find(identity.host) == identity else 0.0
        for roster in rosters
    ]
    return min(shares, default=0.0)


class Adoption:
    """Tracks which epochs the members have adopted and which predecessors have expired."""

    def __init__(self, state: SiteState) -> None:
        """Start without adopted epochs."""
        self._state = state
        self._epochs: dict[tuple[str, int], int] = {}
        self._majority_left_since_s: dict[int, float] = {}

    @property
    def unexpired_predecessors(self) -> tuple[Roster, ...]:
        """Predecessors of the current roster whose holders may still have standing."""
        return tuple(
            roster
            for roster in self._state.roster_record.predecessors
            if not self._is_expired(roster)
        )

    def note_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Note the epoch that a host has adopted; hosts never go back."""
        member = (heartbeat.host, heartbeat.incarnation)
        self._epochs[member] = max(self._epochs.get(member, 0), heartbeat.roster_epoch)
        self.update()

    def update(self) -> None:
        """Note the predecessors that a majority has left by now."""
        epochs = {roster.epoch for roster in self._state.roster_record.predecessors}
        for epoch in set(self._majority_left_since_s) - epochs:
            del self._majority_left_since_s[epoch]
        for roster in self._state.roster_record.predecessors:
            if roster.epoch in self._majority_left_since_s:
                continue
            left = sum(self._has_left(member, roster.epoch) for member in roster.members)
            if left >= roster.majority:
                self._majority_left_since_s[roster.epoch] = now_s()

    def _is_expired(self, roster: Roster) -> bool:
        since_s = self._majority_left_since_s.get(roster.epoch)
        return since_s is not None and now_s() >= since_s + STANDING_LIMIT_S

    def _has_left(self, member: HostIdentity, epoch: int) -> bool:
        own = self._state.identity
        if member in self._state.roster_record.left:
            return True
        if member == own:
            return self._state.roster_record.epoch > epoch
        if self._epochs.get((member.host, member.incarnation), 0) > epoch:
            return True
        return self._is_superseded(member)

    def _is_superseded(self, member: HostIdentity) -> bool:
        """Whether a later process listens at the member's address, so that the member has stopped.

        Without this rule, a roster whose members all restarted would never expire.
        """
        record = self._state.roster_record
        return any(
            other.host == member.host
            and other.peer_url == member.peer_url
            and other.incarnation > member.incarnation
            for roster in (record.roster, *record.predecessors)
            for other in roster.members
        )
