"""A site of real hosts on in-memory fakes, for tests on the paused clock."""

import asyncio
import re

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.configuration.patches import Patch, PatchOperation
from pistachiowinch.operations.host import Host
from pistachiowinch.operations.keys import native_password_hash
from pistachiowinch.operations.links import HostLinks, ServiceLinks, StaticHostList
from pistachiowinch.operations.settings import parse_settings
from pistachiowinch.routing.statements import Statement, StatementKind
from pistachiowinch.standins.database_group import FakeDatabaseGroup
from pistachiowinch.standins.memory_store import MemoryStore
from pistachiowinch.standins.peer_network import PeerNetwork

ZONES = ("zone-a", "zone-b", "zone-c")
SERVICES = ("counter", "plays")
CUSTOMERS = {"menghina": ("counter",), "archive": ("plays",)}
SCHEMA = ("CREATE TABLE hires (name VARCHAR(40) PRIMARY KEY)",)
KEY = "a-caller-key-of-160-bits"
READY_LIMIT_S = 30.0

_KINDS = {
    "SELECT": StatementKind.READ,
    "BEGIN": StatementKind.BEGIN,
    "COMMIT": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
}

SETTINGS = """
[host]
name = {name}
availability_zone = {zone}
site = test
[peers]
address = 127.0.0.1
[store]
endpoints = http://127.0.0.1:2379
[targets]
user = proxy
password = target-password
[callers]
deadline_s = 5
"""


def statement(text, request_id=None):
    """Build a statement as the callers' protocol would."""
    kind = _KINDS.get(text.split()[0].upper(), StatementKind.WRITE)
    return Statement(text, kind, request_id, is_locking_read=text.endswith("FOR UPDATE"))


class RecordingLink:
    """Target link that records every text and the time at which it was sent."""

    def __init__(self, link, sent):
        self._link, self._sent = link, sent

    async def connect(self, target):
        connection = await self._link.connect(target)
        return _RecordingConnection(connection, target, self._sent)


class _RecordingConnection:
    def __init__(self, connection, target, sent):
        self._connection, self._target, self._sent = connection, target, sent

    @property
    def is_usable(self):
        return self._connection.is_usable

    async def execute(self, text):
        self._sent.append((now_s(), self._target, text))
        return await self._connection.execute(text)

    async def close(self):
        await self._connection.close()


