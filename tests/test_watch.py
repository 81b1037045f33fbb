"""Silence of instances: when it is believed, and when it is not."""

import pytest

from turmericrudder.membership import (
    FailureDetector,
    Member,
    Status,
    get_gossip_peers,
    get_heartbeat_receivers,
    get_heartbeat_senders,
)
from turmericrudder.settings import TimingSettings

TIMING = TimingSettings()
FAIL_LIMIT = 3.0  # seconds until a failed instance is out of look-up answers


def run_until_failed(detector, names, start, limit=10.0):
    now = start
    while now < start + limit:
        now += TIMING.heartbeat
        result = detector.tick(now)
        if set(result.failed) == set(names):
            return now - start
    return None


def test_silent_instance_fails_within_the_limit():
    detector = FailureDetector(TIMING)
    detector.set_monitored(["a", "b"], 0.0)
    assert run_until_failed(detector, ["a", "b"], 0.0) <= FAIL_LIMIT


def test_instance_is_asked_about_before_it_fails():
    detector = FailureDetector(TIMING)
    detector.set_monitored(["a"], 0.0)
    asked = []
    for step in range(1, 4):
        result = detector.tick(step * TIMING.heartbeat)
        asked += result.suspected
        assert result.failed == ()
    assert asked == ["a"]


def test_instance_that_another_watcher_hears_does_not_fail():
    detector = FailureDetector(TIMING)
    detector.set_monitored(["a"], 0.0)
    for step in range(1, 30):
        now = step * TIMING.heartbeat
        detector.record_indirect_heartbeat("a", now)
        assert detector.tick(now).failed == ()


def test_own_pause_makes_nobody_fail():
    detector = FailureDetector(TIMING)
    detector.set_monitored(["a"], 0.0)
    detector.tick(TIMING.heartbeat)
    assert detector.tick(60.0).failed == ()
    assert detector.tick(60.0 + TIMING.heartbeat).failed == ()
    assert run_until_failed(detector, ["a"], 60.0 + TIMING.heartbeat) is not None


def test_late_ticks_do_not_count_as_silence():
    detector = FailureDetector(TIMING)
    detector.set_monitored(["a"], 0.0)
    detector.tick(0.0)
    now = 0.0
    for _ in range(4):
        now += 1.5
        assert detector.tick(now).failed == ()


def test_false_alarms_make_patient_and_are_forgiven():
    detector = FailureDetector(TIMING)
    times = []
    for start in (0.0, 10.0, 100.0):
        detector.set_monitored([], start)
        detector.set_monitored(["a"], start)
        detector.tick(start)
        times.append(run_until_failed(detector, ["a"], start))
        detector.record_false_alarm("a", start)
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
        watchers = get_heartbeat_receivers(member, fleet)
        assert 0 < len(watchers) <= 10
        assert {w.failure_domain == member.failure_domain for w in watchers} == {
            True,
            False,
        }
        assert member in [m for w in watchers for m in get_heartbeat_senders(w, fleet)]


def test_news_reaches_everybody_in_two_hops():
    import random

    fleet = make_fleet(10, 5)
    sender = fleet[0]
    rng = random.Random(1)
    first = get_gossip_peers(sender, fleet, None, rng)
    reached = {member.name for member in first} | {sender.name}
    for member in first:
        if member.failure_domain != sender.failure_domain:
            onward = get_gossip_peers(member, fleet, sender.failure_domain, rng)
            reached |= {receiver.name for receiver in onward}
    assert reached == {member.name for member in fleet}
