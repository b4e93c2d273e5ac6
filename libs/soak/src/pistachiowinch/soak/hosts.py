"""Host processes: start, signal, monitor and restart them."""

import asyncio
import json
import math
import os
import signal
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import BinaryIO

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.fleet.switching import PRIMARY_LEASE_MARGIN_S
from pistachiowinch.standins.platform_documents import (
    SETTINGS_VARIABLE,
    HostRow,
    settings_bytes,
)

__all__ = ["HOST_COMMAND", "HostProcess"]

# The host program of the users' platform, run with this interpreter.
HOST_COMMAND = (sys.executable, "-m", "pistachiowinch.platform.program")
# Delay before a process that ended is restarted, as on the platform.
RESTART_DELAY_S = 0.4
# The platform's rules excuse an exit this soon after the start, because a signal may arrive before
# the interpreter runs the program's code.
STARTUP_GRACE_S = 1.0
# How often the kernel's CPU wait time of a process is read.
CPU_WAIT_SAMPLE_S = 0.2
# A process that waited longer than this for a CPU within two samples counts as disturbed: a
# promotion allows this much time between a host's check of its primary lease and its statement.
SLOWED_CPU_WAIT_S = PRIMARY_LEASE_MARGIN_S
# A planned stop is judged until this long after the time that the settings give it.
EXIT_ALLOWANCE_S = 1.0
# A statement counts as undisturbed if the last disturbance ended this long before it was sent.
UNDISTURBED_S = 0.5
_NS_PER_S = 1e9


class HostProcess:
    """A host process that is restarted whenever it ends.

    :param number: number of the host in the cluster, also in its addresses.
    :param row: settings of the host.
    :param folder: folder for the settings file and the log.
    :param command: command that runs a host.
    :param on_unexpected_exit: called with the exit status if the process ends without a SIGKILL
        or SIGTERM from :meth:`send_signal`.
    :ivar last_disturbed_s: loop time of the last start, signal, pause or long wait for a CPU.
    :ivar last_unplanned_s: the same without signals that ask the process to stop or to reload.
    :ivar stop_signal_s: loop time of the last signal that asked the process to stop.
    """

    def __init__(
        self,
        number: int,
        row: HostRow,
        folder: Path,
        command: Sequence[str],
        on_unexpected_exit: Callable[["HostProcess", int], None],
    ) -> None:
        """Write the settings file; :meth:`run` starts the process."""
        self.number = number
        self.name = row.host
        self.last_disturbed_s = self.last_unplanned_s = 0.0
        self.stop_signal_s = -math.inf
        self._command = command
        self._on_unexpected_exit = on_unexpected_exit
        self._process: asyncio.subprocess.Process | None = None
        self._is_exit_expected = False
        self._is_paused = False
        self._stop_within_s = row.stop_within_s
        self._settings_path = folder / f"{self.name}.json"
        self._settings_path.write_bytes(settings_bytes(row))
        self._log_path = folder / f"{self.name}.log"

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.returncode is None

    async def run(self) -> None:
        """Keep the host running until cancelled."""
        environment = os.environ | {
            SETTINGS_VARIABLE: str(self._settings_path),
            "PYTHONPATH": os.pathsep.join(sys.path),
        }
        with self._log_path.open("ab") as log:
            while True:
                started_s = now_s()
                self.note_disturbance()
                self._is_exit_expected = self._is_paused = False
                self._process = await asyncio.create_subprocess_exec(
                    *self._command, stdout=log, stderr=log, env=environment
                )
                self._log_process(log, "process_launched", pid=self._process.pid)
                await self._monitor(self._process)
                self._log_process(log, "process_ended", status=self._process.returncode)
                is_starting = now_s() - started_s < STARTUP_GRACE_S
                if not self._is_exit_expected and not is_starting:
                    self._on_unexpected_exit(self, self._process.returncode)
                await sleep_s(RESTART_DELAY_S)

    @staticmethod
    def _log_process(log: BinaryIO, event: str, **fields: int) -> None:
        """Write a line to the host's log, between those of the host's own runs."""
        line = {"t": round(now_s(), 3), "part": "soak", "event": event, **fields}
        log.write(json.dumps(line).encode() + b"\n")
        log.flush()

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if not self.is_running:
            return
        self.last_disturbed_s = now_s()
        if signal_number == signal.SIGTERM:
            self.stop_signal_s = now_s()
        elif signal_number != signal.SIGHUP:
            self.note_disturbance()
        self._is_exit_expected |= signal_number in (signal.SIGKILL, signal.SIGTERM)
        if signal_number in (signal.SIGSTOP, signal.SIGCONT):
            self._is_paused = signal_number == signal.SIGSTOP
        self._process.send_signal(signal_number)

    def note_disturbance(self) -> None:
        """Record a disturbance of the process or its links that nobody planned."""
        self.last_disturbed_s = self.last_unplanned_s = now_s()

    def is_only_stopping(self, since_s: float) -> bool:
        """Return whether the process was asked to stop, and nothing else has disturbed it.

        :param since_s: start of a caller's statement.
        """
        is_stopping = now_s() - self.stop_signal_s < self._stop_within_s + EXIT_ALLOWANCE_S
        return is_stopping and self.last_unplanned_s < since_s - UNDISTURBED_S

    async def kill(self) -> None:
        """Kill the process and wait for it; :meth:`run` must have been cancelled."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def _monitor(self, process: asyncio.subprocess.Process) -> None:
        """Wait for the exit, recording pauses and long CPU waits as disturbances."""
        exited = asyncio.ensure_future(process.wait())
        try:
            cpu_waits_s = (0.0, 0.0, 0.0)
            while not exited.done():
                await asyncio.wait({exited}, timeout=CPU_WAIT_SAMPLE_S)
                cpu_waits_s = (*cpu_waits_s[1:], _cpu_wait_s(process.pid))
                if self._is_paused or cpu_waits_s[2] - cpu_waits_s[0] > SLOWED_CPU_WAIT_S:
                    self.note_disturbance()
        finally:
            exited.cancel()


def _cpu_wait_s(process_id: int) -> float:
    """Return how long a process has waited for a CPU since its start."""
    try:
        return int(Path(f"/proc/{process_id}/schedstat").read_text().split()[1]) / _NS_PER_S
    except OSError:
        # The process ended before the file was read.
        return 0.0
