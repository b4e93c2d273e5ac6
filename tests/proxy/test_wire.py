"""Guards the encoding of values, which drivers parse by the type of the column."""

import datetime
import decimal
import struct

import pytest

from pistachiowinch.base.codes import KEY_WITHDRAWN, Refusal
from pistachiowinch.links.targets import Column, QueryResult
from pistachiowinch.proxy.wire import encode_lenenc_int, error_packet, result_packets, reusable_rows
from pistachiowinch.targets.rows import TextRows, read_length_encoded


@pytest.mark.parametrize("number", [0, 250, 251, 65_535, 65_536, 2**24 - 1, 2**24, 2**64 - 1])
def test_length_encoded_integers_round_trip(number):
    raw = encode_lenenc_int(number)
    assert read_length_encoded(raw, 0) == (number, len(raw))
    with pytest.raises(ValueError, match="ends"):
        read_length_encoded(raw[:-1], 0)


@pytest.mark.parametrize(
    ("type_code", "value", "binary"),
    [
        (1, -1, b"\xff"),
        (2, 300, b"\x2c\x01"),
        (13, 2026, b"\xea\x07"),
        (4, 0.5, b"\x00\x00\x00\x3f"),
        (10, "2026-02-03", b"\x04\xea\x07\x02\x03"),
        (12, "0000-00-00 00:00:00", b"\x00"),
        (12, "2026-02-03 00:00:00", b"\x04\xea\x07\x02\x03"),
        (12, "2026-02-03 04:05:06", b"\x07\xea\x07\x02\x03\x04\x05\x06"),
        (12, "2026-02-03 04:05:06.5", b"\x0b\xea\x07\x02\x03\x04\x05\x06\x20\xa1\x07\x00"),
        (11, "00:00:00", b"\x00"),
        (11, "-26:00:01", b"\x08\x01\x01\x00\x00\x00\x02\x00\x01"),
        (11, datetime.timedelta(seconds=-1), b"\x08\x01\x00\x00\x00\x00\x00\x00\x01"),
        (246, decimal.Decimal("1E+2"), b"\x03100"),
        (253, True, b"\x011"),
        (252, b"\x00\xff", b"\x02\x00\xff"),
    ],
)
def test_binary_values(type_code, value, binary):
    result = QueryResult(columns=(Column("c", type_code),), rows=((value,),))
    row = result_packets(result, 2, True, is_binary=True)[2]
    assert row == b"\x00\x00" + binary


@pytest.mark.parametrize(
    ("type_code", "value"), [(8, "x"), (1, 300), (12, "yesterday"), (11, "noon"), (5, "x")]
)
def test_values_of_another_type_are_errors(type_code, value):
    result = QueryResult(columns=(Column("c", type_code),), rows=((value,),))
    with pytest.raises((ValueError, struct.error)):
        result_packets(result, 2, True, is_binary=True)


def test_null_bitmap_of_many_columns():
    columns = tuple(Column(str(index), 1) for index in range(9))
    row = (None, *range(1, 8), None)
    packet = result_packets(QueryResult(columns=columns, rows=(row,)), 2, True, is_binary=True)[10]
    assert packet == b"\x00\x04\x04" + bytes(range(1, 8))


def test_refusals_are_cut_to_the_protocols_limit():
    packet = error_packet(Refusal(KEY_WITHDRAWN, "x" * 5000))
    assert packet.startswith(b"\xff\x15\x04#28000PW1002 KEY_WITHDRAWN")
    assert len(packet) < 600


def test_rows_are_only_forwarded_unchanged_in_the_same_protocol_version():
    rows = TextRows((Column("c", 8),), b"", b"", 0, 3, True)
    result = QueryResult(columns=rows.columns, rows=rows)
    assert reusable_rows(result, True) is rows
    assert reusable_rows(result, False) is None
    assert reusable_rows(QueryResult(columns=rows.columns), True) is None
