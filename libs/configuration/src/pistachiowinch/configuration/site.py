"""The replicas of one host put together."""

import asyncio
import random

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.logs import part_logger
from pistachiowinch.configuration.head import read_head
from pistachiowinch.configuration.records import MalformedRecord
from pistachiowinch.configuration.replica import ConfigurationReplica
from pistachiowinch.configuration.roster import RosterReplica
from pistachiowinch.configuration.standing import Standing
from pistachiowinch.configuration.state import SiteState
from pistachiowinch.configuration.watching import BackOff
from pistachiowinch.links.peers import PeerLink
from pistachiowinch.links.store import Store, StoreError
from pistachiowinch.peering.interfaces import MembershipView

__all__ = ["SiteReplica"]

# Evidence from the store is sought once that from a majority is older than three heartbeats.
MAJORITY_AGE_S = 0.6
CHECK_INTERVAL_S = 0.1
# Two reads a second for each host without a majority; their evidence lasts 1.5 s.
POLL_INTERVAL_S = 1.0
FIRST_BACK_OFF_S = 0.5
MAX_BACK_OFF_S = 3.0

_log = part_logger("standing")


class SiteReplica:
    """Roster, configuration and standing of one host."""

    def __init__(
        self,
        state: SiteState,
        store: Store,
        peers: PeerLink,
        membership: MembershipView,
        rng: random.Random | None = None,
    ) -> None:
        """Put the parts together.

        :param state: also what the membership reads for its heartbeats.
        :param rng: source of the jitter.
        """
        self._rng = rng or random.Random()
        self._store = store
        self.state = state
        self.standing = Standing(state, membership)
        self.roster = RosterReplica(state, self.standing, store, peers, membership, self._rng)
        self.configuration = ConfigurationReplica(
            state, self.standing, self.roster.adoption, store, peers, membership, self._rng
        )

    @property
    def local_versions(self) -> tuple[int, int, int, int]:
        """Roster epoch, configuration version, store age in ms and pending version.

        In this order, they are what this host's heartbeats state.
        """
        state = self.state
        age_ms = self.standing.store_age_ms
        return state.record.epoch, state.config_version, age_ms, state.config_pending

    async def run(self) -> None:
        """Run all parts; until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.roster.run())
            tasks.create_task(self.configuration.run())
            tasks.create_task(self._seek_evidence())

    async def _seek_evidence(self) -> None:
        """Read the store for evidence while no majority confirms."""
        back_off = BackOff(self._rng, FIRST_BACK_OFF_S, MAX_BACK_OFF_S)
        while True:
            if now_s() - self.standing.majority_s <= MAJORITY_AGE_S:
                back_off.reset()
                await sleep_s(CHECK_INTERVAL_S)
                continue
            try:
                await self.read_evidence()
                back_off.reset()
                await sleep_s(POLL_INTERVAL_S * self._rng.uniform(0.8, 1.0))
            except (StoreError, MalformedRecord) as error:
                _log.debug("No evidence from the store: {}.", error)
                await sleep_s(back_off.next_s())

    async def read_evidence(self) -> None:
        """Read roster and head from the store and date the evidence with the earlier request.

        :raises StoreError: if the store did not answer.
        :raises MalformedRecord: if a record cannot be decoded.
        """
        # A TaskGroup, unlike gather, does not lose a cancellation to an error of the same moment.
        try:
            async with asyncio.TaskGroup() as reads:
                roster_read = reads.create_task(self.roster.read())
                head_read = reads.create_task(read_head(self._store, self.state))
        except* (StoreError, MalformedRecord) as errors:
            raise errors.exceptions[0] from None
        epoch, roster_sent_s = roster_read.result()
        head = head_read.result()
        sent_s = min(roster_sent_s, head.sent_s)
        if head.record.version > self.state.config_version:
            # The version read now may be newer still; evidence then waits for the next round.
            await self.configuration.catch_up()
        self.standing.note_store(sent_s, epoch, head.record.version)
