"""Shares of rates and connections: all hosts together never exceed the limit."""

import asyncio

import pytest

from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.entry.shares import RATE_SHARE_GRACE_S, Shares
from pistachiowinch.sessions.site import (
    EMPTY_CONFIGURATION,
    ServiceLimits,
    SiteView,
)

pytestmark = pytest.mark.looptime


class FakeMembers:
    """Fleet members that a test sets."""

    def __init__(self, names: str) -> None:
        """Set the members."""
        self.names = frozenset(names)


class FakeLease:
    """Primary lease that a test can end."""

    is_valid = True


def view_of(max_connections: int) -> SiteView:
    """Return a view with one service."""
    view = SiteView(DecisionLog("test"))
    services = {"svc": ServiceLimits("svc", max_connections)}
    view.set_configuration(EMPTY_CONFIGURATION._replace(version=1, services=services), "test")
    return view


@pytest.mark.parametrize(("limit", "hosts"), [(33, "abcdefghi"), (50, "abcdefg"), (9, "abcd")])
async def test_all_connections_together_fit_the_target(limit, hosts):
    """All hosts use their shares at once: a target refuses connections above its limit."""
    shares = Shares(FakeLease(), FakeMembers(hosts), view_of(limit))
    assert 0 < shares.connection_limit("svc") * len(hosts) <= limit


async def test_an_unknown_service_gets_one_connection():
    """A service without configured limits must still be served."""
    assert Shares(FakeLease(), FakeMembers("ab"), view_of(9)).connection_limit("other") == 1


async def test_the_rate_share_outlives_the_lease_for_a_while():
    """A lost heartbeat ends the lease briefly, which must not drop the rate share and its burst."""
    lease = FakeLease()
    shares = Shares(lease, FakeMembers("abcd"), view_of(9))
    assert shares.rate_share() == 1.0
    lease.is_valid = False
    await asyncio.sleep(RATE_SHARE_GRACE_S - 0.1)
    assert shares.rate_share() == 1.0
    await asyncio.sleep(0.2)
    assert shares.rate_share() == 0.0


async def test_a_host_that_never_had_a_lease_has_no_rate_share():
    """QUOTA: a host that starts without the store does not know the members."""
    lease = FakeLease()
    lease.is_valid = False
    assert Shares(lease, FakeMembers("a"), view_of(9)).rate_share() == 0.0
