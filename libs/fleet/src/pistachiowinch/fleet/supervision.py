"""Decides when a primary has to be replaced, and which host replaces it."""

import asyncio
import math
from collections.abc import Callable
from typing import NamedTuple

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.switching import PrimarySwitch, SwitchContext, SwitchRequest

__all__ = ["ServiceView", "SwitchSupervisor", "reason_to_switch"]

# A check is cheap; on average the interval adds half of its length to the time without a primary.
CHECK_INTERVAL_S = 0.1
# A host that does not vote still checks, so that it acts within this time after becoming a voter.
NON_VOTER_CHECK_INTERVAL_S = 0.5
# One more heartbeat of each host after a majority suspects the primary.
MAJORITY_SUSPICION_DELAY_S = 0.25
# Some hosts still use the primary, so waiting is preferred for about as long as a switch would
# interrupt them.
MINORITY_SUSPICION_DELAY_S = 1.0
# Must be exceeded, so that a few hosts with broken links cause no switch.
MINORITY_FRACTION = 1.0 / 3.0
# Usual duration of a switch; another host takes an unfinished one over only after this time.
UNFINISHED_SWITCH_DELAY_S = 2.0
# An unfinished switch whose host holds the promotion lock no longer is taken over after this time.
ORPHANED_SWITCH_DELAY_S = 0.1
# Each host waits this much longer than the one ranked before it, to notice if that one has started
# the switch.
RANK_DELAY_S = 0.5


class ServiceView(NamedTuple):
    """State of one service as seen by this host and its peers.

    :param is_switching: whether a switch is in progress.
    :param candidates: targets that may become primary.
    :param targets: all targets of the service.
    :param suspecting_hosts: number of hosts, out of ``reporting_hosts``, to which the primary does
        not answer.
    :param suspecting_zones: number of availability zones of those hosts, out of
        ``reporting_zones``.
    :param unreachable_candidates: candidates that at least as many hosts suspect as the primary.
    :param is_switch_orphaned: whether no running host holds the promotion lock.
    :param sync_replicas: replicas that have received a commit before it is acknowledged.
    """

    service: str
    primary: str
    is_switching: bool
    is_primary_registered: bool
    is_primary_leaving: bool
    candidates: tuple[str, ...]
    suspecting_hosts: int
    reporting_hosts: int
    suspecting_zones: int
    reporting_zones: int
    unreachable_candidates: frozenset[str] = frozenset()
    is_switch_orphaned: bool = False
    targets: tuple[str, ...] = ()
    sync_replicas: int = 0

    @property
    def reachable_candidates(self) -> tuple[str, ...]:
        """Candidates that fewer hosts suspect than the primary."""
        return tuple(name for name in self.candidates if name not in self.unreachable_candidates)

    @property
    def preferred_candidates(self) -> tuple[str, ...]:
        """Candidates of a switch, the preferred ones first.

        With synchronous replication, one that most hosts suspect may be the only one that has all
        acknowledged commits.
        """
        reachable = self.reachable_candidates
        if self.sync_replicas > 0:
            return (*reachable, *(name for name in self.candidates if name not in reachable))
        return reachable or self.candidates


class _Reason(NamedTuple):
    text: str
    delay_s: float
    is_planned: bool
    is_suspicion: bool = False

    def continues(self, earlier: "_Reason") -> bool:
        """Whether this reason has lasted since the earlier one; suspicion spreads host by host."""
        return self.text == earlier.text or (self.is_suspicion and earlier.is_suspicion)


def reason_to_switch(view: ServiceView) -> _Reason | None:
    """Return why a primary has to be replaced and for how long the reason must last, or None."""
    if view.is_switching:
        is_orphaned = view.is_switch_orphaned
        delay_s = ORPHANED_SWITCH_DELAY_S if is_orphaned else UNFINISHED_SWITCH_DELAY_S
        return _Reason("a switch was left unfinished", delay_s, False)
    if not view.candidates:
        return None
    if not view.primary:
        return None
    if 2 * view.suspecting_hosts > view.reporting_hosts:
        return _Reason("most hosts get no answers", MAJORITY_SUSPICION_DELAY_S, False, True)
    if not view.is_primary_registered:
        return _Reason("the primary is not registered", MAJORITY_SUSPICION_DELAY_S, False)
    if view.is_primary_leaving:
        return _Reason("the primary is leaving", 0.0, True)
    if _is_suspected_by_minority(view):
        return _Reason("some hosts get no answers", MINORITY_SUSPICION_DELAY_S, False, True)
    return None


def _is_suspected_by_minority(view: ServiceView) -> bool:
    """Return whether a switch would help the hosts that get no answers from the primary.

    Load pattern: an availability zone is cut off, and its hosts, up to half of all, suspect every
    target elsewhere. Another primary would be as unreachable for them, and each switch interrupts
    the hosts of the other zones.
    """
    is_zone_cut = view.suspecting_zones == 1 < view.reporting_zones
    is_enough = view.suspecting_hosts > MINORITY_FRACTION * view.reporting_hosts
    return is_enough and not is_zone_cut and bool(view.reachable_candidates)


class SwitchSupervisor:
    """Checks all services and starts switches, one at a time for each service.

    :param context: dependencies of the switches.
    :param views: returns the current view of each service.
    :param rank: returns this host's rank among the hosts that may switch; 0 is the first.
    :param log: receives this part's decisions.
    :param is_voter: returns whether this host votes; other hosts check less often.
    """

    def __init__(
        self,
        context: SwitchContext,
        views: Callable[[], list[ServiceView]],
        rank: Callable[[], int],
        log: DecisionLog,
        is_voter: Callable[[], bool] = lambda: True,
    ) -> None:
        """Create a supervisor; :meth:`run` starts it."""
        self._is_voter = is_voter
        self._context = context
        self._views = views
        self._rank = rank
        self._log = log
        self._reasons: dict[str, tuple[_Reason, float]] = {}
        self._running: dict[str, asyncio.Task] = {}
        self._next_attempt_s: dict[str, float] = {}

    async def run(self) -> None:
        """Check all services at intervals until cancelled."""
        try:
            while True:
                for view in self._views():
                    self._check(view)
                await sleep_s(CHECK_INTERVAL_S if self._is_voter() else NON_VOTER_CHECK_INTERVAL_S)
        finally:
            for task in self._running.values():
                task.cancel()

    def _check(self, view: ServiceView) -> None:
        service = view.service
        task = self._running.get(service)
        if task is not None:
            if not task.done():
                return
            self._finish(service, task)
        reason = reason_to_switch(view)
        if reason is None:
            self._reasons.pop(service, None)
            return
        known = self._reasons.get(service)
        since_s = known[1] if known is not None and reason.continues(known[0]) else now_s()
        self._reasons[service] = (reason, since_s)
        wait_s = reason.delay_s + self._rank() * RANK_DELAY_S
        if now_s() - since_s < wait_s or now_s() < self._next_attempt_s.get(service, -math.inf):
            return
        self._next_attempt_s[service] = now_s() + RANK_DELAY_S
        request = SwitchRequest(
            service,
            reason.text,
            reason.is_planned,
            view.primary,
            view.preferred_candidates,
            view.targets,
            view.sync_replicas,
        )
        switch = PrimarySwitch(self._context, request)
        self._running[service] = asyncio.get_running_loop().create_task(switch.run())

    def _finish(self, service: str, task: asyncio.Task) -> None:
        del self._running[service]
        if not task.cancelled() and task.exception() is not None:
            self._log.write("switch_failed", service=service, cause=repr(task.exception()))
