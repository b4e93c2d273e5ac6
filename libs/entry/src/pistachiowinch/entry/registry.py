"""Follow the target registry in the store, also through outages of the store."""

from collections.abc import Callable, Iterable, Mapping

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.entry.links import StoreDocuments
from pistachiowinch.fleet.following import PrefixFollower
from pistachiowinch.fleet.primaries import PrimaryTable
from pistachiowinch.links.store import KeyValue, PrefixSource
from pistachiowinch.sessions.connections import ConnectionPools
from pistachiowinch.sessions.health import TargetHealth
from pistachiowinch.sessions.placement import targets_by_name
from pistachiowinch.sessions.site import SiteView, Target

__all__ = ["REREGISTRATION_WAIT_S", "TargetRegistry"]

# After an outage targets restore their expired entries within 2 s, and the watch reports them a
# little later.
REREGISTRATION_WAIT_S = 2.3
# Longer than the age of a copy from which the store may be restored.
REMOVED_MEMORY_S = 60.0


class TargetRegistry:
    """Follows the registry and passes changes to the other components.

    :param store: store that holds the registry.
    :param documents: prefix and format of the entries.
    :param view: receives the targets.
    :param connections: drops pools of removed targets.
    :param health: drops the state of removed targets.
    :param primaries: uses the registry's primary until the first switch.
    :param log: decision log of this component.
    :param batch_delay_s: returns the delay after a change in which further changes are batched.
    :param poll_wait_s: returns the age at which a poll without changes renews the copy's date.
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
        batch_delay_s: Callable[[], float],
        poll_wait_s: Callable[[], float],
    ) -> None:
        """Create a registry that is not loaded yet."""
        self._documents = documents
        self._view = view
        self._connections = connections
        self._health = health
        self._primaries = primaries
        self._log = log
        self._differs_from_store = False
        self._removed: dict[str, tuple[Target, float]] = {}
        self.follower = PrefixFollower(
            store,
            documents.targets_prefix,
            self._on_change,
            log,
            batch_delay_s,
            True,
            poll_wait_s,
        )

    def drop_missing(self) -> None:
        """Drop targets whose entries were not written again after an outage or a restore."""
        if self._differs_from_store and self._is_settled:
            self._apply(self._decode_entries(()))

    @property
    def _is_settled(self) -> bool:
        """Whether a missing entry means that its target was removed."""
        follower = self.follower
        return not follower.is_broken and now_s() - follower.reconnected_s > REREGISTRATION_WAIT_S

    def _on_change(self, keys: Iterable[str], is_whole: bool) -> None:
        self._apply(self._decode_entries(keys))

    def _decode_entries(self, changed: Iterable[str]) -> dict[str, Target]:
        """Decode all entries; log unreadable ones only when they change."""
        logged = frozenset(changed)
        found: dict[str, Target] = {}
        for key, item in self.follower.items.items():
            target, cause = self._decode(item)
            if target is not None:
                found[target.name] = target
            elif key in logged:
                self._log.write(
                    "entry_unreadable", key=key, revision=item.mod_revision, cause=cause
                )
        return found

    def _decode(self, item: KeyValue) -> tuple[Target | None, str]:
        """Decode one entry, whose failure must not affect the others.

        :returns: the target, or None and the reason.
        """
        try:
            target = self._documents.decode_target(item)
        except Exception as error:
            return None, type(error).__name__
        return target, "" if target is not None else "not a target's entry"

    def _apply(self, found: dict[str, Target]) -> None:
        """Apply the targets; keep missing ones until the store has been back for a while."""
        known = targets_by_name(self._view)
        self._differs_from_store = False
        if self.follower.is_era_recent(REREGISTRATION_WAIT_S):
            found = self._without_outdated(found, known)
        missing = {name: target for name, target in known.items() if name not in found}
        if missing and not self._is_settled:
            # A missing target whose address belongs to another target now was replaced.
            taken = {target.address for target in found.values()}
            kept = {name: t for name, t in missing.items() if t.address not in taken}
            self._differs_from_store |= bool(kept)
            found = found | kept
        self._remember_removed({n: t for n, t in missing.items() if n not in found})
        self._view.set_targets(found.values())
        self._connections.set_targets(found)
        self._health.keep_only(found)
        claims: dict[str, list[str]] = {}
        for target in found.values():
            if target.claims_primary:
                claims.setdefault(target.service, []).append(target.name)
        for service, names in claims.items():
            if len(names) == 1:
                self._primaries.set_registry_primary(service, names[0])

    def _without_outdated(
        self, found: dict[str, Target], known: Mapping[str, Target]
    ) -> dict[str, Target]:
        """Replace entries of a restored store by newer ones that this host has seen.

        Targets that were removed after the copy was made are left out.
        """
        outdated = {name for name, target in found.items() if self._is_outdated(target, known)}
        for name in sorted(outdated):
            self._log.write("entry_outdated", target=name, sequence=found[name].sequence)
        self._differs_from_store = bool(outdated)
        current = {name: target for name, target in found.items() if name not in outdated}
        return current | {name: known[name] for name in outdated & known.keys()}

    def _is_outdated(self, target: Target, known: Mapping[str, Target]) -> bool:
        if target.name in known:
            return target.is_older_than(known[target.name])
        removed = self._removed.get(target.name)
        return removed is not None and not removed[0].is_older_than(target)

    def _remember_removed(self, removed: Mapping[str, Target]) -> None:
        oldest_s = now_s() - REMOVED_MEMORY_S
        self._removed = {n: e for n, e in self._removed.items() if e[1] > oldest_s}
        self._removed |= {name: (target, now_s()) for name, target in removed.items()}
