"""Stand-ins for the platform's store and targets, on loopback."""

import asyncio

from pistachiowinch.links.store import Delete, Put
from pistachiowinch.standins.http_store import HttpStore
from pistachiowinch.standins.memory_store import MemoryStore


class StoreStandIn(HttpStore):
    """HTTP server of the platform's store, backed by an in-memory store.

    :ivar store: the in-memory store.
    :ivar raw: by key, text that is sent in place of the base64 value.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.store = MemoryStore()
        self.raw: dict[str, str] = {}
        super().__init__(self.store)

    def put(self, key: str, value: bytes) -> None:
        """Write a key."""
        self.store.apply_transact([], [Put(key, value)])

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.store.apply_transact([], [Delete(key)])

    def _item(self, key, value, revision, lease):
        item = super()._item(key, value, revision, lease)
        return item | {"value": self.raw.get(key, item["value"])}


class TargetStandIn:
    """One target of the line protocol with fixed responses.

    :ivar answers: response by text of the query; ``None`` for no response.
    :ivar lines: all lines received.
    """

    def __init__(self, greeting: str = "READY I 3.7\r\n") -> None:
        """Create a target that does not listen yet.

        :param greeting: response to the first line of a session.
        """
        self.greeting = greeting
        self.answers: dict[str, str | None] = {}
        self.lines: list[str] = []
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and drop all connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        while line := await reader.readline():
            text = line.decode("latin-1").rstrip("\r\n")
            self.lines.append(text)
            if text.startswith("START"):
                writer.write(self.greeting.encode())
                continue
            query = text.split(" ", 2)[2]
            answer = self.answers.get(query, "DONE r1\r\nREADY I 3.8\r\n")
            if answer is not None:
                writer.write(answer.encode("latin-1"))
