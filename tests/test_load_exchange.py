"""Loads that instances exchange, weights planned from them, and what callers get."""

from types import SimpleNamespace

import anyio
import httpcore
import msgspec
import pytest

from turmericrudder.events import EventLog
from turmericrudder.gateway.load_exchange import LoadExchange, LoadSummary, LoadUpdate
from turmericrudder.steering import (
    EndpointCatalog,
    LoadBoard,
    LoadCollector,
    ServerLoad,
    TargetReport,
    TargetWeights,
    WeightPlanner,
)
from turmericrudder.steering.load_board import MAX_AGE, MAX_REPORTS
from turmericrudder.steering.tracked_target import TrackedTarget
from turmericrudder.steering.weight_planner import HOLD_TIME, MIN_CHANGE, MIN_WEIGHT

from .platform_documents import HOST
from .simulated_fleet import SimulatedFleet
from .steering_makers import make_endpoint

BASE = 26700  # first port of this module's rig
GROUP = [f"t{number}" for number in range(10)]


def plan_for(planner, get_utilization, seconds, start=0.0):
    """Plan once a second with the same loads; return the last weights."""
    weights = {}
    for second in range(seconds):
        for name in GROUP:
            planner.record(
                TargetReport(name, 0, 1.0, 0.0, 5 * get_utilization(name), 5)
            )
        weights = planner.plan([GROUP], start + second)
    return weights


def test_weight_of_a_target_above_the_others_is_lowered():
    planner = WeightPlanner()
    weights = plan_for(planner, lambda name: 1.6 if name == "t3" else 0.4, 2)
    assert weights.keys() == {"t3"} and 0.5 < weights["t3"] < 0.8
    # The next reduction waits until the first has had an effect.
    assert plan_for(planner, lambda name: 1.6 if name == "t3" else 0.4, 1, 2.0) == (
        weights
    )
    lower = plan_for(planner, lambda name: 1.6 if name == "t3" else 0.4, 60, 3.0)
    assert MIN_WEIGHT <= lower["t3"] < MIN_WEIGHT + MIN_CHANGE


def test_equal_overload_and_low_load_change_no_weight():
    assert plan_for(WeightPlanner(), lambda name: 3.5, 20) == {}
    assert plan_for(WeightPlanner(), lambda name: 0.5 * (name == "t1"), 20) == {}
    assert WeightPlanner().plan([], 0.0) == {} == WeightPlanner().plan([[]], 0.0)


def test_weight_grows_again_after_the_load_has_ended():
    planner = WeightPlanner()
    low = plan_for(planner, lambda name: 2.0 if name == "t3" else 0.3, 4)["t3"]
    higher = plan_for(planner, lambda name: 0.1, 12, 4.0)["t3"]
    assert low < higher < 1.0
    assert plan_for(planner, lambda name: 0.1, 40, 16.0) == {}


def test_planner_continues_from_the_weights_of_its_predecessor():
    planner = WeightPlanner()
    planner.adopt({"t1": 0.5, "gone": 0.4}, 0.0)
    assert planner.plan([GROUP], 0.1) == {"t1": 0.5}
    weights = plan_for(planner, lambda name: 2.0 * (name == "t1"), 1, HOLD_TIME + 1.0)
    assert weights["t1"] < 0.5


def test_board_returns_later_reports_and_the_highest_loads():
    board = LoadBoard()
    board.record(TargetReport("a", 3, 1.0, 1.0), 1.1)
    board.record(TargetReport("a", 9, 1.0, 0.5), 1.2)  # sent later, but older
    assert [report.load for report in board.get_since(0.0, 1.2)] == [3]
    assert board.get_since(1.1, 1.2) == []
    assert board.get_since(0.0, 1.1 + MAX_AGE) == []
    for number in range(3 * MAX_REPORTS):
        board.record(TargetReport(f"t{number}", number, 1.0, 2.0), 2.0)
    reports = board.get_since(1.5, 2.0)
    assert len(reports) == MAX_REPORTS
    assert min(report.load for report in reports) == 2 * MAX_REPORTS


def test_collector_returns_each_report_once():
    collector = LoadCollector()
    collector.record("t", ServerLoad(2, 1, 6, 1.5), 1.0)
    collector.record("t", ServerLoad(6, 0, 6, 1.2), 2.0)
    (report,) = collector.take()
    assert (report.load, report.slowdown, report.reported_at) == (6, 1.2, 2.0)
    assert (report.utilization_sum, report.count) == (1.5, 2)
    assert collector.take() == []


def test_shared_load_counts_unless_an_own_report_is_later():
    target = TrackedTarget(make_endpoint("t", slots=6))
    target.start_request(1, 0.0)
    target.record_shared_load(TargetReport("t", 8, 2.0, 1.0))
    assert target.get_load(1.0) == 8 and target.get_slowdown(1.0) == 2.0
    target.record_load_report(ServerLoad(3, 0, 6), 1.5)
    target.record_shared_load(TargetReport("t", 20, 3.0, 1.2))
    assert target.get_load(1.5) == 3


