"""A fleet in simulated time: the decisions of entry instances, and simple targets.

Targets have slots, a queue and a cache of recent affinity keys; a request whose key is
in the cache takes less time. Instances decide by a balancer each and share the weights
of a planner.
"""

import heapq
import itertools
import random
from collections import OrderedDict, deque
from types import SimpleNamespace

from turmericrudder.steering import (
    Balancer,
    EndpointCatalog,
    LoadBoard,
    LoadCollector,
    NoTarget,
    ServerLoad,
    WeightPlanner,
)

from .steering_makers import (
    PROFILE,
    SETTINGS,
    make_endpoint,
    make_route,
    make_selection_request,
)

__all__ = ["SimulatedFleet"]

ROUND_TRIP = 0.002  # seconds
EXCHANGE_INTERVAL = 0.25  # seconds
PLAN_INTERVAL = 1.0  # seconds
# Some requests take much longer than others of their kind.
LONG_SHARE = 0.03
LONG_FACTOR = 7.0
# Targets are slow for some of the time.
NOISE_SHARE = 0.15
NOISE_FACTOR = 2.5
NOISE_PERIOD = 0.6  # seconds


class SimulatedTarget:
    """One target; ``run`` and ``end`` are called by the fleet."""

    def __init__(self, fleet, number, slots, queue_limit, cached_keys):
        self._fleet = fleet
        self._number = number
        self.slots = slots
        self._queue_limit = queue_limit
        self._cached_keys = cached_keys
        self._cache = OrderedDict()
        self._queue = deque()
        self.active = 0
        self.arrivals = 0

    def get_load(self):
        return ServerLoad(
            self.active, len(self._queue), self.slots, self.get_slowdown()
        )

    def get_slowdown(self):
        """Return by which factor the target is slow, as others use its machine."""
        period = int(self._fleet.now / NOISE_PERIOD)
        noise = random.Random(hash((self._number, period)))
        return NOISE_FACTOR if noise.random() < NOISE_SHARE else 1.0

    def accept(self, request):
        """Run or queue a request; return whether there was room."""
        self.arrivals += 1
        if self.active < self.slots:
            self._start(request)
        elif len(self._queue) < self._queue_limit:
            self._queue.append(request)
        else:
            return False
        return True

    def _start(self, request):
        self.active += 1
        fleet = self._fleet
        work = fleet.warm_work if request.key in self._cache else fleet.cold_work
        self._cache[request.key] = True
        self._cache.move_to_end(request.key)
        while len(self._cache) > self._cached_keys:
            self._cache.popitem(last=False)
        seconds = work * self.get_slowdown() * fleet.random.lognormvariate(0.0, 0.15)
        if fleet.random.random() < LONG_SHARE:
            seconds *= LONG_FACTOR
        fleet.schedule(seconds, self._end, request)

    def _end(self, request):
        self.active -= 1
        if self._queue:
            self._start(self._queue.popleft())
        self._fleet.finish(request, self)


