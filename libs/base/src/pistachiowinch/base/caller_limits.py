"""Decide which caller's connection may be read, and which one is closed, so that memory suffices.

Load pattern: crowds of callers that the operators do not control. Some send large messages at
once, some stop half-way, some send ahead or do not read their answers. What a connection may hold
without asking, in the kernel too, follows from the number of connections and the memory, since all
may hold it before the process has read any. Everything beyond is taken from three pools, which
together are half of the machine's memory:

* messages: a large message is read only with a reservation for its largest size, so a message that
  is read can always be completed. Others wait in order of arrival. Values that sessions keep count
  here too.
* waiting: connections that are not read meanwhile, whose bytes stay in the kernel.
* answers: bytes that callers have not taken yet.

When a pool is full, the largest and slowest connections are closed first.
"""

import enum
from collections.abc import Callable
from typing import NamedTuple

__all__ = [
    "DEFAULT_MACHINE",
    "FREE_BYTES",
    "FREE_KEPT_BYTES",
    "RECEIVE_BUFFER_BYTES",
    "CallerLimits",
    "CallerMemory",
    "CallerUsage",
    "CloseReason",
    "MachineLimits",
]

# Bytes of messages that a connection may hold without a reservation.
FREE_BYTES = 8192
# Largest and smallest receive buffer of a connection in the kernel, which doubles it for its own
# use. A message takes several round trips of a small one.
RECEIVE_BUFFER_BYTES = 32 * 1024
MIN_RECEIVE_BUFFER_BYTES = 4 * 1024
# What a connection that is not read may leave in the kernel and in its own buffer.
WAITING_BYTES = 2 * RECEIVE_BUFFER_BYTES
# Part of the memory that the kernel may hold for all connections that are not read in time.
RECEIVING_FRACTION = 0.2
# Values and prepared statements of a session that need no reservation.
FREE_KEPT_BYTES = 2048
# A message is held as received, as decoded, as parsed, and as sent to the target.
MESSAGE_COPIES = 6
MESSAGES_FRACTION = 0.25
WAITING_FRACTION = 0.125
ANSWERS_FRACTION = 0.125
# Part of the messages' pool that sessions may keep.
KEPT_FRACTION = 0.5
# Descriptors of the machine that are reserved for files.
FILE_DESCRIPTORS = 200
# Part of the other descriptors for callers; the rest is for targets, other hosts and the store.
CALLERS_FRACTION = 0.85
# Connections above the limit of sessions, which live until they have been told so.
REFUSED_AT_ONCE = 64
REFUSED_FRACTION = 0.125
# Longer than the time in which any caller waits for an answer.
MESSAGE_TIMEOUT_S = 15.0
# Time without progress of an answer; a driver may pause between the rows of a long result.
ANSWER_TIMEOUT_S = 30.0
# While others wait for memory, a message that takes longer gives up its reservation.
PRESSED_MESSAGE_TIMEOUT_S = 1.0
_MEBIBYTE = 1024 * 1024


class CloseReason(enum.Enum):
    """Why a connection is closed."""

    MESSAGE_TIMEOUT = "message_timeout"
    ANSWER_TIMEOUT = "answer_timeout"
    MEMORY = "memory"
    CONNECTIONS = "connections"


class MachineLimits(NamedTuple):
    """Limits of the process on its machine.

    :param max_descriptors: file descriptors, including those for files.
    """

    memory_bytes: int
    max_descriptors: int


# The smallest machines.
DEFAULT_MACHINE = MachineLimits(200 * _MEBIBYTE, 4200)


class CallerLimits(NamedTuple):
    """Limits of all callers together.

    :param connections: open connections.
    :param sessions: open sessions; further connections are refused.
    :param messages_bytes: pool of large messages and of what sessions keep.
    :param waiting_bytes: pool of connections that are not read.
    :param answers_bytes: pool of answers that have not been taken.
    :param receive_buffer_bytes: receive buffer of each connection.
    """

    connections: int
    sessions: int
    messages_bytes: int
    waiting_bytes: int
    answers_bytes: int
    receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES

    @classmethod
    def of_machine(cls, machine: MachineLimits) -> "CallerLimits":
        """Derive the limits from those of the machine."""
        sockets = max(machine.max_descriptors - FILE_DESCRIPTORS, 0)
        connections = max(int(sockets * CALLERS_FRACTION), 2)
        refused = min(REFUSED_AT_ONCE, int(connections * REFUSED_FRACTION) + 1)
        return cls.of_memory(machine.memory_bytes, connections, connections - refused)

    @classmethod
    def of_memory(cls, memory_bytes: int, connections: int, sessions: int) -> "CallerLimits":
        """Derive the pools from the machine's memory."""
        buffer_bytes = int(memory_bytes * RECEIVING_FRACTION / max(connections, 1) / 2.0)
        return cls(
            connections,
            sessions,
            int(memory_bytes * MESSAGES_FRACTION),
            int(memory_bytes * WAITING_FRACTION),
            int(memory_bytes * ANSWERS_FRACTION),
            min(max(buffer_bytes, MIN_RECEIVE_BUFFER_BYTES), RECEIVE_BUFFER_BYTES),
        )


