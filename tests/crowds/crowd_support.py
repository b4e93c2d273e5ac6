"""A host's own process on loopback with small limits, and crowds of callers that misbehave."""

import asyncio
import contextlib
import os
import resource
import socket
import sys
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path

import msgspec

from pistachiowinch.soak.hosts import HOST_COMMAND
from pistachiowinch.standins.http_orders import HttpOrders
from pistachiowinch.standins.http_store import HttpStore
from pistachiowinch.standins.line_caller import LineCaller, SessionBroken
from pistachiowinch.standins.memory_store import MemoryStore
from pistachiowinch.standins.platform_documents import (
    SETTINGS_VARIABLE,
    CustomerRow,
    HostRow,
    RouteRow,
    TargetRow,
    configuration_put,
    settings_bytes,
    target_put,
)

# Addresses of this test process's own: connections of other programs cannot take their ports.
IP = f"127.{os.getpid() >> 14 & 0xFF | 0x40}.{os.getpid() >> 7 & 0x7F}.{os.getpid() & 0x7F | 0x80}"
MEBIBYTE = 1024 * 1024
# Limits of the host's machine in these tests, and so the bounds that they check.
MEMORY_MB = 100
MAX_FDS = 600
KEY = "key-wren"
START = f"START stock {KEY}\r\n".encode()
# Rows of the answer to "READ large": 4 MiB in all.
LARGE_ANSWER = b"".join((b"ROW " + b"r" * 1_000_000 + b"\r\n",) * 4)
SAMPLE_INTERVAL_S = 0.02
READY_TIMEOUT_S = 20.0
# A crowd is waited for at most this long; what it could not send by then is not sent.
PRESS_S = 3.0
# An ordinary caller that is refused or cut off tries again for this long.
ORDINARY_WITHIN_S = 20.0
ORDINARY_INTERVAL_S = 0.1
_SERVICE = "stock-service"


def free_port() -> int:
    """Return a port that is free at this moment."""
    with socket.socket() as probe:
        probe.bind((IP, 0))
        return probe.getsockname()[1]


def allow_descriptors() -> None:
    """Let this process open as many descriptors as the system allows it."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


class Process:
    """A process of the system, whose memory and descriptors are sampled while it runs.

    :param command: the command.
    :param environment: variables added to this process's own.
    :param log_path: receives its output.
    :param ports: its listening ports; bytes that their connections have not read yet count.
    """

    def __init__(
        self, command: Iterable[str], environment: dict, log_path: Path, ports: Iterable[int]
    ) -> None:
        """Store what :meth:`start` runs."""
        self._command = tuple(command)
        self._environment = environment
        self._log_path = log_path
        self._ports = {f"{port:04X}" for port in ports}
        self._process: asyncio.subprocess.Process | None = None
        self._sampler: asyncio.Task | None = None
        self.peak_bytes = 0
        self.peak_fds = 0

    async def start(self) -> None:
        """Start the process and its sampling."""
        paths = {"PYTHONPATH": os.pathsep.join(sys.path)}
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                stdout=log,
                stderr=log,
                env=os.environ | paths | self._environment,
            )
        self._sampler = asyncio.get_running_loop().create_task(self._sample())

    async def wait_until(self, is_true: Callable[[], Awaitable[bool]]) -> None:
        """Wait for the end of the start; show the process's output if it fails."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await ask_again(is_true)
        except TimeoutError as error:
            output = self._log_path.read_text()[-2000:]
            await self.kill()
            raise AssertionError(f"not started: {output}") from error

    async def kill(self) -> None:
        """End the process."""
        self._sampler.cancel()
        if self.is_alive:
            self._process.kill()
        await self._process.wait()

    @property
    def is_alive(self) -> bool:
        """Whether the process runs."""
        return self._process.returncode is None

    def check_bounds(self, memory_mb: int, max_fds: int) -> None:
        """Check that the process runs, and that its peaks are within its limits."""
        assert self.is_alive, self.figures()
        assert self.peak_bytes <= memory_mb * MEBIBYTE, self.figures()
        assert self.peak_fds <= max_fds, self.figures()

    def figures(self) -> str:
        """Return the peaks for a failing test's message."""
        return f"peak {self.peak_bytes / MEBIBYTE:.0f} MB, {self.peak_fds} descriptors"

    async def _sample(self) -> None:
        folder = Path(f"/proc/{self._process.pid}")
        while True:
            with contextlib.suppress(OSError):
                # Resident memory and what the kernel holds for it count together.
                resident = _status_bytes(folder, "VmRSS") + self._unread_bytes()
                self.peak_bytes = max(self.peak_bytes, resident, _status_bytes(folder, "VmHWM"))
                self.peak_fds = max(self.peak_fds, len(os.listdir(folder / "fd")))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _unread_bytes(self) -> int:
        rows = (row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:])
        established = "01"
        return sum(
            int(row[4].partition(":")[2], 16)
            for row in rows
            if row[1].partition(":")[2] in self._ports and row[3] == established
        )


