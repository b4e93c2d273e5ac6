"""Notifications within one process, without the start-up cost of a library for event streams."""

from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["Signal", "Subscription"]

_T = TypeVar("_T")


class Subscription(Generic[_T]):
    """One receiver of a signal."""

    __slots__ = ("_receive", "_signal")

    def __init__(self, signal: "Signal[_T]", receive: Callable[[_T], object]) -> None:
        """Use :meth:`Signal.subscribe` instead."""
        self._signal = signal
        self._receive = receive

    def dispose(self) -> None:
        """Stop receiving; a second call has no effect."""
        self._signal.remove(self)

    def deliver(self, value: _T) -> None:
        """Pass one value to the receiver."""
        self._receive(value)


class Signal(Generic[_T]):
    """Passes each value to all current subscribers, in the order in which they subscribed."""

    __slots__ = ("_subscriptions",)

    def __init__(self) -> None:
        """Create a signal without subscribers."""
        self._subscriptions: tuple[Subscription[_T], ...] = ()

    def subscribe(self, on_next: Callable[[_T], object]) -> Subscription[_T]:
        """Call ``on_next`` with each later value, until the subscription is disposed."""
        subscription = Subscription(self, on_next)
        self._subscriptions = (*self._subscriptions, subscription)
        return subscription

    def remove(self, subscription: Subscription[_T]) -> None:
        """Remove a subscription; :meth:`Subscription.dispose` calls this."""
        self._subscriptions = tuple(s for s in self._subscriptions if s is not subscription)

    def on_next(self, value: _T) -> None:
        """Pass a value to the subscribers; an error of one is raised here."""
        for subscription in self._subscriptions:
            subscription.deliver(value)
