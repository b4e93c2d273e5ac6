"""The record of one run of a script."""

import time
from pathlib import Path

__all__ = ["Record"]


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case.

    :param folder: the case's folder.
    """

    def __init__(self, folder: Path) -> None:
        """Start an empty file."""
        self._start_s = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._start_s:8.2f} {text}\n")
        self._file.flush()
