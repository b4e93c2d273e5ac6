"""Faults of a soak: what they are, when they come, and how they are done."""

import asyncio
import random
import signal
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.soak.network import Pipe
from pistachiowinch.soak.site import Site

__all__ = [
    "Due",
    "Fault",
    "Injector",
    "LinkTrouble",
    "NewVersion",
    "Signal",
    "StoreTrouble",
    "TargetTrouble",
    "plan",
]

# Mean pause between faults; they last longer, so that they overlap.
MEAN_GAP_S = 1.2
LONGEST_S = 6.0
# How often a host whose statements are held back is noted as disturbed.
HELD_LOOK_S = 0.1
# A store that turns hosts away answers that they call too often.
BUSY_STATUS = 429
# A slow store takes this much longer, about 50 times its usual answer.
SLOW_STORE_S = 0.25
# Writes whose answers are lost, enough for a registration with its retries.
LOST_REPLIES = 3
# A slow target takes this many times as long; a damaged one fails this part of its statements.
SLOW_TARGET = 10.0
DAMAGED_SHARE = 0.5
# Each chunk through a delayed pipe; half of a heartbeat.
PIPE_DELAY_S = 0.1
# Part of the plan's faults that hit all hosts at once.
ALL_SHARE = 0.1


@dataclass(frozen=True)
class Signal:
    """Hosts get a signal; paused ones go on after ``for_s``."""

    hosts: tuple[int, ...]
    number: signal.Signals
    for_s: float


@dataclass(frozen=True)
class StoreTrouble:
    """The store refuses, is silent or slow, or loses answers, for some hosts."""

    hosts: tuple[int, ...]
    how: str
    for_s: float


@dataclass(frozen=True)
class LinkTrouble:
    """Connections of a host to others or to targets are harmed; to all if none are named."""

    host: int
    is_to_targets: bool
    numbers: tuple[int, ...]
    how: str
    for_s: float


@dataclass(frozen=True)
class TargetTrouble:
    """A target crashes, turns slow, damages answers or receives nothing."""

    target: int
    how: str
    for_s: float


@dataclass(frozen=True)
class NewVersion:
    """The operator puts a configuration in force."""


Fault = Signal | StoreTrouble | LinkTrouble | TargetTrouble | NewVersion

_SIGNALS = (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP, signal.SIGHUP)
_STORE = ("busy", "silent", "slow", "down", "lost_replies", "forgets")
_LINKS = ("cut_there", "cut_back", "cut", "delayed", "reset", "silent")
_TARGETS = ("crash", "slow", "damaged", "lagging")


class Due(NamedTuple):
    """A fault and when it comes, in seconds from the start of the faults."""

    at_s: float
    fault: Fault


def plan(generator: random.Random, hosts: int, targets: int, length_s: float) -> Iterator[Due]:
    """Choose the faults of a run; the same generator gives the same faults.

    :param length_s: no fault begins or lasts beyond it.
    """
    at_s = generator.expovariate(1.0 / MEAN_GAP_S)
    while at_s < length_s:
        for_s = min(generator.uniform(0.2, LONGEST_S), length_s - at_s)
        yield Due(at_s, _choose(generator, hosts, targets, for_s))
        at_s += generator.expovariate(1.0 / MEAN_GAP_S)


def _choose(generator: random.Random, hosts: int, targets: int, for_s: float) -> Fault:
    kind = generator.choices((Signal, StoreTrouble, LinkTrouble, TargetTrouble, NewVersion))[0]
    if kind is Signal:
        return Signal(_some(generator, hosts), generator.choice(_SIGNALS), for_s)
    if kind is StoreTrouble:
        return StoreTrouble(_some(generator, hosts), generator.choice(_STORE), for_s)
    if kind is LinkTrouble:
        is_to_targets = generator.random() < 0.5
        how = generator.choice(_LINKS)
        number = generator.randrange(targets if is_to_targets else hosts)
        numbers = (number,) if generator.random() < 0.5 else ()
        return LinkTrouble(generator.randrange(hosts), is_to_targets, numbers, how, for_s)
    if kind is TargetTrouble:
        return TargetTrouble(generator.randrange(targets), generator.choice(_TARGETS), for_s)
    return NewVersion()


