"""Configurations in force in time although those that a host relies on hear of none."""

import asyncio

import pytest
from fleet.silent_store import READER, SilentFleet

from pistachiowinch.base.clock import now_s
from pistachiowinch.fleet.copy_bounds import CopyBounds

pytestmark = pytest.mark.looptime

# gmsau-jingle-grown: time in which a confirmed configuration is in force.
APPLY_WITHIN_S = 5.0
# gmsau-jingle: the same, and the time after a fault from which it holds again.
SMALL_APPLY_WITHIN_S = 3.0
SMALL_CONTACT_S = 4.0
CHANGES = 12
# Time from the age at which the store is read to the answer: the shortest request, and a retry.
MAX_READ_DELAY_S = 0.6
# Moments of one poll by the voters, in which their store may fall silent.
PHASES_S = (0.1, 1.3, 2.6, 3.9)


async def started(votes: bool = False, apply_within_s: float = APPLY_WITHIN_S) -> SilentFleet:
    """Return a fleet with a configuration."""
    fleet = SilentFleet(votes, CopyBounds(apply_within_s))
    await asyncio.sleep(1.0)
    fleet.configure()
    await asyncio.sleep(1.0)
    assert fleet.reader.version == 1
    return fleet


async def assert_changes_in_time(fleet: SilentFleet, within_s: float = APPLY_WITHIN_S) -> None:
    """Confirm versions in a row, and check that each is in force in time."""

    async def check(version: int) -> None:
        await asyncio.sleep(within_s)
        assert fleet.reader.version >= version

    checks = []
    for _ in range(CHANGES):
        fleet.configure()
        checks.append(asyncio.ensure_future(check(fleet.version)))
        await asyncio.sleep(0.7)
    await asyncio.gather(*checks)


@pytest.mark.parametrize("phase_s", PHASES_S)
async def test_a_host_whose_voters_lost_the_store_has_each_version_in_time(phase_s):
    """CONFIG on gmsau-jingle-grown: the store fell silent for all voters, and a host that reaches
    it answered 404 for a route that had been confirmed 5.1 s before.
    """
    fleet = await started()
    await asyncio.sleep(phase_s)
    for voter in fleet.voters:
        voter.store.silence(60.0)
    await assert_changes_in_time(fleet)
    fleet.close()


async def test_a_host_that_is_cut_off_from_all_voters_has_each_version_in_time():
    """CONFIG: a host is in touch if it reaches the store, whether or not it reaches other hosts."""
    fleet = await started()
    fleet.network.isolate([READER])
    await assert_changes_in_time(fleet)
    fleet.close()


async def test_a_host_that_hears_voters_but_cannot_ask_them_has_each_version_in_time():
    """CONFIG: with one direction cut, heartbeats announced a version that nobody sent."""
    fleet = await started()
    fleet.cut_requests()
    await assert_changes_in_time(fleet)
    fleet.close()


async def test_an_unanswered_request_does_not_delay_the_read_of_the_store():
    """CONFIG: a request that voters leave unanswered took the time that the read would need."""
    fleet = await started()
    fleet.cut_requests()
    follower = fleet.reader.followers["op/"]
    for step in range(300):
        if step % 5 == 0:
            fleet.configure()
        await asyncio.sleep(0.1)
        assert now_s() - follower.as_of_s < fleet.bounds.direct_read_age_s + MAX_READ_DELAY_S
    fleet.close()


@pytest.mark.parametrize("phase_s", PHASES_S)
async def test_a_host_has_the_newest_version_soon_after_the_store_returns(phase_s):
    """CONFIG: hosts were in touch 5 s after the return of the store, with a version of 12 s ago."""
    fleet = await started()
    await asyncio.sleep(phase_s)
    for host in (*fleet.voters, fleet.reader):
        host.store.silence(14.0)
    # Voters that another record has replaced answer no more.
    fleet.network.isolate([READER])
    fleet.configure()
    fleet.store.compact()
    await asyncio.sleep(14.0 + APPLY_WITHIN_S)
    assert fleet.reader.version == fleet.version
    fleet.close()


async def test_an_answer_that_the_history_is_lost_is_no_failed_read():
    """CONFIG: the store had answered, but the whole read that must follow waited for 1.5 to 4.5 s
    more.
    """
    fleet = await started()
    fleet.network.isolate([READER])
    await asyncio.sleep(APPLY_WITHIN_S)
    fleet.reader.store.silence(0.5)
    await asyncio.sleep(0.5)
    fleet.configure()
    fleet.store.compact()
    await asyncio.sleep(APPLY_WITHIN_S)
    assert fleet.reader.version == fleet.version
    fleet.close()


async def test_a_poll_that_fell_silent_is_found_before_the_host_is_in_touch_again():
    """CONFIG on small fleets: a poll that lost its answer hid changes for 5 s, where a version must
    be in force after 3 s, from 4 s after the fault on.
    """
    fleet = await started(True, SMALL_APPLY_WITHIN_S)
    for phase_s in (0.02, 0.5, 1.0):
        await asyncio.sleep(SMALL_CONTACT_S + phase_s)
        fleet.configure()
        await asyncio.sleep(phase_s)
        fleet.reader.store.silence(0.1)
        await asyncio.sleep(0.2)
        fleet.configure()
        await asyncio.sleep(max(SMALL_CONTACT_S - 0.2, SMALL_APPLY_WITHIN_S))
        assert fleet.reader.version == fleet.version
    fleet.close()
