"""Stand-in for a database service: a primary and its replicas, with the protocol of PROTOCOL.md."""

import asyncio
import itertools
import time
from collections.abc import Callable
from typing import NamedTuple

__all__ = ["Commit", "Database", "Instance", "Run"]

SLOTS = 5
MAX_WAITING = 40
# An old primary ends a second after it can reach the new one.
STEP_DOWN_S = 1.0


class Commit(NamedTuple):
    """One entry of the log.

    :param committed_s: monotonic time of the commit.
    :param is_late: whether another instance had taken over before.
    """

    term: int
    number: int
    request_id: str
    instance: str
    writes: tuple[tuple[str, str], ...]
    committed_s: float
    is_late: bool


class Run(NamedTuple):
    """One statement that an instance ran.

    :param log: request ids of the commits that the instance had applied.
    """

    instance: str
    request_id: str
    text: str
    started_s: float
    ended_s: float
    log: tuple[str, ...]


class _Error(Exception):
    """The statement ends with this error."""


class _Connection:
    def __init__(self) -> None:
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.end()

    def end(self) -> None:
        self.state = "I"
        self.is_read_only = False
        self.term = 0
        self.writes: list[tuple[str, str]] = []


class Database:
    """A service, its instances and what they ran.

    :param service: name of the service.
    :param can_reach: tells whether one zone reaches another.
    :param promote_s: time from an order until the instance leads.
    :param apply_lag_s: time until a replica has applied a commit.
    """

    def __init__(
        self,
        service: str,
        can_reach: Callable[[str, str], bool],
        promote_s: float,
        apply_lag_s: float,
    ) -> None:
        """Create a service without instances."""
        self.service = service
        self.can_reach = can_reach
        self.promote_s = promote_s
        self.apply_lag_s = apply_lag_s
        self.instances: dict[str, Instance] = {}
        self.primary: Instance | None = None
        self.runs: list[Run] = []
        self.commits: list[Commit] = []
        self.promotions: list[tuple[float, str]] = []
        self.on_role: Callable[[Instance], None] = lambda _: None

    def add(self, name: str, zone: str) -> "Instance":
        """Add an instance; the first one is the primary."""
        instance = Instance(self, name, zone)
        self.instances[name] = instance
        if self.primary is None:
            self.primary = instance
            instance.is_primary = True
        return instance

    async def promote(self, name: str) -> bool:
        """Order the promotion of an instance.

        :returns: false if it is not running.
        """
        instance = self.instances.get(name)
        if instance is None:
            return False
        if instance is not self.primary:
            asyncio.get_running_loop().call_later(self.promote_s, self._take_over, instance)
        return True

    def _take_over(self, instance: "Instance") -> None:
        old = self.primary
        if instance is old:
            return
        instance.term = max(member.term for member in self.instances.values()) + 1
        instance.is_primary = True
        instance.applied = len(instance.log)
        self.primary = instance
        self.promotions.append((time.monotonic(), instance.name))
        self.on_role(instance)
        asyncio.get_running_loop().create_task(self._step_down(old))

    async def _step_down(self, old: "Instance") -> None:
        reached_s = 0.0
        while old.is_primary and reached_s < STEP_DOWN_S:
            await asyncio.sleep(0.05)
            reached_s = reached_s + 0.05 if self.can_reach(old.zone, self.primary.zone) else 0.0
        old.follow()


