"""A service of targets that speak the platform's line protocol and replicate a log.

The primary's commits get positions in the log. Replicas receive them after one delay and apply
them after another. After a promotion, the log of the promoted target is the log of the service.
"""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.links.statements import Position

__all__ = ["Commit", "Execution", "LineService", "LineTarget", "ServiceObserver"]

# Time from a commit at the primary until replicas receive it.
RECEIVE_LAG_S = 0.002
# Interval at which a synchronous commit checks whether a replica received it.
SYNC_POLL_INTERVAL_S = 0.002
# A synchronous commit that no replica received within this time fails with TIMEOUT.
SYNC_TIMEOUT_S = 2.0
# Time from an order until the target is primary.
PROMOTION_DELAY_S = 0.3
# An old primary acts as primary for this long unless it is demoted earlier.
OLD_PRIMARY_DEMOTION_S = 1.0
# Statements that may wait for a slot of one target; further ones fail with BUSY.
MAX_WAITING_STATEMENTS = 40


class Commit(NamedTuple):
    """One entry of a service's log.

    :param request_id: request id of the statement that committed it.
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
    :param template: template of the prepared statement that ran; empty for other statements.
    :param has_applied: tells whether the target has applied a position.
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
    """Callbacks for what the targets do."""

    def on_execution(self, execution: Execution) -> None:
        """Handle a statement that a target ran."""

    def on_commit(self, service: str, target: str, source: str, commit: Commit) -> None:
        """Handle a commit, before it is acknowledged."""

    def on_promotion(self, service: str, target: "LineTarget") -> None:
        """Handle a promotion that has taken effect."""


class _StatementError(Exception):
    """The statement fails with this error of the line protocol."""


class _Connection:
    """State of one connection."""

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
    :param name: the target's name, which clients send at the start of a session.
    :param ip: address to listen on.
    :param port: port to listen on; 0 chooses a free port, which later starts reuse.
    :ivar slow_factor: multiplies the duration of each statement.
    :ivar failure_probability: probability that a statement runs but is answered with FAILED.
    :ivar is_receiving: whether it receives the primary's commits.
    """

    def __init__(self, service: "LineService", name: str, ip: str, port: int) -> None:
        """Create a stopped target with an empty log."""
        self.service = service
        self.name = name
        self.ip = ip
        self.port = port
        self.term = 0
        self.log: list[Commit] = []
        self.applied_count = 0
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
        self._waiting_statements = 0
        self._receipt_count = 0
        self._transaction_count = 0

    @property
    def address(self) -> str:
        """``IP:PORT`` of the line protocol."""
        return f"{self.ip}:{self.port}"

    @property
    def received_position(self) -> Position:
        """Position of the last entry of the log."""
        return self.log[-1].position if self.log else Position(1, 0)

    async def start(self) -> None:
        """Listen on the same port as before; replicas then catch up with the primary."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_up = True
        if self.service.primary is not self:
            self.follow()
            return
        for replica in self.service.targets.values():
            replica.receive()

    async def stop(self) -> None:
        """Stop at once; the log is kept and open transactions are lost."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def become_primary(self, term: int) -> None:
        """Become the primary of a term and apply all received entries."""
        self.term = term
        self.is_primary = True
        self._apply(len(self.log))

    def follow(self) -> None:
        """Become a replica of the service's primary and drop entries that the primary lacks."""
        primary = self.service.primary
        if primary is self:
            return
        self.is_primary = False
        self.term = primary.term
        common = 0
        for own, other in zip(self.log, primary.log, strict=False):
            if own is not other:
                break
            common += 1
        if common < len(self.log):
            del self.log[common:]
            self._rebuild()
        self.receive()

    def receive(self) -> None:
        """Receive the primary's entries that this target lacks."""
        primary = self.service.primary
        if primary is self or not (self.is_up and self.is_receiving and primary.is_up):
            return
        self.log.extend(primary.log[len(self.log) :])
        loop = asyncio.get_running_loop()
        loop.call_later(self.service.apply_lag_s, self._apply_received, self.term, len(self.log))

    def has_received(self, commit: Commit) -> bool:
        """Whether a commit is in this target's log."""
        index = commit.position.number - 1
        return index < len(self.log) and self.log[index] is commit

    def _apply_received(self, term: int, count: int) -> None:
        if self.term == term and self.is_up:
            self._apply(min(count, len(self.log)))

    def _apply(self, count: int) -> None:
        for commit in self.log[self.applied_count : count]:
            self._data.update(commit.data)
            self._positions.add(commit.position)
        self.applied_count = max(self.applied_count, count)

    def _rebuild(self) -> None:
        self._data.clear()
        self._positions.clear()
        count, self.applied_count = min(self.applied_count, len(self.log)), 0
        self._apply(count)

    # Line protocol

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self._serve_session(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            # The client closed the connection; its transaction is dropped.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
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
            lines = await self._reply_lines(connection, request_id, text)
            writer.write("".join(f"{line}\r\n" for line in lines).encode("latin-1"))
            writer.write(self._ready(connection))
            await writer.drain()

    def _ready(self, connection: _Connection) -> bytes:
        end = self.log[self.applied_count - 1].position if self.applied_count else Position(1, 0)
        return f"READY {connection.state} {end.term}.{end.number}\r\n".encode()

    async def _reply_lines(self, connection: _Connection, request_id: str, text: str) -> list[str]:
        try:
            return await self._dispatch(connection, request_id, text)
        except _StatementError as error:
            if connection.state == "T" and not str(error).startswith("BUSY"):
                connection.state = "E"
            return [f"ERROR {error}"]

    async def _dispatch(self, connection: _Connection, request_id: str, text: str) -> list[str]:
        after, text = _split_after(text)
        words = text.split(" ")
        if connection.state == "E" and words[0] not in ("COMMIT", "ROLLBACK"):
            raise _StatementError("MALFORMED the transaction failed")
        match words:
            case ["STATUS"]:
                return [f"ROW {self._status()}", "DONE -"]
            case ["DEMOTE", term]:
                if self.is_primary and self.term < int(term) and self.service.primary is not self:
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
                return await self._run_data_statement(connection, request_id, text, after)
        return ["DONE -"]

    def _status(self) -> str:
        role = "primary" if self.is_primary else "replica"
        end = self.received_position
        lag_ms = int(self.service.apply_lag_s * 1000)
        connections = len(self._writers)
        return f"{role} {self.term} {end.term}.{end.number} 0 {lag_ms} 0 {connections}"

    def _begin(self, connection: _Connection, is_read: bool, after: Position | None) -> None:
        if not is_read and not self.is_primary:
            raise _StatementError(f"READONLY {self.name}")
        self._check_applied(after)
        self._transaction_count += 1
        connection.state, connection.transaction = "T", self._transaction_count
        connection.is_read_only, connection.term = is_read, self.term

    def _check_applied(self, after: Position | None) -> None:
        if after is not None and after.number and after not in self._positions:
            raise _StatementError(f"LAGGING {self.name}")

    async def _run_data_statement(
        self, connection: _Connection, request_id: str, text: str, after: Position | None
    ) -> list[str]:
        if self._waiting_statements >= MAX_WAITING_STATEMENTS:
            raise _StatementError("BUSY too many statements wait")
        self._waiting_statements += 1
        try:
            async with self._slots:
                await sleep_s(
                    self.service.statement_s * self.slow_factor * random.uniform(0.5, 1.5)
                )
                self._check_still_primary(connection, text)
                self._check_applied(after)
                rows, receipt, commit = self._execute(connection, request_id, text)
        finally:
            self._waiting_statements -= 1
        if commit is not None:
            await self._wait_for_replica(commit)
        if random.random() < self.failure_probability:
            raise _StatementError("FAILED the target is damaged")
        return [*(f"ROW {row}" for row in rows), f"DONE {receipt}"]

    def _check_still_primary(self, connection: _Connection, text: str) -> None:
        is_read_write = connection.state == "T" and not connection.is_read_only
        is_primary_lost = is_read_write and not (self.is_primary and connection.term == self.term)
        if is_primary_lost and not (text == "COMMIT" and not connection.writes):
            raise _StatementError(f"READONLY {self.name}")

    def _execute(
        self, connection: _Connection, request_id: str, text: str
    ) -> tuple[tuple[str, ...], str, Commit | None]:
        kind, item, data, template = self._parse_statement(connection, text)
        rows: tuple[str, ...] = ()
        commit = None
        transaction = connection.transaction
        match kind:
            case "READ":
                own = {name: value for _, name, value in connection.writes}
                rows = (own.get(item, self._data.get(item, "none")),)
            case "WRITE" if not self.is_primary or connection.is_read_only:
                raise _StatementError(f"READONLY {self.name}")
            case "WRITE" if transaction:
                connection.writes.append((request_id, item, data))
            case "WRITE":
                commit = self._commit(connection.source, request_id, [(request_id, item, data)])
            case "COMMIT":
                if connection.state == "E":
                    connection.reset_transaction()
                    raise _StatementError("ABORTED the transaction failed")
                if connection.writes:
                    commit = self._commit(connection.source, request_id, connection.writes)
                connection.reset_transaction()
        self._receipt_count += 1
        receipt = f"{self.term}.{self.name}.{self._receipt_count}.{random.getrandbits(48):x}"
        self.service.observer.on_execution(
            Execution(
                self.name,
                connection.source,
                request_id,
                text,
                connection.customer,
                dict(connection.values),
                template,
                transaction,
                rows,
                receipt,
                self._positions.__contains__,
            )
        )
        return rows, receipt, commit

    def _parse_statement(self, connection: _Connection, text: str) -> tuple[str, str, str, str]:
        """Return kind, item, data and the prepared statement's template."""
        words = text.split(" ", 2)
        if words[0] != "EXECUTE":
            data = words[2] if len(words) > 2 else ""
            return words[0], words[1] if len(words) > 1 else "", data, ""
        if words[1] not in connection.prepared:
            raise _StatementError("NOSTMT no such name")
        kind, template = connection.prepared[words[1]]
        item, _, data = words[2].partition(" ")
        return kind, item, data, template

    def _commit(self, source: str, request_id: str, writes: list[tuple[str, str, str]]) -> Commit:
        number = self.received_position.number + 1
        commit = Commit(
            Position(self.term, number),
            request_id,
            tuple(row[0] for row in writes),
            tuple((item, data) for _, item, data in writes),
        )
        self.log.append(commit)
        self._apply(len(self.log))
        self.service.observer.on_commit(self.service.name, self.name, source, commit)
        if self.service.primary is self:
            for replica in self.service.targets.values():
                asyncio.get_running_loop().call_later(RECEIVE_LAG_S, replica.receive)
        return commit

    async def _wait_for_replica(self, commit: Commit) -> None:
        others = [entry for entry in self.service.targets.values() if entry is not self]
        deadline_s = now_s() + SYNC_TIMEOUT_S
        while self.service.is_synchronous and not any(r.has_received(commit) for r in others):
            if now_s() > deadline_s or not self.is_up:
                raise _StatementError("TIMEOUT no replica received the commit")
            await sleep_s(SYNC_POLL_INTERVAL_S)


class LineService:
    """Targets of one service; the first one starts as primary.

    :param is_synchronous: whether a commit is acknowledged only after one replica received it.
    :param observer: is called for each execution, commit and promotion.
    :param port: port of all targets; by default each chooses a free port.
    """

    # Slots and lag are as at the users' targets. The connections suffice for more hosts than a soak
    # runs with pipes. Statements are short, so that many run in a minute.
    slots = 6
    max_connections = 60
    statement_s = 0.01
    apply_lag_s = 0.06

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
        self.primary = next(iter(self.targets.values()))
        self.primary.become_primary(1)

    async def promote(self, name: str) -> bool:
        """Make a target the primary of the next term.

        :returns: whether the target is running.
        """
        target = self.targets.get(name)
        if target is None or not target.is_up:
            return False
        if target is not self.primary:
            asyncio.get_running_loop().call_later(
                PROMOTION_DELAY_S, self._complete_promotion, target
            )
        return True

    def _complete_promotion(self, target: LineTarget) -> None:
        if target is self.primary or not target.is_up:
            return
        old_primary, self.primary = self.primary, target
        target.become_primary(max(entry.term for entry in self.targets.values()) + 1)
        self.observer.on_promotion(self.name, target)
        for replica in self.targets.values():
            if replica not in (target, old_primary):
                replica.follow()
        asyncio.get_running_loop().call_later(
            OLD_PRIMARY_DEMOTION_S, self._demote_old_primary, old_primary
        )

    def _demote_old_primary(self, old_primary: LineTarget) -> None:
        if old_primary.is_primary and old_primary is not self.primary and old_primary.is_up:
            old_primary.follow()


async def _read_line(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")


def _split_after(text: str) -> tuple[Position | None, str]:
    if not text.startswith("AFTER "):
        return None, text
    _, position, rest = text.split(" ", 2)
    term, _, number = position.partition(".")
    return Position(int(term), int(number)), rest
