"""What the hosts keep in the store, and its encoding."""

from typing import TypeVar

import msgspec

from pistachiowinch.links.store import KeyValue

__all__ = [
    "FENCING_TOKEN_KEY",
    "FLEET_PREFIX",
    "GROUPS_PREFIX",
    "HOSTS_PREFIX",
    "MEMBERS_PREFIX",
    "PROMOTION_LOCK_KEY",
    "VOTER_SET_KEY",
    "FencingTokenRecord",
    "HostRecord",
    "PrimaryRecord",
    "PromotionLockRecord",
    "VoterSetRecord",
    "decode_record",
    "encode_record",
    "group_key",
    "host_key",
    "member_key",
]

T = TypeVar("T")

FLEET_PREFIX = "fleet/"
HOSTS_PREFIX = "fleet/hosts/"
MEMBERS_PREFIX = "fleet/members/"
GROUPS_PREFIX = "fleet/groups/"
VOTER_SET_KEY = "fleet/council"
PROMOTION_LOCK_KEY = "fleet/duty"
FENCING_TOKEN_KEY = "fleet/fence"


class HostRecord(msgspec.Struct, frozen=True):
    """One host, under its leased key while it runs and under its member key while it counts.

    :param run: random number of the run, which tells a restarted host from its predecessor.
    """

    host: str
    run: int
    availability_zone: str
    peer_url: str


class PrimaryRecord(msgspec.Struct, frozen=True):
    """Primary of one service.

    :param epoch: grows with every switch of the primary.
    :param primary: target's name; empty while a switch is under way.
    """

    epoch: int
    primary: str


class VoterSetRecord(msgspec.Struct, frozen=True):
    """The hosts that vote for a large fleet.

    :param hosts: names of the voters.
    :param previous: names of those who voted before; a host that has not read this record yet may
        still rely on them.
    """

    hosts: tuple[str, ...]
    previous: tuple[str, ...]


class PromotionLockRecord(msgspec.Struct, frozen=True):
    """The host that may order promotions; removed with its lease."""

    holder: str
    run: int
    fence: int


class FencingTokenRecord(msgspec.Struct, frozen=True):
    """Newest fencing token; it outlives the duty's lease."""

    fence: int


def host_key(host: str) -> str:
    """Return the key of a host's record."""
    return HOSTS_PREFIX + host


def member_key(host: str) -> str:
    """Return the key that makes a host count; it has no lease."""
    return MEMBERS_PREFIX + host


def group_key(service: str) -> str:
    """Return the key of a service's primary."""
    return GROUPS_PREFIX + service


def encode_record(record: msgspec.Struct) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


def decode_record(item: KeyValue, shape: type[T]) -> T | None:
    """Decode a record; None if another writer left something else there."""
    try:
        return msgspec.json.decode(item.value, type=shape)
    except msgspec.DecodeError:
        return None
