"""A site of real hosts over in-memory fakes, on a simulated clock."""

import random
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.configuration.patches import Patch, PatchOperation
from pistachiowinch.links.targets import ExecuteOutcome, TargetConnection, TargetLink
from pistachiowinch.measure.deployment import Deployment
from pistachiowinch.operations.host import Host
from pistachiowinch.operations.links import HostLinks, ServiceLinks, StaticHostList
from pistachiowinch.operations.settings import parse_settings
from pistachiowinch.routing.session import Session
from pistachiowinch.standins.database_group import FakeDatabaseGroup
from pistachiowinch.standins.memory_store import MemoryStore, MemoryStoreClient
from pistachiowinch.standins.peer_network import PeerNetwork

__all__ = ["SCHEMA", "MeasuredSite", "SentStatement"]

# The only unique key is generated, so a write that is executed twice leaves two rows.
SCHEMA = (
    "CREATE TABLE records (id INT NOT NULL AUTO_INCREMENT PRIMARY KEY, "
    "caller VARCHAR(40) NOT NULL, seq INT NOT NULL, note VARCHAR(80) NOT NULL)",
)
_PASSWORD_HASH = "*" + "0" * 40
_READY_TIMEOUT_S = 60.0
_POLL_S = 0.02
_SETTINGS = """
[host]
name = {name}
availability_zone = {zone}
site = measure
[peers]
address = 127.0.0.1
[store]
endpoints = http://127.0.0.1:2379
[targets]
user = proxy
password = unused
[callers]
deadline_s = 10
"""


class SentStatement(NamedTuple):
    """One statement that a host sent to a target."""

    sent_s: float
    host: str
    target: str
    text: str


class _RecordingConnection:
    def __init__(
        self, connection: TargetConnection, host: str, target: str, sent: list[SentStatement]
    ) -> None:
        self._connection = connection
        self._host = host
        self._target = target
        self._sent = sent

    @property
    def is_usable(self) -> bool:
        return self._connection.is_usable

    async def execute(self, text: str) -> ExecuteOutcome:
        self._sent.append(SentStatement(now_s(), self._host, self._target, text))
        return await self._connection.execute(text)

    async def close(self) -> None:
        await self._connection.close()


class _RecordingLink:
    def __init__(self, link: TargetLink, host: str, sent: list[SentStatement]) -> None:
        self._link = link
        self._host = host
        self._sent = sent

    async def connect(self, target: str) -> TargetConnection:
        connection = await self._link.connect(target)
        return _RecordingConnection(connection, self._host, target, self._sent)


