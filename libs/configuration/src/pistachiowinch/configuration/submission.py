"""Acceptance of one patch: agreement of a majority, then one transaction.

Before the transaction, a majority of every unexpired roster records the patch as in doubt and stops
confirming the current version. Without this step, if the submitter crashed after its transaction
during an outage of the store, hosts would go on confirming the replaced version to each other. The
outcome or any later revision of the head resolves a patch in doubt.
"""

import asyncio
import itertools
import re
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from pistachiowinch.base import codes
from pistachiowinch.base.clock import sleep_s
from pistachiowinch.base.codes import Refusal
from pistachiowinch.base.identity import NO_INCARNATION
from pistachiowinch.base.logs import part_logger
from pistachiowinch.configuration.chunks import (
    ChunkedDocument,
    DocumentTooLarge,
    split_document,
)
from pistachiowinch.configuration.document import Configuration
from pistachiowinch.configuration.head import HeadRead, fence_head, read_head
from pistachiowinch.configuration.messages import PatchPrepare, PatchPrepared, PatchWithdrawn
from pistachiowinch.configuration.patches import (
    Patch,
    PatchRecord,
    apply_operations,
)
from pistachiowinch.configuration.records import (
    KEPT_PATCHES,
    HeadRecord,
    MalformedRecord,
    Roster,
    decode_record,
    encode_record,
)
from pistachiowinch.configuration.shares import Adoption
from pistachiowinch.configuration.standing import Standing
from pistachiowinch.configuration.state import SiteState
from pistachiowinch.configuration.validation import describe_faults
from pistachiowinch.links.peers import PeerLink, PeerUnreachable
from pistachiowinch.links.store import (
    Compare,
    Delete,
    Operation,
    Put,
    Store,
    StoreError,
    StoreReplyLost,
    StoreUnavailable,
)

__all__ = ["AcceptedPatch", "PatchSubmitter"]

PREPARE_TIMEOUT_S = 0.3
# The record is one value in the store and one message between hosts.
MAX_PATCH_BYTES = 256_000
# Larger sets of chunks are written before the transaction, which etcd limits to 128 operations and
# about 1.5 MB. Chunks are addressed by digest, so a set that is never used does no harm.
MAX_TRANSACTION_BYTES = 512_000
MAX_TRANSACTION_CHUNKS = 32
MAX_ATTEMPTS = 3
READ_BACK_ATTEMPTS = 5
READ_BACK_PAUSE_S = 0.2

_PATCH_ID = re.compile(r"[A-Za-z0-9_.-]{1,64}")
_log = part_logger("patches")


class AcceptedPatch(NamedTuple):
    """Outcome of a submission.

    :param configuration: the new configuration; None if the patch had been accepted before.
    """

    record: PatchRecord
    head_revision: int = 0
    configuration: Configuration | None = None
    chunked: ChunkedDocument | None = None


class _Candidate(NamedTuple):
    record: PatchRecord
    head: HeadRecord
    configuration: Configuration
    chunked: ChunkedDocument
    new_chunks: dict[str, bytes]
    operations: list[Operation]


class _NotAppliedError(Exception):
    """The transaction compared outdated revisions; the patch may be tried again."""


