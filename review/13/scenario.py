"""A primary with a synchronous replica crashes while the other replica receives nothing."""

import asyncio
import os
import random
import sys
import tempfile
import traceback
from pathlib import Path

from harness3.callers import Caller
from harness3.hosts import Host, settings
from harness3.instances import Entry, Instance, Orders, Service, Work
from harness3.record import Record
from harness3.store import Store

ZONES = ["daegu-north", "daegu-south", "gumi-annex"]
SERVICES = ["core-1", "core-2", "core-3"]
WRITE_DATABASE = "checkout"
READ_DATABASE = "catalogue"
KEY = "key-0"
# As on the sheet and in the site file of gmsau-jingle, but for the synchronous replica: slots,
# connections, lag, time of a promotion, and the routes' times.
SLOTS = 5
MAX_CONNECTIONS = 50
LAG_S = 0.02
PROMOTE_S = 0.3
SYNC_REPLICAS = 1
WRITE_TIMEOUT_MS = 1000
READ_TIMEOUT_MS = 3000
MAX_STALENESS_MS = 1500
WORK = Work(0.055, 0.7, 0.41)
# As in the site files: a replica that receives nothing, the crash of the primary meanwhile, and an
# instance that turns slow.
DEAF_S = 6.5
SLOW_FACTOR = 5.0
CRASH_S = 7.0
# An instance that is silent for three pings is removed from the store.
REMOVAL_S = 3.6
WRITERS = 6
# The usual reads of one of the three services.
READERS = 48
READS_PER_S = 46.0
ROUNDS = 4
START_TIMEOUT_S = 12.0


