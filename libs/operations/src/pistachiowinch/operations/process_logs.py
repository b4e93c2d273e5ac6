"""Log output of one process, including that of libraries."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TextIO

from logbook.compat import RedirectLoggingHandler

from pistachiowinch.base.log_handlers import make_handler
from pistachiowinch.operations.settings import LogSettings

__all__ = ["process_logs"]


@contextmanager
def process_logs(settings: LogSettings, stream: TextIO | None = None) -> Iterator[None]:
    """Write the process's logs in one format while the context is open.

    ``asyncio`` and ``aiohttp`` report errors, such as exceptions that were never retrieved, through
    the standard library's logging. Without the redirection these would bypass level and format.

    :param settings: section ``[log]``.
    :param stream: where records go; standard error by default.
    """
    redirect = RedirectLoggingHandler()
    root = logging.getLogger()
    level = root.level
    root.addHandler(redirect)
    # Library records below a warning may quote requests, which can hold keys.
    root.setLevel(logging.WARNING)
    try:
        with make_handler(settings.level, settings.format == "json", stream).applicationbound():
            yield
    finally:
        root.removeHandler(redirect)
        root.setLevel(level)
