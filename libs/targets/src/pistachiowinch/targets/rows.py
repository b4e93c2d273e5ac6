"""Result rows in MySQL's text encoding, decoded only when they are read.

Most rows are forwarded without being read. Keeping the row packets as the target sent them avoids
decoding and encoding each value.
"""

import decimal
from collections.abc import Callable, Iterator, Sequence
from typing import Any, overload

from pistachiowinch.links.targets import Column

__all__ = [
    "HEADER_BYTES",
    "MAX_PAYLOAD_BYTES",
    "NULL_MARK",
    "TextRows",
    "read_length_encoded",
    "split_frames",
    "split_row",
]

HEADER_BYTES = 4
MAX_PAYLOAD_BYTES = 0xFFFFFF
NULL_MARK = 0xFB

_BINARY_CHARSET = 63
_INTEGER_TYPES = frozenset({1, 2, 3, 8, 9, 13})
_FLOAT_TYPES = frozenset({4, 5})
_DECIMAL_TYPES = frozenset({0, 246})
_TEMPORAL_TYPES = frozenset({7, 10, 11, 12, 14})
_BIT_TYPE = 16
_JSON_TYPE = 245
_EXTENDED_LENGTH_BYTES = {0xFC: 2, 0xFD: 3, 0xFE: 8}


def read_length_encoded(payload: bytes, offset: int) -> tuple[int, int]:
    """Read a length-encoded integer.

    :param payload: a packet's payload.
    :param offset: where the integer starts.
    :returns: the integer and the offset after it.
    :raises ValueError: if the packet ends early or its first byte does not start a length.
    """
    if offset >= len(payload):
        raise ValueError("the packet ends before a length")
    first = payload[offset]
    if first < NULL_MARK:
        return first, offset + 1
    size_bytes = _EXTENDED_LENGTH_BYTES.get(first)
    if size_bytes is None:
        raise ValueError(f"0x{first:02x} is not a length")
    end = offset + 1 + size_bytes
    if end > len(payload):
        raise ValueError("the packet ends inside a length")
    return int.from_bytes(payload[offset + 1 : end], "little"), end


def split_row(payload: bytes, column_count: int) -> list[bytes | None]:
    """Split a text row packet into its values.

    :param payload: the packet's payload.
    :param column_count: number of columns of the result set.
    :returns: the values as text, None for NULL.
    :raises ValueError: if the packet does not hold exactly these columns.
    """
    values: list[bytes | None] = []
    offset = 0
    for _ in range(column_count):
        if offset < len(payload) and payload[offset] == NULL_MARK:
            values.append(None)
            offset += 1
            continue
        length_bytes, offset = read_length_encoded(payload, offset)
        end = offset + length_bytes
        if end > len(payload):
            raise ValueError("the row packet ends inside a value")
        values.append(payload[offset:end])
        offset = end
    if offset != len(payload):
        raise ValueError("the row packet has more values than columns")
    return values


def _decode_text(raw: bytes) -> str:
    return raw.decode("utf-8", "surrogateescape")


def _decode_decimal(raw: bytes) -> decimal.Decimal:
    return decimal.Decimal(raw.decode("ascii"))


def _decoder(column: Column) -> Callable[[bytes], Any]:
    kind = column.type_code
    if kind in _INTEGER_TYPES:
        return int
    if kind in _FLOAT_TYPES:
        return float
    if kind in _DECIMAL_TYPES:
        return _decode_decimal
    if kind in _TEMPORAL_TYPES or kind == _JSON_TYPE:
        return _decode_text
    if kind == _BIT_TYPE or column.charset == _BINARY_CHARSET:
        return bytes
    return _decode_text


def split_frames(frames: bytes) -> Iterator[bytes]:
    """Yield the payload of each packet, joined if it spans several frames.

    :param frames: complete packets with their headers.
    """
    offset = 0
    parts: list[bytes] = []
    while offset < len(frames):
        length_bytes = int.from_bytes(frames[offset : offset + 3], "little")
        start = offset + HEADER_BYTES
        offset = start + length_bytes
        parts.append(frames[start:offset])
        if length_bytes < MAX_PAYLOAD_BYTES:
            yield b"".join(parts)
            parts = []


class TextRows(Sequence[tuple[Any, ...]]):
    """Rows of one result set. Reading a row decodes it by the types of the columns.

    The packets are numbered from 1, as in every answer, so that ``head`` and ``frames`` can be sent
    unchanged to a caller that handles EOF packets in the same way as the target.

    :param columns: the result set's columns.
    :param head: packets before the first row: the column count, the columns, and an EOF packet
        unless that is deprecated.
    :param frames: row packets with their headers.
    :param row_count: number of rows.
    :param next_seq: sequence number of the packet after the last row.
    :param is_eof_deprecated: whether the target's connection omits EOF packets.
    """

    __slots__ = ("_row_count", "columns", "frames", "head", "is_eof_deprecated", "next_seq")

    def __init__(
        self,
        columns: tuple[Column, ...],
        head: bytes,
        frames: bytes,
        row_count: int,
        next_seq: int,
        is_eof_deprecated: bool,
    ) -> None:
        """Keep the packets undecoded."""
        self.columns = columns
        self.head = head
        self.frames = frames
        self._row_count = row_count
        self.next_seq = next_seq
        self.is_eof_deprecated = is_eof_deprecated

    def payloads(self) -> Iterator[bytes]:
        """Yield the row packets without their headers."""
        return split_frames(self.frames)

    def texts(self) -> Iterator[list[bytes | None]]:
        """Yield the rows as text values."""
        for payload in self.payloads():
            yield split_row(payload, len(self.columns))

    def _decode(self, values: list[bytes | None]) -> tuple[Any, ...]:
        pairs = zip(self.columns, values, strict=True)
        return tuple(None if raw is None else _decoder(column)(raw) for column, raw in pairs)

    def __len__(self) -> int:
        """Return the number of rows."""
        return self._row_count

    @overload
    def __getitem__(self, index: int) -> tuple[Any, ...]: ...

    @overload
    def __getitem__(self, index: slice) -> tuple[tuple[Any, ...], ...]: ...

    def __getitem__(self, index: int | slice) -> Any:
        """Return one decoded row, or several."""
        texts = list(self.texts())
        if isinstance(index, slice):
            return tuple(self._decode(values) for values in texts[index])
        return self._decode(texts[index])

    def __iter__(self) -> Iterator[tuple[Any, ...]]:
        """Yield decoded rows."""
        return (self._decode(values) for values in self.texts())

    def __eq__(self, other: object) -> bool:
        """Compare decoded rows with those of another sequence."""
        if isinstance(other, TextRows | tuple | list):
            return tuple(self) == tuple(other)
        return NotImplemented

    def __hash__(self) -> int:
        """Return the hash of the equal tuple of rows."""
        return hash(tuple(self))

    def __repr__(self) -> str:
        """Show the decoded rows."""
        return repr(tuple(self))
