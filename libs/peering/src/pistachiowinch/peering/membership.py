"""Heartbeats between the hosts of a site and what follows from them.

One task for each peer sends heartbeats. Evidence of a peer is dated with the time at which this
host sent the heartbeat that the peer echoes, so that a delayed heartbeat never counts as fresh.
"""

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from reactivex import Observable
from reactivex.subject import Subject

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.identity import NO_INCARNATION, HostIdentity
from pistachiowinch.base.logs import part_logger
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.links.hosts import HostList
from pistachiowinch.links.peers import PeerLink
from pistachiowinch.peering.messages import (
    Heartbeat,
    LocalState,
    ReceivedHeartbeat,
    ShortHeartbeat,
)
from pistachiowinch.peering.peer_record import PeerRecord

__all__ = [
    "HEARTBEAT_INTERVAL_S",
    "MAX_PEERS",
    "SUSPECT_AFTER_S",
    "AddressedPeerLink",
    "Membership",
]

HEARTBEAT_INTERVAL_S = 0.2
# A host that is answered at once has evidence that is young enough with half of the heartbeats.
ASKING_INTERVAL_S = 0.4
SUSPECT_AFTER_S = 1.0
# Two intervals, so that one lost heartbeat does not remove a host from the list of heard ones.
HEARD_WITHIN_S = 0.4
# Largest site; bounds the control cost of a host.
MAX_PEERS = 15
HOST_LIST_INTERVAL_S = 2.0
HOST_LIST_TIMEOUT_S = 2.0
# A connection without a fresh echo is replaced after 1 s, then 2 s, then each 4 s.
RENEW_AFTER_S = 1.0
RENEW_MAX_S = 4.0

# Runs without incarnation are told apart only by where their sequence numbers start.
ANONYMOUS_SEQUENCE_BITS = 31

_log = part_logger("membership")


def _first_sequence(incarnation: int) -> int:
    if incarnation != NO_INCARNATION:
        return 0
    return random.SystemRandom().getrandbits(ANONYMOUS_SEQUENCE_BITS)


class _Renewal:
    """Tells when the connection to a peer has had no fresh echo for so long that it is replaced.

    :param at_s: loop time from which silence counts.
    """

    def __init__(self, at_s: float) -> None:
        self._renew_s = RENEW_AFTER_S
        self._renewed_s = at_s

    def is_due(self, record: PeerRecord) -> bool:
        """Note a heartbeat that was sent; tell whether to replace the connection now."""
        fresh_s = max(self._renewed_s, record.evidence_s or record.known_since_s)
        if now_s() - fresh_s < RENEW_AFTER_S and fresh_s != self._renewed_s:
            self._renew_s = RENEW_AFTER_S
        elif now_s() - fresh_s >= self._renew_s:
            self._renewed_s = now_s()
            self._renew_s = min(2.0 * self._renew_s, RENEW_MAX_S)
            return True
        return False


