"""Targets that say in their responses that they leave, or that they want a pause."""

import anyio
import pytest

from turmericrudder.headers import get_header
from turmericrudder.platform import decode_leaving, decode_pause
from turmericrudder.steering import NoTargetReason
from turmericrudder.steering.target_notices import MAX_PAUSE, TargetNotices

from .platform_documents import make_registration
from .platform_rig import wait_for
from .steering_makers import make_balancer, make_endpoint, make_selection_request

BASE = 29600  # first port of this module's rig
UNIX_TIME = 1_800_000_000  # 2027-01-15 08:00:00 UTC


@pytest.mark.parametrize(
    ("status", "values", "seconds"),
    [
        (503, [], 0.0),
        (429, [b"5"], 0.0),
        (503, [b"5"], 5.0),
        (503, [b" 0.5 "], 0.5),
        (503, [b"2", b"9", b"x"], 9.0),
        (503, [b"Fri, 15 Jan 2027 08:00:07 GMT"], 7.0),
        (503, [b"Fri, 15 Jan 2027 07:00:00 GMT"], 0.0),
        (503, [b"-5"], None),
        (503, [b"soon", b""], None),
        (503, [b"9" * 400], None),
        (503, [b"nan", b"1e999", b"inf", b"1_0"], None),
        (503, [b"Fri, 99 Jan 2027 08:00:07 GMT", b"\xff, 15 Jan 99999999999"], None),
    ],
)
def test_pause_in_a_response(status, values, seconds):
    headers = [(b"retry-after", value) for value in values]
    assert decode_pause(status, headers, UNIX_TIME) == seconds


def test_leaving_in_a_response():
    said = [(b"server-leaving", b"1")]
    assert decode_leaving(200, said) and decode_leaving(503, said)
    assert decode_leaving(200, [(b"server-leaving", b"1 ")])
    assert not decode_leaving(421, said)  # another target has the address
    assert not decode_leaving(200, [(b"server-leaving", b"0")])


def test_pause_ends_at_its_latest_end_and_is_bounded():
    notices = TargetNotices()
    assert notices.record_pause(5.0, 1.0) and not notices.record_pause(1.0, 1.5)
    assert notices.is_paused(5.9) and not notices.is_paused(6.0)
    assert notices.record_pause(1e9, 10.0)
    assert not notices.is_paused(10.0 + MAX_PAUSE)


def test_leaving_target_is_used_again_only_after_its_next_start():
    catalog, balancer = make_balancer(make_endpoint("a"))
    target = catalog.get_target("a")
    assert balancer.admit(target, 0.0)
    target.notices.record_leaving(0.0)
    assert not balancer.admit(target, 0.0)  # selected before the response
    request = make_selection_request()
    for sequence in (2, 3):
        catalog.put(make_endpoint("a", sequence=sequence), 10 + sequence, 1.0)
        assert balancer.choose(request, 1.0).reason is NoTargetReason.NONE_ALLOWED
    catalog.remove("a", 20, 1.0)
    catalog.put(make_endpoint("a", sequence=4), 21, 1.0)
    assert balancer.choose(request, 1.0).reason is NoTargetReason.NONE_ALLOWED
    catalog.put(make_endpoint("a", started_at_ms=2, sequence=1), 22, 1.0)
    assert balancer.choose(request, 1.0).target.endpoint.id == "a"


def test_paused_targets_get_nothing_and_then_one_request_at_a_time():
    catalog, balancer = make_balancer(make_endpoint("a"), make_endpoint("b"))
    targets = [catalog.get_target(name) for name in "ab"]
    request = make_selection_request()
    targets[0].record_pause(2.0, 0.0)
    chosen = {balancer.choose(request, 0.1).target.endpoint.id for _ in range(20)}
    assert chosen == {"b"}
    targets[1].record_pause(4.0, 0.0)
    refused = [balancer.choose(request, 1.0) for _ in range(20)]
    assert {choice.reason for choice in refused} == {NoTargetReason.ALL_PAUSED}
    waits = [choice.retry_after for choice in refused]
    assert 1.0 <= min(waits) < max(waits) <= 1.5
    targets[0].eject(1.0)
    targets[1].eject(1.0)
    assert balancer.choose(request, 1.0).retry_after >= 1.0  # a pause outlasts it
    targets[0].record_response(0.1, 1.0)  # to a request sent before the pause
    targets[0].start_request(0, 0.0)  # sent before the pause, it takes long
    now = 2.1
    first = balancer.choose(make_selection_request(now=now), now)
    assert first.target is targets[0]
    first.target.start_request(1, now)
    later = balancer.choose(make_selection_request(now=now), now)
    assert later.reason is NoTargetReason.ALL_UNTRIED
    first.target.end_request(1)
    first.target.record_response(0.1, now)
    for number in range(2, 4):
        choice = balancer.choose(make_selection_request(now=now), now)
        choice.target.start_request(number, now)
        assert choice.target is targets[0]


@pytest.mark.anyio
async def test_target_that_wants_a_pause_gets_no_request_until_its_end(rig):
    pausing, other = rig.targets
    pausing.fault.shed, pausing.fault.pause = True, "1"
    while not await rig.get_metric(0, "paused_targets"):
        await rig.send_request()
    pausing.fault.shed = False
    pausing.runs.clear()
    for _ in range(8):
        assert (await rig.send_request()).status == 200
        await anyio.sleep(0.05)
    assert pausing.runs == []
    other.fault.shed, other.fault.pause = True, "1"
    await rig.send_request()
    refused = await rig.send_request()
    assert refused.status == 503
    assert 0.0 < float(get_header(refused.headers, b"retry-after")) <= 1.5
    other.fault.shed = False
    await anyio.sleep(1.1)
    assert (await rig.send_request()).status == 200


@pytest.mark.anyio
async def test_leaving_target_gets_no_request_although_its_entry_is_written_again(rig):
    leaving, staying = rig.targets
    leaving.fault.leaving = True
    for _ in range(10):
        assert (await rig.send_request()).status == 200
    assert len(leaving.runs) == 1
    key = f"servers/{leaving.target_id}"
    await rig.put({key: make_registration(rig.get_target_port(0), seq=50)})
    await anyio.sleep(0.3)
    for _ in range(10):
        assert (await rig.send_request()).status == 200
    assert len(leaving.runs) == 1
    assert await rig.get_metric(0, "leaving_targets") == 1
    staying.fault.leaving = True
    await rig.send_request()
    refused = await rig.send_request()
    assert refused.status == 503 and get_header(refused.headers, b"retry-after")
    for target in rig.targets:
        target.fault.leaving = False
    # Later starts, which serve again.
    await rig.put(
        {
            f"servers/{target.target_id}": make_registration(
                rig.get_target_port(number), seq=1, born=9
            )
            for number, target in enumerate(rig.targets)
        }
    )

    async def is_served():
        return (await rig.send_request()).status == 200

    await wait_for(is_served, 10)  # cold targets get requests 5.5 s after a start
