"""Forwarders between two processes, which a partition stops without a reset."""

import asyncio

__all__ = ["Forwarder"]


class Forwarder:
    """Passes bytes on between its own address and another one.

    While it is cut, nothing passes in either direction: what was sent arrives after the end of the
    cut, as TCP sends it again. New connections hang, and those that are given up never arrive.

    :param target: ``IP:PORT`` to which it connects.
    """

    def __init__(self, target: str) -> None:
        """Create a forwarder that does not listen yet."""
        self._target = target
        self._server: asyncio.Server | None = None
        self._open = asyncio.Event()
        self._open.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0, limit=65536)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def set_cut(self, is_cut: bool) -> None:
        """Begin or end a partition of this link."""
        if is_cut:
            self._open.clear()
        else:
            self._open.set()

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        other: asyncio.StreamWriter | None = None
        try:
            held = await self._hold(reader)
            if held is None:
                return
            host, _, port = self._target.rpartition(":")
            other_reader, other = await asyncio.open_connection(host, int(port), limit=65536)
            self._writers.add(other)
            other.write(held)
            pumps = [
                asyncio.create_task(self._pump(reader, other)),
                asyncio.create_task(self._pump(other_reader, writer)),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            for end in (writer, other):
                if end is not None:
                    self._writers.discard(end)
                    end.close()

    async def _hold(self, reader: asyncio.StreamReader) -> bytes | None:
        """Wait for the end of a cut; return what was sent, or None if the sender has given up."""
        held = b""
        opened = asyncio.ensure_future(self._open.wait())
        try:
            while not self._open.is_set():
                read = asyncio.ensure_future(reader.read(65536))
                await asyncio.wait({opened, read}, return_when=asyncio.FIRST_COMPLETED)
                if not read.done():
                    read.cancel()
                    await asyncio.gather(read, return_exceptions=True)
                elif not read.result():
                    return None
                else:
                    held += read.result()
        finally:
            opened.cancel()
        return held

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            data = await reader.read(65536)
            await self._open.wait()
            if not data:
                return
            writer.write(data)
            await writer.drain()
