"""Measures the gap in acknowledged writes during a failover, on a simulated clock.

The real ``groups`` and ``peering`` code runs over an in-memory database group, store and peer
network. A writer on every host follows the write path of the gateway.
"""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, NamedTuple

import numpy
import typer

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.groups.confirmation import Confirmed, Replaced
from pistachiowinch.groups.group import ServiceGroup
from pistachiowinch.groups.ledger import (
    ERRNO_DUPLICATE_ENTRY,
    LedgerEntry,
    NotRan,
    RanBefore,
    statement_digest,
)
from pistachiowinch.groups.messages import GroupMessenger
from pistachiowinch.links.targets import (
    Failed,
    QueryResult,
    ResultLost,
    Succeeded,
    TargetConnection,
    TargetUnreachable,
)
from pistachiowinch.measure.simulated_clock import run_with_simulated_clock
from pistachiowinch.peering.membership import Membership
from pistachiowinch.peering.messages import LocalState
from pistachiowinch.standins.database_group import FakeDatabaseGroup, GroupTimes, OrderRecord
from pistachiowinch.standins.memory_store import MemoryStore, MemoryStoreClient
from pistachiowinch.standins.peer_network import PeerNetwork

__all__ = [
    "SCENARIOS",
    "FailoverFigures",
    "GapSummary",
    "GroupHost",
    "GroupSite",
    "LedgerWriter",
    "WriteResult",
    "measure_failover",
    "summarize",
]

SCENARIOS = ("calm", "store_down", "store_slow", "second_fault")
SERVICE = "menghina"
TARGETS = ("target-a", "target-b", "target-c")
SCHEMA = (
    "CREATE TABLE hire (id INT NOT NULL AUTO_INCREMENT PRIMARY KEY, request VARCHAR(64) NOT NULL)",
)

_HOST_COUNT = 9
_NETWORK_DELAY_S = 0.0005
_STORE_DELAY_S = 0.003
_FAULT_EARLIEST_S = 2.0
# Longer than the 0.2 s intervals of probes and heartbeats, so the fault hits any phase of them.
_FAULT_JITTER_S = 1.0
# Long enough for the longest allowed gap and the recovery after it.
_AFTER_FAULT_S = {"calm": 4.0, "store_down": 8.0, "store_slow": 8.0, "second_fault": 10.0}
_THINK_S = 0.05
_WRITE_DEADLINE_S = 8.0
_ATTEMPT_TIMEOUT_S = 0.5


class WriteResult(NamedTuple):
    """Result of one write as reported to its caller.

    :param outcome: ``acknowledged``, ``not_run`` or ``unknown``.
    :param target: target that ran an acknowledged write; empty if the ledger decided it.
    :param term: term of the confirmation.
    :param position: confirmed position.
    """

    request_id: str
    outcome: str
    answered_s: float
    target: str = ""
    term: int = 0
    position: int = 0


class _PausableStore:
    """Store client of a host, whose calls wait while the host is paused."""

    def __init__(self, client: MemoryStoreClient, group: FakeDatabaseGroup, host: str) -> None:
        self.faults = client.faults
        self._client = client
        self._group = group
        self._host = host

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._client, name)

        async def call(*arguments: Any) -> Any:
            await self._group.network.wait_while_paused(self._host)
            result = await method(*arguments)
            await self._group.network.wait_while_paused(self._host)
            return result

        return call


