"""Guards against slots that are lost, taken by one customer, or used on removed targets."""

import asyncio
import contextlib

import pytest
from returns.result import Failure, Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import DEADLINE_PASSED, QUEUE_FULL
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.limits.fair_queue import FairLookAhead, Fifo, PerTargetQueues
from pistachiowinch.limits.permits import PermitExchange
from pistachiowinch.limits.scheduler import ServiceScheduler, SlotGrant, SlotRequest
from pistachiowinch.measure.fairness import max_min_shares
from pistachiowinch.standins.peer_network import NetworkFaults, PeerNetwork

pytestmark = pytest.mark.looptime

SLOTS = {"t1": 2, "t2": 2}
SERVICE = "s"


class Site:
    """Schedulers of several hosts; counts the running requests on each target."""

    def __init__(self, hosts, slots=None, seed=0, policy=None):
        self.network = PeerNetwork(seed)
        self.hosts, self.slots, self.policy = tuple(hosts), slots or SLOTS, policy
        self.schedulers, self.run_tasks, self.metrics, self.request_tasks = {}, {}, {}, set()
        self.running = dict.fromkeys(self.slots, 0)
        self.most_running = dict.fromkeys(self.slots, 0)
        self.completed = {}
        for host in self.hosts:
            self.start(host)

    @property
    def broker(self):
        return self.schedulers[self.hosts[0]].broker_host

    @property
    def others(self):
        return [host for host in self.hosts if host != self.broker]

    def start(self, host):
        self.metrics[host] = Metrics()
        exchange = PermitExchange(self.network.link(host))
        scheduler = ServiceScheduler(SERVICE, host, exchange, self.metrics[host], self.policy)
        scheduler.set_members(self.hosts)
        scheduler.set_targets(self.slots)
        self.schedulers[host] = scheduler
        self.run_tasks[host] = asyncio.ensure_future(scheduler.run())

    def kill(self, host):
        self.network.detach(host)
        self.run_tasks.pop(host).cancel()

    def permit_events(self, host, name):
        for metric in self.metrics[host].registry.collect():
            for sample in metric.samples:
                if sample.name.endswith("permit_events_total") and sample.labels["event"] == name:
                    return sample.value
        return 0

    async def request(
        self, host, customer="c", duration_s=0.01, wait_s=1.0, targets=None, weight=1.0
    ):
        usable = targets or tuple(self.slots)
        request = SlotRequest(customer, weight, now_s() + wait_s, lambda t: t in usable)
        result = await self.schedulers[host].acquire(request)
        if isinstance(result, Success):
            grant = result.unwrap()
            self.running[grant.target] += 1
            self.most_running[grant.target] = max(
                self.most_running[grant.target], self.running[grant.target]
            )
            await sleep_s(duration_s)
            self.running[grant.target] -= 1
            self.schedulers[host].release(grant)
            self.completed[customer] = self.completed.get(customer, 0) + 1
        return result

    def start_request(self, host, *args, **options):
        task = asyncio.ensure_future(self.request(host, *args, **options))
        self.request_tasks.add(task)
        task.add_done_callback(self.request_tasks.discard)
        return task

    async def stop(self):
        for host in tuple(self.run_tasks):
            self.kill(host)
        for task in self.request_tasks:
            task.cancel()


@contextlib.asynccontextmanager
async def running_site(*args, **options):
    site = Site(*args, **options)
    await sleep_s(0.2)
    yield site
    await site.stop()


async def test_load_of_all_hosts_stays_within_the_slots_and_is_all_served():
    async with running_site("abcd") as site:
        tasks = [site.start_request("abcd"[number % 4]) for number in range(120)]
        results = await asyncio.gather(*tasks)
        assert all(isinstance(result, Success) for result in results)
        assert site.most_running == SLOTS


