"""Check the guarantees to callers against what callers and targets observe.

Each finding names the rule, the request and the observation. The checker does not query the hosts.
"""

import bisect
from collections import deque
from collections.abc import Callable, Mapping
from typing import NamedTuple

from pistachiowinch.base.clock import now_s
from pistachiowinch.links.statements import Position
from pistachiowinch.standins.http_orders import UsageReport
from pistachiowinch.standins.line_service import Commit, Execution, LineTarget

__all__ = ["Attempt", "Checker", "Finding", "Rate"]

# Error codes that guarantee that the attempt had no effect.
NO_EFFECT_CODES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"})
# The platform's rules excuse a late commit this soon after a disturbance of the host.
DISTURBANCE_ALLOWANCE_S = 0.3
# The platform's rules excuse a statement that was cut off this soon after it was sent.
UNANSWERED_ALLOWANCE_S = 0.2
# Measuring window and tolerances of a customer's rate, as the platform's rules define them.
RATE_WINDOW_S = 5.0
RATE_TOLERANCE_RATIO = 0.1
RATE_TOLERANCE_OPERATIONS = 20.0


class Rate(NamedTuple):
    """A customer's rate limit, in operations."""

    per_s: float
    burst: float

    @property
    def max_operations_in_window(self) -> float:
        """Maximum number of operations in a window, with the tolerances."""
        without_tolerance = self.per_s * RATE_WINDOW_S + self.burst
        return without_tolerance * (1.0 + RATE_TOLERANCE_RATIO) + RATE_TOLERANCE_OPERATIONS


class Finding(NamedTuple):
    """A violated guarantee."""

    at_s: float
    rule: str
    detail: str


class Attempt(NamedTuple):
    """A statement that a caller sends.

    :param session: number of the caller's session.
    :param transaction: number of the caller's transaction; 0 outside one.
    :param text: statement text as the caller sent it.
    :param customer: customer that the caller's key belongs to.
    :param service: service of the caller's route.
    :param values: acknowledged session variables.
    :param template: template of the prepared statement that is executed; empty for others.
    :param required: positions that a read must see.
    """

    request_id: str
    session: int
    transaction: int
    text: str
    customer: str
    service: str
    values: dict[str, str]
    template: str
    required: tuple[Position, ...]


class _PositionHistory:
    """Increasing positions with the times at which they were acknowledged."""

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

    def remove(self, is_lost: Callable[[Position], bool]) -> None:
        kept = [
            row for row in zip(self.times_s, self.positions, strict=True) if not is_lost(row[1])
        ]
        self.times_s = [row[0] for row in kept]
        self.positions = [row[1] for row in kept]


