"""Records that the hosts keep in the store, their keys and their encoding."""

from typing import NamedTuple, TypeVar

import msgspec

from pistachiowinch.links.store import KeyValue

__all__ = [
    "ERA_KEY",
    "FENCING_TOKEN_KEY",
    "FLEET_PREFIX",
    "GROUPS_PREFIX",
    "HOSTS_PREFIX",
    "MEMBERS_PREFIX",
    "PROMOTION_LOCK",
    "PROMOTION_LOCK_KEY",
    "USAGE_LOCK",
    "USAGE_REPORTS_PREFIX",
    "VOTER_SET_KEY",
    "EraRecord",
    "FencingTokenRecord",
    "HostRecord",
    "LockKeys",
    "PrimaryRecord",
    "PromotionLockRecord",
    "UsageReportRecord",
    "VoterSetRecord",
    "decode_record",
    "encode_record",
    "group_key",
    "host_key",
    "member_key",
    "usage_report_key",
]

T = TypeVar("T")

FLEET_PREFIX = "fleet/"
HOSTS_PREFIX = "fleet/hosts/"
MEMBERS_PREFIX = "fleet/members/"
GROUPS_PREFIX = "fleet/groups/"
VOTER_SET_KEY = "fleet/council"
PROMOTION_LOCK_KEY = "fleet/duty"
FENCING_TOKEN_KEY = "fleet/fence"
ERA_KEY = "fleet/era"
# Outside the fleet's prefix, because only the host that reports usage reads these records.
USAGE_REPORTS_PREFIX = "usage/reports/"


class LockKeys(NamedTuple):
    """Keys of a lock's record and of its newest fencing token."""

    lock: str
    token: str


PROMOTION_LOCK = LockKeys(PROMOTION_LOCK_KEY, FENCING_TOKEN_KEY)
USAGE_LOCK = LockKeys("fleet/usage/duty", "fleet/usage/fence")


class HostRecord(msgspec.Struct, frozen=True):
    """One host, stored under its leased host key and under its permanent member key.

    :param run: random number of the run, which distinguishes a restarted host from its old run.
    :param has_left: whether the run stopped as planned and uses no primary any more; the host may
        still vote when it returns.
    :param processor_cores: processor time that the host has, in cores.
    """

    host: str
    run: int
    availability_zone: str
    peer_url: str
    has_left: bool = False
    processor_cores: float = 1.0


class PrimaryRecord(msgspec.Struct, frozen=True):
    """Primary of one service.

    :param epoch: number of the latest switch of the primary; grows by one with each.
    :param primary: the target's name; empty while a switch is in progress.
    :param ordered: target that the switch in progress ordered to be promoted last; empty if it has
        ordered none, None if unknown.
    :param ordered_by: host that gave this order.
    :param term_before: highest term that any target reported before this order; the ordered target
        has taken over when it is primary of a later one. None if unknown.
    :param possible_primaries: targets of which one leads unless the last order was executed; None
        if unknown.
    :param replicas: addresses of the replicas when the primary was replaced; a target that is
        started again may get another name, but keeps address and log. None if unknown.
    """

    epoch: int
    primary: str
    ordered: str | None = None
    ordered_by: str = ""
    term_before: int | None = None
    possible_primaries: tuple[str, ...] | None = ()
    replicas: tuple[str, ...] | None = None


class VoterSetRecord(msgspec.Struct, frozen=True):
    """The voters of a fleet.

    :param hosts: names of the voters.
    :param previous: names of the previous voters; a host that has not read this record yet may
        still use their majorities.
    :param number: grows by one with each change.
    :param includes_all: whether all hosts of the fleet vote, except those that joined since.
    """

    hosts: tuple[str, ...]
    previous: tuple[str, ...]
    number: int = 0
    includes_all: bool = False


class PromotionLockRecord(msgspec.Struct, frozen=True):
    """Holder of a lock; the store removes the record when the lease expires."""

    holder: str
    run: int
    fence: int


class FencingTokenRecord(msgspec.Struct, frozen=True):
    """Newest fencing token of a lock; it has no lease and therefore never expires."""

    fence: int


class EraRecord(msgspec.Struct, frozen=True):
    """Newest era of the store in which the fleet's records are known to be complete."""

    era: int


class UsageReportRecord(msgspec.Struct, frozen=True):
    """The report of one window; every report that is sent for the window repeats it.

    :param counts: number of requests by customer.
    :param era: the store's era in which the report was recorded.
    """

    window: int
    counts: dict[str, int]
    era: int = 0


def host_key(host: str) -> str:
    """Return the key of a host's record."""
    return HOSTS_PREFIX + host


def member_key(host: str) -> str:
    """Return the key that makes a host a member; it has no lease."""
    return MEMBERS_PREFIX + host


def group_key(service: str) -> str:
    """Return the key of a service's primary record."""
    return GROUPS_PREFIX + service


def usage_report_key(window: int) -> str:
    """Return the key of a window's usage report."""
    return f"{USAGE_REPORTS_PREFIX}{window}"


def encode_record(record: msgspec.Struct) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


def decode_record(item: KeyValue, shape: type[T]) -> T | None:
    """Decode a record; return None if the value is not a valid record of that type."""
    try:
        return msgspec.json.decode(item.value, type=shape)
    except (msgspec.DecodeError, RecursionError):
        return None
