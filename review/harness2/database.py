"""Stand-in of a service's instances: the line protocol, one log, promotions by order."""

import asyncio
import itertools
import time
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from harness2.http import HttpServer, Request, Response
from harness2.store import Store

__all__ = ["Entry", "Instance", "Order", "Platform", "Run", "Service"]

RECEIVE_S = 0.002
APPLY_S = 0.06
PROMOTE_S = 1.0
OLD_PRIMARY_STOPS_S = 1.0
HEARTBEAT_S = 1.2


class Entry(NamedTuple):
    """One commit of the log, with its writes as (request id, item, data)."""

    term: int
    number: int
    commit_id: str
    writes: tuple[tuple[str, str, str], ...]


class Run(NamedTuple):
    """One statement that an instance ran."""

    at_s: float
    instance: str
    tenant: str
    request_id: str
    text: str
    transaction: int


class Order(NamedTuple):
    """A promotion order as the platform received it."""

    at_s: float
    service: str
    instance: str
    holder: str
    fence: int


class _Refused(Exception):
    """An error answer; its text starts with the code."""


class _Session:
    def __init__(self, tenant: str) -> None:
        self.tenant = tenant
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.state = "I"
        self.transaction = 0
        self.term = 0
        self.is_read_only = False
        self.writes: list[tuple[str, str, str]] = []

    def end_transaction(self) -> None:
        self.state, self.transaction, self.writes = "I", 0, []


