"""Targets that answer slowly are left alone at once, with little extra work."""

import random

import pytest

from turmericrudder.routing import (
    AdmissionRequest,
    Cancelled,
    Completed,
    Grant,
    HedgeDelay,
    Rejection,
    RetryBudget,
    SlotAllocator,
)

from .routing_makers import make_configuration

READ = AdmissionRequest("reads", "gulf", False, 99.0)
NOW = 100.0  # seconds, after all slots have come into use
FAST, SLOW = 0.05, 0.5  # seconds


@pytest.fixture
def allocator():
    allocator = SlotAllocator(random.Random(1))
    configuration = make_configuration(3)
    owned = dict.fromkeys(configuration.targets, False)
    allocator.set_owned_targets(configuration, owned, frozenset(), 0.0)
    return allocator


def teach(allocator, **latencies):
    """Let each target answer once with a latency in seconds."""
    for name, latency in latencies.items():
        state = allocator.get_state(name)
        state.add_request(READ)
        state.end_request(READ, Completed(latency), NOW)


def test_only_fast_target_gets_all_work(allocator):
    teach(allocator, t0=SLOW, t1=FAST, t2=SLOW)
    for _ in range(50):
        grant = allocator.acquire(READ, NOW)
        assert grant.state.target.name == "t1"
        allocator.release(grant, Completed(FAST), NOW)


def test_equal_targets_share_the_work(allocator):
    teach(allocator, t0=FAST, t1=FAST, t2=FAST)
    seen = set()
    for _ in range(50):
        grant = allocator.acquire(READ, NOW)
        seen.add(grant.state.target.name)
        allocator.release(grant, Completed(FAST), NOW)
    assert seen == {"t0", "t1", "t2"}


def test_second_attempt_goes_to_another_target(allocator):
    teach(allocator, t0=FAST, t1=SLOW, t2=SLOW)
    first = allocator.acquire(READ, NOW)
    second = allocator.acquire(READ, NOW, excluded=first.state)
    assert isinstance(second, Grant)
    assert second.state is not first.state


def test_second_attempt_needs_another_target(allocator):
    first = allocator.acquire(READ, NOW)
    for name in ("t0", "t1", "t2"):
        state = allocator.get_state(name)
        state.is_reported_draining = state is not first.state
    assert isinstance(allocator.acquire(READ, NOW, excluded=first.state), Rejection)


def test_target_with_an_overdue_request_counts_as_slow_until_it_ends(allocator):
    teach(allocator, t0=FAST, t1=FAST, t2=FAST)
    grant = allocator.acquire(READ, NOW)
    grant.state.record_overdue(0.07)
    assert grant.state.get_latency(NOW) > 0.07
    chosen = {allocator.acquire(READ, NOW).state.target.name for _ in range(6)}
    assert grant.state.target.name not in chosen
    grant.state.clear_overdue()
    assert grant.state.get_latency(NOW) == pytest.approx(FAST)


def test_overtaken_target_stays_slow(allocator):
    teach(allocator, t0=FAST, t1=FAST, t2=FAST)
    grant = allocator.acquire(READ, NOW)
    grant.state.record_overdue(0.07)
    grant.state.record_hedge_loss(0.12, NOW)
    grant.state.clear_overdue()
    allocator.release(grant, Cancelled(), NOW)
    assert grant.state.get_latency(NOW) == pytest.approx(0.36)


def test_delay_forgets_a_slow_time():
    clock = HedgeDelay()
    for number in range(120):
        clock.record_latency(0.2, number * 0.05)
    assert clock.get() == pytest.approx(0.2)
    for number in range(120):
        clock.record_latency(FAST, 10.0 + number * 0.05)
    assert clock.get() == pytest.approx(FAST)


def test_delay_of_rare_requests_is_known():
    clock = HedgeDelay()
    for number in range(60):
        clock.record_latency(FAST, number * 1.0)
    assert clock.get() == pytest.approx(FAST)


def test_extra_work_of_a_forwarded_request_stays_within_the_share():
    """Two instances earn for it: the one it came to, and its target's owner."""
    entry, owner = RetryBudget(0.05, 6, 4), RetryBudget(0.05, 6, 4)
    requests, extra = 2000, 0
    for _ in range(requests):
        entry.deposit()
        owner.deposit()
        extra += owner.try_spend_hedge()
        extra += entry.try_spend_hedge()
    assert extra <= 0.05 * requests + 2 * (6 - 4)
    assert extra >= 0.04 * requests
