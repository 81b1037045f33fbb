"""Fetch accepted configuration revisions and put them in force."""

from dataclasses import dataclass

import anyio
import msgspec

from ..configuration import compile_source, join_chunks
from ..configuration.chunks import get_hash
from ..configuration.record import Manifest
from ..errors import (
    ConfigurationInvalid,
    ConfigurationMissing,
    PeerUnreachable,
    StoreError,
)
from ..events import catalogue

__all__ = ["Configurator"]

MAX_QUEUED_REVISIONS = 64


@dataclass(frozen=True, slots=True)
class _SubmittedRevision:
    """An accepted revision to put in force.

    :param manifest: hash of the revision's manifest.
    :param peer: peer address of an instance to fetch it from, ``None`` to fetch
        it from the store.
    :param era: the era of the store in which the revision was accepted.
    """

    revision: int
    manifest: str
    peer: str | None
    era: int

    @property
    def position(self):
        """The place of the revision among all revisions, as a tuple to compare."""
        return self.era, self.revision


class Configurator:
    """Puts submitted revisions in force, each only if newer than the current one.

    The manifest and the chunks of the revision in force are kept for peers to
    fetch.

    :ivar configuration: the configuration in force, ``None`` if there is none.
    :ivar manifest: hash of its manifest, empty if there is none.
    :ivar era: the era of the store in which it was accepted, 0 if there is none.
    :ivar on_change: called without arguments when a revision came into force;
        to be set before :meth:`run`.
    """

    __slots__ = (
        "_blobs",
        "_block_chunk_names",
        "_fetch_from_peer",
        "_log",
        "_repository",
        "_submitted_revisions",
        "_workspace",
        "configuration",
        "era",
        "manifest",
        "on_change",
    )

    def __init__(self, settings, repository, fetch_from_peer, log):
        """Prepare without configuration.

        :param fetch_from_peer: async function that takes (address, kind, hash) and
            returns the bytes of a manifest or chunk.
        """
        self.configuration = None
        self.era = 0
        self.manifest = ""
        self.on_change = None
        self._workspace = settings.workspace
        self._repository = repository
        self._fetch_from_peer = fetch_from_peer
        self._log = log
        self._blobs = {}
        self._block_chunk_names = None
        self._submitted_revisions = anyio.create_memory_object_stream(
            MAX_QUEUED_REVISIONS
        )

    @property
    def revision(self):
        """The number of the revision in force, 0 if there is none."""
        return self.configuration.revision if self.configuration else 0

    @property
    def position(self):
        """The place of the revision in force among all, as a tuple to compare."""
        return self.era, self.revision

    def get_blob(self, name):
        """Return the bytes of a manifest or chunk of the revision in force.

        :param name: hash of the content.
        :returns: ``None`` if the revision has no such content.
        """
        return self._blobs.get(name)

    def submit_revision(self, revision, manifest, peer=None, era=0):
        """Queue an accepted revision to be put in force by :meth:`run`.

        It is ignored if it is not newer than the one in force, or if the queue is
        full; sources submit it again.

        :param manifest: hash of the revision's manifest.
        :param peer: peer address of an instance to fetch it from, ``None`` to
            fetch it from the store.
        :param era: the era of the store in which it was accepted.
        """
        submitted = _SubmittedRevision(revision, manifest, peer, era)
        if submitted.position > self.position:
            try:
                self._submitted_revisions[0].send_nowait(submitted)
            except anyio.WouldBlock:
                return

    async def run(self):
        """Fetch, compile and put in force the queued revisions until cancelled."""
        async for submitted in self._submitted_revisions[1]:
            if submitted.position <= self.position:
                continue
            try:
                await self._apply(submitted)
            except (StoreError, PeerUnreachable, ConfigurationMissing):
                # The revision is submitted again by the next heartbeat or watch.
                continue
            except (ConfigurationInvalid, msgspec.DecodeError) as exc:
                self._log.write(
                    catalogue.REVISION_REFUSED, revision=submitted.revision, reason=exc
                )

    async def _apply(self, submitted):
        blobs = {}
        data = await self._fetch(submitted, "manifest", submitted.manifest, blobs)
        manifest = msgspec.json.decode(data, type=Manifest)
        chunks = [
            await self._fetch(submitted, "chunk", name, blobs)
            for name in manifest.chunks
        ]
        block_table = None
        if manifest.chunks[1:] == self._block_chunk_names:
            # The address blocks, in all chunks but the first, are unchanged, as in most
            # revisions. Compiling them would take the longest.
            chunks, block_table = chunks[:1], self.configuration.block_table
        configuration = await anyio.to_thread.run_sync(
            _compile, chunks, manifest.revision, block_table
        )
        if configuration.workspace != self._workspace:
            raise ConfigurationInvalid(
                "parameters.ini", "workspace", "name", configuration.workspace
            )
        if manifest.position <= self.position:
            return
        self._blobs = blobs
        self._block_chunk_names = manifest.chunks[1:]
        self.configuration = configuration
        self.era = manifest.era
        self.manifest = submitted.manifest
        self._log.write(
            catalogue.REVISION_IN_FORCE,
            revision=manifest.revision,
            author=manifest.author,
            source=submitted.peer or "store",
        )
        self.on_change()

    async def _fetch(self, submitted, kind, name, blobs):
        """Return the content with a hash and add it to ``blobs``.

        Content of the revision in force is not fetched again.
        """
        data = self._blobs.get(name)
        if data is None and submitted.peer is not None:
            data = await self._fetch_from_peer(submitted.peer, kind, name)
        elif data is None:
            data = await self._repository.get_blob(kind, name)
        if get_hash(data) != name:
            raise ConfigurationMissing(f"{kind} {name} does not match its hash")
        blobs[name] = data
        return data


def _compile(chunks, revision, block_table):
    return compile_source(join_chunks(chunks), revision, block_table)
