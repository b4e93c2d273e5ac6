"""A host's links to the store, its peers and the targets, whose protocols ``links`` defines.

The daemon and the demo open them from the settings. Tests and measurements pass fakes.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from pistachiowinch.base.metrics import Metrics
from pistachiowinch.links.hosts import HostList, ListedHost
from pistachiowinch.links.store import Store
from pistachiowinch.links.targets import GroupLink, TargetLink
from pistachiowinch.operations.settings import Settings, TargetSettings
from pistachiowinch.peering.membership import AddressedPeerLink
from pistachiowinch.peering.pynng_link import PynngPeerLink
from pistachiowinch.store.client import EtcdStore
from pistachiowinch.targets.group import SqlGroupLink
from pistachiowinch.targets.link import MysqlTargetLink, TargetAddress, TargetCredentials

__all__ = ["AddressLookup", "HostLinks", "ServiceLinks", "StaticHostList", "open_links"]

AddressLookup = Callable[[str], TargetAddress | None]


async def _nothing_to_close() -> None:
    """Close links that hold no resources."""


class ServiceLinks(NamedTuple):
    """Links to the targets of one service.

    :param close: releases what the links hold.
    """

    targets: TargetLink
    group: GroupLink
    close: Callable[[], Awaitable[None]] = _nothing_to_close


class HostLinks(NamedTuple):
    """All links of one host.

    :param metrics: the host's metrics, which the links update.
    :param peer_url: this host's address in the roster.
    :param open_service: opens the links of a service; the lookup returns a target's address in
        the configuration in force, or None.
    :param close: releases what the links hold.
    """

    metrics: Metrics
    store: Store
    peers: AddressedPeerLink
    peer_url: str
    host_list: HostList
    open_service: Callable[[str, AddressLookup], ServiceLinks]
    close: Callable[[], Awaitable[None]] = _nothing_to_close


class StaticHostList:
    """Fixed host list from the settings.

    :param known: names and peer addresses.
    """

    def __init__(self, known: tuple[tuple[str, str], ...]) -> None:
        """Build the list."""
        self._hosts = tuple(ListedHost(host, url, False) for host, url in known)

    async def hosts(self) -> tuple[ListedHost, ...]:
        """Return the hosts of the settings."""
        return self._hosts


def _service_opener(settings: TargetSettings) -> Callable[[str, AddressLookup], ServiceLinks]:
    credentials = TargetCredentials(settings.user, settings.password)

    def open_service(service: str, address_of: AddressLookup) -> ServiceLinks:
        timeout_s = settings.connect_timeout_s
        targets = MysqlTargetLink(address_of, credentials, service, timeout_s)
        group = SqlGroupLink(MysqlTargetLink(address_of, credentials, "", timeout_s))
        return ServiceLinks(targets, group, group.close)

    return open_service


async def open_links(settings: Settings) -> HostLinks:
    """Open a host's links; the store and the targets are connected on demand.

    :param settings: the host's settings.
    :raises OSError: if the host cannot listen at the peers' address.
    """
    metrics = Metrics()
    store = EtcdStore(settings.store.endpoints, metrics, settings.store.timeout_s)
    address = settings.peers.address
    url_host = f"[{address}]" if ":" in address else address
    peers = PynngPeerLink(settings.host.name, f"tcp://{url_host}:{settings.peers.port}", metrics)
    try:
        peer_url = await peers.start()
    except Exception as error:
        raise OSError(f"peers' address {url_host}:{settings.peers.port}: {error}") from error

    async def close() -> None:
        await peers.stop()
        await store.close()

    host_list = StaticHostList(settings.peers.known)
    open_service = _service_opener(settings.targets)
    return HostLinks(metrics, store, peers, peer_url, host_list, open_service, close)
