"""What leaves its region, in which steps, and where clients connect."""

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
    COMFORT,
    MAX_AWAY,
    STEP_PER_SECOND,
    RegionCapacity,
    RemoteSharePlanner,
)


@settings(max_examples=50)
@given(st.integers(0, 10_000))
def test_share_of_other_regions_moves_in_steps(seed):
    chooser = random.Random(seed)
    shift, wanted = RegionShiftLimiter(0.15), chooser.random()
    windows = []
    for window in range(12):
        if chooser.random() < 0.3:
            wanted = chooser.random()
        away = 0
        for number in range(200):
            now = window * 2.0 + number * 0.01
            wants = chooser.random() < wanted
            goes = wants and shift.may_go_remote(now) or not shift.may_stay_local(now)
            shift.record_request(goes, now)
            away += goes
        windows.append(away / 200)
    for before, after in zip(windows, windows[1:], strict=False):
        assert abs(after - before) <= 0.15


def test_entries_are_the_nearest_and_weak_ones_rare():
    def make(name, domain, region, capacity=100.0):
        address = Address("10.0.0.1", 80)
        return GatewayMember(name, address, address, domain, region, "n", capacity)

    chooser = random.Random(1)
    members = [make("x", "a1", "a"), make("y", "a2", "a"), make("z", "b1", "b")]

    def names(*place):
        return [
            member.name for member in choose_entry_instances(members, *place, chooser)
        ]

    assert names("a1", "a") == ["x"]
    assert names("a3", "a") == ["x", "y"]
    assert len(names("c1", "c")) == 3
    members.append(make("weak", "a1", "a", 10.0))
    named = [names("a1", "a") for _ in range(1000)]
    assert all("x" in answer for answer in named)
    assert 50 < sum("weak" in answer for answer in named) < 200
    members.clear()
    assert names("a1", "a") == []


def run_plan(around, rate, work, seconds, planner=None, start=0.0):
    """Return the shares that a plan names while requests arrive evenly."""
    planner = planner or RemoteSharePlanner()
    shares = []
    for number in range(int(rate * seconds)):
        now = start + number / rate
        shares.append(planner.get_remote_share(around, now))
        planner.record_arrival(work, now)
    return shares


def test_small_region_is_relieved_from_the_first_request_on():
    # A third of the clients, an eighth of the slots.
    around = RegionCapacity(
        local_slots=12, all_slots=96, domain_instances=1, local_domains=2, all_domains=6
    )
    shares = run_plan(around, 60, 0.2, 20)
    everywhere = 6 / 96
    assert shares[0] == pytest.approx(1 - everywhere / (2 / 12))
    # 24 target-seconds a second for 12 slots, 72 for 96.
    assert shares[-1] == pytest.approx(1 - 0.75 / 2.0, abs=0.03)


def test_region_with_room_keeps_its_objects():
    around = RegionCapacity(
        local_slots=48, all_slots=96, domain_instances=1, local_domains=2, all_domains=6
    )
    assert set(run_plan(around, 60, 0.2, 10)) == {0.0}
    light = RegionCapacity(
        local_slots=12, all_slots=96, domain_instances=1, local_domains=2, all_domains=6
    )
    # 4 target-seconds a second for 12 slots are within comfort.
    assert run_plan(light, 10, 0.2, 30)[-1] == pytest.approx(0.0, abs=0.01)


@pytest.mark.parametrize("local_slots", [0, 12, 96])
def test_plan_stays_within_its_bounds(local_slots):
    around = RegionCapacity(
        local_slots=local_slots,
        all_slots=96,
        domain_instances=2,
        local_domains=2,
        all_domains=6,
    )
    planner = RemoteSharePlanner()
    shares = run_plan(around, 50, 0.05, 5, planner)
    shares += run_plan(around, 50, 2.0, 20, planner, 5.0)
    if local_slots == 0:
        assert set(shares) == {1.0}
        return
    assert min(shares) >= 0.0 and max(shares) <= MAX_AWAY
    for before, after in zip(shares, shares[1:], strict=False):
        assert abs(after - before) <= STEP_PER_SECOND / 50 + 1e-9
    assert 0 < COMFORT < 1
