"""One text-protocol exchange over an ``asyncmy`` connection, keeping packets undecoded.

``asyncmy`` performs connecting, login and packet framing. Its own result type drops SQLSTATEs and
decodes every value, therefore answers are read packet by packet here.
"""

import functools
import struct

from asyncmy.connection import Connection
from asyncmy.protocol import MysqlPacket

from pistachiowinch.links.targets import Answer, Column, Failed
from pistachiowinch.targets.rows import TextRows, read_length_encoded

__all__ = ["MAX_ANSWER_BYTES", "ProtocolError", "TextProtocolConnection", "parse_column"]

# An answer is buffered until it is complete, because only a complete answer may reach a caller.
# The limit keeps one statement from taking the memory of all others.
MAX_ANSWER_BYTES = 64 * 1024 * 1024

_COM_QUERY = 3
_OK_MARK = 0x00
_EOF_MARK = 0xFE
_LOCAL_FILE_MARK = 0xFB
_MAX_PACKET_BYTES = 0xFFFFFF
_IN_TRANSACTION = 0x0001
_MORE_RESULTS = 0x0008
_SQLSTATE_BYTES = 5
_UNKNOWN_SQLSTATE = "HY000"
_COLUMN_TAIL = struct.Struct("<HIBHB")
_COLUMN_TAIL_MARK_BYTES = 1


class ProtocolError(Exception):
    """The target sent something that is not a valid or supported answer."""


class _ErrorPacketReceived(Exception):
    """Carries an error packet out of ``asyncmy``'s packet reader."""

    def __init__(self, payload: bytes) -> None:
        super().__init__("error packet")
        self.payload = payload


class _AnswerPacket(MysqlPacket):
    """Packet whose error keeps the SQLSTATE."""

    def raise_for_error(self) -> None:
        """Raise the error packet with its whole payload."""
        raise _ErrorPacketReceived(self.get_all_data())


def _parse_error(payload: bytes) -> Failed:
    errno = int.from_bytes(payload[1:3], "little")
    text = payload[3:]
    sqlstate = _UNKNOWN_SQLSTATE
    if text[:1] == b"#":
        sqlstate = text[1 : 1 + _SQLSTATE_BYTES].decode("ascii", "replace")
        text = text[1 + _SQLSTATE_BYTES :]
    return Failed(errno, sqlstate, text.decode("utf-8", "replace"))


def _read_text(payload: bytes, offset: int) -> tuple[str, int]:
    length_bytes, start = read_length_encoded(payload, offset)
    end = start + length_bytes
    if end > len(payload):
        raise ValueError("the packet ends inside a text")
    return payload[start:end].decode("utf-8", "replace"), end


@functools.lru_cache(maxsize=4096)
def parse_column(payload: bytes) -> Column:
    """Parse a column definition packet. Equal packets are parsed once.

    :param payload: the packet's payload.
    :raises ValueError: if it is malformed.
    """
    texts: list[str] = []
    offset = 0
    for _ in range(6):
        text, offset = _read_text(payload, offset)
        texts.append(text)
    _, schema, table, org_table, name, org_name = texts
    offset += _COLUMN_TAIL_MARK_BYTES
    if len(payload) < offset + _COLUMN_TAIL.size:
        raise ValueError("the column definition ends early")
    charset, length_bytes, type_code, flags, decimals = _COLUMN_TAIL.unpack_from(payload, offset)
    return Column(
        name=name,
        type_code=type_code,
        flags=flags,
        charset=charset,
        length_bytes=length_bytes,
        decimals=decimals,
        table=table,
        schema=schema,
        org_table=org_table,
        org_name=org_name,
    )


def _parse_ok(payload: bytes) -> tuple[Answer, int]:
    affected_rows, offset = read_length_encoded(payload, 1)
    last_insert_id, offset = read_length_encoded(payload, offset)
    status, warnings = struct.unpack_from("<HH", payload, offset)
    answer = Answer(
        affected_rows=affected_rows,
        last_insert_id=last_insert_id,
        warnings=warnings,
        is_in_transaction=bool(status & _IN_TRANSACTION),
    )
    return answer, status


def _parse_end_of_rows(payload: bytes, is_eof_deprecated: bool) -> tuple[int, int]:
    if is_eof_deprecated:
        answer, status = _parse_ok(payload)
        return status, answer.warnings
    warnings, status = struct.unpack_from("<HH", payload, 1)
    return status, warnings


class TextProtocolConnection(Connection):
    """``asyncmy`` connection with one additional command."""

    @property
    def is_open(self) -> bool:
        """Whether both sides keep the TCP connection open, as far as this side has heard."""
        return self.connected and self._transport is not None and not self._transport.is_closing()

    async def _read(self) -> bytes:
        packet = await self.read_packet(_AnswerPacket)
        return packet.get_all_data()

    async def exchange(self, text: str) -> Answer | Failed:
        """Send one statement and read its whole answer.

        :param text: the statement.
        :raises ProtocolError: if the answer is not understood, too large, or has several results.
        """
        await self._execute_command(_COM_QUERY, text.encode("utf-8", "surrogateescape"))
        try:
            first = await self._read()
            if first[0] == _OK_MARK:
                answer, status = _parse_ok(first)
            elif first[0] == _LOCAL_FILE_MARK:
                raise ProtocolError("the target asked for a local file")
            else:
                answer, status = await self._read_result_set(first)
        except _ErrorPacketReceived as error:
            return _parse_error(error.payload)
        if status & _MORE_RESULTS:
            raise ProtocolError("the statement has several results")
        return answer

    async def _read_result_set(self, first: bytes) -> tuple[Answer, int]:
        column_count, _ = read_length_encoded(first, 0)
        columns = tuple([parse_column(await self._read()) for _ in range(column_count)])
        if not self._deprecate_eof:
            await self._read()
        payloads: list[bytes] = []
        size_bytes = 0
        while True:
            payload = await self._read()
            if payload[0] == _EOF_MARK and len(payload) < _MAX_PACKET_BYTES:
                break
            size_bytes += len(payload)
            if size_bytes > MAX_ANSWER_BYTES:
                raise ProtocolError(f"the answer is larger than {MAX_ANSWER_BYTES} bytes")
            payloads.append(payload)
        status, warnings = _parse_end_of_rows(payload, self._deprecate_eof)
        answer = Answer(
            columns=columns,
            rows=TextRows(columns, tuple(payloads)),
            warnings=warnings,
            is_in_transaction=bool(status & _IN_TRANSACTION),
        )
        return answer, status
