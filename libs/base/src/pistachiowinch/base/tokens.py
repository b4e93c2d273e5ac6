"""Session tokens, which state the write that a session must see."""

import base64
import binascii
from typing import NamedTuple

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from pistachiowinch.base.codes import BAD_TOKEN, Refusal

__all__ = ["MAX_TOKEN_CHARS", "SessionToken", "decode_token", "encode_token"]

MAX_TOKEN_CHARS = 512
_CHECKSUM_BYTES = 4


class SessionToken(NamedTuple):
    """The latest write of a session.

    :param service: name of the database group.
    :param term: term of the primary that ran the write.
    :param position: log position of the write.
    """

    service: str
    term: int
    position: int

    @property
    def order(self) -> tuple[int, int]:
        """Sort key: a later write of the same service has a greater one."""
        return (self.term, self.position)


def _checksum(payload: bytes) -> bytes:
    return xxhash.xxh32_digest(payload)[:_CHECKSUM_BYTES]


def encode_token(token: SessionToken) -> str:
    """Encode a token as opaque text for callers.

    :param token: the token.
    :returns: URL-safe text without padding.
    """
    payload = msgspec.msgpack.encode(tuple(token))
    return base64.urlsafe_b64encode(_checksum(payload) + payload).decode().rstrip("=")


def decode_token(text: str) -> Result[SessionToken, Refusal]:
    """Decode a caller's token.

    :param text: what :func:`encode_token` returned.
    :returns: the token, or :data:`BAD_TOKEN`.
    """
    if len(text) > MAX_TOKEN_CHARS:
        return Failure(Refusal(BAD_TOKEN, "the token is too long"))
    try:
        raw = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except (binascii.Error, ValueError):
        return Failure(Refusal(BAD_TOKEN, "the token is not valid base64"))
    payload = raw[_CHECKSUM_BYTES:]
    if raw[:_CHECKSUM_BYTES] != _checksum(payload):
        return Failure(Refusal(BAD_TOKEN, "the token's checksum does not match"))
    try:
        service, term, position = msgspec.msgpack.decode(payload, type=tuple[str, int, int])
    except msgspec.MsgspecError:
        return Failure(Refusal(BAD_TOKEN, "the token has the wrong shape"))
    if term < 0 or position < 0:
        return Failure(Refusal(BAD_TOKEN, "the token's numbers are negative"))
    return Success(SessionToken(service, term, position))
