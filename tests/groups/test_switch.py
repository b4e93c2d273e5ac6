"""Guards against interrupted transactions and lost writes during a planned switch."""

import asyncio

import pytest
from groups.checks import assert_history, settle
from returns.result import Failure, Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.hashing import rendezvous_order
from pistachiowinch.measure.failover import SERVICE, TARGETS, GroupSite, LedgerWriter

pytestmark = pytest.mark.looptime(noop_cycles=0)
A, B, C = TARGETS


@pytest.fixture
async def site():
    built = GroupSite(5, 1)
    yield built
    await built.close()


async def writing(site, results):
    await site.start()
    for name, host in site.hosts.items():
        host.spawn(LedgerWriter(host, name).write_until(results, now_s() + 6.0))
    await sleep_s(1.0)


def first_host(site):
    return site.hosts[rendezvous_order(SERVICE, site.members)[0]]


async def test_switch_moves_the_primary_without_interrupting_any_transaction(site):
    results = []
    await writing(site, results)
    lost = []
    for host in site.hosts.values():
        host.group.tracker.report_lost_connection = lost.append
    started_s = now_s()
    assert await first_host(site).group.switch_primary([C]) == Success(C)
    assert now_s() - started_s < 1.0
    assert site.primary() == C and not lost
    await settle(site)
    await sleep_s(6.0)
    counts = assert_history(site, results)
    assert counts["acknowledged"] == len(results)


async def test_all_hosts_asking_at_once_switch_only_once(site):
    results = []
    await writing(site, results)
    found = await asyncio.gather(
        *(host.group.switch_primary([B, C]) for host in site.hosts.values())
    )
    assert {type(one) for one in found} == {Success}
    assert len({one.unwrap() for one in found}) == 1
    assert sum(record.kind == "promote" for record in site.group.orders) == 1
    await settle(site)
    await sleep_s(5.0)
    assert_history(site, results)


async def test_target_that_does_not_catch_up_is_not_promoted(site):
    results = []
    await writing(site, results)
    site.group.pause_replication(C)
    await sleep_s(0.5)
    found = await first_host(site).group.switch_primary([C])
    assert isinstance(found, Failure) and site.primary() == A
    await sleep_s(0.5)
    assert any(result.answered_s > now_s() - 0.4 for result in results), "the hold did not end"
    site.group.resume_replication(C)
    await settle(site)
    assert_history(site, results)


async def test_switching_host_that_dies_holds_no_transaction_for_long(site):
    results = []
    await writing(site, results)
    host = first_host(site)
    switching = asyncio.create_task(host.group.switch_primary([C]))
    await sleep_s(0.002)
    host.crash()
    switching.cancel()
    await sleep_s(1.5)
    assert any(result.answered_s > now_s() - 0.3 for result in results)
    await settle(site)
    assert_history(site, results)


async def test_host_that_does_not_answer_the_hold_loses_no_write(site):
    results = []
    await writing(site, results)
    silent = next(host for host in site.hosts.values() if host is not first_host(site))
    site.peers.isolate([silent.host])
    await first_host(site).group.switch_primary([B])
    await sleep_s(1.0)
    site.peers.heal_all()
    await settle(site)
    await sleep_s(5.0)
    assert_history(site, results)


async def test_failure_during_the_switch_is_repaired(site):
    results = []
    await writing(site, results)

    def inject_fault(record):
        if record.kind == "promote":
            site.on_order = None
            site.group.crash(record.target, is_silent=True)

    site.on_order = inject_fault
    await first_host(site).group.switch_primary([B])
    await sleep_s(4.0)
    assert any(result.answered_s > now_s() - 0.5 for result in results)
    site.group.restart(B)
    await settle(site)
    assert_history(site, results)
