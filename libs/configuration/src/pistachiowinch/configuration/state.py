"""State of a site as one host knows it; shared by the replicas and the standing."""

from collections import deque
from typing import NamedTuple

from reactivex import Observable
from reactivex.subject import BehaviorSubject, Subject

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.configuration.document import EMPTY_DOCUMENT, Configuration
from pistachiowinch.configuration.records import (
    EMPTY_DIGEST,
    NO_ROSTER,
    RosterRecord,
    SiteKeys,
)

__all__ = ["InDoubtPatch", "SiteState"]


# A prepare request may arrive after the message that withdraws its attempt.
KEPT_WITHDRAWALS = 64
# A leaving host holds this attempt as in doubt; no head resolves it. The version fits into every
# integer on the wire.
LEAVING_ATTEMPT = "leaving"
UNREACHED_VERSION = 2**53


class InDoubtPatch(NamedTuple):
    """A patch that may have been accepted.

    :param version: the version that it would have made.
    :param base_revision: the head's revision that its transaction compares. A head with a higher
        revision resolves the patch, because the transaction then has failed or is visible.
    :param since_s: loop time at which this host agreed to it.
    """

    version: int
    base_revision: int
    since_s: float


class SiteState:
    """State held by one host. Epochs, versions and revisions never go back."""

    def __init__(self, site: str, identity: HostIdentity) -> None:
        """Start without roster and with an empty configuration.

        :param site: the site's name.
        :param identity: this host, with incarnation 0.
        """
        self.site = site
        self.keys = SiteKeys(site)
        self._identities: BehaviorSubject[HostIdentity] = BehaviorSubject(identity)
        self.roster_record: RosterRecord = NO_ROSTER
        self.roster_revision = 0
        self.known_version = 0
        self.head_revision = 0
        self.in_doubt: dict[str, InDoubtPatch] = {}
        self._configurations: BehaviorSubject[Configuration] = BehaviorSubject(
            Configuration(0, EMPTY_DIGEST, EMPTY_DOCUMENT)
        )
        self._pending_since_s: float | None = None
        self._updates: Subject[None] = Subject()
        self._withdrawn: deque[str] = deque(maxlen=KEPT_WITHDRAWALS)

    @property
    def identity(self) -> HostIdentity:
        """This host; its incarnation is 0 until it has taken one from the store."""
        return self._identities.value

    @property
    def identities(self) -> Observable[HostIdentity]:
        """The identity now and after it has taken an incarnation."""
        return self._identities

    @property
    def configuration(self) -> Configuration:
        """The newest configuration that this host holds."""
        return self._configurations.value

    @property
    def configurations(self) -> Observable[Configuration]:
        """The held configuration and each later one."""
        return self._configurations

    @property
    def updates(self) -> Observable[None]:
        """Emits after each change of the roster, the version or the patches in doubt."""
        return self._updates

    @property
    def config_version(self) -> int:
        """The held version."""
        return self.configuration.version

    @property
    def config_pending(self) -> int:
        """Highest version that is accepted or may be, as far as this host knows."""
        return max(self.known_version, *(patch.version for patch in self.in_doubt.values()), 0)

    @property
    def pending_since_s(self) -> float | None:
        """Loop time since which a version above the held one may exist, or None."""
        return self._pending_since_s

    def take_incarnation(self, incarnation: int) -> None:
        """Note the number that this run of the host has taken from the store."""
        self._identities.on_next(self.identity._replace(incarnation=incarnation))

    def adopt_roster(self, record: RosterRecord, revision: int) -> bool:
        """Adopt a roster unless it is old.

        :returns: whether the roster changed.
        """
        self.note_head(record.config_version, record.head_revision)
        if record.epoch <= self.roster_record.epoch:
            return False
        self.roster_record = record
        self.roster_revision = revision
        self._emit_update()
        return True

    def adopt_configuration(self, configuration: Configuration) -> bool:
        """Adopt a configuration unless it is old.

        :returns: whether the configuration changed.
        """
        self.note_head(configuration.version, 0)
        if configuration.version <= self.config_version:
            return False
        self._configurations.on_next(configuration)
        self._emit_update()
        return True

    def note_head(self, version: int, revision: int) -> None:
        """Note that the head had a version at a revision; resolves patches in doubt from before.

        :param version: at least the head's version at that revision; a lower one would resolve
            patches wrongly.
        :param revision: 0 if unknown.
        """
        if version <= self.known_version and revision <= self.head_revision:
            return
        self.known_version = max(self.known_version, version)
        self.head_revision = max(self.head_revision, revision)
        resolved = [
            attempt
            for attempt, patch in self.in_doubt.items()
            if patch.base_revision < self.head_revision
        ]
        for attempt in resolved:
            del self.in_doubt[attempt]
        self._emit_update()

    def add_in_doubt(self, attempt: str, version: int, base_revision: int) -> bool:
        """Stop confirming the current version until the outcome of a patch is known.

        :returns: False if a newer head is known, so that the patch certainly fails.
        """
        is_outdated = base_revision < self.head_revision or version <= self.known_version
        if is_outdated or attempt in self._withdrawn:
            return False
        self.in_doubt.setdefault(attempt, InDoubtPatch(version, base_revision, now_s()))
        self._emit_update()
        return True

    def withdraw_in_doubt(self, attempt: str) -> None:
        """Remove a patch that certainly was not and will not be applied."""
        self._withdrawn.append(attempt)
        if self.in_doubt.pop(attempt, None) is not None:
            self._emit_update()

    def stop_confirming(self) -> None:
        """Never confirm a version again, because this host leaves the roster."""
        self.in_doubt[LEAVING_ATTEMPT] = InDoubtPatch(UNREACHED_VERSION, UNREACHED_VERSION, now_s())
        self._emit_update()

    def _emit_update(self) -> None:
        if self.config_pending <= self.config_version:
            self._pending_since_s = None
        elif self._pending_since_s is None:
            self._pending_since_s = now_s()
        self._updates.on_next(None)
