"""Tests of a host's own reads of the store while it does not answer."""

import asyncio

import pytest

from pistachiowinch.base.clock import now_s
from pistachiowinch.fleet.copy_bounds import CopyBounds
from pistachiowinch.fleet.direct_reads import DirectReads
from pistachiowinch.links.store import HistoryLost, StoreReplyLost

pytestmark = pytest.mark.looptime

BOUNDS = CopyBounds(5.0)
CALL_TIMEOUT_S = 1.0


async def fail(took_s: float = CALL_TIMEOUT_S):
    """Time out."""
    await asyncio.sleep(took_s)
    raise StoreReplyLost("no answer in time")


async def lose_history():
    """Answer that the history is lost."""
    raise HistoryLost("changes after revision 3 are gone")


async def failed_reads() -> DirectReads:
    """Return reads of which the last one failed just now."""
    reads = DirectReads(BOUNDS)
    with pytest.raises(StoreReplyLost):
        await reads.run(fail)
    return reads


async def test_lost_history_is_an_answer():
    """CONFIG: 82 hosts waited up to 4.5 s to read a store that had just answered them."""
    reads = await failed_reads()
    assert not reads.is_due
    with pytest.raises(HistoryLost):
        await reads.run(lose_history)
    assert reads.is_due


async def test_an_answer_to_another_part_ends_the_delay():
    """CONFIG: reads of the primaries were answered while the configuration's read was delayed."""
    reads = await failed_reads()
    reads.note_answered()
    assert reads.is_due


async def test_a_failed_read_shows_nothing_after_it_was_sent():
    """CONFIG: dated with its end, a failure would excuse an old version after the host is in touch
    again.
    """
    sent_s = now_s()
    reads = await failed_reads()
    assert reads.unanswered_s == sent_s


async def test_one_read_at_a_time_tries_a_store_that_does_not_answer():
    """Cost: three prefixes of each host tried on their own, 5,366 calls in an outage of 14 s."""
    reads = await failed_reads()
    await asyncio.sleep(reads.next_s - now_s())
    assert reads.is_due
    trial = asyncio.ensure_future(reads.run(fail))
    await asyncio.sleep(0.0)
    assert not reads.is_due
    with pytest.raises(StoreReplyLost):
        await trial
    assert not reads.is_due


async def test_failures_follow_one_another_within_the_limit():
    """Worst seconds: in a long outage, a gap in the evidence would make every host refuse."""
    reads = DirectReads(BOUNDS)
    for took_s in (0.0, 0.5, CALL_TIMEOUT_S) * 30:
        sent_s = now_s()
        with pytest.raises(StoreReplyLost):
            await reads.run(lambda took_s=took_s: fail(took_s))
        next_failure_s = reads.next_s + CALL_TIMEOUT_S
        assert next_failure_s - sent_s < BOUNDS.age_limit_s
        await asyncio.sleep(reads.next_s - now_s())
