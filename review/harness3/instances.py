"""The instances of one service: a primary and its replicas, which speak the line protocol."""

import asyncio
import itertools
import math
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from harness3.http_server import HttpServer, Request, Response
from harness3.record import Record
from harness3.store import Store

__all__ = ["Entry", "Instance", "Orders", "Service", "Work"]

# The site file states the queue of an instance, the time of a new connection and the pings.
QUEUE_STATEMENTS = 40
HANDSHAKE_S = 0.012
STATUS_S = 0.0005
HEARTBEAT_S = 1.2
# Network delay between a primary and its replicas.
RECEIVE_S = 0.001
# An old primary steps down this long after it can reach the new one.
STEP_DOWN_S = 1.0


class Work(NamedTuple):
    """Duration of a statement: log-normal, as the site files state it."""

    mean_s: float
    spread: float
    max_s: float

    def draw_s(self, generator: random.Random) -> float:
        """Return the duration of one statement."""
        mu = math.log(self.mean_s) - self.spread**2 / 2.0
        return min(generator.lognormvariate(mu, self.spread), self.max_s)


class Entry(NamedTuple):
    """One commit in a log."""

    term: int
    number: int
    request_id: str
    writes: tuple[tuple[str, str], ...]


class _Error(Exception):
    """The statement is answered with this error."""


class _Session:
    def __init__(self) -> None:
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.end_transaction()

    def end_transaction(self) -> None:
        self.state = "I"
        self.is_read_only = False
        self.term = 0
        self.writes: list[tuple[str, str]] = []


