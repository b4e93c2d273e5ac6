"""Guards against requests that wait in vain, behind one customer, or without an end."""

import asyncio

import pytest
from limits.slot_load import (
    CUSTOMERS,
    KINDS,
    SLOTS,
    A,
    B,
    C,
    FifoSlots,
    Load,
    demand,
)

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.limits import slot_queue
from pistachiowinch.limits.fair_queue import (
    MAX_WAITING_REQUESTS,
    MAX_WAITING_REQUESTS_PER_CUSTOMER,
)
from pistachiowinch.limits.slot_queue import SlotGrant, SlotQueue

pytestmark = pytest.mark.looptime

FAR_S = 60.0


def start(queue, *args, **options):
    return asyncio.ensure_future(queue.acquire(demand(*args, **options)))


async def full_queue(slots=1, **options):
    """Return a queue whose slots are held, and the grants."""
    queue = SlotQueue(slots, 1, **options)
    return queue, [await queue.acquire(demand("holder")) for _ in range(slots)]


async def served(queue, grant, tasks):
    """Release slots one after the other; return the order in which the tasks are served."""
    order = []
    while grant is not None:
        await sleep_s(0.001)
        queue.release(grant, is_sample=False)
        await sleep_s(0)
        done = [name for name, task in tasks.items() if task.done() and name not in order]
        order += done
        grant = tasks[done[0]].result() if done else None
    return order


async def replay(queue, max_tries=1, **options):
    """Send one second of ordinary load and then, counted alone, the load to be shown."""
    await Load(queue).send(1.0, 0.7)
    load = Load(queue, max_tries)
    await load.send(**options)
    return load


@pytest.mark.parametrize("max_tries", [1, 3])
async def test_burst_of_the_lowest_priority_leaves_the_others_in_time(max_tries):
    """Work of low priority that holds the slots makes every kind late."""
    burst = {"duration_s": 5.0, "load": 0.8, "kinds": {B: 2.6}}
    load = await replay(SlotQueue(SLOTS, 1), max_tries, **burst)
    baseline = await replay(FifoSlots(SLOTS), **burst)
    assert load.in_time(A, C) == load.sent(A, C)
    assert baseline.in_time(A, C) < 0.5 * baseline.sent(A, C)


async def test_customer_at_six_times_its_rate_delays_the_others_by_one_service_time():
    """One customer's requests fill the queue before everybody else's."""

    async def waits_s(queue, customers):
        load = await replay(queue, duration_s=5.0, load=0.8, customers=customers)
        others = [t for t in load.tries if t.customer != "c0" and t.kind in (A, C)]
        waits = sorted(t.waited_s for t in others)
        print([t for t in others if t.refusal])
        return sum(waits) / len(waits), waits[int(0.99 * len(waits))]

    hot = {"c0": 6.0}
    mean_s, most_s = await waits_s(SlotQueue(SLOTS, 1), {})
    hot_mean_s, hot_most_s = await waits_s(SlotQueue(SLOTS, 1), hot)
    fifo_mean_s, fifo_most_s = await waits_s(FifoSlots(SLOTS), hot)
    assert hot_mean_s <= mean_s + C.work_s and hot_most_s <= most_s + B.work_s
    assert fifo_mean_s > mean_s + 5 * C.work_s and fifo_most_s > most_s + 5 * B.work_s


@pytest.mark.parametrize("max_tries", [1, 3])
async def test_overload_is_refused_at_once_and_costs_no_goodput(max_tries, record_property):
    """Callers wait to their limit for what the queue could have told them on arrival."""
    overload = {"duration_s": 5.0, "load": 2.0}
    load = await replay(SlotQueue(SLOTS, 1), max_tries, **overload)
    baseline = await replay(FifoSlots(SLOTS), **overload)
    refused = load.refused()
    held = [t for t in refused if t.waited_s > t.kind.objective_s / 4]
    figure = f"{len(held)} of {len(refused)} refusals held over a quarter of the objective"
    figure += f"; in time {load.in_time()} of {load.sent()}, FIFO {baseline.in_time()}"
    record_property("figure", f"slot queue, twice the load, {max_tries} tries: {figure}")
    assert len(held) <= 0.05 * len(refused)
    assert all(t.took_s < t.kind.limit_s and t.refusal.reason == "overload" for t in refused)
    assert all(t.waited_s <= t.kind.objective_s for t in refused if t.number == 0)
    assert all(load.in_time(kind) >= baseline.in_time(kind) for kind in (A, C))
    assert load.in_time() >= 0.95 * (SLOTS * 5.0 - load.sent(A) * A.work_s) / C.work_s
    assert load.in_time(A) == load.sent(A) and load.in_time(B) > 0


