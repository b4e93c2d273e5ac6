"""Choose the target of a request among equals, and when it pays to leave the availability zone.

Load pattern: demand swings between zones, so that one zone's slots are too few while another's
are idle. Many hosts decide on reports that are hundreds of milliseconds old; a choice of the best
target by each of them would send all to it at once. Targets are uneven: slow, failing part of the
requests, or up and down in turn.
"""

import math
import random
from collections.abc import Mapping, Sequence

from pistachiowinch.base.clock import now_s
from pistachiowinch.base.hashing import rendezvous_order, stable_bucket
from pistachiowinch.sessions.site import Target
from pistachiowinch.sessions.target_loads import TargetLoads, ZoneCost

__all__ = ["ZonePlacement"]

# Gain per request above which requests start to leave, and below which they return. The byte weight
# and the ways are already subtracted.
ENTER_GAIN_S = 0.002
LEAVE_GAIN_S = 0.0
# The share that leaves is a part proportional to the gain, which is 1 at this gain, and a part that
# grows or falls with time, in proportion up to the second gain. Without the first part the share
# swings, because a queue is already an integral of what arrives.
PROPORTIONAL_GAIN_S = 0.05
FULL_RATE_GAIN_S = 0.1
GROWTH_PER_S = 0.5
FALL_PER_S = 1.0
# Longest interval that one decision may account for.
MAX_STEP_S = 0.5
# Part of another zone's wait that is added to it: its own requests come first, and the knowledge of
# a queue that grows is late.
QUEUE_RESERVE = 1.0
# Some requests stay, so that the recovery of the own zone is noticed.
MAX_SHARE = 0.95
# Customers' requests move one after the other within this part of the share's range, so that a
# large customer does not move all at once.
CUSTOMER_SPREAD = 0.3
CUSTOMER_BUCKETS = 1024
# An unknown load in another zone counts as no better than this zone's. A request may inquire;
# its chance grows up to the maximum with the gain from an idle target.
FULL_INQUIRY_GAIN_S = 0.1
MAX_INQUIRY_CHANCE = 0.25
# Time for which opening a connection occupies a slot; smaller differences are not worth one.
OPEN_CONNECTION_S = 0.012
# Time that a failed request costs its caller until another target has answered.
FAILURE_COST_S = 0.1
# Share of the requests that a failing target gets, to see its recovery.
PROBE_SHARE = 0.03
# A target is left out only if its share of failures exceeds the lowest one by this factor.
OUTLIER_FACTOR = 2.0
# Failing targets are used again if the others' slots would be busier than this.
PANIC_UTILIZATION = 0.8
# The primary is used for reads only where it is faster by more than this.
PRIMARY_MARGIN_S = 0.02
# Delays until they are measured.
OWN_ZONE_DELAY_S = 0.0002
OTHER_ZONE_DELAY_S = 0.001
DELAY_WINDOW_S = 10.0
# Time over which the share of leaving requests is averaged for metrics.
SHARE_TIME_S = 10.0


class _ZoneDelay:
    """Minimum of the delays in the current and in the previous window."""

    __slots__ = ("current_s", "previous_s", "window_start_s")

    def __init__(self) -> None:
        self.current_s = self.previous_s = math.inf
        self.window_start_s = now_s()

    def note(self, delay_s: float) -> None:
        if now_s() - self.window_start_s > DELAY_WINDOW_S:
            self.previous_s, self.current_s = self.current_s, math.inf
            self.window_start_s = now_s()
        self.current_s = min(self.current_s, delay_s)


