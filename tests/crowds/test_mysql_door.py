"""Crowds at the MySQL edge and at the operators' HTTP interface of a host of the product's own."""

import asyncio
import socket
import struct
import sys
from pathlib import Path

import msgspec
import pytest
from crowds.crowd_support import (
    IP,
    Process,
    connect_all,
    free_port,
    is_served_at_last,
    press,
    send,
)
from proxy.proxy_support import CLIENT_FLAGS, RawClient, lenenc, scramble
from returns.result import Success

from pistachiowinch.operations.demo import DemoService
from pistachiowinch.operations.keys import create_key, operator_hash
from pistachiowinch.operations.operators_client import OperatorsClient
from pistachiowinch.standins.memory_store import MemoryStore
from pistachiowinch.standins.store_server import StoreServer

# Memory of the machine, and descriptors that the settings below allow to be needed.
MEMORY_MB = 256
MAX_FDS = 500
CONNECTIONS = 320
LEGAL_BYTES = 1_000_000
HUGE_BYTES = 12_000_000
# All that a crowd sends together.
CROWD_BYTES = 300_000_000
SERVICE = "stock"
CUSTOMER_KEY = create_key()
OPERATOR_KEY = create_key(is_operator=True)
PING_AHEAD = b"\x01\x00\x00\x00\x0e" * 1_000_000
SETTINGS = """
[host]
name = host-a
availability_zone = zone-a
site = crowds
[callers]
address = {ip}
port = {callers}
connections = {connections}
[peers]
address = {ip}
port = {peers}
[store]
endpoints = {store}
[targets]
user = pistachiowinch
password = demo-target-password
[operators]
address = {ip}
port = {operators}
bootstrap_key_hash = {key_hash}
"""


class MysqlSite:
    """One host with its store and one service of three targets."""

    def __init__(self, folder: Path) -> None:
        """Choose the ports."""
        self.callers_port, self.operators_port, self._peers_port = (free_port() for _ in range(3))
        self._settings_path = folder / "host.ini"
        self._store = StoreServer(MemoryStore())
        self._service = DemoService(SERVICE)
        self._sockets: list[socket.socket] = []
        code = "from pistachiowinch.operations.main import main; main()"
        self.process = Process(
            (sys.executable, "-c", code, "serve", str(self._settings_path)),
            {},
            folder / "host.log",
            (self.callers_port, self.operators_port),
        )

    async def __aenter__(self) -> "MysqlSite":
        """Start everything, submit the configuration and wait until a caller is served."""
        await self._store.start()
        await self._service.server.start()
        self._settings_path.write_text(
            SETTINGS.format(
                ip=IP,
                callers=self.callers_port,
                operators=self.operators_port,
                peers=self._peers_port,
                connections=CONNECTIONS,
                store=self._store.url,
                key_hash=operator_hash(OPERATOR_KEY.key),
            )
        )
        await self.process.start()
        await self.process.wait_until(self._configure)
        await self.process.wait_until(self._is_serving)
        return self

    async def __aexit__(self, *_) -> None:
        """Stop everything."""
        for sock in self._sockets:
            sock.close()
        await self.process.kill()
        await self._service.close()
        await self._store.stop()

    async def connect(self, count: int, port: int = 0, receive_bytes: int = 0) -> list:
        """Open connections that stay open until the test ends."""
        opened = await connect_all(count, port or self.callers_port, receive_bytes)
        self._sockets += opened
        return opened

    async def check(self) -> None:
        """Check the bounds, and that an ordinary caller is served while the crowd is there."""
        is_served = await is_served_at_last(self.process, self._is_serving)
        self.process.check_bounds(MEMORY_MB, MAX_FDS)
        assert is_served, f"no ordinary caller was served; {self.process.figures()}"

    async def _configure(self) -> bool:
        operations = [
            ("operators", "anna", {"key_hash": OPERATOR_KEY.stored_hash}),
            ("availability_zones", "zone-a", {"state": "in"}),
            ("availability_zones", "zone-b", {"state": "in"}),
            ("availability_zones", "zone-c", {"state": "in"}),
            ("services", SERVICE, self._service.entry()),
            (
                "customers",
                "wren",
                {"rate_per_s": 1e5, "burst": 1e5, "weight": 1.0, "services": [SERVICE]},
            ),
            (
                "keys",
                "wren-1",
                {"customer": "wren", "password_hash": CUSTOMER_KEY.stored_hash},
            ),
        ]
        body = {
            "patch_id": "first",
            "base_version": 0,
            "operations": [
                {"kind": "set", "path": [section, name], "value": value}
                for section, name, value in operations
            ],
        }
        client = OperatorsClient(f"http://{IP}:{self.operators_port}", OPERATOR_KEY.key)
        return isinstance(await client.submit_patch(msgspec.json.encode(body), 5.0), Success)

    async def _is_serving(self) -> bool:
        try:
            async with asyncio.timeout(3.0):
                client = await RawClient.connect(self.callers_port, IP)
                try:
                    answer = await client.log_in("wren-1", CUSTOMER_KEY.key, SERVICE)
                    if answer[0] == 0xFF:
                        return False
                    packets = await client.query("SELECT 1")
                    return packets[-1][0] == 0xFE
                finally:
                    client.close()
        except (OSError, EOFError, TimeoutError):
            return False


