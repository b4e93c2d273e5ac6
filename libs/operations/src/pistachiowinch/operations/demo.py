"""A demo site in one process on loopback, with stand-ins for the store and the targets.

The hosts, the links between them, the HTTP interfaces and the MySQL protocol are real.
"""

import asyncio
import contextlib
import logging
import os
import signal
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.groups.ledger import LEDGER_TABLE
from pistachiowinch.operations.host import Host
from pistachiowinch.operations.keys import CreatedKey, create_key, operator_hash
from pistachiowinch.operations.links import HostLinks, open_links
from pistachiowinch.operations.operators_client import OperatorsClient
from pistachiowinch.operations.process_logs import process_logs
from pistachiowinch.operations.settings import (
    CallerSettings,
    HostSettings,
    LogSettings,
    OperatorSettings,
    PeerSettings,
    Settings,
    StopSettings,
    StoreSettings,
    TargetSettings,
)
from pistachiowinch.standins.database_data import SqlError
from pistachiowinch.standins.database_group import FakeDatabaseGroup
from pistachiowinch.standins.memory_store import MemoryStore
from pistachiowinch.standins.mysql_server import Login, MysqlTargetServer
from pistachiowinch.standins.store_server import StoreServer

__all__ = [
    "CUSTOMERS",
    "SERVICES",
    "ZONES",
    "DemoError",
    "DemoHost",
    "DemoService",
    "DemoSite",
    "run_demo",
]

LOOPBACK = "127.0.0.1"
SITE = "demo"
ZONES = ("zone-a", "zone-b", "zone-c")
SERVICES = ("counter", "stock", "plays")
# Customers and the services that they may use.
CUSTOMERS = {"menghina": ("counter", "stock"), "archive": ("plays",)}
RATE_PER_S = 2000.0
BURST_TOKENS = 1000.0
SLOTS_PER_TARGET = 5
CONNECTIONS_PER_TARGET = 30
_LOG_SETTINGS = LogSettings("WARNING", "text")
_LOGIN = Login("pistachiowinch", "demo-target-password")
_READY_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.05
_IN_FORCE_TIMEOUT_S = 10.0


class DemoError(Exception):
    """The demo site did not start or did not behave as expected."""


class DemoService:
    """One database group behind servers of the MySQL protocol.

    :param name: the service's name.
    """

    def __init__(self, name: str) -> None:
        """Create the group; its first target is the primary."""
        self.name = name
        self.targets = tuple(f"{name}-{zone[-1]}" for zone in ZONES)
        self.group = FakeDatabaseGroup(name, self.targets, slots=SLOTS_PER_TARGET, connections=200)
        view = self.group.view("server")
        self.server = MysqlTargetServer(view, view, self.targets, _LOGIN)

    def entry(self) -> dict[str, Any]:
        """Return the service's entry of the configuration."""
        targets = {
            target: {
                "address": LOOPBACK,
                "port": self.server.port_of(target),
                "availability_zone": zone,
                "slots": SLOTS_PER_TARGET,
                "connections": CONNECTIONS_PER_TARGET,
                "state": "in",
            }
            for target, zone in zip(self.targets, ZONES, strict=True)
        }
        return {"is_open": False, "ledger": "always", "targets": targets}

    def has_ledger(self) -> bool:
        """Return whether the hosts have created the ledger's table at every running target."""
        running_targets = [name for name, target in self.group.targets.items() if target.is_up]
        try:
            for target in running_targets:
                self.group.rows(target, f"SELECT COUNT(*) FROM {LEDGER_TABLE}")
        except SqlError:
            return False
        return True

    def kill(self, target: str) -> None:
        """Simulate a machine failure of a target: cut its connections and refuse new ones.

        :param target: the target's name.
        """
        self.group.crash(target)
        self.server.faults(target).is_refusing = True
        self.server.abort_connections(target)

    def restart(self, target: str) -> None:
        """Restart a killed target with its data.

        :param target: the target's name.
        """
        self.server.faults(target).is_refusing = False
        self.group.restart(target)

    async def close(self) -> None:
        """Stop the servers and free the data."""
        await self.server.stop()
        await self.group.close()