class HostWorld:
    """Store, peer network, database groups and hosts of one test."""

    def __init__(self, seed=1, rate_per_s=1000.0, burst=500.0):
        self.store = MemoryStore()
        self.network = PeerNetwork(seed)
        self.groups = {}
        self.hosts = {}
        self.store_clients = {}
        self.sent = []
        self.rate_per_s, self.burst = rate_per_s, burst
        self._patch_number = 0
        for service in SERVICES:
            targets = [f"{service}-{zone[-1]}" for zone in ZONES]
            self.groups[service] = FakeDatabaseGroup(service, targets, schema=SCHEMA)

    async def start(self):
        for zone in ZONES:
            await self.start_host(zone)
        await self.until(lambda: all(len(h.site.roster.active.members) == 3 for h in self.all))
        await self.patch(self.initial_operations())
        await self.until(self.is_ready)
        return self

    async def start_host(self, zone):
        name = f"host-{zone[-1]}"
        settings = parse_settings(SETTINGS.format(name=name, zone=zone)).unwrap()
        metrics = Metrics()
        self.store_clients[name] = self.store.client()
        links = HostLinks(
            metrics,
            self.store_clients[name],
            self.network.link(name, metrics),
            f"tcp://{name}:4600",
            StaticHostList(tuple((other, f"tcp://{other}:4600") for other in self.hosts)),
            lambda service, _address_of: self._service_links(service, name),
        )
        self.hosts[name] = Host(settings, links, has_listeners=False)
        await self.hosts[name].start()
        return self.hosts[name]

    def _service_links(self, service, host):
        view = self.groups[service].view(host)
        return ServiceLinks(RecordingLink(view, self.sent), view)

    @property
    def all(self):
        return list(self.hosts.values())

    def is_ready(self):
        return all(not host.unready_reasons for host in self.all) and all(
            host.services.group(service).tracker.primary is not None and self._has_ledger(service)
            for host in self.all
            for service in SERVICES
        )

    def _has_ledger(self, service):
        group = self.groups[service]
        try:
            for target in group.targets:
                group.rows(target, "SELECT COUNT(*) FROM pistachiowinch_ledger")
        except Exception:
            return False
        return True

    async def until(self, condition, limit_s=READY_LIMIT_S):
        deadline_s = now_s() + limit_s
        while not condition():
            states = [(host.name, host.unready_reasons) for host in self.all]
            assert now_s() < deadline_s, f"not reached in {limit_s} s: {states}"
            await sleep_s(0.02)

    async def crash_host(self, name):
        """Stop a host at once without notifying the others."""
        self.network.detach(name)
        for group in self.groups.values():
            group.drop_host(name)
        await self.hosts.pop(name).abort()

    async def close(self):
        for host in self.all:
            await host.abort()
        for group in self.groups.values():
            await group.close()

    # Configuration ------------------------------------------------------------------------------

    def initial_operations(self):
        operations = [(["availability_zones", zone], {"state": "in"}) for zone in ZONES]
        for service, group in self.groups.items():
            targets = {
                target: {
                    "address": "127.0.0.1",
                    "port": 3306,
                    "availability_zone": f"zone-{target[-1]}",
                    "slots": 5,
                    "connections": 30,
                    "state": "in",
                }
                for target in group.targets
            }
            entry = {"is_open": False, "ledger": "always", "targets": targets}
            operations.append((["services", service], entry))
        for customer, services in CUSTOMERS.items():
            limits = {"rate_per_s": self.rate_per_s, "burst": self.burst, "weight": 1.0}
            operations.append((["customers", customer], {**limits, "services": list(services)}))
            key = {"customer": customer, "password_hash": native_password_hash(KEY)}
            operations.append((["keys", f"{customer}-1"], key))
        return operations

    async def patch(self, operations, host=None):
        """Submit a patch; a value of None removes the path."""
        submitting = host or self.all[0]
        self._patch_number += 1
        patch = Patch(
            f"patch-{self._patch_number}",
            submitting.configuration.version,
            [
                PatchOperation("remove" if value is None else "set", path, value)
                for path, value in operations
            ],
        )
        result = await submitting.submit_patch(patch)
        return result.unwrap().version

    async def in_force(self, version, limit_s=2.0):
        await self.until(
            lambda: all(host.configuration.version >= version for host in self.all), limit_s
        )

    # Callers ------------------------------------------------------------------------------------

    async def login(self, host, service="counter", key_id=None):
        owner = next(name for name, services in CUSTOMERS.items() if service in services)
        return await self.hosts[host].gateway.open_session(key_id or f"{owner}-1", service)

    async def run(self, host, session, text, request_id=None):
        return await self.hosts[host].gateway.execute(session, statement(text, request_id))

    async def insert(self, host, session, name, request_id=None):
        text = f"INSERT INTO hires (name) VALUES ('{name}')"
        return await self.run(host, session, text, request_id)

    def primary(self, service="counter"):
        return self.all[0].services.group(service).tracker.primary

    def work_at(self, target, since_s):
        """Return callers' statements sent to a target since a time, without those of the ledger."""
        pattern = re.compile(r"hires", re.IGNORECASE)
        return [
            text
            for sent_s, name, text in self.sent
            if name == target and sent_s >= since_s and pattern.search(text)
        ]


async def gather_until(work, stop):
    """Repeat an async function until an event is set; return its results."""
    results = []
    while not stop.is_set():
        results.append(await work(len(results)))
        await asyncio.sleep(0.01)
    return results
