"""Instances and responses that still have the history of before a restore."""

from types import SimpleNamespace

import anyio
import msgspec
import pytest

from turmericrudder.address import Address
from turmericrudder.errors import HistoryCompacted, StoreUnavailable
from turmericrudder.gateway.cached_state import CachedState
from turmericrudder.gateway.known_entries import KnownEntries
from turmericrudder.gateway.members import Members
from turmericrudder.gateway.peer_sync import PeerUpdate
from turmericrudder.gateway.store_sync import StoreSync
from turmericrudder.listener import Listener
from turmericrudder.platform import (
    Deletion,
    MetadataStoreClient,
    Page,
    StoreEntry,
    WatchResponse,
    encode_member,
    protocol,
)
from turmericrudder.steering import GatewayMember

from .platform_documents import make_configuration, make_route

STORE = Address("127.0.20.4", 21994)


class ScriptedStore:
    """Answers each call with the next of the given responses, ``None`` for a failure.

    A watch that finds a :class:`Page` is told that its history is lost.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.era = 0

    async def _respond(self):
        await anyio.sleep(0.01)
        response = self.responses.pop(0) if self.responses else None
        if response is None:
            raise StoreUnavailable("no response")
        return response

    async def get_all(self, prefix):
        return await self._respond()

    async def watch(self, prefix, after, wait):
        if self.responses and isinstance(self.responses[0], Page):
            raise HistoryCompacted("lost")
        return await self._respond()


class ScriptedPeers:
    """Answers each poll with the same update."""

    def __init__(self, update=None):
        self.update = update

    async def get_update(self, address, after, wait, era):
        await anyio.sleep(0.01)
        return self.update


def _make_entry(version, revision):
    value = msgspec.json.encode(make_configuration(version, [make_route()]))
    return StoreEntry(protocol.CONFIGURATION_KEY, value, revision)


def _make_page(era, revision, *entries):
    return Page(entries, revision, False, era)


async def _run(store, update=None):
    """Run a synchronization for a while and return it with its cached state."""
    log = SimpleNamespace(write=lambda event, **fields: None)
    own_member = GatewayMember(
        "g1", Address("127.0.0.1", 1), Address("127.0.0.1", 2), "a1", "a", "n", 1.0
    )
    settings = SimpleNamespace(
        seeds=(Address("127.0.0.1", 3),) if update else (), regions={"a1": "a"}
    )
    members = Members(settings, own_member)
    pool = SimpleNamespace(close_idle=lambda target_id: None)
    state = CachedState("g1", members, pool, log, lambda: None)
    sync = StoreSync(state, store, ScriptedPeers(update), log)
    with anyio.move_on_after(1.0):
        await sync.run()
    return sync, state


@pytest.mark.anyio
async def test_update_of_a_peer_with_the_old_history_is_not_used():
    old = [["op/config", 90, _make_entry(9, 90).value]]
    update = msgspec.convert(
        {"revision": 90, "is_whole": True, "entries": old, "era": 1}, PeerUpdate
    )
    store = ScriptedStore(_make_page(2, 50, _make_entry(5, 50)))
    sync, state = await _run(store, update)
    assert (sync.era, sync.change_log.revision, state.version) == (2, 50, 5)


@pytest.mark.anyio
async def test_update_of_a_peer_that_knows_a_later_era_is_used():
    new = [["op/config", 40, _make_entry(9, 40).value]]
    update = msgspec.convert(
        {"revision": 40, "is_whole": True, "entries": new, "era": 2}, PeerUpdate
    )
    store = ScriptedStore(_make_page(1, 50, _make_entry(5, 50)))
    sync, state = await _run(store, update)
    assert (sync.era, sync.change_log.revision, state.version) == (2, 40, 9)


@pytest.mark.anyio
async def test_snapshot_that_lags_within_an_era_takes_nothing_back():
    watched = WatchResponse((_make_entry(6, 60),), 60, 2)
    store = ScriptedStore(
        _make_page(2, 50, _make_entry(5, 50)), watched, _make_page(2, 55)
    )
    sync, state = await _run(store)
    assert (sync.change_log.revision, state.version) == (60, 6)


@pytest.mark.anyio
async def test_revision_that_only_a_peer_has_named_keeps_no_snapshot_out():
    update = msgspec.convert(
        {"revision": 2**60, "is_whole": False, "entries": [], "era": 2}, PeerUpdate
    )
    first = _make_page(2, 50, _make_entry(5, 50))
    second = _make_page(2, 60, _make_entry(6, 60))
    _, state = await _run(ScriptedStore(first, None, second), update)
    assert state.version == 6


@pytest.mark.anyio
async def test_watch_in_a_later_era_leads_to_a_whole_reading():
    watched = WatchResponse((_make_entry(7, 61),), 61, 3)
    store = ScriptedStore(
        _make_page(2, 60, _make_entry(5, 50)),
        watched,
        _make_page(3, 61, _make_entry(7, 55)),
    )
    sync, state = await _run(store)
    assert (sync.era, sync.change_log.revision, state.version) == (3, 61, 7)


@pytest.mark.anyio
async def test_evacuation_lost_in_a_restore_outlasts_a_second_reading():
    evacuation = StoreEntry("op/evacuate/a1", b"{}", 60)
    pages = [
        _make_page(2, 60, _make_entry(5, 50), evacuation),
        _make_page(3, 55, _make_entry(5, 50)),
        _make_page(3, 55, _make_entry(5, 50)),
    ]
    _, state = await _run(ScriptedStore(*pages))
    assert state.catalog.get_evacuated_domains() == {"a1"}


@pytest.mark.anyio
async def test_evacuation_written_anew_is_not_taken_for_one_that_was_withdrawn():
    """The restored store gives it the revision that the withdrawn one had."""
    evacuation = StoreEntry("op/evacuate/a1", b"{}", 60)
    withdrawn = WatchResponse((Deletion(evacuation.key, 61),), 61, 2)
    store = ScriptedStore(
        _make_page(2, 60, evacuation), withdrawn, _make_page(3, 60, evacuation)
    )
    _, state = await _run(store)
    assert state.catalog.get_evacuated_domains() == {"a1"}


@pytest.mark.anyio
async def test_member_that_left_before_a_restore_stays_unused():
    member = GatewayMember(
        "g2", Address("127.0.0.1", 4), Address("127.0.0.1", 5), "a1", "a", "n", 1.0
    )
    entry = StoreEntry("members/g2", encode_member(member), 60)
    left = WatchResponse((Deletion(entry.key, 61),), 61, 2)
    store = ScriptedStore(_make_page(2, 60, entry), left, _make_page(3, 60, entry))
    sync, state = await _run(store)
    assert (sync.era, len(state.members)) == (3, 1)


@pytest.mark.anyio
@pytest.mark.parametrize("second", [b"1", b"", b"-3", b"x", b"9" * 400])
async def test_response_of_an_earlier_era_or_without_a_valid_one_changes_no_era(second):
    eras = iter([b"2", second])

    async def respond(scope, receive, send):
        headers = [(protocol.STORE_ERA_HEADER, next(eras))]
        start = {"type": "http.response.start", "status": 200, "headers": headers}
        await send(start)
        body = b'{"items":[],"store_revision":4}'
        await send({"type": "http.response.body", "body": body})

    listener = Listener(respond, STORE)
    await listener.open()
    client = MetadataStoreClient(STORE)
    try:
        assert (await client.get_range("")).era == 2
        if second == b"1":
            with pytest.raises(StoreUnavailable):
                await client.get_range("")
        else:
            assert (await client.get_range("")).era is None
        assert client.era == 2
    finally:
        await client.aclose()
        listener.close()


def test_known_entries_forget_the_oldest_removed_ones():
    known = KnownEntries()
    entries = [StoreEntry(f"k{number}", b"", number + 1) for number in range(5000)]
    for entry in entries:
        known.put(entry)
        known.remove(entry.key)
    assert known.is_removed(entries[-1]) and not known.is_removed(entries[0])
    assert len(known) == 0
