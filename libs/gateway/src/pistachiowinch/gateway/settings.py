"""Time limits of the gateway."""

from typing import NamedTuple

__all__ = ["GatewaySettings"]


class GatewaySettings(NamedTuple):
    """Time limits for running statements, all in seconds.

    :param statement_timeout_s: from a statement's arrival to its answer.
    :param exchange_timeout_s: for one exchange with a target, after which the connection is closed.
    :param replica_wait_s: how long a read waits for a replica before it may use the primary.
    :param reconfirm_after_s: age above which a confirmation is repeated before a write is answered.
    :param connect_backoff_s: pause before another attempt when a target refused a connection.
    :param leaving_grace_s: how long a leaving target that is the primary still takes new writes, so
        that the planned switch of the primary causes no refusals.
    """

    statement_timeout_s: float = 10.0
    exchange_timeout_s: float = 5.0
    replica_wait_s: float = 0.02
    reconfirm_after_s: float = 0.25
    connect_backoff_s: float = 0.05
    leaving_grace_s: float = 1.5
