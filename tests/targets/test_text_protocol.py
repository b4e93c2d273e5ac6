"""Guards against misread answers when bytes arrive in any split or are malformed."""

import asyncio
import struct

import pytest

from pistachiowinch.links.targets import Column, Failed, QueryResult
from pistachiowinch.proxy.wire import error_packet, result_packets
from pistachiowinch.targets import text_protocol
from pistachiowinch.targets.rows import TextRows
from pistachiowinch.targets.text_protocol import ProtocolError, TextExchange

pytestmark = pytest.mark.looptime

COLUMNS = (Column("i", 8, flags=0x21), Column("s", 253), Column("b", 252, charset=63))
ROWS = ((1, "a" * 300, b"\xff"), (None, "", None), (-5, "é", b""))
ANSWER = QueryResult(columns=COLUMNS, rows=ROWS, warnings=2)


class FakeTransport:
    """Records what was written."""

    def __init__(self):
        """Start open."""
        self.written = b""
        self.is_aborted = False
        self.protocol = None

    def set_protocol(self, protocol):
        """Record the protocol."""
        self.protocol = protocol

    def write(self, data):
        """Record the bytes."""
        self.written += data

    def is_closing(self):
        """Return whether the transport was aborted."""
        return self.is_aborted

    def abort(self):
        """Record the abort."""
        self.is_aborted = True


def framed(payloads, first_seq=1):
    frames = []
    for seq, payload in enumerate(payloads, first_seq):
        frames.append((len(payload) | (seq & 0xFF) << 24).to_bytes(4, "little") + payload)
    return b"".join(frames)


async def exchange(chunks, is_eof_deprecated=True):
    transport = FakeTransport()
    protocol = TextExchange(transport, is_eof_deprecated)
    task = asyncio.create_task(protocol.exchange("SELECT 1"))
    await asyncio.sleep(0)
    assert transport.written == b"\x09\x00\x00\x00\x03SELECT 1"
    for chunk in chunks:
        protocol.data_received(chunk)
    return await task


@pytest.mark.parametrize("is_eof_deprecated", [True, False])
@pytest.mark.parametrize("size_bytes", [1, 2, 3, 7, 64, 10_000])
async def test_answer_is_the_same_however_it_is_split(size_bytes, is_eof_deprecated):
    raw = framed(result_packets(ANSWER, 0x0003, is_eof_deprecated, is_binary=False))
    chunks = [raw[start : start + size_bytes] for start in range(0, len(raw), size_bytes)]
    answer = await exchange(chunks, is_eof_deprecated)
    assert answer.columns == COLUMNS
    assert answer.rows == ROWS
    assert (answer.warnings, answer.is_in_transaction) == (2, True)
    # What is forwarded unchanged must be the packets that arrived.
    assert raw.startswith(answer.rows.head + answer.rows.frames)


async def test_packet_numbers_wrap():
    many = QueryResult(columns=(Column("i", 8),), rows=tuple((number,) for number in range(600)))
    answer = await exchange([framed(result_packets(many, 2, True, is_binary=False))])
    assert answer.rows == many.rows
    assert answer.rows.next_seq == (1 + 1 + 1 + 600) & 0xFF


async def test_ok_packet_keeps_counts():
    raw = framed(
        result_packets(QueryResult(affected_rows=70_000, last_insert_id=9), 2, True, False)
    )
    answer = await exchange([raw])
    assert (answer.affected_rows, answer.last_insert_id) == (70_000, 9)


async def test_error_keeps_the_sqlstate():
    assert await exchange([framed([error_packet(Failed(1644, "45000", "own error"))])]) == Failed(
        1644, "45000", "own error"
    )


async def test_error_after_rows_is_an_error_not_an_answer():
    packets = result_packets(ANSWER, 2, True, is_binary=False)
    packets[-1] = error_packet(Failed(1317, "70100", "interrupted"))
    assert await exchange([framed(packets)]) == Failed(1317, "70100", "interrupted")


def wrong_number():
    return framed(result_packets(ANSWER, 2, True, False), first_seq=2)


def several_results():
    return framed(result_packets(QueryResult(), 2 | 8, True, False))


def surplus_bytes():
    return framed(result_packets(QueryResult(), 2, True, False)) + b"\x01"


def local_file():
    return framed([b"\xfb/etc/passwd"])


def short_column():
    return framed([b"\x01", b"\x03def", b"\xfe\x00\x00\x02\x00\x00\x00"])


def empty_packet():
    return framed([b""])


def short_ok():
    return framed([b"\x00\x00"])


@pytest.mark.parametrize(
    "make",
    [
        wrong_number,
        several_results,
        surplus_bytes,
        local_file,
        short_column,
        empty_packet,
        short_ok,
    ],
)
async def test_malformed_answers_are_errors(make):
    with pytest.raises(ProtocolError):
        await exchange([make()])


async def test_too_large_answer_is_an_error_before_it_is_complete(monkeypatch):
    monkeypatch.setattr(text_protocol, "MAX_ANSWER_BYTES", 1000)
    head = framed(result_packets(ANSWER, 2, True, False)[:4])
    announced = struct.pack("<I", 2000 | 5 << 24)
    with pytest.raises(ProtocolError, match="larger"):
        await exchange([head, announced])


async def test_bytes_without_a_statement_close_the_connection():
    # A late answer would otherwise be taken for the answer to the next statement.
    transport = FakeTransport()
    protocol = TextExchange(transport, True)
    protocol.data_received(framed(result_packets(ANSWER, 2, True, False)))
    assert transport.is_aborted
    assert not protocol.is_open


async def test_lost_connection_fails_the_exchange():
    protocol = TextExchange(FakeTransport(), True)
    task = asyncio.create_task(protocol.exchange("SELECT 1"))
    await asyncio.sleep(0)
    protocol.connection_lost(None)
    with pytest.raises(ConnectionResetError):
        await task
    assert not protocol.is_open


def test_rows_with_wrong_value_counts_are_not_decoded():
    frames = framed([b"\x011"], first_seq=4)
    rows = TextRows(COLUMNS, b"", frames, 1, 5, True)
    with pytest.raises(ValueError, match="ends"):
        tuple(rows)


def test_rows_compare_by_value_and_support_slices():
    columns = (Column("i", 8), Column("d", 246), Column("f", 5))
    rows = TextRows(columns, b"", framed([b"\x0212\x043.50\x011", b"\xfb\xfb\xfb"], 5), 2, 7, True)
    assert len(rows) == 2
    assert [str(value) for value in rows[0]] == ["12", "3.50", "1.0"]
    assert rows[1:] == ((None, None, None),)
    assert hash(rows) == hash(tuple(rows))
