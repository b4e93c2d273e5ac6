"""Runs reads outside transactions: replicas first, the primary if no replica may serve them."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.codes import (
    NO_COVERING_TARGET,
    READ_INTERRUPTED,
    Refusal,
)
from pistachiowinch.gateway.context import AcquiredTarget, RunContext
from pistachiowinch.gateway.interfaces import ServiceParts
from pistachiowinch.groups.confirmation import Confirmed
from pistachiowinch.links.targets import Failed, QueryResult, ResultLost, Succeeded
from pistachiowinch.routing.choice import ReadRequirements, read_candidates
from pistachiowinch.routing.session import Session
from pistachiowinch.routing.statements import Statement

__all__ = ["ReadPath"]


_NO_REQUIREMENTS = ReadRequirements(None, None, False)


def _requirements_of(session: Session) -> ReadRequirements:
    """Return the requirements of a session's reads; :data:`_NO_REQUIREMENTS` if there are none."""
    staleness_ms = session.max_staleness_ms
    if session.token is None and staleness_ms is None and not session.is_token_doubtful:
        return _NO_REQUIREMENTS
    return ReadRequirements(
        session.token,
        None if staleness_ms is None else staleness_ms / 1000.0,
        session.is_token_doubtful,
    )


class _ReadTargets(NamedTuple):
    """Targets that may serve reads with the same requirements.

    :param basis: revision of the tracker and version of the configuration.
    """

    basis: tuple[int, int]
    replicas: frozenset[str]
    is_primary_usable: bool


_TargetsByService = dict[str, _ReadTargets]


class _Candidates:
    """Targets that may serve one read, computed again when something relevant has changed.

    :param excluded: targets that have lost an answer of this read; used again only if no other
        target is left.
    :param shared: targets of reads without requirements by service, cached across reads.
    """

    def __init__(
        self,
        context: RunContext,
        session: Session,
        parts: ServiceParts,
        excluded: set[str],
        shared: _TargetsByService,
    ) -> None:
        """Compute the targets for the first time."""
        self.requirements = _requirements_of(session)
        self._eligibility = context.eligibility
        self._service = session.service
        self._tracker = parts.tracker
        self._excluded = excluded
        # Most reads have no requirements, so their targets are computed once and shared.
        self._shared = shared if self.requirements is _NO_REQUIREMENTS and not excluded else None
        self._found: _ReadTargets | None = None
        self.primary_from_s = now_s() + context.settings.replica_wait_s
        self.update()
        self._had_replica = self.has_replica

    @property
    def has_replica(self) -> bool:
        """Whether some replica may serve the read."""
        return bool(self._found.replicas)

    @property
    def targets(self) -> list[str]:
        """Targets that may serve the read once their state is refreshed, and the primary."""
        targets = set(self._eligibility.in_use(self._service))
        primary = self._tracker.primary
        if primary is not None:
            targets.add(primary)
        return sorted(targets)

    def update(self) -> None:
        """Compute the targets again if the group's state or the configuration has changed."""
        basis = (self._tracker.revision, self._eligibility.version)
        found = self._found
        # A staleness bound and the grace time of a leaving primary expire without another change.
        is_timeless = (
            self.requirements.max_staleness_s is None and not self._eligibility.has_leaving
        )
        if found is not None and found.basis == basis and is_timeless:
            return
        if self._shared is None or not is_timeless:
            self._found = self._compute(basis)
            return
        found = self._shared.get(self._service)
        if found is None or found.basis != basis:
            found = self._shared[self._service] = self._compute(basis)
        self._found = found

    def _compute(self, basis: tuple[int, int]) -> _ReadTargets:
        in_use = set(self._eligibility.in_use(self._service))
        primary = self._tracker.primary
        if primary is not None and self._eligibility.may_write(self._service, primary):
            in_use.add(primary)
        remaining = in_use - self._excluded or in_use
        found = read_candidates(self._tracker, remaining, self.requirements, now_s())
        replicas = frozenset(target for target in found if target != primary)
        return _ReadTargets(basis, replicas, primary in found)

    def may_use(self, target: str) -> bool:
        """Tell whether the read may run on a target now.

        :param target: a target with a free slot.
        """
        self.update()
        if target in self._found.replicas:
            return True
        if not self._found.is_primary_usable or target != self._tracker.primary:
            return False
        # Busy replicas are given a short wait, because the primary has to serve the writes.
        return not self._had_replica or now_s() >= self.primary_from_s