def play(rate, has_exchange, seed):
    """Play one region of 80 targets; return the share of requests on time.

    Requests of 339 keys take 0.45 s at a target that has the key cached and 1.8 s at
    another, and their objective is 1.2 s. The first 8 s, in which all caches are
    empty, are left out.
    """
    fleet = SimulatedFleet(
        instances=26, targets=80, keys=339, has_exchange=has_exchange, seed=seed
    )
    fleet.play(rate, 20)
    return fleet.get_on_time_share(8, 20)


@pytest.mark.parametrize("seed", [1, 2])
def test_exchange_serves_more_requests_on_time_under_uneven_load(seed):
    """At 400 and 540 requests a second, some targets are full and others half idle."""
    assert play(400, True, seed) >= play(400, False, seed) + 0.05
    assert play(540, True, seed) >= play(540, False, seed) + 0.05


def test_exchange_harms_nobody_under_low_load():
    assert play(240, True, 1) >= play(240, False, 1) - 0.01


async def post_loads(rig, content):
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            "POST", f"http://{HOST}:{rig.get_port(4)}/loads", content=content
        )


@pytest.mark.anyio
async def test_reader_shares_the_reports_of_other_instances(rig):
    def encode(name, *reports):
        return msgspec.msgpack.encode(
            {"instance": name, "weights_id": "", "reports": list(reports)}
        )

    first = await post_loads(rig, encode("x", ["t0", 4, 1.2, 10, 1.0, 1]))
    assert first.status == 200
    second = await post_loads(rig, encode("y"))
    update = msgspec.msgpack.decode(second.content, type=LoadUpdate)
    assert [(r.target_id, r.load) for r in update.reports] == [("t0", 4)]
    # Invalid values are left out, and what is not a summary is rejected.
    bad = ["t1", -4, 1.0, 10, 1.0, 1], ["t1", 4, 0.0, 10, 1.0, 1], ["t1", 4, 1.0, 9**9]
    assert (await post_loads(rig, encode("x", *bad))).status == 200
    third = await post_loads(rig, encode("z"))
    update = msgspec.msgpack.decode(third.content, type=LoadUpdate)
    assert "t1" not in [r.target_id for r in update.reports]
    assert (await post_loads(rig, b"\xff\x00")).status == 400
    assert (await post_loads(rig, b"x" * 300_000)).status == 413
    assert (await rig.send_request()).status == 200


@pytest.mark.anyio
async def test_instances_exchange_loads_with_their_reader(rig):
    """Each of two instances hears of a load that only one of them was told of."""
    process = rig.start_instance(port_offset=60)
    try:
        with anyio.fail_after(10):
            while not await rig.is_ready(port_offset=60):
                await anyio.sleep(0.05)
            while await rig.get_metric(0, "members") != 2:
                await anyio.sleep(0.05)
            while not (
                await rig.get_metric(0, "load_exchanges")
                or await rig.get_metric(60, "load_exchanges")
            ):
                await anyio.sleep(0.05)
    finally:
        process.kill()
        process.wait()


def test_summary_is_small():
    """A summary and its response stay within the budget for control traffic."""
    report = ["i-0123456789", 24, 1.25, 250, 4.0, 10]
    update = {"weights_id": "0123456789abcdef.99", "weights": None}
    size = len(msgspec.msgpack.encode({**update, "reports": [report] * MAX_REPORTS}))
    assert 4 * size < 12 * 1024
    assert msgspec.msgpack.decode(
        msgspec.msgpack.encode(LoadSummary("n", "", [])), type=LoadSummary
    )


def make_exchange(name, reader=None):
    """Return a :class:`LoadExchange` that knows no targets.

    :param reader: another exchange that is the reader, ``None`` if it is this one.
    """

    async def exchange_loads(address, summary):
        return reader.handle_summary(summary)

    members = SimpleNamespace(
        region_size=2, get_reader_address=lambda: reader and "127.0.0.1:1"
    )
    return LoadExchange(
        SimpleNamespace(regions={}),
        SimpleNamespace(name=name, nonce=f"nonce-{name}"),
        FakeMembers(members),
        EndpointCatalog(),
        LoadCollector(),
        TargetWeights(),
        SimpleNamespace(exchange_loads=exchange_loads),
        EventLog(),
    )


class FakeMembers:
    def __init__(self, fields):
        self.region_size = fields.region_size
        self.get_reader_address = fields.get_reader_address

    def __len__(self):
        return 2


@pytest.mark.anyio
async def test_restarted_reader_continues_from_the_weights_in_use():
    reader = make_exchange("reader")
    follower = make_exchange("follower", reader)
    reader._weights.replace({"t1": 0.5})
    reader._weights_id = "nonce-reader.1"
    await follower._exchange("127.0.0.1:1", [], anyio.current_time())
    assert follower.get_weights() == {"t1": 0.5}
    # The reader restarts without weights. The follower keeps its own and sends them.
    restarted = make_exchange("reader")
    follower._peer_client = make_exchange("x", restarted)._peer_client
    for _ in range(2):
        await follower._exchange("127.0.0.1:1", [], anyio.current_time())
        assert follower.get_weights() == {"t1": 0.5}
    assert restarted.get_weights() == {"t1": 0.5}
    assert restarted._weights_id == follower._weights_id
