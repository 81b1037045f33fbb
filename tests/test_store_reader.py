"""Watching of the store's head key by an entry instance."""

from types import SimpleNamespace

import anyio
import pytest

from standins.asgi import wait_disconnected
from standins.store import StoreApplication
from turmericrudder.address import Address
from turmericrudder.configuration import ConfigurationRepository
from turmericrudder.daemon.store_reader import StoreReader
from turmericrudder.listener import Listener
from turmericrudder.platform import MetadataStoreClient, protocol
from turmericrudder.settings import TimingSettings

STORE = Address("127.0.20.4", 21992)
IN_FORCE_WITHIN = 10.0  # seconds from the acceptance of a change


class WatchLosingStore:
    """A store that never answers the first watch and keeps its connection open."""

    def __init__(self):
        self.store = StoreApplication(0.0)
        self.lost_watch = anyio.Event()

    async def __call__(self, scope, receive, send):
        if scope["path"] == protocol.STORE_WATCH_PATH and not self.lost_watch.is_set():
            self.lost_watch.set()
            await wait_disconnected(receive)
            return
        await self.store(scope, receive, send)

    def accept(self, revision):
        head = {"revision": revision, "manifest": "m", "change": "c"}
        self.store.put_document("w/head", head)


class RevisionRecorder:
    """A configurator that puts each revision in force at once."""

    def __init__(self):
        self.revision = 0

    @property
    def position(self):
        return 0, self.revision

    def submit_revision(self, revision, manifest, era):
        self.revision = revision


@pytest.mark.anyio
async def test_lost_watch_delays_no_revision_beyond_the_bound():
    application = WatchLosingStore()
    application.accept(1)
    listener = Listener(application, STORE)
    await listener.open()
    client = MetadataStoreClient(STORE)
    recorder = RevisionRecorder()
    reader = StoreReader(
        SimpleNamespace(timing=TimingSettings()),
        ConfigurationRepository(client, "w"),
        recorder,
        SimpleNamespace(is_elected=lambda role, count: True),
        SimpleNamespace(write=lambda event, **fields: None),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reader.run)
        await application.lost_watch.wait()
        application.accept(2)
        with anyio.move_on_after(IN_FORCE_WITHIN):
            while recorder.revision < 2:
                await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
    await client.aclose()
    listener.close()
    assert recorder.revision == 2