class GroupHost:
    """Membership and service group of one host; also implements ``SiteView`` for them."""

    def __init__(self, site: "GroupSite", host: str, incarnation: int) -> None:
        """Create the host; :meth:`start` runs it."""
        self._site = site
        self.site = "site-1"
        self.host = host
        self.incarnation = incarnation
        self.is_alive = True
        self._tasks: list[asyncio.Task[None]] = []
        self.view = site.group.view(host)
        self.store = _PausableStore(site.store.client(), site.group, host)
        link = site.peers.link(host)
        identity = HostIdentity(host, incarnation, "zone-1", f"tcp://{host}")
        self.membership = Membership(identity, link, self._local_state)
        self.group = ServiceGroup(
            SERVICE,
            TARGETS,
            self.view,
            self.view,
            self.store,
            self.membership,
            GroupMessenger(link),
            self,
        )

    @property
    def members(self) -> Sequence[str]:
        """Hosts of the roster, which does not change in these runs."""
        return self._site.members

    def _local_state(self) -> LocalState:
        return LocalState(
            roster_epoch=1,
            config_version=1,
            store_age_ms=0,
            suspected_targets=self.group.suspected_targets,
            primaries={SERVICE: self.group.announced_primary},
        )

    def start(self) -> None:
        """Run the host's tasks."""
        self.membership.set_members(
            HostIdentity(host, 0, "zone-1", f"tcp://{host}") for host in self.members
        )
        self.spawn(self.membership.run())
        self.spawn(self.group.run())

    def spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Run a task that is cancelled when the host crashes."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.append(task)
        return task

    def crash(self) -> None:
        """Stop abruptly, like a process that is killed."""
        self.is_alive = False
        for task in self._tasks:
            task.cancel()
        self._site.peers.detach(self.host)
        self._site.group.drop_host(self.host)

    def pause(self) -> None:
        """Hold back everything that the host sends or receives."""
        self._site.group.network.pause_host(self.host)
        self._site.peers.pause(self.host)

    def resume(self) -> None:
        """End a pause."""
        self._site.group.network.resume_host(self.host)
        if self.is_alive:
            self._site.peers.resume(self.host)

    def failures(self) -> list[BaseException]:
        """Return the errors that ended tasks."""
        done = [task for task in self._tasks if task.done() and not task.cancelled()]
        return [error for error in (task.exception() for task in done) if error is not None]


class GroupSite:
    """Several hosts over one database group.

    :param hosts: number of hosts.
    :param seed: seed of the peer network's faults and of the hosts' start times.
    :param times: delays of the database group.
    """

    def __init__(
        self, hosts: int = _HOST_COUNT, seed: int = 0, times: GroupTimes | None = None
    ) -> None:
        """Create the fakes and the hosts on the running loop."""
        times = times or GroupTimes()
        self.random = random.Random(seed)
        self.members = tuple(f"host-{number}" for number in range(1, hosts + 1))
        self.store = MemoryStore()
        self.store.faults.delay_s = _STORE_DELAY_S
        self.peers = PeerNetwork(seed, _NETWORK_DELAY_S)
        self.group = FakeDatabaseGroup(SERVICE, TARGETS, SCHEMA, times, _NETWORK_DELAY_S)
        # Each term that a majority of the targets has followed, and when it first did.
        self.completed_terms: list[tuple[int, float]] = []
        self.group.on_order = self._record_order
        self.on_order: Callable[[OrderRecord], None] | None = None
        self.hosts = {
            name: GroupHost(self, name, number) for number, name in enumerate(self.members, 1)
        }

    async def start(self, settle_s: float = 1.0) -> None:
        """Start all hosts at random times and wait for them to find the primary."""
        for host in self.hosts.values():
            await sleep_s(self.random.uniform(0.0, 0.2 / len(self.hosts)))
            host.start()
        await sleep_s(settle_s)

    def _record_order(self, record: OrderRecord) -> None:
        statuses = self.group.statuses().values()
        current = [s.stream_term for s in statuses if s.stream_term == s.promised_term]
        known = self.completed_terms[-1][0] if self.completed_terms else 0
        for term in set(current):
            if term > known and current.count(term) > len(self.group.targets) // 2:
                self.completed_terms.append((term, record.time_s))
        if self.on_order is not None:
            self.on_order(record)

    def primary(self) -> str:
        """Return the writable target with the highest term, from the targets' actual state."""
        statuses = self.group.statuses().values()
        writable = [s for s in statuses if self.group.targets[s.target].is_writable]
        return max(writable, key=lambda status: status.stream_term).target

    async def close(self) -> None:
        """Stop the hosts and the database group.

        :raises BaseException: the first error that ended a host's task.
        """
        failures = [error for host in self.hosts.values() for error in host.failures()]
        for host in self.hosts.values():
            host.resume()
            host.crash()
        await sleep_s(0.0)
        await self.group.close()
        if failures:
            raise failures[0]


