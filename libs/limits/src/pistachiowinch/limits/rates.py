"""Rates of customers, enforced by escrow: each host holds a part and borrows from its peers.

Only tokens that a host holds are spent, and every token exists once. Lost, doubled and late
messages, dead and paused hosts can therefore destroy tokens but not create them.
"""

import asyncio
import math
import random
from collections import deque
from collections.abc import Callable, Coroutine, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from returns.result import Failure, Result, Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import RATE_EXCEEDED, Refusal
from pistachiowinch.base.hashing import rendezvous_order
from pistachiowinch.base.logs import part_logger
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.limits.bucket import (
    LOAN_COUNTED_S,
    LOAN_USABLE_S,
    CustomerBucket,
    LoanState,
    RateLimit,
)
from pistachiowinch.limits.counters import limit_counters
from pistachiowinch.limits.messages import BorrowAnswer, BorrowRequest, LoanReport
from pistachiowinch.limits.rate_owners import RateOwners
from pistachiowinch.links.peers import PeerLink, PeerUnreachable

__all__ = ["Borrowing", "EqualSplit", "RateEscrow", "RateLimit", "RatePolicy"]

# A request without a token waits this long for borrowed or generated ones.
WAIT_S = 0.25
# A host borrows in advance when it is short of what it would generate in this time.
IMBALANCE_S = 0.025
# A round does not wait longer for a peer; a later answer is still used.
ROUND_S = 0.01
# Pauses between the rounds of one shortage grow, so that a customer over its rate costs at most
# 50 rounds a second.
FIRST_GAP_S = 0.002
LAST_GAP_S = 0.02
# A customer whose tokens no peer could lend is not asked for again this soon.
EXHAUSTED_S = 0.1
# A round started this long before the end of a wait still brings tokens: twice the largest time
# for a message and its answer inside a site.
LAST_ROUND_S = 0.003
# Keeps rounding errors from making the rounds spin.
LEAST_PAUSE_S = 0.0005
# Tokens for this much of the recent demand are borrowed ahead.
AHEAD_S = 0.025
# A lender keeps tokens for this much of its own recent demand.
RESERVE_S = 0.05
# Time constant of the demand estimate.
DEMAND_TIME_S = 1.0
# An unanswered ask is repeated with the same number for this long; it must stay usable after that.
REPEAT_S = 0.2
# Reports wait this long, because a borrow request often follows and carries them.
REPORT_DELAY_S = 0.005
# Least time between rounds that refill the own part while no request waits.
REFILL_GAP_S = 0.05
# A peer that did not answer in time is not asked for this long, doubled each time.
SILENCE_S = 0.4
MAX_SILENCE_S = 1.6
# After that it is lent only this part of the own tokens, until it reports a loan in time.
PROBE_PART = 0.1
TICK_S = 0.1
# Unused loans go back before they expire; longer than one tick, so that none is missed.
RETURN_BEFORE_S = 0.15
# A host that did not run for this long may have lost its standing, and its part of each rate.
PAUSE_S = 1.0

_NO_LOAN = BorrowAnswer(0, 0.0, 0.0)
_log = part_logger("rates")


@dataclass(frozen=True)
class Borrowing:
    """Hosts lend tokens to each other."""


@dataclass(frozen=True)
class EqualSplit:
    """Baseline: each host uses only its own part."""


RatePolicy = Borrowing | EqualSplit


class _Demand:
    """Recent requests for each second, with exponential decay."""

    __slots__ = ("_rate_per_s", "_updated_s")

    def __init__(self, now_s: float) -> None:
        self._rate_per_s = 0.0
        self._updated_s = now_s

    def add(self, now_s: float) -> None:
        self._rate_per_s = self.rate_per_s(now_s) + 1.0 / DEMAND_TIME_S
        self._updated_s = now_s

    def rate_per_s(self, now_s: float) -> float:
        return self._rate_per_s * math.exp((self._updated_s - now_s) / DEMAND_TIME_S)