class Instance:
    """One instance.

    :ivar work_s: time that a statement takes.
    """

    def __init__(self, database: Database, name: str, zone: str) -> None:
        """Create an instance that does not listen yet."""
        self._database = database
        self.name = name
        self.zone = zone
        self.term = 1
        self.is_primary = False
        self.log: list[Commit] = []
        self.applied = 0
        self.work_s: Callable[[str], float] = lambda text: 0.01
        self._slots = asyncio.Semaphore(SLOTS)
        self._waiting = 0
        self._connections = 0
        self._receipts = itertools.count(1)
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Port on which it listens."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Listen on a free port and replicate from now on."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        asyncio.get_running_loop().create_task(self._replicate())

    def follow(self) -> None:
        """Become a replica of the present primary, whose log replaces this one's."""
        primary = self._database.primary
        if primary is self:
            return
        self.is_primary, self.term = False, primary.term
        common = 0
        for own, other in zip(self.log, primary.log, strict=False):
            if own is not other:
                break
            common += 1
        del self.log[common:]
        self.applied = min(self.applied, common)
        self._database.on_role(self)

    async def _replicate(self) -> None:
        while True:
            await asyncio.sleep(0.002)
            primary = self._database.primary
            if self.is_primary or not self._database.can_reach(primary.zone, self.zone):
                continue
            if self.term != primary.term:
                self.follow()
            if len(self.log) < len(primary.log):
                self.log.extend(primary.log[len(self.log) :])
                count, term = len(self.log), self.term
                asyncio.get_running_loop().call_later(
                    self._database.apply_lag_s, self._apply, count, term
                )

    def _apply(self, count: int, term: int) -> None:
        if self.term == term and not self.is_primary:
            self.applied = max(self.applied, min(count, len(self.log)))

    def _position(self, count: int) -> tuple[int, int]:
        return (self.log[count - 1].term, self.log[count - 1].number) if count else (1, 0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        try:
            words = (await _read_line(reader)).split(" ")
            if words[:2] != ["START", self._database.service] or words[3:] not in ([], [self.name]):
                writer.write(b"ERROR MISROUTED another instance\r\n")
                return
            connection = _Connection()
            writer.write(self._ready(connection))
            while True:
                _, request_id, text = (await _read_line(reader)).split(" ", 2)
                lines = await self._answer(connection, request_id, text)
                if writer.is_closing():
                    return
                writer.write("".join(f"{line}\r\n" for line in lines).encode())
                writer.write(self._ready(connection))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections -= 1
            writer.close()

    def _ready(self, connection: _Connection) -> bytes:
        term, number = self._position(self.applied)
        return f"READY {connection.state} {term}.{number}\r\n".encode()

    async def _answer(self, connection: _Connection, request_id: str, text: str) -> list[str]:
        try:
            return await self._dispatch(connection, request_id, text)
        except _Error as error:
            if connection.state == "T" and not str(error).startswith("BUSY"):
                connection.state = "E"
            return [f"ERROR {error}"]

    async def _dispatch(self, connection: _Connection, request_id: str, text: str) -> list[str]:
        after = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            after = tuple(int(part) for part in position.split("."))
        words = text.split(" ")
        if connection.state == "E" and words[0] not in ("COMMIT", "ROLLBACK"):
            raise _Error("MALFORMED the transaction failed")
        match words:
            case ["STATUS"]:
                return [self._status(), "DONE -"]
            case ["DEMOTE", term]:
                if self.is_primary and self.term < int(term):
                    self.follow()
                return [self._status(), "DONE -"]
            case ["SET", name, *_]:
                connection.values[name] = text.split(" ", 2)[2]
            case ["PREPARE", name, kind, *_]:
                connection.prepared[name] = (kind, text.split(" ", 3)[3])
            case ["DEALLOCATE", name]:
                connection.prepared.pop(name, None)
            case ["RESET"]:
                connection.values.clear()
                connection.prepared.clear()
            case ["ROLLBACK"]:
                connection.end()
            case ["BEGIN", *options]:
                if not options and not self.is_primary:
                    raise _Error(f"READONLY {self.name}")
                self._check_applied(after)
                connection.state, connection.is_read_only = "T", bool(options)
                connection.term = self.term
            case _:
                return await self._run(connection, request_id, text, after)
        return ["DONE -"]

    def _status(self) -> str:
        role = "primary" if self.is_primary else "replica"
        term, number = self._position(len(self.log))
        lag_ms = int(self._database.apply_lag_s * 1000)
        busy = SLOTS - self._slots._value
        return f"ROW {role} {self.term} {term}.{number} 0 {lag_ms} {busy} {self._connections}"

    def _check_applied(self, after: tuple[int, int] | None) -> None:
        if after is not None and self._position(self.applied) < after:
            raise _Error(f"LAGGING {self.name}")

    async def _run(
        self, connection: _Connection, request_id: str, text: str, after: tuple[int, int] | None
    ) -> list[str]:
        if self._waiting >= MAX_WAITING:
            raise _Error("BUSY the queue is full")
        self._waiting += 1
        try:
            async with self._slots:
                started_s = time.monotonic()
                self._check_applied(after)
                await asyncio.sleep(self.work_s(text))
                log = tuple(commit.request_id for commit in self.log[: self.applied])
                rows = self._execute(connection, request_id, text)
        finally:
            self._waiting -= 1
        self._database.runs.append(
            Run(self.name, request_id, text, started_s, time.monotonic(), log)
        )
        receipt = f"{self.term}.{self.name}.{next(self._receipts)}"
        return [*(f"ROW {row}" for row in rows), f"DONE {receipt}"]

    def _execute(self, connection: _Connection, request_id: str, text: str) -> list[str]:
        word, _, rest = text.partition(" ")
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in connection.prepared:
                raise _Error("NOSTMT no such name")
            word = connection.prepared[name][0]
        is_plain = connection.state == "T" and not connection.is_read_only
        has_lost_lead = is_plain and not (self.is_primary and connection.term == self.term)
        if has_lost_lead and not (word == "COMMIT" and not connection.writes):
            raise _Error(f"READONLY {self.name}")
        match word:
            case "READ":
                return [self._value(rest)]
            case "WRITE":
                if not self.is_primary or connection.is_read_only:
                    raise _Error(f"READONLY {self.name}")
                item, _, data = rest.partition(" ")
                connection.writes.append((item, data))
                if connection.state != "T":
                    self._commit(request_id, connection)
            case "COMMIT":
                if connection.state == "E":
                    connection.end()
                    raise _Error("ABORTED the transaction failed")
                if connection.writes:
                    self._commit(request_id, connection)
                connection.end()
        return []

    def _value(self, item: str) -> str:
        found = "none"
        for commit in self.log[: self.applied]:
            found = dict(commit.writes).get(item, found)
        return found

    def _commit(self, request_id: str, connection: _Connection) -> None:
        number = (self.log[-1].number if self.log else 0) + 1
        commit = Commit(
            self.term,
            number,
            request_id,
            self.name,
            tuple(connection.writes),
            time.monotonic(),
            self._database.primary is not self,
        )
        connection.writes = []
        self.log.append(commit)
        self.applied = len(self.log)
        self._database.commits.append(commit)


async def _read_line(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
