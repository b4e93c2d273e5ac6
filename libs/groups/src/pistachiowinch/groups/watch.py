"""Decision when this host starts a promotion or resets a target."""

import asyncio
from typing import NamedTuple

from reactivex import Observable
from returns.pipeline import is_successful

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.identity import NO_INCARNATION
from pistachiowinch.groups.detection import FailureVotes, Vote
from pistachiowinch.groups.promotion import Promoter
from pistachiowinch.groups.site import SiteView
from pistachiowinch.groups.tracker import GroupTracker

__all__ = ["RANK_DELAY_S", "GroupWatch"]

# Hosts start one after the other, so that usually only one promotes.
RANK_DELAY_S = 0.25
# A promotion that made no progress for this time has lost its host. With a slow store and one
# unreachable target it takes up to 0.65 s.
_STALLED_S = 0.75
# A target with a promise above the current term was fenced by a promotion that ended early. It
# can only return with a newer term, which interrupts transactions, so this is less urgent.
_STRAY_PROMISE_S = 1.5
_RESET_AFTER_S = 0.3
_FIRST_BACKOFF_S = 0.25
_LAST_BACKOFF_S = 2.0
_TICK_S = 0.1


class _Reason(NamedTuple):
    """Why a promotion is needed.

    :param text: for the log.
    :param known_term: greatest known term; a newer one restarts the wait.
    :param delay_s: time that the reason has to last.
    """

    text: str
    known_term: int
    delay_s: float


class GroupWatch:
    """Watches one service and starts promotions and resets when they are due at this host."""

    def __init__(
        self,
        tracker: GroupTracker,
        votes: FailureVotes,
        promoter: Promoter,
        site: SiteView,
        heartbeats: "Observable[object]",
    ) -> None:
        """Watch one service's tracker and the peers' heartbeats."""
        self._tracker = tracker
        self._votes = votes
        self._promoter = promoter
        self._site = site
        self._heartbeats = heartbeats
        self._reason: _Reason | None = None
        self._reason_since_s = 0.0
        self._not_before_s = 0.0
        self._backoff_s = _FIRST_BACKOFF_S
        self._reset_since_s: dict[str, float] = {}
        self._wakeup = asyncio.Event()
        self._resets: set[asyncio.Task[bool]] = set()

    async def run(self) -> None:
        """Watch until cancelled."""
        subscriptions = [
            source.subscribe(lambda _: self._wakeup.set())
            for source in (self._tracker.changes, self._heartbeats)
        ]
        try:
            while True:
                self._wakeup.clear()
                await self._step()
                try:
                    async with asyncio.timeout(_TICK_S):
                        await self._wakeup.wait()
                except TimeoutError:
                    continue
        finally:
            for subscription in subscriptions:
                subscription.dispose()
            for task in list(self._resets):
                task.cancel()

    async def _step(self) -> None:
        if self._site.incarnation == NO_INCARNATION or self._promoter.is_running:
            return
        if not self._is_attention_needed():
            self._reason = None
            self._reset_since_s.clear()
            return
        vote = self._votes.vote(self._tracker.primary or "")
        if not (vote.is_own_contact and vote.is_quorate):
            self._reason = None
            return
        rank = vote.counting.index(self._site.host)
        self._reset_targets(rank)
        if not self._is_due(self._find_reason(vote), rank):
            return
        result = await self._promoter.promote()
        if not is_successful(result):
            self._not_before_s = now_s() + self._backoff_s
            self._backoff_s = min(2 * self._backoff_s, _LAST_BACKOFF_S)
        else:
            self._backoff_s = _FIRST_BACKOFF_S

    def _is_attention_needed(self) -> bool:
        """Whether anything may be wrong; keeps a healthy service cheap."""
        tracker = self._tracker
        primary = tracker.primary
        return (
            primary is None
            or self._votes.is_suspected_by_any(primary)
            or self._stray_promise()
            or any(self._promoter.needs_reset(target) for target in tracker.targets)
        )

    def _stray_promise(self) -> bool:
        """Whether a reachable target has promised a term that never got a primary."""
        tracker = self._tracker
        for target in tracker.targets:
            status = tracker.status(target)
            is_above = status is not None and status.promised_term > tracker.term
            if is_above and tracker.is_reachable(target):
                return True
        return False

    def _find_reason(self, vote: Vote) -> _Reason | None:
        tracker = self._tracker
        reachable = [target for target in tracker.targets if tracker.is_reachable(target)]
        if len(reachable) < tracker.majority:
            # A fence without a majority would only take targets from the current primary.
            return None
        known_term = tracker.highest_known_term
        if tracker.primary is None:
            return _Reason("no primary", known_term, _STALLED_S)
        if vote.is_failed:
            return _Reason("primary suspected", known_term, 0.0)
        if self._stray_promise():
            return _Reason("stray promise", known_term, _STRAY_PROMISE_S)
        return None

    def _is_due(self, reason: _Reason | None, rank: int) -> bool:
        if reason != self._reason:
            self._reason = reason
            self._reason_since_s = now_s()
        if reason is None:
            return False
        due_s = self._reason_since_s + reason.delay_s + RANK_DELAY_S * rank
        return now_s() >= max(due_s, self._not_before_s)

    def _reset_targets(self, rank: int) -> None:
        for target in self._tracker.targets:
            if not self._promoter.needs_reset(target):
                self._reset_since_s.pop(target, None)
                continue
            since_s = self._reset_since_s.setdefault(target, now_s())
            if now_s() - since_s < _RESET_AFTER_S + RANK_DELAY_S * rank:
                continue
            # The next try waits as long as the first one.
            self._reset_since_s[target] = now_s()
            task = asyncio.get_running_loop().create_task(self._promoter.reset(target))
            self._resets.add(task)
            task.add_done_callback(self._resets.discard)
