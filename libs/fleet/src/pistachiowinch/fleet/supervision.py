"""Decides when a primary is to be replaced, and which host does it."""

import asyncio
import math
from collections.abc import Callable
from typing import NamedTuple

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.switching import PrimarySwitch, SwitchContext, SwitchRequest

__all__ = ["ServiceView", "SwitchSupervisor", "reason_to_switch"]

# Looking costs little; it adds half of this to the time without a primary.
LOOK_S = 0.1
# A host that does not vote may become a voter; it acts half a second later at the latest.
IDLE_LOOK_S = 0.5
# One more heartbeat of each host after most of them suspect the primary.
MAJORITY_SUSPECTS_S = 0.25
# A primary that some hosts still use is worth waiting for, about as long as a switch stops them.
SOME_SUSPECT_S = 1.0
# More hosts than a lost availability zone of three takes away must suspect a primary.
SOME_PART = 1.0 / 3.0
# A switch that another host has begun is left to it for as long as it usually takes.
LEFT_ALONE_S = 2.0
# Each host waits this much longer than the one before it, so that the first is seen to act.
RANK_STEP_S = 0.5


class ServiceView(NamedTuple):
    """What this host and its peers know of one service.

    :param is_switching: whether a switch has begun and not ended.
    :param candidates: targets that may take over.
    :param suspecting_hosts: hosts that get no answers from the primary, of ``reporting_hosts``.
    """

    service: str
    primary: str
    is_switching: bool
    is_primary_registered: bool
    is_primary_leaving: bool
    candidates: tuple[str, ...]
    suspecting_hosts: int
    reporting_hosts: int


class _Reason(NamedTuple):
    text: str
    delay_s: float
    is_planned: bool


def reason_to_switch(view: ServiceView) -> _Reason | None:
    """Tell whether a primary is to be replaced, and after how long without a change."""
    if view.is_switching:
        return _Reason("a switch was left unfinished", LEFT_ALONE_S, False)
    if not view.candidates:
        return None
    if not view.primary:
        return None
    if 2 * view.suspecting_hosts > view.reporting_hosts:
        return _Reason("most hosts get no answers", MAJORITY_SUSPECTS_S, False)
    if not view.is_primary_registered:
        return _Reason("the primary is not registered", MAJORITY_SUSPECTS_S, False)
    if view.is_primary_leaving:
        return _Reason("the primary is leaving", 0.0, True)
    if view.suspecting_hosts > SOME_PART * view.reporting_hosts:
        return _Reason("some hosts get no answers", SOME_SUSPECT_S, False)
    return None


class SwitchSupervisor:
    """Looks at all services and starts switches, one at a time for each service.

    :param parts: what switches use.
    :param views: returns the current views.
    :param rank: returns this host's place in the order of hosts that act, 0 for the first.
    :param log: decisions of this part.
    :param is_voter: whether this host votes, so that its views may give it something to do.
    """

    def __init__(
        self,
        parts: SwitchContext,
        views: Callable[[], list[ServiceView]],
        rank: Callable[[], int],
        log: DecisionLog,
        is_voter: Callable[[], bool] = lambda: True,
    ) -> None:
        """Create a supervisor; :meth:`run` starts it."""
        self._is_voter = is_voter
        self._parts = parts
        self._views = views
        self._rank = rank
        self._log = log
        self._since: dict[str, tuple[str, float]] = {}
        self._running: dict[str, asyncio.Task] = {}
        self._next_try_s: dict[str, float] = {}

    async def run(self) -> None:
        """Look until cancelled."""
        try:
            while True:
                for view in self._views():
                    self._look(view)
                await sleep_s(LOOK_S if self._is_voter() else IDLE_LOOK_S)
        finally:
            for task in self._running.values():
                task.cancel()

    def _look(self, view: ServiceView) -> None:
        service = view.service
        task = self._running.get(service)
        if task is not None:
            if not task.done():
                return
            self._end(service, task)
        reason = reason_to_switch(view)
        if reason is None:
            self._since.pop(service, None)
            return
        known = self._since.get(service)
        if known is None or known[0] != reason.text:
            known = self._since[service] = (reason.text, now_s())
        wait_s = reason.delay_s + self._rank() * RANK_STEP_S
        if now_s() - known[1] < wait_s or now_s() < self._next_try_s.get(service, -math.inf):
            return
        self._next_try_s[service] = now_s() + RANK_STEP_S
        request = SwitchRequest(
            service, reason.text, reason.is_planned, view.primary, view.candidates
        )
        switch = PrimarySwitch(self._parts, request)
        self._running[service] = asyncio.get_running_loop().create_task(switch.run())

    def _end(self, service: str, task: asyncio.Task) -> None:
        del self._running[service]
        if not task.cancelled() and task.exception() is not None:
            self._log.write("switch_failed", service=service, cause=repr(task.exception()))