def _status_bytes(folder: Path, name: str) -> int:
    for line in (folder / "status").read_text().splitlines():
        if line.startswith(name + ":"):
            return int(line.split()[1]) * 1024
    return 0


class Target:
    """The only target, a primary that answers every statement."""

    def __init__(self) -> None:
        """Create a target that does not listen yet."""
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, IP, 0, limit=4 * MEBIBYTE)
        self.address = f"{IP}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while line := await reader.readline():
                writer.write(self._answer(line))
                await writer.drain()
        except OSError:
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    @staticmethod
    def _answer(line: bytes) -> bytes:
        end = b"DONE r1\r\nREADY I 1.1\r\n"
        if line.startswith(b"START"):
            return b"READY I 1.1\r\n"
        if line.startswith(b"QUERY - "):
            return b"ROW primary 1 1.1 1 0 0 1\r\n" + end
        return LARGE_ANSWER + end if b" READ large" in line else end


class Site:
    """One host of the users' platform with its store and target.

    :param folder: folder for the settings file and the log.
    """

    def __init__(self, folder: Path) -> None:
        """Choose the ports."""
        self.callers_port, self.ready_port, self._peers_port = (free_port() for _ in range(3))
        self._folder = folder
        self._store = MemoryStore()
        self._store_server = HttpStore(self._store)
        self._orders = HttpOrders(self._promote)
        self._target = Target()
        self._sockets: list[socket.socket] = []
        settings_path = folder / "host.json"
        self.process = Process(
            HOST_COMMAND,
            {SETTINGS_VARIABLE: str(settings_path)},
            folder / "host.log",
            (self.callers_port, self.ready_port),
        )

    async def __aenter__(self) -> "Site":
        """Start everything and wait until the host is ready."""
        await self._store_server.start()
        await self._orders.start()
        await self._target.start()
        routes = (RouteRow("stock", _SERVICE, "primary", 5.0, 0.0),)
        customers = (CustomerRow("wren", (KEY,), 1e6, 1e6),)
        target = TargetRow("t-1", _SERVICE, self._target.address, "za", True, 8, 1)
        configuration = configuration_put(1, routes, {_SERVICE: 32}, customers)
        body = msgspec.json.decode(configuration.value) | {"limits": {"maxBodyBytes": MEBIBYTE}}
        configuration = configuration._replace(value=msgspec.json.encode(body))
        self._store.apply_transact([], (configuration, target_put(target)))
        (self._folder / "host.json").write_bytes(self._settings())
        await self.process.start()
        await self.process.wait_until(self._is_serving)
        return self

    async def __aexit__(self, *_) -> None:
        """Stop everything."""
        for sock in self._sockets:
            sock.close()
        await self.process.kill()
        await self._target.stop()
        await self._orders.stop()
        await self._store_server.stop()

    async def connect(
        self, count: int, port: int = 0, receive_bytes: int = 0
    ) -> list[socket.socket]:
        """Open connections that stay open until the test ends.

        :param port: port of the host; the callers' by default.
        :param receive_bytes: size of each receive buffer; 0 for the system's own.
        """
        opened = await connect_all(count, port or self.callers_port, receive_bytes)
        self._sockets += opened
        return opened

    async def check(self) -> None:
        """Check the bounds, and that an ordinary caller is served while the crowd is there."""
        is_served = await is_served_at_last(self.process, self._is_serving)
        self.process.check_bounds(MEMORY_MB, MAX_FDS)
        assert is_served, f"no ordinary caller was served; {self.process.figures()}"

    async def _is_serving(self) -> bool:
        caller = LineCaller(2.0, 2.0)
        try:
            await caller.open((IP, self.callers_port), "stock", KEY)
            answer = await caller.send("ordinary", "READ 1")
        except SessionBroken:
            return False
        finally:
            caller.close()
        return not answer.error and answer.receipt == "r1"

    def _settings(self) -> bytes:
        row = HostRow(
            host="host-0",
            ip=IP,
            availability_zone="za",
            callers_address=f"{IP}:{self.callers_port}",
            ready_address=f"{IP}:{self.ready_port}",
            peers_port=self._peers_port,
            store_address=self._store_server.address,
            orders_address=self._orders.address,
            stop_within_s=3.0,
        )
        limits = {"memoryMb": MEMORY_MB, "maxFds": MAX_FDS}
        return msgspec.json.encode(msgspec.json.decode(settings_bytes(row)) | {"limits": limits})

    async def _promote(self, _order) -> bool:
        return True


