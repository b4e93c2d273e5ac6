"""Permit broker of a service: lends each target's slots to the hosts of the site.

Permits bound load and are not a safety property, so brokers may overlap for a moment after the
roster has changed.
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

__all__ = ["NOT_THE_BROKER", "PERMIT_S", "PermitBroker", "PermitExchange", "PermitUser", "new_run"]

# A permit expires this long after the last message that renewed it.
PERMIT_S = 1.0
# A new broker first hears what the hosts hold; they report as soon as they see the new roster.
BROKER_START_S = 0.1
# Tentative slot time of a granted permit, so that one customer does not get all free ones.
GRANT_CHARGE_S = 0.002
# A customer without requests for this long does not hold back the virtual time of others.
ACTIVE_S = 0.5
# Hosts that hold permits are told again that others wait after this long.
RECALL_GAP_S = 0.02

LEAST_WEIGHT = 1e-6

NOT_THE_BROKER = PermitAnswer(0, (), False, {})
_log = part_logger("permits")


def new_run() -> int:
    """Return a number that no other run uses."""
    return random.SystemRandom().getrandbits(46) | 1 << 46


class PermitUser(Protocol):
    """The part of a service's scheduler that peers talk to."""

    async def handle_sync(self, host: str, message: PermitSync) -> PermitAnswer:
        """Answer a host's statement, as the broker."""

    def handle_push(self, host: str, message: PermitPush) -> None:
        """Take news from the broker."""


class PermitExchange:
    """Passes permit messages between the schedulers of this host and its peers.

    :param link: messages to the peers.
    """

    def __init__(self, link: PeerLink) -> None:
        """Register the handlers; one exchange serves all services of a host."""
        self.link = link
        self._users: dict[str, PermitUser] = {}
        link.on_request(PermitSync, PermitAnswer, self._sync)
        link.on_message(PermitPush, self._push)

    def add(self, service: str, user: PermitUser) -> None:
        """Pass a service's messages to its scheduler."""
        self._users[service] = user

    def remove(self, service: str) -> None:
        """Stop passing a service's messages."""
        self._users.pop(service, None)

    async def _sync(self, host: str, message: PermitSync) -> PermitAnswer:
        user = self._users.get(message.service)
        return NOT_THE_BROKER if user is None else await user.handle_sync(host, message)

    def _push(self, host: str, message: PermitPush) -> None:
        user = self._users.get(message.service)
        if user is not None:
            user.handle_push(host, message)


class _Holder:
    """What the broker knows about one host."""

    def __init__(self, run: int) -> None:
        self.run = run
        self.seen = 0
        self.granted: dict[int, str] = {}
        self.orphans: dict[str, int] = {}
        self.waiting: tuple[WaitingCustomer, ...] = ()
        self.covered: dict[str, int] = {}
        self.usage: dict[str, float] = {}
        self.expires_s = 0.0
        self.recalled_s = 0.0

    def unseen(self) -> tuple[tuple[int, str], ...]:
        return tuple((seq, target) for seq, target in self.granted.items() if seq > self.seen)

    def lent(self, target: str) -> int:
        return sum(t == target for t in self.granted.values()) + self.orphans.get(target, 0)

    def uncovered(self) -> list[WaitingCustomer]:
        return [
            entry for entry in self.waiting if entry.count > self.covered.get(entry.customer, 0)
        ]


