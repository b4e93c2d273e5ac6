"""A client's session."""

import asyncio
import itertools
from typing import NamedTuple

__all__ = ["Answer", "Caller"]

# A client waits this long for READY after START, and longer than any time budget for an answer.
OPEN_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 12.0

_IDS = itertools.count(1)


class Answer(NamedTuple):
    """Complete answer to one request.

    :param error: code of the error; empty on success.
    """

    rows: tuple[str, ...]
    receipt: str
    error: str
    state: str


class Caller:
    """One session at one host.

    :param address: the host's address for clients.
    :param database: name of the database.
    :param key: the client's key.
    """

    def __init__(self, address: tuple[str, int], database: str, key: str) -> None:
        """Create a closed session."""
        self._address = address
        self._database = database
        self._key = key

    async def open(self) -> None:
        """Open the session.

        :raises OSError: if the host does not open it.
        """
        async with asyncio.timeout(OPEN_TIMEOUT_S):
            self._reader, self._writer = await asyncio.open_connection(*self._address)
            self._writer.write(f"START {self._database} {self._key}\r\n".encode())
            line = await self._read_line()
        if not line.startswith("READY"):
            self.close()
            raise OSError(line)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    @staticmethod
    def new_id() -> str:
        """Return the id of a new request."""
        return f"{next(_IDS):016x}"

    async def send(self, request_id: str, text: str) -> Answer:
        """Send one request and wait for its answer.

        :raises OSError: if the connection ends before, or no answer comes.
        """
        rows: list[str] = []
        receipt = error = ""
        self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while True:
                word, _, rest = (await self._read_line()).partition(" ")
                match word:
                    case "ROW":
                        rows.append(rest)
                    case "DONE":
                        receipt = rest
                    case "ERROR":
                        error = rest.split(" ")[0]
                    case "READY":
                        return Answer(tuple(rows), receipt, error, rest.split(" ")[0])

    async def _read_line(self) -> str:
        try:
            return (await self._reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError("the host closed the connection") from error
