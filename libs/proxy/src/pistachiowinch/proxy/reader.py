"""Reader for the fields of a packet, which raises an error if the packet is too short."""

import struct

from pistachiowinch.proxy.stream import PacketMalformed
from pistachiowinch.targets.rows import read_length_encoded

__all__ = ["PacketReader"]


class PacketReader:
    """Reads the fields of a packet in order.

    :param payload: the packet.
    :param offset: position of the first field.
    """

    def __init__(self, payload: bytes, offset: int = 0) -> None:
        """Create a reader at the offset."""
        self._payload = payload
        self._offset = offset

    @property
    def is_at_end(self) -> bool:
        """Whether all bytes have been read."""
        return self._offset >= len(self._payload)

    def read_bytes(self, size_bytes: int) -> bytes:
        """Read a number of bytes.

        :param size_bytes: number of bytes.
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

        :param layout: format string of :mod:`struct`.
        :raises PacketMalformed: if the packet is shorter.
        """
        return struct.unpack(layout, self.read_bytes(struct.calcsize(layout)))

    def read_lenenc_int(self) -> int:
        """Read a length-encoded integer.

        :raises PacketMalformed: if the bytes are not a complete length-encoded integer.
        """
        try:
            value, self._offset = read_length_encoded(self._payload, self._offset)
        except ValueError as error:
            raise PacketMalformed(str(error)) from error
        return value

    def read_lenenc_bytes(self) -> bytes:
        """Read a field that is prefixed with its length.

        :raises PacketMalformed: if the packet is shorter.
        """
        return self.read_bytes(self.read_lenenc_int())

    def read_nul_terminated(self) -> bytes:
        """Read a field that is terminated by a zero byte.

        :raises PacketMalformed: if there is no zero byte.
        """
        end = self._payload.find(b"\x00", self._offset)
        if end < 0:
            raise PacketMalformed("a text in the packet has no end")
        raw = self._payload[self._offset : end]
        self._offset = end + 1
        return raw

    def read_rest(self) -> bytes:
        """Read all remaining bytes."""
        return self.read_bytes(len(self._payload) - self._offset)
