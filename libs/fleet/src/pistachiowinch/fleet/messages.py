"""Messages between hosts: switches of a primary, and keys of the store."""

import msgspec

__all__ = [
    "ChangedKey",
    "ChangesAnswer",
    "ChangesRequest",
    "DrainAnswer",
    "DrainRequest",
    "PrimaryNotice",
]


class DrainRequest(msgspec.Struct, tag="gr", array_like=True, frozen=True):
    """Asks a host to send nothing more to a service's primary.

    :param epoch: number of the switch.
    :param grace_ms: time that open transactions have to end by themselves.
    """

    service: str
    epoch: int
    grace_ms: int


class DrainAnswer(msgspec.Struct, tag="ga", array_like=True, frozen=True):
    """Tells whether nothing is under way at the primary any more."""

    is_idle: bool


class PrimaryNotice(msgspec.Struct, tag="pn", array_like=True, frozen=True):
    """Tells a host the outcome of a switch before its heartbeat does."""

    service: str
    epoch: int
    primary: str


class ChangedKey(msgspec.Struct, array_like=True, frozen=True):
    """One key as it is now.

    :param value: None if the key was removed.
    :param revision: the store's revision of that change.
    """

    key: str
    value: bytes | None
    revision: int


class ChangesRequest(msgspec.Struct, tag="cq", array_like=True, frozen=True):
    """Asks for the keys under a prefix that changed after a revision.

    :param after_revision: negative to ask for all keys.
    """

    prefix: str
    after_revision: int


class ChangesAnswer(msgspec.Struct, tag="ca", array_like=True, frozen=True):
    """Keys under a prefix.

    :param is_whole: whether these are all keys, and those that are missing do not exist.
    :param revision: the answer is complete up to this revision; negative if the sender knows none.
    :param age_ms: age of the sender's newest proof that its copy was complete.
    """

    is_whole: bool
    keys: tuple[ChangedKey, ...]
    revision: int
    age_ms: int
