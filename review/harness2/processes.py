"""The project's own host processes, started with the command of the deploy file."""

import asyncio
import json
import os
import shlex
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

__all__ = ["REPOSITORY", "HostPlace", "HostProcess", "free_port"]

REPOSITORY = Path(__file__).resolve().parents[2]
_SETTINGS_VARIABLE = "PISTACHIOWINCH_SETTINGS"

# Figures of sites/menghina-pool.toml.
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
LIMITS = {
    "cpuShare": 0.537,
    "cores": 2,
    "memoryMb": 300,
    "maxFds": 4200,
    "linkMbps": 1000.0,
    "diskMb": 0,
}


def free_port(ip: str) -> int:
    """Return a port that is free on an address at this moment."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class HostPlace(NamedTuple):
    """Where a host runs and what it talks to.

    :param name: the node's name.
    :param ip: a loopback address.
    """

    name: str
    ip: str
    zone: str
    store_address: str
    orders_address: str


class HostProcess:
    """One host.

    :param place: where it runs.
    :param folder: receives the settings file and the log.
    :param zones: region by zone.
    """

    def __init__(self, place: HostPlace, folder: Path, zones: dict[str, str]) -> None:
        """Choose the ports and write the settings."""
        self.name = place.name
        self.ip = place.ip
        self.front_port = free_port(place.ip)
        self.ready_port = free_port(place.ip)
        self.peer_port = free_port(place.ip)
        self._place = place
        self._zones = zones
        self._path = folder / f"{place.name}.json"
        self.log_path = folder / f"{place.name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._path.write_text(json.dumps(self._settings()))

    @property
    def pid(self) -> int:
        """Process id of the newest process."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        deps = str(REPOSITORY / "target/deps")
        environment = kept | {_SETTINGS_VARIABLE: str(self._path), "PYTHONPATH": deps}
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log, env=environment, cwd=REPOSITORY
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait for the end of the process and return its status."""
        return await self._process.wait()

    async def kill(self) -> None:
        """End the process."""
        if self.is_running:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        if self._process is not None:
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Ask the readiness probe."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
                writer.write(b"GET /pistachiowinch/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.transport.abort()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_until_ready(self, within_s: float = 20.0) -> None:
        """Wait until the readiness probe answers 200.

        :raises TimeoutError: if it does not in time.
        """
        async with asyncio.timeout(within_s):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    def resident_bytes(self) -> int:
        """Return the resident memory of the process; 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0

    def _settings(self) -> dict[str, Any]:
        place = self._place
        return {
            "node": place.name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": place.ip,
            "zone": place.zone,
            "region": self._zones[place.zone],
            "zones": self._zones,
            "listen": {
                "front": f"{place.ip}:{self.front_port}",
                "ready": f"{place.ip}:{self.ready_port}",
            },
            "portRange": [self.peer_port, self.peer_port],
            "seeds": [],
            "bootstrap": True,
            "countsAsLoss": True,
            "limits": LIMITS,
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "sql",
                "tenants",
                "quota",
                "places",
                "platform",
            ],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": place.store_address,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "minTtlMs": 1000,
            },
            "cloudApi": {
                "address": place.orders_address,
                "ratePerS": 50.0,
                "duties": ["promotion"],
                "dutyPerS": 50.0,
            },
        }
