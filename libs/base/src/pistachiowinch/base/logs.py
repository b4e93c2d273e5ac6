"""Loggers for each component, which load ``logbook`` with their first record."""

from collections.abc import Callable
from typing import Any

__all__ = ["PartLogger", "part_logger", "set_up_later"]

_set_ups: list[Callable[[], object]] = []


def set_up_later(set_up: Callable[[], object]) -> None:
    """Call a function before the first record is written, which installs the handlers."""
    _set_ups.append(set_up)


class PartLogger:
    """A ``logbook.Logger`` that is created when it is first used.

    :param part: channel name of the component's records.
    """

    def __init__(self, part: str) -> None:
        """Store the name."""
        self._part = part

    def __getattr__(self, name: str) -> Any:
        """Return a method of the logger, such as ``warning``."""
        if name.startswith("__"):
            raise AttributeError(name)
        import logbook

        while _set_ups:
            _set_ups.pop()()
        method = self.__dict__[name] = getattr(logbook.Logger(self._part), name)
        return method


def part_logger(part: str) -> PartLogger:
    """Return the logger of one component.

    :param part: channel name of the component's records, such as ``"roster"``.
    """
    return PartLogger(part)
