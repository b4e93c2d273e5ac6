"""Messages with which the host that reports usage collects the counts of the others."""

import msgspec

__all__ = ["UsageAnswer", "UsageHandover", "UsageHandoverAnswer", "UsageRequest"]


class UsageRequest(msgspec.Struct, tag="uq", array_like=True, frozen=True):
    """Asks a host for its requests in one window.

    :param window: number of the window; negative if only the time of day is asked for.
    :param started_ms_ago: time since the window's start.
    :param ended_ms_ago: time since its end.
    """

    window: int
    started_ms_ago: int
    ended_ms_ago: int


class UsageAnswer(msgspec.Struct, tag="ua", array_like=True, frozen=True):
    """Requests of this run of a host in one window.

    :param run: random number of the run.
    :param time_of_day_ms: the host's own time of day, since the epoch.
    :param counts: number of requests by customer.
    """

    run: int
    window: int
    time_of_day_ms: int
    counts: dict[str, int]


class UsageHandover(msgspec.Struct, tag="uh", array_like=True, frozen=True):
    """Requests of a run that ends as planned, which cannot be asked for them any more.

    :param run: random number of the run.
    :param windows: for each window its number and the number of requests by customer.
    """

    run: int
    windows: tuple[tuple[int, dict[str, int]], ...]


class UsageHandoverAnswer(msgspec.Struct, tag="ub", array_like=True, frozen=True):
    """States whether the counts were kept."""

    is_kept: bool
