"""Builds the complete gateway, with its limits and tracker, for the speed measurement.

Only the configuration, the status of the group and the standing are fixed.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.configuration.document import Configuration
from pistachiowinch.gateway.gateway import Gateway
from pistachiowinch.gateway.interfaces import ServiceParts
from pistachiowinch.gateway.session_tokens import SessionTokens
from pistachiowinch.groups.confirmation import WriteConfirmer
from pistachiowinch.groups.gate import TransactionGate
from pistachiowinch.groups.ledger import Ledger
from pistachiowinch.groups.tracker import GroupTracker
from pistachiowinch.limits.permits import PermitExchange
from pistachiowinch.limits.rates import RateEscrow, RateLimit
from pistachiowinch.limits.retries import RetryBudget
from pistachiowinch.limits.scheduler import ServiceScheduler
from pistachiowinch.links.targets import FenceReply, TargetRole, TargetStatus
from pistachiowinch.measure.speed import KEY, KEY_ID, SERVICE, TARGET
from pistachiowinch.proxy.login import hash_password
from pistachiowinch.standins.peer_network import PeerNetwork
from pistachiowinch.targets.link import MysqlTargetLink
from pistachiowinch.targets.pool import ConnectionPool

__all__ = ["start_whole_gateway"]

_HOST = "host-1"
_ZONE = "zone-1"
_CUSTOMER = "customer"
_PRIMARY = "primary"
_UNLIMITED_PER_S = 1e9
_TERM = 1
_POSITION = 5


class _FixedGroup:
    """Group link that reports a replica and a primary with the same log position."""

    async def status(self, target: str) -> TargetStatus:
        role = TargetRole.PRIMARY if target == _PRIMARY else TargetRole.REPLICA
        return TargetStatus(target, role, _TERM, _TERM, _TERM, _POSITION, _POSITION)

    async def fence(self, target: str, term: int) -> FenceReply:
        return FenceReply(False, await self.status(target))

    async def promote(self, target: str, term: int) -> FenceReply:
        return FenceReply(False, await self.status(target))

    async def follow(self, target: str, term: int, primary: str) -> FenceReply:
        return FenceReply(False, await self.status(target))


class _FixedSite:
    """Configuration, roster and standing that do not change."""

    def __init__(self, connections: int) -> None:
        target = {
            "address": "127.0.0.1",
            "port": 3306,
            "availability_zone": _ZONE,
            "slots": connections,
            "connections": connections,
            "state": "in",
        }
        service = {
            "is_open": False,
            "ledger": "always",
            "targets": {TARGET: target, _PRIMARY: target},
        }
        customer = {
            "rate_per_s": _UNLIMITED_PER_S,
            "burst": _UNLIMITED_PER_S,
            "weight": 1.0,
            "services": [SERVICE],
        }
        document = {
            "customers": {_CUSTOMER: customer},
            "keys": {KEY_ID: {"customer": _CUSTOMER, "password_hash": hash_password(KEY)}},
            "services": {SERVICE: service},
            "availability_zones": {_ZONE: {"state": "in"}},
            "operators": {},
        }
        self.current = Configuration(1, "fixed", document)
        self.members = (HostIdentity(_HOST, 1, _ZONE, "tcp://127.0.0.1:1"),)
        self.stable_since_s = 0.0

    def has_standing(self) -> bool:
        return True


class _FixedGroupState:
    def __init__(self) -> None:
        self.gate = TransactionGate()
        self.is_outvoted = False


class _Services:
    def __init__(self, parts: ServiceParts) -> None:
        self._parts = parts

    def parts(self, service: str) -> ServiceParts | None:
        return self._parts if service == SERVICE else None


class _WholeGateway(Gateway):
    """Gateway that cancels the tasks of the limits and the tracker when it stops."""

    tasks: tuple["asyncio.Task[Any]", ...] = ()

    async def stop(self, grace_s: float) -> int:
        cut = await super().stop(grace_s)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        return cut


def _start_tasks(*runs: Coroutine[Any, Any, None]) -> tuple["asyncio.Task[Any]", ...]:
    loop = asyncio.get_running_loop()
    return tuple(loop.create_task(run) for run in runs)


def start_whole_gateway(link: MysqlTargetLink, connections: int) -> Gateway:
    """Build the gateway with its rate limiter, scheduler, tracker and retry budget.

    :param link: opens connections to the target.
    :param connections: connections and slots of each target.
    """
    metrics = Metrics()
    site = _FixedSite(connections)
    peers = PeerNetwork().link(_HOST, metrics)
    rates = RateEscrow(_HOST, peers, metrics)
    rates.set_limits({_CUSTOMER: RateLimit(_UNLIMITED_PER_S, _UNLIMITED_PER_S)})
    rates.set_share(1.0)
    scheduler = ServiceScheduler(SERVICE, _HOST, PermitExchange(peers), metrics)
    scheduler.set_members([_HOST])
    scheduler.set_targets({TARGET: connections, _PRIMARY: connections})
    tracker = GroupTracker(SERVICE, [TARGET, _PRIMARY], _FixedGroup())
    confirmer = WriteConfirmer(tracker)
    parts = ServiceParts(
        tracker,
        confirmer,
        Ledger(tracker, confirmer, link),
        scheduler,
        {name: ConnectionPool(link, name, connections, metrics) for name in (TARGET, _PRIMARY)},
        _FixedGroupState(),
    )
    gateway = _WholeGateway(
        _ZONE,
        site,
        site,
        _Services(parts),
        rates,
        RetryBudget(),
        SessionTokens(_HOST, peers, site),
        metrics,
    )
    gateway.tasks = _start_tasks(rates.run(), scheduler.run(), tracker.run())
    return gateway
