"""Budgets that keep retries from amplifying an overload."""

__all__ = ["MAX_SAVED_RETRIES", "RETRIES_PER_SUCCESS", "RetryBudget"]

RETRIES_PER_SUCCESS = 0.1
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """One budget for each customer; it starts full."""

    def __init__(self) -> None:
        """Start with full budgets."""
        self._saved: dict[str, float] = {}

    def try_spend(self, customer: str) -> bool:
        """Take one retry.

        :param customer: whose budget pays.
        :returns: false if less than one retry is saved.
        """
        saved = self._saved.get(customer, MAX_SAVED_RETRIES)
        if saved < 1.0:
            return False
        self._saved[customer] = saved - 1.0
        return True

    def record_success(self, customer: str) -> None:
        """Earn a part of a retry.

        :param customer: whose request succeeded.
        """
        saved = self._saved.get(customer)
        if saved is None:
            return
        saved += RETRIES_PER_SUCCESS
        if saved >= MAX_SAVED_RETRIES:
            del self._saved[customer]
        else:
            self._saved[customer] = saved
