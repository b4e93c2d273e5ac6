"""Permits that a host holds for one service."""

from collections import Counter
from collections.abc import Callable, Collection, Mapping

from pistachiowinch.base.clock import now_s
from pistachiowinch.limits.counters import LimitCounters
from pistachiowinch.limits.messages import PermitAnswer
from pistachiowinch.limits.permits import PERMIT_TTL_S

__all__ = ["HeldPermit", "PermitPool"]

# A permit is returned after this time if other hosts wait for permits.
TIME_SLICE_S = 0.1
# A permit is returned after this time without use if no other host waits.
MAX_IDLE_S = 1.0
# This long after the first unanswered sync message, the host uses one permit per target without
# the broker.
FALLBACK_DELAY_S = 0.1
# An idle host sends no sync messages, so an older observation says nothing about the broker.
SILENCE_VALIDITY_S = 0.3


class HeldPermit:
    """A permit for one slot on a target.

    :param seq: the broker's number of the grant; 0 for a permit used while the broker is silent.
    """

    __slots__ = ("granted_s", "in_use", "is_orphan", "last_used_s", "seq", "target")

    def __init__(self, seq: int, target: str) -> None:
        """Create a permit that is not in use."""
        self.seq = seq
        self.target = target
        self.granted_s = now_s()
        self.last_used_s = now_s()
        self.in_use = False
        self.is_orphan = False


