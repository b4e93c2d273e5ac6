"""Interface of the membership for other libraries."""

from typing import Protocol

from pistachiowinch.base.signals import Signal
from pistachiowinch.peering.messages import ReceivedHeartbeat

__all__ = ["MembershipView"]


class MembershipView(Protocol):
    """This host's view of its site."""

    @property
    def heartbeats(self) -> Signal[ReceivedHeartbeat]:
        """Emits every accepted heartbeat on arrival."""

    def last_heartbeat(self, host: str) -> ReceivedHeartbeat | None:
        """Return the newest accepted heartbeat of a host."""

    def contacts(self, within_s: float) -> frozenset[str]:
        """Return hosts with evidence younger than ``within_s`` seconds, including this host."""

    @property
    def suspected_hosts(self) -> frozenset[str]:
        """Members that this host has not heard from for ``SUSPECT_AFTER_S``."""
