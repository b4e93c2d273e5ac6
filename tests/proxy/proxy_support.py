"""Fake gateway, fake transport and raw MySQL client for the tests of the proxy."""

import asyncio
import hashlib
import struct

from reactivex.subject import Subject
from returns.result import Failure, Success

from pistachiowinch.base.codes import BAD_KEY, UNKNOWN_SERVICE, Refusal
from pistachiowinch.links.targets import Column, Failed, QueryResult
from pistachiowinch.proxy.interfaces import Credentials
from pistachiowinch.proxy.login import hash_password
from pistachiowinch.routing.session import PinnedConnection, Session
from pistachiowinch.routing.statements import StatementKind

KEYS = {"key-1": "secret-1", "key-2": "secret-2"}
SERVICES = {"hire": ("key-1", "key-2"), "stock": ("key-1",), "public": ("", "key-1")}
ROW = QueryResult(columns=(Column("n", 8, flags=0x21),), rows=((1,),))
# LONG_PASSWORD, CONNECT_WITH_DB, PROTOCOL_41, TRANSACTIONS, SECURE_CONNECTION, PLUGIN_AUTH,
# CONNECT_ATTRS, DEPRECATE_EOF
CLIENT_FLAGS = 0x1 | 0x8 | 0x200 | 0x2000 | 0x8000 | 0x80000 | 0x100000 | 0x1000000


class FakeGateway:
    """Records the statements and returns results from a table."""

    def __init__(self):
        """Create a gateway without sessions."""
        self.sessions_ended = Subject()
        self.statements = []
        self.results = {}
        self.open_sessions = []
        self.closed = []
        self.resets = 0
        self.gate = None

    def credentials(self, key_id):
        """Return the credentials of a known key."""
        password = KEYS.get(key_id)
        return Credentials("customer", hash_password(password)) if password else None

    async def open_session(self, key_id, service):
        """Open a session if the key may use the service."""
        if service not in SERVICES:
            return Failure(Refusal(UNKNOWN_SERVICE, "no such service"))
        if key_id not in SERVICES[service]:
            return Failure(Refusal(BAD_KEY, "the key does not open this service"))
        session = Session(key_id, "customer", service)
        self.open_sessions.append(session)
        return Success(session)

    async def execute(self, session, statement):
        """Return the result from the table and track the transaction."""
        self.statements.append(statement)
        if self.gate is not None:
            await self.gate.wait()
        if statement.kind is StatementKind.BEGIN:
            session.pinned = PinnedConnection(None, "t", 1, lambda: None)
            session.pinned.is_in_transaction = True
        if statement.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
            session.pinned = None
        is_select = statement.text.upper().startswith(("SELECT", "SHOW"))
        result = self.results.get(statement.text, ROW if is_select else QueryResult())
        if isinstance(result, Exception):
            raise result
        return Failure(result) if isinstance(result, Failed | Refusal) else Success(result)

    async def reset_session(self, session):
        """Roll back."""
        session.pinned = None
        self.resets += 1

    async def close_session(self, session):
        """Record the session as closed."""
        self.open_sessions.remove(session)
        self.closed.append(session)

    async def stop(self, grace_s):
        """Report that no transaction was rolled back."""
        return 0

    def texts(self):
        """Return the statements' texts."""
        return [statement.text for statement in self.statements]

    def end(self, session, refusal):
        """End a session with a reason."""
        session.end_reason = refusal
        self.sessions_ended.on_next(session)


class FakeTransport:
    """Transport that records what the server writes."""

    def __init__(self):
        """Create an open transport."""
        self.written = bytearray()
        self.protocol = None
        self.is_closed = False
        self.is_paused = False

    def get_extra_info(self, name):
        """Return no socket."""

    def write(self, data):
        """Record the bytes."""
        self.written += data

    def set_write_buffer_limits(self, high):
        """Ignore the limit, because nothing is buffered."""

    def get_write_buffer_size(self):
        """Return 0, because nothing is buffered."""
        return 0

    def pause_reading(self):
        """Record that reading is paused."""
        self.is_paused = True

    def resume_reading(self):
        """Record that reading is resumed."""
        self.is_paused = False

    def can_write_eof(self):
        """Return False, because half-closing is not simulated."""
        return False

    def is_closing(self):
        """Return whether the transport was closed."""
        return self.is_closed

    def close(self):
        """Close and call ``connection_lost`` as a real transport does."""
        if not self.is_closed:
            self.is_closed = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    abort = close


def scramble(password, nonce):
    if not password:
        return b""
    inner = hashlib.sha1(password.encode()).digest()
    mask = hashlib.sha1(nonce + hashlib.sha1(inner).digest()).digest()
    return bytes(left ^ right for left, right in zip(inner, mask, strict=True))


def lenenc(raw):
    return bytes([len(raw)]) + raw


class RawClient:
    """MySQL client that can also send malformed packets."""

    def __init__(self, reader, writer):
        """Create a client on an open connection."""
        self.reader = reader
        self.writer = writer
        self.seq = 0
        self.nonce = b""

    @classmethod
    async def connect(cls, port, address="127.0.0.1"):
        """Connect and read the handshake packet."""
        client = cls(*await asyncio.open_connection(address, port))
        greeting = await client.read()
        if greeting[0] != 0xFF:
            rest = greeting[greeting.index(b"\x00", 1) + 5 :]
            client.nonce = rest[:8] + rest[8 + 19 : 8 + 19 + 12]
        client.greeting = greeting
        return client

    def response(
        self, user, password, database, plugin="mysql_native_password", charset=45, attributes=None
    ):
        """Build a login packet."""
        parts = [struct.pack("<IIB23x", CLIENT_FLAGS, 1 << 24, charset), user.encode() + b"\x00"]
        parts += [lenenc(scramble(password, self.nonce)), database.encode() + b"\x00"]
        pairs = b"".join(
            lenenc(name.encode()) + lenenc(value.encode())
            for name, value in (attributes or {}).items()
        )
        return b"".join([*parts, plugin.encode() + b"\x00", lenenc(pairs)])

    async def log_in(self, user="key-1", password="secret-1", database="hire", **options):
        """Log in and return the server's response."""
        self.write(self.response(user, password, database, **options))
        return await self.read()

    def write(self, payload, seq=None):
        """Send one packet."""
        number = self.seq if seq is None else seq
        self.writer.write((len(payload) | number << 24).to_bytes(4, "little") + payload)

    async def read(self):
        """Read one packet; raise IncompleteReadError if the server closed the connection."""
        header = await self.reader.readexactly(4)
        self.seq = header[3] + 1
        return await self.reader.readexactly(int.from_bytes(header[:3], "little"))

    async def command(self, payload):
        """Send a command and read the first packet of the response."""
        self.write(payload, 0)
        return await self.read()

    async def query(self, text):
        """Run a statement and read all packets of its result."""
        packets = [await self.command(b"\x03" + text.encode())]
        if packets[0][0] in (0x00, 0xFF):
            return packets
        while packets[-1][0] != 0xFE and packets[-1][0] != 0xFF:
            packets.append(await self.read())
        return packets

    async def is_closed(self):
        """Return whether the server closed the connection after its last packet."""
        is_closed = await self.reader.read() == b""
        self.close()
        return is_closed

    def close(self):
        """Close the connection."""
        self.writer.close()


def error_text(packet):
    assert packet[0] == 0xFF, packet
    return packet[9:].decode()


def error_number(packet):
    assert packet[0] == 0xFF, packet
    return int.from_bytes(packet[1:3], "little")
