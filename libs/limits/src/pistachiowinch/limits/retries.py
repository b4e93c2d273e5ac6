"""Retry budget of each customer, so that retries cannot amplify an overload."""

from pistachiowinch.base.codes import RETRY_BUDGET_EXHAUSTED
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.limits.counters import limit_counters

__all__ = ["RetryBudget"]

RETRIES_PER_SUCCESS = 0.1
MAX_BUDGET_RETRIES = 10.0


class RetryBudget:
    """Retries that each customer may still use; every customer starts with a full budget.

    :param metrics: counters of refusals.
    """

    def __init__(self, metrics: Metrics | None = None) -> None:
        """Create a budget without customers."""
        self._counters = limit_counters(metrics or Metrics())
        self._remaining: dict[str, float] = {}

    def try_spend(self, customer: str) -> bool:
        """Take one retry from the customer's budget if one is left."""
        remaining = self._remaining.get(customer, MAX_BUDGET_RETRIES)
        # The tolerance covers the rounding error of ten additions of 0.1.
        if remaining < 1.0 - 1e-9:
            self._counters.refuse(RETRY_BUDGET_EXHAUSTED, "no retry is left")
            return False
        self._remaining[customer] = remaining - 1.0
        return True

    def record_success(self, customer: str) -> None:
        """Add a fraction of a retry to the customer's budget for a request that succeeded."""
        remaining = self._remaining.get(customer)
        if remaining is None:
            return
        remaining += RETRIES_PER_SUCCESS
        if remaining >= MAX_BUDGET_RETRIES:
            # A full budget is the default, so it need not be stored.
            del self._remaining[customer]
        else:
            self._remaining[customer] = remaining
