"""Encoding of query results as MySQL packets in the text and the binary protocol."""

import datetime
import decimal
import functools
import re
import struct
from collections.abc import Iterable, Iterator
from typing import Any

from pistachiowinch.base.codes import Refusal
from pistachiowinch.links.targets import Column, Failed, QueryResult
from pistachiowinch.targets.rows import TextRows

__all__ = [
    "STATUS_AUTOCOMMIT",
    "STATUS_IN_TRANSACTION",
    "column_packet",
    "encode_lenenc_int",
    "end_packet",
    "error_packet",
    "ok_packet",
    "result_packets",
    "reusable_rows",
]

STATUS_IN_TRANSACTION = 0x0001
STATUS_AUTOCOMMIT = 0x0002

_UNSIGNED_FLAG = 0x20
_TWO_UINT16 = struct.Struct("<HH")
_MAX_ERROR_CHARS = 512
_INTEGER_FORMATS = {1: "bB", 2: "hH", 3: "iI", 8: "qQ", 9: "iI", 13: "hH"}
_FLOAT_FORMATS = {4: "<f", 5: "<d"}
_DATE_TYPES = frozenset({7, 10, 12, 14})
_TIME_TYPE = 11
_DATE = re.compile(rb"(\d{4})-(\d\d)-(\d\d)(?:[ T](\d\d):(\d\d):(\d\d)(?:\.(\d{1,6}))?)?")
_TIME = re.compile(rb"(-?)(\d{1,3}):(\d\d):(\d\d)(?:\.(\d{1,6}))?")


def encode_lenenc_int(number: int) -> bytes:
    """Encode a length-encoded integer.

    :param number: the integer, from 0 to 2**64 - 1.
    """
    if number < 251:
        return bytes((number,))
    if number < 1 << 16:
        return b"\xfc" + number.to_bytes(2, "little")
    if number < 1 << 24:
        return b"\xfd" + number.to_bytes(3, "little")
    return b"\xfe" + number.to_bytes(8, "little")


def _encode_lenenc_bytes(raw: bytes) -> bytes:
    return encode_lenenc_int(len(raw)) + raw


def _encode_lenenc_text(text: str) -> bytes:
    return _encode_lenenc_bytes(text.encode("utf-8", "replace"))


@functools.lru_cache(maxsize=4096)
def column_packet(column: Column) -> bytes:
    """Encode a column definition; the packets of recent columns are cached.

    :param column: the column as the target described it.
    """
    names = (column.schema, column.table, column.org_table, column.name, column.org_name)
    tail = struct.pack(
        "<BHIBHBH",
        0x0C,
        column.charset,
        column.length_bytes,
        column.type_code,
        column.flags & 0xFFFF,
        column.decimals,
        0,
    )
    return b"".join([_encode_lenenc_text("def"), *map(_encode_lenenc_text, names), tail])


def ok_packet(result: QueryResult, status: int) -> bytes:
    """Encode the OK packet of a statement without a result set.

    :param result: the statement's result.
    :param status: server status flags.
    """
    return b"\x00" + _result_fields(result, status)


def _result_fields(result: QueryResult, status: int) -> bytes:
    if not result.affected_rows and not result.last_insert_id:
        return b"\x00\x00" + _TWO_UINT16.pack(status, result.warnings)
    counts = encode_lenenc_int(result.affected_rows) + encode_lenenc_int(result.last_insert_id)
    return counts + _TWO_UINT16.pack(status, result.warnings)


def end_packet(result: QueryResult, status: int, is_eof_deprecated: bool) -> bytes:
    """Encode the last packet of a result set.

    :param result: the statement's result.
    :param status: server status flags.
    :param is_eof_deprecated: whether the caller expects an OK packet instead of an EOF packet.
    """
    if is_eof_deprecated:
        return b"\xfe" + _result_fields(result, status)
    return b"\xfe" + struct.pack("<HH", result.warnings, status)


def error_packet(error: Refusal | Failed) -> bytes:
    """Encode an error with its error number and SQLSTATE.

    :param error: a refusal or an error of the target.
    """
    if isinstance(error, Failed):
        errno, sqlstate, message = error
    else:
        errno, sqlstate = error.code.mysql_errno, error.code.sqlstate
        message = error.message[:_MAX_ERROR_CHARS]
    head = b"\xff" + struct.pack("<H", errno & 0xFFFF)
    state = sqlstate.encode("ascii", "replace")[:5].ljust(5, b"0")
    return head + b"#" + state + message.encode("utf-8", "replace")


