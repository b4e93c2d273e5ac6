"""Measures what heartbeats cost each host at several site sizes, over sockets on loopback.

All hosts of a site run in this process, so its processor time and memory are divided by the
number of hosts. Run ``python -m pistachiowinch.measure.control_cost``.
"""

import asyncio
import resource
import time
from collections.abc import Sequence
from typing import Annotated, NamedTuple

import numpy
import typer

from pistachiowinch.base.clock import sleep_s
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.peering.membership import Membership
from pistachiowinch.peering.messages import AnnouncedPrimary, LocalState
from pistachiowinch.peering.pynng_link import PynngPeerLink

__all__ = ["ControlCost", "fit_slope", "measure_control_cost"]

SITE_SIZES = (3, 5, 7, 9, 16)
WARM_UP_S = 2.0
LOCAL_STATE = LocalState(
    roster_epoch=12,
    config_version=3456,
    store_age_ms=123,
    suspected_targets=(),
    primaries={
        f"service-{number}": AnnouncedPrimary(167772161 + number, f"target-{number}")
        for number in range(1, 4)
    },
)


class ControlCost(NamedTuple):
    """Cost per host.

    :param hosts: number of hosts in the site.
    :param bytes_per_s: encoded bytes sent.
    :param messages_per_s: messages sent.
    :param core_part: processor time of all threads as a fraction of one core.
    :param growth_kb: growth of resident memory since before the site was started.
    """

    hosts: int
    bytes_per_s: float
    messages_per_s: float
    core_part: float
    growth_kb: float


def fit_slope(costs: Sequence[ControlCost], field: str) -> float:
    """Fit a line to a cost as a function of the number of hosts.

    :param costs: costs at two or more sizes.
    :param field: name of a field of :class:`ControlCost`.
    :returns: growth of the cost per added host.
    """
    sizes = [cost.hosts for cost in costs]
    values = [getattr(cost, field) for cost in costs]
    return float(numpy.polyfit(sizes, values, 1)[0])


def _resident_kb() -> float:
    with open("/proc/self/statm", encoding="ascii") as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize() / 1024.0


def _sent_totals(metrics: Sequence[Metrics]) -> tuple[float, float]:
    sent_bytes = sent_messages = 0.0
    for host_metrics in metrics:
        for metric in host_metrics.registry.collect():
            for sample in metric.samples:
                if sample.labels.get("direction") != "sent":
                    continue
                if sample.name == "pistachiowinch_peer_bytes_total":
                    sent_bytes += sample.value
                elif sample.name == "pistachiowinch_peer_messages_total":
                    sent_messages += sample.value
    return sent_bytes, sent_messages


async def _measure(hosts: int, duration_s: float) -> ControlCost:
    before_kb = _resident_kb()
    metrics = [Metrics() for _ in range(hosts)]
    names = [f"host-{number}" for number in range(1, hosts + 1)]
    links = [
        PynngPeerLink(name, "tcp://127.0.0.1:0", one)
        for name, one in zip(names, metrics, strict=True)
    ]
    identities = [
        HostIdentity(link.host, 40 + index, "zone-a", await link.start())
        for index, link in enumerate(links)
    ]
    members = [
        Membership(identity, link, lambda: LOCAL_STATE, metrics=one)
        for identity, link, one in zip(identities, links, metrics, strict=True)
    ]
    for member in members:
        member.set_members(identities)
    tasks = [asyncio.ensure_future(member.run()) for member in members]
    await sleep_s(WARM_UP_S)
    started_s, started_cpu_s = time.perf_counter(), time.process_time()
    started_bytes, started_messages = _sent_totals(metrics)
    await sleep_s(duration_s)
    cpu_s = time.process_time() - started_cpu_s
    elapsed_s = time.perf_counter() - started_s
    sent_bytes, sent_messages = _sent_totals(metrics)
    after_kb = _resident_kb()
    is_complete = all(len(member.contacts(1.0)) == hosts for member in members)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.gather(*(link.stop() for link in links))
    if not is_complete:
        raise RuntimeError(f"not all {hosts} hosts were in contact; the measurement is invalid")
    return ControlCost(
        hosts=hosts,
        bytes_per_s=(sent_bytes - started_bytes) / elapsed_s / hosts,
        messages_per_s=(sent_messages - started_messages) / elapsed_s / hosts,
        core_part=cpu_s / elapsed_s / hosts,
        growth_kb=(after_kb - before_kb) / hosts,
    )


def measure_control_cost(hosts: int, duration_s: float = 10.0) -> ControlCost:
    """Run a site on loopback in real time.

    The run has no seed, because nothing in it is random. Processor time depends on the machine.

    :param hosts: number of hosts in the site.
    :param duration_s: duration of the measurement.
    """
    return asyncio.run(_measure(hosts, duration_s))


def main(
    duration_s: Annotated[float, typer.Option(help="Measured seconds of each size.")] = 10.0,
) -> None:
    """Print the cost of a host for each size and the slopes over the size."""
    costs = []
    for hosts in SITE_SIZES:
        cost = measure_control_cost(hosts, duration_s)
        costs.append(cost)
        typer.echo(
            f"{cost.hosts:3} hosts: {cost.bytes_per_s:7.0f} bytes/s, "
            f"{cost.messages_per_s:5.1f} messages/s, {100.0 * cost.core_part:.3f}% of a core, "
            f"{cost.growth_kb:.0f} KB grown"
        )
    typer.echo(
        f"slopes for each host: {fit_slope(costs, 'bytes_per_s'):.0f} bytes/s, "
        f"{fit_slope(costs, 'messages_per_s'):.2f} messages/s, "
        f"{100.0 * fit_slope(costs, 'core_part'):.4f}% of a core"
    )


if __name__ == "__main__":
    typer.run(main)
