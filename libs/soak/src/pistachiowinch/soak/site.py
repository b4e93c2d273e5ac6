"""Everything that a soak runs: store, targets, pipes, hosts and the operator."""

import asyncio
import itertools
import random
from collections.abc import Coroutine, Sequence
from pathlib import Path
from typing import NamedTuple

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.links.store import Delete, Operation
from pistachiowinch.soak.callers import CallerRoute
from pistachiowinch.soak.checker import Checker, Rate
from pistachiowinch.soak.hosts import HostProcess
from pistachiowinch.soak.network import (
    CALLERS_PORT,
    PEERS_PORT,
    READY_PORT,
    TARGETS_PORT,
    Network,
    Pipe,
)
from pistachiowinch.standins.http_orders import HttpOrders, PromotionOrder
from pistachiowinch.standins.http_store import HttpStore
from pistachiowinch.standins.line_service import LineService, LineTarget
from pistachiowinch.standins.memory_store import MemoryStore
from pistachiowinch.standins.platform_documents import (
    CustomerRow,
    HostRow,
    RouteRow,
    TargetRow,
    configuration_put,
    target_key,
    target_put,
)

__all__ = ["CUSTOMERS", "ROUTES", "Site", "SiteSize", "SkewedClock"]

SYNCHRONOUS = "ledger"
ASYNCHRONOUS = "stock"
TARGETS_OF_SERVICE = 3
ZONES = ("za", "zb", "zc")
# Time from SIGTERM to SIGKILL that the settings state.
GRACE_S = 3.0
# A target that crashed is taken out of the registry after this time.
FORGET_TARGET_S = 3.6
# Answers of the store take this long; its calls cross a zone.
STORE_DELAY_S = 0.004
# Clocks of targets differ from the hosts' by up to this much, either way.
CLOCK_ERROR_S = 5.0
_MS_PER_S = 1000.0

# Longer than any statement takes beside a fault.
STATEMENT_TIMEOUT_S = 3.0
_ROUTES = (
    RouteRow("billing", SYNCHRONOUS, "primary", STATEMENT_TIMEOUT_S, 0.0),
    RouteRow("booking", SYNCHRONOUS, "read_your_writes", STATEMENT_TIMEOUT_S, 2.5),
    RouteRow("lookup", ASYNCHRONOUS, "bounded", STATEMENT_TIMEOUT_S, 1.5),
    RouteRow("counter", ASYNCHRONOUS, "primary", STATEMENT_TIMEOUT_S, 0.0),
)
ROUTES = tuple(
    CallerRoute(row.database, row.service, row.staleness_s, row.kind == "read_your_writes")
    for row in _ROUTES
)
# The second customer's callers press far beyond its rate.
CUSTOMERS = {"wren": Rate(1000.0, 1000.0), "finch": Rate(12.0, 12.0)}


class SkewedClock:
    """Time of day as one target sees it.

    :param generator: chooses how wrong it is.
    """

    def __init__(self, generator: random.Random) -> None:
        """Choose the error."""
        self._error_s = generator.uniform(-CLOCK_ERROR_S, CLOCK_ERROR_S)

    def now_ms(self) -> int:
        """Return milliseconds since an origin that all targets share, but for their errors."""
        return int((now_s() + self._error_s) * _MS_PER_S)


class SiteSize(NamedTuple):
    """How much a soak runs.

    :param has_pipes: whether connections of the hosts pass through pipes, which can be harmed.
    """

    hosts: int
    has_pipes: bool = True