class DemoHost(NamedTuple):
    """One running host with its links."""

    host: Host
    links: HostLinks

    @property
    def zone(self) -> str:
        """The host's availability zone."""
        return self.host.settings.host.availability_zone

    @property
    def port(self) -> int:
        """Port for callers."""
        return self.host.callers.port

    @property
    def admin_url(self) -> str:
        """Address of the operators' interface."""
        return self.host.operators.url


def _host_settings(name: str, zone: str, store_url: str, operator_key: str) -> Settings:
    return Settings(
        HostSettings(name, zone, SITE),
        CallerSettings(LOOPBACK, 0, 2000, 1_048_576, 10.0, 5.0),
        PeerSettings(LOOPBACK, 0, ()),
        StoreSettings((store_url,), 1.0),
        TargetSettings(_LOGIN.user, _LOGIN.password, 0.5),
        OperatorSettings(LOOPBACK, 0, False, True, True, 1_048_576, operator_hash(operator_key)),
        _LOG_SETTINGS,
        StopSettings(0.2, 5.0),
    )


class DemoSite:
    """A store, three services of three targets each, and a host in each of three zones."""

    def __init__(self) -> None:
        """Create keys; nothing listens yet."""
        self.store = MemoryStore()
        self.services: dict[str, DemoService] = {}
        self.hosts: list[DemoHost] = []
        self.keys: dict[str, CreatedKey] = {name: create_key() for name in CUSTOMERS}
        self.operator = create_key(is_operator=True)
        self._store_server = StoreServer(self.store)

    async def start(self) -> None:
        """Start everything and wait until every host accepts work.

        :raises DemoError: if a host does not become ready.
        """
        await self._store_server.start()
        for name in SERVICES:
            service = DemoService(name)
            self.services[name] = service
            await service.server.start()
        for zone in ZONES:
            await self.start_host(zone)
        await self._wait(lambda: len(self._members()) == len(ZONES), "the hosts form no roster")
        await self.patch("first", self._initial_operations())
        await self.wait_ready()

    async def start_host(self, zone: str) -> DemoHost:
        """Start one host.

        :param zone: its availability zone.
        """
        name = f"host-{zone[-1]}"
        settings = _host_settings(name, zone, self._store_server.url, self.operator.key)
        links = await open_links(settings)
        demo_host = DemoHost(Host(settings, links), links)
        self.hosts.append(demo_host)
        await demo_host.host.start()
        return demo_host

    async def stop_host(self, demo_host: DemoHost) -> None:
        """Stop one host gracefully.

        :param demo_host: the host.
        """
        await demo_host.host.stop()
        await demo_host.links.close()
        self.hosts.remove(demo_host)

    async def stop(self) -> None:
        """Stop everything at once."""
        for demo_host in list(self.hosts):
            await demo_host.host.abort()
            await demo_host.links.close()
        self.hosts.clear()
        for service in self.services.values():
            await service.close()
        await self._store_server.stop()

    async def patch(self, patch_id: str, operations: list[dict[str, Any]]) -> dict[str, Any]:
        """Submit a patch through the first host's HTTP interface and wait until it is in force.

        :param patch_id: id of the patch, not used before.
        :param operations: the patch's operations.
        :returns: the interface's response.
        :raises DemoError: if it is refused or not in force in time.
        """
        demo_host = self.hosts[0]
        client = OperatorsClient(demo_host.admin_url, self.operator.key)
        base_version = demo_host.host.configuration.version
        fields = {"patch_id": patch_id, "base_version": base_version, "operations": operations}
        body = msgspec.json.encode(fields)
        match await client.submit_patch(body, _IN_FORCE_TIMEOUT_S):
            case Success(response) if response["in_force"]:
                return response
            case Success(response):
                raise DemoError(f"patch {patch_id} is not in force on {response['lagging_hosts']}")
            case Failure(error):
                raise DemoError(f"patch {patch_id} was refused: {error.detail}")
        raise DemoError("unreachable")

    async def wait_ready(self) -> None:
        """Wait until every host is ready and every service has a primary.

        :raises DemoError: if that takes too long.
        """
        await self._wait(self._is_ready, "the hosts do not become ready")

    async def _wait(self, condition, failure_text: str) -> None:
        deadline_s = now_s() + _READY_TIMEOUT_S
        while not condition():
            if now_s() > deadline_s:
                reasons = [
                    (demo_host.host.name, demo_host.host.unready_reasons)
                    for demo_host in self.hosts
                ]
                raise DemoError(f"{failure_text}: {reasons}")
            await sleep_s(_POLL_INTERVAL_S)

    def _is_ready(self) -> bool:
        for demo_host in self.hosts:
            if demo_host.host.unready_reasons:
                return False
            for name in SERVICES:
                group = demo_host.host.services.group(name)
                if group is None or group.tracker.primary is None:
                    return False
        # A target refuses writes until the ledger's table exists.
        return all(service.has_ledger() for service in self.services.values())

    def _members(self) -> tuple[str, ...]:
        rosters = [demo_host.host.site.roster.active.members for demo_host in self.hosts]
        smallest = min(rosters, key=len)
        return tuple(member.host for member in smallest)

    def _initial_operations(self) -> list[dict[str, Any]]:
        operations = [_set_operation("operators", "demo", {"key_hash": self.operator.stored_hash})]
        operations += [
            _set_operation("availability_zones", zone, {"state": "in"}) for zone in ZONES
        ]
        operations += [
            _set_operation("services", name, service.entry())
            for name, service in self.services.items()
        ]
        for customer, services in CUSTOMERS.items():
            limits = {"rate_per_s": RATE_PER_S, "burst": BURST_TOKENS, "weight": 1.0}
            operations.append(
                _set_operation("customers", customer, {**limits, "services": list(services)})
            )
            key = {"customer": customer, "password_hash": self.keys[customer].stored_hash}
            operations.append(_set_operation("keys", f"{customer}-1", key))
        return operations

    def description(self) -> dict[str, Any]:
        """Return addresses and keys, for scripts that use the demo."""
        proxies = [
            {
                "host": LOOPBACK,
                "port": demo_host.port,
                "admin_url": demo_host.admin_url,
                "availability_zone": demo_host.zone,
            }
            for demo_host in self.hosts
        ]
        customers = [
            {
                "customer": customer,
                "key_id": f"{customer}-1",
                "key": self.keys[customer].key,
                "services": list(services),
            }
            for customer, services in CUSTOMERS.items()
        ]
        return {
            "proxies": proxies,
            "services": list(SERVICES),
            "customers": customers,
            "operator_key": self.operator.key,
        }


