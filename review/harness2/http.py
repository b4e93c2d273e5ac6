"""A small HTTP/1.1 server for the stand-ins of the store and of the platform's interface."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

__all__ = ["HttpServer", "Request", "Response"]


class Request(NamedTuple):
    """One call.

    :param headers: values by name in lower case.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer_ip: str

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


class Response(NamedTuple):
    """Answer to a call; None as the status ends the connection without an answer."""

    status: int | None
    body: Any = None


class HttpServer:
    """Serves calls with persistent connections.

    :param handler: returns the answer to a call.
    """

    def __init__(self, handler: Callable[[Request], Awaitable[Response]]) -> None:
        """Create a server that does not listen yet."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader, writer)
                response = await self._handler(request)
                if response.status is None:
                    return
                body = b"" if response.body is None else json.dumps(response.body).encode()
                head = (
                    f"HTTP/1.1 {response.status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = head[0].split(" ", 2)
    headers = {}
    for line in head[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = dict(parse_qsl(parts.query, keep_blank_values=True))
    peer_ip = writer.get_extra_info("peername")[0]
    return Request(method, parts.path, query, headers, body, peer_ip)
