"""Numbered patches: the only way in which the document changes."""

from collections.abc import Iterator, Mapping
from typing import Any, Literal, NamedTuple, cast

import msgspec
from returns.result import Failure, Result, Success

from pistachiowinch.configuration.document import SECTIONS, Document
from pistachiowinch.configuration.validation import DocumentFault, find_faults

__all__ = [
    "Patch",
    "PatchAccepted",
    "PatchOperation",
    "PatchRecord",
    "apply_operations",
    "diff_documents",
]

# A patch changes entries or parts of them, never a whole section.
MIN_PATH_LENGTH = 2


class PatchOperation(msgspec.Struct, frozen=True):
    """One change of the document.

    :param kind: ``set`` creates or replaces, ``remove`` removes.
    :param path: section, name of the entry, and so on down to a field.
    :param value: the new value; ignored for ``remove``.
    """

    kind: Literal["set", "remove"]
    path: list[str]
    value: Any = None


class Patch(msgspec.Struct, frozen=True):
    """A change that an operator submits.

    :param patch_id: chosen by the operator; a repeated submission has the same one.
    :param base_version: version that the operator saw.
    """

    patch_id: str
    base_version: int
    operations: list[PatchOperation]


class PatchRecord(msgspec.Struct, frozen=True):
    """An accepted patch as the store and the peers keep it.

    :param version: the version that it made.
    :param digest: digest of the document after it.
    """

    version: int
    digest: str
    patch: Patch


class PatchAccepted(NamedTuple):
    """Result of an accepted patch, which may not be in force on every host yet."""

    version: int


def apply_operations(
    document: Document, operations: list[PatchOperation]
) -> Result[Document, list[DocumentFault]]:
    """Apply a patch's operations in order and validate the result.

    :param document: left unchanged.
    :returns: the new document, or all faults of the operations or else of the result.
    """
    changed: dict[str, Any] = dict(document)
    faults: list[DocumentFault] = []
    for operation in operations:
        fault = _path_fault(operation)
        if fault is None:
            fault = _apply(changed, operation)
        if fault is not None:
            faults.append(fault)
    faults = faults or find_faults(changed)
    return Failure(faults) if faults else Success(cast(Document, changed))


def diff_documents(old: Document, new: Document) -> list[PatchOperation]:
    """Return the operations that turn one document into another."""
    operations: list[PatchOperation] = []
    for section in SECTIONS:
        operations.extend(_diff((section,), old[section], new[section]))
    return operations


def _path_fault(operation: PatchOperation) -> DocumentFault | None:
    path = tuple(operation.path)
    if len(path) < MIN_PATH_LENGTH:
        return DocumentFault(path, "a path of this length", "a section and a name at least")
    if path[0] not in SECTIONS:
        return DocumentFault(path, "in no section", f"paths in {', '.join(SECTIONS)}")
    return None


def _apply(root: dict[str, Any], operation: PatchOperation) -> DocumentFault | None:
    """Apply one operation; copies the objects along the path, so that the original is unchanged."""
    path = tuple(operation.path)
    if not _is_object_path(root, path[:-1]):
        return DocumentFault(path, "under a missing object", "paths in existing objects")
    parent = root
    for step in path[:-1]:
        parent[step] = dict(parent[step])
        parent = parent[step]
    if operation.kind == "set":
        parent[path[-1]] = operation.value
    elif path[-1] in parent:
        del parent[path[-1]]
    else:
        return DocumentFault(path, "missing", "the removal of what exists")
    return None


def _is_object_path(root: Any, path: tuple[str, ...]) -> bool:
    for step in path:
        if not isinstance(root, dict) or step not in root:
            return False
        root = root[step]
    return isinstance(root, dict)


def _diff(
    path: tuple[str, ...], old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[PatchOperation]:
    for name in old:
        if name not in new:
            yield PatchOperation("remove", [*path, name])
    for name, value in new.items():
        if name not in old:
            yield PatchOperation("set", [*path, name], value)
        elif isinstance(value, dict) and isinstance(old[name], dict):
            yield from _diff((*path, name), old[name], value)
        elif old[name] != value:
            yield PatchOperation("set", [*path, name], value)