class Service:
    """One service with its log, its promotions and its configuration.

    :param lag_s: time after its arrival in which a replica applies a commit.
    :param promote_s: time from an accepted order until the instance leads.
    :param sync_replicas: replicas that must have received a commit before it is acknowledged.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        record: Record,
        work: Work,
        slots: int,
        max_connections: int,
        lag_s: float,
        promote_s: float,
        sync_replicas: int = 0,
        seed: int = 1,
    ) -> None:
        """Create a service without instances."""
        self.name = name
        self.store = store
        self.record = record
        self.work = work
        self.slots = slots
        self.max_connections = max_connections
        self.lag_s = lag_s
        self.promote_s = promote_s
        self.sync_replicas = sync_replicas
        self.generator = random.Random(seed)
        self.instances: dict[str, Instance] = {}
        self.leader: Instance | None = None
        self.on_commit: Callable[[Instance, Entry, bool], None] = lambda *_: None
        self.on_promoted: Callable[[Instance, Instance], None] = lambda *_: None
        self.on_execute: Callable[[Instance, str, str], None] = lambda *_: None
        self._ids = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()

    async def start(self, zones: list[str]) -> None:
        """Start one instance in each zone; the first one leads."""
        for zone in zones:
            instance = Instance(self, self.new_id(), zone)
            self.instances[instance.id] = instance
            await instance.start()
        self.leader = next(iter(self.instances.values()))
        self.leader.is_primary = True
        for instance in self.instances.values():
            instance.register()

    def new_id(self) -> str:
        """Return an id that no instance had before."""
        return f"i-{self.name}-{next(self._ids)}"

    def spawn(self, coroutine) -> None:
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def order(self, instance_id: str) -> bool:
        """Accept an order to promote an instance; false if it is not running."""
        instance = self.instances.get(instance_id)
        if instance is None or not instance.is_up:
            return False
        if instance is not self.leader:
            self.spawn(self._promote(instance))
        return True

    async def _promote(self, instance: "Instance") -> None:
        await asyncio.sleep(self.promote_s)
        old = self.leader
        if instance is old or not instance.is_up:
            return
        self.leader = instance
        instance.term = max(other.term for other in self.instances.values()) + 1
        instance.is_primary = True
        instance.apply(len(instance.log))
        instance.is_receiving = True
        self.record.write(
            "promoted", instance=instance.id, term=instance.term, log=len(instance.log)
        )
        self.on_promoted(old, instance)
        instance.register()
        for other in self.instances.values():
            if other is not instance and not other.is_primary:
                other.follow()
        await asyncio.sleep(STEP_DOWN_S)
        if old.is_up and old.is_primary and old is not self.leader:
            old.step_down()


class Instance:
    """One instance.

    :ivar slow_factor: multiplies the duration of each statement.
    :ivar is_receiving: whether it receives the commits of the primary.
    """

    def __init__(self, service: Service, instance_id: str, zone: str) -> None:
        """Create a stopped instance with an empty log."""
        self.service = service
        self.id = instance_id
        self.zone = zone
        self.port = 0
        self.term = 1
        self.log: list[Entry] = []
        self.applied = 0
        self.is_primary = False
        self.is_up = False
        self.is_receiving = True
        self.slow_factor = 1.0
        self.born_ms = int(time.time() * 1000)
        self._seq = 0
        self._data: dict[str, str] = {}
        self._positions: set[tuple[int, int]] = set()
        self._receipts = itertools.count(1)
        self._writers: set[asyncio.StreamWriter] = set()
        self._slots = asyncio.Semaphore(service.slots)
        self._queued = 0

    @property
    def received(self) -> tuple[int, int]:
        """Position of the last commit that it has received."""
        return (self.log[-1].term, self.log[-1].number) if self.log else (1, 0)

    async def start(self) -> None:
        """Listen on a free port, or on the one that it had."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self._server = server
        self.port = server.sockets[0].getsockname()[1]
        self.is_up = True
        self.service.spawn(self._ping())

    def crash(self) -> None:
        """Stop at once; the log stays."""
        self.is_up = False
        self._server.close()
        self.disconnect()

    def disconnect(self) -> None:
        """End all connections; open transactions are lost."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def register(self) -> None:
        """Write the entry in the store."""
        self._seq += 1
        self.service.store.write(
            f"servers/{self.id}",
            {
                "service": self.service.name,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.service.slots,
                "state": "ready",
                "coldMs": 0,
                "dbRole": "primary" if self.is_primary else "replica",
                "seq": self._seq,
                "born": self.born_ms,
            },
        )

    async def _ping(self) -> None:
        while self.is_up:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_up:
                self.register()

    # The log

    def follow(self) -> None:
        """Drop what the leader lacks, and receive the rest."""
        leader = self.service.leader
        common = 0
        for own, other in zip(self.log, leader.log, strict=False):
            if own is not other:
                break
            common += 1
        if common < len(self.log):
            del self.log[common:]
            self._data.clear()
            self._positions.clear()
            count, self.applied = min(self.applied, common), 0
            self.apply(count)
        self.receive()

    def receive(self) -> None:
        """Receive the leader's commits that are missing here, and apply them later."""
        leader = self.service.leader
        if leader is self or self.is_primary or not (self.is_receiving and self.is_up):
            return
        if not leader.is_up:
            return
        self.term = leader.term
        self.log.extend(leader.log[len(self.log) :])
        loop = asyncio.get_running_loop()
        loop.call_later(self.service.lag_s, self._apply_received, self.term, len(self.log))

    def _apply_received(self, term: int, count: int) -> None:
        if term == self.term:
            self.apply(min(count, len(self.log)))

    def apply(self, count: int) -> None:
        """Make commits visible to reads."""
        for entry in self.log[self.applied : count]:
            self._data.update(entry.writes)
            self._positions.add((entry.term, entry.number))
        self.applied = max(self.applied, count)

    def step_down(self) -> None:
        """Become a replica of the leader."""
        self.is_primary = False
        self.service.record.write("stepped_down", instance=self.id)
        self.register()
        self.follow()

    # The line protocol

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self._serve_session(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The caller has closed the connection, which rolls back, or the run ends.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        words = (await _read_line(reader)).split(" ")
        if words[:2] != ["START", self.service.name] or words[3:] not in ([], [self.id]):
            writer.write(b"ERROR MISROUTED another instance\r\n")
            return
        if len(self._writers) > self.service.max_connections:
            writer.write(b"ERROR TOOMANY connections\r\n")
            return
        async with self._slots:
            await asyncio.sleep(HANDSHAKE_S)
        session = _Session()
        writer.write(self._ready(session))
        while True:
            _, request_id, text = (await _read_line(reader)).split(" ", 2)
            try:
                lines = await self._run(session, request_id, text)
            except _Error as error:
                if session.state == "T" and not str(error).startswith(("BUSY", "NOSTMT")):
                    session.state = "E"
                lines = [f"ERROR {error}"]
            writer.write("".join(f"{line}\r\n" for line in lines).encode("latin-1"))
            writer.write(self._ready(session))
            await writer.drain()

    def _ready(self, session: _Session) -> bytes:
        term, number = (1, 0)
        if self.applied:
            term, number = self.log[self.applied - 1][:2]
        return f"READY {session.state} {term}.{number}\r\n".encode()

    async def _run(self, session: _Session, request_id: str, text: str) -> list[str]:
        after: tuple[int, int] | None = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, _, number = position.partition(".")
            after = (int(term), int(number))
        words = text.split(" ")
        if session.state == "E" and words[0] not in ("COMMIT", "ROLLBACK"):
            raise _Error("MALFORMED the transaction failed")
        match words:
            case ["STATUS"]:
                await self._occupy(STATUS_S)
                return [f"ROW {self._status()}", "DONE -"]
            case ["DEMOTE", term]:
                if self.is_primary and self.term < int(term) and self.service.leader is not self:
                    self.step_down()
                return [f"ROW {self._status()}", "DONE -"]
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
            case ["BEGIN", *_]:
                self._begin(session, words[1:] == ["READ"], after)
            case _:
                return await self._run_statement(session, request_id, text, after)
        return ["DONE -"]

    def _status(self) -> str:
        role = "primary" if self.is_primary else "replica"
        term, number = self.received
        lag_ms = int(self.service.lag_s * 1000)
        busy = self.service.slots if self._slots.locked() else 0
        return (
            f"{role} {self.term} {term}.{number} {self.term} {lag_ms} {busy} {len(self._writers)}"
        )

    def _begin(self, session: _Session, is_read_only: bool, after: tuple[int, int] | None) -> None:
        if not is_read_only and not self.is_primary:
            raise _Error(f"READONLY {self.id}")
        self._check_applied(after)
        session.state, session.is_read_only, session.term = "T", is_read_only, self.term

    def _check_applied(self, after: tuple[int, int] | None) -> None:
        if after is not None and after[1] and after not in self._positions:
            raise _Error(f"LAGGING {self.id}")

    async def _occupy(self, duration_s: float) -> None:
        if self._queued >= QUEUE_STATEMENTS:
            raise _Error(f"BUSY {self.id}")
        self._queued += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        try:
            await asyncio.sleep(duration_s)
        finally:
            self._slots.release()

    async def _run_statement(
        self, session: _Session, request_id: str, text: str, after: tuple[int, int] | None
    ) -> list[str]:
        await self._occupy(self.service.work.draw_s(self.service.generator) * self.slow_factor)
        is_lost = session.state == "T" and not session.is_read_only
        is_lost = is_lost and not (self.is_primary and session.term == self.term)
        if is_lost and not (text == "COMMIT" and not session.writes):
            raise _Error(f"READONLY {self.id}")
        self._check_applied(after)
        kind, item, data = self._parse(session, request_id, text)
        rows: list[str] = []
        match kind:
            case "READ":
                rows = [dict(session.writes).get(item, self._data.get(item, "none"))]
            case "WRITE" if not self.is_primary or session.is_read_only:
                raise _Error(f"READONLY {self.id}")
            case "WRITE" if session.state == "T":
                session.writes.append((item, data))
            case "WRITE":
                await self._commit(request_id, ((item, data),))
            case "COMMIT":
                writes = tuple(session.writes)
                session.end_transaction()
                if writes:
                    await self._commit(request_id, writes)
            case _:
                raise _Error("MALFORMED")
        receipt = f"{self.term}.{self.id}.{next(self._receipts)}"
        return [*(f"ROW {row}" for row in rows), f"DONE {receipt}"]

    def _parse(self, session: _Session, request_id: str, text: str) -> tuple[str, str, str]:
        words = text.split(" ", 2)
        if words[0] != "EXECUTE":
            kind, item, data = [*words, "", ""][:3]
            return kind, item, data
        if words[1] not in session.prepared:
            raise _Error("NOSTMT")
        kind, shape = session.prepared[words[1]]
        self.service.on_execute(self, request_id, shape)
        item, _, data = words[2].partition(" ")
        return kind, item, data

    async def _commit(self, request_id: str, writes: tuple[tuple[str, str], ...]) -> None:
        service = self.service
        entry = Entry(self.term, self.received[1] + 1, request_id, writes)
        self.log.append(entry)
        self.apply(len(self.log))
        is_leader = service.leader is self
        service.on_commit(self, entry, is_leader)
        if is_leader:
            loop = asyncio.get_running_loop()
            for other in service.instances.values():
                loop.call_later(RECEIVE_S, other.receive)
        others = [other for other in service.instances.values() if other is not self]
        while service.sync_replicas and not any(entry in other.log for other in others):
            await asyncio.sleep(RECEIVE_S)


class Orders:
    """The platform's interface for promotions.

    :param services: by name.
    """

    def __init__(self, services: dict[str, Service], record: Record) -> None:
        """Create a server; :meth:`start` makes it listen."""
        self._services = services
        self._record = record
        self._server = HttpServer(self._answer)

    @property
    def address(self) -> str:
        """``IP:PORT``."""
        return self._server.address

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def _answer(self, request: Request) -> Response:
        if request.path != "/promote":
            return Response(404, {})
        service = self._services.get(request.body["service"])
        is_accepted = service is not None and service.order(request.body["id"])
        self._record.write(
            "order",
            instance=request.body["id"],
            holder=request.headers["duty-holder"],
            fence=int(request.headers["fence-token"]),
            is_accepted=is_accepted,
        )
        return Response(200 if is_accepted else 409, {})


async def _read_line(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
