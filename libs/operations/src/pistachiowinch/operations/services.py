"""Builds, changes and removes the services of one host as the configuration requires."""

import asyncio
from collections.abc import Callable, Sequence

from reactivex import Observable

from pistachiowinch.base.logs import part_logger
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.configuration.document import Configuration, ServiceEntry, TargetEntry
from pistachiowinch.gateway.interfaces import ServiceParts
from pistachiowinch.groups.group import ServiceGroup
from pistachiowinch.groups.messages import GroupMessenger
from pistachiowinch.groups.site import SiteView
from pistachiowinch.limits.scheduler import ServiceScheduler
from pistachiowinch.links.store import Store
from pistachiowinch.operations.links import HostLinks, ServiceLinks
from pistachiowinch.operations.parts import PartRunner
from pistachiowinch.operations.placement import PrimaryPlacement
from pistachiowinch.peering.interfaces import MembershipView
from pistachiowinch.peering.messages import AnnouncedPrimary
from pistachiowinch.targets.link import TargetAddress
from pistachiowinch.targets.pool import ConnectionPool

__all__ = ["HostServices", "ServiceContext", "connections_per_host"]

# Statements on a removed target end within their deadline; the drain does not wait longer.
_DRAIN_TIMEOUT_S = 30.0

_log = part_logger("services")


