"""HTTP/1.1 client and server over asyncio streams, with ``h11`` as the codec.

A host makes only a few calls a second, and a full client library would delay its start.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple

import h11

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.sockets import ACCEPT_BURST, listen, reset_connection, set_socket_options

__all__ = ["HttpClient", "HttpFailed", "HttpResponse", "serve_http"]

# Connections to one address that are kept for reuse; three long polls are open at any time.
MAX_IDLE_CONNECTIONS = 4
# The kernel usually has at most this much ready.
READ_BYTES = 64 * 1024
# Timeout of one request, and of its response: five intervals of a load balancer that probes each
# second.
SERVER_TIMEOUT_S = 5.0
# Several times the connections of a load balancer and of the collectors of metrics.
MAX_SERVER_CONNECTIONS = 32
# Longest request with its headers and its body, which is ignored.
MAX_REQUEST_BYTES = 16 * 1024
SERVER_READ_BYTES = 8 * 1024
SERVER_BUFFER_BYTES = 32 * 1024
SERVER_BACKLOG_CONNECTIONS = 128


class HttpResponse(NamedTuple):
    """Status, complete body and headers of a response, whose names are in lower case."""

    status: int
    body: bytes
    headers: Mapping[str, str] = MappingProxyType({})


class HttpFailed(Exception):
    """No complete response arrived.

    :param is_sent: whether the server may have received the request.
    """

    def __init__(self, cause: str, is_sent: bool) -> None:
        """Create the error."""
        super().__init__(cause)
        self.is_sent = is_sent


class _Connection:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.codec = h11.Connection(h11.CLIENT)

    @property
    def is_usable(self) -> bool:
        return not self.reader.at_eof() and not self.writer.is_closing()

    def close(self) -> None:
        self.writer.transport.abort()

    def reset(self) -> None:
        reset_connection(self.writer)

    async def exchange(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        on_progress: Callable[[], None],
    ) -> HttpResponse:
        """Send one request and read its response.

        :param on_progress: called when a part of the response's body has arrived.
        """
        request = h11.Request(method=method, target=target, headers=headers)
        data = self.codec.send(request) or b""
        if body:
            data += self.codec.send(h11.Data(data=body)) or b""
        data += self.codec.send(h11.EndOfMessage()) or b""
        self.writer.write(data)
        status = 0
        received: dict[str, str] = {}
        parts: list[bytes] = []
        while True:
            event = self.codec.next_event()
            if event is h11.NEED_DATA:
                self.codec.receive_data(await self.reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
                received = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                on_progress()
            elif isinstance(event, h11.EndOfMessage):
                return HttpResponse(status, b"".join(parts), received)
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before the answer")

    def prepare_next(self) -> bool:
        """Prepare for the next request; return whether the connection can be reused."""
        if self.codec.our_state is not h11.DONE or self.codec.their_state is not h11.DONE:
            return False
        self.codec.start_next_cycle()
        return self.is_usable


class HttpClient:
    """Client for one address with persistent connections; it does not retry.

    A call that is given up resets its connection, so that a request that is held up does not arrive
    later.

    :param address: ``IP:PORT``.
    """

    def __init__(self, address: str) -> None:
        """Create a client; connections are opened on demand."""
        self._address = address
        self._idle: list[_Connection] = []

    async def call(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_s: float,
        connect_timeout_s: float,
    ) -> HttpResponse:
        """Make one call.

        :param target: path and query.
        :param timeout_s: time until the body of the response begins to arrive, and between any two
            parts of it. A body of a megabyte takes seconds on a slow link.
        :param connect_timeout_s: timeout of opening a connection.
        :raises HttpFailed: if no complete response arrived in time.
        """
        connection = None
        is_sent = False
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                connection = self._take_idle() or await self._open(connect_timeout_s)
                is_sent = True
                all_headers = [("Host", self._address), *headers]
                if body or method == "POST":
                    all_headers.append(("Content-Length", str(len(body))))
                response = await connection.exchange(
                    method,
                    target,
                    all_headers,
                    body,
                    lambda: timeout.reschedule(now_s() + timeout_s),
                )
        except (TimeoutError, OSError, h11.ProtocolError) as error:
            if connection is not None:
                connection.reset()
            raise HttpFailed(f"{type(error).__name__}: {error}", is_sent) from error
        except BaseException:
            if connection is not None:
                connection.reset()
            raise
        if connection.prepare_next() and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()
        return response

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _take_idle(self) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
            connection.close()
        return None

    async def _open(self, timeout_s: float) -> _Connection:
        host, _, port = self._address.rpartition(":")
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
        set_socket_options(writer)
        return _Connection(reader, writer)


async def serve_http(
    address: str,
    handler: Callable[[str], Awaitable[HttpResponse]],
    on_error: Callable[[str], None],
) -> asyncio.Server:
    """Serve GET requests.

    Above :data:`MAX_SERVER_CONNECTIONS` the oldest connection is closed. Requests that are sent
    ahead are not answered.

    :param address: ``IP:PORT`` to listen on.
    :param handler: returns the response for a path.
    :param on_error: called with the cause when a connection fails, times out or is closed.
    """
    writers: dict[asyncio.StreamWriter, None] = {}

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # Waiting for the response to be sent means for all of it.
        writer.transport.set_write_buffer_limits(0)
        writers[writer] = None
        if len(writers) > MAX_SERVER_CONNECTIONS:
            oldest = next(iter(writers))
            del writers[oldest]
            oldest.transport.abort()
            on_error("too many connections; closed the oldest")
        codec = h11.Connection(h11.SERVER)
        try:
            while await _serve_one(codec, reader, writer, handler):
                codec.start_next_cycle()
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            on_error(repr(error))
        finally:
            writers.pop(writer, None)
            if writer.transport.get_write_buffer_size():
                # A caller that has not read its response by now would hold the connection.
                writer.transport.abort()
            writer.close()

    listener = listen(address, SERVER_BACKLOG_CONNECTIONS, SERVER_BUFFER_BYTES)
    return await asyncio.start_server(
        serve, sock=listener, backlog=ACCEPT_BURST, limit=SERVER_READ_BYTES
    )


async def _serve_one(
    codec: h11.Connection,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    answer: Callable[[str], Awaitable[HttpResponse]],
) -> bool:
    """Answer one request; return whether another one may follow."""
    async with asyncio.timeout(SERVER_TIMEOUT_S):
        path = await _read_request(codec, reader)
    if path is None:
        return False
    response = await answer(path)
    headers = [("Content-Length", str(len(response.body))), ("Content-Type", "text/plain")]
    is_sent_ahead = bool(codec.trailing_data[0])
    if is_sent_ahead:
        headers.append(("Connection", "close"))
    data = codec.send(h11.Response(status_code=response.status, headers=headers)) or b""
    data += codec.send(h11.Data(data=response.body)) or b""
    data += codec.send(h11.EndOfMessage()) or b""
    writer.write(data)
    async with asyncio.timeout(SERVER_TIMEOUT_S):
        await writer.drain()
    return codec.our_state is h11.DONE and codec.their_state is h11.DONE


async def _read_request(codec: h11.Connection, reader: asyncio.StreamReader) -> str | None:
    """Read one request; return its path, or None if the connection ends instead.

    :raises h11.RemoteProtocolError: if the request is malformed or too large.
    """
    path = ""
    received_bytes = 0
    while True:
        event = codec.next_event()
        if event is h11.NEED_DATA:
            if received_bytes > MAX_REQUEST_BYTES:
                raise h11.RemoteProtocolError("the request is too large")
            data = await reader.read(SERVER_READ_BYTES)
            received_bytes += len(data)
            codec.receive_data(data)
        elif isinstance(event, h11.Request):
            path = event.target.decode("ascii", "replace").partition("?")[0]
        elif isinstance(event, h11.EndOfMessage):
            return path
        elif isinstance(event, h11.ConnectionClosed):
            return None
