"""Run one host's process: signal handling, idle transactions and graceful shutdown."""

import asyncio
import math
import signal
from collections.abc import Callable

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.entry.callers import CallerServer
from pistachiowinch.entry.host import Host
from pistachiowinch.sessions.shutdown import Shutdown

__all__ = ["Daemon"]

# Time for a graceful shutdown if the settings state none.
DEFAULT_STOP_TIMEOUT_S = 6.0
# The load balancer probes each second and removes a host after two answers other than 200.
LEAVE_ROTATION_S = 2.3
# Maximum part of the shutdown time for leaving the rotation; the rest is for closing sessions.
LEAVE_ROTATION_FRACTION = 1.0 / 3.0
# Part of the shutdown time in which open transactions may end in any case.
TRANSACTION_FRACTION = 0.5
# The last answers, the return of borrowed rate tokens and a few store calls, with a timeout of 1 s
# each, before the process is killed.
EXIT_MARGIN_S = 0.8
MAX_EXIT_MARGIN_FRACTION = 1.0 / 6.0
# Part of that margin in which the last answers must have been sent.
LAST_ANSWERS_FRACTION = 0.5
# A session is closed at most this long after its last operation, and after the last answers.
STOP_POLL_INTERVAL_S = 0.1
LAST_ANSWERS_POLL_INTERVAL_S = 0.02
# Short compared with the idle timeout of transactions, which is 3 s.
IDLE_CHECK_INTERVAL_S = 0.1


class Daemon:
    """Runs a host and its callers until a signal asks to stop.

    :param host: the host.
    :param callers: the server for callers.
    :param callers_address: ``IP:PORT`` where callers connect.
    :param stop_within_s: time from the signal to the exit; None for the default.
    :param reload: called on SIGHUP.
    :param log: decision log of this component.
    """

    def __init__(
        self,
        host: Host,
        callers: CallerServer,
        callers_address: str,
        stop_within_s: float | None,
        reload: Callable[[], None],
        log: DecisionLog,
    ) -> None:
        """Create a daemon; :meth:`run` starts it."""
        self._host = host
        self._callers = callers
        self._callers_address = callers_address
        self._stop_within_s = stop_within_s or DEFAULT_STOP_TIMEOUT_S
        self._reload = reload
        self._log = log
        self._stopping = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new callers to this host."""
        return self._host.is_ready and not self._stopping.is_set()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop)
        loop.add_signal_handler(signal.SIGINT, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._host.start()
        await self._callers.start(self._callers_address)
        upkeep = loop.create_task(self._watch_sessions())
        await self._stopping.wait()
        await self._shut_down()
        upkeep.cancel()
        self._log.write("stopped")

    def stop(self) -> None:
        """Request a graceful shutdown."""
        self._stopping.set()

    async def _watch_sessions(self) -> None:
        """End idle transactions, and let idle callers reconnect once this host is cut off."""
        cut_off_s: float | None = None
        while True:
            await sleep_s(IDLE_CHECK_INTERVAL_S)
            self._callers.close_slow(IDLE_CHECK_INTERVAL_S)
            self._callers.end_idle_transactions()
            if not self._host.is_cut_off:
                cut_off_s = None
            elif cut_off_s is None:
                cut_off_s = now_s()
            elif cut_off_s <= now_s() - LEAVE_ROTATION_S:
                # Once: callers that come back show that no other host takes them.
                cut_off_s = math.inf
                self._log.write("callers_sent_away", sessions=self._callers.count)
                self._callers.close_idle()

    async def _shut_down(self) -> None:
        """Leave the load balancer's rotation, then close each session once it is idle.

        What callers have sent is answered before the end: targets have until ``answers_by_s``, and
        then each statement that still runs is refused with what is known about it.
        """
        started_s = now_s()
        within_s = self._stop_within_s
        margin_s = min(EXIT_MARGIN_S, within_s * MAX_EXIT_MARGIN_FRACTION)
        answers_by_s = started_s + within_s - margin_s
        self._host.session_context.shutdown = Shutdown(
            started_s + within_s * TRANSACTION_FRACTION, answers_by_s
        )
        self._log.write("stopping", sessions=self._callers.count, within_s=within_s)
        await sleep_s(min(LEAVE_ROTATION_S, within_s * LEAVE_ROTATION_FRACTION))
        self._callers.stop_listening()
        self._host.session_context.is_stopping = True
        while (self._callers.count or self._host.hosts_work) and now_s() < answers_by_s:
            self._callers.end_hopeless_transactions()
            self._callers.close_idle()
            await sleep_s(min(STOP_POLL_INTERVAL_S, answers_by_s - now_s()))
        while self._callers.count and now_s() < answers_by_s + margin_s * LAST_ANSWERS_FRACTION:
            self._callers.close_waiting()
            await sleep_s(LAST_ANSWERS_POLL_INTERVAL_S)
        self._log.write("sessions_closed", left=self._callers.count)
        self._callers.close_all()
        await self._host.leave()