class MeasuredSite:
    """Store, peer network, database groups and hosts of one deployment.

    :param deployment: sizes of the site.
    :param seed: seed of the random generators of the site and its network.
    :param rate_per_s: rate of each customer that ``rates_per_s`` does not contain.
    :param rates_per_s: rates of single customers.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        rate_per_s: float = 500.0,
        rates_per_s: Mapping[str, float] | None = None,
    ) -> None:
        """Create the fakes on the running loop."""
        self.deployment = deployment
        self.random = random.Random(seed)
        self.store = MemoryStore()
        self.network = PeerNetwork(seed, deployment.zone_delay_s)
        self.hosts: dict[str, Host] = {}
        self.store_clients: dict[str, MemoryStoreClient] = {}
        self.sent: list[SentStatement] = []
        self._rates_per_s = dict.fromkeys(deployment.customer_names, rate_per_s)
        self._rates_per_s.update(rates_per_s or {})
        self._patch_count = 0
        self.groups = {
            service: FakeDatabaseGroup(
                service,
                deployment.target_names(service),
                schema=SCHEMA,
                delay_s=deployment.zone_delay_s,
                slots=deployment.slots,
                connections=deployment.connections,
            )
            for service in deployment.service_names
        }

    async def start(self) -> "MeasuredSite":
        """Start all hosts, submit the configuration and wait until all services are available."""
        for name in self.deployment.host_names:
            await self.start_host(name)
        await self.until(self._is_roster_complete)
        await self.patch(self._initial_changes())
        await self.until(self._is_ready)
        return self

    async def start_host(self, name: str) -> Host:
        """Start or restart a host.

        :param name: one of the deployment's host names.
        """
        index = self.deployment.host_names.index(name)
        text = _SETTINGS.format(name=name, zone=self.deployment.zone_of(index))
        metrics = Metrics()
        self.store_clients[name] = self.store.client()
        known = tuple((other, f"tcp://{other}:4600") for other in self.deployment.host_names)
        links = HostLinks(
            metrics,
            self.store_clients[name],
            self.network.link(name, metrics),
            f"tcp://{name}:4600",
            StaticHostList(known),
            lambda service, _address_of: self._service_links(service, name),
        )
        host = Host(parse_settings(text).unwrap(), links, has_listeners=False)
        self.hosts[name] = host
        await host.start()
        return host

    def _service_links(self, service: str, host: str) -> ServiceLinks:
        view = self.groups[service].view(host)
        return ServiceLinks(_RecordingLink(view, host, self.sent), view)

    async def crash_host(self, name: str) -> None:
        """Stop a host abruptly, without its shutdown sequence.

        :param name: a running host.
        """
        self.network.detach(name)
        for group in self.groups.values():
            group.drop_host(name)
        await self.hosts.pop(name).abort()

    async def close(self) -> None:
        """Abort the hosts and close the database groups."""
        for host in self.hosts.values():
            await host.abort()
        for group in self.groups.values():
            await group.close()

    async def until(
        self, condition: Callable[[], bool], limit_s: float = _READY_TIMEOUT_S
    ) -> float:
        """Wait for a condition.

        :param condition: polled every 0.02 s.
        :param limit_s: simulated seconds after which to give up.
        :returns: seconds waited.
        :raises TimeoutError: if the condition stays false.
        """
        started_s = now_s()
        while not condition():
            if now_s() - started_s > limit_s:
                reasons = {name: host.unready_reasons for name, host in self.hosts.items()}
                raise TimeoutError(f"condition still false after {limit_s} s; unready: {reasons}")
            await sleep_s(_POLL_S)
        return now_s() - started_s

    async def patch(self, changes: list[tuple[list[str], Any]], host: str | None = None) -> int:
        """Submit one patch.

        :param changes: paths and new values; None removes a path.
        :param host: the host that receives the patch; the first one by default.
        :returns: the accepted version.
        """
        submitting = self.hosts[host] if host else next(iter(self.hosts.values()))
        self._patch_count += 1
        operations = [
            PatchOperation("remove" if value is None else "set", path, value)
            for path, value in changes
        ]
        patch = Patch(f"patch-{self._patch_count}", submitting.configuration.version, operations)
        return (await submitting.submit_patch(patch)).unwrap().version

    def in_force(self, version: int) -> bool:
        """Return whether every running host uses a version or a later one.

        :param version: the accepted version.
        """
        return all(host.configuration.version >= version for host in self.hosts.values())

    def primary(self, service: str) -> str | None:
        """Return a service's primary as the first host sees it."""
        group = next(iter(self.hosts.values())).services.group(service)
        return group.tracker.primary if group else None

    async def open_session(self, host: str, customer: str, service: str) -> Session:
        """Open a session on a host.

        :param host: the host that the load balancer chose.
        :param customer: customer whose key is used.
        :param service: the service.
        """
        opened = await self.hosts[host].gateway.open_session(f"{customer}-key", service)
        return opened.unwrap()

    def _is_roster_complete(self) -> bool:
        return all(
            len(host.site.roster.active.members) == len(self.hosts) for host in self.hosts.values()
        )

    def _is_ready(self) -> bool:
        return all(self._is_serving(host) for host in self.hosts.values())

    def _is_serving(self, host: Host) -> bool:
        if host.unready_reasons:
            return False
        groups = [host.services.group(service) for service in self.deployment.service_names]
        if any(group is None or group.tracker.primary is None for group in groups):
            return False
        return all(self._has_ledger_table(group) for group in self.groups.values())

    def _has_ledger_table(self, group: FakeDatabaseGroup) -> bool:
        try:
            for target in group.targets:
                group.rows(target, "SELECT COUNT(*) FROM pistachiowinch_ledger")
        except Exception:
            return False
        return True

    def _initial_changes(self) -> list[tuple[list[str], Any]]:
        deployment = self.deployment
        changes: list[tuple[list[str], Any]] = [
            (["availability_zones", zone], {"state": "in"}) for zone in deployment.zone_names
        ]
        for service in deployment.service_names:
            targets = {
                target: {
                    "address": "127.0.0.1",
                    "port": 3306,
                    "availability_zone": deployment.zone_of(index),
                    "slots": deployment.slots,
                    "connections": deployment.connections,
                    "state": "in",
                }
                for index, target in enumerate(deployment.target_names(service))
            }
            entry = {"is_open": False, "ledger": "always", "targets": targets}
            changes.append((["services", service], entry))
        for customer, rate_per_s in self._rates_per_s.items():
            entry = {
                "rate_per_s": rate_per_s,
                "burst": max(rate_per_s, 1.0),
                "weight": 1.0,
                "services": list(deployment.service_names),
            }
            changes.append((["customers", customer], entry))
            key = {"customer": customer, "password_hash": _PASSWORD_HASH}
            changes.append((["keys", f"{customer}-key"], key))
        return changes
