"""Rendezvous hashing, which orders members for a key identically on every host."""

from collections.abc import Iterable

import xxhash

__all__ = ["rendezvous_order", "stable_bucket"]


def _score(key: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\x00{member}".encode())


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Order members by highest random weight for a key.

    Removing a member leaves the order of the others unchanged.

    :param key: key that the order depends on, such as a service's name.
    :param members: names; duplicates are dropped.
    :returns: all members, the preferred one first.
    """
    return sorted(set(members), key=lambda member: (-_score(key, member), member))


def stable_bucket(key: str, bucket_count: int) -> int:
    """Map a key to the same bucket on every host and in every process.

    :param key: any text.
    :param bucket_count: number of buckets, at least 1.
    :returns: a number in ``range(bucket_count)``.
    :raises ValueError: if ``bucket_count`` is less than 1.
    """
    if bucket_count < 1:
        raise ValueError(f"bucket_count must be at least 1, not {bucket_count}")
    return xxhash.xxh64_intdigest(key.encode()) % bucket_count
