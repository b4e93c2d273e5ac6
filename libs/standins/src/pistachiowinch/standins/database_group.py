"""In-memory database group on the running loop's clock.

Each target holds a log of committed transactions and its data in sqlite3. Replicas receive and
apply whole transactions after the primary has committed them. Each host has its own view of the
group, so that a network partition can affect a single host.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.links.targets import (
    FenceReply,
    ResultLost,
    TargetRole,
    TargetStatus,
    TargetUnreachable,
)
from pistachiowinch.standins.database_data import AppliedStatement, TargetData
from pistachiowinch.standins.database_network import FakeNetwork
from pistachiowinch.standins.database_sessions import TargetSession

__all__ = ["FakeDatabaseGroup", "FakeTarget", "GroupTimes", "LogEntry", "OrderRecord"]

INITIAL_TERM = 1


class GroupTimes(NamedTuple):
    """Durations of the group's operations, in seconds.

    :param connect_s: time to open a connection.
    :param statement_s: time that a read or write occupies a slot, without lock waits.
    :param control_s: time of BEGIN, COMMIT, ROLLBACK and SET.
    :param lock_wait_s: longest wait for a row lock before error 1205.
    :param exchange_timeout_s: time after which a host stops waiting for a statement's result.
    :param command_timeout_s: time after which a host stops waiting for a status or an order.
    :param connect_timeout_s: time after which a host stops waiting for a new connection.
    :param dead_peer_s: time after which a target closes a connection to an unreachable host.
    """

    connect_s: float = 0.010
    statement_s: float = 0.001
    control_s: float = 0.0002
    lock_wait_s: float = 1.0
    exchange_timeout_s: float = 2.0
    command_timeout_s: float = 0.5
    connect_timeout_s: float = 0.5
    dead_peer_s: float = 2.0


class OrderRecord(NamedTuple):
    """An order that a target executed; status requests and connects are not recorded.

    :param kind: ``fence``, ``promote`` or ``follow``.
    """

    time_s: float
    host: str
    target: str
    kind: str


class LogEntry(NamedTuple):
    """One committed transaction."""

    term: int
    position: int
    statements: tuple[AppliedStatement, ...]


class FakeTarget:
    """One database instance. Tests inject faults with the methods of the group."""

    def __init__(self, group: "FakeDatabaseGroup", name: str) -> None:
        """Start as an empty replica."""
        self._group = group
        self.name = name
        self.role = TargetRole.REPLICA
        self.promised_term = 0
        self.stream_term = 0
        self.following: str | None = None
        self.log: list[LogEntry] = []
        self._received_s: list[float] = []
        self.applied_position = 0
        self.data = TargetData(group.service)
        self.is_up = True
        self.is_down_without_reset = False
        self.receive_lag_s = 0.0
        self.apply_lag_s = 0.0
        self.is_receiving_paused = False
        self.is_applying_paused = False
        self.slow_factor = 1.0
        self.command_delay_s = 0.0
        self.lost_results: list[str] = []
        self.lost_replies: list[str] = []
        self.sessions: set[TargetSession] = set()
        self.locks: dict[str, TargetSession] = {}
        self.slots = asyncio.Semaphore(group.slots)
        self.running_statements = 0
        self.max_running_statements = 0
        self._wakeup = asyncio.Event()

    # State --------------------------------------------------------------------------------------

    @property
    def position(self) -> int:
        """Position of the last entry of the log."""
        return len(self.log)

    @property
    def is_writable(self) -> bool:
        """Whether the target accepts commits."""
        return self.role is TargetRole.PRIMARY and self.promised_term == self.stream_term

    @property
    def status(self) -> TargetStatus:
        """Role, terms and positions as the target reports them."""
        log_term = self.log[-1].term if self.log else 0
        return TargetStatus(
            self.name,
            self.role,
            self.promised_term,
            self.stream_term,
            log_term,
            self.position,
            self.applied_position,
        )

    def commit(self, statements: Sequence[AppliedStatement], is_ddl: bool = False) -> LogEntry:
        """Commit a transaction at the primary.

        :raises SqlError: if a replay of its writes gives other rows than the first run.
        """
        if not is_ddl:
            self.data.commit(statements)
        return self._append(tuple(statements))

    def _append(self, statements: tuple[AppliedStatement, ...]) -> LogEntry:
        entry = LogEntry(self.stream_term, self.position + 1, statements)
        self.log.append(entry)
        self._received_s.append(now_s())
        self.applied_position = self.position
        self._group.wake_replicas()
        return entry

    # Orders -------------------------------------------------------------------------------------

    def _promise_term(self, term: int) -> None:
        if term <= self.promised_term:
            return
        self.promised_term = term
        self.role = TargetRole.REPLICA
        for session in list(self.sessions):
            if session.is_transaction_open or session.is_running_write:
                session.reset("the target was fenced")

    def fence(self, term: int) -> FenceReply:
        """Refuse lower terms from now on and roll back open transactions."""
        if term < self.promised_term or self.stream_term >= term:
            return FenceReply(False, self.status)
        self._promise_term(term)
        return FenceReply(True, self.status)

    def promote(self, term: int) -> FenceReply:
        """Become the primary of the term that this target was fenced with."""
        if self.role is TargetRole.PRIMARY and self.stream_term == self.promised_term == term:
            return FenceReply(True, self.status)
        if self.promised_term != term or self.stream_term >= term:
            return FenceReply(False, self.status)
        while self.applied_position < self.position:
            self._apply_next()
        self.stream_term = term
        self.role = TargetRole.PRIMARY
        self.following = None
        self._append(())
        return FenceReply(True, self.status)

    def follow(self, term: int, primary: str) -> FenceReply:
        """Become a replica of the term's primary and drop entries that the primary lacks."""
        if term < self.promised_term or primary == self.name:
            return FenceReply(False, self.status)
        if self.stream_term == term and self.role is TargetRole.PRIMARY:
            return FenceReply(False, self.status)
        self._promise_term(term)
        source = self._group.targets[primary]
        is_reachable = source.is_up and self._group.network.is_open(self.name, primary)
        if not is_reachable or not source.is_writable or source.stream_term != term:
            return FenceReply(False, self.status)
        self._drop_entries_missing_at(source)
        self.role = TargetRole.REPLICA
        self.stream_term = term
        self.following = primary
        self._wakeup.set()
        return FenceReply(True, self.status)

    def _drop_entries_missing_at(self, source: "FakeTarget") -> None:
        common = min(self.position, source.position)
        while common and self.log[common - 1][:2] != source.log[common - 1][:2]:
            common -= 1
        del self.log[common:]
        del self._received_s[common:]
        if self.applied_position > common:
            self.rebuild(common)

    def rebuild(self, position: int) -> None:
        """Recreate the data from the log up to a position."""
        self.data.close()
        self.data = TargetData(self._group.service)
        self.applied_position = 0
        while self.applied_position < position:
            self._apply_next()

    # Replication --------------------------------------------------------------------------------

    def wake(self) -> None:
        """Wake the replication task, which checks for entries to receive or apply."""
        self._wakeup.set()

    def _source(self) -> "FakeTarget | None":
        if not self.is_up or self.is_receiving_paused or self.following is None:
            return None
        source = self._group.targets[self.following]
        is_current = self.promised_term == self.stream_term == source.stream_term
        if not (is_current and source.is_up and source.is_writable):
            return None
        return source if self._group.network.is_open(self.name, source.name) else None

    def _receive(self) -> float | None:
        source = self._source()
        if source is None:
            return None
        lag_s = self._group.network.delay_s(source.name, self.name) + self.receive_lag_s
        while self.position < source.position:
            ready_s = source._received_s[self.position] + lag_s
            if ready_s > now_s():
                return ready_s
            self.log.append(source.log[self.position])
            self._received_s.append(now_s())
        return None

    def _apply_next(self) -> None:
        self.data.apply(self.log[self.applied_position].statements)
        self.applied_position += 1

    def _apply(self) -> float | None:
        if not self.is_up or self.is_applying_paused or self.role is TargetRole.PRIMARY:
            return None
        while self.applied_position < self.position:
            ready_s = self._received_s[self.applied_position] + self.apply_lag_s
            if ready_s > now_s():
                return ready_s
            self._apply_next()
        return None

    async def replicate(self) -> None:
        """Receive and apply entries until cancelled."""
        while True:
            self._wakeup.clear()
            times_s = [time_s for time_s in (self._receive(), self._apply()) if time_s is not None]
            # Entries that were just received may have to be applied at once.
            timeout_s = max(min(times_s) - now_s(), 1e-6) if times_s else None
            try:
                async with asyncio.timeout(timeout_s):
                    await self._wakeup.wait()
            except TimeoutError:
                continue


