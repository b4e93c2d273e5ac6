"""Simulated callers that run operations in sessions and report the results to the checker."""

import functools
import itertools
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.soak.checker import Attempt, Checker
from pistachiowinch.standins.line_caller import ConnectionEnded, LineCaller, SessionBroken

__all__ = ["ANSWER_TIMEOUT_S", "OPEN_TIMEOUT_S", "Caller", "CallerRoute", "OperationCounts"]

# A caller closes a session that does not open or reply in time.
OPEN_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 5.0
# Callers of the platform also wait before they reconnect after a failure.
RECONNECT_DELAY_S = 0.2
# Long transactions outlast the time that a host has to stop.
LONG_TRANSACTION_PROBABILITY = 0.3
MAX_LONG_STATEMENTS, MAX_LONG_PAUSE_S = 12, 0.5
MAX_SHORT_STATEMENTS, MAX_SHORT_PAUSE_S = 4, 0.05
# Long sessions are exposed to more faults.
MAX_SESSION_OPERATIONS = 40
_ITEM_COUNT = 50


class CallerRoute(NamedTuple):
    """A database that callers connect to.

    :param staleness_s: staleness bound of reads.
    :param reads_own_writes: whether reads must see all earlier commits of their session.
    """

    database: str
    service: str
    staleness_s: float
    reads_own_writes: bool


class OperationCounts:
    """Operation counts by host and outcome.

    :ivar served: operations that succeeded, for each host.
    :ivar failed: operations that failed, for each host.
    """

    def __init__(self) -> None:
        """Start with no operations."""
        self.served: dict[str, int] = {}
        self.failed: dict[str, int] = {}

    def add(self, host: str, is_served: bool) -> None:
        """Count one operation."""
        counts = self.served if is_served else self.failed
        counts[host] = counts.get(host, 0) + 1


class _Session:
    """A session with one host."""

    _numbers = itertools.count(1)

    def __init__(
        self,
        checker: Checker,
        route: CallerRoute,
        customer: str,
        generator: random.Random,
        is_only_stopping: Callable[[float], bool],
    ) -> None:
        self._is_only_stopping = is_only_stopping
        self.number = next(self._numbers)
        self._checker = checker
        self._route = route
        self._customer = customer
        self._generator = generator
        self._values: dict[str, str] = {}
        self._templates: dict[str, str] = {}
        self._transaction = 0
        self._transaction_required: tuple | None = None
        self._write_request_ids: list[str] = []
        self._connection = LineCaller(OPEN_TIMEOUT_S, ANSWER_TIMEOUT_S)

    async def open(self, address: tuple[str, int], key: str) -> None:
        await self._connection.open(address, self._route.database, key)

    def close(self) -> None:
        self._connection.close()

    async def begin(self, is_read_only: bool) -> None:
        self._transaction = next(self._numbers)
        self._transaction_required = self._required_positions()
        self._write_request_ids = []
        await self._send("BEGIN READ" if is_read_only else "BEGIN")

    async def commit(self) -> None:
        await self.execute("COMMIT")
        self._transaction, self._transaction_required = 0, None

    async def set_value(self, name: str, value: str) -> None:
        await self._send(f"SET {name} {value}")
        self._values = self._values | {name: value}

    async def prepare(self, name: str, template: str) -> None:
        await self._send(f"PREPARE {name} READ {template}")
        self._templates[name] = template

    async def execute(self, text: str) -> None:
        """Send a read, write or commit and report its result to the checker."""
        template = self._templates[text.split(" ")[1]] if text.startswith("EXECUTE") else ""
        required = self._transaction_required
        if required is None:
            required = self._required_positions()
        request_id = self._new_request_id()
        attempt = Attempt(
            request_id,
            self.number,
            self._transaction,
            text,
            self._customer,
            self._route.service,
            self._values,
            template,
            required,
        )
        self._checker.on_send(attempt)
        if text.startswith("WRITE"):
            self._write_request_ids.append(request_id)
        sent_s = now_s()
        try:
            rows, receipt = await self._send(text, request_id)
        except ConnectionEnded:
            is_only_stopping = self._is_only_stopping(sent_s)
            self._checker.on_unanswered(request_id, now_s() - sent_s, is_only_stopping)
            raise
        self._checker.on_success(request_id, rows, receipt)

    def _required_positions(self) -> tuple:
        route = self._route
        return self._checker.required_positions(
            route.service, self.number, route.staleness_s, route.reads_own_writes
        )

    async def _send(self, text: str, request_id: str = "") -> tuple[tuple[str, ...], str]:
        request_id = request_id or self._new_request_id()
        answer = await self._connection.send(request_id, text)
        if answer.error:
            write_request_ids = tuple(self._write_request_ids) if self._transaction else ()
            self._checker.on_error(request_id, answer.error, write_request_ids)
            raise SessionBroken(answer.error)
        return answer.rows, answer.receipt

    def _new_request_id(self) -> str:
        return f"{self._generator.getrandbits(64):016x}"


