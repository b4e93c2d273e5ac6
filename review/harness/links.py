"""Forwarders between machines, which can be cut."""

import asyncio
import contextlib

__all__ = ["Forwarder"]

_READ_BYTES = 64 * 1024


class Forwarder:
    """Forwards TCP connections from one machine to one address.

    While it is cut, bytes are held in both directions, and connections that are opened meanwhile
    carry nothing. Held bytes are lost if their sender closes the connection.

    :param port: port of the destination on 127.0.0.1.
    """

    def __init__(self, port: int) -> None:
        """Create a forwarder that does not listen yet."""
        self._destination_port = port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._is_whole = asyncio.Event()
        self._is_whole.set()

    @property
    def port(self) -> int:
        """Port on which it listens."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def is_cut(self) -> bool:
        """Whether the link is cut."""
        return not self._is_whole.is_set()

    @is_cut.setter
    def is_cut(self, is_cut: bool) -> None:
        if is_cut:
            self._is_whole.clear()
        else:
            self._is_whole.set()

    async def start(self) -> "Forwarder":
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._tasks.add(asyncio.current_task())
        asyncio.current_task().add_done_callback(self._tasks.discard)
        other_writer = None
        try:
            await self._wait_until_healed(reader)
            other_reader, other_writer = await asyncio.open_connection(
                "127.0.0.1", self._destination_port
            )
            await asyncio.wait(
                [
                    asyncio.ensure_future(self._forward(reader, other_writer)),
                    asyncio.ensure_future(self._forward(other_reader, writer)),
                ]
            )
        except OSError:
            pass
        finally:
            for end in (writer, other_writer):
                if end is not None:
                    end.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                await self._wait_until_healed(reader)
                writer.write(data)
                await writer.drain()
        # Nothing tells the far end of a cut link that the connection was closed.
        await self._is_whole.wait()
        writer.transport.abort()

    async def _wait_until_healed(self, reader: asyncio.StreamReader) -> None:
        if not self.is_cut:
            return
        await self._is_whole.wait()
        if reader.at_eof() or reader.exception() is not None:
            raise ConnectionResetError
