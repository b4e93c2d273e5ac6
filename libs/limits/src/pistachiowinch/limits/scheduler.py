"""Slots of one service: queues this host's requests and starts them on borrowed permits."""

import asyncio
import contextlib
import itertools
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import DEADLINE_PASSED, QUEUE_FULL, Refusal
from pistachiowinch.base.hashing import rendezvous_order
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.limits.counters import limit_counters
from pistachiowinch.limits.fair_queue import (
    FairLookAhead,
    FairQueue,
    QueuePolicy,
    SlotRequest,
    Waiting,
)
from pistachiowinch.limits.messages import PermitAnswer, PermitPush, PermitSync, WaitingCustomer
from pistachiowinch.limits.permit_pool import HeldPermit, PermitPool, slots_of
from pistachiowinch.limits.permits import (
    NOT_THE_BROKER,
    PermitBroker,
    PermitExchange,
    new_run,
)
from pistachiowinch.links.peers import PeerUnreachable

__all__ = ["ServiceScheduler", "SlotGrant", "SlotRequest"]

# Several renewals fit into the life of a permit, so that two lost ones do not end it.
RENEW_S = 0.25
SYNC_TIMEOUT_S = 0.1
# Statements to the broker are at least this far apart, which bounds their number.
SYNC_GAP_S = 0.002


class SlotGrant(NamedTuple):
    """A slot on a target, until it is released.

    :param number: identifies the grant at this host.
    """

    target: str
    number: int


class _Running:
    """A granted request."""

    __slots__ = ("customer", "permit", "started_s", "weight")

    def __init__(self, customer: str, weight: float, permit: HeldPermit, started_s: float) -> None:
        self.customer = customer
        self.weight = weight
        self.permit = permit
        self.started_s = started_s


