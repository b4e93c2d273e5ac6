"""Guards against parts that fail or end unnoticed, and against silent restarts."""

import asyncio

import pytest

from pistachiowinch.operations.parts import PartRunner

pytestmark = pytest.mark.looptime


async def _forever():
    await asyncio.Event().wait()


async def test_failed_part_is_recorded_and_not_restarted():
    runs = []

    async def fail():
        runs.append(1)
        await asyncio.sleep(1)
        raise RuntimeError("no store")

    parts = PartRunner()
    parts.start("roster", fail())
    parts.start("membership", _forever())
    await parts.wait_failed()
    await asyncio.sleep(60)
    assert parts.failures == ("part roster failed: RuntimeError('no store')",)
    assert parts.running == ("membership",)
    assert runs == [1]
    await parts.stop_all()


async def test_part_that_returns_early_counts_as_failed():
    async def end():
        await asyncio.sleep(0)

    parts = PartRunner()
    parts.start("tracker", end())
    await parts.wait_failed()
    assert parts.failures == ("part tracker ended before the host stopped",)


async def test_stopped_parts_end_in_reverse_order_without_failures():
    ended = []

    async def run(name):
        try:
            await _forever()
        finally:
            ended.append(name)

    parts = PartRunner()
    for name in ("a", "b", "c"):
        parts.start(name, run(name))
    await asyncio.sleep(0)
    await parts.stop_all()
    await parts.stop("a")
    assert ended == ["c", "b", "a"]
    assert parts.failures == ()


async def test_fault_during_stop_does_not_hinder_other_parts():
    async def bad_cleanup():
        try:
            await _forever()
        finally:
            raise RuntimeError("clean-up failed")

    parts = PartRunner()
    parts.start("good", _forever())
    parts.start("bad", bad_cleanup())
    await asyncio.sleep(0)
    await parts.stop_all()
    assert parts.running == ()


async def test_part_that_loses_its_cancellation_does_not_block_the_stop():
    """Seen with 140 starts under load: a store error was raised in place of the cancellation."""

    async def lose_one():
        try:
            await _forever()
        except asyncio.CancelledError:
            await _forever()

    async def lose_one_in_a_group():
        # A task group cancels its tasks only once, even if the group itself is cancelled again.
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(lose_one())

    parts = PartRunner()
    parts.start("first", lose_one())
    parts.start("second", lose_one_in_a_group())
    await asyncio.sleep(0.1)
    started_s = asyncio.get_running_loop().time()
    await parts.stop_all()
    assert parts.running == ()
    assert asyncio.get_running_loop().time() - started_s < 10.0


async def test_two_parts_of_one_name_are_refused():
    parts = PartRunner()
    parts.start("roster", _forever())
    with pytest.raises(ValueError, match="roster"):
        parts.start("roster", _forever())
    await parts.stop_all()
