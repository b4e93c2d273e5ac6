"""Replacement of a service's primary.

The holder of the promotion lock records the start of the switch in the store. Then all hosts stop
using the old primary: each host acknowledges, or its primary lease expires. Only after that a
replica is promoted, so that no host can read from the old primary or acknowledge a write by it once
the new primary accepts work. No host uses the new primary before the store has its record, or a
majority of the voters has confirmed that it knows no later switch.
"""

import asyncio
import enum
import math
from collections.abc import Callable, Mapping, Set
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.messages import DrainAnswer, DrainRequest, PrimaryNotice
from pistachiowinch.fleet.primaries import PrimaryTable
from pistachiowinch.fleet.primary_lease import PRIMARY_LEASE_S, includes_majority
from pistachiowinch.fleet.promotion_choice import (
    Choice,
    OrderTarget,
    PromotionOrders,
    SwitchProgress,
    UseTarget,
    WaitForLogs,
    WaitForOrder,
    WaitForTargets,
    choose_primary,
    highest_term,
)
from pistachiowinch.fleet.promotion_lock import PromotionLock, try_acquire_lock
from pistachiowinch.fleet.records import PrimaryRecord, decode_record, encode_record, group_key
from pistachiowinch.links.peers import PeerLink, PeerUnreachable
from pistachiowinch.links.statements import ReasonRefused, StateAnswer, TargetState
from pistachiowinch.links.store import Compare, KeyValue, PollingStore, Put, StoreError

__all__ = [
    "GroupOrders",
    "PrimarySwitch",
    "PromoteAnswer",
    "SwitchContext",
    "SwitchRequest",
]

# Time for open transactions to finish before a planned switch; most have 12 statements of 33 ms.
# New work waits meanwhile, which its limit of 1 s allows.
PLANNED_GRACE_S = 0.6
# Half of the primary lease, so that a lost request is sent again before the host's lease expires.
DRAIN_TIMEOUT_S = 0.4
# Allows for clock drift between two hosts during a primary lease.
PRIMARY_LEASE_MARGIN_S = 0.1
# A state request waits for a slot, for up to 0.26 s if the queue is full.
STATE_TIMEOUT_S = 0.35
# A target that is several times slower than usual, with a full queue, answers within this time.
LOG_TIMEOUT_S = 2.0
# A known log is read again at this interval, since it grows while its primary still sends to it.
LOG_CHECK_INTERVAL_S = 0.2
# The watch delivers the record of the switch's start within milliseconds, unless it is broken.
MEMBERS_REFRESH_S = 0.3
# A replica receives a commit within milliseconds unless it is disconnected.
CATCH_UP_TIMEOUT_S = 1.0
# Adds half of its length to a switch on average; a promotion takes 0.3 to 1 s.
POLL_INTERVAL_S = 0.05
# Hosts answer a drain request in a few milliseconds.
DRAIN_CHECK_INTERVAL_S = 0.01
# Several times what a healthy store needs; after this time a majority of the voters may confirm.
OUTCOME_RECORD_TIMEOUT_S = 0.2
# Bounds the rate of calls while the store is unavailable.
STORE_RETRY_DELAY_S = 0.2
# A promotion and its order take up to 1 s each; after this time the next candidate is tried.
PROMOTION_TIMEOUT_S = 2.5
# Many round trips to a working primary; a failed one must not delay the switch.
DEMOTE_TIMEOUT_S = 0.3
# A log line names at most this many hosts of each kind; a large fleet has hundreds.
MAX_LOGGED_HOSTS = 10
# After this time an order has taken effect even if its answer was lost; a promotion takes 1 s.
ORDER_EFFECT_S = 1.5
# Three times the duration of a slow switch; an unfinished one is left to the next attempt.
SWITCH_TIMEOUT_S = 12.0


class PromoteAnswer(enum.Enum):
    """The platform's answer to a promotion order."""

    ACCEPTED = "accepted"
    NOT_RUNNING = "not_running"
    UNAVAILABLE = "unavailable"


