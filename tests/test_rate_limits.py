"""Weighted round robin, rate limits and retry budgets."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from turmericrudder.steering import (
    Backend,
    SmoothWeightedRoundRobin,
    WindowedRetryBudget,
    parse_rate_limit,
)


@pytest.mark.parametrize(
    ("text", "limit"),
    [("7.5", 7.5), ("0", 0.0), ("-1", None), ("nan", None), ("inf", None), ("", None)],
)
def test_rate_limit_is_a_finite_number_of_zero_or_more(text, limit):
    assert parse_rate_limit(text) == limit


@given(st.lists(st.integers(0, 40), min_size=1, max_size=5))
def test_round_robin_is_exact_over_the_sum_of_weights(weights):
    backends = tuple(Backend(f"s{n}", float(w)) for n, w in enumerate(weights))
    round_robin, counts = (
        SmoothWeightedRoundRobin(),
        dict.fromkeys((b.service for b in backends), 0),
    )
    for _ in range(sum(weights)):
        counts[round_robin.choose(backends)] += 1
    assert list(counts.values()) == [*map(int, weights)]


def check_every_window(requests, retries, ratio, extra, window):
    """Check the budget in the window that begins with each retry."""
    for start in retries:
        spent_count = sum(start <= sent_at < start + window for sent_at in retries)
        # The bound depends on the requests of the window, of the one before it or of
        # the one half-way between them, whichever has most.
        request_count = max(
            sum(end - window <= request_at < end for request_at in requests)
            for end in (start, start + window / 2, start + window)
        )
        assert spent_count <= ratio * request_count + extra


@settings(max_examples=50)
@given(st.lists(st.tuples(st.floats(0.0, 0.5), st.booleans()), max_size=300))
def test_retries_stay_within_the_budget_of_every_window(steps):
    instances, ratio, extra, window = 4, 0.2, 64, 10.0
    budget = WindowedRetryBudget(ratio, extra, window, -window)
    now, requests, retries = 0.0, [], []
    for gap, is_retry in steps:
        now += gap
        if not is_retry:
            budget.record_request(now)
            requests.append(now)
        elif budget.try_spend(now, instances):
            retries.append(now)
    check_every_window(requests, retries, ratio, extra / instances, window)


@settings(max_examples=50)
@given(st.lists(st.sampled_from("rrrrx"), max_size=400), st.integers(0, 400))
def test_retries_after_a_restart_stay_within_the_budget_of_every_window(steps, restart):
    """A restarted instance does not know how many retries it sent before."""
    ratio, extra, window, gap = 0.2, 8, 10.0, 0.05
    steps = ["r"] * 200 + [*steps[:restart], *"x" * 50, "restart", *steps[restart:]]
    budget = WindowedRetryBudget(ratio, extra, window, -window)
    now, requests, retries = 0.0, [], []
    for step in steps + ["r", "x"] * 200:
        now += gap
        match step:
            case "r":
                budget.record_request(now)
                requests.append(now)
            case "restart":
                budget = WindowedRetryBudget(ratio, extra, window, now)
            case _ if budget.try_spend(now, 1):
                retries.append(now)
    check_every_window(requests, retries, ratio, extra, window)
