"""Heartbeat messages between the hosts of a site, and the state that they carry."""

from typing import NamedTuple

import msgspec

__all__ = ["AnnouncedPrimary", "Heartbeat", "LocalState", "ReceivedHeartbeat", "ShortHeartbeat"]


class AnnouncedPrimary(msgspec.Struct, array_like=True, frozen=True):
    """Newest known primary of a service.

    :param term: the primary's term.
    :param primary: the target's name; empty while a promotion is in progress.
    """

    term: int
    primary: str


class Heartbeat(msgspec.Struct, tag="hb", array_like=True, frozen=True):
    """Periodic message from one host to one peer.

    :param sequence: sequence number; grows with every heartbeat that the sender sends to the peer.
    :param echo: newest sequence number that the sender accepted from the peer; 0 if none.
    :param echo_incarnation: incarnation of the peer that sent the echoed heartbeat.
    :param store_age_ms: age of the sender's newest evidence from the store; -1 if none.
    :param suspected_targets: targets that fail the sender's probes, as ``service/target``.
    :param suspected_hosts: members that the sender has not heard from for ``SUSPECT_AFTER_S``.
    :param primaries: newest known primary of each service.
    :param heard: hosts that the sender has heard from within the last two intervals.
    :param config_pending: highest configuration version that the sender knows or must assume to be
        accepted; if it is above ``config_version``, the sender does not confirm that version.
    :param prefix_revisions: for each store prefix that the sender can serve, the revision of the
        newest change in its copy.
    :param is_witness: whether evidence from the sender counts for primary leases; false while it
        knows only what a restored store has kept.
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
    is_witness: bool = True


class ShortHeartbeat(msgspec.Struct, tag="sh", array_like=True, frozen=True):
    """A heartbeat without the fields that equal those of an earlier one that the peer accepted.

    The receiving membership restores them, so that other parts only see :class:`Heartbeat`.

    :param unchanged_since: sequence number of the first heartbeat with the same omitted fields.
    """

    incarnation: int
    sequence: int
    echo: int
    echo_incarnation: int
    store_age_ms: int
    unchanged_since: int


class LocalState(NamedTuple):
    """State that this host reports in its heartbeats; see :class:`Heartbeat`."""

    roster_epoch: int
    config_version: int
    store_age_ms: int
    suspected_targets: tuple[str, ...]
    primaries: dict[str, AnnouncedPrimary]
    config_pending: int = 0
    prefix_revisions: dict[str, int] | None = None
    is_witness: bool = True


class ReceivedHeartbeat(NamedTuple):
    """A heartbeat that passed the checks of sequence number and incarnation.

    :param received_s: loop time of arrival.
    :param evidence_s: loop time at which this host sent the echoed heartbeat; None if there is no
        echo or it is of another incarnation. The sender's state was read after this time.
    """

    heartbeat: Heartbeat
    received_s: float
    evidence_s: float | None
