"""Random keys of customers and operators, and the hashes that the configuration stores."""

import hashlib
import hmac
import secrets
from typing import NamedTuple

__all__ = [
    "KEY_BITS",
    "CreatedKey",
    "create_key",
    "matches_hash",
    "native_password_hash",
    "operator_hash",
]

# The stored double SHA-1 is unsalted; 160 random bits make guessing infeasible.
KEY_BITS = 160


class CreatedKey(NamedTuple):
    """A new key. The key itself is shown once and stored nowhere.

    :param key: text for the customer or operator.
    :param stored_hash: text for the configuration.
    """

    key: str
    stored_hash: str


def native_password_hash(key: str) -> str:
    """Return the hash that ``mysql_native_password`` authentication needs.

    :param key: the key as callers send it.
    :returns: ``*`` and 40 upper-case hex digits.
    """
    inner = hashlib.sha1(key.encode(), usedforsecurity=False).digest()
    return "*" + hashlib.sha1(inner, usedforsecurity=False).hexdigest().upper()


def operator_hash(key: str) -> str:
    """Return the hash of an operator's key, 64 hex digits.

    :param key: the key as operators send it.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def matches_hash(key: str, stored_hashes: list[str]) -> bool:
    """Return whether an operator's key matches one of the hashes.

    All hashes are compared, each in constant time, so that the duration reveals nothing.

    :param key: the presented key.
    :param stored_hashes: hashes from the configuration.
    """
    presented = operator_hash(key).encode()
    found = False
    for stored in stored_hashes:
        found |= hmac.compare_digest(presented, stored.encode())
    return found


def create_key(is_operator: bool = False) -> CreatedKey:
    """Create a random key.

    :param is_operator: whether the key is for the operators' HTTP interface.
    """
    key = secrets.token_urlsafe(KEY_BITS // 8)
    return CreatedKey(key, operator_hash(key) if is_operator else native_password_hash(key))
