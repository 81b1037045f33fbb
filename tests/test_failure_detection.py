"""Failure detection by heartbeats, and who gets heartbeats and updates.

The tests guard against failed instances that are detected late or never, and against
live ones that are declared failed because only other instances get their heartbeats,
this process paused or processor time was short.
"""

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
FAIL_LIMIT = 3.0  # seconds until a failed instance is out of look-up responses


def run_until_failed(detector, names, start, limit=10.0):
    """Return the seconds until exactly these names failed, ``None`` if they did not."""
    now = start
    while now < start + limit:
        now += TIMING.heartbeat
        result = detector.tick(now)
        if set(result.failed) == set(names):
            return now - start
    return None


def test_instance_without_heartbeats_fails_within_limit():
    detector = FailureDetector(TIMING)
    detector.set_monitored(["a", "b"], 0.0)
    assert run_until_failed(detector, ["a", "b"], 0.0) <= FAIL_LIMIT


def test_instance_is_suspected_before_it_fails():
    detector = FailureDetector(TIMING)
    detector.set_monitored(["a"], 0.0)
    suspected = []
    for step in range(1, 4):
        result = detector.tick(step * TIMING.heartbeat)
        suspected += result.suspected
        assert result.failed == ()
    assert suspected == ["a"]


def test_instance_with_indirect_heartbeats_does_not_fail():
    detector = FailureDetector(TIMING)
    detector.set_monitored(["a"], 0.0)
    for step in range(1, 30):
        now = step * TIMING.heartbeat
        detector.record_indirect_heartbeat("a", now)
        assert detector.tick(now).failed == ()


def test_pause_of_own_process_fails_no_instance():
    detector = FailureDetector(TIMING)
    detector.set_monitored(["a"], 0.0)
    detector.tick(TIMING.heartbeat)
    assert detector.tick(60.0).failed == ()
    assert detector.tick(60.0 + TIMING.heartbeat).failed == ()
    assert run_until_failed(detector, ["a"], 60.0 + TIMING.heartbeat) is not None


def test_late_ticks_fail_no_instance():
    detector = FailureDetector(TIMING)
    detector.set_monitored(["a"], 0.0)
    detector.tick(0.0)
    now = 0.0
    for _ in range(4):
        now += 1.5
        assert detector.tick(now).failed == ()


def test_false_alarm_extends_timeout_until_it_expires():
    detector = FailureDetector(TIMING)
    durations = []
    for start in (0.0, 10.0, 100.0):
        detector.set_monitored([], start)
        detector.set_monitored(["a"], start)
        detector.tick(start)
        durations.append(run_until_failed(detector, ["a"], start))
        detector.record_false_alarm("a", start)
    assert durations[1] > 1.5 * durations[0]
    assert durations[2] == pytest.approx(durations[0])


def make_members(domains, size):
    """Return live members, ``size`` in each of ``domains`` failure domains."""
    return [
        Member(f"{d}-{n}", 1, "n", 0, Status.LIVE, f"r{d % 5}", f"d{d}", "", "", "")
        for d in range(domains)
        for n in range(size)
    ]


def test_heartbeats_go_to_own_and_other_failure_domains():
    members = make_members(10, 5)
    for member in members:
        receivers = get_heartbeat_receivers(member, members)
        assert 0 < len(receivers) <= 10
        assert {
            receiver.failure_domain == member.failure_domain for receiver in receivers
        } == {
            True,
            False,
        }
        assert member in [
            m
            for receiver in receivers
            for m in get_heartbeat_senders(receiver, members)
        ]


def test_update_reaches_all_members_in_two_hops():
    import random

    members = make_members(10, 5)
    sender = members[0]
    rng = random.Random(1)
    first_hop = get_gossip_peers(sender, members, None, rng)
    reached = {member.name for member in first_hop} | {sender.name}
    for member in first_hop:
        if member.failure_domain != sender.failure_domain:
            second_hop = get_gossip_peers(member, members, sender.failure_domain, rng)
            reached |= {receiver.name for receiver in second_hop}
    assert reached == {member.name for member in members}
