"""Messages between hosts about primaries, and their dispatch to the services' groups."""

import asyncio
from collections.abc import Iterable
from typing import Protocol

import msgspec

from pistachiowinch.links.peers import PeerLink, PeerUnreachable

__all__ = [
    "GroupMessenger",
    "HoldReply",
    "HoldTransactions",
    "MessageReceiver",
    "PrimaryChanged",
]


class PrimaryChanged(msgspec.Struct, tag="primary", array_like=True, frozen=True):
    """Announces a promotion to the peers, ahead of the next heartbeat.

    :param primary: the new primary; empty while the promotion is under way.
    """

    service: str
    term: int
    primary: str


class HoldTransactions(msgspec.Struct, tag="hold", array_like=True, frozen=True):
    """Asks a peer to delay new transactions while the primary is switched.

    :param term: term that the switch ends; a newer primary ends the hold.
    :param duration_ms: time after which the hold expires.
    """

    service: str
    term: int
    duration_ms: int


class HoldReply(msgspec.Struct, tag="held", array_like=True, frozen=True):
    """Answer to :class:`HoldTransactions`, sent when the peer's transactions have ended.

    :param running: transactions that were still running when the wait timed out.
    """

    running: int


class MessageReceiver(Protocol):
    """Handles the messages about one service."""

    def receive_primary(self, message: PrimaryChanged) -> None:
        """Learn of a promotion."""

    async def hold_transactions(self, message: HoldTransactions) -> HoldReply:
        """Delay new transactions and wait for running ones."""


class GroupMessenger:
    """Sends messages about primaries and dispatches received ones to the services' groups.

    A link has one handler for each type of message, so all groups of a host share one messenger.

    :param link: link to the peers.
    """

    def __init__(self, link: PeerLink) -> None:
        """Register the handlers."""
        self._link = link
        self._receivers: dict[str, MessageReceiver] = {}
        link.on_message(PrimaryChanged, self._receive_primary)
        link.on_request(HoldTransactions, HoldReply, self._receive_hold)

    def register(self, service: str, receiver: MessageReceiver) -> None:
        """Pass messages about a service to its group."""
        self._receivers[service] = receiver

    def unregister(self, service: str) -> None:
        """Drop messages about a service from now on."""
        self._receivers.pop(service, None)

    def _receive_primary(self, _sender: str, message: msgspec.Struct) -> None:
        assert isinstance(message, PrimaryChanged)
        receiver = self._receivers.get(message.service)
        if receiver is not None:
            receiver.receive_primary(message)

    async def _receive_hold(self, _sender: str, message: msgspec.Struct) -> msgspec.Struct:
        assert isinstance(message, HoldTransactions)
        receiver = self._receivers.get(message.service)
        return HoldReply(0) if receiver is None else await receiver.hold_transactions(message)

    async def announce(self, hosts: Iterable[str], message: PrimaryChanged) -> None:
        """Send an announcement to hosts; it may be lost."""
        await asyncio.gather(*(self._link.send(host, message) for host in hosts))

    async def hold(
        self, hosts: Iterable[str], message: HoldTransactions, timeout_s: float
    ) -> dict[str, HoldReply | None]:
        """Ask hosts to hold transactions.

        :param hosts: peers to ask.
        :param message: the request.
        :param timeout_s: seconds to wait for each answer.
        :returns: the answer of each host; None if it did not answer.
        """
        names = list(hosts)
        replies = await asyncio.gather(*(self._ask(name, message, timeout_s) for name in names))
        return dict(zip(names, replies, strict=True))

    async def _ask(
        self, host: str, message: HoldTransactions, timeout_s: float
    ) -> HoldReply | None:
        try:
            reply = await self._link.request(host, message, timeout_s)
        except PeerUnreachable:
            return None
        return reply if isinstance(reply, HoldReply) else None
