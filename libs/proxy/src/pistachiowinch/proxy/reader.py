"""Reads fields of one packet; a short packet is an error and never a loop."""

import struct

from pistachiowinch.proxy.stream import PacketMalformed
from pistachiowinch.targets.rows import read_length_encoded

__all__ = ["PacketReader"]


class PacketReader:
    """Position in one packet.

    :param payload: the packet.
    :param offset: where reading starts.
    """

    def __init__(self, payload: bytes, offset: int = 0) -> None:
        """Start at the offset."""
        self._payload = payload
        self._offset = offset

    @property
    def is_at_end(self) -> bool:
        """Whether all bytes were read."""
        return self._offset >= len(self._payload)

    def take(self, size_bytes: int) -> bytes:
        """Read a number of bytes.

        :param size_bytes: how many.
        :raises PacketMalformed: if the packet is shorter.
        """
        end = self._offset + size_bytes
        if end > len(self._payload):
            raise PacketMalformed("the packet ends inside a field")
        raw = self._payload[self._offset : end]
        self._offset = end
        return raw

    def unpack(self, layout: str) -> tuple:
        """Read fields of fixed size.

        :param layout: as for :mod:`struct`.
        :raises PacketMalformed: if the packet is shorter.
        """
        return struct.unpack(layout, self.take(struct.calcsize(layout)))

    def length(self) -> int:
        """Read a length-encoded integer.

        :raises PacketMalformed: if it is not one.
        """
        try:
            value, self._offset = read_length_encoded(self._payload, self._offset)
        except ValueError as error:
            raise PacketMalformed(str(error)) from error
        return value

    def sized(self) -> bytes:
        """Read a field that starts with its length.

        :raises PacketMalformed: if the packet is shorter.
        """
        return self.take(self.length())

    def terminated(self) -> bytes:
        """Read a field that ends with a zero byte.

        :raises PacketMalformed: if there is no zero byte.
        """
        end = self._payload.find(b"\x00", self._offset)
        if end < 0:
            raise PacketMalformed("a text in the packet has no end")
        raw = self._payload[self._offset : end]
        self._offset = end + 1
        return raw

    def rest(self) -> bytes:
        """Read everything that is left."""
        return self.take(len(self._payload) - self._offset)