def _some(generator: random.Random, hosts: int) -> tuple[int, ...]:
    if generator.random() < ALL_SHARE:
        return tuple(range(hosts))
    return tuple(sorted(generator.sample(range(hosts), generator.randint(1, max(hosts // 2, 1)))))


class Injector:
    """Does the faults of a plan to a site.

    :param site: where.
    """

    def __init__(self, site: Site) -> None:
        """Create an injector that does nothing yet."""
        self._site = site

    async def run(self, faults: list[Due]) -> None:
        """Do all faults at their times and wait until the last one has ended."""
        started_s = now_s()
        tasks = []
        for due in faults:
            await sleep_s(started_s + due.at_s - now_s())
            tasks.append(asyncio.ensure_future(self._do(due.fault)))
        await asyncio.gather(*tasks)

    async def _do(self, fault: Fault) -> None:
        match fault:
            case Signal(hosts, number, for_s):
                for host in hosts:
                    self._site.hosts[host].send(number)
                if number == signal.SIGSTOP:
                    await sleep_s(for_s)
                    for host in hosts:
                        self._site.hosts[host].send(signal.SIGCONT)
            case StoreTrouble(hosts, how, for_s):
                await self._trouble_store(hosts, how, for_s)
            case LinkTrouble():
                await self._trouble_links(fault)
            case TargetTrouble():
                await self._trouble_target(fault)
            case NewVersion():
                self._site.configure()

    async def _trouble_store(self, hosts: tuple[int, ...], how: str, for_s: float) -> None:
        fronts = [self._site.fronts[host] for host in hosts]
        if how == "forgets":
            self._site.store.compact()
            return
        for front in fronts:
            match how:
                case "busy":
                    front.error_status = BUSY_STATUS
                case "silent":
                    front.is_silent = True
                    front.faults.silence_watches()
                case "slow":
                    front.faults.delay_s = SLOW_STORE_S
                case "down":
                    front.faults.is_down = True
                case "lost_replies":
                    front.faults.lost_replies = LOST_REPLIES
        await sleep_s(for_s)
        for front in fronts:
            front.error_status = 0
            front.is_silent = front.faults.is_down = False
            front.faults.delay_s, front.faults.lost_replies = 0.0, 0

    async def _trouble_links(self, fault: LinkTrouble) -> None:
        host, how, is_to_targets = fault.host, fault.how, fault.is_to_targets
        pipes = self._site.target_pipes if is_to_targets else self._site.host_pipes
        harmed = [
            pipe
            for (viewer, number), pipe in pipes.items()
            if viewer == host and (not fault.numbers or number in fault.numbers)
        ]
        for pipe in harmed:
            _harm(pipe, how)
        until_s = now_s() + fault.for_s
        while now_s() < until_s:
            if is_to_targets:
                # What is held back stays on its way for as long as the pipe is harmed.
                self._site.hosts[host].disturbed_s = now_s()
            await sleep_s(min(HELD_LOOK_S, until_s - now_s()))
        for pipe in harmed:
            pipe.is_cut_there = pipe.is_cut_back = False
            pipe.delay_s = 0.0

    async def _trouble_target(self, fault: TargetTrouble) -> None:
        target = self._site.targets[fault.target]
        others = target.service.targets.values()
        match fault.how:
            case "crash" if all(entry.is_up and entry.is_receiving for entry in others):
                await self._site.crash(target, fault.for_s)
                return
            case "slow":
                target.slow_factor = SLOW_TARGET
            case "damaged":
                target.failure_probability = DAMAGED_SHARE
            case "lagging" if all(entry.is_up and entry.is_receiving for entry in others):
                target.is_receiving = False
        await sleep_s(fault.for_s)
        target.slow_factor, target.failure_probability = 1.0, 0.0
        if not target.is_receiving:
            target.is_receiving = True
            target.receive()


def _harm(pipe: Pipe, how: str) -> None:
    match how:
        case "cut_there":
            pipe.is_cut_there = True
        case "cut_back":
            pipe.is_cut_back = True
        case "cut":
            pipe.is_cut_there = pipe.is_cut_back = True
        case "delayed":
            pipe.delay_s = PIPE_DELAY_S
        case "reset":
            pipe.reset()
        case "silent":
            pipe.silence()
