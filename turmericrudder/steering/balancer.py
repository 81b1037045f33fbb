"""Choose the target that a request should be sent to.

One cost covers everything that delays an answer: the distance, work that is
already there, whether the target has handled the object lately, how slow its
machine is now and how often it fails. All of it is learned from answers.
"""

import math
from dataclasses import dataclass

from ..rendezvous import get_score, get_unit_hash
from .region_shift_limiter import RegionShiftLimiter
from .remote_share_planner import RegionCapacity, RemoteSharePlanner
from .selection import NoTarget, NoTargetReason, Selection
from .service_time_estimator import UNSEEN_OTHER, UNSEEN_PREFERRED, ServiceTimeEstimator

__all__ = ["Balancer"]

# Until a first connection tells: what a round trip may take.
PRIOR_NEAR = 0.001  # seconds, within a region
PRIOR_FAR = 0.06  # seconds, between regions
JITTER = 0.02  # of the cost, so that instances with equal views differ
SIDE = ""  # the key of an object's side among its scores; no target has this id
MAX_OBJECTS = 4096  # objects whose order of targets is remembered
PLACE_WEIGHT = 0.3  # of the cost, for each place further down an object's order
MAX_PLACE = 5  # places after which further ones cost no more
LATENESS_SPREAD = 0.25  # of the expected time; how far answers scatter around it
COLD_SLOWDOWN = 2.0  # how much longer work is taken to last at a cold target
MAX_CROWD = 2.0  # requests for each slot beyond which more make no difference
# Of the time that an object takes longer at a target that does not know it: the
# price of a target on the side that is not the object's.
SIDE_WEIGHT = 0.5
CROWD_WEIGHT = 1.0  # what a busy service adds to the price of its targets' time


@dataclass(frozen=True, slots=True)
class _Outlook:
    """What the prices of all targets have in common for one request.

    :param crowd: requests for each slot of the region's targets.
    :param side: whether the object's side is another region.
    :param side_price: seconds that a target on the other side costs more.
    """

    estimator: ServiceTimeEstimator
    crowd: float
    side: bool
    side_price: float


