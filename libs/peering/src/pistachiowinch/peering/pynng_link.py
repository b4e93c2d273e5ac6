"""Peer messages over ``pynng`` sockets.

Each host listens on one pull socket and has one push socket, bounded queue and task for each peer,
so that a silent or dead peer does not delay messages to others.
"""

import asyncio
from collections import deque
from collections.abc import Mapping

import pynng

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.logs import part_logger
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.peering.endpoint import PeerEndpoint

__all__ = ["PynngPeerLink"]

# Holds ten seconds of heartbeats and a burst of borrow requests; the oldest messages are dropped
# first, as they are of least use.
QUEUE_MESSAGES = 256
QUEUE_BYTES = 8 * 1024 * 1024
# Requests time out earlier, so an older message is of no use.
MESSAGE_MAX_AGE_S = 1.0
RECONNECT_MIN_MS = 50
# Bounds how long a recovered peer remains unreachable.
RECONNECT_MAX_MS = 500
# The parts of a configuration document are the largest messages.
RECEIVE_MAX_BYTES = 8 * 1024 * 1024
# Messages handled in one iteration of the event loop before other tasks run.
RECEIVE_BATCH = 64
# Hosts with unknown addresses whose requests can be answered at the same time.
MAX_LEARNED_PEERS = 16

_log = part_logger("peers")


