"""A zone is cut off, and machines are added to the other zones meanwhile."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness.client import Session, SessionClosed
from harness.deployment import KEY, TROUBLE, Deployment, Host, Layout, RouteRow
from harness.running import run_case

CASE = Path(__file__).resolve().parent
ROUTE = "booking"
LAYOUT = Layout(
    hosts={"host-a1": "za", "host-a2": "za", "host-a3": "za", "host-b1": "zb", "host-c1": "zc"},
    instances={"i-a": "za", "i-b": "zb", "i-c": "zc"},
    routes=(RouteRow(ROUTE, "primary", 1000, 200),),
    promote_s=0.3,
    apply_lag_s=0.02,
)
ADDED = {"host-b2": "zb", "host-c2": "zc"}
# The longest zone_cut of the small site files.
CUT_S = 5.5
# Time from the cut to the start of the added machines.
ADDED_AFTER_S = 0.5
CLIENTS_PER_HOST = 2
PAUSE_S = 0.05


async def run_client(deployment: Deployment, host: Host, name: str) -> None:
    """Write and read one item after the other, in sessions with one host."""
    generator = random.Random(name)
    number = 0
    while True:
        session = Session(deployment.clients, name)
        try:
            await session.open(host.front_port, ROUTE, KEY)
            while True:
                number += 1
                item = f"i{generator.randrange(8)}"
                is_write = generator.random() < 0.3
                await session.send(f"WRITE {item} {name}-{number}" if is_write else f"READ {item}")
                await asyncio.sleep(PAUSE_S)
        except SessionClosed:
            await asyncio.sleep(0.2)
        finally:
            session.close()


async def run(deployment: Deployment) -> list[str]:
    """Cut zone a off for some seconds while machines are added to zones b and c."""
    tasks: list[asyncio.Task] = []

    def start_clients(host: Host) -> None:
        for number in range(CLIENTS_PER_HOST):
            name = f"client-{host.name}-{number}"
            tasks.append(asyncio.create_task(run_client(deployment, host, name)))

    for host in tuple(deployment.hosts.values()):
        start_clients(host)
    await asyncio.sleep(3.0)
    cut_s = time.monotonic()
    if TROUBLE:
        deployment.cut("za")
    await asyncio.sleep(ADDED_AFTER_S)
    for name, zone in ADDED.items():
        start_clients(await deployment.add_host(name, zone))
    await asyncio.sleep(cut_s + CUT_S - time.monotonic())
    if TROUBLE:
        deployment.cut()
    await asyncio.sleep(4.0)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for name in deployment.hosts:
        for event in deployment.host_events(name, "switch_begun", "switch_done", "hosts_not_gated"):
            deployment.note(f"log of {name}: {event}")
    for line in find_stale_reads(deployment):
        deployment.note(line)
    return find_late_commits(deployment)


def find_late_commits(deployment: Deployment) -> list[str]:
    """Return the acknowledged commits at an instance after another one had taken over."""
    acknowledged = {
        exchange.request_id: exchange
        for exchange in deployment.clients.exchanges
        if exchange.answer is not None and not exchange.answer.error
    }
    return [
        f"ONE: {commit.request_id} of {acknowledged[commit.request_id].session} was committed at "
        f"{commit.instance} at {deployment.at(commit.committed_s)} and acknowledged, after "
        f"{deployment.database.primary.name} had taken over"
        for commit in deployment.database.commits
        if commit.is_late and commit.request_id in acknowledged
    ]


def find_stale_reads(deployment: Deployment) -> list[str]:
    """Return the reads on a log without a commit that was acknowledged before they were sent.

    Commits that a promotion rolled back don't count: only those that the last primary has.
    """
    kept = {commit.request_id for commit in deployment.database.primary.log}
    acknowledged = sorted(
        (exchange.answered_s, exchange.request_id)
        for exchange in deployment.clients.exchanges
        if exchange.text.startswith("WRITE")
        and exchange.answer is not None
        and not exchange.answer.error
        and exchange.request_id in kept
    )
    sent = {exchange.request_id: exchange for exchange in deployment.clients.exchanges}
    broken = []
    for run in deployment.database.runs:
        exchange = sent.get(run.request_id)
        if exchange is None or not run.text.startswith("READ"):
            continue
        log = set(run.log)
        missing = [
            request_id
            for answered_s, request_id in acknowledged
            if answered_s < exchange.sent_s and request_id not in log
        ]
        if missing:
            broken.append(
                f"STALE: {run.request_id} of {exchange.session}, sent at "
                f"{deployment.at(exchange.sent_s)}, ran at {run.instance}, whose log lacked "
                f"{len(missing)} acknowledged commits, the first {missing[0]}"
            )
    return broken


if __name__ == "__main__":
    run_case(CASE, LAYOUT, run)