class PermitBroker:
    """Grants permits in weighted fair order over the customers that wait at any host.

    :param service: the service's name.
    :param counters: events of permits.
    :param push: sends a message to a host.
    """

    def __init__(
        self, service: str, counters: LimitCounters, push: Callable[[str, PermitPush], None]
    ) -> None:
        """Create a broker that knows no host yet."""
        self.run = new_run()
        self._service = service
        self._counters = counters
        self._push = push
        self._slots: dict[str, int] = {}
        self._holders: dict[str, _Holder] = {}
        self._virtual: dict[str, float] = {}
        self._weights: dict[str, float] = {}
        self._active_s: dict[str, float] = {}
        self._next_grant = 0
        self._starts_s = now_s() + BROKER_START_S
        asyncio.get_running_loop().call_at(self._starts_s, self.grant)

    def set_slots(self, slots: Mapping[str, int]) -> None:
        """Take the targets and their slots."""
        self._slots = dict(slots)
        self.grant()

    def sync(self, host: str, message: PermitSync) -> PermitAnswer:
        """Take a host's statement and return what is lent to it."""
        holder = self._holders.get(host)
        if holder is None or holder.run != message.run:
            # A restarted host holds nothing; what its previous run used is not reported again.
            holder = self._holders[host] = _Holder(message.run)
        holder.expires_s = now_s() + PERMIT_S
        holder.orphans = dict(message.orphans)
        self._take_statement(holder, message)
        self._take_usage(holder, message)
        self.grant(answered=host)
        others_wait = self._others_wait(host)
        if others_wait:
            holder.recalled_s = now_s()
        return PermitAnswer(self.run, holder.unseen(), others_wait, dict(self._virtual))

    def grant(self, answered: str | None = None) -> None:
        """Lend all free permits; hosts other than ``answered`` are told at once."""
        if now_s() < self._starts_s:
            return
        self._expire()
        told = set()
        while (choice := self._choose()) is not None:
            host, entry, target = choice
            holder = self._holders[host]
            self._next_grant += 1
            holder.granted[self._next_grant] = target
            holder.covered[entry.customer] = holder.covered.get(entry.customer, 0) + 1
            charge = GRANT_CHARGE_S / max(entry.weight, LEAST_WEIGHT)
            self._virtual[entry.customer] = self._virtual.get(entry.customer, 0.0) + charge
            self._counters.permits("granted")
            told.add(host)
        for host in told - {answered}:
            self._tell(host)
        self._recall(answered)

    def _take_statement(self, holder: _Holder, message: PermitSync) -> None:
        if message.broker_run == self.run:
            kept = set(message.kept)
            holder.seen = max(holder.seen, message.seen)
            for seq in tuple(holder.granted):
                if seq <= message.seen and seq not in kept:
                    del holder.granted[seq]
        holder.waiting = message.waiting
        # Grants under way will serve some of the stated requests.
        holder.covered = {}
        under_way = len(holder.unseen())
        for entry in message.waiting:
            covered = min(under_way, entry.count)
            holder.covered[entry.customer] = covered
            under_way -= covered
        for entry in message.waiting:
            self._note_active(entry.customer)

    def _take_usage(self, holder: _Holder, message: PermitSync) -> None:
        for entry in message.waiting:
            self._weights[entry.customer] = max(entry.weight, LEAST_WEIGHT)
        for customer, used_s in message.usage.items():
            new_s = used_s - holder.usage.get(customer, 0.0)
            holder.usage[customer] = used_s
            if new_s > 0.0:
                self._note_active(customer)
                self._virtual[customer] += new_s / self._weights.get(customer, 1.0)

    def _note_active(self, customer: str) -> None:
        oldest_s = now_s() - ACTIVE_S
        if self._active_s.get(customer, -PERMIT_S) < oldest_s:
            others = [
                self._virtual.get(other, 0.0)
                for other, active_s in self._active_s.items()
                if active_s >= oldest_s
            ]
            least = min(others, default=0.0)
            self._virtual[customer] = max(self._virtual.get(customer, 0.0), least)
        self._virtual.setdefault(customer, 0.0)
        self._active_s[customer] = now_s()

    def _expire(self) -> None:
        for host, holder in tuple(self._holders.items()):
            if holder.expires_s <= now_s():
                self._counters.permits("expired", len(holder.granted))
                del self._holders[host]

    def _free(self) -> dict[str, int]:
        free = {
            target: slots - sum(holder.lent(target) for holder in self._holders.values())
            for target, slots in self._slots.items()
        }
        return {target: count for target, count in free.items() if count > 0}

    def _choose(self) -> tuple[str, WaitingCustomer, str] | None:
        free = self._free()
        choices = [
            (self._virtual.get(entry.customer, 0.0), len(holder.granted), host, entry)
            for host, holder in self._holders.items()
            for entry in holder.uncovered()
            if any(target in free for target in entry.targets)
        ]
        if not choices:
            return None
        _, _, host, entry = min(choices, key=lambda choice: choice[:3])
        target = max((t for t in entry.targets if t in free), key=lambda t: (free[t], t))
        return host, entry, target

    def _others_wait(self, host: str) -> bool:
        return any(other != host and holder.uncovered() for other, holder in self._holders.items())

    def _tell(self, host: str) -> None:
        holder = self._holders[host]
        others_wait = self._others_wait(host)
        message = PermitPush(self._service, holder.run, self.run, holder.unseen(), others_wait)
        self._push(host, message)

    def _recall(self, answered: str | None) -> None:
        for host, holder in self._holders.items():
            is_due = now_s() - holder.recalled_s >= RECALL_GAP_S
            if host != answered and holder.granted and is_due and self._others_wait(host):
                holder.recalled_s = now_s()
                self._tell(host)
