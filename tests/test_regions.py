"""Region shift, remote shares and the selection of entry instances."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from turmericrudder.address import Address
from turmericrudder.steering import (
    GatewayMember,
    choose_entry_instances,
)
from turmericrudder.steering.region_shift_limiter import RegionShiftLimiter
from turmericrudder.steering.remote_share_planner import (
    MAX_LOCAL_UTILIZATION,
    MAX_REMOTE_SHARE,
    STEP_PER_SECOND,
    RegionCapacity,
    RemoteSharePlanner,
)


@settings(max_examples=50)
@given(st.integers(0, 10_000))
def test_remote_share_changes_by_at_most_the_bound_between_windows(seed):
    rng = random.Random(seed)
    limiter, preferred_share = RegionShiftLimiter(0.15), rng.random()
    shares = []
    for window in range(12):
        if rng.random() < 0.3:
            preferred_share = rng.random()
        remote_count = 0
        for number in range(200):
            now = window * 2.0 + number * 0.01
            prefers_remote = rng.random() < preferred_share
            is_remote = (
                prefers_remote
                and limiter.may_go_remote(now)
                or not limiter.may_stay_local(now)
            )
            limiter.record_request(is_remote, now)
            remote_count += is_remote
        shares.append(remote_count / 200)
    for before, after in zip(shares, shares[1:], strict=False):
        assert abs(after - before) <= 0.15


def test_nearest_entry_instances_are_selected_by_capacity():
    def make_member(name, domain, region, capacity=100.0):
        address = Address("10.0.0.1", 80)
        return GatewayMember(name, address, address, domain, region, "n", capacity)

    rng = random.Random(1)
    members = [
        make_member("x", "a1", "a"),
        make_member("y", "a2", "a"),
        make_member("z", "b1", "b"),
    ]

    def choose_names(*locality):
        return [
            member.name for member in choose_entry_instances(members, *locality, rng)
        ]

    assert choose_names("a1", "a") == ["x"]
    assert choose_names("a3", "a") == ["x", "y"]
    assert len(choose_names("c1", "c")) == 3
    members.append(make_member("weak", "a1", "a", 10.0))
    selections = [choose_names("a1", "a") for _ in range(1000)]
    assert all("x" in names for names in selections)
    assert 50 < sum("weak" in names for names in selections) < 200
    members.clear()
    assert choose_names("a1", "a") == []


def run_planner(capacity, rate, service_time, seconds, planner=None, start=0.0):
    """Return the remote share before each of evenly spaced arrivals."""
    planner = planner or RemoteSharePlanner()
    shares = []
    for number in range(int(rate * seconds)):
        now = start + number / rate
        shares.append(planner.get_remote_share(capacity, now))
        planner.record_arrival(service_time, now)
    return shares


def test_small_region_has_a_remote_share_from_the_first_request_on():
    # The region has 2 of 6 domains, a third of the clients, and an eighth of the slots.
    capacity = RegionCapacity(
        local_slots=12, all_slots=96, domain_instances=1, local_domains=2, all_domains=6
    )
    shares = run_planner(capacity, 60, 0.2, 20)
    all_domains_per_slot = 6 / 96
    assert shares[0] == pytest.approx(1 - all_domains_per_slot / (2 / 12))
    # Local requests take 24 slot-seconds per second and have 12 local slots; the
    # requests of all domains take 72 and have 96.
    assert shares[-1] == pytest.approx(1 - 0.75 / 2.0, abs=0.03)


def test_region_with_spare_capacity_has_no_remote_share():
    capacity = RegionCapacity(
        local_slots=48, all_slots=96, domain_instances=1, local_domains=2, all_domains=6
    )
    assert set(run_planner(capacity, 60, 0.2, 10)) == {0.0}
    small_region = RegionCapacity(
        local_slots=12, all_slots=96, domain_instances=1, local_domains=2, all_domains=6
    )
    # 4 slot-seconds per second for 12 slots are below MAX_LOCAL_UTILIZATION.
    assert run_planner(small_region, 10, 0.2, 30)[-1] == pytest.approx(0.0, abs=0.01)


@pytest.mark.parametrize("local_slots", [0, 12, 96])
def test_remote_share_stays_within_its_bounds(local_slots):
    capacity = RegionCapacity(
        local_slots=local_slots,
        all_slots=96,
        domain_instances=2,
        local_domains=2,
        all_domains=6,
    )
    planner = RemoteSharePlanner()
    shares = run_planner(capacity, 50, 0.05, 5, planner)
    shares += run_planner(capacity, 50, 2.0, 20, planner, 5.0)
    if local_slots == 0:
        assert set(shares) == {1.0}
        return
    assert min(shares) >= 0.0 and max(shares) <= MAX_REMOTE_SHARE
    for before, after in zip(shares, shares[1:], strict=False):
        assert abs(after - before) <= STEP_PER_SECOND / 50 + 1e-9
    assert 0 < MAX_LOCAL_UTILIZATION < 1
