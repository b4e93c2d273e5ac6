"""Decide whether a request should wait for a target of a service that has none to offer.

Load pattern: a primary is lost, or this host's zone is cut off, and callers keep sending at their
usual rate with time limits of 1 s. While a switch usually takes, waiting serves them; later it only
keeps them from asking another host.
"""

from collections.abc import Mapping

from pistachiowinch.base.clock import now_s

__all__ = ["ServiceOutages"]

# Detection of a lost primary and a switch usually take less.
USUAL_SWITCH_S = 2.0


class ServiceOutages:
    """Services whose primary, or whose every target, cannot be used by this host."""

    def __init__(self) -> None:
        """Create a record without outages."""
        self._primary_since_s: dict[str, float] = {}
        self._targets_since_s: dict[str, float] = {}
        self._services = 0

    def update(self, has_primary: Mapping[str, bool], has_target: Mapping[str, bool]) -> None:
        """Record which services have a usable primary, and any usable target, now."""
        self._services = len(has_primary)
        self._primary_since_s = _since(self._primary_since_s, has_primary)
        self._targets_since_s = _since(self._targets_since_s, has_target)

    def age_s(self, service: str, must_be_primary: bool) -> float:
        """Return for how long no usable target was known; 0 if there is one."""
        since = self._primary_since_s if must_be_primary else self._targets_since_s
        return now_s() - since[service] if service in since else 0.0

    def is_hopeless(self, service: str, must_be_primary: bool, budget_s: float) -> bool:
        """Whether a request should be refused at once.

        An outage that has outlasted a usual switch is expected to last as long again.

        :param must_be_primary: whether only the primary may serve the request.
        :param budget_s: time that the request could wait.
        """
        return self.age_s(service, must_be_primary) > max(budget_s, USUAL_SWITCH_S)

    @property
    def is_cut_off(self) -> bool:
        """Whether most services have lacked a usable primary for longer than a usual switch."""
        since_s = self._primary_since_s.values()
        lost = sum(now_s() - start_s > USUAL_SWITCH_S for start_s in since_s)
        return 2 * lost > self._services


def _since(known: Mapping[str, float], is_usable: Mapping[str, bool]) -> dict[str, float]:
    """Return the start of each outage: the known one if it goes on, else now."""
    return {
        service: known.get(service, now_s()) for service, usable in is_usable.items() if not usable
    }
