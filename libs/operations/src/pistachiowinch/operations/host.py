"""One host: builds, starts and stops its components."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from reactivex.abc import DisposableBase
from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import sleep_s
from pistachiowinch.base.codes import PATCH_INVALID, STORE_UNAVAILABLE, Refusal
from pistachiowinch.base.identity import NO_INCARNATION, HostIdentity
from pistachiowinch.base.logs import part_logger
from pistachiowinch.configuration.document import Configuration
from pistachiowinch.configuration.patches import Patch
from pistachiowinch.configuration.site import SiteReplica
from pistachiowinch.configuration.standing import STANDING_LIMIT_S
from pistachiowinch.configuration.state import SiteState
from pistachiowinch.gateway.gateway import Gateway
from pistachiowinch.gateway.session_tokens import SessionTokens
from pistachiowinch.gateway.settings import GatewaySettings
from pistachiowinch.groups.messages import GroupMessenger
from pistachiowinch.limits.permits import PermitExchange
from pistachiowinch.limits.rates import RateEscrow, RateLimit
from pistachiowinch.limits.retries import RetryBudget
from pistachiowinch.limits.scheduler import ServiceScheduler
from pistachiowinch.links.store import StoreError
from pistachiowinch.operations.links import HostLinks
from pistachiowinch.operations.operators_http import OperatorsServer
from pistachiowinch.operations.parts import PartRunner
from pistachiowinch.operations.services import HostServices, ServiceContext
from pistachiowinch.operations.settings import Settings
from pistachiowinch.operations.site_views import GroupSite, RosterHistory
from pistachiowinch.operations.status import host_status
from pistachiowinch.peering.membership import Membership
from pistachiowinch.peering.messages import LocalState
from pistachiowinch.proxy.server import CallerServer

__all__ = ["Host"]

# Leaving the roster only saves time: the other hosts remove a silent member after 1 s.
_LEAVE_TIMEOUT_S = 2.0
# A host heard from within the standing limit may still act on the roster.
_RUNNING_CONTACT_AGE_S = STANDING_LIMIT_S
# Permits that are not returned expire after 1 s, loans after 0.25 s.
_RETURN_TIMEOUT_S = 1.0

_log = part_logger("host")


class Host:
    """One host. Must be created in a running event loop.

    :param settings: checked settings.
    :param links: connections to the outside; the caller closes them after the host has stopped.
    :param has_listeners: whether callers and operators can connect by sockets. Tests on the paused
        clock have none and call the gateway directly.
    """

    def __init__(self, settings: Settings, links: HostLinks, has_listeners: bool = True) -> None:
        """Build all components; nothing runs before :meth:`start`."""
        self.settings = settings
        self.links = links
        self.metrics = links.metrics
        self._has_listeners = has_listeners
        self._is_started = False
        self._is_stopping = False
        self._part_runner = PartRunner()
        self._subscriptions: list[DisposableBase] = []
        self._configuration_changed = asyncio.Event()
        self._build_site()
        self._build_gateway()
        self.callers = CallerServer(
            self.gateway,
            max_connections=settings.callers.connections,
            login_timeout_s=settings.callers.login_timeout_s,
            statement_timeout_s=settings.callers.deadline_s,
            statement_bytes=settings.callers.statement_bytes,
            memory_bytes=settings.host.memory_mb * 1024 * 1024,
        )
        self.operators = OperatorsServer(self, settings.operators)

    def _build_site(self) -> None:
        """Build membership, roster, configuration and standing."""
        host, links = self.settings.host, self.links
        identity = HostIdentity(host.name, NO_INCARNATION, host.availability_zone, links.peer_url)
        self._state = SiteState(host.site, identity)
        self.membership = Membership(
            identity, links.peers, self._local_state, links.host_list, self.metrics
        )
        # The name as seed makes delays differ between hosts and a simulated site reproducible.
        jitter = random.Random(f"{host.site}/{host.name}")
        self.site = SiteReplica(self._state, links.store, links.peers, self.membership, rng=jitter)

    def _build_gateway(self) -> None:
        """Build the rate limits, the services and the gateway, which run callers' statements."""
        host, links = self.settings.host, self.links
        roster = self.site.roster
        self.rates = RateEscrow(
            host.name, links.peers, self.metrics, read_share=lambda: roster.share
        )
        self._permits = PermitExchange(links.peers)
        context = ServiceContext(
            links,
            self.membership,
            GroupMessenger(links.peers),
            GroupSite(host.site, roster),
            self.site.configuration.changes,
            self._part_runner,
            self._make_scheduler,
        )
        self.services = HostServices(context)
        session_tokens = SessionTokens(host.name, links.peers, RosterHistory(roster))
        self.gateway = Gateway(
            host.availability_zone,
            self.site.configuration,
            self.site.standing,
            self.services,
            self.rates,
            RetryBudget(self.metrics),
            session_tokens,
            self.metrics,
            GatewaySettings(statement_timeout_s=self.settings.callers.deadline_s),
        )

    def _make_scheduler(self, service: str) -> ServiceScheduler:
        return ServiceScheduler(service, self.name, self._permits, self.metrics)

    # State --------------------------------------------------------------------------------------

    @property
    def name(self) -> str:
        """The host's name."""
        return self.settings.host.name

    @property
    def failures(self) -> tuple[str, ...]:
        """One sentence for each part that failed."""
        return self._part_runner.failures

    @property
    def configuration(self) -> Configuration:
        """The configuration in force on this host."""
        return self.site.configuration.current

    @property
    def unready_reasons(self) -> tuple[str, ...]:
        """Why the load balancer should send callers elsewhere; empty if ready."""
        reasons = list(self._part_runner.failures)
        if not self._is_started:
            reasons.append("the host is starting")
        if self._is_stopping:
            reasons.append("the host is stopping")
        if not self.site.standing.has_standing():
            reasons.append("the host has no standing")
        if self.gateway.admission.is_zone_out:
            reasons.append(f"zone {self.settings.host.availability_zone} is out")
        if not self.configuration.document["services"]:
            reasons.append("the configuration names no service")
        return tuple(reasons)

    def status(self) -> dict[str, Any]:
        """Return the host's state as plain data."""
        return host_status(self)

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        self._set_gauges()
        return self.metrics.render()

    def _local_state(self) -> LocalState:
        """Return the state that this host's heartbeats carry."""
        epoch, version, store_age_ms, pending = self.site.local_versions
        return LocalState(
            epoch,
            version,
            store_age_ms,
            self.services.suspected_targets,
            self.services.primaries,
            pending,
        )

    def _set_gauges(self) -> None:
        self.metrics.config_version.set(self.configuration.version)
        self.metrics.roster_epoch.set(self.site.roster.current.epoch)
        self.metrics.has_standing.set(self.site.standing.has_standing())

    # Operators ----------------------------------------------------------------------------------

    async def submit_patch(self, patch: Patch) -> Result[Any, Refusal]:
        """Submit a patch; see :class:`.operators_http.OperatorsView`."""
        return await self.site.configuration.submit(patch)

    async def patch_history(self, count: int) -> list[Any]:
        """Return the newest patch records, the newest first."""
        return list(reversed(await self.site.configuration.history(count)))

    async def wait_in_force(self, version: int, timeout_s: float) -> list[str]:
        """Wait until the version is in force; return the hosts that do not have it yet."""
        await self.site.configuration.wait_in_force(version, timeout_s)
        return list(self.site.configuration.lagging_members(version))

    async def remove_hosts(self, hosts: frozenset[str]) -> Result[int, Refusal]:
        """Remove stopped hosts without a majority; see ``RosterReplica.force_remove``."""
        members = {member.host for member in self.site.roster.current.members}
        if not hosts or not hosts <= members:
            return Failure(Refusal(PATCH_INVALID, f"name hosts of {', '.join(sorted(members))}"))
        # A running host that is removed by force could keep using its share of the rates.
        running = hosts & self.membership.contacts(_RUNNING_CONTACT_AGE_S)
        if running:
            detail = f"{', '.join(sorted(running))} still runs; stop it first"
            return Failure(Refusal(PATCH_INVALID, detail))
        try:
            await self.site.roster.force_remove(hosts)
        except StoreError as error:
            return Failure(Refusal(STORE_UNAVAILABLE, str(error)))
        return Success(self.site.roster.current.epoch)

    # Changes ------------------------------------------------------------------------------------

    def _guard_subscriber(self, name: str, handle: Callable[[Any], None]) -> Callable[[Any], None]:
        """Wrap a subscriber: an exception makes the host unready and does not reach the emitter."""

        def guarded(value: Any) -> None:
            try:
                handle(value)
            except Exception as error:
                self._part_runner.report(name, error)

        return guarded

    def _subscribe(self) -> None:
        state = self._state
        subscribers = (
            (state.identities, "membership", self.membership.set_identity),
            (self.site.roster.changes, "roster", self._on_roster),
            (state.configurations, "configuration", self._on_configuration),
        )
        for changes, name, handle in subscribers:
            self._subscriptions.append(
                changes.subscribe(on_next=self._guard_subscriber(name, handle))
            )

    def _on_roster(self, _roster: Any) -> None:
        roster = self.site.roster
        self.membership.set_members(roster.heartbeat_peers)
        self.rates.set_peers([member.host for member in roster.current.members])
        self._apply_services()

    def _on_configuration(self, configuration: Configuration) -> None:
        customers = configuration.document["customers"]
        self.rates.set_limits(
            {
                name: RateLimit(entry["rate_per_s"], entry["burst"])
                for name, entry in customers.items()
            }
        )
        self._apply_services()
        self._configuration_changed.set()
        _log.info("Configuration version {} is in force on this host.", configuration.version)

    def _apply_services(self) -> None:
        members = [member.host for member in self.site.roster.current.members]
        self.services.apply(self.configuration, members)

    async def _update_sessions(self) -> None:
        """Apply each new version to open sessions: withdrawn keys, zones, services."""
        while True:
            await self._configuration_changed.wait()
            self._configuration_changed.clear()
            await self.gateway.apply_configuration(self.configuration)

    # Operation ----------------------------------------------------------------------------------

    async def start(self) -> None:
        """Listen and start all parts.

        :raises OSError: if the host cannot listen at an address.
        """
        if self._has_listeners:
            await self.operators.start()
            callers = self.settings.callers
            await self.callers.start(callers.address, callers.port)
        self._subscribe()
        self._part_runner.start("membership", self.membership.run())
        self._part_runner.start("site", self.site.run())
        self._part_runner.start("rates", self.rates.run())
        self._part_runner.start("sessions", self._update_sessions())
        self._is_started = True
        _log.notice("Host {} of site {} runs.", self.name, self.settings.host.site)

    async def stop(self) -> None:
        """Stop gracefully: drain callers, return borrowed tokens and permits, leave the roster."""
        if self._is_stopping:
            return
        self._is_stopping = True
        if self._has_listeners:
            # The load balancer must see the failing check before connections are refused.
            await sleep_s(self.settings.stop.unready_s)
            await self.callers.stop(self.settings.stop.grace_s)
        rolled_back = await self.gateway.stop(
            0.0 if self._has_listeners else self.settings.stop.grace_s
        )
        if rolled_back:
            _log.warning("{} transactions were rolled back by the stop.", rolled_back)
        await self._return_borrowed()
        await self._leave()
        await self.abort()
        _log.notice("Host {} has stopped.", self.name)

    async def _return_borrowed(self) -> None:
        """Return tokens and permits; those that cannot be returned expire."""
        try:
            async with asyncio.timeout(_RETURN_TIMEOUT_S):
                await self.services.return_permits()
                await self.rates.return_loans()
        except TimeoutError:
            _log.warning("Borrowed permits or tokens were not returned in time and will expire.")

    async def _leave(self) -> None:
        try:
            async with asyncio.timeout(_LEAVE_TIMEOUT_S):
                await self.site.roster.leave()
        except (StoreError, TimeoutError) as error:
            _log.warning(
                "Cannot leave the roster ({!r}); the other hosts will remove this host.", error
            )

    async def abort(self) -> None:
        """Stop all parts at once without notifying other hosts; a second call does nothing."""
        for subscription in self._subscriptions:
            subscription.dispose()
        self._subscriptions.clear()
        await self.services.close()
        await self._part_runner.stop_all()
        await self.operators.stop()
