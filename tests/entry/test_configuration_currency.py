"""Tests of the evidence that a host's configuration is the newest one."""

import asyncio

import pytest
from entry.test_configuration_lag import Log

from pistachiowinch.base.clock import now_s
from pistachiowinch.entry.configuration_currency import ConfigurationCurrency

pytestmark = pytest.mark.looptime

LIMIT_S = 4.0


async def test_a_configuration_without_news_is_found_in_the_log():
    """On call, nobody could tell that a host served with a configuration that nobody had confirmed
    for seconds.
    """
    log = Log()
    read_s = [now_s()]
    currency = ConfigurationCurrency(lambda: read_s[0], lambda: LIMIT_S, log)
    for _ in range(3):
        currency.update(2)
        await asyncio.sleep(LIMIT_S / 2.0 + 0.1)
    read_s[0] = now_s()
    currency.update(3)
    assert log.events == ["configuration_unproven", "configuration_proven"]
