"""Messages between the hosts of a site that carry membership."""

from typing import NamedTuple

import msgspec

__all__ = ["AnnouncedPrimary", "Heartbeat", "LocalState", "ReceivedHeartbeat", "ShortHeartbeat"]


class AnnouncedPrimary(msgspec.Struct, array_like=True, frozen=True):
    """Newest known primary of a service.

    :param term: the primary's term.
    :param primary: target's name; empty while a promotion is under way.
    """

    term: int
    primary: str


class Heartbeat(msgspec.Struct, tag="hb", array_like=True, frozen=True):
    """Periodic message of one host to one peer.

    :param sequence: grows with every heartbeat that this host sends to this peer.
    :param echo: newest sequence number received from this peer's same incarnation; 0 if none.
    :param echo_incarnation: incarnation of the peer that the echo belongs to.
    :param store_age_ms: age of this host's newest evidence from the store; -1 if none.
    :param suspected_targets: ``service/target`` names that fail this host's probes.
    :param suspected_hosts: members that this host has not heard for the suspicion time.
    :param primaries: newest known primary of each service.
    :param heard: hosts heard from within the last intervals.
    :param config_pending: highest configuration version that this host knows or must assume to be
        accepted; above ``config_version`` the sender does not confirm its own version.
    :param prefix_revisions: for each store prefix that the sender can serve, the revision of the
        newest change in its copy.
    """

    host: str
    incarnation: int
    sequence: int
    echo: int
    echo_incarnation: int
    roster_epoch: int
    config_version: int
    store_age_ms: int
    suspected_targets: tuple[str, ...] = ()
    suspected_hosts: tuple[str, ...] = ()
    primaries: dict[str, AnnouncedPrimary] = {}
    heard: tuple[str, ...] = ()
    config_pending: int = 0
    prefix_revisions: dict[str, int] = {}


class ShortHeartbeat(msgspec.Struct, tag="sh", array_like=True, frozen=True):
    """A heartbeat whose other fields equal those of an earlier one that the peer has received.

    The membership completes it, so other parts only see :class:`Heartbeat`.

    :param unchanged_since: sequence number of the first heartbeat with the same other fields.
    """

    incarnation: int
    sequence: int
    echo: int
    echo_incarnation: int
    store_age_ms: int
    unchanged_since: int


class LocalState(NamedTuple):
    """What this host puts into its heartbeats; see :class:`Heartbeat`."""

    roster_epoch: int
    config_version: int
    store_age_ms: int
    suspected_targets: tuple[str, ...]
    primaries: dict[str, AnnouncedPrimary]
    config_pending: int = 0
    prefix_revisions: dict[str, int] | None = None


class ReceivedHeartbeat(NamedTuple):
    """A heartbeat that passed the checks of sequence and incarnation.

    :param heartbeat: the message.
    :param received_s: loop time of arrival.
    :param evidence_s: loop time at which this host sent the echoed heartbeat; None if the echo is
        empty or of another incarnation. Everything that the sender states was true later than this.
    """

    heartbeat: Heartbeat
    received_s: float
    evidence_s: float | None
