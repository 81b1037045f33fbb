"""The balancer, which selects the target that a request is sent to.

Each target gets a cost in seconds, which covers the round trip, the queue at
the target, whether the target recently handled the affinity key, the target's
slowdown, its failure rate and time without a response, the utilization of the local
region, and the probability that the response misses the route's objective. The
target's values are measured on earlier connections and responses.

Requests about one object share an affinity key. For each key, rendezvous hashing
orders the local targets, and separately the remote ones; a target's position in its
order is its rank. A hash also assigns each key to the local region or to the remote
ones, its affinity region.

Only a few candidates are compared: the first of each order and some random others, so
that the time of a selection does not grow with the number of targets. All targets are
compared if no candidate can take the request, or none in time although the region has
free slots.
"""

import math
from dataclasses import dataclass

from .candidate_finder import UNTRIED_RETRY_AFTER, CandidateFinder
from .region_shift_limiter import RegionShiftLimiter
from .remote_share_planner import RegionCapacity, RemoteSharePlanner
from .selection import NoTarget, NoTargetReason, Selection
from .service_targets import ServiceTargets
from .service_time_estimator import UNSEEN_OTHER, UNSEEN_PREFERRED, ServiceTimeEstimator
from .target_weights import TargetWeights

__all__ = ["Balancer"]

# Round trips assumed until the first connection to a target.
PRIOR_LOCAL_ROUND_TRIP = 0.001  # seconds, within a region
PRIOR_REMOTE_ROUND_TRIP = 0.06  # seconds, between regions
# Largest random addition, as a fraction of the cost. Without it, instances with equal
# snapshots would all select the same target.
JITTER = 0.02
# Candidates in the order of the affinity key, and random ones besides. Without a key,
# all are random.
LOCAL_RANKED = 8
LOCAL_RANDOM = 2
REMOTE_RANKED = 6
REMOTE_RANDOM = 1
MAX_SERVICE_TARGETS = 256  # pairs of service and home regions with cached orders
RANK_WEIGHT = 0.3  # fraction of the cost that is added for each rank below the first
MAX_RANK = 5  # rank from which the cost no longer increases
LATENCY_SPREAD = 0.25  # fraction of the expected latency by which latencies vary
COLD_SLOWDOWN = 2.0  # assumed for a cold target: just started, with empty caches
# Fraction of the extra service time for a key that a target has not handled, added
# to the cost of a target outside the affinity region.
REGION_MISMATCH_WEIGHT = 0.5
# Factor on the service time times the square of the region's utilization, which is
# added to the cost: a busy region prefers targets that need less time.
UTILIZATION_WEIGHT = 1.0


@dataclass(frozen=True, slots=True)
class _CostContext:
    """Inputs of the cost that are the same for all targets of one request.

    :param region_utilization: load divided by slots over the local targets.
    :param is_remote_preferred: whether the affinity region is a remote one.
    :param region_mismatch_cost: seconds added for a target outside the affinity
        region.
    """

    estimator: ServiceTimeEstimator
    region_utilization: float
    is_remote_preferred: bool
    region_mismatch_cost: float


