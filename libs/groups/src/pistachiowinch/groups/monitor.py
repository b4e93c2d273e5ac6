"""Monitoring of one service: decides when this host promotes or resets a target."""

import asyncio
from typing import NamedTuple

from returns.pipeline import is_successful

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.identity import NO_INCARNATION
from pistachiowinch.base.signals import Signal
from pistachiowinch.groups.detection import FailureVotes, Vote
from pistachiowinch.groups.promotion import Promoter
from pistachiowinch.groups.site import SiteView
from pistachiowinch.groups.tracker import GroupTracker

__all__ = ["RANK_DELAY_S", "GroupMonitor"]

# Each host waits this much longer than the one ranked before it, so that usually only one promotes.
RANK_DELAY_S = 0.25
# After this time without progress the promoting host is considered failed. With a slow store and
# one unreachable target a promotion takes up to 0.65 s.
_STALLED_PROMOTION_S = 0.75
# A target that promised a term above the current one was fenced by an abandoned promotion. It can
# only rejoin in a newer term. Starting one interrupts transactions, hence the long delay.
_ABANDONED_FENCE_DELAY_S = 1.5
_RESET_DELAY_S = 0.3
_MIN_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 2.0
_CHECK_INTERVAL_S = 0.1


class _Reason(NamedTuple):
    """Why a promotion is needed.

    :param text: short description.
    :param known_term: greatest known term; a newer one restarts the delay.
    :param delay_s: time for which the reason has to persist.
    """

    text: str
    known_term: int
    delay_s: float


class GroupMonitor:
    """Monitors one service and starts promotions and resets when they are due on this host."""

    def __init__(
        self,
        tracker: GroupTracker,
        votes: FailureVotes,
        promoter: Promoter,
        site: SiteView,
        heartbeats: Signal,
    ) -> None:
        """Use one service's tracker and the peers' heartbeats."""
        self._tracker = tracker
        self._votes = votes
        self._promoter = promoter
        self._site = site
        self._heartbeats = heartbeats
        self._reason: _Reason | None = None
        self._reason_since_s = 0.0
        self._not_before_s = 0.0
        self._backoff_s = _MIN_BACKOFF_S
        self._reset_since_s: dict[str, float] = {}
        self._wakeup = asyncio.Event()
        self._resets: set[asyncio.Task[bool]] = set()

    async def run(self) -> None:
        """Monitor until cancelled."""
        subscriptions = [
            source.subscribe(lambda _: self._wakeup.set())
            for source in (self._tracker.changes, self._heartbeats)
        ]
        try:
            while True:
                self._wakeup.clear()
                await self._step()
                try:
                    async with asyncio.timeout(_CHECK_INTERVAL_S):
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
        if not self._is_action_needed():
            self._reason = None
            self._reset_since_s.clear()
            return
        vote = self._votes.vote(self._tracker.primary or "")
        if not (vote.is_own_voter and vote.has_quorum):
            self._reason = None
            return
        rank = vote.voters.index(self._site.host)
        self._reset_targets(rank)
        if not self._is_due(self._find_reason(vote), rank):
            return
        result = await self._promoter.promote()
        if not is_successful(result):
            self._not_before_s = now_s() + self._backoff_s
            self._backoff_s = min(2 * self._backoff_s, _MAX_BACKOFF_S)
        else:
            self._backoff_s = _MIN_BACKOFF_S

    def _is_action_needed(self) -> bool:
        """Whether a promotion or reset may be needed; cheap while the service is healthy."""
        tracker = self._tracker
        primary = tracker.primary
        return (
            primary is None
            or self._votes.is_suspected_by_any(primary)
            or self._has_abandoned_fence()
            or any(self._promoter.needs_reset(target) for target in tracker.targets)
        )

    def _has_abandoned_fence(self) -> bool:
        """Whether a reachable target has promised a term newer than the current one."""
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
            # Without a majority, fencing would only detach targets from the current primary.
            return None
        known_term = tracker.highest_known_term
        if tracker.primary is None:
            return _Reason("no primary", known_term, _STALLED_PROMOTION_S)
        if vote.is_failed:
            return _Reason("primary suspected", known_term, 0.0)
        if self._has_abandoned_fence():
            return _Reason("fenced by an abandoned promotion", known_term, _ABANDONED_FENCE_DELAY_S)
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
            if now_s() - since_s < _RESET_DELAY_S + RANK_DELAY_S * rank:
                continue
            # A retry waits as long as the first attempt.
            self._reset_since_s[target] = now_s()
            task = asyncio.get_running_loop().create_task(self._promoter.reset(target))
            self._resets.add(task)
            task.add_done_callback(self._resets.discard)
