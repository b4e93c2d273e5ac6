"""Documents that the platform writes for hosts: settings, configuration and targets' entries.

They do not use the types of the platform adapter, so that tests detect a wrong field name there.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from pistachiowinch.links.store import Put

__all__ = [
    "SETTINGS_VARIABLE",
    "CustomerRow",
    "HostRow",
    "RouteRow",
    "TargetRow",
    "configuration_put",
    "settings_bytes",
    "target_key",
    "target_put",
]

# Environment variable with the path of a host's settings file.
SETTINGS_VARIABLE = "PISTACHIOWINCH_SETTINGS"
_CONFIGURATION_KEY = "op/config"
_TARGETS_PREFIX = "servers/"
_MS_PER_S = 1000.0


class RouteRow(NamedTuple):
    """One route of a configuration.

    :param kind: ``primary``, ``bounded`` or ``read_your_writes``.
    """

    database: str
    service: str
    kind: str
    timeout_s: float
    staleness_s: float


class CustomerRow(NamedTuple):
    """One customer of a configuration; the rate is in operations per second."""

    name: str
    keys: tuple[str, ...]
    rate_per_s: float
    burst: float


class TargetRow(NamedTuple):
    """One target's entry.

    :param address: ``IP:PORT``.
    :param started_ms: time of its start, by its own clock.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    is_primary: bool
    slots: int
    started_ms: int


class HostRow(NamedTuple):
    """Settings of one host; addresses are ``IP:PORT``."""

    host: str
    ip: str
    availability_zone: str
    callers_address: str
    ready_address: str
    peers_port: int
    store_address: str
    orders_address: str
    stop_within_s: float
    usage_window_s: float = 5.0
    usage_due_s: float = 10.0


def configuration_put(
    version: int,
    routes: Iterable[RouteRow],
    connections: Mapping[str, int],
    customers: Iterable[CustomerRow],
) -> Put:
    """Return the write that puts a configuration into effect.

    :param connections: connection limit of the targets, by service.
    """
    body = {
        "version": version,
        "routes": [
            {
                "host": route.database,
                "service": route.service,
                "kind": route.kind,
                "timeoutMs": route.timeout_s * _MS_PER_S,
                "maxStalenessMs": route.staleness_s * _MS_PER_S,
            }
            for route in routes
        ],
        "services": [{"name": name, "maxConns": limit} for name, limit in connections.items()],
        "tenants": [
            {
                "name": customer.name,
                "apiKeys": customer.keys,
                "ratePerS": customer.rate_per_s,
                "burst": customer.burst,
            }
            for customer in customers
        ],
        "limits": {},
    }
    return Put(_CONFIGURATION_KEY, msgspec.json.encode(body))


def target_key(name: str) -> str:
    """Return the key of a target's entry."""
    return _TARGETS_PREFIX + name


def target_put(target: TargetRow) -> Put:
    """Return the write of a target's entry."""
    entry = {
        "service": target.service,
        "address": target.address,
        "zone": target.availability_zone,
        "version": "v1",
        "slots": target.slots,
        "state": "ready",
        "coldMs": 0,
        "dbRole": "primary" if target.is_primary else "replica",
        "seq": 1,
        "born": target.started_ms,
    }
    return Put(target_key(target.name), msgspec.json.encode(entry))


def settings_bytes(host: HostRow) -> bytes:
    """Return the content of a host's settings file."""
    return msgspec.json.encode(
        {
            "node": host.host,
            "ip": host.ip,
            "zone": host.availability_zone,
            "listen": {"front": host.callers_address, "ready": host.ready_address},
            "portRange": [host.peers_port, host.peers_port],
            "platform": {"address": host.store_address},
            "cloudApi": {
                "address": host.orders_address,
                "duties": ["promotion", "usage_report"],
            },
            "bounds": {
                "graceS": host.stop_within_s,
                "reportWindowS": host.usage_window_s,
                "usageLateS": host.usage_due_s,
            },
        }
    )
