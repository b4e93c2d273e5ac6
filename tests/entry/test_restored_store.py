"""A large fleet whose store comes back from an older copy, over the platform's protocol."""

import asyncio

import pytest
from entry.test_large_fleet import LargeFleet, free_ports

from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.entry.bounds import STORE_BOUNDS
from pistachiowinch.links.store import PollingStore
from pistachiowinch.platform.store import PlatformStore
from pistachiowinch.standins.http_store import HttpStore

OUTAGE_S = 1.0
CONFIGURATION_BOUND_S = 3.0


class HttpFleet(LargeFleet):
    """Hosts that reach the store over HTTP."""

    def __init__(self) -> None:
        """Create the store's server and all hosts."""
        (self.port,) = free_ports(1)
        super().__init__()
        self.server = HttpStore(self.store)

    def client(self) -> PollingStore:
        """Return a client of the store's server."""
        return PlatformStore(f"127.0.0.1:{self.port}", STORE_BOUNDS, Metrics(), DecisionLog("test"))

    async def start(self) -> None:
        """Start the store's server, then all hosts."""
        await self.server.start(port=self.port)
        await super().start()

    async def restore(self, copy) -> None:
        """Take the store away for a moment and bring it back from a copy."""
        self.server.error_status = 503
        await asyncio.sleep(OUTAGE_S)
        self.store.restore(copy)
        self.server.error_status = 0

    def versions(self) -> dict[str, int]:
        """Return the configuration version of each host."""
        return {name: host.view.configuration.version for name, host in self.hosts.items()}

    async def close(self) -> None:
        """Stop all hosts and the server."""
        await super().close()
        for client in self.clients.values():
            await client.close()
        await self.server.stop()


@pytest.fixture
async def fleet():
    """Run a large fleet."""
    found = HttpFleet()
    await found.start()
    yield found
    await found.close()


async def test_a_change_after_a_restore_reaches_every_host(fleet):
    """CONFIG: 54 of 59 hosts asked for no change until the revisions had passed their own."""
    copy = fleet.store.copy()
    for version in range(6, 20):
        fleet.configure(version)
        await asyncio.sleep(0.05)
    await asyncio.sleep(CONFIGURATION_BOUND_S)
    assert fleet.versions() == dict.fromkeys(fleet.hosts, 19)
    await fleet.restore(copy)
    fleet.configure(19)
    await asyncio.sleep(2.0)
    fleet.configure(20)
    await asyncio.sleep(CONFIGURATION_BOUND_S)
    assert fleet.versions() == dict.fromkeys(fleet.hosts, 20)
    assert all(host.is_ready for host in fleet.hosts.values())
