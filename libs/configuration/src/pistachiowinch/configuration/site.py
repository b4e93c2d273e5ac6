"""Combines the roster, the configuration and the standing of one host."""

import asyncio
import random

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.logs import part_logger
from pistachiowinch.configuration.head import read_head
from pistachiowinch.configuration.key_watch import Backoff
from pistachiowinch.configuration.records import MalformedRecord
from pistachiowinch.configuration.replica import ConfigurationReplica
from pistachiowinch.configuration.roster import RosterReplica
from pistachiowinch.configuration.standing import Standing
from pistachiowinch.configuration.state import SiteState
from pistachiowinch.links.peers import PeerLink
from pistachiowinch.links.store import Store, StoreError
from pistachiowinch.peering.interfaces import MembershipView

__all__ = ["SiteReplica"]

# The store is polled once the evidence of a majority is older than three heartbeats.
MAX_MAJORITY_AGE_S = 0.6
CHECK_INTERVAL_S = 0.1
# Each poll of a host without a majority makes two reads; their evidence lasts 1.5 s.
POLL_INTERVAL_S = 1.0
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 3.0

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
        """Create the parts.

        :param state: state of this host, which its heartbeats report as well.
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

        This host's heartbeats carry them in this order.
        """
        state = self.state
        age_ms = self.standing.store_age_ms
        return state.roster_record.epoch, state.config_version, age_ms, state.config_pending

    async def run(self) -> None:
        """Run all parts until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.roster.run())
            tasks.create_task(self.configuration.run())
            tasks.create_task(self._poll_store())

    async def _poll_store(self) -> None:
        """Poll the store for evidence while no majority confirms this host's versions."""
        backoff = Backoff(self._rng, FIRST_BACKOFF_S, MAX_BACKOFF_S)
        while True:
            if now_s() - self.standing.majority_evidence_s <= MAX_MAJORITY_AGE_S:
                backoff.reset()
                await sleep_s(CHECK_INTERVAL_S)
                continue
            try:
                await self.read_evidence()
                backoff.reset()
                await sleep_s(POLL_INTERVAL_S * self._rng.uniform(0.8, 1.0))
            except (StoreError, MalformedRecord) as error:
                _log.debug("No evidence from the store: {}.", error)
                await sleep_s(backoff.next_s())

    async def read_evidence(self) -> None:
        """Read roster and head from the store and date the evidence by the earlier request.

        :raises StoreError: if the store did not answer.
        :raises MalformedRecord: if a record cannot be decoded.
        """
        # Unlike gather, a TaskGroup does not lose a cancellation that coincides with an error.
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
            # If this loads a still newer version, evidence counts only from the next round on.
            await self.configuration.catch_up()
        self.standing.note_store_read(sent_s, epoch, head.record.version)
