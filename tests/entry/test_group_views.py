"""Whose suspicion of a target counts, in a fleet where all hosts vote and in one with voters."""

from types import SimpleNamespace

import pytest

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.entry.group_views import GroupViews
from pistachiowinch.fleet.primaries import PrimaryTable
from pistachiowinch.peering.messages import Heartbeat, ReceivedHeartbeat
from pistachiowinch.sessions.health import TargetHealth
from pistachiowinch.sessions.site import EMPTY_CONFIGURATION, ServiceLimits, SiteView, Target

pytestmark = pytest.mark.looptime

ZONES = ("z1", "z2", "z3")


class Fleet:
    """The views of host ``h0`` on a service with three targets; every third host is in one zone."""

    def __init__(self, hosts: int, voters: frozenset[str]) -> None:
        """Create a fleet without suspicion."""
        log = DecisionLog("test")
        self.names = [f"h{number}" for number in range(hosts)]
        self.suspected: dict[str, tuple[str, ...]] = {}
        membership = SimpleNamespace(peers=self.names[1:], last_heartbeat=self._heartbeat)
        self.view = view = SiteView(log)
        view.set_targets(
            Target(name, "s", f"10.0.0.1:{port}", "z1", 5, False, name == "a", 1)
            for port, name in enumerate("abc")
        )
        primaries = PrimaryTable(log)
        primaries.set_registry_primary("s", "a")
        members = [
            HostIdentity(name, 1, ZONES[number % 3], "") for number, name in enumerate(self.names)
        ]
        self.views = GroupViews(
            "h0",
            membership,
            SimpleNamespace(voters=voters),
            view,
            primaries,
            TargetHealth(log),
            lambda: members,
            lambda: True,
        )

    def _heartbeat(self, host: str) -> ReceivedHeartbeat:
        suspected = self.suspected.get(host, ())
        heartbeat = Heartbeat(host, 1, 1, 1, 1, 0, 0, 0, suspected_targets=suspected)
        return ReceivedHeartbeat(heartbeat, now_s(), now_s())


async def test_zones_of_the_suspecting_hosts_are_counted():
    """zone_cut: the hosts of one zone suspect every target elsewhere."""
    fleet = Fleet(9, frozenset(f"h{number}" for number in range(9)))
    fleet.suspected = dict.fromkeys(("h1", "h4", "h7"), ("a", "b"))
    (view,) = fleet.views.all()
    assert (view.suspecting_hosts, view.reporting_hosts) == (3, 9)
    assert (view.suspecting_zones, view.reporting_zones) == (1, 3)
    assert view.reachable_candidates == ("c",)


async def test_voters_alone_can_show_that_a_primary_is_lost():
    """195 hosts use a primary once in seconds, so most of them do not notice its loss."""
    fleet = Fleet(60, frozenset(("h0", "h1", "h2", "h3", "h4")))
    fleet.suspected = dict.fromkeys(("h1", "h2", "h3"), ("a",))
    (view,) = fleet.views.all()
    assert (view.suspecting_hosts, view.reporting_hosts) == (3, 5)
    assert view.reachable_candidates == ("b", "c")


async def test_hosts_without_a_vote_still_count_together():
    """primary_cut: half of the hosts lose the primary, but by chance no voter does."""
    fleet = Fleet(12, frozenset(("h0", "h1", "h2")))
    fleet.suspected = {f"h{number}": ("a",) for number in range(5, 12)}
    (view,) = fleet.views.all()
    assert (view.suspecting_hosts, view.reporting_hosts) == (7, 12)


async def test_a_suspected_replica_stays_a_candidate_with_synchronous_replication():
    """LOST, review/13: the only replica with all acknowledged commits was slow, and suspected."""
    fleet = Fleet(3, frozenset(("h0", "h1", "h2")))
    fleet.suspected = dict.fromkeys(("h1", "h2"), ("a", "b"))
    assert fleet.views.all()[0].preferred_candidates == ("c",)
    limits = {"s": ServiceLimits("s", 10)}
    configuration = EMPTY_CONFIGURATION._replace(services=limits, sync_replicas={"s": 1})
    fleet.view.set_configuration(configuration._replace(version=1), "test")
    assert fleet.views.all()[0].preferred_candidates == ("c", "b")
