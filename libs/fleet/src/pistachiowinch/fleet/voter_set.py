"""Which hosts vote on whether primaries are current.

In a small fleet all hosts vote and send each other heartbeats. In a larger one a few of them, the
council, vote and follow the store for all; the others exchange heartbeats with the council only, so
that the cost of a host does not grow with the fleet.

The council changes by one record in the store. Hosts that have not read it yet rely on the previous
voters, at most until their contact with the store is too old to prove anything. A switch therefore
needs a majority of both until that time has passed, and the council changes again only afterwards.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterable

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.hashing import rendezvous_order
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.fleet.following import PrefixFollower
from pistachiowinch.fleet.records import (
    VOTER_SET_KEY,
    VoterSetRecord,
    decode_record,
    encode_record,
)
from pistachiowinch.fleet.registration import MEMBER_REMOVAL_S, FleetMembers
from pistachiowinch.links.store import Compare, PollingStore, Put, StoreError

__all__ = ["ALL_VOTE_MAX_HOSTS", "MAX_VOTERS", "VoterSet", "VoterSetManager", "choose_voters"]

# Heartbeats between all of more hosts than these would cost each one over 70 messages a second.
ALL_VOTE_MAX_HOSTS = 15
# A majority is left when two are lost, which is a whole availability zone of three or more. Each
# more voter costs every host another ten messages a second.
MAX_VOTERS = 5
# After this time no host relies on earlier voters, as no host relies on a removed member.
SETTLED_S = MEMBER_REMOVAL_S
# A host that restarts is back sooner; one that lost the store may still vote meanwhile.
VOTER_ABSENT_S = 3.0
# How often the council is looked at; hosts of a new fleet register within a second.
LOOK_S = 0.5
# Hosts and targets of a new fleet register within a second or two, each with a change that all
# hosts read as long as there is no council.
GATHER_S = 0.4
# Time from its start in which a host cannot know yet how many more there are: hosts of a site start
# within 0.3 s, a slow processor takes two seconds until it registers.
STARTS_S = 3.0
# Hosts that may act, in order; the later ones wait for a look each.
ACTORS = 3


def choose_voters(
    members: Iterable[HostIdentity], present: frozenset[str], current: Iterable[str]
) -> tuple[str, ...]:
    """Choose voters from the present hosts, evenly over availability zones.

    :param members: all hosts that count.
    :param present: names of those that hold their lease.
    :param current: names of the voters until now; present ones stay.
    """
    zones = {member.host: member.availability_zone for member in members if member.host in present}
    chosen = [host for host in current if host in zones][:MAX_VOTERS]
    used = Counter(zones[host] for host in chosen)
    order = [host for host in rendezvous_order("council", zones) if host not in chosen]
    while order and len(chosen) < MAX_VOTERS:
        best = min(order, key=lambda host: used[zones[host]])
        order.remove(best)
        used[zones[best]] += 1
        chosen.append(best)
    return tuple(sorted(chosen))


class VoterSet:
    """Who votes, as this host knows it.

    :param host: this host's name.
    :param hosts: all hosts that count.
    :param log: decisions of this part.
    """

    def __init__(self, host: str, hosts: FleetMembers, log: DecisionLog) -> None:
        """Create a view without a record, in which all hosts vote."""
        self._host = host
        self._hosts = hosts
        self._log = log
        self._revision = 0
        self._since_s = float("-inf")
        self._voters: frozenset[str] = frozenset()
        self.record: VoterSetRecord | None = None

    @property
    def revision(self) -> int:
        """Revision of the record; 0 if there is none."""
        return self._revision

    @property
    def is_settled(self) -> bool:
        """Whether no host relies on the previous voters any more."""
        return now_s() - self._since_s > SETTLED_S

    @property
    def is_missing(self) -> bool:
        """Whether the fleet is too large for all to vote, and has no council yet."""
        return self.record is None and len(self._hosts.names) > ALL_VOTE_MAX_HOSTS

    @property
    def batch_delay_s(self) -> float:
        """Pause after a change in the store, in which those of a new fleet gather."""
        return GATHER_S if self.is_missing else 0.0

    def registration_batch_delay_s(self, age_s: float) -> float:
        """Return that pause for registrations.

        :param age_s: time since the start of this host.
        """
        is_starting = self.record is None and age_s < STARTS_S
        return GATHER_S if is_starting else self.batch_delay_s

    @property
    def voters(self) -> frozenset[str]:
        """Names of the hosts whose majority proves that primaries are current."""
        return self._hosts.names if self.record is None else self._voters

    @property
    def is_voter(self) -> bool:
        """Whether this host votes."""
        return self._host in self.voters

    @property
    def voter_groups(self) -> tuple[frozenset[str], ...]:
        """Groups of hosts that each must have a majority for a switch."""
        if self.record is None or self.is_settled:
            return (self.voters,)
        return (self.voters, frozenset(self.record.previous))

    @property
    def heartbeat_peers(self) -> tuple[HostIdentity, ...]:
        """Hosts that this one exchanges heartbeats with."""
        members = self._hosts.members
        if self.is_missing:
            return ()
        if self.is_voter:
            return members
        return tuple(member for member in members if member.host in self._voters)

    @property
    def reply_only_hosts(self) -> frozenset[str]:
        """Hosts whose heartbeats this one answers, instead of sending its own in time."""
        if self.record is None or not self.is_voter:
            return frozenset()
        return self._hosts.names - self._voters

    @property
    def expects_replies(self) -> bool:
        """Whether the partners answer this host's heartbeats at once."""
        return self.record is not None and not self.is_voter

    def update(self, follower: PrefixFollower) -> None:
        """Take the record that the store holds now."""
        item = follower.items.get(VOTER_SET_KEY)
        if item is None or item.mod_revision == self._revision:
            return
        record = decode_record(item, VoterSetRecord)
        if record is None:
            self._log.write("record_unreadable", key=item.key, revision=item.mod_revision)
            return
        self.record = record
        self._revision = item.mod_revision
        self._voters = frozenset(record.hosts)
        self._since_s = now_s()
        self._log.write(
            "council",
            revision=item.mod_revision,
            hosts=record.hosts,
            previous=len(record.previous),
            votes=self.is_voter,
        )


