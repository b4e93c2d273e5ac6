"""A host's view of its site: routes, customers, services and targets."""

import asyncio
import enum
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.limits.bucket import RateLimit

__all__ = [
    "DEFAULT_STATEMENT_BYTES",
    "DEFAULT_TRANSACTION_IDLE_S",
    "EMPTY_CONFIGURATION",
    "LEAVING_GRACE_S",
    "UNLIMITED_RATE",
    "Consistency",
    "Route",
    "ServiceLimits",
    "SiteConfiguration",
    "SiteView",
    "Target",
]

# A leaving target is given new work for this long, until its successor is primary. Evacuated zones
# must not be given new work after 5 s.
LEAVING_GRACE_S = 3.0
# Defaults for settings that the configuration leaves out, as the users' configurations state them.
DEFAULT_TRANSACTION_IDLE_S = 3.0
DEFAULT_STATEMENT_BYTES = 262_144
# Above what all targets together can run.
UNLIMITED_RATE = RateLimit(1e6, 1e6)


class Consistency(enum.Enum):
    """Consistency level of reads on a route."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    READ_YOUR_WRITES = "read_your_writes"


class Route(NamedTuple):
    """How callers of one database are served.

    :param database: name that callers connect to.
    :param service: database group that serves it.
    :param timeout_s: timeout of one statement.
    :param target_latency_s: time in which a whole operation should be answered.
    :param priority: 0 is the highest.
    :param max_staleness_s: staleness bound of reads; 0 if a read must see every commit.
    :param is_open: whether callers need no key.
    """

    database: str
    service: str
    consistency: Consistency
    timeout_s: float
    target_latency_s: float
    priority: int
    max_staleness_s: float
    is_open: bool


class ServiceLimits(NamedTuple):
    """Limits of one database group.

    :param max_connections: connections that a target accepts from all hosts together.
    """

    service: str
    max_connections: int


class SiteConfiguration(NamedTuple):
    """One version of the operators' configuration.

    :param customers: customer names by key.
    :param rates: rate limits by customer.
    :param transaction_idle_s: idle time after which an open transaction may be aborted.
    :param sync_replicas: number of replicas that have received a commit before it is acknowledged,
        by service; services that are not named replicate asynchronously.
    """

    version: int
    routes: Mapping[str, Route]
    customers: Mapping[str, str]
    rates: Mapping[str, RateLimit]
    services: Mapping[str, ServiceLimits]
    transaction_idle_s: float
    max_statement_bytes: int
    sync_replicas: Mapping[str, int] = MappingProxyType({})


EMPTY_CONFIGURATION = SiteConfiguration(
    -1, {}, {}, {}, {}, DEFAULT_TRANSACTION_IDLE_S, DEFAULT_STATEMENT_BYTES
)


class Target(NamedTuple):
    """One registered target.

    :param claims_primary: whether the target reports itself as primary, which may be out of date.
    :param started_ms: start time of its process; distinguishes a restarted target from its
        previous process.
    :param sequence: number of the report from which the entry was made; grows within a process.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_leaving: bool
    claims_primary: bool
    started_ms: int
    sequence: int = 0

    def is_older_than(self, other: "Target") -> bool:
        """Return whether this entry was made before another one of the same target."""
        return (self.started_ms, self.sequence) < (other.started_ms, other.sequence)


class SiteView:
    """The current configuration and targets of this host.

    :param log: decision log of this component.
    :ivar is_configured: set once there is a configuration.
    """

    def __init__(self, log: DecisionLog) -> None:
        """Create a view without a configuration and without targets."""
        self._log = log
        self._targets: dict[str, dict[str, Target]] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._leaving_since_s: dict[str, float] = {}
        self._named_services: frozenset[str] = frozenset()
        self.configuration = EMPTY_CONFIGURATION
        self.is_configured = asyncio.Event()

    def set_configuration(self, configuration: SiteConfiguration, source: str) -> bool:
        """Apply a configuration if it is newer than the current one.

        :param source: where the configuration came from, for the log.
        :returns: whether it was applied.
        """
        if configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        routed = (route.service for route in configuration.routes.values())
        self._named_services = frozenset(configuration.services).union(routed)
        self.is_configured.set()
        self._log.write("configuration", version=configuration.version, source=source)
        return True

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Replace all targets."""
        found: dict[str, dict[str, Target]] = {}
        for target in targets:
            found.setdefault(target.service, {})[target.name] = target
        before = {t.name: t for group in self._targets.values() for t in group.values()}
        after = {t.name: t for group in found.values() for t in group.values()}
        for name in before.keys() ^ after.keys():
            target = after.get(name) or before[name]
            event = "target_added" if name in after else "target_gone"
            self._log.write(event, target=name, service=target.service)
        self._targets = found
        self._refresh_leaving()

    @property
    def evacuated(self) -> frozenset[str]:
        """Availability zones that operators have evacuated."""
        return self._evacuated

    def set_evacuated(self, zones: frozenset[str]) -> None:
        """Replace the availability zones that operators have evacuated."""
        if zones != self._evacuated:
            self._evacuated = zones
            self._log.write("evacuated", zones=sorted(zones))
            self._refresh_leaving()

    def targets(self, service: str) -> Mapping[str, Target]:
        """Return a service's targets by name."""
        return self._targets.get(service, {})

    @property
    def services(self) -> tuple[str, ...]:
        """Services that have targets, and that the configuration names if there is one."""
        if self.configuration.version < 0:
            return tuple(self._targets)
        return tuple(service for service in self._targets if service in self._named_services)

    def is_leaving(self, target: str) -> bool:
        """Whether a target is shutting down or its availability zone is evacuated."""
        return target in self._leaving_since_s

    def may_use(self, target: str) -> bool:
        """Whether new work may be sent to a target; a leaving one is usable for a while."""
        since_s = self._leaving_since_s.get(target)
        return since_s is None or now_s() - since_s < LEAVING_GRACE_S

    def _refresh_leaving(self) -> None:
        leaving = {
            target.name
            for group in self._targets.values()
            for target in group.values()
            if target.is_leaving or target.availability_zone in self._evacuated
        }
        at_s = now_s()
        for name in leaving - self._leaving_since_s.keys():
            self._log.write("target_leaving", target=name)
        self._leaving_since_s = {
            name: self._leaving_since_s.get(name, at_s) for name in sorted(leaving)
        }
