"""Permits that a host holds for one service, and which of them may start a request."""

from collections import Counter
from collections.abc import Callable, Collection, Mapping

from pistachiowinch.base.clock import now_s
from pistachiowinch.limits.counters import LimitCounters
from pistachiowinch.limits.messages import PermitAnswer
from pistachiowinch.limits.permits import PERMIT_S

__all__ = ["HeldPermit", "PermitPool"]

# A permit goes back after this long when other hosts wait.
SLICE_S = 0.1
# A permit that nobody else waits for goes back after this long without use.
IDLE_S = 1.0
# This long after the first unanswered statement the host uses one permit for each target.
FALLBACK_AFTER_S = 0.1
# An idle host asks for nothing; what it knew about the broker is then outdated.
SILENCE_VALID_S = 0.3


class HeldPermit:
    """One permit.

    :param seq: the broker's number of the grant; 0 for one used because the broker is silent.
    """

    __slots__ = ("in_use", "is_orphan", "seq", "since_s", "target", "used_s")

    def __init__(self, seq: int, target: str) -> None:
        """Create a permit that is not in use."""
        self.seq = seq
        self.target = target
        self.since_s = now_s()
        self.used_s = now_s()
        self.in_use = False
        self.is_orphan = False


class PermitPool:
    """All permits of one service at one host.

    :param counters: events of permits.
    """

    def __init__(self, counters: LimitCounters) -> None:
        """Create a pool without permits."""
        self._counters = counters
        self._permits: dict[int, HeldPermit] = {}
        self._orphans: list[HeldPermit] = []
        self._fallback: dict[str, HeldPermit] = {}
        self._expires_s = now_s() + PERMIT_S
        self._silent_since_s: float | None = None
        self._last_silent_s = -PERMIT_S
        self.broker_run = 0
        self.seen = 0
        self.others_wait = False

    @property
    def is_broker_silent(self) -> bool:
        """Whether the broker has not answered for a while."""
        since_s = self._silent_since_s
        if since_s is None or now_s() - self._last_silent_s > SILENCE_VALID_S:
            return False
        return now_s() - since_s >= FALLBACK_AFTER_S

    @property
    def kept(self) -> tuple[int, ...]:
        """Grants that this host still holds."""
        self.expire()
        return tuple(self._permits)

    @property
    def orphans(self) -> dict[str, int]:
        """Permits in use that this broker did not lend, by target."""
        permits = (*self._orphans, *self._fallback.values())
        return dict(Counter(permit.target for permit in permits))

    @property
    def is_empty(self) -> bool:
        """Whether nothing is held that must be renewed."""
        return not self._permits and not self._orphans

    def free(self, targets: Collection[str]) -> list[str]:
        """Targets with a permit that may start a request, most permits first."""
        self.expire()
        counts = Counter(
            permit.target
            for permit in self._permits.values()
            if not permit.in_use and permit.target in targets and not self._is_due_back(permit)
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
        """Use a free permit of a target that :meth:`free` returned."""
        for permit in self._permits.values():
            if permit.target == target and not permit.in_use and not self._is_due_back(permit):
                break
        else:
            permit = HeldPermit(0, target)
            self._fallback[target] = permit
            self._counters.permits("fallback")
        permit.in_use = True
        return permit

    def take_idle(
        self, may_use: Callable[[str], bool], targets: Collection[str], at_s: float
    ) -> HeldPermit | None:
        """Use the permit that was idle for longest out of those that a request may use.

        :param may_use: whether the request may run on a target.
        :param targets: targets that get requests.
        :param at_s: loop time now.
        :returns: the permit, or None.
        """
        self._expire_at(at_s)
        found: HeldPermit | None = None
        for permit in self._permits.values():
            if permit.in_use or (found is not None and permit.used_s >= found.used_s):
                continue
            if permit.target not in targets or self._was_due_back(permit, at_s):
                continue
            if may_use(permit.target):
                found = permit
        if found is not None:
            found.in_use = True
        return found

    def put_back(self, permit: HeldPermit, at_s: float) -> None:
        """End the use of a permit at a time; one that expired meanwhile is simply gone."""
        permit.in_use = False
        permit.used_s = at_s
        if permit.is_orphan and permit in self._orphans:
            self._orphans.remove(permit)
        if self._fallback.get(permit.target) is permit:
            del self._fallback[permit.target]

    def drop_due(self, targets: Collection[str]) -> bool:
        """Drop idle permits that must go back; tell whether there were any."""
        self.expire()
        due = [
            permit
            for permit in self._permits.values()
            if not permit.in_use and (permit.target not in targets or self._is_due_back(permit))
        ]
        for permit in due:
            del self._permits[permit.seq]
        self._counters.permits("returned", len(due))
        return bool(due)

    def drop_idle(self) -> bool:
        """Drop all permits that are not in use; tell whether there were any."""
        due = [permit for permit in self._permits.values() if not permit.in_use]
        for permit in due:
            del self._permits[permit.seq]
        self._counters.permits("returned", len(due))
        return bool(due)

    def accept(self, answer: PermitAnswer, sent_s: float) -> None:
        """Take an answer to a statement that was sent at a time; it renews all permits."""
        self._silent_since_s = None
        # Permits that expired before this answer were lent to others and must not be revived.
        self.expire()
        if answer.broker_run != self.broker_run:
            self.orphan_all()
            self.broker_run = answer.broker_run
            self.seen = 0
        self._expires_s = sent_s + PERMIT_S
        self.others_wait = answer.others_wait
        self._add(answer.grants)

    def note_silence(self) -> None:
        """Note that a statement was not answered by the broker."""
        is_outdated = now_s() - self._last_silent_s > SILENCE_VALID_S
        if self._silent_since_s is None or is_outdated:
            self._silent_since_s = now_s()
        self._last_silent_s = now_s()

    def accept_push(
        self, broker_run: int, grants: tuple[tuple[int, str], ...], others_wait: bool
    ) -> None:
        """Take news from the broker; it renews nothing."""
        if broker_run == self.broker_run:
            self.others_wait = others_wait
            self._add(grants)

    def orphan_all(self) -> None:
        """Leave an earlier broker: its permits end with their current use."""
        for permit in self._permits.values():
            if permit.in_use:
                permit.is_orphan = True
                self._orphans.append(permit)
        self._permits.clear()
        self.broker_run = 0
        self.seen = 0
        self.others_wait = False

    def expire(self) -> None:
        """Drop permits that were not renewed in time; the broker has lent them to others."""
        self._expire_at(now_s())

    def _expire_at(self, at_s: float) -> None:
        if at_s < self._expires_s or not self._permits:
            return
        self._counters.permits("expired_while_held", len(self._permits))
        self._permits.clear()

    def _add(self, grants: tuple[tuple[int, str], ...]) -> None:
        for seq, target in grants:
            # A doubled or late message must not bring back a permit that was returned.
            if seq > self.seen:
                self.seen = seq
                self._permits[seq] = HeldPermit(seq, target)

    def _is_due_back(self, permit: HeldPermit) -> bool:
        return self._was_due_back(permit, now_s())

    def _was_due_back(self, permit: HeldPermit, at_s: float) -> bool:
        if self.others_wait:
            return at_s - permit.since_s >= SLICE_S
        return at_s - permit.used_s >= IDLE_S


def slots_of(slots: Mapping[str, int]) -> dict[str, int]:
    """Check and copy the slots of targets.

    :raises ValueError: if a target has no slot.
    """
    for target, count in slots.items():
        if count < 1:
            raise ValueError(f"target {target} needs at least one slot, not {count}")
    return dict(slots)
