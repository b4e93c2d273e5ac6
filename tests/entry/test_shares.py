"""A host's part of rates and connections: together never more than the whole."""

import asyncio

import pytest

from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.entry.shares import UNPROVED_SHARE_S, Shares
from pistachiowinch.sessions.site import (
    EMPTY_CONFIGURATION,
    ServiceLimits,
    SiteView,
)

pytestmark = pytest.mark.looptime


class Hosts:
    """Members as a test sets them."""

    def __init__(self, names: str) -> None:
        """Name the members."""
        self.names = frozenset(names)


class Proof:
    """A proof that a test ends."""

    is_valid = True


def view_of(max_connections: int) -> SiteView:
    """Return a view with one service."""
    view = SiteView(DecisionLog("test"))
    services = {"svc": ServiceLimits("svc", max_connections)}
    view.set_configuration(EMPTY_CONFIGURATION._replace(version=1, services=services), "test")
    return view


@pytest.mark.parametrize(("limit", "hosts"), [(33, "abcdefghi"), (50, "abcdefg"), (9, "abcd")])
async def test_all_connections_together_fit_the_target(limit, hosts):
    """Load of all hosts at once: a target refuses what is above its limit."""
    shares = Shares(Proof(), Hosts(hosts), view_of(limit))
    assert 0 < shares.connections("svc") * len(hosts) <= limit


async def test_an_unknown_service_gets_one_connection():
    """A service without stated limits must still be served."""
    assert Shares(Proof(), Hosts("ab"), view_of(9)).connections("other") == 1


async def test_the_part_of_the_rates_outlives_the_proof_for_a_while():
    """Load while proofs flicker: a lost heartbeat dropped the whole part and its burst."""
    proof = Proof()
    shares = Shares(proof, Hosts("abcd"), view_of(9))
    assert shares.rates() == 1.0
    proof.is_valid = False
    await asyncio.sleep(UNPROVED_SHARE_S - 0.1)
    assert shares.rates() == 1.0
    await asyncio.sleep(0.2)
    assert shares.rates() == 0.0


async def test_a_host_that_never_had_a_proof_has_no_part():
    """QUOTA: a host that starts without the store knows nothing of the members."""
    proof = Proof()
    proof.is_valid = False
    assert Shares(proof, Hosts("a"), view_of(9)).rates() == 0.0
