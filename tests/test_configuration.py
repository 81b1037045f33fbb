"""Compiling configurations, and concurrent changes by operators.

Errors must name the file, section and key at fault. Of two changes based on the
same revision only one may be accepted, also when a response of the store is lost.
"""

from dataclasses import replace

import pytest

from bench.cluster import EXAMPLES
from turmericrudder.configuration import (
    ConfigurationRepository,
    PackedBlocks,
    compile_source,
    read_source,
)
from turmericrudder.errors import (
    ConfigurationInvalid,
    RevisionConflict,
    StoreUnavailable,
    ValueTooLarge,
)

from .fake_store import FakeStore

SOURCE = read_source(EXAMPLES / "clearsight")

BAD_PARAMETERS = [
    ("slots = 5", "slots = many", "service lensreader", "slots"),
    ("slots = 5", "slots = 0", "service lensreader", "slots"),
    ("template = reader", "template = readers", "service lensreader", "template"),
    ("cap.gulf = 10", "cap.mars = 10", "service lensreader", "cap.mars"),
    ("cap_ramp = 20s", "cap_ramp = soon", "service lensreader", "cap_ramp"),
    ("queue = 4", "queues = 4", "service lensreader", "queues"),
    ("region = gulf", "regions = gulf", "domain gulf-a", "region"),
    ("gulf-a 127.2.10.1:9000", "mars 127.2.10.1:9000", "targets lensreader",
     "lensreader-01"),
    ("gulf-a 127.2.10.1:9000", "gulf-a localhost:9000", "targets lensreader",
     "lensreader-01"),
    ("lensreader-02 =", "lensreader-01 =", "targets lensreader", "lensreader-01"),
    ("[service holdbook]", "[service lookup]", "service lookup", "-"),
    ("[workspace]", "[workspaces]", "workspace", "-"),
]  # fmt: skip


@pytest.mark.parametrize(("old", "new", "section", "key"), BAD_PARAMETERS)
def test_invalid_parameter_error_names_section_and_key(old, new, section, key):
    source = replace(SOURCE, parameters=SOURCE.parameters.replace(old, new, 1))
    with pytest.raises(ConfigurationInvalid) as caught:
        compile_source(source)
    assert caught.value.file == "parameters.ini"
    assert caught.value.section == section
    assert caught.value.key == key
    assert caught.value.reason


@pytest.mark.parametrize(
    ("old", "new", "section"),
    [
        ("kind = idempotent", "kind = safe", "class reader.read"),
        ("deadline = 3s", "", "class reader.read"),
        ("[template reader]", "[templates reader]", "templates reader"),
    ],
)
def test_invalid_template_error_names_section(old, new, section):
    source = replace(SOURCE, templates=SOURCE.templates.replace(old, new, 1))
    with pytest.raises(ConfigurationInvalid) as caught:
        compile_source(source)
    assert caught.value.file == "templates.ini"
    assert caught.value.section == section


def test_block_with_unknown_locality_is_rejected():
    source = replace(SOURCE, blocks=PackedBlocks.pack([(0x7F000000, 8, "mars")]))
    with pytest.raises(ConfigurationInvalid, match="mars"):
        compile_source(source)


@pytest.mark.parametrize("workspace", ["clearsight", "mukamana"])
def test_examples_have_the_target_and_slot_counts_of_the_deployments(workspace):
    configuration = compile_source(read_source(EXAMPLES / workspace))
    sizes = {
        name: (len(configuration.get_targets(name)), service.slots)
        for name, service in configuration.services.items()
    }
    expected = {
        "clearsight": {
            "lensreader": (16, 5),
            "holdbook": (12, 3),
            "binvault": (14, 5),
        },
        "mukamana": {"catalogue": (12, 5), "checkout": (12, 3), "records": (12, 5)},
    }
    assert sizes == expected[workspace]
    assert sum(configuration.entry_counts.values()) == 7


@pytest.mark.anyio
async def test_accepted_source_is_read_back():
    repository = ConfigurationRepository(FakeStore(), "w")
    manifest = await repository.accept(SOURCE, "ann", "first")
    current, source = await repository.get_current()
    assert current == manifest
    assert source == SOURCE
    assert manifest.revision == 1


@pytest.mark.anyio
async def test_concurrent_change_raises_conflict_that_names_the_other_operator():
    """Another revision is accepted between reading the head and replacing it."""
    store = FakeStore()
    repository = ConfigurationRepository(store, "w")
    await repository.accept(SOURCE, "ann", "first")

    async def accept_other(key):
        if key.endswith("/head"):
            store.before_write = None
            await ConfigurationRepository(store, "w").accept(
                SOURCE.drain("gulf-a"), "ben", "drain gulf-a"
            )

    store.before_write = accept_other
    with pytest.raises(RevisionConflict) as caught:
        await repository.accept(SOURCE.drain("delta-a"), "ann", "drain delta-a")
    assert (caught.value.author, caught.value.note) == ("ben", "drain gulf-a")
    _, source = await repository.get_current()
    assert source.drained == ("gulf-a",)


@pytest.mark.anyio
async def test_outdated_expected_revision_raises_conflict():
    repository = ConfigurationRepository(FakeStore(), "w")
    await repository.accept(SOURCE, "ann", "first")
    await repository.accept(SOURCE.drain("gulf-a"), "ben", "drain")
    with pytest.raises(RevisionConflict):
        await repository.accept(SOURCE, "ann", "late", expected_revision=1)


@pytest.mark.anyio
@pytest.mark.parametrize("lost", [1, 2])
async def test_lost_write_response_does_not_accept_a_revision_twice(lost):
    """The head is written but the store's response is lost, once or twice."""
    store = FakeStore()
    store.lost_responses = lost
    repository = ConfigurationRepository(store, "w")
    manifest = await repository.accept(SOURCE, "ann", "first")
    assert manifest.revision == 1
    assert [m.revision async for m in repository.iter_history()] == [1]


@pytest.mark.anyio
async def test_store_outage_leaves_the_accepted_revision_unchanged():
    store = FakeStore()
    repository = ConfigurationRepository(store, "w")
    await repository.accept(SOURCE, "ann", "first")
    store.has_outage = True
    with pytest.raises(StoreUnavailable):
        await repository.accept(SOURCE.drain("gulf-a"), "ann", "drain")
    store.has_outage = False
    manifest, source = await repository.get_current()
    assert (manifest.revision, source) == (1, SOURCE)


@pytest.mark.anyio
async def test_too_large_chunk_is_rejected_before_anything_is_written():
    store = FakeStore()
    comment = "; " + "x" * 1_000_000 + "\n"
    source = replace(SOURCE, parameters=comment + SOURCE.parameters)
    with pytest.raises(ValueTooLarge):
        await ConfigurationRepository(store, "w").accept(source, "ann", "too large")
    assert store.keys == {}
