"""Pure decisions against naive versions that are obviously right."""

import ipaddress
import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from turmericrudder.configuration import (
    BlockTable,
    ConfigurationSource,
    PackedBlocks,
    join_chunks,
    split_chunks,
)
from turmericrudder.lookup import rank_entry_instances
from turmericrudder.membership import Member, MembershipView, Status
from turmericrudder.rendezvous import rank_names
from turmericrudder.routing import (
    AdmissionRequest,
    Cancelled,
    Completed,
    Grant,
    Ownership,
    SlotAllocator,
    TokenBucket,
    allocate_cap,
)

from .routing_makers import make_configuration

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=150)
settings.load_profile("fixed")

PLACES = ("gulf", "delta", "piedmont")


@st.composite
def blocks(draw):
    """Nested and disjoint blocks within one small network."""
    found = {}
    for _ in range(draw(st.integers(0, 30))):
        length = draw(st.integers(18, 32))
        start = draw(st.integers(0, 2**14 - 1)) << (32 - length) & 0x3FFF
        found[0x7F000000 + start, length] = draw(st.sampled_from(PLACES))
    return [(start, length, place) for (start, length), place in found.items()]


def find_naively(table, number):
    holding = [b for b in table if b[0] <= number < b[0] + 2 ** (32 - b[1])]
    return max(holding, key=lambda block: block[1])[2] if holding else None


@given(blocks(), st.lists(st.integers(0, 2**14 + 10), max_size=40))
def test_block_table_finds_longest_prefix(table, offsets):
    built = BlockTable(PackedBlocks.pack(table))
    edges = [b[0] - 0x7F000000 + d for b in table for d in (-1, 0, 1)]
    for offset in [*offsets, *edges]:
        number = 0x7F000000 + offset
        assert built.get_locality_by_number(number) == find_naively(table, number)
        text = str(ipaddress.IPv4Address(number))
        assert built.get_locality(text) == built.get_locality_by_number(number)


@given(blocks(), st.text(max_size=50))
def test_chunks_join_to_the_same_source(table, text):
    source = ConfigurationSource(text, text[::-1], PackedBlocks.pack(table), ("a",))
    assert join_chunks(split_chunks(source)) == source


def test_change_of_one_block_changes_one_chunk():
    table = [(number << 8, 24, PLACES[number % 3]) for number in range(100_000)]
    before = split_chunks(ConfigurationSource("", "", PackedBlocks.pack(table)))
    table[50_000] = (50_000 << 8, 24, "elsewhere")
    after = split_chunks(ConfigurationSource("", "", PackedBlocks.pack(table)))
    assert len(before) > 10
    assert len(set(after) - set(before)) <= 2
    assert max(map(len, before)) < 1_000_000


@given(st.integers(0, 60), st.integers(1, 12))
def test_cap_is_allotted_whole_even_and_monotone(cap, count):
    names = [f"target-{number}" for number in range(count)]
    shares = allocate_cap(cap, "service", names)
    assert sum(shares.values()) == cap
    assert max(shares.values()) - min(shares.values()) <= 1
    assert shares == allocate_cap(cap, "service", names[::-1])
    more = allocate_cap(cap + 1, "service", names)
    assert all(more[name] >= shares[name] for name in names)


@given(st.lists(st.tuples(st.floats(0, 1), st.integers(1, 500)), max_size=60))
def test_token_bucket_never_exceeds_rate_and_burst(steps):
    rate, burst_seconds = 1000.0, 0.5
    bucket = TokenBucket(rate, burst_seconds, 0.0)
    now, sent = 0.0, 0
    for pause, count in steps:
        now += pause
        now += bucket.take(count, now)
        sent += count
        assert sent <= rate * (now + burst_seconds) + 1e-6


MEMBERS = st.builds(
    Member,
    name=st.sampled_from(["a", "b", "c"]),
    incarnation=st.integers(1, 3),
    nonce=st.just("n"),
    sequence=st.integers(0, 2),
    status=st.sampled_from(list(Status)),
    region=st.just("r"),
    failure_domain=st.just("d"),
    caller_address=st.just(""),
    peer_address=st.just(""),
    control_address=st.just(""),
)


@given(st.lists(MEMBERS, max_size=20), st.randoms())
def test_views_merge_alike_in_any_order(members, shuffler):
    naive = {}
    for member in members:
        if (
            member.name not in naive
            or member.precedence > naive[member.name].precedence
        ):
            naive[member.name] = member
    shuffled = [*members, *members]
    shuffler.shuffle(shuffled)
    view = MembershipView(shuffled)
    assert {member.name: member for member in view} == naive
    assert view.get_digest() == MembershipView(naive.values()).get_digest()


