"""A host's proof that its roster and its configuration version are current.

Evidence is dated with the time at which this host sent what the evidence answers, so a delayed
or repeated message and a pause of this host only make it older.
"""

import math
from typing import NamedTuple

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.identity import NO_INCARNATION, HostIdentity
from pistachiowinch.configuration.state import SiteState
from pistachiowinch.peering.interfaces import MembershipView
from pistachiowinch.peering.messages import ReceivedHeartbeat

__all__ = ["STANDING_LIMIT_S", "Standing"]

# Without evidence younger than this, a host takes no new work. Epochs become active after the
# same time, so it also bounds how long the holder of an old roster may go on.
STANDING_LIMIT_S = 1.5

_NEVER_S = -math.inf


class _Evidence(NamedTuple):
    incarnation: int
    sent_s: float
    epoch: int
    version: int


class Standing:
    """Collects evidence from heartbeats and from the store."""

    def __init__(self, state: SiteState, membership: MembershipView) -> None:
        """Start without evidence and listen to heartbeats.

        :param state: what this host holds, which the evidence has to confirm.
        """
        self._state = state
        self._newest: dict[str, _Evidence] = {}
        self._counted: dict[str, _Evidence] = {}
        self._store_s = _NEVER_S
        membership.heartbeats.subscribe(self._note_heartbeat)
        state.updates.subscribe(lambda _: self._count_again())

    def has_standing(self) -> bool:
        """Whether this host may take new work now."""
        return now_s() < self.expires_s

    def has_majority(self) -> bool:
        """Whether a majority of the members answered this host within the standing limit."""
        return now_s() < self._majority_s(self._newest, now_s()) + STANDING_LIMIT_S

    @property
    def expires_s(self) -> float:
        """Loop time at which standing ends unless new evidence arrives."""
        return max(self._store_s, self.majority_s) + STANDING_LIMIT_S

    @property
    def majority_s(self) -> float:
        """Date of the newest evidence from a majority."""
        return self._majority_s(self._counted, self._own_s())

    @property
    def store_age_ms(self) -> int:
        """Age of the newest evidence from the store; -1 if there is none."""
        if self._store_s == _NEVER_S:
            return -1
        return round((now_s() - self._store_s) * 1000)

    def note_store(self, sent_s: float, epoch: int, version: int) -> None:
        """Note that a linearizable read found a roster epoch and a configuration version.

        :param sent_s: loop time at which the earlier of the two reads was sent.
        """
        if epoch == self._state.record.epoch and version == self._state.config_version:
            self._store_s = max(self._store_s, sent_s)

    def _note_heartbeat(self, received: ReceivedHeartbeat) -> None:
        if received.evidence_s is None:
            return
        heartbeat = received.heartbeat
        evidence = _Evidence(
            heartbeat.incarnation,
            received.evidence_s,
            heartbeat.roster_epoch,
            max(heartbeat.config_version, heartbeat.config_pending),
        )
        known = self._newest.get(heartbeat.host)
        if known is not None and known[:2] > evidence[:2]:
            return
        self._newest[heartbeat.host] = evidence
        self._count(heartbeat.host)

    def _count(self, host: str) -> None:
        """Accept a statement that names nothing newer than what this host holds.

        Accepted evidence stays valid when this host moves to newer versions.
        """
        evidence = self._newest[host]
        is_newer = (
            evidence.epoch > self._state.record.epoch
            or evidence.version > self._state.config_version
        )
        if not is_newer:
            self._counted[host] = evidence

    def _count_again(self) -> None:
        for host in self._newest:
            self._count(host)

    def _own_s(self) -> float:
        pending_since_s = self._state.pending_since_s
        return now_s() if pending_since_s is None else pending_since_s

    def _majority_s(self, found: dict[str, _Evidence], own_s: float) -> float:
        """Return the time since which a majority of the roster has confirmed."""
        roster = self._state.record.roster
        dates = sorted(
            (self._date(member, found, own_s) for member in roster.members), reverse=True
        )
        return dates[roster.majority - 1] if dates else _NEVER_S

    def _date(self, member: HostIdentity, found: dict[str, _Evidence], own_s: float) -> float:
        own = self._state.identity
        if member.host == own.host:
            is_own = member.incarnation == own.incarnation != NO_INCARNATION
            return own_s if is_own else _NEVER_S
        evidence = found.get(member.host)
        if evidence is None or evidence.incarnation != member.incarnation:
            return _NEVER_S
        return evidence.sent_s
