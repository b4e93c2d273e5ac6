"""Database group of one service: one host's view of it and the work that maintains it."""

import asyncio
from collections.abc import Sequence

from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import NO_PRIMARY, Refusal
from pistachiowinch.base.hashing import rendezvous_order
from pistachiowinch.base.identity import NO_INCARNATION
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.groups.announcements import PrimaryStore
from pistachiowinch.groups.confirmation import WriteConfirmer
from pistachiowinch.groups.detection import FailureVotes
from pistachiowinch.groups.gate import TransactionGate
from pistachiowinch.groups.ledger import Ledger
from pistachiowinch.groups.messages import (
    GroupMessenger,
    HoldReply,
    HoldTransactions,
    PrimaryChanged,
)
from pistachiowinch.groups.monitor import RANK_DELAY_S, GroupMonitor
from pistachiowinch.groups.promotion import Promoter
from pistachiowinch.groups.site import SiteView
from pistachiowinch.groups.switch import PlannedSwitch
from pistachiowinch.groups.tracker import GroupTracker
from pistachiowinch.links.store import Store
from pistachiowinch.links.targets import GroupLink, TargetLink
from pistachiowinch.peering.interfaces import MembershipView
from pistachiowinch.peering.messages import AnnouncedPrimary

__all__ = ["ServiceGroup"]

_CLEAN_UP_INTERVAL_S = 600.0
_TABLE_RETRY_INTERVAL_S = 0.5
# Peers answer a hold before the request of the switching host times out.
_DRAIN_TIMEOUT_S = 0.6


class ServiceGroup:
    """Tracker, confirmer, ledger and promoter of one service on one host.

    :param service: name of the database group.
    :param targets: all targets of the group.
    :param group_link: requests statuses from and sends orders to the targets.
    :param target_link: connections for the ledger.
    :param store: the platform's store.
    :param membership: heartbeats of the peers.
    :param messenger: messages to and from the peers.
    :param site: this host and the active roster.
    :param metrics: counts promotions.
    """

    def __init__(
        self,
        service: str,
        targets: Sequence[str],
        group_link: GroupLink,
        target_link: TargetLink,
        store: Store,
        membership: MembershipView,
        messenger: GroupMessenger,
        site: SiteView,
        metrics: Metrics | None = None,
    ) -> None:
        """Build the parts; :meth:`run` starts them."""
        self._service = service
        self._membership = membership
        self._messenger = messenger
        self._site = site
        self._store = PrimaryStore(store, site.site, service)
        self.tracker = GroupTracker(service, targets, group_link)
        self.confirmer = WriteConfirmer(self.tracker)
        self.ledger = Ledger(self.tracker, self.confirmer, target_link)
        self.gate = TransactionGate()
        self._votes = FailureVotes(self.tracker, membership, site)
        self.promoter = Promoter(
            self.tracker, group_link, self._store, site, self._publish, metrics or Metrics()
        )
        self._switch = PlannedSwitch(self.tracker, self.promoter, self.gate, messenger, site)
        self._monitor = GroupMonitor(
            self.tracker, self._votes, self.promoter, site, membership.heartbeats
        )

    # Heartbeats ---------------------------------------------------------------------------------

    @property
    def suspected_targets(self) -> tuple[str, ...]:
        """This service's part of ``LocalState.suspected_targets``."""
        return self._votes.own_suspicions

    @property
    def announced_primary(self) -> AnnouncedPrimary:
        """This service's entry of ``LocalState.primaries``."""
        return AnnouncedPrimary(self.tracker.term, self.tracker.primary or "")

    @property
    def is_outvoted(self) -> bool:
        """Whether the vote contradicts this host's suspicion of the primary.

        The host then refuses requests as not run.
        """
        primary = self.tracker.primary
        return primary is not None and self._votes.is_outvoted(primary)

    # Peers --------------------------------------------------------------------------------------

    def receive_primary(self, message: PrimaryChanged) -> None:
        """Learn of a promotion from the promoting host."""
        self.tracker.learn_primary(message.term, message.primary)
        if message.primary:
            # Writes are routed to an announced primary at once, but reads need its status as well.
            self.tracker.report_lost_connection(message.primary)

    async def hold_transactions(self, message: HoldTransactions) -> HoldReply:
        """Delay new transactions on this host and wait for running ones."""
        if message.term < self.tracker.term and self.tracker.primary is not None:
            return HoldReply(0)
        self.gate.hold(message.term, message.duration_ms / 1000.0)
        return HoldReply(await self.gate.wait_idle(now_s() + _DRAIN_TIMEOUT_S))

    async def _publish(self, term: int, primary: str) -> None:
        hosts = [host for host in self._site.members if host != self._site.host]
        await self._messenger.announce(hosts, PrimaryChanged(self._service, term, primary))

    # Operation ----------------------------------------------------------------------------------

    def set_targets(self, targets: Sequence[str]) -> None:
        """Change the group's targets."""
        self.tracker.set_targets(targets)

    async def switch_primary(self, preferred: Sequence[str]) -> Result[str, Refusal]:
        """Move the primary to a preferred target in a planned switch, without lost writes.

        All hosts may call this for the same reason; the first one in rendezvous order switches and
        the others wait for its result.

        :param preferred: targets that may become primary, best first.
        :returns: the primary after the switch.
        """
        if self._site.incarnation == NO_INCARNATION:
            return Failure(Refusal(NO_PRIMARY, "this host has no incarnation"))
        ends_s = now_s() + RANK_DELAY_S * self._rank()
        while now_s() < ends_s:
            await self.tracker.wait_for_change(ends_s)
            if self.tracker.primary in preferred:
                break
        if self.tracker.primary is not None and self.tracker.primary in preferred:
            return Success(self.tracker.primary)
        return await self._switch.run(preferred)

    def _rank(self) -> int:
        order = rendezvous_order(self._service, [*self._site.members, self._site.host])
        return order.index(self._site.host)

    async def _maintain_ledger(self) -> None:
        while not await self.ledger.ensure_table():
            await sleep_s(_TABLE_RETRY_INTERVAL_S)
        while True:
            await sleep_s(_CLEAN_UP_INTERVAL_S)
            if self._rank() == 0:
                await self.ledger.clean_up()

    async def _read_store(self) -> None:
        stored = await self._store.read()
        if stored is not None:
            self.tracker.learn_primary(stored.term, stored.primary)

    async def run(self) -> None:
        """Probe, detect, promote and reset until cancelled."""
        self._messenger.register(self._service, self)
        subscription = self.tracker.changes.subscribe(self._open_gate)
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._read_store())
                tasks.create_task(self.tracker.run())
                tasks.create_task(self._monitor.run())
                tasks.create_task(self._maintain_ledger())
        finally:
            subscription.dispose()
            self._votes.close()
            self.promoter.close()
            self._messenger.unregister(self._service)

    def _open_gate(self, tracker: GroupTracker) -> None:
        if tracker.primary is not None:
            self.gate.release(tracker.term)
