"""Token bucket of one customer at one host, with tokens lent to and borrowed from other hosts.

The sum over all hosts of own tokens and of lent tokens that may still be spent never exceeds the
customer's burst. Three rules ensure this: own and lent tokens together stay within this host's
share of the burst; a loan counts against the lender for longer than the borrower may spend it;
and a borrower's reports never raise the amount that counts.
"""

from typing import NamedTuple

__all__ = [
    "LOAN_COUNTED_S",
    "LOAN_USABLE_S",
    "NO_TOLERANCE",
    "CustomerBucket",
    "LoanState",
    "RateLimit",
    "RateTolerance",
]

# A borrower may spend a loan for this long after it sent the request.
LOAN_USABLE_S = 0.25
# The lender counts a loan against its share for this long after its answer. The answer is later
# than the request, and twice the time allows for clocks that run at different speeds.
LOAN_COUNTED_S = 0.5

# Smaller amounts are rounding errors of sums such as 9 x 1/9.
EPSILON_TOKENS = 1e-9


class RateLimit(NamedTuple):
    """A customer's limit in this site.

    :param rate_per_s: requests per second, over all hosts.
    :param burst: requests at once, over all hosts.
    """

    rate_per_s: float
    burst: float


class RateTolerance(NamedTuple):
    """Requests above a customer's limit that operators accept in a window.

    :param window_s: length of the window.
    :param fraction: part of what the limit allows in a window.
    :param requests: requests besides.
    """

    window_s: float
    fraction: float
    requests: float

    def tokens(self, limit: RateLimit) -> float:
        """Return the tolerated requests of a window."""
        allowed = limit.rate_per_s * self.window_s + limit.burst
        return allowed * self.fraction + self.requests


NO_TOLERANCE = RateTolerance(0.0, 0.0, 0.0)


class LoanState(NamedTuple):
    """A borrower's report on a loan.

    :param loan: the lender's number for the loan.
    :param remaining: tokens that the borrower may still spend.
    :param returned: total of returned tokens; the borrower never spends them.
    """

    loan: int
    remaining: float
    returned: float


class _LentTokens:
    __slots__ = ("borrower", "counted_until_s", "is_reported", "outstanding", "returned")

    def __init__(
        self, borrower: str, amount: float, counted_until_s: float, is_report_optional: bool
    ) -> None:
        self.borrower = borrower
        self.is_reported = is_report_optional
        self.outstanding = amount
        self.returned = 0.0
        self.counted_until_s = counted_until_s


class _BorrowedTokens:
    __slots__ = ("expires_s", "is_report_optional", "lender", "loan", "remaining", "returned")

    def __init__(
        self, lender: str, loan: int, remaining: float, expires_s: float, is_report_optional: bool
    ) -> None:
        self.is_report_optional = is_report_optional
        self.lender = lender
        self.loan = loan
        self.remaining = remaining
        self.returned = 0.0
        self.expires_s = expires_s


