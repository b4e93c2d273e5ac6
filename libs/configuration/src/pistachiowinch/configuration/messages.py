"""Messages between hosts that carry configuration and roster."""

import msgspec

from pistachiowinch.configuration.patches import PatchRecord
from pistachiowinch.configuration.records import RosterRecord

__all__ = [
    "ChunkReply",
    "ChunkRequest",
    "ConfigurationReply",
    "ConfigurationRequest",
    "HeadReply",
    "HeadRequest",
    "PatchAnnounced",
    "PatchPrepare",
    "PatchPrepared",
    "PatchWithdrawn",
    "RosterAnnounced",
    "RosterRequest",
]


class PatchPrepare(msgspec.Struct, tag="cfg_prepare", array_like=True, frozen=True):
    """Asks a member to stop confirming the current version until the outcome is known.

    :param attempt: identifies this attempt of this submitter.
    :param version: version that the patch would make.
    :param base_revision: the head's revision that the transaction compares.
    """

    attempt: str
    version: int
    base_revision: int


class PatchPrepared(msgspec.Struct, tag="cfg_prepared", array_like=True, frozen=True):
    """Answer to :class:`PatchPrepare`; not agreed if the member knows of a newer head."""

    incarnation: int
    is_agreed: bool


class PatchWithdrawn(msgspec.Struct, tag="cfg_withdrawn", array_like=True, frozen=True):
    """Tells that an attempt was not applied and never will be."""

    attempt: str


class PatchAnnounced(msgspec.Struct, tag="cfg_announce", array_like=True, frozen=True):
    """Announces an accepted patch."""

    record: PatchRecord
    head_revision: int


class HeadRequest(msgspec.Struct, tag="cfg_head", array_like=True, frozen=True):
    """Asks for the newest head that a peer knows of."""


class HeadReply(msgspec.Struct, tag="cfg_head_reply", array_like=True, frozen=True):
    """The newest head that the sender knows; it may not hold the document yet."""

    version: int
    head_revision: int


class ConfigurationRequest(msgspec.Struct, tag="cfg_get", array_like=True, frozen=True):
    """Asks for the changes after a version."""

    since_version: int


class ConfigurationReply(msgspec.Struct, tag="cfg_get_reply", array_like=True, frozen=True):
    """The sender's configuration, as patches or as chunks.

    :param known_version: highest version that the sender knows of, as of ``head_revision``.
    :param records: all patches after the requested version; empty if they are too many or not
        all kept.
    :param chunks: digest of each chunk by its name, if ``records`` is empty.
    """

    version: int
    digest: str
    known_version: int
    head_revision: int
    records: tuple[PatchRecord, ...] = ()
    chunks: dict[str, str] = {}


class ChunkRequest(msgspec.Struct, tag="cfg_chunk", array_like=True, frozen=True):
    """Asks for one chunk."""

    digest: str


class ChunkReply(msgspec.Struct, tag="cfg_chunk_reply", array_like=True, frozen=True):
    """The chunk; empty if the sender no longer has it."""

    content: bytes


class RosterRequest(msgspec.Struct, tag="roster_get", array_like=True, frozen=True):
    """Asks for the roster."""


class RosterAnnounced(msgspec.Struct, tag="roster", array_like=True, frozen=True):
    """The sender's roster, as an answer or after a change.

    :param revision: revision of the roster's key.
    """

    record: RosterRecord
    revision: int