class GroupOrders(Protocol):
    """Interface for querying and controlling the targets of a service."""

    async def promote(
        self, service: str, target: str, holder: str, fencing_token: int
    ) -> PromoteAnswer:
        """Order the promotion of a target to primary of the next term.

        :param holder: host that holds the promotion lock.
        :param fencing_token: token of that lock.
        """

    async def state(self, service: str, target: str, timeout_s: float) -> StateAnswer:
        """Return a target's state, why it was refused, or None if the target does not answer."""

    async def demote(self, service: str, target: str, term: int, timeout_s: float) -> None:
        """Notify a target of a later term, so that it stops acting as primary."""

    def close(self) -> None:
        """Close all connections."""


class SwitchRequest(NamedTuple):
    """Request to replace a service's primary.

    :param reason: why, for the log.
    :param is_planned: whether the old primary still works.
    :param old_primary: the old primary's name; empty if unknown.
    :param candidates: targets that may become primary, preferred ones first.
    :param targets: all targets of the service.
    :param sync_replicas: replicas that have received a commit before it is acknowledged.
    """

    service: str
    reason: str
    is_planned: bool
    old_primary: str
    candidates: tuple[str, ...]
    targets: tuple[str, ...] = ()
    sync_replicas: int = 0


@dataclass(frozen=True)
class SwitchContext:
    """Dependencies of a switch.

    :param host: this host's name.
    :param members: returns the names of all members.
    :param members_revision: returns the store revision as of which the members and the voters are
        known.
    :param refresh_members: reads the members and the voters again.
    :param voter_groups: returns the groups of voters; a switch needs a majority of each.
    :param drain: ends this host's own work at a service's primary, with a grace time in seconds.
    :param addresses: returns the addresses of a service's targets, by name.
    """

    host: str
    store: PollingStore
    promotion_lock: PromotionLock
    orders: GroupOrders
    table: PrimaryTable
    link: PeerLink
    members: Callable[[], frozenset[str]]
    members_revision: Callable[[], int]
    refresh_members: Callable[[], object]
    voter_groups: Callable[[], tuple[frozenset[str], ...]]
    drain: Callable[[str, float], "asyncio.Future[bool]"]
    log: DecisionLog
    addresses: Callable[[str], Mapping[str, str]] = lambda service: {}


def _orders_of(record: PrimaryRecord) -> PromotionOrders:
    return PromotionOrders(
        record.ordered, record.ordered_by, record.term_before, record.possible_primaries
    )


