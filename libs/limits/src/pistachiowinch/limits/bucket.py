"""Tokens of one customer at one host: own ones, lent ones and borrowed ones.

The sum over all hosts of own tokens and of lent ones that may still be used never exceeds the
customer's burst. Three rules keep it so: own and lent tokens together stay within this host's
part of the burst; a loan counts against the lender for longer than the borrower may use it; and
a borrower's reports only ever lower what counts.
"""

from typing import NamedTuple

__all__ = ["LOAN_COUNTED_S", "LOAN_USABLE_S", "CustomerBucket", "LoanState", "RateLimit"]

# A borrower may use a loan for this long after it sent the request.
LOAN_USABLE_S = 0.25
# The lender counts a loan for this long after it answered. The answer is later than the request,
# and the double time covers clocks that run at different speeds.
LOAN_COUNTED_S = 0.5

# Amounts below this are rounding errors of sums of parts such as 9 x 1/9.
EPSILON = 1e-9


class RateLimit(NamedTuple):
    """A customer's limit in this site.

    :param rate_per_s: requests for each second, over all hosts.
    :param burst: requests at once, over all hosts.
    """

    rate_per_s: float
    burst: float


class LoanState(NamedTuple):
    """What a borrower reports about a loan.

    :param loan: the lender's number of the loan.
    :param remaining: tokens that the borrower may still use.
    :param returned: tokens given back in total; the borrower never uses them.
    """

    loan: int
    remaining: float
    returned: float


class _Lent:
    __slots__ = ("borrower", "counted_until_s", "is_reported", "outstanding", "returned")

    def __init__(
        self, borrower: str, amount: float, counted_until_s: float, is_final: bool
    ) -> None:
        self.borrower = borrower
        self.is_reported = is_final
        self.outstanding = amount
        self.returned = 0.0
        self.counted_until_s = counted_until_s


class _Borrowed:
    __slots__ = ("expires_s", "is_final", "lender", "loan", "remaining", "returned")

    def __init__(
        self, lender: str, loan: int, remaining: float, expires_s: float, is_final: bool
    ) -> None:
        self.is_final = is_final
        self.lender = lender
        self.loan = loan
        self.remaining = remaining
        self.returned = 0.0
        self.expires_s = expires_s