def _set_operation(section: str, name: str, value: Any) -> dict[str, Any]:
    return {"kind": "set", "path": [section, name], "value": value}


def _write_ready_file(path: Path, description: dict[str, Any]) -> None:
    """Write the file atomically and readable only by its owner, since it holds keys."""
    partial = path.with_name(path.name + ".partial")
    partial.unlink(missing_ok=True)
    descriptor = os.open(partial, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(descriptor, "wb") as file:
        file.write(msgspec.json.format(msgspec.json.encode(description), indent=2))
    partial.replace(path)


def _remove_ready_file(path: Path | None) -> None:
    if path is not None:
        with contextlib.suppress(OSError):
            path.unlink()


async def _run_until_signal(ready_file: Path | None) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    site = DemoSite()
    try:
        await site.start()
        description = site.description()
        if ready_file is not None:
            _write_ready_file(ready_file, description)
        else:
            print(msgspec.json.format(msgspec.json.encode(description), indent=2).decode())
        await stop.wait()
        return 0
    except DemoError as error:
        print(f"The demo failed: {error}")
        return 1
    finally:
        await site.stop()
        _remove_ready_file(ready_file)


async def _run_check() -> int:
    from pistachiowinch.operations.demo_tour import run_tour

    return await run_tour()


def run_demo(is_check: bool, ready_file: Path | None) -> int:
    """Run the demo.

    :param is_check: run the guided tour instead of waiting for a signal.
    :param ready_file: where addresses and keys are written; None prints them.
    :returns: exit code.
    """
    # The stand-ins log every connection that breaks when a target is killed or a host stops.
    for library in ("mysql_mimic", "aiohttp.server"):
        logging.getLogger(library).setLevel(logging.CRITICAL)
    with process_logs(_LOG_SETTINGS):
        return asyncio.run(_run_check() if is_check else _run_until_signal(ready_file))
