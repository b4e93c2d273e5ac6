"""Messages between hosts about a switch of a primary."""

import msgspec

__all__ = ["GateAnswer", "GateRequest", "PrimaryNotice"]


class GateRequest(msgspec.Struct, tag="gr", array_like=True, frozen=True):
    """Asks a host to send nothing more to a service's primary.

    :param epoch: number of the switch.
    :param grace_ms: time that open transactions have to end by themselves.
    """

    service: str
    epoch: int
    grace_ms: int


class GateAnswer(msgspec.Struct, tag="ga", array_like=True, frozen=True):
    """Tells whether nothing is under way at the primary any more."""

    is_idle: bool


class PrimaryNotice(msgspec.Struct, tag="pn", array_like=True, frozen=True):
    """Tells a host the outcome of a switch before its heartbeat does."""

    service: str
    epoch: int
    primary: str
