"""Guards against lost writes, two primaries and a service that stays without one."""

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


class Scene:
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
                work = LedgerWriter(host, name).repeat(self.results, 60.0)
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
        return [record for record in self.group.commands if record.kind == "promote"]

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
async def scene():
    built = Scene()
    yield built
    await built.site.close()


async def test_crashed_primary_is_replaced_without_losses(scene):
    await scene.start()
    scene.group.crash(A, is_silent=True)
    fault_s = now_s()
    await sleep_s(FAULT_S)
    assert scene.site.primary() != A
    assert len(scene.promotions()) == 1
    assert scene.acknowledged_after(fault_s + 1.0)
    await scene.finish()


async def test_primary_cut_off_from_some_hosts_only_stays_and_these_hosts_are_outvoted(scene):
    await scene.start()
    cut = scene.site.members[:2]
    scene.group.cut(A, cut)
    await sleep_s(FAULT_S)
    assert scene.site.primary() == A and not scene.promotions()
    hosts = scene.site.hosts.values()
    assert [host.host for host in hosts if host.group.is_outvoted] == list(cut)
    await scene.finish()


async def test_primary_cut_off_from_most_hosts_is_replaced_and_acknowledges_nothing_more(scene):
    await scene.start()
    scene.group.cut(A, scene.site.members[:3])
    await sleep_s(FAULT_S + 1.0)
    assert scene.site.primary() != A
    await scene.finish()


async def test_host_without_contact_to_its_peers_neither_promotes_nor_counts(scene):
    await scene.start()
    lonely = scene.first_host()
    scene.site.peers.isolate([lonely.host])
    scene.group.cut(lonely.host, [A])
    await sleep_s(5.0)
    assert not scene.promotions()
    scene.site.peers.heal_all()
    await scene.finish()


async def test_primary_cut_off_from_its_replicas_acknowledges_nothing_until_healed(scene):
    await scene.start()
    scene.group.cut(A, [B, C])
    await sleep_s(0.3)
    quiet_s = now_s()
    await sleep_s(FAULT_S)
    if scene.site.primary() == A:
        assert not scene.acknowledged_after(quiet_s)
    await scene.finish()


@pytest.mark.parametrize("kind", ["fence", "promote", "follow"])
@pytest.mark.parametrize("number", [1, 2])
async def test_promoter_that_dies_after_a_step_is_taken_over(scene, kind, number):
    await scene.start()
    seen = []

    def strike(record):
        if record.kind == kind:
            seen.append(record)
            if len(seen) == number:
                scene.site.hosts[record.host].die()

    scene.site.strike = strike
    scene.group.crash(A, is_silent=True)
    fault_s = now_s()
    await sleep_s(7.0)
    assert scene.acknowledged_after(fault_s + 6.0)
    await scene.finish()


async def test_promoter_that_dies_before_publishing_is_seen_by_all(scene):
    await scene.start()
    promoter = scene.first_host()
    scene.group.crash(A, is_silent=True)

    async def dies(term, primary):
        if primary:
            promoter.die()

    promoter.group.promoter._publish = dies
    await sleep_s(3.0)
    assert not promoter.is_alive
    primaries = {h.group.tracker.primary for h in scene.site.hosts.values() if h.is_alive}
    assert primaries == {scene.site.primary()}
    await scene.finish()


async def test_two_hosts_that_promote_at_once_leave_one_primary(scene):
    await scene.start()
    scene.group.crash(A, is_silent=True)
    hosts = list(scene.site.hosts.values())[:3]
    await asyncio.gather(*(host.group.promoter.promote() for host in hosts))
    await sleep_s(FAULT_S)
    await scene.finish()
    roles = [status.role for status in scene.group.statuses().values()]
    assert roles.count(TargetRole.PRIMARY) == 1


async def test_terms_of_concurrent_and_repeated_promotions_are_all_different(scene):
    await scene.start(is_writing=False)
    hosts = list(scene.site.hosts.values())
    terms = []
    for host in hosts:
        announce = host.group.promoter._store.announce

        async def noted(value, announce=announce):
            terms.append(value.term)
            return await announce(value)

        host.group.promoter._store.announce = noted
    for _ in range(4):
        await asyncio.gather(*(host.group.promoter.promote() for host in hosts))
    assert len(terms) == len(set(terms)) == 20
    await scene.finish()


@pytest.mark.parametrize("fault", ["down", "slow"])
async def test_store_that_fails_throughout_does_not_prevent_a_promotion(scene, fault):
    await scene.start()
    if fault == "down":
        scene.site.store.faults.is_down = True
    else:
        scene.site.store.faults.delay_s = 60.0
    scene.group.crash(A, is_silent=True)
    fault_s = now_s()
    await sleep_s(7.0)
    assert scene.acknowledged_after(fault_s + 1.5)
    await scene.finish()


async def test_lost_reply_of_the_store_is_read_back_and_not_taken_for_a_competitor(scene):
    await scene.start()
    scene.site.store.faults.lost_replies = 1
    scene.group.crash(A, is_silent=True)
    await sleep_s(FAULT_S)
    assert scene.site.primary() != A
    assert len(scene.promotions()) == 1
    await scene.finish()


