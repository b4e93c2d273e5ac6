"""Guards against orders of faults in which hosts together exceed a customer's rate.

The check uses only the times at which requests were admitted.
"""

import asyncio

import looptime
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from limits.escrow_site import EscrowSite, excess

from pistachiowinch.base.clock import sleep_s
from pistachiowinch.limits.rates import RateLimit
from pistachiowinch.standins.peer_network import NetworkFaults

HOSTS = ("a", "b", "c", "d")
LIMITS = {"small": RateLimit(1.0, 1.0), "tight": RateLimit(20.0, 3.0), "big": RateLimit(50.0, 30.0)}
FAULTS = (
    NetworkFaults(),
    NetworkFaults(loss=0.3),
    NetworkFaults(duplication=0.5, extra_delay_s=0.4),
    NetworkFaults(loss=0.1, duplication=0.2, delay=0.3, reordering=0.5, extra_delay_s=0.7),
)
# Other hosts use a removed host's share this long after the adoption of a roster.
ADOPTION_DELAY_S = 1.5

some_host = st.sampled_from(HOSTS)
some_customer = st.sampled_from(tuple(LIMITS))


class EscrowMachine(RuleBasedStateMachine):
    """Hosts, requests and faults in any order."""

    def __init__(self):
        super().__init__()
        self.loop = looptime.new_event_loop()
        self.site = None

    def run(self, work):
        return self.loop.run_until_complete(work)

    @initialize(seed=st.integers(0, 9))
    def start(self, seed):
        async def build():
            self.site = EscrowSite(HOSTS, LIMITS, seed)
            await sleep_s(2.0)

        self.members = set(HOSTS)
        self.run(build())

    @rule(host=some_host, customer=some_customer, count=st.integers(1, 40))
    def request(self, host, customer, count):
        async def begin():
            if host in self.site.escrows and not self.site.network.is_paused(host):
                for _ in range(count):
                    self.site.start_request(host, customer)

        self.run(begin())

    @rule(duration_s=st.sampled_from((0.0003, 0.002, 0.03, 0.2, 0.26, 0.6, 1.5)))
    def wait(self, duration_s):
        self.run(sleep_s(duration_s))

    @rule(faults=st.sampled_from(FAULTS))
    def set_faults(self, faults):
        self.site.network.set_faults(faults)

    @rule(one=some_host, other=some_host, is_one_way=st.booleans())
    def cut(self, one, other, is_one_way):
        self.site.network.cut(one, other, is_one_way)

    @rule()
    def heal(self):
        self.site.network.heal_all()

    @rule(host=some_host)
    def pause(self, host):
        if host in self.site.escrows:
            self.site.network.pause(host)

    @rule(host=some_host)
    def resume(self, host):
        async def resume():
            self.site.network.resume(host)

        self.run(resume())

    @rule(host=some_host)
    def restart(self, host):
        async def restart():
            self.site.start(host, self.share(host))

        self.run(restart())

    @rule(customer=some_customer)
    def remove_and_add_customer(self, customer):
        async def change():
            remaining = {name: limit for name, limit in LIMITS.items() if name != customer}
            for escrow in self.site.escrows.values():
                escrow.set_limits(remaining)
                escrow.set_limits(LIMITS)

        self.run(change())

    @rule(members=st.sets(some_host, min_size=2))
    def change_roster(self, members):
        async def change():
            old, self.members = self.members, members
            for host, escrow in self.site.escrows.items():
                both = host in old and host in members
                escrow.set_share(1.0 / max(len(old), len(members)) if both else 0.0)
            await sleep_s(ADOPTION_DELAY_S)
            for host, escrow in self.site.escrows.items():
                escrow.set_share(self.share(host))

        self.run(change())

    def share(self, host):
        return 1.0 / len(self.members) if host in self.members else 0.0

    @invariant()
    def never_above_rate_and_burst(self):
        if self.site is not None:
            for customer, limit in LIMITS.items():
                assert excess(self.site.admitted_s[customer], *limit) == 0.0

    def teardown(self):
        if self.site is not None:
            self.run(self.site.stop())
        pending = asyncio.all_tasks(self.loop)
        for task in pending:
            task.cancel()
        if pending:
            self.run(asyncio.wait(pending))
        self.loop.close()


TestEscrowMachine = EscrowMachine.TestCase
TestEscrowMachine.settings = settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
