"""Division of a document into chunks that are addressed by their digest.

The division depends only on the document, so every host that holds the same document computes
the same chunks and the same digest.
"""

import hashlib
from collections.abc import Mapping
from typing import Any, NamedTuple, cast

import msgspec

from pistachiowinch.base.hashing import stable_bucket
from pistachiowinch.configuration.document import EMPTY_DOCUMENT, SECTIONS, Document

__all__ = [
    "MAX_CHUNK_BYTES",
    "ChunkedDocument",
    "DocumentTooLarge",
    "digest_of",
    "join_chunks",
    "split_document",
]

# The store accepts values up to 1 MB; half of it leaves room for a transaction's other keys.
MAX_CHUNK_BYTES = 512_000
# Chunks above this are divided further: a patch rewrites each chunk that it touches.
SPLIT_THRESHOLD_BYTES = 64_000
MAX_BUCKETS = 256


class DocumentTooLarge(Exception):
    """A chunk of the document exceeds the size limit."""


class ChunkedDocument(NamedTuple):
    """Chunks of one document.

    :param digest: SHA-256 over names and digests of all chunks, hexadecimal.
    :param names: digest of each chunk by its name, such as ``keys/3.8``.
    :param contents: encoded chunk by its digest.
    """

    digest: str
    names: dict[str, str]
    contents: dict[str, bytes]


def digest_of(content: bytes) -> str:
    """Return the address of a chunk, hexadecimal SHA-256."""
    return hashlib.sha256(content).hexdigest()


def split_document(document: Document) -> ChunkedDocument:
    """Divide a document.

    :raises DocumentTooLarge: if a chunk is too large even with the highest number of buckets.
    """
    names: dict[str, str] = {}
    contents: dict[str, bytes] = {}
    for section in SECTIONS:
        for name, content in _split_section(section, document[section]).items():
            names[name] = digest_of(content)
            contents[names[name]] = content
    return ChunkedDocument(_digest_of_names(names), names, contents)


def join_chunks(names: Mapping[str, str], contents: Mapping[str, bytes]) -> Document:
    """Rebuild a document.

    :param names: digest of each chunk by its name.
    :param contents: all chunks by digest.
    :raises ValueError: if a chunk is missing, altered or malformed.
    """
    document: dict[str, dict[str, Any]] = {section: {} for section in EMPTY_DOCUMENT}
    for name, digest in names.items():
        content = contents.get(digest)
        if content is None or digest_of(content) != digest:
            raise ValueError(f"chunk {name} is missing or altered")
        section = name.split("/", 1)[0]
        if section not in document:
            raise ValueError(f"chunk {name} belongs to no section")
        try:
            document[section].update(msgspec.json.decode(content, type=dict[str, Any]))
        except msgspec.MsgspecError as error:
            raise ValueError(f"chunk {name} is malformed") from error
    return cast(Document, document)


def _digest_of_names(names: Mapping[str, str]) -> str:
    lines = "".join(f"{name} {digest}\n" for name, digest in sorted(names.items()))
    return digest_of(lines.encode())


def _split_section(section: str, entries: Mapping[str, Any]) -> dict[str, bytes]:
    if not entries:
        return {}
    bucket_count = 1
    while True:
        chunks = _encode_buckets(section, entries, bucket_count)
        largest = max(len(content) for content in chunks.values())
        if largest <= SPLIT_THRESHOLD_BYTES or bucket_count == MAX_BUCKETS:
            break
        bucket_count *= 2
    if largest >= MAX_CHUNK_BYTES:
        raise DocumentTooLarge(f"{section} has a chunk of {largest} bytes")
    return chunks


def _encode_buckets(
    section: str, entries: Mapping[str, Any], bucket_count: int
) -> dict[str, bytes]:
    buckets: dict[int, dict[str, Any]] = {}
    for name in sorted(entries):
        buckets.setdefault(stable_bucket(name, bucket_count), {})[name] = entries[name]
    # Sorted keys make equal documents equal in bytes.
    return {
        f"{section}/{bucket}.{bucket_count}": msgspec.json.encode(content, order="sorted")
        for bucket, content in sorted(buckets.items())
    }
