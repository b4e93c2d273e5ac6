"""Guards against lost writes, two primaries and a service that is left without a primary."""

import asyncio

import pytest
from groups.checks import assert_history, settle

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.hashing import rendezvous_order
from pistachiowinch.links.targets import TargetRole
from pistachiowinch.measure.failover import SERVICE, TARGETS, GroupSite, LedgerWriter

pytestmark = pytest.mark.looptime(noop_cycles=0)
A, B, C = TARGETS
FAULT_S = 2.0


class Scenario:
    """A running site with one writer on each host."""

    def __init__(self, hosts=5, seed=1):
        self.site = GroupSite(hosts, seed)
        self.group = self.site.group
        self.results = []

    async def start(self, is_writing=True):
        await self.site.start()
        self.ends_s = float("inf")
        self.writers = []
        if is_writing:
            for name, host in self.site.hosts.items():
                work = LedgerWriter(host, name).write_until(self.results, 60.0)
                self.writers.append(host.spawn(work))
            await sleep_s(1.0)

    def first_host(self, without=()):
        """The host that starts a promotion first."""
        order = rendezvous_order(SERVICE, [h for h in self.site.members if h not in without])
        return self.site.hosts[order[0]]

    def acknowledged_after(self, time_s):
        return [
            result
            for result in self.results
            if result.outcome == "acknowledged" and result.answered_s > time_s
        ]

    def promotions(self):
        return [record for record in self.group.orders if record.kind == "promote"]

    async def finish(self):
        """End all faults, let the service recover and check every answer."""
        self.group.network.heal_all()
        for name, target in self.group.targets.items():
            if not target.is_up:
                self.group.restart(name)
            self.group.resume_replication(name)
        self.site.store.faults.is_down = False
        self.site.store.faults.delay_s = 0.003
        for host in self.site.hosts.values():
            host.resume()
        await settle(self.site)
        recovered_s = now_s()
        await sleep_s(1.0)
        if self.writers:
            assert self.acknowledged_after(recovered_s), "no writes after the recovery"
        for task in self.writers:
            task.cancel()
        await sleep_s(0.5)
        return assert_history(self.site, self.results)


@pytest.fixture
async def scenario():
    built = Scenario()
    yield built
    await built.site.close()


async def test_crashed_primary_is_replaced_without_losses(scenario):
    await scenario.start()
    scenario.group.crash(A, is_silent=True)
    fault_s = now_s()
    await sleep_s(FAULT_S)
    assert scenario.site.primary() != A
    assert len(scenario.promotions()) == 1
    assert scenario.acknowledged_after(fault_s + 1.0)
    await scenario.finish()


async def test_primary_cut_off_from_some_hosts_only_stays_and_these_hosts_are_outvoted(scenario):
    await scenario.start()
    cut = scenario.site.members[:2]
    scenario.group.cut(A, cut)
    await sleep_s(FAULT_S)
    assert scenario.site.primary() == A and not scenario.promotions()
    hosts = scenario.site.hosts.values()
    assert [host.host for host in hosts if host.group.is_outvoted] == list(cut)
    await scenario.finish()


async def test_primary_cut_off_from_most_hosts_is_replaced_and_acknowledges_nothing_more(scenario):
    await scenario.start()
    scenario.group.cut(A, scenario.site.members[:3])
    await sleep_s(FAULT_S + 1.0)
    assert scenario.site.primary() != A
    await scenario.finish()


async def test_host_without_contact_to_its_peers_neither_promotes_nor_counts(scenario):
    await scenario.start()
    isolated = scenario.first_host()
    scenario.site.peers.isolate([isolated.host])
    scenario.group.cut(isolated.host, [A])
    await sleep_s(5.0)
    assert not scenario.promotions()
    scenario.site.peers.heal_all()
    await scenario.finish()


async def test_primary_cut_off_from_its_replicas_acknowledges_nothing_until_healed(scenario):
    await scenario.start()
    scenario.group.cut(A, [B, C])
    await sleep_s(0.3)
    quiet_s = now_s()
    await sleep_s(FAULT_S)
    if scenario.site.primary() == A:
        assert not scenario.acknowledged_after(quiet_s)
    await scenario.finish()


