"""Tests of the evidence without which a host does not serve with its configuration."""

import asyncio
import math

import pytest
from entry.test_configuration_lag import Log

from pistachiowinch.base.clock import now_s
from pistachiowinch.entry.configuration_currency import ConfigurationCurrency

pytestmark = pytest.mark.looptime

LIMIT_S = 4.0


class Evidence:
    """Times of the evidence, and the decision that follows."""

    def __init__(self) -> None:
        """Begin with a configuration that was just read."""
        self.as_of_s = now_s()
        self.unanswered_s = -math.inf
        self.log = Log()
        self.currency = ConfigurationCurrency(
            lambda: self.as_of_s, lambda: self.unanswered_s, LIMIT_S, self.log
        )


async def test_a_configuration_without_news_is_found_in_the_log():
    """On call, nobody could tell that a host served with a configuration that nobody had confirmed
    for seconds.
    """
    evidence = Evidence()
    for _ in range(3):
        evidence.currency.update(2)
        await asyncio.sleep(LIMIT_S / 2.0 + 0.1)
    evidence.as_of_s = now_s()
    evidence.currency.update(3)
    assert evidence.log.events == ["configuration_unproven", "configuration_proven"]


async def test_a_host_without_evidence_does_not_serve():
    """CONFIG: a host that heard of no change went on with a version that had been replaced."""
    evidence = Evidence()
    await asyncio.sleep(LIMIT_S)
    assert evidence.currency.may_serve
    await asyncio.sleep(0.1)
    assert not evidence.currency.may_serve
    evidence.as_of_s = now_s()
    assert evidence.currency.may_serve


async def test_a_host_that_the_store_does_not_answer_serves_on():
    """An outage of the store alone must not stop work: no change can be confirmed meanwhile."""
    evidence = Evidence()
    for _ in range(10):
        await asyncio.sleep(LIMIT_S / 2.0)
        evidence.unanswered_s = now_s()
        assert evidence.currency.may_serve
    await asyncio.sleep(LIMIT_S + 0.1)
    assert not evidence.currency.may_serve


async def test_a_host_that_has_read_nothing_does_not_serve():
    """CONFIG: a host that starts without the store knows no configuration to be the newest."""
    evidence = Evidence()
    evidence.as_of_s = -math.inf
    assert not evidence.currency.may_serve
