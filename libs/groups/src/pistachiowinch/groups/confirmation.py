"""Confirmation by a majority that a primary is current and that its writes are durable."""

import asyncio
from typing import NamedTuple

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.groups.tracker import GroupTracker, Probe
from pistachiowinch.links.targets import TargetRole, TargetStatus

__all__ = [
    "CONFIRMATION_MAX_AGE_S",
    "Confirmation",
    "Confirmed",
    "Replaced",
    "Unconfirmed",
    "WriteConfirmer",
]

# A host that was paused must not answer a caller from an older confirmation.
CONFIRMATION_MAX_AGE_S = 0.25

# Once a majority has answered without confirming, the others get this long before the next round.
_STRAGGLER_WAIT_S = 0.005
_MIN_RETRY_DELAY_S = 0.001
_MAX_RETRY_DELAY_S = 0.02


class Confirmed(NamedTuple):
    """A majority confirmed the primary.

    :param term: the primary's term.
    :param position: the primary's position, at or past every write that it had answered before.
    :param started_s: loop time at which the oldest confirming request was sent.
    """

    term: int
    position: int
    started_s: float


class Replaced(NamedTuple):
    """The primary or a majority promised a newer term, so no later attempt can confirm it.

    :param newer_term: greatest promised term that was reported.
    """

    newer_term: int


class Unconfirmed(NamedTuple):
    """The deadline passed before the outcome was known."""

    reason: str


Confirmation = Confirmed | Replaced | Unconfirmed


class _Round:
    """Answers to one round of status requests."""

    def __init__(self, target: str, term: int, majority: int) -> None:
        self._target = target
        self._term = term
        self._majority = majority
        self._probes: dict[str, Probe] = {}

    def add(self, target: str, probe: Probe) -> None:
        self._probes[target] = probe

    @property
    def primary(self) -> TargetStatus | None:
        """The target's status if it is still the primary of the term."""
        status = self._status(self._target)
        if status is None or status.role is not TargetRole.PRIMARY:
            return None
        return status if status.promised_term == status.stream_term == self._term else None

    def _status(self, target: str) -> TargetStatus | None:
        probe = self._probes.get(target)
        return None if probe is None else probe.status

    def newer_term(self) -> int | None:
        """Return the newest promised term if it rules out any later confirmation."""
        statuses = [probe.status for probe in self._probes.values() if probe.status is not None]
        newer = [status.promised_term for status in statuses if status.promised_term > self._term]
        own = self._status(self._target)
        is_own_newer = own is not None and own.promised_term > self._term
        return max(newer) if is_own_newer or len(newer) >= self._majority else None

    def started_s(self, position: int) -> float | None:
        """Return when the oldest request of a majority at ``position`` was sent, or None."""
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
        """Return the number of targets that answered."""
        return sum(probe.status is not None for probe in self._probes.values())


class WriteConfirmer:
    """Runs rounds of status requests; concurrent callers share the requests.

    :param tracker: sends the requests.
    """

    def __init__(self, tracker: GroupTracker) -> None:
        """Send requests through the tracker."""
        self._tracker = tracker

    @staticmethod
    def is_fresh(confirmed: Confirmed) -> bool:
        """Whether a confirmation is still valid; check it right before answering the caller."""
        return now_s() - confirmed.started_s <= CONFIRMATION_MAX_AGE_S

    async def confirm(self, target: str, term: int, deadline_s: float) -> Confirmation:
        """Confirm all writes that a primary has answered so far.

        :param target: the target that answered the write as primary.
        :param term: its term before the write.
        :param deadline_s: loop time.
        :returns: :class:`Confirmed` only if a majority follows the primary in the same term and
            holds its position durably.
        """
        return await self._confirm_with_retries(target, term, deadline_s, is_position_needed=True)

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
        outcome = await self._confirm_with_retries(
            target, tracker.term, deadline_s, is_position_needed=False
        )
        return target, outcome

    async def _confirm_with_retries(
        self, target: str, term: int, deadline_s: float, is_position_needed: bool
    ) -> Confirmation:
        position: int | None = None
        retry_delay_s = _MIN_RETRY_DELAY_S
        while True:
            answers, first_position = await self._round(
                target, term, position, is_position_needed, deadline_s
            )
            position = first_position if position is None else position
            newer_term = answers.newer_term()
            if newer_term is not None:
                return Replaced(newer_term)
            if self._tracker.term > term:
                return Replaced(self._tracker.term)
            if position is not None:
                started_s = answers.started_s(position if is_position_needed else 0)
                if started_s is not None and now_s() - started_s <= CONFIRMATION_MAX_AGE_S:
                    return Confirmed(term, position, started_s)
            if now_s() >= deadline_s:
                return Unconfirmed(f"{answers.answered()} targets answered, no majority holds it")
            await sleep_s(min(retry_delay_s, max(deadline_s - now_s(), 0.0)))
            retry_delay_s = min(2 * retry_delay_s, _MAX_RETRY_DELAY_S)

    async def _round(
        self,
        target: str,
        term: int,
        position: int | None,
        is_position_needed: bool,
        deadline_s: float,
    ) -> tuple[_Round, int | None]:
        tracker = self._tracker
        answers = _Round(target, term, tracker.majority)
        pending = {tracker.probe(name): name for name in tracker.targets}
        while pending:
            # A target that does not answer must not delay the next round.
            is_enough = answers.answered() >= tracker.majority
            left_s = max(deadline_s - now_s(), 0.0)
            timeout_s = min(_STRAGGLER_WAIT_S, left_s) if is_enough else left_s
            done, _ = await asyncio.wait(
                pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                break
            for probe in done:
                answers.add(pending.pop(probe), probe.result())
            if position is None and answers.primary is not None:
                position = answers.primary.position
            needed = position if is_position_needed else 0
            if position is not None and answers.started_s(needed or 0) is not None:
                break
            if answers.newer_term() is not None:
                break
        return answers, position
