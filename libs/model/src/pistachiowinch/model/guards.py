"""Removable guards, which show that the checker finds a violation without each of them."""

import enum
from typing import Generic, TypeVar

__all__ = ["GuardedSpecification"]

Guard = TypeVar("Guard", bound=enum.Enum)


class GuardedSpecification(Generic[Guard]):
    """Base class of specifications with removable guards.

    :param removed: guard to leave out, or None for the complete protocol.
    """

    def __init__(self, removed: Guard | None = None) -> None:
        """Store the removed guard."""
        self.removed = removed

    def _has_guard(self, guard: Guard) -> bool:
        return guard is not self.removed
