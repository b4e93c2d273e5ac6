"""Which hosts hold the parts of a customer's rate.

Load pattern: many hosts, each with few requests of each customer. An equal part for every host
would be less than a token, and each request would have to collect fractions from all the others. In
a large fleet a few hosts therefore hold a customer's rate and lend whole tokens to the rest.
"""

import functools
import heapq
from collections.abc import Iterable

import xxhash

__all__ = ["MAX_EQUAL_SPLIT_HOSTS", "OWNERS_PER_CUSTOMER", "RateOwners"]

# Up to this many hosts hold equal parts of every rate; messages to all of them still cost little.
MAX_EQUAL_SPLIT_HOSTS = 15
# With three, a customer keeps two thirds of its rate when one of them is lost.
OWNERS_PER_CUSTOMER = 3


@functools.lru_cache(maxsize=65536)
def _score(customer: str, host: str) -> int:
    return xxhash.xxh64_intdigest(f"rate\x00{customer}\x00{host}".encode())


class RateOwners:
    """The homes of all customers, as one host knows them.

    :param host: this host's name.
    """

    def __init__(self, host: str) -> None:
        """Create homes for this host alone."""
        self._host = host
        self._hosts: tuple[str, ...] = (host,)
        self._homes: dict[str, tuple[str, ...]] = {}

    def set_hosts(self, hosts: Iterable[str]) -> bool:
        """Take the names of all hosts that count.

        :returns: whether they changed.
        """
        ordered = tuple(sorted(hosts))
        if ordered == self._hosts:
            return False
        self._hosts = ordered
        self._homes.clear()
        return True

    def owners_of(self, customer: str) -> tuple[str, ...]:
        """Return the hosts that hold a customer's rate, in equal parts."""
        if len(self._hosts) <= MAX_EQUAL_SPLIT_HOSTS:
            return self._hosts
        homes = self._homes.get(customer)
        if homes is None:
            best = heapq.nlargest(
                OWNERS_PER_CUSTOMER, self._hosts, key=lambda host: (_score(customer, host), host)
            )
            homes = self._homes[customer] = tuple(best)
        return homes

    def share_of(self, customer: str) -> float:
        """Return this host's part of a customer's rate, from 0 to 1."""
        homes = self.owners_of(customer)
        return 1.0 / len(homes) if self._host in homes else 0.0
