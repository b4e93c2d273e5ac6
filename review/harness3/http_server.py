"""A small HTTP/1.1 server with persistent connections and JSON bodies."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple
from urllib.parse import parse_qsl, urlsplit

__all__ = ["HttpServer", "Request", "Response"]


class Request(NamedTuple):
    """One request.

    :param headers: names are in lower case.
    :param body: the decoded JSON body; empty if there is none.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: dict


class Response(NamedTuple):
    """Status and JSON body."""

    status: int
    body: dict


class HttpServer:
    """Listens on a free port of the loopback address.

    :param handler: answers one request.
    """

    def __init__(self, handler: Callable[[Request], Awaitable[Response]]) -> None:
        """Create a server that does not listen yet."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await _read_request(reader)
                response = await self._handler(request)
                body = json.dumps(response.body).encode()
                head = (
                    f"HTTP/1.1 {response.status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The client closed the connection, or the run ends.
            return
        finally:
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = head[0].split(" ", 2)
    headers: dict[str, str] = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    data = await reader.readexactly(int(headers.get("content-length", "0")))
    url = urlsplit(target)
    body = json.loads(data) if data else {}
    return Request(method, url.path, dict(parse_qsl(url.query)), headers, body)