class Balancer:
    """Selects targets by cost from those in an endpoint catalog.

    :param members: has ``instance_counts`` (instances in this one's failure domain,
        failure domains of its region that have instances, all failure domains that
        have instances), ``get_cold_share(endpoint, bound)``, which returns how many
        requests a second this instance may send to a target while it is cold,
        ``get_view_age()``, which returns the seconds since the registrations in the
        store were as they are known here, and what :class:`TargetRateLimiter` needs.
    :param random: a ``random.Random``.
    :param ask_health: function of a target that asks it whether it is cold, without
        waiting for the answer.
    :ivar weights: the :class:`~turmericrudder.steering.TargetWeights`.
    """

    __slots__ = (
        "_candidates",
        "_catalog",
        "_estimators",
        "_members",
        "_planners",
        "_random",
        "_service_targets",
        "_settings",
        "_shift_limiter",
        "weights",
    )

    def __init__(self, settings, catalog, members, random, ask_health=lambda _: None):
        self._settings = settings
        self._catalog = catalog
        self._members = members
        self._random = random
        self._candidates = CandidateFinder(
            settings, catalog, members, random, ask_health
        )
        self._estimators = {}  # route name -> ServiceTimeEstimator
        self._planners = {}  # service -> RemoteSharePlanner
        self._service_targets = {}  # (service, home regions) -> ServiceTargets
        self.weights = TargetWeights()
        self._shift_limiter = RegionShiftLimiter(settings.bounds.max_shift)

    def get_estimator(self, route):
        """Return the :class:`ServiceTimeEstimator` of a route."""
        estimator = self._estimators.get(route.name)
        if estimator is None:
            estimator = self._estimators[route.name] = ServiceTimeEstimator(
                route.objective
            )
        return estimator

    def choose(self, request, now):
        """Return the :class:`Selection` with the least cost, or :class:`NoTarget`.

        The attempt is not counted until :meth:`record_attempt`.

        :param request: a :class:`SelectionRequest`.
        """
        if not self._catalog.get_targets(request.service):
            return NoTarget(NoTargetReason.NONE_REGISTERED, request.route.objective)
        service_targets = self._get_service_targets(request)
        order = (
            service_targets.get_order(request.order_key)
            if request.affinity_key is not None
            else None
        )
        local = self._candidates.get_some(
            request,
            service_targets.local,
            order.local if order is not None else None,
            LOCAL_RANKED,
            LOCAL_RANDOM,
            now,
        )
        must_wait = self._candidates.has_skipped_untried and (
            not request.has_waited_for_trials
        )
        if not local and must_wait:
            # Other regions are no substitute for the time of a first response.
            return NoTarget(NoTargetReason.ALL_UNTRIED, UNTRIED_RETRY_AFTER)
        remote = self._candidates.get_some(
            request,
            service_targets.remote,
            order.remote if order is not None else None,
            REMOTE_RANKED,
            REMOTE_RANDOM,
            now,
        )
        if not local and not remote:
            candidates = self._candidates.get_all(request, service_targets, now)
            if isinstance(candidates, NoTarget):
                return candidates
            local, remote = candidates
        best = self._get_cheapest(request, service_targets, order, local, remote, now)
        if now + best.expected_latency > request.expires:
            best = self._get_cheapest_of_all(request, service_targets, order, best, now)
        if now + best.expected_latency > request.expires:
            return NoTarget(NoTargetReason.TOO_LATE, best.expected_latency / 2)
        return best

    def record_attempt(self, selection, request, now):
        """Count an attempt that begins now.

        :param selection: the target it is meant for.
        :param request: the :class:`SelectionRequest` that led to the selection.
        """
        target = selection.target
        target.rate_limiter.record_request(now)
        if request.affinity_key is not None:
            target.recent_keys.record((request.route.name, request.affinity_key))
        if not request.attempted_ids:
            self._planners[request.service].record_arrival(
                selection.expected_service_time, now
            )
        self._shift_limiter.record_request(selection.is_remote, now)

    def admit(self, target, now):
        """Count a request whose first byte is about to be sent to a target.

        :returns: ``False`` if it must not be sent, because the target was removed, has
            said that it leaves or wants a pause, or the bound of a cold target was
            reached since the selection.
        """
        notices = target.notices
        if target.is_removed or notices.is_leaving or notices.is_paused(now):
            return False
        if not self._candidates.is_within_cold_bound(target, now):
            return False
        target.cold.record_request(now)
        return True

    def record_limit(self, target, limit, now):
        """Set the limit on its request rate that a target named in a response.

        :param limit: requests per second for all instances, ``None`` without a limit.
        """
        target.rate_limiter.record_limit(limit, len(self._members), now, self._random)

    def _get_service_targets(self, request):
        source = self._catalog.get_targets(request.service)
        home_regions = request.route.home_regions
        key = (request.service, home_regions)
        service_targets = self._service_targets.get(key)
        if (
            service_targets is None
            or service_targets.source is not source
            or service_targets.weights_revision != self.weights.revision
        ):
            if len(self._service_targets) >= MAX_SERVICE_TARGETS:
                self._service_targets.clear()
            service_targets = self._service_targets[key] = ServiceTargets(
                source,
                self.weights,
                self._is_remote,
                lambda target: (
                    not home_regions or self._get_region(target) in home_regions
                ),
            )
        return service_targets

    def _get_cheapest_of_all(self, request, service_targets, order, best, now):
        """Return the cheapest of all targets if some in the region have free slots.

        :param best: the cheapest of a few candidates; returned otherwise.
        """
        utilization = service_targets.get_utilization(self._catalog.is_usable, now)
        if not utilization.has_free_slots:
            return best
        local, remote = self._candidates.get_all(request, service_targets, now)
        return self._get_cheapest(request, service_targets, order, local, remote, now)

    def _get_cheapest(self, request, service_targets, order, local, remote, now):
        """Return the :class:`Selection` with the least cost.

        The region shift limiter may rule out the cheaper of the best local and the
        best remote target.

        :param local: candidates in the local region, in the order of the key.
        :param remote: candidates in other regions, in the order of the key.
        """
        context = self._make_cost_context(request, service_targets, order, now)
        best_by_group = {False: None, True: None}  # keyed by is_remote
        for is_remote, group in ((False, local), (True, remote)):
            for rank, target in enumerate(group):
                selection = self._make_selection(
                    request, target, rank, is_remote, context, now
                )
                best = best_by_group[is_remote]
                if best is None or selection.cost < best.cost:
                    best_by_group[is_remote] = selection
        best_local, best_remote = best_by_group[False], best_by_group[True]
        if best_local is None or best_remote is None:
            return best_local or best_remote
        if best_remote.cost < best_local.cost:
            return best_remote if self._shift_limiter.may_go_remote(now) else best_local
        return best_local if self._shift_limiter.may_stay_local(now) else best_remote

    def _make_cost_context(self, request, service_targets, order, now):
        utilization = service_targets.get_utilization(self._catalog.is_usable, now)
        capacity = RegionCapacity(
            utilization.local_slots,
            utilization.all_slots,
            *self._members.instance_counts,
        )
        estimator = self.get_estimator(request.route)
        return _CostContext(
            estimator=estimator,
            region_utilization=utilization.local,
            is_remote_preferred=self._prefers_remote(request, order, capacity, now),
            region_mismatch_cost=REGION_MISMATCH_WEIGHT
            * (estimator.get(UNSEEN_OTHER) - estimator.get_seen_key_seconds()),
        )

    def _make_selection(self, request, target, rank, is_remote, context, now):
        """Return a target with its cost for one request."""
        key = self._get_service_time_key(request, target, rank)
        slots = target.endpoint.slots
        slowdown = target.get_slowdown(now)
        if target.is_cold(now):
            slowdown *= COLD_SLOWDOWN
        service_time = context.estimator.get(key) * slowdown
        round_trip = target.round_trip
        if round_trip is None:
            round_trip = (
                PRIOR_REMOTE_ROUND_TRIP if is_remote else PRIOR_LOCAL_ROUND_TRIP
            )
        wait = 0.0
        excess = target.get_load(now) + 1 - slots
        if excess > 0:
            wait = excess * (target.mean_service_time or service_time) / slots
        latency = round_trip + wait + service_time
        cost = (
            latency + UTILIZATION_WEIGHT * context.region_utilization**2 * service_time
        )
        if is_remote is not context.is_remote_preferred:
            cost += context.region_mismatch_cost
        cost += self._get_lateness_cost(request, latency, now)
        cost += target.get_failure_rate(now) * request.route.objective
        cost += target.get_stall_seconds(now, service_time)
        if request.affinity_key is not None:
            cost *= 1.0 + RANK_WEIGHT * min(rank, MAX_RANK)
        cost *= 1.0 + JITTER * self._random.random()
        return Selection(
            target=target,
            expected_latency=latency,
            round_trip=round_trip,
            expected_service_time=service_time,
            slowdown=slowdown,
            cost=cost,
            region_utilization=context.region_utilization,
            service_time_key=key,
            is_remote=is_remote,
        )

    def _get_lateness_cost(self, request, latency, now):
        """Return the objective times the estimated probability of missing it."""
        objective = request.route.objective
        margin = request.arrived_at + objective - now - latency
        spread = LATENCY_SPREAD * max(latency, LATENCY_SPREAD * objective)
        return objective / (1.0 + math.exp(max(-50.0, min(50.0, margin / spread))))

    def _get_service_time_key(self, request, target, rank):
        if request.affinity_key is None:
            return 0
        age = target.recent_keys.get_age((request.route.name, request.affinity_key))
        if age is not None:
            return age
        return UNSEEN_PREFERRED if rank == 0 else UNSEEN_OTHER

    def _prefers_remote(self, request, order, capacity, now):
        """Return whether a request should run in a remote region.

        With an affinity key, this depends on the key's hash; without one, it is
        random.

        :param order: the key's :class:`KeyOrder`, ``None`` without a key.
        """
        planner = self._planners.get(request.service)
        if planner is None:
            planner = self._planners[request.service] = RemoteSharePlanner()
        share = planner.get_remote_share(capacity, now)
        if share <= 0.0:
            return False
        value = self._random.random() if order is None else order.region_hash
        return value < share

    def _get_region(self, target):
        return self._settings.regions.get(target.endpoint.failure_domain)

    def _is_remote(self, target):
        return self._get_region(target) != self._settings.region
