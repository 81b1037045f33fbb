"""Pure decisions of the gateway, against naive versions and rule by rule."""

import random
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from turmericrudder.address import Address
from turmericrudder.settings import BoundSettings
from turmericrudder.steering import (
    Backend,
    BackendSplit,
    Balancer,
    Catalog,
    Chosen,
    ClientLimits,
    Endpoint,
    Member,
    NoTarget,
    Obstacle,
    Query,
    RequestKind,
    RetryAllowance,
    Route,
    RouteTable,
    RoutingConfiguration,
    ServerLoad,
    ServiceProfile,
    choose_entries,
)
from turmericrudder.steering.cold_gate import ColdGate
from turmericrudder.steering.recent_objects import RecentObjects
from turmericrudder.steering.region_plan import (
    COMFORT,
    MAX_AWAY,
    STEP_PER_SECOND,
    RegionPlan,
    Surroundings,
)
from turmericrudder.steering.region_shift import RegionShift
from turmericrudder.steering.work_estimate import OTHER, WorkEstimate

BOUNDS = BoundSettings(
    grace=6.0,
    lookup_ttl=5.0,
    retry_ratio=0.2,
    retry_extra=64,
    retry_window=10.0,
    cold_overage=1.5,
    cold_slack=5,
    max_shift=0.15,
)
SETTINGS = SimpleNamespace(
    bounds=BOUNDS, region="a", regions={"a1": "a", "a2": "a", "b1": "b"}
)
PROFILE = ServiceProfile("s", "/health", 50, 3.0, 7.3)


def make_route(name="r", host="h", prefix="/", **more):
    values = {
        "kind": RequestKind.IDEMPOTENT,
        "timeout": 2.0,
        "objective": 0.5,
        "priority": 1,
        "max_attempts": 2,
        "backends": (Backend("s", 1.0),),
        **more,
    }
    return Route(name, host, prefix, **values)


def make_endpoint(target_id="t", domain="a1", **more):
    values = {
        "service": "s",
        "address": Address("10.0.0.1", 80),
        "failure_domain": domain,
        "slots": 4,
        "is_draining": False,
        "cold_left": 0.0,
        "born": 1,
        "sequence": 1,
        **more,
    }
    return Endpoint(id=target_id, **values)


def make_balancer(*endpoints, feeds_cold=True, has_settled=False, counts=(1, 1, 1)):
    catalog = Catalog()
    catalog.set_profiles({"s": PROFILE})
    catalog.has_settled = has_settled
    for number, endpoint in enumerate(endpoints):
        catalog.put(endpoint, number + 1, 0.0)
    members = SimpleNamespace(counts=counts, feeds_cold=lambda _: feeds_cold)
    balancer = Balancer(SETTINGS, catalog, members, random.Random(1))
    return catalog, balancer


def make_query(route=None, key=None, now=0.0, tried=()):
    route = route or make_route()
    return Query("s", route, key, now, now + route.timeout, frozenset(tried))


SEGMENT = st.sampled_from(["a", "b", "c", "ab"])
PREFIX = st.lists(SEGMENT, max_size=3).map(
    lambda parts: "/" + "".join(f"{p}/" for p in parts)
)
PATH = st.builds(
    lambda prefix, rest: prefix + rest, PREFIX, st.sampled_from(["", "a", "x"])
)


def find_naively(routes, host, path):
    found = [r for r in routes if r.host == host and path.startswith(r.prefix)]
    return max(found, key=lambda route: len(route.prefix), default=None)


@given(st.lists(st.tuples(st.sampled_from(["h", "g"]), PREFIX), unique=True), PATH)
def test_route_is_the_longest_prefix(pairs, path):
    routes = [make_route(f"r{n}", *pair) for n, pair in enumerate(pairs)]
    configuration = RoutingConfiguration(
        1, tuple(routes), {}, ClientLimits(1, 1, 1.0, 1.0)
    )
    found = RouteTable(configuration).get_route("H:80", path)
    assert found is find_naively(routes, "h", path)


