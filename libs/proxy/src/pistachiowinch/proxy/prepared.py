"""Prepared statements: placeholders and parameters of the binary protocol.

Parameters are substituted into the statement's text, so that a prepared statement needs no state on
a connection to a target and is routed like any other statement.
"""

import math
import re
import struct

from pistachiowinch.proxy.classify import placeholder_offsets
from pistachiowinch.proxy.reader import PacketReader
from pistachiowinch.proxy.stream import MAX_STATEMENT_BYTES, PacketMalformed, PacketTooLarge

__all__ = [
    "MAX_PARAMETERS",
    "PreparedStatement",
    "bind",
    "prepare_packets",
    "read_query_attributes",
]

# The protocol encodes the count in two bytes.
MAX_PARAMETERS = 65_535

_QUERY_ATTRIBUTES_FLAG = 0x08
_UNSIGNED_FLAG = 0x8000
_NULL_TYPE = 6
_INTEGER_FORMATS = {1: ("b", "B"), 2: ("h", "H"), 3: ("i", "I"), 8: ("q", "Q"), 9: ("i", "I")}
_YEAR_TYPE = 13
_FLOAT_FORMATS = {4: "<f", 5: "<d"}
_DATE_TYPES = frozenset({7, 10, 12})
_DATE_ONLY_TYPE = 10
_TIME_TYPE = 11
_DECIMAL_TYPES = frozenset({0, 246})
_BLOB_TYPES = frozenset({249, 250, 251, 252})
_DECIMAL = re.compile(rb"-?\d{1,65}(?:\.\d{0,30})?")
_ESCAPES = {0: r"\0", 10: r"\n", 13: r"\r", 26: r"\Z", 34: r"\"", 39: "''", 92: r"\\"}


class PreparedStatement:
    """A prepared statement of a caller.

    :param number: the statement's id on this connection.
    :param text: the statement with its placeholders.
    """

    def __init__(self, statement_id: int, text: str) -> None:
        """Split the text at its placeholders."""
        self.statement_id = statement_id
        self.text = text
        offsets = placeholder_offsets(text)
        starts = [0, *(offset + 1 for offset in offsets)]
        ends = [*offsets, len(text)]
        self.parts = [text[start:end] for start, end in zip(starts, ends, strict=True)]
        self.types: list[int] = []
        self.long_data: dict[int, bytearray] = {}
        self.long_data_bytes = 0
        self.is_too_long = False

    @property
    def parameter_count(self) -> int:
        """Number of placeholders."""
        return len(self.parts) - 1

    def append_long_data(self, index: int, chunk: bytes, limit_bytes: int) -> None:
        """Append a chunk to a parameter.

        The command has no response, so an error is reported when the statement is executed.

        :param index: index of the parameter, from 0.
        :param chunk: the bytes.
        :param limit_bytes: maximum size of the chunk.
        """
        if index >= self.parameter_count or len(chunk) > limit_bytes:
            self.reset()
            self.is_too_long = True
            return
        self.long_data.setdefault(index, bytearray()).extend(chunk)
        self.long_data_bytes += len(chunk)

    def reset(self) -> None:
        """Discard the chunks of all parameters."""
        self.long_data.clear()
        self.long_data_bytes = 0
        self.is_too_long = False


def prepare_packets(
    statement: PreparedStatement, is_eof_deprecated: bool, eof: bytes
) -> list[bytes]:
    """Encode the response to COM_STMT_PREPARE.

    It contains no result columns, because asking the target for them would need another statement.
    They are sent at execution.

    :param statement: the new statement.
    :param is_eof_deprecated: whether the EOF packet is omitted.
    :param eof: the EOF packet.
    """
    count = statement.parameter_count
    header = struct.pack("<BIHHBH", 0, statement.statement_id, 0, count, 0, 0)
    parameter_definition = b"\x03def\x00\x00\x00\x01?\x00\x0c" + struct.pack(
        "<HIBHBH", 63, 0, 253, 0, 0, 0
    )
    packets = [header, *[parameter_definition] * count]
    if count and not is_eof_deprecated:
        packets.append(eof)
    return packets


