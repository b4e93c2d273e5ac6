"""Guards against retries that amplify an overload."""

from pistachiowinch.base.metrics import Metrics
from pistachiowinch.limits.retries import RetryBudget


def test_budget_holds_at_most_ten_retries_and_gains_a_tenth_per_success():
    metrics = Metrics()
    budget = RetryBudget(metrics)
    for _ in range(1000):
        budget.record_success("c")
    assert [budget.try_spend("c") for _ in range(11)] == [True] * 10 + [False]
    for _ in range(10):
        assert not budget.try_spend("c")
        budget.record_success("c")
    assert budget.try_spend("c") and not budget.try_spend("c")
    assert budget.try_spend("d")
    assert metrics.refusals.labels("retry_budget_exhausted").value == 12
