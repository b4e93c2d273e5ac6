"""A host's state as plain data, for ``GET /status``."""

from typing import TYPE_CHECKING, Any

from pistachiowinch.groups.group import ServiceGroup

if TYPE_CHECKING:
    from pistachiowinch.operations.host import Host

__all__ = ["host_status"]


def _target_status(group: ServiceGroup, target: str) -> dict[str, Any]:
    tracked = group.tracker.tracked(target)
    if tracked is None:
        return {"reachable": False, "role": "unknown", "position": 0, "applied_position": 0}
    return {
        "reachable": tracked.is_reachable,
        "role": tracked.status.role.value,
        "position": tracked.status.position,
        "applied_position": tracked.status.applied_position,
    }


def _service_status(group: ServiceGroup) -> dict[str, Any]:
    tracker = group.tracker
    targets = {target: _target_status(group, target) for target in tracker.targets}
    return {"term": tracker.term, "primary": tracker.primary, "targets": targets}


def _configuration_versions(host: "Host") -> dict[str, int]:
    versions = {host.name: host.configuration.version}
    for member in host.site.roster.current.members:
        received = host.membership.last_heartbeat(member.host)
        if member.host != host.name:
            versions[member.host] = received.heartbeat.config_version if received else 0
    return versions


def host_status(host: "Host") -> dict[str, Any]:
    """Return a host's state as plain data without keys or tokens.

    :param host: the host.
    """
    roster = host.site.roster
    reasons = list(host.unready_reasons)
    configuration = host.configuration
    groups = {name: host.services.group(name) for name in host.services.names}
    return {
        "host": host.name,
        "site": host.settings.host.site,
        "availability_zone": host.settings.host.availability_zone,
        "incarnation": roster.identity.incarnation,
        "ready": not reasons,
        "unready_reasons": reasons,
        "standing": host.site.standing.has_standing(),
        "sessions": host.gateway.session_count,
        "roster": {
            "epoch": roster.current.epoch,
            "active_epoch": roster.active.epoch,
            "members": [member.host for member in roster.current.members],
        },
        "configuration": {
            "version": configuration.version,
            "digest": configuration.digest,
            "versions": _configuration_versions(host),
        },
        "services": {name: _service_status(group) for name, group in groups.items() if group},
    }
