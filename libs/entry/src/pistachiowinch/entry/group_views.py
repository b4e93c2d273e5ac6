"""Combined view of each service's primary, and the rank of this host among the voters."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.hashing import rendezvous_order
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.fleet.primaries import PrimaryTable
from pistachiowinch.fleet.primary_lease import PRIMARY_LEASE_S
from pistachiowinch.fleet.supervision import ServiceView
from pistachiowinch.fleet.voter_set import VoterSet
from pistachiowinch.peering.membership import Membership
from pistachiowinch.peering.messages import Heartbeat
from pistachiowinch.sessions.health import TargetHealth
from pistachiowinch.sessions.site import SiteView

__all__ = ["GroupViews"]

# Five heartbeat intervals; a voter that was silent for this long is skipped in the ranking.
PRESENCE_TIMEOUT_S = 1.0


class _Reports(NamedTuple):
    """Recent heartbeats, collected once for all services.

    :param hosts: hosts that report, including this one.
    :param voters: those of them that vote.
    :param suspecting: other hosts that suspect a target, by target.
    """

    hosts: list[str]
    voters: list[str]
    suspecting: dict[str, list[str]]


class GroupViews:
    """Combines the heartbeats of peers with this host's own view.

    :param host: this host's name.
    :param membership: heartbeats of the peers.
    :param voter_set: hosts that may order a switch.
    :param view: targets of the services.
    :param primaries: the primary of each service.
    :param health: health of the targets as this host observes it.
    :param members: returns the fleet's members, which name their availability zones.
    :param has_promoter: returns whether a running host holds the promotion lock.
    """

    def __init__(
        self,
        host: str,
        membership: Membership,
        voter_set: VoterSet,
        view: SiteView,
        primaries: PrimaryTable,
        health: TargetHealth,
        members: Callable[[], Iterable[HostIdentity]],
        has_promoter: Callable[[], bool],
    ) -> None:
        """Create views from their sources."""
        self._host = host
        self._membership = membership
        self._voter_set = voter_set
        self._view = view
        self._primaries = primaries
        self._health = health
        self._members = members
        self._has_promoter = has_promoter

    def rank(self) -> int:
        """Return this host's rank among the reachable voters; rank 0 orders switches."""
        present = {
            heartbeat.host for heartbeat in self._recent_heartbeats(PRESENCE_TIMEOUT_S)
        } & self._voter_set.voters
        return rendezvous_order("promotion", present | {self._host}).index(self._host)

    def all(self) -> list[ServiceView]:
        """Return the view of each service."""
        heartbeats = self._recent_heartbeats(PRIMARY_LEASE_S)
        zones = {member.host: member.availability_zone for member in self._members()}
        reports = self._collect_reports(heartbeats)
        return [self._view_of(service, reports, zones) for service in self._view.services]

    def _recent_heartbeats(self, max_age_s: float) -> list[Heartbeat]:
        oldest_s = now_s() - max_age_s
        last = (self._membership.last_heartbeat(host) for host in self._membership.peers)
        return [
            received.heartbeat
            for received in last
            if received is not None and received.received_s >= oldest_s
        ]

    def _collect_reports(self, heartbeats: list[Heartbeat]) -> _Reports:
        """Collect which hosts report, and which targets each of them suspects."""
        suspecting: dict[str, list[str]] = {}
        for heartbeat in heartbeats:
            for target in heartbeat.suspected_targets:
                suspecting.setdefault(target, []).append(heartbeat.host)
        reporting = [*(heartbeat.host for heartbeat in heartbeats), self._host]
        voters = self._voter_set.voters
        return _Reports(reporting, [host for host in reporting if host in voters], suspecting)

    def _largest_suspicion(self, target: str, reports: _Reports) -> tuple[list[str], list[str]]:
        """Return the hosts to which a target does not answer, and the hosts that were asked.

        Load pattern: each of hundreds of hosts uses a target once in seconds, so that most of them
        do not notice its loss. Voters probe what any host suspects, so they alone may decide.
        """
        suspecting = list(reports.suspecting.get(target, ()))
        if self._health.is_suspected(target):
            suspecting.append(self._host)
        voters = self._voter_set.voters
        groups = (
            (suspecting, reports.hosts),
            ([host for host in suspecting if host in voters], reports.voters),
        )
        return max(groups, key=lambda group: len(group[0]) / max(len(group[1]), 1))

    def _view_of(self, service: str, reports: _Reports, zones: Mapping[str, str]) -> ServiceView:
        primary = self._primaries.primary(service)
        targets = self._view.targets(service)
        record = self._primaries.records.get(service)
        suspecting, reporting = self._largest_suspicion(primary, reports)
        candidates = tuple(
            name for name in targets if name != primary and not self._view.is_leaving(name)
        )
        unreachable_from = max(len(suspecting), 1)
        return ServiceView(
            service=service,
            primary=primary,
            is_switching=record is not None and not record.primary,
            is_switch_orphaned=not self._has_promoter(),
            is_primary_registered=primary in targets,
            is_primary_leaving=self._view.is_leaving(primary),
            candidates=candidates,
            targets=tuple(targets),
            sync_replicas=self._view.configuration.sync_replicas.get(service, 0),
            suspecting_hosts=len(suspecting),
            reporting_hosts=len(reporting),
            suspecting_zones=len({zones.get(host) for host in suspecting}),
            reporting_zones=len({zones.get(host) for host in reporting}),
            unreachable_candidates=frozenset(
                name
                for name in candidates
                if len(self._largest_suspicion(name, reports)[0]) >= unreachable_from
            ),
        )
