"""Probe whether targets that stopped answering still accept connections."""

import asyncio

from pistachiowinch.base.clock import sleep_s
from pistachiowinch.links.statements import StatementLink, TargetRefused
from pistachiowinch.sessions.health import TargetHealth
from pistachiowinch.sessions.site import SiteView, Target

__all__ = ["TargetProber"]

# Detecting an unreachable target takes half of this longer on average.
PROBE_INTERVAL_S = 0.1
# A reachable target accepts a connection within milliseconds; a queue of 40 statements delays its
# greeting by about this.
PROBE_TIMEOUT_S = 0.25


class TargetProber:
    """Probes targets by opening and closing a connection.

    :param view: the targets.
    :param health: tells which targets need a probe, and records the results.
    :param link: opens connections.
    """

    def __init__(self, view: SiteView, health: TargetHealth, link: StatementLink) -> None:
        """Create a prober; :meth:`run` starts it."""
        self._view = view
        self._health = health
        self._link = link
        self._running: dict[str, asyncio.Task] = {}

    async def run(self) -> None:
        """Probe until cancelled."""
        try:
            while True:
                self._start_probes()
                await sleep_s(PROBE_INTERVAL_S)
        finally:
            for task in self._running.values():
                task.cancel()

    def _start_probes(self) -> None:
        for service in self._view.services:
            for name, target in self._view.targets(service).items():
                if name not in self._running and self._health.needs_probe(name):
                    task = asyncio.get_running_loop().create_task(self._probe(target))
                    self._running[name] = task
                    task.add_done_callback(lambda _, name=name: self._running.pop(name, None))

    async def _probe(self, target: Target) -> None:
        try:
            connection = await self._link.connect(
                target.service, target.name, target.address, "", PROBE_TIMEOUT_S
            )
        except TargetRefused as error:
            if error.reason is not None:
                self._health.note_alive(target.name)
            elif error.is_reached:
                self._health.note_failure(target.name, f"probe: {error}")
            else:
                self._health.note_unreachable(target.name, f"probe: {error}")
            return
        connection.close()
        self._health.note_alive(target.name)
