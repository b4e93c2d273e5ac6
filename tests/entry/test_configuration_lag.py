"""Tests of the lag of a host's configuration: found, bounded and logged once."""

import asyncio

import pytest

from pistachiowinch.entry.configuration_lag import ConfigurationLag

pytestmark = pytest.mark.looptime

LIMIT_S = 4.0


class Log:
    """Collects events."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.events: list[str] = []

    def write(self, event, **fields):
        """Record one event."""
        self.events.append(event)


async def test_a_host_is_overdue_from_the_first_version_that_it_lacks():
    """CONFIG: further versions must not restart the time for which a host may lack the first."""
    lag = ConfigurationLag(lambda: LIMIT_S, Log())
    lag.note_applied(1)
    for version in range(2, 7):
        assert lag.note_announced(version, "peer")
        await asyncio.sleep(1.0)
    assert lag.is_overdue
    lag.note_applied(5)
    assert lag.is_overdue
    lag.note_applied(6)
    assert not lag.is_overdue


async def test_a_lag_can_be_explained_from_the_log():
    """On call, nobody could tell when and from whom a host had heard of a version."""
    log = Log()
    lag = ConfigurationLag(lambda: LIMIT_S, log)
    assert not lag.note_announced(2, "peer")
    lag.note_applied(1)
    for _ in range(3):
        lag.note_announced(2, "peer")
    await asyncio.sleep(LIMIT_S + 0.1)
    for _ in range(3):
        lag.update()
    lag.note_applied(2)
    lag.update()
    assert log.events == [
        "configuration_announced",
        "configuration_overdue",
        "configuration_caught_up",
        "configuration_overdue_ended",
    ]
