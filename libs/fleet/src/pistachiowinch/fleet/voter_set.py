"""Set of the voters, the hosts whose majority extends the leases on primaries.

In a small fleet all hosts vote and exchange heartbeats with each other. In a large fleet a few of
them vote and follow the store for all. The others exchange heartbeats with these voters only, so
that the cost of a host does not grow with the fleet.

A change of the voter set is one record in the store. Hosts that have not read it yet rely on the
previous voters, at most until their last contact with the store is too old for a lease. Until then
a switch needs a majority of both sets, and the set does not change again. A host that joins a small
fleet therefore votes from the next change on, and one that stops keeps its vote for its return.
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

# In a larger fleet, heartbeats between all hosts would cost each over 70 messages a second.
ALL_VOTE_MAX_HOSTS = 15
# A majority survives the loss of two voters, such as a whole availability zone out of three or
# more. Each additional voter costs every host ten messages a second.
MAX_VOTERS = 5
# After this time no host relies on the previous voters, just as none relies on a removed member.
VOTER_TRANSITION_S = MEMBER_REMOVAL_S
# A restarting host returns sooner, and one that lost the store can still vote in this time.
VOTER_ABSENCE_LIMIT_S = 3.0
# Hosts of a new fleet register within a second.
CHECK_INTERVAL_S = 0.5
# Hosts and targets of a new fleet register within one or two seconds. Until there is a voter set,
# every host reads each registration, so the delay batches them.
BATCH_DELAY_S = 0.4
# Time after its start in which a host does not know the fleet's size: the hosts of a site start
# within 0.3 s, and one with a slow processor takes 2 s to register.
STARTUP_S = 3.0
# Hosts of a small fleet that start or are added together register within this time.
MEMBERS_STABLE_S = 1.0
# Hosts that may change the voter set; each waits one check longer than the one before it.
MAX_MANAGING_HOSTS = 3


def choose_voters(
    members: Iterable[HostIdentity], present: frozenset[str], current: Iterable[str]
) -> tuple[str, ...]:
    """Choose voters from the present hosts, evenly over the availability zones.

    :param members: all members.
    :param present: names of the members that hold their lease.
    :param current: names of the current voters; those that are present remain voters.
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
    """The voters as this host knows them.

    :param host: this host's name.
    :param hosts: the members.
    :param log: receives this part's decisions.
    :ivar record: newest known record; None in a new fleet, where only the store extends leases.
    :ivar is_lost: whether a restored store lacks the newest known record.
    """

    def __init__(self, host: str, hosts: FleetMembers, log: DecisionLog) -> None:
        """Create a set without a record."""
        self._host = host
        self._hosts = hosts
        self._log = log
        self._revision = 0
        self._updated_s = float("-inf")
        self._voters: frozenset[str] = frozenset()
        self.record: VoterSetRecord | None = None
        self.is_lost = False

    @property
    def revision(self) -> int:
        """Revision of the record in the store; 0 if there is none."""
        return self._revision

    @property
    def is_settled(self) -> bool:
        """Whether no host can still rely on the previous voters."""
        return now_s() - self._updated_s > VOTER_TRANSITION_S

    @property
    def is_partial(self) -> bool:
        """Whether only some of the hosts vote, as in a large fleet."""
        return self.record is not None and not self.record.includes_all

    @property
    def is_missing(self) -> bool:
        """Whether the fleet is too large for all members to vote, but no set is recorded yet."""
        return self.record is None and self.is_too_large

    @property
    def is_too_large(self) -> bool:
        """Whether the fleet is too large for all members to vote."""
        return len(self._hosts.names) > ALL_VOTE_MAX_HOSTS

    @property
    def batch_delay_s(self) -> float:
        """Delay before the next poll after a change, which batches the changes of a new fleet."""
        return BATCH_DELAY_S if self.is_missing else 0.0

    def registration_batch_delay_s(self, age_s: float) -> float:
        """Return that delay for registrations of hosts.

        :param age_s: time since the start of this host.
        """
        is_starting = self.record is None and age_s < STARTUP_S
        return BATCH_DELAY_S if is_starting else self.batch_delay_s

    @property
    def voters(self) -> frozenset[str]:
        """Names of the hosts that decide for the fleet: all members until some are recorded."""
        return self._hosts.names if self.record is None else self._voters

    @property
    def recorded_voters(self) -> frozenset[str]:
        """Names of the hosts whose majority extends the leases on primaries."""
        return self._voters

    @property
    def is_voter(self) -> bool:
        """Whether this host votes."""
        return self._host in self.voters

    @property
    def voter_groups(self) -> tuple[frozenset[str], ...]:
        """Groups of voters; a switch needs a majority of each."""
        if self.record is None or self.is_settled:
            return (self.voters,)
        return (self.voters, frozenset(self.record.previous))

    @property
    def heartbeat_peers(self) -> tuple[HostIdentity, ...]:
        """Hosts with which this host exchanges heartbeats."""
        members = self._hosts.members
        if self.is_missing:
            return ()
        if self.is_voter or not (self.is_partial or self.is_too_large):
            return members
        return tuple(member for member in members if member.host in self._voters)

    @property
    def reply_only_hosts(self) -> frozenset[str]:
        """Hosts to which this host sends heartbeats only in reply to theirs."""
        if not self.is_partial or not self.is_voter:
            return frozenset()
        return self._hosts.names - self._voters

    @property
    def readers_per_voter(self) -> float:
        """Mean number of hosts that read from one voter; 0 if all hosts vote."""
        if not self.is_partial:
            return 0.0
        return len(self._hosts.names - self._voters) / max(len(self._voters), 1)

    @property
    def expects_replies(self) -> bool:
        """Whether the heartbeat peers reply to this host's heartbeats at once."""
        return self.is_partial and not self.is_voter

    def update(self, follower: PrefixFollower) -> None:
        """Adopt the record in the follower's copy of the store if it is a newer one.

        A restored store may hold an older record or none; the known one then stays in force.
        """
        item = follower.items.get(VOTER_SET_KEY)
        revision = 0 if item is None else item.mod_revision
        if revision == self._revision:
            return
        self._revision = revision
        record = None if item is None else decode_record(item, VoterSetRecord)
        if item is not None and record is None:
            self._log.write("record_unreadable", key=item.key, revision=item.mod_revision)
        known_number = -1 if self.record is None else self.record.number
        stored_number = -1 if record is None else record.number
        self.is_lost = stored_number < known_number
        if record is None or record == self.record or self.is_lost:
            return
        self.record = record
        self._voters = frozenset(record.hosts)
        self._updated_s = now_s()
        self._log.write(
            "council",
            revision=item.mod_revision,
            hosts=record.hosts,
            previous=len(record.previous),
            votes=self.is_voter,
        )


