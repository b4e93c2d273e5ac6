"""Counters, gauges and histograms that need ``prometheus_client`` only when they are exported.

That library takes a seventh of the start-up time of a host, and its metrics are first read later.
"""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from typing import Any, Generic, TypeVar

__all__ = ["Counter", "Gauge", "Histogram", "Instrument"]

_V = TypeVar("_V")
LabelValues = tuple[str, ...]


class Instrument(Generic[_V]):
    """A metric with one value for each combination of its labels.

    :param name: full name of the metric, without the suffix of counters.
    :param text: its help text.
    :param label_names: names of its labels; without any there is one value from the start.
    """

    def __init__(self, name: str, text: str, label_names: Sequence[str] = ()) -> None:
        """Create an instrument without values."""
        self.name = name
        self.text = text
        self.label_names = tuple(label_names)
        self.values: dict[LabelValues, _V] = {}
        if not self.label_names:
            self.values[()] = self._new_value()

    def labels(self, *values: object, **named: object) -> _V:
        """Return the value of one combination of labels.

        :raises ValueError: if other labels are given than the instrument has.
        """
        if named:
            if values or set(named) != set(self.label_names):
                raise ValueError(f"{self.name} has the labels {self.label_names}")
            values = tuple(named[name] for name in self.label_names)
        if len(values) != len(self.label_names):
            raise ValueError(f"{self.name} has the labels {self.label_names}")
        key = tuple(map(str, values))
        found = self.values.get(key)
        if found is None:
            found = self.values[key] = self._new_value()
        return found

    def families(self) -> Iterator[Any]:
        """Return this metric's family for an exporter."""
        raise NotImplementedError

    def _new_value(self) -> _V:
        raise NotImplementedError


class _Number:
    """One value of a counter or a gauge."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def inc(self, amount: float = 1.0) -> None:
        """Add an amount."""
        self.value += amount

    def set(self, value: float) -> None:
        """Replace the value."""
        self.value = float(value)


class _Buckets:
    """Observations of a histogram by bucket.

    :param bounds: upper bounds of the buckets but the last one, in increasing order.
    """

    __slots__ = ("_bounds", "counts", "total")

    def __init__(self, bounds: Sequence[float]) -> None:
        self._bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Count one observation."""
        self.counts[bisect_left(self._bounds, value)] += 1
        self.total += value


class Counter(Instrument[_Number]):
    """A number that only grows."""

    def inc(self, amount: float = 1.0) -> None:
        """Add an amount to a counter without labels."""
        self.labels().inc(amount)

    def families(self) -> Iterator[Any]:
        """Return this metric's family for an exporter."""
        from prometheus_client.metrics_core import CounterMetricFamily

        family = CounterMetricFamily(self.name, self.text, labels=self.label_names)
        for labels, number in tuple(self.values.items()):
            family.add_metric(labels, number.value)
        yield family

    def _new_value(self) -> _Number:
        return _Number()


class Gauge(Instrument[_Number]):
    """A number that may be replaced."""

    def set(self, value: float) -> None:
        """Replace the value of a gauge without labels."""
        self.labels().set(value)

    def families(self) -> Iterator[Any]:
        """Return this metric's family for an exporter."""
        from prometheus_client.metrics_core import GaugeMetricFamily

        family = GaugeMetricFamily(self.name, self.text, labels=self.label_names)
        for labels, number in tuple(self.values.items()):
            family.add_metric(labels, number.value)
        yield family

    def _new_value(self) -> _Number:
        return _Number()


class Histogram(Instrument[_Buckets]):
    """Numbers of observations by size.

    :param bounds: upper bounds of the buckets, in increasing order; one without bound is added.
    """

    def __init__(
        self, name: str, text: str, label_names: Sequence[str], bounds: Sequence[float]
    ) -> None:
        """Create a histogram without observations."""
        self._bounds = tuple(bounds)
        super().__init__(name, text, label_names)

    def families(self) -> Iterator[Any]:
        """Return this metric's family for an exporter."""
        from prometheus_client.metrics_core import HistogramMetricFamily

        family = HistogramMetricFamily(self.name, self.text, labels=self.label_names)
        names = [*(str(float(bound)) for bound in self._bounds), "+Inf"]
        for labels, buckets in tuple(self.values.items()):
            sums = [sum(buckets.counts[: index + 1]) for index in range(len(names))]
            family.add_metric(labels, list(zip(names, sums, strict=True)), buckets.total)
        yield family

    def _new_value(self) -> _Buckets:
        return _Buckets(self._bounds)
