"""Silence of instances: when it is believed, and when it is not."""

import pytest

from turmericrudder.membership import (
    Member,
    Status,
    Watch,
    get_news_receivers,
    get_watched,
    get_watchers,
)
from turmericrudder.settings import TimingSettings

TIMING = TimingSettings()
FAIL_LIMIT = 3.0  # seconds until a failed instance is out of look-up answers


def run_until_failed(watch, names, start, limit=10.0):
    now = start
    while now < start + limit:
        now += TIMING.heartbeat
        silence = watch.tick(now)
        if set(silence.failed) == set(names):
            return now - start
    return None


def test_silent_instance_fails_within_the_limit():
    watch = Watch(TIMING)
    watch.set_watched(["a", "b"], 0.0)
    assert run_until_failed(watch, ["a", "b"], 0.0) <= FAIL_LIMIT


def test_instance_is_asked_about_before_it_fails():
    watch = Watch(TIMING)
    watch.set_watched(["a"], 0.0)
    asked = []
    for step in range(1, 4):
        silence = watch.tick(step * TIMING.heartbeat)
        asked += silence.suspected
        assert silence.failed == ()
    assert asked == ["a"]


def test_instance_that_another_watcher_hears_does_not_fail():
    watch = Watch(TIMING)
    watch.set_watched(["a"], 0.0)
    for step in range(1, 30):
        now = step * TIMING.heartbeat
        watch.vouch("a", now)
        assert watch.tick(now).failed == ()


def test_own_pause_makes_nobody_fail():
    watch = Watch(TIMING)
    watch.set_watched(["a"], 0.0)
    watch.tick(TIMING.heartbeat)
    assert watch.tick(60.0).failed == ()
    assert watch.tick(60.0 + TIMING.heartbeat).failed == ()
    assert run_until_failed(watch, ["a"], 60.0 + TIMING.heartbeat) is not None


def test_late_ticks_do_not_count_as_silence():
    watch = Watch(TIMING)
    watch.set_watched(["a"], 0.0)
    watch.tick(0.0)
    now = 0.0
    for _ in range(4):
        now += 1.5
        assert watch.tick(now).failed == ()


def test_false_alarms_make_patient_and_are_forgiven():
    watch = Watch(TIMING)
    times = []
    for start in (0.0, 10.0, 100.0):
        watch.set_watched([], start)
        watch.set_watched(["a"], start)
        watch.tick(start)
        times.append(run_until_failed(watch, ["a"], start))
        watch.note_false_alarm("a", start)
    assert times[1] > 1.5 * times[0]
    assert times[2] == pytest.approx(times[0])


def make_fleet(domains, size):
    return [
        Member(f"{d}-{n}", 1, "n", 0, Status.LIVE, f"r{d % 5}", f"d{d}", "", "", "")
        for d in range(domains)
        for n in range(size)
    ]


def test_each_instance_has_watchers_on_every_side():
    fleet = make_fleet(10, 5)
    for member in fleet:
        watchers = get_watchers(member, fleet)
        assert 0 < len(watchers) <= 10
        assert {w.failure_domain == member.failure_domain for w in watchers} == {
            True,
            False,
        }
        assert member in [m for w in watchers for m in get_watched(w, fleet)]


def test_news_reaches_everybody_in_two_hops():
    import random

    fleet = make_fleet(10, 5)
    sender = fleet[0]
    rng = random.Random(1)
    first = get_news_receivers(sender, fleet, None, rng)
    reached = {member.name for member in first} | {sender.name}
    for member in first:
        if member.failure_domain != sender.failure_domain:
            onward = get_news_receivers(member, fleet, sender.failure_domain, rng)
            reached |= {receiver.name for receiver in onward}
    assert reached == {member.name for member in fleet}
