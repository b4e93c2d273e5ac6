"""The project's own program, started with the command of the deploy file."""

import asyncio
import json
import os
import random
import signal
import socket
import tomllib
from pathlib import Path

__all__ = ["Host", "free_port", "settings"]


# Below the ports that the kernel gives to outgoing connections.
FIRST_PORT, LAST_PORT = 20_000, 32_000
_GIVEN_PORTS: set[int] = set()


def free_port() -> int:
    """Return a port of the loopback address that nobody uses."""
    while True:
        port = random.SystemRandom().randint(FIRST_PORT, LAST_PORT)
        if port in _GIVEN_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _GIVEN_PORTS.add(port)
        return port


def settings(name: str, zone: str, zones: list[str], store: str, orders: str) -> dict:
    """Return the settings of one host, as those of a small deployment."""
    return {
        "node": name,
        "role": "entry",
        "machineClass": "front",
        "serves": ["front"],
        "ip": "127.0.0.1",
        "zone": zone,
        "region": "yeongnam",
        "zones": dict.fromkeys(zones, "yeongnam"),
        "listen": {
            "front": f"127.0.0.1:{free_port()}",
            "ready": f"127.0.0.1:{free_port()}",
        },
        "portRange": [free_port(), free_port()],
        "seeds": [],
        "bootstrap": True,
        "countsAsLoss": False,
        "limits": {
            "cpuShare": 0.537,
            "cores": 2,
            "memoryMb": 300,
            "maxFds": 4300,
            "linkMbps": 1000.0,
            "diskMb": 0,
        },
        "dataDir": None,
        "discovery": "platform",
        "entry": "vip",
        "heartbeatMs": 1200,
        "contracts": ["base", "drain", "config", "recover", "sql", "tenants", "platform"],
        "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
        "bounds": {
            "contactMs": 4000,
            "ackMs": 5000,
            "drainMs": 7000,
            "graceS": 6,
            "configApplyMs": 3000,
            "quotaWindowS": 5,
            "quotaOverage": 0.1,
            "quotaSlack": 20,
            "requireFence": False,
            "thawSlackMs": 300,
        },
        "platform": {
            "address": store,
            "form": "kv",
            "writesPerS": 400,
            "readsPerS": 2000,
            "historyS": 20,
            "valueBytes": 1048576,
            "minTtlMs": 1000,
        },
        "cloudApi": {
            "address": orders,
            "ratePerS": 50.0,
            "duties": ["promotion"],
            "dutyPerS": 50.0,
        },
    }


class Host:
    """One process of the program.

    :param fields: the settings.
    :param folder: folder for the settings file and the output.
    """

    def __init__(self, fields: dict, folder: Path) -> None:
        """Write the settings file; :meth:`start` starts the process."""
        self.name: str = fields["node"]
        address, _, port = fields["listen"]["front"].rpartition(":")
        self.callers_address = (address, int(port))
        self.ready_port = int(fields["listen"]["ready"].rpartition(":")[2])
        self._path = folder / f"{self.name}.json"
        self._path.write_text(json.dumps(fields))
        self._log_path = folder / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads(Path("deploy/system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split(" ")
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PISTACHIOWINCH_SETTINGS"] = str(self._path)
        environment["PYTHONPATH"] = str(Path("target/deps").resolve())
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, stdout=log, stderr=log, env=environment
            )

    async def is_ready(self) -> bool:
        """Return whether the host answers the balancer with 200."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
        except OSError:
            return False
        writer.write(b"GET /pistachiowinch/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
        try:
            return b" 200 " in await reader.readline()
        finally:
            writer.close()

    def log_text(self) -> str:
        """Return what the process has written."""
        return self._log_path.read_text(errors="replace")

    async def stop(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
