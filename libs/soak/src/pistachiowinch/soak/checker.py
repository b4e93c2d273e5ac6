"""Checks the promises to callers from what callers and targets see.

Every violation names the rule, the request and what was seen. Nothing here asks the hosts.
"""

import bisect
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from pistachiowinch.base.clock import now_s
from pistachiowinch.links.statements import Position
from pistachiowinch.standins.line_service import Commit, Execution, LineTarget

__all__ = ["Attempt", "Checker", "Finding", "Rate"]

# Answers that promise that nothing of the attempt is kept.
PROMISES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"})
# Slack of a host that was disturbed, as the platform's rules allow it.
THAW_S = 0.3
# Window and slacks of a customer's rate, as the platform's rules allow them.
RATE_WINDOW_S = 5.0
RATE_OVERAGE = 0.1
RATE_SLACK = 20.0


class Rate(NamedTuple):
    """A customer's rate, in operations."""

    per_s: float
    burst: float

    @property
    def window_limit(self) -> float:
        """Largest number of operations in a window."""
        plain = self.per_s * RATE_WINDOW_S + self.burst
        return plain * (1.0 + RATE_OVERAGE) + RATE_SLACK


class Finding(NamedTuple):
    """A promise that was broken."""

    at_s: float
    rule: str
    detail: str


class Attempt(NamedTuple):
    """A statement that a caller sends.

    :param session: number of the caller's session.
    :param transaction: number of the caller's transaction; 0 outside one.
    :param text: as sent.
    :param customer: who holds the caller's key.
    :param service: where the route leads.
    :param values: values that were acknowledged in the session.
    :param shape: shape that the session prepared under the name it executes; empty otherwise.
    :param required: positions that a read must see.
    """

    request_id: str
    session: int
    transaction: int
    text: str
    customer: str
    service: str
    values: dict[str, str]
    shape: str
    required: tuple[Position, ...]


class _Acknowledged:
    """Newest acknowledged position over time."""

    def __init__(self) -> None:
        self.times_s: list[float] = []
        self.positions: list[Position] = []

    def add(self, position: Position) -> None:
        if not self.positions or position > self.positions[-1]:
            self.times_s.append(now_s())
            self.positions.append(position)

    def before(self, at_s: float) -> tuple[Position, ...]:
        index = bisect.bisect_left(self.times_s, at_s)
        return (self.positions[index - 1],) if index else ()

    def drop(self, is_lost: Callable[[Position], bool]) -> None:
        kept = [
            row for row in zip(self.times_s, self.positions, strict=True) if not is_lost(row[1])
        ]
        self.times_s = [row[0] for row in kept]
        self.positions = [row[1] for row in kept]


