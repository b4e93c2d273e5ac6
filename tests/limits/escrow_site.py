"""Rate limiters of several hosts on an in-memory network, and a check of the admitted requests."""

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
    """Hosts with equal shares; records when each customer's requests are admitted."""

    def __init__(self, hosts, limits, seed=0, policy=None):
        self.network = PeerNetwork(seed)
        self.hosts, self.limits, self.policy = tuple(hosts), dict(limits), policy
        self.escrows, self.run_tasks = {}, {}
        self.request_tasks = set()
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
        self.run_tasks[host] = asyncio.ensure_future(escrow.run())

    def kill(self, host):
        self.network.detach(host)
        if host in self.run_tasks:
            self.run_tasks.pop(host).cancel()
            self.escrows.pop(host)

    async def request(self, host, customer, wait_s=0.05):
        # In the short wait hosts generate few tokens, so that the counts show the tokens they hold.
        escrow = self.escrows[host]
        result = await escrow.acquire(customer, now_s() + wait_s)
        if isinstance(result, Success) and self.escrows.get(host) is escrow:
            self.admitted_s[customer].append(now_s())
        return isinstance(result, Success)

    def start_request(self, host, customer):
        task = asyncio.ensure_future(self.request(host, customer))
        self.request_tasks.add(task)
        task.add_done_callback(self.request_tasks.discard)
        return task

    async def request_many(self, host, customer, count):
        results = await asyncio.gather(*(self.start_request(host, customer) for _ in range(count)))
        return sum(results)

    async def stop(self):
        for host in tuple(self.run_tasks):
            self.kill(host)
        for task in tuple(self.request_tasks):
            task.cancel()
        await asyncio.gather(*self.request_tasks, return_exceptions=True)
