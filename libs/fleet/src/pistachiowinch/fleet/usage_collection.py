"""Exchange of usage counts between the hosts: each answers for itself, one collects them all.

The collecting host names a window by the age of its start and its end, so the others need no
agreed time. It asks each host once for a window, and again only while no answer arrives. An answer
replaces an earlier one of the same run, so repeated and late answers add nothing.

Failures: a run that is killed loses its requests since the last collection, at most those of one
window and of the time until the collection. A run that ends as planned hands its counts over first.
A host that is cut off is asked again until a part of the time in which the report is due has
passed; after that its share is missing from the report.
"""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import msgspec

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.base.identity import HostIdentity
from pistachiowinch.fleet.agreed_time import AgreedTime, ClockReading, SteadyTimeOfDay
from pistachiowinch.fleet.usage_counts import UsageCounts
from pistachiowinch.fleet.usage_messages import (
    UsageAnswer,
    UsageHandover,
    UsageHandoverAnswer,
    UsageRequest,
)
from pistachiowinch.links.peers import PeerLink, PeerUnreachable

__all__ = ["CollectedUsage", "UsageCollector", "UsageMembers"]

# Asks for no window, only for the time of day.
NO_WINDOW = -1
# An answer over an idle link takes milliseconds, and one over a connection that has to be opened
# again half a second.
ANSWER_TIMEOUT_S = 0.7
# Pause before a host without an answer is asked again.
ASK_AGAIN_S = 0.3
# A host that stops sends its counts to the hosts that may collect them, and does not wait longer.
HANDOVER_TIMEOUT_S = 0.2
MAX_HANDOVER_HOSTS = 5
# Windows in a handover: the current one, and those that may not be collected yet.
HANDOVER_WINDOWS = 3
# Handed over windows that are kept; more than all hosts of a fleet hand over at once.
MAX_KEPT_HANDOVERS = 2048
# More customers than a deployment has; bounds the memory for a malformed answer.
MAX_CUSTOMERS = 10_000


class UsageMembers(NamedTuple):
    """The hosts of the fleet.

    :param names: all members.
    :param absent: members without a lease, which are not waited for.
    """

    names: frozenset[str]
    absent: frozenset[str]


class CollectedUsage(NamedTuple):
    """Counts of one window.

    :param missing: hosts that did not answer.
    """

    counts: dict[str, int]
    missing: tuple[str, ...]


