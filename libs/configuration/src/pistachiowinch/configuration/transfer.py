"""Loads newer configurations, as patches or as chunks, from peers or from the store."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping

from returns.result import Failure

from pistachiowinch.base.logs import part_logger
from pistachiowinch.configuration.chunks import ChunkedDocument, join_chunks, split_document
from pistachiowinch.configuration.document import EMPTY_DOCUMENT, Configuration
from pistachiowinch.configuration.head import read_head
from pistachiowinch.configuration.messages import (
    ChunkReply,
    ChunkRequest,
    ConfigurationReply,
    ConfigurationRequest,
)
from pistachiowinch.configuration.patches import PatchRecord, apply_operations
from pistachiowinch.configuration.records import HeadRecord, decode_record
from pistachiowinch.configuration.state import SiteState
from pistachiowinch.links.peers import PeerLink, PeerUnreachable
from pistachiowinch.links.store import Store, StoreUnavailable

__all__ = ["ConfigurationTransfer"]

REQUEST_TIMEOUT_S = 0.3
# A chunk has up to 512 KB, which takes half of this time at 1 MB/s.
CHUNK_TIMEOUT_S = 1.0
KEPT_RECORDS = 128
# Keep a reply below the message size that peers accept.
MAX_RECORDS_PER_REPLY = 16
MAX_REPLY_BYTES = 512_000
MAX_READ_ATTEMPTS = 3
# Concurrent reads of chunks; a starting site must not use up the store's capacity.
MAX_CONCURRENT_READS = 4

_log = part_logger("transfer")


class ConfigurationTransfer:
    """Loads newer versions for this host and serves them to its peers."""

    def __init__(self, state: SiteState, store: Store, peers: PeerLink) -> None:
        """Register the handlers of the peers' requests."""
        self._state = state
        self._store = store
        self._peers = peers
        self._chunked = split_document(EMPTY_DOCUMENT)
        self._records: OrderedDict[int, PatchRecord] = OrderedDict()
        peers.on_request(ConfigurationRequest, ConfigurationReply, self._answer_request)
        peers.on_request(ChunkRequest, ChunkReply, self._answer_chunk)

    @property
    def records(self) -> list[PatchRecord]:
        """Accepted patches that this host has seen, oldest first."""
        return list(self._records.values())

    def keep_record(self, record: PatchRecord) -> None:
        """Keep an accepted patch for peers and for the history."""
        self._records[record.version] = record
        while len(self._records) > KEPT_RECORDS:
            self._records.popitem(last=False)

    def adopt(self, configuration: Configuration, chunked: ChunkedDocument) -> None:
        """Adopt a configuration unless it is old."""
        if configuration.version > self._state.config_version:
            self._chunked = chunked
            self._state.adopt_configuration(configuration)

    def apply_record(self, record: PatchRecord) -> bool:
        """Apply the patch of the next version.

        :returns: False if it is not the next one or does not yield the stated digest.
        """
        current = self._state.configuration
        if record.version != current.version + 1:
            return False
        applied = apply_operations(current.document, record.patch.operations)
        if isinstance(applied, Failure):
            return False
        document = applied.unwrap()
        chunked = split_document(document)
        if chunked.digest != record.digest:
            _log.error("Patch {} yields a document with another digest.", record.patch.patch_id)
            return False
        self.keep_record(record)
        self.adopt(Configuration(record.version, record.digest, document), chunked)
        return True

    async def load_from_peer(self, host: str) -> None:
        """Ask a peer for a newer version.

        :raises PeerUnreachable: if the peer did not answer or no longer has all chunks.
        """
        request = ConfigurationRequest(self._state.config_version)
        answer = await self._peers.request(host, request, REQUEST_TIMEOUT_S)
        self._state.note_head(answer.known_version, answer.head_revision)
        for record in answer.records:
            self.apply_record(record)
        if answer.version <= self._state.config_version or not answer.chunks:
            return
        contents = await self._collect_chunks(
            answer.chunks, lambda digest: self._chunk_from_peer(host, digest)
        )
        try:
            document = join_chunks(answer.chunks, contents)
        except ValueError as error:
            raise PeerUnreachable(f"{host}: {error}") from error
        self._adopt_document(answer.version, answer.digest, document)

    async def load_from_store(self) -> None:
        """Read the newest version.

        :raises StoreError: if the store did not answer.
        :raises MalformedRecord: if a record cannot be decoded.
        """
        for _ in range(MAX_READ_ATTEMPTS):
            head = await read_head(self._store, self._state)
            if head.record.version <= self._state.config_version:
                return
            if await self._apply_newest_patch(head.record):
                return
            contents = await self._collect_chunks(head.record.chunks, self._chunk_from_store)
            try:
                document = join_chunks(head.record.chunks, contents)
            except ValueError as error:
                # The next patch removes the chunks that it replaces, so the head is read again.
                _log.debug("Version {} is incomplete: {}.", head.record.version, error)
                continue
            self._adopt_document(head.record.version, head.record.digest, document)
            return
        raise StoreUnavailable("the document changed during each attempt to read it")

    async def load_records(self, count: int) -> None:
        """Read patches that this host has not seen, for the history.

        :param count: number of newest patches wanted.
        :raises StoreError: if the store did not answer.
        :raises MalformedRecord: if a record cannot be decoded.
        """
        head = await read_head(self._store, self._state)
        known = {record.patch.patch_id for record in self._records.values()}
        for patch_id in head.record.recent[-count:]:
            if patch_id in known:
                continue
            found = await self._store.get(self._state.keys.patch(patch_id))
            if found is not None:
                self.keep_record(decode_record(found.value, PatchRecord))
        self._records = OrderedDict(sorted(self._records.items()))

    async def _apply_newest_patch(self, head: HeadRecord) -> bool:
        if head.version != self._state.config_version + 1:
            return False
        found = await self._store.get(self._state.keys.patch(head.patch_id))
        return found is not None and self.apply_record(decode_record(found.value, PatchRecord))

    def _adopt_document(self, version: int, digest: str, document) -> None:
        chunked = split_document(document)
        if chunked.digest != digest:
            _log.error("The document of version {} has another digest.", version)
            return
        self.adopt(Configuration(version, digest, document), chunked)

    async def _collect_chunks(
        self, names: Mapping[str, str], read: Callable[[str], Awaitable[bytes]]
    ) -> dict[str, bytes]:
        """Return the chunks by digest; those that this host holds are not read."""
        held = self._chunked.contents
        limit = asyncio.Semaphore(MAX_CONCURRENT_READS)

        async def read_one(digest: str) -> tuple[str, bytes]:
            async with limit:
                return digest, await read(digest)

        missing = sorted(set(names.values()) - set(held))
        return dict(held) | dict(await asyncio.gather(*map(read_one, missing)))

    async def _chunk_from_peer(self, host: str, digest: str) -> bytes:
        answer = await self._peers.request(host, ChunkRequest(digest), CHUNK_TIMEOUT_S)
        return answer.content

    async def _chunk_from_store(self, digest: str) -> bytes:
        found = await self._store.get(self._state.keys.chunk(digest))
        return found.value if found else b""

    async def _answer_request(self, host: str, request: ConfigurationRequest) -> ConfigurationReply:
        current = self._state.configuration
        records = self._records_since(request.since_version)
        is_newer = current.version > request.since_version
        return ConfigurationReply(
            current.version,
            current.digest,
            self._state.known_version,
            self._state.head_revision,
            records,
            self._chunked.names if is_newer and not records else {},
        )

    def _records_since(self, version: int) -> tuple[PatchRecord, ...]:
        """Return all patches after a version, or none if one is missing or they are too many."""
        wanted = range(version + 1, self._state.config_version + 1)
        if len(wanted) > MAX_RECORDS_PER_REPLY or not all(v in self._records for v in wanted):
            return ()
        records = tuple(self._records[v] for v in wanted)
        size_bytes = sum(len(repr(record)) for record in records)
        return records if size_bytes <= MAX_REPLY_BYTES else ()

    async def _answer_chunk(self, host: str, request: ChunkRequest) -> ChunkReply:
        return ChunkReply(self._chunked.contents.get(request.digest, b""))
