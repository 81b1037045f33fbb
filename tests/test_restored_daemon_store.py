"""Configurations of the entry daemon in a store that is restored from a copy."""

from pathlib import Path
from types import SimpleNamespace

import anyio
import pytest

from standins.store import StoreApplication
from turmericrudder.address import Address
from turmericrudder.configuration import ConfigurationRepository, read_source
from turmericrudder.daemon.configurator import Configurator
from turmericrudder.daemon.store_reader import StoreReader
from turmericrudder.errors import StoreError
from turmericrudder.listener import Listener
from turmericrudder.platform import MetadataStoreClient
from turmericrudder.settings import TimingSettings

STORE = Address("127.0.20.4", 21993)
SOURCE = read_source(Path(__file__).parent.parent / "examples" / "clearsight")
IN_FORCE_WITHIN = 10.0  # seconds from the acceptance of a change


class ObservedClient(MetadataStoreClient):
    """A client that calls ``before_write``, if set, with the key of each write."""

    before_write = None

    async def write(self, key, *args, **options):
        if self.before_write is not None:
            self.before_write(key)
        return await super().write(key, *args, **options)


class Deployment:
    """A store, an operator's repository and the parts of a daemon that follow it."""

    async def __aenter__(self):
        self.store = StoreApplication(0.0)
        self._listener = Listener(self.store, STORE)
        await self._listener.open()
        self._clients = [ObservedClient(STORE), MetadataStoreClient(STORE)]
        self.operator_client, _ = self._clients
        self.operator, repository = (
            ConfigurationRepository(client, "clearsight") for client in self._clients
        )
        log = SimpleNamespace(write=lambda event, **fields: None)
        self.configurator = Configurator(
            SimpleNamespace(workspace="clearsight"), repository, None, log
        )
        self.configurator.on_change = lambda: None
        self._reader = StoreReader(
            SimpleNamespace(timing=TimingSettings()),
            repository,
            self.configurator,
            SimpleNamespace(is_elected=lambda role, count: True),
            log,
        )
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        self._tasks.start_soon(self.configurator.run)
        self._tasks.start_soon(self._reader.run)
        return self

    async def __aexit__(self, *exc):
        self._tasks.cancel_scope.cancel()
        await self._tasks.__aexit__(*exc)
        for client in self._clients:
            await client.aclose()
        self._listener.close()

    async def accept(self, *drained):
        source = SOURCE
        for name in drained:
            source = source.drain(name)
        return await self.operator.accept(source, "ann", "test")


@pytest.fixture
async def deployment():
    async with Deployment() as deployment:
        yield deployment


async def _wait_drained(deployment, name):
    with anyio.fail_after(IN_FORCE_WITHIN):
        while (
            deployment.configurator.configuration is None
            or name not in deployment.configurator.configuration.drained
        ):
            await anyio.sleep(0.05)


@pytest.mark.anyio
async def test_revision_number_that_a_restore_gives_out_again_comes_into_force(
    deployment,
):
    await deployment.accept()
    copy = deployment.store.take_copy()
    await deployment.accept("gulf-a")
    await _wait_drained(deployment, "gulf-a")
    deployment.store.restore(copy)
    manifest = await deployment.accept("delta-a")
    assert manifest.revision == 2
    await _wait_drained(deployment, "delta-a")


@pytest.mark.anyio
async def test_older_revision_of_a_restored_store_does_not_come_into_force(deployment):
    await deployment.accept()
    copy = deployment.store.take_copy()
    await deployment.accept("gulf-a")
    await _wait_drained(deployment, "gulf-a")
    deployment.store.restore(copy)
    await anyio.sleep(2.0)
    await _wait_drained(deployment, "gulf-a")


@pytest.mark.anyio
async def test_head_names_no_manifest_that_a_restore_has_lost(deployment):
    """The store is restored between the writes of the manifest and of the head."""
    await deployment.accept()
    copy = deployment.store.take_copy()

    def restore_before_head(key):
        if key.endswith("/head"):
            deployment.store.restore(copy)

    deployment.operator_client.before_write = restore_before_head
    with pytest.raises(StoreError):
        await deployment.accept("gulf-a")
    deployment.operator_client.before_write = None
    manifest, source = await deployment.operator.get_current()
    assert (manifest.revision, source.drained) == (1, ())
