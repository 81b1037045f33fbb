"""Targets that answer slowly are left alone at once, with little extra work."""

import random

import pytest

from turmericrudder.routing import (
    Budget,
    Cancelled,
    Finished,
    Grant,
    HedgeDelay,
    Refusal,
    TargetPool,
    Work,
)

from .routing_makers import make_configuration

READ = Work("reads", "gulf", False, 99.0)
NOW = 100.0  # seconds, after all slots have come into use
FAST, SLOW = 0.05, 0.5  # seconds


@pytest.fixture
def pool():
    pool = TargetPool(random.Random(1))
    configuration = make_configuration(3)
    owned = dict.fromkeys(configuration.targets, False)
    pool.set_owned(configuration, owned, frozenset(), 0.0)
    return pool


def teach(pool, **latencies):
    """Let each target answer once with a latency in seconds."""
    for name, latency in latencies.items():
        state = pool.get_state(name)
        state.take(READ)
        state.give_back(READ, Finished(latency), NOW)


def test_only_fast_target_gets_all_work(pool):
    teach(pool, t0=SLOW, t1=FAST, t2=SLOW)
    for _ in range(50):
        grant = pool.claim(READ, NOW)
        assert grant.state.target.name == "t1"
        pool.give_back(grant, Finished(FAST), NOW)


def test_equal_targets_share_the_work(pool):
    teach(pool, t0=FAST, t1=FAST, t2=FAST)
    seen = set()
    for _ in range(50):
        grant = pool.claim(READ, NOW)
        seen.add(grant.state.target.name)
        pool.give_back(grant, Finished(FAST), NOW)
    assert seen == {"t0", "t1", "t2"}


def test_second_attempt_goes_to_another_target(pool):
    teach(pool, t0=FAST, t1=SLOW, t2=SLOW)
    first = pool.claim(READ, NOW)
    second = pool.claim(READ, NOW, avoid=first.state)
    assert isinstance(second, Grant)
    assert second.state is not first.state


def test_second_attempt_needs_another_target(pool):
    first = pool.claim(READ, NOW)
    for name in ("t0", "t1", "t2"):
        state = pool.get_state(name)
        state.draining = state is not first.state
    assert isinstance(pool.claim(READ, NOW, avoid=first.state), Refusal)


def test_target_with_an_overdue_request_counts_as_slow_until_it_ends(pool):
    teach(pool, t0=FAST, t1=FAST, t2=FAST)
    grant = pool.claim(READ, NOW)
    grant.state.note_overdue(0.07)
    assert grant.state.get_latency(NOW) > 0.07
    chosen = {pool.claim(READ, NOW).state.target.name for _ in range(6)}
    assert grant.state.target.name not in chosen
    grant.state.forget_overdue()
    assert grant.state.get_latency(NOW) == pytest.approx(FAST)


def test_overtaken_target_stays_slow(pool):
    teach(pool, t0=FAST, t1=FAST, t2=FAST)
    grant = pool.claim(READ, NOW)
    grant.state.note_overdue(0.07)
    grant.state.note_overtaken(0.12, NOW)
    grant.state.forget_overdue()
    pool.give_back(grant, Cancelled(), NOW)
    assert grant.state.get_latency(NOW) == pytest.approx(0.36)


def test_delay_forgets_a_slow_time():
    clock = HedgeDelay()
    for number in range(120):
        clock.record(0.2, number * 0.05)
    assert clock.get() == pytest.approx(0.2)
    for number in range(120):
        clock.record(FAST, 10.0 + number * 0.05)
    assert clock.get() == pytest.approx(FAST)


def test_delay_of_rare_requests_is_known():
    clock = HedgeDelay()
    for number in range(60):
        clock.record(FAST, number * 1.0)
    assert clock.get() == pytest.approx(FAST)


def test_extra_work_of_a_forwarded_request_stays_within_the_share():
    """Two instances earn for it: the one it came to, and its target's owner."""
    entry, owner = Budget(0.05, 6, 4), Budget(0.05, 6, 4)
    requests, extra = 2000, 0
    for _ in range(requests):
        entry.earn_part()
        owner.earn_part()
        extra += owner.spend_hedge()
        extra += entry.spend_hedge()
    assert extra <= 0.05 * requests + 2 * (6 - 4)
    assert extra >= 0.04 * requests
