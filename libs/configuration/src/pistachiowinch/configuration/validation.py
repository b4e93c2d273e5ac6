"""Validates a configuration document; reports all faults at once."""

import math
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from pistachiowinch.configuration.document import OPEN_CUSTOMER, SECTIONS

__all__ = ["DocumentFault", "describe_faults", "find_faults"]

# Names become parts of store keys, metrics' labels and MySQL user or database names.
_NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}")
_NAME_TEXT = "1 to 64 of letters, digits, '_', '.' and '-'"
_PASSWORD_HASH = re.compile(r"\*[0-9A-Fa-f]{40}")
_KEY_HASH = re.compile(r"[0-9a-f]{64}")
_SECRET_FIELDS = frozenset({"password_hash", "key_hash"})
_MAX_SHOWN_CHARS = 60

Path = tuple[str, ...]


class DocumentFault(NamedTuple):
    """One fault.

    :param path: where it is.
    :param value: what was found, shortened; hashes are not shown.
    :param allowed: what may be there.
    """

    path: Path
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the fault as one clause."""
        return f"{'/'.join(self.path)} is {self.value}, allowed: {self.allowed}"


class _Rule(NamedTuple):
    is_allowed: Callable[[Any], bool]
    allowed: str


def _is_number(value: Any) -> bool:
    is_numeric = isinstance(value, int | float) and not isinstance(value, bool)
    return is_numeric and math.isfinite(value)


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and _NAME.fullmatch(value) is not None


def _one_of(*values: str) -> _Rule:
    text = " or ".join(f'"{value}"' for value in values)
    return _Rule(lambda value: isinstance(value, str) and value in values, text)


def _matches(pattern: re.Pattern[str], text: str) -> _Rule:
    return _Rule(
        lambda value: isinstance(value, str) and pattern.fullmatch(value) is not None, text
    )


def _integer(lowest: int, highest: int) -> _Rule:
    return _Rule(
        lambda value: _is_integer(value) and lowest <= value <= highest,
        f"an integer from {lowest} to {highest}",
    )


_NOT_NEGATIVE = _Rule(lambda value: _is_number(value) and value >= 0, "a number of at least 0")
_POSITIVE = _Rule(lambda value: _is_number(value) and value > 0, "a number above 0")
_NAME_RULE = _Rule(_is_name, _NAME_TEXT)
_ADDRESS = _Rule(
    lambda value: isinstance(value, str) and 0 < len(value) <= 255 and not value.isspace(),
    "an address of 1 to 255 characters",
)
_NAME_LIST = _Rule(
    lambda value: (
        isinstance(value, list) and all(map(_is_name, value)) and len(set(value)) == len(value)
    ),
    f"a list of different names, each {_NAME_TEXT}",
)
_BOOLEAN = _Rule(lambda value: isinstance(value, bool), "true or false")
_MAPPING = _Rule(lambda value: isinstance(value, dict), "an object")

_TARGET_RULES = {
    "address": _ADDRESS,
    "port": _integer(1, 65535),
    "availability_zone": _NAME_RULE,
    "slots": _integer(1, 10_000),
    "connections": _integer(1, 100_000),
    "state": _one_of("in", "leaving"),
}
_SECTION_RULES: dict[str, dict[str, _Rule]] = {
    "customers": {
        "rate_per_s": _NOT_NEGATIVE,
        "burst": _NOT_NEGATIVE,
        "weight": _POSITIVE,
        "services": _NAME_LIST,
    },
    "keys": {
        "customer": _NAME_RULE,
        "password_hash": _matches(_PASSWORD_HASH, '"*" and 40 hexadecimal digits'),
    },
    "services": {
        "is_open": _BOOLEAN,
        "ledger": _one_of("always", "requested"),
        "targets": _MAPPING,
    },
    "availability_zones": {"state": _one_of("in", "out")},
    "operators": {"key_hash": _matches(_KEY_HASH, "64 lower-case hexadecimal digits")},
}


def describe_faults(faults: list[DocumentFault]) -> str:
    """Return all faults as one sentence."""
    return "; ".join(str(fault) for fault in faults)


def find_faults(document: Mapping[str, Any]) -> list[DocumentFault]:
    """Check a document.

    :param document: the object to check against :class:`.document.Document`.
    :returns: every fault, in document order; empty if the document is valid.
    """
    faults = list(_shape_faults(document))
    # References are checked only in a document of the right shape.
    return faults or list(_reference_faults(document))


def _shown(path: Path, value: Any) -> str:
    if path[-1] in _SECRET_FIELDS:
        return "not shown"
    text = repr(value)
    return text if len(text) <= _MAX_SHOWN_CHARS else text[:_MAX_SHOWN_CHARS] + "..."


def _fault(path: Path, value: Any, allowed: str) -> DocumentFault:
    return DocumentFault(path, _shown(path, value), allowed)


def _shape_faults(document: Mapping[str, Any]) -> Iterator[DocumentFault]:
    for section in document:
        if section not in SECTIONS:
            yield DocumentFault((section,), "unknown", f"one of {', '.join(SECTIONS)}")
    for section in SECTIONS:
        if section not in document:
            yield DocumentFault((section,), "missing", _MAPPING.allowed)
        else:
            yield from _entries_faults((section,), document[section], _SECTION_RULES[section])
    services = document.get("services")
    for name, service in services.items() if isinstance(services, dict) else ():
        targets = service.get("targets") if isinstance(service, dict) else None
        if isinstance(targets, dict):
            path = ("services", str(name), "targets")
            yield from _entries_faults(path, targets, _TARGET_RULES)


def _entries_faults(path: Path, entries: Any, rules: dict[str, _Rule]) -> Iterator[DocumentFault]:
    if not isinstance(entries, dict):
        yield _fault(path, entries, _MAPPING.allowed)
        return
    for name, entry in entries.items():
        entry_path = (*path, str(name))
        if not _is_name(name):
            yield _fault(entry_path, name, f"a name of {_NAME_TEXT}")
        if not isinstance(entry, dict):
            yield _fault(entry_path, entry, f"an object with {', '.join(rules)}")
            continue
        yield from _field_faults(entry_path, entry, rules)


def _field_faults(
    path: Path, entry: dict[str, Any], rules: dict[str, _Rule]
) -> Iterator[DocumentFault]:
    for field in entry:
        if field not in rules:
            yield DocumentFault((*path, str(field)), "unknown", f"one of {', '.join(rules)}")
    for field, rule in rules.items():
        if field not in entry:
            yield DocumentFault((*path, field), "missing", rule.allowed)
        elif not rule.is_allowed(entry[field]):
            yield _fault((*path, field), entry[field], rule.allowed)


def _reference_faults(document: Mapping[str, Any]) -> Iterator[DocumentFault]:
    for name, customer in document["customers"].items():
        for service in customer["services"]:
            if service not in document["services"]:
                yield _fault(("customers", name, "services"), service, "names of services")
    for name, key in document["keys"].items():
        if key["customer"] not in document["customers"]:
            yield _fault(("keys", name, "customer"), key["customer"], "the name of a customer")
    for name, service in document["services"].items():
        if service["is_open"] and OPEN_CUSTOMER not in document["customers"]:
            allowed = f'false, or true with a customer "{OPEN_CUSTOMER}"'
            yield _fault(("services", name, "is_open"), True, allowed)
        for target_name, target in service["targets"].items():
            if target["availability_zone"] not in document["availability_zones"]:
                path = ("services", name, "targets", target_name, "availability_zone")
                yield _fault(path, target["availability_zone"], "the name of an availability zone")