class Balancer:
    """Pure decisions over the catalog's records.

    :param members: has ``instance_counts`` (members in this one's failure domain,
        failure domains of its region with members, all such domains) and
        ``may_send_to_cold(endpoint)``, whether this instance is the one that sends to
        a target while it is cold.
    """

    __slots__ = (
        "_catalog",
        "_estimates",
        "_members",
        "_plans",
        "_random",
        "_scores",
        "_settings",
        "_shift",
    )

    def __init__(self, settings, catalog, members, random):
        self._settings = settings
        self._catalog = catalog
        self._members = members
        self._random = random
        self._estimates = {}
        self._plans = {}
        self._scores = {}
        self._shift = RegionShiftLimiter(settings.bounds.max_shift)

    def get_estimator(self, route):
        """Return what is known of the work of a route's requests."""
        estimator = self._estimates.get(route.name)
        if estimator is None:
            estimator = self._estimates[route.name] = ServiceTimeEstimator(
                route.objective
            )
        return estimator

    def choose(self, request, now):
        """Return :class:`Selection` or :class:`NoTarget`; nothing is counted."""
        records = self._catalog.get_targets(request.service)
        if not records:
            return NoTarget(NoTargetReason.NONE_REGISTERED, request.route.objective)
        usable = [target for target in records if self._is_allowed(target, request)]
        if not usable:
            return NoTarget(NoTargetReason.NONE_ALLOWED, request.route.objective)
        reachable = [
            target for target in usable if now >= target.ejected_until
        ] or usable
        warm = [target for target in reachable if self._takes_more(target, now)]
        if not warm:
            return NoTarget(NoTargetReason.ALL_COLD, 1.0)
        best = self._get_cheapest(request, warm, now)
        if now + best.expected_latency > request.expires:
            return NoTarget(NoTargetReason.TOO_LATE, best.expected_latency / 2)
        return best

    def record_attempt(self, selection, request, now):
        """Count a request that is sent now."""
        target = selection.target
        if target.is_cold(now):
            target.cold_limiter.record_request(now)
        if request.affinity_key is not None:
            target.recent_keys.record((request.route.name, request.affinity_key))
        if not request.attempted_ids:
            self._plans[request.service].record_arrival(
                selection.expected_service_time, now
            )
        self._shift.record_request(selection.is_remote, now)

    def _is_allowed(self, target, request):
        homes = request.route.home_regions
        if homes and self._get_region(target) not in homes:
            return False
        target_id = target.endpoint.id
        may_have_it = (
            request.may_use_untried_target and target_id not in request.attempted_ids
        )
        if target_id != request.in_flight_target_id and not may_have_it:
            return False
        return self._catalog.is_usable(target)

    def _takes_more(self, target, now):
        if not target.is_cold(now):
            return True
        profile = self._catalog.get_profile(target.endpoint.service)
        if profile is None or profile.cold_rate is None:
            return True
        bounds = self._settings.bounds
        return self._members.may_send_to_cold(
            target.endpoint
        ) and target.cold_limiter.has_capacity(
            profile.cold_rate, bounds.cold_overage, bounds.cold_slack, now
        )

    def _get_cheapest(self, request, records, now):
        near, far = [], []
        for target in records:
            group = far if self._is_away(target) else near
            group.append((target, target.get_load(now)))
        outlook = self._look_out(request, near, far, now)
        chosen = {False: None, True: None}
        for is_remote, group in ((False, near), (True, far)):
            for place, (target, occupancy) in enumerate(self._rank(request, group)):
                found = self._weigh(
                    request, target, occupancy, place, is_remote, outlook, now
                )
                best = chosen[is_remote]
                if best is None or found.cost < best.cost:
                    chosen[is_remote] = found
        at_home, away = chosen[False], chosen[True]
        if at_home is None or away is None:
            return at_home or away
        if away.cost < at_home.cost:
            return away if self._shift.may_go_remote(now) else at_home
        return at_home if self._shift.may_stay_local(now) else away

    def _look_out(self, request, near, far, now):
        """Return what the prices of all targets have in common."""
        slots = occupied = 0
        for target, occupancy in near:
            slots += target.endpoint.slots
            occupied += min(occupancy, MAX_CROWD * target.endpoint.slots)
        all_slots = slots + sum(target.endpoint.slots for target, _ in far)
        around = RegionCapacity(slots, all_slots, *self._members.instance_counts)
        estimator = self.get_estimator(request.route)
        return _Outlook(
            estimator=estimator,
            crowd=occupied / slots if slots else 1.0,
            side=self._goes_away(request, around, now),
            side_price=SIDE_WEIGHT
            * (estimator.get(UNSEEN_OTHER) - estimator.get_seen()),
        )

    def _rank(self, request, group):
        """Return a group in the object's order of targets.

        All instances find the same order, so what one of them has made a
        target handle is where the others look for it.
        """
        if request.affinity_key is None:
            return group
        scores = self._get_scores(request)
        key = f"{request.route.name}/{request.affinity_key}"
        for target, _ in group:
            target_id = target.endpoint.id
            if target_id not in scores:
                scores[target_id] = get_score(key, target_id, target.endpoint.slots)
        return sorted(
            group,
            key=lambda item: (-scores[item[0].endpoint.id], item[0].endpoint.id),
        )

    def _weigh(self, request, target, occupancy, place, is_remote, outlook, now):
        key = self._get_work_key(request, target, place)
        slots = target.endpoint.slots
        slowdown = target.get_slowdown(now)
        if target.is_cold(now):
            slowdown *= COLD_SLOWDOWN
        work = outlook.estimator.get(key) * slowdown
        round_trip = target.round_trip
        if round_trip is None:
            round_trip = PRIOR_FAR if is_remote else PRIOR_NEAR
        wait = 0.0
        surplus = occupancy + 1 - slots
        if surplus > 0:
            wait = surplus * (target.mean_service_time or work) / slots
        expected = round_trip + wait + work
        cost = expected + CROWD_WEIGHT * outlook.crowd**2 * work
        if is_remote is not outlook.side:
            cost += outlook.side_price
        cost += self._get_lateness(request, expected, now)
        cost += target.get_failure_rate(now) * request.route.objective
        cost += target.get_stall_seconds(now, work)
        if request.affinity_key is not None:
            cost *= 1.0 + PLACE_WEIGHT * min(place, MAX_PLACE)
        cost *= 1.0 + JITTER * self._random.random()
        return Selection(
            target=target,
            expected_latency=expected,
            round_trip=round_trip,
            expected_service_time=work,
            slowdown=slowdown,
            cost=cost,
            region_utilization=outlook.crowd,
            service_time_key=key,
            is_remote=is_remote,
        )

    def _get_lateness(self, request, expected, now):
        """Return the price of an answer that may miss its objective."""
        objective = request.route.objective
        margin = request.arrived_at + objective - now - expected
        spread = LATENESS_SPREAD * max(expected, LATENESS_SPREAD * objective)
        return objective / (1.0 + math.exp(max(-50.0, min(50.0, margin / spread))))

    def _get_work_key(self, request, target, place):
        if request.affinity_key is None:
            return 0
        age = target.recent_keys.get_age((request.route.name, request.affinity_key))
        if age is not None:
            return age
        return UNSEEN_PREFERRED if place == 0 else UNSEEN_OTHER

    def _get_scores(self, request):
        key = (request.route.name, request.affinity_key)
        scores = self._scores.get(key)
        if scores is None:
            scores = self._scores[key] = {}
            if len(self._scores) > MAX_OBJECTS:
                del self._scores[next(iter(self._scores))]
        return scores

    def _goes_away(self, request, around, now):
        """Return whether the object's side is another region."""
        planner = self._plans.get(request.service)
        if planner is None:
            planner = self._plans[request.service] = RemoteSharePlanner()
        share = planner.get_remote_share(around, now)
        if share <= 0.0:
            return False
        if request.affinity_key is None:
            return self._random.random() < share
        scores = self._get_scores(request)
        if SIDE not in scores:
            scores[SIDE] = get_unit_hash(
                f"{request.route.name}/{request.affinity_key}", SIDE
            )
        return scores[SIDE] < share

    def _get_region(self, target):
        return self._settings.regions.get(target.endpoint.failure_domain)

    def _is_away(self, target):
        return self._get_region(target) != self._settings.region
