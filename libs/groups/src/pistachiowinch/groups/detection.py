"""Detection of failed targets by a majority vote of the hosts."""

from typing import NamedTuple

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.hashing import rendezvous_order
from pistachiowinch.base.signals import Subscription
from pistachiowinch.groups.site import SiteView
from pistachiowinch.groups.tracker import GroupTracker
from pistachiowinch.peering.interfaces import MembershipView
from pistachiowinch.peering.messages import ReceivedHeartbeat

__all__ = ["CONTACT_TIMEOUT_S", "FailureVotes", "Vote", "suspicion_name"]

# Five heartbeat intervals. A host whose last heartbeat is older does not vote.
CONTACT_TIMEOUT_S = 1.0


class Vote(NamedTuple):
    """Votes of the hosts on one target.

    :param voters: roster hosts in contact with a majority of the roster, in rendezvous order.
    :param suspecting: those of them that suspect the target.
    :param is_own_voter: whether this host is among the voters.
    :param has_quorum: whether the voters are a majority of the roster.
    """

    voters: tuple[str, ...]
    suspecting: frozenset[str]
    is_own_voter: bool
    has_quorum: bool

    @property
    def is_failed(self) -> bool:
        """Whether there is a quorum and a majority of the voters suspects the target."""
        return self.has_quorum and 2 * len(self.suspecting) > len(self.voters)


def suspicion_name(service: str, target: str) -> str:
    """Return the name by which heartbeats refer to a target."""
    return f"{service}/{target}"


class FailureVotes:
    """Collects the suspicions that peers announce for one service.

    :param tracker: this host's own probes.
    :param membership: heartbeats of the peers.
    :param site: this host and the roster.
    """

    def __init__(self, tracker: GroupTracker, membership: MembershipView, site: SiteView) -> None:
        """Subscribe to the heartbeats."""
        self._tracker = tracker
        self._membership = membership
        self._site = site
        self._prefix = suspicion_name(tracker.service, "")
        self._suspected_s: dict[str, float] = {}
        self._subscription: Subscription = membership.heartbeats.subscribe(self._receive)

    def close(self) -> None:
        """Unsubscribe from the heartbeats."""
        self._subscription.dispose()

    def _receive(self, received: ReceivedHeartbeat) -> None:
        announced = received.heartbeat.primaries.get(self._tracker.service)
        if announced is not None:
            self._tracker.learn_primary(announced.term, announced.primary)
        for name in received.heartbeat.suspected_targets:
            if name.startswith(self._prefix):
                self._suspected_s[name.removeprefix(self._prefix)] = now_s()

    def is_suspected_by_any(self, target: str) -> bool:
        """Whether this host or a recent heartbeat suspects a target; cheaper than :meth:`vote`."""
        suspected_s = self._suspected_s.get(target, float("-inf"))
        return self._tracker.is_suspected(target) or now_s() - suspected_s <= CONTACT_TIMEOUT_S

    @property
    def own_suspicions(self) -> tuple[str, ...]:
        """Names for ``LocalState.suspected_targets``."""
        service = self._tracker.service
        return tuple(suspicion_name(service, target) for target in self._tracker.suspected)

    def _fresh_heartbeat(self, host: str) -> ReceivedHeartbeat | None:
        received = self._membership.last_heartbeat(host)
        if received is None or now_s() - received.received_s > CONTACT_TIMEOUT_S:
            return None
        return received

    def vote(self, target: str) -> Vote:
        """Count the votes on a target.

        Only hosts in contact with a majority of the roster vote, so that a host with a broken
        network neither starts nor prevents a promotion.

        :param target: its name.
        """
        members = set(self._site.members)
        needed = len(members) // 2 + 1
        own = self._site.host
        name = suspicion_name(self._tracker.service, target)
        voters: list[str] = []
        suspecting: set[str] = set()
        own_contacts = members & (self._membership.contacts(CONTACT_TIMEOUT_S) | {own})
        if own in members and len(own_contacts) >= needed:
            voters.append(own)
            if self._tracker.is_suspected(target):
                suspecting.add(own)
        for host in sorted(members - {own}):
            received = self._fresh_heartbeat(host)
            if received is None:
                continue
            if len(members & (set(received.heartbeat.heard) | {host})) < needed:
                continue
            voters.append(host)
            if name in received.heartbeat.suspected_targets:
                suspecting.add(host)
        order = rendezvous_order(self._tracker.service, voters)
        return Vote(tuple(order), frozenset(suspecting), own in voters, len(voters) >= needed)

    def is_outvoted(self, target: str) -> bool:
        """Whether this host suspects a target that the vote does not consider failed.

        :param target: its name.
        """
        if not self._tracker.is_suspected(target):
            return False
        vote = self.vote(target)
        return vote.has_quorum and not vote.is_failed
