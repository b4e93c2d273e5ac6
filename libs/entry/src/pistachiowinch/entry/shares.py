"""This host's part of what all hosts have together."""

import math

from pistachiowinch.base.clock import now_s
from pistachiowinch.fleet.primary_lease import PrimaryLease
from pistachiowinch.fleet.registration import FleetMembers
from pistachiowinch.sessions.site import SiteView

__all__ = ["Shares"]

# A host without proof goes on with its part of the rates, because reads at replicas go on for as
# long as the users' routes allow; peers take the part over 16 s later at the earliest.
UNPROVED_SHARE_S = 2.0


class Shares:
    """Equal parts for all members.

    :param proof: ends this host's part of the rates some time after its own end.
    :param hosts: the members.
    :param view: limits of the services.
    """

    def __init__(self, proof: PrimaryLease, hosts: FleetMembers, view: SiteView) -> None:
        """Create shares from their sources."""
        self._proof = proof
        self._hosts = hosts
        self._view = view
        self._proved_s = -math.inf

    def rates(self) -> float:
        """Return which part of the rates assigned to this host it may spend: all or none."""
        if self._proof.is_valid:
            self._proved_s = now_s()
        if now_s() - self._proved_s > UNPROVED_SHARE_S:
            return 0.0
        return 1.0

    def connections(self, service: str) -> int:
        """Return how many connections this host may open to each target of a service."""
        limits = self._view.configuration.services.get(service)
        if limits is None:
            return 1
        return max(limits.max_connections // len(self._hosts.names), 1)
