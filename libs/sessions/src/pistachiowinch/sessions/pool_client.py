"""Hand statements over to the pool hosts of their targets, and account for the answers.

A pool host that dies or freezes owes answers. Reads are then tried elsewhere and transactions are
given up at once, while a single write or COMMIT waits for its answer until the statement's
deadline, since it may have taken effect.
"""

import asyncio
import itertools
import random
from collections.abc import Iterable, Sequence

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.links.peers import PeerLink, PeerUnreachable
from pistachiowinch.links.statements import Completed, Interrupted, Refused, StatementOutcome
from pistachiowinch.sessions.connections import PooledConnection
from pistachiowinch.sessions.pool_contacts import PING_TIMEOUT_S, PoolContacts
from pistachiowinch.sessions.pool_hosts import PoolHosts
from pistachiowinch.sessions.pool_messages import (
    UNREACHABLE,
    Declined,
    PoolAnswer,
    PoolClose,
    PoolPing,
    PoolStatement,
    decode_load,
    decode_outcome,
)
from pistachiowinch.sessions.pool_server import PoolServer
from pistachiowinch.sessions.shared_connection import SharedConnection
from pistachiowinch.sessions.site import Target
from pistachiowinch.sessions.target_loads import TargetLoads
from pistachiowinch.sessions.zone_placement import ZonePlacement

__all__ = ["PoolClient"]

# Size of the random part of a run's first number.
FIRST_NUMBER_BITS = 46
# Interval of the check for answers that are owed.
WATCH_INTERVAL_S = 0.05
# Time beyond a statement's deadline in which its answer is still expected; covers a round trip.
ANSWER_MARGIN_S = 0.05

_LOST = Interrupted(True, "the pool host was lost")


class _Owed:
    """A statement without an answer."""

    __slots__ = ("can_give_up", "future", "host", "sent_s")

    def __init__(self, host: str, can_give_up: bool, future: asyncio.Future) -> None:
        self.host = host
        self.can_give_up = can_give_up
        self.future = future
        self.sent_s = now_s()


