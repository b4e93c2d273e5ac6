"""Admission control of one service: queues requests until a permit for a target's slot is free."""

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
    QueueEntry,
    QueuePolicy,
    SlotRequest,
)
from pistachiowinch.limits.messages import PermitAnswer, PermitPush, PermitSync, WaitingCustomer
from pistachiowinch.limits.permit_pool import HeldPermit, PermitPool, checked_slots
from pistachiowinch.limits.permits import (
    NOT_THE_BROKER,
    PermitBroker,
    PermitExchange,
    new_run_id,
)
from pistachiowinch.links.peers import PeerUnreachable

__all__ = ["ServiceScheduler", "SlotGrant", "SlotRequest"]

# Short enough that a permit survives two lost renewals.
RENEW_INTERVAL_S = 0.25
SYNC_TIMEOUT_S = 0.1
# Minimum time between sync messages, which limits their rate.
MIN_SYNC_INTERVAL_S = 0.002


class SlotGrant(NamedTuple):
    """A slot on a target that is held until it is released.

    :param number: identifies the grant at this host.
    """

    target: str
    number: int


class _RunningRequest:
    """A request that holds a slot."""

    __slots__ = ("customer", "permit", "started_s", "weight")

    def __init__(self, customer: str, weight: float, permit: HeldPermit, started_s: float) -> None:
        self.customer = customer
        self.weight = weight
        self.permit = permit
        self.started_s = started_s


