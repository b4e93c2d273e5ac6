"""Prints the figures that tests record, including those of pytest-xdist workers."""

_PROPERTY = "figure"


def pytest_terminal_summary(terminalreporter):
    """Print every recorded figure after the tests."""
    reports = terminalreporter.getreports("passed") + terminalreporter.getreports("failed")
    lines = sorted(
        value for report in reports for name, value in report.user_properties if name == _PROPERTY
    )
    for line in lines:
        terminalreporter.write_line(line)
