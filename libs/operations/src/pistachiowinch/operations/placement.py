"""Planned switch of a service's primary away from a target that is taken out of use."""

import asyncio
from collections.abc import Sequence
from typing import Protocol

from reactivex import Observable
from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import sleep_s
from pistachiowinch.base.codes import Refusal
from pistachiowinch.base.logs import part_logger
from pistachiowinch.configuration.document import Configuration, targets_in_use
from pistachiowinch.routing.choice import GroupView

__all__ = ["PrimaryPlacement", "PrimarySwitcher", "preferred_targets"]

# The reason for a refused switch, such as a lagging replica, seldom clears earlier.
RETRY_DELAY_S = 0.5

_log = part_logger("placement")


class PrimarySwitcher(Protocol):
    """The part of a service's group that placement uses."""

    @property
    def tracker(self) -> GroupView:
        """The group's terms and positions as this host knows them."""

    async def switch_primary(self, preferred: Sequence[str]) -> Result[str, Refusal]:
        """Move the primary to one of the targets."""


def preferred_targets(service: str, configuration: Configuration, view: GroupView) -> list[str]:
    """Return the targets in use, reachable ones first, then by descending log position.

    :param service: the service's name.
    :param configuration: the version in force.
    :param view: the group's tracker.
    """

    def sort_key(target: str) -> tuple[bool, int, str]:
        tracked = view.tracked(target)
        if tracked is None:
            return True, 0, target
        return not tracked.is_reachable, -tracked.status.position, target

    return sorted(targets_in_use(configuration.document, service), key=sort_key)


class PrimaryPlacement:
    """Watches one service and requests a switch when its primary is no longer in use.

    :param service: the service's name.
    :param group: the service's group.
    :param configurations: emits the current configuration and each later one.
    :param group_changes: emits after each new status or term of the group.
    """

    def __init__(
        self,
        service: str,
        group: PrimarySwitcher,
        configurations: Observable[Configuration],
        group_changes: Observable,
    ) -> None:
        """Store the sources; :meth:`run` subscribes to them."""
        self._service = service
        self._group = group
        self._configurations = configurations
        self._group_changes = group_changes
        self._configuration: Configuration | None = None
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """Switch the primary whenever needed, until cancelled."""
        subscriptions = (
            self._configurations.subscribe(on_next=self._on_configuration),
            self._group_changes.subscribe(on_next=lambda _: self._changed.set()),
        )
        try:
            while True:
                await self._changed.wait()
                self._changed.clear()
                if self._must_move():
                    await self._switch()
        finally:
            for subscription in subscriptions:
                subscription.dispose()

    def _on_configuration(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._changed.set()

    def _must_move(self) -> bool:
        """Return whether the primary is known and not in use while another target is."""
        if self._configuration is None or self._group.tracker.primary is None:
            return False
        in_use = targets_in_use(self._configuration.document, self._service)
        return bool(in_use) and self._group.tracker.primary not in in_use

    async def _switch(self) -> None:
        old_primary = self._group.tracker.primary
        preferred = preferred_targets(self._service, self._configuration, self._group.tracker)
        match await self._group.switch_primary(preferred):
            case Success(primary):
                _log.notice(
                    "The primary of service {} moved from {} to {}.",
                    self._service,
                    old_primary,
                    primary,
                )
            case Failure(refusal):
                _log.warning(
                    "The primary of service {} cannot move from {}: {}.",
                    self._service,
                    old_primary,
                    refusal.detail,
                )
                await sleep_s(RETRY_DELAY_S)
                self._changed.set()