class LedgerWriter:
    """Writes through one host as the gateway does: ledger row, confirmation, outcome lookup."""

    def __init__(self, host: GroupHost, name: str) -> None:
        """Create a writer without a connection."""
        self._host = host
        self._group = host.group
        self._name = name
        self._idle: dict[str, TargetConnection] = {}
        self._count = 0

    async def write(
        self, statement: str = "", request_id: str = "", deadline_s: float | None = None
    ) -> WriteResult:
        """Run one write until it has an outcome or the deadline passes.

        :param statement: by default, an insert of the request id.
        :param request_id: generated by default.
        :param deadline_s: loop time.
        """
        self._count += 1
        request_id = request_id or f"{self._name}-{self._count}"
        text = statement or f"INSERT INTO hire (request) VALUES ('{request_id}')"
        entry = LedgerEntry("tool-hire", request_id, statement_digest(text))
        deadline_s = now_s() + _WRITE_DEADLINE_S if deadline_s is None else deadline_s
        tracker = self._group.tracker
        while now_s() < deadline_s:
            primary, term = tracker.primary, tracker.term
            if primary is None or self._group.is_outvoted:
                await tracker.wait_for_change(min(deadline_s, now_s() + 0.05))
                continue
            if not await self._group.gate.enter(deadline_s):
                break
            try:
                outcome = await self._execute(primary, text, entry, deadline_s)
            finally:
                self._group.gate.leave()
            if outcome == "not_run":
                if tracker.primary == primary and tracker.term == term:
                    await tracker.wait_for_change(min(deadline_s, now_s() + 0.02))
                continue
            result = await self._resolve(entry, primary, term, outcome, deadline_s)
            if result is not None:
                return result
        return WriteResult(request_id, "not_run", now_s())

    async def _connection(self, target: str, deadline_s: float) -> TargetConnection | None:
        idle = self._idle.pop(target, None)
        if idle is not None and idle.is_usable:
            return idle
        try:
            async with asyncio.timeout_at(deadline_s):
                return await self._host.view.connect(target)
        except (TimeoutError, TargetUnreachable):
            self._group.tracker.report_lost_connection(target)
            return None

    async def _execute(self, primary: str, text: str, entry: LedgerEntry, deadline_s: float) -> str:
        """Return ``not_run``, ``answered``, ``duplicate`` or ``lost``."""
        attempt_deadline_s = min(deadline_s, now_s() + _ATTEMPT_TIMEOUT_S)
        connection = await self._connection(primary, attempt_deadline_s)
        if connection is None:
            return "not_run"
        is_commit_sent = False
        try:
            async with asyncio.timeout_at(attempt_deadline_s):
                query_result = QueryResult()
                for statement in ("BEGIN", text, "", "COMMIT"):
                    is_commit_sent = statement == "COMMIT"
                    sent = statement or self._group.ledger.insert_statement(entry, query_result)
                    match await connection.execute(sent):
                        case Succeeded(query_result):
                            continue
                        case Failed(errno=errno):
                            await connection.close()
                            return "duplicate" if errno == ERRNO_DUPLICATE_ENTRY else "not_run"
                        case ResultLost():
                            self._group.tracker.report_lost_connection(primary)
                            return "lost" if is_commit_sent else "not_run"
        except TimeoutError:
            await connection.close()
            self._group.tracker.report_lost_connection(primary)
            return "lost" if is_commit_sent else "not_run"
        self._idle[primary] = connection
        return "answered"

    async def _resolve(
        self, entry: LedgerEntry, primary: str, term: int, outcome: str, deadline_s: float
    ) -> WriteResult | None:
        """Return the write's result, or None if the write must be run again."""
        request_id = entry.request_id
        while outcome == "answered" and now_s() < deadline_s:
            confirmation = await self._group.confirmer.confirm(primary, term, deadline_s)
            await self._wait_while_paused()
            match confirmation:
                case Confirmed() if self._group.confirmer.is_fresh(confirmation):
                    return WriteResult(
                        request_id, "acknowledged", now_s(), primary, term, confirmation.position
                    )
                case Replaced():
                    outcome = "replaced"
        while now_s() < deadline_s:
            decision = await self._group.ledger.decide(entry, primary, term, deadline_s)
            await self._wait_while_paused()
            match decision:
                case RanBefore():
                    confirmed = Confirmed(decision.term, decision.position, decision.started_s)
                    if self._group.confirmer.is_fresh(confirmed):
                        return WriteResult(request_id, "acknowledged", now_s(), "", *confirmed[:2])
                case NotRan(is_cancelled=True):
                    return WriteResult(request_id, "not_run", now_s())
                case NotRan():
                    return None
        return WriteResult(request_id, "unknown", now_s())

    async def _wait_while_paused(self) -> None:
        """Wait until the host is not paused, because a paused host sends no answer."""
        await self._host._site.group.network.wait_while_paused(self._host.host)

    async def write_until(
        self, results: list[WriteResult], until_s: float, think_s: float = _THINK_S
    ) -> None:
        """Write repeatedly, one write at a time.

        :param results: list that receives every result.
        :param until_s: loop time at which to stop.
        :param think_s: think time after each write.
        """
        while now_s() < until_s:
            results.append(await self.write())
            await sleep_s(think_s)


