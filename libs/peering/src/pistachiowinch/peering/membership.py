"""Heartbeats between the hosts of a site, and failure detection based on them.

One task for each peer sends heartbeats. Evidence from a peer is dated with the time at which this
host sent the heartbeat that the peer echoes, so that a delayed heartbeat never counts as fresh.
"""

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.identity import NO_INCARNATION, HostIdentity
from pistachiowinch.base.logs import part_logger
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.base.signals import Signal
from pistachiowinch.links.hosts import HostList
from pistachiowinch.links.peers import PeerLink
from pistachiowinch.peering.messages import (
    Heartbeat,
    LocalState,
    ReceivedHeartbeat,
    ShortHeartbeat,
)
from pistachiowinch.peering.peer_record import OTHER_RUN, PeerRecord

__all__ = [
    "HEARTBEAT_INTERVAL_S",
    "MAX_PEERS",
    "SUSPECT_AFTER_S",
    "AddressedPeerLink",
    "Membership",
]

HEARTBEAT_INTERVAL_S = 0.2
# Used if peers reply to each heartbeat: the echo is then immediate, so half of the heartbeats give
# evidence of the same age.
REPLIED_HEARTBEAT_INTERVAL_S = 0.4
SUSPECT_AFTER_S = 1.0
# Two intervals, so that one lost heartbeat does not remove a host from ``Heartbeat.heard``.
HEARD_WITHIN_S = 0.4
# Largest number of hosts in a site; bounds the cost of heartbeats for each host.
MAX_PEERS = 15
HOST_LIST_INTERVAL_S = 2.0
HOST_LIST_TIMEOUT_S = 2.0
# Exponential backoff for replacing a connection without a fresh echo: 1 s, 2 s, then every 4 s.
MIN_RECONNECT_DELAY_S = 1.0
MAX_RECONNECT_DELAY_S = 4.0

# Runs without an incarnation differ only in the random start of their sequence numbers.
ANONYMOUS_SEQUENCE_BITS = 31

_log = part_logger("membership")


def _first_sequence(incarnation: int) -> int:
    if incarnation != NO_INCARNATION:
        return 0
    return random.SystemRandom().getrandbits(ANONYMOUS_SEQUENCE_BITS)


class _ReconnectTimer:
    """Decides when to replace the connection to a peer for lack of a fresh echo.

    :param start_s: loop time from which silence is measured.
    """

    def __init__(self, start_s: float) -> None:
        self._delay_s = MIN_RECONNECT_DELAY_S
        self._reconnected_s = start_s

    def is_due(self, record: PeerRecord) -> bool:
        """Return whether to replace the connection now; to be called after each sent heartbeat."""
        last_fresh_s = max(self._reconnected_s, record.evidence_s or record.known_since_s)
        if now_s() - last_fresh_s < MIN_RECONNECT_DELAY_S and last_fresh_s != self._reconnected_s:
            self._delay_s = MIN_RECONNECT_DELAY_S
        elif now_s() - last_fresh_s >= self._delay_s:
            self._reconnected_s = now_s()
            self._delay_s = min(2.0 * self._delay_s, MAX_RECONNECT_DELAY_S)
            return True
        return False