class Caller:
    """A caller that opens one session after another, each with a random host.

    :param addresses: addresses for callers, by host name.
    :param is_only_stopping: returns whether a host has been asked to stop, and not been disturbed
        otherwise, since shortly before a time.
    :param newest_key: returns the customer's newest key.
    :param pause_s: mean pause between operations.
    """

    def __init__(
        self,
        checker: Checker,
        operation_counts: OperationCounts,
        addresses: dict[str, tuple[str, int]],
        is_only_stopping: Callable[[str, float], bool],
        routes: Sequence[CallerRoute],
        customer: str,
        newest_key: Callable[[], str],
        pause_s: float,
        generator: random.Random,
    ) -> None:
        """Create a caller; :meth:`run` opens the sessions."""
        self._checker = checker
        self._operation_counts = operation_counts
        self._addresses = addresses
        self._is_only_stopping = is_only_stopping
        self._routes = routes
        self._customer = customer
        self._newest_key = newest_key
        self._pause_s = pause_s
        self._generator = generator

    async def run(self) -> None:
        """Open sessions and run operations until cancelled."""
        while True:
            host = self._generator.choice(sorted(self._addresses))
            route = self._generator.choice(self._routes)
            session = _Session(
                self._checker,
                route,
                self._customer,
                self._generator,
                functools.partial(self._is_only_stopping, host),
            )
            try:
                await session.open(self._addresses[host], self._newest_key())
                await self._run_session(session, host)
            except SessionBroken:
                self._operation_counts.add(host, False)
                await sleep_s(RECONNECT_DELAY_S)
            finally:
                session.close()

    async def _run_session(self, session: _Session, host: str) -> None:
        value = self._generator.choice("abc")
        if self._generator.random() < 0.5:
            await session.set_value("zone", value)
        if self._generator.random() < 0.5:
            await session.prepare("s1", f"shape-{value}")
            await session.execute(f"EXECUTE s1 {self._random_item()}")
        for _ in range(self._generator.randint(1, MAX_SESSION_OPERATIONS)):
            await sleep_s(self._generator.expovariate(1.0 / self._pause_s))
            await self._run_operation(session)
            self._operation_counts.add(host, True)

    async def _run_operation(self, session: _Session) -> None:
        choice = self._generator.random()
        if choice < 0.5:
            await session.execute(f"READ {self._random_item()}")
        elif choice < 0.7:
            await session.execute(self._random_write())
        else:
            is_read_only = choice < 0.8
            await session.begin(is_read_only)
            max_statements, max_pause_s = MAX_SHORT_STATEMENTS, MAX_SHORT_PAUSE_S
            if self._generator.random() < LONG_TRANSACTION_PROBABILITY:
                max_statements, max_pause_s = MAX_LONG_STATEMENTS, MAX_LONG_PAUSE_S
            for _ in range(self._generator.randint(1, max_statements)):
                is_read = is_read_only or self._generator.random() < 0.5
                await session.execute(
                    f"READ {self._random_item()}" if is_read else self._random_write()
                )
                await sleep_s(self._generator.uniform(0.0, max_pause_s))
            await session.commit()

    def _random_item(self) -> str:
        return f"i{self._generator.randrange(_ITEM_COUNT)}"

    def _random_write(self) -> str:
        return f"WRITE {self._random_item()} {self._generator.getrandbits(32):x}"