class Site:
    """Store, targets, pipes and hosts.

    :param size: how many hosts.
    :param folder: where settings and logs are written.
    :param program: command that runs a host.
    :param generator: of all random choices.
    """

    def __init__(
        self, size: SiteSize, folder: Path, program: Sequence[str], generator: random.Random
    ) -> None:
        """Create everything, stopped."""
        self.size = size
        self.network = Network()
        self.store = MemoryStore()
        self.store.faults.delay_s = STORE_DELAY_S
        self.checker = Checker(CUSTOMERS, frozenset({SYNCHRONOUS}), self._disturbed_s)
        self.fronts = [self._front(number) for number in range(size.hosts)]
        ips = [self.network.target(number) for number in range(2 * TARGETS_OF_SERVICE)]
        self.services = {
            SYNCHRONOUS: self._service(SYNCHRONOUS, ips[:TARGETS_OF_SERVICE]),
            ASYNCHRONOUS: self._service(ASYNCHRONOUS, ips[TARGETS_OF_SERVICE:]),
        }
        self.targets = [t for service in self.services.values() for t in service.targets.values()]
        self._clocks = {target.name: SkewedClock(generator) for target in self.targets}
        self.target_pipes: dict[tuple[int, int], Pipe] = {}
        self.host_pipes: dict[tuple[int, int], Pipe] = {}
        self.hosts: list[HostProcess] = []
        self.keys = dict.fromkeys(CUSTOMERS, "")
        self.withdrawn = dict.fromkeys(CUSTOMERS, "")
        self._folder = folder
        self._program = program
        self._versions = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        self._orders = HttpOrders(self._promote)

    @property
    def addresses(self) -> dict[str, tuple[str, int]]:
        """Where callers reach each host."""
        return {h.name: (self.network.host(h.number), CALLERS_PORT) for h in self.hosts}

    async def start(self) -> None:
        """Start store, targets, pipes and the hosts' processes."""
        for number, front in enumerate(self.fronts):
            await front.start(self.network.store(number))
        for target in self.targets:
            await target.start()
            self.register(target)
        self.configure()
        await self._orders.start()
        for number in range(self.size.hosts):
            if self.size.has_pipes:
                await self._start_pipes(number)
            row = self._row(number)
            host = HostProcess(number, row, self._folder, self._program, self._on_ended)
            self.hosts.append(host)
        for host in self.hosts:
            self.spawn(host.run())

    async def stop(self) -> None:
        """End all processes that were started, and everything else."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self.hosts:
            await host.end()
        for pipe in (*self.target_pipes.values(), *self.host_pipes.values()):
            await pipe.stop()
        for target in self.targets:
            await target.stop()
        for front in self.fronts:
            await front.stop()
        await self._orders.stop()
        self.network.close()

    def spawn(self, work: Coroutine) -> None:
        """Run something until it ends or the site stops."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._note_done)

    def configure(self) -> None:
        """Put a version with new keys in force; those of the version before the last one end."""
        version = next(self._versions)
        customers = []
        for name, rate in CUSTOMERS.items():
            self.withdrawn[name], old = self.keys[name], self.keys[name]
            self.keys[name] = f"key-{name}-{version}"
            keys = (self.keys[name],)
            if version % 2 and old:
                # Every second version lets the old keys live on.
                keys = (self.keys[name], old)
                self.withdrawn[name] = ""
            customers.append(CustomerRow(name, keys, rate.per_s, rate.burst))
        connections = dict.fromkeys(self.services, LineService.max_connections)
        self._write(configuration_put(version, _ROUTES, connections, customers))

    async def crash(self, target: LineTarget, for_s: float) -> None:
        """Stop a target for some time."""
        await target.stop()
        await sleep_s(min(for_s, FORGET_TARGET_S))
        if for_s > FORGET_TARGET_S:
            self._write(Delete(target_key(target.name)))
            await sleep_s(for_s - FORGET_TARGET_S)
        await target.start()
        self.register(target)

    def register(self, target: LineTarget) -> None:
        """Write a target's entry."""
        zone = ZONES[self.targets.index(target) % len(ZONES)]
        row = TargetRow(
            name=target.name,
            service=target.service.name,
            address=target.address,
            availability_zone=zone,
            is_primary=target.is_primary,
            slots=LineService.slots,
            started_ms=self._clocks[target.name].now_ms(),
        )
        self._write(target_put(row))

    def _write(self, operation: Operation) -> None:
        self.store.apply_transact([], [operation])

    def _front(self, number: int) -> HttpStore:
        if not self.size.has_pipes:
            return HttpStore(self.store)
        return HttpStore(self.store, self.network.translation(number))

    def _service(self, name: str, ips: Sequence[str]) -> LineService:
        is_synchronous = name == SYNCHRONOUS
        return LineService(name, tuple(ips), is_synchronous, self.checker, TARGETS_PORT)

    def _disturbed_s(self, source: str) -> float:
        if not self.size.has_pipes:
            return max(host.disturbed_s for host in self.hosts)
        return self.hosts[self.network.viewer_of(source)].disturbed_s

    async def _start_pipes(self, viewer: int) -> None:
        for number, target in enumerate(self.targets):
            pipe = Pipe(self.network.seen_target(viewer, number), target.port, target.ip)
            self.target_pipes[viewer, number] = pipe
            await pipe.start()
        for number in range(self.size.hosts):
            seen = self.network.seen_host(viewer, number)
            pipe = Pipe(seen, PEERS_PORT, self.network.host(number))
            self.host_pipes[viewer, number] = pipe
            await pipe.start()

    def _row(self, number: int) -> HostRow:
        ip = self.network.host(number)
        return HostRow(
            host=f"host-{number}",
            ip=ip,
            availability_zone=ZONES[number % len(ZONES)],
            callers_address=f"{ip}:{CALLERS_PORT}",
            ready_address=f"{ip}:{READY_PORT}",
            peers_port=PEERS_PORT,
            store_address=self.fronts[number].address,
            orders_address=self._orders.address,
            stop_within_s=GRACE_S,
        )

    async def _promote(self, order: PromotionOrder) -> bool:
        self.checker.ordered(order.holder, order.fence)
        service = self.services.get(order.service)
        return service is not None and await service.promote(order.target)

    def _on_ended(self, host: HostProcess, status: int) -> None:
        self.checker.report("ENDED", f"{host.name} ended by itself with status {status}")

    def _note_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # A fault of the soak itself must not pass for a calm run.
            self.checker.report("SOAK", repr(task.exception()))
