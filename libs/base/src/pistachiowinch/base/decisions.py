"""Decision log: one JSON line for each decision, with bounded rate and non-blocking output."""

import math
import os
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import msgspec

__all__ = ["BoundedLineWriter", "DecisionLog"]

# Several times the rate of a host at its usual load; a line costs 20 microseconds.
MAX_LINES_PER_S = 200.0
# Two seconds at that rate, for the lines of a start or a switch.
BURST_LINES = 400.0
# Minimum interval between reports of dropped lines.
DROP_REPORT_INTERVAL_S = 1.0
# About a thousand lines are buffered while the pipe is full; more are dropped.
MAX_PENDING_BYTES = 256 * 1024


class BoundedLineWriter:
    """Writes lines to a file descriptor without blocking.

    Works as the stream of a ``logbook`` handler. Lines above the rate limit, and lines that exceed
    the buffer while the reader is slow, are dropped and reported with a later line.

    :param descriptor: file descriptor for the output; it is set to non-blocking mode.
    :param clock: returns the seconds of a monotonic clock.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float] = time.monotonic) -> None:
        """Create a writer with a full token bucket."""
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = BURST_LINES
        self._updated_s = clock()
        self._pending = bytearray()
        self._reported_s = -math.inf
        self.dropped = 0
        os.set_blocking(descriptor, False)

    @classmethod
    def to_stream(cls, stream: TextIO = sys.stdout) -> "BoundedLineWriter":
        """Create a writer for a stream's file descriptor."""
        return cls(stream.fileno())

    def write(self, text: str) -> None:
        """Write one line."""
        self.write_line(text.rstrip("\n").encode())

    def write_line(self, line: bytes) -> None:
        """Write one line, which has no line terminator."""
        if not self._take_token() or len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        if self.dropped and self._updated_s - self._reported_s >= DROP_REPORT_INTERVAL_S:
            self._reported_s = self._updated_s
            self._pending += b'{"part":"log","event":"lines_dropped","count":%d}\n' % self.dropped
            self.dropped = 0
        self._pending += line
        self._pending += b"\n"
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, so neither the lines nor this error can be reported.
            self._pending.clear()
            self.dropped += 1

    def _take_token(self) -> bool:
        now_s = self._clock()
        refill = (now_s - self._updated_s) * MAX_LINES_PER_S
        self._tokens = min(self._tokens + refill, BURST_LINES)
        self._updated_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class DecisionLog:
    """Decision log of one component of a host.

    :param part: name of the component, such as ``"sessions"``.
    :param writer: writer for the lines; None writes nothing.
    :param clock: returns the time in seconds that each line states.
    """

    def __init__(
        self,
        part: str,
        writer: BoundedLineWriter | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a log."""
        self._part = part
        self._writer = writer
        self._clock = clock
        self._encode = msgspec.json.Encoder().encode

    def for_part(self, part: str) -> "DecisionLog":
        """Return the log of another component with the same writer."""
        return DecisionLog(part, self._writer, self._clock)

    def write(self, event: str, **fields: Any) -> None:
        """Write one line, which must not contain callers' keys.

        :param event: name of the decision or observation.
        :param fields: request id, inputs of the decision with their age or version, and outcome.
        """
        if self._writer is None:
            return
        line = {"t": round(self._clock(), 3), "part": self._part, "event": event, **fields}
        self._writer.write_line(self._encode(line))
