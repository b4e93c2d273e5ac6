"""Callers that run operations in sessions and tell the checker what they see."""

import itertools
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from pistachiowinch.base.clock import sleep_s
from pistachiowinch.soak.checker import Attempt, Checker
from pistachiowinch.standins.line_caller import LineCaller, SessionBroken

__all__ = ["ANSWER_TIMEOUT_S", "OPEN_TIMEOUT_S", "Caller", "CallerRoute", "Operations"]

# A caller gives up a session that does not open or answer in time.
OPEN_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 5.0
# Pause after a failure; callers of the platform return after a while, too.
RETURN_S = 0.2
# Operations of one session; long sessions meet more faults.
SESSION_OPERATIONS = 40
_ITEMS = 50


class CallerRoute(NamedTuple):
    """A database that callers use.

    :param staleness_s: age of commits that reads may lack.
    :param sees_own: whether reads see the session's own commits at any age.
    """

    database: str
    service: str
    staleness_s: float
    sees_own: bool


class Operations:
    """Counts of operations by host and outcome.

    :ivar served: operations that succeeded, for each host.
    :ivar failed: operations that did not, for each host.
    """

    def __init__(self) -> None:
        """Create counts of zero."""
        self.served: dict[str, int] = {}
        self.failed: dict[str, int] = {}

    def note(self, host: str, is_served: bool) -> None:
        """Count one operation."""
        counts = self.served if is_served else self.failed
        counts[host] = counts.get(host, 0) + 1


class _Session:
    """One session at one host."""

    _numbers = itertools.count(1)

    def __init__(
        self, checker: Checker, route: CallerRoute, customer: str, generator: random.Random
    ) -> None:
        self.number = next(self._numbers)
        self._checker = checker
        self._route = route
        self._customer = customer
        self._generator = generator
        self._values: dict[str, str] = {}
        self._shapes: dict[str, str] = {}
        self._transaction = 0
        self._begun_required: tuple | None = None
        self._written: list[str] = []
        self._line = LineCaller(OPEN_TIMEOUT_S, ANSWER_TIMEOUT_S)

    async def open(self, address: tuple[str, int], key: str) -> None:
        await self._line.open(address, self._route.database, key)

    def close(self) -> None:
        self._line.close()

    async def begin(self, is_read_only: bool) -> None:
        self._transaction = next(self._numbers)
        self._begun_required = self._required()
        self._written = []
        await self._send("BEGIN READ" if is_read_only else "BEGIN")

    async def commit(self) -> None:
        await self.work("COMMIT")
        self._transaction, self._begun_required = 0, None

    async def set_value(self, name: str, value: str) -> None:
        await self._send(f"SET {name} {value}")
        self._values = self._values | {name: value}

    async def prepare(self, name: str, shape: str) -> None:
        await self._send(f"PREPARE {name} READ {shape}")
        self._shapes[name] = shape

    async def work(self, text: str) -> None:
        """Run a read, write or commit."""
        shape = self._shapes[text.split(" ")[1]] if text.startswith("EXECUTE") else ""
        required = self._begun_required
        if required is None:
            required = self._required()
        request_id = self._new_id()
        attempt = Attempt(
            request_id,
            self.number,
            self._transaction,
            text,
            self._customer,
            self._route.service,
            self._values,
            shape,
            required,
        )
        self._checker.sends(attempt)
        if text.startswith("WRITE"):
            self._written.append(request_id)
        rows, receipt = await self._send(text, request_id)
        self._checker.succeeded(request_id, rows, receipt)

    def _required(self) -> tuple:
        route = self._route
        return self._checker.required(route.service, self.number, route.staleness_s, route.sees_own)

    async def _send(self, text: str, request_id: str = "") -> tuple[tuple[str, ...], str]:
        request_id = request_id or self._new_id()
        answer = await self._line.send(request_id, text)
        if answer.error:
            written = tuple(self._written) if self._transaction else ()
            self._checker.refused(request_id, answer.error, written)
            raise SessionBroken(answer.error)
        return answer.rows, answer.receipt

    def _new_id(self) -> str:
        return f"{self._generator.getrandbits(64):016x}"


class Caller:
    """One caller: sessions one after the other, at any host.

    :param addresses: hosts by name with their callers' addresses.
    :param key: returns the customer's newest key.
    :param pause_s: mean pause between operations.
    """

    def __init__(
        self,
        checker: Checker,
        operations: Operations,
        addresses: dict[str, tuple[str, int]],
        routes: Sequence[CallerRoute],
        customer: str,
        key: Callable[[], str],
        pause_s: float,
        generator: random.Random,
    ) -> None:
        """Create a caller; :meth:`run` makes it call."""
        self._checker = checker
        self._operations = operations
        self._addresses = addresses
        self._routes = routes
        self._customer = customer
        self._key = key
        self._pause_s = pause_s
        self._generator = generator

    async def run(self) -> None:
        """Call until cancelled."""
        while True:
            host = self._generator.choice(sorted(self._addresses))
            route = self._generator.choice(self._routes)
            session = _Session(self._checker, route, self._customer, self._generator)
            try:
                await session.open(self._addresses[host], self._key())
                await self._use(session, host)
            except SessionBroken:
                self._operations.note(host, False)
                await sleep_s(RETURN_S)
            finally:
                session.close()

    async def _use(self, session: _Session, host: str) -> None:
        value = self._generator.choice("abc")
        if self._generator.random() < 0.5:
            await session.set_value("zone", value)
        if self._generator.random() < 0.5:
            await session.prepare("s1", f"shape-{value}")
            await session.work(f"EXECUTE s1 {self._item()}")
        for _ in range(self._generator.randint(1, SESSION_OPERATIONS)):
            await sleep_s(self._generator.expovariate(1.0 / self._pause_s))
            await self._operate(session)
            self._operations.note(host, True)

    async def _operate(self, session: _Session) -> None:
        choice = self._generator.random()
        if choice < 0.5:
            await session.work(f"READ {self._item()}")
        elif choice < 0.7:
            await session.work(self._write())
        else:
            is_read_only = choice < 0.8
            await session.begin(is_read_only)
            for _ in range(self._generator.randint(1, 4)):
                is_read = is_read_only or self._generator.random() < 0.5
                await session.work(f"READ {self._item()}" if is_read else self._write())
                await sleep_s(self._generator.uniform(0.0, 0.05))
            await session.commit()

    def _item(self) -> str:
        return f"i{self._generator.randrange(_ITEMS)}"

    def _write(self) -> str:
        return f"WRITE {self._item()} {self._generator.getrandbits(32):x}"
