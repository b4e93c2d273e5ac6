"""One entry host that counts its callers' requests and reports them."""

import asyncio

from entry.test_host import Site

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.entry.host import Host
from pistachiowinch.entry.links import EntryLinks, HostAddress, UsageDestination
from pistachiowinch.fleet.usage_reports import ReportAnswer, UsageTerms
from pistachiowinch.platform.documents import PlatformDocuments

REQUESTS = 7


class Reports:
    """Receives reports."""

    def __init__(self) -> None:
        """Create an empty list."""
        self.counts: dict[int, dict[str, int]] = {}
        self.has_first, self.has_all = asyncio.Event(), asyncio.Event()

    @property
    def total(self) -> int:
        """All requests reported."""
        return sum(counts.get("carp", 0) for counts in self.counts.values())

    async def report_usage(self, window, counts, holder, fencing_token):
        """Accept a report."""
        self.counts[window] = counts
        self.has_first.set()
        if self.total >= REQUESTS:
            self.has_all.set()
        return ReportAnswer.ACCEPTED

    def close(self):
        """Do nothing, as nothing is open."""


async def test_a_host_reports_the_requests_of_its_callers():
    """Duty: what sessions run must reach the platform under the customer's name."""
    site, reports = Site(), Reports()
    terms = UsageTerms(window_s=0.5, due_s=2.0)
    links = EntryLinks(
        site.store,
        site.link(),
        lambda view, log: site.orders(),
        PlatformDocuments(),
        UsageDestination(terms, lambda log: reports),
    )
    address = HostAddress("h1", "z1", "tcp://127.0.0.1:0")
    site.host = Host(address, links, Metrics(), DecisionLog("test"), now_s())
    await site.host.start()
    async with asyncio.timeout(5.0):
        await reports.has_first.wait()
        for _ in range(REQUESTS):
            await site.read()
        await reports.has_all.wait()
    await site.host.leave()
    windows = sorted(reports.counts)
    assert windows == list(range(windows[0], windows[-1] + 1))
    assert reports.total == REQUESTS
