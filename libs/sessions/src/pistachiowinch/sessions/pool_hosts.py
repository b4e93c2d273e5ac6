"""Choose the hosts that hold the connections to a target for the whole fleet.

Load pattern: many hosts and many customers share few connections to each target, and a connection
belongs to one customer. Divided among the hosts, each share is too small to keep a connection for
a customer's next request, so that nearly every request opens one, and no host knows how many of a
target's slots are taken. One pool host for each target knows both.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from pistachiowinch.base.hashing import rendezvous_order
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.sessions.site import SiteView, Target

__all__ = ["MAX_POOL_HOSTS", "FleetView", "PoolHosts"]

# Hosts that are asked in turn to run the statements of a target; if none can be reached, each host
# uses connections of its own.
MAX_POOL_HOSTS = 3
# A host whose share of the connections reaches this part of the customers finds most of them idle
# when the same customer's next request arrives.
MIN_SHARE_OF_CUSTOMERS = 0.25


# Processor time that a pool host needs for the statements of a target.
MIN_PROCESSOR_CORES = 0.25
# Hosts with at least this part of the most processor time in their zone are preferred; each runs
# the statements of a target for many others.
LARGE_HOST_FRACTION = 0.5


class FleetView(Protocol):
    """The hosts of the fleet."""

    @property
    def members(self) -> tuple[HostIdentity, ...]:
        """All members, including this host."""

    @property
    def names(self) -> frozenset[str]:
        """Names of all members, including this host."""


class _Fleet(NamedTuple):
    """Members by availability zone.

    :param names: names of all members.
    :param zones: availability zone of each member.
    """

    names: frozenset[str]
    by_zone: dict[str, list[HostIdentity]]
    zones: dict[str, str]


class PoolHosts:
    """The pool hosts of each target, which all hosts choose alike.

    :param fleet: the members.
    :param view: configuration of the services and the customers.
    :param share: returns this host's equal share of the connections to a target of a service.
    """

    def __init__(self, fleet: FleetView, view: SiteView, share: Callable[[str], int]) -> None:
        """Create a choice that follows the members and the configuration."""
        self._fleet = fleet
        self._view = view
        self._share = share
        self._known = _Fleet(frozenset(), {}, {})
        self._orders: dict[tuple[str, str], tuple[str, ...]] = {}
        self._version = -1
        self._customer_count = 0

    def are_used(self, service: str) -> bool:
        """Whether the connections to a service's targets are too few for each host to have some.

        Hosts that are too small for the statements of others use connections of their own.
        """
        self._refresh()
        configuration = self._view.configuration
        if configuration.version != self._version:
            self._version = configuration.version
            self._customer_count = len(set(configuration.customers.values()))
        share = self._share(service)
        return bool(self._known.by_zone) and share < self._customer_count * MIN_SHARE_OF_CUSTOMERS

    def of(self, target: Target) -> tuple[str, ...]:
        """Return the target's pool hosts, the preferred one first.

        They are in the target's availability zone, so that a statement crosses zones only where it
        would without a pool host. There is none if all hosts are too small.
        """
        self._refresh()
        key = (target.name, target.availability_zone)
        order = self._orders.get(key)
        if order is None:
            order = self._orders[key] = self._order(target)
        return order

    def zone_of(self, host: str) -> str:
        """Return a member's availability zone; empty if it is none."""
        self._refresh()
        return self._known.zones.get(host, "")

    def _refresh(self) -> None:
        names = self._fleet.names
        if names == self._known.names:
            return
        by_zone: dict[str, list[HostIdentity]] = {}
        for member in self._fleet.members:
            if member.processor_cores >= MIN_PROCESSOR_CORES:
                by_zone.setdefault(member.availability_zone, []).append(member)
        zones = {member.host: member.availability_zone for member in self._fleet.members}
        self._known = _Fleet(names, by_zone, zones)
        self._orders = {}

    def _order(self, target: Target) -> tuple[str, ...]:
        near = self._known.by_zone.get(target.availability_zone)
        if near is None:
            near = [member for members in self._known.by_zone.values() for member in members]
        most_cores = max((member.processor_cores for member in near), default=0.0)
        large = {
            member.host
            for member in near
            if member.processor_cores >= most_cores * LARGE_HOST_FRACTION
        }
        order = rendezvous_order(target.name, large)
        order += rendezvous_order(target.name, {member.host for member in near} - large)
        return tuple(order[:MAX_POOL_HOSTS])
