"""Replaces the primary of a service.

A switch is begun in the store under the promotion duty. All hosts then stop using the old primary:
each acknowledges, or its proof runs out. Only after that a replica is promoted, so that no host can
read from or acknowledge a write of the old primary once the new one takes work.
"""

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.messages import DrainAnswer, DrainRequest, PrimaryNotice
from pistachiowinch.fleet.primaries import PrimaryTable
from pistachiowinch.fleet.primary_lease import PRIMARY_LEASE_S, includes_majority
from pistachiowinch.fleet.promotion_lock import PromotionLock, try_acquire_lock
from pistachiowinch.fleet.records import PrimaryRecord, decode_record, encode_record, group_key
from pistachiowinch.links.peers import PeerLink, PeerUnreachable
from pistachiowinch.links.statements import TargetState
from pistachiowinch.links.store import Compare, KeyValue, PollingStore, Put, StoreError

__all__ = [
    "GroupOrders",
    "PrimarySwitch",
    "PromoteAnswer",
    "SwitchContext",
    "SwitchRequest",
]

# Open transactions get this long to end before a planned switch; most are 12 statements of 33 ms.
# New work waits meanwhile, within its bound of 1 s.
PLANNED_GRACE_S = 0.6
# Half of a proof: a lost request is repeated once before the host's proof has run out.
GATE_TIMEOUT_S = 0.4
# Clocks of two hosts may differ in speed by this much over a proof.
PRIMARY_LEASE_MARGIN_S = 0.1
# A status waits for a slot, up to 0.26 s in a full queue.
STATE_TIMEOUT_S = 0.35
# A replica receives a commit in milliseconds unless it is cut off.
CATCH_UP_S = 1.0
# Adds half of this to a switch; a promotion takes 0.3 to 1 s.
PAUSE_S = 0.05
# Hosts that answered are counted this often; they answer in a few milliseconds.
COUNT_S = 0.01
# A store that is away is asked again this often; heartbeats carry the outcome meanwhile.
STORE_RETRY_S = 0.2
# A promotion takes up to 1 s, and its order up to another; then the next candidate is tried.
LEAD_TIMEOUT_S = 2.5
# Many round trips to a primary that works; one that does not is not waited for.
DEMOTE_TIMEOUT_S = 0.3
# An order that was answered or lost has taken effect after this time; a promotion takes 1 s.
ORDER_EFFECT_S = 1.5
# Three times a slow switch; one that is not done by then is left to the next attempt.
SWITCH_LIMIT_S = 12.0


class PromoteAnswer(enum.Enum):
    """The platform's answer to an order."""

    ACCEPTED = "accepted"
    NOT_RUNNING = "not_running"
    UNAVAILABLE = "unavailable"


class GroupOrders(Protocol):
    """Orders to and questions about the targets of a service."""

    async def promote(
        self, service: str, target: str, holder: str, fencing_token: int
    ) -> PromoteAnswer:
        """Order a target to lead the next term."""

    async def state(self, service: str, target: str, timeout_s: float) -> TargetState | None:
        """Ask a target for its state; None if it does not answer."""

    async def demote(self, service: str, target: str, term: int, timeout_s: float) -> None:
        """Tell a target that a later term has begun, so that it stops leading."""

    def close(self) -> None:
        """Close all connections."""


class SwitchRequest(NamedTuple):
    """Why and how a service's primary is to be replaced.

    :param is_planned: whether the old primary still works.
    :param old_primary: the old primary; empty if unknown.
    :param candidates: targets that may take over, preferred ones first.
    """

    service: str
    reason: str
    is_planned: bool
    old_primary: str
    candidates: tuple[str, ...]


@dataclass(frozen=True)
class SwitchContext:
    """What a switch uses.

    :param host: this host's name.
    :param members: returns the names of all hosts that count.
    :param voter_groups: returns groups of hosts that each must have a majority for a switch.
    :param drain: ends this host's own work at a service's primary.
    """

    host: str
    store: PollingStore
    promotion_lock: PromotionLock
    orders: GroupOrders
    table: PrimaryTable
    link: PeerLink
    members: Callable[[], frozenset[str]]
    voter_groups: Callable[[], tuple[frozenset[str], ...]]
    drain: Callable[[str, float], "asyncio.Future[bool]"]
    log: DecisionLog