class _ServiceState:
    __slots__ = ("counted", "left", "noted_s", "service", "share", "updated_s")

    def __init__(self, service: str) -> None:
        self.service = service
        self.share = 0.0
        self.updated_s = now_s()
        self.left = self.counted = 0.0
        self.noted_s = now_s()

    def adjust(self, gain_s: float) -> float:
        """Move the steady share towards the side that gains; return the share to send away."""
        elapsed_s = now_s() - self.updated_s
        self.updated_s = now_s()
        if LEAVE_GAIN_S <= gain_s <= ENTER_GAIN_S:
            return self.share
        rate = max(-1.0, min(1.0, gain_s / FULL_RATE_GAIN_S))
        if gain_s > ENTER_GAIN_S:
            self.share += rate * GROWTH_PER_S * min(elapsed_s, MAX_STEP_S)
        else:
            self.share += rate * FALL_PER_S * elapsed_s
        self.share = min(MAX_SHARE, max(0.0, self.share))
        return min(MAX_SHARE, max(0.0, self.share + gain_s / PROPORTIONAL_GAIN_S))

    def note(self, has_left: bool) -> None:
        """Count a decision."""
        kept = math.exp((self.noted_s - now_s()) / SHARE_TIME_S)
        self.left = self.left * kept + has_left
        self.counted = self.counted * kept + 1
        self.noted_s = now_s()