def result_packets(
    result: QueryResult, status: int, is_eof_deprecated: bool, is_binary: bool
) -> list[bytes]:
    """Encode a whole result.

    :param result: the statement's result.
    :param status: server status flags.
    :param is_eof_deprecated: whether the caller expects an OK packet instead of EOF packets.
    :param is_binary: whether the rows are sent in the binary protocol.
    """
    if not result.columns:
        return [ok_packet(result, status)]
    packets = [encode_lenenc_int(len(result.columns))]
    packets += [column_packet(column) for column in result.columns]
    if not is_eof_deprecated:
        packets.append(end_packet(result, status, is_eof_deprecated=False))
    if is_binary:
        packets += _binary_rows(result)
    elif isinstance(result.rows, TextRows):
        packets += result.rows.payloads()
    else:
        packets += map(_text_row, result.rows)
    packets.append(end_packet(result, status, is_eof_deprecated))
    return packets


def reusable_rows(result: QueryResult, is_eof_deprecated: bool) -> TextRows | None:
    """Return a result's rows if their packets can be sent unchanged.

    :param result: the statement's result.
    :param is_eof_deprecated: whether the caller expects an OK packet instead of EOF packets.
    """
    rows = result.rows
    if type(rows) is TextRows and rows.is_eof_deprecated == is_eof_deprecated:
        return rows
    return None


def _value_text(value: Any) -> bytes | None:
    match value:
        case None:
            return None
        case bool():
            return b"1" if value else b"0"
        case bytes() | bytearray() | memoryview():
            return bytes(value)
        case str():
            return value.encode("utf-8", "surrogateescape")
        case float():
            return repr(value).encode()
        case datetime.datetime():
            return value.isoformat(" ").encode()
        case datetime.timedelta():
            return _duration_text(value)
        case decimal.Decimal():
            return format(value, "f").encode()
        case _:
            return str(value).encode()


def _duration_text(value: datetime.timedelta) -> bytes:
    sign = "-" if value < datetime.timedelta(0) else ""
    value = abs(value)
    seconds = value.days * 86_400 + value.seconds
    hours, minutes = seconds // 3600, seconds // 60 % 60
    fraction = f".{value.microseconds:06d}" if value.microseconds else ""
    return f"{sign}{hours:02d}:{minutes:02d}:{seconds % 60:02d}{fraction}".encode()


def _text_row(row: Iterable[Any]) -> bytes:
    parts: list[bytes] = []
    for value in row:
        raw = _value_text(value)
        parts.append(b"\xfb" if raw is None else _encode_lenenc_bytes(raw))
    return b"".join(parts)


def _text_values(result: QueryResult) -> Iterator[list[bytes | None]]:
    if isinstance(result.rows, TextRows):
        yield from result.rows.texts()
        return
    for row in result.rows:
        yield [_value_text(value) for value in row]


def _binary_rows(result: QueryResult) -> Iterator[bytes]:
    columns = result.columns
    for values in _text_values(result):
        bitmap = bytearray((len(columns) + 9) // 8)
        parts: list[bytes] = []
        for index, (column, raw) in enumerate(zip(columns, values, strict=True)):
            if raw is None:
                bitmap[(index + 2) // 8] |= 1 << (index + 2) % 8
            else:
                parts.append(_binary_value(column, raw))
        yield b"".join([b"\x00", bytes(bitmap), *parts])


def _binary_value(column: Column, raw: bytes) -> bytes:
    kind = column.type_code
    if kind in _INTEGER_FORMATS:
        signed, unsigned = _INTEGER_FORMATS[kind]
        is_unsigned = bool(column.flags & _UNSIGNED_FLAG) or kind == 13
        return struct.pack("<" + (unsigned if is_unsigned else signed), int(raw))
    if kind in _FLOAT_FORMATS:
        return struct.pack(_FLOAT_FORMATS[kind], float(raw))
    if kind in _DATE_TYPES:
        return _binary_date(raw)
    if kind == _TIME_TYPE:
        return _binary_time(raw)
    return _encode_lenenc_bytes(raw)


def _microseconds(fraction: bytes | None) -> int:
    return int(fraction.ljust(6, b"0")) if fraction else 0


def _binary_date(raw: bytes) -> bytes:
    match = _DATE.fullmatch(raw)
    if match is None:
        raise ValueError("the target sent a malformed date")
    year, month, day, hour, minute, second = (int(part or 0) for part in match.groups()[:6])
    micros = _microseconds(match[7])
    if micros:
        return struct.pack("<BHBBBBBI", 11, year, month, day, hour, minute, second, micros)
    if hour or minute or second:
        return struct.pack("<BHBBBBB", 7, year, month, day, hour, minute, second)
    if year or month or day:
        return struct.pack("<BHBB", 4, year, month, day)
    return b"\x00"


def _binary_time(raw: bytes) -> bytes:
    match = _TIME.fullmatch(raw)
    if match is None:
        raise ValueError("the target sent a malformed time")
    hours, minute, second = int(match[2]), int(match[3]), int(match[4])
    micros = _microseconds(match[5])
    days, hour = divmod(hours, 24)
    if not (hours or minute or second or micros):
        return b"\x00"
    fields = (bool(match[1]), days, hour, minute, second)
    if micros:
        return struct.pack("<BBIBBBI", 12, *fields, micros)
    return struct.pack("<BBIBBB", 8, *fields)
