"""Replay of requests from many hosts to one target in each of three zones, without a network."""

import asyncio
import heapq
import itertools
import math
import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from pistachiowinch.base.clock import now_s
from pistachiowinch.sessions.site import Target
from pistachiowinch.sessions.target_loads import LoadReport, TargetLoads, ZoneCost
from pistachiowinch.sessions.zone_placement import ZonePlacement

ZONES = ("north", "central", "south")
SLOTS, SERVICE_S = 4, 0.02
# Requests a second that a zone's slots can serve.
ZONE_CAPACITY = SLOTS / SERVICE_S
HOSTS, CUSTOMERS = 60, 80
DURATION_S, WARM_UP_S = 40.0, 2.0


class PausedLoop(asyncio.SelectorEventLoop):
    """Event loop whose time is set by the replay."""

    now_s = 0.0

    def time(self) -> float:
        return self.now_s


class Answer(NamedTuple):
    """What a caller got; targets are named after their zones."""

    arrived_s: float
    zone: str
    target: str
    failures: int
    response_s: float


class Replay:
    """Hosts with a placement each, and targets behind pools that queue in order of arrival.

    :param demand: requests a second of a zone, from the zone's number and the time.
    :param slowness: factor of a target's service time at a time.
    :param failing: share of a target's requests that fail at a time.
    """

    def __init__(
        self,
        demand: Callable[[int, float], float],
        slowness: Callable[[str, float], float] = lambda target, at_s: 1.0,
        failing: Callable[[str, float], float] = lambda target, at_s: 0.0,
        seed: int = 1,
    ) -> None:
        self.demand, self.slowness, self.failing = demand, slowness, failing
        self.random = random.Random(seed)
        self.running, self.waiting = dict.fromkeys(ZONES, 0), {zone: deque() for zone in ZONES}
        self.service_s = dict.fromkeys(ZONES, (SERVICE_S, 0.0))
        self.targets = [Target(zone, "s", "", zone, SLOTS, False, False, 0) for zone in ZONES]
        self.loads = [TargetLoads() for _ in range(HOSTS)]
        self.placements = [
            ZonePlacement(loads, ZONES[host % 3], ZoneCost(), seed + host)
            for host, loads in enumerate(self.loads)
        ]
        self.smoothed_s: dict[tuple[int, str], float] = defaultdict(lambda: SERVICE_S)
        self.answers: list[Answer] = []
        self._events: list[tuple] = []
        self._order = itertools.count()

    def at(self, delay_s: float, event: Callable, *arguments) -> None:
        heapq.heappush(self._events, (now_s() + delay_s, next(self._order), event, arguments))

    async def run(self) -> list[Answer]:
        for zone in range(3):
            self.at(0.0, self._arrive, zone)
        while self._events:
            asyncio.get_running_loop().now_s, _, event, arguments = heapq.heappop(self._events)
            event(*arguments)
        return [a for a in self.answers if WARM_UP_S <= a.arrived_s < DURATION_S]

    def choose(self, host: int, customer: str) -> list[Target]:
        return self.placements[host].order("s", self.targets, customer)

    def _arrive(self, zone: int) -> None:
        host = self.random.randrange(HOSTS // 3) * 3 + zone
        customer = f"customer-{int(CUSTOMERS * self.random.random() ** 2)}"
        self._send(host, self.choose(host, customer), 0, now_s())
        if now_s() < DURATION_S:
            self.at(self.random.expovariate(self.demand(zone, now_s())), self._arrive, zone)

    def _send(self, host: int, order: list[Target], tries: int, arrived_s: float) -> None:
        name, zone, loads, sent_s = order[tries].name, ZONES[host % 3], self.loads[host], now_s()
        way_s = 0.0002 if name == zone else 0.0014
        loads.begin(name)

        def reach() -> None:
            self.waiting[name].append(finish)
            self._start_waiting(name)

        def finish(service_s: float) -> None:
            self.running[name] -= 1
            mean_s, updated_s = self.service_s[name]
            mean_s += max(0.05, 1 - math.exp(updated_s - now_s())) * (service_s - mean_s)
            self.service_s[name] = mean_s, now_s()
            self._start_waiting(name)
            is_served = self.random.random() >= self.failing(name, now_s())
            report = LoadReport(SLOTS, self.running[name], len(self.waiting[name]), mean_s)
            self.at(way_s, answer, report, is_served)

        def answer(report: LoadReport, is_served: bool) -> None:
            loads.note_report(name, report)
            loads.end(name, is_served, now_s() - sent_s)
            self.smoothed_s[host, name] += 0.2 * (now_s() - sent_s - self.smoothed_s[host, name])
            if not is_served and tries < 2:
                self._send(host, order, tries + 1, arrived_s)
                return
            failures = tries + (not is_served)
            self.answers.append(Answer(arrived_s, zone, name, failures, now_s() - arrived_s))

        self.at(way_s, reach)

    def _start_waiting(self, name: str) -> None:
        while self.waiting[name] and self.running[name] < SLOTS:
            self.running[name] += 1
            service_s = SERVICE_S * self.slowness(name, now_s()) * self.random.uniform(0.3, 1.7)
            self.at(service_s, self.waiting[name].popleft(), service_s)


class HomeReplay(Replay):
    """Baseline: the own zone's target first."""

    def choose(self, host: int, customer: str) -> list[Target]:
        return sorted(self.targets, key=lambda target: target.name != ZONES[host % 3])


class ConstantReplay(Replay):
    """Baseline: the smoothed response by the requests in flight, and 4 ms for other zones."""

    def choose(self, host: int, customer: str) -> list[Target]:
        def latency_s(target: Target) -> float:
            exchanges = 1 + self.loads[host].in_flight(target.name)
            penalty_s = 0.0 if target.name == ZONES[host % 3] else 0.004
            return self.smoothed_s[host, target.name] * exchanges + penalty_s

        return sorted(self.targets, key=latency_s)


def play(kind: type[Replay], demand: Callable[[int, float], float], **arguments) -> list[Answer]:
    """Return what callers get after the warm-up."""

    async def run() -> list[Answer]:
        return await kind(demand, **arguments).run()

    with asyncio.Runner(loop_factory=PausedLoop) as runner:
        return runner.run(run())


def swing(level: float, depth: float) -> Callable[[int, float], float]:
    """Return a demand around a share of the capacity that swings between the zones in turn."""

    def demand(zone: int, at_s: float) -> float:
        return ZONE_CAPACITY * level * (1 + depth * math.sin(math.tau * (at_s / 17.0 + zone / 3)))

    return demand


def late_response_s(answers: Iterable[Answer]) -> float:
    """Return the 95th percentile of the response times."""
    times = sorted(answer.response_s for answer in answers)
    return times[int(0.95 * len(times))]


def share(answers: Iterable[Answer], is_counted: Callable[[Answer], bool]) -> float:
    """Return the share of the answers that are counted."""
    flags = [is_counted(answer) for answer in answers]
    return sum(flags) / len(flags)
