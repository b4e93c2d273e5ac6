"""Decides whether this host may serve with the configuration that it has.

A host that hears of no newer configuration cannot conclude that there is none: those that it hears
may not have heard of it either. It therefore serves while it has recent evidence, dated with the
time at which that was requested from the store, of one of two facts: its configuration is the
newest one, or the store did not answer this host. In the second case no host could do better, and
operators may have lost the store as well.
"""

from collections.abc import Callable

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog

__all__ = ["ConfigurationCurrency"]


class ConfigurationCurrency:
    """Evidence for the configuration that is in force on this host.

    :param as_of_s: returns the loop time as of which the configuration is known to be the newest.
    :param unanswered_s: returns the loop time at which the newest read that the store did not
        answer was sent.
    :param limit_s: age above which evidence no longer counts.
    :param log: receives this part's decisions.
    """

    def __init__(
        self,
        as_of_s: Callable[[], float],
        unanswered_s: Callable[[], float],
        limit_s: float,
        log: DecisionLog,
    ) -> None:
        """Create an object without evidence."""
        self._as_of_s = as_of_s
        self._unanswered_s = unanswered_s
        self._limit_s = limit_s
        self._log = log
        self._logged = (False, True)

    @property
    def age_s(self) -> float:
        """Age of the evidence that the configuration is the newest; infinite before any."""
        return now_s() - self._as_of_s()

    @property
    def may_serve(self) -> bool:
        """Whether callers may be served with the configuration."""
        return now_s() - max(self._as_of_s(), self._unanswered_s()) <= self._limit_s

    def update(self, version: int) -> None:
        """Log when the evidence becomes too old or is renewed, and whether the host serves.

        :param version: the configuration's version.
        """
        is_unproven = self.age_s > self._limit_s
        state = (is_unproven, self.may_serve)
        if state != self._logged:
            self._logged = state
            event = "configuration_unproven" if is_unproven else "configuration_proven"
            self._log.write(
                event, version=version, age_s=round(self.age_s, 3), may_serve=self.may_serve
            )
