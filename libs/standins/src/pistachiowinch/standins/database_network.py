"""Network between hosts and targets of the in-memory database group, with faults."""

import asyncio
from collections.abc import Callable, Iterable

__all__ = ["FakeNetwork"]

DelayFunction = Callable[[str, str], float]


class FakeNetwork:
    """Simulates delays, partitions and paused hosts. Hosts and targets share one namespace.

    :param delay_s: one-way delay in seconds, or a function of both names.
    """

    def __init__(self, delay_s: float | DelayFunction) -> None:
        """Start without faults."""
        self._delay = delay_s
        self._cuts: set[frozenset[str]] = set()
        self._isolated: set[str] = set()
        self._paused: dict[str, asyncio.Event] = {}
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the partitions."""
        self._listeners.append(listener)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def delay_s(self, first: str, second: str) -> float:
        """One-way delay between two names in seconds."""
        return self._delay(first, second) if callable(self._delay) else self._delay

    def set_delay(self, delay_s: float | DelayFunction) -> None:
        """Replace the one-way delay."""
        self._delay = delay_s

    def is_open(self, first: str, second: str) -> bool:
        """Tell whether messages between two names arrive."""
        if first in self._isolated or second in self._isolated:
            return first == second
        return frozenset((first, second)) not in self._cuts

    def cut(self, first: str, others: Iterable[str] | str) -> None:
        """Lose all messages between ``first`` and each of ``others``, in both directions."""
        names = [others] if isinstance(others, str) else others
        self._cuts.update(frozenset((first, other)) for other in names)
        self._notify()

    def heal(self, first: str, others: Iterable[str] | str) -> None:
        """Undo :meth:`cut`."""
        names = [others] if isinstance(others, str) else others
        self._cuts.difference_update(frozenset((first, other)) for other in names)
        self._notify()

    def isolate(self, name: str) -> None:
        """Lose all messages from and to ``name``."""
        self._isolated.add(name)
        self._notify()

    def rejoin(self, name: str) -> None:
        """Undo :meth:`isolate`."""
        self._isolated.discard(name)
        self._notify()

    def heal_all(self) -> None:
        """End all partitions and isolations."""
        self._cuts.clear()
        self._isolated.clear()
        self._notify()

    def pause_host(self, host: str) -> None:
        """Hold everything that the host sends or receives until :meth:`resume_host`."""
        self._paused.setdefault(host, asyncio.Event())

    def resume_host(self, host: str) -> None:
        """End a pause."""
        resumed = self._paused.pop(host, None)
        if resumed is not None:
            resumed.set()

    async def wait_while_paused(self, host: str) -> None:
        """Wait while the host is paused."""
        while host in self._paused:
            await self._paused[host].wait()