class CustomerBucket:
    """Token accounting of one customer; all times are passed in.

    :param limit: the customer's limit.
    :param share: part of the rate and burst that belongs to this host.
    :param now_s: loop time of creation; the bucket is empty then.
    :param quiet_until_s: no tokens are generated before this time.
    """

    def __init__(self, limit: RateLimit, share: float, now_s: float, quiet_until_s: float) -> None:
        """Create an empty bucket."""
        self.limit = limit
        self.share = share
        self.level = 0.0
        self.expired = 0.0
        self._unreported: set[str] = set()
        self._updated_s = max(now_s, quiet_until_s)
        self._lent: dict[int, _Lent] = {}
        self._borrowed: list[_Borrowed] = []
        self._reports: dict[str, dict[int, LoanState]] = {}

    @property
    def capacity(self) -> float:
        """This host's part of the burst."""
        return self.limit.burst * self.share

    @property
    def generation_per_s(self) -> float:
        """This host's part of the rate."""
        return self.limit.rate_per_s * self.share

    @property
    def outstanding(self) -> float:
        """Lent tokens that may still be used elsewhere."""
        if not self._lent:
            return 0.0
        return sum(lent.outstanding for lent in self._lent.values())

    @property
    def borrowed(self) -> float:
        """Usable tokens of other hosts."""
        if not self._borrowed:
            return 0.0
        return sum(entry.remaining for entry in self._borrowed)

    @property
    def total(self) -> float:
        """Tokens that this host may spend now."""
        return self.level + self.borrowed

    @property
    def room(self) -> float:
        """Tokens that fit into this host's part of the burst."""
        return max(self.capacity - self.level - self.outstanding, 0.0)

    @property
    def fullness(self) -> float:
        """Part of the capacity that is filled."""
        return self.level / self.capacity if self.capacity > 0.0 else 0.0

    @property
    def is_idle(self) -> bool:
        """Whether no loan in either direction is left."""
        return not self._lent and not self._borrowed

    def configure(self, limit: RateLimit, share: float, now_s: float) -> None:
        """Take a new limit or share; tokens above the new capacity are dropped."""
        self.advance(now_s)
        self.limit = limit
        self.share = share
        self.level = max(min(self.level, self.capacity - self.outstanding), 0.0)

    def void(self, now_s: float, quiet_until_s: float) -> None:
        """Drop own and borrowed tokens, after a time in which they may have been replaced."""
        self.level = 0.0
        self._borrowed.clear()
        self._drop_lent(now_s)
        self._updated_s = max(now_s, quiet_until_s)

    def advance(self, now_s: float) -> None:
        """Generate tokens and end loans up to a time."""
        # Every request advances its bucket, and most buckets hold no loans.
        if self._lent:
            for until_s in self._loan_ends_s(now_s):
                self._generate(until_s)
                self._drop_lent(until_s)
        self._generate(now_s)
        if self._borrowed:
            self._expire_borrowed(now_s)

    def generate_since(self, since_s: float, now_s: float) -> None:
        """Replace the own tokens by what this part has generated since an earlier time."""
        self.level = min((now_s - since_s) * self.generation_per_s, self.capacity)
        self._updated_s = now_s

    def try_take(self, now_s: float) -> bool:
        """Spend one token if there is one, borrowed ones first because they expire."""
        self.advance(now_s)
        if self.total < 1.0 - EPSILON:
            return False
        self.level = max(self.level - (1.0 - self._use(1.0)), 0.0)
        return True

    def refund(self, now_s: float) -> None:
        """Take one unspent token back, as far as this host's part of the burst has room."""
        self.advance(now_s)
        self.level += min(1.0, self.room)

    def lend(
        self, borrower: str, loan: int, amount: float, now_s: float, is_final: bool = False
    ) -> float:
        """Debit tokens for a loan.

        :param is_final: whether no report is due if the loan is spent.
        :returns: how much was lent, at most ``amount``.
        """
        self.advance(now_s)
        lent = min(amount, self.level)
        if lent <= EPSILON:
            return 0.0
        self.level -= lent
        self._lent[loan] = _Lent(borrower, lent, now_s + LOAN_COUNTED_S, is_final)
        return lent

    def settle(self, state: LoanState, now_s: float) -> bool:
        """Take a borrower's report; late, doubled and reordered reports change nothing more.

        :returns: whether the loan still counted, so that the report came in time.
        """
        self.advance(now_s)
        lent = self._lent.get(state.loan)
        if lent is None:
            return False
        lent.is_reported = True
        back = min(max(state.returned - lent.returned, 0.0), lent.outstanding)
        lent.returned = max(lent.returned, state.returned)
        lent.outstanding = max(min(lent.outstanding - back, state.remaining), 0.0)
        if lent.outstanding <= EPSILON:
            del self._lent[state.loan]
        self.level += min(back, self.room)
        return True

    def borrow(
        self,
        lender: str,
        loan: int,
        amount: float,
        expires_s: float,
        now_s: float,
        is_final: bool = False,
    ) -> None:
        """Take a loan; one that arrives too late is given back unused.

        :param is_final: whether only what is given back is reported.
        """
        self.advance(now_s)
        entry = _Borrowed(lender, loan, amount, expires_s, is_final)
        if now_s >= expires_s:
            self._give_back(entry, amount)
            return
        self._borrowed.append(entry)

    def absorb(self, target: float, now_s: float) -> None:
        """Move borrowed tokens into the own part of the burst, where they do not expire.

        :param target: own tokens are not filled above this.
        """
        self.advance(now_s)
        self.level += self._use(min(self.room, target - self.level))

    def give_back(self, keep: float, now_s: float) -> float:
        """Return borrowed tokens above ``keep`` to their lenders.

        :returns: how much is returned by the next reports.
        """
        self.advance(now_s)
        surplus = self.borrowed - keep
        if surplus <= EPSILON:
            return 0.0
        part = surplus / self.borrowed
        for entry in self._borrowed:
            self._give_back(entry, min(entry.remaining * part, entry.remaining))
        self._forget_spent()
        return surplus

    def give_back_expiring(self, before_s: float, now_s: float) -> float:
        """Return the loans that expire before a time, so that their tokens are not lost.

        :returns: how much is returned by the next reports.
        """
        self.advance(now_s)
        returned = 0.0
        for entry in self._borrowed:
            if entry.expires_s < before_s:
                returned += entry.remaining
                self._give_back(entry, entry.remaining)
        self._forget_spent()
        return returned

    def take_unreported(self) -> set[str]:
        """Remove and return the borrowers of loans that ended without any report."""
        unreported, self._unreported = self._unreported, set()
        return unreported

    def take_reports(self, lender: str) -> tuple[LoanState, ...]:
        """Remove and return what the lender was not told yet."""
        return tuple(self._reports.pop(lender, {}).values())

    def lenders_to_tell(self) -> tuple[str, ...]:
        """Lenders with news in :meth:`take_reports`."""
        return tuple(self._reports)

    def _loan_ends_s(self, now_s: float) -> list[float]:
        ends_s = {lent.counted_until_s for lent in self._lent.values()}
        return sorted(end_s for end_s in ends_s if end_s <= now_s)

    def _generate(self, until_s: float) -> None:
        elapsed_s = until_s - self._updated_s
        if elapsed_s <= 0.0:
            return
        self.level += min(elapsed_s * self.generation_per_s, self.room)
        self._updated_s = until_s

    def _drop_lent(self, now_s: float) -> None:
        for loan, lent in tuple(self._lent.items()):
            if lent.counted_until_s <= now_s:
                del self._lent[loan]
                if not lent.is_reported:
                    self._unreported.add(lent.borrower)

    def _expire_borrowed(self, now_s: float) -> None:
        if all(entry.expires_s > now_s for entry in self._borrowed):
            return
        for entry in self._borrowed:
            if entry.expires_s <= now_s:
                self.expired += entry.remaining
                entry.remaining = 0.0
                self._note(entry)
        self._forget_spent()

    def _use(self, amount: float) -> float:
        """Use up to ``amount`` borrowed tokens, the same part of each loan.

        Using up one loan after the other would leave the lenders unequally full, and the fullest
        ones would soon waste what they generate.
        """
        borrowed = self.borrowed
        used = min(amount, borrowed)
        if used <= EPSILON:
            return 0.0
        for entry in self._borrowed:
            entry.remaining = max(entry.remaining - entry.remaining * used / borrowed, 0.0)
            self._note(entry)
        self._forget_spent()
        return used

    def _give_back(self, entry: _Borrowed, amount: float) -> None:
        entry.remaining -= amount
        entry.returned += amount
        self._note(entry)

    def _note(self, entry: _Borrowed) -> None:
        if entry.is_final and entry.returned <= EPSILON:
            return
        state = LoanState(entry.loan, entry.remaining, entry.returned)
        self._reports.setdefault(entry.lender, {})[entry.loan] = state

    def _forget_spent(self) -> None:
        self._borrowed = [entry for entry in self._borrowed if entry.remaining > EPSILON]