class ReadPath:
    """Runs one read of one session."""

    def __init__(self, context: RunContext) -> None:
        """Store the context that all paths share."""
        self._context = context
        self._shared: _TargetsByService = {}

    async def run(
        self, session: Session, statement: Statement, parts: ServiceParts, deadline_s: float
    ) -> Result[QueryResult, Refusal | Failed]:
        """Run a read and repeat it elsewhere when its answer is lost.

        :param session: the caller's session.
        :param statement: the read.
        :param parts: the service's parts.
        :param deadline_s: loop time at which the read is given up.
        """
        excluded: set[str] = set()
        while True:
            acquired = await self._acquire(session, parts, excluded, deadline_s)
            if not isinstance(acquired, Success):
                return acquired
            held = acquired.unwrap()
            outcome = await self._run_on(held, statement, deadline_s)
            match outcome:
                case Succeeded(answer):
                    if not await self._is_current_primary(session, held, deadline_s):
                        refusal = Refusal(NO_COVERING_TARGET, "no primary could be confirmed")
                        return Failure(refusal)
                    self._count(held)
                    return Success(answer)
                case Failed():
                    return Failure(outcome)
                case ResultLost(_, reason):
                    parts.tracker.report_lost_connection(held.grant.target)
                    excluded.add(held.grant.target)
                    if now_s() >= deadline_s:
                        return Failure(Refusal(READ_INTERRUPTED, reason))
                    if not self._context.may_retry(session.customer, "read_answer_lost"):
                        return Failure(Refusal(READ_INTERRUPTED, reason))

    def _count(self, held: AcquiredTarget) -> None:
        is_primary = held.grant.target == held.parts.tracker.primary
        self._context.count_statement("primary_read" if is_primary else "replica_read")

    async def _run_on(
        self, held: AcquiredTarget, statement: Statement, deadline_s: float
    ) -> Succeeded | Failed | ResultLost:
        is_clean = False
        try:
            timeout_s = min(self._context.settings.exchange_timeout_s, deadline_s - now_s())
            outcome = await self._context.exchanges.run(
                held.pool, held.connection, statement.text, timeout_s
            )
            is_clean = not isinstance(outcome, ResultLost)
            return outcome
        finally:
            held.release(is_clean)

    async def _is_current_primary(
        self, session: Session, held: AcquiredTarget, deadline_s: float
    ) -> bool:
        """Prove for a session with a doubtful token that it read from the current primary."""
        if not session.is_token_doubtful:
            return True
        confirmation = await held.parts.confirmer.confirm(held.grant.target, held.term, deadline_s)
        return isinstance(confirmation, Confirmed)

    async def _acquire(
        self, session: Session, parts: ServiceParts, excluded: set[str], deadline_s: float
    ) -> Result[AcquiredTarget, Refusal]:
        candidates = _Candidates(self._context, session, parts, excluded, self._shared)
        if not candidates.has_replica:
            await self._wait_for_replica(parts, candidates)
            candidates = _Candidates(self._context, session, parts, excluded, self._shared)
        may_use: Callable[[str], bool] = candidates.may_use
        return await self._context.acquire(
            session, parts, may_use, deadline_s, candidates.primary_from_s
        )

    async def _wait_for_replica(self, parts: ServiceParts, candidates: _Candidates) -> None:
        """Refresh the targets' positions until a replica may serve the read or the wait ends."""
        wait_s = self._context.settings.replica_wait_s
        wait_until_s = now_s() + wait_s
        requirements = candidates.requirements
        while True:
            try:
                async with asyncio.timeout(wait_s):
                    await parts.tracker.refresh(candidates.targets)
            except TimeoutError:
                return
            candidates.update()
            if requirements.is_primary_only or candidates.has_replica or now_s() >= wait_until_s:
                return
            # More waiting helps only if the replicas still have to reach the token's position.
            if requirements.token is None or parts.tracker.primary is None:
                return
            await asyncio.sleep(wait_s / 4)