class UsageCollector:
    """One host's side of the exchange, which answers and can collect.

    :param identity: this host.
    :param link: messages to the peers.
    :param counts: requests of this host.
    :param window_s: length of a window.
    :param members: returns the hosts of the fleet.
    :param log: receives this part's decisions.
    :param read_clock_s: returns the machine's time of day in seconds since the epoch.
    :ivar agreed: the agreed time, while this host collects.
    """

    def __init__(
        self,
        identity: HostIdentity,
        link: PeerLink,
        counts: UsageCounts,
        window_s: float,
        members: Callable[[], UsageMembers],
        log: DecisionLog,
        read_clock_s: Callable[[], float] = time.time,
    ) -> None:
        """Register the request handlers."""
        self._identity = identity
        self._link = link
        self._counts = counts
        self._window_s = window_s
        self._members = members
        self._log = log
        self._time_of_day = SteadyTimeOfDay(read_clock_s)
        self._handed_over: OrderedDict[tuple[str, int, int], dict[str, int]] = OrderedDict()
        # Loop time of the epoch, agreed here or learned from the last request.
        self._known_epoch_s: float | None = None
        self.agreed = AgreedTime()
        link.on_request(UsageRequest, UsageAnswer, self._on_request)
        link.on_request(UsageHandover, UsageHandoverAnswer, self._on_handover)

    def span_s(self, window: int) -> tuple[float, float]:
        """Return the loop times of a window's start and end by the agreed time."""
        start_s = self.agreed.loop_s(window * self._window_s)
        return start_s, start_s + self._window_s

    def window_at(self, loop_s: float) -> int:
        """Return the window of a loop time by the agreed time."""
        return int(self.agreed.time_of_day_s(loop_s) // self._window_s)

    async def agree(self) -> bool:
        """Ask all hosts for their time of day; return whether the hosts have agreed."""
        hosts = self._members().names
        answers = await self._ask(hosts - {self._identity.host}, lambda: (NO_WINDOW, 0, 0))
        self._agree(answers)
        return self.agreed.epoch_s is not None

    async def collect(self, window: int, until_s: float) -> CollectedUsage:
        """Collect the counts of a window from all hosts.

        :param until_s: loop time at which hosts without an answer are given up.
        """
        start_s, end_s = self.span_s(window)

        def request() -> tuple[int, int, int]:
            return window, _age_ms(start_s), _age_ms(end_s)

        answers: dict[str, tuple[UsageAnswer, ClockReading]] = {}
        while True:
            members = self._members()
            own = self._identity.host
            missing = members.names - answers.keys() - {own}
            answers |= await self._ask(missing, request)
            missing -= answers.keys()
            if not missing - members.absent or now_s() >= until_s:
                break
            await sleep_s(ASK_AGAIN_S)
        # Before the agreed time moves: the own counts are those of the span that was asked for.
        by_run = {
            (host, run): counts
            for (host, run, handed), counts in self._handed_over.items()
            if handed == window
        }
        by_run |= {(host, a.run): a.counts for host, (a, _) in answers.items()}
        by_run[own, self._identity.incarnation] = self._counts.between(start_s, end_s)
        self._agree(answers)
        return CollectedUsage(_total(by_run), tuple(sorted(missing)))

    async def hand_over(self, hosts: Iterable[str]) -> None:
        """Give the counts of this run to the hosts that may collect them, before it ends.

        :param hosts: the collecting host first.
        """
        if self._known_epoch_s is None:
            self._log.write("usage_not_handed_over", cause="no host has asked for counts")
            return
        receivers = [host for host in hosts if host != self._identity.host][:MAX_HANDOVER_HOSTS]
        current = int((now_s() - self._known_epoch_s) // self._window_s)
        windows = []
        for window in range(current - HANDOVER_WINDOWS + 1, current + 1):
            start_s = self._known_epoch_s + window * self._window_s
            counts = self._counts.between(start_s, start_s + self._window_s)
            windows.append((window, counts))
        message = UsageHandover(self._identity.incarnation, tuple(windows))
        answers = await asyncio.gather(
            *(self._request(host, message, HANDOVER_TIMEOUT_S) for host in receivers)
        )
        kept = [host for host, a in zip(receivers, answers, strict=True) if a and a.is_kept]
        self._log.write("usage_handed_over", window=current, asked=receivers, kept=kept)

    async def _ask(
        self, hosts: frozenset[str], request: Callable[[], tuple[int, int, int]]
    ) -> dict[str, tuple[UsageAnswer, ClockReading]]:
        """Ask hosts for their counts; return the answers of those that gave a valid one."""

        async def ask(host: str) -> tuple[str, UsageAnswer, ClockReading] | None:
            window, started_ms_ago, ended_ms_ago = request()
            sent_s = now_s()
            message = UsageRequest(window, started_ms_ago, ended_ms_ago)
            answer = await self._request(host, message, ANSWER_TIMEOUT_S)
            if answer is None or not self._is_valid(host, answer.window == window, [answer.counts]):
                return None
            read_s = (sent_s + now_s()) / 2.0
            return host, answer, ClockReading(answer.time_of_day_ms / 1000.0, read_s)

        found = await asyncio.gather(*(ask(host) for host in sorted(hosts)))
        return {entry[0]: (entry[1], entry[2]) for entry in found if entry is not None}

    async def _request(
        self, host: str, message: msgspec.Struct, timeout_s: float
    ) -> msgspec.Struct | None:
        """Send a request; return None without an answer, which the caller logs in the end."""
        try:
            return await self._link.request(host, message, timeout_s)
        except PeerUnreachable:
            return None

    def _agree(self, answers: Mapping[str, tuple[UsageAnswer, ClockReading]]) -> None:
        own = ClockReading(self._time_of_day.now_s(), now_s())
        readings = [reading for _, reading in answers.values()] + [own]
        before_s = self.agreed.epoch_s
        members = self._members()
        has_agreed = self.agreed.agree(readings, len(members.names - members.absent))
        epoch_s = self._known_epoch_s = self.agreed.epoch_s
        moved_s = 0.0 if before_s is None or epoch_s is None else epoch_s - before_s
        if before_s is None or not has_agreed or abs(moved_s) > self._window_s:
            self._log.write(
                "usage_time_agreed" if has_agreed else "usage_time_not_agreed",
                clocks=len(readings),
                hosts=len(members.names),
                own_off_s=None if epoch_s is None else round(epoch_s - own.epoch_s, 3),
                furthest_s=round(self.agreed.furthest_s, 3),
                moved_s=round(moved_s, 3),
            )

    async def _on_request(self, sender: str, request: UsageRequest) -> UsageAnswer:
        counts: dict[str, int] = {}
        if request.window != NO_WINDOW:
            start_s = now_s() - request.started_ms_ago / 1000.0
            self._known_epoch_s = start_s - request.window * self._window_s
            counts = self._counts.between(start_s, now_s() - request.ended_ms_ago / 1000.0)
        time_of_day_ms = round(self._time_of_day.now_s() * 1000.0)
        return UsageAnswer(self._identity.incarnation, request.window, time_of_day_ms, counts)

    async def _on_handover(self, sender: str, message: UsageHandover) -> UsageHandoverAnswer:
        is_few = len(message.windows) <= HANDOVER_WINDOWS
        if not self._is_valid(sender, is_few, [counts for _, counts in message.windows]):
            return UsageHandoverAnswer(False)
        is_repeated = False
        for window, counts in message.windows:
            key = (sender, message.run, window)
            is_repeated |= key in self._handed_over
            self._handed_over[key] = counts
        while len(self._handed_over) > MAX_KEPT_HANDOVERS:
            self._handed_over.popitem(last=False)
        self._log.write("usage_taken_over", host=sender, run=message.run, is_repeated=is_repeated)
        return UsageHandoverAnswer(True)

    def _is_valid(self, host: str, is_expected: bool, all_counts: list[dict[str, int]]) -> bool:
        """Return whether counts of another host may be used; log why not."""
        is_valid = is_expected and all(
            len(counts) <= MAX_CUSTOMERS and all(count >= 0 for count in counts.values())
            for counts in all_counts
        )
        if not is_valid:
            self._log.write("usage_counts_refused", host=host, is_expected=is_expected)
        return is_valid


def _age_ms(loop_s: float) -> int:
    return round((now_s() - loop_s) * 1000.0)


def _total(by_run: Mapping[tuple[str, int], Mapping[str, int]]) -> dict[str, int]:
    totals: dict[str, int] = {}
    for counts in by_run.values():
        for customer, count in counts.items():
            totals[customer] = totals.get(customer, 0) + count
    return totals
