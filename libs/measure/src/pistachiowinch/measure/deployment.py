"""The two deployments that are measured."""

from typing import NamedTuple

__all__ = ["ARCHIVE", "DEPLOYMENTS", "MENGHINA", "Deployment"]


class Deployment(NamedTuple):
    """Sizes of one site.

    :param availability_zones: number of zones; hosts and targets are assigned to them in turn.
    :param services: number of services, each with its own group of targets.
    :param targets: number of targets of each service.
    :param connections: connections that a target accepts from all hosts together.
    :param slots: statements that a target runs concurrently without slowing down.
    :param zone_delay_s: one-way delay between zones.
    :param caller_delay_s: one-way delay between callers and hosts.
    """

    name: str
    availability_zones: int
    connections: int
    hosts: int = 9
    services: int = 3
    targets: int = 3
    slots: int = 5
    customers: int = 8
    zone_delay_s: float = 0.0005
    caller_delay_s: float = 0.003
    connect_s: float = 0.01

    @property
    def zone_names(self) -> tuple[str, ...]:
        """Names of the zones."""
        return tuple(f"zone-{number}" for number in range(1, self.availability_zones + 1))

    @property
    def service_names(self) -> tuple[str, ...]:
        """Names of the services."""
        return tuple(f"service-{number}" for number in range(1, self.services + 1))

    @property
    def host_names(self) -> tuple[str, ...]:
        """Names of the hosts."""
        return tuple(f"host-{number}" for number in range(1, self.hosts + 1))

    @property
    def customer_names(self) -> tuple[str, ...]:
        """Names of the customers."""
        return tuple(f"customer-{number}" for number in range(1, self.customers + 1))

    def target_names(self, service: str) -> tuple[str, ...]:
        """Return the names of a service's targets.

        :param service: the service's name.
        """
        return tuple(f"{service}-target-{number}" for number in range(1, self.targets + 1))

    def zone_of(self, index: int) -> str:
        """Return the zone of a host or target.

        :param index: index of the host in the site or of the target in its service, from 0.
        """
        return self.zone_names[index % self.availability_zones]


MENGHINA = Deployment("menghina", availability_zones=3, connections=30)
ARCHIVE = Deployment("archive", availability_zones=4, connections=50)
DEPLOYMENTS = (MENGHINA, ARCHIVE)