class Checker:
    """Records statements and commits and reports violated guarantees.

    :param rates: rate limits by customer.
    :param synchronous_services: services whose acknowledged commits must survive a promotion.
    :param last_disturbed_s: returns when the host with a source address was last disturbed.
    """

    def __init__(
        self,
        rates: dict[str, Rate],
        synchronous_services: frozenset[str],
        last_disturbed_s: Callable[[str], float],
    ) -> None:
        """Start with nothing recorded."""
        self.findings: list[Finding] = []
        self.runs = 0
        self._rates = rates
        self._synchronous_services = synchronous_services
        self._last_disturbed_s = last_disturbed_s
        self._attempts: dict[str, Attempt] = {}
        self._executions: dict[str, Execution] = {}
        self._commits: dict[str, tuple[str, Commit]] = {}
        self._committed_positions: dict[str, Position] = {}
        self._refused_ids: set[str] = set()
        self._executed_ids: set[str] = set()
        self._acknowledged_positions: dict[str, _PositionHistory] = {}
        self._own_positions: dict[tuple[str, int], _PositionHistory] = {}
        self._primaries: dict[str, str] = {}
        self._late_commit_ids: set[str] = set()
        self._rolled_back_ids: set[str] = set()
        self._caller_transactions: dict[tuple[str, int], int] = {}
        self._target_transactions: dict[int, tuple[str, int]] = {}
        self._counted_operations: set[int | str] = set()
        self._recent_operations: dict[str, deque[float]] = {name: deque() for name in rates}
        self._last_order = ("", 0)
        self._last_report = ("", 0)
        self._usage: dict[int, Mapping[str, int]] = {}

    def report(self, rule: str, detail: str) -> None:
        """Record a violated guarantee."""
        self.findings.append(Finding(now_s(), rule, detail))

    def required_positions(
        self, service: str, session: int, staleness_s: float, reads_own_writes: bool
    ) -> tuple[Position, ...]:
        """Return the positions that a read that starts now must see.

        :param staleness_s: staleness bound of the read.
        :param reads_own_writes: whether all earlier commits of the session must be seen.
        """
        all_commits = self._acknowledged_positions.get(service, _PositionHistory())
        positions = all_commits.before(now_s() - staleness_s)
        if reads_own_writes:
            positions += self._own_positions.get((service, session), _PositionHistory()).before(
                now_s()
            )
        return positions

    # Observations of callers

    def on_send(self, attempt: Attempt) -> None:
        """Record a statement before it is sent."""
        self._attempts[attempt.request_id] = attempt

    def on_success(self, request_id: str, rows: tuple[str, ...], receipt: str) -> None:
        """Check the successful reply to a read, write or commit."""
        attempt = self._attempts[request_id]
        execution = self._executions.pop(receipt, None)
        if execution is None or execution.request_id != request_id or execution.rows != rows:
            self.report("MIXED", f"{request_id} got receipt {receipt} with rows {rows}")
        found = self._commits.get(request_id)
        if found is None:
            return
        service, commit = found
        if request_id in self._late_commit_ids:
            self.report("ONE", f"{request_id} at {commit.position} was acknowledged")
        if request_id in self._rolled_back_ids:
            if service in self._synchronous_services:
                self.report("LOST", f"{request_id} at {commit.position} was rolled back before")
            return
        self._acknowledged_positions.setdefault(service, _PositionHistory()).add(commit.position)
        own = self._own_positions.setdefault((service, attempt.session), _PositionHistory())
        own.add(commit.position)

    def on_unanswered(self, request_id: str, age_s: float, is_only_stopping: bool) -> None:
        """Check a statement whose connection the host ended without an answer.

        :param age_s: time since the statement was sent.
        :param is_only_stopping: whether the host was asked to stop and not disturbed otherwise.
        """
        is_passed_on = request_id in self._executed_ids
        if is_only_stopping and (is_passed_on or age_s > UNANSWERED_ALLOWANCE_S):
            text = self._attempts[request_id].text
            passed_on = "passed on" if is_passed_on else "not passed on"
            detail = f"{request_id} {text[:30]!r} after {age_s:.2f} s, {passed_on}"
            self.report("LOST", f"a planned stop cut off {detail}")

    def on_error(self, request_id: str, code: str, write_request_ids: tuple[str, ...]) -> None:
        """Check an error reply.

        :param write_request_ids: earlier writes of the same transaction.
        """
        if code not in NO_EFFECT_CODES:
            return
        for refused_id in (request_id, *write_request_ids):
            self._refused_ids.add(refused_id)
            if refused_id in self._committed_positions:
                self.report("REFUSED", f"{refused_id} was refused with {code}, but is committed")

    # Observations of targets

    def on_execution(self, execution: Execution) -> None:
        """Check a statement that a target executed."""
        self.runs += 1
        self._executed_ids.add(execution.request_id)
        self._executions[execution.receipt] = execution
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
        self._check_rate(attempt)

    def on_commit(self, service: str, target: str, source: str, commit: Commit) -> None:
        """Check a commit before it is acknowledged."""
        self._commits[commit.request_id] = (service, commit)
        for write_id in commit.write_request_ids:
            if write_id in self._committed_positions:
                self.report(
                    "TWICE",
                    f"{write_id} at {self._committed_positions[write_id]} and {commit.position}",
                )
            if write_id in self._refused_ids:
                self.report(
                    "REFUSED", f"{write_id} was refused, but is committed at {commit.position}"
                )
            self._committed_positions[write_id] = commit.position
        if self._primaries.get(service, target) == target:
            return
        self._rolled_back_ids.add(commit.request_id)
        if now_s() - self._last_disturbed_s(source) > DISTURBANCE_ALLOWANCE_S:
            self._late_commit_ids.add(commit.request_id)

    def on_promotion(self, service: str, target: LineTarget) -> None:
        """Check which acknowledged commits a promotion discarded."""
        self._primaries[service] = target.name
        kept = {commit.position for commit in target.log}

        def is_lost(position: Position) -> bool:
            return position not in kept

        self._rolled_back_ids |= {
            name
            for name, (owner, commit) in self._commits.items()
            if owner == service and is_lost(commit.position)
        }
        known = self._acknowledged_positions.setdefault(service, _PositionHistory())
        lost = [position for position in known.positions if is_lost(position)]
        if lost and service in self._synchronous_services:
            self.report("LOST", f"{target.name} was promoted without {lost[:3]}")
        known.remove(is_lost)
        for (name, _), own in self._own_positions.items():
            if name == service:
                own.remove(is_lost)

    def on_promotion_order(self, holder: str, fencing_token: int) -> None:
        """Check the fencing token of a promotion order."""
        self._last_order = self._check_token("ordered", holder, fencing_token, self._last_order)

    def on_usage_report(self, usage: UsageReport) -> None:
        """Check the token of a usage report, and that all reports of a window are equal."""
        self._last_report = self._check_token(
            "reported", usage.holder, usage.fence, self._last_report
        )
        known = self._usage.setdefault(usage.window, usage.counts)
        if known != usage.counts:
            self.report("ONE", f"{usage.holder} reported {usage.window} with other counts")

    def _check_token(
        self, action: str, holder: str, token: int, last: tuple[str, int]
    ) -> tuple[str, int]:
        """Check that tokens do not decrease and belong to one holder; return the newest."""
        last_holder, last_token = last
        if token < last_token or (token == last_token and holder != last_holder):
            self.report("ONE", f"{holder} {action} with {token} after {last_holder}, {last_token}")
        return holder, max(token, last_token)

    def _check_state(self, execution: Execution, attempt: Attempt) -> None:
        if execution.values != attempt.values:
            detail = f"{execution.values} instead of {attempt.values}"
            self.report("PINNED", f"{execution.request_id} ran with {detail}")
        if execution.template != attempt.template:
            detail = f"{execution.template!r} instead of {attempt.template!r}"
            self.report("PINNED", f"{execution.request_id} ran shape {detail}")
        target_transaction = (execution.target, execution.transaction)
        if attempt.transaction and not execution.transaction:
            self.report("PINNED", f"{execution.request_id} ran outside its transaction")
        elif (
            attempt.transaction
            and self._target_transactions.setdefault(attempt.transaction, target_transaction)
            != target_transaction
        ):
            self.report("PINNED", f"{execution.request_id} left its connection")
        if execution.transaction:
            owner = self._caller_transactions.setdefault(target_transaction, attempt.transaction)
            if owner != attempt.transaction:
                self.report("PINNED", f"{execution.request_id} ran in another's transaction")

    def _check_rate(self, attempt: Attempt) -> None:
        rate = self._rates.get(attempt.customer)
        operation = attempt.transaction or attempt.request_id
        if rate is None or operation in self._counted_operations:
            return
        self._counted_operations.add(operation)
        recent = self._recent_operations[attempt.customer]
        recent.append(now_s())
        while recent[0] < now_s() - RATE_WINDOW_S:
            recent.popleft()
        if len(recent) > rate.max_operations_in_window:
            self.report("QUOTA", f"{len(recent)} operations of {attempt.customer} in a window")


def _is_same_text(sent: str, executed: str) -> bool:
    """Tell whether a text is unchanged; hosts may rename prepared statements."""
    if not sent.startswith("EXECUTE "):
        return sent == executed
    return executed.startswith("EXECUTE ") and sent.split(" ", 2)[2] == executed.split(" ", 2)[2]
