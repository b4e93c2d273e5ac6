"""Runs a scenario on a loop whose clock only advances while everything waits."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import looptime

__all__ = ["run_paused"]

_T = TypeVar("_T")


def run_paused(scenario: Callable[[], Coroutine[Any, Any, _T]]) -> _T:
    """Run a scenario from loop time 0 to its end; tasks that it left are cancelled.

    :param scenario: called on the new loop.
    """

    def make_loop() -> asyncio.AbstractEventLoop:
        # No thread takes part, so that the clock may advance as soon as nothing is ready.
        return looptime.new_event_loop(start=0.0, noop_cycles=0)

    async def start() -> _T:
        return await scenario()

    with asyncio.Runner(loop_factory=make_loop) as runner:
        return runner.run(start())
