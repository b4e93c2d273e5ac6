"""A route is moved to another service and back while a session goes on."""

import asyncio
import os
import sys
import tempfile
import traceback
from pathlib import Path

from harness3.callers import Answer, Caller
from harness3.hosts import Host, settings
from harness3.instances import Entry, Instance, Orders, Service, Work
from harness3.record import Record
from harness3.store import Store

ZONES = ["daegu-north", "daegu-south", "gumi-annex"]
SERVICES = ["core-1", "core-2"]
DATABASE = "cue-sheets"
KEY = "key-0"
# As on the sheet of gmsau-jingle: slots, connections, lag, time of a promotion, work, and the times
# of the route.
SLOTS = 5
MAX_CONNECTIONS = 50
LAG_S = 0.02
PROMOTE_S = 0.3
WORK = Work(0.033, 0.7, 0.082)
MAX_STALENESS_MS = 2500
# Replicas fall behind by this factor; the site files have up to 150.
LAG_FACTOR = 75.0
CRASH_S = 7.0
APPLY_WAIT_S = 0.15
ROUNDS = 8
START_TIMEOUT_S = 12.0


class Scenario:
    """One run.

    :param folder: temporary folder.
    :param has_trouble: whether the route is moved.
    """

    def __init__(self, folder: Path, has_trouble: bool) -> None:
        """Create all parts; :meth:`run` starts them."""
        self._has_trouble = has_trouble
        self._folder = folder
        self._record = Record(Path(__file__).with_name("record.txt"))
        self._store = Store()
        self._services = {
            name: Service(
                name, self._store, self._record, WORK, SLOTS, MAX_CONNECTIONS, LAG_S, PROMOTE_S
            )
            for name in SERVICES
        }
        for service in self._services.values():
            service.on_commit = self._note_commit
        self._orders = Orders(self._services, self._record)
        self._hosts: list[Host] = []
        self._version = 3
        self._reads = 0
        self._broken = 0

    async def run(self) -> int:
        """Play the scenario; return the exit status."""
        try:
            await self._start()
            if not await self._wait_ready():
                self._record.write("not_ready")
                return 2
            await self._fail_over()
            for service in self._services.values():
                service.lag_s = LAG_S * LAG_FACTOR
            self._record.write("replicas_behind", lag_s=LAG_S * LAG_FACTOR)
            for number in range(ROUNDS):
                await self._play(number)
        finally:
            for host in self._hosts:
                await host.stop()
            self._record.write("end", broken=self._broken, reads=self._reads)
            self._record.close()
        if not self._reads:
            return 2
        return 1 if self._broken else 0

    async def _start(self) -> None:
        await self._store.start()
        await self._orders.start()
        self._configure(SERVICES[0])
        for service in self._services.values():
            await service.start(ZONES)
        for zone in ZONES:
            name = f"front-{zone}-1"
            fields = settings(name, zone, ZONES, self._store.address, self._orders.address)
            host = Host(fields, self._folder)
            self._hosts.append(host)
            await host.start()

    async def _wait_ready(self) -> bool:
        until_s = self._record.now_s() + START_TIMEOUT_S
        while self._record.now_s() < until_s:
            if all([await host.is_ready() for host in self._hosts]):
                # The voters are recorded a few seconds after the start.
                await asyncio.sleep(4.0)
                return True
            await asyncio.sleep(0.2)
        return False

    def _configure(self, service: str) -> None:
        """Write a version whose route leads to a service."""
        self._version += 2
        self._store.write("op/config", _configuration(self._version, service))
        self._record.write("configuration", version=self._version, service=service)

    async def _fail_over(self) -> None:
        """Let the first service change its primary once, as it does in any week."""
        service = self._services[SERVICES[0]]
        old = service.leader
        caller = await self._open()
        await self._send(caller, "WRITE start 0")
        old.crash()
        self._record.write("crash", instance=old.id)
        until_s = self._record.now_s() + CRASH_S
        while self._record.now_s() < until_s:
            # The hosts notice a crash by what they send.
            await self._send(caller, "WRITE start 1")
            await asyncio.sleep(0.1)
        caller.close()
        old.is_primary = service.leader is old
        await old.start()
        old.register()
        old.follow()
        await asyncio.sleep(1.0)

    async def _play(self, number: int) -> None:
        """Write at one service and at another one, and read what was written at the first."""
        other, caller = await self._open(), await self._open()
        await self._send(other, f"WRITE other {number}")
        await asyncio.sleep(1.4)
        value = f"v{number}"
        written = await self._send(caller, f"WRITE own {value}")
        if self._has_trouble:
            self._configure(SERVICES[1])
            await asyncio.sleep(APPLY_WAIT_S)
        second = await self._send(caller, f"WRITE second {value}")
        if self._has_trouble:
            self._configure(SERVICES[0])
            await asyncio.sleep(APPLY_WAIT_S)
        answer = await self._send(caller, "READ own")
        if not (written.error or second.error or answer.error):
            self._reads += 1
            if answer.rows != (value,):
                self._broken += 1
                self._record.write("STALE", expected=value, rows=answer.rows)
        other.close()
        caller.close()
        await asyncio.sleep(1.8)

    async def _open(self) -> Caller:
        caller = Caller(self._hosts[0].callers_address, DATABASE, KEY)
        await caller.open()
        return caller

    async def _send(self, caller: Caller, text: str) -> Answer:
        request_id = caller.new_id()
        self._record.write("sent", id=request_id, text=text)
        answer = await caller.send(request_id, text)
        self._record.write("answer", id=request_id, error=answer.error, rows=answer.rows)
        return answer

    def _note_commit(self, instance: Instance, entry: Entry, is_leader: bool) -> None:
        self._record.write(
            "commit",
            id=entry.request_id,
            instance=instance.id,
            position=f"{entry.term}.{entry.number}",
        )


def _configuration(version: int, service: str) -> dict:
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "host": DATABASE,
                "prefix": "/",
                "kind": "read_your_writes",
                "timeoutMs": 1000,
                "targetLatencyMs": 400,
                "priority": 2,
                "service": service,
                "maxStalenessMs": MAX_STALENESS_MS,
                "public": False,
            }
        ],
        "services": [
            {"name": name, "maxConns": MAX_CONNECTIONS, "syncReplicas": 0} for name in SERVICES
        ],
        "limits": {"maxBodyBytes": 262144, "txIdleMs": 3000},
        "tenants": [
            {"name": f"t-{n}", "apiKeys": [f"key-{n}"], "ratePerS": 64, "burst": 64}
            for n in range(8)
        ],
    }


def main() -> int:
    """Play the scenario; return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        has_trouble = os.environ.get("TROUBLE", "1") != "0"

        async def play() -> int:
            return await Scenario(Path(folder), has_trouble).run()

        try:
            return asyncio.run(play())
        except Exception:
            # The interpreter's own status would look like a broken rule.
            traceback.print_exc()
            return 2


if __name__ == "__main__":
    sys.exit(main())
