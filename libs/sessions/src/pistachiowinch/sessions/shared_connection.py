"""Connections that stand for those that a pool host holds."""

from collections.abc import Mapping
from typing import Protocol

from pistachiowinch.base.clock import now_s, remaining_s
from pistachiowinch.links.statements import (
    Begin,
    Commit,
    Completed,
    Execute,
    Interrupted,
    Position,
    Prepare,
    Read,
    Rollback,
    Statement,
    StatementOutcome,
    Write,
)
from pistachiowinch.sessions.pool_messages import (
    Declined,
    PoolStatement,
    encode_prepared,
    encode_statement,
)
from pistachiowinch.sessions.site import Target

__all__ = ["PoolGateway", "SharedConnection"]


class PoolGateway(Protocol):
    """Hands statements over to pool hosts.

    :ivar run_id: this host's incarnation.
    """

    run_id: int

    def next_number(self) -> int:
        """Return a number for a statement or transaction of this run."""

    async def submit(
        self, host: str, message: PoolStatement, can_give_up: bool, deadline_s: float
    ) -> StatementOutcome | Declined:
        """Hand a statement over and wait for its outcome.

        :param can_give_up: whether to stop waiting once the pool host is lost.
        """

    def close_transaction(self, host: str, transaction: int) -> None:
        """Tell a pool host to roll a transaction back."""


class SharedConnection:
    """Stands for a connection that a pool host holds; implements ``StatementConnection``.

    :param client: hands the statements over.
    :param host: the pool host.
    :param is_primary: whether the target must be the primary.
    :param epoch: number of the latest primary switch.
    :param priority: route's priority.
    """

    initial_position = None

    def __init__(
        self,
        client: PoolGateway,
        host: str,
        target: Target,
        customer: str,
        is_primary: bool,
        epoch: int,
        priority: int,
    ) -> None:
        """Create a connection without a transaction."""
        self._client = client
        self.host = host
        self._target = target
        self._customer = customer
        self._is_primary = is_primary
        self._epoch = epoch
        self._priority = priority
        self._transaction = 0
        self._is_closed = False

    @property
    def is_usable(self) -> bool:
        """Whether another statement may be sent."""
        return not self._is_closed

    async def run(
        self, request_id: str, statement: Statement, after: Position | None, timeout_s: float
    ) -> StatementOutcome | Declined:
        """Run a statement that needs no state of the session."""
        deadline_s = now_s() + timeout_s
        return await self.run_aligned(
            request_id, statement, None, {}, after, deadline_s, deadline_s
        )

    async def run_aligned(
        self,
        request_id: str,
        statement: Statement,
        prepared: Prepare | None,
        values: Mapping[str, str],
        after: Position | None,
        objective_s: float,
        deadline_s: float,
    ) -> StatementOutcome | Declined:
        """Run a statement on a connection with the session's state.

        :param values: variables of the session.
        :param objective_s: loop time by which the answer should be there.
        :param deadline_s: loop time after which an answer is of no use.
        """
        if self._is_closed:
            return Interrupted(False, "the connection was closed")
        if isinstance(statement, Begin):
            self._transaction = self._client.next_number()
        message = PoolStatement(
            self._client.run_id,
            self._client.next_number(),
            self._transaction,
            self._target.service,
            self._target.name,
            self._is_primary,
            self._epoch,
            self._customer,
            self._priority,
            int(remaining_s(objective_s) * 1000),
            int(remaining_s(deadline_s) * 1000),
            request_id,
            encode_statement(statement),
            _is_write(statement, prepared),
            dict(values),
            encode_prepared(prepared),
            None if after is None else tuple(after),
        )
        can_give_up = self._transaction != 0 or not message.is_write
        if isinstance(statement, Commit):
            can_give_up = False
        try:
            outcome = await self._client.submit(self.host, message, can_give_up, deadline_s)
        except BaseException:
            # The caller left while the statement ran.
            self.close()
            raise
        if isinstance(outcome, Interrupted):
            self.close()
        elif isinstance(statement, Commit | Rollback) and isinstance(outcome, Completed):
            self._transaction = 0
        return outcome

    async def reset(self, timeout_s: float) -> StatementOutcome:
        """Do nothing: the pool host aligns its connections for each statement."""
        return Completed((), "", None)

    async def state(self, timeout_s: float) -> None:
        """Return None, since the pool host may use any of its connections."""

    async def demote(self, term: int, timeout_s: float) -> None:
        """Return None; orders are given over a host's own connections."""

    def close(self) -> None:
        """End the connection; an open transaction is rolled back."""
        if not self._is_closed:
            self._is_closed = True
            if self._transaction:
                self._client.close_transaction(self.host, self._transaction)


def _is_write(statement: Statement, prepared: Prepare | None) -> bool:
    match statement:
        case Write():
            return True
        case Execute():
            return prepared is not None and prepared.is_write
        case Read() | Begin() | Rollback() | Commit():
            return False
        case _:
            return True