class CustomerBucket:
    """Token accounting of one customer; all times are passed in.

    :param limit: the customer's limit.
    :param share: fraction of the rate and burst that belongs to this host.
    :param now_s: loop time of creation; the bucket is empty then.
    :param generate_from_s: no tokens are generated before this time.
    """

    def __init__(
        self, limit: RateLimit, share: float, now_s: float, generate_from_s: float
    ) -> None:
        """Create an empty bucket."""
        self.limit = limit
        self.share = share
        self.level = 0.0
        self.expired_tokens = 0.0
        self._unreported_borrowers: set[str] = set()
        self._updated_s = max(now_s, generate_from_s)
        self._lent: dict[int, _LentTokens] = {}
        self._borrowed: list[_BorrowedTokens] = []
        self._reports: dict[str, dict[int, LoanState]] = {}

    @property
    def capacity(self) -> float:
        """This host's share of the burst, in tokens."""
        return self.limit.burst * self.share

    @property
    def generation_per_s(self) -> float:
        """This host's share of the rate, in tokens per second."""
        return self.limit.rate_per_s * self.share

    @property
    def outstanding(self) -> float:
        """Lent tokens that borrowers may still spend."""
        if not self._lent:
            return 0.0
        return sum(lent.outstanding for lent in self._lent.values())

    @property
    def borrowed(self) -> float:
        """Borrowed tokens that this host may still spend."""
        if not self._borrowed:
            return 0.0
        return sum(entry.remaining for entry in self._borrowed)

    @property
    def spendable(self) -> float:
        """Tokens that this host may spend now, own and borrowed ones."""
        return self.level + self.borrowed

    @property
    def free_capacity(self) -> float:
        """Tokens that still fit into this host's share of the burst."""
        return max(self.capacity - self.level - self.outstanding, 0.0)

    @property
    def fill_ratio(self) -> float:
        """Fraction of the capacity that is filled, from 0 to 1."""
        return self.level / self.capacity if self.capacity > 0.0 else 0.0

    @property
    def is_idle(self) -> bool:
        """Whether no loan in either direction is left."""
        return not self._lent and not self._borrowed

    def configure(self, limit: RateLimit, share: float, now_s: float) -> None:
        """Set a new limit and share; tokens above the new capacity are dropped."""
        self.advance(now_s)
        self.limit = limit
        self.share = share
        self.level = max(min(self.level, self.capacity - self.outstanding), 0.0)

    def clear(self, now_s: float, generate_from_s: float) -> None:
        """Drop own and borrowed tokens, because other hosts may have generated them again."""
        self.level = 0.0
        self._borrowed.clear()
        self._expire_lent(now_s)
        self._updated_s = max(now_s, generate_from_s)

    def advance(self, now_s: float) -> None:
        """Generate tokens and expire loans up to a time."""
        # Every request advances its bucket, and most buckets hold no loans.
        if self._lent:
            for until_s in self._loan_ends_s(now_s):
                self._generate(until_s)
                self._expire_lent(until_s)
        self._generate(now_s)
        if self._borrowed:
            self._expire_borrowed(now_s)

    def generate_since(self, since_s: float, now_s: float, more: float = 0.0) -> None:
        """Replace the own tokens by those that this share has generated since an earlier time.

        :param more: tokens of all hosts together that were left at that time.
        """
        generated = (now_s - since_s) * self.generation_per_s
        self.level = min(generated + more * self.share, self.capacity)
        self._updated_s = now_s

    def try_take(self, now_s: float) -> bool:
        """Spend one token if there is one, borrowed tokens first because they expire."""
        self.advance(now_s)
        if self.spendable < 1.0 - EPSILON_TOKENS:
            return False
        self.level = max(self.level - (1.0 - self._spend_borrowed(1.0)), 0.0)
        return True

    def refund(self, now_s: float) -> None:
        """Put back one unspent token, up to the capacity."""
        self.advance(now_s)
        self.level += min(1.0, self.free_capacity)

    def lend(
        self,
        borrower: str,
        loan: int,
        amount: float,
        now_s: float,
        is_report_optional: bool = False,
    ) -> float:
        """Debit tokens for a loan.

        :param is_report_optional: whether the borrower need not report a loan that it spends.
        :returns: tokens lent, at most ``amount``.
        """
        self.advance(now_s)
        lent = min(amount, self.level)
        if lent <= EPSILON_TOKENS:
            return 0.0
        self.level -= lent
        self._lent[loan] = _LentTokens(borrower, lent, now_s + LOAN_COUNTED_S, is_report_optional)
        return lent

    def apply_report(self, report: LoanState, now_s: float) -> bool:
        """Apply a borrower's report; late, duplicate and reordered reports have no further effect.

        :returns: whether the report arrived while the loan still counted.
        """
        self.advance(now_s)
        lent = self._lent.get(report.loan)
        if lent is None:
            return False
        lent.is_reported = True
        newly_returned = min(max(report.returned - lent.returned, 0.0), lent.outstanding)
        lent.returned = max(lent.returned, report.returned)
        lent.outstanding = max(min(lent.outstanding - newly_returned, report.remaining), 0.0)
        if lent.outstanding <= EPSILON_TOKENS:
            del self._lent[report.loan]
        self.level += min(newly_returned, self.free_capacity)
        return True

    def borrow(
        self,
        lender: str,
        loan: int,
        amount: float,
        expires_s: float,
        now_s: float,
        is_report_optional: bool = False,
    ) -> None:
        """Add a loan; one that arrives too late is returned unspent.

        :param is_report_optional: whether a report is sent only if tokens are returned.
        """
        self.advance(now_s)
        entry = _BorrowedTokens(lender, loan, amount, expires_s, is_report_optional)
        if now_s >= expires_s:
            self._return_tokens(entry, amount)
            return
        self._borrowed.append(entry)

    def convert_borrowed(self, max_level: float, now_s: float) -> None:
        """Convert borrowed tokens to own ones, which do not expire.

        :param max_level: own tokens are not raised above this.
        """
        self.advance(now_s)
        self.level += self._spend_borrowed(min(self.free_capacity, max_level - self.level))

    def return_surplus(self, keep: float, now_s: float) -> float:
        """Return borrowed tokens above ``keep`` to their lenders.

        :returns: tokens that the next reports return.
        """
        self.advance(now_s)
        surplus = self.borrowed - keep
        if surplus <= EPSILON_TOKENS:
            return 0.0
        fraction = surplus / self.borrowed
        for entry in self._borrowed:
            self._return_tokens(entry, min(entry.remaining * fraction, entry.remaining))
        self._remove_spent_loans()
        return surplus

    def return_expiring(self, before_s: float, now_s: float) -> float:
        """Return the loans that expire before a time, so that their tokens are not lost.

        :returns: tokens that the next reports return.
        """
        self.advance(now_s)
        returned = 0.0
        for entry in self._borrowed:
            if entry.expires_s < before_s:
                returned += entry.remaining
                self._return_tokens(entry, entry.remaining)
        self._remove_spent_loans()
        return returned

    def take_unreported_borrowers(self) -> set[str]:
        """Remove and return the borrowers of loans that expired without a report."""
        unreported, self._unreported_borrowers = self._unreported_borrowers, set()
        return unreported

    def take_reports(self, lender: str) -> tuple[LoanState, ...]:
        """Remove and return the reports that are due to a lender."""
        return tuple(self._reports.pop(lender, {}).values())

    def lenders_with_reports(self) -> tuple[str, ...]:
        """Return the lenders to which reports are due."""
        return tuple(self._reports)

    def _loan_ends_s(self, now_s: float) -> list[float]:
        ends_s = {lent.counted_until_s for lent in self._lent.values()}
        return sorted(end_s for end_s in ends_s if end_s <= now_s)

    def _generate(self, until_s: float) -> None:
        elapsed_s = until_s - self._updated_s
        if elapsed_s <= 0.0:
            return
        self.level += min(elapsed_s * self.generation_per_s, self.free_capacity)
        self._updated_s = until_s

    def _expire_lent(self, now_s: float) -> None:
        for loan, lent in tuple(self._lent.items()):
            if lent.counted_until_s <= now_s:
                del self._lent[loan]
                if not lent.is_reported:
                    self._unreported_borrowers.add(lent.borrower)

    def _expire_borrowed(self, now_s: float) -> None:
        if all(entry.expires_s > now_s for entry in self._borrowed):
            return
        for entry in self._borrowed:
            if entry.expires_s <= now_s:
                self.expired_tokens += entry.remaining
                entry.remaining = 0.0
                self._record_report(entry)
        self._remove_spent_loans()

    def _spend_borrowed(self, amount: float) -> float:
        """Spend up to ``amount`` borrowed tokens, the same fraction of each loan.

        Spending one loan after the other would leave the lenders unequally full, and the fullest
        ones would soon drop tokens that they generate.
        """
        borrowed = self.borrowed
        used = min(amount, borrowed)
        if used <= EPSILON_TOKENS:
            return 0.0
        for entry in self._borrowed:
            entry.remaining = max(entry.remaining - entry.remaining * used / borrowed, 0.0)
            self._record_report(entry)
        self._remove_spent_loans()
        return used

    def _return_tokens(self, entry: _BorrowedTokens, amount: float) -> None:
        entry.remaining -= amount
        entry.returned += amount
        self._record_report(entry)

    def _record_report(self, entry: _BorrowedTokens) -> None:
        if entry.is_report_optional and entry.returned <= EPSILON_TOKENS:
            return
        report = LoanState(entry.loan, entry.remaining, entry.returned)
        self._reports.setdefault(entry.lender, {})[entry.loan] = report

    def _remove_spent_loans(self) -> None:
        self._borrowed = [entry for entry in self._borrowed if entry.remaining > EPSILON_TOKENS]
