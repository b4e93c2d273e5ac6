"""Table of each service's primary, from records of the store and of peers."""

from collections.abc import Mapping

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

    :param log: receives this part's decisions.
    """

    def __init__(self, log: DecisionLog) -> None:
        """Create a table without records."""
        self._log = log
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

    def _announce(self, service: str) -> None:
        self._changes.on_next(service)
