"""A service of targets that speak the platform's line protocol and replicate a log.

Commits of the primary get positions; replicas receive them after a delay and apply them later. A
promotion makes what the promoted target has received the service's log.
"""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.links.statements import Position

__all__ = ["Commit", "Execution", "LineService", "LineTarget", "ServiceObserver"]

# Time on the way from the primary to a replica.
RECEIVE_S = 0.002
# A commit that waits for a replica looks this often.
SYNC_LOOK_S = 0.002
# A commit that no replica received in time is answered with TIMEOUT.
SYNC_TIMEOUT_S = 2.0
# From an order until the promoted target leads.
PROMOTE_S = 0.3
# A replaced primary that nobody demotes goes on for this long.
OLD_PRIMARY_DEMOTION_S = 1.0
# Statements that wait for a slot of one target; more are answered BUSY.
MAX_WAITING = 40


class Commit(NamedTuple):
    """One entry of a service's log.

    :param request_id: statement that committed it.
    :param write_request_ids: request ids of its writes.
    """

    position: Position
    request_id: str
    write_request_ids: tuple[str, ...]
    data: tuple[tuple[str, str], ...]


class Execution(NamedTuple):
    """One statement that a target ran.

    :param source: IP address of the sender.
    :param transaction: number of the open transaction; 0 outside one.
    :param template: prepared template that was run; empty for other statements.
    :param has_applied: tells whether a position was in the log that the statement ran on.
    """

    target: str
    source: str
    request_id: str
    text: str
    customer: str
    values: dict[str, str]
    template: str
    transaction: int
    rows: tuple[str, ...]
    receipt: str
    has_applied: Callable[[Position], bool]


class ServiceObserver(Protocol):
    """Learns what the targets do."""

    def on_execution(self, execution: Execution) -> None:
        """Learn of a statement that a target ran."""

    def on_commit(self, service: str, target: str, source: str, commit: Commit) -> None:
        """Learn of a commit, before it is acknowledged."""

    def on_promotion(self, service: str, target: "LineTarget") -> None:
        """Learn of a promotion that has taken effect."""


class _Refused(Exception):
    """The statement is answered with an error."""


class _Connection:
    """State that one connection carries."""

    def __init__(self, customer: str, source: str) -> None:
        self.customer = customer
        self.source = source
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.reset_transaction()

    def reset_transaction(self) -> None:
        self.state = "I"
        self.transaction = 0
        self.term = 0
        self.writes: list[tuple[str, str, str]] = []
        self.is_read_only = False


