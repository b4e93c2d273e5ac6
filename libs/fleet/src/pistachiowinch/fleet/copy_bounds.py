"""Times that keep a host's copy of the store's keys as new as operators demand.

All of them are measured from the time at which the evidence for a copy was requested from the
store, by this host or by a voter, and not from the time at which this host heard of a change. They
follow one another within the time in which a confirmed change must be in force: a poll that finds
no change, a read of the store because the voters' evidence is too old, the failure of that read,
and the limit at which the host no longer serves with its copy.
"""

from typing import NamedTuple

__all__ = ["DEFAULT_APPLY_TIMEOUT_S", "CopyBounds"]

# Time in which a change must be in force if the settings state none.
DEFAULT_APPLY_TIMEOUT_S = 5.0
# Parts of that time. Evidence that passes through a voter's heartbeat is 0.65 s older than its
# poll; a read of the store that starts later could fail after the limit.
POLL_FRACTION = 0.4
DIRECT_READ_FRACTION = 0.6
# Part of the time that is left for clocks that run at different rates.
LIMIT_MARGIN_S = 0.2
# Time from the end of a delay to the failure of the read that follows: a follower's retry delay,
# and the timeout of a call.
NEXT_FAILURE_S = 1.4
MIN_RETRY_DELAY_S = 0.3


class CopyBounds(NamedTuple):
    """Bounds for copies under one limit.

    :param apply_within_s: time in which a confirmed change must be in force.
    """

    apply_within_s: float = DEFAULT_APPLY_TIMEOUT_S

    @property
    def poll_wait_s(self) -> float:
        """Time for which a poll waits for changes; a voter's copy is never older when idle."""
        return self.apply_within_s * POLL_FRACTION

    @property
    def direct_read_age_s(self) -> float:
        """Age at which a copy that voters keep is read from the store itself."""
        return self.apply_within_s * DIRECT_READ_FRACTION

    @property
    def age_limit_s(self) -> float:
        """Age of the evidence above which a copy may lack a change that has to be in force."""
        return self.apply_within_s - LIMIT_MARGIN_S

    def retry_delay_s(self, took_s: float) -> float:
        """Return the longest delay after a failed read whose successor fails within the limit.

        :param took_s: time that the failed read took.
        """
        return max(self.age_limit_s - NEXT_FAILURE_S - took_s, MIN_RETRY_DELAY_S)