@pytest.mark.parametrize("kind", ["fence", "promote", "follow"])
@pytest.mark.parametrize("number", [1, 2])
async def test_promoter_that_dies_after_a_step_is_taken_over(scenario, kind, number):
    await scenario.start()
    seen = []

    def inject_fault(record):
        if record.kind == kind:
            seen.append(record)
            if len(seen) == number:
                scenario.site.hosts[record.host].crash()

    scenario.site.on_order = inject_fault
    scenario.group.crash(A, is_silent=True)
    fault_s = now_s()
    await sleep_s(7.0)
    assert scenario.acknowledged_after(fault_s + 6.0)
    await scenario.finish()


async def test_promoter_that_dies_before_publishing_is_seen_by_all(scenario):
    await scenario.start()
    promoter = scenario.first_host()
    scenario.group.crash(A, is_silent=True)

    async def die_before_publishing(term, primary):
        if primary:
            promoter.crash()

    promoter.group.promoter._publish = die_before_publishing
    await sleep_s(3.0)
    assert not promoter.is_alive
    primaries = {h.group.tracker.primary for h in scenario.site.hosts.values() if h.is_alive}
    assert primaries == {scenario.site.primary()}
    await scenario.finish()


async def test_two_hosts_that_promote_at_once_leave_one_primary(scenario):
    await scenario.start()
    scenario.group.crash(A, is_silent=True)
    hosts = list(scenario.site.hosts.values())[:3]
    await asyncio.gather(*(host.group.promoter.promote() for host in hosts))
    await sleep_s(FAULT_S)
    await scenario.finish()
    roles = [status.role for status in scenario.group.statuses().values()]
    assert roles.count(TargetRole.PRIMARY) == 1


async def test_terms_of_concurrent_and_repeated_promotions_are_all_different(scenario):
    await scenario.start(is_writing=False)
    hosts = list(scenario.site.hosts.values())
    terms = []
    for host in hosts:
        announce = host.group.promoter._store.announce

        async def recording_announce(value, announce=announce):
            terms.append(value.term)
            return await announce(value)

        host.group.promoter._store.announce = recording_announce
    for _ in range(4):
        await asyncio.gather(*(host.group.promoter.promote() for host in hosts))
    assert len(terms) == len(set(terms)) == 20
    await scenario.finish()


@pytest.mark.parametrize("fault", ["down", "slow"])
async def test_store_that_fails_throughout_does_not_prevent_a_promotion(scenario, fault):
    await scenario.start()
    if fault == "down":
        scenario.site.store.faults.is_down = True
    else:
        scenario.site.store.faults.delay_s = 60.0
    scenario.group.crash(A, is_silent=True)
    fault_s = now_s()
    await sleep_s(7.0)
    assert scenario.acknowledged_after(fault_s + 1.5)
    await scenario.finish()


async def test_lost_reply_of_the_store_is_read_back_and_not_taken_for_a_competitor(scenario):
    await scenario.start()
    scenario.site.store.faults.lost_replies = 1
    scenario.group.crash(A, is_silent=True)
    await sleep_s(FAULT_S)
    assert scenario.site.primary() != A
    assert len(scenario.promotions()) == 1
    await scenario.finish()


async def test_competing_announcement_in_the_store_stops_a_promotion(scenario):
    await scenario.start(is_writing=False)
    first, second = list(scenario.site.hosts.values())[:2]
    results = await asyncio.gather(first.group.promoter.promote(), second.group.promoter.promote())
    assert [type(result).__name__ for result in results].count("Success") == 1
    await scenario.finish()


@pytest.mark.parametrize("kind", ["fence", "promote", "follow"])
async def test_paused_promoter_that_wakes_up_late_changes_nothing(scenario, kind):
    await scenario.start()
    paused = []

    def inject_fault(record):
        if record.kind == kind and not paused:
            paused.append(scenario.site.hosts[record.host])
            paused[0].pause()

    scenario.site.on_order = inject_fault
    scenario.group.crash(A, is_silent=True)
    await sleep_s(5.0)
    primary = scenario.site.primary()
    paused[0].resume()
    await sleep_s(FAULT_S)
    assert scenario.site.primary() == primary
    await scenario.finish()