class _HostConnection:
    """One connection to a target, as the host sees it."""

    def __init__(self, group: "FakeDatabaseGroup", session: TargetSession) -> None:
        self._group = group
        self._session = session
        self._is_busy = False
        self._is_broken = False

    @property
    def is_usable(self) -> bool:
        return not (self._is_broken or self._is_busy or self._session.is_reset)

    async def execute(self, text: str) -> Any:
        if self._is_busy:
            raise RuntimeError("a statement is already running on this connection")
        if self._is_broken:
            raise RuntimeError("the connection is closed")
        host = self._session.host
        await self._group.network.wait_while_paused(host)
        if self._session.is_reset:
            self._break()
            return ResultLost(False, "connection reset before the statement was sent")
        self._is_busy = True
        reply = asyncio.get_running_loop().create_future()
        self._group.spawn(self._session.serve(text, reply))
        try:
            async with asyncio.timeout(self._group.times.exchange_timeout_s):
                outcome = await reply
            await self._group.network.wait_while_paused(host)
        except TimeoutError:
            await self._group.network.wait_while_paused(host)
            outcome = ResultLost(True, "no answer in time")
        except asyncio.CancelledError:
            self._break()
            raise
        finally:
            self._is_busy = False
        if isinstance(outcome, ResultLost):
            self._break()
        return outcome

    def _break(self) -> None:
        if not self._is_broken:
            self._is_broken = True
            self._group.spawn(self._session.close_by_host())

    async def close(self) -> None:
        self._break()