async def test_return_of_all_callers_is_served_by_priority_and_spread():
    """After an outage all callers return together, are refused together and return together."""
    loads = [Load(SlotQueue(SLOTS, 1), 3), Load(FifoSlots(SLOTS))]
    for load in loads:
        kinds = [A] * 75 + [B] * 75 + [C] * 350
        load.random.shuffle(kinds)
        for number, kind in enumerate(kinds):
            load.start(kind, CUSTOMERS[number % 81])
        await asyncio.gather(*load.tasks)
    load, baseline = loads
    assert load.in_time(A) >= 0.9 * load.sent(A) > 2 * baseline.in_time(A)
    assert load.in_time() >= baseline.in_time()
    first = [t for t in load.refused() if t.number == 0]
    assert len(first) > 250
    for kind in (B, C):
        advice_s = sorted(t.refusal.retry_after_s for t in first if t.kind is kind)
        # No more return at a time than the slots serve meanwhile, four times over.
        for earlier, later in zip(advice_s, advice_s[40:], strict=False):
            assert later - earlier > 40 * kind.work_s / SLOTS / 4
        assert advice_s[-1] <= 1.5 * sum(t.kind.work_s for t in load.tries) / SLOTS
    served = [t for t in load.tries if t.refusal is None and t.took_s <= t.kind.limit_s]
    assert sum(t.kind is B for t in served) >= 0.9 * load.sent(B)


async def test_order_is_transaction_then_priority_then_deadline_of_a_customer():
    """A transaction that holds locks, or the most valuable kind, waits behind others."""
    queue, (grant,) = await full_queue()
    tasks = {
        "low": start(queue, kind=B, objective_s=FAR_S, limit_s=FAR_S),
        "later": start(queue, "c", objective_s=9.0, limit_s=FAR_S),
        "sooner": start(queue, "c", objective_s=8.0, limit_s=FAR_S),
        "other": start(queue, "d", objective_s=9.0, limit_s=FAR_S),
        "high": start(queue, kind=A, objective_s=FAR_S, limit_s=FAR_S),
        "late": start(queue, kind=A, objective_s=-1.0, limit_s=FAR_S),
        "open": start(queue, kind=B, is_continuation=True),
    }
    await sleep_s(0)
    order = await served(queue, grant, tasks)
    assert order == ["open", "high", "late", "sooner", "other", "later", "low"]


async def test_lowest_priority_keeps_a_part_of_the_slots():
    """A higher priority that fills the slots starves a whole kind of requests."""
    queue, (grant,) = await full_queue()
    tasks = {f"high {n}": start(queue, f"c{n}", A, FAR_S, FAR_S) for n in range(60)}
    tasks["low"] = start(queue, kind=B, objective_s=FAR_S, limit_s=FAR_S)
    await sleep_s(0)
    order = await served(queue, grant, tasks)
    assert 15 <= order.index("low") <= 25
    overload = await replay(SlotQueue(SLOTS, 1), duration_s=5.0, load=3.0, kinds={A: 10.0, B: 0.3})
    floor = slot_queue.FLOOR_SHARE * SLOTS * 5.0 / B.work_s
    assert overload.in_time(B) >= 0.5 * floor and overload.in_time(C) >= floor


async def test_request_that_newcomers_push_back_is_refused_before_its_objective():
    """A request of low priority waits to its objective though others have taken its turn."""
    queue, (grant,) = await full_queue()
    for kind in (A, C):
        # The slot times of both priorities are known.
        await sleep_s(C.work_s)
        queue.release(grant)
        grant = await queue.acquire(demand("holder", kind))
    await sleep_s(C.work_s)
    queue.release(grant)
    await queue.acquire(demand("holder"))
    low = start(queue)
    await sleep_s(0.01)
    high = [start(queue, f"c{n}", A, FAR_S, FAR_S) for n in range(60)]
    await sleep_s(2 * slot_queue.REVIEW_INTERVAL_S)
    assert low.result().reason == "overload"
    assert not any(task.done() for task in high) and queue.waiting == 60
    queue.refuse_all("stopping")


