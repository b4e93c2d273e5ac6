"""Requests and answers of the etcd v3 JSON interface.

64-bit numbers are strings, keys and values are base64, and zero values are left out.
"""

import base64
from collections.abc import Sequence
from typing import Any

import msgspec

from pistachiowinch.links.store import (
    Compare,
    KeyValue,
    Operation,
    Put,
    TxnReply,
    WatchEvent,
)

__all__ = [
    "ErrorAnswer",
    "GrantAnswer",
    "KeepAliveAnswer",
    "RangeAnswer",
    "TxnAnswer",
    "WatchAnswer",
    "key_request",
    "prefix_end",
    "prefix_request",
    "txn_request",
    "watch_request",
]


class Header(msgspec.Struct):
    """Metadata of each answer."""

    revision: str = "0"


class WireKeyValue(msgspec.Struct):
    """One key in an answer."""

    key: str
    value: str = ""
    mod_revision: str = "0"
    lease: str = "0"

    def to_key_value(self) -> KeyValue:
        """Return the key with decoded fields."""
        return KeyValue(
            base64.b64decode(self.key).decode(),
            base64.b64decode(self.value),
            int(self.mod_revision),
            int(self.lease),
        )


class RangeAnswer(msgspec.Struct):
    """Answer to a read."""

    kvs: list[WireKeyValue] = []


class TxnAnswer(msgspec.Struct):
    """Answer to a transaction."""

    header: Header
    succeeded: bool = False

    def to_reply(self) -> TxnReply:
        """Return the outcome and the revision."""
        return TxnReply(self.succeeded, int(self.header.revision))


class GrantAnswer(msgspec.Struct):
    """Answer to the creation of a lease."""

    lease: str = msgspec.field(name="ID")


class KeepAliveResult(msgspec.Struct):
    """Remaining time of a lease; absent if it has expired."""

    ttl: str = msgspec.field(name="TTL", default="0")


class KeepAliveAnswer(msgspec.Struct):
    """Answer to the renewal of a lease."""

    result: KeepAliveResult


class WireEvent(msgspec.Struct):
    """One change in a watch's stream."""

    kv: WireKeyValue
    type: str = "PUT"

    def to_watch_event(self) -> WatchEvent:
        """Return the decoded change."""
        decoded = self.kv.to_key_value()
        value = None if self.type == "DELETE" else decoded.value
        return WatchEvent(decoded.key, value, decoded.mod_revision)


class WatchResult(msgspec.Struct):
    """One line of a watch's stream."""

    canceled: bool = False
    cancel_reason: str = ""
    events: list[WireEvent] = []


class ErrorAnswer(msgspec.Struct):
    """Body of an answer with an error status; ``code`` is the gRPC status."""

    code: int = 2
    message: str = ""


class WatchAnswer(msgspec.Struct):
    """Envelope of one line of a watch's stream."""

    result: WatchResult | None = None
    error: ErrorAnswer | None = None


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def prefix_end(prefix: bytes) -> bytes:
    """Return the smallest key after all keys with the prefix.

    :returns: a zero byte, which means no end, when no such key exists.
    """
    stripped = prefix.rstrip(b"\xff")
    return stripped[:-1] + bytes([stripped[-1] + 1]) if stripped else b"\x00"


def key_request(key: str) -> dict[str, Any]:
    """Build the read of one key."""
    return {"key": _encode(key.encode())}


def prefix_request(prefix: str) -> dict[str, Any]:
    """Build the read of all keys under a prefix."""
    start = prefix.encode() or b"\x00"
    return {"key": _encode(start), "range_end": _encode(prefix_end(prefix.encode()))}


def txn_request(compares: Sequence[Compare], operations: Sequence[Operation]) -> dict[str, Any]:
    """Build a transaction."""
    return {
        "compare": [_compare(compare) for compare in compares],
        "success": [_operation(operation) for operation in operations],
    }


def watch_request(prefix: str, from_revision: int) -> dict[str, Any]:
    """Build the start of a watch."""
    return {"create_request": prefix_request(prefix) | {"start_revision": str(from_revision)}}


def _compare(compare: Compare) -> dict[str, Any]:
    return {
        "key": _encode(compare.key.encode()),
        "result": "EQUAL",
        "target": "MOD",
        "mod_revision": str(compare.mod_revision),
    }


def _operation(operation: Operation) -> dict[str, Any]:
    key = _encode(operation.key.encode())
    if isinstance(operation, Put):
        put = {"key": key, "value": _encode(operation.value), "lease": str(operation.lease)}
        return {"request_put": put}
    return {"request_delete_range": {"key": key}}
