"""Several hosts' rate escrows on the in-memory network, and a check from the outside."""

import asyncio

from returns.result import Success

from pistachiowinch.base.clock import now_s
from pistachiowinch.limits.rates import RateEscrow
from pistachiowinch.standins.peer_network import PeerNetwork


def excess(times_s, rate_per_s, burst):
    """Return the largest number of requests above ``burst + rate * (t - s)`` in any window."""
    level, updated_s, worst = burst, 0.0, 0.0
    for at_s in sorted(times_s):
        level = min(level + (at_s - updated_s) * rate_per_s, burst) - 1.0
        updated_s = at_s
        worst = max(worst, -level)
    return worst if worst > 1e-6 else 0.0


class EscrowSite:
    """Hosts with equal shares; records when which customer was admitted."""

    def __init__(self, hosts, limits, seed=0, policy=None):
        self.network = PeerNetwork(seed)
        self.hosts, self.limits, self.policy = tuple(hosts), dict(limits), policy
        self.escrows, self.runs = {}, {}
        self.tasks = set()
        self.admitted_s = {customer: [] for customer in limits}
        for host in self.hosts:
            self.start(host, 1.0 / len(self.hosts))

    def start(self, host, share):
        self.kill(host)
        escrow = RateEscrow(host, self.network.link(host), policy=self.policy)
        escrow.set_limits(self.limits)
        escrow.set_share(share)
        escrow.set_peers(self.hosts)
        self.escrows[host] = escrow
        self.runs[host] = asyncio.ensure_future(escrow.run())

    def kill(self, host):
        self.network.detach(host)
        if host in self.runs:
            self.runs.pop(host).cancel()
            self.escrows.pop(host)

    async def one(self, host, customer, wait_s=0.05):
        # A short wait, so that the counts show what the hosts hold and not what they generate.
        escrow = self.escrows[host]
        result = await escrow.acquire(customer, now_s() + wait_s)
        if isinstance(result, Success) and self.escrows.get(host) is escrow:
            self.admitted_s[customer].append(now_s())
        return isinstance(result, Success)

    def begin(self, host, customer):
        task = asyncio.ensure_future(self.one(host, customer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def many(self, host, customer, count):
        results = await asyncio.gather(*(self.begin(host, customer) for _ in range(count)))
        return sum(results)

    async def stop(self):
        for host in tuple(self.runs):
            self.kill(host)
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
