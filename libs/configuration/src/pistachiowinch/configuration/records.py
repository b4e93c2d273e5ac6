"""Keys and records of a site in the store."""

from typing import NamedTuple, TypeVar

import msgspec

from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.configuration.chunks import split_document
from pistachiowinch.configuration.document import EMPTY_DOCUMENT

__all__ = [
    "EMPTY_DIGEST",
    "EMPTY_HEAD",
    "NO_ROSTER",
    "HeadRecord",
    "MalformedRecord",
    "Roster",
    "RosterRecord",
    "SiteKeys",
    "decode_record",
    "encode_record",
]

# Ids of accepted patches kept in the head; records of older patches are removed. A repeated older
# patch is refused as stale, so it is never applied twice.
KEPT_PATCHES = 128

EMPTY_DIGEST = split_document(EMPTY_DOCUMENT).digest

T = TypeVar("T")


class MalformedRecord(Exception):
    """A value in the store could not be decoded."""


class SiteKeys:
    """Keys of a site in the store."""

    def __init__(self, site: str) -> None:
        """Derive all keys from the site's name."""
        self.roster = f"pistachiowinch/{site}/roster"
        self.incarnation = f"pistachiowinch/{site}/incarnation"
        self.head = f"pistachiowinch/{site}/config/head"
        self._patches = f"pistachiowinch/{site}/config/patches/"
        self._chunks = f"pistachiowinch/{site}/config/chunks/"

    def patch(self, patch_id: str) -> str:
        """Return the key of an accepted patch."""
        return self._patches + patch_id

    def chunk(self, digest: str) -> str:
        """Return the key of a chunk."""
        return self._chunks + digest


class HeadRecord(msgspec.Struct, frozen=True):
    """The newest accepted version.

    :param chunks: digest of each chunk by its name.
    :param recent: ids of the newest accepted patches, the newest one last.
    """

    version: int
    digest: str
    chunks: dict[str, str] = {}
    patch_id: str = ""
    recent: list[str] = []


EMPTY_HEAD = HeadRecord(0, EMPTY_DIGEST)


class Roster(NamedTuple):
    """The numbered list of the site's hosts; epoch 0 means unknown."""

    epoch: int
    members: tuple[HostIdentity, ...]

    @property
    def majority(self) -> int:
        """Number of members that are more than half; 0 if all members have left."""
        return len(self.members) // 2 + 1 if self.members else 0

    def find(self, host: str) -> HostIdentity | None:
        """Return the member with a host name."""
        return next((member for member in self.members if member.host == host), None)


class RosterRecord(msgspec.Struct, frozen=True, array_like=True):
    """The roster as the store and the peers keep it.

    :param predecessors: earlier rosters whose holders may still have standing.
    :param config_version: configuration version at the time of the change; the transaction
        compared the head's revision, so every holder of this roster knows of that version.
    :param head_revision: the head's revision at that time.
    :param left: members of predecessors that ended their confirmations before they left.
    """

    epoch: int
    members: tuple[HostIdentity, ...]
    predecessors: tuple[Roster, ...] = ()
    config_version: int = 0
    head_revision: int = 0
    left: tuple[HostIdentity, ...] = ()

    @property
    def roster(self) -> Roster:
        """Epoch and members without the history."""
        return Roster(self.epoch, self.members)


NO_ROSTER = RosterRecord(0, ())


def encode_record(record: msgspec.Struct) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


def decode_record(value: bytes, record_type: type[T]) -> T:
    """Decode a record from the store.

    :raises MalformedRecord: if it is not of the type.
    """
    try:
        return msgspec.json.decode(value, type=record_type)
    except msgspec.MsgspecError as error:
        raise MalformedRecord(f"{record_type.__name__}: {error}") from error