class FailoverFigures(NamedTuple):
    """Figures of one run.

    :param gap_s: longest time after the fault without an acknowledged write on any host.
    :param worst_host_gap_s: longest gap of a single host, among those that did not crash.
    :param lost: acknowledged writes that are missing from the final primary.
    :param doubled: writes that were applied more than once.
    :param untrue_not_run: writes that were reported as not run but were applied.
    """

    seed: int
    scenario: str
    gap_s: float
    worst_host_gap_s: float
    acknowledged: int
    not_run: int
    unknown: int
    lost: int
    doubled: int
    untrue_not_run: int
    promotions: int


def _longest_gap_s(times_s: Sequence[float], from_s: float, until_s: float) -> float:
    marks = sorted([from_s, *(time for time in times_s if from_s < time < until_s), until_s])
    return max(later - earlier for earlier, later in itertools.pairwise(marks))


def _second_fault_injector(site: GroupSite, rng: random.Random) -> Callable[[OrderRecord], None]:
    """Return a hook that injects a second fault after a random step of the promotion."""
    kind = rng.choice(("fence", "promote", "follow"))
    fault = rng.choice(("promoter crashes", "promoter paused", "target crashes", "target isolated"))
    is_done = False

    def inject(record: OrderRecord) -> None:
        nonlocal is_done
        if is_done or record.kind != kind:
            return
        is_done = True
        loop = asyncio.get_running_loop()
        host = site.hosts[record.host]
        match fault:
            case "promoter crashes":
                loop.call_soon(host.crash)
            case "promoter paused":
                host.pause()
                loop.call_later(rng.uniform(0.5, 2.0), host.resume)
            case "target crashes":
                site.group.crash(record.target, is_silent=True)
                loop.call_later(rng.uniform(0.5, 2.0), site.group.restart, record.target)
            case "target isolated":
                site.group.isolate(record.target)
                loop.call_later(rng.uniform(0.5, 2.0), site.group.rejoin, record.target)

    return inject


async def _run(seed: int, scenario: str) -> FailoverFigures:
    rng = random.Random(f"{scenario}/{seed}")
    site = GroupSite(seed=seed)
    await site.start()
    results: dict[str, list[WriteResult]] = {name: [] for name in site.hosts}
    fault_s = now_s() + _FAULT_EARLIEST_S + rng.uniform(0.0, _FAULT_JITTER_S)
    until_s = fault_s + _AFTER_FAULT_S[scenario]
    for name, host in site.hosts.items():
        host.spawn(LedgerWriter(host, name).write_until(results[name], until_s))
    await sleep_s(fault_s - now_s())
    if scenario == "store_down":
        site.store.faults.is_down = True
    elif scenario == "store_slow":
        site.store.faults.delay_s = 30.0
    elif scenario == "second_fault":
        site.on_order = _second_fault_injector(site, rng)
    old_primary = site.primary()
    site.group.crash(old_primary, is_silent=rng.random() < 0.5)
    await sleep_s(until_s - now_s())
    figures = _figures(seed, scenario, site, results, fault_s, until_s - _THINK_S)
    await site.close()
    return figures


