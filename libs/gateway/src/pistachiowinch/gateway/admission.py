"""Decides whether a session may start new work at this host."""

from returns.result import Failure, Result, Success

from pistachiowinch.base.codes import (
    HOST_ISOLATED,
    HOST_STOPPING,
    KEY_WITHDRAWN,
    SERVICE_NOT_ALLOWED,
    UNKNOWN_SERVICE,
    ZONE_OUT,
    Refusal,
    ResultCode,
)
from pistachiowinch.configuration.document import Configuration
from pistachiowinch.gateway.interfaces import ConfigurationView, StandingView
from pistachiowinch.routing.session import Session

__all__ = ["OPEN_CUSTOMER", "Admission"]

# Callers of open services have no key; the rate of this customer applies to them.
OPEN_CUSTOMER = "open"


_GRANTED: Result[None, Refusal] = Success(None)


def _refuse(code: ResultCode, detail: str) -> Failure[Refusal]:
    return Failure(Refusal(code, detail))


class Admission:
    """Checks a session against the configuration in force and this host's state.

    :param availability_zone: the zone of this host.
    """

    def __init__(
        self,
        configuration: ConfigurationView,
        standing: StandingView,
        availability_zone: str,
    ) -> None:
        """Start accepting work."""
        self._configuration = configuration
        self._standing = standing
        self._availability_zone = availability_zone
        self.is_stopping = False

    @property
    def is_zone_out(self) -> bool:
        """Whether operators have taken this host's zone out of service."""
        zones = self._configuration.current.document["availability_zones"]
        entry = zones.get(self._availability_zone)
        return entry is not None and entry["state"] == "out"

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers here."""
        return not (self.is_stopping or self.is_zone_out) and self._standing.has_standing()

    def check_identity(self, session: Session) -> Result[None, Refusal]:
        """Check that the session's key and service are still granted.

        :param session: the caller's session.
        :returns: a refusal if the key is withdrawn or the service is not allowed.
        """
        configuration = self._configuration.current
        if session.authorized_version == configuration.version:
            return _GRANTED
        found = check_grant(configuration, session.key_id, session.customer, session.service)
        if isinstance(found, Success):
            session.authorized_version = configuration.version
        return found

    def check_new_work(self, session: Session) -> Result[None, Refusal]:
        """Check everything that a new statement or transaction needs.

        :param session: the caller's session.
        """
        if session.end_reason is not None:
            return Failure(session.end_reason)
        if not self._standing.has_standing():
            return _refuse(HOST_ISOLATED, "this host cannot prove that its configuration is new")
        if self.is_stopping:
            return _refuse(HOST_STOPPING, "this host is stopping")
        if self.is_zone_out:
            return _refuse(ZONE_OUT, "this host's availability zone has been taken out")
        return self.check_identity(session)

    def check_running_work(self, session: Session) -> Result[None, Refusal]:
        """Check what a further statement of an open transaction needs.

        A stopping host and a host in a zone that is out let open transactions end. An isolated
        host refuses them as well, because their key may have been withdrawn without its knowledge.

        :param session: the caller's session.
        """
        if session.end_reason is not None:
            return Failure(session.end_reason)
        if not self._standing.has_standing():
            return _refuse(HOST_ISOLATED, "this host cannot prove that its configuration is new")
        return self.check_identity(session)


def check_grant(
    configuration: Configuration, key_id: str, customer: str, service: str
) -> Result[None, Refusal]:
    """Check a key and a service against one configuration.

    :param configuration: the version to check against.
    :param key_id: id of the caller's key; empty for a caller without one.
    :param customer: the customer that the session belongs to.
    :param service: the service that the session uses.
    """
    document = configuration.document
    entry = document["services"].get(service)
    if entry is None:
        return _refuse(UNKNOWN_SERVICE, f"service {service!r} is not configured")
    if key_id:
        key = document["keys"].get(key_id)
        if key is None or key["customer"] != customer:
            return _refuse(KEY_WITHDRAWN, f"key {key_id!r} has been withdrawn")
    if entry["is_open"]:
        return Success(None)
    owner = document["customers"].get(customer) if key_id else None
    if owner is None or service not in owner["services"]:
        return _refuse(SERVICE_NOT_ALLOWED, f"customer {customer!r} may not use {service!r}")
    return Success(None)
