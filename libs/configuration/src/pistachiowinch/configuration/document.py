"""The configuration document: its types and functions that read it."""

from typing import Literal, NamedTuple, TypedDict

__all__ = [
    "EMPTY_DOCUMENT",
    "OPEN_CUSTOMER",
    "SECTIONS",
    "Configuration",
    "CustomerEntry",
    "Document",
    "KeyEntry",
    "OperatorEntry",
    "ServiceEntry",
    "TargetEntry",
    "ZoneEntry",
    "ZoneState",
    "customer_services",
    "find_key",
    "targets_in_use",
    "zone_state",
]

SECTIONS = ("customers", "keys", "services", "availability_zones", "operators")
# Callers without a key belong to this customer on services with ``is_open``.
OPEN_CUSTOMER = "open"

ZoneState = Literal["in", "out"]


class CustomerEntry(TypedDict):
    """The site's part of one customer's limits, and the services that it may use."""

    rate_per_s: float
    burst: float
    weight: float
    services: list[str]


class KeyEntry(TypedDict):
    """One key: its customer and the hash of MySQL's native password check."""

    customer: str
    password_hash: str


class TargetEntry(TypedDict):
    """One database instance and the site's part of its capacity."""

    address: str
    port: int
    availability_zone: str
    slots: int
    connections: int
    state: Literal["in", "leaving"]


class ServiceEntry(TypedDict):
    """One database group."""

    is_open: bool
    ledger: Literal["always", "requested"]
    targets: dict[str, TargetEntry]


class ZoneEntry(TypedDict):
    """Whether an availability zone takes new work."""

    state: ZoneState


class OperatorEntry(TypedDict):
    """SHA-256 of an operator's key, hexadecimal."""

    key_hash: str


class Document(TypedDict):
    """All that operators configure."""

    customers: dict[str, CustomerEntry]
    keys: dict[str, KeyEntry]
    services: dict[str, ServiceEntry]
    availability_zones: dict[str, ZoneEntry]
    operators: dict[str, OperatorEntry]


EMPTY_DOCUMENT: Document = {
    "customers": {},
    "keys": {},
    "services": {},
    "availability_zones": {},
    "operators": {},
}


class Configuration(NamedTuple):
    """One version of the document; it is never changed in place.

    :param version: number of accepted patches.
    :param digest: SHA-256 over the document's chunks; see :mod:`.chunks`.
    """

    version: int
    digest: str
    document: Document


def find_key(document: Document, key_id: str) -> KeyEntry | None:
    """Return the entry of a key, or None if it is unknown or withdrawn."""
    return document["keys"].get(key_id)


def customer_services(document: Document, customer: str) -> tuple[str, ...]:
    """Return the services that a customer may use; none for an unknown customer."""
    entry = document["customers"].get(customer)
    return tuple(entry["services"]) if entry else ()


def zone_state(document: Document, availability_zone: str) -> ZoneState:
    """Return a zone's state; a zone without an entry counts as in.

    Hosts take their zone's name from their settings, so a zone that nobody configured must not
    stop them.
    """
    entry = document["availability_zones"].get(availability_zone)
    return entry["state"] if entry else "in"


def targets_in_use(document: Document, service: str) -> dict[str, TargetEntry]:
    """Return the targets of a service that may get new work.

    :returns: targets that are not leaving and whose zone is not out; none for an unknown service.
    """
    entry = document["services"].get(service)
    if entry is None:
        return {}
    return {
        name: target
        for name, target in entry["targets"].items()
        if target["state"] == "in" and zone_state(document, target["availability_zone"]) == "in"
    }
