"""Measures how costs grow with size, for the estimates in docs/CAPACITY.md.

Each slope is fitted to four sizes. Memory is what tracemalloc reports; processor time depends on
the machine.
"""

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple

import msgspec
import numpy
from returns.result import Success

from pistachiowinch.base.clock import sleep_s
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.groups.tracker import GroupTracker
from pistachiowinch.limits.rates import RateEscrow, RateLimit
from pistachiowinch.links.targets import TargetLink
from pistachiowinch.routing.session import Session
from pistachiowinch.standins.database_group import FakeDatabaseGroup
from pistachiowinch.standins.mysql_server import Login, MysqlTargetServer
from pistachiowinch.standins.peer_network import PeerNetwork
from pistachiowinch.targets.group import SqlGroupLink
from pistachiowinch.targets.link import MysqlTargetLink, TargetAddress, TargetCredentials

__all__ = ["Point", "Slope", "format_slope", "measure_slopes"]

_SERVICE_COUNTS = (1, 2, 4, 8)
_CUSTOMER_COUNTS = (250, 500, 1000, 2000)
_SESSION_COUNTS = (1000, 2000, 4000, 8000)
_DOCUMENT_SERVICE_COUNTS = (250, 500, 1000, 2000)
_PROBE_RUN_S = 5.0
_LOGIN = Login("pistachiowinch", "capacity")


class Point(NamedTuple):
    """Value measured at one size."""

    size: int
    value: float


class Slope(NamedTuple):
    """Least-squares line through the points.

    :param per_unit: growth per unit of size.
    :param intercept: value at size 0.
    """

    name: str
    unit: str
    points: tuple[Point, ...]
    per_unit: float
    intercept: float


def _fit(name: str, unit: str, points: Sequence[Point]) -> Slope:
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    per_unit, intercept = numpy.polyfit(sizes, values, 1)
    return Slope(name, unit, tuple(points), float(per_unit), float(intercept))


def format_slope(slope: Slope) -> str:
    """Return a slope and its points as one line of text."""
    points = ", ".join(f"{point.size}: {point.value:.4g}" for point in slope.points)
    return f"{slope.name}: {slope.per_unit:.4g} {slope.unit} + {slope.intercept:.4g} ({points})"


async def _probe_core_fraction(services: int) -> float:
    """Return the fraction of a core that trackers and their servers on loopback use."""
    groups = [
        FakeDatabaseGroup(f"s{number}", [f"s{number}-{index}" for index in range(3)])
        for number in range(services)
    ]
    views = [group.view("host") for group in groups]
    servers = [
        MysqlTargetServer(view, view, tuple(group.targets), _LOGIN)
        for group, view in zip(groups, views, strict=True)
    ]
    for server in servers:
        await server.start("127.0.0.1")
    trackers = []
    links = []
    for group, server in zip(groups, servers, strict=True):
        link = MysqlTargetLink(
            lambda target, server=server: TargetAddress("127.0.0.1", server.port_of(target)),
            TargetCredentials(*_LOGIN),
            "",
        )
        links.append(SqlGroupLink(link))
        trackers.append(GroupTracker(group.service, list(group.targets), links[-1]))
    tasks = [asyncio.ensure_future(tracker.run()) for tracker in trackers]
    await sleep_s(1.0)
    started_s, started_cpu_s = time.perf_counter(), time.process_time()
    await sleep_s(_PROBE_RUN_S)
    core_fraction = (time.process_time() - started_cpu_s) / (time.perf_counter() - started_s)
    if any(tracker.primary is None for tracker in trackers):
        raise RuntimeError("a tracker found no primary; the measurement is invalid")
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for link in links:
        await link.close()
    for server in servers:
        await server.stop()
    for group in groups:
        await group.close()
    return core_fraction


async def _traced_kb(build: Callable[[], Awaitable[Any]]) -> float:
    gc.collect()
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    built = await build()
    gc.collect()
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return (after_bytes - before_bytes) / 1024


async def _rates_kb(customers: int) -> float:
    link = PeerNetwork().link("host-1", Metrics())

    async def build() -> Any:
        rates = RateEscrow("host-1", link, Metrics())
        rates.set_limits({f"customer-{n}": RateLimit(10.0, 10.0) for n in range(customers)})
        rates.set_share(1.0)
        await sleep_s(1.0)
        for number in range(customers):
            taken = await rates.acquire(f"customer-{number}", 1e9)
            if not isinstance(taken, Success):
                raise RuntimeError("a token request was refused; the measurement is invalid")
        return rates

    return await _traced_kb(build)


async def _trackers_kb(services: int) -> float:
    groups = [
        FakeDatabaseGroup(f"s{number}", [f"s{number}-{index}" for index in range(3)])
        for number in range(services)
    ]

    async def build() -> Any:
        trackers = []
        for group in groups:
            view: TargetLink = group.view("host")
            tracker = GroupTracker(group.service, list(group.targets), view)
            await tracker.refresh(list(group.targets))
            trackers.append(tracker)
        return trackers

    found_kb = await _traced_kb(build)
    for group in groups:
        await group.close()
    return found_kb


async def _sessions_kb(sessions: int) -> float:
    async def build() -> Any:
        return [Session(f"key-{n}", "customer", "service") for n in range(sessions)]

    return await _traced_kb(build)


async def _document_kb(services: int) -> float:
    entry = {
        "is_open": False,
        "ledger": "always",
        "targets": {
            f"target-{index}": {
                "address": "10.200.100.100",
                "port": 3306,
                "availability_zone": "zone-a",
                "slots": 5,
                "connections": 30,
                "state": "in",
            }
            for index in range(3)
        },
    }
    return len(msgspec.json.encode({f"service-{n:06}": entry for n in range(services)})) / 1024


async def _measure_points(
    sizes: Sequence[int], measure: Callable[[int], Awaitable[float]]
) -> list[Point]:
    return [Point(size, await measure(size)) for size in sizes]


async def measure_slopes() -> list[Slope]:
    """Measure all slopes in real time."""

    async def probe_percent(services: int) -> float:
        return 100.0 * await _probe_core_fraction(services)

    return [
        _fit(
            "status probes, client and server",
            "% of a core for each service",
            await _measure_points(_SERVICE_COUNTS, probe_percent),
        ),
        _fit(
            "tracker memory",
            "KB for each service of 3 targets",
            await _measure_points(_SERVICE_COUNTS, _trackers_kb),
        ),
        _fit(
            "rate escrow memory",
            "KB for each customer",
            await _measure_points(_CUSTOMER_COUNTS, _rates_kb),
        ),
        _fit(
            "session memory",
            "KB for each session without its connection",
            await _measure_points(_SESSION_COUNTS, _sessions_kb),
        ),
        _fit(
            "configuration document",
            "KB of JSON for each service of 3 targets",
            await _measure_points(_DOCUMENT_SERVICE_COUNTS, _document_kb),
        ),
    ]
