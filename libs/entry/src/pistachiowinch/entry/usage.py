"""Assemble the parts of one host that count requests and report usage."""

from collections.abc import Callable

from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.hashing import rendezvous_order
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.entry.links import EntryLinks
from pistachiowinch.fleet.following import PrefixFollower
from pistachiowinch.fleet.promotion_lock import PromotionLock, is_ended_run
from pistachiowinch.fleet.records import USAGE_LOCK, PromotionLockRecord, decode_record
from pistachiowinch.fleet.registration import FleetMembers
from pistachiowinch.fleet.usage_collection import UsageCollector, UsageMembers
from pistachiowinch.fleet.usage_counts import UsageCounts
from pistachiowinch.fleet.usage_reports import UsageDuty, UsageReporter
from pistachiowinch.fleet.voter_set import VoterSet
from pistachiowinch.links.peers import PeerLink
from pistachiowinch.sessions.request_counting import NoRequestCounts, RequestCounts

__all__ = ["HostUsage"]


class HostUsage:
    """Usage of one host; does nothing where no usage is reported.

    :param identity: this host.
    :param links: the store and the destination of reports.
    :param peer_link: messages to the peers.
    :param hosts: the members of the fleet.
    :param voter_set: the hosts that may report.
    :param follower: copy of the fleet's records.
    :param is_able: returns whether this host is configured and not stopping.
    :param rank: returns this host's rank among the voters; 0 is the first.
    :param metrics: all metrics of this host.
    :param log: decision log of this part.
    """

    def __init__(
        self,
        identity: HostIdentity,
        links: EntryLinks,
        peer_link: PeerLink,
        hosts: FleetMembers,
        voter_set: VoterSet,
        follower: PrefixFollower,
        is_able: Callable[[], bool],
        rank: Callable[[], int],
        metrics: Metrics,
        log: DecisionLog,
    ) -> None:
        """Create all parts."""
        self._identity = identity
        self._hosts = hosts
        self._voter_set = voter_set
        self._follower = follower
        self._reporter: UsageReporter | None = None
        self._collector: UsageCollector | None = None
        self.counts: RequestCounts = NoRequestCounts()
        if links.usage is None:
            return
        terms = links.usage.terms
        counts = self.counts = UsageCounts(terms.kept_s)
        self._collector = UsageCollector(
            identity, peer_link, counts, terms.window_s, self._members, log
        )
        duty = UsageDuty(
            PromotionLock(
                links.store, identity.host, identity.incarnation, log, follower, USAGE_LOCK
            ),
            # A new fleet first decides who votes; until then each host reads every change.
            lambda: voter_set.record is not None and voter_set.is_voter and is_able(),
            rank,
            lambda: follower.is_broken or self._holder() is not None,
        )
        self._reporter = UsageReporter(
            identity.host,
            terms,
            duty,
            self._collector,
            links.store,
            links.usage.create(log),
            metrics,
            log,
        )

    async def run(self) -> None:
        """Report while this host has the duty, until cancelled."""
        if self._reporter is not None:
            await self._reporter.run()

    async def hand_over(self) -> None:
        """Give this run's counts to the hosts that may report them, before it ends."""
        if self._collector is not None:
            holder = self._holder()
            successors = rendezvous_order("promotion", self._voter_set.voters - {holder})
            await self._collector.hand_over([holder, *successors] if holder else successors)

    def close(self) -> None:
        """Close the connections to the platform."""
        if self._reporter is not None:
            self._reporter.close()

    def _members(self) -> UsageMembers:
        return UsageMembers(self._hosts.names, self._hosts.absent_for(0.0))

    def _holder(self) -> str | None:
        """Return the host that has the duty, unless that is an ended run of this host."""
        item = self._follower.items.get(USAGE_LOCK.lock)
        record = None if item is None else decode_record(item, PromotionLockRecord)
        if record is None or is_ended_run(record, self._identity.host, self._identity.incarnation):
            return None
        return record.holder
