"""Planned switch of a service's primary without lost writes."""

import asyncio
from collections.abc import Sequence

from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import NO_PRIMARY, Refusal
from pistachiowinch.base.logs import part_logger
from pistachiowinch.groups.gate import HOLD_LIMIT_S, TransactionGate
from pistachiowinch.groups.messages import GroupMessenger, HoldTransactions
from pistachiowinch.groups.promotion import Promoter
from pistachiowinch.groups.site import SiteView
from pistachiowinch.groups.tracker import GroupTracker

__all__ = ["PlannedSwitch"]

# Limit for running transactions to end. The rest of the hold is left for the new primary to catch
# up, and its last part for the promotion.
_DRAIN_TIMEOUT_S = 0.6
_PROMOTION_RESERVE_S = 0.2
_POLL_INTERVAL_S = 0.005

_log = part_logger("switch")


class PlannedSwitch:
    """Moves the primary of one service to another target while nothing has failed."""

    def __init__(
        self,
        tracker: GroupTracker,
        promoter: Promoter,
        gate: TransactionGate,
        messenger: GroupMessenger,
        site: SiteView,
    ) -> None:
        """Use the parts of one service's group."""
        self._tracker = tracker
        self._promoter = promoter
        self._gate = gate
        self._messenger = messenger
        self._site = site

    async def run(self, preferred: Sequence[str]) -> Result[str, Refusal]:
        """Switch to the first preferred target that can take over.

        :param preferred: targets that may become primary, best first.
        :returns: the new primary; after a refusal the primary is the old one or another target.
        """
        tracker = self._tracker
        old_primary, term = tracker.primary, tracker.term
        if old_primary is None:
            return _refused("no primary is known")
        if old_primary in preferred:
            return Success(old_primary)
        candidates = [target for target in preferred if tracker.is_reachable(target)]
        if not candidates:
            return _refused("no preferred target is reachable")
        ends_s = now_s() + HOLD_LIMIT_S
        try:
            await self._hold(term)
            chosen = await self._wait_for_catch_up(
                old_primary, candidates, ends_s - _PROMOTION_RESERVE_S
            )
            if chosen is None:
                return _refused("no preferred target caught up in time")
            order = [chosen, *(target for target in candidates if target != chosen)]
            result = await self._promoter.promote(order)
        finally:
            self._gate.open()
        match result:
            case Success(promoted) if promoted.primary in preferred:
                return Success(promoted.primary)
            case Success(promoted):
                return _refused(f"{promoted.primary} had more entries and became primary")
            case failure:
                return failure.map(lambda promoted: promoted.primary)

    async def _hold(self, term: int) -> None:
        """Delay new transactions on all hosts until the running ones end or the wait times out."""
        message = HoldTransactions(self._tracker.service, term, int(HOLD_LIMIT_S * 1000))
        peers = [host for host in self._site.members if host != self._site.host]
        self._gate.hold(term, HOLD_LIMIT_S)
        replies, running = await asyncio.gather(
            self._messenger.hold(peers, message, _DRAIN_TIMEOUT_S + 0.05),
            self._gate.wait_idle(now_s() + _DRAIN_TIMEOUT_S),
        )
        open_transactions = running + sum(reply.running for reply in replies.values() if reply)
        unanswered = [host for host, reply in replies.items() if reply is None]
        if open_transactions or unanswered:
            _log.warning(
                f"{self._tracker.service} switches with {open_transactions} open transactions "
                f"and {len(unanswered)} hosts that did not answer"
            )

    async def _wait_for_catch_up(
        self, old_primary: str, candidates: Sequence[str], deadline_s: float
    ) -> str | None:
        """Wait for a candidate that holds all of the primary's entries; None on timeout."""
        probe = self._tracker.probe(old_primary)
        await asyncio.wait([probe])
        status = probe.result().status
        if status is None or status.promised_term != status.stream_term:
            return None
        while True:
            await self._tracker.refresh(candidates)
            for target in candidates:
                found = self._tracker.status(target)
                is_same_stream = found is not None and found.stream_term == status.stream_term
                if found is not None and is_same_stream and found.position >= status.position:
                    return target
            if now_s() >= deadline_s:
                return None
            await sleep_s(_POLL_INTERVAL_S)


def _refused(detail: str) -> Result[str, Refusal]:
    return Failure(Refusal(NO_PRIMARY, detail))
