"""Run a host with one guard disabled, so that the soak's checker must find a violation."""

import sys

from pistachiowinch.base import codes
from pistachiowinch.entry.callers import CallerServer
from pistachiowinch.fleet.primary_lease import PrimaryLease
from pistachiowinch.fleet.usage_reports import UsageReporter
from pistachiowinch.limits.rates import RateEscrow
from pistachiowinch.links.statements import Completed, Position
from pistachiowinch.platform.serving import serve
from pistachiowinch.platform.settings import settings_path
from pistachiowinch.sessions import autocommit, borrowing, exchanges, shutdown


def ignore_staleness() -> None:
    """Read from any replica, however stale."""
    borrowing.required_position = lambda context, operation: Position(1, 0)


def share_state() -> None:
    """Use pooled connections without restoring the session state."""

    async def align(*_):
        return Completed((), "", None)

    exchanges.align = align


def ignore_rates() -> None:
    """Admit every operation of every customer."""
    RateEscrow.try_acquire = lambda self, customer: True


def repeat_writes() -> None:
    """Retry a write whose outcome is unknown."""
    guarded = autocommit._attempt

    async def attempt(*arguments):
        reply = await guarded(*arguments)
        is_unknown = getattr(reply, "code", None) is codes.OUTCOME_UNKNOWN
        return autocommit._Retry(False) if is_unknown else reply

    autocommit._attempt = attempt


def ignore_lease() -> None:
    """Use a primary without a valid primary lease."""
    PrimaryLease.is_valid = property(lambda self: True)


def close_early() -> None:
    """Close all sessions at the end of a planned stop, whatever they do, and wait for targets."""
    shutdown.Shutdown.may_send = lambda self, timeout_s: True
    shutdown.Shutdown.deadline_s = lambda self, started_s, timeout_s: started_s + timeout_s
    CallerServer.close_waiting = CallerServer.close_all


def forget_reports() -> None:
    """Send usage reports that are recorded nowhere."""

    async def record(self, window, value, due_s):
        self._recorded[window] = value
        return True

    UsageReporter._record = record


if __name__ == "__main__":
    globals()[sys.argv[1]]()
    serve(settings_path())
