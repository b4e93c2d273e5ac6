"""Random combinations of faults over roster, standing and configuration.

Guards against three things at every moment: a version that goes back, shares that add up to more
than 1, and a host with standing whose version was replaced longer ago than the standing limit.
"""

import asyncio

import looptime
from configuration.site_world import HEARTBEAT_S, World, rate_patch
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.configuration.head import decode_head
from pistachiowinch.configuration.standing import STANDING_LIMIT_S
from pistachiowinch.links.store import StoreError
from pistachiowinch.standins.memory_store import MemoryStore

NAMES = ("a", "b", "c", "d", "e")
CHECK_S = 0.02
HOSTS = st.sampled_from(NAMES)
GROUPS = st.sets(HOSTS, min_size=1, max_size=4)


class Checker:
    """Compares what the hosts do with what the store holds."""

    def __init__(self, world):
        self.world = world
        self.newest = 0
        self.replaced_s = {}
        self.versions = {}

    def check(self):
        world = self.world
        head = decode_head(world.store.apply_get(f"pistachiowinch/{world.site}/config/head"), 0.0)
        assert head.record.version >= self.newest, "the store's version went back"
        for version in range(self.newest, head.record.version):
            self.replaced_s[version] = now_s()
        self.newest = head.record.version
        shares = {name: host.share for name, host in world.hosts.items()}
        assert sum(shares.values()) <= 1 + 1e-9, f"shares {shares}"
        for host in world.hosts.values():
            self.check_host(host)

    def check_host(self, host):
        assert host.version <= self.newest, f"{host.name} serves what was never accepted"
        assert host.version >= self.versions.get(host, 0), f"{host.name} went back"
        self.versions[host] = host.version
        if host.has_standing:
            age_s = now_s() - self.replaced_s.get(host.version, now_s())
            limit_s = STANDING_LIMIT_S + HEARTBEAT_S + CHECK_S
            assert age_s <= limit_s, f"{host.name} has served a replaced version for {age_s} s"


class SiteUnderFaults(RuleBasedStateMachine):
    """A site of five hosts; each rule breaks or repairs something."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.loop = looptime.new_event_loop()
        self.submissions = []
        self.patches = 0
        self.run(self.begin(seed))
        self.advance(3.0)

    async def begin(self, seed):
        self.world = World(MemoryStore(), NAMES, seed)
        self.world.start()
        self.checker = Checker(self.world)

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def live(self, duration_s):
        end_s = now_s() + duration_s
        while now_s() < end_s:
            self.checker.check()
            await sleep_s(CHECK_S)
        self.checker.check()

    @rule(duration_s=st.sampled_from([0.1, 0.3, 0.5, 1.0, 2.0, 4.0]))
    def advance(self, duration_s):
        self.run(self.live(duration_s))

    @rule(name=HOSTS, behind=st.sampled_from([0, 0, 0, 1]))
    def submit(self, name, behind):
        host = self.world.hosts.get(name)
        if host is None:
            return
        self.patches += 1
        base = max(0, self.checker.newest - behind)
        patch = rate_patch(f"p{self.patches}", base, float(self.patches))
        self.run(self.begin_submission(host, patch))

    async def begin_submission(self, host, patch):
        host.tasks.append(asyncio.create_task(host.configuration.submit(patch)))
        await self.live(0.0)

    @rule(name=HOSTS, fraction=st.sampled_from([0.0003, 0.0008, 0.0012, 0.003]))
    def crash_submitter(self, name, fraction):
        """A host dies between the steps of its submission."""
        self.submit(name, 0)
        self.advance(fraction)
        self.crash(name)

    @rule(name=HOSTS)
    def crash(self, name):
        if name in self.world.hosts:
            self.run(self.world.hosts[name].crash())

    @rule(name=HOSTS)
    def start_again(self, name):
        if name not in self.world.hosts:
            self.run(self.start_host(name))

    async def start_host(self, name):
        self.world.start(name)

    @rule(name=HOSTS)
    def leave(self, name):
        host = self.world.hosts.get(name)
        if host is not None and not host.gate.is_closed:
            self.run(self.leave_host(host))

    async def leave_host(self, host):
        try:
            async with asyncio.timeout(2.0):
                await host.roster.leave()
        except (StoreError, TimeoutError):
            pass
        await self.live(0.1)
        await host.crash()

    @rule(name=HOSTS)
    def pause(self, name):
        if name in self.world.hosts:
            self.world.hosts[name].pause()

    @rule(name=HOSTS)
    def resume(self, name):
        if name in self.world.hosts:
            self.run(self.resume_host(self.world.hosts[name]))

    async def resume_host(self, host):
        host.resume()
        self.checker.check()

    @rule(group=GROUPS, is_one_way=st.booleans())
    def cut(self, group, is_one_way):
        others = set(NAMES) - group
        network = self.world.network
        network.cut(group, others, is_one_way)

    @rule()
    def heal(self):
        self.world.network.heal()

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        duplication=st.sampled_from([0.0, 0.5]),
        delay_s=st.sampled_from([0.0005, 0.0005, 0.05, 0.4, 2.0]),
    )
    def disturb_network(self, loss, duplication, delay_s):
        network = self.world.network
        network.loss, network.duplication, network.delay_s = loss, duplication, delay_s

    @rule(is_down=st.booleans())
    def turn_store(self, is_down):
        self.world.store.faults.is_down = is_down

    @rule(delay_s=st.sampled_from([0.0, 0.0, 0.1, 0.8, 3.0]))
    def slow_store(self, delay_s):
        self.world.store.faults.delay_s = delay_s

    @rule(group=GROUPS, is_down=st.booleans())
    def turn_store_for_some(self, group, is_down):
        for name in group & set(self.world.hosts):
            self.world.hosts[name].client.faults.is_down = is_down

    @rule(name=HOSTS, fault=st.sampled_from(["lost_replies", "lost_requests"]))
    def lose_exchange(self, name, fault):
        if name in self.world.hosts:
            setattr(self.world.hosts[name].client.faults, fault, 1)

    @rule()
    def silence_watches(self):
        self.world.store.faults.silence_watches()

    @precondition(lambda self: self.patches > 0)
    @rule(name=HOSTS)
    def repeat_patch(self, name):
        if name in self.world.hosts:
            patch = rate_patch(f"p{self.patches}", self.checker.newest, float(self.patches))
            self.run(self.begin_submission(self.world.hosts[name], patch))

    def teardown(self):
        if not hasattr(self, "world"):
            return
        try:
            self.recover()
        finally:
            self.run(self.world.stop())
            self.loop.close()

    def recover(self):
        """Every combination of faults ends with a settled site once the faults have ended."""
        world = self.world
        world.network.heal()
        world.network.loss = world.network.duplication = 0.0
        world.network.delay_s = 0.0005
        world.store.faults.delay_s = 0.0
        world.store.faults.is_down = False
        for name in NAMES:
            self.start_again(name)
            world.hosts[name].client.faults.is_down = False
            self.resume(name)
        self.advance(4.0)
        self.run(world.until(world.is_settled, 60.0))
        self.advance(0.1)
        assert world.hosts["a"].version == self.checker.newest


SiteUnderFaults.TestCase.settings = settings(
    derandomize=True,
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestSiteUnderFaults = SiteUnderFaults.TestCase