class PrimarySwitch:
    """One switch, from its start in the store to the announcement of the new primary.

    :param context: dependencies of the switch.
    :param request: what to switch, and why.
    """

    def __init__(self, context: SwitchContext, request: SwitchRequest) -> None:
        """Create a switch; :meth:`run` performs it."""
        self._context = context
        self._request = request
        self._epoch = 0
        self._revision = 0
        self._begun_revision = 0
        self._ordered = PromotionOrders("")
        self._replicas: tuple[str, ...] | None = None
        self._last_order_s = now_s()
        self._asks_old_primary = False
        self._started_s = now_s()
        self._states: dict[str, TargetState] = {}
        self._answers: dict[str, StateAnswer] = {}

    async def run(self) -> bool:
        """Perform the switch.

        :returns: whether a primary was confirmed and announced.
        """
        if not await try_acquire_lock(self._context.promotion_lock, self._context.log):
            return False
        if not await self._begin():
            return False
        self._log(
            "switch_begun",
            reason=self._request.reason,
            old=self._request.old_primary,
            ordered=self._ordered.target,
            ordered_by=self._ordered.host,
        )
        if not await self._drain_all_hosts():
            self._log("switch_given_up", cause="too few hosts answered")
            return False
        primary = await self._promote_best()
        if primary is None:
            self._log("switch_given_up", cause="no target took over")
            return False
        if not await self._publish(primary):
            return False
        await self._demote_old(primary)
        return True

    async def _begin(self) -> bool:
        """Record the start of the switch in the store.

        :returns: whether the record was written.
        """
        service = self._request.service
        key = group_key(service)
        try:
            current = await self._context.store.get(key)
            recorded = self._decode_recorded(current)
            if recorded.epoch > 0:
                self._context.table.adopt(service, recorded, "store")
            if self._context.table.primary(service) != self._request.old_primary:
                self._log("switch_not_begun", cause="the primary has changed")
                return False
            known_epoch = self._context.table.epoch(service)
            self._epoch = max(recorded.epoch, known_epoch) + 1
            if self._is_continued:
                # A restored store may have lost the record of an order.
                is_lost = recorded.epoch < known_epoch
                self._ordered = PromotionOrders(None) if is_lost else _orders_of(recorded)
                self._replicas = None if is_lost else recorded.replicas
            else:
                replaced = (self._request.old_primary,)
                self._ordered = PromotionOrders("", possible_primaries=replaced)
                addresses = self._context.addresses(service)
                replicas = (a for name, a in addresses.items() if name not in replaced)
                self._replicas = tuple(sorted(replicas)) or None
            record = self._ongoing_record(self._ordered)
            reply = await self._context.store.transact(
                [
                    self._context.promotion_lock.condition,
                    Compare(key, current.mod_revision if current is not None else 0),
                ],
                [Put(key, encode_record(record))],
            )
        except StoreError as error:
            self._log("switch_not_begun", cause=str(error)[:80])
            return False
        if not reply.succeeded:
            self._log("switch_not_begun", cause="another host changed the record")
            return False
        self._revision = self._begun_revision = reply.revision
        self._last_order_s = now_s()
        self._context.table.adopt(service, record, "own switch")
        return True

    @property
    def _is_continued(self) -> bool:
        """Whether an earlier switch of the service was left unfinished."""
        return not self._request.old_primary

    def _decode_recorded(self, item: KeyValue | None) -> PrimaryRecord:
        if item is None:
            return PrimaryRecord(0, "")
        record = decode_record(item, PrimaryRecord)
        if record is None:
            self._log("record_unreadable", key=item.key, revision=item.mod_revision)
            return PrimaryRecord(0, "")
        return record

    async def _wait_for_members(self) -> None:
        """Wait until the members and the voters are known as of the start of the switch.

        A host that registers later knows of the switch, because its lease and its evidence need a
        copy of the store that has its registration.
        """
        asked_s = now_s()
        while self._context.members_revision() < self._begun_revision:
            if now_s() - asked_s > MEMBERS_REFRESH_S:
                asked_s = now_s()
                self._log("members_outdated", revision=self._context.members_revision())
                self._context.refresh_members()
            await sleep_s(DRAIN_CHECK_INTERVAL_S)

    async def _drain_all_hosts(self) -> bool:
        """Wait until no work that was sent to the old primary can be acknowledged any more.

        That is so once no host has work in progress there. Otherwise a majority of the voters has
        to know of the switch, so that no host gains evidence without learning of it, and all leases
        from before have to expire. A host may be in touch and never idle.
        """
        grace_s = PLANNED_GRACE_S if self._request.is_planned else 0.0
        aware = {self._context.host}
        requests = {self._context.host: asyncio.ensure_future(self._drain_own_work(grace_s))}
        current = asyncio.ensure_future(self._wait_for_members())
        # Voters that had stopped or were removed when the switch began.
        stopped: frozenset[str] = frozenset()
        majority_since_s = math.inf
        try:
            while now_s() - self._started_s < SWITCH_TIMEOUT_S:
                members = self._context.members()
                for host in members - requests.keys():
                    requests[host] = asyncio.ensure_future(self._drain_host(host, grace_s, aware))
                if current.done():
                    stopped |= frozenset().union(*self._context.voter_groups()) - members
                if not current.done() or not self._has_majorities(frozenset(aware | stopped)):
                    # A member that returned may have extended other hosts' leases meanwhile.
                    majority_since_s = math.inf
                else:
                    majority_since_s = min(majority_since_s, now_s())
                idle = {host for host, request in requests.items() if request.done()}
                is_all_idle = current.done() and members | {self._context.host} <= idle | stopped
                majority_age_s = max(now_s() - majority_since_s, 0.0)
                if is_all_idle or majority_age_s > PRIMARY_LEASE_S + PRIMARY_LEASE_MARGIN_S:
                    self._log_drain(is_all_idle, members - idle, aware, majority_age_s)
                    return True
                await sleep_s(DRAIN_CHECK_INTERVAL_S)
            return False
        finally:
            for request in (*requests.values(), current):
                request.cancel()

    def _log_drain(
        self, is_all_idle: bool, not_idle: frozenset[str], aware: Set[str], majority_age_s: float
    ) -> None:
        """Log which hosts were idle, and on which others only their leases were waited for."""
        self._log(
            "hosts_drained",
            cause="all idle" if is_all_idle else "leases expired",
            idle=len(self._context.members() - not_idle),
            busy=sorted(not_idle & aware)[:MAX_LOGGED_HOSTS],
            silent=sorted(not_idle - aware)[:MAX_LOGGED_HOSTS],
            majority_age_s=round(majority_age_s, 3),
            took_s=round(now_s() - self._started_s, 3),
        )

    def _has_majorities(self, hosts: frozenset[str]) -> bool:
        voter_groups = self._context.voter_groups()
        return all(includes_majority(voters, hosts) for voters in voter_groups)

    async def _drain_own_work(self, grace_s: float) -> None:
        """Return when this host has no work left in progress at the old primary."""
        while not await self._context.drain(self._request.service, grace_s):
            await sleep_s(POLL_INTERVAL_S)

    async def _drain_host(self, host: str, grace_s: float, aware: set[str]) -> None:
        """Return when a host has no work left in progress at the old primary.

        :param aware: the host is added as soon as it states that it knows of this switch and of no
            later one.
        """
        request = DrainRequest(self._request.service, self._epoch, int(grace_s * 1000))
        while True:
            try:
                answer = await self._context.link.request(host, request, DRAIN_TIMEOUT_S + grace_s)
                if isinstance(answer, DrainAnswer):
                    if answer.is_current:
                        aware.add(host)
                    if answer.is_idle:
                        return
            except PeerUnreachable:
                self._context.log.write("gate_unanswered", host=host, epoch=self._epoch)
            await sleep_s(POLL_INTERVAL_S)

    async def _promote_best(self) -> str | None:
        failed: set[str] = set()
        while now_s() - self._started_s < SWITCH_TIMEOUT_S:
            await self._read_states(failed)
            choice = choose_primary(self._progress(failed))
            if isinstance(choice, WaitForLogs):
                failed.clear()
                choice = await self._wait_for_logs()
            match choice:
                case UseTarget(target, evidence):
                    self._log_choice(target, evidence)
                    return target
                case OrderTarget(target, _):
                    if self._request.is_planned:
                        await self._wait_caught_up(target)
                    if not await try_acquire_lock(self._context.promotion_lock, self._context.log):
                        return None
                    self._log_states("logs_compared", target=target, reason=choice.reason)
                    previous = self._ordered
                    if not await self._record_order(target):
                        return None
                    answer = await self._order_promotion(choice)
                    if answer in (PromoteAnswer.ACCEPTED, PromoteAnswer.UNAVAILABLE):
                        self._last_order_s = now_s()
                        if await self._takes_over(target, answer):
                            return target
                    else:
                        # An order that was not executed has no effect; the one before it may have.
                        self._ordered = previous
                    failed.add(target)
                case WaitForOrder() | WaitForLogs():
                    await sleep_s(POLL_INTERVAL_S)
                case WaitForTargets():
                    self._asks_old_primary = True
                    failed.clear()
                    await sleep_s(POLL_INTERVAL_S)
        return None

    def _progress(self, failed: set[str]) -> SwitchProgress:
        request = self._request
        return SwitchProgress(
            states=self._states,
            candidates=request.candidates,
            targets={*request.targets, *request.candidates},
            old_primary=request.old_primary,
            orders=self._ordered,
            is_settled=now_s() - self._last_order_s >= ORDER_EFFECT_S,
            failed=failed,
            sync_replicas=request.sync_replicas,
            replicas=self._replica_names(),
        )

    def _replica_names(self) -> tuple[str, ...]:
        """Return the replicas that may have acknowledged commits, by the names that they have now.

        These are the recorded ones and those that were registered since. Without a record the
        replaced primary may be one of them.
        """
        addresses = self._context.addresses(self._request.service)
        names = {address: name for name, address in addresses.items()}
        recorded = {names.get(address, address) for address in self._replicas or ()}
        primaries = {self._ordered.target, *(self._ordered.possible_primaries or ())}
        registered = addresses.keys() - (primaries if self._replicas is not None else set())
        return tuple(sorted(recorded | registered))

    async def _record_order(self, target: str) -> bool:
        """Record which target is about to be ordered, for the host that continues this switch."""
        if self._ordered.target == target and self._ordered.term_before is not None:
            return True
        term_before = highest_term(self._states)
        order = self._ordered.followed_by(target, self._context.host, term_before)
        lock = self._context.promotion_lock
        key = group_key(self._request.service)
        record = self._ongoing_record(order)
        while lock.is_held:
            try:
                reply = await self._context.store.transact(
                    [lock.condition, Compare(key, self._revision)],
                    [Put(key, encode_record(record))],
                )
                if reply.succeeded:
                    self._revision, self._ordered = reply.revision, order
                    return True
                # The answer to an earlier attempt may have been lost.
                current = await self._context.store.get(key)
            except StoreError as error:
                self._log("order_not_recorded", target=target, cause=str(error)[:80])
                await sleep_s(POLL_INTERVAL_S)
                continue
            if current is None or decode_record(current, PrimaryRecord) != record:
                self._log("order_not_recorded", target=target, cause="the record has changed")
                return False
            self._revision, self._ordered = current.mod_revision, order
            return True
        self._log("order_withheld", target=target, fence=lock.fencing_token)
        return False

    def _ongoing_record(self, order: PromotionOrders) -> PrimaryRecord:
        return PrimaryRecord(self._epoch, "", *order, replicas=self._replicas)

    async def _read_states(self, failed: set[str]) -> None:
        """Query the targets that may become or be primary.

        A failed old primary is asked only if the candidates do not suffice.
        """
        orders, request = self._ordered, self._request
        names = {orders.target or "", *(orders.possible_primaries or ())}
        if orders.target is None or orders.possible_primaries is None:
            names |= set(request.targets)
        if not (request.is_planned or failed or self._asks_old_primary):
            names.discard(request.old_primary)
        names = {*names, *request.candidates} - {""}
        if request.sync_replicas > 0:
            names |= set(self._replica_names())
        requests = [self._state_of(name) for name in sorted(names)]
        replies = await asyncio.gather(*requests)
        self._answers = dict(replies)
        self._states = {n: state for n, state in replies if isinstance(state, TargetState)}

    async def _wait_for_logs(self) -> Choice:
        """Ask the targets until their logs suffice for another choice.

        Load pattern: the replica with the newest log serves all reads, so that a state request
        waits in its queue for longer than a usual switch may take. A request that is given up there
        starts again at the end of the queue.
        """
        self._asks_old_primary = True
        self._log_states("logs_awaited", sync_replicas=self._request.sync_replicas)
        request, orders = self._request, self._ordered
        names = {orders.target, *(orders.possible_primaries or ()), request.old_primary}
        names |= {*request.targets, *request.candidates, *self._replica_names()}
        followers = [
            asyncio.ensure_future(self._follow_log(name)) for name in sorted(names - {None, ""})
        ]
        try:
            choice: Choice = WaitForLogs()
            while isinstance(choice, WaitForLogs | WaitForTargets):
                if now_s() - self._started_s >= SWITCH_TIMEOUT_S:
                    break
                await sleep_s(POLL_INTERVAL_S)
                for follower in followers:
                    if follower.done():
                        follower.result()
                choice = choose_primary(self._progress(set()))
            return choice
        finally:
            for follower in followers:
                follower.cancel()

    async def _follow_log(self, target: str) -> None:
        """Keep a target's state up to date until cancelled."""
        while True:
            _, answer = await self._state_of(target, LOG_TIMEOUT_S)
            self._answers[target] = answer
            if isinstance(answer, TargetState):
                self._states[target] = answer
            await sleep_s(LOG_CHECK_INTERVAL_S if target in self._states else POLL_INTERVAL_S)

    async def _state_of(
        self, target: str, timeout_s: float = STATE_TIMEOUT_S
    ) -> tuple[str, StateAnswer]:
        service = self._request.service
        return target, await self._context.orders.state(service, target, timeout_s)

    async def _wait_caught_up(self, target: str) -> None:
        """Wait until a replica has received all entries in the old primary's log."""
        until_s = now_s() + CATCH_UP_TIMEOUT_S
        old = self._states.get(self._request.old_primary)
        while old is not None and old.received is not None and now_s() < until_s:
            state = self._states.get(target)
            if state is not None and state.received is not None and state.received >= old.received:
                return
            await sleep_s(POLL_INTERVAL_S)
            _, state = await self._state_of(target)
            if isinstance(state, TargetState):
                self._states[target] = state

    async def _order_promotion(self, choice: OrderTarget) -> PromoteAnswer | None:
        """Send an order; return None if it was withheld."""
        lock, target = self._context.promotion_lock, choice.target
        if not lock.is_held:
            self._log("order_withheld", target=target, fence=lock.fencing_token)
            return None
        service = self._request.service
        answer = await self._context.orders.promote(
            service, target, self._context.host, lock.fencing_token
        )
        self._log(
            "promotion_ordered",
            target=target,
            reason=choice.reason,
            fence=lock.fencing_token,
            answer=answer.value,
        )
        return answer

    async def _takes_over(self, target: str, answer: PromoteAnswer) -> bool:
        """Wait until an ordered target is known to be the newest primary.

        :param answer: the platform's answer to the order.
        :returns: false if the target was not seen to be primary in time.
        """
        before = self._states.get(target)
        previous_term = highest_term(self._states)
        was_leading = before is not None and before.is_primary and before.term == previous_term
        until_s = now_s() + PROMOTION_TIMEOUT_S
        while now_s() < until_s:
            _, state = await self._state_of(target)
            if isinstance(state, TargetState) and state.is_primary:
                if state.term > previous_term:
                    self._log_choice(target, "took over after this switch's order")
                    return True
                # The platform accepts an order for the newest primary without effect.
                is_effective = now_s() - self._last_order_s > ORDER_EFFECT_S
                if was_leading and answer is PromoteAnswer.ACCEPTED and is_effective:
                    self._log_choice(target, "the platform knows no later primary")
                    return True
            await sleep_s(POLL_INTERVAL_S)
        return False

    async def _publish(self, primary: str) -> bool:
        """Use and announce the new primary once the store or a majority confirms this switch.

        A promoter that is cut off together with the new primary would let the hosts beside it use
        that one, while another host continues the switch.

        :returns: false if another host has continued the switch.
        """
        record = PrimaryRecord(self._epoch, primary)
        recording = asyncio.ensure_future(self._record_outcome(record))
        acknowledging = asyncio.ensure_future(self._wait_for_acknowledgement())
        try:
            done, _ = await asyncio.wait(
                (recording, acknowledging), return_when=asyncio.FIRST_COMPLETED
            )
            if recording in done and not recording.result():
                return False
            await self._announce(record, "store" if recording in done else "majority")
            return await recording
        finally:
            recording.cancel()
            acknowledging.cancel()

    async def _wait_for_acknowledgement(self) -> None:
        """Wait until a majority of the voters confirms that it knows no later switch.

        The store is given time to answer first.
        """
        await sleep_s(OUTCOME_RECORD_TIMEOUT_S)
        others = self._context.members() - {self._context.host}
        confirming = {self._context.host}
        requests = [
            asyncio.ensure_future(self._drain_host(host, 0.0, confirming)) for host in others
        ]
        try:
            while not self._has_majorities(frozenset(confirming)):
                await sleep_s(DRAIN_CHECK_INTERVAL_S)
        finally:
            for request in requests:
                request.cancel()

    async def _announce(self, record: PrimaryRecord, confirmed_by: str) -> None:
        service = self._request.service
        self._context.table.adopt(service, record, "own switch")
        took_s = round(now_s() - self._started_s, 3)
        self._log("switch_done", primary=record.primary, took_s=took_s, confirmed_by=confirmed_by)
        notice = PrimaryNotice(service, self._epoch, record.primary)
        for host in self._context.members() - {self._context.host}:
            await self._context.link.send(host, notice)

    async def _record_outcome(self, record: PrimaryRecord) -> bool:
        """Write the outcome to the store, and retry while the store is unavailable.

        :returns: false if another host has changed the record.
        """
        key = group_key(self._request.service)
        while True:
            try:
                reply = await self._context.store.transact(
                    [Compare(key, self._revision)], [Put(key, encode_record(record))]
                )
                # The answer to an earlier attempt may have been lost.
                current = None if reply.succeeded else await self._context.store.get(key)
            except StoreError as error:
                self._log("outcome_not_recorded", cause=str(error)[:80])
                await sleep_s(STORE_RETRY_DELAY_S)
                continue
            if reply.succeeded or self._decode_recorded(current) == record:
                self._log("outcome_recorded", primary=record.primary)
                return True
            self._log("outcome_not_recorded", cause="the record has changed")
            return False

    async def _demote_old(self, primary: str) -> None:
        old = self._request.old_primary
        if old and old != primary:
            term = max((state.term for state in self._states.values()), default=0) + 1
            await self._context.orders.demote(self._request.service, old, term, DEMOTE_TIMEOUT_S)

    def _log_choice(self, primary: str, evidence: str) -> None:
        """Log which target becomes primary, and what is known of a target ordered before."""
        last = self._ordered
        self._log_states(
            "primary_chosen",
            primary=primary,
            evidence=evidence,
            ordered=last.target,
            ordered_by=last.host,
            term_before=last.term_before,
            ordered_answered=last.target in self._states,
        )

    def _log_states(self, event: str, **fields: object) -> None:
        """Log a decision with what each target of the service has answered."""
        request = self._request
        asked = {*request.candidates, request.old_primary, self._ordered.target or ""} - {""}
        if request.sync_replicas > 0:
            asked |= set(self._replica_names())
        states = {name: self._describe(name) for name in sorted(asked)}
        self._log(event, **fields, states=states)

    def _describe(self, target: str) -> str:
        answer = self._answers.get(target)
        if isinstance(answer, ReasonRefused):
            return f"refused: {answer.value}"
        state = self._states.get(target)
        if state is None:
            return "no answer"
        role = "primary" if state.is_primary else "replica"
        received = (
            "-" if state.received is None else f"{state.received.term}.{state.received.number}"
        )
        return f"{role} of term {state.term} at {received}"

    def _log(self, event: str, **fields: object) -> None:
        self._context.log.write(event, service=self._request.service, epoch=self._epoch, **fields)
