"""The change log that gateways serve to each other."""

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
        if data.draw(st.booleans()):
            known_revision = _catch_up(log, mirror, known_revision)
    known_revision = _catch_up(log, mirror, known_revision)
    assert mirror == expected
    assert log.get_since(known_revision) == []
    withheld = Deletion("k0", log.revision + 1)
    log.append(withheld)
    log.withhold(withheld)
    log.append(StoreEntry("k9", b"", log.revision + 1))
    assert log.get_since(known_revision) == [] and log.get_snapshot() is None
    log.release(withheld)
    assert len(log.get_since(known_revision)) == 2


def _catch_up(log, mirror, known_revision):
    for event in log.get_since(known_revision):
        if isinstance(event, Deletion):
            mirror.pop(event.key, None)
        else:
            mirror[event.key] = event.revision
    return log.get_published_revision()
