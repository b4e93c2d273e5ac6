"""This host's share of limits that apply to all hosts together."""

import math

from pistachiowinch.base.clock import now_s
from pistachiowinch.fleet.primary_lease import PrimaryLease
from pistachiowinch.fleet.registration import FleetMembers
from pistachiowinch.sessions.site import SiteView, Target

__all__ = ["Shares"]

# A host that lost its lease keeps its share of the rates this long, because reads at replicas go on
# for as long as the users' routes allow. Peers take the share over after 16 s at the earliest.
RATE_SHARE_GRACE_S = 2.0
# Part of a target's connections that its pool host may open. The rest is for probes, switches, and
# hosts that cannot reach it.
POOL_HOST_FRACTION = 0.8


class Shares:
    """Divides limits equally among all members.

    :param lease: the rate share ends some time after this lease.
    :param hosts: the members.
    :param view: limits of the services.
    """

    def __init__(self, lease: PrimaryLease, hosts: FleetMembers, view: SiteView) -> None:
        """Create shares of the limits in the view."""
        self._lease = lease
        self._hosts = hosts
        self._view = view
        self._lease_valid_s = -math.inf

    def rate_share(self) -> float:
        """Return the part of its assigned rates that this host may spend: 1.0 or 0.0."""
        if self._lease.is_valid:
            self._lease_valid_s = now_s()
        if now_s() - self._lease_valid_s > RATE_SHARE_GRACE_S:
            return 0.0
        return 1.0

    def target_limit(self, target: Target, is_pool_host: bool) -> int:
        """Return the number of connections that this host may open to a target.

        :param is_pool_host: whether this host runs the statements of other hosts there.
        """
        share = self.connection_limit(target.service)
        limits = self._view.configuration.services.get(target.service)
        if not is_pool_host or limits is None:
            return share
        return max(share, int(limits.max_connections * POOL_HOST_FRACTION))

    def connection_limit(self, service: str) -> int:
        """Return this host's equal share of the connections to each target of a service."""
        limits = self._view.configuration.services.get(service)
        if limits is None:
            return 1
        return max(limits.max_connections // len(self._hosts.names), 1)
