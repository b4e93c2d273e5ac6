"""Runs one host as a process, with logs, signal handling and an exit code."""

import asyncio
import signal

from pistachiowinch.base.logs import part_logger
from pistachiowinch.operations.host import Host
from pistachiowinch.operations.links import open_links
from pistachiowinch.operations.process_logs import process_logs
from pistachiowinch.operations.settings import Settings

__all__ = ["StopSignals", "run_daemon"]

EXIT_CLEAN = 0
EXIT_FAILED = 1
_SIGNALS = (signal.SIGTERM, signal.SIGINT)

_log = part_logger("host")


class StopSignals:
    """Two events: the first signal asks for a graceful stop, the second for an immediate one."""

    def __init__(self) -> None:
        """Start without a signal."""
        self.first = asyncio.Event()
        self.second = asyncio.Event()

    def install(self) -> None:
        """Handle SIGTERM and SIGINT in the running loop."""
        loop = asyncio.get_running_loop()
        for number in _SIGNALS:
            loop.add_signal_handler(number, self.receive)

    def receive(self) -> None:
        """Record one signal."""
        if self.first.is_set():
            self.second.set()
        self.first.set()


async def _serve(settings: Settings) -> int:
    signals = StopSignals()
    signals.install()
    try:
        links = await open_links(settings)
    except OSError as error:
        _log.critical("The host cannot listen: {}.", error)
        return EXIT_FAILED
    try:
        return await _run_host(Host(settings, links), signals)
    finally:
        await links.close()


async def _run_host(host: Host, signals: StopSignals) -> int:
    try:
        await host.start()
        await signals.first.wait()
        _log.notice("Stopping.")
        stopping = asyncio.ensure_future(host.stop())
        is_done = await _finished_before(stopping, signals.second)
        return EXIT_CLEAN if is_done and not host.failures else EXIT_FAILED
    except OSError as error:
        _log.critical("The host cannot listen: {}.", error)
        return EXIT_FAILED
    finally:
        await host.abort()


async def _finished_before(work: "asyncio.Future[None]", event: asyncio.Event) -> bool:
    """Wait for the work or the event; cancel the work if the event comes first."""
    waiting = asyncio.ensure_future(event.wait())
    await asyncio.wait({work, waiting}, return_when=asyncio.FIRST_COMPLETED)
    waiting.cancel()
    if work.done():
        work.result()
        return True
    work.cancel()
    await asyncio.gather(work, return_exceptions=True)
    return False


def run_daemon(settings: Settings) -> int:
    """Run a host until a signal stops it.

    :param settings: checked settings.
    :returns: the process's exit code, 0 after a complete graceful stop.
    """
    with process_logs(settings.log):
        return asyncio.run(_serve(settings))
