"""Parses the packets of callers that may not be logged in yet.

The parsers of ``mysql-mimic`` 3.0.5 do not return when a text in a login packet has no end, which
would let one packet of an unknown peer stop the process. Therefore they are not used here.
"""

from typing import NamedTuple

from mysql_mimic.types import Capabilities

from pistachiowinch.proxy.reader import PacketReader
from pistachiowinch.proxy.stream import PacketMalformed

__all__ = ["LoginPacket", "is_utf8", "parse_change_user", "parse_login"]

MAX_ATTRIBUTES = 256

_LOGIN_HEAD = "<IIB23x"
_FLAGS_BYTES = 4
_SHORT_LOGIN_BYTES = 32
# utf8mb3, utf8mb4, ascii and binary; the bytes of the latter two pass unchanged.
_UTF8_COLLATIONS = frozenset({11, 33, 45, 46, 63, 65, 76, 83, 223, *range(192, 216)})
_UTF8_RANGES = (range(224, 248), range(255, 324))


class LoginPacket(NamedTuple):
    """What a caller sends to log in.

    :param capabilities: the caller's flags; those of the connection after the handshake.
    :param collation: number of the caller's character set and collation.
    :param user: the user name, which is the key's id.
    :param response: answer to the nonce.
    :param database: the service; empty if none.
    :param plugin: name of the method that made the response; empty if not stated.
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
    """Tell whether texts of a collation can be passed on as UTF-8.

    :param collation: MySQL's number of the collation.
    """
    return collation in _UTF8_COLLATIONS or any(collation in part for part in _UTF8_RANGES)


def _text(raw: bytes) -> str:
    return raw.decode("utf-8", "replace")


def _attributes(reader: PacketReader) -> dict[str, str]:
    pairs = PacketReader(reader.sized())
    found: dict[str, str] = {}
    while not pairs.is_at_end:
        name = _text(pairs.sized())
        found[name] = _text(pairs.sized())
        if len(found) > MAX_ATTRIBUTES:
            raise PacketMalformed("there are too many attributes")
    return found


def parse_login(offered: Capabilities, data: bytes) -> LoginPacket:
    """Parse the answer to the greeting.

    :param offered: flags that the server offered.
    :param data: the packet.
    :raises PacketMalformed: if it is not a login packet of protocol 4.1.
    """
    if len(data) >= _FLAGS_BYTES:
        flags = Capabilities(int.from_bytes(data[:_FLAGS_BYTES], "little"))
        if Capabilities.CLIENT_SSL in flags and len(data) == _SHORT_LOGIN_BYTES:
            raise PacketMalformed("TLS is not offered")
    reader = PacketReader(data)
    number, _, collation = reader.unpack(_LOGIN_HEAD)
    flags = Capabilities(number)
    if Capabilities.CLIENT_PROTOCOL_41 not in flags:
        raise PacketMalformed("the driver is too old")
    flags &= offered
    user = _text(reader.terminated())
    if Capabilities.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA in flags:
        response = reader.sized()
    elif Capabilities.CLIENT_SECURE_CONNECTION in flags:
        response = reader.take(reader.take(1)[0])
    else:
        response = reader.terminated()
    database = plugin = ""
    attributes: dict[str, str] = {}
    if Capabilities.CLIENT_CONNECT_WITH_DB in flags and not reader.is_at_end:
        database = _text(reader.terminated())
    if Capabilities.CLIENT_PLUGIN_AUTH in flags and not reader.is_at_end:
        plugin = _text(reader.terminated())
    if Capabilities.CLIENT_CONNECT_ATTRS in flags and not reader.is_at_end:
        attributes = _attributes(reader)
    return LoginPacket(flags, collation, user, response, database, plugin, attributes)


def parse_change_user(flags: Capabilities, collation: int, data: bytes) -> LoginPacket:
    """Parse COM_CHANGE_USER.

    :param flags: the connection's flags.
    :param collation: the connection's collation, which stays unless the packet names one.
    :param data: the packet after its command byte.
    :raises PacketMalformed: if it cannot be read.
    """
    reader = PacketReader(data)
    user = _text(reader.terminated())
    response = reader.take(reader.take(1)[0])
    database = _text(reader.terminated())
    plugin = ""
    attributes: dict[str, str] = {}
    if not reader.is_at_end:
        (collation,) = reader.unpack("<H")
    if Capabilities.CLIENT_PLUGIN_AUTH in flags and not reader.is_at_end:
        plugin = _text(reader.terminated())
    if Capabilities.CLIENT_CONNECT_ATTRS in flags and not reader.is_at_end:
        attributes = _attributes(reader)
    return LoginPacket(flags, collation, user, response, database, plugin, attributes)
