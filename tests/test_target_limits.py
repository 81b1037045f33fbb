"""Limits that targets name on the requests they take from all instances together."""

import bisect
import heapq
import itertools
import math
import random
from types import SimpleNamespace

import anyio
import pytest

from turmericrudder.address import Address
from turmericrudder.gateway.members import Members
from turmericrudder.steering import (
    Balancer,
    EndpointCatalog,
    GatewayMember,
    NoTarget,
)
from turmericrudder.steering.target_rate_limiter import TargetRateLimiter

from .platform_rig import Rig, wait_for
from .steering_makers import (
    BOUNDS,
    PROFILE,
    make_endpoint,
    make_route,
    make_selection_request,
)

DOMAINS = {f"{region}{n}": region for region in "abc" for n in (1, 2)}
STABLE_WINDOW = 4.0  # seconds from the first naming until a limit binds
WINDOW = 4.0  # seconds in which requests are counted
OVERAGE, SLACK = 1.5, 5  # accepted beyond the limit, and further requests in a window
REACTION_TIME = 0.5  # seconds from a response with a limit until it binds its receiver
SERVICE_TIME = 0.3  # seconds
ADDRESS = Address("10.0.0.1", 80)


class LimitedFleet:
    """Instances in three regions that send to targets in simulated time.

    :ivar sent: for each target id, (time, instance name) of each request.
    :ivar told: time of the first response with a limit, by (target id, instance name).
    """

    def __init__(self, instances, targets, limits, seed=1):
        self._random = random.Random(seed)
        self.limits = limits
        domains = list(DOMAINS)
        self._members = [
            GatewayMember(f"g{n}", ADDRESS, ADDRESS, domain, DOMAINS[domain], f"g{n}")
            for n in range(instances)
            for domain in [domains[n % 6]]
        ]
        endpoints = [
            make_endpoint(f"t{n}", domains[n % 6], slots=6) for n in range(targets)
        ]
        self.instances = [self._make_instance(m, endpoints) for m in self._members]
        self.sent = {endpoint.id: [] for endpoint in endpoints}
        self.told = {}
        self.rejected = 0

    def _make_instance(self, own_member, endpoints):
        settings = SimpleNamespace(
            bounds=BOUNDS, region=own_member.region, regions=DOMAINS, seeds=()
        )
        members = Members(settings, own_member)
        for member in self._members:
            members.put(member)
        members.senders.confirm_view(math.inf)
        catalog = EndpointCatalog()
        catalog.set_profiles({"s": PROFILE})
        for revision, endpoint in enumerate(endpoints):
            catalog.put(endpoint, revision + 1, 0.0)
        seed = random.Random(own_member.name)
        balancer = Balancer(settings, catalog, members, seed)
        return SimpleNamespace(
            name=own_member.name, balancer=balancer, catalog=catalog, members=members
        )

    def play(self, rate, ends):
        """Play Poisson arrivals at all instances until a time.

        :param rate: requests a second of the whole fleet.
        """
        route = make_route(has_affinity=True)
        numbers = itertools.count()
        responses = []
        now = self._random.expovariate(rate)
        while now < ends:
            while responses and responses[0][0] <= now:
                self._end(*heapq.heappop(responses))
            instance = self._random.choice(self.instances)
            key = str(self._random.randrange(200))
            request = make_selection_request(route, key, now)
            selection = instance.balancer.choose(request, now)
            if isinstance(selection, NoTarget):
                self.rejected += 1
            else:
                instance.balancer.record_attempt(selection, request, now)
                number = next(numbers)
                selection.target.start_request(number, now)
                self.sent[selection.target.endpoint.id].append((now, instance.name))
                end = (now + SERVICE_TIME, number, instance, selection.target)
                heapq.heappush(responses, end)
            now += self._random.expovariate(rate)

    def _end(self, now, number, instance, target):
        target_id = target.endpoint.id
        target.end_request(number)
        target.record_response(SERVICE_TIME, now)
        limit = self.limits.get(target_id)
        instance.balancer.record_limit(target, limit, now)
        if limit is not None:
            self.told.setdefault((target_id, instance.name), now)

    def get_excesses(self):
        """Return (target id, start, requests, allowed) of windows over the limit."""
        return [
            (target_id, start, count, allowed)
            for target_id, limit in self.limits.items()
            for allowed in [OVERAGE * limit * WINDOW + SLACK]
            for start, count in self._iter_windows(target_id)
            if count > allowed
        ]

    def _iter_windows(self, target_id):
        """Yield (start, requests) of each window that begins with a counted request."""
        named_at = min(
            at for (target, _), at in self.told.items() if target == target_id
        )
        times = [
            sent_at
            for sent_at, name in self.sent[target_id]
            if sent_at >= named_at + STABLE_WINDOW
            and sent_at >= self.told.get((target_id, name), sent_at) + REACTION_TIME
        ]
        for index, start in enumerate(times):
            yield start, bisect.bisect_left(times, start + WINDOW) - index

    def count_limited(self, start):
        """Return how many requests were sent to targets with a limit since a time."""
        return sum(
            sent_at >= start
            for target in self.limits
            for sent_at, _ in self.sent[target]
        )


