"""Adapters that present the roster through protocols of other libraries."""

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.configuration.records import Roster
from pistachiowinch.configuration.roster import RosterReplica

__all__ = ["GroupSite", "RosterHistory"]


class GroupSite:
    """This host and the active roster; satisfies ``groups.site.SiteView``.

    :param site: the site's name.
    :param roster: the host's roster.
    """

    def __init__(self, site: str, roster: RosterReplica) -> None:
        """Store the roster; the properties read it on demand."""
        self._site = site
        self._roster = roster

    @property
    def site(self) -> str:
        """Name of the site."""
        return self._site

    @property
    def host(self) -> str:
        """Name of this host."""
        return self._roster.identity.host

    @property
    def incarnation(self) -> int:
        """This host's incarnation number; 0 while it has none."""
        return self._roster.identity.incarnation

    @property
    def members(self) -> tuple[str, ...]:
        """Hosts of the active roster."""
        return tuple(member.host for member in self._roster.active.members)


class RosterHistory:
    """Members and the time when the last one left; satisfies ``gateway.interfaces.RosterView``."""

    def __init__(self, roster: RosterReplica) -> None:
        """Subscribe to the roster. Members that left before this host started are not known."""
        self._members: tuple[HostIdentity, ...] = ()
        self._stable_since_s = now_s()
        roster.changes.subscribe(on_next=self._on_roster)

    @property
    def members(self) -> tuple[HostIdentity, ...]:
        """Members of the newest known roster."""
        return self._members

    @property
    def stable_since_s(self) -> float:
        """Loop time since which no member has left."""
        return self._stable_since_s

    def _on_roster(self, roster: Roster) -> None:
        # A restarted host counts as one that left, since it has lost its in-memory state.
        if set(self._members) - set(roster.members):
            self._stable_since_s = now_s()
        self._members = roster.members
