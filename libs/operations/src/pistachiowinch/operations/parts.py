"""Supervision of a host's long-running tasks, which are called its parts.

No part is restarted: one that failed may have left its state half changed. The host becomes
unready and reports why, and the platform replaces it.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

from pistachiowinch.base.logs import part_logger

__all__ = ["PartRunner"]

# A cancellation is lost if an awaited call fails in the same iteration of the event loop: a store
# error that asyncio.gather raised in its place once made a stopping host wait forever. Therefore
# stop() cancels a part again if it does not end in time.
STOP_TIMEOUT_S = 2.0
_STOP_ATTEMPTS = 2

_log = part_logger("host")


class PartRunner:
    """Runs the parts of one host and records their failures."""

    def __init__(self) -> None:
        """Start without parts."""
        self._tasks: dict[str, asyncio.Task[Any]] = {}
        self._failures: dict[str, str] = {}
        self._failed = asyncio.Event()

    @property
    def failures(self) -> tuple[str, ...]:
        """One sentence for each part that ended without being stopped."""
        return tuple(self._failures.values())

    @property
    def running(self) -> tuple[str, ...]:
        """Names of the running parts, in the order of their start."""
        return tuple(self._tasks)

    def start(self, name: str, run: Coroutine[Any, Any, Any]) -> None:
        """Run a part as a task.

        :param name: unique name of the part, used in logs.
        :param run: runs until cancelled.
        :raises ValueError: if a part of that name is running.
        """
        if name in self._tasks:
            run.close()
            raise ValueError(f"part {name} is already running")
        task = asyncio.get_running_loop().create_task(run, name=name)
        self._tasks[name] = task
        task.add_done_callback(lambda done: self._on_done(name, done))

    def report(self, name: str, error: BaseException) -> None:
        """Record an error of a part outside its own task, such as in a callback.

        :param name: name of the part.
        :param error: the error.
        """
        self._record(name, f"failed: {error!r}")

    async def wait_failed(self) -> None:
        """Return once any part has failed."""
        await self._failed.wait()

    async def stop(self, name: str) -> None:
        """Cancel one part and wait until it ends; does nothing for an unknown name.

        :param name: name of the part.
        """
        task = self._tasks.pop(name, None)
        if task is None:
            return
        for _ in range(_STOP_ATTEMPTS):
            task.cancel()
            done, _pending = await asyncio.wait({task}, timeout=STOP_TIMEOUT_S)
            if done:
                self._log_stop_error(name, task)
                return
            _log.warning("Part {} did not end within {:g} s.", name, STOP_TIMEOUT_S)
        # asyncio.run cancels the task again when the process ends.
        _log.error("Part {} could not be stopped.", name)

    @staticmethod
    def _log_stop_error(name: str, task: asyncio.Task[Any]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None:
            _log.warning("Part {} failed while it was being stopped: {!r}.", name, error)

    async def stop_all(self) -> None:
        """Stop all parts, the last started first."""
        for name in reversed(self.running):
            await self.stop(name)

    def _on_done(self, name: str, task: asyncio.Task[Any]) -> None:
        if self._tasks.get(name) is not task:
            return  # stop() removed it.
        del self._tasks[name]
        if task.cancelled():
            self._record(name, "was cancelled from outside")
            return
        error = task.exception()
        self._record(name, f"failed: {error!r}" if error else "ended before the host stopped")

    def _record(self, name: str, problem: str) -> None:
        _log.error("Part {} {}.", name, problem)
        self._failures.setdefault(name, f"part {name} {problem}")
        self._failed.set()
