"""Runs reads outside transactions: replicas first, the primary when no replica will do."""

import asyncio
from collections.abc import Callable

from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.codes import (
    NO_COVERING_TARGET,
    READ_INTERRUPTED,
    Refusal,
)
from pistachiowinch.gateway.exchange import exchange
from pistachiowinch.gateway.interfaces import ServiceParts
from pistachiowinch.gateway.work import Borrowed, RunContext
from pistachiowinch.groups.confirmation import Confirmed
from pistachiowinch.links.targets import Answer, Answered, Failed, Lost
from pistachiowinch.routing.choice import ReadNeed, read_candidates
from pistachiowinch.routing.session import Session
from pistachiowinch.routing.statements import Statement

__all__ = ["ReadPath"]


class ReadPath:
    """Runs one read of one session."""

    def __init__(self, context: RunContext) -> None:
        """Keep what all paths share."""
        self._context = context

    async def run(
        self, session: Session, statement: Statement, parts: ServiceParts, deadline_s: float
    ) -> Result[Answer, Refusal | Failed]:
        """Run a read and repeat it elsewhere when its answer is lost.

        :param session: the caller's session.
        :param statement: the read.
        :param parts: the service's parts.
        :param deadline_s: loop time at which the read is given up.
        """
        excluded: set[str] = set()
        while True:
            borrowed = await self._borrow(session, parts, excluded, deadline_s)
            match borrowed:
                case Failure(refusal):
                    return Failure(refusal)
                case Success(held):
                    pass
            outcome = await self._run_on(held, statement, deadline_s)
            match outcome:
                case Answered(answer):
                    if not await self._is_current(session, held, deadline_s):
                        refusal = Refusal(NO_COVERING_TARGET, "no primary could be confirmed")
                        return Failure(refusal)
                    self._count(held)
                    return Success(answer)
                case Failed():
                    return Failure(outcome)
                case Lost(_, reason):
                    parts.tracker.note_lost(held.grant.target)
                    excluded.add(held.grant.target)
                    if now_s() >= deadline_s:
                        return Failure(Refusal(READ_INTERRUPTED, reason))
                    if not self._context.may_retry(session.customer, "read_answer_lost"):
                        return Failure(Refusal(READ_INTERRUPTED, reason))

    def _count(self, held: Borrowed) -> None:
        is_primary = held.grant.target == held.parts.tracker.primary
        route = "primary_read" if is_primary else "replica_read"
        self._context.metrics.statements.labels(route=route).inc()

    async def _run_on(
        self, held: Borrowed, statement: Statement, deadline_s: float
    ) -> Answered | Failed | Lost:
        is_clean = False
        try:
            timeout_s = min(self._context.settings.exchange_timeout_s, deadline_s - now_s())
            outcome = await exchange(held.connection, statement.text, timeout_s)
            is_clean = not isinstance(outcome, Lost)
            return outcome
        finally:
            held.release(is_clean)

    async def _is_current(self, session: Session, held: Borrowed, deadline_s: float) -> bool:
        """Prove for a session with a doubtful token that it read from the current primary."""
        if not session.is_token_doubtful:
            return True
        confirmation = await held.parts.confirmer.confirm(held.grant.target, held.term, deadline_s)
        return isinstance(confirmation, Confirmed)

    async def _borrow(
        self, session: Session, parts: ServiceParts, excluded: set[str], deadline_s: float
    ) -> Result[Borrowed, Refusal]:
        need = _need_of(session)
        candidates = self._candidates(session, parts, need, excluded)
        if not any(target != parts.tracker.primary for target in candidates):
            await self._await_replica(session, parts, need, excluded)
        may_use = self._filter(session, parts, need, excluded)
        loop = asyncio.get_running_loop()
        wait_s = self._context.settings.replica_wait_s
        timer = loop.call_later(wait_s, parts.scheduler.reconsider)
        try:
            return await self._context.borrow(session, parts, may_use, deadline_s)
        finally:
            timer.cancel()

    def _candidates(
        self, session: Session, parts: ServiceParts, need: ReadNeed, excluded: set[str]
    ) -> list[str]:
        in_use = set(self._context.use.in_use(session.service))
        primary = parts.tracker.primary
        if primary is not None and self._context.use.may_write(session.service, primary):
            in_use.add(primary)
        remaining = in_use - excluded or in_use
        return read_candidates(parts.tracker, remaining, need, now_s())

    async def _await_replica(
        self, session: Session, parts: ServiceParts, need: ReadNeed, excluded: set[str]
    ) -> None:
        """Read the targets' positions again until one covers or the wait is over."""
        give_up_s = now_s() + self._context.settings.replica_wait_s
        targets = self._context.use.in_use(session.service)
        if not need.is_primary_only:
            targets = targets | {parts.tracker.primary} - {None}
        while True:
            try:
                async with asyncio.timeout(self._context.settings.replica_wait_s):
                    await parts.tracker.refresh(sorted(targets))
            except TimeoutError:
                return
            candidates = self._candidates(session, parts, need, excluded)
            if need.is_primary_only or now_s() >= give_up_s:
                return
            if any(target != parts.tracker.primary for target in candidates):
                return
            if not self._may_catch_up(parts, need):
                return
            await asyncio.sleep(self._context.settings.replica_wait_s / 4)

    def _may_catch_up(self, parts: ServiceParts, need: ReadNeed) -> bool:
        """Tell whether waiting can help: only a missing position arrives by itself soon."""
        return need.token is not None and parts.tracker.primary is not None

    def _filter(
        self, session: Session, parts: ServiceParts, need: ReadNeed, excluded: set[str]
    ) -> Callable[[str], bool]:
        primary_from_s = now_s() + self._context.settings.replica_wait_s
        has_replica = any(
            target != parts.tracker.primary
            for target in self._candidates(session, parts, need, excluded)
        )

        def may_use(target: str) -> bool:
            if target not in self._candidates(session, parts, need, excluded):
                return False
            if target != parts.tracker.primary:
                return True
            # A busy replica is worth a short wait, because the primary has to serve the writes.
            return not has_replica or now_s() >= primary_from_s

        return may_use


def _need_of(session: Session) -> ReadNeed:
    staleness_ms = session.max_staleness_ms
    return ReadNeed(
        session.token,
        None if staleness_ms is None else staleness_ms / 1000.0,
        session.is_token_doubtful,
    )
