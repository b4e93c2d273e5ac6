"""Interface to the platform's list of hosts, which may be out of date."""

from typing import NamedTuple, Protocol

__all__ = ["HostList", "ListedHost"]


class ListedHost(NamedTuple):
    """One entry of the list.

    :param host: the host's name.
    :param peer_url: address at which peers reach the host.
    :param is_leaving: whether the platform is about to remove the host.
    """

    host: str
    peer_url: str
    is_leaving: bool


class HostList(Protocol):
    """Source of candidate addresses; a host that is not listed may still be alive."""

    async def hosts(self) -> tuple[ListedHost, ...]:
        """Return the newest known list, which may be stale or empty."""
