"""Guards parameters of prepared statements: types are kept and no value escapes its quotes."""

import struct

import pytest

from pistachiowinch.proxy import prepared
from pistachiowinch.proxy.prepared import PreparedStatement, bind
from pistachiowinch.proxy.stream import PacketMalformed, PacketTooLarge


def execute_packet(types, values, nulls=b"\x00", has_types=True):
    head = struct.pack("<IBI", 1, 0, 1) + nulls + (b"\x01" if has_types else b"\x00")
    codes = b"".join(struct.pack("<H", code) for code in types) if has_types else b""
    return head + codes + b"".join(values)


def lenenc(raw):
    return bytes([len(raw)]) + raw


@pytest.mark.parametrize(
    ("type_code", "value", "literal"),
    [
        (1, struct.pack("<b", -5), " -5"),
        (0x8001, b"\xff", "255"),
        (8, struct.pack("<q", -(2**63)), f" {-(2**63)}"),
        (0x8008, struct.pack("<Q", 2**64 - 1), str(2**64 - 1)),
        (5, struct.pack("<d", 0.1), "0.1"),
        (246, lenenc(b"12.50"), "12.50"),
        (246, lenenc(b"1 OR 1=1"), "'1 OR 1=1'"),
        (253, lenenc(b"it's \\ \x00 \n"), r"'it''s \\ \0 \n'"),
        (253, lenenc("é".encode()), "'é'"),
        (254, lenenc(b"\xff\xfe"), "x'fffe'"),
        (252, lenenc(b"\x00'"), "x'0027'"),
        (10, b"\x04" + struct.pack("<HBB", 2026, 2, 3), "'2026-02-03'"),
        (12, b"\x00", "'0000-00-00 00:00:00'"),
        (12, b"\x0b" + struct.pack("<HBBBBBI", 2026, 2, 3, 4, 5, 6, 7), None),
        (11, b"\x08" + struct.pack("<BIBBB", 1, 2, 3, 4, 5), "'-51:04:05'"),
        (6, b"", "NULL"),
    ],
)
def test_literals(type_code, value, literal):
    statement = PreparedStatement(1, "SELECT ?")
    expected = literal or "'2026-02-03 04:05:06.000007'"
    assert bind(statement, execute_packet([type_code], [value]), False) == f"SELECT {expected}"


def test_negative_number_does_not_start_a_comment():
    statement = PreparedStatement(1, "SELECT a-? FROM t")
    text = bind(statement, execute_packet([1], [b"\xff"]), False)
    assert text == "SELECT a- -1 FROM t"


def test_nulls_and_kept_types():
    statement = PreparedStatement(1, "INSERT INTO t VALUES (?, '?', ?)")
    bind(statement, execute_packet([8, 253], [struct.pack("<q", 1), lenenc(b"a")]), False)
    second_execution = execute_packet([], [struct.pack("<q", 2)], nulls=b"\x02", has_types=False)
    assert bind(statement, second_execution, False) == "INSERT INTO t VALUES (2, '?', NULL)"


def test_query_attributes_are_not_parameters():
    statement = PreparedStatement(1, "SELECT ?")
    names = struct.pack("<H", 253) + b"\x00" + struct.pack("<H", 253) + lenenc(b"trace")
    data = struct.pack("<IBI", 1, 8, 1) + b"\x02\x00\x01" + names + lenenc(b"a") + lenenc(b"x")
    assert bind(statement, data, True) == "SELECT 'a'"


def test_long_data_is_used_once():
    statement = PreparedStatement(1, "SELECT ?")
    statement.append_long_data(0, b"ab", 10)
    statement.append_long_data(0, b"c", 8)
    assert bind(statement, execute_packet([252], []), False) == "SELECT x'616263'"
    statement.reset()
    assert bind(statement, execute_packet([252], [lenenc(b"z")]), False) == "SELECT x'7a'"


@pytest.mark.parametrize(
    "data",
    [
        struct.pack("<IBI", 1, 0, 1),
        execute_packet([8], [b"\x01"]),
        execute_packet([253], [b"\x05ab"]),
        execute_packet([253], [b"\xff"]),
        execute_packet([], [b"\x01"], has_types=False),
        execute_packet([12], [b"\x05abcde"]),
        execute_packet([11], [b"\x03abc"]),
        execute_packet([5], [struct.pack("<d", float("nan"))]),
        b"\x01\x00",
    ],
)
def test_malformed_parameters_are_errors(data):
    with pytest.raises(PacketMalformed):
        bind(PreparedStatement(1, "SELECT ?"), data, False)


@pytest.mark.parametrize("index", [0, 5])
def test_too_much_long_data_is_an_error_at_execution(index):
    statement = PreparedStatement(1, "SELECT ?")
    statement.append_long_data(0, b"x", 10)
    statement.append_long_data(index, b"x" * (10 if index == 0 else 1), 9)
    assert not statement.long_data
    with pytest.raises(PacketTooLarge):
        bind(statement, execute_packet([252], []), False)


def test_statement_that_grows_too_large_is_an_error(monkeypatch):
    monkeypatch.setattr(prepared, "MAX_STATEMENT_BYTES", 20)
    with pytest.raises(PacketTooLarge):
        bind(PreparedStatement(1, "SELECT ?"), execute_packet([253], [lenenc(b"x" * 30)]), False)