class AddressedPeerLink(PeerLink, Protocol):
    """A peer link that needs the peers' addresses."""

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Replace the peers and their addresses."""

    def reconnect(self, host: str) -> None:
        """Replace the connection to a peer that may have become permanently silent."""


class Membership:
    """This host's view of its site; satisfies ``interfaces.MembershipView``.

    :param identity: this host.
    :param link: messages to the peers.
    :param local_state: returns what this host's heartbeats state now.
    :param host_list: proposes addresses of hosts outside the roster; None for none.
    :param metrics: counts dropped heartbeats as peer messages of direction ``dropped``.
    :param reports_hosts: whether heartbeats state which hosts this one hears.
    """

    def __init__(
        self,
        identity: HostIdentity,
        link: AddressedPeerLink,
        local_state: Callable[[], LocalState],
        host_list: HostList | None = None,
        metrics: Metrics | None = None,
        reports_hosts: bool = True,
    ) -> None:
        """Create a view without members; :meth:`run` starts the heartbeats."""
        self._states_hosts = reports_hosts
        self._others: dict[str, str] = {}
        self._interval_s = HEARTBEAT_INTERVAL_S
        self._answered: frozenset[str] = frozenset()
        self._renewals: dict[str, _Renewal] = {}
        self._identity = identity
        self._link = link
        self._local_state = local_state
        self._host_list = host_list
        self._metrics = metrics or Metrics()
        self._members: dict[str, HostIdentity] = {}
        self._proposed: dict[str, str] = {}
        self._leaving: frozenset[str] = frozenset()
        self._addresses: dict[str, str] = {}
        self._reachable: dict[str, str] = {}
        self._records: dict[str, PeerRecord] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._replies: set[asyncio.Task] = set()
        self._is_running = False
        # One counter for all peers: it keeps growing when a peer is forgotten and added again.
        self._sequence = _first_sequence(identity.incarnation)
        self._heartbeats: Subject[ReceivedHeartbeat] = Subject()
        link.on_message(Heartbeat, self._receive)
        link.on_message(ShortHeartbeat, self._receive_short)

    @property
    def heartbeats(self) -> Observable[ReceivedHeartbeat]:
        """Every accepted heartbeat, as it arrives."""
        return self._heartbeats

    @property
    def identity(self) -> HostIdentity:
        """This host."""
        return self._identity

    @property
    def peers(self) -> tuple[str, ...]:
        """Hosts that get heartbeats: members first, then proposed ones."""
        return tuple(self._addresses)

    @property
    def leaving_hosts(self) -> frozenset[str]:
        """Hosts that the platform's list marks as leaving."""
        return self._leaving

    @property
    def suspected_hosts(self) -> frozenset[str]:
        """Members that this host has not heard for the suspicion time."""
        oldest_s = now_s() - SUSPECT_AFTER_S
        return frozenset(
            host
            for host in self._members
            if host in self._records and self._records[host].heard_s < oldest_s
        )

    def last_heartbeat(self, host: str) -> ReceivedHeartbeat | None:
        """Return the newest accepted heartbeat of a host."""
        record = self._records.get(host)
        return None if record is None else record.last

    def contacts(self, within_s: float) -> frozenset[str]:
        """Hosts whose evidence is younger than ``within_s`` seconds; includes this host."""
        oldest_s = now_s() - within_s
        fresh = {
            host
            for host, record in self._records.items()
            if record.evidence_s is not None and record.evidence_s > oldest_s
        }
        return frozenset(fresh | {self._identity.host})

    def set_members(
        self,
        members: Iterable[HostIdentity],
        message_only_hosts: Iterable[HostIdentity] = (),
        reply_only_hosts: frozenset[str] = frozenset(),
        expects_replies: bool = False,
    ) -> None:
        """Take the roster's members and their addresses.

        :param members: all members; this host may or may not be one of them.
        :param message_only_hosts: hosts that get messages, but no heartbeats.
        :param reply_only_hosts: members that send heartbeats and get one back for each.
        :param expects_replies: whether the members answer this host's heartbeats in that way.
        """
        self._interval_s = ASKING_INTERVAL_S if expects_replies else HEARTBEAT_INTERVAL_S
        self._answered = reply_only_hosts
        self._members = {member.host: member for member in members}
        self._members.pop(self._identity.host, None)
        self._others = {other.host: other.peer_url for other in message_only_hosts}
        self._refresh_peers()

    def set_identity(self, identity: HostIdentity) -> None:
        """Take an incarnation that became known after the start.

        :param identity: this host; its name must be unchanged.
        :raises ValueError: if the name differs.
        """
        if identity.host != self._identity.host:
            raise ValueError(f"this host is {self._identity.host}, not {identity.host}")
        if identity.incarnation != self._identity.incarnation:
            # Echoes name the incarnation, so those of the earlier one no longer count.
            for record in self._records.values():
                record.start_run()
        self._identity = identity

    async def run(self) -> None:
        """Send heartbeats and read the host list until cancelled."""
        self._is_running = True
        self._refresh_peers()
        try:
            await self._follow_host_list()
        finally:
            self._is_running = False
            tasks = tuple(self._tasks.values())
            self._tasks.clear()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _follow_host_list(self) -> None:
        while True:
            if self._host_list is not None:
                await self._read_host_list(self._host_list)
            await sleep_s(HOST_LIST_INTERVAL_S)

    async def _read_host_list(self, host_list: HostList) -> None:
        try:
            async with asyncio.timeout(HOST_LIST_TIMEOUT_S):
                listed = await host_list.hosts()
        except Exception as error:
            # The list only proposes addresses; without it the known ones stay in use.
            self._metrics.peer_messages.labels("failed", "host_list").inc()
            _log.warning("The host list cannot be read: {!r}.", error)
            return
        self._leaving = frozenset(entry.host for entry in listed if entry.is_leaving)
        self._proposed = {entry.host: entry.peer_url for entry in listed if not entry.is_leaving}
        self._proposed.pop(self._identity.host, None)
        self._refresh_peers()

    def _refresh_peers(self) -> None:
        addresses = {member.host: member.peer_url for member in self._members.values()}
        for host, address in sorted(self._proposed.items()):
            if len(addresses) >= MAX_PEERS:
                break
            # The list lags, so a member's address is always taken from the roster.
            addresses.setdefault(host, address)
        self._addresses = addresses
        reachable = self._others | addresses
        if reachable != self._reachable:
            self._reachable = reachable
            self._link.set_addresses(reachable)
        for host in tuple(self._records):
            if host not in addresses:
                self._forget(host)
        for host in addresses:
            self._start_peer(host)

    def _forget(self, host: str) -> None:
        del self._records[host]
        self._renewals.pop(host, None)
        task = self._tasks.pop(host, None)
        if task is not None:
            task.cancel()

    def _start_peer(self, host: str) -> None:
        if host not in self._records:
            self._records[host] = PeerRecord(now_s())
            self._renewals[host] = _Renewal(now_s())
        if host in self._answered:
            task = self._tasks.pop(host, None)
            if task is not None:
                task.cancel()
        elif self._is_running and host not in self._tasks:
            task = asyncio.get_running_loop().create_task(self._exchange(host))
            self._tasks[host] = task

    async def _exchange(self, host: str) -> None:
        record = self._records[host]
        next_s = now_s()
        while True:
            await self._beat(host, record)
            # After a pause the missed heartbeats are not made up for.
            next_s = max(next_s + self._interval_s, now_s())
            await sleep_s(next_s - now_s())

    def _reply(self, host: str) -> None:
        """Answer a heartbeat of a host that waits for the answer."""
        if host in self._answered and self._is_running:
            task = asyncio.get_running_loop().create_task(self._beat(host, self._records[host]))
            self._replies.add(task)
            task.add_done_callback(self._replies.discard)

    async def _beat(self, host: str, record: PeerRecord) -> None:
        if self._records.get(host) is not record:
            # The peer was forgotten after this heartbeat was decided on.
            return
        try:
            await self._link.send(host, record.shorten(self._heartbeat(record)))
            if self._renewals[host].is_due(record):
                self._link.reconnect(host)
        except Exception:
            # A fault in one part's state must not make the whole host look dead for good.
            self._metrics.peer_messages.labels("failed", "hb").inc()
            _log.exception("No heartbeat was sent to {}.", host)

    def _heartbeat(self, record: PeerRecord) -> Heartbeat:
        state = self._local_state()
        echo, echo_incarnation = record.echo
        self._sequence += 1
        record.note_sent(self._sequence, now_s())
        return Heartbeat(
            host=self._identity.host,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            echo=echo,
            echo_incarnation=echo_incarnation,
            roster_epoch=state.roster_epoch,
            config_version=state.config_version,
            store_age_ms=state.store_age_ms,
            suspected_targets=tuple(state.suspected_targets),
            suspected_hosts=tuple(sorted(self.suspected_hosts)) if self._states_hosts else (),
            primaries=state.primaries,
            heard=self._heard() if self._states_hosts else (),
            config_pending=state.config_pending,
            prefix_revisions=state.prefix_revisions or {},
        )

    def _heard(self) -> tuple[str, ...]:
        oldest_s = now_s() - HEARD_WITHIN_S
        return tuple(
            sorted(
                host
                for host, record in self._records.items()
                if record.last is not None and record.last.received_s >= oldest_s
            )
        )

    def _receive(self, sender: str, heartbeat: Heartbeat) -> None:
        record = self._records.get(sender)
        if record is None or heartbeat.host != sender:
            self._drop("unknown_host")
        elif self._accept(record, heartbeat):
            record.note_full(heartbeat)
            self._heartbeats.on_next(record.last)
            self._reply(sender)

    def _receive_short(self, sender: str, short: ShortHeartbeat) -> None:
        record = self._records.get(sender)
        if record is None:
            self._drop("unknown_host")
            return
        heartbeat = record.complete(short)
        if heartbeat is None:
            # This host forgot the peer meanwhile; the empty echo makes the peer send full ones.
            self._drop("unknown_content")
        elif self._accept(record, heartbeat):
            self._heartbeats.on_next(record.last)
            self._reply(sender)

    def _accept(self, record: PeerRecord, heartbeat: Heartbeat) -> bool:
        reason = record.accept(heartbeat, self._identity.incarnation, now_s())
        if reason is not None:
            self._drop(reason)
        return reason is None

    def _drop(self, reason: str) -> None:
        self._metrics.peer_messages.labels("dropped", reason).inc()
