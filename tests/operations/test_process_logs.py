"""Guards against library errors that bypass the log's format, and against logged requests."""

import io
import logging

import msgspec

from pistachiowinch.base.logs import part_logger
from pistachiowinch.operations.process_logs import process_logs
from pistachiowinch.operations.settings import LogSettings


def test_library_faults_are_json_lines_and_details_are_left_out():
    stream = io.StringIO()
    with process_logs(LogSettings("DEBUG", "json"), stream):
        logging.getLogger("asyncio").error("exception was never retrieved")
        logging.getLogger("asyncmy").debug("password=secret")
        part_logger("roster").info("epoch 3")
    logging.getLogger("asyncio").error("after the end")
    records = [msgspec.json.decode(line) for line in stream.getvalue().splitlines()]
    assert [(record["part"], record["level"]) for record in records] == [
        ("asyncio", "ERROR"),
        ("roster", "INFO"),
    ]


def test_level_of_the_settings_applies():
    stream = io.StringIO()
    with process_logs(LogSettings("ERROR", "text"), stream):
        part_logger("roster").warning("hidden")
        part_logger("roster").error("shown")
    assert "[roster] shown" in stream.getvalue()
    assert "hidden" not in stream.getvalue()