@pytest.mark.parametrize(
    ("instances", "targets", "limit", "rate"),
    [
        (7, 16, 8.0, 200.0),
        (7, 16, 0.7, 60.0),
        (35, 24, 3.0, 150.0),
        (78, 36, 1.5, 150.0),
    ],
)
def test_target_gets_no_more_than_its_limit_from_all_instances(
    instances, targets, limit, rate
):
    limits = {f"t{n}": limit for n in range(targets) if n % 10 < 7}
    fleet = LimitedFleet(instances, targets, limits)
    fleet.play(rate, 20.0)
    assert fleet.get_excesses() == []
    # The limits are used, not only kept: half of what they allow in the last 8 s.
    assert fleet.count_limited(12.0) >= 0.5 * limit * len(limits) * 8.0


def test_expired_limit_lets_one_request_through_and_no_burst():
    limiter = TargetRateLimiter()
    # Only other instances send to the target.
    members = SimpleNamespace(revision=1, get_rate_share=lambda endpoint, count: 0.0)
    instances, limit, duration = 7, 2.0, 120
    limiter.record_limit(limit, instances, 0.0, random.Random(1))
    sent_times = []
    for tick in range(duration * 100):
        now = tick * 0.01
        while len(sent_times) < 100 and limiter.get_wait(None, members, now) == 0.0:
            limiter.record_request(now)
            sent_times.append(now)
    # All instances together may use a tenth of the limit to see whether it still holds.
    assert 1 <= len(sent_times) <= 1 + 0.1 * limit * duration / instances
    assert len(sent_times) == len(set(sent_times))


def test_part_of_the_limit_is_saved_from_the_time_it_is_named():
    limiter = TargetRateLimiter()
    members = SimpleNamespace(revision=1, get_rate_share=lambda endpoint, count: 0.5)
    limiter.record_limit(2.0, 7, 0.0, random.Random(1))
    assert limiter.get_wait(None, members, 0.4) == pytest.approx(0.6)
    limiter = TargetRateLimiter()
    limiter.record_limit(2.0, 7, 0.0, random.Random(1))
    assert limiter.get_wait(None, members, 1.5) == 0.0


def test_target_registered_again_keeps_its_limit_until_it_restarts():
    catalog = EndpointCatalog()
    catalog.put(make_endpoint(), 1, 0.0)
    catalog.get_target("t").rate_limiter.record_limit(2.0, 7, 0.0, random.Random(1))
    catalog.remove("t", 2, 5.0)
    assert catalog.get_targets("s") == ()
    catalog.put(make_endpoint(sequence=2), 3, 6.0)
    target = catalog.get_target("t")
    assert catalog.get_targets("s") == (target,) and catalog.is_usable(target)
    assert target.rate_limiter.limit == 2.0
    catalog.remove("t", 4, 7.0)
    catalog.put(make_endpoint(started_at_ms=2), 5, 8.0)
    assert catalog.get_target("t").rate_limiter.limit is None


@pytest.mark.anyio
async def test_two_processes_together_keep_the_limits_of_their_targets(tmp_path):
    limit = 4.0
    async with Rig(28400, tmp_path) as rig:
        process = rig.start_instance(port_offset=60)

        async def know_each_other():
            counts = [await rig.get_metric(offset, "members") for offset in (0, 60)]
            return counts == [2, 2]

        async def send(seconds):
            """Return the statuses of 50 requests a second, at both in turn."""
            statuses = []

            async def send_one(port_offset):
                response = await rig.send_request(port_offset=port_offset)
                statuses.append(response.status)

            async with anyio.create_task_group() as tasks:
                for number in range(int(seconds * 50)):
                    tasks.start_soon(send_one, 60 * (number % 2))
                    await anyio.sleep(0.02)
            return statuses

        try:
            await wait_for(know_each_other, 8.0)
            for target in rig.targets:
                target.fault.limit = limit
            await send(1.0)
            assert await rig.get_metric(0, "limited_targets") == len(rig.targets)
            for target in rig.targets:
                target.runs.clear()
            statuses = await send(WINDOW)
            for target in rig.targets:
                assert limit <= len(target.runs) <= OVERAGE * limit * WINDOW + SLACK
            assert set(statuses) == {200, 503}
            for target in rig.targets:
                target.fault.limit = None
            await send(1.0)
            assert set(await send(0.5)) == {200}
            assert await rig.get_metric(0, "limited_targets") == 0
        finally:
            process.kill()
            process.wait()
