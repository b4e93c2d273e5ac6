"""The cluster under test: store, targets, forwarders, host processes and configuration."""

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
    Forwarder,
    Network,
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

__all__ = ["CUSTOMERS", "RESTING_CUSTOMERS", "ROUTES", "Cluster", "ClusterSize", "SkewedClock"]

SYNCHRONOUS_SERVICE = "ledger"
ASYNCHRONOUS_SERVICE = "stock"
TARGETS_PER_SERVICE = 3
ZONES = ("za", "zb", "zc")
# Time from SIGTERM to SIGKILL that the hosts' settings announce.
STOP_GRACE_S = 3.0
# Short windows, so that a run has many. They are due late enough for a successor to repeat some.
USAGE_WINDOW_S = 2.0
USAGE_DUE_S = 10.0
# A crashed target's registration is removed after this time.
TARGET_REMOVAL_S = 3.6
# Response time of a store in another zone.
STORE_DELAY_S = 0.004
# Maximum difference between a target's clock and the hosts' clocks, in either direction.
MAX_CLOCK_ERROR_S = 5.0
_MS_PER_S = 1000.0

# Longer than any statement takes without a fault.
STATEMENT_TIMEOUT_S = 3.0
_ROUTE_ROWS = (
    RouteRow("billing", SYNCHRONOUS_SERVICE, "primary", STATEMENT_TIMEOUT_S, 0.0),
    RouteRow("booking", SYNCHRONOUS_SERVICE, "read_your_writes", STATEMENT_TIMEOUT_S, 2.5),
    RouteRow("lookup", ASYNCHRONOUS_SERVICE, "bounded", STATEMENT_TIMEOUT_S, 1.5),
    RouteRow("counter", ASYNCHRONOUS_SERVICE, "primary", STATEMENT_TIMEOUT_S, 0.0),
)
ROUTES = tuple(
    CallerRoute(row.database, row.service, row.staleness_s, row.kind == "read_your_writes")
    for row in _ROUTE_ROWS
)
# The callers of the second customer far exceed its rate.
# More than four times a host's share of the connections to a target, with three hosts or more.
RESTING_CUSTOMERS = 100
CUSTOMERS = {"wren": Rate(1000.0, 1000.0), "finch": Rate(12.0, 12.0)}


class SkewedClock:
    """Clock of a target, with a constant error.

    :param generator: chooses the error.
    """

    def __init__(self, generator: random.Random) -> None:
        """Choose the error."""
        self._error_s = generator.uniform(-MAX_CLOCK_ERROR_S, MAX_CLOCK_ERROR_S)

    def now_ms(self) -> int:
        """Return milliseconds since an origin that all targets share, plus the error."""
        return int((now_s() + self._error_s) * _MS_PER_S)


class ClusterSize(NamedTuple):
    """Size of the cluster.

    :param hosts: number of hosts.
    :param has_forwarders: whether connections of the hosts pass through forwarders; link faults
        need them.
    :param resting_customers: customers without callers. With many customers a host's share of the
        connections is too small for them, so that pool hosts are in effect.
    """

    hosts: int
    has_forwarders: bool = True
    resting_customers: int = 0


