"""Interface through which sessions use the pool hosts."""

from collections.abc import Sequence
from typing import Protocol

from pistachiowinch.sessions.connections import PooledConnection
from pistachiowinch.sessions.site import Target

__all__ = ["SharedPools"]


class SharedPools(Protocol):
    """The pool hosts as the sessions of this host use them."""

    def is_shared(self, service: str) -> bool:
        """Whether statements of a service are handed to pool hosts."""

    def host_of(self, target: Target) -> str:
        """Return the pool host to use for a target now; empty if none can be used."""

    def is_unreachable(self, target: Target) -> bool:
        """Whether no pool host that can be used reaches a target."""

    def order_reads(
        self,
        service: str,
        replicas: Sequence[Target],
        primary: Sequence[Target],
        fallback: Sequence[Target],
        customer: str,
    ) -> list[Target]:
        """Order the targets that may run a read, the best first.

        :param replicas: replicas that are expected to serve it.
        :param primary: the primary, if it may serve it.
        :param fallback: other replicas.
        """

    def connect(
        self,
        host: str,
        target: Target,
        customer: str,
        is_primary: bool,
        epoch: int,
        priority: int,
    ) -> PooledConnection:
        """Return a connection to a target through its pool host."""
