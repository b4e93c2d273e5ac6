"""Bound the memory of answers that are being received from targets.

Load pattern: many callers ask for large answers at once. A small answer needs no permission. Of the
large ones only a few are received at a time; the others stay with their targets, by TCP's flow
control, until their turn or until the statement's timeout.
"""

import asyncio

from pistachiowinch.base.caller_limits import DEFAULT_MACHINE, CallerLimits, MachineLimits

__all__ = ["SMALL_ANSWER_BYTES", "AnswerReceipt", "AnswerTooLarge", "LargeAnswers"]

SMALL_ANSWER_BYTES = 64 * 1024
# Memory that one large answer is expected to take, with its copies.
LARGE_ANSWER_BYTES = 8 * 1024 * 1024


class AnswerTooLarge(Exception):
    """An answer alone would need more memory than all answers may have."""


class LargeAnswers:
    """Permits to receive a large answer.

    :param machine: limits of the process.
    """

    def __init__(self, machine: MachineLimits = DEFAULT_MACHINE) -> None:
        """Derive the number of permits from the machine's memory."""
        self.limit_bytes = CallerLimits.of_machine(machine).answers_bytes
        self.permits = asyncio.Semaphore(max(self.limit_bytes // LARGE_ANSWER_BYTES, 1))


class AnswerReceipt:
    """Receipt of one answer.

    :param answers: permits, which all connections share.
    """

    __slots__ = ("_answers", "_has_permit", "_received_bytes")

    def __init__(self, answers: LargeAnswers) -> None:
        """Start without a permit."""
        self._answers = answers
        self._has_permit = False
        self._received_bytes = 0

    async def add(self, size_bytes: int) -> None:
        """Count received bytes; wait for a permit once the answer is large.

        :raises AnswerTooLarge: if the answer exceeds the limit for all answers.
        """
        self._received_bytes += size_bytes
        if self._received_bytes <= SMALL_ANSWER_BYTES:
            return
        if self._received_bytes > self._answers.limit_bytes:
            raise AnswerTooLarge
        if not self._has_permit:
            await self._answers.permits.acquire()
            self._has_permit = True

    def end(self) -> None:
        """Return the permit."""
        if self._has_permit:
            self._has_permit = False
            self._answers.permits.release()
