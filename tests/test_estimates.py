"""Load reports, service time estimates and recent keys."""

import pytest

from turmericrudder.steering import (
    ServerLoad,
)
from turmericrudder.steering.recent_keys import RecentKeys
from turmericrudder.steering.service_time_estimator import (
    UNSEEN_OTHER,
    UNSEEN_PREFERRED,
    ServiceTimeEstimator,
)


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,0,8", ServerLoad(3, 0, 8, 1.0)),
        ("3,1,8,250", ServerLoad(3, 1, 8, 2.5)),
        ("", None),
        ("a,b,c", None),
        ("3,0", None),
        ("-1,0,8", None),
        ("1,0,0", None),
        ("1,0,4,nan", None),
    ],
)
def test_load_report_is_parsed_or_ignored(text, load):
    assert ServerLoad.parse(text) == load


def test_estimate_follows_samples_and_limits_outliers():
    estimator = ServiceTimeEstimator(0.4)
    assert estimator.get(0) < estimator.get(UNSEEN_OTHER)
    for _ in range(50):
        estimator.record(0, 0.1)
    assert estimator.get(0) == pytest.approx(0.1)
    estimator.record(0, 60.0)
    assert estimator.get(0) < 0.15


def test_age_of_recent_keys_counts_requests():
    recent_keys = RecentKeys()
    assert recent_keys.get_age("a") is None
    recent_keys.record("a")
    assert recent_keys.get_age("a") == 0
    for number in range(300):
        recent_keys.record(number % 3)
    assert recent_keys.get_age("a") is None
    assert recent_keys.get_age(2) == 0


def test_untried_target_is_not_expected_to_be_faster_than_the_preferred_one():
    """At a start all caches are empty, and preferred targets are the first tried."""
    estimator = ServiceTimeEstimator(1.2)
    for _ in range(10):
        estimator.record(UNSEEN_PREFERRED, 3.0)
    assert estimator.get(UNSEEN_OTHER) >= estimator.get(UNSEEN_PREFERRED)
    for _ in range(50):
        estimator.record(UNSEEN_OTHER, 4.0)
    assert estimator.get(UNSEEN_OTHER) > estimator.get(UNSEEN_PREFERRED)
