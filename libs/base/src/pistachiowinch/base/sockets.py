"""TCP socket options: no delay for small messages, and detection of an unreachable peer."""

import asyncio
import socket

__all__ = ["set_socket_options"]

# Timeout of unacknowledged data; targets drop a connection to an unreachable host after the same
# time.
USER_TIMEOUT_MS = 3000
# An idle connection to an unreachable peer is detected after 2 s and three probes, about as fast.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3


def set_socket_options(writer: asyncio.StreamWriter) -> None:
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
