"""Client of a host, and the record of what clients sent and what they were answered."""

import asyncio
import itertools
import time
from typing import NamedTuple

__all__ = ["Answer", "ClientLog", "Exchange", "Session", "SessionClosed"]


class Answer(NamedTuple):
    """A complete answer.

    :param error: code of the error; empty for a success.
    :param state: state of the transaction after it.
    """

    rows: tuple[str, ...]
    receipt: str
    error: str
    detail: str
    state: str


class Exchange(NamedTuple):
    """One statement of a client.

    :param sent_s: monotonic time before its first byte was sent.
    :param answered_s: monotonic time of the complete answer, or of the end of the connection.
    :param answer: None if the connection ended without a complete answer.
    """

    session: str
    request_id: str
    text: str
    sent_s: float
    answered_s: float
    answer: Answer | None
    cause: str


class SessionClosed(Exception):
    """The session was refused, or its connection ended."""


class ClientLog:
    """All exchanges of all clients."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.exchanges: list[Exchange] = []
        self._numbers = itertools.count(1)

    def next_request_id(self) -> str:
        """Return a request id that was not used before."""
        return f"r{next(self._numbers):06d}"


class Session:
    """A session with one host.

    :param name: name in the record.
    """

    def __init__(self, log: ClientLog, name: str, answer_timeout_s: float = 12.0) -> None:
        """Create a session that is not open."""
        self._log = log
        self._name = name
        self._answer_timeout_s = answer_timeout_s
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, port: int, database: str, key: str) -> None:
        """Open the session; a client closes it if this takes more than 2 s.

        :raises SessionClosed: if it was refused or not answered.
        """
        try:
            async with asyncio.timeout(2.0):
                self._reader, self._writer = await asyncio.open_connection("127.0.0.1", port)
                self._writer.write(f"START {database} {key}\r\n".encode())
                line = await self._read_line()
        except (OSError, EOFError, TimeoutError) as error:
            raise SessionClosed(repr(error)) from error
        if not line.startswith("READY"):
            raise SessionClosed(line)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def send(self, text: str) -> Answer:
        """Send a statement and wait for its answer.

        :raises SessionClosed: if the connection ended without a complete answer.
        """
        request_id = self._log.next_request_id()
        sent_s = time.monotonic()
        answer, cause = None, ""
        try:
            async with asyncio.timeout(self._answer_timeout_s):
                self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
                answer = await self._read_answer()
        except (OSError, EOFError, TimeoutError) as error:
            cause = type(error).__name__
        self._log.exchanges.append(
            Exchange(self._name, request_id, text, sent_s, time.monotonic(), answer, cause)
        )
        if answer is None:
            raise SessionClosed(cause)
        return answer

    async def _read_answer(self) -> Answer:
        rows: list[str] = []
        receipt, error, detail = "", "", ""
        while True:
            word, _, rest = (await self._read_line()).partition(" ")
            match word:
                case "ROW":
                    rows.append(rest)
                case "DONE":
                    receipt = rest
                case "ERROR":
                    error, _, detail = rest.partition(" ")
                case "READY":
                    return Answer(tuple(rows), receipt, error, detail, rest.split(" ")[0])

    async def _read_line(self) -> str:
        return (await self._reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