class Checker:
    """All that was seen, and what it breaks.

    :param rates: customers with a rate.
    :param synchronous: services whose acknowledged commits must survive a promotion.
    :param disturbed_s: returns when the host behind a source address was last disturbed.
    """

    def __init__(
        self,
        rates: dict[str, Rate],
        synchronous: frozenset[str],
        disturbed_s: Callable[[str], float],
    ) -> None:
        """Create a checker that has seen nothing."""
        self.findings: list[Finding] = []
        self.runs = 0
        self._rates = rates
        self._synchronous = synchronous
        self._disturbed_s = disturbed_s
        self._attempts: dict[str, Attempt] = {}
        self._receipts: dict[str, Execution] = {}
        self._commits: dict[str, tuple[str, Commit]] = {}
        self._committed: dict[str, Position] = {}
        self._promised: set[str] = set()
        self._acknowledged: dict[str, _Acknowledged] = {}
        self._own: dict[tuple[str, int], _Acknowledged] = {}
        self._leaders: dict[str, str] = {}
        self._late: set[str] = set()
        self._rolled_back: set[str] = set()
        self._transactions: dict[tuple[str, int], int] = {}
        self._places: dict[int, tuple[str, int]] = {}
        self._counted: set[int | str] = set()
        self._operations: dict[str, deque[float]] = {name: deque() for name in rates}
        self._fence = ("", 0)

    def report(self, rule: str, detail: str) -> None:
        """Note a broken promise."""
        self.findings.append(Finding(now_s(), rule, detail))

    def required(
        self, service: str, session: int, staleness_s: float, sees_own: bool
    ) -> tuple[Position, ...]:
        """Return the positions that a read that starts now must see.

        :param staleness_s: age of commits that it may lack.
        :param sees_own: whether the session's own commits must be seen at any age.
        """
        all_commits = self._acknowledged.get(service, _Acknowledged())
        positions = all_commits.before(now_s() - staleness_s)
        if sees_own:
            positions += self._own.get((service, session), _Acknowledged()).before(now_s())
        return positions

    # What callers see

    def sends(self, attempt: Attempt) -> None:
        """Note a statement before its first byte leaves."""
        self._attempts[attempt.request_id] = attempt

    def succeeded(self, request_id: str, rows: tuple[str, ...], receipt: str) -> None:
        """Note a success of a read, write or commit."""
        attempt = self._attempts[request_id]
        run = self._receipts.pop(receipt, None)
        if run is None or run.request_id != request_id or run.rows != rows:
            self.report("MIXED", f"{request_id} got receipt {receipt} with rows {rows}")
        found = self._commits.get(request_id)
        if found is None:
            return
        service, commit = found
        if request_id in self._late:
            self.report("ONE", f"{request_id} at {commit.position} was acknowledged")
        if request_id in self._rolled_back:
            if service in self._synchronous:
                self.report("LOST", f"{request_id} at {commit.position} was rolled back before")
            return
        self._acknowledged.setdefault(service, _Acknowledged()).add(commit.position)
        own = self._own.setdefault((service, attempt.session), _Acknowledged())
        own.add(commit.position)

    def refused(self, request_id: str, code: str, written: tuple[str, ...]) -> None:
        """Note an error.

        :param written: writes of the attempt so far.
        """
        if code not in PROMISES:
            return
        for name in (request_id, *written):
            self._promised.add(name)
            if name in self._committed:
                self.report("REFUSED", f"{name} was refused with {code}, but is committed")

    # What targets see

    def on_execution(self, execution: Execution) -> None:
        """Check a statement that a target ran."""
        self.runs += 1
        self._receipts[execution.receipt] = execution
        attempt = self._attempts.get(execution.request_id)
        if attempt is None or not _is_same_text(attempt.text, execution.text):
            self.report("UNASKED", f"{execution.request_id} ran {execution.text[:60]!r}")
            return
        if execution.customer != attempt.customer:
            self.report("UNASKED", f"{execution.request_id} ran for {execution.customer}")
        if not execution.target.startswith(attempt.service):
            self.report("ROUTE", f"{execution.request_id} ran at {execution.target}")
        self._check_state(execution, attempt)
        missing = [p for p in attempt.required if not execution.has_applied(p)]
        if missing and not attempt.text.startswith(("WRITE", "COMMIT")):
            self.report("STALE", f"{execution.request_id} at {execution.target} lacks {missing}")
        self._count(attempt)

    def on_commit(self, service: str, target: str, source: str, commit: Commit) -> None:
        """Check a commit before it is acknowledged."""
        self._commits[commit.request_id] = (service, commit)
        for name in commit.write_request_ids:
            if name in self._committed:
                self.report("TWICE", f"{name} at {self._committed[name]} and {commit.position}")
            if name in self._promised:
                self.report("REFUSED", f"{name} was refused, but is committed at {commit.position}")
            self._committed[name] = commit.position
        if self._leaders.get(service, target) == target:
            return
        self._rolled_back.add(commit.request_id)
        if now_s() - self._disturbed_s(source) > THAW_S:
            self._late.add(commit.request_id)

    def on_promotion(self, service: str, target: LineTarget) -> None:
        """Check which acknowledged commits a promotion dropped."""
        self._leaders[service] = target.name
        kept = {commit.position for commit in target.log}

        def is_lost(position: Position) -> bool:
            return position not in kept

        self._rolled_back |= {
            name
            for name, (owner, commit) in self._commits.items()
            if owner == service and is_lost(commit.position)
        }
        known = self._acknowledged.setdefault(service, _Acknowledged())
        lost = [position for position in known.positions if is_lost(position)]
        if lost and service in self._synchronous:
            self.report("LOST", f"{target.name} was promoted without {lost[:3]}")
        known.drop(is_lost)
        for (name, _), own in self._own.items():
            if name == service:
                own.drop(is_lost)

    def ordered(self, holder: str, fence: int) -> None:
        """Check the fencing token of an order."""
        last_holder, last = self._fence
        if fence < last or (fence == last and holder != last_holder):
            self.report("ONE", f"{holder} ordered with {fence} after {last_holder} with {last}")
        self._fence = (holder, max(fence, last))

    def _check_state(self, execution: Execution, attempt: Attempt) -> None:
        if execution.values != attempt.values:
            detail = f"{execution.values} instead of {attempt.values}"
            self.report("PINNED", f"{execution.request_id} ran with {detail}")
        if execution.template != attempt.shape:
            detail = f"{execution.template!r} instead of {attempt.shape!r}"
            self.report("PINNED", f"{execution.request_id} ran shape {detail}")
        place = (execution.target, execution.transaction)
        if attempt.transaction and not execution.transaction:
            self.report("PINNED", f"{execution.request_id} ran outside its transaction")
        elif attempt.transaction and self._places.setdefault(attempt.transaction, place) != place:
            self.report("PINNED", f"{execution.request_id} left its connection")
        if execution.transaction:
            owner = self._transactions.setdefault(place, attempt.transaction)
            if owner != attempt.transaction:
                self.report("PINNED", f"{execution.request_id} ran in another's transaction")

    def _count(self, attempt: Attempt) -> None:
        rate = self._rates.get(attempt.customer)
        operation = attempt.transaction or attempt.request_id
        if rate is None or operation in self._counted:
            return
        self._counted.add(operation)
        recent = self._operations[attempt.customer]
        recent.append(now_s())
        while recent[0] < now_s() - RATE_WINDOW_S:
            recent.popleft()
        if len(recent) > rate.window_limit:
            self.report("QUOTA", f"{len(recent)} operations of {attempt.customer} in a window")


def _is_same_text(sent: str, ran: str) -> bool:
    """Whether a text is unchanged; hosts may rename prepared statements."""
    if not sent.startswith("EXECUTE "):
        return sent == ran
    return ran.startswith("EXECUTE ") and sent.split(" ", 2)[2] == ran.split(" ", 2)[2]
