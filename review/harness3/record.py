"""The record of one run: what was sent, answered and run."""

import asyncio
import json
from pathlib import Path
from typing import TextIO

__all__ = ["Record"]


class Record:
    """Writes one JSON line for each event.

    :param path: the file, which is replaced.
    """

    def __init__(self, path: Path) -> None:
        """Open the file; the times of the lines are counted from now."""
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._start_s = asyncio.get_running_loop().time()

    def now_s(self) -> float:
        """Return the seconds since the start of the record."""
        return asyncio.get_running_loop().time() - self._start_s

    def write(self, event: str, **fields: object) -> None:
        """Write one event with its time.

        :param event: name of the event.
        :param fields: what belongs to it.
        """
        line = {"at_s": round(self.now_s(), 4), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
