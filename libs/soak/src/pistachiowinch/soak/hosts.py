"""Hosts as processes: started, signalled, watched and restarted by their ids."""

import asyncio
import os
import signal
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.fleet.switching import PRIMARY_LEASE_MARGIN_S
from pistachiowinch.standins.platform_documents import (
    SETTINGS_VARIABLE,
    HostRow,
    settings_bytes,
)

__all__ = ["PROGRAM", "HostProcess"]

# What is run on the users' platform, by this interpreter.
PROGRAM = (sys.executable, "-m", "pistachiowinch.platform.program")
# Time after which an ended process is started again, as on the platform.
RESTART_S = 0.4
# An end this soon after the start is excused by the platform's rules: a signal may come before the
# interpreter runs any code of the program.
STARTING_S = 1.0
# How often the time that a process waited for a processor is read.
SAMPLE_S = 0.2
# A process that waited this long for a processor within two samples counts as slowed: a promotion
# allows for as much between a host's look at its proof and its statement.
SLOWED_S = PRIMARY_LEASE_MARGIN_S
_NS_PER_S = 1e9


class HostProcess:
    """One host.

    :param number: number of its addresses.
    :param row: its settings.
    :param folder: where its settings and its log are written.
    :param program: command that runs a host.
    :param on_ended: called with the exit status if the process ends by itself.
    :ivar disturbed_s: loop time at which it was last started, signalled, or slowed by the machine.
    """

    def __init__(
        self,
        number: int,
        row: HostRow,
        folder: Path,
        program: Sequence[str],
        on_ended: Callable[["HostProcess", int], None],
    ) -> None:
        """Write the settings; :meth:`run` starts the process."""
        self.number = number
        self.name = row.host
        self.disturbed_s = 0.0
        self._program = program
        self._on_ended = on_ended
        self._process: asyncio.subprocess.Process | None = None
        self._is_expected = False
        self._is_paused = False
        self._settings = folder / f"{self.name}.json"
        self._settings.write_bytes(settings_bytes(row))
        self._log = folder / f"{self.name}.log"

    @property
    def is_running(self) -> bool:
        """Whether the process exists."""
        return self._process is not None and self._process.returncode is None

    async def run(self) -> None:
        """Keep the host running until cancelled."""
        environment = os.environ | {
            SETTINGS_VARIABLE: str(self._settings),
            "PYTHONPATH": os.pathsep.join(sys.path),
        }
        with self._log.open("ab") as log:
            while True:
                self.disturbed_s = started_s = now_s()
                self._is_expected = self._is_paused = False
                self._process = await asyncio.create_subprocess_exec(
                    *self._program, stdout=log, stderr=log, env=environment
                )
                await self._watch(self._process)
                is_starting = now_s() - started_s < STARTING_S
                if not self._is_expected and not is_starting:
                    self._on_ended(self, self._process.returncode)
                await sleep_s(RESTART_S)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process, if it runs."""
        if not self.is_running:
            return
        self.disturbed_s = now_s()
        self._is_expected |= number in (signal.SIGKILL, signal.SIGTERM)
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self._is_paused = number == signal.SIGSTOP
        self._process.send_signal(number)

    async def end(self) -> None:
        """Kill the process for good and wait for its end; :meth:`run` must have been cancelled."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Wait for the end, noting when the machine let the process wait."""
        end = asyncio.ensure_future(process.wait())
        try:
            waited_s = (0.0, 0.0, 0.0)
            while not end.done():
                await asyncio.wait({end}, timeout=SAMPLE_S)
                waited_s = (*waited_s[1:], _waited_s(process.pid))
                if self._is_paused or waited_s[2] - waited_s[0] > SLOWED_S:
                    self.disturbed_s = now_s()
        finally:
            end.cancel()


def _waited_s(process_id: int) -> float:
    """Return how long a process has waited for a processor since its start."""
    try:
        return int(Path(f"/proc/{process_id}/schedstat").read_text().split()[1]) / _NS_PER_S
    except OSError:
        # It has ended between the wait and this look.
        return 0.0