class PatchSubmitter:
    """Submits patches, one at a time."""

    def __init__(
        self,
        state: SiteState,
        standing: Standing,
        adoption: Adoption,
        store: Store,
        peers: PeerLink,
    ) -> None:
        """Register the handlers for the submissions of other hosts."""
        self._state = state
        self._standing = standing
        self._adoption = adoption
        self._store = store
        self._peers = peers
        self._lock = asyncio.Lock()
        self._attempts = itertools.count(1)
        peers.on_request(PatchPrepare, PatchPrepared, self._answer_prepare)
        peers.on_message(PatchWithdrawn, self._note_withdrawal)

    async def submit(self, patch: Patch) -> Result[AcceptedPatch, Refusal]:
        """Submit a patch.

        :returns: the accepted patch, also if it was accepted earlier, or a refusal.
        """
        if not _PATCH_ID.fullmatch(patch.patch_id):
            return _refuse(codes.PATCH_INVALID, "the patch id is not 1 to 64 plain characters")
        if len(msgspec.json.encode(patch)) > MAX_PATCH_BYTES:
            return _refuse(codes.PATCH_TOO_LARGE, f"a patch has at most {MAX_PATCH_BYTES} bytes")
        async with self._lock:
            for _ in range(MAX_ATTEMPTS):
                try:
                    return await self._try_submit(patch)
                except _NotAppliedError:
                    continue
                except StoreUnavailable as error:
                    return _refuse(codes.STORE_UNAVAILABLE, f"not accepted: {error}")
                except (StoreReplyLost, MalformedRecord) as error:
                    _log.warning("Outcome of patch {} is unknown: {}.", patch.patch_id, error)
                    return _refuse(codes.PATCH_OUTCOME_UNKNOWN, "the store did not answer")
        return _refuse(codes.STORE_UNAVAILABLE, "not accepted: the head or roster keeps changing")

    async def _try_submit(self, patch: Patch) -> Result[AcceptedPatch, Refusal]:
        if self._state.identity.incarnation == NO_INCARNATION:
            # The incarnation is a part of the attempt's id.
            return _refuse(codes.HOST_ISOLATED, "the host has not joined its site yet")
        if not self._standing.has_majority():
            return _refuse(codes.NO_MAJORITY, "no contact with a majority of the hosts")
        if not self._standing.has_standing():
            return _refuse(codes.HOST_ISOLATED, "the host's configuration may be outdated")
        # This read also finds a store that is down or slow before members stop confirming the
        # current version.
        head = await read_head(self._store, self._state)
        if head.record.version != patch.base_version:
            return await self._resolve_repeated(patch, head)
        if patch.patch_id in head.record.recent:
            return await self._resolve_repeated(patch, head)
        if head.record.version != self._state.config_version:
            return _refuse(codes.HOST_ISOLATED, "the host does not hold the newest version yet")
        candidate = self._make_candidate(patch, head)
        if isinstance(candidate, Refusal):
            return Failure(candidate)
        return await self._commit(patch, head, candidate)

    async def _resolve_repeated(
        self, patch: Patch, head: HeadRead
    ) -> Result[AcceptedPatch, Refusal]:
        """Answer a patch whose base is not the head's version or whose id is already used."""
        record = await self._find_record(patch)
        if record is not None:
            return _accepted_or_reused(record, patch)
        text = f"the patch is based on version {patch.base_version}, not {head.record.version}"
        return _refuse(codes.STALE_BASE_VERSION, text)

    async def _find_record(self, patch: Patch) -> PatchRecord | None:
        found = await self._store.get(self._state.keys.patch(patch.patch_id))
        return decode_record(found.value, PatchRecord) if found else None

    def _make_candidate(self, patch: Patch, head: HeadRead) -> _Candidate | Refusal:
        current = self._state.configuration
        applied = apply_operations(current.document, patch.operations)
        if isinstance(applied, Failure):
            return Refusal(codes.PATCH_INVALID, describe_faults(applied.failure()))
        try:
            chunked = split_document(applied.unwrap())
        except DocumentTooLarge as error:
            return Refusal(codes.PATCH_TOO_LARGE, str(error))
        version = current.version + 1
        configuration = Configuration(version, chunked.digest, applied.unwrap())
        record = PatchRecord(version, chunked.digest, patch)
        recent = [*head.record.recent, patch.patch_id]
        new_head = HeadRecord(
            version, chunked.digest, chunked.names, patch.patch_id, recent[-KEPT_PATCHES:]
        )
        old_digests = set(head.record.chunks.values())
        new_chunks = {
            digest: content
            for digest, content in chunked.contents.items()
            if digest not in old_digests
        }
        removed = old_digests - set(chunked.contents)
        operations = self._operations(record, new_head, removed, recent[:-KEPT_PATCHES])
        return _Candidate(record, new_head, configuration, chunked, new_chunks, operations)

    def _operations(
        self,
        record: PatchRecord,
        head: HeadRecord,
        removed_chunks: set[str],
        removed_patches: list[str],
    ) -> list[Operation]:
        keys = self._state.keys
        operations: list[Operation] = [
            Put(keys.patch(record.patch.patch_id), encode_record(record)),
            Put(keys.head, encode_record(head)),
        ]
        operations += [
            Delete(keys.chunk(digest)) for digest in sorted(removed_chunks)[:MAX_TRANSACTION_CHUNKS]
        ]
        operations += [Delete(keys.patch(patch_id)) for patch_id in removed_patches]
        return operations

    async def _commit(
        self, patch: Patch, head: HeadRead, candidate: _Candidate
    ) -> Result[AcceptedPatch, Refusal]:
        chunks = [
            Put(self._state.keys.chunk(digest), content)
            for digest, content in candidate.new_chunks.items()
        ]
        size_bytes = sum(len(put.value) for put in chunks)
        if size_bytes > MAX_TRANSACTION_BYTES or len(chunks) > MAX_TRANSACTION_CHUNKS:
            await self._write_chunks(chunks)
            chunks = []
        roster_revision = self._state.roster_revision
        attempt = f"{self._state.identity.host}/{self._state.identity.incarnation}"
        attempt += f"/{next(self._attempts)}"
        if not await self._prepare(PatchPrepare(attempt, candidate.record.version, head.revision)):
            await self._withdraw(attempt)
            return _refuse(codes.NO_MAJORITY, "a majority of the hosts did not agree")
        keys = self._state.keys
        compares = [
            Compare(keys.head, head.revision),
            Compare(keys.patch(patch.patch_id), 0),
            # A member that joined since does not hold the patch as in doubt, so a change of the
            # roster makes the attempt fail.
            Compare(keys.roster, roster_revision),
        ]
        try:
            reply = await self._store.transact(compares, [*chunks, *candidate.operations])
        except StoreUnavailable:
            await self._withdraw(attempt)
            raise
        except StoreReplyLost:
            return await self._read_back(patch, head, candidate, attempt)
        if reply.succeeded:
            return Success(_accepted(candidate, reply.revision))
        await self._withdraw(attempt)
        return await self._explain_failure(patch, head, roster_revision)

    async def _write_chunks(self, chunks: list[Put]) -> None:
        for put in chunks:
            try:
                await self._store.transact([], [put])
            except StoreReplyLost as error:
                # The patch's transaction has not been sent yet, so it certainly was not accepted.
                raise StoreUnavailable(str(error)) from error

    async def _prepare(self, message: PatchPrepare) -> bool:
        """Ask the members of all unexpired rosters; each roster needs a majority."""
        own = self._state.identity
        if not self._state.add_in_doubt(message.attempt, message.version, message.base_revision):
            return False
        rosters = (*self._adoption.unexpired_predecessors, self._state.roster_record.roster)
        hosts = {member.host for roster in rosters for member in roster.members} - {own.host}
        answers = await asyncio.gather(*(self._ask(host, message) for host in sorted(hosts)))
        agreed = {(own.host, own.incarnation), *(answer for answer in answers if answer)}
        # Members that left never confirm a version again.
        agreed |= {(member.host, member.incarnation) for member in self._state.roster_record.left}
        return all(_is_agreed(roster, rosters, agreed) for roster in rosters)

    async def _ask(self, host: str, message: PatchPrepare) -> tuple[str, int] | None:
        try:
            answer = await self._peers.request(host, message, PREPARE_TIMEOUT_S)
        except PeerUnreachable:
            return None
        return (host, answer.incarnation) if answer.is_agreed else None

    async def _withdraw(self, attempt: str) -> None:
        self._state.withdraw_in_doubt(attempt)
        rosters = (*self._adoption.unexpired_predecessors, self._state.roster_record.roster)
        for host in sorted({member.host for roster in rosters for member in roster.members}):
            if host != self._state.identity.host:
                await self._peers.send(host, PatchWithdrawn(attempt))

    async def _read_back(
        self, patch: Patch, head: HeadRead, candidate: _Candidate, attempt: str
    ) -> Result[AcceptedPatch, Refusal]:
        """Resolve a lost reply by the patch record.

        A missing record proves nothing while the transaction may still arrive. The head is
        rewritten first; after that, the transaction has been applied or never will be.

        :raises StoreReplyLost: if the store does not answer in time.
        """
        for _ in range(READ_BACK_ATTEMPTS):
            try:
                await fence_head(self._store, self._state, head.revision)
                if self._state.head_revision > head.revision:
                    record = await self._find_record(patch)
                    break
            except StoreError as error:
                _log.debug("Patch {} is not resolved yet: {}.", patch.patch_id, error)
            await sleep_s(READ_BACK_PAUSE_S)
        else:
            raise StoreReplyLost("the outcome could not be read back")
        if record is None:
            await self._withdraw(attempt)
            raise _NotAppliedError
        if record == candidate.record and self._state.known_version == record.version:
            return Success(_accepted(candidate, self._state.head_revision))
        return _accepted_or_reused(record, patch)

    async def _explain_failure(
        self, patch: Patch, head: HeadRead, roster_revision: int
    ) -> Result[AcceptedPatch, Refusal]:
        """Find out which comparison failed; try again unless the head's version has changed."""
        newest = await read_head(self._store, self._state)
        if newest.record.version != head.record.version:
            return await self._resolve_repeated(patch, newest)
        record = await self._find_record(patch)
        if record is not None:
            return _accepted_or_reused(record, patch)
        found = await self._store.get(self._state.keys.roster)
        if found is not None and self._state.roster_revision < found.mod_revision:
            # The patch cannot be accepted here until a peer announces the newer roster.
            await sleep_s(READ_BACK_PAUSE_S)
        raise _NotAppliedError

    async def _answer_prepare(self, host: str, message: PatchPrepare) -> PatchPrepared:
        is_agreed = self._state.add_in_doubt(
            message.attempt, message.version, message.base_revision
        )
        return PatchPrepared(self._state.identity.incarnation, is_agreed)

    def _note_withdrawal(self, host: str, message: PatchWithdrawn) -> None:
        self._state.withdraw_in_doubt(message.attempt)


def _refuse(code: codes.ResultCode, detail: str) -> Failure[Refusal]:
    return Failure(Refusal(code, detail))


def _accepted(candidate: _Candidate, revision: int) -> AcceptedPatch:
    return AcceptedPatch(candidate.record, revision, candidate.configuration, candidate.chunked)


def _accepted_or_reused(record: PatchRecord, patch: Patch) -> Result[AcceptedPatch, Refusal]:
    if record.patch == patch:
        return Success(AcceptedPatch(record))
    return _refuse(codes.PATCH_ID_REUSED, f"id {patch.patch_id} belongs to another patch")


def _is_agreed(roster: Roster, rosters: tuple[Roster, ...], agreed: set[tuple[str, int]]) -> bool:
    """Whether a majority of a roster agreed; a later process at a member's address counts, too."""
    successors = {
        (member.host, member.peer_url, member.incarnation)
        for known in rosters
        for member in known.members
        if (member.host, member.incarnation) in agreed
    }
    count = sum(
        any(
            host == member.host and url == member.peer_url and incarnation >= member.incarnation
            for host, url, incarnation in successors
        )
        for member in roster.members
    )
    return count >= roster.majority
