"""A small deployment on loopback: the host program as processes, and stand-ins for the rest."""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

from harness.client import ClientLog
from harness.database import Database, Instance
from harness.http import Request, Response, get_status, serve_http
from harness.links import Forwarder
from harness.store import Store

__all__ = ["REPOSITORY", "TROUBLE", "CannotRun", "Deployment", "Host", "Layout", "RouteRow"]

REPOSITORY = Path(__file__).resolve().parents[2]
# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "key-of-tenant-1"
TENANT = "tenant-1"
PING_S = 1.2
# An entry is removed after three ping intervals of silence.
ENTRY_REMOVED_S = 3 * PING_S
PORTS = (10_000, 30_000)
# Bounds of the small site files.
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 7000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 12000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "quotaWindowS": 5,
    "quotaOverage": 0.1,
    "quotaSlack": 20,
    "coldOverage": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 12,
    "requireFence": False,
    "thawSlackMs": 300,
}


class CannotRun(Exception):
    """The case could not run."""


class RouteRow(NamedTuple):
    """A route of the configuration."""

    database: str
    kind: str
    timeout_ms: int
    target_latency_ms: int
    max_staleness_ms: int = 0


class Layout(NamedTuple):
    """What a deployment consists of.

    :param hosts: zones of the hosts, by name.
    :param instances: zones of the instances, by name; the first one is the primary.
    """

    hosts: Mapping[str, str]
    instances: Mapping[str, str]
    routes: tuple[RouteRow, ...]
    promote_s: float
    apply_lag_s: float


