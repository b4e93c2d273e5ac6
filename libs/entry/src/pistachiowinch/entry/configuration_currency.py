"""Tracks how old the evidence is that this host's configuration is the newest one."""

from collections.abc import Callable

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog

__all__ = ["ConfigurationCurrency"]


class ConfigurationCurrency:
    """Age of the evidence for the configuration that is in force on this host.

    :param as_of_s: returns the loop time as of which the configuration is known to be the newest.
    :param limit_s: returns the age above which the configuration may be outdated.
    :param log: receives this part's decisions.
    """

    def __init__(
        self, as_of_s: Callable[[], float], limit_s: Callable[[], float], log: DecisionLog
    ) -> None:
        """Create a tracker without evidence."""
        self._as_of_s = as_of_s
        self._limit_s = limit_s
        self._log = log
        self._was_unproven = False

    @property
    def age_s(self) -> float:
        """Age of the evidence; infinite before the first read."""
        return now_s() - self._as_of_s()

    def update(self, version: int) -> None:
        """Log when the evidence becomes too old, and when it is renewed.

        :param version: the configuration's version.
        """
        is_unproven = self.age_s > self._limit_s()
        if is_unproven != self._was_unproven:
            self._was_unproven = is_unproven
            event = "configuration_unproven" if is_unproven else "configuration_proven"
            self._log.write(event, version=version, age_s=round(self.age_s, 3))