@given(st.lists(st.integers(0, 40), min_size=1, max_size=5))
def test_split_is_exact_over_its_sum(weights):
    backends = tuple(Backend(f"s{n}", float(w)) for n, w in enumerate(weights))
    split, counts = BackendSplit(), dict.fromkeys((b.service for b in backends), 0)
    for _ in range(sum(weights)):
        counts[split.choose(backends)] += 1
    assert list(counts.values()) == [*map(int, weights)]


@settings(max_examples=50)
@given(st.lists(st.floats(0.0, 0.2), max_size=200), st.integers(1, 9))
def test_instances_together_keep_the_rate_of_a_cold_target(gaps, seed):
    """Two instances that both believe to feed it; naive count of each second."""
    chooser = random.Random(seed)
    gates = [ColdGate(), ColdGate()]
    now, sent = 0.0, []
    for gap in gaps:
        now += gap
        gate = chooser.choice(gates)
        if gate.is_open(7.3, 1.5, 5, now):
            gate.note(now)
            sent.append(now)
    for start in sent:
        assert sum(start <= at < start + 1.0 for at in sent) <= 7.3 * 1.5 + 5


@settings(max_examples=50)
@given(st.lists(st.tuples(st.floats(0.0, 0.5), st.booleans()), max_size=300))
def test_repeats_stay_within_the_budget_of_every_window(steps):
    instances, ratio, extra, window = 4, 0.2, 64, 10.0
    allowance = RetryAllowance(ratio, extra, window)
    now, requests, repeats = 0.0, [], []
    for gap, is_repeat in steps:
        now += gap
        if not is_repeat:
            allowance.note_request(now)
            requests.append(now)
        elif allowance.spend(now, instances):
            repeats.append(now)
    for start in repeats:
        spent = sum(start <= at < start + window for at in repeats)
        # The rule counts the requests of the window or of the one before it.
        earned = max(
            sum(at - window <= then < at for then in requests)
            for at in (start, start + window / 2, start + window)
        )
        assert spent <= ratio * earned + extra / instances


@settings(max_examples=50)
@given(st.integers(0, 10_000))
def test_share_of_other_regions_moves_in_steps(seed):
    chooser = random.Random(seed)
    shift, wanted = RegionShift(0.15), chooser.random()
    windows = []
    for window in range(12):
        if chooser.random() < 0.3:
            wanted = chooser.random()
        away = 0
        for number in range(200):
            now = window * 2.0 + number * 0.01
            wants = chooser.random() < wanted
            goes = wants and shift.may_leave(now) or not shift.may_stay(now)
            shift.note(goes, now)
            away += goes
        windows.append(away / 200)
    for before, after in zip(windows, windows[1:], strict=False):
        assert abs(after - before) <= 0.15


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


def test_registration_never_goes_back():
    catalog = Catalog()
    assert catalog.put(make_endpoint(is_draining=True, sequence=5), 9, 0.0)
    assert not catalog.put(make_endpoint(sequence=6), 8, 0.1)
    # A delayed write of an older word, though at a later revision.
    assert not catalog.put(make_endpoint(sequence=4), 10, 0.2)
    assert catalog.get_record("t").endpoint.is_draining
    assert catalog.remove("t", 11, 0.3)
    assert not catalog.put(make_endpoint(sequence=4), 12, 0.4)
    assert catalog.get_records("s") == ()
    assert catalog.put(make_endpoint(born=2, sequence=1), 13, 0.5)


def test_new_start_under_the_same_id_forgets_the_old_one():
    catalog = Catalog()
    catalog.set_profiles({"s": PROFILE})
    catalog.put(make_endpoint(), 1, 0.0)
    catalog.has_settled = True
    old = catalog.get_record("t")
    old.start(1, 0.0)
    catalog.put(make_endpoint(born=2), 2, 5.0)
    record = catalog.get_record("t")
    assert record is not old and old.is_gone
    assert record.in_flight == 0 and record.is_cold(7.9)


def test_entry_that_returns_is_not_cold_and_restored_domain_is():
    catalog = Catalog()
    catalog.set_profiles({"s": PROFILE})
    catalog.put(make_endpoint(), 1, 0.0)
    catalog.has_settled = True
    catalog.remove("t", 2, 1.0)
    catalog.put(make_endpoint(sequence=2), 3, 2.0)
    assert not catalog.get_record("t").is_cold(2.1)
    assert catalog.evacuate("a1") and not catalog.evacuate("a1")
    assert not catalog.is_usable(catalog.get_record("t"))
    assert catalog.restore("a1", 9.0)
    assert catalog.get_record("t").is_cold(11.9)