class _Ask:
    __slots__ = ("is_answered", "request", "sent_s")

    def __init__(self, request: BorrowRequest, sent_s: float) -> None:
        self.request = request
        self.sent_s = sent_s
        self.is_answered = False


class _Answered(NamedTuple):
    ask: int
    answer: BorrowAnswer
    at_s: float


class _Silence(NamedTuple):
    """A peer that is not asked or lent to until then, because loans did not arrive in time."""

    until_s: float
    duration_s: float


def _lengthen(silences: dict[str, _Silence], peer: str) -> None:
    known = silences.get(peer)
    duration_s = SILENCE_S if known is None else min(2.0 * known.duration_s, MAX_SILENCE_S)
    if known is None or known.until_s <= now_s():
        silences[peer] = _Silence(now_s() + duration_s, duration_s)


class _Fullness(NamedTuple):
    part: float
    at_s: float


class _Customer:
    """State of one customer at this host."""

    def __init__(self, name: str, bucket: CustomerBucket, now_s: float) -> None:
        self.name = name
        self.bucket = bucket
        self.demand = _Demand(now_s)
        self.waiters: deque[asyncio.Future] = deque()
        self.until_s: deque[float] = deque()
        self.asks: dict[str, _Ask] = {}
        self.answered: dict[str, _Answered] = {}
        self.fullness: dict[str, _Fullness] = {}
        self.rounds: asyncio.Task | None = None
        self.last_round_s = -math.inf
        self.hold_off_until_s = -math.inf
        self.exhausted_until_s = -math.inf
        self.is_report_due = False
        self.is_refill_due = False
        self.is_removed = False

    def add_waiter(self, waiter: asyncio.Future, until_s: float) -> None:
        self.waiters.append(waiter)
        self.until_s.append(until_s)

    def pop_waiter(self) -> asyncio.Future:
        self.until_s.popleft()
        return self.waiters.popleft()

    def prune(self) -> None:
        while self.waiters and self.waiters[0].done():
            self.pop_waiter()


