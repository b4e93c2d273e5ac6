"""Interface between the hosts of a site."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

__all__ = ["MessageHandler", "PeerLink", "PeerUnreachable", "RequestHandler"]

MessageHandler = Callable[[str, msgspec.Struct], None]
RequestHandler = Callable[[str, msgspec.Struct], Awaitable[msgspec.Struct]]


class PeerUnreachable(Exception):
    """A request was not answered in time; the peer may still have handled it."""


class PeerLink(Protocol):
    """Sends and receives messages, which may be lost, duplicated, delayed or reordered.

    A message is a ``msgspec.Struct`` subclass with ``tag`` set, registered by
    :meth:`on_message` or :meth:`on_request`; its type selects the handler.
    """

    async def send(self, host: str, message: msgspec.Struct) -> None:
        """Send without waiting for an answer; never raises for an unreachable peer."""

    async def request(self, host: str, message: msgspec.Struct, timeout_s: float) -> msgspec.Struct:
        """Send and wait for the answer.

        :raises PeerUnreachable: if no answer arrived in ``timeout_s`` seconds.
        """

    def on_message(self, message_type: type[msgspec.Struct], handler: MessageHandler) -> None:
        """Call ``handler(sender, message)`` for each received message of the type."""

    def on_request(
        self,
        message_type: type[msgspec.Struct],
        answer_type: type[msgspec.Struct],
        handler: RequestHandler,
    ) -> None:
        """Answer each request of the type with the handler's result."""
