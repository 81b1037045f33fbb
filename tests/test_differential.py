"""Functions without I/O, compared with naive implementations on generated input."""

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

REGIONS = ("gulf", "delta", "piedmont")


@st.composite
def blocks(draw):
    """Draw (start, prefix length, locality) of address blocks in 127.0.0.0/18.

    Some blocks contain others.
    """
    localities = {}
    for _ in range(draw(st.integers(0, 30))):
        length = draw(st.integers(18, 32))
        start = draw(st.integers(0, 2**14 - 1)) << (32 - length) & 0x3FFF
        localities[0x7F000000 + start, length] = draw(st.sampled_from(REGIONS))
    return [
        (start, length, locality) for (start, length), locality in localities.items()
    ]


def get_locality_naively(table, number):
    matching = [b for b in table if b[0] <= number < b[0] + 2 ** (32 - b[1])]
    return max(matching, key=lambda block: block[1])[2] if matching else None


@given(blocks(), st.lists(st.integers(0, 2**14 + 10), max_size=40))
def test_block_table_finds_longest_prefix(table, offsets):
    block_table = BlockTable(PackedBlocks.pack(table))
    edges = [b[0] - 0x7F000000 + d for b in table for d in (-1, 0, 1)]
    for offset in [*offsets, *edges]:
        number = 0x7F000000 + offset
        assert block_table.get_locality_by_number(number) == get_locality_naively(
            table, number
        )
        text = str(ipaddress.IPv4Address(number))
        assert block_table.get_locality(text) == block_table.get_locality_by_number(
            number
        )


@given(blocks(), st.text(max_size=50))
def test_joined_chunks_equal_source(table, text):
    source = ConfigurationSource(text, text[::-1], PackedBlocks.pack(table), ("a",))
    assert join_chunks(split_chunks(source)) == source


def test_change_of_one_block_changes_one_chunk():
    table = [(number << 8, 24, REGIONS[number % 3]) for number in range(100_000)]
    before = split_chunks(ConfigurationSource("", "", PackedBlocks.pack(table)))
    table[50_000] = (50_000 << 8, 24, "elsewhere")
    after = split_chunks(ConfigurationSource("", "", PackedBlocks.pack(table)))
    assert len(before) > 10
    assert len(set(after) - set(before)) <= 2
    assert max(map(len, before)) < 1_000_000


@given(st.integers(0, 60), st.integers(1, 12))
def test_cap_allocation_is_complete_even_and_monotonic(cap, count):
    names = [f"target-{number}" for number in range(count)]
    slots = allocate_cap(cap, "service", names)
    assert sum(slots.values()) == cap
    assert max(slots.values()) - min(slots.values()) <= 1
    assert slots == allocate_cap(cap, "service", names[::-1])
    more = allocate_cap(cap + 1, "service", names)
    assert all(more[name] >= slots[name] for name in names)


@given(st.lists(st.tuples(st.floats(0, 1), st.integers(1, 500)), max_size=60))
def test_token_bucket_never_exceeds_rate_and_burst(steps):
    rate, burst_seconds = 1000.0, 0.5
    bucket = TokenBucket(rate, burst_seconds, 0.0)
    now, sent = 0.0, 0
    for interval, count in steps:
        now += interval
        now += bucket.take(count, now)
        sent += count
        assert sent <= rate * (now + burst_seconds) + 1e-6


