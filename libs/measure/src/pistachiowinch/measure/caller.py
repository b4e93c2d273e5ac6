"""Callers that write numbered records, read them back and record every result."""

import enum
from typing import Any, NamedTuple, TypeVar

from returns.result import Failure, Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import ExecutionStatus, Refusal
from pistachiowinch.links.targets import Failed, QueryResult
from pistachiowinch.measure.site import MeasuredSite
from pistachiowinch.routing.session import Session
from pistachiowinch.routing.statements import Statement, StatementKind

__all__ = ["Caller", "Event", "EventKind", "Outcome", "spread_callers"]


class EventKind(enum.Enum):
    """What a caller did."""

    READ = "read"
    WRITE = "write"
    TRANSACTION = "transaction"


class Outcome(enum.Enum):
    """What the caller was told."""

    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class Event(NamedTuple):
    """One request and its result.

    :param seq: number of the written record, or the highest number that a read returned.
    :param expected_seq: number of the last acknowledged record when the request began.
    :param is_own: whether the row that a read returned has the caller's name.
    """

    caller: str
    kind: EventKind
    outcome: Outcome
    host: str
    started_s: float
    ended_s: float
    seq: int
    expected_seq: int = 0
    is_own: bool = True
    reason: str = ""


class Caller:
    """A caller that moves between hosts and keeps its session token.

    :param name: unique name, stored in every record.
    :param history: list that receives the events; shared by all callers of a run.
    """

    def __init__(
        self,
        site: MeasuredSite,
        name: str,
        customer: str,
        service: str,
        history: list[Event],
    ) -> None:
        """Start without a session."""
        self.name = name
        self.customer = customer
        self.service = service
        self._site = site
        self._history = history
        self._session: Session | None = None
        self._host = ""
        self._token = ""
        self._seq = 0
        self._acknowledged_seq = 0

    @property
    def host(self) -> str:
        """The host that the caller is connected to; empty without a connection."""
        return self._host

    @property
    def is_disconnected(self) -> bool:
        """Whether the next request needs a new connection."""
        return self._session is None or self._session.end_reason is not None

    async def _ensure_session(self, host: str | None) -> Session | None:
        hosts = self._site.hosts
        if host is not None and host != self._host:
            await self.disconnect()
        if self._session is not None and self._host in hosts and self._session.end_reason is None:
            return self._session
        self._session = None
        chosen = host or self._site.random.choice(sorted(hosts))
        if chosen not in hosts:
            return None
        gateway = hosts[chosen].gateway
        match await gateway.open_session(f"{self.customer}-key", self.service):
            case Success(session):
                self._session = session
                self._host = chosen
                session.set_token(self._token)
                return session
        return None

    async def disconnect(self) -> None:
        """Close the session, like a caller that is about to reconnect through the load balancer."""
        if self._session is not None and self._host in self._site.hosts:
            await self._site.hosts[self._host].gateway.close_session(self._session)
        self._session = None
        self._host = ""

    async def _execute(self, session: Session, statement: Statement) -> Any:
        delay_s = self._site.deployment.caller_delay_s
        await sleep_s(delay_s)
        host = self._site.hosts.get(self._host)
        if host is None:
            return None
        result = await host.gateway.execute(session, statement)
        await sleep_s(delay_s)
        # A host that crashed while the statement ran cannot have sent the result.
        if self._site.hosts.get(self._host) is not host:
            return None
        self._token = session.token_text or self._token
        return result

    async def write(self, host: str | None = None) -> Event:
        """Insert the next record.

        :param host: the host to use; by default the current one, or a random one if there is none.
        """
        self._seq += 1
        note = f"note-{self._seq}"
        text = (
            f"INSERT INTO records (caller, seq, note) VALUES ('{self.name}', {self._seq}, '{note}')"
        )
        return await self._run(EventKind.WRITE, [Statement(text, StatementKind.WRITE)], host)

    async def write_transaction(self, host: str | None = None) -> Event:
        """Insert the next record twice, with different notes, in one transaction.

        :param host: as for :meth:`write`.
        """
        self._seq += 1
        texts = [
            f"INSERT INTO records (caller, seq, note) "
            f"VALUES ('{self.name}', {self._seq}, '{note}')"
            for note in ("payment", "rights")
        ]
        statements = [
            Statement("BEGIN", StatementKind.BEGIN),
            *(Statement(text, StatementKind.WRITE) for text in texts),
            Statement("COMMIT", StatementKind.COMMIT),
        ]
        return await self._run(EventKind.TRANSACTION, statements, host)

    async def read(self, host: str | None = None) -> Event:
        """Read the highest number among the caller's own records.

        :param host: as for :meth:`write`.
        """
        text = f"SELECT '{self.name}', MAX(seq) FROM records WHERE caller = '{self.name}'"
        return await self._run(EventKind.READ, [Statement(text, StatementKind.READ)], host)

    async def _run(self, kind: EventKind, statements: list[Statement], host: str | None) -> Event:
        started_s = now_s()
        expected_seq = self._acknowledged_seq
        session = await self._ensure_session(host)
        if session is None:
            return self._record(kind, Outcome.NOT_RUN, started_s, expected_seq, None, "no session")
        result: Any = None
        for statement in statements:
            result = await self._execute(session, statement)
            if not isinstance(result, Success):
                break
        is_last = statement is statements[-1]
        match result:
            case Success(query_result):
                return self._record(kind, Outcome.DONE, started_s, expected_seq, query_result)
            case Failure(Refusal() as refusal):
                is_certain = refusal.code.ran is ExecutionStatus.NO
                outcome = Outcome.NOT_RUN if is_certain else Outcome.UNKNOWN
                if len(statements) > 1:
                    await self.disconnect()
                label = refusal.code.label
                return self._record(kind, outcome, started_s, expected_seq, None, label)
            case Failure(Failed(errno, _, message)):
                if len(statements) > 1:
                    await self.disconnect()
                detail = f"{errno} {message}"
                return self._record(kind, Outcome.FAILED, started_s, expected_seq, None, detail)
            case _:
                self._session = None
                outcome = Outcome.UNKNOWN if is_last else Outcome.NOT_RUN
                return self._record(kind, outcome, started_s, expected_seq, None, "host crashed")

    def _record(
        self,
        kind: EventKind,
        outcome: Outcome,
        started_s: float,
        expected_seq: int,
        query_result: QueryResult | None,
        reason: str = "",
    ) -> Event:
        seq = self._seq
        is_own = True
        if kind is EventKind.READ:
            seq = 0
            if query_result is not None:
                name, found = query_result.rows[0]
                name = name.decode() if isinstance(name, bytes) else name
                is_own = name == self.name
                seq = int(found or 0)
        elif outcome is Outcome.DONE:
            self._acknowledged_seq = self._seq
        event = Event(
            self.name,
            kind,
            outcome,
            self._host,
            started_s,
            now_s(),
            seq,
            expected_seq,
            is_own,
            reason,
        )
        self._history.append(event)
        return event


_C = TypeVar("_C", bound=Caller)


def spread_callers(
    kind: type[_C], site: MeasuredSite, count: int, history: list[Event]
) -> list[_C]:
    """Create callers and assign them to customers and services in turn.

    :param kind: class of the callers.
    :param count: number of callers.
    :param history: list that receives their events.
    """
    customers = site.deployment.customer_names
    services = site.deployment.service_names
    return [
        kind(
            site,
            f"caller-{number}",
            customers[number % len(customers)],
            services[number % len(services)],
            history,
        )
        for number in range(count)
    ]
