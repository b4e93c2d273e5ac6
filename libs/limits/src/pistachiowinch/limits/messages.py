"""Messages between hosts about rates and permits."""

import msgspec

from pistachiowinch.limits.bucket import LoanState

__all__ = ["BorrowAnswer", "BorrowRequest", "LoanReport"]


class BorrowRequest(msgspec.Struct, tag="br", array_like=True, frozen=True):
    """Asks a peer for tokens.

    :param ask: number of the ask; a repeated one gets the same answer again.
    :param wanted: tokens wanted from this peer.
    :param is_urgent: whether an earlier ask did not bring enough, so the lender keeps no reserve.
    :param settled: what changed in earlier loans of this lender.
    """

    customer: str
    ask: int
    wanted: float
    is_urgent: bool
    settled: tuple[LoanState, ...] = ()


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
