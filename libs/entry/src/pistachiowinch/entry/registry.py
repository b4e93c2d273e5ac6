"""Keeps the known targets equal to the registry, through outages of the store."""

from collections.abc import Callable, Iterable

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.entry.links import StoreDocuments
from pistachiowinch.fleet.following import PrefixFollower
from pistachiowinch.fleet.primaries import PrimaryTable
from pistachiowinch.links.store import PrefixSource
from pistachiowinch.sessions.connections import ConnectionPools
from pistachiowinch.sessions.health import TargetHealth
from pistachiowinch.sessions.placement import targets_by_name
from pistachiowinch.sessions.site import SiteView, Target

__all__ = ["TargetRegistry"]

# Entries that ended with an outage return within 2 s of its end, and the watch a little later.
ENTRY_RETURN_S = 2.3


class TargetRegistry:
    """Follows the registry and tells the other parts.

    :param store: where the registry is.
    :param documents: tells where, and reads entries.
    :param view: takes the targets.
    :param connections: drops pools of targets that are gone.
    :param health: forgets targets that are gone.
    :param primaries: takes the registry's word until the first switch.
    :param log: decisions of this part.
    :param gather_s: returns the pause after a change, in which further changes gather.
    """

    def __init__(
        self,
        store: PrefixSource,
        documents: StoreDocuments,
        view: SiteView,
        connections: ConnectionPools,
        health: TargetHealth,
        primaries: PrimaryTable,
        log: DecisionLog,
        gather_s: Callable[[], float],
    ) -> None:
        """Create a registry that is not read yet."""
        self._documents = documents
        self._view = view
        self._connections = connections
        self._health = health
        self._primaries = primaries
        self._log = log
        self._keeps_missing = False
        self.follower = PrefixFollower(
            store, documents.targets_prefix, self._on_change, log, gather_s
        )

    def drop_missing(self) -> None:
        """Drop targets whose entries did not return after an outage."""
        if self._keeps_missing and self._is_settled:
            self._take(self._read(()))

    @property
    def _is_settled(self) -> bool:
        """Whether a missing entry means that its target is gone."""
        follower = self.follower
        return not follower.is_broken and now_s() - follower.reconnected_s > ENTRY_RETURN_S

    def _on_change(self, keys: Iterable[str], is_whole: bool) -> None:
        self._take(self._read(keys))

    def _read(self, changed: Iterable[str]) -> dict[str, Target]:
        """Decode all entries; the unreadable ones among the changed are told once."""
        told = frozenset(changed)
        found: dict[str, Target] = {}
        for key, item in self.follower.items.items():
            target = self._documents.decode_target(item)
            if target is not None:
                found[target.name] = target
            elif key in told:
                self._log.write("entry_unreadable", key=key, revision=item.mod_revision)
        return found

    def _take(self, found: dict[str, Target]) -> None:
        """Keep targets whose entries ended with the store until it has been back for a while."""
        missing = {
            name: target
            for name, target in targets_by_name(self._view).items()
            if name not in found
        }
        self._keeps_missing = False
        if missing and not self._is_settled:
            # Another target at the same address has taken the place of the missing one.
            taken = {target.address for target in found.values()}
            kept = {name: t for name, t in missing.items() if t.address not in taken}
            self._keeps_missing = bool(kept)
            found = found | kept
        self._view.set_targets(found.values())
        self._connections.set_targets(found)
        self._health.keep_only(found)
        for service in self._view.services:
            claims = [t.name for t in self._view.targets(service).values() if t.claims_primary]
            if len(claims) == 1:
                self._primaries.set_registry_primary(service, claims[0])