class _PeerConnection:
    """Push socket, bounded queue and sending task of one peer."""

    def __init__(self, address: str, count_dropped) -> None:
        self.address = address
        self._count_dropped = count_dropped
        self._queue: deque[tuple[float, bytes]] = deque()
        self._queued_bytes = 0
        self._wake = asyncio.Event()
        self._is_sending = False
        self._is_closed = False
        self._socket = self._open()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def post(self, data: bytes) -> None:
        """Send the data now if the socket accepts it; otherwise queue it."""
        if not self._queue and not self._is_sending and self._try_send(data):
            return
        self._queue.append((now_s(), data))
        self._queued_bytes += len(data)
        while len(self._queue) > QUEUE_MESSAGES or self._queued_bytes > QUEUE_BYTES:
            self._pop_oldest()
            self._count_dropped("queue_full")
        self._wake.set()

    def reconnect(self) -> None:
        """Replace the socket, whose connection may have become permanently silent."""
        old = self._socket
        self._socket = self._open()
        old.close()

    async def close(self) -> None:
        """End the task and close the socket."""
        # A send that completes during its cancellation swallows the cancellation.
        self._is_closed = True
        self._wake.set()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._socket.close()

    def _open(self) -> pynng.Push0:
        # pynng retries in the background, so an unreachable address causes no error here.
        socket = pynng.Push0(
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        try:
            socket.dial(self.address, block=False)
        except pynng.NNGException as error:
            _log.warning("Address {} cannot be dialled: {}.", self.address, error)
        return socket

    def _pop_oldest(self) -> tuple[float, bytes]:
        queued_s, data = self._queue.popleft()
        self._queued_bytes -= len(data)
        return queued_s, data

    def _try_send(self, data: bytes) -> bool:
        try:
            self._socket.send(data, block=False)
        except pynng.TryAgain:
            return False
        except pynng.NNGException as error:
            self._count_dropped("send_failed")
            _log.warning("Sending to {} failed: {}.", self.address, error)
        return True

    async def _run(self) -> None:
        while not self._is_closed:
            await self._wake.wait()
            self._wake.clear()
            while self._queue and not self._is_closed:
                queued_s, data = self._pop_oldest()
                self._is_sending = True
                try:
                    await self._send_queued(queued_s, data)
                finally:
                    self._is_sending = False

    async def _send_queued(self, queued_s: float, data: bytes) -> None:
        remaining_s = queued_s + MESSAGE_MAX_AGE_S - now_s()
        if remaining_s <= 0.0:
            self._count_dropped("too_old")
            return
        try:
            async with asyncio.timeout(remaining_s):
                await self._socket.asend(data)
        except TimeoutError:
            self._count_dropped("too_old")
        except pynng.NNGException:
            # The socket was replaced or refused the message, which is lost.
            self._count_dropped("send_failed")


class PynngPeerLink(PeerEndpoint):
    """Implementation of ``links.peers.PeerLink`` over TCP with ``pynng``.

    :param host: this host's name.
    :param listen_url: ``tcp://IP:PORT`` to listen at; port 0 selects a free one.
    :param metrics: counters of messages and bytes.
    """

    def __init__(self, host: str, listen_url: str, metrics: Metrics | None = None) -> None:
        """Create a link that is not listening yet."""
        super().__init__(host, metrics, listen_url)
        self._listen_url = listen_url
        self._addresses: dict[str, str] = {}
        self._peers: dict[str, _PeerConnection] = {}
        self._learned_peers: dict[str, _PeerConnection] = {}
        self._closing_tasks: set[asyncio.Task] = set()
        self._socket: pynng.Pull0 | None = None

    async def start(self) -> str:
        """Listen for peers.

        :returns: the listening address with the actual port.
        :raises pynng.NNGException: if the address cannot be listened at.
        """
        socket = pynng.Pull0(recv_max_size=RECEIVE_MAX_BYTES)
        try:
            listener = socket.listen(self._listen_url)
        except pynng.NNGException:
            socket.close()
            raise
        self._socket = socket
        self.address = _listening_url(listener)
        # Polling the descriptor is cheaper than a callback from another thread for each message.
        asyncio.get_running_loop().add_reader(socket.recv_fd, self._read)
        return self.address

    async def stop(self) -> None:
        """Close all sockets and end all tasks."""
        self.close()
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.recv_fd)
            self._socket.close()
            self._socket = None
        connections = [*self._peers.values(), *self._learned_peers.values()]
        self._peers.clear()
        self._learned_peers.clear()
        await asyncio.gather(*(peer.close() for peer in connections), *self._closing_tasks)

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Replace the peers and their addresses; a peer is dialled on the first message to it.

        :param addresses: host names and ``tcp://IP:PORT``; this host's own entry is ignored.
        """
        self._addresses = {host: url for host, url in addresses.items() if host != self.host}
        for host in tuple(self._peers):
            if addresses.get(host) != self._peers[host].address:
                self._start_closing(self._peers.pop(host))
        for host in self._learned_peers.keys() & self._addresses.keys():
            self._start_closing(self._learned_peers.pop(host))

    def reconnect(self, host: str) -> None:
        """Replace the connection to a peer, which may have become permanently silent."""
        peer = self._peers.get(host)
        if peer is not None:
            peer.reconnect()

    def _transmit(self, host: str, data: bytes) -> None:
        peer = self._peers.get(host) or self._learned_peers.get(host)
        if peer is None and host in self._addresses:
            peer = self._peers[host] = _PeerConnection(self._addresses[host], self._count_dropped)
        if peer is None:
            self._count_dropped("no_address")
        else:
            peer.post(data)

    def _learn_address(self, host: str, address: str) -> None:
        # An address in a message never overrides the configured address of a known peer.
        if host in self._addresses or not address.startswith("tcp://"):
            return
        known = self._learned_peers.pop(host, None)
        if known is not None and known.address != address:
            self._start_closing(known)
            known = None
        self._learned_peers[host] = known or _PeerConnection(address, self._count_dropped)
        while len(self._learned_peers) > MAX_LEARNED_PEERS:
            oldest = next(iter(self._learned_peers))
            self._start_closing(self._learned_peers.pop(oldest))

    def _start_closing(self, connection: _PeerConnection) -> None:
        task = asyncio.get_running_loop().create_task(connection.close())
        self._closing_tasks.add(task)
        task.add_done_callback(self._closing_tasks.discard)

    def _read(self) -> None:
        for _ in range(RECEIVE_BATCH):
            if self._socket is None:
                return
            try:
                data = self._socket.recv(block=False)
            except pynng.TryAgain:
                return
            except (pynng.NNGException, RuntimeError) as error:
                # pynng raises RuntimeError for an empty frame, which any client can send.
                self._count("malformed", "frame")
                _log.warning("Receiving failed: {}.", error)
                continue
            self.receive(data)

    def _count_dropped(self, reason: str) -> None:
        self._count("dropped", reason)


def _listening_url(listener: pynng.Listener) -> str:
    address = str(listener.local_address)
    return address if address.startswith("tcp://") else f"tcp://{address}"
