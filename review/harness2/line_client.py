"""A caller of the line protocol."""

import asyncio
from typing import NamedTuple

__all__ = ["Answer", "LineClient", "SessionEnded"]


class SessionEnded(Exception):
    """The session was refused or closed, or an answer did not come in time."""


class Answer(NamedTuple):
    """Complete answer to a statement.

    :param error: the error line; empty on success.
    :param state: ``I``, ``T`` or ``E``.
    """

    rows: tuple[str, ...]
    receipt: str
    error: str
    state: str

    @property
    def code(self) -> str:
        """Code of the error; empty on success."""
        return self.error.split(" ")[0]

    @property
    def summary(self) -> str:
        """Short text for a record."""
        return f"ERROR {self.error}" if self.error else f"DONE {self.receipt} {list(self.rows)}"


class LineClient:
    """One session.

    :param timeout_s: time for each answer.
    """

    def __init__(self, timeout_s: float = 4.0) -> None:
        """Create a session that is not open."""
        self._timeout_s = timeout_s
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, ip: str, port: int, database: str, key: str) -> None:
        """Open the session.

        :raises SessionEnded: if it is refused.
        """
        try:
            async with asyncio.timeout(2.0):
                self._reader, self._writer = await asyncio.open_connection(ip, port)
                self._writer.write(f"START {database} {key}\r\n".encode())
                line = await self._line()
        except (OSError, EOFError, TimeoutError) as error:
            raise SessionEnded(f"not opened: {error!r}") from error
        if not line.startswith("READY"):
            raise SessionEnded(f"not opened: {line}")

    async def send(self, request_id: str, text: str) -> Answer:
        """Send a statement and read its answer.

        :raises SessionEnded: if no complete answer arrives in time.
        """
        try:
            async with asyncio.timeout(self._timeout_s):
                self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
                return await self._answer()
        except TimeoutError as error:
            raise SessionEnded("no answer in time") from error
        except (OSError, EOFError) as error:
            raise SessionEnded(f"closed: {error!r}") from error

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()

    async def _answer(self) -> Answer:
        rows: list[str] = []
        receipt = error = ""
        while True:
            word, _, rest = (await self._line()).partition(" ")
            match word:
                case "ROW":
                    rows.append(rest)
                case "DONE":
                    receipt = rest
                case "ERROR":
                    error = rest
                case "READY":
                    return Answer(tuple(rows), receipt, error, rest.split(" ")[0])

    async def _line(self) -> str:
        return (await self._reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