@pytest.mark.parametrize(
    "spoil",
    [
        lambda catalog: catalog.put(
            make_endpoint(is_draining=True, sequence=2), 9, 1.0
        ),
        lambda catalog: catalog.evacuate("a1"),
        lambda catalog: catalog.remove("t", 9, 1.0),
        lambda catalog: setattr(catalog.get_record("t"), "is_gone", True),
    ],
)
def test_target_that_leaves_gets_nothing(spoil):
    catalog, balancer = make_balancer(make_endpoint())
    assert isinstance(balancer.choose(make_query(), 1.0), Chosen)
    spoil(catalog)
    assert isinstance(balancer.choose(make_query(), 1.0), NoTarget)


def test_home_regions_bind():
    _, balancer = make_balancer(make_endpoint("near"), make_endpoint("far", "b1"))
    route = make_route(home_regions=frozenset("b"))
    for _ in range(20):
        assert balancer.choose(make_query(route), 0.0).record.endpoint.id == "far"
    route = make_route(home_regions=frozenset("c"))
    assert balancer.choose(make_query(route), 0.0).obstacle is Obstacle.NONE_ALLOWED


def test_tried_and_blocked_targets_are_left_out():
    catalog, balancer = make_balancer(make_endpoint("x"), make_endpoint("y"))
    assert balancer.choose(make_query(tried=["x"]), 0.0).record.endpoint.id == "y"
    catalog.get_record("y").block(0.0)
    assert balancer.choose(make_query(), 0.1).record.endpoint.id == "x"
    # Where all are blocked, one is tried all the same.
    catalog.get_record("x").block(0.0)
    assert isinstance(balancer.choose(make_query(), 0.1), Chosen)


def test_cold_target_is_fed_by_one_instance_only():
    cold = make_endpoint(cold_left=3.0)
    _, balancer = make_balancer(cold, feeds_cold=False)
    assert balancer.choose(make_query(), 0.0).obstacle is Obstacle.ALL_COLD
    _, balancer = make_balancer(cold)
    sent = 0
    while isinstance(chosen := balancer.choose(make_query(), 0.0), Chosen):
        balancer.note_sent(chosen, make_query(), 0.0)
        sent += 1
    assert 1 <= sent <= (7.3 * 1.5 + 5) / 2


def test_object_stays_with_its_target_and_moves_on_in_order():
    endpoints = [make_endpoint(f"t{n}", slots=2) for n in range(6)]
    catalog, balancer = make_balancer(*endpoints)
    query = make_query(make_route(has_affinity=True), "key")
    chosen = {balancer.choose(query, 0.0).record.endpoint.id for _ in range(30)}
    assert len(chosen) == 1
    (first,) = chosen
    for ticket in range(30):
        catalog.get_record(first).start(ticket, 0.0)
    seconds = {balancer.choose(query, 0.0).record.endpoint.id for _ in range(30)}
    assert len(seconds) == 1 and first not in seconds
    # Another instance finds the same order.
    _, other = make_balancer(*reversed(endpoints))
    assert other.choose(query, 0.0).record.endpoint.id == first


def test_failing_stalled_and_slow_targets_are_avoided():
    catalog, balancer = make_balancer(make_endpoint("bad"), make_endpoint("good"))
    bad = catalog.get_record("bad")
    for _ in range(10):
        bad.note_failure(0.0)
    assert balancer.choose(make_query(), 0.1).record.endpoint.id == "good"
    catalog, balancer = make_balancer(make_endpoint("bad"), make_endpoint("good"))
    catalog.get_record("bad").start(1, 0.0)
    assert balancer.choose(make_query(now=1.5), 1.5).record.endpoint.id == "good"
    catalog, balancer = make_balancer(make_endpoint("bad"), make_endpoint("good"))
    catalog.get_record("bad").note_load(ServerLoad(0, 0, 4, 2.5), 0.0)
    assert balancer.choose(make_query(), 0.0).record.endpoint.id == "good"


