"""What answers and load reports teach."""

import pytest

from turmericrudder.steering import (
    ServerLoad,
)
from turmericrudder.steering.recent_objects import RecentObjects
from turmericrudder.steering.work_estimate import OTHER, WorkEstimate


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
def test_load_reports(text, load):
    assert ServerLoad.parse(text) == load


def test_estimates_follow_answers_and_bound_outliers():
    estimate = WorkEstimate(0.4)
    assert estimate.get(0) < estimate.get(OTHER)
    for _ in range(50):
        estimate.note(0, 0.1)
    assert estimate.get(0) == pytest.approx(0.1)
    estimate.note(0, 60.0)
    assert estimate.get(0) < 0.15


def test_recent_objects_count_sends():
    objects = RecentObjects()
    assert objects.get_age("a") is None
    objects.note("a")
    assert objects.get_age("a") == 0
    for number in range(300):
        objects.note(number % 3)
    assert objects.get_age("a") is None
    assert objects.get_age(2) == 0
