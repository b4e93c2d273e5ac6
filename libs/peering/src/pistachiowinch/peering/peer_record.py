"""What one host remembers about one peer: sequence numbers, echoes and evidence."""

from collections import OrderedDict

import msgspec

from pistachiowinch.base.identity import NO_INCARNATION
from pistachiowinch.peering.messages import Heartbeat, ReceivedHeartbeat, ShortHeartbeat

__all__ = ["PeerRecord"]

# Send times that are kept for echoes; at five heartbeats a second this is 12 s, longer than any
# use of evidence.
KEPT_SEND_TIMES = 64


def _content_of(heartbeat: Heartbeat) -> Heartbeat:
    return msgspec.structs.replace(
        heartbeat, sequence=0, echo=0, echo_incarnation=0, store_age_ms=0
    )


class PeerRecord:
    """Accepts or drops a peer's heartbeats and dates them.

    :param known_since_s: loop time at which this peer became known; silence is counted from it.
    """

    def __init__(self, known_since_s: float) -> None:
        """Create a record of a peer that was not heard yet."""
        self.known_since_s = known_since_s
        self.last: ReceivedHeartbeat | None = None
        self.evidence_s: float | None = None
        self._newest_echo = 0
        self._newest_incarnation = NO_INCARNATION
        self._sent_s: OrderedDict[int, float] = OrderedDict()
        self._content: Heartbeat | None = None
        self._unchanged_since = 0
        self._last_echo = 0
        self._last_full: Heartbeat | None = None

    @property
    def heard_s(self) -> float:
        """Loop time of the last accepted heartbeat, or since when the peer is known."""
        return self.known_since_s if self.last is None else self.last.received_s

    @property
    def echo(self) -> tuple[int, int]:
        """Newest accepted sequence number and the incarnation that it belongs to."""
        if self.last is None:
            return 0, NO_INCARNATION
        return self.last.heartbeat.sequence, self.last.heartbeat.incarnation

    def start_run(self) -> None:
        """Forget what was sent under another incarnation of this host."""
        self._sent_s.clear()
        self._newest_echo = 0
        self._last_echo = 0

    def note_sent(self, sequence: int, now_s: float) -> None:
        """Remember when a heartbeat to the peer was sent."""
        self._sent_s[sequence] = now_s
        if len(self._sent_s) > KEPT_SEND_TIMES:
            self._sent_s.popitem(last=False)

    def shorten(self, heartbeat: Heartbeat) -> Heartbeat | ShortHeartbeat:
        """Leave out what the peer has already received from this run of this host.

        An echo proves that the peer accepted a full heartbeat with the same content, or a later
        one. Until then, and after a change or a restart of the peer, full ones are sent.
        """
        content = _content_of(heartbeat)
        if content != self._content:
            self._content = content
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
        """Build the full heartbeat; None if its content was not received from the same run."""
        full = self._last_full
        if full is None or full.incarnation != short.incarnation:
            return None
        if full.sequence < short.unchanged_since:
            return None
        return msgspec.structs.replace(
            full,
            sequence=short.sequence,
            echo=short.echo,
            echo_incarnation=short.echo_incarnation,
            store_age_ms=short.store_age_ms,
        )

    def accept(self, heartbeat: Heartbeat, incarnation: int, now_s: float) -> str | None:
        """Take a heartbeat if it is newer than the accepted ones.

        :param heartbeat: a heartbeat of this peer.
        :param incarnation: this host's incarnation.
        :param now_s: loop time of arrival.
        :returns: why it was dropped, or None if it was accepted.
        """
        echo = heartbeat.echo if heartbeat.echo_incarnation == incarnation else 0
        reason = self._reason_to_drop(heartbeat, echo)
        if reason is not None:
            return reason
        evidence_s = self._sent_s.get(echo)
        self._newest_echo = max(self._newest_echo, echo)
        self._newest_incarnation = max(self._newest_incarnation, heartbeat.incarnation)
        if evidence_s is not None:
            self.evidence_s = max(evidence_s, self.evidence_s or evidence_s)
        # An echo that this run did not send, or none, shows that the peer forgot or restarted.
        self._last_echo = 0 if evidence_s is None else echo
        self.last = ReceivedHeartbeat(heartbeat, now_s, evidence_s)
        return None

    def note_full(self, heartbeat: Heartbeat) -> None:
        """Keep an accepted full heartbeat for completing short ones."""
        self._last_full = heartbeat

    def _reason_to_drop(self, heartbeat: Heartbeat, echo: int) -> str | None:
        if self.last is None:
            return None
        known = self.last.heartbeat
        if heartbeat.incarnation == known.incarnation and heartbeat.sequence > known.sequence:
            return None
        if heartbeat.incarnation > self._newest_incarnation:
            return None
        # A host that restarts while the store is down has no incarnation that shows the new run.
        # An echo newer than every earlier one proves that this heartbeat is not a delayed one.
        if heartbeat.incarnation == NO_INCARNATION and echo > self._newest_echo:
            return None
        if heartbeat.incarnation != known.incarnation:
            return "old_incarnation"
        return "old_sequence"
