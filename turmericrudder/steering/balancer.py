"""Choose the target that a request should be sent to.

One cost covers everything that delays an answer: the distance, work that is
already there, whether the target has handled the object lately, how slow its
machine is now and how often it fails. All of it is learned from answers.
"""

import math
from dataclasses import dataclass

from ..rendezvous import get_score, get_unit_hash
from .choice import Chosen, NoTarget, Obstacle
from .region_plan import RegionPlan, Surroundings
from .region_shift import RegionShift
from .work_estimate import FIRST, OTHER, WorkEstimate

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

    estimate: WorkEstimate
    crowd: float
    side: bool
    side_price: float


class Balancer:
    """Pure decisions over the catalog's records.

    :param members: has ``counts`` (members in this one's failure domain, failure
        domains of its region with members, all such domains) and
        ``feeds_cold(endpoint)``, whether this instance is the one that sends to
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
        self._shift = RegionShift(settings.bounds.max_shift)

    def get_estimate(self, route):
        """Return what is known of the work of a route's requests."""
        estimate = self._estimates.get(route.name)
        if estimate is None:
            estimate = self._estimates[route.name] = WorkEstimate(route.objective)
        return estimate

    def choose(self, query, now):
        """Return :class:`Chosen` or :class:`NoTarget`; nothing is counted."""
        records = self._catalog.get_records(query.service)
        if not records:
            return NoTarget(Obstacle.NONE_REGISTERED, query.route.objective)
        usable = [record for record in records if self._is_allowed(record, query)]
        if not usable:
            return NoTarget(Obstacle.NONE_ALLOWED, query.route.objective)
        reachable = [
            record for record in usable if now >= record.blocked_until
        ] or usable
        warm = [record for record in reachable if self._takes_more(record, now)]
        if not warm:
            return NoTarget(Obstacle.ALL_COLD, 1.0)
        best = self._get_cheapest(query, warm, now)
        if now + best.expected > query.expires:
            return NoTarget(Obstacle.TOO_LATE, best.expected / 2)
        return best

    def note_sent(self, chosen, query, now):
        """Count a request that is sent now."""
        record = chosen.record
        if record.is_cold(now):
            record.cold_gate.note(now)
        if query.object_key is not None:
            record.objects.note((query.route.name, query.object_key))
        if not query.tried:
            self._plans[query.service].note(chosen.work, now)
        self._shift.note(chosen.is_away, now)

    def _is_allowed(self, record, query):
        homes = query.route.home_regions
        if homes and self._get_region(record) not in homes:
            return False
        target_id = record.endpoint.id
        may_have_it = query.may_spread and target_id not in query.tried
        if target_id != query.running and not may_have_it:
            return False
        return self._catalog.is_usable(record)

    def _takes_more(self, record, now):
        if not record.is_cold(now):
            return True
        profile = self._catalog.get_profile(record.endpoint.service)
        if profile is None or profile.cold_rate is None:
            return True
        bounds = self._settings.bounds
        return self._members.feeds_cold(record.endpoint) and record.cold_gate.is_open(
            profile.cold_rate, bounds.cold_overage, bounds.cold_slack, now
        )

    def _get_cheapest(self, query, records, now):
        near, far = [], []
        for record in records:
            group = far if self._is_away(record) else near
            group.append((record, record.get_occupancy(now)))
        outlook = self._look_out(query, near, far, now)
        chosen = {False: None, True: None}
        for is_away, group in ((False, near), (True, far)):
            for place, (record, occupancy) in enumerate(self._rank(query, group)):
                found = self._weigh(
                    query, record, occupancy, place, is_away, outlook, now
                )
                best = chosen[is_away]
                if best is None or found.cost < best.cost:
                    chosen[is_away] = found
        at_home, away = chosen[False], chosen[True]
        if at_home is None or away is None:
            return at_home or away
        if away.cost < at_home.cost:
            return away if self._shift.may_leave(now) else at_home
        return at_home if self._shift.may_stay(now) else away

    def _look_out(self, query, near, far, now):
        """Return what the prices of all targets have in common."""
        slots = occupied = 0
        for record, occupancy in near:
            slots += record.endpoint.slots
            occupied += min(occupancy, MAX_CROWD * record.endpoint.slots)
        all_slots = slots + sum(record.endpoint.slots for record, _ in far)
        around = Surroundings(slots, all_slots, *self._members.counts)
        estimate = self.get_estimate(query.route)
        return _Outlook(
            estimate=estimate,
            crowd=occupied / slots if slots else 1.0,
            side=self._goes_away(query, around, now),
            side_price=SIDE_WEIGHT * (estimate.get(OTHER) - estimate.get_seen()),
        )

    def _rank(self, query, group):
        """Return a group in the object's order of targets.

        All instances find the same order, so what one of them has made a
        target handle is where the others look for it.
        """
        if query.object_key is None:
            return group
        scores = self._get_scores(query)
        key = f"{query.route.name}/{query.object_key}"
        for record, _ in group:
            target_id = record.endpoint.id
            if target_id not in scores:
                scores[target_id] = get_score(key, target_id, record.endpoint.slots)
        return sorted(
            group,
            key=lambda item: (-scores[item[0].endpoint.id], item[0].endpoint.id),
        )

    def _weigh(self, query, record, occupancy, place, is_away, outlook, now):
        key = self._get_work_key(query, record, place)
        slots = record.endpoint.slots
        slowdown = record.get_slowdown(now)
        if record.is_cold(now):
            slowdown *= COLD_SLOWDOWN
        work = outlook.estimate.get(key) * slowdown
        round_trip = record.round_trip
        if round_trip is None:
            round_trip = PRIOR_FAR if is_away else PRIOR_NEAR
        wait = 0.0
        surplus = occupancy + 1 - slots
        if surplus > 0:
            wait = surplus * (record.mean_work or work) / slots
        expected = round_trip + wait + work
        cost = expected + CROWD_WEIGHT * outlook.crowd**2 * work
        if is_away is not outlook.side:
            cost += outlook.side_price
        cost += self._get_lateness(query, expected, now)
        cost += record.get_failure_share(now) * query.route.objective
        cost += record.get_stall(now, work)
        if query.object_key is not None:
            cost *= 1.0 + PLACE_WEIGHT * min(place, MAX_PLACE)
        cost *= 1.0 + JITTER * self._random.random()
        return Chosen(
            record=record,
            expected=expected,
            round_trip=round_trip,
            work=work,
            slowdown=slowdown,
            cost=cost,
            crowd=outlook.crowd,
            work_key=key,
            is_away=is_away,
        )

    def _get_lateness(self, query, expected, now):
        """Return the price of an answer that may miss its objective."""
        objective = query.route.objective
        margin = query.arrived + objective - now - expected
        spread = LATENESS_SPREAD * max(expected, LATENESS_SPREAD * objective)
        return objective / (1.0 + math.exp(max(-50.0, min(50.0, margin / spread))))

    def _get_work_key(self, query, record, place):
        if query.object_key is None:
            return 0
        age = record.objects.get_age((query.route.name, query.object_key))
        if age is not None:
            return age
        return FIRST if place == 0 else OTHER

    def _get_scores(self, query):
        key = (query.route.name, query.object_key)
        scores = self._scores.get(key)
        if scores is None:
            scores = self._scores[key] = {}
            if len(self._scores) > MAX_OBJECTS:
                del self._scores[next(iter(self._scores))]
        return scores

    def _goes_away(self, query, around, now):
        """Return whether the object's side is another region."""
        plan = self._plans.get(query.service)
        if plan is None:
            plan = self._plans[query.service] = RegionPlan()
        share = plan.get_share(around, now)
        if share <= 0.0:
            return False
        if query.object_key is None:
            return self._random.random() < share
        scores = self._get_scores(query)
        if SIDE not in scores:
            scores[SIDE] = get_unit_hash(f"{query.route.name}/{query.object_key}", SIDE)
        return scores[SIDE] < share

    def _get_region(self, record):
        return self._settings.regions.get(record.endpoint.failure_domain)

    def _is_away(self, record):
        return self._get_region(record) != self._settings.region