async def test_competing_announcement_in_the_store_stops_a_promotion(scene):
    await scene.start(is_writing=False)
    first, second = list(scene.site.hosts.values())[:2]
    results = await asyncio.gather(first.group.promoter.promote(), second.group.promoter.promote())
    assert [type(result).__name__ for result in results].count("Success") == 1
    await scene.finish()


@pytest.mark.parametrize("kind", ["fence", "promote", "follow"])
async def test_paused_promoter_that_wakes_up_late_changes_nothing(scene, kind):
    await scene.start()
    paused = []

    def strike(record):
        if record.kind == kind and not paused:
            paused.append(scene.site.hosts[record.host])
            paused[0].pause()

    scene.site.strike = strike
    scene.group.crash(A, is_silent=True)
    await sleep_s(5.0)
    primary = scene.site.primary()
    paused[0].resume()
    await sleep_s(FAULT_S)
    assert scene.site.primary() == primary
    await scene.finish()


@pytest.mark.parametrize("fault", ["crash", "cut", "lost reply"])
async def test_second_failure_during_the_promotion_ends_with_a_primary(scene, fault):
    await scene.start()
    struck = []

    def strike(record):
        if record.kind == "fence" and not struck:
            struck.append(record.target)
            if fault == "crash":
                scene.group.crash(record.target, is_silent=True)
            elif fault == "cut":
                scene.group.isolate(record.target)
            else:
                scene.group.lose_reply(record.target, "promote")

    scene.site.strike = strike
    scene.group.crash(A, is_silent=True)
    fault_s = now_s()
    await sleep_s(3.0)
    scene.site.strike = None
    if fault == "crash":
        scene.group.restart(struck[0])
    scene.group.network.heal_all()
    await sleep_s(4.0)
    assert scene.acknowledged_after(fault_s + 6.0)
    await scene.finish()


async def test_unclear_answer_to_promote_leads_to_a_newer_term(scene):
    """Promoting another target with the same term would give two primaries of one term."""
    await scene.start(is_writing=False)
    for target in (B, C):
        scene.group.lose_reply(target, "promote")
    scene.group.crash(A, is_silent=True)
    await sleep_s(4.0)
    terms = [entry.term for target in scene.group.targets.values() for entry in target.log]
    for term in set(terms) - {1}:
        holders = {
            (entry.term, entry.position)
            for target in scene.group.targets.values()
            for entry in target.log
            if entry.term == term
        }
        assert len(holders) == len({position for _, position in holders})
    await scene.finish()


@pytest.mark.parametrize(("ahead", "behind"), [(B, C), (C, B)])
async def test_both_replicas_behind_lose_no_acknowledged_write(scene, ahead, behind):
    await scene.start()
    scene.group.set_lag(ahead, receive_s=0.1, apply_s=0.5)
    scene.group.set_lag(behind, receive_s=0.3, apply_s=0.2)
    await sleep_s(1.0)
    scene.group.crash(A, is_silent=True)
    await sleep_s(FAULT_S)
    assert scene.site.primary() == ahead
    counts = await scene.finish()
    assert counts["acknowledged"] > 100


async def test_returning_old_primary_serves_nothing_until_it_is_reset(scene):
    await scene.start()
    scene.group.isolate(A)
    await sleep_s(FAULT_S)
    old = scene.group.targets[A]
    assert old.is_writable and old.stream_term == 1
    for host in scene.site.hosts.values():
        assert host.group.tracker.term > 1
    scene.group.rejoin(A)
    await sleep_s(FAULT_S)
    assert old.role is TargetRole.REPLICA
    assert old.stream_term == scene.group.targets[scene.site.primary()].stream_term
    await scene.finish()


async def test_stray_fence_is_repaired_by_a_newer_term(scene):
    """A promoter died after it fenced one replica, which no longer obeys the current term."""
    await scene.start()
    await scene.group.view("vanished").fence(C, 1 << 40)
    await sleep_s(5.0)
    await scene.finish()


async def test_all_targets_fenced_and_nobody_promoting_is_taken_over(scene):
    await scene.start()
    for target in TARGETS:
        await scene.group.view("vanished").fence(target, 1 << 40)
    fault_s = now_s()
    await sleep_s(5.0)
    assert scene.acknowledged_after(fault_s + 4.0)
    await scene.finish()


async def test_host_without_incarnation_does_not_promote(scene):
    for host in scene.site.hosts.values():
        host.incarnation = 0
    await scene.start(is_writing=False)
    scene.group.crash(A, is_silent=True)
    await sleep_s(5.0)
    assert not scene.group.commands
    for number, host in enumerate(scene.site.hosts.values(), 1):
        host.incarnation = number
    await sleep_s(FAULT_S)
    await scene.finish()


async def test_whole_group_restart_recovers_without_promotion_of_an_empty_target(scene):
    await scene.start()
    for target in TARGETS:
        scene.group.crash(target)
    await sleep_s(1.5)
    for target in (C, B, A):
        scene.group.restart(target)
        await sleep_s(0.5)
    await scene.finish()
