"""Cold targets, and what all instances together send to one whatever they believe."""

import itertools
import random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmericrudder.address import Address
from turmericrudder.gateway.members import Members
from turmericrudder.steering import GatewayMember, NoTarget, Selection, SenderRoster
from turmericrudder.steering.cold_tracker import MARGIN, WINDOW, ColdTracker
from turmericrudder.steering.sender_roster import (
    DIVIDED_FRACTION,
    FORMER_MEMBER_TTL,
    JOIN_DELAY,
    SHARE_TTL,
    divide_evenly,
)

from .steering_makers import (
    PROFILE,
    SETTINGS,
    make_balancer,
    make_endpoint,
    make_selection_request,
)

ADDRESS = Address("10.0.0.1", 80)
BOUNDS = (15.95, 12.85, 4.0, 1.0)
REGIONS = ("a", "b", "c")
LEASE_TTL = 4.0  # seconds
STEP = 0.25  # seconds


def make_member(number):
    region = REGIONS[number % 3]
    return GatewayMember(f"g{number}", ADDRESS, ADDRESS, f"{region}1", region, "n")


@given(st.integers(0, 40), st.integers(1, 30))
def test_parts_add_up_and_do_not_grow_with_more_members(total, count):
    parts = [divide_evenly(total, count, rank) for rank in range(count)]
    assert sum(parts) == total
    for rank, part in enumerate(parts):
        assert part >= divide_evenly(total, count + 1, rank)
        assert part >= divide_evenly(total, count + 1, rank + 1)


class SimulatedInstance:
    """An instance that follows the simulated store, or a peer while it cannot."""

    def __init__(self, member, now):
        self.member = member
        self.roster = SenderRoster(member)
        self.known = {}
        self.is_cut_off = False  # from the store
        self.is_alone = False  # from the store and the other instances
        self.frozen_until = now
        self.renewed_at = -1.0

    def is_running(self, now):
        return now >= self.frozen_until

    def apply(self, entries, as_of, now):
        for name in self.known.keys() - entries.keys():
            self.roster.remove(name, now)
        for member in entries.values():
            self.roster.put(member)
        self.known = dict(entries)
        self.roster.confirm_view(as_of)
        self.roster.forget_former(now)


class SimulatedDeployment:
    """Instances and a store through random trouble, in simulated time."""

    def __init__(self, seed, count):
        self._random = random.Random(seed)
        self.now = 0.0
        self._entries, self._leases = {}, {}
        self._numbers = itertools.count()
        self.instances = []
        self._store_down_until = 0.0
        self._do_leases_lapse = True
        for _ in range(count):
            self._join()

    def _join(self):
        member = make_member(next(self._numbers))
        self.instances.append(SimulatedInstance(member, self.now))

    def play(self, seconds, trouble=0.0):
        """Play for some time; each step begins trouble with a probability."""
        for _ in range(int(seconds / STEP)):
            self.now += STEP
            if self._random.random() < trouble:
                self._begin_trouble()
            self._expire()
            for instance in self.instances:
                if instance.is_running(self.now):
                    self._act(instance)
            yield

    def get_shares(self, target_id, bound):
        return [
            instance.roster.get_share(target_id, "a", bound, self.now)
            for instance in self.instances
            if instance.is_running(self.now)
        ]

    def _begin_trouble(self):
        instance = self._random.choice(self.instances)
        seconds = self._random.choice((1, 3, 5, 9, 30))
        match self._random.randrange(8):
            case 0:
                self._store_down_until = self.now + seconds
                self._do_leases_lapse = self._random.random() < 0.5
            case 1:
                for other in self.instances:
                    other.is_cut_off = self._random.random() < 0.4
            case 2:
                instance.is_cut_off = instance.is_alone = True
            case 3:
                instance.frozen_until = self.now + seconds
            case 4:
                index = self.instances.index(instance)
                self.instances[index] = SimulatedInstance(instance.member, self.now)
            case 5:
                self._join()
            case 6 if len(self.instances) > 2:
                self.instances.remove(instance)
            case _:
                for other in self.instances:
                    other.is_cut_off = other.is_alone = False

    def _expire(self):
        if self.now < self._store_down_until and not self._do_leases_lapse:
            self._leases = {name: until + STEP for name, until in self._leases.items()}
        for name, until in list(self._leases.items()):
            if until <= self.now:
                del self._leases[name], self._entries[name]

    def _act(self, instance):
        member = instance.member
        if self.now < self._store_down_until or instance.is_cut_off:
            self._follow_peer(instance)
            return
        if self.now >= instance.renewed_at + 1.0:
            self._entries[member.name] = member
            self._leases[member.name] = self.now + LEASE_TTL
            instance.renewed_at = self.now
            instance.roster.confirm_registration(self.now)
        if self._random.random() < 0.5:
            instance.apply(self._entries, self.now, self.now)

    def _follow_peer(self, instance):
        peer = self._random.choice(self.instances)
        is_reachable = not (instance.is_alone or peer.is_alone)
        if not is_reachable or not peer.is_running(self.now):
            return
        as_of = peer.roster.view_confirmed_at
        if as_of > instance.roster.view_confirmed_at:
            instance.apply(peer.known, as_of, self.now)


