"""A fleet that counts and reports usage, over an in-memory store, network and platform."""

import asyncio
from typing import NamedTuple

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.fleet.promotion_lock import LOCK_LEASE_S, PromotionLock
from pistachiowinch.fleet.records import USAGE_LOCK
from pistachiowinch.fleet.usage_collection import UsageCollector, UsageMembers
from pistachiowinch.fleet.usage_counts import UsageCounts
from pistachiowinch.fleet.usage_reports import (
    ReportAnswer,
    UsageDuty,
    UsageReporter,
    UsageTerms,
)
from pistachiowinch.links.store import StoreReplyLost, StoreUnavailable
from pistachiowinch.standins.memory_store import MemoryStore
from pistachiowinch.standins.peer_network import PeerNetwork

TERMS = UsageTerms(window_s=5.0, due_s=10.0)
# Time of day at loop time 0, which is the start of this window.
FIRST_WINDOW = 1_000_000
START_S = FIRST_WINDOW * TERMS.window_s


class Report(NamedTuple):
    """A report that arrived at the platform."""

    at_s: float
    window: int
    counts: dict[str, int]
    holder: str
    token: int


class Platform:
    """Receives reports; tests set how it answers."""

    def __init__(self) -> None:
        """Accept every report."""
        self.reports: list[Report] = []
        self.arrived = asyncio.Event()
        self.refused_until_s = 0.0
        self.lost_until_s = 0.0

    def of_window(self, window: int) -> list[Report]:
        """Return the accepted reports of a window."""
        return [report for report in self.reports if report.window == window]

    def counts(self, window: int) -> dict[str, int] | None:
        """Return what was reported in time for a window, None if nothing was."""
        due_s = (window - FIRST_WINDOW + 1) * TERMS.window_s + TERMS.due_s
        found = [report for report in self.of_window(window) if report.at_s <= due_s]
        return found[0].counts if found else None

    def check(self) -> None:
        """ONE: one report a window, tokens that only grow, and no holders by turns."""
        for report in self.reports:
            assert all(r.counts == report.counts for r in self.of_window(report.window))
        tokens = [report.token for report in self.reports]
        assert tokens == sorted(tokens)
        assert len({(r.token, r.holder) for r in self.reports}) == len(set(tokens))
        for first in self.reports:
            for last in self.reports:
                if first.holder == last.holder and 0.0 <= last.at_s - first.at_s < LOCK_LEASE_S:
                    between = self.reports[self.reports.index(first) : self.reports.index(last)]
                    assert {r.holder for r in between} <= {first.holder}

    async def report_usage(self, window, counts, holder, fencing_token):
        """Take a report as the platform does."""
        await asyncio.sleep(0.005)
        if now_s() < self.refused_until_s:
            return ReportAnswer.UNAVAILABLE
        self.reports.append(Report(now_s(), window, counts, holder, fencing_token))
        self.arrived.set()
        return ReportAnswer.UNAVAILABLE if now_s() < self.lost_until_s else ReportAnswer.ACCEPTED


class HostStore:
    """One host's way to the store, which tests cut."""

    def __init__(self, store: MemoryStore) -> None:
        """Reach the store."""
        self._store = store
        self.is_cut = False
        self.loses_next_answer = False
        self.delays_next_s: float | None = None
        self.has_delayed = asyncio.Event()

    def __getattr__(self, name):
        """Return a call that fails while the host is cut off."""
        call = getattr(self._store, name)

        async def attempt(*arguments):
            if self.is_cut:
                raise StoreUnavailable("cut off")
            if name == "transact" and self.delays_next_s is not None:
                delay_s, self.delays_next_s = self.delays_next_s, None
                apply = self._store.apply_transact
                asyncio.get_running_loop().call_later(delay_s, apply, *arguments)
                self.has_delayed.set()
                raise StoreReplyLost("late")
            answer = await call(*arguments)
            if name == "transact" and self.loses_next_answer:
                self.loses_next_answer = False
                raise StoreReplyLost("lost")
            return answer

        return attempt


class UsageHost:
    """One host of the fleet."""

    def __init__(self, fleet: "UsageFleet", name: str, run: int, jump_s: float = 0.0) -> None:
        """Start the host."""
        self.name = name
        self.jump_s = jump_s
        self.fleet = fleet
        self.is_stopping = False
        self.events: list[tuple[str, dict]] = []
        self.store = HostStore(fleet.store)
        self.counts = UsageCounts(TERMS.kept_s)
        log = DecisionLog("test")
        log.write = lambda event, **fields: self.events.append((event, fields))
        self.identity = HostIdentity(name, run, "z1", f"tcp://{name}")
        self.collector = UsageCollector(
            self.identity,
            fleet.network.link(name),
            self.counts,
            TERMS.window_s,
            lambda: UsageMembers(fleet.members, frozenset(fleet.members - fleet.hosts.keys())),
            log,
            lambda: START_S + now_s() + self.jump_s,
        )
        self.lock = PromotionLock(self.store, name, run, log, keys=USAGE_LOCK)
        duty = UsageDuty(
            self.lock,
            lambda: not self.is_stopping,
            lambda: sorted(fleet.hosts).index(name),
            lambda: fleet.store.apply_get(USAGE_LOCK.lock) is not None,
        )
        self.reporter = UsageReporter(
            name, TERMS, duty, self.collector, self.store, fleet.platform, Metrics(), log
        )
        self.task = asyncio.ensure_future(self.reporter.run())

    def begin(self, customer: str, count: int) -> None:
        """Count requests that begin now."""
        for _ in range(count):
            self.counts.add(customer)

    def logged(self, event: str) -> list[dict]:
        """Return the fields of the lines of an event."""
        return [fields for found, fields in self.events if found == event]


class UsageFleet:
    """All hosts, the store and the platform."""

    def __init__(self, names: str = "abc", jumped: dict[str, float] | None = None) -> None:
        """Start a host for each letter."""
        self.store = MemoryStore()
        self.network = PeerNetwork(1)
        self.platform = Platform()
        self.hosts: dict[str, UsageHost] = {}
        self.members: frozenset[str] = frozenset()
        self._runs = 0
        for name in names:
            self.start(name, (jumped or {}).get(name, 0.0))

    def start(self, name: str, jump_s: float = 0.0) -> UsageHost:
        """Start a run of a host."""
        self._runs += 1
        self.members |= {name}
        self.hosts[name] = UsageHost(self, name, self._runs, jump_s)
        return self.hosts[name]

    def kill(self, name: str) -> None:
        """End a host without warning; it stays a member."""
        self.hosts.pop(name).task.cancel()
        self.network.detach(name)

    async def stop(self, name: str) -> None:
        """End a host as planned."""
        host = self.hosts[name]
        host.is_stopping = True
        holder = self.holder
        others = sorted(self.hosts.keys() - {name, holder})
        await host.collector.hand_over([holder, *others] if holder else others)
        self.kill(name)
        self.members -= {name}

    @property
    def holder(self) -> str | None:
        """The host that holds the lock and may send."""
        return next((name for name, host in self.hosts.items() if host.lock.is_held), None)

    async def run_until(self, loop_s: float) -> None:
        """Advance the clock to a loop time."""
        await asyncio.sleep(loop_s - now_s())
