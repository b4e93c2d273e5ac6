"""Tracks whether peers have a newer configuration than this host, and for how long."""

from collections.abc import Callable

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog

__all__ = ["ConfigurationLag"]

_NONE = -1


class ConfigurationLag:
    """Newest version that peers have announced, and since when this host lacks it.

    :param limit_s: returns the time after which a host that lacks a version is overdue.
    :param log: receives this part's decisions.
    """

    def __init__(self, limit_s: Callable[[], float], log: DecisionLog) -> None:
        """Create a tracker that has heard of no version."""
        self._limit_s = limit_s
        self._log = log
        self._applied_version = _NONE
        self._heard_version = _NONE
        self._since_s: float | None = None
        self._was_overdue = False

    @property
    def is_overdue(self) -> bool:
        """Whether this host has lacked a newer version for longer than the limit."""
        return self._since_s is not None and now_s() - self._since_s > self._limit_s()

    def note_announced(self, version: int, peer: str) -> bool:
        """Record the version that a peer has applied.

        :returns: whether this host has a configuration, and the peer a newer one.
        """
        if not version > self._applied_version > _NONE:
            return False
        if version > self._heard_version:
            self._heard_version = version
            self._log.write(
                "configuration_announced", version=version, own=self._applied_version, peer=peer
            )
        if self._since_s is None:
            self._since_s = now_s()
        return True

    def note_applied(self, version: int) -> None:
        """Record the version that this host has applied."""
        self._applied_version = version
        if self._since_s is not None and version >= self._heard_version:
            lag_s = round(now_s() - self._since_s, 3)
            self._log.write("configuration_caught_up", version=version, lag_s=lag_s)
            self._since_s = None

    def update(self) -> None:
        """Log when this host becomes overdue, and when it no longer is."""
        if self.is_overdue != self._was_overdue:
            self._was_overdue = self.is_overdue
            event = "configuration_overdue" if self._was_overdue else "configuration_overdue_ended"
            self._log.write(event, version=self._heard_version, own=self._applied_version)
