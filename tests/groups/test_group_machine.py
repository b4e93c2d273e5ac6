"""Guards against failures under combinations of faults that single tests do not cover.

The groups of several hosts run over fake targets. The checks look only at the answers to callers
and at the final data.
"""

import asyncio
import random

import looptime
from groups.checks import assert_history, settle
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.measure.failover import TARGETS, GroupSite, LedgerWriter

HOSTS = 4
WRITERS_PER_HOST = 2
PAUSES_S = (0.0, 0.0, 0.0007, 0.003, 0.02, 0.1, 0.4, 1.2)

targets = st.sampled_from(TARGETS)
hosts = st.sampled_from([f"host-{number}" for number in range(1, HOSTS + 1)])
nodes = st.one_of(targets, hosts)


class GroupMachine(RuleBasedStateMachine):
    """Injects faults at arbitrary moments while writers run."""

    def __init__(self):
        """Create an event loop with a virtual clock for this example."""
        super().__init__()
        self.loop = looptime.new_event_loop(start=0.0, noop_cycles=0)
        asyncio.set_event_loop(self.loop)
        self.results = []
        self.repeated = 0
        self.tasks = []
        self.site = None

    def run(self, work):
        return self.loop.run_until_complete(work)

    def do(self, action, *arguments, **options):
        """Call a function on the running loop, because faults read its clock and create tasks."""

        async def call():
            action(*arguments, **options)
            # Without time between faults most examples would see no failover at all.
            await sleep_s(self.random.choice(PAUSES_S))

        self.run(call())

    @initialize(seed=st.integers(1, 1000), lags_s=st.permutations((0.0, 0.02, 0.25)))
    def start(self, seed, lags_s):
        """Start with replicas that lag by different times."""
        self.random = random.Random(seed)

        async def start():
            self.site = GroupSite(HOSTS, seed)
            for instance, lag_s in zip(TARGETS, lags_s, strict=True):
                self.site.group.set_lag(instance, lag_s)
            await self.site.start()
            for name, host in self.site.hosts.items():
                for number in range(WRITERS_PER_HOST):
                    writer = LedgerWriter(host, f"{name}-{number}")
                    host.spawn(writer.write_until(self.results, 1e6, think_s=0.03))
            await sleep_s(0.5)

        self.run(start())

    # Time and callers ---------------------------------------------------------------------------

    @rule(duration_s=st.sampled_from([0.001, 0.1, 0.7, 2.0]))
    def pass_time(self, duration_s):
        self.run(sleep_s(duration_s))

    @rule(first=hosts, second=hosts, delay_s=st.sampled_from([0.0, 0.005, 0.3]))
    def send_one_request_through_two_hosts(self, first, second, delay_s):
        """A caller that reconnects repeats the request id; it must not run twice."""
        self.repeated += 1
        request = f"repeated-{self.repeated}"

        async def send(name, wait_s):
            await sleep_s(wait_s)
            host = self.site.hosts[name]
            writer = LedgerWriter(host, f"{name}-{request}")
            self.results.append(await writer.write(request_id=request))

        for name, wait_s in ((first, 0.0), (second, delay_s)):
            host = self.site.hosts[name]
            if host.is_alive:
                self.do(lambda h=host, n=name, w=wait_s: h.spawn(send(n, w)))

    # Targets and their network ------------------------------------------------------------------

    @rule(instance=targets, is_silent=st.booleans())
    def crash(self, instance, is_silent):
        self.do(self.site.group.crash, instance, is_silent)

    @rule(is_silent=st.booleans(), is_cut=st.booleans())
    def lose_primary(self, is_silent, is_cut):
        """Crash or cut off whichever target is the primary now."""
        writable = [found for found in self.site.group.targets.values() if found.is_writable]
        if not writable:
            return
        primary = max(writable, key=lambda found: found.stream_term).name
        if is_cut:
            self.do(self.site.group.isolate, primary)
        else:
            self.do(self.site.group.crash, primary, is_silent)

    @rule(instance=targets)
    def restart(self, instance):
        if not self.site.group.targets[instance].is_up:
            self.do(self.site.group.restart, instance)

    @rule(node=nodes, instance=targets)
    def cut(self, node, instance):
        if node != instance:
            self.do(self.site.group.cut, node, instance)

    @rule(instance=targets)
    def isolate(self, instance):
        self.do(self.site.group.isolate, instance)

    @rule()
    def heal(self):
        self.do(self.site.group.network.heal_all)
        self.do(self.site.peers.heal_all)

    @rule(instance=targets)
    def silence(self, instance):
        self.do(self.site.group.silence, instance)

    @rule(instance=targets, kind=st.sampled_from(["fence", "promote", "follow"]))
    def lose_reply(self, instance, kind):
        self.do(self.site.group.lose_reply, instance, kind)

    @rule(instance=targets)
    def lose_answer_to_commit(self, instance):
        self.do(self.site.group.lose_result, instance, "commit")

    @rule(instance=targets, factor=st.sampled_from([1.0, 30.0, 400.0]))
    def slow_down(self, instance, factor):
        self.do(
            self.site.group.slow_down, instance, factor, command_delay_s=0.0005 * (factor - 1.0)
        )

    @rule(instance=targets, receive_s=st.sampled_from([0.0, 0.05, 0.4]))
    def lag(self, instance, receive_s):
        self.do(self.site.group.set_lag, instance, receive_s, receive_s)

    @rule(instance=targets)
    def pause_replication(self, instance):
        self.do(self.site.group.pause_replication, instance)

    @rule(instance=targets)
    def resume_replication(self, instance):
        self.do(self.site.group.resume_replication, instance)

    # Hosts, peers and store ---------------------------------------------------------------------

    @rule(name=hosts)
    def pause_host(self, name):
        if self.site.hosts[name].is_alive:
            self.do(self.site.hosts[name].pause)

    @rule(name=hosts)
    def resume_host(self, name):
        self.do(self.site.hosts[name].resume)

    @precondition(lambda self: all(host.is_alive for host in self.site.hosts.values()))
    @rule(name=hosts)
    def kill_host(self, name):
        """Kill at most one host, because a majority of the four has to stay."""
        host = self.site.hosts[name]
        self.do(host.resume)
        self.do(host.crash)

    @rule(name=hosts)
    def isolate_host_from_peers(self, name):
        self.do(self.site.peers.isolate, [name])

    @rule(kind=st.sampled_from(["down", "slow", "lost replies", "healthy"]))
    def change_store(self, kind):
        faults = self.site.store.faults
        faults.is_down = kind == "down"
        faults.delay_s = 60.0 if kind == "slow" else 0.003
        faults.lost_replies = 2 if kind == "lost replies" else 0

    # Promotions that detection would not start --------------------------------------------------

    @rule(name=hosts)
    def promote(self, name):
        host = self.site.hosts[name]
        if host.is_alive:
            self.do(lambda: host.spawn(host.group.promoter.promote()))

    @rule(name=hosts, instance=targets)
    def switch(self, name, instance):
        host = self.site.hosts[name]
        if host.is_alive:
            self.do(lambda: host.spawn(host.group.switch_primary([instance])))

    def teardown(self):
        try:
            if self.site is not None:
                self.run(self._finish())
        finally:
            asyncio.set_event_loop(None)
            self.loop.close()

    async def _finish(self):
        site = self.site
        site.group.network.heal_all()
        site.peers.heal_all()
        for name, instance in site.group.targets.items():
            instance.lost_replies.clear()
            if not instance.is_up:
                site.group.restart(name)
            site.group.resume_replication(name)
            site.group.set_lag(name)
            site.group.slow_down(name, 1.0)
        site.store.faults.is_down = False
        site.store.faults.lost_replies = 0
        site.store.faults.delay_s = 0.003
        for host in site.hosts.values():
            host.resume()
        await settle(site)
        recovered_s = now_s()
        await sleep_s(2.5)
        recent = [result for result in self.results if result.answered_s > recovered_s]
        assert any(
            result.outcome == "acknowledged" for result in recent
        ), "no writes after the recovery"
        # The results do not contain writes of dead hosts; all other writes have been answered.
        assert_history(site, self.results)
        await site.close()


GroupMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=12,
    stateful_step_count=30,
    deadline=None,
    database=None,
    # Shrinking reruns whole scenarios for minutes; the failing steps are printed without it.
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)
TestGroupMachine = GroupMachine.TestCase
