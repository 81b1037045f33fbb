"""Accept revisions into the platform's store and fetch them from it."""

import time
import uuid

import anyio
import msgspec

from ..errors import (
    CompareFailed,
    ConfigurationMissing,
    HistoryCompacted,
    RevisionConflict,
    StoreUnavailable,
    ValueTooLarge,
)
from .chunks import get_hash, join_chunks, split_chunks
from .compiler import compile_source
from .record import ConfigurationHead, Manifest

__all__ = ["ConfigurationRepository"]

MAX_VALUE_BYTES = 1_000_000
HISTORY_LIMIT = 10_000
READ_BACK_ATTEMPTS = 5
READ_BACK_PAUSE = 0.2  # seconds
MISSING_PAUSE = 0.2  # seconds between looks for a first configuration


class ConfigurationRepository:
    """The configuration of one workspace in the store.

    The head key names a manifest, the manifest its chunks; all but the head
    are immutable and named by their hash.
    """

    __slots__ = ("_store", "_workspace")

    def __init__(self, store, workspace):
        self._store = store
        self._workspace = workspace

    @property
    def head_key(self):
        """The key of the head in the store."""
        return f"{self._workspace}/head"

    async def get_head(self):
        """Return (head or ``None``, version of its key)."""
        item = await self._store.get(self.head_key)
        if item is None:
            return None, 0
        return msgspec.json.decode(item.value, type=ConfigurationHead), item.revision

    async def watch_head(self, version, wait):
        """Return like :meth:`get_head` once the version differs.

        :param version: the version known so far, 0 for none.
        :param wait: seconds after which to return in any case.
        """
        if version:
            try:
                changes = await self._store.watch(self.head_key, version, wait)
            except HistoryCompacted:
                return await self.get_head()
            if not any(event.key == self.head_key for event in changes.events):
                return None, version
        head, found = await self.get_head()
        if head is None:
            await anyio.sleep(MISSING_PAUSE)
        return head, found

    async def get_blob(self, kind, name):
        """Return the bytes of a ``manifest`` or ``chunk`` by its hash."""
        return await self._get_immutable(kind, name)

    async def get_manifest(self, name):
        """Return the manifest of that hash."""
        data = await self._get_immutable("manifest", name)
        return msgspec.json.decode(data, type=Manifest)

    async def get_source(self, manifest):
        """Return the source of a revision."""
        return join_chunks(
            [await self.get_blob("chunk", name) for name in manifest.chunks]
        )

    async def get_current(self):
        """Return (manifest, source) of the accepted revision.

        :raises ConfigurationMissing: if none was ever accepted.
        """
        head, _ = await self.get_head()
        if head is None:
            raise ConfigurationMissing(f"{self._workspace} has no configuration")
        manifest = await self.get_manifest(head.manifest)
        return manifest, await self.get_source(manifest)

    async def iter_history(self):
        """Yield the manifests from the accepted one to the first."""
        head, _ = await self.get_head()
        name = head.manifest if head else ""
        for _ in range(HISTORY_LIMIT):
            if not name:
                return
            manifest = await self.get_manifest(name)
            yield manifest
            name = manifest.parent

    async def accept(self, source, author, note, expected_revision=None):
        """Make a source the accepted revision and return its manifest.

        :param expected_revision: refuse if another one is accepted by now.
        :raises ConfigurationInvalid: if the source does not compile.
        :raises RevisionConflict: if another operator came first.
        :raises ValueTooLarge: if a chunk exceeds what the store holds.
        :raises StoreUnavailable: if it stays unknown whether it was accepted.
        """
        compile_source(source)
        chunks = split_chunks(source)
        self._check_sizes(chunks)
        head, version = await self.get_head()
        revision = head.revision if head else 0
        if expected_revision is not None and expected_revision != revision:
            raise await self._get_conflict(head)
        names = [await self._put_immutable("chunk", chunk) for chunk in chunks]
        manifest = Manifest(
            revision=revision + 1,
            change=uuid.uuid4().hex,
            parent=head.manifest if head else "",
            author=author,
            note=note,
            time=time.time(),
            chunks=tuple(names),
        )
        name = await self._put_immutable("manifest", msgspec.json.encode(manifest))
        await self._swap_head(
            ConfigurationHead(revision + 1, name, manifest.change), version
        )
        return manifest

    async def _swap_head(self, head, version):
        value = msgspec.json.encode(head)
        for _ in range(READ_BACK_ATTEMPTS):
            try:
                await self._store.write(self.head_key, value, expected_revision=version)
                return
            except CompareFailed:
                # The write we met may be our own, its answer having been lost.
                if await self._is_accepted(head):
                    return
                current, _ = await self.get_head()
                raise await self._get_conflict(current) from None
            except StoreUnavailable:
                await anyio.sleep(READ_BACK_PAUSE)
        raise StoreUnavailable(f"unknown whether revision {head.revision} is accepted")

    async def _is_accepted(self, head):
        async for manifest in self.iter_history():
            if manifest.revision <= head.revision:
                return manifest.change == head.change
        return False

    async def _get_conflict(self, head):
        if head is None:
            return RevisionConflict(0, "nobody", "no revision is accepted")
        manifest = await self.get_manifest(head.manifest)
        return RevisionConflict(manifest.revision, manifest.author, manifest.note)

    async def _get_immutable(self, kind, name):
        item = await self._store.get(f"{self._workspace}/{kind}/{name}")
        if item is None:
            raise ConfigurationMissing(f"{kind} {name} is not in the store")
        return item.value

    async def _put_immutable(self, kind, data):
        name = get_hash(data)
        key = f"{self._workspace}/{kind}/{name}"
        for attempt in range(READ_BACK_ATTEMPTS):
            try:
                await self._store.write(key, data, expected_revision=0)
                break
            except CompareFailed:
                break
            except StoreUnavailable:
                if attempt == READ_BACK_ATTEMPTS - 1:
                    raise
        return name

    def _check_sizes(self, chunks):
        for chunk in chunks:
            if len(chunk) > MAX_VALUE_BYTES:
                raise ValueTooLarge(
                    f"a chunk has {len(chunk)} bytes, the store holds {MAX_VALUE_BYTES}"
                )