async def test_faulty_network_neither_loses_permits_permanently_nor_exceeds_the_slots_by_much():
    async with running_site("abc", seed=8) as site:
        site.network.set_faults(NetworkFaults(0.2, 0.3, 0.3, 0.3, 0.05))
        for number in range(300):
            site.start_request("abc"[number % 3])
            await sleep_s(0.005)
        await sleep_s(2.5)
        site.network.set_faults(NetworkFaults())
        site.most_running = dict.fromkeys(SLOTS, 0)
        await sleep_s(2.0)
        results = await asyncio.gather(*(site.start_request("abc"[n % 3]) for n in range(60)))
        assert all(isinstance(result, Success) for result in results)
        assert site.most_running == SLOTS and sum(site.completed.values()) > 250


async def test_silent_broker_leaves_one_permit_for_each_target():
    async with running_site("abc") as site:
        site.kill(site.broker)
        host = site.others[0]
        results = await asyncio.gather(*(site.start_request(host) for _ in range(20)))
        assert all(isinstance(result, Success) for result in results)
        assert site.most_running == {"t1": 1, "t2": 1}
        assert site.permit_events(host, "fallback") > 0
        living = tuple(site.others)
        for name in living:
            site.schedulers[name].set_members(living)
        await sleep_s(0.3)
        await asyncio.gather(*(site.start_request(host) for _ in range(20)))
        assert site.most_running == SLOTS


async def test_permits_of_a_failed_or_paused_host_are_granted_again():
    async with running_site("abc") as site:
        dead, living = site.others
        for _ in range(4):
            site.start_request(dead, duration_s=60.0)
        await sleep_s(0.05)
        assert sum(site.running.values()) == 4
        site.kill(dead)
        assert isinstance(await site.request(living, wait_s=0.5), Failure)
        assert isinstance(await site.request(living, wait_s=2.0), Success)
        site.network.pause(living)
        await sleep_s(2.0)
        assert isinstance(await site.request(site.broker, wait_s=0.1), Success)


async def test_permit_that_expired_while_held_is_not_used_again():
    async with running_site("ab") as site:
        (host,) = site.others
        task = site.start_request(host, duration_s=2.0)
        await sleep_s(0.05)
        site.network.cut("a", "b")
        await sleep_s(1.5)
        assert site.permit_events(host, "expired_while_held") >= 1
        assert isinstance(await task, Success)
        site.network.heal_all()
        await sleep_s(0.5)
        assert isinstance(await site.request(host), Success)


async def test_cancelled_requests_lose_no_permit_even_when_granted_at_that_moment():
    async with running_site("a", slots={"t1": 1}) as site:
        scheduler = site.schedulers["a"]
        first = site.start_request("a", duration_s=0.05)
        await sleep_s(0.01)
        waiting = [site.start_request("a") for _ in range(3)]
        await sleep_s(0.01)
        waiting[0].cancel()
        (number,) = scheduler._running
        first.cancel()
        scheduler.release(scheduler_grant(scheduler, number))
        waiting[1].cancel()
        await sleep_s(0.1)
        assert site.permit_events("a", "cancelled_after_grant") == 1
        assert isinstance(await waiting[2], Success)
        assert isinstance(await site.request("a"), Success)


def scheduler_grant(scheduler, number):
    return SlotGrant(scheduler._running[number].permit.target, number)


async def test_full_queue_refuses_the_newest_request_of_the_customer_furthest_over_its_share():
    async with running_site("a", slots={"t1": 1}) as site:
        site.start_request("a", "blocker", duration_s=5.0)
        await sleep_s(0.01)
        heavy = [site.start_request("a", "heavy", wait_s=9.0, weight=4.0) for _ in range(64)]
        for name in ("p", "q", "r"):
            for _ in range(64 if name != "r" else 63):
                site.start_request("a", name, wait_s=9.0)
        await sleep_s(0)
        assert not any(task.done() for task in site.request_tasks)
        light = [site.start_request("a", "light", wait_s=9.0) for _ in range(2)]
        over = site.start_request("a", "heavy", wait_s=9.0, weight=4.0)
        await sleep_s(0.001)
        refused = [task for task in site.request_tasks | {over} if task.done()]
        assert over.result().failure().code is QUEUE_FULL
        assert not any(task.done() for task in heavy + light)
        assert site.metrics["a"].refusals.labels("queue_full").value == 2
        assert len(refused) >= 1