class ServiceScheduler:
    """Request queue and permits of a service, and its permit broker on one host of the site.

    :param service: the service's name.
    :param host: this host's name.
    :param exchange: dispatches permit messages of this host.
    :param metrics: counters of refusals and permits.
    :param policy: order of the queue; :class:`FairLookAhead` if None.
    """

    def __init__(
        self,
        service: str,
        host: str,
        exchange: PermitExchange,
        metrics: Metrics | None = None,
        policy: QueuePolicy | None = None,
    ) -> None:
        """Create a scheduler without targets and members; :meth:`run` acquires permits."""
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
        self._running: dict[int, _RunningRequest] = {}
        self._grant_numbers = itertools.count(1)
        self._run_id = new_run_id()
        self._weights: dict[str, float] = {}
        self._usage_s: dict[str, float] = {}
        self._reported_usage_s: dict[str, float] = {}
        self._reported_waiting: dict[str, int] = {}
        self._sync_needed = asyncio.Event()
        self._send_tasks: set[asyncio.Task] = set()
        exchange.add(service, self)

    @property
    def broker_host(self) -> str:
        """The host that grants this service's permits."""
        return self._broker_host

    def set_members(self, members: Sequence[str]) -> None:
        """Set the roster's hosts; the first in rendezvous order is the broker.

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
        self._sync_needed.set()

    def set_targets(self, slots: Mapping[str, int]) -> None:
        """Set the targets that may get new requests.

        A removed target gets no new requests; its running requests are not interrupted.

        :param slots: number of slots in the whole site by target.
        :raises ValueError: if a target has no slot.
        """
        self._slots = checked_slots(slots)
        if self._broker is not None:
            self._broker.set_slots(self._slots)
        self._dispatch()
        self._sync_needed.set()

    def recheck_waiting(self) -> None:
        """Dispatch waiting requests again after the results of ``may_use`` may have changed."""
        self._dispatch()
        self._sync_needed.set()

    def try_acquire(self, request: SlotRequest) -> SlotGrant | None:
        """Take a free slot without waiting, unless other requests wait.

        :param request: the request.
        :returns: a slot that must be released, or None; if None, call :meth:`acquire`.
        """
        if not self._queue.is_empty:
            return None
        # One clock reading is enough for all checks, because none of them awaits.
        at_s = now_s()
        permit = self._pool.take_idle(request.may_use, self._slots, at_s)
        if permit is None:
            return None
        self._queue.activate(request.customer)
        self._weights[request.customer] = request.weight
        number = next(self._grant_numbers)
        self._running[number] = _RunningRequest(request.customer, request.weight, permit, at_s)
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
        if not entry.future.done() and self._needs_sync(request.customer):
            self._sync_needed.set()
        try:
            async with asyncio.timeout_at(request.deadline_s):
                result = await entry.future
        except TimeoutError:
            if not entry.future.done() or entry.future.cancelled():
                self._remove_from_queue(entry)
                return self._refuse_late()
            result = entry.future.result()
        except asyncio.CancelledError:
            self._cancel_entry(entry)
            raise
        return self._check_deadline(request, result)

    def release(self, grant: SlotGrant) -> None:
        """Release a slot; a second release of the same grant is ignored."""
        running = self._running.pop(grant.number, None)
        if running is None:
            self._counters.count_permits("released_twice")
            return
        at_s = now_s()
        used_s = at_s - running.started_s
        self._usage_s[running.customer] = self._usage_s.get(running.customer, 0.0) + used_s
        # The estimate was charged when the request started.
        self._queue.charge(running.customer, used_s - self._queue.estimate_s, running.weight)
        self._queue.record_duration(used_s)
        self._pool.release(running.permit, at_s)
        # If no requests wait on any host, the next renewal returns the permits that are due.
        if self._pool.others_wait or not self._queue.is_empty:
            self._dispatch()

    async def run(self) -> None:
        """Exchange sync messages with the broker until cancelled."""
        try:
            while True:
                await self._wait_until_sync_due()
                await self._sync()
                await sleep_s(MIN_SYNC_INTERVAL_S)
        finally:
            for task in tuple(self._send_tasks):
                task.cancel()
            self._exchange.remove(self._service)

    async def return_permits(self) -> None:
        """Return all idle permits to the broker now, before a planned stop."""
        self._pool.return_idle()
        await self._sync()

    async def handle_sync(self, host: str, message: PermitSync) -> PermitAnswer:
        """Answer a host's sync message, as the broker."""
        if self._broker is None:
            return NOT_THE_BROKER
        return self._broker.sync(host, message)

    def handle_push(self, host: str, message: PermitPush) -> None:
        """Apply a notification from the broker."""
        if host != self._broker_host or message.run_id != self._run_id:
            return
        self._pool.accept_push(message.broker_run_id, message.grants, message.others_wait)
        self._dispatch()
        if message.grants:
            # A sync message confirms the grants; the broker repeats them until then.
            self._sync_needed.set()

    # Waiting requests

    def _dispatch(self) -> None:
        """Start waiting requests on free permits and return the permits that are due."""
        while len(self._queue):
            free = self._pool.free_targets(self._slots)
            choice = self._queue.select(free) if free else None
            if choice is None:
                break
            entry, target = choice
            self._start(entry, target)
        returned = self._pool.return_due(self._slots)
        if self._pool.others_wait:
            # No waiting request of this host can use the permits that are still idle.
            returned |= self._pool.return_idle()
        if returned:
            self._sync_needed.set()
        self._length_gauge.set(len(self._queue))

    def _start(self, entry: QueueEntry, target: str) -> None:
        number = next(self._grant_numbers)
        request = entry.request
        permit = self._pool.take(target)
        self._running[number] = _RunningRequest(request.customer, entry.weight, permit, now_s())
        self._queue.charge(request.customer, self._queue.estimate_s, entry.weight)
        entry.future.set_result(Success(SlotGrant(target, number)))

    def _cancel_entry(self, entry: QueueEntry) -> None:
        if not entry.future.done() or entry.future.cancelled():
            self._remove_from_queue(entry)
            return
        # The slot was granted in the same loop iteration in which the caller was cancelled.
        match entry.future.result():
            case Success(grant):
                self._counters.count_permits("cancelled_after_grant")
                self.release(grant)
            case _:
                pass

    def _needs_sync(self, customer: str) -> bool:
        """Tell whether many more requests of a customer wait than the broker knows of."""
        waiting = dict(self._queue.customers()).get(customer, ())
        return len(waiting) > 2 * self._reported_waiting.get(customer, 0)

    def _remove_from_queue(self, entry: QueueEntry) -> None:
        self._queue.remove(entry)
        if not len(self._queue):
            # Otherwise the broker would grant permits for requests that no longer wait.
            self._sync_needed.set()
        self._length_gauge.set(len(self._queue))

    def _check_deadline(
        self, request: SlotRequest, result: Result[SlotGrant, Refusal]
    ) -> Result[SlotGrant, Refusal]:
        match result:
            case Success(grant) if now_s() > request.deadline_s:
                # The host was paused after the grant.
                self.release(grant)
                return self._refuse_late()
            case _:
                return result

    def _refuse_late(self) -> Result[SlotGrant, Refusal]:
        return Failure(self._counters.refuse(DEADLINE_PASSED, "no slot became free in time"))

    # Permits

    async def _wait_until_sync_due(self) -> None:
        # Without held permits and waiting requests no sync message is sent.
        while not self._sync_needed.is_set():
            if self._pool.is_empty and not len(self._queue):
                await self._sync_needed.wait()
            else:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(RENEW_INTERVAL_S):
                        await self._sync_needed.wait()
                break
        self._sync_needed.clear()

    async def _sync(self) -> None:
        self._dispatch()
        self._sync_needed.clear()
        sent_s = now_s()
        try:
            answer = await self._send_sync(self._build_sync())
        except PeerUnreachable:
            answer = NOT_THE_BROKER
        if answer.broker_run_id == NOT_THE_BROKER.broker_run_id:
            self._pool.record_broker_silence()
            self._counters.count_permits("broker_silent")
            self._dispatch()
            # The broker may have failed or not know the new roster yet.
            await sleep_s(SYNC_TIMEOUT_S / 2)
            self._dispatch()
            if len(self._queue):
                self._sync_needed.set()
            return
        self._pool.accept(answer, sent_s)
        self._merge_virtual_times(answer.virtual_times)
        self._dispatch()

    async def _send_sync(self, message: PermitSync) -> PermitAnswer:
        if self._broker is not None:
            return self._broker.sync(self._host, message)
        if not self._broker_host:
            return NOT_THE_BROKER
        return await self._exchange.link.request(self._broker_host, message, SYNC_TIMEOUT_S)

    def _build_sync(self) -> PermitSync:
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
        self._reported_usage_s = dict(self._usage_s)
        self._reported_waiting = {entry.customer: entry.request_count for entry in waiting}
        return PermitSync(
            self._service,
            self._run_id,
            self._pool.broker_run_id,
            self._pool.last_received,
            self._pool.held_grants,
            self._pool.orphans,
            waiting,
            self._reported_usage_s,
        )

    def _merge_virtual_times(self, virtual_times: Mapping[str, float]) -> None:
        """Adopt the broker's virtual times and add the usage that it does not know yet."""
        self._queue.virtual_times.update(virtual_times)
        for customer, used_s in self._usage_s.items():
            unreported_s = used_s - self._reported_usage_s.get(customer, 0.0)
            if unreported_s > 0.0:
                self._queue.charge(customer, unreported_s, self._weights.get(customer, 1.0))
        for running in self._running.values():
            self._queue.charge(running.customer, self._queue.estimate_s, running.weight)

    def _push(self, host: str, message: PermitPush) -> None:
        if host == self._host:
            self.handle_push(host, message)
            return
        task = asyncio.get_running_loop().create_task(self._exchange.link.send(host, message))
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)
