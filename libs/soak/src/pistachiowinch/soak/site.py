"""Everything that a soak runs: store, targets, pipes, hosts and the operator."""

import asyncio
import itertools
import random
from collections.abc import Coroutine, Sequence
from pathlib import Path
from typing import NamedTuple

import msgspec
from aiohttp import web

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.links.store import Delete, Operation, Put
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
from pistachiowinch.standins.http_store import HttpStore
from pistachiowinch.standins.line_service import LineService, LineTarget
from pistachiowinch.standins.memory_store import MemoryStore

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

# Databases with the route's kind, service and staleness.
_KINDS = (
    ("billing", "primary", SYNCHRONOUS, 0.0),
    ("booking", "read_your_writes", SYNCHRONOUS, 2.5),
    ("lookup", "bounded", ASYNCHRONOUS, 1.5),
    ("counter", "primary", ASYNCHRONOUS, 0.0),
)
ROUTES = tuple(
    CallerRoute(database, service, staleness_s, kind == "read_your_writes")
    for database, kind, service, staleness_s in _KINDS
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
        self._orders: web.AppRunner | None = None

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
        orders_address = await self._start_orders()
        for number in range(self.size.hosts):
            if self.size.has_pipes:
                await self._start_pipes(number)
            settings = self._settings(number, orders_address)
            host = HostProcess(number, settings, self._folder, self._program, self._on_ended)
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
        if self._orders is not None:
            await self._orders.cleanup()
        self.network.close()

    def spawn(self, work: Coroutine) -> None:
        """Run something until it ends or the site stops."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._note_done)

    def configure(self) -> None:
        """Put a version with new keys in force; those of the version before the last one end."""
        version = next(self._versions)
        tenants = []
        for name, rate in CUSTOMERS.items():
            self.withdrawn[name], old = self.keys[name], self.keys[name]
            self.keys[name] = f"key-{name}-{version}"
            keys = [self.keys[name]]
            if version % 2 and old:
                # Every second version lets the old keys live on.
                keys.append(old)
                self.withdrawn[name] = ""
            row = {"name": name, "apiKeys": keys, "ratePerS": rate.per_s, "burst": rate.burst}
            tenants.append(row)
        routes = [
            {
                "host": database,
                "service": service,
                "kind": kind,
                "timeoutMs": 3000,
                "maxStalenessMs": staleness_s * _MS_PER_S,
            }
            for database, kind, service, staleness_s in _KINDS
        ]
        services = [
            {"name": name, "maxConns": LineService.max_connections} for name in self.services
        ]
        body = {"version": version, "routes": routes, "services": services, "tenants": tenants}
        self._write([Put("op/config", msgspec.json.encode(body | {"limits": {}}))])

    async def crash(self, target: LineTarget, for_s: float) -> None:
        """Stop a target for some time."""
        await target.stop()
        await sleep_s(min(for_s, FORGET_TARGET_S))
        if for_s > FORGET_TARGET_S:
            self._write([Delete(f"servers/{target.name}")])
            await sleep_s(for_s - FORGET_TARGET_S)
        await target.start()
        self.register(target)

    def register(self, target: LineTarget) -> None:
        """Write a target's entry."""
        zone = ZONES[self.targets.index(target) % len(ZONES)]
        entry = {
            "service": target.service.name,
            "address": target.address,
            "zone": zone,
            "state": "ready",
            "dbRole": "primary" if target.is_primary else "replica",
            "slots": LineService.slots,
            "born": self._clocks[target.name].now_ms(),
        }
        self._write([Put(f"servers/{target.name}", msgspec.json.encode(entry))])

    def _write(self, operations: list[Operation]) -> None:
        self.store.apply_transact([], operations)

    def _front(self, number: int) -> HttpStore:
        translate = self.network.translation(number) if self.size.has_pipes else None
        return HttpStore(self.store, translate) if translate else HttpStore(self.store)

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

    def _settings(self, number: int, orders_address: str) -> dict:
        ip = self.network.host(number)
        return {
            "node": f"host-{number}",
            "ip": ip,
            "zone": ZONES[number % len(ZONES)],
            "listen": {"front": f"{ip}:{CALLERS_PORT}", "ready": f"{ip}:{READY_PORT}"},
            "portRange": [PEERS_PORT, PEERS_PORT],
            "platform": {"address": self.fronts[number].address},
            "cloudApi": {"address": orders_address},
            "bounds": {"graceS": GRACE_S},
        }

    async def _start_orders(self) -> str:
        app = web.Application()
        app.router.add_post("/promote", self._promote)
        self._orders = web.AppRunner(app, access_log=None)
        await self._orders.setup()
        await web.TCPSite(self._orders, "127.0.0.1", 0).start()
        return f"127.0.0.1:{self._orders.addresses[0][1]}"

    async def _promote(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        headers = request.headers
        self.checker.ordered(headers["Duty-Holder"], int(headers["Fence-Token"]))
        service = self.services.get(body["service"])
        is_taken = service is not None and await service.promote(body["id"])
        return web.Response(status=200 if is_taken else 409)

    def _on_ended(self, host: HostProcess, status: int) -> None:
        self.checker.report("ENDED", f"{host.name} ended by itself with status {status}")

    def _note_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # A fault of the soak itself must not pass for a calm run.
            self.checker.report("SOAK", repr(task.exception()))
