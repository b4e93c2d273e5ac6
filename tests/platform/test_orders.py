"""Guards against misread answers to promotion orders and to status requests."""

import json

import pytest
from aiohttp import web
from platform_standins import TargetStandIn

from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.entry.bounds import CallBounds
from pistachiowinch.fleet.switching import PromoteAnswer
from pistachiowinch.links.statements import Position
from pistachiowinch.platform.orders import PlatformOrders
from pistachiowinch.platform.targets import LineTargetLink
from pistachiowinch.sessions.site import SiteView, Target

BOUNDS = CallBounds(timeout_s=0.5, connect_timeout_s=0.5, poll_slack_s=0.0)


class Platform:
    """Stand-in for the order interface; tests set the status of its answers."""

    def __init__(self) -> None:
        """Accept every order."""
        self.status = 200
        self.orders: list[tuple] = []
        self.address = ""

    async def start(self) -> web.AppRunner:
        """Listen on a free port."""
        app = web.Application()
        app.router.add_post("/promote", self._promote)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{site._server.sockets[0].getsockname()[1]}"
        return runner

    async def _promote(self, request):
        headers = (request.headers["Duty-Holder"], request.headers["Fence-Token"])
        self.orders.append((*headers, json.loads(await request.read())))
        return web.Response(status=self.status)


@pytest.fixture
async def platform():
    """Run the order interface."""
    found = Platform()
    runner = await found.start()
    yield found
    await runner.cleanup()


def orders_of(address: str, target: TargetStandIn | None = None) -> PlatformOrders:
    """Return a client that knows one target."""
    view = SiteView(DecisionLog("test"))
    if target is not None:
        view.set_targets([Target("i-1", "svc", target.address, "z1", 5, False, False, 1)])
    return PlatformOrders(address, BOUNDS, view, LineTargetLink(), DecisionLog("test"))


@pytest.mark.parametrize(
    ("status", "answer"),
    [
        (200, PromoteAnswer.ACCEPTED),
        (409, PromoteAnswer.NOT_RUNNING),
        (429, PromoteAnswer.UNAVAILABLE),
        (503, PromoteAnswer.UNAVAILABLE),
    ],
)
async def test_orders_name_holder_token_service_and_target(platform, status, answer):
    """ONE: each order has to name the fencing token and its holder."""
    platform.status = status
    orders = orders_of(platform.address)
    assert await orders.promote("svc", "i-1", "host-a", 7) is answer
    assert platform.orders == [("host-a", "7", {"service": "svc", "id": "i-1"})]
    orders.close()


async def test_an_order_without_an_answer_may_have_been_taken():
    """ONE: after an unanswered order the target may be primary; its state has to be requested."""
    orders = orders_of("127.0.0.1:1")
    assert await orders.promote("svc", "i-1", "host-a", 7) is PromoteAnswer.UNAVAILABLE


async def test_questions_use_one_connection_and_open_it_again():
    """A switch requests a target's state many times, and each connection uses one of its slots."""
    target = TargetStandIn()
    await target.start()
    target.answers["STATUS"] = "ROW replica 3 3.9 3 0 0 1\r\nDONE -\r\nREADY I 3.9\r\n"
    orders = orders_of("127.0.0.1:1", target)
    for _ in range(2):
        assert (await orders.state("svc", "i-1", 0.5)).received == Position(3, 9)
    assert sum(line.startswith("START") for line in target.lines) == 1
    assert await orders.state("svc", "unknown", 0.5) is None
    orders.close()
    assert (await orders.state("svc", "i-1", 0.5)).received == Position(3, 9)
    await orders.demote("svc", "i-1", 5, 0.5)
    assert target.lines[-1] == "QUERY - DEMOTE 5"
    orders.close()
    await target.stop()