class Scenario:
    """One run.

    :param folder: temporary folder.
    :param has_trouble: whether a replica receives nothing and the primary crashes.
    """

    def __init__(self, folder: Path, has_trouble: bool) -> None:
        """Create all parts; :meth:`run` starts them."""
        self._has_trouble = has_trouble
        self._folder = folder
        self._record = Record(Path(__file__).with_name("record.txt"))
        self._store = Store()
        self._services = {
            name: Service(
                name,
                self._store,
                self._record,
                WORK,
                SLOTS,
                MAX_CONNECTIONS,
                LAG_S,
                PROMOTE_S,
                SYNC_REPLICAS,
            )
            for name in SERVICES
        }
        self._service = self._services[SERVICES[0]]
        self._service.on_commit = self._note_commit
        self._service.on_promoted = self._check_promoted
        self._orders = Orders(self._services, self._record)
        self._hosts: list[Host] = []
        self._entries: dict[str, Entry] = {}
        self._acknowledged: dict[str, float] = {}
        self._lost: list[str] = []
        self._reads = 0
        self._is_ended = False

    async def run(self) -> int:
        """Play the scenario; return the exit status."""
        try:
            await self._start()
            if not await self._wait_ready():
                self._record.write("not_ready")
                return 2
            callers = [asyncio.ensure_future(self._write(number)) for number in range(WRITERS)]
            callers += [asyncio.ensure_future(self._read(number)) for number in range(READERS)]
            await self._play()
            self._is_ended = True
            await asyncio.gather(*callers)
        finally:
            for host in self._hosts:
                await host.stop()
            self._record.write(
                "end", lost=len(self._lost), writes=len(self._acknowledged), reads=self._reads
            )
            self._record.close()
        if not self._acknowledged:
            return 2
        return 1 if self._lost else 0

    async def _start(self) -> None:
        await self._store.start()
        await self._orders.start()
        self._store.write("op/config", _configuration())
        for service in self._services.values():
            await service.start(ZONES)
        for zone in ZONES:
            fields = settings(
                f"front-{zone}-1", zone, ZONES, self._store.address, self._orders.address
            )
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

    async def _play(self) -> None:
        for _ in range(ROUNDS):
            await asyncio.sleep(5.0)
            if self._has_trouble:
                await self._trouble()
            else:
                await asyncio.sleep(CRASH_S + 2.5)
            if self._lost:
                return

    async def _trouble(self) -> None:
        """One replica receives nothing for a while, and the primary crashes meanwhile."""
        primary = self._service.leader
        other, deaf = (i for i in self._service.instances.values() if i is not primary)
        deaf.is_receiving = False
        other.slow_factor = SLOW_FACTOR
        self._record.write("deaf", instance=deaf.id)
        self._record.write("slow", instance=other.id, factor=SLOW_FACTOR)
        await asyncio.sleep(2.5)
        primary.crash()
        self._record.write("crash", instance=primary.id, log=len(primary.log))
        await asyncio.sleep(REMOVAL_S)
        self._store.remove(f"servers/{primary.id}")
        await asyncio.sleep(DEAF_S - 2.5 - REMOVAL_S)
        other.slow_factor = 1.0
        if not deaf.is_primary:
            deaf.is_receiving = True
            deaf.receive()
        await asyncio.sleep(CRASH_S - (DEAF_S - 2.5))
        if self._service.leader is not primary:
            primary.is_primary = False
        await primary.start()
        primary.register()
        if not primary.is_primary:
            primary.follow()

    async def _write(self, number: int) -> None:
        pause = random.Random(number)
        host = self._hosts[number % len(self._hosts)]
        caller: Caller | None = None
        while not self._is_ended:
            try:
                if caller is None:
                    caller = Caller(host.callers_address, WRITE_DATABASE, KEY)
                    await caller.open()
                request_id = caller.new_id()
                self._record.write("sent", id=request_id, writer=number)
                answer = await caller.send(request_id, f"WRITE w{number} {request_id}")
                self._record.write("answer", id=request_id, outcome=answer.error or "done")
                if not answer.error:
                    self._acknowledged[request_id] = self._record.now_s()
            except (OSError, TimeoutError) as error:
                self._record.write("session_ended", writer=number, cause=repr(error))
                caller = None
            await asyncio.sleep(pause.uniform(0.2, 0.6))
        if caller is not None:
            caller.close()

    async def _read(self, number: int) -> None:
        """Read at a mean rate, as many clients do; a read that waits delays the next one."""
        pause = random.Random(1000 + number)
        host = self._hosts[number % len(self._hosts)]
        caller: Caller | None = None
        while not self._is_ended:
            started_s = self._record.now_s()
            try:
                if caller is None:
                    caller = Caller(host.callers_address, READ_DATABASE, KEY)
                    await caller.open()
                answer = await caller.send(caller.new_id(), f"READ w{number % WRITERS}")
                self._reads += not answer.error
            except (OSError, TimeoutError) as error:
                self._record.write("reader_ended", reader=number, cause=repr(error))
                caller = None
            interval_s = READERS / READS_PER_S * pause.uniform(0.5, 1.5)
            await asyncio.sleep(max(interval_s - (self._record.now_s() - started_s), 0.01))
        if caller is not None:
            caller.close()

    def _note_commit(self, instance: Instance, entry: Entry, is_leader: bool) -> None:
        self._entries[entry.request_id] = entry
        self._record.write(
            "commit",
            id=entry.request_id,
            instance=instance.id,
            position=f"{entry.term}.{entry.number}",
            is_leader=is_leader,
        )

    def _check_promoted(self, old: Instance, new: Instance) -> None:
        """Check that the log of the promoted instance has all acknowledged commits."""
        kept = {entry.request_id for entry in new.log}
        missing = [name for name in self._acknowledged if name not in kept]
        holders = {
            i.id: sum(1 for e in i.log if e.request_id in missing)
            for i in self._service.instances.values()
        }
        self._lost += missing
        if missing:
            self._record.write(
                "LOST",
                promoted=new.id,
                missing=missing,
                of_them_held_by=holders,
                what="acknowledged commits are not in the log of the promoted instance",
            )


def _route(name: str, kind: str, timeout_ms: int, staleness_ms: int) -> dict:
    return {
        "name": f"r-{name}",
        "host": name,
        "prefix": "/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 800,
        "priority": 1,
        "service": SERVICES[0],
        "maxStalenessMs": staleness_ms,
        "public": False,
    }


def _configuration() -> dict:
    return {
        "version": 3,
        "routes": [
            _route(WRITE_DATABASE, "primary", WRITE_TIMEOUT_MS, 0),
            _route(READ_DATABASE, "bounded", READ_TIMEOUT_MS, MAX_STALENESS_MS),
        ],
        "services": [
            {"name": name, "maxConns": MAX_CONNECTIONS, "syncReplicas": SYNC_REPLICAS}
            for name in SERVICES
        ],
        "limits": {"maxBodyBytes": 262144, "txIdleMs": 3000},
        "tenants": [
            {"name": f"t-{n}", "apiKeys": [f"key-{n}"], "ratePerS": 400, "burst": 400}
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
