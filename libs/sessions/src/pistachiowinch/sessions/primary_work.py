"""Track work in progress at primaries, so that a switch can wait for it or abort it."""

from collections.abc import Callable

from pistachiowinch.base.clock import now_s, sleep_s

__all__ = ["PrimaryWork"]

# A drain ends later by half of this on average.
POLL_INTERVAL_S = 0.01


class PrimaryWork:
    """Exchanges and open transactions at the primary of each service."""

    def __init__(self) -> None:
        """Create a tracker without work."""
        self._exchanges: dict[str, int] = {}
        self._transactions: dict[str, dict[object, Callable[[str], None]]] = {}

    def begin_exchange(self, service: str) -> None:
        """Record that a statement is sent to the primary."""
        self._exchanges[service] = self._exchanges.get(service, 0) + 1

    def end_exchange(self, service: str) -> None:
        """Record that a statement was answered or its connection was closed."""
        self._exchanges[service] -= 1

    def add_transaction(self, service: str, owner: object, abort: Callable[[str], None]) -> None:
        """Record an open transaction and the function that aborts it."""
        self._transactions.setdefault(service, {})[owner] = abort

    def remove_transaction(self, service: str, owner: object) -> None:
        """Record that a transaction ended."""
        self._transactions.get(service, {}).pop(owner, None)

    def is_idle(self, service: str) -> bool:
        """Whether no work is in progress."""
        return not self._exchanges.get(service) and not self._transactions.get(service)

    async def drain(self, service: str, grace_s: float, limit_s: float) -> bool:
        """Wait for work to end; abort the transactions that are open after the grace time.

        :param grace_s: time in which open transactions may end on their own.
        :param limit_s: timeout of the whole wait.
        :returns: whether no work is left.
        """
        started_s = now_s()
        while not self.is_idle(service):
            elapsed_s = now_s() - started_s
            if elapsed_s >= grace_s:
                for abort in tuple(self._transactions.get(service, {}).values()):
                    abort("the primary is being replaced")
            if elapsed_s >= limit_s:
                return self.is_idle(service)
            await sleep_s(POLL_INTERVAL_S)
        return True
