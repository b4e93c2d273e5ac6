"""Fakes around a switch: the other hosts, the targets with the platform, and the store."""

import asyncio

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.messages import DrainAnswer
from pistachiowinch.fleet.primaries import PrimaryTable
from pistachiowinch.fleet.promotion_lock import PromotionLock
from pistachiowinch.fleet.records import PrimaryRecord, decode_record, group_key
from pistachiowinch.fleet.switching import PromoteAnswer, SwitchContext
from pistachiowinch.links.peers import PeerUnreachable
from pistachiowinch.links.statements import Position, TargetState
from pistachiowinch.standins.memory_store import MemoryStore

__all__ = ["FakeGroup", "OtherHosts", "World"]

PROMOTE_S = 0.3
DRAIN_S = 0.001


class OtherHosts:
    """Fake of the peer link to the other hosts.

    :ivar silent: hosts that do not answer.
    :ivar busy_until_s: loop time until which a host has work in progress at the old primary.
    :ivar drained: hosts that have answered that they are idle.
    """

    def __init__(self, names: str) -> None:
        """Create hosts that answer at once."""
        self.names = names
        self.silent: set[str] = set()
        self.busy_until_s: dict[str, float] = {}
        self.drained: list[str] = []
        self.notices: list[str] = []

    async def request(self, host, message, timeout_s):
        """Answer a drain request."""
        if host in self.silent:
            await asyncio.sleep(timeout_s)
            raise PeerUnreachable(host)
        await asyncio.sleep(0.001)
        is_idle = now_s() >= self.busy_until_s.get(host, 0.0)
        if is_idle:
            self.drained.append(host)
        return DrainAnswer(is_idle, True)

    async def send(self, host, message):
        """Record a notice of the new primary."""
        self.notices.append(host)


class FakeGroup:
    """Fake of the targets and of the platform's interface for orders.

    :ivar unreachable: targets that run and do not answer.
    :ivar newest_primary: target whose promotion took effect last.
    :ivar newest_term: term of that target.
    """

    def __init__(self, hosts: OtherHosts) -> None:
        """Create a primary that does not answer and two replicas."""
        self.hosts = hosts
        self.unreachable: set[str] = set()
        self.newest_primary = "a"
        self.newest_term = 1
        self.states = {
            "b": TargetState(False, 1, Position(1, 7)),
            "c": TargetState(False, 1, Position(1, 9)),
        }
        self.not_running: set[str] = set()
        self.promotions: list[tuple[str, int, float, int]] = []
        self.demoted: list[str] = []

    async def promote(self, service, target, holder, fencing_token):
        """Accept an order unless the target is not running.

        An order for the newest primary changes nothing.
        """
        self.promotions.append((target, fencing_token, now_s(), len(self.hosts.drained)))
        if target in self.not_running:
            return PromoteAnswer.NOT_RUNNING
        if target != self.newest_primary:
            asyncio.get_running_loop().call_later(PROMOTE_S, self.become_primary, target)
        return PromoteAnswer.ACCEPTED

    def become_primary(self, target: str) -> None:
        """Let a promotion take effect; other targets do not notice it."""
        if target == self.newest_primary:
            return
        self.newest_primary = target
        self.newest_term += 1
        self.states[target] = self.states[target]._replace(is_primary=True, term=self.newest_term)

    async def state(self, service, target, timeout_s):
        """Return a target's state."""
        if target not in self.states or target in self.unreachable:
            await asyncio.sleep(timeout_s)
            return None
        await asyncio.sleep(0.001)
        return self.states[target]

    async def demote(self, service, target, term, timeout_s):
        """Record the demotion of a target."""
        self.demoted.append(target)


class World:
    """A promoter ``p`` with fakes of its dependencies."""

    def __init__(self, others: str = "qrst") -> None:
        """Create a site of five hosts."""
        self.store = MemoryStore()
        self.hosts = OtherHosts(others)
        self.group = FakeGroup(self.hosts)
        log = DecisionLog("test")
        self.table = PrimaryTable(log)
        self.table.set_registry_primary("s", "a")
        self.drained: list[float] = []
        self.own_work_until_s = 0.0
        self.revision_lead = 0
        self.refreshed_s: list[float] = []
        self.addresses = {name: f"at-{name}" for name in "abc"}
        self.context = SwitchContext(
            host="p",
            store=self.store,
            promotion_lock=PromotionLock(self.store, "p", 1, log),
            orders=self.group,
            table=self.table,
            link=self.hosts,
            members=lambda: frozenset("p" + others),
            members_revision=lambda: self.store.revision + self.revision_lead,
            refresh_members=self._refresh_members,
            voter_groups=lambda: (frozenset("p" + others),),
            drain=self._drain,
            log=log,
            addresses=lambda service: self.addresses,
        )

    async def _drain(self, service: str, grace_s: float) -> bool:
        self.drained.append(grace_s)
        await asyncio.sleep(DRAIN_S)
        return now_s() >= self.own_work_until_s

    def _refresh_members(self) -> None:
        self.refreshed_s.append(now_s())

    def recorded(self) -> PrimaryRecord:
        """Return the store's record."""
        return decode_record(self.store.apply_get(group_key("s")), PrimaryRecord)
