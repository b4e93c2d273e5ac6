"""Formats patches, configurations and status as text for operators, without any I/O."""

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from pistachiowinch.base.codes import PATCH_INVALID, Refusal
from pistachiowinch.configuration.patches import Patch, apply_operations

__all__ = [
    "change_lines",
    "changes_between",
    "diff",
    "key_operation",
    "record_id",
    "record_line",
    "status_lines",
]

_MISSING = object()


def key_operation(
    key_id: str, customer: str, is_operator: bool, stored_hash: str
) -> dict[str, Any]:
    """Return the patch operation that adds a key.

    :param key_id: id of the key or name of the operator.
    :param customer: owner of the key, unless it is an operator's.
    :param is_operator: whether the key is an operator's.
    :param stored_hash: hash from :func:`~pistachiowinch.operations.keys.create_key`.
    """
    if is_operator:
        return {"kind": "set", "path": ["operators", key_id], "value": {"key_hash": stored_hash}}
    value = {"customer": customer, "password_hash": stored_hash}
    return {"kind": "set", "path": ["keys", key_id], "value": value}


def _leaves(value: Any, path: tuple[str, ...] = ()) -> Iterator[tuple[str, Any]]:
    if isinstance(value, Mapping) and value:
        for key in value:
            yield from _leaves(value[key], (*path, key))
    elif path:
        yield "/".join(path), value


def changes_between(before: Any, after: Any) -> list[dict[str, Any]]:
    """List the differing leaves of two documents, in order of their path.

    :param before: the older document.
    :param after: the newer document.
    :returns: entries with ``path``, and ``before`` and ``after`` where the document has that path.
    """
    old, new = dict(_leaves(before)), dict(_leaves(after))
    changes = []
    for path in sorted(old.keys() | new.keys()):
        sides = {"before": old.get(path, _MISSING), "after": new.get(path, _MISSING)}
        if sides["before"] != sides["after"]:
            known = {side: value for side, value in sides.items() if value is not _MISSING}
            changes.append({"path": path, **known})
    return changes


def diff(current: Mapping[str, Any], patch_json: bytes) -> Result[list[dict[str, Any]], Refusal]:
    """Return what a patch would change.

    :param current: response of ``GET /configuration``.
    :param patch_json: the patch.
    :returns: the changes, or why the patch cannot be applied.
    """
    try:
        patch = msgspec.json.decode(patch_json, type=Patch)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Failure(Refusal(PATCH_INVALID, f"the file is not a patch: {error}"))
    document = current["document"]
    match apply_operations(document, patch.operations):
        case Success(changed):
            return Success(changes_between(document, changed))
        case Failure(faults):
            detail = "; ".join(str(fault) for fault in faults)
            return Failure(Refusal(PATCH_INVALID, detail))
    raise AssertionError("unreachable")


def change_lines(changes: list[dict[str, Any]]) -> Iterator[str]:
    """Yield a line for each side of each change.

    :param changes: what :func:`changes_between` returned.
    """
    for change in changes:
        if "before" in change:
            yield f"- {change['path']}: {change['before']}"
        if "after" in change:
            yield f"+ {change['path']}: {change['after']}"
    if not changes:
        yield "The patch changes nothing."


def record_id(record: Mapping[str, Any]) -> str:
    """Return the patch id of one record of ``GET /patches``.

    :param record: the record.
    """
    return str(record["patch"]["patch_id"])


def record_line(record: Mapping[str, Any]) -> str:
    """Return one record of ``GET /patches`` as a line.

    :param record: the record.
    """
    count = len(record["patch"]["operations"])
    return f"version {record['version']}: {record_id(record)}, {count} operations"


def status_lines(status: Mapping[str, Any]) -> Iterator[str]:
    """Yield the response of ``GET /status`` as lines.

    :param status: the response.
    """
    ready = "ready" if status["ready"] else "not ready: " + "; ".join(status["unready_reasons"])
    yield f"{status['host']} in {status['availability_zone']}, site {status['site']}: {ready}"
    yield (
        f"incarnation {status['incarnation']}, standing {'yes' if status['standing'] else 'no'}, "
        f"{status['sessions']} sessions"
    )
    roster = status["roster"]
    yield f"roster epoch {roster['epoch']}: {', '.join(roster['members']) or 'empty'}"
    yield f"configuration version {status['configuration']['version']}"
    for host, version in sorted(status["configuration"]["versions"].items()):
        yield f"  {host}: version {version}"
    for service, group in sorted(status["services"].items()):
        yield f"service {service}: primary {group['primary'] or 'none'}, term {group['term']}"
        for target, state in sorted(group["targets"].items()):
            reachability = "reachable" if state["reachable"] else "unreachable"
            yield f"  {target}: {state['role']}, position {state['position']}, {reachability}"