def connections_per_host(connections: int, members: int) -> int:
    """Return how many connections to a target one host may open.

    :param connections: the site's connections to the target.
    :param members: hosts of the roster.
    """
    return max(1, connections // max(1, members))


class ServiceContext:
    """The objects of a host that its services share.

    :param make_scheduler: builds the scheduler of a service.
    """

    def __init__(
        self,
        links: HostLinks,
        membership: MembershipView,
        messenger: GroupMessenger,
        site: SiteView,
        configurations: Observable[Configuration],
        part_runner: PartRunner,
        make_scheduler: Callable[[str], ServiceScheduler],
    ) -> None:
        """Store the shared objects."""
        self.links = links
        self.membership = membership
        self.messenger = messenger
        self.site = site
        self.configurations = configurations
        self.part_runner = part_runner
        self.make_scheduler = make_scheduler

    @property
    def metrics(self) -> Metrics:
        """The host's metrics."""
        return self.links.metrics

    @property
    def store(self) -> Store:
        """The platform's store."""
        return self.links.store


class _Service:
    """Group, scheduler and pools of one service."""

    def __init__(self, name: str, entry: ServiceEntry, context: ServiceContext) -> None:
        """Build everything and start the group's tasks."""
        self.name = name
        self._context = context
        self._targets: dict[str, TargetEntry] = dict(entry["targets"])
        self._links: ServiceLinks = context.links.open_service(name, self._address_of)
        self._draining: set[asyncio.Task[None]] = set()
        self.pools: dict[str, ConnectionPool] = {}
        self.group = ServiceGroup(
            name,
            sorted(self._targets),
            self._links.group,
            self._links.targets,
            context.store,
            context.membership,
            context.messenger,
            context.site,
            context.metrics,
        )
        self.scheduler = context.make_scheduler(name)
        # A waiting request may fit a target as soon as the group's state changes.
        self._subscription = self.group.tracker.changes.subscribe(
            on_next=lambda _: self.scheduler.recheck_waiting()
        )
        placement = PrimaryPlacement(
            name, self.group, context.configurations, self.group.tracker.changes
        )
        context.part_runner.start(f"service {name}", self.group.run())
        context.part_runner.start(f"placement {name}", placement.run())
        context.part_runner.start(f"scheduler {name}", self.scheduler.run())
        self.gateway_parts = ServiceParts(
            self.group.tracker,
            self.group.confirmer,
            self.group.ledger,
            self.scheduler,
            self.pools,
            self.group,
        )

    def apply(self, entry: ServiceEntry, members: Sequence[str]) -> None:
        """Apply the targets, their slots and connections, and the hosts that share them."""
        self._targets = dict(entry["targets"])
        self.group.set_targets(sorted(self._targets))
        self.scheduler.set_members(members)
        for target, target_entry in self._targets.items():
            limit = connections_per_host(target_entry["connections"], len(members))
            pool = self.pools.get(target)
            if pool is None:
                metrics = self._context.metrics
                self.pools[target] = ConnectionPool(self._links.targets, target, limit, metrics)
            else:
                pool.set_limit(limit)
        for target in set(self.pools) - set(self._targets):
            self._drain(self.pools.pop(target))
        slots = {target: target_entry["slots"] for target, target_entry in self._targets.items()}
        self.scheduler.set_targets(slots)

    async def close(self) -> None:
        """Stop the tasks, then close all connections."""
        self._subscription.dispose()
        for part in ("scheduler", "placement", "service"):
            await self._context.part_runner.stop(f"{part} {self.name}")
        for target in list(self.pools):
            self._drain(self.pools.pop(target))
        if self._draining:
            await asyncio.wait(set(self._draining))
        await self._links.close()

    def _address_of(self, target: str) -> TargetAddress | None:
        entry = self._targets.get(target)
        return None if entry is None else TargetAddress(entry["address"], entry["port"])

    def _drain(self, pool: ConnectionPool) -> None:
        task = asyncio.get_running_loop().create_task(self._drain_pool(pool))
        self._draining.add(task)
        task.add_done_callback(self._draining.discard)

    async def _drain_pool(self, pool: ConnectionPool) -> None:
        try:
            async with asyncio.timeout(_DRAIN_TIMEOUT_S):
                await pool.drain()
        except TimeoutError:
            _log.warning("Connections to {} are still in use after removal.", pool.target)


class HostServices:
    """All services of one host; satisfies ``gateway.interfaces.Services``."""

    def __init__(self, context: ServiceContext) -> None:
        """Start without services."""
        self._context = context
        self._services: dict[str, _Service] = {}
        self._closing: dict[str, asyncio.Task[None]] = {}
        self._latest: tuple[Configuration, Sequence[str]] | None = None

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the services in order."""
        return tuple(sorted(self._services))

    @property
    def suspected_targets(self) -> tuple[str, ...]:
        """Value of ``LocalState.suspected_targets``."""
        return tuple(
            name for service in self._services.values() for name in service.group.suspected_targets
        )

    @property
    def primaries(self) -> dict[str, AnnouncedPrimary]:
        """Value of ``LocalState.primaries``."""
        return {name: service.group.announced_primary for name, service in self._services.items()}

    def parts(self, service: str) -> ServiceParts | None:
        """Return the objects of a service that the gateway uses."""
        found = self._services.get(service)
        return None if found is None else found.gateway_parts

    def group(self, service: str) -> ServiceGroup | None:
        """Return a service's group."""
        found = self._services.get(service)
        return None if found is None else found.group

    def apply(self, configuration: Configuration, members: Sequence[str]) -> None:
        """Build, change and remove services.

        :param configuration: the version in force from now on.
        :param members: hosts of the roster, which share connections and permits.
        """
        self._latest = (configuration, members)
        entries = configuration.document["services"]
        for name in set(self._services) - set(entries):
            self._close(name)
        for name, entry in entries.items():
            # Handlers of a removed service must end before a new service of its name starts.
            if name in self._closing:
                continue
            if name not in self._services:
                self._services[name] = _Service(name, entry, self._context)
            self._services[name].apply(entry, members)

    async def return_permits(self) -> None:
        """Return all idle permits now, for a planned stop."""
        for service in list(self._services.values()):
            await service.scheduler.return_permits()

    async def close(self) -> None:
        """Close all services."""
        self._latest = None
        for name in list(self._services):
            self._close(name)
        if self._closing:
            await asyncio.wait(set(self._closing.values()))

    def _close(self, name: str) -> None:
        closing = asyncio.ensure_future(self._services.pop(name).close())
        self._closing[name] = closing
        closing.add_done_callback(lambda done: self._on_closed(name, done))

    def _on_closed(self, name: str, closing: asyncio.Task[None]) -> None:
        del self._closing[name]
        if not closing.cancelled() and closing.exception() is not None:
            self._context.part_runner.report(f"service {name}", closing.exception())
        elif self._latest is not None and name in self._latest[0].document["services"]:
            self.apply(*self._latest)