class PermitPool:
    """All permits of one service at one host.

    :param counters: counts permit events.
    """

    def __init__(self, counters: LimitCounters) -> None:
        """Create a pool without permits."""
        self._counters = counters
        self._permits: dict[int, HeldPermit] = {}
        self._orphans: list[HeldPermit] = []
        self._fallback: dict[str, HeldPermit] = {}
        self._expires_s = now_s() + PERMIT_TTL_S
        self._silent_since_s: float | None = None
        self._last_silent_s = -PERMIT_TTL_S
        self.broker_run_id = 0
        self.last_received = 0
        self.others_wait = False

    @property
    def is_broker_silent(self) -> bool:
        """Whether the broker has not answered for :data:`FALLBACK_DELAY_S`."""
        since_s = self._silent_since_s
        if since_s is None or now_s() - self._last_silent_s > SILENCE_VALIDITY_S:
            return False
        return now_s() - since_s >= FALLBACK_DELAY_S

    @property
    def held_grants(self) -> tuple[int, ...]:
        """Numbers of the grants that this host still holds."""
        self.expire()
        return tuple(self._permits)

    @property
    def orphans(self) -> dict[str, int]:
        """Count of permits in use that this broker did not grant, by target."""
        permits = (*self._orphans, *self._fallback.values())
        return dict(Counter(permit.target for permit in permits))

    @property
    def is_empty(self) -> bool:
        """Whether no permit is held that must be renewed."""
        return not self._permits and not self._orphans

    def free_targets(self, targets: Collection[str]) -> list[str]:
        """Return the targets with a permit that may start a request, most permits first."""
        self.expire()
        counts = Counter(
            permit.target
            for permit in self._permits.values()
            if not permit.in_use and permit.target in targets and not self._is_due(permit)
        )
        if self.is_broker_silent:
            held = {permit.target for permit in (*self._permits.values(), *self._orphans)}
            for target in targets:
                if target not in held and target not in self._fallback:
                    counts[target] += 1
        return [
            target for target, _ in sorted(counts.items(), key=lambda item: (-item[1], item[0]))
        ]

    def take(self, target: str) -> HeldPermit:
        """Mark as in use a free permit of a target that :meth:`free_targets` returned."""
        for permit in self._permits.values():
            if permit.target == target and not permit.in_use and not self._is_due(permit):
                break
        else:
            permit = HeldPermit(0, target)
            self._fallback[target] = permit
            self._counters.count_permits("fallback")
        permit.in_use = True
        return permit

    def take_idle(
        self, may_use: Callable[[str], bool], targets: Collection[str], at_s: float
    ) -> HeldPermit | None:
        """Mark as in use the longest idle permit that a request may use.

        :param may_use: tells whether the request may run on a target.
        :param targets: targets that get requests.
        :param at_s: current loop time.
        :returns: the permit, or None if there is none.
        """
        self._expire_at(at_s)
        found: HeldPermit | None = None
        for permit in self._permits.values():
            if permit.in_use or (found is not None and permit.last_used_s >= found.last_used_s):
                continue
            if permit.target not in targets or self._is_due_at(permit, at_s):
                continue
            if may_use(permit.target):
                found = permit
        if found is not None:
            found.in_use = True
        return found

    def release(self, permit: HeldPermit, at_s: float) -> None:
        """Mark a permit as idle; one that expired meanwhile is not restored."""
        permit.in_use = False
        permit.last_used_s = at_s
        if permit.is_orphan and permit in self._orphans:
            self._orphans.remove(permit)
        if self._fallback.get(permit.target) is permit:
            del self._fallback[permit.target]

    def return_due(self, targets: Collection[str]) -> bool:
        """Drop the idle permits that are due, so that the next sync message returns them.

        :returns: whether there were any.
        """
        self.expire()
        due = [
            permit
            for permit in self._permits.values()
            if not permit.in_use and (permit.target not in targets or self._is_due(permit))
        ]
        for permit in due:
            del self._permits[permit.seq]
        self._counters.count_permits("returned", len(due))
        return bool(due)

    def return_idle(self) -> bool:
        """Drop all idle permits, so that the next sync message returns them.

        :returns: whether there were any.
        """
        idle = [permit for permit in self._permits.values() if not permit.in_use]
        for permit in idle:
            del self._permits[permit.seq]
        self._counters.count_permits("returned", len(idle))
        return bool(idle)

    def accept(self, answer: PermitAnswer, sent_s: float) -> None:
        """Apply the broker's answer to a sync message, which renews all permits.

        :param sent_s: loop time at which the sync message was sent.
        """
        self._silent_since_s = None
        # Permits that expired before this answer may be granted to others and must not be renewed.
        self.expire()
        if answer.broker_run_id != self.broker_run_id:
            self.orphan_all()
            self.broker_run_id = answer.broker_run_id
            self.last_received = 0
        self._expires_s = sent_s + PERMIT_TTL_S
        self.others_wait = answer.others_wait
        self._add(answer.grants)

    def record_broker_silence(self) -> None:
        """Record that the broker did not answer a sync message."""
        is_outdated = now_s() - self._last_silent_s > SILENCE_VALIDITY_S
        if self._silent_since_s is None or is_outdated:
            self._silent_since_s = now_s()
        self._last_silent_s = now_s()

    def accept_push(
        self, broker_run_id: int, grants: tuple[tuple[int, str], ...], others_wait: bool
    ) -> None:
        """Apply a notification from the broker, which renews no permits."""
        if broker_run_id == self.broker_run_id:
            self.others_wait = others_wait
            self._add(grants)

    def orphan_all(self) -> None:
        """Drop the permits of an earlier broker; those in use end with their current request."""
        for permit in self._permits.values():
            if permit.in_use:
                permit.is_orphan = True
                self._orphans.append(permit)
        self._permits.clear()
        self.broker_run_id = 0
        self.last_received = 0
        self.others_wait = False

    def expire(self) -> None:
        """Drop permits that were not renewed in time and may have been granted to others."""
        self._expire_at(now_s())

    def _expire_at(self, at_s: float) -> None:
        if at_s < self._expires_s or not self._permits:
            return
        self._counters.count_permits("expired_while_held", len(self._permits))
        self._permits.clear()

    def _add(self, grants: tuple[tuple[int, str], ...]) -> None:
        for seq, target in grants:
            # A duplicate or late message must not restore a permit that was returned.
            if seq > self.last_received:
                self.last_received = seq
                self._permits[seq] = HeldPermit(seq, target)

    def _is_due(self, permit: HeldPermit) -> bool:
        return self._is_due_at(permit, now_s())

    def _is_due_at(self, permit: HeldPermit, at_s: float) -> bool:
        if self.others_wait:
            return at_s - permit.granted_s >= TIME_SLICE_S
        return at_s - permit.last_used_s >= MAX_IDLE_S


def checked_slots(slots: Mapping[str, int]) -> dict[str, int]:
    """Return a checked copy of the targets' numbers of slots.

    :raises ValueError: if a target has no slot.
    """
    for target, count in slots.items():
        if count < 1:
            raise ValueError(f"target {target} needs at least one slot, not {count}")
    return dict(slots)
