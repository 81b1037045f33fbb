"""The changes that gateways tell each other, against a naive copy."""

from hypothesis import given
from hypothesis import strategies as st

from turmericrudder.gateway.change_log import ChangeLog
from turmericrudder.platform import Deletion, StoreEntry


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=40), st.data())
def test_change_log_against_a_naive_copy(steps, data):
    """An instance that asks at any moments ends with what the store holds."""
    log, copy, asked, naive = ChangeLog(), {}, 0, {}
    log.reset({}, 0)
    for revision, (key, is_deletion) in enumerate(steps, 1):
        name = f"k{key}"
        if is_deletion:
            naive.pop(name, None)
            log.append(Deletion(name, revision))
        else:
            naive[name] = revision
            log.append(StoreEntry(name, b"", revision))
        if data.draw(st.booleans()):
            asked = _catch_up(log, copy, asked)
    asked = _catch_up(log, copy, asked)
    assert copy == naive
    assert log.get_since(asked) == []
    held = Deletion("k0", log.revision + 1)
    log.append(held)
    log.withhold(held)
    log.append(StoreEntry("k9", b"", log.revision + 1))
    assert log.get_since(asked) == [] and log.get_snapshot() is None
    log.release(held)
    assert len(log.get_since(asked)) == 2


def _catch_up(log, copy, asked):
    for event in log.get_since(asked):
        if isinstance(event, Deletion):
            copy.pop(event.key, None)
        else:
            copy[event.key] = event.revision
    return log.get_published_revision()
