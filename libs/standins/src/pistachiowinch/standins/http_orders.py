"""HTTP server of the platform's interface for promotion orders and usage reports."""

from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple

import msgspec
from aiohttp import web

__all__ = ["HttpOrders", "PromotionOrder", "UsageReport"]


class PromotionOrder(NamedTuple):
    """An order to make a target the primary of its service.

    :param holder: host that holds the promotion lock.
    :param fence: the lock's fencing token.
    """

    service: str
    target: str
    holder: str
    fence: int


class UsageReport(NamedTuple):
    """A report of the requests that began to run in a window, by customer.

    :param holder: host that holds the lock of this duty.
    :param fence: the lock's fencing token.
    """

    window: int
    counts: Mapping[str, int]
    holder: str
    fence: int


class HttpOrders:
    """Server that receives promotion orders and usage reports.

    :param handler: called with each order; returns whether the target is running.
    :param on_usage: called with each report.
    """

    def __init__(
        self,
        handler: Callable[[PromotionOrder], Awaitable[bool]],
        on_usage: Callable[[UsageReport], None] = lambda report: None,
    ) -> None:
        """Create a server that does not listen yet."""
        self._handler = handler
        self._on_usage = on_usage
        self._runner: web.AppRunner | None = None
        self.address = ""

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listen on a free port of an address."""
        app = web.Application()
        app.router.add_post("/promote", self._promote)
        app.router.add_post("/usage", self._take_usage)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, 0).start()
        self.address = f"{ip}:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _promote(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        order = PromotionOrder(
            body["service"],
            body["id"],
            request.headers["Duty-Holder"],
            int(request.headers["Fence-Token"]),
        )
        return web.Response(status=200 if await self._handler(order) else 409)

    async def _take_usage(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        report = UsageReport(
            body["windowId"],
            body["counts"],
            request.headers["Duty-Holder"],
            int(request.headers["Fence-Token"]),
        )
        self._on_usage(report)
        return web.Response(status=200)
