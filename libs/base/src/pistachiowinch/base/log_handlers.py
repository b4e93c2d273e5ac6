"""Handlers of log records, as the settings of a host choose them."""

import sys
from typing import TextIO

import logbook
import msgspec

__all__ = ["JsonLinesHandler", "make_handler"]

_TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S} {record.level_name} [{record.channel}] {record.message}"
)


class JsonLinesHandler(logbook.StreamHandler):
    """Writes each record as a JSON object on one line."""

    def format(self, record: logbook.LogRecord) -> str:
        """Return the record as JSON.

        :param record: the record to format.
        """
        fields = {
            "time": record.time.isoformat(),
            "level": record.level_name,
            "part": record.channel,
            "message": record.message,
        }
        return msgspec.json.encode(fields).decode()


def make_handler(level: str, is_json: bool, stream: TextIO | None = None) -> logbook.StreamHandler:
    """Create a log handler as configured by the settings.

    :param level: lowest level that is written, such as ``"INFO"``.
    :param is_json: whether to write JSON lines instead of plain text.
    :param stream: output stream; standard error by default.
    :raises LookupError: if the level is unknown.
    """
    target = stream or sys.stderr
    if is_json:
        return JsonLinesHandler(target, level=level)
    return logbook.StreamHandler(target, level=level, format_string=_TEXT_FORMAT)
