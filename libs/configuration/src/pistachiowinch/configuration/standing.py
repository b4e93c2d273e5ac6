"""A host's proof that its roster and its configuration version are current.

Standing is a lease: it ends at a fixed time after the newest evidence unless evidence renews it.
Evidence is dated with the time at which this host sent the message that it answers, so a delayed or
repeated message and a pause of this host only make it older.
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
# same time, so it also limits how long the holder of an old roster keeps working.
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

        :param state: what this host holds, which evidence has to confirm.
        """
        self._state = state
        self._newest: dict[str, _Evidence] = {}
        self._accepted: dict[str, _Evidence] = {}
        self._store_evidence_s = _NEVER_S
        membership.heartbeats.subscribe(self._note_heartbeat)
        state.updates.subscribe(lambda _: self._accept_again())

    def has_standing(self) -> bool:
        """Whether this host may take new work now."""
        return now_s() < self.expires_s

    def has_majority(self) -> bool:
        """Whether a majority of the members answered this host within the standing limit."""
        return now_s() < self._majority_sent_s(self._newest, now_s()) + STANDING_LIMIT_S

    @property
    def expires_s(self) -> float:
        """Loop time at which standing ends unless new evidence arrives."""
        return max(self._store_evidence_s, self.majority_evidence_s) + STANDING_LIMIT_S

    @property
    def majority_evidence_s(self) -> float:
        """Date of the newest evidence from a majority."""
        return self._majority_sent_s(self._accepted, self._own_evidence_s())

    @property
    def store_age_ms(self) -> int:
        """Age of the newest evidence from the store; -1 if there is none."""
        if self._store_evidence_s == _NEVER_S:
            return -1
        return round((now_s() - self._store_evidence_s) * 1000)

    def note_store_read(self, sent_s: float, epoch: int, version: int) -> None:
        """Note that a linearizable read found a roster epoch and a configuration version.

        :param sent_s: loop time at which the earlier of the two reads was sent.
        """
        if epoch == self._state.roster_record.epoch and version == self._state.config_version:
            self._store_evidence_s = max(self._store_evidence_s, sent_s)

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
        self._accept(heartbeat.host)

    def _accept(self, host: str) -> None:
        """Accept a host's evidence unless it names a newer epoch or version than this host holds.

        Accepted evidence stays valid when this host adopts newer versions.
        """
        evidence = self._newest[host]
        is_newer = (
            evidence.epoch > self._state.roster_record.epoch
            or evidence.version > self._state.config_version
        )
        if not is_newer:
            self._accepted[host] = evidence

    def _accept_again(self) -> None:
        for host in self._newest:
            self._accept(host)

    def _own_evidence_s(self) -> float:
        pending_since_s = self._state.pending_since_s
        return now_s() if pending_since_s is None else pending_since_s

    def _majority_sent_s(self, found: dict[str, _Evidence], own_s: float) -> float:
        """Return the time to which the evidence of a majority of the roster is dated."""
        roster = self._state.roster_record.roster
        sent_s = sorted(
            (self._sent_s(member, found, own_s) for member in roster.members), reverse=True
        )
        return sent_s[roster.majority - 1] if sent_s else _NEVER_S

    def _sent_s(self, member: HostIdentity, found: dict[str, _Evidence], own_s: float) -> float:
        own = self._state.identity
        if member.host == own.host:
            is_own = member.incarnation == own.incarnation != NO_INCARNATION
            return own_s if is_own else _NEVER_S
        evidence = found.get(member.host)
        if evidence is None or evidence.incarnation != member.incarnation:
            return _NEVER_S
        return evidence.sent_s
