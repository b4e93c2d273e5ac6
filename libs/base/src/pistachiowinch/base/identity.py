"""Identity of a host and of its incarnation."""

from typing import NamedTuple

__all__ = ["NO_INCARNATION", "HostIdentity"]

# A host that started while the store was down has no incarnation and cannot promote a target.
NO_INCARNATION = 0


class HostIdentity(NamedTuple):
    """One incarnation of an entry host.

    :param host: name from the settings, unique in its site.
    :param incarnation: number that identifies this run, random or from the store's counter;
        :data:`NO_INCARNATION` while unknown.
    :param availability_zone: zone from the settings.
    :param peer_url: address where peers reach this host, ``tcp://IP:PORT``.
    :param processor_cores: processor time that the host has, in cores.
    """

    host: str
    incarnation: int
    availability_zone: str
    peer_url: str
    processor_cores: float = 1.0
