"""Messages between hosts about rates and permits."""

from typing import NamedTuple

import msgspec

from pistachiowinch.limits.bucket import LoanState

__all__ = [
    "BorrowAnswer",
    "BorrowRequest",
    "LoanReport",
    "PermitAnswer",
    "PermitPush",
    "PermitSync",
    "WaitingCustomer",
]


class BorrowRequest(msgspec.Struct, tag="br", array_like=True, frozen=True):
    """Asks a peer for tokens.

    :param number: number of the request; a retry has the same number and gets the same answer.
    :param wanted: tokens wanted from this peer.
    :param is_urgent: whether an earlier request did not yield enough, so that the lender keeps no
        reserve.
    :param loan_reports: changes in earlier loans from this lender.
    :param is_report_optional: whether the borrower reports only returned tokens; a loan that it
        spends counts until it expires at the lender.
    """

    customer: str
    number: int
    wanted: float
    is_urgent: bool
    loan_reports: tuple[LoanState, ...] = ()
    is_report_optional: bool = False


class BorrowAnswer(msgspec.Struct, tag="ba", array_like=True, frozen=True):
    """A loan, which the lender has debited before its answer.

    :param loan: the lender's number for the loan; 0 for no loan.
    :param amount: tokens lent.
    :param fill_ratio: fraction of the lender's capacity that is filled after the loan.
    """

    loan: int
    amount: float
    fill_ratio: float


class LoanReport(msgspec.Struct, tag="lr", array_like=True, frozen=True):
    """Reports to a lender on its loans, so that it can generate the spent tokens again."""

    customer: str
    loan_reports: tuple[LoanState, ...]


class WaitingCustomer(NamedTuple):
    """A customer's waiting requests at a host.

    :param targets: targets that at least one of the first requests may use.
    """

    customer: str
    weight: float
    request_count: int
    targets: tuple[str, ...]


class PermitSync(msgspec.Struct, tag="ps", array_like=True, frozen=True):
    """Reports a host's permits and waiting requests for a service, and renews the held permits.

    Each message holds the complete state, so a lost one needs no recovery.

    :param run_id: identifies the sending scheduler's run.
    :param broker_run_id: the broker's run that ``last_received`` and ``held_grants`` refer to; 0
        if none is known.
    :param last_received: number of the newest grant that the host received.
    :param held_grants: numbers of the grants that it still holds.
    :param orphans: count of permits in use that this broker did not grant, by target.
    :param usage_s: slot time by customer since the start of the run.
    """

    service: str
    run_id: int
    broker_run_id: int
    last_received: int
    held_grants: tuple[int, ...]
    orphans: dict[str, int]
    waiting: tuple[WaitingCustomer, ...]
    usage_s: dict[str, float]


class PermitAnswer(msgspec.Struct, tag="pa", array_like=True, frozen=True):
    """Permits that a broker grants to a host.

    :param broker_run_id: identifies the broker's run; 0 if the host is not the broker.
    :param grants: numbers and targets of all grants that the host has not confirmed yet.
    :param others_wait: whether other hosts wait for permits.
    :param virtual_times: each customer's virtual time over all hosts.
    """

    broker_run_id: int
    grants: tuple[tuple[int, str], ...]
    others_wait: bool
    virtual_times: dict[str, float]


class PermitPush(msgspec.Struct, tag="pp", array_like=True, frozen=True):
    """Notifies a host of new grants, or that other hosts wait for permits.

    :param run_id: identifies the receiving scheduler's run.
    """

    service: str
    run_id: int
    broker_run_id: int
    grants: tuple[tuple[int, str], ...]
    others_wait: bool
