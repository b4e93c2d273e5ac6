"""Interface to the platform's list of hosts, which lags behind reality."""

from typing import NamedTuple, Protocol

__all__ = ["HostList", "ListedHost"]


class ListedHost(NamedTuple):
    """One entry of the list.

    :param host: the host's name.
    :param peer_url: address where peers reach it.
    :param is_leaving: whether the platform is about to remove it.
    """

    host: str
    peer_url: str
    is_leaving: bool


class HostList(Protocol):
    """Source of addresses to try. It never decides that a host is dead."""

    async def hosts(self) -> tuple[ListedHost, ...]:
        """Return the newest known list; may be stale or empty."""