async def log_in(sock: socket.socket) -> None:
    """Log in on a raw socket."""
    loop = asyncio.get_running_loop()
    greeting = await loop.sock_recv(sock, 4096)
    rest = greeting[greeting.index(b"\x00", 5) + 5 :]
    nonce = rest[:8] + rest[27:39]
    digest = lenenc(scramble(CUSTOMER_KEY.key, nonce))
    payload = struct.pack("<IIB23x", CLIENT_FLAGS, 1 << 24, 45) + b"wren-1\x00" + digest
    payload += SERVICE.encode() + b"\x00mysql_native_password\x00\x00"
    await loop.sock_sendall(sock, (len(payload) | 1 << 24).to_bytes(4, "little") + payload)
    await loop.sock_recv(sock, 4096)


def packet(payload: bytes) -> bytes:
    """Return a command's packet."""
    return len(payload).to_bytes(4, "little") + payload


@pytest.mark.parametrize(
    ("size_bytes", "missing_bytes", "piece_bytes"),
    [
        pytest.param(LEGAL_BYTES, 0, 0, id="legal-one-piece"),
        pytest.param(LEGAL_BYTES, 0, 65536, id="legal-small-pieces"),
        pytest.param(LEGAL_BYTES, 1, 0, id="legal-stops-half-way"),
        pytest.param(HUGE_BYTES, 0, 0, id="huge-one-piece"),
        pytest.param(HUGE_BYTES, 1, 65536, id="huge-stops-half-way"),
    ],
)
async def test_large_statements_at_once(tmp_path, size_bytes, missing_bytes, piece_bytes):
    """Guards against statements of legal or huge size, sent by many at once, in the memory."""
    async with MysqlSite(tmp_path) as site:
        crowd = await site.connect(CROWD_BYTES // size_bytes)
        await press(crowd, log_in)
        statement = packet(b"\x03SELECT '" + b"x" * size_bytes + b"'")
        data = statement[: len(statement) - missing_bytes]
        await press(crowd, lambda sock: send(sock, data, piece_bytes))
        await site.check()


async def test_prepared_statements_and_long_data(tmp_path):
    """Guards against chunks of parameters that many callers send and never use."""
    async with MysqlSite(tmp_path) as site:
        crowd = await site.connect(40)
        await press(crowd, log_in)
        loop = asyncio.get_running_loop()

        async def keep(sock):
            await send(sock, packet(b"\x16SELECT ?"))
            await loop.sock_recv(sock, 4096)
            await send(sock, packet(b"\x18" + struct.pack("<IH", 1, 0) + b"x" * HUGE_BYTES))

        await press(crowd, keep)
        await site.check()


async def test_commands_sent_ahead_without_reading_answers(tmp_path):
    """Guards against commands sent ahead by callers that do not read."""
    async with MysqlSite(tmp_path) as site:
        crowd = await site.connect(40, receive_bytes=4096)
        await press(crowd, log_in)
        await press(crowd, lambda sock: send(sock, PING_AHEAD))
        await site.check()


@pytest.mark.parametrize(
    "data", [b"", b"\xff\xff\x00\x01" + b"x" * 60_000], ids=["nothing", "half-a-login"]
)
async def test_logins_that_stop_half_way(tmp_path, data):
    """Guards against connections that never log in and take descriptors and memory."""
    async with MysqlSite(tmp_path) as site:
        crowd = await site.connect(1200)
        await press(crowd, lambda sock: send(sock, data))
        await site.check()


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"POST /patches HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n" + b"x" * 800_000,
        b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n" * 20_000,
    ],
    ids=["nothing", "half-a-body", "many-requests-ahead"],
)
async def test_operators_interface(tmp_path, data):
    """Guards against requests without a key that take the host's memory and descriptors."""
    async with MysqlSite(tmp_path) as site:
        crowd = await site.connect(600, site.operators_port, receive_bytes=4096)
        await press(crowd, lambda sock: send(sock, data))
        await site.check()
