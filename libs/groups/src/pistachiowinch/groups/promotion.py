"""Promotion of a new primary.

The steps are: fence a majority, choose a target, promote it, let a majority follow it, and publish
the result. Any step may fail, and the host may pause or crash after any step. Terms are fencing
tokens: another host can safely repeat the steps with a higher term, and several hosts may promote
at the same time.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.codes import NO_PRIMARY, Refusal
from pistachiowinch.base.identity import NO_INCARNATION
from pistachiowinch.base.logs import part_logger
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.groups.announcements import PrimaryStore, StoredPrimary
from pistachiowinch.groups.site import SiteView
from pistachiowinch.groups.terms import next_term
from pistachiowinch.groups.tracker import GroupTracker
from pistachiowinch.links.targets import (
    FenceReply,
    GroupLink,
    TargetRole,
    TargetStatus,
    TargetUnreachable,
)

__all__ = ["ORDER_TIMEOUT_S", "Promoted", "Promoter"]

# A healthy target answers an order in milliseconds. One that needs about as long as the detection
# of a failed target takes is passed over, and the next attempt promotes another target.
ORDER_TIMEOUT_S = 0.5
# Once a majority has accepted the fence, the others get this long to add a more complete candidate.
_STRAGGLER_WAIT_S = 0.02

_log = part_logger("promotion")

Publish = Callable[[int, str], Awaitable[None]]


class Promoted(NamedTuple):
    """A completed promotion."""

    term: int
    primary: str


class Promoter:
    """Promotes targets of one service on behalf of this host, one attempt at a time.

    :param tracker: known terms and targets.
    :param link: sends orders to the targets.
    :param store: stores the announcements.
    :param site: this host's name and incarnation.
    :param publish: sends ``(term, primary)`` to the peers; the primary is empty at the start.
    :param metrics: counts attempts by outcome.
    """

    def __init__(
        self,
        tracker: GroupTracker,
        link: GroupLink,
        store: PrimaryStore,
        site: SiteView,
        publish: Publish,
        metrics: Metrics,
    ) -> None:
        """Start with no promotion under way."""
        self._promotions = metrics.promotions
        self._tracker = tracker
        self._link = link
        self._store = store
        self._site = site
        self._publish = publish
        self._is_running = False
        self._tasks: set[asyncio.Task[object]] = set()

    @property
    def is_running(self) -> bool:
        """Whether an attempt is under way."""
        return self._is_running

    def close(self) -> None:
        """Cancel the background tasks."""
        for task in list(self._tasks):
            task.cancel()

    async def promote(self, preferred: Sequence[str] = ()) -> Result[Promoted, Refusal]:
        """Make one attempt to give the service a primary in a new term.

        :param preferred: preference among equally complete targets, best first.
        :returns: the new primary, or the step that failed. After a failure the service may be
            without a primary until the next attempt, by this or another host.
        """
        if self._is_running:
            return _refused("a promotion is under way on this host")
        if self._site.incarnation == NO_INCARNATION:
            return _refused("this host has no incarnation")
        self._is_running = True
        try:
            result = await self._attempt(preferred)
        finally:
            self._is_running = False
        outcome = "promoted" if isinstance(result, Success) else "failed"
        self._promotions.labels(outcome=outcome).inc()
        return result

    async def _attempt(self, preferred: Sequence[str]) -> Result[Promoted, Refusal]:
        tracker, service = self._tracker, self._tracker.service
        old_primary = tracker.primary
        term = next_term(tracker.highest_known_term, self._site.incarnation)
        # A later attempt of this host must not reuse the term, as orders of both could be mixed up.
        tracker.learn_primary(term, None)
        _log.info(f"{service} promotion with term {term:#x} starts")
        self._spawn(self._publish(term, ""))
        other = await self._store.announce(StoredPrimary(term, "", self._site.host))
        if other is not None:
            tracker.learn_primary(other.term, other.primary)
            return _refused(f"{other.host} announced a competing promotion")
        if tracker.highest_known_term > term:
            return _refused("a newer term appeared")
        fenced = await self._fence_majority(term)
        if len(fenced) < tracker.majority:
            return _refused(f"{len(fenced)} targets accepted the fence")
        chosen = self._choose(fenced, [*preferred, old_primary or ""])
        if tracker.highest_known_term > term:
            return _refused("a newer term appeared")
        reply = await self._order(self._link.promote(chosen, term))
        # Without a clear answer the target may have become primary, so no other target may be
        # promoted in the same term. The next attempt uses a higher term.
        if reply is None or not reply.is_accepted:
            return _refused(f"{chosen} did not accept the promotion")
        await self._follow_majority(chosen, term)
        tracker.learn_primary(term, chosen)
        await self._publish(term, chosen)
        self._spawn(self._store.publish(StoredPrimary(term, chosen, self._site.host)))
        _log.info(f"{service} primary is {chosen} in term {term:#x}")
        return Success(Promoted(term, chosen))

    def _spawn(self, work: Awaitable[object]) -> "asyncio.Task[object]":
        async def run() -> object:
            return await work

        task = asyncio.get_running_loop().create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _order(self, order: Awaitable[FenceReply]) -> FenceReply | None:
        sent_s = now_s()
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                reply = await order
        except (TimeoutError, TargetUnreachable):
            return None
        self._tracker.learn_status(reply.status, sent_s)
        return reply

    async def _fence_majority(self, term: int) -> dict[str, TargetStatus]:
        tracker = self._tracker
        orders = {
            self._spawn(self._order(self._link.fence(target, term))): target
            for target in tracker.targets
        }
        fenced: dict[str, TargetStatus] = {}
        pending = set(orders)
        while pending:
            is_waiting_for_better = len(fenced) >= tracker.majority
            left = [orders[task] for task in pending]
            if is_waiting_for_better and all(tracker.is_suspected(target) for target in left):
                break
            done, pending = await asyncio.wait(
                pending,
                timeout=_STRAGGLER_WAIT_S if is_waiting_for_better else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            for task in done:
                reply = task.result()
                if isinstance(reply, FenceReply) and reply.is_accepted:
                    fenced[orders[task]] = reply.status
        return fenced

    @staticmethod
    def _choose(fenced: dict[str, TargetStatus], preferred: Sequence[str]) -> str:
        def order(target: str) -> tuple[int, int, int, str]:
            status = fenced[target]
            rank = preferred.index(target) if target in preferred else len(preferred)
            return (-status.log_term, -status.position, rank, target)

        return min(fenced, key=order)

    async def _follow_majority(self, primary: str, term: int) -> None:
        tracker = self._tracker
        pending = {
            self._spawn(self._order(self._link.follow(target, term, primary)))
            for target in tracker.targets
            if target != primary
        }
        following = 1
        # GroupMonitor resets the targets that do not accept the order now.
        while pending and following < tracker.majority:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                reply = task.result()
                following += isinstance(reply, FenceReply) and reply.is_accepted

    async def reset(self, target: str) -> bool:
        """Order a target that does not follow the current primary to do so.

        :param target: its name.
        :returns: whether it accepted the order.
        """
        primary, term = self._tracker.primary, self._tracker.term
        if primary is None or primary == target:
            return False
        reply = await self._order(self._link.follow(target, term, primary))
        is_accepted = reply is not None and reply.is_accepted
        if is_accepted:
            _log.info(f"{self._tracker.service}/{target} follows {primary} again")
        return is_accepted

    def needs_reset(self, target: str) -> bool:
        """Whether a reachable target should follow the current primary but does not."""
        tracker = self._tracker
        status = tracker.status(target)
        if tracker.primary in (None, target) or status is None or not tracker.is_reachable(target):
            return False
        if status.promised_term > tracker.term:
            return False
        is_following = status.promised_term == status.stream_term == tracker.term
        return not is_following or status.role is not TargetRole.REPLICA


def _refused(detail: str) -> Result[Promoted, Refusal]:
    _log.warning(f"promotion ended: {detail}")
    return Failure(Refusal(NO_PRIMARY, detail))
