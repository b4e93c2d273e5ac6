"""Reads the configuration's head and fences transactions whose outcome is unknown."""

from typing import NamedTuple

from pistachiowinch.base.clock import now_s
from pistachiowinch.configuration.records import (
    EMPTY_HEAD,
    HeadRecord,
    decode_record,
    encode_record,
)
from pistachiowinch.configuration.state import SiteState
from pistachiowinch.links.store import Compare, KeyValue, Put, Store

__all__ = ["HeadRead", "decode_head", "fence_head", "read_head"]


class HeadRead(NamedTuple):
    """The head as one read found it.

    :param revision: the key's revision; 0 if it does not exist.
    :param sent_s: loop time at which the read was sent.
    """

    record: HeadRecord
    revision: int
    sent_s: float


def decode_head(found: KeyValue | None, sent_s: float) -> HeadRead:
    """Decode what a read found; a missing key is the empty configuration.

    :raises MalformedRecord: if the value is not a head.
    """
    if found is None:
        return HeadRead(EMPTY_HEAD, 0, sent_s)
    return HeadRead(decode_record(found.value, HeadRecord), found.mod_revision, sent_s)


async def read_head(store: Store, state: SiteState) -> HeadRead:
    """Read the head and note it.

    :raises StoreError: if the store did not answer.
    :raises MalformedRecord: if the value is not a head.
    """
    sent_s = now_s()
    head = decode_head(await store.get(state.keys.head), sent_s)
    state.note_head(head.record.version, head.revision)
    return head


async def fence_head(store: Store, state: SiteState, base_revision: int) -> None:
    """Make transactions that compare a revision of the head fail, unless they were applied.

    Rewrites the unchanged head, so that its revision grows.

    :param base_revision: revision that the transaction in doubt compares.
    :raises StoreError: if the store did not answer; the next read resolves a lost reply.
    """
    head = await read_head(store, state)
    if head.revision > base_revision:
        return
    compare = Compare(state.keys.head, head.revision)
    reply = await store.transact([compare], [Put(state.keys.head, encode_record(head.record))])
    if reply.succeeded:
        state.note_head(head.record.version, reply.revision)