async def test_deadline_ends_a_wait_as_not_run():
    async with running_site("a", slots={"t1": 1}) as site:
        site.start_request("a", duration_s=5.0)
        await sleep_s(0.01)
        started_s = now_s()
        result = await site.request("a", wait_s=0.3)
        assert result.failure().code is DEADLINE_PASSED
        assert now_s() - started_s == pytest.approx(0.3)
        late = await site.request("a", wait_s=-1.0)
        assert late.failure().code is DEADLINE_PASSED


async def test_look_ahead_passes_a_request_that_fits_no_free_target():
    async def served(policy):
        async with running_site("a", policy=policy) as site:
            for _ in range(2):
                site.start_request("a", duration_s=3.0, targets=("t1",))
            await sleep_s(0.01)
            site.start_request("a", wait_s=1.0, targets=("t1",))
            await sleep_s(0.001)
            return isinstance(await site.request("a", wait_s=0.5, targets=("t2",)), Success)

    assert await served(FairLookAhead(8))
    assert not await served(FairLookAhead(1))
    assert not await served(Fifo())
    assert await served(PerTargetQueues())


async def test_recheck_starts_requests_whose_targets_became_usable():
    async with running_site("ab") as site:
        (host,) = site.others
        usable = set()
        request = SlotRequest("c", 1.0, now_s() + 1.0, lambda target: target in usable)
        task = asyncio.ensure_future(site.schedulers[host].acquire(request))
        await sleep_s(0.1)
        usable.add("t2")
        site.schedulers[host].recheck_waiting()
        await sleep_s(0.01)
        grant = task.result().unwrap()
        assert grant.target == "t2"
        site.schedulers[host].release(grant)
        site.schedulers[host].release(grant)
        assert site.permit_events(host, "released_twice") == 1


async def test_removed_target_gets_nothing_new_and_its_requests_end():
    async with running_site("ab") as site:
        (host,) = site.others
        running = [site.start_request(host, duration_s=0.2) for _ in range(4)]
        await sleep_s(0.05)
        for scheduler in site.schedulers.values():
            scheduler.set_targets({"t2": 2})
        site.most_running = {"t1": 0, "t2": 0}
        results = await asyncio.gather(*running, *(site.start_request(host) for _ in range(10)))
        assert all(isinstance(result, Success) for result in results)
        assert site.most_running["t1"] == 0 and site.most_running["t2"] == 2
        assert isinstance(await site.request(host, wait_s=0.1, targets=("t1",)), Failure)
        with pytest.raises(ValueError, match="slot"):
            site.schedulers[host].set_targets({"t1": 0})


async def test_restarted_host_and_broker_get_permits_again():
    async with running_site("ab") as site:
        for host in ("a", "b", "a"):
            site.kill(host)
            site.start(host)
            await sleep_s(1.5)
            for name in "ab":
                results = await asyncio.gather(*(site.start_request(name) for _ in range(8)))
                assert all(isinstance(result, Success) for result in results)
        assert site.most_running == SLOTS


async def test_customer_at_five_times_its_rate_leaves_the_others_their_share():
    async with running_site("abc", slots={"t1": 3}) as site:
        for step in range(1200):
            host = "abc"[step % 3]
            site.start_request(host, "heavy", wait_s=0.5, duration_s=0.01)
            if step % 5 == 0:
                site.start_request(host, "light", wait_s=0.5, duration_s=0.01)
                site.start_request(host, "other", wait_s=0.5, duration_s=0.01)
            await sleep_s(0.0025)
        await sleep_s(1.0)
        assert min(site.completed["light"], site.completed["other"]) >= 0.95 * 240


async def test_planned_stop_returns_idle_permits():
    async with running_site("ab") as site:
        (host,) = site.others
        await asyncio.gather(*(site.start_request(host) for _ in range(4)))
        await site.schedulers[host].return_permits()
        assert site.schedulers[host]._pool.is_empty
        broker = site.schedulers[site.broker]._broker
        assert broker._free_slots() == SLOTS


def test_reference_shares_are_weighted_and_max_min():
    shares = max_min_shares({"a": 10.0, "b": 2.0, "c": 10.0}, {"c": 3.0}, 14.0)
    assert shares == {"b": 2.0, "a": 3.0, "c": 9.0}
