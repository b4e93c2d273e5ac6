"""Switches of a primary: no host may use the old one when the new one takes work."""

import asyncio
import dataclasses

import pytest
from fleet.store_support import put

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.messages import DrainAnswer
from pistachiowinch.fleet.primaries import PrimaryTable
from pistachiowinch.fleet.primary_lease import PRIMARY_LEASE_S
from pistachiowinch.fleet.promotion_lock import PromotionLock
from pistachiowinch.fleet.records import PrimaryRecord, decode_record, encode_record, group_key
from pistachiowinch.fleet.switching import (
    ORDER_EFFECT_S,
    PrimarySwitch,
    PromoteAnswer,
    SwitchContext,
    SwitchRequest,
)
from pistachiowinch.links.peers import PeerUnreachable
from pistachiowinch.links.statements import Position, TargetState
from pistachiowinch.standins.memory_store import MemoryStore

pytestmark = pytest.mark.looptime

PROMOTE_S = 0.3
CRASHED = SwitchRequest("s", "test", False, "a", ("b", "c"))


class Hosts:
    """Other hosts as a promoter meets them.

    :ivar silent: hosts that answer nothing.
    :ivar busy_until_s: loop time until which a host still has work at the old primary.
    """

    def __init__(self, names: str) -> None:
        """Create hosts that answer at once."""
        self.names = names
        self.silent: set[str] = set()
        self.busy_until_s: dict[str, float] = {}
        self.gated: list[str] = []
        self.notices: list[str] = []

    async def request(self, host, message, timeout_s):
        """Answer a gate request."""
        if host in self.silent:
            await asyncio.sleep(timeout_s)
            raise PeerUnreachable(host)
        await asyncio.sleep(0.001)
        is_idle = now_s() >= self.busy_until_s.get(host, 0.0)
        if is_idle:
            self.gated.append(host)
        return DrainAnswer(is_idle)

    async def send(self, host, message):
        """Take a notice."""
        self.notices.append(host)


class Group:
    """Targets and the platform's interface for orders."""

    def __init__(self, hosts: Hosts) -> None:
        """Create a primary that is dark and two replicas."""
        self.hosts = hosts
        self.states = {
            "b": TargetState(False, 1, Position(1, 7)),
            "c": TargetState(False, 1, Position(1, 9)),
        }
        self.not_running: set[str] = set()
        self.orders: list[tuple[str, int, float, int]] = []
        self.demoted: list[str] = []

    async def promote(self, service, target, holder, fencing_token):
        """Take an order."""
        self.orders.append((target, fencing_token, now_s(), len(self.hosts.gated)))
        if target in self.not_running:
            return PromoteAnswer.NOT_RUNNING
        asyncio.get_running_loop().call_later(PROMOTE_S, self._lead, target)
        return PromoteAnswer.ACCEPTED

    def _lead(self, target: str) -> None:
        term = max(state.term for state in self.states.values()) + 1
        self.states[target] = self.states[target]._replace(is_primary=True, term=term)

    async def state(self, service, target, timeout_s):
        """Return a target's state."""
        if target not in self.states:
            await asyncio.sleep(timeout_s)
            return None
        await asyncio.sleep(0.001)
        return self.states[target]

    async def demote(self, service, target, term, timeout_s):
        """Demote a target."""
        self.demoted.append(target)


class World:
    """A promoter ``p`` and its surroundings."""

    def __init__(self, others: str = "qrst") -> None:
        """Create a site of five hosts."""
        self.store = MemoryStore()
        self.hosts = Hosts(others)
        self.group = Group(self.hosts)
        log = DecisionLog("test")
        self.table = PrimaryTable(log)
        self.table.set_registry_primary("s", "a")
        self.drained: list[float] = []
        self.parts = SwitchContext(
            host="p",
            store=self.store,
            promotion_lock=PromotionLock(self.store, "p", 1, log),
            orders=self.group,
            table=self.table,
            link=self.hosts,
            members=lambda: frozenset("p" + others),
            voter_groups=lambda: (frozenset("p" + others),),
            drain=self._drain,
            log=log,
        )

    async def _drain(self, service: str, grace_s: float) -> bool:
        self.drained.append(grace_s)
        return True

    def recorded(self) -> PrimaryRecord:
        """Return the store's record."""
        return decode_record(self.store.apply_get(group_key("s")), PrimaryRecord)


async def test_the_longest_log_is_promoted_after_all_hosts_stopped():
    """ONE: the order may leave only when every host has stopped using the old primary."""
    world = World()
    assert await PrimarySwitch(world.parts, CRASHED).run()
    target, _, at_s, gated = world.group.orders[0]
    assert target == "c"
    assert gated == 4
    assert at_s < 0.3
    assert world.recorded() == PrimaryRecord(1, "c")
    assert world.table.primary("s") == "c"
    assert sorted(world.hosts.notices) == list("qrst")
    assert world.group.demoted == ["a"]


async def test_a_silent_host_is_given_the_time_of_its_proof():
    """ONE and STALE: a host that is cut off uses the old primary until its proof ends."""
    world = World()
    world.hosts.silent = {"q"}
    assert await PrimarySwitch(world.parts, CRASHED).run()
    assert world.group.orders[0][2] >= PRIMARY_LEASE_S


