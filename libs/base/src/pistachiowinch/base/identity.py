"""Names of hosts and of their incarnations."""

from typing import NamedTuple

__all__ = ["NO_INCARNATION", "HostIdentity"]

# A host that started while the store was down has no incarnation and cannot promote.
NO_INCARNATION = 0


class HostIdentity(NamedTuple):
    """One run of one entry host.

    :param host: name from the settings, unique in its site.
    :param incarnation: number from the store's counter, larger for every later start;
        :data:`NO_INCARNATION` while unknown.
    :param availability_zone: zone from the settings.
    :param peer_url: address where peers reach this host, ``tcp://IP:PORT``.
    """

    host: str
    incarnation: int
    availability_zone: str
    peer_url: str
