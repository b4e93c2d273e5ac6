"""Budget of retries for each customer, so that retries cannot multiply an overload."""

from pistachiowinch.base.codes import RETRY_BUDGET_EXHAUSTED
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.limits.counters import limit_counters

__all__ = ["RetryBudget"]

RETRIES_PER_SUCCESS = 0.1
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Retries that each customer may still use; it starts with a full budget.

    :param metrics: counters of refusals.
    """

    def __init__(self, metrics: Metrics | None = None) -> None:
        """Create a budget without customers."""
        self._counters = limit_counters(metrics or Metrics())
        self._saved: dict[str, float] = {}

    def try_spend(self, customer: str) -> bool:
        """Take one retry from the customer's budget if there is one."""
        saved = self._saved.get(customer, MAX_SAVED_RETRIES)
        # The tolerance covers ten additions of 0.1.
        if saved < 1.0 - 1e-9:
            self._counters.refuse(RETRY_BUDGET_EXHAUSTED, "no retry is left")
            return False
        self._saved[customer] = saved - 1.0
        return True

    def record_success(self, customer: str) -> None:
        """Add a part of a retry for a request that succeeded."""
        saved = self._saved.get(customer)
        if saved is None:
            return
        saved += RETRIES_PER_SUCCESS
        if saved >= MAX_SAVED_RETRIES:
            # A full budget is the default, so idle customers need no memory.
            del self._saved[customer]
        else:
            self._saved[customer] = saved