class Instance:
    """One database instance.

    :ivar statement_s: how long a statement holds a slot.
    :ivar may_reach: tells whether this instance and another one are connected.
    :ivar hold_answer: called with a statement's id and text before it is answered; true if the
        answer is lost.
    """

    def __init__(self, service: "Service", name: str, ip: str, zone: str) -> None:
        """Create a stopped instance."""
        self.service, self.name, self.ip, self.zone = service, name, ip, zone
        self.term = 1
        self.log: list[Entry] = []
        self.applied = 0
        self.is_primary = False
        self.is_up = False
        self.is_draining = False
        self.is_registered = False
        self.statement_s = 0.01
        self.address = ""
        self.hold_answer: Callable[[str, str], bool] = lambda request_id, text: False
        self.connections: set[asyncio.StreamWriter] = set()
        self._slots = asyncio.Semaphore(service.slots)
        self._waiting = 0
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task | None = None
        self._sequence = 0
        self._receipts = itertools.count(1)
        self._transactions = itertools.count(1)
        self._born = int(time.time() * 1000)

    @property
    def end(self) -> tuple[int, int]:
        """Position of the last entry that was received."""
        return self.log[-1][:2] if self.log else (1, 0)

    @property
    def applied_end(self) -> tuple[int, int]:
        """Position of the last entry that is visible."""
        return self.log[self.applied - 1][:2] if self.applied else (1, 0)

    async def start(self) -> None:
        """Listen and register."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve, self.ip, port)
        self.address = f"{self.ip}:{self._server.sockets[0].getsockname()[1]}"
        self.is_up = True
        self._beat = asyncio.get_running_loop().create_task(self._register())

    def stop(self) -> None:
        """Crash: end all connections and stop answering; the log is kept."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        if self._beat is not None:
            self._beat.cancel()
        for writer in tuple(self.connections):
            writer.transport.abort()

    def report(self) -> None:
        """Write the registry's entry now."""
        self._sequence += 1
        body = {
            "service": self.service.name,
            "address": self.address,
            "zone": self.zone,
            "version": "4.1",
            "slots": self.service.slots,
            "state": "draining" if self.is_draining else "ready",
            "coldMs": 0,
            "seq": self._sequence,
            "dbRole": "primary" if self.is_primary else "replica",
            "born": self._born,
        }
        self.service.store.put(f"servers/{self.name}", body)
        self.is_registered = True

    async def _register(self) -> None:
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    # The log

    def follow(self, primary: "Instance") -> None:
        """Become a replica of a primary; entries that it lacks are rolled back."""
        was_primary, self.is_primary, self.term = self.is_primary, False, primary.term
        common = 0
        for own, other in zip(self.log, primary.log, strict=False):
            if own != other:
                break
            common += 1
        del self.log[common:]
        self.applied = min(self.applied, common)
        if was_primary and self.is_up:
            self.report()
        self.receive(primary)

    def receive(self, primary: "Instance") -> None:
        """Receive the entries of the primary, and apply them later."""
        is_connected = self.is_up and primary.is_up and self.service.may_reach(self, primary)
        if primary is self or self.is_primary or not is_connected or self.term != primary.term:
            return
        self.log.extend(primary.log[len(self.log) :])
        asyncio.get_running_loop().call_later(APPLY_S, self._apply, self.term, len(self.log))

    def _apply(self, term: int, count: int) -> None:
        if term == self.term and not self.is_primary:
            self.applied = max(self.applied, min(count, len(self.log)))

    # The line protocol

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            words = (await _read_line(reader)).split(" ")
            is_named = words[:2] == ["START", self.service.name]
            if not is_named or words[3:] not in ([], [self.name]):
                writer.write(b"ERROR MISROUTED other\r\n")
                return
            if len(self.connections) > self.service.max_connections:
                writer.write(b"ERROR TOOMANY connections\r\n")
                return
            session = _Session(words[2])
            writer.write(self._ready(session))
            while True:
                _, request_id, text = (await _read_line(reader)).split(" ", 2)
                answer = await self._answer(session, request_id, text)
                if self.hold_answer(request_id, text):
                    continue
                writer.write(answer + self._ready(session))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.connections.discard(writer)
            writer.close()

    def _ready(self, session: _Session) -> bytes:
        term, number = self.applied_end
        return f"READY {session.state} {term}.{number}\r\n".encode()

    async def _answer(self, session: _Session, request_id: str, text: str) -> bytes:
        try:
            lines = await self._run(session, request_id, text)
        except _Refused as error:
            if session.state == "T" and not str(error).startswith("BUSY"):
                session.state = "E"
            lines = [f"ERROR {error}"]
        return "".join(f"{line}\r\n" for line in lines).encode("latin-1")

    async def _run(self, session: _Session, request_id: str, text: str) -> list[str]:
        after: tuple[int, int] | None = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, _, number = position.partition(".")
            after = (int(term), int(number))
        words = text.split(" ")
        if session.state == "E" and words[0] not in ("COMMIT", "ROLLBACK"):
            raise _Refused("MALFORMED failed")
        match words:
            case ["STATUS"]:
                return [self._status(), "DONE -"]
            case ["DEMOTE", term]:
                if self.is_primary and self.term < int(term):
                    self.service.demote(self)
                return [self._status(), "DONE -"]
            case ["SET", name, *_]:
                session.values[name] = text.split(" ", 2)[2]
            case ["PREPARE", name, kind, *_]:
                session.prepared[name] = (kind, text.split(" ", 3)[3])
            case ["DEALLOCATE", name]:
                session.prepared.pop(name, None)
            case ["RESET"]:
                session.values.clear()
                session.prepared.clear()
            case ["ROLLBACK"]:
                session.end_transaction()
            case ["BEGIN", *mode]:
                self._begin(session, mode == ["READ"], after)
            case _:
                return await self._run_slow(session, request_id, text, words, after)
        return ["DONE -"]

    def _status(self) -> str:
        role = "primary" if self.is_primary else "replica"
        term, number = self.end
        busy = self.service.slots - self._slots._value
        connections = len(self.connections)
        return f"ROW {role} {self.term} {term}.{number} {self.term} 0 {busy} {connections}"

    def _begin(self, session: _Session, is_read: bool, after: tuple[int, int] | None) -> None:
        if not is_read and not self.is_primary:
            raise _Refused(f"READONLY {self.name}")
        self._check(after)
        session.state, session.transaction = "T", next(self._transactions)
        session.is_read_only, session.term = is_read, self.term

    def _check(self, after: tuple[int, int] | None) -> None:
        if after is not None and after[1] and self.applied_end < after:
            raise _Refused(f"LAGGING {self.name}")

    async def _run_slow(
        self,
        session: _Session,
        request_id: str,
        text: str,
        words: list[str],
        after: tuple[int, int] | None,
    ) -> list[str]:
        if self._waiting >= self.service.queue:
            raise _Refused("BUSY queue")
        self._waiting += 1
        try:
            async with self._slots:
                await asyncio.sleep(self.statement_s)
                self._check(after)
                return self._execute(session, request_id, text, words)
        finally:
            self._waiting -= 1

    def _execute(
        self, session: _Session, request_id: str, text: str, words: list[str]
    ) -> list[str]:
        kind, item, data = words[0], words[1] if len(words) > 1 else "", " ".join(words[2:])
        if kind == "EXECUTE":
            if item not in session.prepared:
                raise _Refused("NOSTMT no such name")
            kind, item, data = session.prepared[item][0], words[2], " ".join(words[3:])
        is_plain = session.transaction and not session.is_read_only
        if is_plain and not (self.is_primary and session.term == self.term):
            if not (kind == "COMMIT" and not session.writes):
                raise _Refused(f"READONLY {self.name}")
        rows: list[str] = []
        transaction = session.transaction
        match kind:
            case "READ":
                rows = [f"ROW {self._value(session, item)}"]
            case "WRITE" if not self.is_primary or session.is_read_only:
                raise _Refused(f"READONLY {self.name}")
            case "WRITE" if transaction:
                session.writes.append((request_id, item, data))
            case "WRITE":
                self._commit(request_id, [(request_id, item, data)])
            case "COMMIT":
                if session.state == "E":
                    session.end_transaction()
                    raise _Refused("ABORTED failed")
                if session.writes:
                    self._commit(request_id, session.writes)
                session.end_transaction()
        self.service.runs.append(
            Run(time.monotonic(), self.name, session.tenant, request_id, text, transaction)
        )
        return [*rows, f"DONE {self.term}.{self.name}.{next(self._receipts)}"]

    def _value(self, session: _Session, item: str) -> str:
        for _, name, data in reversed(session.writes):
            if name == item:
                return data
        for entry in reversed(self.log[: self.applied]):
            for _, name, data in reversed(entry.writes):
                if name == item:
                    return data
        return "none"

    def _commit(self, commit_id: str, writes: list[tuple[str, str, str]]) -> None:
        entry = Entry(self.term, self.end[1] + 1, commit_id, tuple(writes))
        self.log.append(entry)
        self.applied = len(self.log)
        self.service.commits.append((time.monotonic(), self.name, entry))
        for other in self.service.instances.values():
            asyncio.get_running_loop().call_later(RECEIVE_S, other.receive, self)


