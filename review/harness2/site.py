"""A small site on loopback: the stand-ins, the configuration and the host processes."""

import contextlib
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from harness2.database import Platform, Service
from harness2.processes import HostPlace, HostProcess
from harness2.store import Store

__all__ = ["DATABASES", "KEYS", "REGIONS", "SERVICE", "Site", "configuration_body", "running_site"]

ZONES = ("cluj-a", "cluj-b", "turda-c")
REGIONS = {zone: "ro-central" for zone in ZONES}
SERVICE = "hire-ledger-0"
# Database of each kind of route, with the figures of sites/menghina-pool.toml.
DATABASES = {"primary": "huvo11a", "bounded": "lepu270", "read_your_writes": "nolo410"}
KEYS = {f"tenant{number}": f"key-{number}-4f1c" for number in range(8)}
_STALENESS_MS = {"primary": 0, "bounded": 1500, "read_your_writes": 2500}
_TIMEOUT_MS = {"primary": 1000, "bounded": 3000, "read_your_writes": 1000}
_LATENCY_MS = {"primary": 200, "bounded": 800, "read_your_writes": 400}


def configuration_body(version: int, max_connections: int) -> dict[str, Any]:
    """Return an operator's configuration of the service."""
    return {
        "version": version,
        "routes": [
            {
                "host": database,
                "service": SERVICE,
                "kind": kind,
                "timeoutMs": _TIMEOUT_MS[kind],
                "targetLatencyMs": _LATENCY_MS[kind],
                "priority": 1 if kind == "primary" else 2,
                "maxStalenessMs": _STALENESS_MS[kind],
                "public": False,
            }
            for kind, database in DATABASES.items()
        ],
        "services": [{"name": SERVICE, "maxConns": max_connections}],
        "limits": {"maxBodyBytes": 262144, "txIdleMs": 3000},
        "tenants": [
            {"name": name, "apiKeys": [key], "ratePerS": 400.0, "burst": 400.0}
            for name, key in KEYS.items()
        ],
    }


class Site:
    """Stand-ins and hosts of one deployment.

    :param folder: receives settings and logs.
    :param host_count: number of hosts, spread over the zones.
    :param ip: loopback address of the stand-ins; hosts have the following ones.
    """

    def __init__(self, folder: Path, host_count: int, ip: str = "127.0.0.1") -> None:
        """Create everything; :func:`running_site` starts it."""
        self.folder, self.ip = folder, ip
        self.store = Store()
        self.service = Service(self.store, SERVICE, ip, ZONES)
        self.platform = Platform({SERVICE: self.service})
        self.hosts: list[HostProcess] = []
        self.version = 1
        self._host_count = host_count

    def configuration(self) -> dict[str, Any]:
        """Return the operator's configuration."""
        return configuration_body(self.version, self.service.max_connections)

    async def start(self) -> None:
        """Start the stand-ins and the hosts, and wait until the hosts are ready."""
        await self.store.start(self.ip)
        await self.platform.start(self.ip)
        self.store.put("op/config", self.configuration())
        await self.service.start()
        for number in range(self._host_count):
            zone = ZONES[number % len(ZONES)]
            place = HostPlace(
                f"front-{zone}-{number // len(ZONES) + 1}",
                f"127.0.0.{10 + number}",
                zone,
                self.store.address,
                self.platform.address,
            )
            self.hosts.append(HostProcess(place, self.folder, REGIONS))
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            await host.wait_until_ready()

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for host in self.hosts:
            with contextlib.suppress(ProcessLookupError):
                await host.kill()
        self.service.stop()
        self.platform.stop()
        self.store.stop()


@contextlib.asynccontextmanager
async def running_site(host_count: int) -> AsyncIterator[Site]:
    """Run a site in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        site = Site(Path(folder), host_count)
        try:
            await site.start()
            yield site
        finally:
            await site.stop()