def make_member(name, region, domain):
    return Member(name, 1, "n", 0, Status.LIVE, region, domain, "", "", "")


FLEET = [
    make_member(f"{region}-{domain}-{number}", region, f"{region}-{domain}")
    for region in PLACES
    for domain in "ab"
    for number in range(4)
]
DOMAINS = {member.failure_domain: member.region for member in FLEET}


@given(st.sampled_from(PLACES), st.integers(0, 50), st.integers(0, 23))
def test_order_is_near_first_and_moves_little(place, block, lost):
    order = rank_entry_instances(place, block, FLEET, DOMAINS)
    assert order == rank_entry_instances(place, block, FLEET[::-1], DOMAINS)
    assert order[0].region == place
    assert order[1].region == place
    assert order[1].failure_domain != order[0].failure_domain
    assert order[-1].region != place
    rest = [member for member in FLEET if member != FLEET[lost]]
    if FLEET[lost] != order[0]:
        assert rank_entry_instances(place, block, rest, DOMAINS)[0] == order[0]


@given(st.sets(st.integers(0, 40), min_size=1), st.integers(0, 40))
def test_rendezvous_moves_only_what_the_lost_name_had(numbers, lost):
    names = [f"n{number}" for number in numbers]
    left = [name for name in names if name != f"n{lost}"]
    for key in range(20):
        first = rank_names(key, names)[0]
        if left and first in left:
            assert rank_names(key, left)[0] == first


@given(st.integers(0, 2**32), st.integers(1, 4))
def test_pool_counts_like_a_naive_list(seed, count):
    rng = random.Random(seed)
    allocator = SlotAllocator(random.Random(seed))
    configuration = make_configuration(count)
    owned = dict.fromkeys(configuration.targets, False)
    allocator.set_owned_targets(configuration, owned, frozenset(), 0.0)
    now, held = 10.0, []
    for _ in range(200):
        now += rng.random() * 0.1
        if held and rng.random() < 0.4:
            grant = held.pop(rng.randrange(len(held)))
            allocator.release(grant, Completed(0.01), now)
        else:
            home = rng.choice(["gulf", "delta"])
            answer = allocator.acquire(
                AdmissionRequest("reads", home, rng.random() < 0.5, now + 1), now
            )
            if isinstance(answer, Grant):
                held.append(answer)
        foreign = sum(grant.admission_request.home_region != "gulf" for grant in held)
        assert foreign <= 4
        for name in configuration.targets:
            mine = [grant for grant in held if grant.state.target.name == name]
            assert len(mine) <= 5
            assert sum(grant.admission_request.is_long for grant in mine) <= 3
    assert allocator.get_in_flight() == len(held)


@given(st.sets(st.integers(0, 23), min_size=1))
def test_every_target_has_one_owner_near_it(numbers):
    configuration = replace(make_configuration(10), domain_regions=DOMAINS)
    members = [FLEET[number] for number in numbers]
    ownership = Ownership(configuration, members, {"gulf-a"})
    for name in configuration.targets:
        owner = ownership.get_owner(name)
        near = [m.name for m in members if m.failure_domain == "gulf-a"]
        region = [m.name for m in members if m.region == "gulf"]
        if near:
            assert owner.name in near
            assert not owner.is_adopted
        elif region:
            assert owner.name in region
            assert owner.is_adopted
        else:
            assert owner is None


@pytest.mark.parametrize(
    ("admission_request", "limit"),
    [
        (AdmissionRequest("reads", "gulf", False, 99.0), 5),
        (AdmissionRequest("reads", "gulf", True, 99.0), 3),
        (AdmissionRequest("reads", "delta", False, 99.0), 2),
    ],
)
def test_cancelled_work_counts_until_the_target_noticed(admission_request, limit):
    allocator = SlotAllocator(random.Random(1))
    allocator.set_owned_targets(make_configuration(1), {"t0": False}, frozenset(), 0.0)
    grants = [allocator.acquire(admission_request, 10.0) for _ in range(limit)]
    assert all(isinstance(grant, Grant) for grant in grants)
    assert not isinstance(allocator.acquire(admission_request, 10.0), Grant)
    allocator.release(grants[0], Cancelled(), 10.0)
    assert not isinstance(allocator.acquire(admission_request, 10.01), Grant)
    assert isinstance(allocator.acquire(admission_request, 10.1), Grant)
