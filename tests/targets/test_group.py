"""Guards against taking a malformed reply, or one of another target, for a target's status."""

import pytest

from pistachiowinch.links.targets import (
    Failed,
    FenceReply,
    QueryResult,
    ResultLost,
    Succeeded,
    TargetRole,
    TargetStatus,
    TargetUnreachable,
)
from pistachiowinch.targets.group import SqlGroupLink
from pistachiowinch.targets.orders import (
    REPLY_COLUMNS,
    FenceOrder,
    FollowOrder,
    PromoteOrder,
    StatusOrder,
    order_text,
    parse_order,
    reply_row,
)

pytestmark = pytest.mark.looptime

STATUS = TargetStatus("t1", TargetRole.REPLICA, 2**40 + 1, 3, 3, 17, 16)


class FakeLink:
    """Target that answers every statement with the same outcome."""

    is_usable = True

    def __init__(self, outcome):
        """Keep the outcome."""
        self.outcome = outcome
        self.texts = []
        self.closed = 0

    async def connect(self, target):
        """Return itself as the connection."""
        return self

    async def execute(self, text):
        """Answer."""
        self.texts.append(text)
        return self.outcome

    async def close(self):
        """Count the call."""
        self.closed += 1


def reply(row):
    return Succeeded(QueryResult(columns=REPLY_COLUMNS, rows=(row,)))


@pytest.mark.parametrize(
    "order", [StatusOrder(), FenceOrder(2**62), PromoteOrder(5), FollowOrder(5, "db-2.example")]
)
def test_orders_survive_writing_and_reading(order):
    assert parse_order(order_text(order)) == order


@pytest.mark.parametrize(
    "text",
    [
        "CALL pistachiowinch_fence()",
        "CALL pistachiowinch_fence(1, 2)",
        "CALL pistachiowinch_fence(-1)",
        "CALL pistachiowinch_status(1)",
        "CALL pistachiowinch_follow(1)",
        "CALL pistachiowinch_follow(1, 'a'b')",
        "SELECT 1",
    ],
)
def test_other_statements_are_not_orders(text):
    assert parse_order(text) is None


def test_names_that_end_the_string_early_are_refused():
    with pytest.raises(ValueError, match="quotes"):
        order_text(FollowOrder(1, "a'); DROP TABLE t; --"))


async def test_replies_keep_all_fields():
    link = FakeLink(reply(reply_row(FenceReply(False, STATUS))))
    group = SqlGroupLink(link)
    assert await group.fence("t1", 4) == FenceReply(False, STATUS)
    assert await group.status("t1") == STATUS
    assert (await group.promote("t1", 4)).status == STATUS
    assert (await group.follow("t1", 4, "t2")).status == STATUS
    assert link.texts[-1] == "CALL pistachiowinch_follow(4, 't2')"
    await group.close()
    assert link.closed == 1


@pytest.mark.parametrize(
    "outcome",
    [
        Failed(1064, "42000", "syntax"),
        ResultLost(True, "cut"),
        reply((1, "t2", "replica", 1, 1, 1, 1, 1)),
        reply((1, "t1", "arbiter", 1, 1, 1, 1, 1)),
        reply((1, "t1", "replica", 1, 1, 1, None, 1)),
        reply((1, "t1", "replica", 1, 1, 1, -1, 1)),
        reply((1, "t1")),
        Succeeded(QueryResult()),
    ],
)
async def test_everything_but_a_reply_of_this_target_is_unreachable(outcome):
    with pytest.raises(TargetUnreachable):
        await SqlGroupLink(FakeLink(outcome)).status("t1")


async def test_lost_exchange_is_not_reused():
    link = FakeLink(ResultLost(True, "cut"))
    group = SqlGroupLink(link)
    with pytest.raises(TargetUnreachable):
        await group.status("t1")
    link.outcome = reply(reply_row(FenceReply(True, STATUS)))
    assert await group.status("t1") == STATUS
    await group.close()
    # One connection for the lost exchange and another one for the next order.
    assert link.closed == 2
