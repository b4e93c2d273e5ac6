"""Metrics of rate limits and slot permits, in the host's registry."""

import weakref

from pistachiowinch.base.codes import Refusal, ResultCode
from pistachiowinch.base.instruments import Counter
from pistachiowinch.base.metrics import Metrics

__all__ = ["LimitCounters", "limit_counters"]

_counters_by_metrics: weakref.WeakKeyDictionary = weakref.WeakKeyDictionary()


class LimitCounters:
    """Counters of refusals, rate tokens and slot permits of one host."""

    def __init__(self, metrics: Metrics) -> None:
        """Register the counters; use :func:`limit_counters` instead."""
        self._refusals = metrics.refusals
        self._tokens = metrics.add(
            Counter("pistachiowinch_rate_tokens", "Rate tokens by what happened to them", ["event"])
        )
        self._permits = metrics.add(
            Counter(
                "pistachiowinch_permit_events",
                "Slot permits and requests by what happened to them",
                ["event"],
            )
        )

    def refuse(self, code: ResultCode, detail: str) -> Refusal:
        """Create a refusal and count it."""
        self._refusals.labels(code.label).inc()
        return Refusal(code, detail)

    def count_tokens(self, event: str, amount: float) -> None:
        """Count rate tokens by event, such as ``borrowed``, ``returned`` or ``expired``."""
        if amount > 0.0:
            self._tokens.labels(event).inc(amount)

    def count_permits(self, event: str, amount: int = 1) -> None:
        """Count permits by event, such as ``granted``, ``expired`` or ``fallback``."""
        if amount:
            self._permits.labels(event).inc(amount)


def limit_counters(metrics: Metrics) -> LimitCounters:
    """Return the counters for a host's metrics; always the same object for the same metrics."""
    counters = _counters_by_metrics.get(metrics)
    if counters is None:
        counters = LimitCounters(metrics)
        _counters_by_metrics[metrics] = counters
    return counters
