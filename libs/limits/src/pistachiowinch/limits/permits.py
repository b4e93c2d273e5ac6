"""Permit broker of a service: grants each target's slots to the hosts of the site for a time.

Permits limit load; no safety property depends on them. Two brokers may therefore overlap for a
moment after the roster has changed.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Protocol

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.logs import part_logger
from pistachiowinch.limits.counters import LimitCounters
from pistachiowinch.limits.messages import PermitAnswer, PermitPush, PermitSync, WaitingCustomer
from pistachiowinch.links.peers import PeerLink

__all__ = [
    "NOT_THE_BROKER",
    "PERMIT_TTL_S",
    "PermitBroker",
    "PermitExchange",
    "PermitHandler",
    "new_run_id",
]

# A permit expires this long after the last sync message that renewed it.
PERMIT_TTL_S = 1.0
# A new broker first waits for the hosts to report the permits in use, which they do on seeing the
# new roster.
BROKER_START_DELAY_S = 0.1
# Slot time charged in advance for each grant, so that one customer does not get all free permits.
GRANT_CHARGE_S = 0.002
# Customers with requests in this window determine the virtual time of one that becomes active.
ACTIVE_WINDOW_S = 0.5
# Hosts that hold permits are notified at most this often that others wait.
MIN_RECALL_INTERVAL_S = 0.02

MIN_WEIGHT = 1e-6

NOT_THE_BROKER = PermitAnswer(0, (), False, {})
_log = part_logger("permits")


def new_run_id() -> int:
    """Return a random number that identifies one run of a scheduler or broker."""
    return random.SystemRandom().getrandbits(46) | 1 << 46


class PermitHandler(Protocol):
    """Handles a service's permit messages from peers."""

    async def handle_sync(self, host: str, message: PermitSync) -> PermitAnswer:
        """Answer a host's sync message, as the broker."""

    def handle_push(self, host: str, message: PermitPush) -> None:
        """Apply a notification from the broker."""


class PermitExchange:
    """Dispatches permit messages from peers to the schedulers of this host.

    :param link: link to the peers.
    """

    def __init__(self, link: PeerLink) -> None:
        """Register for permit messages; one exchange serves all services of a host."""
        self.link = link
        self._handlers: dict[str, PermitHandler] = {}
        link.on_request(PermitSync, PermitAnswer, self._sync)
        link.on_message(PermitPush, self._push)

    def add(self, service: str, handler: PermitHandler) -> None:
        """Dispatch a service's messages to a handler."""
        self._handlers[service] = handler

    def remove(self, service: str) -> None:
        """Stop dispatching a service's messages."""
        self._handlers.pop(service, None)

    async def _sync(self, host: str, message: PermitSync) -> PermitAnswer:
        handler = self._handlers.get(message.service)
        return NOT_THE_BROKER if handler is None else await handler.handle_sync(host, message)

    def _push(self, host: str, message: PermitPush) -> None:
        handler = self._handlers.get(message.service)
        if handler is not None:
            handler.handle_push(host, message)


class _Holder:
    """The broker's state of one host."""

    def __init__(self, run_id: int) -> None:
        self.run_id = run_id
        self.last_received = 0
        self.granted: dict[int, str] = {}
        self.orphans: dict[str, int] = {}
        self.waiting: tuple[WaitingCustomer, ...] = ()
        self.covered_requests: dict[str, int] = {}
        self.usage_s: dict[str, float] = {}
        self.expires_s = 0.0
        self.recalled_s = 0.0

    def unreceived_grants(self) -> tuple[tuple[int, str], ...]:
        return tuple(
            (seq, target) for seq, target in self.granted.items() if seq > self.last_received
        )

    def held_count(self, target: str) -> int:
        return sum(t == target for t in self.granted.values()) + self.orphans.get(target, 0)

    def uncovered_customers(self) -> list[WaitingCustomer]:
        return [
            entry
            for entry in self.waiting
            if entry.request_count > self.covered_requests.get(entry.customer, 0)
        ]