@pytest.mark.parametrize("fault", ["crash", "cut", "lost reply"])
async def test_second_failure_during_the_promotion_ends_with_a_primary(scenario, fault):
    await scenario.start()
    faulted = []

    def inject_fault(record):
        if record.kind == "fence" and not faulted:
            faulted.append(record.target)
            if fault == "crash":
                scenario.group.crash(record.target, is_silent=True)
            elif fault == "cut":
                scenario.group.isolate(record.target)
            else:
                scenario.group.lose_reply(record.target, "promote")

    scenario.site.on_order = inject_fault
    scenario.group.crash(A, is_silent=True)
    fault_s = now_s()
    await sleep_s(3.0)
    scenario.site.on_order = None
    if fault == "crash":
        scenario.group.restart(faulted[0])
    scenario.group.network.heal_all()
    await sleep_s(4.0)
    assert scenario.acknowledged_after(fault_s + 6.0)
    await scenario.finish()


async def test_unclear_answer_to_promote_leads_to_a_newer_term(scenario):
    """Promoting another target with the same term would give two primaries of one term."""
    await scenario.start(is_writing=False)
    for target in (B, C):
        scenario.group.lose_reply(target, "promote")
    scenario.group.crash(A, is_silent=True)
    await sleep_s(4.0)
    terms = [entry.term for target in scenario.group.targets.values() for entry in target.log]
    for term in set(terms) - {1}:
        holders = {
            (entry.term, entry.position)
            for target in scenario.group.targets.values()
            for entry in target.log
            if entry.term == term
        }
        assert len(holders) == len({position for _, position in holders})
    await scenario.finish()


@pytest.mark.parametrize(("ahead", "behind"), [(B, C), (C, B)])
async def test_both_replicas_behind_lose_no_acknowledged_write(scenario, ahead, behind):
    await scenario.start()
    scenario.group.set_lag(ahead, receive_s=0.1, apply_s=0.5)
    scenario.group.set_lag(behind, receive_s=0.3, apply_s=0.2)
    await sleep_s(1.0)
    scenario.group.crash(A, is_silent=True)
    await sleep_s(FAULT_S)
    assert scenario.site.primary() == ahead
    counts = await scenario.finish()
    assert counts["acknowledged"] > 100


async def test_returning_old_primary_serves_nothing_until_it_is_reset(scenario):
    await scenario.start()
    scenario.group.isolate(A)
    await sleep_s(FAULT_S)
    old = scenario.group.targets[A]
    assert old.is_writable and old.stream_term == 1
    for host in scenario.site.hosts.values():
        assert host.group.tracker.term > 1
    scenario.group.rejoin(A)
    await sleep_s(FAULT_S)
    assert old.role is TargetRole.REPLICA
    assert old.stream_term == scenario.group.targets[scenario.site.primary()].stream_term
    await scenario.finish()


async def test_stray_fence_is_repaired_by_a_newer_term(scenario):
    """A promoter died after fencing one replica, which then refuses the current term."""
    await scenario.start()
    await scenario.group.view("vanished").fence(C, 1 << 40)
    await sleep_s(5.0)
    await scenario.finish()


async def test_all_targets_fenced_and_nobody_promoting_is_taken_over(scenario):
    await scenario.start()
    for target in TARGETS:
        await scenario.group.view("vanished").fence(target, 1 << 40)
    fault_s = now_s()
    await sleep_s(5.0)
    assert scenario.acknowledged_after(fault_s + 4.0)
    await scenario.finish()


async def test_host_without_incarnation_does_not_promote(scenario):
    for host in scenario.site.hosts.values():
        host.incarnation = 0
    await scenario.start(is_writing=False)
    scenario.group.crash(A, is_silent=True)
    await sleep_s(5.0)
    assert not scenario.group.orders
    for number, host in enumerate(scenario.site.hosts.values(), 1):
        host.incarnation = number
    await sleep_s(FAULT_S)
    await scenario.finish()


async def test_whole_group_restart_recovers_without_promotion_of_an_empty_target(scenario):
    await scenario.start()
    for target in TARGETS:
        scenario.group.crash(target)
    await sleep_s(1.5)
    for target in (C, B, A):
        scenario.group.restart(target)
        await sleep_s(0.5)
    await scenario.finish()
