"""The decision log: one line for each decision, bounded rate and non-blocking output."""

import json
import os

from pistachiowinch.base.decisions import BURST_LINES, BoundedLineWriter, DecisionLog


class Pipe:
    """A pipe that a test reads."""

    def __init__(self, clock) -> None:
        """Open a pipe."""
        self.reading, writing = os.pipe()
        self.writer = BoundedLineWriter(writing, clock)

    def lines(self) -> list[dict]:
        """Read what has arrived."""
        data = os.read(self.reading, 1 << 20)
        return [json.loads(line) for line in data.splitlines()]


def test_a_line_holds_part_event_and_fields():
    """Operators must find a decision by its request id and see its inputs."""
    pipe = Pipe(lambda: 5.0)
    log = DecisionLog("sessions", pipe.writer, lambda: 5.0)
    log.write("statement", request="abc", age_s=0.1)
    expected = {"t": 5.0, "part": "sessions", "event": "statement", "request": "abc", "age_s": 0.1}
    assert pipe.lines() == [expected]


def test_lines_above_the_rate_are_dropped_and_counted():
    """A flood of refusals must not fill the disk of the log collector."""
    now_s = [0.0]
    pipe = Pipe(lambda: now_s[0])
    log = DecisionLog("x", pipe.writer, lambda: now_s[0])
    for _ in range(int(BURST_LINES) + 50):
        log.write("e")
    assert len(pipe.lines()) == int(BURST_LINES)
    now_s[0] = 2.0
    log.write("e")
    first = pipe.lines()[0]
    assert (first["event"], first["count"]) == ("lines_dropped", 50)


def test_a_reader_that_does_not_read_never_blocks():
    """A full pipe must drop lines instead of blocking requests."""
    now_s = [0.0]
    pipe = Pipe(lambda: now_s[0])
    log = DecisionLog("x", pipe.writer, lambda: now_s[0])
    for _ in range(20_000):
        now_s[0] += 0.01
        log.write("e", text="y" * 100)
    assert pipe.writer.dropped > 0
