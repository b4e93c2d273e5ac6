"""Guards against measurements that differ from run to run or miss an excess over a rate."""

from pistachiowinch.limits.rates import EqualSplit, RateLimit
from pistachiowinch.measure.control_cost import ControlCost, fit_slope
from pistachiowinch.measure.rates import RateScenario, count_excess, measure_rates


def test_rates_are_the_same_on_each_run_and_the_static_split_refuses_more():
    figures = measure_rates(1, RateScenario(duration_s=1.0))
    assert figures._replace(encoded_bytes=0) == measure_rates(
        1, RateScenario(duration_s=1.0)
    )._replace(encoded_bytes=0)
    assert figures.refused == 0 and figures.excess == 0
    assert measure_rates(1, RateScenario(EqualSplit(), duration_s=1.0)).refused_fraction > 0.5


def test_excess_is_counted_in_every_window():
    limit = RateLimit(10.0, 2.0)
    assert count_excess([0.0, 0.0, 0.1, 0.2], limit) == 0
    assert count_excess([5.0, 5.0, 5.05, 5.1], limit) == 1


def test_slope_is_fitted_over_the_size_of_the_site():
    costs = [ControlCost(size, 100.0 * size, 0.0, 0.0, 0.0) for size in (3, 5, 9)]
    assert round(fit_slope(costs, "bytes_per_s"), 6) == 100.0
