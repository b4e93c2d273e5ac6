"""One exchange with a target, bounded in time."""

import asyncio

from pistachiowinch.gateway.interfaces import PoolsConnections
from pistachiowinch.links.targets import ExecuteOutcome, Failed, Lost, TargetConnection

__all__ = ["exchange", "is_read_only_error"]

# MySQL also uses the first number for other options, which its message names.
_ERRNO_OPTION_PREVENTS = 1290
_ERRNO_READ_ONLY_MODE = 1836


def is_read_only_error(failed: Failed) -> bool:
    """Tell whether a target refused a write because it is no longer the primary.

    :param failed: the target's error.
    """
    if failed.errno == _ERRNO_OPTION_PREVENTS:
        return "read-only" in failed.message
    return failed.errno == _ERRNO_READ_ONLY_MODE


async def exchange(
    pool: PoolsConnections | None, connection: TargetConnection, text: str, timeout_s: float
) -> ExecuteOutcome:
    """Run one statement and treat silence as a lost answer.

    After a timeout the connection is unusable, so a late answer can reach nobody. What silenced
    one connection may have silenced the idle ones to the same target, so they are closed too.

    :param pool: the connection's pool; None if its target has been removed.
    :param connection: a usable connection.
    :param text: the SQL text.
    :param timeout_s: seconds until the answer counts as lost.
    :returns: the target's answer or error, or :class:`Lost`.
    """
    if not connection.is_usable:
        return Lost(is_sent=False, reason="connection was already closed")
    try:
        async with asyncio.timeout(timeout_s):
            return await connection.execute(text)
    except TimeoutError:
        if pool is not None:
            pool.close_idle()
        return Lost(is_sent=True, reason=f"no answer for {timeout_s:g} s")