async def connect_all(count: int, port: int, receive_bytes: int = 0) -> list[socket.socket]:
    """Open connections; the caller closes them.

    :param receive_bytes: size of each receive buffer; 0 for the system's own.
    """
    allow_descriptors()
    opened = []
    for _ in range(count):
        sock = socket.socket()
        sock.setblocking(False)
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        opened.append(sock)
    loop = asyncio.get_running_loop()
    await press(opened, lambda sock: loop.sock_connect(sock, (IP, port)))
    return opened


async def ask_again(is_true: Callable[[], Awaitable[bool]]) -> None:
    """Ask until the answer is true."""
    while True:
        if await is_true():
            return
        await asyncio.sleep(ORDINARY_INTERVAL_S)


async def is_served_at_last(process: Process, is_serving: Callable[[], Awaitable[bool]]) -> bool:
    """Ask again until an ordinary request is answered; False if the time is up."""
    try:
        async with asyncio.timeout(ORDINARY_WITHIN_S):
            await ask_again(is_serving)
    except TimeoutError:
        return False
    return process.is_alive


async def press(
    sockets: Iterable[socket.socket],
    action: Callable[[socket.socket], Awaitable[None]],
    within_s: float = PRESS_S,
) -> None:
    """Run an action on all connections at once; those that the host ends or holds up give up."""

    async def act(sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            await action(sock)

    tasks = [asyncio.ensure_future(act(sock)) for sock in sockets]
    _, pending = await asyncio.wait(tasks, timeout=within_s)
    for task in pending:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def send(sock: socket.socket, data: bytes, piece_bytes: int = 0) -> None:
    """Send bytes in one piece, or in pieces that alternate with those of other connections."""
    loop = asyncio.get_running_loop()
    if not piece_bytes:
        await loop.sock_sendall(sock, data)
        return
    for start in range(0, len(data), piece_bytes):
        await loop.sock_sendall(sock, data[start : start + piece_bytes])
        await asyncio.sleep(0)


async def start_session(sock: socket.socket) -> None:
    """Send the first message and read its answer."""
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(sock, START)
    await loop.sock_recv(sock, 64)


async def read_answer(sock: socket.socket) -> bytes:
    """Read up to the end of an answer without rows, or of the connection."""
    loop = asyncio.get_running_loop()
    received = b""
    while data := await loop.sock_recv(sock, 4096):
        received += data
        if b"READY" in received:
            break
    return received
