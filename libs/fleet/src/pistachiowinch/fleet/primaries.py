"""Which target is each service's primary, as records of the store and peers tell."""

from collections.abc import Mapping

from reactivex import Observable
from reactivex.subject import Subject

from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.records import PrimaryRecord

__all__ = ["PrimaryTable"]

_NONE = PrimaryRecord(0, "")


def _is_newer(record: PrimaryRecord, known: PrimaryRecord) -> bool:
    if record.epoch != known.epoch:
        return record.epoch > known.epoch
    # Within an epoch the switch is first begun, then ended by naming the primary.
    return not known.primary and bool(record.primary)


class PrimaryTable:
    """Newest known record of each service; a service without one follows the registry.

    :param log: decisions of this part.
    """

    def __init__(self, log: DecisionLog) -> None:
        """Create a table without records."""
        self._log = log
        self._records: dict[str, PrimaryRecord] = {}
        self._registry: dict[str, str] = {}
        self._changes: Subject[str] = Subject()

    @property
    def changes(self) -> Observable[str]:
        """Services whose primary or epoch changed."""
        return self._changes

    @property
    def records(self) -> Mapping[str, PrimaryRecord]:
        """All records, for heartbeats."""
        return self._records

    def epoch(self, service: str) -> int:
        """Return the number of the newest switch; 0 if there was none."""
        return self._records.get(service, _NONE).epoch

    def primary(self, service: str) -> str:
        """Return the primary's name; empty while none is known or a switch is under way."""
        record = self._records.get(service)
        return self._registry.get(service, "") if record is None else record.primary

    def adopt(self, service: str, record: PrimaryRecord, source: str) -> bool:
        """Take a record if it is newer than the known one.

        :param source: where it came from, for the log.
        """
        known = self._records.get(service)
        if known is not None and not _is_newer(record, known):
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
        """Take the registry's word, which holds until the first switch."""
        if self._registry.get(service, "") == primary:
            return
        self._registry[service] = primary
        if service not in self._records:
            self._log.write("primary_registered", service=service, primary=primary)
            self._announce(service)

    def _announce(self, service: str) -> None:
        self._changes.on_next(service)
