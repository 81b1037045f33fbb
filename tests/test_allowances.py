"""Shares, rates and budgets that instances keep without asking each other."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from turmericrudder.steering import (
    Backend,
    SmoothWeightedRoundRobin,
    WindowedRetryBudget,
)
from turmericrudder.steering.cold_rate_limiter import ColdRateLimiter


@given(st.lists(st.integers(0, 40), min_size=1, max_size=5))
def test_split_is_exact_over_its_sum(weights):
    backends = tuple(Backend(f"s{n}", float(w)) for n, w in enumerate(weights))
    split, counts = (
        SmoothWeightedRoundRobin(),
        dict.fromkeys((b.service for b in backends), 0),
    )
    for _ in range(sum(weights)):
        counts[split.choose(backends)] += 1
    assert list(counts.values()) == [*map(int, weights)]


@settings(max_examples=50)
@given(st.lists(st.floats(0.0, 0.2), max_size=200), st.integers(1, 9))
def test_instances_together_keep_the_rate_of_a_cold_target(gaps, seed):
    """Two instances that both believe to feed it; naive count of each second."""
    chooser = random.Random(seed)
    limiters = [ColdRateLimiter(), ColdRateLimiter()]
    now, sent = 0.0, []
    for gap in gaps:
        now += gap
        limiter = chooser.choice(limiters)
        if limiter.has_capacity(7.3, 1.5, 5, now):
            limiter.record_request(now)
            sent.append(now)
    for start in sent:
        assert sum(start <= at < start + 1.0 for at in sent) <= 7.3 * 1.5 + 5


def check_every_window(requests, repeats, ratio, extra, window):
    """Check the budget in the window that begins with each repeat."""
    for start in repeats:
        spent = sum(start <= at < start + window for at in repeats)
        # The rule counts the requests of the window or of the one before it.
        earned = max(
            sum(at - window <= then < at for then in requests)
            for at in (start, start + window / 2, start + window)
        )
        assert spent <= ratio * earned + extra


@settings(max_examples=50)
@given(st.lists(st.tuples(st.floats(0.0, 0.5), st.booleans()), max_size=300))
def test_repeats_stay_within_the_budget_of_every_window(steps):
    instances, ratio, extra, window = 4, 0.2, 64, 10.0
    budget = WindowedRetryBudget(ratio, extra, window, -window)
    now, requests, repeats = 0.0, [], []
    for gap, is_repeat in steps:
        now += gap
        if not is_repeat:
            budget.record_request(now)
            requests.append(now)
        elif budget.try_spend(now, instances):
            repeats.append(now)
    check_every_window(requests, repeats, ratio, extra / instances, window)


@settings(max_examples=50)
@given(st.lists(st.sampled_from("rrrrx"), max_size=400), st.integers(0, 400))
def test_restarts_stay_within_the_budget_of_every_window(steps, restart):
    """An instance that is started anew does not know what it repeated before."""
    ratio, extra, window, gap = 0.2, 8, 10.0, 0.05
    steps = ["r"] * 200 + [*steps[:restart], *"x" * 50, "restart", *steps[restart:]]
    budget = WindowedRetryBudget(ratio, extra, window, -window)
    now, requests, repeats = 0.0, [], []
    for step in steps + ["r", "x"] * 200:
        now += gap
        match step:
            case "r":
                budget.record_request(now)
                requests.append(now)
            case "restart":
                budget = WindowedRetryBudget(ratio, extra, window, now)
            case _ if budget.try_spend(now, 1):
                repeats.append(now)
    check_every_window(requests, repeats, ratio, extra, window)
