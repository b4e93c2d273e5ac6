"""Text-protocol exchanges over an ``asyncmy`` connection, keeping rows undecoded.

``asyncmy`` connects and logs in. Its result type drops SQLSTATEs and decodes every value, so this
module reads the answers after the login itself.
"""

import asyncio
import functools
import struct

from asyncmy.connection import Connection

from pistachiowinch.links.targets import Column, Failed, QueryResult
from pistachiowinch.targets.rows import (
    HEADER_BYTES,
    MAX_PAYLOAD_BYTES,
    TextRows,
    read_length_encoded,
    split_frames,
)

__all__ = [
    "MAX_ANSWER_BYTES",
    "ProtocolError",
    "TextExchange",
    "TextProtocolConnection",
    "parse_column",
]

# An answer is buffered until it is complete, because only a complete answer may reach a caller.
# The limit keeps one statement from exhausting the memory.
MAX_ANSWER_BYTES = 64 * 1024 * 1024

_ERROR_MARK = 0xFF
_OK_MARK = 0x00
_EOF_MARK = 0xFE
_LOCAL_FILE_MARK = 0xFB
_STATUS_IN_TRANSACTION = 0x0001
_STATUS_MORE_RESULTS = 0x0008
_TWO_UINT16 = struct.Struct("<HH")
_SQLSTATE_BYTES = 5
_UNKNOWN_SQLSTATE = "HY000"
_COLUMN_FIXED_FIELDS = struct.Struct("<HIBHB")
_FIXED_FIELDS_LENGTH_BYTES = 1


class ProtocolError(Exception):
    """The target sent something that is not a valid or supported answer."""


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
    """Parse a column definition packet; the results are cached.

    :param payload: the packet's payload.
    :raises ValueError: if it is malformed.
    """
    texts: list[str] = []
    offset = 0
    for _ in range(6):
        text, offset = _read_text(payload, offset)
        texts.append(text)
    _, schema, table, org_table, name, org_name = texts
    offset += _FIXED_FIELDS_LENGTH_BYTES
    if len(payload) < offset + _COLUMN_FIXED_FIELDS.size:
        raise ValueError("the column definition ends early")
    charset, length_bytes, type_code, flags, decimals = _COLUMN_FIXED_FIELDS.unpack_from(
        payload, offset
    )
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


def _parse_ok(payload: bytes) -> tuple[QueryResult, int]:
    affected_rows, offset = read_length_encoded(payload, 1)
    last_insert_id, offset = read_length_encoded(payload, offset)
    status, warnings = struct.unpack_from("<HH", payload, offset)
    answer = QueryResult(
        affected_rows=affected_rows,
        last_insert_id=last_insert_id,
        warnings=warnings,
        is_in_transaction=bool(status & _STATUS_IN_TRANSACTION),
    )
    return answer, status


# Which packet of an answer is expected next. Plain integers, because they are compared per packet.
_FIRST, _COLUMNS, _END_OF_COLUMNS, _ROWS = range(4)


@functools.lru_cache(maxsize=1024)
def _parse_columns(head: bytes, column_count: int) -> tuple[Column, ...]:
    payloads = list(split_frames(head))
    return tuple([parse_column(payload) for payload in payloads[1 : 1 + column_count]])