class VoterSetManager:
    """Forms the council of a fleet that grew, and replaces voters that are gone.

    :param host: this host's name.
    :param council: the council as this host knows it.
    :param hosts: all hosts that count.
    :param store: where the record is.
    :param may_act: whether this host's copy of the records is current.
    :param log: decisions of this part.
    """

    def __init__(
        self,
        host: str,
        council: VoterSet,
        hosts: FleetMembers,
        store: PollingStore,
        may_act: Callable[[], bool],
        log: DecisionLog,
    ) -> None:
        """Create a keeper; :meth:`run` starts it."""
        self._host = host
        self._council = council
        self._hosts = hosts
        self._store = store
        self._may_act = may_act
        self._log = log

    async def run(self) -> None:
        """Look until cancelled."""
        looks = 0
        while True:
            await sleep_s(LOOK_S * random.uniform(0.9, 1.0))
            looks = looks + 1 if self._may_act() and self._must_change() else 0
            if looks and self._is_turn(looks):
                await self._change()

    def _must_change(self) -> bool:
        if self._council.record is None:
            return self._council.is_missing
        if not self._council.is_settled:
            return False
        gone = self._hosts.absent_for(VOTER_ABSENT_S)
        return any(host in gone or host not in self._hosts.names for host in self._council.voters)

    def _is_turn(self, looks: int) -> bool:
        """Tell whether the hosts before this one had their turns."""
        order = rendezvous_order("promotion", self._hosts.names - self._hosts.absent_for(0.0))
        first = order[:ACTORS]
        return self._host in first and looks > 1 + first.index(self._host)

    async def _change(self) -> None:
        present = self._hosts.names - self._hosts.absent_for(0.0)
        current = self._council.voters if self._council.record is not None else frozenset()
        hosts = choose_voters(self._hosts.members, present, sorted(current))
        if frozenset(hosts) == current:
            return
        record = VoterSetRecord(hosts, tuple(sorted(self._council.voters)))
        try:
            reply = await self._store.transact(
                [Compare(VOTER_SET_KEY, self._council.revision)],
                [Put(VOTER_SET_KEY, encode_record(record))],
            )
        except StoreError as error:
            self._log.write("council_unchanged", cause=str(error)[:60])
            return
        self._log.write("council_changed", hosts=hosts, succeeded=reply.succeeded)
