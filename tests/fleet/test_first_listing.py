"""Tests of the copy that first lists a run: read from the store, soon, and never dated too late."""

import asyncio

import pytest

from pistachiowinch.base.clock import now_s
from pistachiowinch.fleet.first_listing import REGISTRATION_WAIT_S, FirstListingSource
from pistachiowinch.links.store import ChangeBatch

pytestmark = pytest.mark.looptime

CALL_S = 0.004
USUAL = ChangeBatch((), 1, -1.0)


class Store:
    """Answers each read of changes after some milliseconds with none."""

    def __init__(self) -> None:
        """Create a store without calls."""
        self.waits_s: list[float] = []

    async def changes(self, prefix: str, after_revision: int, wait_s: float) -> ChangeBatch:
        """Return no changes; a store states no date of its own."""
        self.waits_s.append(wait_s)
        await asyncio.sleep(CALL_S)
        return ChangeBatch((), after_revision)


class Voters:
    """Sends changes as slowly as voters that start at the same moment."""

    async def changes(self, prefix: str, after_revision: int, wait_s: float) -> ChangeBatch:
        """Return no changes after the wait for the first heartbeats."""
        await asyncio.sleep(0.6)
        return USUAL


async def test_a_run_is_listed_one_call_after_its_registration():
    """After a loss of all, 78 hosts waited 0.63 s for voters that were starting as well."""
    store, registered = Store(), asyncio.Event()
    source = FirstListingSource(Voters(), store, registered)
    started_s = now_s()
    asyncio.get_running_loop().call_later(0.1, registered.set)
    batch = await source.changes("fleet/", 7, 4.0)
    assert now_s() - started_s == pytest.approx(0.1 + CALL_S)
    # The call didn't wait, so nothing later than it is known.
    assert batch.as_of_s == pytest.approx(started_s + 0.1)
    assert store.waits_s == [0.0]
    assert await source.changes("fleet/", 7, 4.0) is USUAL
    assert len(store.waits_s) == 1


async def test_a_host_that_cannot_register_follows_the_voters():
    """A host that the store turns away must still learn of switches."""
    store = Store()
    source = FirstListingSource(Voters(), store, asyncio.Event())
    started_s = now_s()
    assert await source.changes("fleet/", 7, 4.0) is USUAL
    assert now_s() - started_s <= REGISTRATION_WAIT_S + 0.6 + 0.01
    assert not store.waits_s
