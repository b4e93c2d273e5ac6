"""Guards the parsing of logins: a truncated packet raises an error and never loops."""

import struct

import pytest
from mysql_mimic.types import Capabilities
from proxy.proxy_support import CLIENT_FLAGS, lenenc

from pistachiowinch.proxy.connection import CAPABILITIES
from pistachiowinch.proxy.login_packets import is_utf8, parse_change_user, parse_login
from pistachiowinch.proxy.prepared import read_query_attributes
from pistachiowinch.proxy.stream import PacketMalformed

LENENC = 0x200000
ATTRIBUTES = lenenc(b"_pid") + lenenc(b"17")


def login(flags=CLIENT_FLAGS):
    head = struct.pack("<IIB23x", flags, 1 << 24, 45)
    names = b"key-1\x00" + lenenc(b"r" * 20) + b"hire\x00mysql_native_password\x00"
    return head + names + lenenc(ATTRIBUTES)


@pytest.mark.parametrize("flags", [CLIENT_FLAGS, CLIENT_FLAGS | LENENC])
def test_complete_login(flags):
    found = parse_login(CAPABILITIES, login(flags))
    assert (found.user, found.response, found.database) == ("key-1", b"r" * 20, "hire")
    assert (found.plugin, found.attributes) == ("mysql_native_password", {"_pid": "17"})
    assert Capabilities.CLIENT_SSL not in found.capabilities


@pytest.mark.parametrize("flags", [CLIENT_FLAGS, CLIENT_FLAGS | LENENC])
def test_shortened_logins_are_errors_or_lack_whole_fields(flags):
    packet = login(flags)
    complete = 0
    for length in range(len(packet)):
        try:
            found = parse_login(CAPABILITIES, packet[:length])
        except PacketMalformed:
            continue
        complete += 1
        assert found.user == "key-1"
    # The packet may end before the database, the plugin or the attributes.
    assert complete == 3


def test_old_drivers_and_tls_are_refused():
    with pytest.raises(PacketMalformed, match="too old"):
        parse_login(CAPABILITIES, login(CLIENT_FLAGS & ~0x200))
    with pytest.raises(PacketMalformed, match="TLS"):
        parse_login(CAPABILITIES, login(CLIENT_FLAGS | 0x800)[:32])


def test_attribute_lengths_beyond_the_packet_are_errors():
    with pytest.raises(PacketMalformed):
        parse_login(CAPABILITIES, login()[:-1])
    with pytest.raises(PacketMalformed):
        parse_login(CAPABILITIES, login()[: -len(ATTRIBUTES) - 1] + b"\xfe" + b"\xff" * 8)
    many = b"".join(lenenc(str(index).encode()) + lenenc(b"") for index in range(300))
    packet = login()[: -len(ATTRIBUTES) - 1] + b"\xfc" + struct.pack("<H", len(many)) + many
    with pytest.raises(PacketMalformed, match="too many"):
        parse_login(CAPABILITIES, packet)


def test_change_user():
    data = b"key-2\x00" + lenenc(b"r" * 20) + b"hire\x00\x2d\x00mysql_native_password\x00"
    found = parse_change_user(Capabilities(CLIENT_FLAGS), 33, data + lenenc(ATTRIBUTES))
    assert (found.user, found.database, found.collation) == ("key-2", "hire", 45)
    assert found.attributes == {"_pid": "17"}
    assert parse_change_user(Capabilities(0), 33, b"k\x00\x00\x00").collation == 33
    for length in range(len(data) - 24):
        with pytest.raises(PacketMalformed):
            parse_change_user(Capabilities(CLIENT_FLAGS), 33, data[:length])


@pytest.mark.parametrize(
    ("collation", "is_supported"), [(8, False), (33, True), (45, True), (63, True), (255, True)]
)
def test_collations(collation, is_supported):
    assert is_utf8(collation) is is_supported


def test_query_attributes():
    headers = b"".join(
        struct.pack("<H", code) + lenenc(name)
        for code, name in ((253, b"trace"), (8, b"number"), (253, b"none"))
    )
    values = lenenc(b"abc") + struct.pack("<q", -3)
    data = b"\x03\x01\x04\x01" + headers + values + b"SELECT 1"
    assert read_query_attributes(data) == ("SELECT 1", {"trace": "abc", "number": "-3"})
    for length in range(len(data) - len(b"SELECT 1")):
        with pytest.raises(PacketMalformed):
            read_query_attributes(data[:length])
    assert read_query_attributes(b"\x00\x01SELECT 2") == ("SELECT 2", {})
