"""Minimal HTTP/1.1 server for the stand-ins of the store and of the order interface."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple
from urllib.parse import parse_qsl, urlsplit

__all__ = ["Handler", "Request", "Response", "get_status", "serve_http"]


class Request(NamedTuple):
    """One request; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: Mapping


class Response(NamedTuple):
    """Status and JSON body."""

    status: int
    body: Mapping


Handler = Callable[[Request], Awaitable[Response | None]]


async def serve_http(handler: Handler, port: int = 0) -> asyncio.Server:
    """Serve requests on a loopback port.

    :param handler: returns the response; None closes the connection without one.
    :param port: 0 selects a free port.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await _read_request(reader)) is not None:
                response = await handler(request)
                if response is None:
                    break
                data = json.dumps(response.body).encode()
                head = (
                    f"HTTP/1.1 {response.status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", port)


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    data = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    return Request(
        method,
        parts.path,
        dict(parse_qsl(parts.query)),
        headers,
        json.loads(data) if data else {},
    )


async def get_status(port: int, path: str, timeout_s: float) -> int:
    """Return the status of a GET request; 0 if there was no answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            line = await reader.readline()
            return int(line.split(b" ")[1]) if line else 0
    except (OSError, TimeoutError):
        return 0
    finally:
        if writer is not None:
            writer.close()
