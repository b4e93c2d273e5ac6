"""Messages between hosts about switches of a primary and about changed store keys."""

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
    """Asks a host to stop sending work to a service's primary.

    :param epoch: epoch of the switch.
    :param grace_ms: time for open transactions to finish before they are aborted.
    """

    service: str
    epoch: int
    grace_ms: int


class DrainAnswer(msgspec.Struct, tag="ga", array_like=True, frozen=True):
    """States what a host knows and does after a drain request.

    :param is_idle: whether the host has no work left in progress at the primary.
    :param is_current: whether the host knows of the switch and of no later one.
    """

    is_idle: bool
    is_current: bool = False


class PrimaryNotice(msgspec.Struct, tag="pn", array_like=True, frozen=True):
    """Announces a new primary without waiting for the next heartbeat."""

    service: str
    epoch: int
    primary: str


class ChangedKey(msgspec.Struct, array_like=True, frozen=True):
    """Current state of a key that changed.

    :param value: None if the key was removed.
    :param revision: store revision of the key's latest change.
    """

    key: str
    value: bytes | None
    revision: int


class ChangesRequest(msgspec.Struct, tag="cq", array_like=True, frozen=True):
    """Asks for the keys under a prefix that changed after a revision.

    :param after_revision: a negative value asks for all keys.
    :param is_last_resort: whether the sender could not read the store itself and therefore needs
        an answer of any size.
    """

    prefix: str
    after_revision: int
    is_last_resort: bool = False


class ChangesAnswer(msgspec.Struct, tag="ca", array_like=True, frozen=True):
    """Keys under a prefix.

    :param is_whole: whether ``keys`` contains all keys that exist, instead of only changed ones.
    :param revision: revision up to which the answer is complete; negative if the sender has no
        copy of the prefix.
    :param age_ms: time since the sender's copy was last known to be complete.
    :param is_withheld: whether the keys are left out because of their size, and have to be read
        from the store.
    """

    is_whole: bool
    keys: tuple[ChangedKey, ...]
    revision: int
    age_ms: int
    is_withheld: bool = False