class PoolClient:
    """Hands this host's statements over to the pool hosts.

    :param host: this host's name.
    :param run_id: this host's incarnation.
    :param hosts: chooses the pool hosts.
    :param server: runs the statements of targets whose pool host is this one.
    :param loads: learns the loads of the targets.
    :param placement: learns the delays to other availability zones.
    :param link: messages to the other hosts.
    :param metrics: counts statements by where they were run.
    :param log: decision log of this component.
    """

    def __init__(
        self,
        host: str,
        run_id: int,
        hosts: PoolHosts,
        server: PoolServer,
        loads: TargetLoads,
        placement: ZonePlacement,
        link: PeerLink,
        metrics: Metrics,
        log: DecisionLog,
    ) -> None:
        """Register for answers; :meth:`run` watches for lost pool hosts."""
        self._host = host
        self.run_id = run_id
        self._hosts = hosts
        self._server = server
        self.loads = loads
        self._placement = placement
        self._link = link
        self._metrics = metrics
        self._log = log
        self._contacts = PoolContacts()
        # With a random start, answers to statements of an earlier run match none of this one.
        first = random.SystemRandom().getrandbits(FIRST_NUMBER_BITS) | 1 << FIRST_NUMBER_BITS
        self._numbers = itertools.count(first)
        self._owed: dict[int, _Owed] = {}
        self._tasks: set[asyncio.Task] = set()
        link.on_message(PoolAnswer, self._on_answer)

    def next_number(self) -> int:
        """Return a number for a statement or transaction of this run."""
        return next(self._numbers)

    def is_shared(self, service: str) -> bool:
        """Whether statements of a service are handed to pool hosts."""
        return self._hosts.are_used(service)

    def host_of(self, target: Target) -> str:
        """Return the pool host to use for a target now; empty if none can be used."""
        for host in self._usable_hosts(target):
            if not self._contacts.is_cut_off(host, target.name):
                return host
        return ""

    def is_unreachable(self, target: Target) -> bool:
        """Whether no pool host that can be used reaches a target."""
        hosts = self._usable_hosts(target)
        return bool(hosts) and all(self._contacts.is_cut_off(h, target.name) for h in hosts)

    def _usable_hosts(self, target: Target) -> list[str]:
        """Return the target's pool hosts that take statements, the preferred one first."""
        return [
            host
            for host in self._hosts.of(target)
            if (
                not self._server.is_stopping if host == self._host else self._contacts.may_use(host)
            )
        ]

    def order_reads(
        self,
        service: str,
        replicas: Sequence[Target],
        primary: Sequence[Target],
        fallback: Sequence[Target],
        customer: str,
    ) -> list[Target]:
        """Order the targets that may run a read, the best first."""
        ordered = self._placement.order(service, replicas, customer)
        if primary and not self._placement.reads_leave_primary(primary[0], ordered):
            return [*primary, *ordered, *fallback]
        return [*ordered, *primary, *fallback]

    def connect(
        self,
        host: str,
        target: Target,
        customer: str,
        is_primary: bool,
        epoch: int,
        priority: int,
    ) -> PooledConnection:
        """Return a connection to a target through its pool host."""
        connection = SharedConnection(self, host, target, customer, is_primary, epoch, priority)
        return PooledConnection(connection, target, customer, is_shared=True)

    async def submit(
        self, host: str, message: PoolStatement, can_give_up: bool, deadline_s: float
    ) -> StatementOutcome | Declined:
        """Hand a statement over and wait for its outcome.

        :param can_give_up: whether to stop waiting once the pool host is lost.
        """
        self.loads.begin(message.target)
        sent_s = now_s()
        outcome: StatementOutcome | Declined = _LOST
        try:
            if host == self._host:
                answer = await self._server.serve(host, message)
            else:
                answer = await self._request(host, message, can_give_up, deadline_s)
            outcome = self._read_answer(host, message, answer, now_s() - sent_s)
            return outcome
        finally:
            self._account(message, outcome, now_s() - sent_s)

    def close_transaction(self, host: str, transaction: int) -> None:
        """Tell a pool host to roll a transaction back."""
        message = PoolClose(self.run_id, transaction)
        if host == self._host:
            self._server.close_transaction(host, message)
        else:
            self._start(self._link.send(host, message))

    async def run(self) -> None:
        """Watch for pool hosts that owe answers and do not live."""
        while True:
            await sleep_s(WATCH_INTERVAL_S)
            oldest_s: dict[str, float] = {}
            for owed in self._owed.values():
                oldest_s[owed.host] = min(owed.sent_s, oldest_s.get(owed.host, owed.sent_s))
            for host in self._contacts.due_pings(oldest_s):
                self._start(self._ping(host))

    def set_members(self, members: Iterable[HostIdentity]) -> None:
        """Follow the fleet; hosts that left or restarted owe no answers any more."""
        runs = {member.host: member.incarnation for member in members}
        self._contacts.keep_only(runs.keys())
        for host, run in runs.items():
            if self._contacts.note_run(host, run):
                self._give_up(host, "restarted", False)
        for host in {owed.host for owed in self._owed.values()} - runs.keys():
            self._give_up(host, "left the fleet", False)

    async def _request(
        self, host: str, message: PoolStatement, can_give_up: bool, deadline_s: float
    ) -> PoolAnswer | None:
        future = asyncio.get_running_loop().create_future()
        self._owed[message.number] = _Owed(host, can_give_up, future)
        try:
            await self._link.send(host, message)
            async with asyncio.timeout_at(deadline_s + ANSWER_MARGIN_S):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._owed[message.number]

    def _read_answer(
        self, host: str, message: PoolStatement, answer: PoolAnswer | None, took_s: float
    ) -> StatementOutcome | Declined:
        if answer is None:
            return _LOST
        self.loads.note_report(message.target, decode_load(answer.load))
        zone = self._hosts.zone_of(host)
        if zone:
            self._placement.note_zone_delay(zone, max(took_s - answer.took_us / 1e6, 0.0) / 2.0)
        try:
            outcome = decode_outcome(answer.outcome)
        except ValueError as error:
            self._log.write("answer_malformed", host=host, cause=str(error))
            return Interrupted(True, str(error))
        match outcome:
            case Declined(reason=reason, is_local=True) if reason == UNREACHABLE:
                self._contacts.note_cut_off(host, message.target)
            case Declined(is_local=True):
                self._contacts.note_declined(host)
        return outcome

    def _account(
        self, message: PoolStatement, outcome: StatementOutcome | Declined, took_s: float
    ) -> None:
        target = message.target
        match outcome:
            case Completed():
                self.loads.end(target, True, took_s)
            case Refused(reason=reason) if reason.is_not_run:
                self.loads.cancel(target)
            case Declined() | Interrupted(is_sent=False):
                self.loads.cancel(target)
            case _:
                self.loads.end(target, False)

    def _on_answer(self, host: str, answer: PoolAnswer) -> None:
        self._contacts.note_heard(host)
        owed = self._owed.get(answer.number)
        if owed is None or owed.host != host:
            self._metrics.retries.labels("late_pool_answer").inc()
        elif not owed.future.done():
            owed.future.set_result(answer)

    async def _ping(self, host: str) -> None:
        try:
            pong = await self._link.request(host, PoolPing(), PING_TIMEOUT_S)
        except PeerUnreachable:
            if self._contacts.note_lost(host):
                self._log.write("pool_host_lost", host=host)
            self._give_up(host, "does not answer", True)
            return
        if self._contacts.note_run(host, pong.run):
            # Statements that an earlier process took are never answered.
            self._give_up(host, "restarted", False)
        self._contacts.note_heard(host)
        if not pong.is_serving:
            self._contacts.note_declined(host)

    def _give_up(self, host: str, cause: str, may_answer: bool) -> None:
        """Stop waiting for a pool host's answers.

        :param may_answer: whether answers may still come, so that writes keep waiting for them.
        """
        given_up = 0
        for owed in tuple(self._owed.values()):
            is_due = owed.host == host and (owed.can_give_up or not may_answer)
            if is_due and not owed.future.done():
                owed.future.set_result(None)
                given_up += 1
        if given_up:
            self._log.write("pool_answers_given_up", host=host, cause=cause, count=given_up)

    def _start(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
