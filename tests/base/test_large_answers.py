"""Replays many large answers at once, without a network."""

import asyncio

import pytest

from pistachiowinch.base.caller_limits import MachineLimits
from pistachiowinch.base.large_answers import (
    SMALL_ANSWER_BYTES,
    AnswerReceipt,
    AnswerTooLarge,
    LargeAnswers,
)

MEBIBYTE = 1024 * 1024


async def test_few_large_answers_are_received_at_a_time_and_small_ones_always():
    """Guards against large answers of many targets that fill the memory together."""
    answers = LargeAnswers(MachineLimits(100 * MEBIBYTE, 600))
    first, second, small = (AnswerReceipt(answers) for _ in range(3))
    await first.add(MEBIBYTE)
    waiting = asyncio.ensure_future(second.add(MEBIBYTE))
    await asyncio.sleep(0)
    assert not waiting.done()
    await small.add(SMALL_ANSWER_BYTES)
    first.end()
    await waiting
    second.end()
    second.end()
    assert not answers.permits.locked()


async def test_an_answer_without_an_end_is_given_up():
    """Guards against a single answer that fills the memory."""
    answers = LargeAnswers(MachineLimits(100 * MEBIBYTE, 600))
    receipt = AnswerReceipt(answers)
    with pytest.raises(AnswerTooLarge):
        for _ in range(100):
            await receipt.add(MEBIBYTE)
    receipt.end()
    assert not answers.permits.locked()
