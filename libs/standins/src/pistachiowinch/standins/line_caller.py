"""Client of a host for the platform's line protocol."""

import asyncio
from typing import NamedTuple

__all__ = ["CallerAnswer", "ConnectionEnded", "LineCaller", "SessionBroken"]


class SessionBroken(Exception):
    """The session is unusable: it was refused or closed, or a result timed out."""


class ConnectionEnded(SessionBroken):
    """The host ended the connection before it sent the complete result."""


class CallerAnswer(NamedTuple):
    """Complete result of a statement.

    :param error: the error's code; empty on success.
    """

    rows: tuple[str, ...]
    receipt: str
    error: str


class LineCaller:
    """One session.

    :param open_timeout_s: timeout for opening the session.
    :param answer_timeout_s: timeout for each result.
    """

    def __init__(self, open_timeout_s: float, answer_timeout_s: float) -> None:
        """Create a session that is not open."""
        self._open_timeout_s = open_timeout_s
        self._answer_timeout_s = answer_timeout_s
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, address: tuple[str, int], database: str, key: str) -> None:
        """Open the session.

        :raises SessionBroken: if the host refuses the session or does not respond.
        """
        try:
            async with asyncio.timeout(self._open_timeout_s):
                self._reader, self._writer = await asyncio.open_connection(*address)
                self._writer.write(f"START {database} {key}\r\n".encode())
                line = await self._read_line()
        except (OSError, EOFError, TimeoutError) as error:
            raise SessionBroken(repr(error)) from error
        if not line.startswith("READY"):
            raise SessionBroken(line)

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._writer is not None:
            self._writer.close()

    async def send(self, request_id: str, text: str) -> CallerAnswer:
        """Send a statement and wait for its result.

        :raises ConnectionEnded: if the host ends the connection before.
        :raises SessionBroken: if the complete result does not arrive within the timeout.
        """
        try:
            async with asyncio.timeout(self._answer_timeout_s):
                self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
                return await self._read_result()
        except TimeoutError as error:
            raise SessionBroken(repr(error)) from error
        except (OSError, EOFError) as error:
            raise ConnectionEnded(repr(error)) from error

    async def _read_result(self) -> CallerAnswer:
        rows: list[str] = []
        receipt, error = "", ""
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
                    return CallerAnswer(tuple(rows), receipt, error)

    async def _read_line(self) -> str:
        return (await self._reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
