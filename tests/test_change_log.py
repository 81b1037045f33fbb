"""The change log that gateways serve to each other."""

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmericrudder.gateway.change_log import ChangeLog
from turmericrudder.platform import Deletion, StoreEntry


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=40), st.data())
def test_change_log_matches_a_reference_copy(steps, data):
    """A gateway that polls at arbitrary times ends with the store's content."""
    log, mirror, known_revision, expected = ChangeLog(), {}, 0, {}
    log.reset({}, 0)
    for revision, (key, is_deletion) in enumerate(steps, 1):
        name = f"k{key}"
        if is_deletion:
            expected.pop(name, None)
            log.append(Deletion(name, revision))
        else:
            expected[name] = revision
            log.append(StoreEntry(name, b"", revision))
        log.advance(revision)
        if data.draw(st.booleans()):
            known_revision = _catch_up(log, mirror, known_revision)
    known_revision = _catch_up(log, mirror, known_revision)
    assert mirror == expected
    assert log.get_since(known_revision) == []


def test_withheld_deletion_holds_back_deletions_but_no_entries():
    log = ChangeLog()
    log.reset({}, 1)
    events = [
        StoreEntry("a", b"", 2),
        Deletion("b", 3),
        StoreEntry("c", b"", 4),
        StoreEntry("d", b"", 5),
        Deletion("d", 6),
        StoreEntry("c", b"", 7),
    ]
    for event in events:
        log.append(event)
        if event.key == "b":
            log.withhold(event)
        log.advance(event.revision)
    assert log.get_since(1) == [events[0], events[5]]
    assert log.get_since(2) == [events[5]]
    assert log.get_published_revision() == 2 and log.get_snapshot() is None
    log.release(events[1])
    assert log.get_since(2) == events[1:] and log.get_published_revision() == 7


@given(st.permutations(range(2, 8)))
def test_entries_added_ahead_are_published_once_all_before_are_known(revisions):
    log = ChangeLog()
    log.reset({}, 1)
    for revision in revisions:
        log.append(StoreEntry(f"k{revision}", b"", revision))
    assert log.get_since(1) == []
    log.advance(7)
    assert sorted(event.revision for event in log.get_since(1)) == [2, 3, 4, 5, 6, 7]


@pytest.mark.anyio
async def test_entry_after_a_withheld_deletion_wakes_waiting_peers():
    log = ChangeLog()
    log.reset({}, 1)
    withheld = Deletion("b", 2)
    log.append(withheld)
    log.withhold(withheld)
    log.advance(2)
    with anyio.fail_after(5.0):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(log.wait_newer, 1, 60.0)
            await anyio.lowlevel.checkpoint()
            log.append(StoreEntry("a", b"", 3))
            log.advance(3)


def _catch_up(log, mirror, known_revision):
    for event in log.get_since(known_revision):
        if isinstance(event, Deletion):
            mirror.pop(event.key, None)
        else:
            mirror[event.key] = event.revision
    return log.get_published_revision()
