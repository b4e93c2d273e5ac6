"""Orders to a database group over dedicated connections.

Probes must not wait behind callers' statements, so they never use the callers' pools.
"""

from pistachiowinch.base.clock import now_s
from pistachiowinch.links.targets import (
    ExecuteOutcome,
    Failed,
    FenceReply,
    ResultLost,
    Succeeded,
    TargetLink,
    TargetStatus,
    TargetUnreachable,
)
from pistachiowinch.targets.orders import (
    FenceOrder,
    FollowOrder,
    GroupOrder,
    PromoteOrder,
    StatusOrder,
    order_text,
    parse_reply,
)
from pistachiowinch.targets.pool import ConnectionPool

__all__ = ["ORDER_TIMEOUT_S", "SqlGroupLink"]

ORDER_TIMEOUT_S = 1.0
# A second connection allows an order to be sent while a probe waits on a silent connection.
_CONNECTIONS_PER_TARGET = 2


class SqlGroupLink:
    """:class:`links.targets.GroupLink` by SQL statements.

    :param link: opens connections to the group's targets.
    :param order_timeout_s: limit for waiting for a connection; callers bound the rest.
    """

    def __init__(self, link: TargetLink, order_timeout_s: float = ORDER_TIMEOUT_S) -> None:
        """Start without connections; they are opened on demand."""
        self._link = link
        self._order_timeout_s = order_timeout_s
        self._pools: dict[str, ConnectionPool] = {}

    async def status(self, target: str) -> TargetStatus:
        """Read a target's state.

        :param target: the target's name.
        :raises TargetUnreachable: if no complete answer arrived.
        """
        return (await self._order(target, StatusOrder())).status

    async def fence(self, target: str, term: int) -> FenceReply:
        """Order a target to refuse lower terms.

        :param target: the target's name.
        :param term: the new lowest term.
        :raises TargetUnreachable: if no complete answer arrived; the order may have taken effect.
        """
        return await self._order(target, FenceOrder(term))

    async def promote(self, target: str, term: int) -> FenceReply:
        """Order a fenced target to become the primary.

        :param target: the target's name.
        :param term: the term it was fenced with.
        :raises TargetUnreachable: if no complete answer arrived; the order may have taken effect.
        """
        return await self._order(target, PromoteOrder(term))

    async def follow(self, target: str, term: int, primary: str) -> FenceReply:
        """Order a target to become a replica.

        :param target: the target's name.
        :param term: the primary's term.
        :param primary: the primary's name.
        :raises TargetUnreachable: if no complete answer arrived; the order may have taken effect.
        """
        return await self._order(target, FollowOrder(term, primary))

    async def close(self) -> None:
        """Close all connections."""
        pools = list(self._pools.values())
        self._pools.clear()
        for pool in pools:
            await pool.drain()

    def _pool(self, target: str) -> ConnectionPool:
        pool = self._pools.get(target)
        if pool is None:
            pool = ConnectionPool(self._link, target, _CONNECTIONS_PER_TARGET)
            self._pools[target] = pool
        return pool

    async def _order(self, target: str, order: GroupOrder) -> FenceReply:
        outcome = await self._execute(target, order_text(order))
        match outcome:
            case Succeeded(answer):
                return self._checked_reply(target, answer.rows)
            case Failed(errno, _, message):
                raise TargetUnreachable(f"target {target} refused an order: {errno} {message}")
            case ResultLost(_, reason):
                raise TargetUnreachable(f"target {target} did not answer an order: {reason}")

    def _checked_reply(self, target: str, rows: object) -> FenceReply:
        try:
            reply = parse_reply(rows)
        except ValueError as error:
            raise TargetUnreachable(f"target {target} sent a malformed reply: {error}") from error
        # The reply of another target would attribute the wrong position to this one.
        if reply.status.target != target:
            raise TargetUnreachable(f"target {target} answered as {reply.status.target}")
        return reply

    async def _execute(self, target: str, text: str) -> ExecuteOutcome:
        pool = self._pool(target)
        acquired = await pool.acquire(now_s() + self._order_timeout_s)
        connection = acquired.value_or(None)
        if connection is None:
            raise TargetUnreachable(acquired.failure().message)
        is_clean = False
        try:
            outcome = await connection.execute(text)
            is_clean = isinstance(outcome, Succeeded | Failed)
        finally:
            pool.release(connection, is_clean)
        return outcome