class PermitBroker:
    """Grants permits in weighted fair order over the customers that wait at any host.

    :param service: the service's name.
    :param counters: counts permit events.
    :param push: sends a message to a host.
    """

    def __init__(
        self, service: str, counters: LimitCounters, push: Callable[[str, PermitPush], None]
    ) -> None:
        """Create a broker without hosts and targets."""
        self.run_id = new_run_id()
        self._service = service
        self._counters = counters
        self._push = push
        self._slots: dict[str, int] = {}
        self._holders: dict[str, _Holder] = {}
        self._virtual_times: dict[str, float] = {}
        self._weights: dict[str, float] = {}
        self._active_s: dict[str, float] = {}
        self._next_grant = 0
        self._grants_from_s = now_s() + BROKER_START_DELAY_S
        asyncio.get_running_loop().call_at(self._grants_from_s, self.grant)

    def set_slots(self, slots: Mapping[str, int]) -> None:
        """Set the targets and their numbers of slots."""
        self._slots = dict(slots)
        self.grant()

    def sync(self, host: str, message: PermitSync) -> PermitAnswer:
        """Apply a host's sync message and return its grants."""
        holder = self._holders.get(host)
        if holder is None or holder.run_id != message.run_id:
            # A restarted host holds no permits, and its reported usage starts again at zero.
            holder = self._holders[host] = _Holder(message.run_id)
        holder.expires_s = now_s() + PERMIT_TTL_S
        holder.orphans = dict(message.orphans)
        self._apply_sync(holder, message)
        self._apply_usage(holder, message)
        self.grant(answered=host)
        others_wait = self._others_wait(host)
        if others_wait:
            holder.recalled_s = now_s()
        return PermitAnswer(
            self.run_id, holder.unreceived_grants(), others_wait, dict(self._virtual_times)
        )

    def grant(self, answered: str | None = None) -> None:
        """Grant all free permits to waiting hosts.

        :param answered: host that gets its grants with an answer; others are notified.
        """
        if now_s() < self._grants_from_s:
            return
        self._expire()
        notified = set()
        while (choice := self._choose()) is not None:
            host, entry, target = choice
            holder = self._holders[host]
            self._next_grant += 1
            holder.granted[self._next_grant] = target
            holder.covered_requests[entry.customer] = (
                holder.covered_requests.get(entry.customer, 0) + 1
            )
            charge = GRANT_CHARGE_S / max(entry.weight, MIN_WEIGHT)
            self._virtual_times[entry.customer] = (
                self._virtual_times.get(entry.customer, 0.0) + charge
            )
            self._counters.count_permits("granted")
            notified.add(host)
        for host in notified - {answered}:
            self._push_grants(host)
        self._recall(answered)

    def _apply_sync(self, holder: _Holder, message: PermitSync) -> None:
        if message.broker_run_id == self.run_id:
            held = set(message.held_grants)
            holder.last_received = max(holder.last_received, message.last_received)
            for seq in tuple(holder.granted):
                if seq <= message.last_received and seq not in held:
                    del holder.granted[seq]
        holder.waiting = message.waiting
        # Grants that the host has not received yet will serve some of the reported requests.
        holder.covered_requests = {}
        in_flight = len(holder.unreceived_grants())
        for entry in message.waiting:
            covered = min(in_flight, entry.request_count)
            holder.covered_requests[entry.customer] = covered
            in_flight -= covered
        for entry in message.waiting:
            self._mark_active(entry.customer)

    def _apply_usage(self, holder: _Holder, message: PermitSync) -> None:
        for entry in message.waiting:
            self._weights[entry.customer] = max(entry.weight, MIN_WEIGHT)
        for customer, used_s in message.usage_s.items():
            new_s = used_s - holder.usage_s.get(customer, 0.0)
            holder.usage_s[customer] = used_s
            if new_s > 0.0:
                self._mark_active(customer)
                self._virtual_times[customer] += new_s / self._weights.get(customer, 1.0)

    def _mark_active(self, customer: str) -> None:
        oldest_s = now_s() - ACTIVE_WINDOW_S
        if self._active_s.get(customer, -PERMIT_TTL_S) < oldest_s:
            others = [
                self._virtual_times.get(other, 0.0)
                for other, active_s in self._active_s.items()
                if active_s >= oldest_s
            ]
            least = min(others, default=0.0)
            self._virtual_times[customer] = max(self._virtual_times.get(customer, 0.0), least)
        self._virtual_times.setdefault(customer, 0.0)
        self._active_s[customer] = now_s()

    def _expire(self) -> None:
        for host, holder in tuple(self._holders.items()):
            if holder.expires_s <= now_s():
                self._counters.count_permits("expired", len(holder.granted))
                del self._holders[host]

    def _free_slots(self) -> dict[str, int]:
        free = {
            target: slots - sum(holder.held_count(target) for holder in self._holders.values())
            for target, slots in self._slots.items()
        }
        return {target: count for target, count in free.items() if count > 0}

    def _choose(self) -> tuple[str, WaitingCustomer, str] | None:
        free = self._free_slots()
        choices = [
            (self._virtual_times.get(entry.customer, 0.0), len(holder.granted), host, entry)
            for host, holder in self._holders.items()
            for entry in holder.uncovered_customers()
            if any(target in free for target in entry.targets)
        ]
        if not choices:
            return None
        _, _, host, entry = min(choices, key=lambda choice: choice[:3])
        target = max((t for t in entry.targets if t in free), key=lambda t: (free[t], t))
        return host, entry, target

    def _others_wait(self, host: str) -> bool:
        return any(
            other != host and holder.uncovered_customers()
            for other, holder in self._holders.items()
        )

    def _push_grants(self, host: str) -> None:
        holder = self._holders[host]
        others_wait = self._others_wait(host)
        message = PermitPush(
            self._service, holder.run_id, self.run_id, holder.unreceived_grants(), others_wait
        )
        self._push(host, message)

    def _recall(self, answered: str | None) -> None:
        for host, holder in self._holders.items():
            is_due = now_s() - holder.recalled_s >= MIN_RECALL_INTERVAL_S
            if host != answered and holder.granted and is_due and self._others_wait(host):
                holder.recalled_s = now_s()
                self._push_grants(host)