class ZonePlacement:
    """Orders the targets that may run a request.

    :param loads: what this host knows of the targets.
    :param own_zone: this host's availability zone.
    :param cost: weights of speed and bytes.
    :param seed: seed of the random choices.
    """

    def __init__(
        self, loads: TargetLoads, own_zone: str, cost: ZoneCost, seed: int | None = None
    ) -> None:
        """Create a placement that keeps all requests in the zone at first."""
        self._loads = loads
        self._own_zone = own_zone
        self._cost = cost
        self._random = random.Random(seed)
        self._delays: dict[str, _ZoneDelay] = {}
        self._services: dict[str, _ServiceState] = {}

    def note_zone_delay(self, zone: str, delay_s: float) -> None:
        """Record a delay to a host of a zone, one way."""
        delay = self._delays.get(zone)
        if delay is None:
            delay = self._delays[zone] = _ZoneDelay()
        delay.note(delay_s)

    def order(self, service: str, candidates: Sequence[Target], customer: str = "") -> list[Target]:
        """Order the targets that may run a request.

        :param customer: customer whose connections may be reused; empty if there is none.
        :returns: all candidates, best first.
        """
        if not candidates:
            return []
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceState(service)
        costs = self.costs_s(candidates)
        usable = self._usable(candidates)
        home = [target for target in usable if target.availability_zone == self._own_zone]
        away = [target for target in usable if target.availability_zone != self._own_zone]
        is_leaving = not home
        if home and away:
            is_leaving = self._leaves(state, customer, home, away, costs)
        first = self._choose(away if is_leaving else home, costs, customer)
        if usable is not candidates:
            for target in candidates:
                if target not in usable and self._random.random() < PROBE_SHARE:
                    first = target
        state.note(first.availability_zone != self._own_zone)
        rest = [target for target in candidates if target is not first]
        # A failing target's cost includes its failures.
        rest.sort(key=lambda target: costs[target.name])
        return [first, *rest]

    def costs_s(self, candidates: Sequence[Target]) -> dict[str, float]:
        """Return what a request costs at each target, in weighted seconds of response time.

        A target without reports is assumed to be as fast as the fastest other one.
        """
        loads = self._loads
        usual = [loads.usual_service_s(target.name) for target in candidates]
        assumed_s = min((service_s for service_s in usual if service_s is not None), default=0.0)
        tolerated_share = OUTLIER_FACTOR * min(
            (loads.failure_share(target.name) for target in candidates), default=0.0
        )
        costs: dict[str, float] = {}
        for target, service_s in zip(candidates, usual, strict=True):
            response_s = loads.expected_response_s(target.name)
            if service_s is None:
                response_s += assumed_s
            response_s += 2 * self._delay_s(target.availability_zone)
            excess_share = loads.failure_share(target.name) - tolerated_share
            response_s += FAILURE_COST_S * max(0.0, excess_share)
            cost_s = response_s * self._cost.speed_weight
            if target.availability_zone != self._own_zone:
                cost_s += self._cost.byte_weight_s
            costs[target.name] = cost_s
        return costs

    def reads_leave_primary(self, primary: Target, replicas: Sequence[Target]) -> bool:
        """Whether a read that replicas may run should be kept from the primary.

        The primary's slots belong to work that only it can run. A read may use them while nothing
        waits there by a fresh report and each replica is expected to be slower by a margin.
        """
        if not replicas:
            return False
        if self._loads.belief(primary.name) < 1.0 or self._loads.has_waiting(primary.name):
            return True
        costs = self.costs_s([primary, *replicas])
        margin_s = PRIMARY_MARGIN_S * self._cost.speed_weight
        fastest_s = min(costs[target.name] for target in replicas)
        return fastest_s <= costs[primary.name] + margin_s

    def share_leaving(self, service: str) -> float:
        """Share of a service's recent requests that left the zone."""
        state = self._services.get(service)
        return state.left / state.counted if state is not None and state.counted else 0.0

    def _delay_s(self, zone: str) -> float:
        delay = self._delays.get(zone)
        if delay is not None:
            return min(delay.current_s, delay.previous_s)
        return OWN_ZONE_DELAY_S if zone == self._own_zone else OTHER_ZONE_DELAY_S

    def _usable(self, candidates: Sequence[Target]) -> Sequence[Target]:
        """Leave out failing targets as long as the others' slots suffice for the load of all."""
        loads = self._loads
        if not any(loads.is_failing(target.name) for target in candidates):
            return candidates
        # If all fail alike, none is worth more than the others.
        usual = OUTLIER_FACTOR * min(loads.failure_share(target.name) for target in candidates)
        failing = [
            target
            for target in candidates
            if loads.is_failing(target.name) and loads.failure_share(target.name) > usual
        ]
        usable = [target for target in candidates if target not in failing]
        running = sum(loads.mean_running(target.name) for target in candidates)
        slots = sum(max(target.slots, 1) for target in usable)
        failing.sort(key=lambda target: loads.failure_share(target.name))
        for target in failing:
            if running <= PANIC_UTILIZATION * slots:
                break
            usable.append(target)
            slots += max(target.slots, 1)
        return usable

    def _leaves(
        self,
        state: _ServiceState,
        customer: str,
        home: Sequence[Target],
        away: Sequence[Target],
        costs: Mapping[str, float],
    ) -> bool:
        """Whether a request that either side may run leaves the zone."""
        stay = min(home, key=lambda target: costs[target.name])
        # Not the cheapest one: of two estimates with errors, the lower one is usually too low.
        leave = self._choose(away, costs, customer)
        gain_s = costs[stay.name] - costs[leave.name]
        belief = self._loads.belief(leave.name)
        away_wait_s = self._loads.expected_wait_s(leave.name) * self._cost.speed_weight
        gain_s -= QUEUE_RESERVE * away_wait_s
        if belief < 1.0:
            if gain_s > ENTER_GAIN_S and not self._loads.in_flight(leave.name):
                chance = (1.0 - belief) * gain_s / FULL_INQUIRY_GAIN_S
                if self._random.random() < min(MAX_INQUIRY_CHANCE, chance):
                    return True
            wait_s = self._loads.expected_wait_s(stay.name) * self._cost.speed_weight
            gain_s -= (1.0 + QUEUE_RESERVE) * (1.0 - belief) * wait_s
        return self._is_in_share(state, state.adjust(gain_s), customer)

    def _is_in_share(self, state: _ServiceState, share: float, customer: str) -> bool:
        """Whether a request belongs to the leaving share, by its customer where there is one."""
        if not customer or not share:
            return self._random.random() < share
        key = f"{state.service}\x00{customer}"
        position = stable_bucket(key, CUSTOMER_BUCKETS) / CUSTOMER_BUCKETS
        reached = share * (1 + CUSTOMER_SPREAD) - position
        return self._random.random() * CUSTOMER_SPREAD < reached

    def _choose(self, group: Sequence[Target], costs: Mapping[str, float], customer: str) -> Target:
        """Choose a target of one side: the customer's, unless another one is clearly cheaper."""
        if len(group) == 1:
            return group[0]
        if customer:
            by_name = {target.name: target for target in group}
            preferred = rendezvous_order(customer, by_name)[0]
            open_cost_s = OPEN_CONNECTION_S * self._cost.speed_weight
            if costs[preferred] <= min(costs[name] for name in by_name) + open_cost_s:
                return by_name[preferred]
        weights = [max(target.slots, 1) / max(costs[target.name], 1e-3) ** 2 for target in group]
        return self._random.choices(group, weights)[0]
