"""Slots of one service's targets, granted in the order of arrival."""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from typing import NamedTuple

from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.codes import DEADLINE_PASSED, QUEUE_FULL, Refusal

__all__ = ["MAX_WAITING", "ServiceScheduler", "SlotGrant", "SlotRequest"]

MAX_WAITING = 256


class SlotRequest(NamedTuple):
    """A request that waits for a slot.

    :param deadline_s: loop time at which the request is dropped as not run.
    :param may_use: whether the request may run on a target now.
    """

    customer: str
    weight: float
    deadline_s: float
    may_use: Callable[[str], bool]


class SlotGrant(NamedTuple):
    """The right to run one statement on a target."""

    target: str
    number: int


class _Waiter(NamedTuple):
    request: SlotRequest
    granted: asyncio.Future[SlotGrant]


class ServiceScheduler:
    """Grants the slots of this host in the order of arrival."""

    def __init__(self) -> None:
        """Start without targets."""
        self._slots: dict[str, int] = {}
        self._used: dict[str, int] = {}
        self._waiting: deque[_Waiter] = deque()
        self._grant_count = 0

    def set_targets(self, slots: Mapping[str, int]) -> None:
        """Change the targets and their slots.

        :param slots: slots of each target.
        """
        self._slots = dict(slots)
        self.reconsider()

    async def acquire(self, request: SlotRequest) -> Result[SlotGrant, Refusal]:
        """Wait for a slot.

        :param request: what is to run.
        """
        if len(self._waiting) >= MAX_WAITING:
            return Failure(Refusal(QUEUE_FULL, "too many requests are waiting"))
        waiter = _Waiter(request, asyncio.get_running_loop().create_future())
        self._waiting.append(waiter)
        self.reconsider()
        try:
            async with asyncio.timeout_at(request.deadline_s):
                return Success(await asyncio.shield(waiter.granted))
        except TimeoutError:
            self._forget(waiter)
            return Failure(Refusal(DEADLINE_PASSED, "no slot became free in time"))
        except asyncio.CancelledError:
            self._forget(waiter)
            raise

    def release(self, grant: SlotGrant) -> None:
        """Return a slot.

        :param grant: a grant that was not returned before.
        """
        self._used[grant.target] -= 1
        self.reconsider()

    def reconsider(self) -> None:
        """Check the waiting requests again."""
        kept: deque[_Waiter] = deque()
        while self._waiting:
            waiter = self._waiting.popleft()
            if not self._try_grant(waiter):
                kept.append(waiter)
        self._waiting = kept

    async def run(self) -> None:
        """Drop requests past their deadlines until cancelled."""
        await asyncio.Event().wait()

    def _try_grant(self, waiter: _Waiter) -> bool:
        if waiter.granted.done():
            return True
        if waiter.request.deadline_s <= now_s():
            return False
        for target, slots in self._slots.items():
            if self._used.get(target, 0) < slots and waiter.request.may_use(target):
                self._used[target] = self._used.get(target, 0) + 1
                self._grant_count += 1
                waiter.granted.set_result(SlotGrant(target, self._grant_count))
                return True
        return False

    def _forget(self, waiter: _Waiter) -> None:
        if waiter.granted.done() and not waiter.granted.cancelled():
            self.release(waiter.granted.result())
        waiter.granted.cancel()
        if waiter in self._waiting:
            self._waiting.remove(waiter)
