"""View of the local host and the roster, as the database groups use it."""

from collections.abc import Sequence
from typing import Protocol

__all__ = ["SiteView"]


class SiteView(Protocol):
    """This host and the active roster; the values may change over time."""

    @property
    def site(self) -> str:
        """Name of the site, part of the store's keys."""

    @property
    def host(self) -> str:
        """Name of this host."""

    @property
    def incarnation(self) -> int:
        """This host's incarnation number; 0 while it has none and cannot promote."""

    @property
    def members(self) -> Sequence[str]:
        """Hosts of the active roster."""
