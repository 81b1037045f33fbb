"""Split a source into content-addressed chunks and join them again.

Boundaries between chunks of blocks depend on the blocks alone, so that a
change of one block changes one chunk."""

import hashlib
import sys
import zlib
from array import array

import msgspec

from .record import BlockChunk, Document
from .source import Source

__all__ = ["get_hash", "join_chunks", "split_chunks"]

HASH_BYTES = 16
# A chunk ends after about this many blocks, and after four times as many at most.
BLOCKS_PER_CHUNK = 2048
MAX_BLOCKS_PER_CHUNK = 4 * BLOCKS_PER_CHUNK


def get_hash(data):
    """Return the name of a chunk or manifest."""
    return hashlib.blake2b(data, digest_size=HASH_BYTES).hexdigest()


def split_chunks(source):
    """Return the chunks of a source, the document first, as a list of bytes."""
    document = Document(source.templates, source.parameters, source.drained)
    chunks = [msgspec.msgpack.encode(document)]
    chunks += [_pack_blocks(run) for run in _iter_runs(source.blocks)]
    return chunks


def join_chunks(chunks):
    """Return the source that :func:`split_chunks` took apart.

    :raises msgspec.DecodeError: if a chunk is damaged.
    """
    document = msgspec.msgpack.decode(chunks[0], type=Document)
    blocks = []
    for chunk in chunks[1:]:
        blocks += _unpack_blocks(msgspec.msgpack.decode(chunk, type=BlockChunk))
    return Source(
        document.templates, document.parameters, tuple(blocks), document.drained
    )


def _iter_runs(blocks):
    run = []
    for block in blocks:
        run.append(block)
        mark = zlib.crc32(b"%d/%d" % block[:2])
        if mark % BLOCKS_PER_CHUNK == 0 or len(run) == MAX_BLOCKS_PER_CHUNK:
            yield run
            run = []
    if run:
        yield run


def _pack_blocks(run):
    places = sorted({place for _, _, place in run})
    index_of = {place: index for index, place in enumerate(places)}
    chunk = BlockChunk(
        places=tuple(places),
        starts=_to_bytes("I", [start for start, _, _ in run]),
        lengths=bytes(length for _, length, _ in run),
        indexes=_to_bytes("H", [index_of[place] for _, _, place in run]),
    )
    return msgspec.msgpack.encode(chunk)


def _unpack_blocks(chunk):
    starts = _from_bytes("I", chunk.starts)
    indexes = _from_bytes("H", chunk.indexes)
    places = [chunk.places[index] for index in indexes]
    return zip(starts, chunk.lengths, places, strict=True)


def _to_bytes(code, values):
    packed = array(code, values)
    if sys.byteorder == "big":
        packed.byteswap()
    return packed.tobytes()


def _from_bytes(code, data):
    packed = array(code)
    packed.frombytes(data)
    if sys.byteorder == "big":
        packed.byteswap()
    return packed
