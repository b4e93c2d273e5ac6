"""Distributed rate limiter: each host owns a share of a customer's tokens and borrows from peers.

A host spends only tokens that it holds, and every token exists once (escrow). Lost, duplicate and
late messages as well as failed and paused hosts can therefore destroy tokens but not create them.
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
    EPSILON_TOKENS,
    LOAN_COUNTED_S,
    LOAN_USABLE_S,
    NO_TOLERANCE,
    CustomerBucket,
    LoanState,
    RateLimit,
    RateTolerance,
)
from pistachiowinch.limits.counters import limit_counters
from pistachiowinch.limits.messages import BorrowAnswer, BorrowRequest, LoanReport
from pistachiowinch.limits.rate_owners import RateOwners
from pistachiowinch.links.peers import PeerLink, PeerUnreachable

__all__ = ["Borrowing", "EqualSplit", "RateEscrow", "RateLimit", "RatePolicy"]

# A request waits at most this long for a borrowed or generated token.
MAX_WAIT_S = 0.25
# Tolerated shortfall from the balanced level, as the time in which the whole rate generates it.
IMBALANCE_TOLERANCE_S = 0.025
# A borrowing round waits this long for the peers; later answers are still used.
ROUND_TIMEOUT_S = 0.01
# Pauses between the rounds of one shortage double up to the maximum, so that a customer over its
# rate costs at most 50 rounds per second.
FIRST_ROUND_PAUSE_S = 0.002
MAX_ROUND_PAUSE_S = 0.02
# Requests of a customer for whom no peer could lend tokens are refused at once for this long.
EXHAUSTED_BACKOFF_S = 0.1
# While a customer asks for more than its rate, a host without a share of it asks one owner at this
# interval for the tokens of all requests until the next time, and refuses the others at once.
# Otherwise rounds of many hosts for each request would keep the owners busy.
SCARCE_ROUND_INTERVAL_S = 0.15
SCARCE_ROUND_JITTER = 1.0 / 3.0
# Time after the last shortage in which a customer counts as asking for more than its rate.
SCARCE_RETENTION_S = 1.0
# A round that starts this long before the end of a wait can still obtain tokens: twice the longest
# round trip within a site.
FINAL_ROUND_LEAD_S = 0.003
# Without a minimum, rounding errors could make the loop of rounds spin.
MIN_ROUND_PAUSE_S = 0.0005
# Tokens for this much time of the recent demand are borrowed in advance.
PREFETCH_S = 0.025
# A lender keeps tokens for this much time of its own recent demand.
LENDER_RESERVE_S = 0.05
# Time constant of the demand estimate.
DEMAND_TIME_CONSTANT_S = 1.0
# An unanswered borrow request is retried with the same number for this long, which is shorter than
# LOAN_USABLE_S so that the loan can still be spent.
RETRY_WINDOW_S = 0.2
# Loan reports are delayed by this time, because a borrow request often follows and carries them.
REPORT_DELAY_S = 0.005
# Minimum time between rounds that refill the bucket while no request waits.
MIN_REFILL_INTERVAL_S = 0.05
# A peer that did not answer in time gets no borrow request for this long, doubled each time.
FIRST_BACKOFF_S = 0.4
MAX_BACKOFF_S = 1.6
# After its backoff, a borrower without reports is lent this fraction until it reports in time.
PROBE_LOAN_FRACTION = 0.1
TICK_INTERVAL_S = 0.1
# Unspent loans are returned this long before they expire; more than one tick, to miss none.
RETURN_LEAD_S = 0.15
# Part of the tolerance that one start of all hosts may use. A customer that waited for them has a
# full burst, but how long they were gone is not known.
START_TOLERANCE_FRACTION = 0.5
# A host that did not run for longer may have lost its share of each rate to other hosts.
PAUSE_THRESHOLD_S = 1.0

_NO_LOAN = BorrowAnswer(0, 0.0, 0.0)
_log = part_logger("rates")


@dataclass(frozen=True)
class Borrowing:
    """Policy: hosts lend tokens to each other."""


@dataclass(frozen=True)
class EqualSplit:
    """Baseline: each host uses only its own share."""


RatePolicy = Borrowing | EqualSplit


class _DemandEstimate:
    """Requests per second, as an average with exponential decay."""

    __slots__ = ("_rate_per_s", "_updated_s")

    def __init__(self, now_s: float) -> None:
        self._rate_per_s = 0.0
        self._updated_s = now_s

    def add(self, now_s: float) -> None:
        self._rate_per_s = self.rate_per_s(now_s) + 1.0 / DEMAND_TIME_CONSTANT_S
        self._updated_s = now_s

    def rate_per_s(self, now_s: float) -> float:
        return self._rate_per_s * math.exp((self._updated_s - now_s) / DEMAND_TIME_CONSTANT_S)


class _PendingBorrow:
    __slots__ = ("is_answered", "request", "sent_s")

    def __init__(self, request: BorrowRequest, sent_s: float) -> None:
        self.request = request
        self.sent_s = sent_s
        self.is_answered = False


class _LastAnswer(NamedTuple):
    number: int
    answer: BorrowAnswer
    answered_s: float


class _Backoff(NamedTuple):
    """Time until which a peer gets no requests or no loans, because loans arrived too late."""

    until_s: float
    duration_s: float


def _extend_backoff(backoffs: dict[str, _Backoff], peer: str) -> None:
    known = backoffs.get(peer)
    duration_s = FIRST_BACKOFF_S if known is None else min(2.0 * known.duration_s, MAX_BACKOFF_S)
    if known is None or known.until_s <= now_s():
        backoffs[peer] = _Backoff(now_s() + duration_s, duration_s)


class _PeerFillRatio(NamedTuple):
    ratio: float
    reported_s: float


class _CustomerState:
    """State of one customer at this host."""

    def __init__(self, name: str, bucket: CustomerBucket, now_s: float) -> None:
        self.name = name
        self.bucket = bucket
        self.demand = _DemandEstimate(now_s)
        self.waiters: deque[asyncio.Future] = deque()
        self.waiter_deadlines_s: deque[float] = deque()
        self.pending_borrows: dict[str, _PendingBorrow] = {}
        self.last_answers: dict[str, _LastAnswer] = {}
        self.peer_fill_ratios: dict[str, _PeerFillRatio] = {}
        self.rounds_task: asyncio.Task | None = None
        self.last_round_s = -math.inf
        self.no_borrowing_until_s = -math.inf
        self.exhausted_until_s = -math.inf
        self.scarce_until_s = -math.inf
        self.is_report_due = False
        self.is_refill_due = False
        self.is_removed = False

    def add_waiter(self, waiter: asyncio.Future, deadline_s: float) -> None:
        self.waiters.append(waiter)
        self.waiter_deadlines_s.append(deadline_s)

    def pop_waiter(self) -> asyncio.Future:
        self.waiter_deadlines_s.popleft()
        return self.waiters.popleft()

    def remove_done_waiters(self) -> None:
        while self.waiters and self.waiters[0].done():
            self.pop_waiter()


class RateEscrow:
    """Rate limiter with this host's shares of all customers' rates.

    :param host: this host's name.
    :param link: link to the peers.
    :param metrics: counters of refusals and tokens.
    :param policy: :class:`Borrowing`, or the baseline :class:`EqualSplit`.
    :param read_share: returns the current share, called every 0.1 s by :meth:`run`; None if the
        caller uses only :meth:`set_share`.
    :param owners: the hosts that own shares of each customer's rate; None if this host has the
        same share of all rates.
    :param tolerance: requests above a limit that operators accept.
    """

    def __init__(
        self,
        host: str,
        link: PeerLink,
        metrics: Metrics | None = None,
        policy: RatePolicy | None = None,
        read_share: Callable[[], float] | None = None,
        owners: RateOwners | None = None,
        tolerance: RateTolerance = NO_TOLERANCE,
    ) -> None:
        """Create a rate limiter without customers, share or peers."""
        self._host = host
        self._link = link
        self._counters = limit_counters(metrics or Metrics())
        self._policy = policy or Borrowing()
        self._read_share = read_share
        self._owners = owners
        self._tolerance = tolerance
        self._share = 0.0
        self._peers: tuple[str, ...] = ()
        self._customers: dict[str, _CustomerState] = {}
        # Borrowers may still spend tokens that a previous run of this host has lent.
        self._generate_from_s = now_s() + LOAN_COUNTED_S
        self._borrow_backoffs: dict[str, _Backoff] = {}
        self._lend_backoffs: dict[str, _Backoff] = {}
        self._last_tick_s: float | None = None
        self._resumed_since_s: float | None = None
        self._tasks: set[asyncio.Task] = set()
        # The random start keeps numbers different from those of a previous run.
        self._next_number = random.SystemRandom().getrandbits(46) | 1 << 46
        link.on_request(BorrowRequest, BorrowAnswer, self._on_borrow_request)
        link.on_message(LoanReport, self._on_loan_report)

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
        """Set the fraction of each rate and burst that belongs to this host.

        :param share: from 0 (this host may not generate tokens) to 1.
        :raises ValueError: if the share is outside that range.
        """
        if not 0.0 <= share <= 1.0:
            raise ValueError(f"the share must be from 0 to 1, not {share}")
        if share == self._share:
            return
        self._share = share
        self.update_shares()

    def resume(self, since_s: float) -> None:
        """Credit the tokens that this host's shares would have generated since a time.

        No other host has generated tokens from these shares since the previous run ended, and the
        tokens of that run are gone. What they generated between the two runs is not known, so that
        a part of the tolerance is credited for it.

        :param since_s: loop time at which this run was started.
        """
        self._resumed_since_s = since_s

    def set_peers(self, peers: Sequence[str]) -> None:
        """Set the hosts from which tokens are borrowed.

        :param peers: the site's other hosts, preferably without suspected ones; this host is
            ignored.
        """
        self._peers = tuple(peer for peer in peers if peer != self._host)

    def try_acquire(self, customer: str) -> bool:
        """Spend one token of a customer if one is available without waiting.

        :param customer: the customer's name.
        :returns: whether a token was spent; if not, call :meth:`acquire`.
        """
        state = self._customers.get(customer)
        if state is None or state.is_removed:
            return False
        arrived_s = now_s()
        self._check_pause(arrived_s)
        state.remove_done_waiters()
        if state.waiters or not state.bucket.try_take(arrived_s):
            return False
        # A failed attempt is counted by acquire, which follows it.
        state.demand.add(arrived_s)
        self._refill(state, arrived_s)
        return True

    async def acquire(self, customer: str, deadline_s: float) -> Result[None, Refusal]:
        """Spend one token of a customer, waiting for it if necessary.

        :param customer: the customer's name.
        :param deadline_s: loop time after which the caller no longer needs the token.
        :returns: a success, or a refusal with ``RATE_EXCEEDED``.
        """
        if self.try_acquire(customer):
            return Success(None)
        state = self._customers.get(customer)
        if state is None or state.is_removed:
            return self._refuse("the customer has no rate")
        arrived_s = now_s()
        state.demand.add(arrived_s)
        if len(state.waiters) >= self._max_waiters(state):
            return self._refuse("too many requests already wait for the rate")
        if arrived_s < state.exhausted_until_s and not self._can_generate_in_time(
            state, deadline_s
        ):
            return self._refuse("the customer has spent its rate on all hosts")
        return await self._wait(state, min(arrived_s + MAX_WAIT_S, deadline_s))

    def refund(self, customer: str) -> None:
        """Put back a token that was spent for a request which reached no target."""
        state = self._customers.get(customer)
        if state is not None and not state.is_removed:
            state.bucket.refund(now_s())
            self._grant_waiting(state)

    async def return_loans(self) -> None:
        """Return all borrowed tokens to their lenders, before a planned stop."""
        for state in self._customers.values():
            self._return_borrowed(state, 0.0)
            self._send_reports(state)
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def run(self) -> None:
        """Check for pauses, read the share and report loans until cancelled."""
        try:
            while True:
                self._tick()
                await sleep_s(TICK_INTERVAL_S)
        finally:
            self._last_tick_s = None
            for task in tuple(self._tasks):
                task.cancel()

    def refresh(self) -> None:
        """Read the share now and credit resumed tokens, instead of at the next check."""
        if self._last_tick_s is not None:
            self._tick()

    # Customers

    def _set_limit(self, customer: str, limit: RateLimit) -> None:
        state = self._customers.get(customer)
        if state is None:
            share = self._share_of(customer)
            bucket = CustomerBucket(limit, share, now_s(), self._generate_from_s)
            self._customers[customer] = _CustomerState(customer, bucket, now_s())
            return
        state.is_removed = False
        if limit != state.bucket.limit:
            state.bucket.configure(limit, self._share_of(customer), now_s())

    def _share_of(self, customer: str) -> float:
        """Return this host's share of a customer's rate."""
        return (
            self._share if self._owners is None else self._share * self._owners.share_of(customer)
        )

    def update_shares(self) -> None:
        """Recompute this host's share of each rate after the share or the owners have changed."""
        for customer, state in self._customers.items():
            share = self._share_of(customer)
            if share != state.bucket.share:
                state.bucket.configure(state.bucket.limit, share, now_s())

    def _lenders(self, customer: str) -> tuple[str, ...]:
        """Return the other hosts that own shares of a customer's rate."""
        if self._owners is None:
            return self._peers
        return tuple(host for host in self._owners.owners_of(customer) if host != self._host)

    def _remove(self, state: _CustomerState) -> None:
        # The state is kept until its loans have expired: a customer that is added again must not
        # start with a full share while borrowers can still spend lent tokens.
        state.is_removed = True
        state.bucket.configure(RateLimit(0.0, 0.0), state.bucket.share, now_s())
        self._refuse_waiting(state)

    def _max_waiters(self, state: _CustomerState) -> int:
        # The whole site cannot provide tokens in time for more requests.
        limit = state.bucket.limit
        return math.ceil(limit.burst + limit.rate_per_s * MAX_WAIT_S) + 1

    def _can_generate_in_time(self, state: _CustomerState, deadline_s: float) -> bool:
        """Tell whether this host's share generates a token for one more request in time."""
        wait_s = min(MAX_WAIT_S, deadline_s - now_s())
        return state.bucket.generation_per_s * wait_s >= len(state.waiters) + 1

    # Waiting requests

    async def _wait(self, state: _CustomerState, deadline_s: float) -> Result[None, Refusal]:
        waiter = asyncio.get_running_loop().create_future()
        state.add_waiter(waiter, deadline_s)
        self._start_rounds(state)
        granted_s = None
        try:
            async with asyncio.timeout_at(deadline_s):
                granted_s = await waiter
        except TimeoutError:
            if waiter.done() and not waiter.cancelled():
                granted_s = waiter.result()
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                # A refund could exceed the burst, because tokens may have been generated since.
                self._counters.count_tokens("discarded", 1.0)
            raise
        if granted_s is None:
            return self._refuse("no token became available in time")
        if now_s() - granted_s > MAX_WAIT_S:
            # The host was paused after the grant; others may have generated the token again.
            self._counters.count_tokens("discarded", 1.0)
            return self._refuse("the host was paused")
        return Success(None)

    def _grant_waiting(self, state: _CustomerState) -> bool:
        """Grant tokens to waiting requests in order.

        :returns: whether requests still wait.
        """
        state.remove_done_waiters()
        while state.waiters and state.bucket.try_take(now_s()):
            state.pop_waiter().set_result(now_s())
            state.remove_done_waiters()
        return bool(state.waiters)

    def _refuse(self, detail: str) -> Result[None, Refusal]:
        return Failure(self._counters.refuse(RATE_EXCEEDED, detail))

    # Borrowing

    def _refill(self, state: _CustomerState, at_s: float) -> None:
        """Start borrowing if this host's bucket is much emptier than those of its peers.

        Otherwise the full buckets of the peers would drop the tokens that they generate, and a
        customer that then uses its whole burst would not get all of it. A small difference is
        compensated by the tokens that are generated while a request waits.
        """
        if state.is_refill_due or not self._is_unbalanced(state):
            return
        wait_s = state.last_round_s + MIN_REFILL_INTERVAL_S - at_s
        if wait_s <= 0.0:
            self._start_rounds(state)
            return
        # Without a later check, the buckets would stay unequal until the next request.
        state.is_refill_due = True
        asyncio.get_running_loop().call_later(wait_s, self._refill_after_delay, state)

    def _refill_after_delay(self, state: _CustomerState) -> None:
        state.is_refill_due = False
        if not state.is_removed and self._is_unbalanced(state):
            self._start_rounds(state)

    def _is_unbalanced(self, state: _CustomerState) -> bool:
        bucket = state.bucket
        tolerance = bucket.limit.rate_per_s * IMBALANCE_TOLERANCE_S
        spendable = bucket.spendable
        # Peers are at most full, so a nearly full bucket needs no comparison with each of them.
        if bucket.capacity - spendable <= tolerance:
            return False
        return self._balanced_level(state, 0.0) - spendable > tolerance

    def _balanced_level(self, state: _CustomerState, spent: float) -> float:
        """Return the level of equally full hosts after ``spent`` tokens are spent here.

        A full host drops the tokens that it generates while its peers are still empty.
        """
        bucket = state.bucket
        limit = bucket.limit
        if limit.burst <= 0.0:
            return 0.0
        site_tokens = bucket.spendable - spent
        lenders = self._lenders(state.name)
        for peer in lenders:
            known = state.peer_fill_ratios.get(peer)
            ratio = 1.0
            if known is not None:
                elapsed_s = now_s() - known.reported_s
                ratio = min(known.ratio + elapsed_s * limit.rate_per_s / limit.burst, 1.0)
            site_tokens += ratio * bucket.capacity
        return max(site_tokens / (len(lenders) + 1), 0.0)

    def _start_rounds(self, state: _CustomerState) -> None:
        if state.rounds_task is None:
            state.rounds_task = self._spawn(self._run_rounds(state))

    async def _run_rounds(self, state: _CustomerState) -> None:
        pause_s = FIRST_ROUND_PAUSE_S
        is_urgent = False
        try:
            while True:
                await self._run_round(state, is_urgent)
                is_waiting = self._grant_waiting(state)
                if self._is_scarce(state, is_urgent and is_waiting):
                    self._refuse_waiting(state)
                    break
                if not is_waiting:
                    break
                if is_urgent:
                    # Even the reserves of the peers did not suffice.
                    state.exhausted_until_s = now_s() + EXHAUSTED_BACKOFF_S
                is_urgent = True
                await sleep_s(self._round_pause_s(state, pause_s))
                pause_s = min(2.0 * pause_s, MAX_ROUND_PAUSE_S)
                if not self._grant_waiting(state):
                    break
            if self._is_unbalanced(state):
                # Requests that arrived meanwhile have spent tokens borrowed for balance.
                await self._run_round(state, False)
                self._grant_waiting(state)
            self._return_surplus(state)
        finally:
            state.rounds_task = None
        if self._grant_waiting(state):
            self._start_rounds(state)

    def _is_scarce(self, state: _CustomerState, is_short: bool = False) -> bool:
        """Whether the customer lately asked for more than all hosts had, also at this host.

        Requests that arrive less often than rounds are due start few rounds in any case.

        :param is_short: whether all hosts have too few tokens now.
        """
        per_round = state.demand.rate_per_s(now_s()) * SCARCE_ROUND_INTERVAL_S
        if state.bucket.share > 0.0 or per_round < 1.0:
            return False
        if is_short:
            state.scarce_until_s = now_s() + SCARCE_RETENTION_S
        return now_s() < state.scarce_until_s

    def _refuse_waiting(self, state: _CustomerState) -> None:
        """Refuse the waiting requests at once, and new ones until the next round is due."""
        jitter = random.uniform(1.0 - SCARCE_ROUND_JITTER, 1.0 + SCARCE_ROUND_JITTER)
        state.exhausted_until_s = now_s() + SCARCE_ROUND_INTERVAL_S * jitter
        if state.waiters:
            state.scarce_until_s = now_s() + SCARCE_RETENTION_S
        while state.waiters:
            waiter = state.pop_waiter()
            if not waiter.done():
                waiter.set_result(None)

    def _round_pause_s(self, state: _CustomerState, min_pause_s: float) -> float:
        """Return the time until the next round can be expected to obtain tokens."""
        bucket = state.bucket
        missing = 1.0 - bucket.spendable
        own_s = missing / bucket.generation_per_s if bucket.generation_per_s > 0.0 else math.inf
        rate_per_s = bucket.limit.rate_per_s
        site_s = missing / rate_per_s if rate_per_s > 0.0 else math.inf
        pause_s = min(max(site_s, min_pause_s), own_s)
        # One more round shortly before the first waiting request times out.
        until_final_round_s = (
            state.waiter_deadlines_s[0] - FINAL_ROUND_LEAD_S - now_s()
            if state.waiter_deadlines_s
            else 0.0
        )
        if 0.0 < until_final_round_s < pause_s:
            pause_s = until_final_round_s
        return min(max(pause_s, MIN_ROUND_PAUSE_S), MAX_ROUND_PAUSE_S)

    async def _run_round(self, state: _CustomerState, is_urgent: bool) -> None:
        match self._policy:
            case EqualSplit():
                return
            case Borrowing():
                pass
        state.last_round_s = now_s()
        wanted = self._tokens_wanted(state)
        peers = self._available_lenders(state)
        if wanted <= 0.0 or not peers or now_s() < state.no_borrowing_until_s:
            return
        if not is_urgent and state.bucket.share <= 0.0:
            # A host without a share seldom needs a token, and a single lender usually has it.
            peers = (random.choice(peers),)
        wanted_per_peer = wanted if is_urgent else wanted / len(peers)
        tasks = [
            self._spawn(self._borrow_from(state, peer, wanted_per_peer, is_urgent))
            for peer in peers
        ]
        await asyncio.wait(tasks, timeout=ROUND_TIMEOUT_S)

    def _available_lenders(self, state: _CustomerState) -> tuple[str, ...]:
        at_s = now_s()
        return tuple(
            peer
            for peer in self._lenders(state.name)
            if peer not in self._borrow_backoffs or self._borrow_backoffs[peer].until_s <= at_s
        )

    def _back_off_from(self, peer: str) -> None:
        # Loans of a slow peer arrive too late to be spent, so further requests would only drain it.
        _extend_backoff(self._borrow_backoffs, peer)

    def _tokens_wanted(self, state: _CustomerState) -> float:
        bucket = state.bucket
        bucket.advance(now_s())
        needed = len(state.waiters) + self._prefetch_tokens(state)
        return needed + self._balanced_level(state, needed) - bucket.spendable

    def _prefetch_tokens(self, state: _CustomerState) -> float:
        demand_per_s = min(state.demand.rate_per_s(now_s()), state.bucket.limit.rate_per_s)
        excess_per_s = demand_per_s - state.bucket.generation_per_s
        horizon_s = PREFETCH_S
        if self._is_scarce(state):
            horizon_s = SCARCE_ROUND_INTERVAL_S
        tokens = excess_per_s * horizon_s
        # Less than one token cannot be spent, but would be missing at the lenders.
        return tokens if tokens >= 1.0 else 0.0

    def _return_surplus(self, state: _CustomerState) -> None:
        prefetch = self._prefetch_tokens(state)
        state.bucket.convert_borrowed(self._balanced_level(state, prefetch), now_s())
        self._return_borrowed(state, prefetch)

    def _return_borrowed(self, state: _CustomerState, keep: float) -> None:
        self._counters.count_tokens("returned", state.bucket.return_surplus(keep, now_s()))
        self._schedule_report(state)

    async def _borrow_from(
        self, state: _CustomerState, peer: str, wanted: float, is_urgent: bool
    ) -> None:
        pending = state.pending_borrows.get(peer)
        if pending is None or pending.is_answered or now_s() - pending.sent_s > RETRY_WINDOW_S:
            loan_reports = state.bucket.take_reports(peer)
            is_report_optional = state.bucket.share <= 0.0
            request = BorrowRequest(
                state.name, self._new_number(), wanted, is_urgent, loan_reports, is_report_optional
            )
            pending = _PendingBorrow(request, now_s())
            state.pending_borrows[peer] = pending
        remaining_s = pending.sent_s + LOAN_USABLE_S - now_s()
        try:
            answer = await self._link.request(peer, pending.request, remaining_s)
        except PeerUnreachable:
            if not pending.is_answered:
                pending.is_answered = True
                self._back_off_from(peer)
            return
        if not pending.is_answered:
            pending.is_answered = True
            self._accept_answer(state, peer, pending, answer)

    def _accept_answer(
        self, state: _CustomerState, peer: str, pending: _PendingBorrow, answer: BorrowAnswer
    ) -> None:
        state.peer_fill_ratios[peer] = _PeerFillRatio(answer.fill_ratio, now_s())
        if answer.amount > 0.0:
            expires_s = pending.sent_s + LOAN_USABLE_S
            if now_s() >= expires_s:
                self._back_off_from(peer)
            else:
                self._borrow_backoffs.pop(peer, None)
            state.bucket.borrow(
                peer,
                answer.loan,
                answer.amount,
                expires_s,
                now_s(),
                pending.request.is_report_optional,
            )
            self._counters.count_tokens("borrowed", answer.amount)
        self._grant_waiting(state)
        if state.rounds_task is None:
            self._return_surplus(state)
        self._schedule_report(state)

    # Lending

    async def _on_borrow_request(self, borrower: str, request: BorrowRequest) -> BorrowAnswer:
        state = self._customers.get(request.customer)
        if state is None:
            return _NO_LOAN
        self._check_pause(now_s())
        self._apply_reports(state, borrower, request.loan_reports)
        previous = state.last_answers.get(borrower)
        if previous is not None and now_s() - previous.answered_s < LOAN_COUNTED_S:
            # A retry gets the same answer; a reordered older request must not debit a second time.
            if request.number == previous.number:
                return previous.answer
            if request.number < previous.number:
                return _NO_LOAN
        answer = self._make_loan(state, borrower, request)
        state.last_answers[borrower] = _LastAnswer(request.number, answer, now_s())
        return answer

    def _make_loan(
        self, state: _CustomerState, borrower: str, request: BorrowRequest
    ) -> BorrowAnswer:
        bucket = state.bucket
        bucket.advance(now_s())
        for peer in bucket.take_unreported_borrowers():
            # A host that receives loans too late would drain this host without spending the tokens.
            _extend_backoff(self._lend_backoffs, peer)
        backoff = self._lend_backoffs.get(borrower)
        if not math.isfinite(request.wanted) or (backoff and backoff.until_s > now_s()):
            return _NO_LOAN
        amount = self._lendable_tokens(state, borrower, request.is_urgent)
        if backoff:
            amount *= PROBE_LOAN_FRACTION
        loan = self._new_number()
        amount = min(amount, request.wanted)
        if request.is_report_optional and amount > 1.0:
            # The borrower owns no share that would complete a fraction of a token.
            amount = math.floor(amount + EPSILON_TOKENS)
        lent = bucket.lend(borrower, loan, amount, now_s(), request.is_report_optional)
        self._counters.count_tokens("lent", lent)
        return BorrowAnswer(loan if lent > 0.0 else 0, lent, bucket.fill_ratio)

    def _lendable_tokens(self, state: _CustomerState, borrower: str, is_urgent: bool) -> float:
        bucket = state.bucket
        state.remove_done_waiters()
        if state.waiters:
            if not self._must_yield(state, borrower):
                return 0.0
            state.no_borrowing_until_s = now_s() + MAX_WAIT_S
            self._return_borrowed(state, 0.0)
            self._send_reports(state)
            return bucket.level
        if is_urgent:
            self._return_borrowed(state, 0.0)
            return bucket.level
        reserve = state.demand.rate_per_s(now_s()) * LENDER_RESERVE_S
        return max(bucket.level - reserve, 0.0)

    def _must_yield(self, state: _CustomerState, borrower: str) -> bool:
        # With a burst of one token, two hosts that hold one half each would both refuse. Both
        # compute the same winner. A host that generates enough in time need not yield.
        bucket = state.bucket
        if bucket.spendable + bucket.generation_per_s * MAX_WAIT_S >= 1.0:
            return False
        return rendezvous_order(state.name, (self._host, borrower))[0] == borrower

    def _on_loan_report(self, borrower: str, report: LoanReport) -> None:
        state = self._customers.get(report.customer)
        if state is not None:
            self._apply_reports(state, borrower, report.loan_reports)
            self._grant_waiting(state)

    def _apply_reports(
        self, state: _CustomerState, borrower: str, loan_reports: Sequence[LoanState]
    ) -> None:
        for loan_report in loan_reports:
            if not (math.isfinite(loan_report.remaining) and math.isfinite(loan_report.returned)):
                continue
            if state.bucket.apply_report(loan_report, now_s()):
                self._lend_backoffs.pop(borrower, None)

    # Reports, ticks and tasks

    def _schedule_report(self, state: _CustomerState) -> None:
        if state.is_report_due or not state.bucket.lenders_with_reports():
            return
        state.is_report_due = True
        asyncio.get_running_loop().call_later(REPORT_DELAY_S, self._send_reports, state)

    def _send_reports(self, state: _CustomerState) -> None:
        state.is_report_due = False
        for lender in state.bucket.lenders_with_reports():
            report = LoanReport(state.name, state.bucket.take_reports(lender))
            self._spawn(self._link.send(lender, report))

    def _check_pause(self, at_s: float) -> None:
        if self._last_tick_s is None or at_s - self._last_tick_s <= PAUSE_THRESHOLD_S:
            return
        # Peers may have taken over this host's share of each rate in the meantime.
        self._last_tick_s = at_s
        _log.warning(
            "This host did not run for more than {} s; its tokens are dropped.", PAUSE_THRESHOLD_S
        )
        if self._read_share is not None:
            self.set_share(0.0)
        for state in self._customers.values():
            self._counters.count_tokens("paused", state.bucket.spendable)
            state.bucket.clear(at_s, at_s)

    def _tick(self) -> None:
        at_s = now_s()
        self._check_pause(at_s)
        self._last_tick_s = at_s
        if self._read_share is not None:
            self.set_share(self._read_share())
        if self._resumed_since_s is not None and self._share > 0.0 and self._customers:
            for state in self._customers.values():
                more = self._tolerance.tokens(state.bucket.limit) * START_TOLERANCE_FRACTION
                state.bucket.generate_since(self._resumed_since_s, at_s, more)
            self._resumed_since_s = None
        for state in tuple(self._customers.values()):
            self._maintain(state, at_s)

    def _maintain(self, state: _CustomerState, at_s: float) -> None:
        bucket = state.bucket
        if not bucket.is_idle:
            bucket.advance(at_s)
            state.remove_done_waiters()
            if not state.waiters and state.rounds_task is None:
                self._return_surplus(state)
                returned = bucket.return_expiring(at_s + RETURN_LEAD_S, at_s)
                self._counters.count_tokens("returned", returned)
            self._schedule_report(state)
        if bucket.expired_tokens > 0.0:
            self._counters.count_tokens("expired", bucket.expired_tokens)
            bucket.expired_tokens = 0.0
        if state.is_removed and bucket.is_idle and state.rounds_task is None:
            del self._customers[state.name]

    def _new_number(self) -> int:
        self._next_number += 1
        return self._next_number

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
