"""Crowds at the address of the readiness probe and the metrics."""

import asyncio

import pytest
from crowds.crowd_support import IP, MEBIBYTE, Site, is_served_at_last, press, send

PROBE = b"GET /pistachiowinch/ready HTTP/1.1\r\nHost: h\r\n"
METRICS = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
CROWD = 150


async def check_probe(site: Site) -> None:
    """Check that an ordinary probe is answered while the crowd is still there."""

    async def is_answered() -> bool:
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(IP, site.ready_port)
                writer.write(PROBE + b"\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line.startswith(b"HTTP/1.1 200")

    is_served = await is_served_at_last(site.process, is_answered)
    assert is_served, f"no probe was answered; {site.process.figures()}"


async def test_connections_without_a_request(tmp_path):
    """Guards against idle connections that take all descriptors."""
    async with Site(tmp_path) as site:
        await site.connect(1200, site.ready_port)
        await check_probe(site)
        await site.check()


@pytest.mark.parametrize(
    "text",
    [
        PROBE + b"X: " + b"x" * (4 * MEBIBYTE),
        PROBE + b"Content-Length: 100000000\r\n\r\n" + b"x" * (4 * MEBIBYTE),
        METRICS * 20_000,
    ],
    ids=["endless-header", "endless-body", "many-requests-ahead"],
)
async def test_much_is_sent_and_nothing_read(tmp_path, text):
    """Guards against requests that are huge, or that are sent ahead without reading answers."""
    async with Site(tmp_path) as site:
        crowd = await site.connect(CROWD, site.ready_port, receive_bytes=4096)
        await press(crowd, lambda sock: send(sock, text))
        await check_probe(site)
        await site.check()