class VoterSetManager:
    """Creates the voter set, adds hosts of a small fleet and replaces absent voters of a large one.

    :param host: this host's name.
    :param voter_set: the voters as this host knows them.
    :param hosts: the members.
    :param store: holds the record.
    :param may_act: returns whether this host's copy of the records is current.
    :param log: receives this part's decisions.
    :param heard: returns the hosts heard within the given seconds, if this host votes and therefore
        hears all; None if only leases tell which hosts are present.
    """

    def __init__(
        self,
        host: str,
        voter_set: VoterSet,
        hosts: FleetMembers,
        store: PollingStore,
        may_act: Callable[[], bool],
        log: DecisionLog,
        heard: Callable[[float], frozenset[str]] | None = None,
    ) -> None:
        """Create a manager; :meth:`run` starts it."""
        self._heard = heard
        self._host = host
        self._voter_set = voter_set
        self._hosts = hosts
        self._store = store
        self._may_act = may_act
        self._log = log

    async def run(self) -> None:
        """Check the voter set at intervals until cancelled."""
        checks = 0
        while True:
            await sleep_s(CHECK_INTERVAL_S * random.uniform(0.9, 1.0))
            checks = checks + 1 if self._may_act() and self._needs_change() else 0
            if checks and self._is_turn(checks):
                await self._change()

    def _needs_change(self) -> bool:
        are_members_stable = self._hosts.unchanged_for_s > MEMBERS_STABLE_S
        if self._voter_set.record is None:
            return self._voter_set.is_missing or are_members_stable
        if self._voter_set.is_lost:
            return True
        if not self._voter_set.is_settled:
            return False
        if not self._voter_set.is_partial:
            differs = self._voter_set.voters != self._hosts.names_with_seat
            return self._voter_set.is_too_large or (differs and are_members_stable)
        absent = self._hosts.absent_for(VOTER_ABSENCE_LIMIT_S)
        return any(
            host in absent or host not in self._hosts.names for host in self._voter_set.voters
        )

    def _is_turn(self, checks: int) -> bool:
        """Return whether the managing hosts before this one have had time to act."""
        order = rendezvous_order("promotion", self._present_hosts())
        if self._voter_set.record is not None:
            # Voters hear every host, so they do not choose one that died within its lease.
            order = sorted(order, key=lambda host: host not in self._voter_set.voters)
        managing_hosts = order[:MAX_MANAGING_HOSTS]
        return self._host in managing_hosts and checks > 1 + managing_hosts.index(self._host)

    def _present_hosts(self) -> frozenset[str]:
        present = self._hosts.names - self._hosts.absent_for(0.0)
        if self._heard is None or self._voter_set.record is None or not self._voter_set.is_voter:
            return present
        return present & (self._heard(VOTER_ABSENCE_LIMIT_S) | {self._host})

    async def _change(self) -> None:
        known = self._voter_set.record
        if known is not None and self._voter_set.is_lost:
            await self._write(known)
            return
        present = self._present_hosts()
        current = self._voter_set.recorded_voters
        includes_all = not (self._voter_set.is_partial or self._voter_set.is_too_large)
        if includes_all:
            hosts = tuple(sorted(self._hosts.names_with_seat))
        else:
            hosts = choose_voters(self._hosts.members, present, sorted(current))
        if known is not None and (frozenset(hosts), includes_all) == (current, known.includes_all):
            return
        number = 0 if known is None else known.number + 1
        previous = tuple(sorted(self._voter_set.voters))
        await self._write(VoterSetRecord(hosts, previous, number, includes_all))

    async def _write(self, record: VoterSetRecord) -> None:
        try:
            reply = await self._store.transact(
                [Compare(VOTER_SET_KEY, self._voter_set.revision)],
                [Put(VOTER_SET_KEY, encode_record(record))],
            )
        except StoreError as error:
            self._log.write("council_unchanged", cause=str(error)[:60])
            return
        self._log.write(
            "council_changed",
            hosts=record.hosts,
            number=record.number,
            succeeded=reply.succeeded,
        )
