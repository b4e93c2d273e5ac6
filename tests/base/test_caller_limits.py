"""Replays crowds of callers on the account of their memory, without a network."""

import pytest

from pistachiowinch.base.caller_limits import (
    ANSWER_TIMEOUT_S,
    DEFAULT_MACHINE,
    FREE_BYTES,
    MESSAGE_COPIES,
    MESSAGE_TIMEOUT_S,
    CallerLimits,
    CallerMemory,
    CallerUsage,
    CloseReason,
    MachineLimits,
)

MEBIBYTE = 1024 * 1024
# A process that serves nobody.
PROCESS_BYTES = 45 * MEBIBYTE
STEP_S = 0.1
LIMITS = CallerLimits.of_machine(DEFAULT_MACHINE)


class Crowd:
    """Connections on one account, with what becomes of them."""

    def __init__(self, count: int) -> None:
        """Create the connections."""
        self.granted: list[CallerUsage] = []
        self.closed: dict[CallerUsage, CloseReason] = {}
        self.unsent: dict[CallerUsage, int] = {}
        self.memory = CallerMemory(LIMITS, self.closed.__setitem__)
        self.usages = [self._usage() for _ in range(count)]

    def _usage(self) -> CallerUsage:
        usage = CallerUsage(lambda: self.granted.append(usage), lambda: self.unsent.get(usage, 0))
        return usage

    def begin_large(self, usage: CallerUsage) -> None:
        """Let a connection begin a message of the largest size."""
        self.memory.begin_message(usage)
        self.memory.stop_reading(usage)
        if self.memory.reserve(usage, MEBIBYTE):
            self.granted.append(usage)

    def wait(self, duration_s: float) -> None:
        """Let time pass."""
        for _ in range(round(duration_s / STEP_S)):
            self.memory.check(STEP_S)


def test_large_messages_are_read_in_turn_and_all_of_them():
    """Guards against large messages at once that fill the memory, or one that is refused."""
    crowd = Crowd(100)
    most_bytes = 0
    for usage in crowd.usages:
        crowd.begin_large(usage)
    for number in range(100):
        usage = crowd.granted[number]
        crowd.memory.resume_reading(usage)
        most_bytes = max(most_bytes, crowd.memory.used_bytes)
        crowd.memory.complete_message(usage, MEBIBYTE)
        crowd.memory.release(usage)
    assert not crowd.closed
    assert most_bytes <= LIMITS.messages_bytes + LIMITS.waiting_bytes
    assert crowd.memory.used_bytes == 0


def test_messages_that_stop_half_way_give_way_to_those_that_wait():
    """Guards against reservations that senders hold by sending nothing more."""
    crowd = Crowd(50)
    for usage in crowd.usages:
        crowd.begin_large(usage)
    stopped = set(crowd.granted)
    crowd.wait(5.0)
    assert stopped <= set(crowd.closed)
    # The last ones are granted late, and nobody waits behind them.
    crowd.wait(2 * MESSAGE_TIMEOUT_S)
    assert len(crowd.closed) == 50
    assert crowd.memory.used_bytes == 0


def test_a_slow_message_is_read_to_its_end_in_calm():
    """Guards against limits that close the only large sender, which is merely slow."""
    crowd = Crowd(1)
    crowd.begin_large(crowd.usages[0])
    crowd.wait(MESSAGE_TIMEOUT_S - 1.0)
    assert not crowd.closed
    crowd.wait(2.0)
    assert set(crowd.closed.values()) == {CloseReason.MESSAGE_TIMEOUT}


def test_of_many_connections_that_are_not_read_the_first_are_closed():
    """Guards against thousands that leave their bytes in the kernel."""
    crowd = Crowd(1000)
    for usage in crowd.usages:
        crowd.memory.stop_reading(usage)
    assert crowd.memory.used_bytes <= LIMITS.waiting_bytes
    assert list(crowd.closed) == crowd.usages[: len(crowd.closed)]


def test_the_largest_and_slowest_unread_answer_is_given_up_first():
    """Guards against a caller that reads well and pays for those that do not."""
    crowd = Crowd(5)
    slow, *others = crowd.usages
    crowd.unsent[slow] = LIMITS.answers_bytes // 2
    crowd.memory.set_unsent(slow, crowd.unsent[slow])
    crowd.wait(1.0)
    for usage in others:
        crowd.unsent[usage] = LIMITS.answers_bytes // 5
        crowd.memory.set_unsent(usage, crowd.unsent[usage])
    assert crowd.closed == {slow: CloseReason.MEMORY}


def test_an_answer_that_makes_progress_is_not_given_up():
    """Guards against a time limit for answers that are merely long."""
    crowd = Crowd(2)
    reader, silent = crowd.usages
    for usage in crowd.usages:
        crowd.unsent[usage] = MEBIBYTE
        crowd.memory.set_unsent(usage, MEBIBYTE)
    for _ in range(3):
        crowd.wait(ANSWER_TIMEOUT_S / 2)
        crowd.unsent[reader] -= 1000
    assert crowd.closed == {silent: CloseReason.ANSWER_TIMEOUT}


def test_sessions_cannot_keep_more_than_their_part():
    """Guards against values that leave no memory for messages."""
    crowd = Crowd(100)
    kept = sum(crowd.memory.keep(usage, MEBIBYTE) for usage in crowd.usages)
    assert 0 < kept < 100
    assert crowd.memory.reserve(CallerUsage(lambda: None, lambda: 0), MEBIBYTE)
    for usage in crowd.usages:
        crowd.memory.forget(usage)
    assert crowd.memory.used_bytes == MESSAGE_COPIES * MEBIBYTE


def test_descriptors_are_kept_back():
    """Guards against callers that leave no descriptors for targets, other hosts and the store."""
    limits = CallerLimits.of_machine(MachineLimits(200 * MEBIBYTE, 4200))
    assert limits.sessions < limits.connections <= 4200 - 200 - 500
    small = CallerLimits.of_machine(MachineLimits(MEBIBYTE, 1))
    assert small.connections > small.sessions >= 1


@pytest.mark.parametrize("memory_mebibytes", [200, 300, 1000])
def test_connections_that_are_not_read_in_time_stay_within_the_machine(memory_mebibytes):
    """Fault, review/8: what thousands of callers send ahead arrives before any of it is read."""
    memory_bytes = memory_mebibytes * MEBIBYTE
    limits = CallerLimits.of_machine(MachineLimits(memory_bytes, 4200))
    # The kernel doubles the size that is set.
    unread_bytes = limits.connections * (2 * limits.receive_buffer_bytes + FREE_BYTES)
    pools_bytes = limits.messages_bytes + limits.answers_bytes
    assert unread_bytes + pools_bytes + PROCESS_BYTES < memory_bytes
