"""Configuration: what is refused and where, and races of operators."""

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
def test_bad_parameter_is_refused_with_its_place(old, new, section, key):
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
def test_bad_template_is_refused_with_its_place(old, new, section):
    source = replace(SOURCE, templates=SOURCE.templates.replace(old, new, 1))
    with pytest.raises(ConfigurationInvalid) as caught:
        compile_source(source)
    assert caught.value.file == "templates.ini"
    assert caught.value.section == section


def test_block_of_unknown_place_is_refused():
    source = replace(SOURCE, blocks=PackedBlocks.pack([(0x7F000000, 8, "mars")]))
    with pytest.raises(ConfigurationInvalid, match="mars"):
        compile_source(source)


@pytest.mark.parametrize("workspace", ["clearsight", "mukamana"])
def test_examples_have_the_sizes_of_the_deployments(workspace):
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
    found, source = await repository.get_current()
    assert found == manifest
    assert source == SOURCE
    assert manifest.revision == 1


@pytest.mark.anyio
async def test_second_of_two_operators_gets_a_conflict_that_names_the_first():
    store = FakeStore()
    repository = ConfigurationRepository(store, "w")
    await repository.accept(SOURCE, "ann", "first")

    async def overtake(key):
        if key.endswith("/head"):
            store.before_put = None
            await ConfigurationRepository(store, "w").accept(
                SOURCE.drain("gulf-a"), "ben", "drain gulf-a"
            )

    store.before_put = overtake
    with pytest.raises(RevisionConflict) as caught:
        await repository.accept(SOURCE.drain("delta-a"), "ann", "drain delta-a")
    assert (caught.value.author, caught.value.note) == ("ben", "drain gulf-a")
    _, source = await repository.get_current()
    assert source.drained == ("gulf-a",)


@pytest.mark.anyio
async def test_expected_revision_guards_against_a_change_in_between():
    repository = ConfigurationRepository(FakeStore(), "w")
    await repository.accept(SOURCE, "ann", "first")
    await repository.accept(SOURCE.drain("gulf-a"), "ben", "drain")
    with pytest.raises(RevisionConflict):
        await repository.accept(SOURCE, "ann", "late", expected_revision=1)


@pytest.mark.anyio
@pytest.mark.parametrize("lost", [1, 2])
async def test_lost_answer_is_resolved_by_reading_back(lost):
    store = FakeStore()
    store.lose_answers = lost
    repository = ConfigurationRepository(store, "w")
    manifest = await repository.accept(SOURCE, "ann", "first")
    assert manifest.revision == 1
    assert [m.revision async for m in repository.iter_history()] == [1]


@pytest.mark.anyio
async def test_outage_leaves_the_accepted_revision_alone():
    store = FakeStore()
    repository = ConfigurationRepository(store, "w")
    await repository.accept(SOURCE, "ann", "first")
    store.outage = True
    with pytest.raises(StoreUnavailable):
        await repository.accept(SOURCE.drain("gulf-a"), "ann", "drain")
    store.outage = False
    manifest, source = await repository.get_current()
    assert (manifest.revision, source) == (1, SOURCE)


@pytest.mark.anyio
async def test_oversize_value_is_refused_before_anything_is_written():
    store = FakeStore()
    comment = "; " + "x" * 1_000_000 + "\n"
    source = replace(SOURCE, parameters=comment + SOURCE.parameters)
    with pytest.raises(ValueTooLarge):
        await ConfigurationRepository(store, "w").accept(source, "ann", "too large")
    assert store.keys == {}
