"""Two clients of one tenant prepare different statements whose hashes are equal."""

import asyncio
import os
import sys
import tempfile
import traceback
from pathlib import Path

from harness3.callers import Caller
from harness3.hosts import Host, settings
from harness3.instances import Instance, Orders, Service, Work
from harness3.record import Record
from harness3.store import Store

ZONES = ["daegu-north", "daegu-south", "gumi-annex"]
SERVICE = "core-1"
DATABASE = "catalogue"
KEY = "key-0"
# As on the sheet of gmsau-jingle.
SLOTS = 5
MAX_CONNECTIONS = 50
LAG_S = 0.02
PROMOTE_S = 0.3
WORK = Work(0.033, 0.7, 0.082)
SHAPE = "select amount from deposits where depot = ? and day between ? and ? order by day"
# Has the same xxh64 as the first one. It was found in 3,658 attempts: the hash reads lanes of eight
# bytes, so that a change of one lane can be undone by one of the next stripe's lane.
COLLIDING_SHAPE = "yupw5yxpmount from deposits wherp.t{98~C= ? and day between ? and ? order by day"
OTHER_SHAPE = "select number from deposits where depot = ? and day between ? and ? order by day"
STATEMENTS = 40
START_TIMEOUT_S = 12.0


class Scenario:
    """One run.

    :param folder: temporary folder.
    :param has_trouble: whether the second client's statement has the hash of the first one's.
    """

    def __init__(self, folder: Path, has_trouble: bool) -> None:
        """Create all parts; :meth:`run` starts them."""
        self._folder = folder
        self._shapes = (SHAPE, COLLIDING_SHAPE if has_trouble else OTHER_SHAPE)
        self._record = Record(Path(__file__).with_name("record.txt"))
        self._store = Store()
        self._service = Service(
            SERVICE, self._store, self._record, WORK, SLOTS, MAX_CONNECTIONS, LAG_S, PROMOTE_S
        )
        self._service.on_execute = self._check
        self._orders = Orders({SERVICE: self._service}, self._record)
        self._hosts: list[Host] = []
        self._expected: dict[str, str] = {}
        self._answers = 0
        self._broken = 0

    async def run(self) -> int:
        """Play the scenario; return the exit status."""
        try:
            await self._start()
            if not await self._wait_ready():
                self._record.write("not_ready")
                return 2
            await asyncio.gather(*(self._execute(number) for number in range(len(self._shapes))))
        finally:
            for host in self._hosts:
                await host.stop()
            self._record.write("end", broken=self._broken, answers=self._answers)
            self._record.close()
        if not self._answers:
            return 2
        return 1 if self._broken else 0

    async def _start(self) -> None:
        await self._store.start()
        await self._orders.start()
        self._store.write("op/config", _configuration())
        await self._service.start(ZONES)
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
                return True
            await asyncio.sleep(0.2)
        return False

    async def _execute(self, number: int) -> None:
        """Prepare a statement in a session of its own, and execute it."""
        shape = self._shapes[number]
        caller = Caller(self._hosts[0].callers_address, DATABASE, KEY)
        await caller.open()
        prepared = await caller.send(caller.new_id(), f"PREPARE s1 READ {shape}")
        self._record.write("prepared", client=number, shape=shape, error=prepared.error)
        for _ in range(STATEMENTS):
            request_id = caller.new_id()
            self._expected[request_id] = shape
            self._record.write("sent", id=request_id, client=number)
            answer = await caller.send(request_id, "EXECUTE s1 7")
            self._answers += not answer.error
            self._record.write("answer", id=request_id, error=answer.error)
            await asyncio.sleep(0.1)
        caller.close()

    def _check(self, instance: Instance, request_id: str, shape: str) -> None:
        is_right = self._expected.get(request_id) == shape
        event = "ran" if is_right else "PINNED"
        self._record.write(event, id=request_id, instance=instance.id, shape=shape)
        self._broken += not is_right


def _configuration() -> dict:
    return {
        "version": 3,
        "routes": [
            {
                "name": "r-1",
                "host": DATABASE,
                "prefix": "/",
                "kind": "primary",
                "timeoutMs": 1000,
                "targetLatencyMs": 200,
                "priority": 1,
                "service": SERVICE,
                "public": False,
            }
        ],
        "services": [{"name": SERVICE, "maxConns": MAX_CONNECTIONS, "syncReplicas": 0}],
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
