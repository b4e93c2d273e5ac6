"""Assignment of each customer's rate to the hosts that generate its tokens.

In a large fleet each host has few requests of each customer. An equal share for every host would
be less than one token, and each request would have to collect fractions from all other hosts.
Above a number of hosts, a few of them therefore own a customer's rate and lend whole tokens to the
others.
"""

import functools
import heapq
from collections.abc import Iterable

import xxhash

__all__ = ["MAX_EQUAL_SPLIT_HOSTS", "OWNERS_PER_CUSTOMER", "RateOwners"]

# Up to this many hosts all own equal shares of every rate; messages to all of them cost little.
MAX_EQUAL_SPLIT_HOSTS = 15
# With three owners, a customer keeps two thirds of its rate when one of them fails.
OWNERS_PER_CUSTOMER = 3


@functools.lru_cache(maxsize=65536)
def _rendezvous_score(customer: str, host: str) -> int:
    return xxhash.xxh64_intdigest(f"rate\x00{customer}\x00{host}".encode())


class RateOwners:
    """The owners of all customers' rates, as one host knows them.

    :param host: this host's name.
    """

    def __init__(self, host: str) -> None:
        """Start with this host as the only owner."""
        self._host = host
        self._hosts: tuple[str, ...] = (host,)
        self._owners: dict[str, tuple[str, ...]] = {}

    def set_hosts(self, hosts: Iterable[str]) -> bool:
        """Set the names of all hosts among which the rates are divided.

        :returns: whether they changed.
        """
        ordered = tuple(sorted(hosts))
        if ordered == self._hosts:
            return False
        self._hosts = ordered
        self._owners.clear()
        return True

    def owners_of(self, customer: str) -> tuple[str, ...]:
        """Return the hosts that own equal shares of a customer's rate."""
        if len(self._hosts) <= MAX_EQUAL_SPLIT_HOSTS:
            return self._hosts
        owners = self._owners.get(customer)
        if owners is None:
            best = heapq.nlargest(
                OWNERS_PER_CUSTOMER,
                self._hosts,
                key=lambda host: (_rendezvous_score(customer, host), host),
            )
            owners = self._owners[customer] = tuple(best)
        return owners

    def share_of(self, customer: str) -> float:
        """Return this host's share of a customer's rate, from 0 to 1."""
        owners = self.owners_of(customer)
        return 1.0 / len(owners) if self._host in owners else 0.0