class _HostView:
    """One host's links to the group; implements ``TargetLink`` and ``GroupLink``."""

    def __init__(self, group: "FakeDatabaseGroup", host: str) -> None:
        self._group = group
        self._host = host

    async def connect(self, target: str) -> _HostConnection:
        """Open a connection; see ``TargetLink.connect``."""
        session = await self._call(
            target,
            "connect",
            lambda found: self._group.accept(found, self._host),
            self._group.times.connect_timeout_s,
            extra_s=self._group.times.connect_s - 2 * self._group.delay_s(self._host, target),
        )
        return _HostConnection(self._group, session)

    async def status(self, target: str) -> TargetStatus:
        """Read a target's state; see ``GroupLink.status``."""
        return await self._command(target, "status", lambda found: found.status)

    async def fence(self, target: str, term: int) -> FenceReply:
        """Fence a target; see ``GroupLink.fence``."""
        return await self._command(target, "fence", lambda found: found.fence(term))

    async def promote(self, target: str, term: int) -> FenceReply:
        """Promote a target; see ``GroupLink.promote``."""
        return await self._command(target, "promote", lambda found: found.promote(term))

    async def follow(self, target: str, term: int, primary: str) -> FenceReply:
        """Make a target a replica; see ``GroupLink.follow``."""
        return await self._command(target, "follow", lambda found: found.follow(term, primary))

    async def _command(self, target: str, kind: str, action: Callable[[FakeTarget], Any]) -> Any:
        return await self._call(target, kind, action, self._group.times.command_timeout_s)

    async def _call(
        self,
        target: str,
        kind: str,
        action: Callable[[FakeTarget], Any],
        timeout_s: float,
        extra_s: float = 0.0,
    ) -> Any:
        if target not in self._group.targets:
            raise TargetUnreachable(f"no target {target}")
        await self._group.network.wait_while_paused(self._host)
        reply = asyncio.get_running_loop().create_future()
        # The order takes effect even if the caller times out, as a message that was sent would.
        self._group.spawn(self._deliver(target, kind, action, extra_s, reply))
        try:
            async with asyncio.timeout(timeout_s):
                result = await reply
        except TimeoutError:
            await self._group.network.wait_while_paused(self._host)
            raise TargetUnreachable(f"{target} did not answer {kind} in time") from None
        await self._group.network.wait_while_paused(self._host)
        if isinstance(result, TargetUnreachable):
            raise result
        return result

    async def _deliver(
        self,
        target: str,
        kind: str,
        action: Callable[[FakeTarget], Any],
        extra_s: float,
        reply: asyncio.Future[Any],
    ) -> None:
        network = self._group.network
        found = self._group.targets[target]
        await sleep_s(network.delay_s(self._host, target) + max(extra_s, 0.0))
        if not network.is_open(self._host, target) or found.is_down_without_reset:
            return
        if not found.is_up:
            result: Any = TargetUnreachable(f"{target} refused the connection")
        else:
            if found.command_delay_s:
                await sleep_s(found.command_delay_s)
            if not found.is_up:
                return
            result = action(found)
            self._group.record_order(OrderRecord(now_s(), self._host, target, kind))
        await sleep_s(network.delay_s(self._host, target))
        if kind in found.lost_replies:
            found.lost_replies.remove(kind)
            return
        if (
            network.is_open(self._host, target)
            and not found.is_down_without_reset
            and not reply.done()
        ):
            reply.set_result(result)


