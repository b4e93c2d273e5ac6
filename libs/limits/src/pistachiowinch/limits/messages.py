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

    :param ask: number of the ask; a repeated one gets the same answer again.
    :param wanted: tokens wanted from this peer.
    :param is_urgent: whether an earlier ask did not bring enough, so the lender keeps no reserve.
    :param settled: what changed in earlier loans of this lender.
    :param is_final: whether the borrower only reports what it returns; a loan that it spends counts
        until its time is over.
    """

    customer: str
    ask: int
    wanted: float
    is_urgent: bool
    settled: tuple[LoanState, ...] = ()
    is_final: bool = False


class BorrowAnswer(msgspec.Struct, tag="ba", array_like=True, frozen=True):
    """A loan; the lender debited it before it answered.

    :param loan: number of the loan at the lender; 0 for none.
    :param amount: tokens lent.
    :param fullness: part of the lender's capacity that is filled after the loan.
    """

    loan: int
    amount: float
    fullness: float


class LoanReport(msgspec.Struct, tag="lr", array_like=True, frozen=True):
    """Tells a lender what became of its loans, so that it can generate tokens again."""

    customer: str
    settled: tuple[LoanState, ...]


class WaitingCustomer(NamedTuple):
    """A customer's requests that wait at a host.

    :param targets: targets that one of the first requests may use.
    """

    customer: str
    weight: float
    count: int
    targets: tuple[str, ...]


class PermitSync(msgspec.Struct, tag="ps", array_like=True, frozen=True):
    """States what a host holds and needs of a service's permits; renews what it keeps.

    The message states everything, so a lost one needs no repair.

    :param run: identifies the sending scheduler's run.
    :param broker_run: the broker run that ``seen`` and ``kept`` refer to; 0 if none is known.
    :param seen: newest grant that the host received.
    :param kept: grants that it still holds.
    :param orphans: permits of an earlier broker that are still in use, by target.
    :param usage: slot seconds by customer since the start of the run.
    """

    service: str
    run: int
    broker_run: int
    seen: int
    kept: tuple[int, ...]
    orphans: dict[str, int]
    waiting: tuple[WaitingCustomer, ...]
    usage: dict[str, float]


class PermitAnswer(msgspec.Struct, tag="pa", array_like=True, frozen=True):
    """What a broker lends to a host.

    :param broker_run: identifies the broker's run; 0 if the host is not the broker.
    :param grants: numbers and targets of all grants newer than the host has seen.
    :param others_wait: whether other hosts wait for permits.
    :param virtual: virtual time of the customers over all hosts.
    """

    broker_run: int
    grants: tuple[tuple[int, str], ...]
    others_wait: bool
    virtual: dict[str, float]


class PermitPush(msgspec.Struct, tag="pp", array_like=True, frozen=True):
    """Tells a host about permits that became free for it, or that others wait.

    :param run: the receiving scheduler's run.
    """

    service: str
    run: int
    broker_run: int
    grants: tuple[tuple[int, str], ...]
    others_wait: bool
