"""Runs a scenario on an event loop whose clock advances only while no task can run."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import looptime

__all__ = ["run_with_simulated_clock"]

_T = TypeVar("_T")


def run_with_simulated_clock(scenario: Callable[[], Coroutine[Any, Any, _T]]) -> _T:
    """Run a scenario from loop time 0 to its end and cancel the tasks that it leaves.

    :param scenario: called on the new loop.
    :returns: the scenario's result.
    """

    def make_loop() -> asyncio.AbstractEventLoop:
        # No other thread schedules work, so the clock may advance as soon as no task is ready.
        return looptime.new_event_loop(start=0.0, noop_cycles=0)

    async def start() -> _T:
        return await scenario()

    with asyncio.Runner(loop_factory=make_loop) as runner:
        return runner.run(start())
