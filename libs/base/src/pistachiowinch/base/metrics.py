"""Counters and gauges of one host, exported by ``prometheus_client``."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

__all__ = ["Metrics"]

_LATENCY_BUCKETS_S = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)


class Metrics:
    """All metrics of one host, in a separate registry.

    The global registry is not used, because one process may run several hosts, as the demo does.
    """

    def __init__(self) -> None:
        """Create all metrics at zero."""
        self.registry = CollectorRegistry()
        self.refusals = self._counter("refusals", "Refused requests", "reason")
        self.retries = self._counter("retries", "Retried requests", "reason")
        self.statements = self._counter("statements", "Statements answered", "route")
        self.store_calls = self._counter("store_calls", "Calls to the store", "kind", "outcome")
        self.peer_messages = self._counter("peer_messages", "Peer messages", "direction", "kind")
        self.peer_bytes = self._counter("peer_bytes", "Bytes of peer messages", "direction")
        self.promotions = self._counter("promotions", "Promotions by outcome", "outcome")
        self.ledger_lookups = self._counter("ledger_lookups", "Outcome look-ups", "outcome")
        self.connections_closed = self._counter(
            "target_connections_closed", "Target connections closed", "reason"
        )
        self.callers_closed = self._counter(
            "callers_closed", "Caller connections closed by a limit", "reason"
        )
        self.caller_memory = self._gauge("caller_memory_bytes", "Memory charged to callers")
        self.config_version = self._gauge("config_version", "Configuration version in force")
        self.roster_epoch = self._gauge("roster_epoch", "Roster epoch in force")
        self.has_standing = self._gauge("has_standing", "1 while the host takes new work")
        self.sessions = self._gauge("sessions", "Open caller sessions")
        self.queue_length = self._gauge("queue_length", "Waiting requests", "service")
        self.statement_seconds = Histogram(
            "pistachiowinch_statement_seconds",
            "Time from a statement's arrival to its answer",
            ["route"],
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"pistachiowinch_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"pistachiowinch_{name}", text, labels, registry=self.registry)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