class RateEscrow:
    """This host's part of all customers' rates.

    :param host: this host's name.
    :param link: messages to the peers.
    :param metrics: counters of refusals and tokens.
    :param policy: :class:`Borrowing`, or the baseline :class:`EqualSplit`.
    :param read_share: returns the current share, read each 0.1 s by :meth:`run`; None if the
        caller uses only :meth:`set_share`.
    :param owners: divides each rate between its customer's owners; None if every host has the
        same share of all rates.
    """

    def __init__(
        self,
        host: str,
        link: PeerLink,
        metrics: Metrics | None = None,
        policy: RatePolicy | None = None,
        read_share: Callable[[], float] | None = None,
        owners: RateOwners | None = None,
    ) -> None:
        """Create an escrow without customers, share or peers."""
        self._host = host
        self._link = link
        self._counters = limit_counters(metrics or Metrics())
        self._policy = policy or Borrowing()
        self._read_share = read_share
        self._owners = owners
        self._share = 0.0
        self._peers: tuple[str, ...] = ()
        self._customers: dict[str, _Customer] = {}
        # A previous run of this host may have lent tokens that are still usable elsewhere.
        self._quiet_until_s = now_s() + LOAN_COUNTED_S
        self._silent: dict[str, _Silence] = {}
        self._wasteful: dict[str, _Silence] = {}
        self._last_tick_s: float | None = None
        self._owned_since_s: float | None = None
        self._tasks: set[asyncio.Task] = set()
        # Numbers of a previous run must not match those of this one.
        self._next_number = random.SystemRandom().getrandbits(46) | 1 << 46
        link.on_request(BorrowRequest, BorrowAnswer, self._lend)
        link.on_message(LoanReport, self._settle)

    def set_limits(self, limits: Mapping[str, RateLimit]) -> None:
        """Replace the customers and their limits.

        :param limits: by customer; a removed customer's requests are refused.
        :raises ValueError: if a rate or burst is negative or not finite.
        """
        for customer, limit in limits.items():
            if not all(math.isfinite(value) and value >= 0.0 for value in limit):
                raise ValueError(f"limits of {customer} must be finite and not negative: {limit}")
        for customer, state in self._customers.items():
            if customer not in limits:
                self._remove(state)
        for customer, limit in limits.items():
            self._set_limit(customer, limit)

    def set_share(self, share: float) -> None:
        """Set the part of each rate and burst that belongs to this host.

        :param share: from 0 (no standing) to 1.
        :raises ValueError: if it is outside that range.
        """
        if not 0.0 <= share <= 1.0:
            raise ValueError(f"the share must be from 0 to 1, not {share}")
        if share == self._share:
            return
        self._share = share
        self.update_shares()

    def resume(self, since_s: float) -> None:
        """Take over the parts of this host's previous run, which ended before a time.

        Nobody else generated tokens from these parts since then, and the previous run's own are
        gone, so the part of each rate since that time can be spent.

        :param since_s: loop time at which this run was started.
        """
        self._owned_since_s = since_s

    def set_peers(self, peers: Sequence[str]) -> None:
        """Set the hosts that are asked for tokens.

        :param peers: the site's other hosts, best without suspected ones; this host is ignored.
        """
        self._peers = tuple(peer for peer in peers if peer != self._host)

    def try_acquire(self, customer: str) -> bool:
        """Spend one token of a customer that is there at once, without a coroutine.

        :param customer: the customer's name.
        :returns: whether a token was spent; otherwise :meth:`acquire` decides about the request.
        """
        state = self._customers.get(customer)
        if state is None or state.is_removed:
            return False
        arrived_s = now_s()
        self._check_pause(arrived_s)
        state.prune()
        if state.waiters or not state.bucket.try_take(arrived_s):
            return False
        # A failed attempt is followed by acquire, which would count the request a second time.
        state.demand.add(arrived_s)
        self._refill(state, arrived_s)
        return True

    async def acquire(self, customer: str, deadline_s: float) -> Result[None, Refusal]:
        """Spend one token of a customer.

        :param customer: the customer's name.
        :param deadline_s: loop time after which the request is of no use.
        :returns: nothing, or ``RATE_EXCEEDED``.
        """
        if self.try_acquire(customer):
            return Success(None)
        state = self._customers.get(customer)
        if state is None or state.is_removed:
            return self._refuse("the customer has no rate")
        arrived_s = now_s()
        state.demand.add(arrived_s)
        if len(state.waiters) >= self._most_waiters(state):
            return self._refuse("too many requests already wait for the rate")
        if arrived_s < state.exhausted_until_s and not self._earns_soon(state, deadline_s):
            return self._refuse("the customer has spent its rate on all hosts")
        return await self._wait(state, min(arrived_s + WAIT_S, deadline_s))

    def refund(self, customer: str) -> None:
        """Give back a token that was taken for a request which reached no target."""
        state = self._customers.get(customer)
        if state is not None and not state.is_removed:
            state.bucket.refund(now_s())
            self._serve(state)

    async def return_loans(self) -> None:
        """Give all borrowed tokens back, for a planned stop."""
        for state in self._customers.values():
            self._give_back(state, 0.0)
            self._report(state)
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def run(self) -> None:
        """Watch for pauses, read the share and report loans until cancelled."""
        try:
            while True:
                self._tick()
                await sleep_s(TICK_S)
        finally:
            self._last_tick_s = None
            for task in tuple(self._tasks):
                task.cancel()

    # Customers

    def _set_limit(self, customer: str, limit: RateLimit) -> None:
        state = self._customers.get(customer)
        if state is None:
            part = self._part(customer)
            bucket = CustomerBucket(limit, part, now_s(), self._quiet_until_s)
            self._customers[customer] = _Customer(customer, bucket, now_s())
            return
        state.is_removed = False
        if limit != state.bucket.limit:
            state.bucket.configure(limit, self._part(customer), now_s())

    def _part(self, customer: str) -> float:
        """Return this host's part of a customer's rate."""
        return (
            self._share if self._owners is None else self._share * self._owners.share_of(customer)
        )

    def update_shares(self) -> None:
        """Take this host's part of each rate anew, after the share or the homes changed."""
        for customer, state in self._customers.items():
            part = self._part(customer)
            if part != state.bucket.share:
                state.bucket.configure(state.bucket.limit, part, now_s())

    def _lenders(self, customer: str) -> tuple[str, ...]:
        """Return the other hosts that hold parts of a customer's rate."""
        if self._owners is None:
            return self._peers
        return tuple(host for host in self._owners.owners_of(customer) if host != self._host)

    def _remove(self, state: _Customer) -> None:
        # The entry stays until its loans have ended: a customer that is added again must not
        # start with a full part while lent tokens are still in use.
        state.is_removed = True
        state.bucket.configure(RateLimit(0.0, 0.0), state.bucket.share, now_s())
        while state.waiters:
            waiter = state.pop_waiter()
            if not waiter.done():
                waiter.set_result(None)

    def _most_waiters(self, state: _Customer) -> int:
        # More requests than these cannot all get a token in time, wherever the tokens are.
        limit = state.bucket.limit
        return math.ceil(limit.burst + limit.rate_per_s * WAIT_S) + 1

    def _earns_soon(self, state: _Customer, deadline_s: float) -> bool:
        """Whether this host's own part brings a token for one more request in time."""
        wait_s = min(WAIT_S, deadline_s - now_s())
        return state.bucket.generation_per_s * wait_s >= len(state.waiters) + 1

    # Waiting requests

    async def _wait(self, state: _Customer, until_s: float) -> Result[None, Refusal]:
        waiter = asyncio.get_running_loop().create_future()
        state.add_waiter(waiter, until_s)
        self._start_rounds(state)
        granted_s = None
        try:
            async with asyncio.timeout_at(until_s):
                granted_s = await waiter
        except TimeoutError:
            if waiter.done() and not waiter.cancelled():
                granted_s = waiter.result()
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                # Putting the token back after others were generated could exceed the burst.
                self._counters.tokens("discarded", 1.0)
            raise
        if granted_s is None:
            return self._refuse("no token became available in time")
        if now_s() - granted_s > WAIT_S:
            # The host was paused between grant and use; the token's time is over.
            self._counters.tokens("discarded", 1.0)
            return self._refuse("the host was paused")
        return Success(None)

    def _serve(self, state: _Customer) -> bool:
        """Grant tokens to waiting requests in order; tell whether some still wait."""
        state.prune()
        while state.waiters and state.bucket.try_take(now_s()):
            state.pop_waiter().set_result(now_s())
            state.prune()
        return bool(state.waiters)

    def _refuse(self, detail: str) -> Result[None, Refusal]:
        return Failure(self._counters.refuse(RATE_EXCEEDED, detail))

    # Borrowing

    def _refill(self, state: _Customer, at_s: float) -> None:
        """Borrow when this host's part is much emptier than those of its peers.

        Otherwise their full buckets would waste what they generate, and a customer that then
        uses its whole burst would be short. What is generated while a request waits makes up for
        a small difference.
        """
        if state.is_refill_due or not self._is_unbalanced(state):
            return
        wait_s = state.last_round_s + REFILL_GAP_S - at_s
        if wait_s <= 0.0:
            self._start_rounds(state)
            return
        # Without a later look the parts would stay unequal until the next request.
        state.is_refill_due = True
        asyncio.get_running_loop().call_later(wait_s, self._refill_later, state)

    def _refill_later(self, state: _Customer) -> None:
        state.is_refill_due = False
        if not state.is_removed and self._is_unbalanced(state):
            self._start_rounds(state)

    def _is_unbalanced(self, state: _Customer) -> bool:
        bucket = state.bucket
        tolerated = bucket.limit.rate_per_s * IMBALANCE_S
        held = bucket.total
        # Peers are at most full, so a nearly full part needs no look at each of them.
        if bucket.capacity - held <= tolerated:
            return False
        return self._balanced_level(state, 0.0) - held > tolerated

    def _balanced_level(self, state: _Customer, need: float) -> float:
        """Own tokens if all hosts were equally full after ``need`` tokens were spent here.

        A host that fills up while its peers stay empty would waste what it generates.
        """
        bucket = state.bucket
        limit = bucket.limit
        if limit.burst <= 0.0:
            return 0.0
        parts = bucket.total - need
        lenders = self._lenders(state.name)
        for peer in lenders:
            known = state.fullness.get(peer)
            part = 1.0
            if known is not None:
                elapsed_s = now_s() - known.at_s
                part = min(known.part + elapsed_s * limit.rate_per_s / limit.burst, 1.0)
            parts += part * bucket.capacity
        return max(parts / (len(lenders) + 1), 0.0)

    def _start_rounds(self, state: _Customer) -> None:
        if state.rounds is None:
            state.rounds = self._spawn(self._run_rounds(state))

    async def _run_rounds(self, state: _Customer) -> None:
        gap_s = FIRST_GAP_S
        is_urgent = False
        try:
            while True:
                await self._run_round(state, is_urgent)
                if not self._serve(state):
                    break
                if is_urgent:
                    # Even the peers' reserves did not bring enough.
                    state.exhausted_until_s = now_s() + EXHAUSTED_S
                is_urgent = True
                await sleep_s(self._pause_s(state, gap_s))
                gap_s = min(2.0 * gap_s, LAST_GAP_S)
                if not self._serve(state):
                    break
            if self._is_unbalanced(state):
                # Requests that came meanwhile spent what was borrowed to balance the parts.
                await self._run_round(state, False)
                self._serve(state)
            self._keep_ahead(state)
        finally:
            state.rounds = None
        if self._serve(state):
            self._start_rounds(state)

    def _pause_s(self, state: _Customer, gap_s: float) -> float:
        """Time until the next round is worth its messages."""
        bucket = state.bucket
        missing = 1.0 - bucket.total
        own_s = missing / bucket.generation_per_s if bucket.generation_per_s > 0.0 else math.inf
        rate_per_s = bucket.limit.rate_per_s
        site_s = missing / rate_per_s if rate_per_s > 0.0 else math.inf
        pause_s = min(max(site_s, gap_s), own_s)
        # One round before the first waiting request gives up collects the last parts.
        last_s = state.until_s[0] - LAST_ROUND_S - now_s() if state.until_s else 0.0
        if 0.0 < last_s < pause_s:
            pause_s = last_s
        return min(max(pause_s, LEAST_PAUSE_S), LAST_GAP_S)

    async def _run_round(self, state: _Customer, is_urgent: bool) -> None:
        match self._policy:
            case EqualSplit():
                return
            case Borrowing():
                pass
        state.last_round_s = now_s()
        wanted = self._wanted(state)
        peers = self._answering_peers(state)
        if wanted <= 0.0 or not peers or now_s() < state.hold_off_until_s:
            return
        if not is_urgent and state.bucket.share <= 0.0:
            # Hosts without a part need whole tokens seldom, and one lender usually has them.
            peers = (random.choice(peers),)
        part = wanted if is_urgent else wanted / len(peers)
        asks = [self._spawn(self._ask(state, peer, part, is_urgent)) for peer in peers]
        await asyncio.wait(asks, timeout=ROUND_S)

    def _answering_peers(self, state: _Customer) -> tuple[str, ...]:
        at_s = now_s()
        return tuple(
            peer
            for peer in self._lenders(state.name)
            if peer not in self._silent or self._silent[peer].until_s <= at_s
        )

    def _note_late(self, peer: str) -> None:
        # Tokens that a slow peer lends are lost, so asking it again at once would only drain it.
        _lengthen(self._silent, peer)

    def _wanted(self, state: _Customer) -> float:
        bucket = state.bucket
        bucket.advance(now_s())
        need = len(state.waiters) + self._ahead(state)
        return need + self._balanced_level(state, need) - bucket.total

    def _ahead(self, state: _Customer) -> float:
        demand_per_s = min(state.demand.rate_per_s(now_s()), state.bucket.limit.rate_per_s)
        excess_per_s = demand_per_s - state.bucket.generation_per_s
        ahead = excess_per_s * AHEAD_S
        # Less than a token cannot be spent and would only be kept from the lenders.
        return ahead if ahead >= 1.0 else 0.0

    def _keep_ahead(self, state: _Customer) -> None:
        ahead = self._ahead(state)
        state.bucket.absorb(self._balanced_level(state, ahead), now_s())
        self._give_back(state, ahead)

    def _give_back(self, state: _Customer, keep: float) -> None:
        self._counters.tokens("returned", state.bucket.give_back(keep, now_s()))
        self._schedule_report(state)

    async def _ask(self, state: _Customer, peer: str, wanted: float, is_urgent: bool) -> None:
        ask = state.asks.get(peer)
        if ask is None or ask.is_answered or now_s() - ask.sent_s > REPEAT_S:
            settled = state.bucket.take_reports(peer)
            is_final = state.bucket.share <= 0.0
            request = BorrowRequest(
                state.name, self._number(), wanted, is_urgent, settled, is_final
            )
            ask = _Ask(request, now_s())
            state.asks[peer] = ask
        remaining_s = ask.sent_s + LOAN_USABLE_S - now_s()
        try:
            answer = await self._link.request(peer, ask.request, remaining_s)
        except PeerUnreachable:
            if not ask.is_answered:
                ask.is_answered = True
                self._note_late(peer)
            return
        if not ask.is_answered:
            ask.is_answered = True
            self._accept(state, peer, ask, answer)

    def _accept(self, state: _Customer, peer: str, ask: _Ask, answer: BorrowAnswer) -> None:
        state.fullness[peer] = _Fullness(answer.fullness, now_s())
        if answer.amount > 0.0:
            expires_s = ask.sent_s + LOAN_USABLE_S
            if now_s() >= expires_s:
                self._note_late(peer)
            else:
                self._silent.pop(peer, None)
            state.bucket.borrow(
                peer, answer.loan, answer.amount, expires_s, now_s(), ask.request.is_final
            )
            self._counters.tokens("borrowed", answer.amount)
        self._serve(state)
        if state.rounds is None:
            self._keep_ahead(state)
        self._schedule_report(state)

    # Lending

    async def _lend(self, borrower: str, request: BorrowRequest) -> BorrowAnswer:
        state = self._customers.get(request.customer)
        if state is None:
            return _NO_LOAN
        self._check_pause(now_s())
        self._apply(state, borrower, request.settled)
        previous = state.answered.get(borrower)
        if previous is not None and now_s() - previous.at_s < LOAN_COUNTED_S:
            # A repeated ask gets the same loan; an overtaken one must not debit a second time.
            if request.ask == previous.ask:
                return previous.answer
            if request.ask < previous.ask:
                return _NO_LOAN
        answer = self._loan(state, borrower, request)
        state.answered[borrower] = _Answered(request.ask, answer, now_s())
        return answer

    def _loan(self, state: _Customer, borrower: str, request: BorrowRequest) -> BorrowAnswer:
        bucket = state.bucket
        bucket.advance(now_s())
        for peer in bucket.take_unreported():
            # A host that does not get loans in time would drain this one without any use.
            _lengthen(self._wasteful, peer)
        wasteful = self._wasteful.get(borrower)
        if not math.isfinite(request.wanted) or (wasteful and wasteful.until_s > now_s()):
            return _NO_LOAN
        amount = self._spare(state, borrower, request.is_urgent)
        if wasteful:
            amount *= PROBE_PART
        loan = self._number()
        amount = min(amount, request.wanted)
        lent = bucket.lend(borrower, loan, amount, now_s(), request.is_final)
        self._counters.tokens("lent", lent)
        return BorrowAnswer(loan if lent > 0.0 else 0, lent, bucket.fullness)

    def _spare(self, state: _Customer, borrower: str, is_urgent: bool) -> float:
        bucket = state.bucket
        state.prune()
        if state.waiters:
            if not self._must_yield(state, borrower):
                return 0.0
            state.hold_off_until_s = now_s() + WAIT_S
            self._give_back(state, 0.0)
            self._report(state)
            return bucket.level
        if is_urgent:
            self._give_back(state, 0.0)
            return bucket.level
        reserve = state.demand.rate_per_s(now_s()) * RESERVE_S
        return max(bucket.level - reserve, 0.0)

    def _must_yield(self, state: _Customer, borrower: str) -> bool:
        # With a burst of one token, two hosts that each collected half would both refuse. The
        # same host of the two wins at both ends. Hosts that generate enough need not yield.
        bucket = state.bucket
        if bucket.total + bucket.generation_per_s * WAIT_S >= 1.0:
            return False
        return rendezvous_order(state.name, (self._host, borrower))[0] == borrower

    def _settle(self, borrower: str, report: LoanReport) -> None:
        state = self._customers.get(report.customer)
        if state is not None:
            self._apply(state, borrower, report.settled)
            self._serve(state)

    def _apply(self, state: _Customer, borrower: str, settled: Sequence[LoanState]) -> None:
        for loan_state in settled:
            if not (math.isfinite(loan_state.remaining) and math.isfinite(loan_state.returned)):
                continue
            if state.bucket.settle(loan_state, now_s()):
                self._wasteful.pop(borrower, None)

    # Reports, ticks and tasks

    def _schedule_report(self, state: _Customer) -> None:
        if state.is_report_due or not state.bucket.lenders_to_tell():
            return
        state.is_report_due = True
        asyncio.get_running_loop().call_later(REPORT_DELAY_S, self._report, state)

    def _report(self, state: _Customer) -> None:
        state.is_report_due = False
        for lender in state.bucket.lenders_to_tell():
            report = LoanReport(state.name, state.bucket.take_reports(lender))
            self._spawn(self._link.send(lender, report))

    def _check_pause(self, at_s: float) -> None:
        if self._last_tick_s is None or at_s - self._last_tick_s <= PAUSE_S:
            return
        # Peers may have taken over this host's part of each rate in the meantime.
        self._last_tick_s = at_s
        _log.warning("This host did not run for more than {} s; its tokens are dropped.", PAUSE_S)
        if self._read_share is not None:
            self.set_share(0.0)
        for state in self._customers.values():
            self._counters.tokens("paused", state.bucket.total)
            state.bucket.void(at_s, at_s)

    def _tick(self) -> None:
        at_s = now_s()
        self._check_pause(at_s)
        self._last_tick_s = at_s
        if self._read_share is not None:
            self.set_share(self._read_share())
        if self._owned_since_s is not None and self._share > 0.0 and self._customers:
            for state in self._customers.values():
                state.bucket.generate_since(self._owned_since_s, at_s)
            self._owned_since_s = None
        for state in tuple(self._customers.values()):
            self._tidy(state, at_s)

    def _tidy(self, state: _Customer, at_s: float) -> None:
        bucket = state.bucket
        if not bucket.is_idle:
            bucket.advance(at_s)
            state.prune()
            if not state.waiters and state.rounds is None:
                self._keep_ahead(state)
                returned = bucket.give_back_expiring(at_s + RETURN_BEFORE_S, at_s)
                self._counters.tokens("returned", returned)
            self._schedule_report(state)
        if bucket.expired > 0.0:
            self._counters.tokens("expired", bucket.expired)
            bucket.expired = 0.0
        if state.is_removed and bucket.is_idle and state.rounds is None:
            del self._customers[state.name]

    def _number(self) -> int:
        self._next_number += 1
        return self._next_number

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
