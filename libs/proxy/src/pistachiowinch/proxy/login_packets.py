"""Parsers for the login packets of callers.

The parsers of ``mysql-mimic`` 3.0.5 loop forever on a login packet with an unterminated string, so
one packet of an unauthenticated caller could block the process. They are not used for this reason.
"""

from typing import NamedTuple

from mysql_mimic.types import Capabilities

from pistachiowinch.proxy.reader import PacketReader
from pistachiowinch.proxy.stream import PacketMalformed

__all__ = ["LoginPacket", "is_utf8", "parse_change_user", "parse_login"]

MAX_ATTRIBUTES = 256

_LOGIN_HEADER_FORMAT = "<IIB23x"
_FLAGS_BYTES = 4
_SSL_REQUEST_BYTES = 32
# utf8mb3, utf8mb4, ascii and binary; bytes in the latter two are forwarded unchanged.
_UTF8_COLLATIONS = frozenset({11, 33, 45, 46, 63, 65, 76, 83, 223, *range(192, 216)})
_UTF8_RANGES = (range(224, 248), range(255, 324))


class LoginPacket(NamedTuple):
    """Fields of a login packet.

    :param capabilities: capability flags that both the caller and the server support.
    :param collation: MySQL's id of the caller's character set and collation.
    :param user: the user name, which is the key's id.
    :param response: the caller's response to the nonce.
    :param database: the service; empty if none.
    :param plugin: authentication plugin that made the response; empty if not stated.
    :param attributes: connection attributes.
    """

    capabilities: Capabilities
    collation: int
    user: str
    response: bytes
    database: str
    plugin: str
    attributes: dict[str, str]


def is_utf8(collation: int) -> bool:
    """Return whether texts in a collation can be forwarded as UTF-8.

    :param collation: MySQL's id of the collation.
    """
    return collation in _UTF8_COLLATIONS or any(
        collation in collations for collations in _UTF8_RANGES
    )


def _decode_text(raw: bytes) -> str:
    return raw.decode("utf-8", "replace")


def _read_attributes(reader: PacketReader) -> dict[str, str]:
    pairs = PacketReader(reader.read_lenenc_bytes())
    parsed: dict[str, str] = {}
    while not pairs.is_at_end:
        name = _decode_text(pairs.read_lenenc_bytes())
        parsed[name] = _decode_text(pairs.read_lenenc_bytes())
        if len(parsed) > MAX_ATTRIBUTES:
            raise PacketMalformed("there are too many attributes")
    return parsed


def parse_login(offered: Capabilities, data: bytes) -> LoginPacket:
    """Parse the caller's response to the handshake.

    :param offered: capability flags that the server offered.
    :param data: the packet.
    :raises PacketMalformed: if it is not a login packet of protocol 4.1.
    """
    if len(data) >= _FLAGS_BYTES:
        flags = Capabilities(int.from_bytes(data[:_FLAGS_BYTES], "little"))
        if Capabilities.CLIENT_SSL in flags and len(data) == _SSL_REQUEST_BYTES:
            raise PacketMalformed("TLS is not offered")
    reader = PacketReader(data)
    flag_bits, _, collation = reader.unpack(_LOGIN_HEADER_FORMAT)
    flags = Capabilities(flag_bits)
    if Capabilities.CLIENT_PROTOCOL_41 not in flags:
        raise PacketMalformed("the driver is too old")
    flags &= offered
    user = _decode_text(reader.read_nul_terminated())
    if Capabilities.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA in flags:
        response = reader.read_lenenc_bytes()
    elif Capabilities.CLIENT_SECURE_CONNECTION in flags:
        response = reader.read_bytes(reader.read_bytes(1)[0])
    else:
        response = reader.read_nul_terminated()
    database = plugin = ""
    attributes: dict[str, str] = {}
    if Capabilities.CLIENT_CONNECT_WITH_DB in flags and not reader.is_at_end:
        database = _decode_text(reader.read_nul_terminated())
    if Capabilities.CLIENT_PLUGIN_AUTH in flags and not reader.is_at_end:
        plugin = _decode_text(reader.read_nul_terminated())
    if Capabilities.CLIENT_CONNECT_ATTRS in flags and not reader.is_at_end:
        attributes = _read_attributes(reader)
    return LoginPacket(flags, collation, user, response, database, plugin, attributes)


def parse_change_user(flags: Capabilities, collation: int, data: bytes) -> LoginPacket:
    """Parse COM_CHANGE_USER.

    :param flags: capability flags of the connection.
    :param collation: the connection's collation, used if the packet contains none.
    :param data: the packet after its command byte.
    :raises PacketMalformed: if the packet cannot be parsed.
    """
    reader = PacketReader(data)
    user = _decode_text(reader.read_nul_terminated())
    response = reader.read_bytes(reader.read_bytes(1)[0])
    database = _decode_text(reader.read_nul_terminated())
    plugin = ""
    attributes: dict[str, str] = {}
    if not reader.is_at_end:
        (collation,) = reader.unpack("<H")
    if Capabilities.CLIENT_PLUGIN_AUTH in flags and not reader.is_at_end:
        plugin = _decode_text(reader.read_nul_terminated())
    if Capabilities.CLIENT_CONNECT_ATTRS in flags and not reader.is_at_end:
        attributes = _read_attributes(reader)
    return LoginPacket(flags, collation, user, response, database, plugin, attributes)