class AddressedPeerLink(PeerLink, Protocol):
    """A peer link that needs the peers' addresses."""

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Replace the peers and their addresses."""

    def reconnect(self, host: str) -> None:
        """Replace the connection to a peer, which may have become permanently silent."""


class Membership:
    """This host's view of its site; implements ``interfaces.MembershipView``.

    :param identity: this host.
    :param link: messages to the peers.
    :param local_state: returns the current state for this host's heartbeats.
    :param host_list: proposes addresses of hosts that are not members; None for none.
    :param metrics: counts dropped heartbeats as peer messages of direction ``dropped``.
    :param reports_hosts: whether heartbeats report the hosts that this one hears and suspects.
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
        self._reports_hosts = reports_hosts
        self._message_only_addresses: dict[str, str] = {}
        self._interval_s = HEARTBEAT_INTERVAL_S
        self._reply_only_hosts: frozenset[str] = frozenset()
        self._reconnect_timers: dict[str, _ReconnectTimer] = {}
        self._identity = identity
        self._incarnations = [identity.incarnation]
        self._link = link
        self._local_state = local_state
        self._host_list = host_list
        self._metrics = metrics or Metrics()
        self._members: dict[str, HostIdentity] = {}
        self._proposed_addresses: dict[str, str] = {}
        self._leaving_hosts: frozenset[str] = frozenset()
        self._addresses: dict[str, str] = {}
        self._link_addresses: dict[str, str] = {}
        self._records: dict[str, PeerRecord] = {}
        self._heartbeat_tasks: dict[str, asyncio.Task] = {}
        self._reply_tasks: set[asyncio.Task] = set()
        self._is_running = False
        # One counter for all peers, so that it keeps growing if a peer is removed and added again.
        self._sequence = _first_sequence(identity.incarnation)
        self._heartbeats: Signal[ReceivedHeartbeat] = Signal()
        link.on_message(Heartbeat, self._receive)
        link.on_message(ShortHeartbeat, self._receive_short)

    @property
    def heartbeats(self) -> Signal[ReceivedHeartbeat]:
        """Emits every accepted heartbeat on arrival."""
        return self._heartbeats

    @property
    def identity(self) -> HostIdentity:
        """This host."""
        return self._identity

    @property
    def peers(self) -> tuple[str, ...]:
        """Hosts with which heartbeats are exchanged: members first, then proposed ones."""
        return tuple(self._addresses)

    @property
    def leaving_hosts(self) -> frozenset[str]:
        """Hosts that the platform's list marks as leaving."""
        return self._leaving_hosts

    @property
    def suspected_hosts(self) -> frozenset[str]:
        """Members that this host has not heard from for ``SUSPECT_AFTER_S``."""
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
        """Return hosts with evidence younger than ``within_s`` seconds, including this host."""
        oldest_s = now_s() - within_s
        fresh = {
            host
            for host, record in self._records.items()
            if record.evidence_s is not None and record.evidence_s > oldest_s
        }
        return frozenset(fresh | {self._identity.host})

    def witnesses(self, within_s: float) -> frozenset[str]:
        """Return the contacts whose evidence counts for primary leases."""
        oldest_s = now_s() - within_s
        return frozenset(
            host for host, date_s in self.witness_evidence_s().items() if date_s > oldest_s
        )

    def witness_evidence_s(self) -> dict[str, float]:
        """Return the dates of the evidence that counts for primary leases, by host.

        The evidence of this host itself is always fresh.
        """
        dates_s = {
            host: record.evidence_s
            for host, record in self._records.items()
            if record.evidence_s is not None and record.last.heartbeat.is_witness
        }
        dates_s[self._identity.host] = now_s()
        return dates_s

    def set_members(
        self,
        members: Iterable[HostIdentity],
        message_only_hosts: Iterable[HostIdentity] = (),
        reply_only_hosts: frozenset[str] = frozenset(),
        expects_replies: bool = False,
    ) -> None:
        """Replace the members and their addresses.

        :param members: all members; this host may be one of them.
        :param message_only_hosts: hosts that receive messages but no heartbeats.
        :param reply_only_hosts: members that receive a heartbeat only in reply to each of theirs.
        :param expects_replies: whether the members reply to each heartbeat of this host.
        """
        self._interval_s = REPLIED_HEARTBEAT_INTERVAL_S if expects_replies else HEARTBEAT_INTERVAL_S
        self._reply_only_hosts = reply_only_hosts
        self._members = {member.host: member for member in members}
        self._members.pop(self._identity.host, None)
        self._message_only_addresses = {other.host: other.peer_url for other in message_only_hosts}
        self._refresh_peers()

    def set_identity(self, identity: HostIdentity) -> None:
        """Set an incarnation that became known only after the start.

        :param identity: this host; its name must be unchanged.
        :raises ValueError: if the name differs.
        """
        if identity.host != self._identity.host:
            raise ValueError(f"this host is {self._identity.host}, not {identity.host}")
        if identity.incarnation != self._identity.incarnation:
            # Echoes name the incarnation, so echoes of the earlier one are no longer valid.
            for record in self._records.values():
                record.reset_sent()
            self._incarnations.append(identity.incarnation)
        self._identity = identity

    async def run(self) -> None:
        """Send heartbeats and read the host list until cancelled."""
        self._is_running = True
        self._refresh_peers()
        try:
            await self._poll_host_list()
        finally:
            self._is_running = False
            tasks = tuple(self._heartbeat_tasks.values())
            self._heartbeat_tasks.clear()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _poll_host_list(self) -> None:
        while True:
            if self._host_list is not None:
                await self._read_host_list(self._host_list)
            await sleep_s(HOST_LIST_INTERVAL_S)

    async def _read_host_list(self, host_list: HostList) -> None:
        try:
            async with asyncio.timeout(HOST_LIST_TIMEOUT_S):
                listed = await host_list.hosts()
        except Exception as error:
            # The list only proposes addresses; without it the known addresses remain in use.
            self._metrics.peer_messages.labels("failed", "host_list").inc()
            _log.warning("The host list cannot be read: {!r}.", error)
            return
        self._leaving_hosts = frozenset(entry.host for entry in listed if entry.is_leaving)
        self._proposed_addresses = {
            entry.host: entry.peer_url for entry in listed if not entry.is_leaving
        }
        self._proposed_addresses.pop(self._identity.host, None)
        self._refresh_peers()

    def _refresh_peers(self) -> None:
        addresses = {member.host: member.peer_url for member in self._members.values()}
        for host, address in sorted(self._proposed_addresses.items()):
            if len(addresses) >= MAX_PEERS:
                break
            # The list can be out of date, so a member's own address takes precedence.
            addresses.setdefault(host, address)
        self._addresses = addresses
        link_addresses = self._message_only_addresses | addresses
        if link_addresses != self._link_addresses:
            self._link_addresses = link_addresses
            self._link.set_addresses(link_addresses)
        for host in tuple(self._records):
            if host not in addresses:
                self._remove_peer(host)
        for host in addresses:
            self._ensure_peer(host)

    def _remove_peer(self, host: str) -> None:
        del self._records[host]
        self._reconnect_timers.pop(host, None)
        task = self._heartbeat_tasks.pop(host, None)
        if task is not None:
            task.cancel()

    def _ensure_peer(self, host: str) -> None:
        if host not in self._records:
            self._records[host] = PeerRecord(now_s())
            self._reconnect_timers[host] = _ReconnectTimer(now_s())
        if host in self._reply_only_hosts:
            task = self._heartbeat_tasks.pop(host, None)
            if task is not None:
                task.cancel()
        elif self._is_running and host not in self._heartbeat_tasks:
            task = asyncio.get_running_loop().create_task(self._send_heartbeats(host))
            self._heartbeat_tasks[host] = task

    async def _send_heartbeats(self, host: str) -> None:
        record = self._records[host]
        next_s = now_s()
        while True:
            await self._send_heartbeat(host, record)
            # Heartbeats that were missed during a pause are skipped.
            next_s = max(next_s + self._interval_s, now_s())
            await sleep_s(next_s - now_s())

    def _reply(self, host: str) -> None:
        """Send a heartbeat in reply to one, if the host receives heartbeats only as replies."""
        if host in self._reply_only_hosts and self._is_running:
            task = asyncio.get_running_loop().create_task(
                self._send_heartbeat(host, self._records[host])
            )
            self._reply_tasks.add(task)
            task.add_done_callback(self._reply_tasks.discard)

    async def _send_heartbeat(self, host: str, record: PeerRecord) -> None:
        if self._records.get(host) is not record:
            # The peer was removed after this heartbeat was scheduled.
            return
        try:
            await self._link.send(host, record.shorten(self._build_heartbeat(record)))
            if self._reconnect_timers[host].is_due(record):
                self._link.reconnect(host)
        except Exception:
            # An error in one part's state must not make this host look dead to its peers.
            self._metrics.peer_messages.labels("failed", "hb").inc()
            _log.exception("Sending a heartbeat to {} failed.", host)

    def _build_heartbeat(self, record: PeerRecord) -> Heartbeat:
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
            suspected_hosts=tuple(sorted(self.suspected_hosts)) if self._reports_hosts else (),
            primaries=state.primaries,
            heard=self._heard_hosts() if self._reports_hosts else (),
            config_pending=state.config_pending,
            prefix_revisions=state.prefix_revisions or {},
            is_witness=state.is_witness,
        )

    def _heard_hosts(self) -> tuple[str, ...]:
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
            self._process(record)

    def _receive_short(self, sender: str, short: ShortHeartbeat) -> None:
        record = self._records.get(sender)
        if record is None:
            self._drop("unknown_host")
            return
        heartbeat = record.complete(short)
        if heartbeat is None:
            # This host has lost the peer's content; its empty echo makes the peer send it in full.
            self._drop("unknown_content")
            self._reply(sender)
        elif self._accept(record, heartbeat):
            self._process(record)

    def _process(self, record: PeerRecord) -> None:
        """Let all parts process the last heartbeat, and then count its evidence."""
        self._heartbeats.on_next(record.last)
        record.count_evidence()

    def _accept(self, record: PeerRecord, heartbeat: Heartbeat) -> bool:
        reason = record.accept(heartbeat, self._incarnations, now_s())
        if reason is not None:
            self._drop(reason)
        if reason in (None, OTHER_RUN):
            # Only the echo of the reply can prove that another run is the newest one.
            self._reply(heartbeat.host)
        return reason is None

    def _drop(self, reason: str) -> None:
        self._metrics.peer_messages.labels("dropped", reason).inc()