@pytest.mark.parametrize("seed", range(40))
def test_all_instances_together_stay_within_the_bound_whatever_they_believe(seed):
    """Three instances sent to one cold target, more than it tolerates (review/3)."""
    deployment = SimulatedDeployment(seed, count=random.Random(seed).randint(1, 30))
    for _ in deployment.play(90.0, trouble=0.1):
        for bound in BOUNDS:
            for target_id in ("t0", "t1"):
                assert sum(deployment.get_shares(target_id, bound)) <= bound


@pytest.mark.parametrize("count", [1, 2, 7, 30])
def test_in_calm_the_instances_use_most_of_the_bound(count):
    deployment = SimulatedDeployment(1, count)
    for _ in deployment.play(2 * JOIN_DELAY):
        pass
    for bound in BOUNDS[:3]:
        shares = deployment.get_shares("t0", bound)
        assert sum(shares) == int(DIVIDED_FRACTION * bound)
    # The instances in the target's region have most of it.
    local = [
        share
        for instance, share in zip(
            deployment.instances, deployment.get_shares("t0", BOUNDS[0]), strict=True
        )
        if instance.member.region == "a"
    ]
    assert sum(local) >= 0.7 * DIVIDED_FRACTION * BOUNDS[0]


def test_share_ends_without_confirmation_and_waits_after_a_restart():
    member = make_member(0)
    roster = SenderRoster(member)
    roster.confirm_view(0.0)
    roster.confirm_registration(0.0)
    assert not roster.may_send(JOIN_DELAY - 0.1)
    for second in range(int(JOIN_DELAY) + 1):
        roster.confirm_view(float(second))
        roster.confirm_registration(float(second))
    assert roster.may_send(JOIN_DELAY)
    roster.confirm_view(100.0)  # its registration has lapsed in the store
    assert not roster.may_send(JOIN_DELAY + SHARE_TTL)
    roster.confirm_registration(100.0)
    assert not roster.may_send(100.0)
    assert roster.get_view_age(101.0) == 1.0


def test_former_member_counts_until_it_cannot_send():
    roster = SenderRoster(make_member(0))
    roster.put(make_member(3))
    for second in range(20):
        roster.confirm_view(float(second))
        roster.confirm_registration(float(second))
    both = roster.get_share("t", "a", 100.0, 19.0)
    roster.remove("g3", 19.0)
    roster.forget_former(19.0 + FORMER_MEMBER_TTL - 0.1)
    assert roster.get_share("t", "a", 100.0, 19.0) == both
    roster.forget_former(19.0 + FORMER_MEMBER_TTL)
    assert roster.get_share("t", "a", 100.0, 19.0) == 2 * both


@given(st.lists(st.floats(0.0, 0.4), max_size=100), st.integers(1, 9))
def test_tracker_counts_what_may_arrive_within_a_second(gaps, limit):
    tracker, now, sent = ColdTracker(), 0.0, []
    for gap in gaps:
        now += gap
        if tracker.count_recent(now) < limit:
            tracker.record_request(now)
            sent.append(now)
    for start in sent:
        assert sum(start <= at <= start + WINDOW + MARGIN / 2 for at in sent) <= limit


def test_next_incarnation_counts_what_was_sent_to_its_address():
    tracker = ColdTracker()
    tracker.record_request(1.0)
    assert tracker.make_successor().count_recent(1.5) == 1


def test_request_is_not_sent_beyond_the_bound_that_was_reached_meanwhile():
    """Both requests are selected before either is sent, while connections open."""
    catalog, balancer = make_balancer(make_endpoint(cold_remaining=3.0), cold_share=1)
    selections = [balancer.choose(make_selection_request(), 0.0) for _ in range(2)]
    assert all(isinstance(selection, Selection) for selection in selections)
    target = catalog.get_target("t")
    assert balancer.admit(target, 0.1) and not balancer.admit(target, 0.1)
    assert isinstance(balancer.choose(make_selection_request(), 0.1), NoTarget)
    assert balancer.admit(target, 0.1 + WINDOW + MARGIN)
    target.is_removed = True
    assert not balancer.admit(target, 9.0)


REJECTED = 2  # of the three instances


def test_instances_that_the_store_turns_away_share_the_bound(monkeypatch):
    """Each instance without a registration took itself for the one that sends."""
    clock = [0.0]
    monkeypatch.setattr(
        "turmericrudder.gateway.members.get_boot_time", lambda: clock[0]
    )
    members = [make_member(3 * number) for number in range(3)]
    fleet = []
    for own_member in members:
        settings = SimpleNamespace(
            region="a", regions={"a1": "a"}, bounds=SETTINGS.bounds
        )
        view = Members(settings, own_member)
        for member in members:
            view.put(member)
        fleet.append(view)
    for second in range(20):
        clock[0] = float(second)
        for number, view in enumerate(fleet):
            view.senders.confirm_view(clock[0])
            if second < 10 or number >= REJECTED:
                view.senders.confirm_registration(clock[0])
            if second == 14:  # the leases have expired, which peers tell
                for member in members[:REJECTED]:
                    view.remove(member.name)
    for number in range(20):
        cold = make_endpoint(f"t{number}", cold_remaining=3.0)
        sent = 0
        for view in fleet:
            catalog, balancer = make_balancer(cold, members=view)
            target = catalog.get_target(cold.id)
            request = make_selection_request()
            while isinstance(selection := balancer.choose(request, 0.1), Selection):
                balancer.record_attempt(selection, request, 0.1)
                assert balancer.admit(target, 0.1)
                sent += 1
        assert 1 <= sent <= PROFILE.cold_rate * 1.5 + 5
