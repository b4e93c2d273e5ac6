"""Exchanges with targets, each under a time limit."""

import asyncio

from pistachiowinch.gateway.interfaces import TargetPool
from pistachiowinch.links.targets import ExecuteOutcome, Failed, ResultLost, TargetConnection

__all__ = ["Exchanges", "is_read_only_error"]

# MySQL also reports other server options with 1290; the message names the option.
_ERRNO_OPTION_PREVENTS = 1290
_ERRNO_READ_ONLY_MODE = 1836


def is_read_only_error(failed: Failed) -> bool:
    """Tell whether a target refused a write because it is no longer the primary.

    :param failed: the target's error.
    """
    if failed.errno == _ERRNO_OPTION_PREVENTS:
        return "read-only" in failed.message
    return failed.errno == _ERRNO_READ_ONLY_MODE


class _RunningExchange:
    """One exchange in progress.

    :param task: the task that waits for the answer.
    :param deadline_s: loop time at which the answer counts as lost.
    """

    __slots__ = ("cancelling", "deadline_s", "is_expired", "task")

    def __init__(self, task: "asyncio.Task[object]", deadline_s: float) -> None:
        self.task = task
        self.deadline_s = deadline_s
        self.cancelling = task.cancelling()
        self.is_expired = False

    def expire(self) -> None:
        self.is_expired = True
        self.task.cancel()

    def end(self) -> bool:
        """Undo the cancellation of an expiry; return whether nothing else cancelled the task."""
        return self.is_expired and self.task.uncancel() <= self.cancelling


class Exchanges:
    """Runs exchanges and reports a timeout as a lost answer.

    One timer serves all exchanges. It stays set when an exchange ends, because a timer for each
    exchange costs several microseconds and nearly none of them would ever fire.
    """

    def __init__(self) -> None:
        """Start without exchanges."""
        self._running: set[_RunningExchange] = set()
        self._timer: asyncio.TimerHandle | None = None

    async def run(
        self,
        pool: TargetPool | None,
        connection: TargetConnection,
        text: str,
        timeout_s: float,
    ) -> ExecuteOutcome:
        """Run one statement.

        After a timeout the connection is unusable, so a late answer cannot reach another caller.
        The idle connections to the same target may be broken for the same reason, so they are
        closed too.

        :param pool: the connection's pool; None if its target has been removed.
        :param connection: a usable connection.
        :param text: the SQL text.
        :param timeout_s: seconds until the answer counts as lost.
        :returns: the target's answer or error, or :class:`ResultLost`.
        """
        if not connection.is_usable:
            return ResultLost(is_sent=False, reason="connection was already closed")
        running = self._start(timeout_s)
        is_timeout = False
        try:
            try:
                return await connection.execute(text)
            finally:
                self._running.discard(running)
                is_timeout = running.end()
        except asyncio.CancelledError:
            if not is_timeout:
                raise
        if pool is not None:
            pool.close_idle()
        return ResultLost(is_sent=True, reason=f"no answer for {timeout_s:g} s")

    def _start(self, timeout_s: float) -> _RunningExchange:
        loop = asyncio.get_running_loop()
        running = _RunningExchange(asyncio.current_task(loop), loop.time() + timeout_s)
        self._running.add(running)
        self._ensure_timer(loop, running.deadline_s)
        return running

    def _ensure_timer(self, loop: asyncio.AbstractEventLoop, at_s: float) -> None:
        timer = self._timer
        if timer is not None:
            if timer.when() <= at_s:
                return
            timer.cancel()
        self._timer = loop.call_at(at_s, self._expire, loop, at_s)

    def _expire(self, loop: asyncio.AbstractEventLoop, at_s: float) -> None:
        self._timer = None
        # The loop runs a timer up to one clock resolution early.
        reached_s = max(at_s, loop.time())
        pending = [running for running in self._running if not running.is_expired]
        for running in pending:
            if running.deadline_s <= reached_s:
                running.expire()
        deadlines_s = [running.deadline_s for running in pending if not running.is_expired]
        if deadlines_s:
            self._ensure_timer(loop, min(deadlines_s))