class LineTarget:
    """One target.

    :param service: the service that it belongs to.
    :param name: identity that callers must name.
    :param ip: address to listen at.
    :param port: port to listen at; 0 takes a free one, and keeps it.
    :ivar slow_factor: multiplies the time of each statement.
    :ivar failure_probability: chance that a statement runs and is answered FAILED.
    :ivar is_receiving: whether the primary's commits reach it.
    """

    def __init__(self, service: "LineService", name: str, ip: str, port: int) -> None:
        """Create a stopped target with an empty log."""
        self.service = service
        self.name = name
        self.ip = ip
        self.port = port
        self.term = 0
        self.log: list[Commit] = []
        self.applied = 0
        self.is_primary = False
        self.is_up = False
        self.slow_factor = 1.0
        self.failure_probability = 0.0
        self.is_receiving = True
        self._data: dict[str, str] = {}
        self._positions: set[Position] = set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._slots = asyncio.Semaphore(service.slots)
        self._waiting = 0
        self._receipts = 0
        self._transactions = 0

    @property
    def address(self) -> str:
        """``IP:PORT`` of the line protocol."""
        return f"{self.ip}:{self.port}"

    @property
    def received(self) -> Position:
        """End of the log that it holds."""
        return self.log[-1].position if self.log else Position(1, 0)

    async def start(self) -> None:
        """Listen, at the same port as before; replicas catch up with their primary."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_up = True
        if self.service.leader is not self:
            self.follow()
            return
        for replica in self.service.targets.values():
            replica.receive()

    async def stop(self) -> None:
        """Stop at once; the log stays, open transactions do not."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def lead(self, term: int) -> None:
        """Become the primary of a term with what was received."""
        self.term = term
        self.is_primary = True
        self._apply(len(self.log))

    def follow(self) -> None:
        """Become a replica of the service's primary; what it never had is rolled back."""
        leader = self.service.leader
        if leader is self:
            return
        self.is_primary = False
        self.term = leader.term
        common = 0
        for own, other in zip(self.log, leader.log, strict=False):
            if own is not other:
                break
            common += 1
        if common < len(self.log):
            del self.log[common:]
            self._rebuild()
        self.receive()

    def receive(self) -> None:
        """Take what the primary has and this target lacks."""
        leader = self.service.leader
        if leader is self or not (self.is_up and self.is_receiving and leader.is_up):
            return
        self.log.extend(leader.log[len(self.log) :])
        loop = asyncio.get_running_loop()
        loop.call_later(self.service.lag_s, self._apply_received, self.term, len(self.log))

    def has_received(self, commit: Commit) -> bool:
        """Whether a commit is in this target's log."""
        index = commit.position.number - 1
        return index < len(self.log) and self.log[index] is commit

    def _apply_received(self, term: int, count: int) -> None:
        if self.term == term and self.is_up:
            self._apply(min(count, len(self.log)))

    def _apply(self, count: int) -> None:
        for commit in self.log[self.applied : count]:
            self._data.update(commit.data)
            self._positions.add(commit.position)
        self.applied = max(self.applied, count)

    def _rebuild(self) -> None:
        self._data.clear()
        self._positions.clear()
        count, self.applied = min(self.applied, len(self.log)), 0
        self._apply(count)

    # The line protocol

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self._converse(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            # The far end has gone; the connection's transaction is dropped with it.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        words = (await _read_line(reader)).split(" ")
        if words[:2] != ["START", self.service.name] or words[3:] not in ([], [self.name]):
            writer.write(b"ERROR MISROUTED another target\r\n")
            return
        if len(self._writers) > self.service.max_connections:
            writer.write(b"ERROR TOOMANY connections\r\n")
            return
        connection = _Connection(words[2], writer.get_extra_info("peername")[0])
        writer.write(self._ready(connection))
        while True:
            _, request_id, text = (await _read_line(reader)).split(" ", 2)
            lines = await self._answer(connection, request_id, text)
            writer.write("".join(f"{line}\r\n" for line in lines).encode("latin-1"))
            writer.write(self._ready(connection))
            await writer.drain()

    def _ready(self, connection: _Connection) -> bytes:
        end = self.log[self.applied - 1].position if self.applied else Position(1, 0)
        return f"READY {connection.state} {end.term}.{end.number}\r\n".encode()

    async def _answer(self, connection: _Connection, request_id: str, text: str) -> list[str]:
        try:
            return await self._run(connection, request_id, text)
        except _Refused as error:
            if connection.state == "T" and not str(error).startswith("BUSY"):
                connection.state = "E"
            return [f"ERROR {error}"]

    async def _run(self, connection: _Connection, request_id: str, text: str) -> list[str]:
        after, text = _split_after(text)
        words = text.split(" ")
        if connection.state == "E" and words[0] not in ("COMMIT", "ROLLBACK"):
            raise _Refused("MALFORMED the transaction failed")
        match words:
            case ["STATUS"]:
                return [f"ROW {self._status()}", "DONE -"]
            case ["DEMOTE", term]:
                if self.is_primary and self.term < int(term) and self.service.leader is not self:
                    self.follow()
                return [f"ROW {self._status()}", "DONE -"]
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
                connection.reset_transaction()
            case ["BEGIN", *_]:
                self._begin(connection, words[1:] == ["READ"], after)
            case _:
                return await self._work(connection, request_id, text, after)
        return ["DONE -"]

    def _status(self) -> str:
        role = "primary" if self.is_primary else "replica"
        end = self.received
        lag_ms = int(self.service.lag_s * 1000)
        connections = len(self._writers)
        return f"{role} {self.term} {end.term}.{end.number} 0 {lag_ms} 0 {connections}"

    def _begin(self, connection: _Connection, is_read: bool, after: Position | None) -> None:
        if not is_read and not self.is_primary:
            raise _Refused(f"READONLY {self.name}")
        self._check_applied(after)
        self._transactions += 1
        connection.state, connection.transaction = "T", self._transactions
        connection.is_read_only, connection.term = is_read, self.term

    def _check_applied(self, after: Position | None) -> None:
        if after is not None and after.number and after not in self._positions:
            raise _Refused(f"LAGGING {self.name}")

    async def _work(
        self, connection: _Connection, request_id: str, text: str, after: Position | None
    ) -> list[str]:
        if self._waiting >= MAX_WAITING:
            raise _Refused("BUSY too many statements wait")
        self._waiting += 1
        try:
            async with self._slots:
                await sleep_s(self.service.work_s * self.slow_factor * random.uniform(0.5, 1.5))
                self._check_lead(connection, text)
                self._check_applied(after)
                rows, receipt, commit = self._execute(connection, request_id, text)
        finally:
            self._waiting -= 1
        if commit is not None:
            await self._replicate(commit)
        if random.random() < self.failure_probability:
            raise _Refused("FAILED the target is damaged")
        return [*(f"ROW {row}" for row in rows), f"DONE {receipt}"]

    def _check_lead(self, connection: _Connection, text: str) -> None:
        is_plain = connection.state == "T" and not connection.is_read_only
        has_lost = is_plain and not (self.is_primary and connection.term == self.term)
        if has_lost and not (text == "COMMIT" and not connection.writes):
            raise _Refused(f"READONLY {self.name}")

    def _execute(
        self, connection: _Connection, request_id: str, text: str
    ) -> tuple[tuple[str, ...], str, Commit | None]:
        kind, item, data, shape = self._statement(connection, text)
        rows: tuple[str, ...] = ()
        commit = None
        transaction = connection.transaction
        match kind:
            case "READ":
                own = {name: value for _, name, value in connection.writes}
                rows = (own.get(item, self._data.get(item, "none")),)
            case "WRITE" if not self.is_primary or connection.is_read_only:
                raise _Refused(f"READONLY {self.name}")
            case "WRITE" if transaction:
                connection.writes.append((request_id, item, data))
            case "WRITE":
                commit = self._commit(connection.source, request_id, [(request_id, item, data)])
            case "COMMIT":
                if connection.state == "E":
                    connection.reset_transaction()
                    raise _Refused("ABORTED the transaction failed")
                if connection.writes:
                    commit = self._commit(connection.source, request_id, connection.writes)
                connection.reset_transaction()
        self._receipts += 1
        receipt = f"{self.term}.{self.name}.{self._receipts}.{random.getrandbits(48):x}"
        self.service.observer.on_execution(
            Execution(
                self.name,
                connection.source,
                request_id,
                text,
                connection.customer,
                dict(connection.values),
                shape,
                transaction,
                rows,
                receipt,
                self._positions.__contains__,
            )
        )
        return rows, receipt, commit

    def _statement(self, connection: _Connection, text: str) -> tuple[str, str, str, str]:
        """Return kind, item, data and the prepared shape."""
        words = text.split(" ", 2)
        if words[0] != "EXECUTE":
            data = words[2] if len(words) > 2 else ""
            return words[0], words[1] if len(words) > 1 else "", data, ""
        if words[1] not in connection.prepared:
            raise _Refused("NOSTMT no such name")
        kind, shape = connection.prepared[words[1]]
        item, _, data = words[2].partition(" ")
        return kind, item, data, shape

    def _commit(self, source: str, request_id: str, writes: list[tuple[str, str, str]]) -> Commit:
        number = self.received.number + 1
        commit = Commit(
            Position(self.term, number),
            request_id,
            tuple(row[0] for row in writes),
            tuple((item, data) for _, item, data in writes),
        )
        self.log.append(commit)
        self._apply(len(self.log))
        self.service.observer.on_commit(self.service.name, self.name, source, commit)
        if self.service.leader is self:
            for replica in self.service.targets.values():
                asyncio.get_running_loop().call_later(RECEIVE_S, replica.receive)
        return commit

    async def _replicate(self, commit: Commit) -> None:
        others = [entry for entry in self.service.targets.values() if entry is not self]
        until_s = now_s() + SYNC_TIMEOUT_S
        while self.service.is_synchronous and not any(r.has_received(commit) for r in others):
            if now_s() > until_s or not self.is_up:
                raise _Refused("TIMEOUT no replica received the commit")
            await sleep_s(SYNC_LOOK_S)


class LineService:
    """Targets of one service; the first one starts as primary.

    :param is_synchronous: whether a commit is acknowledged only after one replica received it.
    :param observer: learns what the targets do.
    :param port: port of all targets; each takes a free one by default.
    """

    # Slots and lag as the users' targets have them, connections for more hosts than a soak has with
    # pipes, and short work, so that a minute sees many statements.
    slots = 6
    max_connections = 60
    work_s = 0.01
    lag_s = 0.06

    def __init__(
        self,
        name: str,
        ips: tuple[str, ...],
        is_synchronous: bool,
        observer: ServiceObserver,
        port: int = 0,
    ) -> None:
        """Create stopped targets."""
        self.name = name
        self.is_synchronous = is_synchronous
        self.observer = observer
        self.targets: dict[str, LineTarget] = {}
        for number, ip in enumerate(ips):
            target = LineTarget(self, f"{name}-{number}", ip, port)
            self.targets[target.name] = target
        self.leader = next(iter(self.targets.values()))
        self.leader.lead(1)

    async def promote(self, name: str) -> bool:
        """Make a target the primary of the next term.

        :returns: whether it runs.
        """
        target = self.targets.get(name)
        if target is None or not target.is_up:
            return False
        if target is not self.leader:
            asyncio.get_running_loop().call_later(PROMOTE_S, self._take_over, target)
        return True

    def _take_over(self, target: LineTarget) -> None:
        if target is self.leader or not target.is_up:
            return
        old, self.leader = self.leader, target
        target.lead(max(entry.term for entry in self.targets.values()) + 1)
        self.observer.on_promotion(self.name, target)
        for replica in self.targets.values():
            if replica not in (target, old):
                replica.follow()
        asyncio.get_running_loop().call_later(OLD_PRIMARY_DEMOTION_S, self._end_replaced, old)

    def _end_replaced(self, old: LineTarget) -> None:
        if old.is_primary and old is not self.leader and old.is_up:
            old.follow()


async def _read_line(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")


def _split_after(text: str) -> tuple[Position | None, str]:
    if not text.startswith("AFTER "):
        return None, text
    _, position, rest = text.split(" ", 2)
    term, _, number = position.partition(".")
    return Position(int(term), int(number)), rest
