"""A partition moves to the zone of the promoter and of the instance that it has just ordered."""

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness2.database import Service
from harness2.line_client import LineClient, SessionEnded
from harness2.network import ZonedSite
from harness2.processes import BOUNDS
from harness2.record import Record
from harness2.site import DATABASES, KEYS, SERVICE, configuration_body
from harness2.store import Store

FOLDER = Path(__file__).resolve().parent
# A run that takes longer ends its processes and counts as one that could not run.
LIMIT_S = 112.0
# The first zone has the primary; the hosts' names make one of the second zone the promoter.
ZONES = ("cluj-a", "cluj-b", "turda-c")
NAMES = {zone: [f"front-{zone}-{number}" for number in (1, 2, 3)] for zone in ZONES}
# Time from the promotion order to the move of the partition. The promotion takes 1 s.
MOVE_AFTER_S = 0.4
FIRST_CUT_LIMIT_S = 5.0
SECOND_CUT_S = 5.0
SETTLE_S = 5.0
OPERATION_INTERVAL_S = 0.05
CALLERS = 6


class Acknowledged(NamedTuple):
    """A write that was answered with success.

    :param host: the host that took it.
    """

    request_id: str
    sent_s: float
    answered_s: float
    host: str


class Caller:
    """Writes on the primary's database, and goes to the next host after an error.

    :param acknowledged: receives each write that was answered with success.
    """

    def __init__(
        self, site: ZonedSite, number: int, acknowledged: list[Acknowledged], record: Record
    ) -> None:
        """Create a caller; :meth:`run` starts it."""
        self._hosts = list(site.hosts.values())
        self._number, self._acknowledged, self._record = number, acknowledged, record
        self._client: LineClient | None = None
        self._turn = number

    async def run(self) -> None:
        """Send writes until cancelled."""
        count = 0
        while True:
            count += 1
            request_id = f"w{self._number}n{count}"
            host = self._hosts[self._turn % len(self._hosts)]
            sent_s = time.monotonic()
            try:
                if self._client is None:
                    self._client = LineClient()
                    key = KEYS[f"tenant{self._number}"]
                    database = DATABASES["primary"]
                    await self._client.open(host.ip, host.front_port, database, key)
                answer = await self._client.send(request_id, f"WRITE k{self._number} v{count}")
            except SessionEnded as error:
                self._record.write(f"{host.name} {request_id}: {error}")
                self._leave()
            else:
                self._record.write(f"{host.name} {request_id}: {answer.summary}")
                if answer.error:
                    self._leave()
                else:
                    self._acknowledged.append(
                        Acknowledged(request_id, sent_s, time.monotonic(), host.name)
                    )
            await asyncio.sleep(OPERATION_INTERVAL_S)

    def _leave(self) -> None:
        self._client.close()
        self._client = None
        self._turn += 1


def broken_writes(site: ZonedSite, acknowledged: list[Acknowledged]) -> list[str]:
    """Return what breaks RULES.md, "ONE": acknowledged commits at an old primary.

    Left out are writes of senders whose zone was cut off within ``thawSlackMs``.
    """
    answers = {write.request_id: write for write in acknowledged}
    found = []
    for at_s, instance, entry in site.service.commits:
        write = answers.get(entry.commit_id)
        newer = [name for since_s, name in site.service.promoted if since_s < at_s]
        if write is None or not newer or newer[-1] == instance:
            continue
        if site.was_cut(site.zones[write.host], at_s, BOUNDS["thawSlackMs"] / 1000.0):
            continue
        found.append(
            f"{entry.commit_id} by {write.host}, committed at {instance} after {newer[-1]}"
        )
    return found


async def move_partition(site: ZonedSite, record: Record) -> None:
    """Cut the primary's zone off, and then that of the promoter and the ordered instance.

    :raises RuntimeError: if nothing was ordered, or the two are not in one zone.
    """
    site.cut(ZONES[0])
    record.write(f"{ZONES[0]} is cut off, with the primary {site.service.primary.name}")
    start_s = time.monotonic()
    while not site.platform.orders:
        await asyncio.sleep(0.01)
        if time.monotonic() - start_s > FIRST_CUT_LIMIT_S:
            raise RuntimeError("no promotion was ordered")
    order = site.platform.orders[0]
    record.write(f"ordered: {order}")
    zone = site.zones[order.holder]
    if site.service.instances[order.instance].zone != zone:
        raise RuntimeError(f"{order.holder} has ordered an instance of another zone")
    await asyncio.sleep(MOVE_AFTER_S)
    site.heal(ZONES[0])
    site.cut(zone)
    record.write(f"{ZONES[0]} is back, {zone} is cut off")
    await asyncio.sleep(SECOND_CUT_S)
    site.heal(zone)
    record.write(f"{zone} is back")


async def run_site(site: ZonedSite, record: Record, is_troubled: bool) -> int:
    """Run callers and the partition; return the exit status."""
    acknowledged: list[Acknowledged] = []
    callers = [Caller(site, number, acknowledged, record) for number in range(CALLERS)]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    try:
        await asyncio.sleep(5.0)
        if is_troubled:
            await move_partition(site, record)
        await asyncio.sleep(SETTLE_S)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for at_s, name in site.service.promoted:
        record.write(f"promoted: {name} at {at_s:.3f}")
    for order in site.platform.orders:
        record.write(f"order: {order}")
    kept = {entry.commit_id for entry in site.service.primary.log}
    lost = [write.request_id for write in acknowledged if write.request_id not in kept]
    found = broken_writes(site, acknowledged)
    for text in found:
        record.write(f"ONE: {text}")
    record.write(f"{len(acknowledged)} writes were acknowledged, {len(lost)} of them are lost")
    record.write(f"{len(found)} were committed at an old primary and acknowledged")
    if not acknowledged:
        raise RuntimeError("no write was acknowledged")
    record.write("rule ONE broken" if found else "rule ONE held")
    return 1 if found else 0


async def main() -> int:
    """Run the scenario; return the exit status."""
    is_troubled = os.environ.get("TROUBLE") != "0"
    record = Record(FOLDER)
    with tempfile.TemporaryDirectory() as folder:
        store = Store()
        service = Service(store, SERVICE, "127.0.0.1", ZONES)
        site = ZonedSite(Path(folder), store, service, NAMES)
        store.put("op/config", configuration_body(1, service.max_connections))
        try:
            await site.start()
            return await run_site(site, record, is_troubled)
        finally:
            await site.stop()


if __name__ == "__main__":
    try:
        status = asyncio.run(asyncio.wait_for(main(), LIMIT_S))
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        status = 2
    sys.exit(status)
