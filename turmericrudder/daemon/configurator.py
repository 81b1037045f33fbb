"""The task that owns the configuration in force in this instance."""

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

MAX_QUEUED_OFFERS = 64


@dataclass(frozen=True, slots=True)
class _Offer:
    """A revision that is accepted, and where to get it from.

    :param peer: address of the instance that has it, ``None`` for the store.
    """

    revision: int
    manifest: str
    peer: str | None


class Configurator:
    """Brings revisions into force, upwards only, and serves their parts.

    A manifest that compiled once is kept with its chunks, for peers.
    """

    __slots__ = (
        "_block_chunks",
        "_fetch_from_peer",
        "_log",
        "_offers",
        "_parts",
        "_repository",
        "_workspace",
        "configuration",
        "manifest",
        "on_change",
    )

    def __init__(self, settings, repository, fetch_from_peer, log):
        """Prepare without configuration.

        :param fetch_from_peer: async function (address, kind, hash) to bytes.
        """
        self.configuration = None
        self.manifest = ""
        self.on_change = None
        self._workspace = settings.workspace
        self._repository = repository
        self._fetch_from_peer = fetch_from_peer
        self._log = log
        self._parts = {}
        self._block_chunks = None
        self._offers = anyio.create_memory_object_stream(MAX_QUEUED_OFFERS)

    @property
    def revision(self):
        """The revision in force, 0 if there is none."""
        return self.configuration.revision if self.configuration else 0

    def get_blob(self, name):
        """Return a manifest or chunk of the revision in force, or ``None``."""
        return self._parts.get(name)

    def submit_revision(self, revision, manifest, peer=None):
        """Tell of an accepted revision."""
        if revision > self.revision:
            try:
                self._offers[0].send_nowait(_Offer(revision, manifest, peer))
            except anyio.WouldBlock:
                return

    async def run(self):
        """Bring offered revisions into force until cancelled."""
        async for offer in self._offers[1]:
            if offer.revision <= self.revision:
                continue
            try:
                await self._adopt(offer)
            except (StoreError, PeerUnreachable, ConfigurationMissing):
                # It is offered again with the next heartbeat or watch.
                continue
            except (ConfigurationInvalid, msgspec.DecodeError) as exc:
                self._log.write(
                    catalogue.REVISION_REFUSED, revision=offer.revision, reason=exc
                )

    async def _adopt(self, offer):
        parts = {}
        data = await self._fetch(offer, "manifest", offer.manifest, parts)
        manifest = msgspec.json.decode(data, type=Manifest)
        chunks = [
            await self._fetch(offer, "chunk", name, parts) for name in manifest.chunks
        ]
        table = None
        if manifest.chunks[1:] == self._block_chunks:
            # Most changes leave the blocks alone, and they cost the most.
            chunks, table = chunks[:1], self.configuration.block_table
        configuration = await anyio.to_thread.run_sync(
            _compile, chunks, manifest.revision, table
        )
        if configuration.workspace != self._workspace:
            raise ConfigurationInvalid(
                "parameters.ini", "workspace", "name", configuration.workspace
            )
        if manifest.revision <= self.revision:
            return
        self._parts = parts
        self._block_chunks = manifest.chunks[1:]
        self.configuration = configuration
        self.manifest = offer.manifest
        self._log.write(
            catalogue.REVISION_IN_FORCE,
            revision=manifest.revision,
            author=manifest.author,
            source=offer.peer or "store",
        )
        self.on_change()

    async def _fetch(self, offer, kind, name, parts):
        data = self._parts.get(name)
        if data is None and offer.peer is not None:
            data = await self._fetch_from_peer(offer.peer, kind, name)
        elif data is None:
            data = await self._repository.get_blob(kind, name)
        if get_hash(data) != name:
            raise ConfigurationMissing(f"{kind} {name} arrived damaged")
        parts[name] = data
        return data


def _compile(chunks, revision, table):
    return compile_source(join_chunks(chunks), revision, table)
