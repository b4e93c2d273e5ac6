"""A host is stopped as planned while its clients are in transactions."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness.client import Session, SessionClosed
from harness.deployment import BOUNDS, KEY, TROUBLE, Deployment, Layout, RouteRow
from harness.running import run_case

CASE = Path(__file__).resolve().parent
LAYOUT = Layout(
    hosts={"host-a1": "za", "host-b1": "zb", "host-c1": "zc"},
    instances={"i-a": "za", "i-b": "zb", "i-c": "zc"},
    routes=(
        RouteRow("booking", "primary", 1000, 200),
        RouteRow("lookup", "bounded", 3000, 800, 1500),
    ),
    promote_s=0.3,
    apply_lag_s=0.02,
)
GRACE_S = BOUNDS["graceS"]
# Time budgets of the two kinds of request, from their first statement.
BUDGET_S = {"booking": 4.0, "lookup": 12.0}
# Longest work of the two kinds in the small site files.
WORK_S = {"booking": 0.08, "lookup": 0.4}
# Excused are requests that were sent earlier and are still at work in the last sixth of the grace.
EXCUSED_IF_SENT_WITHIN_S = 3.0
BOOKINGS = 12
LOOKUPS = 4


async def pause_until(at_s: float) -> None:
    """Wait until a monotonic time."""
    await asyncio.sleep(max(at_s - time.monotonic(), 0.0))


async def book(deployment: Deployment, name: str, stop_s: float, commit_s: float) -> None:
    """Run a transaction of three statements that ends with a COMMIT at a given time.

    :param stop_s: time of the planned stop; the transaction begins 1.7 s later.
    """
    session = Session(deployment.clients, name)
    try:
        await session.open(deployment.hosts["host-a1"].front_port, "booking", KEY)
        await session.send(f"READ {name}")
        await pause_until(stop_s + 1.7)
        await session.send("BEGIN")
        await session.send(f"WRITE {name} first")
        await pause_until(stop_s + 3.4)
        await session.send(f"WRITE {name}-b second")
        await pause_until(commit_s)
        await session.send("COMMIT")
    except SessionClosed:
        return
    finally:
        session.close()


async def look_up(deployment: Deployment, name: str, stop_s: float, last_s: float) -> None:
    """Run a transaction of reads that is open at the stop, with a last read at a given time."""
    session = Session(deployment.clients, name)
    try:
        await session.open(deployment.hosts["host-a1"].front_port, "lookup", KEY)
        await session.send("READ lookup-x")
        await pause_until(stop_s - 0.5)
        await session.send("BEGIN READ")
        for number in range(4):
            await pause_until(stop_s + 1.2 * number)
            await session.send(f"READ lookup-{number}")
        await pause_until(last_s)
        await session.send("READ lookup-last")
        await session.send("COMMIT")
    except SessionClosed:
        return
    finally:
        session.close()


async def run(deployment: Deployment) -> list[str]:
    """Send SIGTERM to one host; its clients go on using their open sessions."""
    for instance in deployment.database.instances.values():
        instance.work_s = lambda text: WORK_S["lookup" if "lookup" in text else "booking"]
    stop_s = time.monotonic() + 2.0
    tasks = [
        asyncio.create_task(
            book(deployment, f"booking-{number}", stop_s, stop_s + 4.9 + 0.03 * number)
        )
        for number in range(BOOKINGS)
    ]
    tasks += [
        asyncio.create_task(
            look_up(deployment, f"lookup-{number}", stop_s, stop_s + 4.7 + 0.1 * number)
        )
        for number in range(LOOKUPS)
    ]
    await pause_until(stop_s)
    stop_s = time.monotonic()
    host = deployment.hosts["host-a1"]
    if TROUBLE:
        host.send_signal(signal.SIGTERM)
        is_ended = await host.wait_until_ended(GRACE_S)
        deployment.note(f"host-a1 ended by itself: {is_ended}")
        if not is_ended:
            host.send_signal(signal.SIGKILL)
    await asyncio.wait(tasks, timeout=15.0)
    await asyncio.sleep(1.0)
    for event in deployment.host_events("host-a1", "stopping", "sessions_closed", "stopped"):
        deployment.note(f"log of host-a1: {event}")
    return find_lost(deployment, stop_s)


def find_lost(deployment: Deployment, stop_s: float) -> list[str]:
    """Return the requests that LOST counts: passed on to an instance and not answered."""
    started_s: dict[str, float] = {}
    broken = []
    for exchange in deployment.clients.exchanges:
        if exchange.text.startswith("BEGIN"):
            started_s[exchange.session] = exchange.sent_s
        if exchange.answer is not None or not exchange.sent_s > stop_s:
            continue
        route = exchange.session.partition("-")[0]
        runs = [r for r in deployment.database.runs if r.request_id == exchange.request_id]
        is_passed_on = bool(runs)
        used_s = exchange.answered_s - started_s.get(exchange.session, exchange.sent_s)
        is_excused = (
            exchange.sent_s - stop_s <= EXCUSED_IF_SENT_WITHIN_S
            or used_s >= BUDGET_S[route]
            or exchange.answered_s - exchange.sent_s >= 1.0
            or exchange.answered_s - stop_s > GRACE_S + 1.0
        )
        line = (
            f"{exchange.request_id} {exchange.text!r} of {exchange.session}, sent "
            f"{exchange.sent_s - stop_s:.3f} s after the SIGTERM, ended "
            f"{exchange.answered_s - stop_s:.3f} s after it without an answer; ran: "
            f"{', '.join(r.instance for r in runs) or 'nowhere'}"
        )
        committed = [c for c in deployment.database.commits if c.request_id == exchange.request_id]
        if committed:
            line += f"; committed at {committed[0].instance}"
        if is_passed_on and not is_excused:
            broken.append(f"LOST: {line}")
        else:
            deployment.note(f"not counted: {line}")
    return broken


if __name__ == "__main__":
    run_case(CASE, LAYOUT, run)
