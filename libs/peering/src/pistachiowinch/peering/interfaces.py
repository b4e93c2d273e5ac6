"""What other libraries use of the membership."""

from typing import Protocol

from reactivex import Observable

from pistachiowinch.peering.messages import ReceivedHeartbeat

__all__ = ["MembershipView"]


class MembershipView(Protocol):
    """This host's view of its site."""

    @property
    def heartbeats(self) -> Observable[ReceivedHeartbeat]:
        """Every accepted heartbeat, as it arrives."""

    def last_heartbeat(self, host: str) -> ReceivedHeartbeat | None:
        """Return the newest accepted heartbeat of a host."""

    def contacts(self, within_s: float) -> frozenset[str]:
        """Hosts whose evidence is younger than ``within_s`` seconds; includes this host."""

    @property
    def suspected_hosts(self) -> frozenset[str]:
        """Members that this host has not heard for the suspicion time."""
