"""Assemble the components of one host."""

import asyncio
import math
import random
from collections.abc import Callable, Coroutine, Iterable

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.hashing import rendezvous_order
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.entry.configuration_currency import ConfigurationCurrency
from pistachiowinch.entry.configuration_lag import ConfigurationLag
from pistachiowinch.entry.group_views import GroupViews
from pistachiowinch.entry.links import EntryLinks, HostAddress
from pistachiowinch.entry.registry import REREGISTRATION_WAIT_S, TargetRegistry
from pistachiowinch.entry.shares import Shares
from pistachiowinch.entry.usage import HostUsage
from pistachiowinch.fleet.copy_bounds import DEFAULT_APPLY_TIMEOUT_S, CopyBounds
from pistachiowinch.fleet.first_listing import FirstListingSource
from pistachiowinch.fleet.following import PrefixFollower
from pistachiowinch.fleet.messages import DrainAnswer, DrainRequest, PrimaryNotice
from pistachiowinch.fleet.primaries import PrimaryTable
from pistachiowinch.fleet.primary_lease import (
    PRIMARY_LEASE_S,
    PrimaryLease,
    includes_majority,
)
from pistachiowinch.fleet.promotion_lock import PromotionLock, is_ended_run
from pistachiowinch.fleet.record_repair import RecordRepair
from pistachiowinch.fleet.records import (
    FLEET_PREFIX,
    GROUPS_PREFIX,
    PROMOTION_LOCK_KEY,
    HostRecord,
    PrimaryRecord,
    PromotionLockRecord,
    decode_record,
)
from pistachiowinch.fleet.registration import (
    HOST_LEASE_S,
    NON_VOTER_LEASE_S,
    FleetMembers,
    HostRegistration,
)
from pistachiowinch.fleet.relaying import ChangeServer, RelayedStore
from pistachiowinch.fleet.store_contact import StoreContact
from pistachiowinch.fleet.supervision import ServiceView, SwitchSupervisor
from pistachiowinch.fleet.switching import SwitchContext
from pistachiowinch.fleet.voter_set import VoterSet, VoterSetManager
from pistachiowinch.limits.bucket import NO_TOLERANCE, RateTolerance
from pistachiowinch.limits.rate_owners import RateOwners
from pistachiowinch.limits.rates import RateEscrow
from pistachiowinch.links.store import KeyValue
from pistachiowinch.peering.membership import Membership
from pistachiowinch.peering.messages import AnnouncedPrimary, LocalState, ReceivedHeartbeat
from pistachiowinch.peering.pynng_link import PynngPeerLink
from pistachiowinch.sessions.connections import ConnectionPools
from pistachiowinch.sessions.context import SessionContext
from pistachiowinch.sessions.health import TargetHealth
from pistachiowinch.sessions.placement import targets_by_name
from pistachiowinch.sessions.pool_client import PoolClient
from pistachiowinch.sessions.pool_hosts import PoolHosts
from pistachiowinch.sessions.pool_server import PoolServer
from pistachiowinch.sessions.primary_work import PrimaryWork
from pistachiowinch.sessions.probing import TargetProber
from pistachiowinch.sessions.site import SiteView
from pistachiowinch.sessions.start_gate import StartGate
from pistachiowinch.sessions.target_loads import DEFAULT_ZONE_COST, TargetLoads, ZoneCost
from pistachiowinch.sessions.zone_placement import ZonePlacement

__all__ = ["Host"]

# Half a heartbeat interval, since the checked state changes with heartbeats and outages.
UPKEEP_INTERVAL_S = 0.1
# Delay before a failed component is restarted, so that a permanent fault does not flood the log.
RESTART_DELAY_S = 0.5
# A drain request is answered at most this long after its grace time, before the requesting host
# retries.
DRAIN_SLACK_S = 0.25
# Five heartbeat intervals; a voter that was silent for this long is not used for relayed polls.
MAX_VOTER_SILENCE_S = 1.0
# Delay between polls of the operators' keys and of the targets until there is a configuration.
UNCONFIGURED_BATCH_DELAY_S = 1.0
# Wait of polls for keys that need not be in force within a given time.
UNBOUNDED_POLL_WAIT_S = 4.0
# Part of the time in which a configuration must be in force after which a host that lacks a version
# refuses operations. It hears of the version up to two heartbeats late.
APPLY_MARGIN_S = 1.0
# Size of the random number that distinguishes incarnations of a host.
INCARNATION_BITS = 47


