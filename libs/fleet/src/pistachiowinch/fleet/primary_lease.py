"""Whether this host may still trust what it knows about the primaries.

A switch of a primary is written to the store, and acknowledged by a majority of the hosts, before
the promotion is ordered. A host that has heard from a majority lately, or from the store itself,
therefore knows of every switch that may take effect within the proof's lifetime.

Hosts that lost the store still form majorities with each other. They count, and keep a promoter on
the store's side from a majority, until they have been away for so long that their proofs ended.
"""

from collections.abc import Callable

from pistachiowinch.base.clock import now_s

__all__ = ["PRIMARY_LEASE_S", "STORE_ABSENCE_LIMIT_S", "PrimaryLease", "includes_majority"]

# Two heartbeats of 0.2 s in a row may be lost; a promotion waits this long for silent hosts.
PRIMARY_LEASE_S = 0.8
# Longer than the store is away, which is up to 9 s on the users' days. After that a host must not
# rely on its peers alone, because it may have been removed from the members.
STORE_ABSENCE_LIMIT_S = 15.0


def includes_majority(voters: frozenset[str], contacts: frozenset[str]) -> bool:
    """Tell whether more than half of the voters were heard in time.

    :param voters: all hosts that count.
    :param contacts: hosts with fresh evidence, this one included.
    """
    return 2 * len(voters & contacts) > len(voters)


class PrimaryLease:
    """Combines the evidence of peers and of the store.

    :param voters: returns the names of all hosts that count.
    :param contacts: returns the hosts with evidence younger than so many seconds.
    :param store_proved_s: returns the loop time up to which the store's records are known.
    """

    def __init__(
        self,
        voters: Callable[[], frozenset[str]],
        contacts: Callable[[float], frozenset[str]],
        store_proved_s: Callable[[], float],
    ) -> None:
        """Create a proof from its sources."""
        self._voters = voters
        self._contacts = contacts
        self._store_proved_s = store_proved_s

    @property
    def has_majority(self) -> bool:
        """Whether peers alone prove that the primaries are current."""
        if now_s() - self._store_proved_s() > STORE_ABSENCE_LIMIT_S:
            return False
        return includes_majority(self._voters(), self._contacts(PRIMARY_LEASE_S))

    @property
    def is_valid(self) -> bool:
        """Whether work for a primary may be sent now."""
        return now_s() - self._store_proved_s() < PRIMARY_LEASE_S or self.has_majority