def test_request_that_cannot_be_in_time_is_refused():
    catalog, balancer = make_balancer(make_endpoint())
    record = catalog.get_record("t")
    record.mean_work = 0.5
    for ticket in range(40):
        record.start(ticket, 0.0)
    refusal = balancer.choose(make_query(), 0.0)
    assert refusal.obstacle is Obstacle.TOO_LATE and refusal.retry_after > 0


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


def test_entries_are_the_nearest_and_weak_ones_rare():
    def make(name, domain, region, capacity=100.0):
        address = Address("10.0.0.1", 80)
        return Member(name, address, address, domain, region, "n", capacity)

    chooser = random.Random(1)
    members = [make("x", "a1", "a"), make("y", "a2", "a"), make("z", "b1", "b")]

    def names(*place):
        return [member.name for member in choose_entries(members, *place, chooser)]

    assert names("a1", "a") == ["x"]
    assert names("a3", "a") == ["x", "y"]
    assert len(names("c1", "c")) == 3
    members.append(make("weak", "a1", "a", 10.0))
    named = [names("a1", "a") for _ in range(1000)]
    assert all("x" in answer for answer in named)
    assert 50 < sum("weak" in answer for answer in named) < 200
    members.clear()
    assert names("a1", "a") == []


def run_plan(around, rate, work, seconds, plan=None, start=0.0):
    """Return the shares that a plan names while requests arrive evenly."""
    plan = plan or RegionPlan()
    shares = []
    for number in range(int(rate * seconds)):
        now = start + number / rate
        shares.append(plan.get_share(around, now))
        plan.note(work, now)
    return shares


def test_small_region_is_relieved_from_the_first_request_on():
    # A third of the clients, an eighth of the slots.
    around = Surroundings(
        here_slots=12, all_slots=96, peers=1, here_domains=2, all_domains=6
    )
    shares = run_plan(around, 60, 0.2, 20)
    everywhere = 6 / 96
    assert shares[0] == pytest.approx(1 - everywhere / (2 / 12))
    # 24 target-seconds a second for 12 slots, 72 for 96.
    assert shares[-1] == pytest.approx(1 - 0.75 / 2.0, abs=0.03)


def test_region_with_room_keeps_its_objects():
    around = Surroundings(
        here_slots=48, all_slots=96, peers=1, here_domains=2, all_domains=6
    )
    assert set(run_plan(around, 60, 0.2, 10)) == {0.0}
    light = Surroundings(
        here_slots=12, all_slots=96, peers=1, here_domains=2, all_domains=6
    )
    # 4 target-seconds a second for 12 slots are within comfort.
    assert run_plan(light, 10, 0.2, 30)[-1] == pytest.approx(0.0, abs=0.01)


@pytest.mark.parametrize("here_slots", [0, 12, 96])
def test_plan_stays_within_its_bounds(here_slots):
    around = Surroundings(
        here_slots=here_slots, all_slots=96, peers=2, here_domains=2, all_domains=6
    )
    plan = RegionPlan()
    shares = run_plan(around, 50, 0.05, 5, plan)
    shares += run_plan(around, 50, 2.0, 20, plan, 5.0)
    if here_slots == 0:
        assert set(shares) == {1.0}
        return
    assert min(shares) >= 0.0 and max(shares) <= MAX_AWAY
    for before, after in zip(shares, shares[1:], strict=False):
        assert abs(after - before) <= STEP_PER_SECOND / 50 + 1e-9
    assert 0 < COMFORT < 1


def test_objects_of_a_small_region_live_on_one_side():
    near = [make_endpoint("near", slots=2)]
    far = [make_endpoint(f"far{n}", "b1", slots=8) for n in range(4)]
    _, balancer = make_balancer(*near, *far, counts=(1, 1, 2))
    sides = {}
    for number in range(40):
        query = make_query(make_route(has_affinity=True), f"k{number}")
        chosen = {balancer.choose(query, 0.0).record.endpoint.id for _ in range(5)}
        assert len(chosen) == 1
        sides[number] = chosen.pop() == "near"
    assert 0 < sum(sides.values()) < 40