class FakeDatabaseGroup:
    """A group of targets with asynchronous replication and fault injection.

    :param service: the group's name, MySQL's database.
    :param targets: names; the first starts as primary in term 1.
    :param schema: DDL and other statements that every target has run at the start.
    :param times: durations.
    :param delay_s: one-way delay in seconds, or a function of host and target.
    :param slots: number of statements that a target runs concurrently; further ones wait.
    :param connections: number of connections that a target accepts.
    """

    def __init__(
        self,
        service: str,
        targets: Sequence[str],
        schema: Iterable[str] = (),
        times: GroupTimes = GroupTimes(),  # noqa: B008 - immutable
        delay_s: float | Callable[[str, str], float] = 0.0005,
        slots: int = 5,
        connections: int = 30,
    ) -> None:
        """Create the group; must be called on the running loop."""
        self.service = service
        self.times = times
        self.slots = slots
        self.connections = connections
        self.network = FakeNetwork(delay_s)
        self.network.on_change(self.wake_replicas)
        self.orders: list[OrderRecord] = []
        self.on_order: Callable[[OrderRecord], None] | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._connection_numbers = 0
        self.targets: dict[str, FakeTarget] = {}
        self.targets = {name: FakeTarget(self, name) for name in targets}
        self._start(targets[0], schema)

    def _start(self, first: str, schema: Iterable[str]) -> None:
        for target in self.targets.values():
            target.promised_term = target.stream_term = INITIAL_TERM
            target.following = None if target.name == first else first
        primary = self.targets[first]
        primary.role = TargetRole.PRIMARY
        self.load(first, schema)
        for target in self.targets.values():
            self.spawn(target.replicate())

    def load(self, target: str, statements: Iterable[str]) -> None:
        """Commit statements at the primary and apply them at all its replicas, without delay."""
        primary = self.targets[target]
        for text in statements:
            TargetSession.run_at_once(primary, text)
        for other in self.targets.values():
            if other.following != target:
                continue
            for entry in primary.log[other.position :]:
                other.log.append(entry)
                other._received_s.append(now_s())
            while other.applied_position < other.position:
                other._apply_next()

    # Tasks and connections ----------------------------------------------------------------------

    def delay_s(self, host: str, target: str) -> float:
        """One-way delay in seconds."""
        return self.network.delay_s(host, target)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Run a coroutine of a target or of the network, independent of any host."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Stop all tasks and free the data."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for target in self.targets.values():
            target.data.close()

    def record_order(self, record: OrderRecord) -> None:
        """Record an order that was executed and call ``on_order``, which may inject a fault."""
        if record.kind in ("fence", "promote", "follow"):
            self.orders.append(record)
            if self.on_order is not None:
                self.on_order(record)

    def wake_replicas(self) -> None:
        """Wake the replication tasks of all targets after a change."""
        for target in self.targets.values():
            target.wake()

    def accept(self, target: FakeTarget, host: str) -> "TargetSession | TargetUnreachable":
        """Open a session at a target."""
        if len(target.sessions) >= self.connections:
            return TargetUnreachable(f"{target.name} has too many connections")
        self._connection_numbers += 1
        session = TargetSession(self, target, host, self._connection_numbers)
        target.sessions.add(session)
        return session

    def view(self, host: str) -> _HostView:
        """Return one host's links: both a ``TargetLink`` and a ``GroupLink``."""
        return _HostView(self, host)

    # Faults -------------------------------------------------------------------------------------

    def crash(self, target: str, is_silent: bool = False) -> None:
        """Stop a target. Its log and data are kept.

        :param is_silent: whether hosts get no connection reset, as after a power failure.
        """
        found = self.targets[target]
        found.is_up = False
        found.is_down_without_reset = is_silent
        for session in list(found.sessions):
            session.reset("the target crashed", is_silent=is_silent)
        self.wake_replicas()

    def restart(self, target: str) -> None:
        """Start a target again with the role and terms it had."""
        found = self.targets[target]
        found.is_up = True
        found.is_down_without_reset = False
        found.slots = asyncio.Semaphore(self.slots)
        found.running_statements = 0
        self.wake_replicas()

    def cut(self, first: str, others: Iterable[str] | str) -> None:
        """Lose all messages between a host or target and others."""
        self.network.cut(first, others)

    def heal(self, first: str, others: Iterable[str] | str) -> None:
        """Undo :meth:`cut`."""
        self.network.heal(first, others)

    def isolate(self, target: str) -> None:
        """Cut a target off from all hosts and targets."""
        self.network.isolate(target)

    def rejoin(self, target: str) -> None:
        """Undo :meth:`isolate`."""
        self.network.rejoin(target)

    def silence(self, target: str, host: str | None = None) -> None:
        """Lose all messages of established connections; new connections work."""
        for session in self.targets[target].sessions:
            if host is None or session.host == host:
                session.is_silent = True

    def slow_down(self, target: str, factor: float, command_delay_s: float = 0.0) -> None:
        """Multiply the duration of statements, and delay status requests and orders."""
        self.targets[target].slow_factor = factor
        self.targets[target].command_delay_s = command_delay_s

    def lose_result(self, target: str, verb: str = "commit") -> None:
        """Reset the connection after the next such statement took effect, without its result."""
        self.targets[target].lost_results.append(verb)

    def lose_reply(self, target: str, kind: str) -> None:
        """Lose the reply to the next order of this kind, after it took effect."""
        self.targets[target].lost_replies.append(kind)

    def set_lag(self, target: str, receive_s: float = 0.0, apply_s: float = 0.0) -> None:
        """Delay the receipt and the applying of transactions at a replica."""
        found = self.targets[target]
        found.receive_lag_s = receive_s
        found.apply_lag_s = apply_s
        found.wake()

    def pause_replication(self, target: str, is_applying_only: bool = False) -> None:
        """Stop receiving and applying, or only applying, at a replica."""
        found = self.targets[target]
        found.is_applying_paused = True
        found.is_receiving_paused = found.is_receiving_paused or not is_applying_only

    def resume_replication(self, target: str) -> None:
        """Undo :meth:`pause_replication`."""
        found = self.targets[target]
        found.is_applying_paused = found.is_receiving_paused = False
        found.wake()

    def drop_host(self, host: str) -> None:
        """Close all connections of a host that died."""
        for target in self.targets.values():
            for session in list(target.sessions):
                if session.host == host:
                    self.spawn(session.close_by_host())

    # Inspection ---------------------------------------------------------------------------------

    def statuses(self) -> Mapping[str, TargetStatus]:
        """Return the status of all targets, including unreachable ones."""
        return {name: target.status for name, target in self.targets.items()}

    def rows(self, target: str, text: str) -> list[tuple[Any, ...]]:
        """Run a query on a target's committed data, without the network."""
        return TargetSession.read_at_once(self.targets[target], text)