class Cluster:
    """Store, targets, forwarders and host processes.

    :param size: size of the cluster.
    :param folder: folder for settings files and logs.
    :param command: command that runs a host.
    :param generator: chooses the clock errors.
    """

    def __init__(
        self, size: ClusterSize, folder: Path, command: Sequence[str], generator: random.Random
    ) -> None:
        """Create all parts without starting them."""
        self.size = size
        self.network = Network()
        self.store = MemoryStore()
        self.store.faults.delay_s = STORE_DELAY_S
        self.checker = Checker(CUSTOMERS, frozenset({SYNCHRONOUS_SERVICE}), self._last_disturbed_s)
        self.store_servers = [self._create_store_server(number) for number in range(size.hosts)]
        ips = [self.network.target_ip(number) for number in range(2 * TARGETS_PER_SERVICE)]
        self.services = {
            SYNCHRONOUS_SERVICE: self._create_service(
                SYNCHRONOUS_SERVICE, ips[:TARGETS_PER_SERVICE]
            ),
            ASYNCHRONOUS_SERVICE: self._create_service(
                ASYNCHRONOUS_SERVICE, ips[TARGETS_PER_SERVICE:]
            ),
        }
        self.targets = [t for service in self.services.values() for t in service.targets.values()]
        self._clocks = {target.name: SkewedClock(generator) for target in self.targets}
        self.target_forwarders: dict[tuple[int, int], Forwarder] = {}
        self.host_forwarders: dict[tuple[int, int], Forwarder] = {}
        self.hosts: list[HostProcess] = []
        self.keys = dict.fromkeys(CUSTOMERS, "")
        self.withdrawn_keys = dict.fromkeys(CUSTOMERS, "")
        self._folder = folder
        self._command = command
        self._versions = itertools.count(1)
        self._configuration: Operation | None = None
        self._tasks: set[asyncio.Task] = set()
        self._order_server = HttpOrders(self._promote, self.checker.on_usage_report)

    @property
    def addresses(self) -> dict[str, tuple[str, int]]:
        """Addresses for callers, by host name."""
        return {h.name: (self.network.host_ip(h.number), CALLERS_PORT) for h in self.hosts}

    def is_only_stopping(self, name: str, since_s: float) -> bool:
        """Return whether a host has been asked to stop, and not been disturbed otherwise."""
        host = next(host for host in self.hosts if host.name == name)
        return host.is_only_stopping(since_s)

    async def start(self) -> None:
        """Start the store, targets, forwarders and host processes."""
        for number, server in enumerate(self.store_servers):
            await server.start(self.network.store_ip_from(number))
        for target in self.targets:
            await target.start()
            self.register(target)
        self.publish_configuration()
        await self._order_server.start()
        for number in range(self.size.hosts):
            if self.size.has_forwarders:
                await self._start_forwarders(number)
            row = self._host_row(number)
            process = HostProcess(
                number, row, self._folder, self._command, self._on_unexpected_exit
            )
            self.hosts.append(process)
        for process in self.hosts:
            self.spawn(process.run())

    async def stop(self) -> None:
        """Kill the host processes and stop all other parts."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self.hosts:
            await host.kill()
        for forwarder in (*self.target_forwarders.values(), *self.host_forwarders.values()):
            await forwarder.stop()
        for target in self.targets:
            await target.stop()
        for server in self.store_servers:
            await server.stop()
        await self._order_server.stop()
        self.network.close()

    def spawn(self, coroutine: Coroutine) -> None:
        """Run a coroutine until it ends or the cluster stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def publish_configuration(self) -> None:
        """Publish a version with new keys; every second version withdraws the previous keys."""
        version = next(self._versions)
        customers = []
        for name, rate in CUSTOMERS.items():
            self.withdrawn_keys[name], old_key = self.keys[name], self.keys[name]
            self.keys[name] = f"key-{name}-{version}"
            keys = (self.keys[name],)
            if version % 2 and old_key:
                # The previous keys stay valid in this version.
                keys = (self.keys[name], old_key)
                self.withdrawn_keys[name] = ""
            customers.append(CustomerRow(name, keys, rate.per_s, rate.burst))
        for number in range(self.size.resting_customers):
            customers.append(CustomerRow(f"rest-{number}", (f"rest-key-{number}",), 1.0, 1.0))
        connections = dict.fromkeys(self.services, LineService.max_connections)
        self._configuration = configuration_put(version, _ROUTE_ROWS, connections, customers)
        self._write_to_store(self._configuration)

    async def write_again(self, within_s: float) -> None:
        """Write what operators and targets had written to a store that was restored.

        :param within_s: time until the last of them writes.
        """
        self._write_to_store(self._configuration)
        for target in self.targets:
            await sleep_s(within_s / len(self.targets))
            if target.is_up:
                self.register(target)
            else:
                self._write_to_store(Delete(target_key(target.name)))

    async def crash(self, target: LineTarget, duration_s: float) -> None:
        """Stop a target abruptly and restart it after a time."""
        await target.stop()
        await sleep_s(min(duration_s, TARGET_REMOVAL_S))
        if duration_s > TARGET_REMOVAL_S:
            self._write_to_store(Delete(target_key(target.name)))
            await sleep_s(duration_s - TARGET_REMOVAL_S)
        await target.start()
        self.register(target)

    def register(self, target: LineTarget) -> None:
        """Write a target's registration to the store."""
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
        self._write_to_store(target_put(row))

    def _write_to_store(self, operation: Operation) -> None:
        self.store.apply_transact([], [operation])

    def _create_store_server(self, number: int) -> HttpStore:
        if not self.size.has_forwarders:
            return HttpStore(self.store)
        return HttpStore(self.store, self.network.address_translator(number))

    def _create_service(self, name: str, ips: Sequence[str]) -> LineService:
        is_synchronous = name == SYNCHRONOUS_SERVICE
        return LineService(name, tuple(ips), is_synchronous, self.checker, TARGETS_PORT)

    def _last_disturbed_s(self, source_ip: str) -> float:
        if not self.size.has_forwarders:
            return max(host.last_disturbed_s for host in self.hosts)
        return self.hosts[self.network.origin_of(source_ip)].last_disturbed_s

    async def _start_forwarders(self, origin: int) -> None:
        for number, target in enumerate(self.targets):
            forwarder = Forwarder(
                self.network.target_ip_from(origin, number), target.port, target.ip
            )
            self.target_forwarders[origin, number] = forwarder
            await forwarder.start()
        for number in range(self.size.hosts):
            ip = self.network.host_ip_from(origin, number)
            forwarder = Forwarder(ip, PEERS_PORT, self.network.host_ip(number))
            self.host_forwarders[origin, number] = forwarder
            await forwarder.start()

    def _host_row(self, number: int) -> HostRow:
        ip = self.network.host_ip(number)
        return HostRow(
            host=f"host-{number}",
            ip=ip,
            availability_zone=ZONES[number % len(ZONES)],
            callers_address=f"{ip}:{CALLERS_PORT}",
            ready_address=f"{ip}:{READY_PORT}",
            peers_port=PEERS_PORT,
            store_address=self.store_servers[number].address,
            orders_address=self._order_server.address,
            stop_within_s=STOP_GRACE_S,
            usage_window_s=USAGE_WINDOW_S,
            usage_due_s=USAGE_DUE_S,
        )

    async def _promote(self, order: PromotionOrder) -> bool:
        self.checker.on_promotion_order(order.holder, order.fence)
        service = self.services.get(order.service)
        return service is not None and await service.promote(order.target)

    def _on_unexpected_exit(self, host: HostProcess, status: int) -> None:
        self.checker.report("ENDED", f"{host.name} ended by itself with status {status}")

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # An error in the soak itself must not look like a run without findings.
            self.checker.report("SOAK", repr(task.exception()))