MEMBER_STRATEGY = st.builds(
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


@given(st.lists(MEMBER_STRATEGY, max_size=20), st.randoms())
def test_views_are_equal_for_any_merge_order(members, shuffler):
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


INSTANCES = [
    make_member(f"{region}-{domain}-{number}", region, f"{region}-{domain}")
    for region in REGIONS
    for domain in "ab"
    for number in range(4)
]
DOMAIN_REGIONS = {member.failure_domain: member.region for member in INSTANCES}


@given(st.sampled_from(REGIONS), st.integers(0, 50), st.integers(0, 23))
def test_entry_instances_are_ranked_local_first_and_stable(region, block, removed):
    ranked = rank_entry_instances(region, block, INSTANCES, DOMAIN_REGIONS)
    assert ranked == rank_entry_instances(
        region, block, INSTANCES[::-1], DOMAIN_REGIONS
    )
    assert ranked[0].region == region
    assert ranked[1].region == region
    assert ranked[1].failure_domain != ranked[0].failure_domain
    assert ranked[-1].region != region
    remaining = [member for member in INSTANCES if member != INSTANCES[removed]]
    if INSTANCES[removed] != ranked[0]:
        assert (
            rank_entry_instances(region, block, remaining, DOMAIN_REGIONS)[0]
            == ranked[0]
        )


@given(st.sets(st.integers(0, 40), min_size=1), st.integers(0, 40))
def test_removed_name_moves_only_its_own_keys(numbers, removed):
    names = [f"n{number}" for number in numbers]
    remaining = [name for name in names if name != f"n{removed}"]
    for key in range(20):
        first = rank_names(key, names)[0]
        if remaining and first in remaining:
            assert rank_names(key, remaining)[0] == first


@given(st.integers(0, 2**32), st.integers(1, 4))
def test_slot_allocator_counts_match_a_list_of_grants(seed, count):
    rng = random.Random(seed)
    allocator = SlotAllocator(random.Random(seed))
    configuration = make_configuration(count)
    owned = dict.fromkeys(configuration.targets, False)
    allocator.set_owned_targets(configuration, owned, frozenset(), 0.0)
    now, grants = 10.0, []
    for _ in range(200):
        now += rng.random() * 0.1
        if grants and rng.random() < 0.4:
            grant = grants.pop(rng.randrange(len(grants)))
            allocator.release(grant, Completed(0.01), now)
        else:
            home = rng.choice(["gulf", "delta"])
            result = allocator.acquire(
                AdmissionRequest("reads", home, rng.random() < 0.5, now + 1), now
            )
            if isinstance(result, Grant):
                grants.append(result)
        foreign = sum(grant.admission_request.home_region != "gulf" for grant in grants)
        assert foreign <= 4
        for name in configuration.targets:
            target_grants = [
                grant for grant in grants if grant.state.target.name == name
            ]
            assert len(target_grants) <= 5
            assert sum(grant.admission_request.is_long for grant in target_grants) <= 3
    assert allocator.get_in_flight() == len(grants)


@given(st.sets(st.integers(0, 23), min_size=1))
def test_owner_is_in_failure_domain_or_region_of_target(numbers):
    configuration = replace(make_configuration(10), domain_regions=DOMAIN_REGIONS)
    members = [INSTANCES[number] for number in numbers]
    ownership = Ownership(configuration, members, {"gulf-a"})
    for name in configuration.targets:
        owner = ownership.get_owner(name)
        in_domain = [m.name for m in members if m.failure_domain == "gulf-a"]
        in_region = [m.name for m in members if m.region == "gulf"]
        if in_domain:
            assert owner.name in in_domain
            assert not owner.is_adopted
        elif in_region:
            assert owner.name in in_region
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
def test_cancelled_request_keeps_slot_for_grace_period(admission_request, limit):
    allocator = SlotAllocator(random.Random(1))
    allocator.set_owned_targets(make_configuration(1), {"t0": False}, frozenset(), 0.0)
    grants = [allocator.acquire(admission_request, 10.0) for _ in range(limit)]
    assert all(isinstance(grant, Grant) for grant in grants)
    assert not isinstance(allocator.acquire(admission_request, 10.0), Grant)
    allocator.release(grants[0], Cancelled(), 10.0)
    assert not isinstance(allocator.acquire(admission_request, 10.01), Grant)
    assert isinstance(allocator.acquire(admission_request, 10.1), Grant)
