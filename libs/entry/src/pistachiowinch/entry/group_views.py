"""What this host and its peers know of each service's primary, and whose turn it is to act."""

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.hashing import rendezvous_order
from pistachiowinch.fleet.primaries import PrimaryTable
from pistachiowinch.fleet.primary_lease import PRIMARY_LEASE_S
from pistachiowinch.fleet.supervision import ServiceView
from pistachiowinch.fleet.voter_set import VoterSet
from pistachiowinch.peering.membership import Membership
from pistachiowinch.peering.messages import Heartbeat
from pistachiowinch.sessions.health import TargetHealth
from pistachiowinch.sessions.site import SiteView

__all__ = ["GroupViews"]

# Five heartbeats: a host that misses them all is not waited for before the next one acts.
PRESENT_S = 1.0


class GroupViews:
    """Combines heartbeats with this host's own view.

    :param host: this host's name.
    :param membership: heartbeats of the peers.
    :param council: the hosts that may act.
    :param view: targets of the services.
    :param primaries: the primary of each service.
    :param health: targets that do not answer this host.
    """

    def __init__(
        self,
        host: str,
        membership: Membership,
        council: VoterSet,
        view: SiteView,
        primaries: PrimaryTable,
        health: TargetHealth,
    ) -> None:
        """Create views from their sources."""
        self._host = host
        self._membership = membership
        self._council = council
        self._view = view
        self._primaries = primaries
        self._health = health

    def rank(self) -> int:
        """Return this host's place among the present voters; the first one acts."""
        present = {heartbeat.host for heartbeat in self._heard(PRESENT_S)} & self._council.voters
        return rendezvous_order("promotion", present | {self._host}).index(self._host)

    def all(self) -> list[ServiceView]:
        """Return the view of each service."""
        heard = self._heard(PRIMARY_LEASE_S)
        return [self._view_of(service, heard) for service in self._view.services]

    def _heard(self, within_s: float) -> list[Heartbeat]:
        oldest_s = now_s() - within_s
        last = (self._membership.last_heartbeat(host) for host in self._membership.peers)
        return [
            received.heartbeat
            for received in last
            if received is not None and received.received_s >= oldest_s
        ]

    def _view_of(self, service: str, heard: list[Heartbeat]) -> ServiceView:
        primary = self._primaries.primary(service)
        targets = self._view.targets(service)
        record = self._primaries.records.get(service)
        suspecting = sum(primary in heartbeat.suspected_targets for heartbeat in heard)
        return ServiceView(
            service=service,
            primary=primary,
            is_switching=record is not None and not record.primary,
            is_primary_registered=primary in targets,
            is_primary_leaving=self._view.is_leaving(primary),
            candidates=tuple(
                name for name in targets if name != primary and not self._view.is_leaving(name)
            ),
            suspecting_hosts=suspecting + self._health.is_suspected(primary),
            reporting_hosts=len(heard) + 1,
        )