class PrimarySwitch:
    """Makes one switch from its beginning in the store to the announcement.

    :param parts: what the switch uses.
    :param request: what to do.
    """

    def __init__(self, parts: SwitchContext, request: SwitchRequest) -> None:
        """Create a switch that has not begun."""
        self._parts = parts
        self._request = request
        self._epoch = 0
        self._started_s = now_s()
        self._states: dict[str, TargetState] = {}

    async def run(self) -> bool:
        """Switch.

        :returns: whether a new primary leads and was announced.
        """
        if not await try_acquire_lock(self._parts.promotion_lock, self._parts.log):
            return False
        revision = await self._begin()
        if revision is None:
            return False
        self._log("switch_begun", reason=self._request.reason, old=self._request.old_primary)
        if not await self._gate_all_hosts():
            self._log("switch_given_up", cause="too few hosts answered")
            return False
        primary = await self._promote_best()
        if primary is None:
            self._log("switch_given_up", cause="no target took over")
            return False
        await self._announce(primary, revision)
        await self._demote_old(primary)
        return True

    async def _begin(self) -> int | None:
        """Record in the store that the switch has begun; returns the record's revision."""
        service = self._request.service
        key = group_key(service)
        try:
            current = await self._parts.store.get(key)
            self._epoch = max(self._recorded_epoch(current), self._parts.table.epoch(service)) + 1
            record = PrimaryRecord(self._epoch, "")
            reply = await self._parts.store.transact(
                [
                    self._parts.promotion_lock.condition,
                    Compare(key, current.mod_revision if current is not None else 0),
                ],
                [Put(key, encode_record(record))],
            )
        except StoreError as error:
            self._log("switch_not_begun", cause=str(error)[:80])
            return None
        if not reply.succeeded:
            self._log("switch_not_begun", cause="another host changed the record")
            return None
        self._parts.table.adopt(service, record, "own switch")
        return reply.revision

    def _recorded_epoch(self, item: KeyValue | None) -> int:
        if item is None:
            return 0
        record = decode_record(item, PrimaryRecord)
        if record is None:
            self._log("record_unreadable", key=item.key, revision=item.mod_revision)
            return 0
        return record.epoch

    async def _gate_all_hosts(self) -> bool:
        """Wait until no host can use the old primary."""
        others = self._parts.members() - {self._parts.host}
        grace_s = PLANNED_GRACE_S if self._request.is_planned else 0.0
        asks = {host: asyncio.ensure_future(self._gate(host, grace_s)) for host in others}
        own = asyncio.ensure_future(self._parts.drain(self._request.service, grace_s))
        majority_s: float | None = None
        try:
            while now_s() - self._started_s < SWITCH_LIMIT_S:
                members = self._parts.members()
                gated = {self._parts.host} if own.done() else set()
                gated |= {host for host, ask in asks.items() if ask.done()}
                if members <= gated:
                    return True
                if not self._has_majorities(frozenset(gated)):
                    # A member that returned may have proved the old primary to others meanwhile.
                    majority_s = None
                elif majority_s is None:
                    majority_s = now_s()
                if (
                    majority_s is not None
                    and now_s() - majority_s > PRIMARY_LEASE_S + PRIMARY_LEASE_MARGIN_S
                ):
                    self._log("hosts_not_gated", hosts=sorted(members - gated))
                    return True
                for host in members - asks.keys() - {self._parts.host}:
                    asks[host] = asyncio.ensure_future(self._gate(host, grace_s))
                await sleep_s(COUNT_S)
            return False
        finally:
            for ask in (*asks.values(), own):
                ask.cancel()

    def _has_majorities(self, gated: frozenset[str]) -> bool:
        electorates = self._parts.voter_groups()
        return all(includes_majority(voters, gated) for voters in electorates)

    async def _gate(self, host: str, grace_s: float) -> None:
        request = DrainRequest(self._request.service, self._epoch, int(grace_s * 1000))
        while True:
            try:
                answer = await self._parts.link.request(host, request, GATE_TIMEOUT_S + grace_s)
                if isinstance(answer, DrainAnswer) and answer.is_idle:
                    return
            except PeerUnreachable:
                self._parts.log.write("gate_unanswered", host=host, epoch=self._epoch)
            await sleep_s(PAUSE_S)

    async def _promote_best(self) -> str | None:
        failed: set[str] = set()
        if not self._request.old_primary:
            # Another host began this switch; what it has ordered must have taken effect first.
            await sleep_s(max(self._started_s + ORDER_EFFECT_S - now_s(), 0.0))
        while now_s() - self._started_s < SWITCH_LIMIT_S:
            await self._read_states(failed)
            leader = self._leader()
            if leader is not None:
                return leader
            target = self._choose(failed)
            if target is None and self._is_old_still_primary():
                return self._request.old_primary
            if target is None:
                failed = {self._request.old_primary} if not failed else set()
                await sleep_s(PAUSE_S)
                continue
            if self._request.is_planned:
                await self._wait_caught_up(target)
            if not await try_acquire_lock(self._parts.promotion_lock, self._parts.log):
                return None
            if await self._order(target) and await self._wait_leads(target):
                return target
            failed.add(target)
        return None

    async def _read_states(self, failed: set[str]) -> None:
        """Ask the candidates at once, and the old primary if it works or none took over."""
        names = set(self._request.candidates)
        if self._request.is_planned or failed:
            names |= {self._request.old_primary} - {""}
        asks = [self._state(name) for name in sorted(names)]
        found = await asyncio.gather(*asks)
        self._states = {name: state for name, state in found if state is not None}

    async def _state(self, target: str) -> tuple[str, TargetState | None]:
        service = self._request.service
        return target, await self._parts.orders.state(service, target, STATE_TIMEOUT_S)

    def _leader(self) -> str | None:
        """Return a target that a switch before this one has promoted already."""
        highest = max((state.term for state in self._states.values()), default=0)
        for name, state in self._states.items():
            if state.is_primary and state.term == highest and name in self._request.candidates:
                return name
        return None

    def _is_old_still_primary(self) -> bool:
        """Whether the old primary answers and no later one does."""
        state = self._states.get(self._request.old_primary)
        highest = max((known.term for known in self._states.values()), default=0)
        return state is not None and state.is_primary and state.term == highest

    def _choose(self, failed: set[str]) -> str | None:
        """Return the candidate whose log is longest."""
        best: str | None = None
        for name in self._request.candidates:
            state = self._states.get(name)
            if state is None or name in failed or state.received is None:
                continue
            if best is None or state.received > self._states[best].received:
                best = name
        return best

    async def _wait_caught_up(self, target: str) -> None:
        """Let a replica receive what the old primary has acknowledged."""
        until_s = now_s() + CATCH_UP_S
        old = self._states.get(self._request.old_primary)
        while old is not None and old.received is not None and now_s() < until_s:
            state = self._states.get(target)
            if state is not None and state.received is not None and state.received >= old.received:
                return
            await sleep_s(PAUSE_S)
            _, state = await self._state(target)
            if state is not None:
                self._states[target] = state

    async def _order(self, target: str) -> bool:
        duty = self._parts.promotion_lock
        if not duty.is_held:
            self._log("order_withheld", target=target, fence=duty.fencing_token)
            return False
        service = self._request.service
        answer = await self._parts.orders.promote(
            service, target, self._parts.host, duty.fencing_token
        )
        self._log("promotion_ordered", target=target, fence=duty.fencing_token, answer=answer.value)
        return answer is not PromoteAnswer.NOT_RUNNING

    async def _wait_leads(self, target: str) -> bool:
        before = max((state.term for state in self._states.values()), default=0)
        until_s = now_s() + LEAD_TIMEOUT_S
        while now_s() < until_s:
            _, state = await self._state(target)
            if state is not None and state.is_primary and state.term > before:
                return True
            await sleep_s(PAUSE_S)
        return False

    async def _announce(self, primary: str, revision: int) -> None:
        service = self._request.service
        record = PrimaryRecord(self._epoch, primary)
        self._parts.table.adopt(service, record, "own switch")
        took_s = round(now_s() - self._started_s, 3)
        self._log("switch_done", primary=primary, took_s=took_s)
        notice = PrimaryNotice(service, self._epoch, primary)
        for host in self._parts.members() - {self._parts.host}:
            await self._parts.link.send(host, notice)
        await self._record(record, revision)

    async def _record(self, record: PrimaryRecord, revision: int) -> None:
        """Write the outcome; heartbeats carry it while the store is away."""
        key = group_key(self._request.service)
        while True:
            try:
                reply = await self._parts.store.transact(
                    [Compare(key, revision)], [Put(key, encode_record(record))]
                )
            except StoreError as error:
                self._log("outcome_not_recorded", cause=str(error)[:80])
                await sleep_s(STORE_RETRY_S)
                continue
            if not reply.succeeded:
                self._log("outcome_not_recorded", cause="the record has changed")
            return

    async def _demote_old(self, primary: str) -> None:
        old = self._request.old_primary
        if old and old != primary:
            term = max((state.term for state in self._states.values()), default=0) + 1
            await self._parts.orders.demote(self._request.service, old, term, DEMOTE_TIMEOUT_S)

    def _log(self, event: str, **fields: object) -> None:
        self._parts.log.write(event, service=self._request.service, epoch=self._epoch, **fields)