def _figures(
    seed: int,
    scenario: str,
    site: GroupSite,
    results: dict[str, list[WriteResult]],
    fault_s: float,
    until_s: float,
) -> FailoverFigures:
    all_results = [result for host_results in results.values() for result in host_results]
    outcomes = Counter(result.outcome for result in all_results)
    rows = site.group.rows(site.primary(), "SELECT request FROM hire")
    applied = Counter(row[0] for row in rows)
    times_s = {
        name: [result.answered_s for result in host_results if result.outcome == "acknowledged"]
        for name, host_results in results.items()
    }
    alive = [name for name, host in site.hosts.items() if host.is_alive]
    return FailoverFigures(
        seed=seed,
        scenario=scenario,
        gap_s=_longest_gap_s(
            [time for host_times_s in times_s.values() for time in host_times_s], fault_s, until_s
        ),
        worst_host_gap_s=max(_longest_gap_s(times_s[name], fault_s, until_s) for name in alive),
        acknowledged=outcomes["acknowledged"],
        not_run=outcomes["not_run"],
        unknown=outcomes["unknown"],
        lost=sum(r.outcome == "acknowledged" and not applied[r.request_id] for r in all_results),
        doubled=sum(count > 1 for count in applied.values()),
        untrue_not_run=sum(r.outcome == "not_run" and applied[r.request_id] for r in all_results),
        promotions=sum(record.kind == "promote" for record in site.group.orders),
    )


def measure_failover(seed: int, scenario: str = "calm") -> FailoverFigures:
    """Crash the primary under load and measure the gap.

    :param seed: seed of the faults and of the hosts' start times.
    :param scenario: one of :data:`SCENARIOS`.
    :raises ValueError: for an unknown scenario.
    """
    if scenario not in SCENARIOS:
        raise ValueError(f"unknown scenario {scenario}")
    return run_with_simulated_clock(lambda: _run(seed, scenario))


class GapSummary(NamedTuple):
    """Distribution of the gaps and sums of the violations over many runs."""

    scenario: str
    runs: int
    p50_s: float
    p99_s: float
    max_s: float
    worst_host_p99_s: float
    worst_host_max_s: float
    lost: int
    doubled: int
    untrue_not_run: int


def summarize(runs: Sequence[FailoverFigures]) -> GapSummary:
    """Summarize runs of one scenario."""
    gaps_s = [run.gap_s for run in runs]
    worst_s = [run.worst_host_gap_s for run in runs]
    return GapSummary(
        runs[0].scenario,
        len(runs),
        float(numpy.percentile(gaps_s, 50)),
        float(numpy.percentile(gaps_s, 99, method="higher")),
        max(gaps_s),
        float(numpy.percentile(worst_s, 99, method="higher")),
        max(worst_s),
        sum(run.lost for run in runs),
        sum(run.doubled for run in runs),
        sum(run.untrue_not_run for run in runs),
    )


def _main(
    runs: int = 100, first_seed: int = 1, scenario: str = "", is_verbose: bool = False
) -> None:
    """Print the gap in acknowledged writes for each scenario."""
    for name in [scenario] if scenario else SCENARIOS:
        figures = []
        for seed in range(first_seed, first_seed + runs):
            figures.append(measure_failover(seed, name))
            if is_verbose:
                typer.echo(figures[-1])
        summary = summarize(figures)
        typer.echo(
            f"{summary.scenario}: {summary.runs} runs from seed {first_seed}, gap p50 "
            f"{summary.p50_s:.3f} s, p99 {summary.p99_s:.3f} s, max {summary.max_s:.3f} s; worst "
            f"host p99 {summary.worst_host_p99_s:.3f} s, max {summary.worst_host_max_s:.3f} s; "
            f"lost {summary.lost}, doubled {summary.doubled}, "
            f"untrue 'not run' {summary.untrue_not_run}"
        )


if __name__ == "__main__":
    typer.run(_main)
