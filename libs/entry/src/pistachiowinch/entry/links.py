"""What an entry host needs from the outside."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.fleet.switching import GroupOrders
from pistachiowinch.links.statements import StatementLink
from pistachiowinch.links.store import KeyValue, PollingStore
from pistachiowinch.sessions.site import SiteConfiguration, SiteView, Target

__all__ = ["EntryLinks", "HostAddress", "StoreDocuments"]


class HostAddress(NamedTuple):
    """One host of a site.

    :param peer_url: where other hosts connect, ``tcp://IP:PORT``.
    """

    host: str
    availability_zone: str
    peer_url: str


class StoreDocuments(Protocol):
    """Where operators and targets write in the store, and what it means."""

    operators_prefix: str
    configuration_key: str
    evacuations_prefix: str
    targets_prefix: str

    def decode_configuration(self, item: KeyValue) -> SiteConfiguration:
        """Read the configuration.

        :raises ValueError: if it cannot be read.
        """

    def decode_target(self, item: KeyValue) -> Target | None:
        """Read a target's entry; None if it names no target that can be used."""


class EntryLinks(NamedTuple):
    """Links to the store, the targets and the platform.

    :param orders: builds the interface for promotion orders.
    """

    store: PollingStore
    targets: StatementLink
    orders: Callable[[SiteView, DecisionLog], GroupOrders]
    documents: StoreDocuments