async def test_without_a_majority_nothing_is_promoted():
    """ONE: silent hosts that are a majority may prove the old primary to each other for ever."""
    world = World()
    world.hosts.silent = {"q", "r", "s"}
    assert not await PrimarySwitch(world.parts, CRASHED).run()
    assert not world.group.orders


async def test_a_majority_that_is_lost_again_starts_the_wait_anew():
    """ONE: found by the model; a member that returns may have vouched for the old primary."""
    world = World()
    world.hosts.silent = {"q", "r"}
    members = {"names": frozenset("pqrs")}
    world.parts = dataclasses.replace(
        world.parts,
        members=lambda: members["names"],
        voter_groups=lambda: (members["names"],),
    )
    loop = asyncio.get_running_loop()
    loop.call_later(0.3, members.update, {"names": frozenset("pqs")})
    loop.call_later(0.6, members.update, {"names": frozenset("pqrs")})
    loop.call_later(0.9, members.update, {"names": frozenset("pqs")})
    assert await PrimarySwitch(world.parts, CRASHED).run()
    assert world.group.orders[0][2] >= 0.9 + PRIMARY_LEASE_S


async def test_previous_voters_must_agree_while_hosts_may_rely_on_them():
    """ONE: found by the model; a host that has not read the change hears earlier voters only."""
    world = World()
    world.hosts.silent = {"s", "t"}
    electorates = [frozenset("pqr"), frozenset("qst")]
    world.parts = dataclasses.replace(world.parts, voter_groups=lambda: tuple(electorates))
    asyncio.get_running_loop().call_later(3.0, electorates.pop)
    assert await PrimarySwitch(world.parts, CRASHED).run()
    assert world.group.orders[0][2] >= 3.0 + PRIMARY_LEASE_S


async def test_work_under_way_at_another_host_is_waited_for():
    """ONE: a host with an exchange at the old primary has not stopped using it."""
    world = World()
    world.hosts.busy_until_s["q"] = 0.5
    assert await PrimarySwitch(world.parts, CRASHED).run()
    assert world.group.orders[0][2] >= 0.5


async def test_the_next_candidate_is_tried_if_the_first_does_not_run():
    """A 409 of the platform must not end the switch."""
    world = World()
    world.group.not_running = {"c"}
    assert await PrimarySwitch(world.parts, CRASHED).run()
    assert [order[0] for order in world.group.orders] == ["c", "b"]


async def test_a_planned_switch_waits_for_the_replica_to_catch_up():
    """LOST: what the old primary acknowledged must be in the new one's log."""
    world = World()
    world.group.states["a"] = TargetState(True, 1, Position(1, 12))
    request = SwitchRequest("s", "leaving", True, "a", ("b", "c"))
    loop = asyncio.get_running_loop()
    caught_up = TargetState(False, 1, Position(1, 12))
    loop.call_later(0.4, world.group.states.update, {"c": caught_up})
    assert await PrimarySwitch(world.parts, request).run()
    target, _, at_s, _ = world.group.orders[0]
    assert (target, at_s >= 0.4) == ("c", True)
    assert world.drained[0] > 0.0


async def test_without_the_store_nothing_begins():
    """ONE: a switch that is not recorded could not be seen by hosts that rely on the store."""
    world = World()
    world.store.faults.is_down = True
    assert not await PrimarySwitch(world.parts, CRASHED).run()
    assert not world.hosts.gated


async def test_a_change_of_the_record_by_another_host_stops_the_switch():
    """ONE: two promoters must not both go on from the same record."""
    world = World()
    assert await world.parts.promotion_lock.acquire()
    original = world.store.get

    async def get_then_change(key):
        found = await original(key)
        if key == group_key("s"):
            put(world.store, key, encode_record(PrimaryRecord(3, "b")))
        return found

    world.store.get = get_then_change
    assert not await PrimarySwitch(world.parts, CRASHED).run()
    assert not world.group.orders


async def test_an_unfinished_switch_is_adopted_only_after_earlier_orders_took_effect():
    """ONE: the old primary still leads until an order of the dead promoter takes effect."""
    world = World()
    world.table.adopt("s", PrimaryRecord(1, ""), "store")
    put(world.store, group_key("s"), encode_record(PrimaryRecord(1, "")))
    world.group.states["a"] = TargetState(True, 1, Position(1, 12))
    asyncio.get_running_loop().call_later(ORDER_EFFECT_S - 0.3, world.group._lead, "c")
    request = SwitchRequest("s", "unfinished", False, "", ("a", "b", "c"))
    assert await PrimarySwitch(world.parts, request).run()
    assert world.recorded() == PrimaryRecord(2, "c")
    assert not world.group.orders


async def test_a_lost_answer_to_the_outcome_changes_nothing():
    """platform_lost: the outcome may be recorded without an answer, or not at all."""
    world = World()

    promote = world.group.promote

    async def promote_then_lose(*order):
        world.store.faults.lost_replies = 1
        return await promote(*order)

    world.group.promote = promote_then_lose
    assert await PrimarySwitch(world.parts, CRASHED).run()
    assert world.recorded() == PrimaryRecord(1, "c")