class SimulatedFleet:
    """Plays a load and counts what callers get.

    :param instances: number of entry instances.
    :param targets: number of targets.
    :param keys: number of affinity keys; the n-th is requested in proportion to
        ``n ** -skew``.
    :param has_exchange: whether the instances exchange loads and use planned weights.
    :ivar on_time: requests within the objective, by second of their arrival.
    :ivar total: all requests, by second of their arrival.
    """

    def __init__(
        self,
        *,
        instances,
        targets,
        keys,
        has_exchange,
        skew=0.2,
        slots=6,
        warm_work=0.45,
        cold_work=1.8,
        objective=1.2,
        cached_keys=13,
        seed=1,
    ):
        self.random = random.Random(seed)
        self.warm_work, self.cold_work = warm_work, cold_work
        self._route = make_route(has_affinity=True, objective=objective, timeout=10.0)
        self._has_exchange = has_exchange
        self._planner = WeightPlanner()
        self._board = LoadBoard()
        self._events, self._numbers = [], itertools.count()
        self.now = 0.0
        self.on_time, self.total = {}, {}
        self.targets = {
            f"t{number}": SimulatedTarget(self, number, slots, 3 * slots, cached_keys)
            for number in range(targets)
        }
        self._instances = [
            self._make_instance(number, slots) for number in range(instances)
        ]
        self._key_weights = [(number + 1) ** -skew for number in range(keys)]

    def play(self, rate, seconds):
        """Play Poisson arrivals.

        :param rate: requests a second of the whole fleet.
        """
        self._rate, self._ends = rate, self.now + seconds
        self.schedule(0.0, self._arrive)
        self.schedule(EXCHANGE_INTERVAL, self._exchange)
        self.schedule(PLAN_INTERVAL, self._plan)
        while self._events:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)

    def get_on_time_share(self, start, end):
        """Return the share of requests within the objective.

        :param start: first second of the arrivals.
        :param end: second after the last.
        """
        seconds = range(start, end)
        total = sum(self.total.get(second, 0) for second in seconds)
        return sum(self.on_time.get(second, 0) for second in seconds) / total

    def schedule(self, delay, function, *arguments):
        event = (self.now + delay, next(self._numbers), function, arguments)
        heapq.heappush(self._events, event)

    def finish(self, request, target):
        """Deliver a response to the instance and to the caller."""
        now = self.now
        instance, selection = request.instance, request.selection
        tracked = selection.target
        load = target.get_load()
        tracked.end_request(request.number)
        tracked.record_load_report(load, now)
        instance.collector.record(tracked.endpoint.id, load, now)
        queue_time = (
            selection.expected_latency
            - selection.expected_service_time
            - selection.round_trip
        )
        seconds = now - request.arrived_at
        service_time = (
            max(0.0, seconds - selection.round_trip - max(0.0, queue_time))
            / selection.slowdown
        )
        tracked.record_response(service_time, now)
        instance.balancer.get_estimator(self._route).record(
            selection.service_time_key, service_time
        )
        if seconds + ROUND_TRIP <= self._route.objective:
            second = int(request.arrived_at)
            self.on_time[second] = self.on_time.get(second, 0) + 1

    def _make_instance(self, number, slots):
        catalog = EndpointCatalog()
        catalog.set_profiles({"s": PROFILE})
        for revision, target_id in enumerate(self.targets):
            catalog.put(make_endpoint(target_id, slots=slots), revision + 1, 0.0)
        members = SimpleNamespace(instance_counts=(1, 1, 1), get_view_age=lambda: 0.0)
        balancer = Balancer(SETTINGS, catalog, members, random.Random(number))
        return SimpleNamespace(
            balancer=balancer,
            catalog=catalog,
            collector=LoadCollector(),
            exchanged_at=0.0,
        )

    def _arrive(self):
        if self.now >= self._ends:
            return
        self.schedule(self.random.expovariate(self._rate), self._arrive)
        second = int(self.now)
        self.total[second] = self.total.get(second, 0) + 1
        instance = self.random.choice(self._instances)
        key = self.random.choices(range(len(self._key_weights)), self._key_weights)[0]
        selection_request = make_selection_request(self._route, str(key), now=self.now)
        selection = instance.balancer.choose(selection_request, self.now)
        if isinstance(selection, NoTarget):
            return
        instance.balancer.record_attempt(selection, selection_request, self.now)
        request = SimpleNamespace(
            instance=instance,
            selection=selection,
            key=key,
            arrived_at=self.now,
            number=next(self._numbers),
        )
        target = self.targets[selection.target.endpoint.id]
        selection.target.start_request(request.number, self.now)
        if not target.accept(request):
            selection.target.end_request(request.number)
            selection.target.record_not_executed(self.now)

    def _exchange(self):
        if self.now >= self._ends:
            return
        interval = EXCHANGE_INTERVAL / len(self._instances)
        for number, instance in enumerate(self._instances):
            self.schedule(number * interval, self._exchange_loads, instance)
        self.schedule(EXCHANGE_INTERVAL, self._exchange)

    def _exchange_loads(self, instance):
        for report in instance.collector.take():
            self._board.record(report, self.now)
            self._planner.record(report)
        if not self._has_exchange:
            return
        for report in self._board.get_since(instance.exchanged_at, self.now):
            instance.catalog.get_target(report.target_id).record_shared_load(report)
        instance.exchanged_at = self.now

    def _plan(self):
        if self.now >= self._ends:
            return
        self.schedule(PLAN_INTERVAL, self._plan)
        weights = self._planner.plan([list(self.targets)], self.now)
        if self._has_exchange:
            for instance in self._instances:
                instance.balancer.weights.replace(weights)