class Service:
    """A service with one primary, the first instance at the start.

    :param zones: zone of each instance.
    :ivar may_reach: tells whether two instances are connected.
    :ivar runs: all statements that ran, in order.
    :ivar commits: all commits, as (seconds, instance, entry).
    :ivar promoted: promotions that took effect, as (seconds, instance).
    """

    def __init__(self, store: Store, name: str, ip: str, zones: tuple[str, ...]) -> None:
        """Create stopped instances."""
        self.store, self.name = store, name
        self.slots, self.queue, self.max_connections = 5, 40, 33
        self.may_reach: Callable[[Instance, Instance], bool] = lambda one, other: True
        self.runs: list[Run] = []
        self.commits: list[tuple[float, str, Entry]] = []
        self.promoted: list[tuple[float, str]] = []
        self.instances: dict[str, Instance] = {}
        for number, zone in enumerate(zones):
            instance = Instance(self, f"i-{name}-{number}", ip, zone)
            self.instances[instance.name] = instance
        self.primary = next(iter(self.instances.values()))
        self.primary.is_primary = True
        self.promote_s = PROMOTE_S
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start all instances."""
        for instance in self.instances.values():
            await instance.start()

    def stop(self) -> None:
        """Stop all instances."""
        for instance in self.instances.values():
            instance.stop()
        for task in self._tasks:
            task.cancel()

    def order(self, name: str) -> int:
        """Take a promotion order; return its status."""
        instance = self.instances.get(name)
        if instance is None or not instance.is_up:
            return 409
        if instance is not self.primary:
            loop = asyncio.get_running_loop()
            loop.call_later(self.promote_s, self._complete, instance)
        return 200

    def _complete(self, instance: Instance) -> None:
        if instance is self.primary or not instance.is_up:
            return
        old, self.primary = self.primary, instance
        instance.term = max(entry.term for entry in self.instances.values()) + 1
        instance.is_primary = True
        instance.applied = len(instance.log)
        instance.report()
        self.promoted.append((time.monotonic(), instance.name))
        for other in self.instances.values():
            if other is not instance:
                self._start(self._follow_new(other, OLD_PRIMARY_STOPS_S if other is old else 0.0))

    async def _follow_new(self, other: Instance, delay_s: float) -> None:
        """Make an instance follow the new primary once it can reach it.

        :param delay_s: time for which an old primary continues after that.
        """
        while not (other.is_up and self.primary.is_up and self.may_reach(other, self.primary)):
            await asyncio.sleep(0.05)
        await asyncio.sleep(delay_s)
        if other is not self.primary:
            other.follow(self.primary)

    def _start(self, coroutine: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def demote(self, instance: Instance) -> None:
        """Make an old primary a replica."""
        if instance is not self.primary and self.may_reach(instance, self.primary):
            instance.follow(self.primary)


class Platform:
    """The interface for promotion orders.

    :ivar orders: all orders that arrived.
    """

    def __init__(self, services: dict[str, Service]) -> None:
        """Create an interface that does not listen yet."""
        self._services = services
        self._server = HttpServer(self._handle)
        self.orders: list[Order] = []

    @property
    def address(self) -> str:
        """``IP:PORT``."""
        return self._server.address

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        await self._server.start(ip)

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    async def _handle(self, request: Request) -> Response:
        if (request.method, request.path) != ("POST", "/promote"):
            return Response(404)
        body: dict[str, Any] = request.json()
        fence = int(request.headers["fence-token"])
        order = Order(
            time.monotonic(), body["service"], body["id"], request.headers["duty-holder"], fence
        )
        self.orders.append(order)
        service = self._services.get(order.service)
        return Response(409 if service is None else service.order(order.instance), {})


async def _read_line(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
