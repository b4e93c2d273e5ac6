"""Sessions whose route is led to another service, and back, by versions of the configuration."""

import math

import pytest
from sessions.fake_group import SERVICE, FakeTarget, World
from sessions.test_session import COMMIT, READ, WRITE, Caller

from pistachiowinch.base.clock import now_s
from pistachiowinch.links.statements import Begin
from pistachiowinch.sessions.replies import CompletedStatement
from pistachiowinch.sessions.site import Consistency, Route, Target

pytestmark = pytest.mark.looptime

OTHER = "archive"
DATABASE = "read_your_writes"


class Primaries:
    """Primary and number of the latest switch by service."""

    def __init__(self) -> None:
        """Start without any switch."""
        self.names = {SERVICE: "a", OTHER: "x"}
        self.epochs = {SERVICE: 0, OTHER: 0}

    def epoch(self, service):
        """Return the number of the latest switch."""
        return self.epochs[service]

    def acknowledge_until_s(self, service, epoch):
        """Return infinity, since no switch ends an epoch here."""
        return math.inf

    def primary(self, service):
        """Return the primary's name."""
        return self.names[service]


class TwoServices(World):
    """One host's sessions over two services, one of which the route leads to."""

    def __init__(self) -> None:
        """Lead the route to the first service."""
        super().__init__()
        self.other_primary = FakeTarget("x", True)
        self.other_replica = FakeTarget("y", False)
        self.targets |= {"x": self.other_primary, "y": self.other_replica}
        self.primaries = self.context.primaries = Primaries()
        self.view.set_targets(
            Target(
                t.name,
                OTHER if t.name in "xy" else SERVICE,
                f"{t.name}:1",
                "z1",
                5,
                False,
                t.is_primary,
                1,
            )
            for t in self.targets.values()
        )

    def lead_to(self, service: str) -> None:
        """Apply a version whose route leads to a service."""
        configuration = self.view.configuration
        route = Route(DATABASE, service, Consistency.READ_YOUR_WRITES, 1.0, 0.4, 1, 2.0, False)
        self.view.set_configuration(
            configuration._replace(version=configuration.version + 1, routes={DATABASE: route}),
            "test",
        )

    async def observe(self) -> None:
        """Record the position of each service's primary."""
        for service, name in self.primaries.names.items():
            log = self.context.freshness_of(service)
            log.record(self.primaries.epochs[service], now_s(), self.targets[name].position)


async def write_at_both(world: TwoServices, caller: Caller) -> None:
    """Write at the first service and then at the other one, and lead the route back."""
    assert isinstance(await caller(WRITE), CompletedStatement)
    world.lead_to(OTHER)
    assert isinstance(await caller(WRITE), CompletedStatement)
    world.lead_to(SERVICE)


@pytest.mark.parametrize("epochs", [(0, 0), (1, 0), (0, 1), (2, 1)])
async def test_a_session_reads_its_own_write_after_its_route_was_moved_and_moved_back(epochs):
    """STALE: a commit at another service replaced the session's position, so a replica without its
    own write answered.
    """
    world = TwoServices()
    world.primaries.epochs = dict(zip((SERVICE, OTHER), epochs, strict=True))
    world.primary.applied = 100
    for replica in world.replicas:
        replica.applied = 100
    await world.observe()
    await write_at_both(world, caller := Caller(world, DATABASE))
    assert isinstance(await caller(READ), CompletedStatement)
    assert [run[0] for run in world.primary.runs] == ["write", "read"]


async def test_a_commit_at_another_service_asks_nothing_of_a_replica():
    """A position of another service, which a service's replicas reach much later or never, sent all
    reads of the session to the primary.
    """
    world = TwoServices()
    world.primary.applied = 100
    await world.observe()
    caller = Caller(world, DATABASE)
    assert isinstance(await caller(WRITE), CompletedStatement)
    world.lead_to(OTHER)
    assert isinstance(await caller(READ), CompletedStatement)
    assert [run[0] for run in world.other_replica.runs] == ["read"]


async def test_a_transaction_that_began_before_its_route_moved_counts_for_its_own_service():
    """STALE: COMMIT ends at the service where the transaction began, whatever the route is now."""
    world = TwoServices()
    await world.observe()
    caller = Caller(world, DATABASE)
    await caller(Begin(False))
    await caller(WRITE)
    world.lead_to(OTHER)
    assert isinstance(await caller(COMMIT), CompletedStatement)
    assert isinstance(await caller(READ), CompletedStatement)
    assert [run[0] for run in world.other_replica.runs] == ["read"]
    world.lead_to(SERVICE)
    assert isinstance(await caller(READ), CompletedStatement)
    assert not any(replica.runs for replica in world.replicas)


async def test_a_commit_without_a_position_is_read_at_the_primary():
    """STALE: an answer without a position erased the session's last one."""
    world = TwoServices()
    await world.observe()
    caller = Caller(world, DATABASE)
    await caller(WRITE)
    world.primary.reports_position = False
    await caller(WRITE)
    world.primary.reports_position = True
    for replica in world.replicas:
        replica.applied = 1
    assert isinstance(await caller(READ), CompletedStatement)
    assert not any(replica.runs for replica in world.replicas)
