"""Table of each service's primary, from records of the store and of peers."""

import math
from collections.abc import Callable, Mapping

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.signals import Signal
from pistachiowinch.fleet.records import PrimaryRecord

__all__ = ["PrimaryTable", "is_newer"]

_NONE = PrimaryRecord(0, "")


def is_newer(record: PrimaryRecord, known: PrimaryRecord) -> bool:
    """Return whether a record replaces a known one of the same service."""
    if record.epoch != known.epoch:
        return record.epoch > known.epoch
    # Within an epoch, a record without a primary starts the switch and one with a primary ends it.
    return not known.primary and bool(record.primary)


class PrimaryTable:
    """Newest known record of each service; without one, the registry's primary applies.

    Once a switch is known, new evidence extends this host's lease without showing that the old
    primary still leads. Work that was sent to it may be acknowledged until the lease as it was
    before the switch became known expires; a promoter waits for that long.

    :param log: receives this part's decisions.
    :param lease_until_s: returns the loop time at which this host's primary lease expires, from
        evidence that came before the record which is being adopted.
    """

    def __init__(
        self, log: DecisionLog, lease_until_s: Callable[[], float] = lambda: -math.inf
    ) -> None:
        """Create a table without records."""
        self._log = log
        self._lease_until_s = lease_until_s
        self._ended_epochs_until_s: dict[tuple[str, int], float] = {}
        self._records: dict[str, PrimaryRecord] = {}
        self._registry: dict[str, str] = {}
        self._changes: Signal[str] = Signal()

    @property
    def changes(self) -> Signal[str]:
        """Emits the name of each service whose primary or epoch changes."""
        return self._changes

    @property
    def records(self) -> Mapping[str, PrimaryRecord]:
        """Newest records by service, for heartbeats."""
        return self._records

    def epoch(self, service: str) -> int:
        """Return the epoch of the newest switch; 0 if there was none."""
        return self._records.get(service, _NONE).epoch

    def acknowledge_until_s(self, service: str, epoch: int) -> float:
        """Return the loop time until which work may be acknowledged.

        :param epoch: number of the newest known switch when the work was sent.
        :returns: infinity if that is the newest switch, negative infinity if the time is over.
        """
        if epoch == self.epoch(service):
            return math.inf
        return self._ended_epochs_until_s.get((service, epoch), -math.inf)

    def primary(self, service: str) -> str:
        """Return the primary's name; empty if none is known or a switch is in progress."""
        record = self._records.get(service)
        return self._registry.get(service, "") if record is None else record.primary

    def adopt(self, service: str, record: PrimaryRecord, source: str) -> bool:
        """Store a record if it is newer than the known one.

        :param source: origin of the record, for the log.
        :returns: whether the record was newer.
        """
        known = self._records.get(service)
        if known is not None and not is_newer(record, known):
            return False
        if record.epoch > self.epoch(service):
            self._end_epoch(service)
        self._records[service] = record
        self._log.write(
            "primary_changed",
            service=service,
            epoch=record.epoch,
            primary=record.primary,
            source=source,
        )
        self._announce(service)
        return True

    def set_registry_primary(self, service: str, primary: str) -> None:
        """Set the primary named by the registry, which applies until the first switch."""
        if self._registry.get(service, "") == primary:
            return
        self._registry[service] = primary
        if service not in self._records:
            self._log.write("primary_registered", service=service, primary=primary)
            self._announce(service)

    def _end_epoch(self, service: str) -> None:
        """Record until when work of the present epoch may be acknowledged."""
        ended = {key: s for key, s in self._ended_epochs_until_s.items() if s > now_s()}
        ended[service, self.epoch(service)] = self._lease_until_s()
        self._ended_epochs_until_s = ended

    def _announce(self, service: str) -> None:
        self._changes.on_next(service)
