"""Counters and gauges of one host, exported by ``prometheus_client``."""

import functools
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any, TypeVar

from pistachiowinch.base.instruments import Counter, Gauge, Histogram, Instrument

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

__all__ = ["Metrics"]

_I = TypeVar("_I", bound=Instrument)
_LATENCY_BUCKETS_S = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)


class Metrics:
    """All metrics of one host, exported through a separate registry.

    The global registry is not used, because one process may run several hosts, as the demo does.
    """

    def __init__(self) -> None:
        """Create all metrics at zero."""
        self._instruments: list[Instrument] = []
        self.refusals = self._counter("refusals", "Refused requests", "reason")
        self.retries = self._counter("retries", "Retried requests", "reason")
        self.statements = self._counter("statements", "Statements answered", "route")
        self.store_calls = self._counter("store_calls", "Calls to the store", "kind", "outcome")
        self.peer_messages = self._counter("peer_messages", "Peer messages", "direction", "kind")
        self.peer_bytes = self._counter("peer_bytes", "Bytes of peer messages", "direction")
        self.promotions = self._counter("promotions", "Promotions by outcome", "outcome")
        self.usage_windows = self._counter(
            "usage_windows", "Windows of usage by outcome of their report", "outcome"
        )
        self.ledger_lookups = self._counter("ledger_lookups", "Outcome look-ups", "outcome")
        self.connections_closed = self._counter(
            "target_connections_closed", "Target connections closed", "reason"
        )
        self.callers_closed = self._counter(
            "callers_closed", "Caller connections closed by a limit", "reason"
        )
        self.caller_memory = self._gauge("caller_memory_bytes", "Memory charged to callers")
        self.config_version = self._gauge("config_version", "Configuration version in force")
        self.configuration_age = self._gauge(
            "configuration_age_seconds", "Age of the evidence that the configuration is the newest"
        )
        self.roster_epoch = self._gauge("roster_epoch", "Roster epoch in force")
        self.has_standing = self._gauge("has_standing", "1 while the host takes new work")
        self.sessions = self._gauge("sessions", "Open caller sessions")
        self.queue_length = self._gauge("queue_length", "Waiting requests", "service")
        self.zone_leaving_share = self._gauge(
            "zone_leaving_share", "Share of recent reads sent to other zones", "service"
        )
        self.statement_seconds = self.add(
            Histogram(
                "pistachiowinch_statement_seconds",
                "Time from a statement's arrival to its answer",
                ["route"],
                _LATENCY_BUCKETS_S,
            )
        )

    def add(self, instrument: _I) -> _I:
        """Export an instrument with the others, and return it."""
        self._instruments.append(instrument)
        return instrument

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return self.add(Counter(f"pistachiowinch_{name}", text, labels))

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return self.add(Gauge(f"pistachiowinch_{name}", text, labels))

    def collect(self) -> Iterator[Any]:
        """Return the families of all metrics, as a collector of ``prometheus_client``."""
        for instrument in self._instruments:
            yield from instrument.families()

    @functools.cached_property
    def registry(self) -> "CollectorRegistry":
        """Registry of ``prometheus_client`` that exports the metrics; imported at the first use."""
        from prometheus_client import CollectorRegistry

        registry = CollectorRegistry()
        registry.register(self)
        return registry

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import generate_latest

        return generate_latest(self.registry)