class Host:
    """One entry host.

    :param address: this host.
    :param links: interfaces to the store, the targets and the platform.
    :param metrics: all metrics of this host.
    :param log: decision log.
    :param started_s: loop time at which this process was started.
    :param apply_within_s: time in which a configuration must be in force; None for the default.
    :param rate_tolerance: requests above a customer's limit that operators accept.
    :param zone_cost: weights of speed and bytes in the choice between availability zones.
    """

    def __init__(
        self,
        address: HostAddress,
        links: EntryLinks,
        metrics: Metrics,
        log: DecisionLog,
        started_s: float,
        apply_within_s: float | None = None,
        rate_tolerance: RateTolerance = NO_TOLERANCE,
        zone_cost: ZoneCost = DEFAULT_ZONE_COST,
    ) -> None:
        """Create all components; :meth:`start` runs them."""
        self._log = log
        self._metrics = metrics
        self._store = links.store
        self._documents = links.documents
        self._started_s = started_s
        self._apply_within_s = apply_within_s or DEFAULT_APPLY_TIMEOUT_S
        self._copy_bounds = CopyBounds(self._apply_within_s)
        self._rate_tolerance = rate_tolerance
        self._zone_cost = zone_cost
        self._had_lease = False
        self._was_cut_off = False
        self._configuration_lag = ConfigurationLag(self._configuration_limit_s, log)
        self._tasks: list[asyncio.Task] = []
        run = random.SystemRandom().getrandbits(INCARNATION_BITS) | 1
        self._identity = HostIdentity(
            address.host,
            run,
            address.availability_zone,
            address.peer_url,
            address.processor_cores,
        )
        self._build_fleet()
        self._build_sessions(links)
        self._build_switching(links)
        self._build_usage(links)

    def _build_fleet(self) -> None:
        log = self._log.for_part("fleet")
        identity = self._identity
        self._peer_link = PynngPeerLink(identity.host, identity.peer_url, self._metrics)
        self._membership = Membership(
            identity, self._peer_link, self._local_state, None, self._metrics, reports_hosts=False
        )
        self._hosts = FleetMembers(identity, self._store, log)
        self._voter_set = VoterSet(identity.host, self._hosts, log)
        self._relay = RelayedStore(
            self._store,
            self._peer_link,
            self._reads_store,
            self._voter_heartbeats,
            log,
            self._copy_bounds,
        )
        record = HostRecord(
            identity.host,
            identity.incarnation,
            identity.availability_zone,
            identity.peer_url,
            processor_cores=identity.processor_cores,
        )
        self._primaries = PrimaryTable(log, lambda: self.primary_lease.valid_until_s)
        registered = asyncio.Event()
        self._fleet_follower = PrefixFollower(
            FirstListingSource(self._relay, self._store, registered),
            FLEET_PREFIX,
            self._on_fleet,
            log,
            self._registration_batch_delay_s,
            poll_wait_s=self._poll_wait_s,
        )
        self._registration = HostRegistration(
            self._store,
            record,
            self._on_succession,
            log,
            self._host_lease_s,
            self._fleet_follower,
            registered,
        )
        self._voter_set_manager = VoterSetManager(
            identity.host,
            self._voter_set,
            self._hosts,
            self._store,
            lambda: not self._fleet_follower.is_broken,
            log,
            self._membership.contacts,
        )
        self._store_contact = StoreContact(
            self._store,
            self._fleet_follower,
            lambda: self._is_configured and not self.primary_lease.has_majority,
            self._adopt_primaries,
            log,
            self._relay.note_answered,
        )
        self.primary_lease = PrimaryLease(
            lambda: self._voter_set.recorded_voters,
            self._membership.witness_evidence_s,
            lambda: self._store_contact.as_of_s,
            lambda: self._hosts.listed_as_of_s,
            lambda: self._record_repair.is_complete,
            lambda: self._record_repair.is_forgetful,
        )
        self._record_repair = RecordRepair(
            self._store,
            self._fleet_follower,
            self._primaries,
            lambda: self.primary_lease.has_majority,
            lambda: self.view.services,
            log,
        )

    def _build_sessions(self, links: EntryLinks) -> None:
        log = self._log.for_part("site")
        host = self._identity.host
        self.view = SiteView(log)
        health = TargetHealth(self._log.for_part("targets"))
        shares = Shares(self.primary_lease, self._hosts, self.view)
        self._connections = ConnectionPools(
            links.targets,
            health,
            lambda target: shares.target_limit(target, self._pool_server.hosts_target(target.name)),
            self._metrics,
            self._log.for_part("connections"),
        )
        self._rate_owners = RateOwners(host)
        self._rates = RateEscrow(
            host,
            self._peer_link,
            self._metrics,
            read_share=shares.rate_share,
            owners=self._rate_owners,
            tolerance=self._rate_tolerance,
        )
        self._work = PrimaryWork()
        self.session_context = SessionContext(
            view=self.view,
            primaries=self._primaries,
            has_lease=lambda: self.primary_lease.is_valid,
            health=health,
            connections=self._connections,
            rates=self._rates,
            work=self._work,
            metrics=self._metrics,
            log=self._log.for_part("sessions"),
            availability_zone=self._identity.availability_zone,
            is_outdated=lambda: self.is_outdated,
            start_gate=StartGate(lambda: self.primary_lease.is_valid, self._rates.refresh),
        )
        self._build_shared_pools(shares)
        self._prober = TargetProber(self.view, health, links.targets)
        self._operators_follower = PrefixFollower(
            self._relay,
            self._documents.operators_prefix,
            self._on_operators,
            log,
            self._batch_delay_s,
            delays_after_read=True,
            poll_wait_s=lambda: self._copy_bounds.poll_wait_s,
        )
        self._currency = ConfigurationCurrency(
            lambda: self._operators_follower.as_of_s,
            lambda: self._relay.unanswered_s,
            self._copy_bounds.age_limit_s,
            self._log.for_part("host"),
        )
        self._registry = TargetRegistry(
            self._relay,
            self._documents,
            self.view,
            self._connections,
            health,
            self._primaries,
            log,
            self._batch_delay_s,
            self._poll_wait_s,
        )
        self._changes = ChangeServer(
            {
                FLEET_PREFIX: self._fleet_follower,
                self._documents.operators_prefix: self._operators_follower,
                self._documents.targets_prefix: self._registry.follower,
            },
            self._peer_link,
            lambda: self._voter_set.readers_per_voter,
        )

    def _build_shared_pools(self, shares: Shares) -> None:
        identity = self._identity
        log = self._log.for_part("pools")
        self._loads = TargetLoads()
        self._placement = ZonePlacement(self._loads, identity.availability_zone, self._zone_cost)
        self._pool_server = PoolServer(
            identity.host, identity.incarnation, self.session_context, self._peer_link, log
        )
        self._pool_client = PoolClient(
            identity.host,
            identity.incarnation,
            PoolHosts(self._hosts, self.view, shares.connection_limit),
            self._pool_server,
            self._loads,
            self._placement,
            self._peer_link,
            self._metrics,
            log,
        )
        self.session_context.shared_pools = self._pool_client

    def _build_switching(self, links: EntryLinks) -> None:
        log = self._log.for_part("switch")
        identity = self._identity
        self._orders = links.orders(self.view, log)
        context = SwitchContext(
            host=identity.host,
            store=self._store,
            promotion_lock=PromotionLock(
                self._store, identity.host, identity.incarnation, log, self._fleet_follower
            ),
            orders=self._orders,
            table=self._primaries,
            link=self._peer_link,
            members=lambda: self._hosts.names,
            members_revision=lambda: self._fleet_follower.revision,
            refresh_members=self._fleet_follower.refresh,
            voter_groups=lambda: self._voter_set.voter_groups,
            drain=self._drain,
            log=log,
            addresses=self._addresses,
        )
        self._group_views = GroupViews(
            identity.host,
            self._membership,
            self._voter_set,
            self.view,
            self._primaries,
            self.session_context.health,
            lambda: self._hosts.members,
            self._has_promoter,
        )
        self._supervisor = SwitchSupervisor(
            context,
            self._switchable_views,
            self._group_views.rank,
            log,
            lambda: self._voter_set.is_voter,
        )
        self._peer_link.on_request(DrainRequest, DrainAnswer, self._on_drain_request)
        self._peer_link.on_message(PrimaryNotice, self._on_notice)
        self._membership.heartbeats.subscribe(self._on_heartbeat)
        self._primaries.changes.subscribe(lambda _: self._connections.wake_all())

    def _build_usage(self, links: EntryLinks) -> None:
        self._usage = HostUsage(
            self._identity,
            links,
            self._peer_link,
            self._hosts,
            self._voter_set,
            self._fleet_follower,
            lambda: self._is_configured and not self.session_context.is_stopping,
            self._group_views.rank,
            self._metrics,
            self._log.for_part("usage"),
        )
        self.session_context.request_counts = self._usage.counts

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new callers to this host."""
        return (
            not self.session_context.is_stopping
            and self._is_configured
            and not self.is_cut_off
            and not self.is_outdated
            and self.primary_lease.is_valid
        )

    @property
    def is_cut_off(self) -> bool:
        """Whether this host has been unable to use most services' primaries for a while.

        Its callers are served by hosts of other zones, if the load balancer sends them there.
        """
        return self.session_context.outages.is_cut_off

    async def start(self) -> None:
        """Start the tasks of all components."""
        await self._peer_link.start()
        components = (
            self._registration.run,
            self._fleet_follower.run,
            self._operators_follower.run,
            self._registry.follower.run,
            self._membership.run,
            self._rates.run,
            self._pool_client.run,
            self._prober.run,
            self._supervisor.run,
            self._store_contact.run,
            self._voter_set_manager.run,
            self._usage.run,
            self._upkeep,
        )
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._keep_running(component)) for component in components]
        run = self._identity.incarnation
        self._log.write("started", host=self._identity.host, run=run)

    @property
    def hosts_work(self) -> bool:
        """Whether statements or transactions of other hosts' callers are in progress here."""
        return not self._pool_server.is_idle

    async def leave(self) -> None:
        """Hand over usage counts, return borrowed rate tokens, leave the fleet and stop."""
        self._pool_server.close()
        for error in await asyncio.gather(
            self._usage.hand_over(), self._rates.return_loans(), return_exceptions=True
        ):
            if isinstance(error, Exception):
                self._log.write("leave_incomplete", cause=repr(error))
        self._hosts.resign()
        await self._registration.leave()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._peer_link.stop()
        self._orders.close()
        self._usage.close()

    async def _keep_running(self, component: Callable[[], Coroutine]) -> None:
        """Run a component and restart it if it fails; otherwise its loss would go unnoticed."""
        while True:
            try:
                await component()
            except Exception as error:
                self._log.write("part_failed", part=component.__qualname__, cause=repr(error))
            await sleep_s(RESTART_DELAY_S)

    # Updates from the store and from peers

    def _on_fleet(self, keys: Iterable[str], is_whole: bool) -> None:
        self._hosts.update(self._fleet_follower, keys, is_whole)
        items = self._fleet_follower.items
        groups = (key for key in keys if key.startswith(GROUPS_PREFIX))
        self._adopt_primaries(items[key] for key in groups if key in items)
        self._voter_set.update(self._fleet_follower)
        self._relay.end_direct_polls()
        self._membership.set_members(
            self._voter_set.heartbeat_peers,
            self._hosts.members,
            self._voter_set.reply_only_hosts,
            self._voter_set.expects_replies,
        )
        self._pool_client.set_members(self._hosts.members)
        if self._rate_owners.set_hosts(self._hosts.names):
            self._rates.update_shares()

    def _reads_store(self) -> bool:
        """Whether this host polls the store itself instead of through a voter."""
        return not self._voter_set.is_partial or self._voter_set.is_voter

    def _poll_wait_s(self) -> float:
        """Wait of polls of keys with no limit of their own; a voter states one age for all."""
        return (
            self._copy_bounds.poll_wait_s if self._voter_set.is_partial else UNBOUNDED_POLL_WAIT_S
        )

    def _voter_heartbeats(self) -> list[ReceivedHeartbeat]:
        oldest_s = now_s() - MAX_VOTER_SILENCE_S
        last = (self._membership.last_heartbeat(host) for host in self._voter_set.voters)
        return [r for r in last if r is not None and r.received_s >= oldest_s]

    @property
    def is_outdated(self) -> bool:
        """Whether this host's configuration may lack a change that has to be in force.

        A key that the newer version withdraws must not be accepted any longer.
        """
        return self._configuration_lag.is_overdue or not self._currency.may_serve

    def _configuration_limit_s(self) -> float:
        is_partial = self._voter_set.is_partial
        return self._apply_within_s - APPLY_MARGIN_S if is_partial else math.inf

    @property
    def _is_configured(self) -> bool:
        """Whether callers can be served; hosts and targets of a new site still register."""
        return self.view.configuration.version >= 0 and bool(self.view.services)

    def _batch_delay_s(self) -> float:
        if self.view.configuration.version < 0:
            return UNCONFIGURED_BATCH_DELAY_S
        return self._voter_set.batch_delay_s

    def _registration_batch_delay_s(self) -> float:
        return self._voter_set.registration_batch_delay_s(now_s() - self._started_s)

    def _adopt_primaries(self, items: Iterable[KeyValue]) -> None:
        for item in items:
            record = decode_record(item, PrimaryRecord)
            if record is None:
                self._log.write("record_unreadable", key=item.key, revision=item.mod_revision)
            else:
                self._primaries.adopt(item.key.removeprefix(GROUPS_PREFIX), record, "store")

    def _on_operators(self, keys: Iterable[str], is_whole: bool) -> None:
        items = self._operators_follower.items
        item = items.get(self._documents.configuration_key)
        if item is not None and item.key in keys:
            self._apply_configuration(item)
        self._update_evacuated()
        self._connections.wake_all()

    def _update_evacuated(self) -> None:
        """Apply the evacuations; a restored store may lack one until operators wrote it again."""
        prefix = self._documents.evacuations_prefix
        items = self._operators_follower.items
        zones = frozenset(key.removeprefix(prefix) for key in items if key.startswith(prefix))
        if self._operators_follower.is_era_recent(REREGISTRATION_WAIT_S):
            zones |= self.view.evacuated
        self.view.set_evacuated(zones)

    def _apply_configuration(self, item: KeyValue) -> None:
        try:
            configuration = self._documents.decode_configuration(item)
        except ValueError as error:
            cause = str(error)
            self._log.write("configuration_unreadable", revision=item.mod_revision, cause=cause)
            return
        if self.view.set_configuration(configuration, "store"):
            self._metrics.config_version.set(configuration.version)
            self._configuration_lag.note_applied(configuration.version)
            self._rates.set_limits(configuration.rates)
            rates = {name: tuple(limit) for name, limit in configuration.rates.items()}
            self._log.write("rates", version=configuration.version, rates=rates)

    def _on_heartbeat(self, received: ReceivedHeartbeat) -> None:
        heartbeat = received.heartbeat
        self._relay.on_heartbeat(received)
        for service, announced in heartbeat.primaries.items():
            record = PrimaryRecord(announced.term, announced.primary)
            self._primaries.adopt(service, record, heartbeat.host)
        if self._voter_set.is_voter:
            for target in heartbeat.suspected_targets:
                self.session_context.health.note_reported(target)
        is_behind = self._configuration_lag.note_announced(heartbeat.config_version, heartbeat.host)
        if is_behind and self._reads_store() and self._operators_follower.refresh():
            self._log.write("configuration_behind", peer=heartbeat.host)

    def _on_notice(self, sender: str, notice: PrimaryNotice) -> None:
        record = PrimaryRecord(notice.epoch, notice.primary)
        self._primaries.adopt(notice.service, record, sender)

    async def _on_drain_request(self, sender: str, request: DrainRequest) -> DrainAnswer:
        self._primaries.adopt(request.service, PrimaryRecord(request.epoch, ""), sender)
        is_idle = False
        if self._primaries.epoch(request.service) == request.epoch:
            is_idle = await self._drain(request.service, request.grace_ms / 1000.0)
        is_current = self._primaries.epoch(request.service) == request.epoch
        return DrainAnswer(is_idle and is_current, is_current)

    def _host_lease_s(self) -> float:
        is_partial = self._voter_set.is_partial
        return NON_VOTER_LEASE_S if is_partial and not self._voter_set.is_voter else HOST_LEASE_S

    def _on_succession(self) -> None:
        self._log.write("succession", age_s=round(now_s() - self._started_s, 3))
        self._rates.resume(self._started_s)

    # State for heartbeats, drains and upkeep

    def _local_state(self) -> LocalState:
        # Heartbeats call the number of a switch a term, as the MySQL edge does for its primaries.
        announced = {
            service: AnnouncedPrimary(record.epoch, record.primary)
            for service, record in self._primaries.records.items()
        }
        return LocalState(
            roster_epoch=0,
            config_version=max(self.view.configuration.version, 0),
            store_age_ms=self._changes.age_ms(),
            suspected_targets=self.session_context.health.suspected(targets_by_name(self.view)),
            primaries=announced,
            prefix_revisions=(
                self._changes.prefix_revisions() if self._voter_set.is_partial else None
            ),
            is_witness=self.primary_lease.is_listed and not self._record_repair.is_forgetful,
        )

    async def _drain(self, service: str, grace_s: float) -> bool:
        return await self._work.drain(service, grace_s, grace_s + DRAIN_SLACK_S)

    def _addresses(self, service: str) -> dict[str, str]:
        return {name: target.address for name, target in self.view.targets(service).items()}

    def _switchable_views(self) -> list[ServiceView]:
        is_able = self._voter_set.is_voter and not self.session_context.is_stopping
        if not is_able or self._fleet_follower.is_broken or not self._can_complete_switch():
            return []
        return self._group_views.all()

    def _can_complete_switch(self) -> bool:
        """Whether the voters that this host hears, and those that have stopped, are a majority."""
        heard = self._membership.witnesses(PRIMARY_LEASE_S)
        return self.primary_lease.is_listed and all(
            includes_majority(voters, heard | (voters - self._hosts.names))
            for voters in self._voter_set.voter_groups
        )

    def _has_promoter(self) -> bool:
        """Whether the promotion lock is held, and not by an ended run of this host."""
        item = self._fleet_follower.items.get(PROMOTION_LOCK_KEY)
        record = None if item is None else decode_record(item, PromotionLockRecord)
        identity = self._identity
        return record is not None and not is_ended_run(record, identity.host, identity.incarnation)

    def _log_lease_change(self) -> None:
        """Log when this host gains or loses its primary lease."""
        has_lease = self.primary_lease.is_valid
        if has_lease == self._had_lease:
            return
        self._had_lease = has_lease
        self._metrics.has_standing.set(int(has_lease))
        self._log.write(
            "proof_regained" if has_lease else "proof_lost",
            store_age_s=round(now_s() - self._store_contact.as_of_s, 3),
            contacts=sorted(self._membership.contacts(PRIMARY_LEASE_S)),
            members=len(self._hosts.names),
        )

    def _update_outages(self) -> None:
        """Check which services can be served, and log when this host becomes cut off or returns."""
        self.session_context.update_outages()
        if self.is_cut_off != self._was_cut_off:
            self._was_cut_off = self.is_cut_off
            self._log.write("cut_off" if self._was_cut_off else "cut_off_ended")

    async def _maintain_records(self) -> None:
        """Keep the fleet's records complete, on one of the voters."""
        is_due = self._hosts.has_absent or not self._record_repair.is_complete
        may_decide = self._voter_set.is_voter or not self._voter_set.is_partial
        is_able = may_decide and not self._fleet_follower.is_broken
        if not (is_due and is_able):
            return
        if self._group_views.rank() == 0:
            await self._hosts.list_again()
            await self._hosts.remove_absent()
        if self._is_first_to_repair():
            await self._record_repair.check()

    def _is_first_to_repair(self) -> bool:
        """Whether this voter should complete the records; one that remembers them goes first."""
        host = self._identity.host
        remembering = self._membership.witnesses(PRIMARY_LEASE_S) & self._voter_set.voters
        if self._record_repair.is_forgetful:
            remembering -= {host}
        if not remembering:
            return self._group_views.rank() == 0
        return rendezvous_order("promotion", remembering)[0] == host

    async def _upkeep(self) -> None:
        while True:
            await sleep_s(UPKEEP_INTERVAL_S)
            self._log_lease_change()
            self._update_outages()
            self._configuration_lag.update()
            self._currency.update(self.view.configuration.version)
            self._metrics.configuration_age.set(self._currency.age_s)
            await self._maintain_records()
            self._registry.drop_missing()
            self._update_evacuated()
            self._connections.trim_idle()
            targets = targets_by_name(self.view)
            self._pool_server.set_targets(targets.values())
            self._pool_server.end_idle_transactions()
            self._loads.keep_only(targets)
            for service in self.view.services:
                share = self._placement.share_leaving(service)
                self._metrics.zone_leaving_share.labels(service).set(share)
            # Grace times of leaving targets and the lease expire without an event.
            self._connections.wake_all()
