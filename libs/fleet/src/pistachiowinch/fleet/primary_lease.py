"""Lease under which this host may send work to the primaries that it knows.

A switch of a primary is written to the store, and acknowledged by a majority of the voters, before
the promotion is ordered. A host that recently heard from a majority or from the store therefore
knows of every switch that can take effect before its lease expires.

Hosts that lost the store still form majorities with each other. They remain members, and can deny a
majority to a promoter that reaches the store, until their leases have certainly expired.

Two majorities that are in use at the same time must share a host. They are therefore counted over
the recorded voter set, which changes in steps, and not over the members, which each host may add
or remove at any time.
"""

import math
from collections.abc import Callable, Mapping

from pistachiowinch.base.clock import now_s

__all__ = ["PRIMARY_LEASE_S", "STORE_ABSENCE_LIMIT_S", "PrimaryLease", "includes_majority"]

# Allows for two lost heartbeats in a row, sent every 0.2 s. A promotion waits this long for hosts
# that do not answer.
PRIMARY_LEASE_S = 0.8
# Longer than the users' store outages, which last up to 9 s. After this time a host must not rely
# on its peers alone, because it may have been removed from the members.
STORE_ABSENCE_LIMIT_S = 15.0


def includes_majority(voters: frozenset[str], contacts: frozenset[str]) -> bool:
    """Return whether the contacts include more than half of the voters.

    :param voters: names of all voters.
    :param contacts: names of hosts with fresh evidence, including this host.
    """
    return 2 * len(voters & contacts) > len(voters)


class PrimaryLease:
    """A lease that evidence from the peers or from the store extends.

    :param voters: returns the names of the recorded voters; empty if none are recorded, which
        leaves only the store as evidence.
    :param evidence_s: returns the loop times as of which the hosts' evidence holds, by host.
    :param store_as_of_s: returns the loop time as of which the store's records are known.
    :param listed_as_of_s: returns the loop time as of which the store is known to list this host
        as a member. A promoter does not wait for a host that is not listed.
    :param is_store_complete: returns whether the store has all records that hosts have written; a
        restored one has lost some at first.
    :param is_forgetful: returns whether this host may have known records that it has lost.
    """

    def __init__(
        self,
        voters: Callable[[], frozenset[str]],
        evidence_s: Callable[[], Mapping[str, float]],
        store_as_of_s: Callable[[], float],
        listed_as_of_s: Callable[[], float],
        is_store_complete: Callable[[], bool] = lambda: True,
        is_forgetful: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create a lease from its sources of evidence."""
        self._is_forgetful = is_forgetful
        self._is_store_complete = is_store_complete
        self._voters = voters
        self._evidence_s = evidence_s
        self._store_as_of_s = store_as_of_s
        self._listed_as_of_s = listed_as_of_s

    @property
    def is_listed(self) -> bool:
        """Whether this host is certainly still a member, so that its evidence counts."""
        return now_s() - self._listed_as_of_s() <= STORE_ABSENCE_LIMIT_S

    @property
    def has_majority(self) -> bool:
        """Whether evidence from a majority of the voters keeps the lease valid."""
        return self.is_listed and now_s() < self._majority_evidence_s() + PRIMARY_LEASE_S

    @property
    def is_valid(self) -> bool:
        """Whether work may be sent to a primary now."""
        return now_s() < self.valid_until_s

    @property
    def valid_until_s(self) -> float:
        """Loop time at which the lease expires unless new evidence extends it.

        Negative infinity if no evidence counts.
        """
        if self._is_forgetful():
            return -math.inf
        store_s = self._store_as_of_s() if self._is_store_complete() else -math.inf
        evidence_s = max(store_s, self._majority_evidence_s())
        listed_until_s = self._listed_as_of_s() + STORE_ABSENCE_LIMIT_S
        return min(evidence_s + PRIMARY_LEASE_S, listed_until_s)

    def _majority_evidence_s(self) -> float:
        """Return the loop time as of which a majority of the voters has given evidence."""
        voters = self._voters()
        evidence_s = self._evidence_s()
        dates_s = sorted((evidence_s[h] for h in voters if h in evidence_s), reverse=True)
        needed = len(voters) // 2 + 1
        return dates_s[needed - 1] if len(dates_s) >= needed else -math.inf
