"""Selection of targets by latency, and hedging.

The tests guard against requests that still go to a target after it has become slow,
and against hedges and retries that add more load than the retry budget allows.
"""

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
NOW = 100.0  # seconds; by then no slot is reserved for a previous owner
FAST, SLOW = 0.05, 0.5  # seconds


@pytest.fixture
def allocator():
    allocator = SlotAllocator(random.Random(1))
    configuration = make_configuration(3)
    owned = dict.fromkeys(configuration.targets, False)
    allocator.set_owned_targets(configuration, owned, frozenset(), 0.0)
    return allocator


def record_latencies(allocator, **latencies):
    """Complete one request at each target with a latency in seconds."""
    for name, latency in latencies.items():
        state = allocator.get_state(name)
        state.add_request(READ)
        state.end_request(READ, Completed(latency), NOW)


def test_all_requests_go_to_the_only_fast_target(allocator):
    record_latencies(allocator, t0=SLOW, t1=FAST, t2=SLOW)
    for _ in range(50):
        grant = allocator.acquire(READ, NOW)
        assert grant.state.target.name == "t1"
        allocator.release(grant, Completed(FAST), NOW)


def test_equally_fast_targets_share_requests(allocator):
    record_latencies(allocator, t0=FAST, t1=FAST, t2=FAST)
    granted = set()
    for _ in range(50):
        grant = allocator.acquire(READ, NOW)
        granted.add(grant.state.target.name)
        allocator.release(grant, Completed(FAST), NOW)
    assert granted == {"t0", "t1", "t2"}


def test_hedge_goes_to_another_target(allocator):
    record_latencies(allocator, t0=FAST, t1=SLOW, t2=SLOW)
    first = allocator.acquire(READ, NOW)
    second = allocator.acquire(READ, NOW, excluded=first.state)
    assert isinstance(second, Grant)
    assert second.state is not first.state


def test_hedge_is_rejected_without_another_target(allocator):
    first = allocator.acquire(READ, NOW)
    for name in ("t0", "t1", "t2"):
        state = allocator.get_state(name)
        state.is_reported_draining = state is not first.state
    assert isinstance(allocator.acquire(READ, NOW, excluded=first.state), Rejection)


def test_overdue_request_raises_latency_until_it_ends(allocator):
    record_latencies(allocator, t0=FAST, t1=FAST, t2=FAST)
    grant = allocator.acquire(READ, NOW)
    grant.state.record_overdue(0.07)
    assert grant.state.get_latency(NOW) > 0.07
    granted = {allocator.acquire(READ, NOW).state.target.name for _ in range(6)}
    assert grant.state.target.name not in granted
    grant.state.clear_overdue()
    assert grant.state.get_latency(NOW) == pytest.approx(FAST)


def test_hedge_loss_raises_latency_after_cancellation(allocator):
    record_latencies(allocator, t0=FAST, t1=FAST, t2=FAST)
    grant = allocator.acquire(READ, NOW)
    grant.state.record_overdue(0.07)
    grant.state.record_hedge_loss(0.12, NOW)
    grant.state.clear_overdue()
    allocator.release(grant, Cancelled(), NOW)
    assert grant.state.get_latency(NOW) == pytest.approx(0.36)


def test_hedge_delay_drops_old_latencies():
    hedge_delay = HedgeDelay()
    for number in range(120):
        hedge_delay.record_latency(0.2, number * 0.05)
    assert hedge_delay.get_delay() == pytest.approx(0.2)
    for number in range(120):
        hedge_delay.record_latency(FAST, 10.0 + number * 0.05)
    assert hedge_delay.get_delay() == pytest.approx(FAST)


def test_hedge_delay_is_available_for_rare_requests():
    hedge_delay = HedgeDelay()
    for number in range(60):
        hedge_delay.record_latency(FAST, number * 1.0)
    assert hedge_delay.get_delay() == pytest.approx(FAST)


def test_hedges_of_forwarded_requests_stay_within_share():
    """A forwarded request counts at its receiver and at the owner of the target."""
    entry, owner = RetryBudget(0.05, 6, 4), RetryBudget(0.05, 6, 4)
    requests, hedges = 2000, 0
    for _ in range(requests):
        entry.deposit()
        owner.deposit()
        hedges += owner.try_spend_hedge()
        hedges += entry.try_spend_hedge()
    assert hedges <= 0.05 * requests + 2 * (6 - 4)
    assert hedges >= 0.04 * requests
