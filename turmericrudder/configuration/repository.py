"""Submit revisions of the configuration to the metadata store and read them."""

import time
import uuid

import anyio
import msgspec

from ..errors import (
    CompareFailed,
    ConfigurationMissing,
    HistoryCompacted,
    RevisionConflict,
    StoreRestored,
    StoreUnavailable,
    ValueTooLarge,
)
from .chunks import get_hash, join_chunks, split_chunks
from .compiler import compile_source
from .record import ConfigurationHead, Manifest

__all__ = ["ConfigurationRepository"]

MAX_VALUE_BYTES = 1_000_000  # of a store entry; a chunk may have no more
MAX_HISTORY = 10_000  # revisions that iter_history() yields at most
WRITE_ATTEMPTS = 5  # per write whose result is unknown
WRITE_RETRY_DELAY = 0.2  # seconds between attempts to write the head
MISSING_HEAD_DELAY = 0.2  # seconds between reads while there is no configuration


class ConfigurationRepository:
    """The revisions of one workspace's configuration in the store.

    The head is the entry that names the manifest of the accepted revision; the
    manifest names its chunks. Manifests and chunks are immutable and stored
    under their hash. All methods raise :exc:`StoreError` if the store fails.
    """

    __slots__ = ("_head_era", "_store", "_workspace")

    def __init__(self, store, workspace):
        self._head_era = 0
        self._store = store
        self._workspace = workspace

    @property
    def head_key(self):
        """The store key of the head."""
        return f"{self._workspace}/head"

    async def get_head(self):
        """Return (head, store revision of its key), or (``None``, 0) without one."""
        entry = await self._store.get(self.head_key)
        self._head_era = self._store.era
        if entry is None:
            return None, 0
        return msgspec.json.decode(entry.value, type=ConfigurationHead), entry.revision

    async def watch_head(self, version, wait):
        """Wait for a change of the head and return like :meth:`get_head`.

        The head is ``None`` if it did not change or does not exist.

        :param version: store revision of the head known so far, 0 for none.
        :param wait: seconds to wait at most.
        """
        if version:
            try:
                changes = await self._store.watch(self.head_key, version, wait)
            except HistoryCompacted:
                return await self.get_head()
            if self._store.era != self._head_era:
                # The version belongs to a history that the store has lost.
                return await self.get_head()
            if not any(event.key == self.head_key for event in changes.events):
                return None, version
        head, new_version = await self.get_head()
        if head is None:
            await anyio.sleep(MISSING_HEAD_DELAY)
        return head, new_version

    async def get_blob(self, kind, name):
        """Return the bytes of a manifest or chunk.

        :param kind: ``manifest`` or ``chunk``.
        :param name: its hash.
        :raises ConfigurationMissing: if the store does not have it.
        """
        return await self._get_immutable(kind, name)

    async def get_manifest(self, name):
        """Return the :class:`Manifest` with a hash.

        :raises ConfigurationMissing: if the store does not have it.
        """
        data = await self._get_immutable("manifest", name)
        return msgspec.json.decode(data, type=Manifest)

    async def get_source(self, manifest):
        """Return the :class:`ConfigurationSource` of a revision."""
        return join_chunks(
            [await self.get_blob("chunk", name) for name in manifest.chunks]
        )

    async def get_current(self):
        """Return (manifest, source) of the accepted revision.

        :raises ConfigurationMissing: if no revision was accepted yet.
        """
        head, _ = await self.get_head()
        if head is None:
            raise ConfigurationMissing(
                f"workspace {self._workspace} has no accepted configuration"
            )
        manifest = await self.get_manifest(head.manifest)
        return manifest, await self.get_source(manifest)

    async def iter_history(self):
        """Yield the manifests from the accepted revision back to the first."""
        head, _ = await self.get_head()
        name = head.manifest if head else ""
        for _ in range(MAX_HISTORY):
            if not name:
                return
            manifest = await self.get_manifest(name)
            yield manifest
            name = manifest.parent

    async def accept(self, source, author, note, expected_revision=None):
        """Make a source the accepted revision and return its manifest.

        :param author: name of the operator.
        :param note: the operator's description of the change.
        :param expected_revision: number that the accepted revision must have,
            ``None`` for any.
        :raises ConfigurationInvalid: if the source does not compile.
        :raises RevisionConflict: if another revision was accepted first.
        :raises ValueTooLarge: if a chunk exceeds the size limit of the store.
        :raises StoreRestored: if the store lost a part of the revision meanwhile.
        :raises StoreUnavailable: if it is unknown whether the revision was
            accepted.
        """
        compile_source(source)
        chunks = split_chunks(source)
        self._check_sizes(chunks)
        head, version = await self.get_head()
        revision = head.revision if head else 0
        if expected_revision is not None and expected_revision != revision:
            raise await self._make_conflict(head)
        era = max(self._head_era, head.era if head else 0)
        names = [(await self._put_immutable("chunk", chunk))[0] for chunk in chunks]
        manifest = Manifest(
            revision=revision + 1,
            change=uuid.uuid4().hex,
            parent=head.manifest if head else "",
            author=author,
            note=note,
            time=time.time(),
            chunks=tuple(names),
            era=era,
        )
        name, manifest_version = await self._put_immutable(
            "manifest", msgspec.json.encode(manifest)
        )
        head = ConfigurationHead(revision + 1, name, manifest.change, era)
        await self._swap_head(head, version, manifest_version)
        return manifest

    async def _swap_head(self, head, version, manifest_version):
        """Replace the head if its key is still at this store revision.

        :param manifest_version: store revision of the manifest. If the store has it,
            it also has all that was written before it.
        """
        value = msgspec.json.encode(head)
        manifest_key = f"{self._workspace}/manifest/{head.manifest}"
        for _ in range(WRITE_ATTEMPTS):
            try:
                await self._store.write(
                    self.head_key,
                    value,
                    expected_revision=version,
                    other_revisions={manifest_key: manifest_version},
                )
                return
            except CompareFailed:
                # An earlier attempt may have written the head if only its
                # response was lost.
                if await self._is_accepted(head):
                    return
                if self._store.era > head.era:
                    raise StoreRestored(
                        "the store was restored from an older copy while revision"
                        f" {head.revision} was written; submit it again"
                    ) from None
                current, _ = await self.get_head()
                raise await self._make_conflict(current) from None
            except StoreUnavailable:
                await anyio.sleep(WRITE_RETRY_DELAY)
        raise StoreUnavailable(
            f"it is unknown whether revision {head.revision} was accepted"
        )

    async def _is_accepted(self, head):
        """Return whether the change of this head is part of the history."""
        async for manifest in self.iter_history():
            if manifest.revision <= head.revision:
                return manifest.change == head.change
        return False

    async def _make_conflict(self, head):
        if head is None:
            return RevisionConflict(0, "nobody", "no revision is accepted")
        manifest = await self.get_manifest(head.manifest)
        return RevisionConflict(manifest.revision, manifest.author, manifest.note)

    async def _get_immutable(self, kind, name):
        entry = await self._store.get(f"{self._workspace}/{kind}/{name}")
        if entry is None:
            raise ConfigurationMissing(
                f"configuration {kind} {name} is not in the store"
            )
        return entry.value

    async def _put_immutable(self, kind, data):
        """Write data under its hash unless it exists.

        :returns: (the hash, store revision of its key).
        """
        name = get_hash(data)
        key = f"{self._workspace}/{kind}/{name}"
        for attempt in range(WRITE_ATTEMPTS):
            try:
                return name, await self._store.write(key, data, expected_revision=0)
            except CompareFailed:
                entry = await self._store.get(key)
                if entry is not None:
                    return name, entry.revision
            except StoreUnavailable:
                if attempt == WRITE_ATTEMPTS - 1:
                    raise
        raise StoreUnavailable(f"the store neither keeps nor accepts {kind} {name}")

    def _check_sizes(self, chunks):
        for chunk in chunks:
            if len(chunk) > MAX_VALUE_BYTES:
                raise ValueTooLarge(
                    f"a chunk of the configuration has {len(chunk)} bytes; the"
                    f" limit is {MAX_VALUE_BYTES}"
                )
