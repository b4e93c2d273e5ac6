"""A primary turns slow and is replaced while writes are still running there."""

import asyncio
import os
import random
import sys
import tempfile
import traceback
from pathlib import Path
from typing import NamedTuple

from harness3.callers import Caller
from harness3.hosts import Host, settings
from harness3.instances import Entry, Instance, Orders, Service, Work
from harness3.record import Record
from harness3.store import Store

ZONES = ["daegu-north", "daegu-south", "gumi-annex"]
# The clients of the database are in the first zone, so that its two hosts take their sessions.
HOST_ZONES = [ZONES[0], ZONES[0], ZONES[1], ZONES[1], ZONES[2]]
CLIENT_HOSTS = 2
SERVICES = ["core-1", "core-2", "core-3"]
DATABASE = "catalogue"
KEY = "key-0"
# As on the sheet and in the site file of gmsau-jingle: slots, connections, lag and time of a
# promotion; timeout and work of the route with the longest statements.
SLOTS = 5
MAX_CONNECTIONS = 50
LAG_S = 0.02
PROMOTE_S = 0.3
TIMEOUT_MS = 3000
WORK = Work(0.055, 0.7, 0.41)
# The largest dose of slow instances in the site files, and how long they stay slow.
SLOW_FACTOR = 7.5
SLOW_S = 6.5
WRITERS = 26
REST_S = 0.8
# After a promotion the old primary stays slow until it has stepped down.
SETTLE_S = 0.8
LAST_ROUND_S = 104.0
START_TIMEOUT_S = 12.0


class _Commit(NamedTuple):
    instance: str
    at_s: float
    is_leader: bool


class Scenario:
    """One run.

    :param folder: temporary folder.
    :param has_trouble: whether primaries turn slow.
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
        self._service = self._services[SERVICES[0]]
        self._service.on_commit = self._note_commit
        self._orders = Orders(self._services, self._record)
        self._hosts: list[Host] = []
        self._commits: dict[str, _Commit] = {}
        self._broken: list[str] = []
        self._answers = {"done": 0, "not done": 0}
        self._is_ended = False

    async def run(self) -> int:
        """Play the scenario; return the exit status."""
        try:
            await self._start()
            if not await self._wait_ready():
                self._record.write("not_ready")
                return 2
            writers = [asyncio.ensure_future(self._write(number)) for number in range(WRITERS)]
            await self._play()
            self._is_ended = True
            await asyncio.gather(*writers)
        finally:
            for host in self._hosts:
                await host.stop()
            self._record.write("end", broken=len(self._broken), **self._answers)
            self._record.close()
        if not self._answers["done"]:
            return 2
        return 1 if self._broken else 0

    async def _start(self) -> None:
        await self._store.start()
        await self._orders.start()
        self._store.write("op/config", _configuration())
        for service in self._services.values():
            await service.start(ZONES)
        for number, zone in enumerate(HOST_ZONES):
            name = f"front-{zone}-{HOST_ZONES[:number].count(zone) + 1}"
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

    async def _play(self) -> None:
        while not self._broken and self._record.now_s() < LAST_ROUND_S:
            await asyncio.sleep(REST_S)
            primary = self._service.leader
            if self._has_trouble:
                primary.slow_factor = SLOW_FACTOR
                self._record.write("slow", instance=primary.id, factor=SLOW_FACTOR)
            until_s = self._record.now_s() + SLOW_S
            while self._service.leader is primary and self._record.now_s() < until_s:
                await asyncio.sleep(0.05)
            await asyncio.sleep(max(min(SETTLE_S, until_s - self._record.now_s()), 0.0))
            primary.slow_factor = 1.0
            self._record.write("no_longer_slow", instance=primary.id)

    async def _write(self, number: int) -> None:
        """Write again and again in one session."""
        pause = random.Random(number)
        host = self._hosts[number % CLIENT_HOSTS]
        caller: Caller | None = None
        while not self._is_ended:
            try:
                if caller is None:
                    caller = Caller(host.callers_address, DATABASE, KEY)
                    await caller.open()
                request_id = caller.new_id()
                self._record.write("sent", id=request_id, writer=number)
                answer = await caller.send(request_id, f"WRITE w{number} {request_id}")
                self._note_answer(request_id, answer.error or "done")
            except (OSError, TimeoutError) as error:
                self._record.write("session_ended", writer=number, cause=repr(error))
                caller = None
            await asyncio.sleep(pause.uniform(0.2, 0.6))
        if caller is not None:
            caller.close()

    def _note_commit(self, instance: Instance, entry: Entry, is_leader: bool) -> None:
        at_s = self._record.now_s()
        self._commits[entry.request_id] = _Commit(instance.id, at_s, is_leader)
        self._record.write(
            "commit",
            id=entry.request_id,
            instance=instance.id,
            position=f"{entry.term}.{entry.number}",
            is_leader=is_leader,
        )

    def _note_answer(self, request_id: str, outcome: str) -> None:
        self._answers["done" if outcome == "done" else "not done"] += 1
        self._record.write("answer", id=request_id, outcome=outcome)
        commit = self._commits.get(request_id)
        if outcome != "done" or commit is None or commit.is_leader:
            return
        is_kept = any(e.request_id == request_id for e in self._service.leader.log)
        self._broken.append(request_id)
        self._record.write(
            "ONE",
            id=request_id,
            what="acknowledged, though committed at the old primary after the promote",
            instance=commit.instance,
            committed_at_s=round(commit.at_s, 4),
            is_in_log_of_primary=is_kept,
        )


def _configuration() -> dict:
    return {
        "version": 3,
        "routes": [
            {
                "name": "r-1",
                "host": DATABASE,
                "prefix": "/",
                "kind": "primary",
                "timeoutMs": TIMEOUT_MS,
                "targetLatencyMs": 800,
                "priority": 1,
                "service": SERVICES[0],
                "public": False,
            }
        ],
        "services": [
            {"name": name, "maxConns": MAX_CONNECTIONS, "syncReplicas": 0} for name in SERVICES
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
