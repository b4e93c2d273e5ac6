"""Announcement of promotions in the store. Safety does not depend on it."""

import asyncio

import msgspec

from pistachiowinch.base.logs import part_logger
from pistachiowinch.links.store import Compare, KeyValue, Put, Store, StoreError, StoreReplyLost

__all__ = ["STORE_TIMEOUT_S", "PrimaryStore", "StoredPrimary"]

# Longest wait of a promotion for the store, which answers in milliseconds when healthy.
STORE_TIMEOUT_S = 0.15
_PUBLISH_TIMEOUT_S = 2.0

_log = part_logger("promotion")


class StoredPrimary(msgspec.Struct, array_like=True, frozen=True):
    """Announcement as it is stored under the service's key.

    :param primary: target's name; empty while the promotion is under way.
    :param host: the promoting host.
    """

    term: int
    primary: str
    host: str


class PrimaryStore:
    """Reads and writes the announcement of one service.

    :param store: the platform's store.
    :param site: name of the site.
    :param service: name of the database group.
    """

    def __init__(self, store: Store, site: str, service: str) -> None:
        """Use the service's key."""
        self._store = store
        self._key = f"pistachiowinch/{site}/primaries/{service}"

    @staticmethod
    def _decode(found: KeyValue | None) -> StoredPrimary | None:
        if found is None:
            return None
        try:
            return msgspec.msgpack.decode(found.value, type=StoredPrimary)
        except msgspec.MsgspecError:
            _log.error(f"{found.key} cannot be decoded")
            return None

    async def read(self, timeout_s: float = STORE_TIMEOUT_S) -> StoredPrimary | None:
        """Read the newest announcement.

        :returns: None if there is none or the store did not answer in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return self._decode(await self._store.get(self._key))
        except (TimeoutError, StoreError):
            return None

    async def announce(self, value: StoredPrimary) -> StoredPrimary | None:
        """Announce a promotion that starts.

        :param value: the promotion, without a primary.
        :returns: another host's announcement that is at least as new, which means that this
            promotion should not go on; None if it may, also when the store did not answer.
        """
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                return await self._write(value)
        except (TimeoutError, StoreError):
            _log.warning(f"{self._key} could not be written before the promotion")
            return None

    async def _write(self, value: StoredPrimary) -> StoredPrimary | None:
        found = await self._store.get(self._key)
        current = self._decode(found)
        if current is not None and current != value and current.term >= value.term:
            is_own_promotion = current.term == value.term and current.host == value.host
            if not is_own_promotion:
                return current
        revision = 0 if found is None else found.mod_revision
        encoded = msgspec.msgpack.encode(value)
        try:
            reply = await self._store.transact(
                (Compare(self._key, revision),), (Put(self._key, encoded),)
            )
            if reply.succeeded:
                return None
        except StoreReplyLost:
            pass
        # Another host wrote first, or the reply was lost after this write took effect.
        newest = self._decode(await self._store.get(self._key))
        return newest if newest is not None and newest != value else None

    async def publish(self, value: StoredPrimary) -> bool:
        """Publish a completed promotion unless a newer one is stored.

        :returns: whether the store holds it or a newer announcement.
        """
        try:
            async with asyncio.timeout(_PUBLISH_TIMEOUT_S):
                await self._write(value)
        except (TimeoutError, StoreError):
            return False
        return True
