"""Timeouts of calls to the store and to the platform."""

from typing import NamedTuple

__all__ = ["ORDER_BOUNDS", "STORE_BOUNDS", "CallBounds"]


class CallBounds(NamedTuple):
    """Timeouts of one call.

    :param timeout_s: time until an answer begins to arrive, and between any two parts of it.
    :param connect_timeout_s: timeout of opening its connection.
    :param poll_slack_s: time added to the wait of a long poll until it times out.
    """

    timeout_s: float
    connect_timeout_s: float
    poll_slack_s: float


# A healthy store answers in 4 ms, a slow one in up to 0.25 s; a call may need several answers.
STORE_BOUNDS = CallBounds(timeout_s=1.0, connect_timeout_s=0.5, poll_slack_s=0.5)
# A promotion order must arrive or fail well before the lease of the promotion lock expires.
ORDER_BOUNDS = CallBounds(timeout_s=1.0, connect_timeout_s=1.0, poll_slack_s=0.0)
