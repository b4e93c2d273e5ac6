"""Interfaces of an entry host to the store, the targets and the platform."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.switching import GroupOrders
from pistachiowinch.fleet.usage_reports import UsageLink, UsageTerms
from pistachiowinch.links.statements import StatementLink
from pistachiowinch.links.store import KeyValue, PollingStore
from pistachiowinch.sessions.site import SiteConfiguration, SiteView, Target

__all__ = ["EntryLinks", "HostAddress", "StoreDocuments", "UsageDestination"]


class HostAddress(NamedTuple):
    """Name, zone, peer address and size of one host.

    :param peer_url: address for other hosts, ``tcp://IP:PORT``.
    :param processor_cores: processor time that the host has, in cores.
    """

    host: str
    availability_zone: str
    peer_url: str
    processor_cores: float = 1.0


class StoreDocuments(Protocol):
    """Keys and formats of the documents that operators and targets write to the store."""

    operators_prefix: str
    configuration_key: str
    evacuations_prefix: str
    targets_prefix: str

    def decode_configuration(self, item: KeyValue) -> SiteConfiguration:
        """Decode the configuration.

        :raises ValueError: if it is malformed.
        """

    def decode_target(self, item: KeyValue) -> Target | None:
        """Decode a target's registry entry; None if it describes no usable target."""


class UsageDestination(NamedTuple):
    """Where and when usage is reported.

    :param create: creates the interface for reports.
    """

    terms: UsageTerms
    create: Callable[[DecisionLog], UsageLink]


class EntryLinks(NamedTuple):
    """Implementations of the interfaces to the store, the targets and the platform.

    :param orders: creates the interface for promotion orders.
    :param usage: destination of usage reports; None if nobody wants them.
    """

    store: PollingStore
    targets: StatementLink
    orders: Callable[[SiteView, DecisionLog], GroupOrders]
    documents: StoreDocuments
    usage: UsageDestination | None = None
