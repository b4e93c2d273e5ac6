"""Confirmation by a majority that a primary is current and that its writes survive."""

import asyncio
from typing import NamedTuple

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.groups.tracker import GroupTracker, Probe
from pistachiowinch.links.targets import TargetRole, TargetStatus

__all__ = [
    "RECONFIRM_AFTER_S",
    "Confirmation",
    "Confirmed",
    "Replaced",
    "Unconfirmed",
    "WriteConfirmer",
]

# A host that was paused must not pass on an older confirmation.
RECONFIRM_AFTER_S = 0.25

# Once enough targets answered without a majority, the others get this long before the next round.
_STRAGGLER_S = 0.005
_FIRST_RETRY_S = 0.001
_LAST_RETRY_S = 0.02


class Confirmed(NamedTuple):
    """A majority confirmed the primary.

    :param term: the primary's term.
    :param position: the primary's position, at or past every write that it had answered before.
    :param started_s: loop time from which on the confirmation is evidence.
    """

    term: int
    position: int
    started_s: float


class Replaced(NamedTuple):
    """The primary promised a newer term, or a majority did; it can never confirm again.

    :param newer_term: greatest promised term that was seen.
    """

    newer_term: int


class Unconfirmed(NamedTuple):
    """The deadline passed first; nothing is known."""

    reason: str


Confirmation = Confirmed | Replaced | Unconfirmed


class _Round:
    """Answers of one status round."""

    def __init__(self, target: str, term: int, majority: int) -> None:
        self._target = target
        self._term = term
        self._majority = majority
        self._probes: dict[str, Probe] = {}

    def add(self, target: str, probe: Probe) -> None:
        self._probes[target] = probe

    @property
    def primary(self) -> TargetStatus | None:
        """The primary's status if it is still primary of the term."""
        status = self._status(self._target)
        if status is None or status.role is not TargetRole.PRIMARY:
            return None
        return status if status.promised_term == status.stream_term == self._term else None

    def _status(self, target: str) -> TargetStatus | None:
        probe = self._probes.get(target)
        return None if probe is None else probe.status

    def newer_term(self) -> int | None:
        """Return a newer term if it rules out every later confirmation."""
        statuses = [probe.status for probe in self._probes.values() if probe.status is not None]
        newer = [status.promised_term for status in statuses if status.promised_term > self._term]
        own = self._status(self._target)
        is_own_newer = own is not None and own.promised_term > self._term
        return max(newer) if is_own_newer or len(newer) >= self._majority else None

    def started_s(self, position: int) -> float | None:
        """Return the time from which on a majority is evidence for ``position``, or None."""
        if self.primary is None:
            return None
        sent_s = [
            probe.sent_s
            for probe in self._probes.values()
            if probe.status is not None
            and probe.status.promised_term == probe.status.stream_term == self._term
            and probe.status.position >= position
        ]
        return min(sent_s) if len(sent_s) >= self._majority else None

    def answered(self) -> int:
        """Number of targets that answered."""
        return sum(probe.status is not None for probe in self._probes.values())


class WriteConfirmer:
    """Runs status rounds; concurrent callers share the requests.

    :param tracker: sends the requests.
    """

    def __init__(self, tracker: GroupTracker) -> None:
        """Use the tracker's requests."""
        self._tracker = tracker

    @staticmethod
    def is_fresh(confirmed: Confirmed) -> bool:
        """Whether a confirmation may still be passed on; check right before the answer."""
        return now_s() - confirmed.started_s <= RECONFIRM_AFTER_S

    async def confirm(self, target: str, term: int, deadline_s: float) -> Confirmation:
        """Confirm all writes that a primary has answered so far.

        :param target: the target that answered the write as primary.
        :param term: its term before the write.
        :param deadline_s: loop time.
        :returns: :class:`Confirmed` only if a majority follows the primary in the same term and
            holds its position durably.
        """
        return await self._repeat(target, term, deadline_s, is_position_needed=True)

    async def confirm_primary(self, deadline_s: float) -> tuple[str, Confirmation]:
        """Confirm that the known primary is current, without any write.

        A read at this primary that starts afterwards sees every write acknowledged before this
        call.

        :param deadline_s: loop time.
        :returns: the primary and the outcome; the name is empty if none became known.
        """
        tracker = self._tracker
        if tracker.primary is None and not await tracker.wait_for_primary(0, deadline_s):
            return "", Unconfirmed("no primary is known")
        target = tracker.primary or ""
        outcome = await self._repeat(target, tracker.term, deadline_s, is_position_needed=False)
        return target, outcome

    async def _repeat(
        self, target: str, term: int, deadline_s: float, is_position_needed: bool
    ) -> Confirmation:
        position: int | None = None
        retry_s = _FIRST_RETRY_S
        while True:
            found, needed = await self._round(
                target, term, position, is_position_needed, deadline_s
            )
            position = needed if position is None else position
            newer_term = found.newer_term()
            if newer_term is not None:
                return Replaced(newer_term)
            if self._tracker.term > term:
                return Replaced(self._tracker.term)
            if position is not None:
                started_s = found.started_s(position if is_position_needed else 0)
                if started_s is not None and now_s() - started_s <= RECONFIRM_AFTER_S:
                    return Confirmed(term, position, started_s)
            if now_s() >= deadline_s:
                return Unconfirmed(f"{found.answered()} targets answered, no majority holds it")
            await sleep_s(min(retry_s, max(deadline_s - now_s(), 0.0)))
            retry_s = min(2 * retry_s, _LAST_RETRY_S)

    async def _round(
        self,
        target: str,
        term: int,
        position: int | None,
        is_position_needed: bool,
        deadline_s: float,
    ) -> tuple[_Round, int | None]:
        tracker = self._tracker
        found = _Round(target, term, tracker.majority)
        pending = {tracker.probe(name): name for name in tracker.targets}
        while pending:
            # A target that does not answer must not hold up the next round.
            is_enough = found.answered() >= tracker.majority
            left_s = max(deadline_s - now_s(), 0.0)
            timeout_s = min(_STRAGGLER_S, left_s) if is_enough else left_s
            done, _ = await asyncio.wait(
                pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                break
            for probe in done:
                found.add(pending.pop(probe), probe.result())
            if position is None and found.primary is not None:
                position = found.primary.position
            needed = position if is_position_needed else 0
            if position is not None and found.started_s(needed or 0) is not None:
                break
            if found.newer_term() is not None:
                break
        return found, position