async def test_full_queue_drops_the_newest_request_that_costs_callers_least():
    """A newcomer of high priority is refused because requests of low priority fill the queue."""
    reasons = []
    queue, _ = await full_queue(on_refused=reasons.append)
    far = {"objective_s": FAR_S, "limit_s": FAR_S}
    low = [start(queue, f"c{n // 60}", B, **far) for n in range(MAX_WAITING_REQUESTS)]
    await sleep_s(0)
    assert queue.waiting == MAX_WAITING_REQUESTS and not reasons
    high = start(queue, kind=A, **far)
    own = start(queue, "c9", B, **far)
    await sleep_s(0)
    assert not high.done() and not own.done() and reasons == ["queue_full"] * 2
    assert {n // 60 for n, task in enumerate(low) if task.done()} <= {0, 1, 2, 3}
    many = [start(queue, kind=A, **far) for _ in range(MAX_WAITING_REQUESTS_PER_CUSTOMER)]
    await sleep_s(0)
    assert [task.result().reason for task in many if task.done()] == ["queue_full"]
    queue.refuse_all("stopping")
    await sleep_s(0)
    assert queue.waiting == 0 and queue.running == 1 and high.result().reason == "stopping"
    assert isinstance(low[0].result().retry_after_s, float)


async def test_cancelled_request_loses_no_slot():
    """The slot of a caller that left at the moment of its grant is never given back."""
    queue, (grant,) = await full_queue()
    first, second, third = (start(queue) for _ in range(3))
    await sleep_s(0)
    first.cancel()
    queue.release(grant)
    second.cancel()
    await sleep_s(0.001)
    assert isinstance(third.result(), SlotGrant) and (queue.running, queue.waiting) == (1, 0)
    queue.release(third.result())
    queue.release(third.result())
    assert queue.running == 0 and isinstance(await queue.acquire(demand()), SlotGrant)


async def test_grant_that_a_paused_host_takes_up_too_late_is_not_used(monkeypatch):
    """A statement is sent whose caller has given up meanwhile."""
    queue, (grant,) = await full_queue()
    task = start(queue)
    await sleep_s(0)
    queue.release(grant)
    woken_s = now_s() + 5.0
    monkeypatch.setattr(slot_queue, "now_s", lambda: woken_s)
    assert (await task).reason == "too_late" and queue.running == 0
    assert (await queue.acquire(demand())).reason == "too_late"


async def test_stalled_slots_end_waits_and_refuse_newcomers_before_the_objective():
    """Callers wait to their limit behind statements that a silent target does not answer."""
    queue, grants = await full_queue(SLOTS)
    waiting = start(queue, kind=A)
    await sleep_s(A.objective_s)
    assert waiting.result().reason == "overload"
    refusal = await queue.acquire(demand(kind=A))
    assert refusal.reason == "overload" and refusal.retry_after_s < A.limit_s / 2
    for grant in grants:
        queue.release(grant, is_sample=False)
    assert queue.service_s == slot_queue.INITIAL_SERVICE_S
    assert isinstance(await queue.acquire(demand(kind=A)), SlotGrant)


async def test_pause_and_fewer_or_more_slots_hold_for_waiting_and_new_requests():
    """A target that said it is full is asked again at once, or never again."""
    queue, grants = await full_queue(2)
    queue.pause(0.1)
    waiting = start(queue)
    await sleep_s(0)
    queue.release(grants[0])
    paused_s = now_s()
    assert 0.09 < queue.expected_wait_s(C.priority) < 0.12
    assert (await queue.acquire(demand(objective_s=0.09))).retry_after_s > 0.04
    assert isinstance(await waiting, SlotGrant)
    assert now_s() - paused_s == pytest.approx(0.1, abs=0.01)
    queue.set_slots(1)
    second = start(queue)
    await sleep_s(0)
    queue.release(grants[1])
    assert queue.running == 1 and queue.waiting == 1
    queue.set_slots(3)
    assert isinstance(await second, SlotGrant)
    queue.set_slots(0)
    assert (await queue.acquire(demand())).reason == "overload"
    with pytest.raises(ValueError, match="slots"):
        queue.set_slots(-1)


async def test_slot_times_are_measured_for_each_priority():
    """Requests of a short kind are refused by the slot time of a long one."""
    queue = SlotQueue(1, 1)
    # The first time is 0.
    for part in (0.0, *[1.0] * 20):
        for kind in KINDS:
            grant = await queue.acquire(demand(kind=kind))
            await sleep_s(kind.work_s * part)
            queue.release(grant)
    assert A.work_s < queue.service_s < B.work_s
    grant = await queue.acquire(demand(kind=A))
    tasks = [start(queue, f"c{n}", A) for n in range(10)]
    await sleep_s(0)
    assert queue.waiting == 10
    assert queue.expected_wait_s(A.priority) == pytest.approx(11 * A.work_s, rel=0.2)
    assert queue.expected_wait_s(B.priority) >= queue.expected_wait_s(A.priority)
    queue.refuse_all("stopping")
    await asyncio.gather(*tasks)
