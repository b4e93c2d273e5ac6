"""Detect pool hosts that died, froze or were cut off, from the answers that they owe.

Load pattern: a host that holds the connections to a primary is killed while most other hosts have
statements at it. Statements take up to a second, so a late answer alone says nothing; a host that
is asked whether it lives and does not answer is avoided until it does.
"""

import math
from collections.abc import Set

from pistachiowinch.base.clock import now_s

__all__ = ["PING_TIMEOUT_S", "PoolContacts"]

# Age of an unanswered statement at which its pool host is asked whether it lives.
QUIET_LIMIT_S = 0.15
# Many times a round trip between two hosts; a busy event loop answers late, and moving its work to
# another host would only open its connections twice.
PING_TIMEOUT_S = 0.5
# Interval of the questions to an avoided host.
AVOIDED_PING_INTERVAL_S = 0.5
# Time for which a host that declined for a reason of its own is not asked again.
DECLINED_PAUSE_S = 0.5


class _Contact:
    __slots__ = ("avoided_until_s", "earlier_runs", "heard_s", "is_lost", "next_ping_s", "run")

    def __init__(self) -> None:
        self.run = 0
        self.earlier_runs: set[int] = set()
        self.heard_s = -math.inf
        self.is_lost = False
        self.avoided_until_s = -math.inf
        self.next_ping_s = -math.inf


class PoolContacts:
    """What this host knows of the pool hosts that it uses."""

    def __init__(self) -> None:
        """Create a record without hosts."""
        self._contacts: dict[str, _Contact] = {}
        self._cut_off_until_s: dict[tuple[str, str], float] = {}

    def may_use(self, host: str) -> bool:
        """Whether new statements may be handed to a host."""
        contact = self._contacts.get(host)
        return contact is None or not (contact.is_lost or now_s() < contact.avoided_until_s)

    def note_heard(self, host: str) -> None:
        """Record a message of a host."""
        contact = self._contact(host)
        contact.heard_s = now_s()
        contact.is_lost = False

    def note_run(self, host: str, run: int) -> bool:
        """Record the incarnation of a host; an outdated one is ignored.

        :returns: whether another incarnation was known, which answers nothing any more.
        """
        contact = self._contact(host)
        if run == contact.run or run in contact.earlier_runs:
            return False
        is_restart = contact.run != 0
        contact.earlier_runs.add(contact.run)
        contact.run = run
        return is_restart

    def note_lost(self, host: str) -> bool:
        """Record that a host did not answer the question whether it lives.

        :returns: whether it was believed to be alive.
        """
        contact = self._contact(host)
        was_lost = contact.is_lost
        contact.is_lost = True
        return not was_lost

    def note_declined(self, host: str) -> None:
        """Record that a host accepts no statements for a reason of its own."""
        self._contact(host).avoided_until_s = now_s() + DECLINED_PAUSE_S

    def note_cut_off(self, host: str, target: str) -> None:
        """Record that a host does not reach a target."""
        self._cut_off_until_s[host, target] = now_s() + DECLINED_PAUSE_S

    def is_cut_off(self, host: str, target: str) -> bool:
        """Whether a host said lately that it does not reach a target."""
        until_s = self._cut_off_until_s.get((host, target))
        if until_s is not None and now_s() >= until_s:
            del self._cut_off_until_s[host, target]
            return False
        return until_s is not None

    def due_pings(self, oldest_sent_s: dict[str, float]) -> list[str]:
        """Return the hosts to ask now.

        :param oldest_sent_s: by host, when the oldest unanswered statement was handed to it.
        """
        at_s = now_s()
        due = []
        for host, sent_s in oldest_sent_s.items():
            contact = self._contact(host)
            quiet_since_s = max(sent_s, contact.heard_s)
            if at_s - quiet_since_s > QUIET_LIMIT_S and at_s >= contact.next_ping_s:
                due.append(host)
        for host, contact in self._contacts.items():
            if contact.is_lost and at_s >= contact.next_ping_s and host not in due:
                due.append(host)
        for host in due:
            self._contact(host).next_ping_s = at_s + (
                AVOIDED_PING_INTERVAL_S if self._contact(host).is_lost else PING_TIMEOUT_S
            )
        return due

    def keep_only(self, known: Set[str]) -> None:
        """Drop the hosts that left the fleet."""
        for host in self._contacts.keys() - known:
            del self._contacts[host]
        for key in [key for key in self._cut_off_until_s if key[0] not in known]:
            del self._cut_off_until_s[key]

    def _contact(self, host: str) -> _Contact:
        contact = self._contacts.get(host)
        if contact is None:
            contact = self._contacts[host] = _Contact()
        return contact
