"""Login of callers: MySQL's native password authentication with stored double-SHA1 hashes."""

import hashlib
import hmac
import re
import secrets

from pistachiowinch.proxy.interfaces import Credentials

__all__ = ["NATIVE_PLUGIN", "hash_password", "make_nonce", "verify_password"]

NATIVE_PLUGIN = "mysql_native_password"

_NONCE_BYTES = 20
_NATIVE_HASH = re.compile(r"\*[0-9A-Fa-f]{40}")
# Compared for unknown keys, so that the response time does not reveal which keys exist.
_DUMMY_HASH = hashlib.sha1(b"no such key").digest()


def make_nonce() -> bytes:
    """Return random bytes for one login, without zero bytes, which would end the field early."""
    return bytes(secrets.randbelow(94) + 33 for _ in range(_NONCE_BYTES))


def hash_password(password: str) -> str:
    """Return MySQL's native hash of a password: ``*`` and 40 hexadecimal digits.

    :param password: the password.
    """
    inner = hashlib.sha1(password.encode()).digest()
    return "*" + hashlib.sha1(inner).hexdigest().upper()


def verify_password(credentials: Credentials | None, response: bytes, nonce: bytes) -> bool:
    """Verify a caller's response against the stored hash.

    :param credentials: credentials of the key, None if it does not exist.
    :param response: the caller's scrambled password, 20 bytes.
    :param nonce: the nonce that the caller was sent.
    """
    stored_hash = _DUMMY_HASH
    is_known = (
        credentials is not None and _NATIVE_HASH.fullmatch(credentials.password_hash) is not None
    )
    if is_known:
        stored_hash = bytes.fromhex(credentials.password_hash[1:])
    if len(response) != _NONCE_BYTES:
        return False
    mask = hashlib.sha1(nonce + stored_hash).digest()
    inner = bytes(left ^ right for left, right in zip(response, mask, strict=True))
    is_equal = hmac.compare_digest(hashlib.sha1(inner).digest(), stored_hash)
    return is_known and is_equal
