"""Guards against requests that stay in a full zone, or leave it although nothing is gained."""

import itertools

import pytest
from sessions.zone_replay import (
    ZONE_CAPACITY,
    ZONES,
    ConstantReplay,
    HomeReplay,
    Replay,
    late_response_s,
    play,
    share,
    swing,
)

from pistachiowinch.base.clock import sleep_s
from pistachiowinch.sessions.site import Target
from pistachiowinch.sessions.target_loads import LoadReport, TargetLoads, ZoneCost
from pistachiowinch.sessions.zone_placement import ZonePlacement

TARGETS = [Target(f"db-{zone}", "s", "", zone, 4, False, False, 0) for zone in ZONES]
SEEDS = (1, 2)


def has_left(answer):
    return answer.target != answer.zone


def has_failed(answer):
    return answer.failures > 0


def leaving_by_step(answers, zone, step_s=2):
    """Return the leaving share of a zone in steps of some seconds."""
    steps = [[] for _ in range(40 // step_s)]
    for answer in answers:
        if answer.zone == zone:
            steps[int(answer.arrived_s / step_s)].append(answer)
    return [share(step, has_left) for step in steps if step]


@pytest.mark.parametrize("seed", SEEDS)
def test_swing_between_zones_uses_slots_that_others_leave(seed):
    """Guards against waiting beside idle slots of other zones, and against crossing for nothing."""
    demand = swing(0.75, 0.5)
    home, constant, placed = (
        play(kind, demand, seed=seed) for kind in (HomeReplay, ConstantReplay, Replay)
    )
    assert late_response_s(placed) < late_response_s(home) / 4
    assert late_response_s(placed) < late_response_s(constant) * 1.5
    assert share(placed, has_left) < share(constant, has_left) / 2


@pytest.mark.parametrize("level", [0.6, 0.8])
def test_balanced_load_stays_in_its_zone(level):
    """Guards against zones that exchange requests because of chance differences."""
    placed = play(Replay, swing(level, 0.0))
    assert share(placed, has_left) < 0.05
    assert late_response_s(placed) < late_response_s(play(HomeReplay, swing(level, 0.0))) * 1.1


def test_slow_target_of_the_own_zone_is_left_and_used_again():
    """Guards against a queue at a slow target, and against never returning to it."""

    def slowness(target, at_s):
        return 5.0 if target == "north" and 5 <= at_s < 20 else 1.0

    arguments = {"demand": swing(0.5, 0.0), "slowness": slowness}
    placed = play(Replay, **arguments)
    assert late_response_s(placed) < 0.06 < late_response_s(play(HomeReplay, **arguments))
    leaving = leaving_by_step(placed, "north")
    assert min(leaving[4:9]) > 0.7
    assert leaving[-1] < 0.2


@pytest.mark.parametrize(
    ("failing", "bound"),
    [
        (lambda target, at_s: 0.33 * (target == "north"), 0.4),
        (lambda target, at_s: float(target == "north" and at_s % 4 < 2), 0.3),
    ],
    ids=["grey", "flapping"],
)
def test_failing_target_gets_few_requests(failing, bound):
    """Guards against a target whose health is good but which fails a part of its requests."""
    arguments = {"demand": swing(0.45, 0.0), "failing": failing}
    home, placed = (play(kind, **arguments) for kind in (HomeReplay, Replay))
    assert share(placed, has_failed) < bound * share(home, has_failed)
    assert share(placed, has_failed) > 0.0
    assert late_response_s(placed) < late_response_s(home) * 1.1


def test_target_that_ceases_to_fail_gets_its_requests_back():
    """Guards against a recovered target that stays idle."""
    placed = play(
        Replay,
        swing(0.45, 0.0),
        failing=lambda target, at_s: 0.33 * (target == "north" and at_s < 15),
    )
    leaving = leaving_by_step(placed, "north")
    assert max(leaving[2:7]) > 0.7
    assert leaving[-1] < 0.2


def test_all_targets_failing_are_all_used():
    """Guards against the last good target, or none, getting the work of all."""
    arguments = {"demand": swing(0.5, 0.0), "failing": lambda target, at_s: 0.33}
    home, placed = (play(kind, **arguments) for kind in (HomeReplay, Replay))
    for zone in ZONES:
        assert 0.2 < share(placed, lambda answer, zone=zone: answer.target == zone) < 0.5
    assert late_response_s(placed) < late_response_s(home) * 1.1


def test_failing_target_is_used_where_the_others_are_full():
    """Guards against the load of three targets on the slots of two."""
    arguments = {
        "demand": swing(0.75, 0.0),
        "failing": lambda target, at_s: 0.33 * (target == "north"),
    }
    placed = play(Replay, **arguments)
    assert share(placed, lambda answer: answer.target == "north") > 0.1
    assert late_response_s(placed) < late_response_s(play(HomeReplay, **arguments))


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_return_when_the_other_zones_fill_up(seed):
    """Guards against work pressed on zones that need their slots, and against oscillation."""

    def demand(zone, at_s):
        return ZONE_CAPACITY * (1.1 if zone == 0 else 0.4 if at_s < 16 else 1.0)

    answers = play(Replay, demand, seed=seed)
    leaving, others = (leaving_by_step(answers, zone) for zone in ("north", "south"))
    before, after = leaving[1:7], leaving[9:]
    assert min(before) > 0.1
    assert max(others[:7]) < 0.05
    assert sum(after) / len(after) < 0.7 * sum(before) / len(before)
    steps = [abs(later - earlier) for earlier, later in itertools.pairwise(after)]
    assert max(steps) < 0.25


def test_zones_that_are_all_overloaded_do_not_exchange_requests():
    """Guards against billed traffic without gain while every zone has a long queue."""
    assert share(play(Replay, swing(1.05, 0.0)), has_left) < 0.1


class Host:
    """One host of the first zone with a report of each target."""

    def __init__(self, waiting=(0, 0, 0), seed=1, **cost):
        self.loads = TargetLoads()
        self.placement = ZonePlacement(self.loads, ZONES[0], ZoneCost(**cost), seed)
        self.waiting = waiting

    async def firsts(self, count=200, candidates=TARGETS, customer=""):
        """Return the names of the targets chosen first, with reports before each choice."""
        chosen = []
        for _ in range(count):
            for target, waiting in zip(TARGETS, self.waiting, strict=True):
                self.loads.note_report(target.name, LoadReport(4, 4, waiting, 0.02))
            ordered = self.placement.order("s", candidates, customer)
            assert sorted(ordered) == sorted(candidates)
            chosen.append(ordered[0].name)
            await sleep_s(0.02)
        return chosen


@pytest.mark.looptime
async def test_unknown_targets_are_not_preferred_to_the_own_zone():
    """Guards against a host that starts and sends its first requests elsewhere."""
    placement = ZonePlacement(TargetLoads(), ZONES[0], ZoneCost())
    assert {placement.order("s", TARGETS)[0].name for _ in range(50)} == {"db-north"}
    assert placement.order("s", []) == []
    assert placement.share_leaving("s") == 0.0


@pytest.mark.looptime
async def test_operators_weights_decide_what_a_crossing_is_worth():
    """Guards against settings that have no effect."""
    waiting = (12, 0, 0)
    assert set(await Host(waiting, speed_weight=0.0).firsts()) == {"db-north"}
    assert set(await Host(waiting, byte_weight_s=1.0).firsts()) == {"db-north"}
    host = Host(waiting)
    assert (await host.firsts()).count("db-north") < 50
    assert host.placement.share_leaving("s") > 0.5


@pytest.mark.looptime
async def test_customer_keeps_its_target_among_equals():
    """Guards against a connection that is opened at each of several equal targets."""
    others = TARGETS[1:]
    firsts = [(await Host().firsts(20, others, f"customer-{number}")) for number in range(20)]
    assert all(len(set(names)) == 1 for names in firsts)
    assert len({names[0] for names in firsts}) == 2
    crowded = (0, 20, 0)
    firsts = [await Host(crowded).firsts(20, others, f"customer-{n}") for n in range(20)]
    assert sum(names.count("db-south") for names in firsts) > 0.8 * 400


@pytest.mark.looptime
async def test_shortest_measured_delay_of_a_zone_counts():
    """Guards against one slow message that makes a zone look far away."""
    host = Host()
    await host.firsts(1)
    near_s = host.placement.costs_s(TARGETS)["db-south"]
    for delay_s in (0.02, 0.0005, 0.05):
        host.placement.note_zone_delay("south", delay_s)
    assert host.placement.costs_s(TARGETS)["db-south"] == pytest.approx(near_s - 0.001)
    for _ in range(2):
        await sleep_s(11.0)
        host.placement.note_zone_delay("south", 0.02)
    costs = host.placement.costs_s(TARGETS)
    assert costs["db-south"] - costs["db-central"] == pytest.approx(2 * (0.02 - 0.001))


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("waiting", "is_left"),
    [((0, 2, 2), True), ((0, 16, 16), False), ((0, 16, 0), True), ((1, 30, 30), True)],
)
async def test_reads_use_the_primary_only_while_its_slots_are_not_needed(waiting, is_left):
    """Guards against reads before the writes that only the primary can run."""
    host = Host(waiting)
    await host.firsts(100)
    assert host.placement.reads_leave_primary(TARGETS[0], TARGETS[1:]) is is_left
    assert not host.placement.reads_leave_primary(TARGETS[0], [])
    await sleep_s(5.0)
    assert host.placement.reads_leave_primary(TARGETS[0], TARGETS[1:])