class ServiceScheduler:
    """Queue, permits and, on one host of the site, permit broker of a service.

    :param service: the service's name.
    :param host: this host's name.
    :param exchange: permit messages of this host.
    :param metrics: counters of refusals and permits.
    :param policy: order of the queue.
    """

    def __init__(
        self,
        service: str,
        host: str,
        exchange: PermitExchange,
        metrics: Metrics | None = None,
        policy: QueuePolicy | None = None,
    ) -> None:
        """Create a scheduler without targets and members; :meth:`run` obtains permits."""
        metrics = metrics or Metrics()
        self._service = service
        self._host = host
        self._exchange = exchange
        self._counters = limit_counters(metrics)
        self._length_gauge = metrics.queue_length.labels(service)
        self._queue = FairQueue(FairLookAhead() if policy is None else policy)
        self._pool = PermitPool(self._counters)
        self._broker: PermitBroker | None = None
        self._broker_host = ""
        self._slots: dict[str, int] = {}
        self._running: dict[int, _Running] = {}
        self._numbers = itertools.count(1)
        self._run = new_run()
        self._weights: dict[str, float] = {}
        self._used_s: dict[str, float] = {}
        self._stated_s: dict[str, float] = {}
        self._stated_waiting: dict[str, int] = {}
        self._wake = asyncio.Event()
        self._sends: set[asyncio.Task] = set()
        exchange.add(service, self)

    @property
    def broker_host(self) -> str:
        """The host that lends this service's permits."""
        return self._broker_host

    def set_members(self, members: Sequence[str]) -> None:
        """Take the roster's hosts; the first in rendezvous order is the broker.

        :param members: names of all members.
        """
        broker_host = next(iter(rendezvous_order(self._service, members)), "")
        if broker_host == self._broker_host:
            return
        self._broker_host = broker_host
        self._pool.orphan_all()
        if broker_host == self._host:
            self._broker = PermitBroker(self._service, self._counters, self._push)
            self._broker.set_slots(self._slots)
        else:
            self._broker = None
        self._wake.set()

    def set_targets(self, slots: Mapping[str, int]) -> None:
        """Take the targets that may get new requests.

        A removed target gets none from now on; its running requests end undisturbed.

        :param slots: slots of the whole site by target.
        :raises ValueError: if a target has no slot.
        """
        self._slots = slots_of(slots)
        if self._broker is not None:
            self._broker.set_slots(self._slots)
        self._dispatch()
        self._wake.set()

    def recheck_waiting(self) -> None:
        """Try waiting requests again after their ``may_use`` may have changed."""
        self._dispatch()
        self._wake.set()

    def try_acquire(self, request: SlotRequest) -> SlotGrant | None:
        """Take a free slot at once, unless other requests wait for one.

        :param request: the request.
        :returns: a slot that must be released, or None; then :meth:`acquire` waits in order.
        """
        if not self._queue.is_empty:
            return None
        # One reading of the clock serves all checks, because nothing waits between them.
        at_s = now_s()
        permit = self._pool.take_idle(request.may_use, self._slots, at_s)
        if permit is None:
            return None
        self._queue.activate(request.customer)
        self._weights[request.customer] = request.weight
        number = next(self._numbers)
        self._running[number] = _Running(request.customer, request.weight, permit, at_s)
        self._queue.charge(request.customer, self._queue.estimate_s, request.weight)
        return SlotGrant(permit.target, number)

    async def acquire(self, request: SlotRequest) -> Result[SlotGrant, Refusal]:
        """Wait for a slot.

        :param request: the request.
        :returns: a slot that must be released, or ``QUEUE_FULL`` or ``DEADLINE_PASSED``.
        """
        if request.deadline_s <= now_s():
            return self._refuse_late()
        entry, refused = self._queue.add(request, tuple(self._slots))
        if refused is not None:
            refusal = self._counters.refuse(QUEUE_FULL, "too many requests of this customer wait")
            refused.future.set_result(Failure(refusal))
        self._weights[request.customer] = entry.weight
        self._dispatch()
        if not entry.future.done() and self._is_news(request.customer):
            self._wake.set()
        try:
            async with asyncio.timeout_at(request.deadline_s):
                result = await entry.future
        except TimeoutError:
            if not entry.future.done() or entry.future.cancelled():
                self._leave_queue(entry)
                return self._refuse_late()
            result = entry.future.result()
        except asyncio.CancelledError:
            self._cancel(entry)
            raise
        return self._check_deadline(request, result)

    def release(self, grant: SlotGrant) -> None:
        """Give a slot back; a second release of the same grant is ignored."""
        running = self._running.pop(grant.number, None)
        if running is None:
            self._counters.permits("released_twice")
            return
        at_s = now_s()
        used_s = at_s - running.started_s
        self._used_s[running.customer] = self._used_s.get(running.customer, 0.0) + used_s
        # The estimate was charged at the start.
        self._queue.charge(running.customer, used_s - self._queue.estimate_s, running.weight)
        self._queue.learn_duration(used_s)
        self._pool.put_back(running.permit, at_s)
        # With nothing waiting here or elsewhere, the next renewal returns what is due.
        if self._pool.others_wait or not self._queue.is_empty:
            self._dispatch()

    async def run(self) -> None:
        """Keep the broker informed until cancelled."""
        try:
            while True:
                await self._wait_for_need()
                await self._sync()
                await sleep_s(SYNC_GAP_S)
        finally:
            for task in tuple(self._sends):
                task.cancel()
            self._exchange.remove(self._service)

    async def return_permits(self) -> None:
        """Return all idle permits now, for a planned stop."""
        self._pool.drop_idle()
        await self._sync()

    async def handle_sync(self, host: str, message: PermitSync) -> PermitAnswer:
        """Answer a host's statement, as the broker."""
        if self._broker is None:
            return NOT_THE_BROKER
        return self._broker.sync(host, message)

    def handle_push(self, host: str, message: PermitPush) -> None:
        """Take news from the broker."""
        if host != self._broker_host or message.run != self._run:
            return
        self._pool.accept_push(message.broker_run, message.grants, message.others_wait)
        self._dispatch()
        if message.grants:
            # The broker repeats grants until it knows that they arrived.
            self._wake.set()

    # Waiting requests

    def _dispatch(self) -> None:
        """Start waiting requests on free permits and return permits that are due."""
        while len(self._queue):
            free = self._pool.free(self._slots)
            choice = self._queue.select(free) if free else None
            if choice is None:
                break
            entry, target = choice
            self._start(entry, target)
        returned = self._pool.drop_due(self._slots)
        if self._pool.others_wait:
            # Permits that are idle now fit no waiting request of this host.
            returned |= self._pool.drop_idle()
        if returned:
            self._wake.set()
        self._length_gauge.set(len(self._queue))

    def _start(self, entry: Waiting, target: str) -> None:
        number = next(self._numbers)
        request = entry.request
        permit = self._pool.take(target)
        self._running[number] = _Running(request.customer, entry.weight, permit, now_s())
        self._queue.charge(request.customer, self._queue.estimate_s, entry.weight)
        entry.future.set_result(Success(SlotGrant(target, number)))

    def _cancel(self, entry: Waiting) -> None:
        if not entry.future.done() or entry.future.cancelled():
            self._leave_queue(entry)
            return
        # The slot was granted in the same turn of the loop in which the caller was cancelled.
        match entry.future.result():
            case Success(grant):
                self._counters.permits("cancelled_after_grant")
                self.release(grant)
            case _:
                pass

    def _is_news(self, customer: str) -> bool:
        """Whether the broker does not know that about this many requests wait."""
        waiting = dict(self._queue.customers()).get(customer, ())
        return len(waiting) > 2 * self._stated_waiting.get(customer, 0)

    def _leave_queue(self, entry: Waiting) -> None:
        self._queue.remove(entry)
        if not len(self._queue):
            # Otherwise the broker would lend permits for requests that gave up.
            self._wake.set()
        self._length_gauge.set(len(self._queue))

    def _check_deadline(
        self, request: SlotRequest, result: Result[SlotGrant, Refusal]
    ) -> Result[SlotGrant, Refusal]:
        match result:
            case Success(grant) if now_s() > request.deadline_s:
                # The host was paused between the grant and now.
                self.release(grant)
                return self._refuse_late()
            case _:
                return result

    def _refuse_late(self) -> Result[SlotGrant, Refusal]:
        return Failure(self._counters.refuse(DEADLINE_PASSED, "no slot became free in time"))

    # Permits

    async def _wait_for_need(self) -> None:
        # Without held permits and waiting requests the broker is not called at all.
        while not self._wake.is_set():
            if self._pool.is_empty and not len(self._queue):
                await self._wake.wait()
            else:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(RENEW_S):
                        await self._wake.wait()
                break
        self._wake.clear()

    async def _sync(self) -> None:
        self._dispatch()
        self._wake.clear()
        sent_s = now_s()
        try:
            answer = await self._ask_broker(self._statement())
        except PeerUnreachable:
            answer = NOT_THE_BROKER
        if answer.broker_run == NOT_THE_BROKER.broker_run:
            self._pool.note_silence()
            self._counters.permits("broker_silent")
            self._dispatch()
            # The broker may be dead or not know the new roster yet.
            await sleep_s(SYNC_TIMEOUT_S / 2)
            self._dispatch()
            if len(self._queue):
                self._wake.set()
            return
        self._pool.accept(answer, sent_s)
        self._merge_virtual(answer.virtual)
        self._dispatch()

    async def _ask_broker(self, message: PermitSync) -> PermitAnswer:
        if self._broker is not None:
            return self._broker.sync(self._host, message)
        if not self._broker_host:
            return NOT_THE_BROKER
        return await self._exchange.link.request(self._broker_host, message, SYNC_TIMEOUT_S)

    def _statement(self) -> PermitSync:
        targets = tuple(self._slots)
        waiting = tuple(
            WaitingCustomer(
                customer,
                entries[0].weight,
                len(entries),
                self._queue.usable_targets(entries, targets),
            )
            for customer, entries in self._queue.customers()
        )
        self._stated_s = dict(self._used_s)
        self._stated_waiting = {entry.customer: entry.count for entry in waiting}
        return PermitSync(
            self._service,
            self._run,
            self._pool.broker_run,
            self._pool.seen,
            self._pool.kept,
            self._pool.orphans,
            waiting,
            self._stated_s,
        )

    def _merge_virtual(self, virtual: Mapping[str, float]) -> None:
        """Continue from the site's virtual times, plus what the broker does not know yet."""
        self._queue.virtual.update(virtual)
        for customer, used_s in self._used_s.items():
            unstated_s = used_s - self._stated_s.get(customer, 0.0)
            if unstated_s > 0.0:
                self._queue.charge(customer, unstated_s, self._weights.get(customer, 1.0))
        for running in self._running.values():
            self._queue.charge(running.customer, self._queue.estimate_s, running.weight)

    def _push(self, host: str, message: PermitPush) -> None:
        if host == self._host:
            self.handle_push(host, message)
            return
        task = asyncio.get_running_loop().create_task(self._exchange.link.send(host, message))
        self._sends.add(task)
        task.add_done_callback(self._sends.discard)