class TextExchange(asyncio.Protocol):
    """Sends statements and collects their answers on a connection that is logged in.

    Packets are collected as they arrive. For a short answer this takes a third of the time that
    awaiting each packet takes.

    :param transport: the connection.
    :param is_eof_deprecated: whether result sets end with an OK packet.
    """

    def __init__(self, transport: asyncio.Transport, is_eof_deprecated: bool) -> None:
        """Take over the connection from the protocol that logged in."""
        self._transport = transport
        self._is_eof_deprecated = is_eof_deprecated
        self._waiter: asyncio.Future[QueryResult | Failed] | None = None
        self._is_lost = False
        self._reset()
        transport.set_protocol(self)

    def _reset(self) -> None:
        self._incomplete_packet = bytearray()
        self._next_packet_bytes = 0
        self._seq = 1
        self._stage = _FIRST
        self._columns_left = 0
        self._column_count = 0
        self._is_continued = False
        self._head = b""
        self._chunks: list[bytes] = []
        self._row_count = 0
        self._size_bytes = 0

    @property
    def is_open(self) -> bool:
        """Whether the TCP connection is open as far as this side knows."""
        return not self._is_lost and not self._transport.is_closing()

    def close(self) -> None:
        """Close without waiting for the target."""
        self._transport.abort()

    async def exchange(self, text: str) -> QueryResult | Failed:
        """Send one statement and wait for its whole answer.

        :param text: the statement.
        :raises ProtocolError: if the answer is malformed, too large, or has several results.
        :raises OSError: if the connection breaks.
        """
        payload = b"\x03" + text.encode("utf-8", "surrogateescape")
        if len(payload) >= MAX_PAYLOAD_BYTES:
            raise ProtocolError("the statement does not fit into one packet")
        self._reset()
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(len(payload).to_bytes(4, "little") + payload)
        try:
            return await self._waiter
        finally:
            self._waiter = None

    def data_received(self, data: bytes) -> None:
        """Process received bytes of the answer."""
        waiter = self._waiter
        if waiter is None or waiter.done():
            # No exchange waits for these bytes, and they would be taken for the next answer.
            self._is_lost = True
            self._transport.abort()
            return
        try:
            answer = self._collect(data)
        except (ProtocolError, ValueError, IndexError, struct.error) as error:
            waiter.set_exception(ProtocolError(str(error)))
            return
        if answer is not None:
            waiter.set_result(answer)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that is under way."""
        self._is_lost = True
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(ConnectionResetError("the target closed the connection"))

    def _collect(self, data: bytes) -> QueryResult | Failed | None:
        if self._incomplete_packet:
            self._incomplete_packet += data
            if len(self._incomplete_packet) < self._next_packet_bytes:
                return None
            data = bytes(self._incomplete_packet)
            self._incomplete_packet.clear()
        offset = 0
        kept = 0
        size_bytes = len(data)
        seq = self._seq
        while size_bytes - offset >= HEADER_BYTES:
            length_bytes = data[offset] | data[offset + 1] << 8 | data[offset + 2] << 16
            end = offset + HEADER_BYTES + length_bytes
            if end > size_bytes:
                break
            if data[offset + 3] != seq:
                raise ProtocolError("a packet's number is wrong")
            seq = (seq + 1) & 0xFF
            if self._stage == _ROWS:
                if not self._is_continued:
                    mark = data[offset + HEADER_BYTES] if length_bytes else 0
                    if mark >= _EOF_MARK and (
                        mark == _ERROR_MARK or length_bytes < MAX_PAYLOAD_BYTES
                    ):
                        self._chunks.append(data[kept:offset])
                        _check_no_surplus(end, size_bytes)
                        self._seq = (seq - 1) & 0xFF
                        return self._finish_rows(data[offset + HEADER_BYTES : end])
                    self._row_count += 1
                self._is_continued = length_bytes == MAX_PAYLOAD_BYTES
            else:
                answer = self._process_before_rows(data[offset + HEADER_BYTES : end])
                if answer is not None:
                    _check_no_surplus(end, size_bytes)
                    return answer
                if self._stage == _ROWS:
                    self._head = b"".join([*self._chunks, data[kept:end]])
                    self._chunks = []
                    kept = end
            offset = end
        self._seq = seq
        self._buffer(data, kept, offset)
        return None

    def _buffer(self, data: bytes, kept: int, offset: int) -> None:
        """Buffer the complete packets, and separately the beginning of the next one."""
        if offset > kept:
            self._chunks.append(data[kept:offset])
        self._size_bytes += offset
        self._next_packet_bytes = HEADER_BYTES
        self._incomplete_packet += data[offset:]
        if len(self._incomplete_packet) >= HEADER_BYTES:
            self._next_packet_bytes += int.from_bytes(self._incomplete_packet[:3], "little")
        if self._size_bytes + self._next_packet_bytes > MAX_ANSWER_BYTES:
            raise ProtocolError(f"the answer is larger than {MAX_ANSWER_BYTES} bytes")

    def _process_before_rows(self, payload: bytes) -> QueryResult | Failed | None:
        if self._stage == _FIRST:
            return self._process_first(payload)
        if self._stage == _END_OF_COLUMNS:
            self._stage = _ROWS
            return None
        self._columns_left -= 1
        if self._columns_left == 0:
            self._stage = _ROWS if self._is_eof_deprecated else _END_OF_COLUMNS
        return None

    def _process_first(self, payload: bytes) -> QueryResult | Failed | None:
        mark = payload[0]
        if mark == _OK_MARK:
            answer, status = _parse_ok(payload)
            _check_single_result(status)
            return answer
        if mark == _ERROR_MARK:
            return _parse_error(payload)
        if mark == _LOCAL_FILE_MARK:
            raise ProtocolError("the target asked for a local file")
        self._column_count, _ = read_length_encoded(payload, 0)
        self._columns_left = self._column_count
        self._stage = _COLUMNS
        return None

    def _finish_rows(self, payload: bytes) -> QueryResult | Failed:
        if payload[0] == _ERROR_MARK:
            return _parse_error(payload)
        warnings, status = _parse_end(payload, self._is_eof_deprecated)
        _check_single_result(status)
        columns = _parse_columns(self._head, self._column_count)
        chunks = self._chunks
        frames = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        rows = TextRows(
            columns, self._head, frames, self._row_count, self._seq, self._is_eof_deprecated
        )
        is_in_transaction = bool(status & _STATUS_IN_TRANSACTION)
        return QueryResult(columns, rows, 0, 0, warnings, is_in_transaction)


def _check_no_surplus(end: int, size_bytes: int) -> None:
    if end != size_bytes:
        raise ProtocolError("bytes follow the answer")


def _parse_end(payload: bytes, is_eof_deprecated: bool) -> tuple[int, int]:
    if is_eof_deprecated:
        # Affected rows and last insert id of a result set are always one zero byte each.
        if payload[1:3] == b"\x00\x00":
            status, warnings = _TWO_UINT16.unpack_from(payload, 3)
        else:
            answer, status = _parse_ok(payload)
            warnings = answer.warnings
        return warnings, status
    warnings, status = _TWO_UINT16.unpack_from(payload, 1)
    return warnings, status


def _check_single_result(status: int) -> None:
    if status & _STATUS_MORE_RESULTS:
        raise ProtocolError("the statement has several results")


class TextProtocolConnection(Connection):
    """``asyncmy`` connection that passes its transport to an exchange after the login."""

    def detach_exchange(self) -> TextExchange:
        """Pass the transport to a new exchange, which owns the connection from then on.

        :raises ProtocolError: if the connection is not open.
        """
        if not self.connected or self._transport is None:
            raise ProtocolError("the connection is not open")
        return TextExchange(self._transport, bool(self._deprecate_eof))
