"""Delay of new transactions during a planned switch of the primary."""

import asyncio

from pistachiowinch.base.clock import now_s

__all__ = ["HOLD_LIMIT_S", "TransactionGate"]

# A planned switch delays new transactions at most this long.
HOLD_LIMIT_S = 1.0

# A timer may fire this much early, so a shorter remaining time counts as elapsed.
_TIMER_RESOLUTION_S = 1e-6


class TransactionGate:
    """Counts this host's transactions on the primary and delays new ones during a hold."""

    def __init__(self) -> None:
        """Start without a hold."""
        self._running = 0
        self._held_until_s = 0.0
        self._held_term = 0
        self._changed = asyncio.Event()

    @property
    def running(self) -> int:
        """Transactions between :meth:`enter` and :meth:`leave`."""
        return self._running

    @property
    def is_held(self) -> bool:
        """Whether new transactions have to wait."""
        return now_s() < self._held_until_s - _TIMER_RESOLUTION_S

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait(self, deadline_s: float) -> None:
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._changed.wait()
        except TimeoutError:
            return

    async def enter(self, deadline_s: float) -> bool:
        """Wait for the end of a hold, then count one transaction.

        :param deadline_s: loop time.
        :returns: false if the deadline passed first; then :meth:`leave` must not be called.
        """
        while self.is_held:
            if now_s() >= deadline_s - _TIMER_RESOLUTION_S:
                return False
            await self._wait(min(deadline_s, self._held_until_s))
        self._running += 1
        return True

    def leave(self) -> None:
        """Count the end of one transaction.

        :raises RuntimeError: if none is running.
        """
        if self._running == 0:
            raise RuntimeError("leave() without a running transaction")
        self._running -= 1
        if self._running == 0:
            self._notify()

    def hold(self, term: int, duration_s: float) -> None:
        """Delay new transactions.

        :param term: the term that is about to end; the hold ends with the primary of a newer term.
        :param duration_s: seconds, at most :data:`HOLD_LIMIT_S`.
        """
        self._held_term = max(self._held_term, term)
        self._held_until_s = now_s() + min(max(duration_s, 0.0), HOLD_LIMIT_S)

    def release(self, term: int) -> None:
        """End a hold if the given term is newer than the one it was started for.

        :param term: term whose primary is known now.
        """
        if self.is_held and term > self._held_term:
            self.open()

    def open(self) -> None:
        """End any hold."""
        self._held_until_s = 0.0
        self._notify()

    async def wait_idle(self, deadline_s: float) -> int:
        """Wait until no transaction is running.

        :param deadline_s: loop time.
        :returns: transactions that still run.
        """
        while self._running and now_s() < deadline_s - _TIMER_RESOLUTION_S:
            await self._wait(deadline_s)
        return self._running
