"""Measures how fast operators' changes take effect and how many requests they interrupt.

The changes are a zone taken out, a target removed, a key withdrawn and a planned stop of a host.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Annotated, NamedTuple

import typer

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.measure.caller import Caller, Event, Outcome, spread_callers
from pistachiowinch.measure.deployment import DEPLOYMENTS, Deployment
from pistachiowinch.measure.simulated_clock import run_with_simulated_clock
from pistachiowinch.measure.site import MeasuredSite, SentStatement

__all__ = ["ChangeFigures", "measure_changes"]

_CALLERS = 24
_THINK_S = 0.05
_WRITE_SHARE = 0.3
_TRANSACTION_SHARE = 0.1
_BEFORE_CHANGE_S = 3.0
_AFTER_CHANGE_S = 8.0


class ChangeFigures(NamedTuple):
    """Figures of one change.

    :param in_force_s: time until every host used the new version; 0 if a host was stopped.
    :param last_new_work_s: time from the change's acceptance to the last statement that was sent
        for or by what was taken out.
    :param cut: requests whose outcome was unknown or that failed at the target.
    :param refused: requests that were not run, during and after the change.
    :param level: requests answered per second after the change, relative to the rate before it.
    """

    deployment: str
    seed: int
    change: str
    in_force_s: float
    last_new_work_s: float
    cut: int
    refused: int
    level: float


class _Run:
    """A site under load, during which one change is made."""

    def __init__(self, site: MeasuredSite) -> None:
        self.site = site
        self.history: list[Event] = []
        self.changed_s = 0.0
        self.version = 0
        self.callers = spread_callers(Caller, site, _CALLERS, self.history)

    async def run_caller(self, caller: Caller) -> None:
        """Send requests until cancelled; connect to ready hosts only, as the load balancer does."""
        site = self.site
        while True:
            await sleep_s(site.random.expovariate(1 / _THINK_S))
            ready = [name for name, host in site.hosts.items() if not host.unready_reasons]
            host = site.random.choice(sorted(ready)) if site.random.random() < 0.1 else None
            if caller.is_disconnected or caller.host not in ready:
                host = site.random.choice(sorted(ready))
            draw = site.random.random()
            if draw < _TRANSACTION_SHARE:
                await caller.write_transaction(host)
            elif draw < _TRANSACTION_SHARE + _WRITE_SHARE:
                await caller.write(host)
            else:
                await caller.read(host)

    async def patch(self, changes: list) -> None:
        """Submit a patch and record its version and the time of its acceptance."""
        self.version = await self.site.patch(changes)
        self.changed_s = now_s()


# Makes a change and returns a filter for the statements that must cease because of it.
_Change = Callable[[_Run], Awaitable[Callable[[SentStatement], bool]]]


async def _take_zone_out(run: _Run) -> Callable[[SentStatement], bool]:
    site = run.site
    zone = site.deployment.zone_names[0]
    hosts = {
        name for name, host in site.hosts.items() if host.settings.host.availability_zone == zone
    }
    targets = {
        target
        for service in site.deployment.service_names
        for index, target in enumerate(site.deployment.target_names(service))
        if site.deployment.zone_of(index) == zone
    }
    await run.patch([(["availability_zones", zone], {"state": "out"})])
    return lambda sent: sent.host in hosts or sent.target in targets


async def _remove_target(run: _Run) -> Callable[[SentStatement], bool]:
    site = run.site
    service = site.deployment.service_names[0]
    target = site.primary(service)
    await run.patch([(["services", service, "targets", target, "state"], "leaving")])
    return lambda sent: sent.target == target


async def _withdraw_key(run: _Run) -> Callable[[SentStatement], bool]:
    customer = run.site.deployment.customer_names[0]
    names = {caller.name for caller in run.callers if caller.customer == customer}
    await run.patch([(["keys", f"{customer}-key"], None)])
    return lambda sent: any(f"'{name}'" in sent.text for name in names)


async def _stop_host(run: _Run) -> Callable[[SentStatement], bool]:
    name = run.site.deployment.host_names[0]
    run.changed_s = now_s()
    host = run.site.hosts[name]
    await host.stop()
    run.site.hosts.pop(name)
    return lambda sent: sent.host == name


CHANGES: dict[str, _Change] = {
    "zone taken out": _take_zone_out,
    "target leaves": _remove_target,
    "key withdrawn": _withdraw_key,
    "host stopped": _stop_host,
}


def _is_caller_statement(sent: SentStatement) -> bool:
    return "records" in sent.text


async def _measure(deployment: Deployment, seed: int, change: str) -> ChangeFigures:
    site = await MeasuredSite(deployment, seed).start()
    run = _Run(site)
    tasks = [asyncio.ensure_future(run.run_caller(caller)) for caller in run.callers]
    await sleep_s(_BEFORE_CHANGE_S)
    started_s = now_s()
    change_task = asyncio.ensure_future(CHANGES[change](run))
    is_affected = await change_task
    in_force_s = 0.0
    if run.version:
        await site.until(lambda: site.in_force(run.version))
        in_force_s = now_s() - run.changed_s
    await sleep_s(_AFTER_CHANGE_S)
    ended_s = now_s()
    for task in tasks:
        task.cancel()
    for result in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(result, Exception):
            raise result
    work = [sent.sent_s for sent in site.sent if _is_caller_statement(sent) and is_affected(sent)]
    last_new_work_s = max([0.0, *(sent_s - run.changed_s for sent_s in work)])
    during = [event for event in run.history if event.ended_s >= started_s]
    answered = [event for event in run.history if event.outcome is Outcome.DONE]
    before = sum(event.ended_s < started_s for event in answered) / _BEFORE_CHANGE_S
    settled_s = ended_s - _AFTER_CHANGE_S / 2
    after = sum(event.ended_s >= settled_s for event in answered) / (_AFTER_CHANGE_S / 2)
    figures = ChangeFigures(
        deployment.name,
        seed,
        change,
        round(in_force_s, 3),
        round(last_new_work_s, 3),
        sum(event.outcome in (Outcome.UNKNOWN, Outcome.FAILED) for event in during),
        sum(event.outcome is Outcome.NOT_RUN for event in during),
        round(after / before, 3),
    )
    await site.close()
    return figures


def measure_changes(deployment: Deployment, seed: int, change: str) -> ChangeFigures:
    """Make one change under load.

    :param deployment: sizes of the site.
    :param seed: seed of the callers.
    :param change: a name from :data:`CHANGES`.
    """
    return run_with_simulated_clock(lambda: _measure(deployment, seed, change))


def _main(seed: Annotated[int, typer.Option(help="Seed of the callers.")] = 1) -> None:
    for deployment in DEPLOYMENTS:
        for change in CHANGES:
            print(measure_changes(deployment, seed, change))


if __name__ == "__main__":
    typer.run(_main)
