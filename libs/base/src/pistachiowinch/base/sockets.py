"""TCP socket options: no delay for small messages, and detection of an unreachable peer."""

import asyncio
import socket
import struct

from pistachiowinch.base.logs import part_logger

__all__ = ["ACCEPT_BURST", "Listener", "listen", "reset_connection", "set_socket_options"]

# Connections accepted at once. The event loop serves other work before the next ones, and those
# above a limit are closed by then.
ACCEPT_BURST = 32

# Timeout of unacknowledged data; targets drop a connection to an unreachable host after the same
# time.
USER_TIMEOUT_MS = 3000
# An idle connection to an unreachable peer is detected after 2 s and three probes, about as fast.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3

_log = part_logger("sockets")


class Listener(socket.socket):
    """Listening socket whose backlog does not depend on the number of connections accepted at once.

    ``asyncio`` has one argument for both.

    :ivar backlog: connections that wait to be accepted.
    """

    backlog = ACCEPT_BURST

    def listen(self, _accepted_at_once: int = 0, /) -> None:
        """Listen with the backlog."""
        super().listen(self.backlog)


def listen(address: str, backlog: int, buffer_bytes: int) -> Listener:
    """Create a listening socket for ``loop.create_server(sock=..., backlog=ACCEPT_BURST)``.

    :param address: ``IP:PORT``; port 0 selects a free one.
    :param backlog: connections that wait to be accepted.
    :param buffer_bytes: size of the kernel's buffers of each connection, in each direction.
    :raises OSError: if the address is in use.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = Listener(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _set_buffers(listener, buffer_bytes)
        listener.bind((host, int(port)))
    except OSError:
        listener.close()
        raise
    listener.backlog = backlog
    return listener


def _set_buffers(listener: socket.socket, buffer_bytes: int) -> None:
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
    except OSError as error:
        # Callers are served all the same; only what the kernel holds for them is not bounded.
        _log.warning("The size of socket buffers cannot be set: {}.", error)


def set_socket_options(writer: asyncio.StreamWriter | asyncio.BaseTransport) -> None:
    """Set the options of a connection's socket.

    :param writer: an open connection.
    """
    connected = writer.get_extra_info("socket")
    if connected is None:
        return
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection and discard what the kernel has not delivered yet.

    After a usual close, the kernel still delivers it, which may take until a partition ends.
    """
    connected = writer.get_extra_info("socket")
    try:
        if connected is not None:
            no_linger = struct.pack("ii", 1, 0)
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    except OSError as error:
        _log.warning("A connection is closed without a reset: {}.", error)
    writer.transport.abort()