def bind(statement: PreparedStatement, data: bytes, has_query_attributes: bool) -> str:
    """Substitute the parameters of an execution into the statement's text.

    :param statement: the prepared statement.
    :param data: the packet after its command byte.
    :param has_query_attributes: whether the caller negotiated query attributes.
    :raises PacketMalformed: if the parameters are malformed.
    :raises PacketTooLarge: if the statement with its parameters is too large.
    """
    if statement.is_too_long:
        raise PacketTooLarge("the parameters are too large")
    reader = PacketReader(data, 4)
    flags, _ = reader.unpack("<BI")
    count = statement.parameter_count
    has_named = has_query_attributes and bool(flags & _QUERY_ATTRIBUTES_FLAG)
    if has_named:
        count = reader.read_lenenc_int()
        if not statement.parameter_count <= count <= MAX_PARAMETERS:
            raise PacketMalformed("the number of parameters is wrong")
    if count == 0:
        return statement.text
    null_bitmap = reader.read_bytes((count + 7) // 8)
    if reader.read_bytes(1) == b"\x01":
        statement.types = _read_types(reader, count, has_named)
    if len(statement.types) < count:
        raise PacketMalformed("the parameters have no types")
    literals = [_read_literal(statement, reader, null_bitmap, index) for index in range(count)]
    return _join_parts(statement, literals)


def read_query_attributes(data: bytes) -> tuple[str, dict[str, str]]:
    """Parse COM_QUERY of a caller that negotiated query attributes.

    :param data: the packet after its command byte.
    :returns: the statement and the attributes.
    :raises PacketMalformed: if the attributes are malformed.
    """
    reader = PacketReader(data)
    count = reader.read_lenenc_int()
    reader.read_lenenc_int()
    attributes: dict[str, str] = {}
    if count > MAX_PARAMETERS:
        raise PacketMalformed("there are too many attributes")
    if count:
        null_bitmap = reader.read_bytes((count + 7) // 8)
        if reader.read_bytes(1) != b"\x01":
            raise PacketMalformed("the attributes have no types")
        headers = [(reader.unpack("<H")[0], reader.read_lenenc_bytes()) for _ in range(count)]
        for index, (type_code, name) in enumerate(headers):
            if null_bitmap[index // 8] >> index % 8 & 1:
                continue
            attributes[name.decode("utf-8", "replace")] = _read_attribute(reader, type_code)
    return reader.read_rest().decode("utf-8", "surrogateescape"), attributes


def _read_attribute(reader: PacketReader, type_code: int) -> str:
    kind = type_code & 0xFF
    is_number = kind in _INTEGER_FORMATS or kind in _FLOAT_FORMATS or kind == _YEAR_TYPE
    if is_number or kind in _DATE_TYPES or kind in (_TIME_TYPE, _NULL_TYPE):
        return _decode_literal(reader, type_code).strip(" '")
    return reader.read_lenenc_bytes().decode("utf-8", "replace")


def _read_types(reader: PacketReader, count: int, has_names: bool) -> list[int]:
    types: list[int] = []
    for _ in range(count):
        (type_code,) = reader.unpack("<H")
        types.append(type_code)
        if has_names:
            reader.read_lenenc_bytes()
    return types


def _read_literal(
    statement: PreparedStatement, reader: PacketReader, null_bitmap: bytes, index: int
) -> str:
    type_code = statement.types[index]
    long_value = statement.long_data.get(index)
    if long_value is not None:
        return _bytes_literal(bytes(long_value), type_code & 0xFF)
    if null_bitmap[index // 8] >> index % 8 & 1 or type_code & 0xFF == _NULL_TYPE:
        return "NULL"
    return _decode_literal(reader, type_code)


def _join_parts(statement: PreparedStatement, literals: list[str]) -> str:
    pieces = [statement.parts[0]]
    # Query attributes follow the statement's own parameters and are not part of its text.
    for part, literal in zip(statement.parts[1:], literals, strict=False):
        pieces += [literal, part]
    text = "".join(pieces)
    if len(text) > MAX_STATEMENT_BYTES:
        raise PacketTooLarge("the statement with its parameters is too large")
    return text


def _decode_literal(reader: PacketReader, type_code: int) -> str:
    kind = type_code & 0xFF
    if kind == _NULL_TYPE:
        return "NULL"
    if kind in _INTEGER_FORMATS:
        signed, unsigned = _INTEGER_FORMATS[kind]
        layout = unsigned if type_code & _UNSIGNED_FLAG else signed
        return _separate_minus(str(reader.unpack("<" + layout)[0]))
    if kind == _YEAR_TYPE:
        return str(reader.unpack("<H")[0])
    if kind in _FLOAT_FORMATS:
        return _float_literal(reader.unpack(_FLOAT_FORMATS[kind])[0])
    if kind in _DATE_TYPES:
        return _date_literal(reader, kind)
    if kind == _TIME_TYPE:
        return _time_literal(reader)
    return _bytes_literal(reader.read_lenenc_bytes(), kind)


def _separate_minus(number: str) -> str:
    # Without the space, "a-?" with -1 would start a comment.
    return f" {number}" if number.startswith("-") else number


def _float_literal(number: float) -> str:
    if not math.isfinite(number):
        raise PacketMalformed("a parameter is not a finite number")
    return _separate_minus(repr(number))


def _date_literal(reader: PacketReader, kind: int) -> str:
    size_bytes = reader.read_bytes(1)[0]
    if size_bytes == 0:
        return "'0000-00-00'" if kind == _DATE_ONLY_TYPE else "'0000-00-00 00:00:00'"
    if size_bytes not in (4, 7, 11):
        raise PacketMalformed("a date parameter has a wrong length")
    year, month, day = reader.unpack("<HBB")
    text = f"{year:04d}-{month:02d}-{day:02d}"
    if size_bytes >= 7:
        hour, minute, second = reader.unpack("<BBB")
        text += f" {hour:02d}:{minute:02d}:{second:02d}"
    if size_bytes == 11:
        text += f".{reader.unpack('<I')[0]:06d}"
    return f"'{text}'"


def _time_literal(reader: PacketReader) -> str:
    size_bytes = reader.read_bytes(1)[0]
    if size_bytes == 0:
        return "'00:00:00'"
    if size_bytes not in (8, 12):
        raise PacketMalformed("a time parameter has a wrong length")
    is_negative, days, hour, minute, second = reader.unpack("<BIBBB")
    text = f"{'-' if is_negative else ''}{days * 24 + hour:02d}:{minute:02d}:{second:02d}"
    if size_bytes == 12:
        text += f".{reader.unpack('<I')[0]:06d}"
    return f"'{text}'"


def _bytes_literal(raw: bytes, kind: int) -> str:
    if kind in _DECIMAL_TYPES and _DECIMAL.fullmatch(raw):
        return _separate_minus(raw.decode("ascii"))
    if kind in _BLOB_TYPES:
        return f"x'{raw.hex()}'"
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError:
        return f"x'{raw.hex()}'"
    return f"'{text.translate(_ESCAPES)}'"