class CallerUsage:
    """What one connection holds beyond its free part.

    :param on_granted: called when a reservation that had to wait is granted.
    :param read_unsent_bytes: returns how much of its answers the caller has not taken.
    """

    __slots__ = (
        "answer_age_s",
        "is_waiting",
        "kept_bytes",
        "message_age_s",
        "on_granted",
        "read_unsent_bytes",
        "reserved_bytes",
        "unsent_bytes",
        "wanted_bytes",
    )

    def __init__(
        self, on_granted: Callable[[], None], read_unsent_bytes: Callable[[], int]
    ) -> None:
        """Create the usage of a new connection."""
        self.on_granted = on_granted
        self.read_unsent_bytes = read_unsent_bytes
        self.reserved_bytes = 0
        self.wanted_bytes = 0
        self.kept_bytes = 0
        self.unsent_bytes = 0
        self.is_waiting = False
        self.message_age_s = 0.0
        self.answer_age_s = 0.0


class CallerMemory:
    """Account of the memory that callers use.

    :param limits: the pools.
    :param close: closes a connection; it may call :meth:`forget` at once or later.
    """

    def __init__(
        self, limits: CallerLimits, close: Callable[[CallerUsage, CloseReason], None]
    ) -> None:
        """Create an empty account."""
        self._limits = limits
        self._close = close
        self._messages_bytes = 0
        self._kept_bytes = 0
        self._answers_bytes = 0
        # Dictionaries serve as sets that keep the order of arrival.
        self._incomplete: dict[CallerUsage, None] = {}
        self._waiting: dict[CallerUsage, None] = {}
        self._wanting: dict[CallerUsage, None] = {}
        self._unsent: dict[CallerUsage, None] = {}

    @property
    def used_bytes(self) -> int:
        """Bytes charged to all pools."""
        return self._messages_bytes + self._answers_bytes + len(self._waiting) * WAITING_BYTES

    # Messages

    def begin_message(self, usage: CallerUsage) -> None:
        """Note that a part of a message has arrived."""
        if usage not in self._incomplete:
            usage.message_age_s = 0.0
            self._incomplete[usage] = None

    def reserve(self, usage: CallerUsage, message_bytes: int) -> bool:
        """Reserve memory for a large message, or wait for it.

        :param message_bytes: largest size of the message.
        :returns: whether it is reserved; otherwise ``on_granted`` is called later.
        """
        need_bytes = MESSAGE_COPIES * message_bytes
        if not self._wanting and self._fits(need_bytes):
            self._grant(usage, need_bytes)
            return True
        usage.wanted_bytes = need_bytes
        self._wanting[usage] = None
        return False

    def complete_message(self, usage: CallerUsage, message_bytes: int) -> None:
        """Reduce a reservation to the size of the message, which is complete now."""
        self._incomplete.pop(usage, None)
        if usage.reserved_bytes:
            need_bytes = min(MESSAGE_COPIES * message_bytes, usage.reserved_bytes)
            self._messages_bytes -= usage.reserved_bytes - need_bytes
            usage.reserved_bytes = need_bytes
            self._grant_waiting()

    def release(self, usage: CallerUsage) -> None:
        """Free the reservation of a message that has been answered."""
        if usage.reserved_bytes:
            self._messages_bytes -= usage.reserved_bytes
            usage.reserved_bytes = 0
            self._grant_waiting()

    def keep(self, usage: CallerUsage, kept_bytes: int) -> bool:
        """Charge what a session keeps in total; return False if that is too much."""
        charged = max(kept_bytes - FREE_KEPT_BYTES, 0)
        added = charged - usage.kept_bytes
        if added > 0 and (
            self._kept_bytes + added > self._limits.messages_bytes * KEPT_FRACTION
            or not self._fits(added)
        ):
            return False
        self._kept_bytes += added
        self._messages_bytes += added
        usage.kept_bytes = charged
        return True

    def _fits(self, need_bytes: int) -> bool:
        # A message may be larger than the whole pool of a very small machine; then it comes alone.
        is_alone = self._messages_bytes == self._kept_bytes
        return is_alone or self._messages_bytes + need_bytes <= self._limits.messages_bytes

    def _grant(self, usage: CallerUsage, need_bytes: int) -> None:
        self._messages_bytes += need_bytes - usage.reserved_bytes
        usage.reserved_bytes = need_bytes
        usage.message_age_s = 0.0

    def _grant_waiting(self) -> None:
        while self._wanting:
            usage = next(iter(self._wanting))
            if not self._fits(usage.wanted_bytes):
                return
            del self._wanting[usage]
            self._grant(usage, usage.wanted_bytes)
            usage.on_granted()

    # Connections that are not read, and answers that are not taken

    def stop_reading(self, usage: CallerUsage) -> None:
        """Note that a connection is not read; close others if too many are not."""
        usage.is_waiting = True
        self._waiting[usage] = None
        if len(self._waiting) * WAITING_BYTES > self._limits.waiting_bytes:
            self._close_worst(self._waiting)

    def resume_reading(self, usage: CallerUsage) -> None:
        """Note that a connection is read again."""
        if usage.is_waiting:
            usage.is_waiting = False
            del self._waiting[usage]

    def set_unsent(self, usage: CallerUsage, unsent_bytes: int) -> None:
        """Note how much of the answers a caller has not taken; close others if it is too much."""
        self._answers_bytes += unsent_bytes - usage.unsent_bytes
        if unsent_bytes < usage.unsent_bytes or usage not in self._unsent:
            usage.answer_age_s = 0.0
        usage.unsent_bytes = unsent_bytes
        if not unsent_bytes:
            self._unsent.pop(usage, None)
            return
        self._unsent[usage] = None
        while self._answers_bytes > self._limits.answers_bytes and len(self._unsent) > 1:
            self._close_worst(self._unsent)

    def _close_worst(self, usages: dict[CallerUsage, None]) -> None:
        # The first of the equal ones is the one that has waited longest.
        self._end(max(usages, key=_weight), CloseReason.MEMORY)

    # Time

    def check(self, step_s: float) -> None:
        """Close connections that are too slow.

        Ages count only time in which the process ran, as data may have arrived meanwhile.

        :param step_s: time since the last check.
        """
        for usage in tuple(self._unsent):
            if usage not in self._unsent:
                # Closed for the sake of another one.
                continue
            usage.answer_age_s += step_s
            self.set_unsent(usage, usage.read_unsent_bytes())
            if usage.unsent_bytes and usage.answer_age_s > ANSWER_TIMEOUT_S:
                self._end(usage, CloseReason.ANSWER_TIMEOUT)
        for usage in tuple(self._incomplete):
            usage.message_age_s += step_s
            if usage.message_age_s > MESSAGE_TIMEOUT_S:
                self._end(usage, CloseReason.MESSAGE_TIMEOUT)
        if self._wanting:
            slow = {
                usage: None
                for usage in self._incomplete
                if usage.reserved_bytes and usage.message_age_s > PRESSED_MESSAGE_TIMEOUT_S
            }
            if slow:
                self._close_worst(slow)

    def forget(self, usage: CallerUsage) -> None:
        """Free everything that a connection held."""
        self._incomplete.pop(usage, None)
        self._wanting.pop(usage, None)
        self.resume_reading(usage)
        self._unsent.pop(usage, None)
        self._answers_bytes -= usage.unsent_bytes
        self._kept_bytes -= usage.kept_bytes
        self._messages_bytes -= usage.reserved_bytes + usage.kept_bytes
        usage.unsent_bytes = usage.kept_bytes = usage.reserved_bytes = 0
        self._grant_waiting()

    def _end(self, usage: CallerUsage, reason: CloseReason) -> None:
        self.forget(usage)
        self._close(usage, reason)


def _weight(usage: CallerUsage) -> float:
    held_bytes = usage.reserved_bytes + usage.kept_bytes + usage.unsent_bytes + WAITING_BYTES
    return held_bytes * (1.0 + usage.message_age_s + usage.answer_age_s)
