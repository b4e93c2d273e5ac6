"""Interface to the platform's key-value store, with the semantics of etcd v3.

A store that was restored from an older copy hands out revisions again. Each restoration begins a
new era, and the revisions of this interface contain the era in their upper bits, so they order all
changes of a key across restorations. A condition on a revision of an earlier era never holds.
"""

from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple, Protocol

__all__ = [
    "NO_LEASE",
    "ChangeBatch",
    "Compare",
    "Delete",
    "HistoryLost",
    "KeyStore",
    "KeyValue",
    "Operation",
    "PollingStore",
    "PrefixSource",
    "Put",
    "Snapshot",
    "Store",
    "StoreError",
    "StoreReplyLost",
    "StoreUnavailable",
    "TxnReply",
    "WatchEvent",
    "dated_revision",
    "era_of",
    "undated_revision",
]

NO_LEASE = 0

# A store that makes a million changes a second reaches this many revisions after 12 days.
_REVISION_BITS = 40


def dated_revision(era: int, revision: int) -> int:
    """Return a revision of this interface.

    :param era: number of the store's restorations.
    :param revision: the store's own revision.
    """
    return era << _REVISION_BITS | revision


def era_of(revision: int) -> int:
    """Return the era of a revision of this interface."""
    return revision >> _REVISION_BITS


def undated_revision(revision: int) -> int:
    """Return the store's own revision."""
    return revision & ((1 << _REVISION_BITS) - 1)


class StoreError(Exception):
    """Base class of the errors of store requests."""


class StoreUnavailable(StoreError):
    """The request certainly had no effect."""


class StoreReplyLost(StoreError):
    """The request may have taken effect; the caller has to read the keys to find out."""


class HistoryLost(StoreUnavailable):
    """Changes after the given revision are unknown; the caller has to read all keys."""


class KeyValue(NamedTuple):
    """One key with its value and the revision of its last change."""

    key: str
    value: bytes
    mod_revision: int
    lease: int = NO_LEASE


class Compare(NamedTuple):
    """Transaction condition on a key's ``mod_revision``; 0 means that the key must not exist."""

    key: str
    mod_revision: int


class Put(NamedTuple):
    """Write of one key; the value may have up to 1 MB."""

    key: str
    value: bytes
    lease: int = NO_LEASE


class Delete(NamedTuple):
    """Removal of one key."""

    key: str


Operation = Put | Delete


class TxnReply(NamedTuple):
    """Result of a transaction: whether all conditions were met, and the store's revision."""

    succeeded: bool
    revision: int


class WatchEvent(NamedTuple):
    """One change under a watched prefix; ``value`` is None for a removal."""

    key: str
    value: bytes | None
    mod_revision: int


class KeyStore(Protocol):
    """Operations of every store client. Every method may raise :class:`StoreError`."""

    async def get(self, key: str) -> KeyValue | None:
        """Read one key, linearizably.

        :param key: the key.
        :returns: None if the key does not exist.
        :raises StoreUnavailable: if the store did not answer.
        """

    async def transact(
        self, compares: Sequence[Compare], operations: Sequence[Operation]
    ) -> TxnReply:
        """Apply all operations if all conditions are met; otherwise apply none.

        :raises StoreUnavailable: if nothing was applied.
        :raises StoreReplyLost: if the outcome is unknown.
        """

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""

    async def keep_alive(self, lease: int) -> float:
        """Renew a lease once.

        :returns: remaining seconds from the time of the request; 0 if the lease has expired.
        """


class Store(KeyStore, Protocol):
    """Client of a store whose watches are streams."""

    async def get_prefix(self, prefix: str) -> list[KeyValue]:
        """Read all keys under a prefix in key order.

        :raises StoreUnavailable: if the store did not answer.
        """

    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Iterate over changes under a prefix, starting with ``from_revision``.

        :raises StoreUnavailable: if the watch fails; the caller has to read the prefix again and
            start a new watch.
        """


class Snapshot(NamedTuple):
    """All keys under a prefix.

    :param revision: revision up to which ``items`` are complete.
    :param as_of_s: loop time as of which ``items`` are complete; None if that is the time of the
        call.
    """

    items: tuple[KeyValue, ...]
    revision: int
    as_of_s: float | None = None


class ChangeBatch(NamedTuple):
    """Changes under a prefix.

    :param revision: revision after which the next call continues.
    :param as_of_s: loop time as of which the changes are complete; None if it follows from the time
        of the call and its ``wait_s``.
    :param is_whole: whether ``events`` are all keys that exist, because the changes alone are no
        longer known.
    """

    events: tuple[WatchEvent, ...]
    revision: int
    as_of_s: float | None = None
    is_whole: bool = False


class PrefixSource(Protocol):
    """Source of the keys under a prefix and of their changes."""

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys under a prefix, with the revision after which their changes follow."""

    async def changes(self, prefix: str, after_revision: int, wait_s: float) -> ChangeBatch:
        """Wait for changes under a prefix.

        :param wait_s: time after which the call returns without changes.
        :raises HistoryLost: if the history no longer reaches back to ``after_revision``, or that is
            a revision of an earlier era.
        """


class PollingStore(KeyStore, PrefixSource, Protocol):
    """Client of a store whose watches are long polls."""

    async def end_lease(self, lease: int) -> None:
        """Revoke a lease, which removes its keys."""
