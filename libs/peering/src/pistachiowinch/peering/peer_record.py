"""State that this host keeps for each peer: sequence numbers, echoes and evidence."""

from collections import OrderedDict
from collections.abc import Collection

import msgspec

from pistachiowinch.base.identity import NO_INCARNATION
from pistachiowinch.peering.messages import Heartbeat, ReceivedHeartbeat, ShortHeartbeat

__all__ = ["OTHER_RUN", "PeerRecord"]

# Reason for dropping a heartbeat that does not prove that its run is the newest one of its host.
OTHER_RUN = "old_incarnation"

# Covers 12 s at five heartbeats a second, which is longer than evidence is used for.
MAX_SEND_TIMES = 64


def _content_of(heartbeat: Heartbeat) -> Heartbeat:
    return msgspec.structs.replace(
        heartbeat, sequence=0, echo=0, echo_incarnation=0, store_age_ms=0
    )


class PeerRecord:
    """Accepts or drops a peer's heartbeats, and dates their evidence.

    :param known_since_s: loop time at which the peer was added; its silence is measured from then.
    """

    def __init__(self, known_since_s: float) -> None:
        """Create a record of a peer without heartbeats."""
        self.known_since_s = known_since_s
        self.last: ReceivedHeartbeat | None = None
        self.evidence_s: float | None = None
        self._newest_echo = 0
        self._sent_s: OrderedDict[int, float] = OrderedDict()
        self._sent_content: Heartbeat | None = None
        self._unchanged_since = 0
        self._last_echo = 0
        self._last_full_heartbeat: Heartbeat | None = None

    @property
    def heard_s(self) -> float:
        """Loop time of the last accepted heartbeat, or of the peer's addition if there is none."""
        return self.known_since_s if self.last is None else self.last.received_s

    @property
    def echo(self) -> tuple[int, int]:
        """Newest accepted sequence number and its incarnation."""
        if self.last is None:
            return 0, NO_INCARNATION
        return self.last.heartbeat.sequence, self.last.heartbeat.incarnation

    def reset_sent(self) -> None:
        """Discard what was sent under another incarnation of this host."""
        self._sent_s.clear()
        self._last_echo = 0

    def note_sent(self, sequence: int, now_s: float) -> None:
        """Record the time at which a heartbeat was sent to the peer."""
        self._sent_s[sequence] = now_s
        if len(self._sent_s) > MAX_SEND_TIMES:
            self._sent_s.popitem(last=False)

    def shorten(self, heartbeat: Heartbeat) -> Heartbeat | ShortHeartbeat:
        """Shorten a heartbeat if the peer has already accepted its content from this run.

        An echo proves that the peer accepted a full heartbeat with the same content, or a later
        one. Before such an echo, and after a change or a restart of the peer, the full heartbeat is
        returned.
        """
        content = _content_of(heartbeat)
        if content != self._sent_content:
            self._sent_content = content
            self._unchanged_since = heartbeat.sequence
        if self._last_echo < self._unchanged_since:
            return heartbeat
        return ShortHeartbeat(
            heartbeat.incarnation,
            heartbeat.sequence,
            heartbeat.echo,
            heartbeat.echo_incarnation,
            heartbeat.store_age_ms,
            self._unchanged_since,
        )

    def complete(self, short: ShortHeartbeat) -> Heartbeat | None:
        """Restore the full heartbeat; return None if its content was not received from that run."""
        full_heartbeat = self._last_full_heartbeat
        if full_heartbeat is None or full_heartbeat.incarnation != short.incarnation:
            return None
        if full_heartbeat.sequence < short.unchanged_since:
            return None
        return msgspec.structs.replace(
            full_heartbeat,
            sequence=short.sequence,
            echo=short.echo,
            echo_incarnation=short.echo_incarnation,
            store_age_ms=short.store_age_ms,
        )

    def accept(
        self, heartbeat: Heartbeat, incarnations: Collection[int], now_s: float
    ) -> str | None:
        """Accept a heartbeat if it is newer than the accepted ones.

        Its evidence counts only after :meth:`count_evidence`.

        :param heartbeat: a heartbeat of this peer.
        :param incarnations: the incarnations of this run of this host, the present one last. An
            echo of an earlier one shows that the heartbeat is new, but is no evidence.
        :param now_s: loop time of arrival.
        :returns: the reason for dropping it, or None if it was accepted.
        """
        echo = heartbeat.echo if heartbeat.echo_incarnation in incarnations else 0
        reason = self._reason_to_drop(heartbeat, echo)
        if reason == OTHER_RUN:
            # A new run lacks what earlier ones had accepted, and can echo only a full heartbeat.
            self._last_echo = 0
        if reason is not None:
            return reason
        self._newest_echo = max(self._newest_echo, echo)
        evidence_s = self._sent_s.get(echo)
        # A missing or unknown echo shows that the peer restarted or removed this host meanwhile.
        self._last_echo = 0 if evidence_s is None else echo
        self.last = ReceivedHeartbeat(heartbeat, now_s, evidence_s)
        return None

    def count_evidence(self) -> None:
        """Count the evidence of the last heartbeat, once its content has been processed.

        Until then, what this host knows is older than the evidence.
        """
        evidence_s = None if self.last is None else self.last.evidence_s
        if evidence_s is not None:
            self.evidence_s = max(evidence_s, self.evidence_s or evidence_s)

    def note_full(self, heartbeat: Heartbeat) -> None:
        """Keep an accepted full heartbeat to restore short ones from."""
        self._last_full_heartbeat = heartbeat

    def _reason_to_drop(self, heartbeat: Heartbeat, echo: int) -> str | None:
        if self.last is None:
            return None
        last = self.last.heartbeat
        is_same_run = heartbeat.incarnation == last.incarnation
        if is_same_run and heartbeat.sequence > last.sequence:
            return None
        # The numbers of two runs have no order. An echo newer than all earlier ones proves that
        # this heartbeat is not a delayed one of a run that has ended.
        is_identified = is_same_run and heartbeat.incarnation != NO_INCARNATION
        if echo > self._newest_echo and not is_identified:
            return None
        return "old_sequence" if is_same_run else OTHER_RUN