class Host:
    """One host process, with its settings and its forwarders.

    :ivar ports: ports of the callers' address, of the readiness probe and of the peers.
    """

    def __init__(self, deployment: "Deployment", name: str, zone: str) -> None:
        """Create a host that does not run."""
        self._deployment = deployment
        self.name = name
        self.zone = zone
        self.front_port, self.ready_port, self.peer_port = free_ports(3)
        self.process: subprocess.Popen | None = None
        self.store_link: Forwarder | None = None
        self.orders_link: Forwarder | None = None
        self.links: dict[int, Forwarder] = {}

    async def prepare(self, store_port: int, orders_port: int) -> None:
        """Create the links to the store and to the order interface, and write the settings."""
        self.store_link = await Forwarder(store_port).start()
        self.orders_link = await Forwarder(orders_port).start()
        settings = {
            "node": self.name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": self.zone,
            "region": "region-1",
            "zones": dict.fromkeys(self._deployment.zones, "region-1"),
            "listen": {
                "front": f"127.0.0.1:{self.front_port}",
                "ready": f"127.0.0.1:{self.ready_port}",
            },
            "portRange": [self.peer_port, self.peer_port],
            "seeds": [],
            "bootstrap": True,
            "countsAsLoss": False,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4200},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": int(PING_S * 1000),
            "contracts": ["base", "drain", "config", "recover", "sql", "tenants", "platform"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": f"127.0.0.1:{self.store_link.port}",
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "minTtlMs": 1000,
            },
            "cloudApi": {
                "address": f"127.0.0.1:{self.orders_link.port}",
                "ratePerS": 50.0,
                "duties": ["promotion"],
                "dutyPerS": 50.0,
            },
        }
        self.settings_path.write_text(json.dumps(settings))

    @property
    def settings_path(self) -> Path:
        """Path of the settings file."""
        return self._deployment.folder / f"{self.name}.json"

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PISTACHIOWINCH_SETTINGS"] = str(self.settings_path)
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        with (self._deployment.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                host_command(), stdout=log, stderr=log, env=environment, cwd=REPOSITORY
            )
        self._deployment.note(f"{self.name} started")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._deployment.note(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    async def wait_until_ended(self, timeout_s: float) -> bool:
        """Wait for the end of the process."""
        try:
            await asyncio.to_thread(self.process.wait, timeout_s)
        except subprocess.TimeoutExpired:
            return False
        return True

    async def is_ready(self) -> bool:
        """Whether the host answers the readiness probe with 200."""
        return await get_status(self.ready_port, "/pistachiowinch/ready", 1.0) == 200


class Deployment:
    """Hosts, instances, store and order interface.

    :param layout: what it consists of.
    :param case: folder of the case, which receives the record.
    :ivar cut_zones: zones that are partitioned from the others and from the platform.
    """

    def __init__(self, layout: Layout, case: Path) -> None:
        """Create a deployment; :meth:`start` starts it."""
        self._layout = layout
        self._case = case
        self._started_s = time.monotonic()
        self._lines: list[str] = []
        self._temporary = tempfile.TemporaryDirectory(prefix="pistachiowinch-review-")
        self._tasks: list[asyncio.Task] = []
        self._orders_port = 0
        self._order_numbers: list[tuple[str, int]] = []
        self.folder = Path(self._temporary.name)
        self.zones = sorted({*layout.hosts.values(), *layout.instances.values()})
        self.cut_zones: set[str] = set()
        self.clients = ClientLog()
        self.store = Store()
        self.store.translate = self._translate
        self.database = Database("service-1", self._can_reach, layout.promote_s, layout.apply_lag_s)
        self.database.on_role = self._register
        self.hosts: dict[str, Host] = {}

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self._lines.append(f"{time.monotonic() - self._started_s:8.3f}  {text}")

    def at(self, monotonic_s: float) -> str:
        """Return a time as the record shows it."""
        return f"{monotonic_s - self._started_s:.3f}"

    async def start(self) -> None:
        """Start everything and wait until all hosts are ready.

        :raises CannotRun: if a host does not become ready.
        """
        if not (REPOSITORY / "target" / "deps" / "pistachiowinch").is_dir():
            raise CannotRun("target/deps is missing; run the build of deploy/system.toml")
        server = await serve_http(self._answer_order)
        self._orders_port = server.sockets[0].getsockname()[1]
        for name, zone in self._layout.instances.items():
            instance = self.database.add(name, zone)
            await instance.start()
            self._register(instance)
        self._tasks.append(asyncio.create_task(self._expire_entries()))
        self.write_configuration(7)
        for name, zone in self._layout.hosts.items():
            await self.add_host(name, zone)
        await self.wait_until_ready(tuple(self.hosts.values()), 30.0)

    async def add_host(self, name: str, zone: str) -> Host:
        """Add a host and start its process."""
        host = Host(self, name, zone)
        server = await self.store.serve(name)
        await host.prepare(server.sockets[0].getsockname()[1], self._orders_port)
        for other in self.hosts.values():
            await self._link(host, other.zone, other.peer_port)
            await self._link(other, zone, host.peer_port)
        for instance in self.database.instances.values():
            await self._link(host, instance.zone, instance.port)
        self.hosts[name] = host
        self._apply_cuts()
        host.start()
        return host

    async def wait_until_ready(self, hosts: tuple[Host, ...], timeout_s: float) -> None:
        """Wait until hosts are ready.

        :raises CannotRun: if one is not ready in time.
        """
        until_s = time.monotonic() + timeout_s
        for host in hosts:
            while not await host.is_ready():
                if time.monotonic() > until_s:
                    raise CannotRun(f"{host.name} was not ready within {timeout_s} s")
                await asyncio.sleep(0.05)
        self.note(f"ready: {', '.join(host.name for host in hosts)}")

    def cut(self, *zones: str) -> None:
        """Partition zones from all other zones and from the platform; no zone ends it."""
        self.cut_zones = set(zones)
        self._apply_cuts()
        self.note(f"cut off: {', '.join(sorted(zones)) or 'none'}")

    def write_configuration(self, version: int) -> None:
        """Write a configuration as the operator."""
        routes = [
            {
                "name": f"route-{row.database}",
                "host": row.database,
                "prefix": "/",
                "kind": row.kind,
                "timeoutMs": row.timeout_ms,
                "targetLatencyMs": row.target_latency_ms,
                "priority": 1,
                "service": self.database.service,
                "maxAttempts": 2,
                "maxStalenessMs": row.max_staleness_ms,
                "public": False,
            }
            for row in self._layout.routes
        ]
        body = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": self.database.service, "maxConns": 50, "syncReplicas": 0},
            ],
            "limits": {"maxBodyBytes": 262144, "txIdleMs": 3000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "ratePerS": 400, "burst": 400}],
        }
        self.store.put("op/config", json.dumps(body).encode())

    async def stop(self) -> None:
        """End all processes."""
        for task in self._tasks:
            task.cancel()
        for host in self.hosts.values():
            if host.is_running:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
        for host in self.hosts.values():
            if host.process is not None:
                await host.wait_until_ended(5.0)

    def write_record(self, verdict: str) -> None:
        """Write the record: events, exchanges of the clients, runs and commits."""
        clients = [
            f"{self.at(e.sent_s)} to {self.at(e.answered_s)}  {e.session}  {e.request_id} {e.text}"
            f"  -> {_describe(e)}"
            for e in self.clients.exchanges
        ]
        runs = [
            f"{self.at(r.started_s)} to {self.at(r.ended_s)}  {r.instance}  {r.request_id} {r.text}"
            for r in self.database.runs
        ]
        commits = [
            f"{self.at(c.committed_s)}  {c.instance}  {c.term}.{c.number}  {c.request_id}"
            + ("  after another instance had taken over" if c.is_late else "")
            for c in self.database.commits
        ]
        promotions = [f"{self.at(at_s)}  {name}" for at_s, name in self.database.promotions]
        parts = [
            ("verdict", verdict.splitlines()),
            ("events", self._lines),
            ("promotions that took effect", promotions),
            ("sent and answered", clients),
            ("run", runs),
            ("committed", commits),
        ]
        text = "".join(
            f"== {title}\n" + "".join(f"{line}\n" for line in lines) for title, lines in parts
        )
        (self._case / "record.txt").write_text(text)

    def host_events(self, host: str, *names: str) -> list[dict]:
        """Return lines of a host's log with these events."""
        path = self.folder / f"{host}.log"
        found = []
        for line in path.read_text().splitlines() if path.exists() else ():
            if line.startswith("{"):
                event = json.loads(line)
                if event.get("event") in names:
                    found.append(event)
        return found

    def _can_reach(self, zone: str, other: str) -> bool:
        return zone == other or not {zone, other} & self.cut_zones

    def _apply_cuts(self) -> None:
        for host in self.hosts.values():
            host.store_link.is_cut = host.orders_link.is_cut = host.zone in self.cut_zones
            for port, forwarder in host.links.items():
                forwarder.is_cut = not self._can_reach(host.zone, self._zone_of(port))

    def _zone_of(self, port: int) -> str:
        for host in self.hosts.values():
            if host.peer_port == port:
                return host.zone
        return next(i.zone for i in self.database.instances.values() if i.port == port)

    async def _link(self, host: Host, zone: str, port: int) -> None:
        """Create the forwarder through which a host reaches an address in another zone."""
        if host.zone != zone:
            host.links[port] = await Forwarder(port).start()

    def _translate(self, source: str, value: bytes) -> bytes:
        host = self.hosts.get(source)
        for port, forwarder in host.links.items() if host is not None else ():
            # The closing quote keeps a port from matching the start of a longer one.
            value = value.replace(b'127.0.0.1:%d"' % port, b'127.0.0.1:%d"' % forwarder.port)
        return value

    def _register(self, instance: Instance) -> None:
        """Write an instance's entry, as the instance does when it changes."""
        if instance.zone in self.cut_zones:
            return
        entry = {
            "service": self.database.service,
            "address": f"127.0.0.1:{instance.port}",
            "zone": instance.zone,
            "version": "v1",
            "slots": 5,
            "state": "ready",
            "coldMs": 0,
            "dbRole": "primary" if instance.is_primary else "replica",
            "seq": 1,
            "born": int(self._started_s * 1000),
        }
        self.store.put(f"servers/{instance.name}", json.dumps(entry).encode())

    async def _expire_entries(self) -> None:
        """Remove the entries of instances that cannot reach the store, and write them again."""
        last_s: dict[str, float] = {}
        while True:
            for instance in self.database.instances.values():
                key = f"servers/{instance.name}"
                is_listed = key in self.store.keys(key)
                if instance.zone not in self.cut_zones:
                    last_s[instance.name] = time.monotonic()
                    if not is_listed:
                        self._register(instance)
                elif is_listed and time.monotonic() - last_s[instance.name] > ENTRY_REMOVED_S:
                    self.store.remove(key)
            await asyncio.sleep(0.1)

    async def _answer_order(self, request: Request) -> Response:
        if request.method != "POST" or request.path != "/promote":
            return Response(404, {})
        holder = request.headers.get("duty-holder", "")
        fence = int(request.headers.get("fence-token", "0"))
        name = request.body["id"]
        self.note(f"{holder} orders the promotion of {name} with fence {fence}")
        self._order_numbers.append((holder, fence))
        if request.body["service"] != self.database.service:
            return Response(404, {})
        return Response(200 if await self.database.promote(name) else 409, {})


def _describe(exchange) -> str:
    answer = exchange.answer
    if answer is None:
        return f"no complete answer ({exchange.cause})"
    if answer.error:
        return f"ERROR {answer.error} {answer.detail[:80]} READY {answer.state}"
    return f"{' '.join(answer.rows)} DONE {answer.receipt} READY {answer.state}"


def host_command() -> list[str]:
    """Return the command of the deploy file's only role."""
    deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
    (role,) = deploy["roles"].values()
    return shlex.split(role["run"])


def free_ports(count: int) -> list[int]:
    """Return ports on loopback that nobody uses now.

    They lie below the range from which the kernel takes ports for connections, so that none of them
    is taken before a host listens there.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.SystemRandom().randrange(*PORTS)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            if port not in found:
                found.append(port)
    return found
